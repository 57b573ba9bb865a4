"""What backend servers say of themselves beside an answer: leaving, or busy.

A server that says it is leaving gets nothing new until another start of it is
announced. A server that says it is busy gets nothing for the time it names.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from .backend_registry import BackendEntry, BackendRegistry
from .boot_clock import boot_time
from .log import log_event, log_warning

# The longest pause that a server's word is taken for; a server that names more
# is asked again after this time. Callers wait for 15 s at most.
MAX_PAUSE_S = 30.0
# A server that names no time that can be read is busy nevertheless: the time
# after which callers come back too.
FALLBACK_PAUSE_S = 0.5
# After a pause, work returns over this time in place of all at once.
RAMP_UP_S = 1.0
# Share of a caller's time left that it honours as a retry time.
MAX_RETRY_SHARE = 1.0 / 3.0
# Callers that are told the same pause come back spread over this share of it.
RETRY_JITTER = 0.25
MIN_RETRY_S = 0.05


@dataclass(slots=True, frozen=True)
class ServerNotice:
    """What one answer says of its server.

    Parameters
    ----------
    is_leaving : bool
        Whether the server takes no new work.
    pause_text : str
        Seconds for which it wants nothing, as received; empty if it does not say.
    """

    is_leaving: bool = False
    pause_text: str = ""


NO_NOTICE = ServerNotice()


@dataclass(slots=True, frozen=True)
class Pause:
    """A pause that a server asked for, as told to other instances.

    Parameters
    ----------
    server : str
        The server.
    left_s : float
        Seconds until its end.
    """

    server: str
    left_s: float


class ServerNotices:
    """Servers that are leaving or pausing, as this instance was told.

    Parameters
    ----------
    registry : BackendRegistry
        Gets the servers that are leaving.
    generator : random.Random
        Spreads retry times.

    Attributes
    ----------
    leaving_seen, pauses_seen : int
        Sightings, for the metrics.
    """

    __slots__ = (
        "_generator",
        "_paused_until_by_server",
        "_registry",
        "leaving_seen",
        "pauses_seen",
    )

    def __init__(self, registry: BackendRegistry, generator: random.Random) -> None:
        self._registry = registry
        self._generator = generator
        self._paused_until_by_server: dict[str, float] = {}
        self.leaving_seen = 0
        self.pauses_seen = 0

    def observe(
        self, entry: BackendEntry, notice: ServerNotice, source: str, request_id: str
    ) -> None:
        """Take over what an answer says.

        Parameters
        ----------
        entry : BackendEntry
            The server as it was announced when the request was sent.
        notice : ServerNotice
            What the answer says.
        source : str
            Kind of the call, for the log.
        request_id : str
            The request, empty if it was not a caller's.
        """
        if notice.is_leaving and self._registry.mark_leaving(entry.name, entry.born):
            self.leaving_seen += 1
            log_event(
                "server_leaving",
                server=entry.name,
                born=entry.born,
                source=source,
                request_id=request_id,
            )
        if notice.pause_text:
            self._pause(entry.name, notice.pause_text, source, request_id)

    def _pause(self, server: str, text: str, source: str, request_id: str) -> None:
        pause_s, finding = parse_pause(text)
        if finding:
            log_warning(
                "pause_bounded",
                server=server,
                text=text[:40],
                finding=finding,
                pause_ms=int(pause_s * 1e3),
            )
        if pause_s <= 0.0:
            return
        until = boot_time() + pause_s
        self.pauses_seen += 1
        if until <= self._paused_until_by_server.get(server, 0.0):
            return
        self._paused_until_by_server[server] = until
        log_event(
            "server_busy",
            server=server,
            pause_ms=int(pause_s * 1e3),
            source=source,
            request_id=request_id,
        )

    def pause_left_s(self, server: str) -> float:
        """Return the seconds for which a server wants nothing, 0 if it does not say."""
        until = self._paused_until_by_server.get(server)
        return max(0.0, until - boot_time()) if until is not None else 0.0

    def ramp_up_left(self, server: str) -> float:
        """Return the part of the return after a pause that is still to come."""
        until = self._paused_until_by_server.get(server)
        if until is None:
            return 0.0
        share = 1.0 - (boot_time() - until) / RAMP_UP_S
        if share <= 0.0:
            del self._paused_until_by_server[server]
        return min(1.0, max(0.0, share))

    def pauses(self) -> list[Pause]:
        """Return the pauses that have not ended, and forget those long over."""
        now = boot_time()
        ended = [
            server
            for server, until in self._paused_until_by_server.items()
            if until + RAMP_UP_S < now
        ]
        for server in ended:
            del self._paused_until_by_server[server]
        return [
            Pause(server, until - now)
            for server, until in self._paused_until_by_server.items()
            if until > now
        ]

    def usable(self, entries: Iterable[BackendEntry]) -> list[BackendEntry]:
        """Return the servers that are not pausing."""
        if not self._paused_until_by_server:
            return list(entries)
        return [entry for entry in entries if not self.pause_left_s(entry.name)]

    def shortest_pause_s(self, entries: Iterable[BackendEntry]) -> float:
        """Return the shortest pause if all of some servers are pausing, else 0."""
        if not self._paused_until_by_server:
            return 0.0
        return min((self.pause_left_s(entry.name) for entry in entries), default=0.0)

    def retry_after_s(self, pause_s: float, time_left_s: float) -> float:
        """Return when a caller should come back after a pause of all servers."""
        return jittered_retry_s(pause_s, time_left_s, self._generator)


def jittered_retry_s(
    pause_s: float, time_left_s: float, generator: random.Random
) -> float:
    """Return a retry time after a pause, within what a caller honours."""
    most_s = time_left_s * MAX_RETRY_SHARE
    spread_s = pause_s * generator.uniform(1.0, 1.0 + RETRY_JITTER)
    return min(most_s, max(MIN_RETRY_S, spread_s))


def parse_pause(text: str) -> tuple[float, str]:
    """Return the seconds that a text names, and what is wrong with it.

    Returns
    -------
    tuple of (float, str)
        Seconds from 0 to `MAX_PAUSE_S`, and a finding that is empty if the text
        was taken as it is.
    """
    try:
        seconds = float(text)
    except ValueError:
        return FALLBACK_PAUSE_S, "not a number of seconds"
    if math.isnan(seconds):
        return FALLBACK_PAUSE_S, "not a number of seconds"
    if seconds < 0.0:
        return 0.0, "negative"
    if seconds > MAX_PAUSE_S:
        return MAX_PAUSE_S, f"more than {MAX_PAUSE_S:g} s"
    return seconds, ""
