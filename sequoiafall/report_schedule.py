"""When the leader reads the reports of engines."""

from __future__ import annotations

from collections.abc import Collection

from .retry import back_off_s

# An announced engine that has missed this many reports and never sent one may not
# exist. It is asked less and less often from then on, up to the limit.
MAX_MISSED_FIRST_REPORTS = 8
INITIAL_PAUSE_S = 0.5
PAUSE_LIMIT_S = 4.0


class ReportSchedule:
    """Reads engines that have never reported less often than others.

    Each read of an address that takes no connection holds a socket of the leader for
    the timeout. Times are seconds of any steady clock.
    """

    __slots__ = ("_due_at_by_server", "_missed_by_server", "_reported")

    def __init__(self) -> None:
        self._reported: set[str] = set()
        self._missed_by_server: dict[str, int] = {}
        self._due_at_by_server: dict[str, float] = {}

    def is_due(self, server: str, now: float) -> bool:
        """Return whether a report may be read now."""
        return self._due_at_by_server.get(server, 0.0) <= now

    def may_exist(self, server: str) -> bool:
        """Return whether an engine has reported, or has not been silent for long."""
        return self._missed_by_server.get(server, 0) < MAX_MISSED_FIRST_REPORTS

    def on_read(self, server: str, has_report: bool, now: float) -> None:
        """Record whether a read has brought a report."""
        if has_report:
            self._reported.add(server)
            self._missed_by_server.pop(server, None)
            self._due_at_by_server.pop(server, None)
            return
        if server in self._reported:
            return
        missed = self._missed_by_server.get(server, 0) + 1
        self._missed_by_server[server] = missed
        failures = missed - MAX_MISSED_FIRST_REPORTS + 1
        if failures > 0:
            pause_s = back_off_s(INITIAL_PAUSE_S, failures, PAUSE_LIMIT_S)
            self._due_at_by_server[server] = now + pause_s

    def keep(self, servers: Collection[str]) -> None:
        """Forget all engines but these."""
        self._reported.intersection_update(servers)
        for states in (self._missed_by_server, self._due_at_by_server):
            for server in [name for name in states if name not in servers]:
                del states[server]
