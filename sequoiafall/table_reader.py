"""Reads the operators' table, its changes and the head from the platform."""

from __future__ import annotations

import uuid
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from .platform_client import SCAN_LIMIT, Condition, Conflict, TableRow, TableService
from .records import (
    CHANGE_PREFIX,
    HEAD_KEY,
    ROW_PREFIX,
    change_key,
    decode_change,
    decode_head,
    empty_head,
    encode_optional,
)
from .store_results import Stale, Unavailable
from .table import ROW_TYPES_BY_KIND, TableState
from .wire.gen.ttypes import Change, Head, Snapshot
from .wire.gen.ttypes import Row as WireRow

# Edits usually refer to a revision that is a few minutes old; a day has about
# 8,000 changes.
MAX_RECENT_CHANGES = 1000
# A state further behind is reloaded as a snapshot, which takes fewer reads than
# the changes.
MAX_CATCH_UP_CHANGES = 5000
# Each condition takes about 80 bytes of the request.
VERIFY_BATCH_ROWS = 4000


@dataclass(slots=True)
class TableReader:
    """Keeps an in-memory copy of the table up to date from the table service.

    Calls must not overlap, except those of `changes`.

    Parameters
    ----------
    service : TableService
        Where the rows are read.
    """

    service: TableService
    state: TableState = field(default_factory=TableState)
    head: Head = field(default_factory=empty_head)
    head_version: int = 0
    _recent_changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_CHANGES), repr=False
    )
    _loaded: bool = False
    _newest_row_revision: int = 0

    async def catch_up(self) -> Result[Head, Unavailable]:
        """Read the head and bring the state up to its revision.

        A stale read never moves the reader back.

        Returns
        -------
        Result
            The newest head that was read, with the state at its revision.
        """
        result = await self.service.read(HEAD_KEY)
        if isinstance(result, Failure):
            return result
        return await self.apply_head(result.unwrap())

    async def apply_head(self, row: TableRow) -> Result[Head, Unavailable]:
        """Bring the state up to a head row that was read or returned by a conflict."""
        try:
            head = empty_head() if row.value is None else decode_head(row.value)
        except ValueError as error:
            return Failure(Unavailable(str(error)))
        if head.revision < self.head.revision:
            return Success(self.head)
        if (
            not self._loaded
            or head.revision - self.state.revision > MAX_CATCH_UP_CHANGES
        ):
            loaded = await self._load(head.revision)
            if isinstance(loaded, Failure):
                return loaded
            # The rows may be newer than the head that was read before them, so the
            # state is only valid with a head that is read after them.
            return await self.catch_up()
        if head.revision < self._newest_row_revision:
            return Failure(Stale("the head is older than the rows"))
        followed = await self._apply_changes(head.revision)
        if isinstance(followed, Failure):
            return followed
        row_count = (row.value or {}).get("row_count", 0)
        if count_rows(self.state) != row_count:
            self._loaded = False
            return Failure(Stale("the scan lacked rows"))
        self.head, self.head_version = head, row.version
        return Success(self.head)

    def apply_own_commit(self, change: Change, head: Head, head_version: int) -> None:
        """Apply a change that this process committed on top of the state."""
        if self.state.apply(change):
            self._recent_changes.append(change)
            self.head, self.head_version = head, head_version

    async def changes(
        self, after: int, until: int
    ) -> Result[list[Change], Unavailable]:
        """Return the changes with revisions above `after` and up to `until`.

        Returns
        -------
        Result
            All of them, oldest first; `Unavailable` if a stale read left a gap.
        """
        if after >= until:
            return Success([])
        recent = self._recent_changes
        if recent and recent[0].revision <= after + 1 and until <= recent[-1].revision:
            return Success([c for c in recent if after < c.revision <= until])
        changes: list[Change] = []
        while after < until:
            limit = min(SCAN_LIMIT, until - after)
            result = await self.service.scan(CHANGE_PREFIX, change_key(after), limit)
            if isinstance(result, Failure):
                return result
            try:
                page = [decode_change(row.value or {}) for row in result.unwrap()]
            except ValueError as error:
                return Failure(Unavailable(str(error)))
            expected = range(after + 1, after + limit + 1)
            if [change.revision for change in page] != list(expected):
                return Failure(Stale(f"changes after {after} are incomplete"))
            changes.extend(page)
            after += limit
        return Success(changes)

    async def _apply_changes(self, revision: int) -> Result[None, Unavailable]:
        result = await self.changes(self.state.revision, revision)
        if isinstance(result, Failure):
            return result
        for change in result.unwrap():
            if self.state.apply(change):
                self._recent_changes.append(change)
        return Success(None)

    async def _load(self, revision: int) -> Result[None, Unavailable]:
        """Read all rows; `revision` is that of a head read before them.

        The rows of one scan may come from several revisions. Applying every
        change after `revision` up to a head read later makes them consistent,
        because a change carries whole rows.
        """
        rows: list[TableRow] = []
        while not rows or len(rows) % SCAN_LIMIT == 0:
            after = rows[-1].key if rows else ""
            result = await self.service.scan(ROW_PREFIX, after, SCAN_LIMIT)
            if isinstance(result, Failure):
                return result
            if not result.unwrap():
                break
            rows.extend(result.unwrap())
        verified = await self._verify_versions(rows)
        if isinstance(verified, Failure):
            return verified
        try:
            wire_rows = [_wire_row(row) for row in rows]
            state = TableState.from_snapshot(Snapshot(revision, wire_rows))
        except (KeyError, TypeError, ValueError) as error:
            return Failure(Unavailable(f"malformed row: {error}"))
        self.state = state
        self._newest_row_revision = max((row.revision for row in wire_rows), default=0)
        self._recent_changes.clear()
        self._loaded = True
        return Success(None)

    async def _verify_versions(
        self, rows: Sequence[TableRow]
    ) -> Result[None, Unavailable]:
        """Check that no row was read stale, by transactions that write nothing.

        A stale row would remain until its next change; a withdrawn key would keep
        working.
        """
        for start in range(0, len(rows), VERIFY_BATCH_ROWS):
            conditions = [
                Condition(row.key, row.version)
                for row in rows[start : start + VERIFY_BATCH_ROWS]
            ]
            result = await self.service.transaction(conditions, [], uuid.uuid4().hex)
            if isinstance(result, Success):
                continue
            error = result.failure()
            if isinstance(error, Conflict):
                return Failure(Stale("rows were read stale"))
            return Failure(Unavailable(error.detail))
        return Success(None)


def count_rows(state: TableState) -> int:
    """Return the number of rows of all kinds."""
    return sum(len(state.rows_by_name(kind)) for kind in ROW_TYPES_BY_KIND)


def _wire_row(row: TableRow) -> WireRow:
    _, kind, name = row.key.split("/", 2)
    value = row.value or {}
    return WireRow(kind, name, int(value["revision"]), encode_optional(value["values"]))
