"""Shares among instances what backend servers say about their own state.

A member sends the notices that it received with its polls. The leader's replies
contain all departures and limits that it knows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .backend_registry import BackendEntry, BackendRegistry
from .boot_clock import boot_time
from .crash_evidence import CrashEvidence
from .fleet_leader import LeaderDuties
from .log import log_event
from .server_limits import NamedLimit, ServerLimits
from .server_notices import Pause, ServerNotice, ServerNotices
from .wire.gen import ttypes

# Rate of a lifted limit in messages between instances.
LIFTED = -1.0


class NoticeExchange:
    """Sends and applies notices of backend servers for one instance.

    Parameters
    ----------
    registry : BackendRegistry
        Records the servers that are leaving.
    notices : ServerNotices
        Notices that this instance received itself.
    limits : ServerLimits
        Limits of servers that this instance knows.
    evidence : CrashEvidence
        Crashes of servers, which a later response refutes.
    duties : callable
        Returns the leader's duties while this instance leads.
    """

    __slots__ = ("_duties", "_evidence", "_limits", "_notices", "_registry")

    def __init__(
        self,
        registry: BackendRegistry,
        notices: ServerNotices,
        limits: ServerLimits,
        evidence: CrashEvidence,
        duties: Callable[[], LeaderDuties | None],
    ) -> None:
        self._registry = registry
        self._notices = notices
        self._limits = limits
        self._evidence = evidence
        self._duties = duties

    def on_response(
        self,
        entry: BackendEntry,
        notice: ServerNotice,
        source: str,
        sent_at: float,
        request_id: str = "",
    ) -> None:
        """Apply the notice in a server's response.

        Parameters
        ----------
        entry : BackendEntry
            Entry of the server when the request was sent.
        notice : ServerNotice
            Notice in the response.
        source : str
            Kind of the call.
        sent_at : float
            Time at which the request was sent, in seconds of `boot_time`; 0 if the
            response is not certain to be the server's.
        request_id : str, default=""
            Identity of the request, empty if it did not come from a caller.
        """
        self._evidence.record_response(entry.name, sent_at, boot_time())
        if self._limits.observe(entry, notice.limit_text, source, sent_at, request_id):
            self._on_limits_changed()
        if not notice.is_leaving and not notice.pause_text:
            return
        before = self._registry.left_revision, self._notices.pauses_seen
        self._notices.apply(entry, notice, source, request_id)
        duties = self._duties()
        after = self._registry.left_revision, self._notices.pauses_seen
        if duties is not None and after != before:
            duties.on_backends_changed()
            duties.on_pauses(self._notices.pauses())

    def on_poll(self, poll: Any, peer: str) -> None:
        """Apply, as the leader, the notices in a member's poll."""
        self.apply_leaving(poll.left, peer)
        self.apply_limits(poll.limits, peer)
        duties = self._duties()
        if duties is not None and poll.paused:
            duties.on_pauses(
                [Pause(row.server, row.left_ms / 1e3) for row in poll.paused]
            )

    def apply_leaving(self, left: list[Any] | None, source: str) -> None:
        """Apply the departures of servers that another instance has seen."""
        newly_leaving = [
            row
            for row in left or []
            if self._registry.mark_leaving(row.server, row.born)
        ]
        for row in newly_leaving:
            log_event("server_leaving", server=row.server, born=row.born, source=source)
        duties = self._duties()
        if newly_leaving and duties is not None:
            duties.on_backends_changed()

    def apply_limits(self, limits: list[Any] | None, source: str) -> None:
        """Apply the limits of servers that another instance knows."""
        now = boot_time()
        named = [
            NamedLimit(
                row.server,
                row.born,
                row.rate_per_s if row.rate_per_s >= 0.0 else None,
                now - row.age_ms / 1e3,
            )
            for row in limits or []
        ]
        if self._limits.merge(named, source):
            self._on_limits_changed()

    def _on_limits_changed(self) -> None:
        duties = self._duties()
        if duties is not None:
            duties.on_limits_changed()

    def limits_since(self, revision: int | None) -> list[Any]:
        """Return the limits, and the lifted ones, changed after a revision."""
        now = boot_time()
        return [
            ttypes.ServerLimit(
                server=limit.server,
                born=limit.born,
                rate_per_s=LIFTED if limit.rate_per_s is None else limit.rate_per_s,
                age_ms=int((now - limit.observed_at) * 1e3),
            )
            for limit in self._limits.since_revision(revision or 0)
        ]

    def leaving_since(self, revision: int | None) -> list[Any]:
        """Return all leaving servers, or none if unchanged since a revision."""
        if revision == self._registry.left_revision:
            return []
        return [
            ttypes.LeftServer(server=server, born=born)
            for server, born in self._registry.leaving_start_times().items()
        ]

    def paused_servers(self) -> list[Any]:
        """Return the current pauses that servers asked this instance for."""
        return [
            ttypes.PausedServer(server=row.server, left_ms=int(row.left_s * 1e3))
            for row in self._notices.pauses()
        ]
