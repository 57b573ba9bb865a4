"""Polls the platform for the head and commits membership views."""

from __future__ import annotations

import time
import uuid

from returns.result import Failure, Result, Success

from .commits import Commit, Committer
from .coordinator import Coordinator
from .edits import CommitError
from .log import log_event, log_warning
from .membership import ViewProposal
from .platform_client import Condition, TableService
from .records import HEAD_KEY, decode_head, empty_head
from .wire.gen.ttypes import Change, Head

# A replica that lags by more revisions than this gets a snapshot.
MAX_CATCH_UP_CHANGES = 1000
# The head is confirmed with the platform if the confirmations of the peers keep it
# fresh for less time than this.
CONFIRM_THRESHOLD_S = 1.2


class PlatformFollower:
    """Keeps the coordinator up to date with the platform.

    Parameters
    ----------
    service : TableService
        The table service.
    committer : Committer
        Reads the table and commits changes to it.
    coordinator : Coordinator
        Coordinator of this instance.
    """

    def __init__(
        self, service: TableService, committer: Committer, coordinator: Coordinator
    ) -> None:
        self._service = service
        self._committer = committer
        self._coordinator = coordinator
        self.available = False
        self.polls = 0

    async def poll(self) -> None:
        """Read the head row, catch up if it is newer, and confirm it if needed."""
        result = await self._service.read(HEAD_KEY)
        self.polls += 1
        if isinstance(result, Failure):
            self._set_available(False, str(result.failure().detail))
            return
        self._set_available(True)
        row = result.unwrap()
        try:
            head = empty_head() if row.value is None else decode_head(row.value)
        except ValueError as error:
            log_warning("head_malformed", detail=error)
            return
        if head.revision > self._coordinator.revision:
            await self.catch_up()
        if head.revision == self._coordinator.revision and self._needs_confirmation():
            await self._confirm(head.revision, row.version)

    async def catch_up(self) -> bool:
        """Fetch the newest head of the platform; return whether it was reached."""
        result = await self._committer.catch_up()
        if isinstance(result, Failure):
            self._set_available(False, result.failure().detail)
            return False
        return await self._apply_reader_state()

    async def commit_view(self, proposal: ViewProposal) -> Result[Commit, CommitError]:
        """Commit a proposed view and apply it locally."""
        coordinator = self._coordinator
        result = await self._committer.change_view(
            proposal.seen_view,
            proposal.members,
            coordinator.member.instance,
            coordinator.in_force_revision(time.monotonic()),
        )
        match result:
            case Success(commit):
                log_event(
                    "view_committed",
                    revision=commit.head.revision,
                    reason=proposal.reason,
                    members=len(commit.head.view.members),
                )
                await self.apply_commit(commit.head, commit.change)
            case Failure(error):
                log_event(
                    "view_not_committed",
                    reason=proposal.reason,
                    error=type(error).__name__,
                )
        return result

    async def apply_commit(self, head: Head, change: Change) -> None:
        """Apply a head that this instance committed, with its change."""
        # A change without edits was not written, and the stored change of this
        # revision may be a different one.
        changes = [change] if change.edits else []
        if not self._coordinator.observe(head, time.monotonic(), changes):
            await self._apply_reader_state()

    async def _apply_reader_state(self) -> bool:
        coordinator, reader = self._coordinator, self._committer.reader
        head, current_revision = reader.head, coordinator.revision
        if head.revision <= current_revision:
            return True
        if (
            current_revision
            and head.revision - current_revision <= MAX_CATCH_UP_CHANGES
        ):
            result = await reader.changes(current_revision, head.revision)
            if isinstance(result, Success):
                changes = result.unwrap()
                if coordinator.observe(head, time.monotonic(), changes):
                    return True
        # The reader may have advanced while the changes were read.
        if reader.state.revision != reader.head.revision:
            return False
        snapshot = reader.state.to_snapshot()
        coordinator.observe(reader.head, time.monotonic(), snapshot=snapshot)
        return True

    def _needs_confirmation(self) -> bool:
        coordinator = self._coordinator
        fresh_for = coordinator.fresh_for_s(time.monotonic())
        return (
            fresh_for < CONFIRM_THRESHOLD_S or not coordinator.freshness.has_recovered()
        )

    async def _confirm(self, revision: int, version: int) -> None:
        sent_at = time.monotonic()
        condition = Condition(HEAD_KEY, version)
        result = await self._service.transaction([condition], [], uuid.uuid4().hex)
        if isinstance(result, Success):
            self._coordinator.on_platform_confirmed(revision, sent_at, time.monotonic())

    def _set_available(self, available: bool, detail: str = "") -> None:
        if available != self.available:
            self.available = available
            log_event("platform", available=available, detail=detail)
