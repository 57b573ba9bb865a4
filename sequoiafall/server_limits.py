"""Request rates that backend servers limit themselves to, as known to one instance.

A server in need names in its responses the requests per second that it takes from
all instances together. The limit holds until a later response does not name it.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .backend_registry import BackendEntry, BackendRegistry
from .boot_clock import boot_time
from .log import log_event, log_warning

# A lifted limit is remembered for this long, so that the news of it replaces the
# limit at all instances.
LIFTED_TTL_S = 30.0
# Kind of call whose responses always name the limit of a server that has one.
REQUEST_SOURCE = "request"


@dataclass(slots=True, frozen=True)
class NamedLimit:
    """What a server last said about its limit.

    Parameters
    ----------
    server : str
        Name of the server.
    born : int
        Its start in Unix milliseconds, 0 if it is not known.
    rate_per_s : float or None
        Requests per second that it takes from all instances; None for a limit that
        it has lifted.
    observed_at : float
        Time of the response, in seconds of `boot_time`.
    revision : int
        Revision of `ServerLimits` in which the rate last changed.
    """

    server: str
    born: int
    rate_per_s: float | None
    observed_at: float
    revision: int = 0


class ServerLimits:
    """Tracks the limits that servers named to this or to another instance.

    Parameters
    ----------
    registry : BackendRegistry
        Known backend servers. Limits of a server that is not announced, or has
        restarted since, do not count.

    Attributes
    ----------
    revision : int
        Grows with each change of a rate.
    responses_by_source : Counter
        Responses of servers with a limit, by kind of call.
    """

    __slots__ = (
        "_control_sources_by_server",
        "_limits_by_server",
        "_registry",
        "responses_by_source",
        "revision",
    )

    def __init__(self, registry: BackendRegistry) -> None:
        self._registry = registry
        self._limits_by_server: dict[str, NamedLimit] = {}
        # Kinds of calls other than requests whose responses have named the limit.
        self._control_sources_by_server: dict[str, set[str]] = {}
        self.revision = 0
        self.responses_by_source: Counter[str] = Counter()

    def observe(
        self,
        entry: BackendEntry,
        text: str,
        source: str,
        sent_at: float,
        request_id: str = "",
    ) -> bool:
        """Apply what a response says about the limit of its server.

        Parameters
        ----------
        entry : BackendEntry
            Entry of the server when the request was sent.
        text : str
            Requests per second as received; empty if the response names no limit.
        source : str
            Kind of the call.
        sent_at : float
            Time at which the request was sent, in seconds of `boot_time`. Only a
            response to a request that was sent after a limit was named lifts it:
            others may be older. 0 if the response is not certain to be the
            server's, which lifts nothing.
        request_id : str, default=""
            Identity of the request, empty if it did not come from a caller.

        Returns
        -------
        bool
            Whether the rate has changed.
        """
        known = self._limits_by_server.get(entry.name)
        if not text:
            if known is None or known.rate_per_s is None:
                return False
            if sent_at <= known.observed_at or not self._may_lift(entry.name, source):
                return False
            rate_per_s = None
        else:
            rate_per_s, problem = parse_rate(text)
            if problem:
                log_warning(
                    "server_limit_unreadable",
                    server=entry.name,
                    text=text[:40],
                    finding=problem,
                )
                return False
            if source != REQUEST_SOURCE:
                sources = self._control_sources_by_server
                sources.setdefault(entry.name, set()).add(source)
        self.responses_by_source[source] += 1
        limit = NamedLimit(entry.name, entry.born, rate_per_s, boot_time())
        return self._put(limit, source, request_id)

    def _may_lift(self, server: str, source: str) -> bool:
        """Whether the kind of call would name the limit if it were still in force."""
        if source == REQUEST_SOURCE:
            return True
        return source in self._control_sources_by_server.get(server, ())

    def merge(self, limits: Iterable[NamedLimit], source: str) -> bool:
        """Apply what another instance knows and return whether a rate has changed.

        Of two observations of a server, the later one holds.
        """
        changes = [self._put(limit, source, "") for limit in limits]
        return any(changes)

    def _put(self, limit: NamedLimit, source: str, request_id: str) -> bool:
        known = self._limits_by_server.get(limit.server)
        if known is not None and not _supersedes(limit, known):
            return False
        has_changed = known is None or (
            (limit.rate_per_s, limit.born) != (known.rate_per_s, known.born)
        )
        if known is None and limit.rate_per_s is None:
            has_changed = False
        revision = known.revision if known is not None else 0
        if has_changed:
            self.revision += 1
            revision = self.revision
            log_event(
                "server_limit"
                if limit.rate_per_s is not None
                else "server_limit_lifted",
                server=limit.server,
                born=limit.born,
                rate_per_s=limit.rate_per_s if limit.rate_per_s is not None else "",
                source=source,
                request_id=request_id,
            )
        self._limits_by_server[limit.server] = NamedLimit(
            limit.server, limit.born, limit.rate_per_s, limit.observed_at, revision
        )
        return has_changed

    def since_revision(self, revision: int) -> list[NamedLimit]:
        """Return the limits, and the lifted ones, changed after a revision."""
        self._forget()
        return [
            limit
            for limit in self._limits_by_server.values()
            if limit.revision > revision
        ]

    def _forget(self) -> None:
        """Forget servers that are not announced and limits lifted long ago."""
        now = boot_time()
        for name, limit in list(self._limits_by_server.items()):
            is_old = limit.rate_per_s is None or self._registry.find(name) is None
            if is_old and now - limit.observed_at > LIFTED_TTL_S:
                del self._limits_by_server[name]
                self._control_sources_by_server.pop(name, None)

    def rate_per_s(self, server: str) -> float | None:
        """Return the requests per second that a server takes, None for no limit."""
        limit = self._limits_by_server.get(server)
        if limit is None or limit.rate_per_s is None:
            return None
        entry = self._registry.find(server)
        if entry is not None and entry.born and limit.born and entry.born != limit.born:
            return None
        return limit.rate_per_s

    def rates_by_server(self) -> dict[str, float]:
        """Return the limits in force, by server."""
        rates = {name: self.rate_per_s(name) for name in self._limits_by_server}
        return {name: rate for name, rate in rates.items() if rate is not None}


def _supersedes(limit: NamedLimit, known: NamedLimit) -> bool:
    """Whether an observation of a server replaces an earlier one."""
    if limit.born and known.born and limit.born != known.born:
        return limit.born > known.born
    return limit.observed_at >= known.observed_at


def parse_rate(text: str) -> tuple[float | None, str]:
    """Parse the text of a limit in requests per second.

    Returns
    -------
    tuple of (float or None, str)
        The rate, None if the text names none, and what is wrong with the text;
        empty if it is valid.
    """
    try:
        rate_per_s = float(text)
    except ValueError:
        return None, "not a number of requests per second"
    if not math.isfinite(rate_per_s):
        return None, "not a number of requests per second"
    if rate_per_s < 0.0:
        return None, "negative"
    return rate_per_s, ""
