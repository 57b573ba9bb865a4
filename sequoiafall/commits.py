"""Commits configuration edits and view changes to the table service."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .edits import (
    CommitError,
    EditConflict,
    EditRequest,
    Invalid,
    ViewConflict,
    check_request,
)
from .head import next_head
from .log import log_event, log_warning
from .operations import CloseViewsOperation, EditOperation, Operation, ViewOperation
from .platform_client import Committed, Condition, Conflict, TableService, Write
from .records import (
    HEAD_KEY,
    change_key,
    decode_optional,
    encode_change,
    encode_head,
    row_key,
)
from .settings import Finding
from .store_results import Stale, Unavailable, Unknown
from .table import ROW_TYPES_BY_KIND
from .table_reader import TableReader, count_rows
from .wire.gen.ttypes import Change, Edit, Head, Member, View

# The operators' API answers within 7 s, of which 2 s and more pass until a
# change is in force.
COMMIT_DEADLINE_S = 4.0
RETRY_PAUSE_S = 0.05
# An older revision would need a read of more than a day of changes.
MAX_SEEN_AGE = 20_000


_Transient = Unknown | Conflict | Stale
_StepError = CommitError | Conflict


@dataclass(slots=True, frozen=True)
class Commit:
    """A committed change and the head that it produced.

    A `Change` without edits stands for a request that changed nothing; it has
    the current revision and was not written.
    """

    change: Change
    head: Head


@dataclass(slots=True, frozen=True)
class _Attempt:
    """One composed transaction."""

    base_revision: int
    operation_id: str
    condition: Condition
    writes: list[Write]
    change: Change
    head: Head


@dataclass(slots=True)
class _Run:
    """Progress of one operation; `unresolved` is an attempt without a reply."""

    operation: Operation
    in_force_revision: int
    unresolved: _Attempt | None = None


class Committer:
    """Commits edits and view changes, one at a time.

    Parameters
    ----------
    service : TableService
        Where the table is kept.
    wall_clock : callable
        Returns seconds since the epoch, for the audit record.
    deadline_s : float
        Longest time to spend on one commit, in seconds.
    clock : callable
        Returns monotonic seconds, for the deadline.
    """

    def __init__(
        self,
        service: TableService,
        wall_clock: Callable[[], float] = time.time,
        deadline_s: float = COMMIT_DEADLINE_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.reader = TableReader(service)
        self._service = service
        self._wall_clock = wall_clock
        self._deadline_s = deadline_s
        self._clock = clock
        self._lock = asyncio.Lock()

    async def catch_up(self) -> Result[Head, Unavailable]:
        """Bring the reader up to the newest head that the platform shows.

        The reader must not move while a commit is being composed on it, so that
        nothing else may call its own `catch_up`.
        """
        async with self._lock:
            return await self.reader.catch_up()

    async def edit(
        self, request: EditRequest, in_force_revision: int = 0
    ) -> Result[Commit, CommitError]:
        """Commit an edit of the operators' table.

        Parameters
        ----------
        request : EditRequest
            What to change.
        in_force_revision : int, default=0
            Newest revision known to be in force; views that were replaced by
            then leave the pending views of the head.

        Returns
        -------
        Result
            The commit, or why there was none. Only `Unknown` leaves open
            whether there was one; the same request may then be repeated.
        """
        findings = check_request(request)
        if findings:
            return Failure(Invalid(findings))
        return await self._commit(EditOperation(request), in_force_revision)

    async def change_view(
        self,
        seen_view: View,
        members: Sequence[Member],
        actor: str,
        in_force_revision: int = 0,
        operation_id: str = "",
    ) -> Result[Commit, CommitError]:
        """Commit a view with the members.

        Parameters
        ----------
        seen_view : View
            The view to replace; any other current view is a `ViewConflict`.
        members : sequence of Member
            The new members.
        actor : str
            Instance that changes the view.
        in_force_revision : int, default=0
            Newest revision known to be in force.
        operation_id : str, default=""
            Identifies the operation; a new one by default.
        """
        operation = ViewOperation(
            operation_id or uuid.uuid4().hex, actor, seen_view, list(members)
        )
        return await self._commit(operation, in_force_revision)

    async def close_views(
        self, seen_view: View, actor: str, in_force_revision: int
    ) -> Result[Commit, CommitError]:
        """Commit a head without the earlier views that are closed.

        A head that nobody changes after a view is in force would keep listing
        the earlier views. Instances that start later do not know that these are
        closed, and their members may be gone for good.

        Parameters
        ----------
        seen_view : View
            The current view; any other one is a `ViewConflict`.
        actor : str
            Instance that commits.
        in_force_revision : int
            Newest revision known to be in force.
        """
        operation = CloseViewsOperation(
            uuid.uuid4().hex, actor, seen_view, in_force_revision
        )
        return await self._commit(operation, in_force_revision)

    async def _commit(
        self, operation: Operation, in_force_revision: int
    ) -> Result[Commit, CommitError]:
        deadline = self._clock() + self._deadline_s
        run = _Run(operation, in_force_revision)
        async with self._lock:
            while True:
                result = await self._step(run)
                if isinstance(result, Success):
                    return result
                error = result.failure()
                if run.unresolved is None and not isinstance(error, _Transient):
                    return Failure(error)
                if self._clock() >= deadline:
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
        if run.unresolved is None:
            return Failure(Unavailable("the deadline passed"))
        log_warning("commit_unknown", operation=operation.operation_id)
        return Failure(Unknown("the reply was lost"))

    async def _step(self, run: _Run) -> Result[Commit, _StepError]:
        """Read the head, and commit the operation on top of it if it can be."""
        caught_up = await self.reader.catch_up()
        if isinstance(caught_up, Failure):
            return caught_up
        head = caught_up.unwrap()
        unresolved = run.unresolved
        if unresolved is not None and head.revision == unresolved.base_revision:
            return await self._send(run, unresolved)
        # If the head moved on, an unresolved attempt cannot be committed any more,
        # and the change after its base shows whether it was.
        operation = run.operation
        if head.revision < operation.seen_revision:
            return await self._judge_unseen(run)
        after, until = operation.change_range(head)
        if until - after > MAX_SEEN_AGE:
            expected = f"at least {head.revision - MAX_SEEN_AGE}"
            return Failure(Invalid([_seen_finding(operation, expected)]))
        answer = await self.reader.changes(after, until)
        if isinstance(answer, Failure):
            return answer
        if self.reader.head.revision != head.revision:
            # Another user of the reader moved it on while the changes were read.
            return Failure(Stale("the head moved on"))
        run.unresolved = None
        changes = answer.unwrap()
        for change in changes:
            if change.operation_id == operation.operation_id:
                return self._found(operation, change)
        composed = operation.compose(self.reader, changes)
        if isinstance(composed, Success) and composed.unwrap():
            return await self._send(run, self._attempt(run, composed.unwrap()))
        return await self._judge_without_effect(run, composed)

    async def _judge_unseen(self, run: _Run) -> Result[Commit, _StepError]:
        """Tell a revision that never existed from a stale read."""
        confirmed = await self._confirm()
        if isinstance(confirmed, Failure):
            return confirmed
        expected = f"at most {self.reader.head.revision}"
        return Failure(Invalid([_seen_finding(run.operation, expected)]))

    async def _judge_without_effect(
        self, run: _Run, composed: Result[list[Edit], CommitError]
    ) -> Result[Commit, _StepError]:
        """Answer a refused or empty edit, if it was composed on the newest head.

        A conflict is proven by the changes that were read. Other outcomes could
        come from a stale read.
        """
        error = composed.failure() if isinstance(composed, Failure) else None
        if isinstance(error, EditConflict | ViewConflict):
            return Failure(error)
        confirmed = await self._confirm()
        if isinstance(confirmed, Failure):
            return confirmed
        if error is not None:
            return Failure(error)
        head = self.reader.head
        unchanged = self._change(run.operation, head.revision, [])
        return Success(Commit(unchanged, head))

    async def _confirm(self) -> Result[Committed, _StepError]:
        """Check by a transaction without writes that the head is the newest."""
        condition = Condition(HEAD_KEY, self.reader.head_version)
        answer = await self._service.transaction([condition], [], uuid.uuid4().hex)
        if isinstance(answer, Success):
            return answer
        error = answer.failure()
        if isinstance(error, Unknown):
            # Without writes there is no effect that could be unknown.
            return Failure(Unavailable(error.detail))
        if isinstance(error, Conflict):
            await self._observe_conflict(error)
        return Failure(error)

    def _found(
        self, operation: Operation, change: Change
    ) -> Result[Commit, _StepError]:
        if operation.matches(change):
            return Success(Commit(change, self.reader.head))
        expected = f"an identifier not used before (revision {change.revision})"
        finding = Finding("operation_id", expected, operation.operation_id)
        return Failure(Invalid([finding]))

    async def _send(self, run: _Run, attempt: _Attempt) -> Result[Commit, _StepError]:
        answer = await self._service.transaction(
            [attempt.condition], attempt.writes, attempt.operation_id
        )
        if isinstance(answer, Success):
            head_version = answer.unwrap().versions_by_key[HEAD_KEY]
            self.reader.apply_own_commit(attempt.change, attempt.head, head_version)
            change = attempt.change
            log_event(
                "change_committed",
                revision=change.revision,
                operation=change.operation_id,
                actor=change.actor,
                edits=len(change.edits),
            )
            return Success(Commit(change, attempt.head))
        error = answer.failure()
        if isinstance(error, Unknown):
            run.unresolved = attempt
        if isinstance(error, Conflict):
            await self._observe_conflict(error)
        return Failure(error)

    async def _observe_conflict(self, conflict: Conflict) -> None:
        head_row = conflict.find(HEAD_KEY)
        if head_row is not None:
            await self.reader.apply_head(head_row)

    def _attempt(self, run: _Run, edits: list[Edit]) -> _Attempt:
        operation, head = run.operation, self.reader.head
        revision = head.revision + 1
        change = self._change(operation, revision, edits)
        new_head = next_head(
            head, operation.view(head, revision), run.in_force_revision
        )
        row_edits = [edit for edit in edits if edit.kind in ROW_TYPES_BY_KIND]
        created = sum(not edit.before for edit in row_edits)
        deleted = sum(not edit.after for edit in row_edits)
        row_count = count_rows(self.reader.state) + created - deleted
        condition = Condition(HEAD_KEY, self.reader.head_version)
        writes = [
            Write(HEAD_KEY, encode_head(new_head, row_count)),
            Write(change_key(revision), encode_change(change)),
        ]
        for edit in row_edits:
            values = decode_optional(edit.after)
            row = None if values is None else {"revision": revision, "values": values}
            writes.append(Write(row_key(edit.kind, edit.name), row))
        # Another process may run the same operation on the same head, with other
        # contents of the head row, so that each attempt has its own identifier.
        attempt_id = f"{operation.operation_id}.{uuid.uuid4().hex}"
        return _Attempt(head.revision, attempt_id, condition, writes, change, new_head)

    def _change(self, operation: Operation, revision: int, edits: list[Edit]) -> Change:
        committed_at_ms = int(self._wall_clock() * 1000)
        return Change(
            revision, operation.operation_id, operation.actor, committed_at_ms, edits
        )


def _seen_finding(operation: Operation, expected: str) -> Finding:
    return Finding("seen_revision", expected, str(operation.seen_revision))
