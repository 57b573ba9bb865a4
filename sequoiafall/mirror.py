"""Replica of the store's tables that instances send to each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from .log import innermost_frames, log_warning
from .row_store import Rows, StoreRow

# Returns whether other instances need the row.
OnRow = Callable[[StoreRow], bool]
# Returns whether the content of a row (second) replaces a known one (first).
IsNewer = Callable[[StoreRow, StoreRow], bool]


class Mirror:
    """Newest known version of each row, from any source.

    A row is replaced only by one with a greater version, so neither a slow
    reader nor an instance that was partitioned can restore an older state.

    Parameters
    ----------
    on_row : callable
        Called with each new or updated row. It returns whether other instances
        need the row: several times a second, backend servers write updates that
        only the leader needs.
    is_newer : callable or None, default=None
        Returns whether a row replaces a known one of a lower version. If not, the
        known content gets the new version: a store that comes back from a copy shows
        rows again that have been replaced or removed.

    Attributes
    ----------
    revision : int
        Grows with each applied row that other instances need.
    """

    __slots__ = (
        "_is_newer",
        "_on_row",
        "_revisions_by_row",
        "_rows_by_table",
        "revision",
    )

    def __init__(self, on_row: OnRow, is_newer: IsNewer | None = None) -> None:
        self._on_row = on_row
        self._is_newer = is_newer
        self._rows_by_table: dict[str, dict[str, StoreRow]] = {}
        self._revisions_by_row: dict[tuple[str, str], int] = {}
        self.revision = 0

    def rows(self, table: str) -> list[StoreRow]:
        """Return the rows of a table that are not deleted."""
        rows = self._rows_by_table.get(table, {}).values()
        return [row for row in rows if not row.deleted]

    def newest_by_table(self) -> dict[str, int]:
        """Return the greatest known row version of each table."""
        return {
            table: max(row.version for row in rows.values())
            for table, rows in self._rows_by_table.items()
            if rows
        }

    def apply(self, rows: Iterable[StoreRow]) -> int:
        """Apply rows that are newer than the known ones.

        A row that cannot be applied does not affect the others.

        Returns
        -------
        int
            Number of rows applied.
        """
        applied = 0
        for row in rows:
            try:
                applied += self._apply_row(row)
            except Exception as error:
                # Other writers share the tables, so any row may hold anything.
                log_warning(
                    "row_failed",
                    table=row.table,
                    key=row.key,
                    row_version=row.version,
                    error=type(error).__name__,
                    at=innermost_frames(error),
                )
        return applied

    def _apply_row(self, row: StoreRow) -> bool:
        known = self._rows_by_table.setdefault(row.table, {})
        before = known.get(row.key)
        if before is not None and not _has_greater_version(row, before):
            return False
        if before is not None and not self._replaces(before, row):
            row = _carry_over(before, row.version)
        known[row.key] = row
        if self._on_row(row):
            self.revision += 1
            self._revisions_by_row[row.table, row.key] = self.revision
        return True

    def drop_value(self, row: StoreRow) -> None:
        """Keep the version of a row without its value, which cannot be used."""
        known = self._rows_by_table[row.table]
        known[row.key] = replace(known[row.key], value=b"")

    def _replaces(self, before: StoreRow, row: StoreRow) -> bool:
        return self._is_newer is None or self._is_newer(before, row)

    def apply_scan(self, table: str, scanned: Rows) -> int:
        """Apply a full scan of a table; known rows missing from it were deleted."""
        present = {row.key for row in scanned.rows}
        missing = [
            StoreRow(table, row.key, b"", scanned.version, deleted=True)
            for row in self.rows(table)
            if row.key not in present and row.version < scanned.version
        ]
        return self.apply([*scanned.rows, *missing])

    def since_revision(self, revision: int) -> list[StoreRow]:
        """Return the rows applied after a revision of this mirror."""
        if revision >= self.revision:
            return []
        return [
            self._rows_by_table[table][key]
            for (table, key), applied_at in self._revisions_by_row.items()
            if applied_at > revision
        ]

    def newer_than(
        self, newest_by_table: dict[str, int], tables: Sequence[str]
    ) -> list[StoreRow]:
        """Return the rows that a peer with these newest versions does not have."""
        return [
            row
            for table in tables
            for row in self._rows_by_table.get(table, {}).values()
            if row.version > newest_by_table.get(table, 0)
            and (table, row.key) in self._revisions_by_row
        ]


def _has_greater_version(row: StoreRow, before: StoreRow) -> bool:
    """Whether a row may replace a known one.

    The row to which known content was preferred may replace it later.
    """
    is_carried_over = bool(before.written_version)
    if row.version == before.version:
        return is_carried_over and not row.written_version
    return row.version > before.version


def _carry_over(known: StoreRow, version: int) -> StoreRow:
    """Return a known row under the version of one that does not replace it."""
    return StoreRow(
        known.table,
        known.key,
        known.value,
        version,
        known.deleted,
        known.written_version or known.version,
    )
