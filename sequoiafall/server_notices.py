"""Notices in the responses of backend servers: the server is leaving, or busy.

A server that is leaving gets no new work until a later start of it is announced.
A server that is busy gets no work for the pause that it asks for. Limits of the
request rate are tracked in `server_limits`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from .backend_registry import BackendEntry, BackendRegistry
from .boot_clock import boot_time
from .log import log_event, log_warning

# Longest pause that is granted; a server that asks for more is tried again after
# this time. Callers wait for 15 s at most.
MAX_PAUSE_S = 30.0
# Pause of a server that is busy but names no readable time. Callers retry after
# the same time.
FALLBACK_PAUSE_S = 0.5
# After a pause, the load of a server ramps up over this time.
RAMP_UP_S = 1.0
# A caller honours a retry time of up to this share of its remaining time.
MAX_RETRY_SHARE = 1.0 / 3.0
# Retries after the same pause are spread over this share of it.
RETRY_JITTER = 0.25
MIN_RETRY_S = 0.05


@dataclass(slots=True, frozen=True)
class ServerNotice:
    """Notice in one response of a server.

    Parameters
    ----------
    is_leaving : bool
        Whether the server takes no new work.
    pause_text : str
        Requested pause in seconds, as received; empty if there is none.
    limit_text : str
        Requests per second that the server takes from all instances together, as
        received; empty if it names no limit.
    """

    is_leaving: bool = False
    pause_text: str = ""
    limit_text: str = ""


NO_NOTICE = ServerNotice()


@dataclass(slots=True, frozen=True)
class Pause:
    """A pause that a server asked for, as sent to other instances.

    Parameters
    ----------
    server : str
        Name of the server.
    left_s : float
        Seconds until the pause ends.
    """

    server: str
    left_s: float


class ServerNotices:
    """Tracks servers that notified this instance that they are leaving or pausing.

    Parameters
    ----------
    registry : BackendRegistry
        Records the servers that are leaving.
    generator : random.Random
        Source of the jitter of retry times.

    Attributes
    ----------
    leaving_seen, pauses_seen : int
        Notices received, for the metrics.
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

    def apply(
        self, entry: BackendEntry, notice: ServerNotice, source: str, request_id: str
    ) -> None:
        """Apply the notice in a response.

        Parameters
        ----------
        entry : BackendEntry
            Entry of the server when the request was sent.
        notice : ServerNotice
            Notice in the response.
        source : str
            Kind of the call, for the log.
        request_id : str
            Identity of the request, empty if it did not come from a caller.
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
        pause_s, problem = parse_pause(text)
        if problem:
            log_warning(
                "pause_bounded",
                server=server,
                text=text[:40],
                finding=problem,
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
        """Return the seconds until a server's pause ends, 0 if it is not pausing."""
        until = self._paused_until_by_server.get(server)
        return max(0.0, until - boot_time()) if until is not None else 0.0

    def ramp_up_left(self, server: str) -> float:
        """Return the share (0 to 1) of a server's ramp-up that is still to come.

        It is 1 during a pause and 0 for servers that did not pause recently.
        """
        until = self._paused_until_by_server.get(server)
        if until is None:
            return 0.0
        share = 1.0 - (boot_time() - until) / RAMP_UP_S
        if share <= 0.0:
            del self._paused_until_by_server[server]
        return min(1.0, max(0.0, share))

    def pauses(self) -> list[Pause]:
        """Return the current pauses; forget those whose ramp-up is over."""
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
        """Return those of the servers that are not pausing."""
        if not self._paused_until_by_server:
            return list(entries)
        return [entry for entry in entries if not self.pause_left_s(entry.name)]

    def shortest_pause_s(self, entries: Iterable[BackendEntry]) -> float:
        """Return the shortest remaining pause in seconds, 0 unless all pause."""
        if not self._paused_until_by_server:
            return 0.0
        return min((self.pause_left_s(entry.name) for entry in entries), default=0.0)

    def retry_after_s(self, pause_s: float, time_left_s: float) -> float:
        """Return the retry time in seconds of a caller while all servers pause."""
        return jittered_retry_s(pause_s, time_left_s, self._generator)


def jittered_retry_s(
    pause_s: float, time_left_s: float, generator: random.Random
) -> float:
    """Return a jittered retry time in seconds after a pause.

    It is limited to what a caller honours, given its remaining time.
    """
    max_s = time_left_s * MAX_RETRY_SHARE
    jittered_s = pause_s * generator.uniform(1.0, 1.0 + RETRY_JITTER)
    return min(max_s, max(MIN_RETRY_S, jittered_s))


def spread_retry_s(
    wait_s: float, time_left_s: float, generator: random.Random
) -> float:
    """Return a retry time in seconds between a wait and what a caller honours."""
    max_s = time_left_s * MAX_RETRY_SHARE
    return generator.uniform(min(max_s, max(MIN_RETRY_S, wait_s)), max_s)


def parse_pause(text: str) -> tuple[float, str]:
    """Parse the text of a pause in seconds.

    Returns
    -------
    tuple of (float, str)
        Seconds from 0 to `MAX_PAUSE_S`, and what is wrong with the text; empty if
        it is valid.
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
