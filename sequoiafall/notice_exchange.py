"""Tells other instances which backend servers are leaving or pausing.

A member sends what it was told with its polls, and the leader's answers bring
what all were told.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .backend_registry import BackendEntry, BackendRegistry
from .fleet_leader import LeaderDuties
from .log import log_event
from .server_notices import NO_NOTICE, Pause, ServerNotice, ServerNotices
from .wire.gen import ttypes


class NoticeExchange:
    """One instance's part in it.

    Parameters
    ----------
    registry : BackendRegistry
        Servers that are leaving.
    notices : ServerNotices
        What this instance was told itself.
    duties : callable
        Returns the leader's duties while this instance leads.
    """

    __slots__ = ("_duties", "_notices", "_registry")

    def __init__(
        self,
        registry: BackendRegistry,
        notices: ServerNotices,
        duties: Callable[[], LeaderDuties | None],
    ) -> None:
        self._registry = registry
        self._notices = notices
        self._duties = duties

    def on_answer(
        self, entry: BackendEntry, notice: ServerNotice, source: str, request_id: str
    ) -> None:
        """Take over what an answer says of its server."""
        if notice is NO_NOTICE:
            return
        before = self._registry.left_revision, self._notices.pauses_seen
        self._notices.observe(entry, notice, source, request_id)
        duties = self._duties()
        after = self._registry.left_revision, self._notices.pauses_seen
        if duties is not None and after != before:
            duties.on_backends_changed()
            duties.on_pauses(self._notices.pauses())

    def on_engine_answer(
        self, entry: BackendEntry, notice: ServerNotice, source: str
    ) -> None:
        """Take over what the answer to a report or an order says."""
        self.on_answer(entry, notice, source, "")

    def on_poll(self, poll: Any, peer: str) -> None:
        """Take over, as the leader, what a member was told."""
        self.adopt_leaving(poll.left, peer)
        duties = self._duties()
        if duties is not None and poll.paused:
            duties.on_pauses(
                [Pause(row.server, row.left_ms / 1e3) for row in poll.paused]
            )

    def adopt_leaving(self, left: list[Any] | None, source: str) -> None:
        """Take over servers that told another instance that they are leaving."""
        news = [
            row
            for row in left or []
            if self._registry.mark_leaving(row.server, row.born)
        ]
        for row in news:
            log_event("server_leaving", server=row.server, born=row.born, source=source)
        duties = self._duties()
        if news and duties is not None:
            duties.on_backends_changed()

    def leaving_since(self, revision: int | None) -> list[Any]:
        """Return all servers that are leaving if there are others than then."""
        if revision == self._registry.left_revision:
            return []
        return [
            ttypes.LeftServer(server=server, born=born)
            for server, born in self._registry.leaving_start_times().items()
        ]

    def paused(self) -> list[Any]:
        """Return the pauses that this instance was asked for."""
        return [
            ttypes.PausedServer(server=row.server, left_ms=int(row.left_s * 1e3))
            for row in self._notices.pauses()
        ]
