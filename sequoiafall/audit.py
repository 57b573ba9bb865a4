"""Reads the audit trail, which is the history of changes of the table."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .commits import Committer
from .store_results import Unavailable
from .wire.gen.ttypes import Change

DEFAULT_LIMIT = 50
MAX_LIMIT = 1000
CHANGES_PER_READ = 500
# An import changes up to 2,000 rows at once; this limits a response to a few MB.
MAX_ROWS = 4000
# Limits one query to about half a day of changes; the response says where to
# continue.
MAX_READS = 8


@dataclass(slots=True, frozen=True)
class AuditQuery:
    """Which changes to return, newest first.

    Parameters
    ----------
    before : int, default=0
        Only revisions below this one; 0 starts at the newest.
    limit : int
        Largest number of changes.
    kind, name, actor : str, default=""
        Only changes of such rows, or by this actor; empty for all.
    """

    before: int = 0
    limit: int = DEFAULT_LIMIT
    kind: str = ""
    name: str = ""
    actor: str = ""

    def select(self, change: Change) -> Change | None:
        """Return the change with the edits that are asked for, or None."""
        if self.actor and change.actor != self.actor:
            return None
        if not self.kind and not self.name:
            return change
        edits = [
            edit
            for edit in change.edits
            if self.kind in ("", edit.kind) and self.name in ("", edit.name)
        ]
        if not edits:
            return None
        return Change(
            change.revision,
            change.operation_id,
            change.actor,
            change.committed_at_ms,
            edits,
        )


@dataclass(slots=True, frozen=True)
class AuditPage:
    """A part of the audit trail.

    Parameters
    ----------
    changes : list of Change
        Changes, newest first.
    next_before : int
        The `before` of the query that continues; 0 if there are no more.
    revision : int
        Newest revision that was known; later changes are not in the page.
    """

    changes: list[Change]
    next_before: int
    revision: int


async def read_audit(
    committer: Committer, query: AuditQuery
) -> Result[AuditPage, Unavailable]:
    """Read changes from memory if they are there, otherwise from the platform.

    A query that starts at the newest change needs the platform, because a trail
    that lacks the newest changes would mislead.
    """
    reader = committer.reader
    if not 0 < query.before <= reader.head.revision + 1:
        caught_up = await committer.catch_up()
        if isinstance(caught_up, Failure):
            return caught_up
    newest = reader.head.revision
    until = min(newest, query.before - 1) if query.before else newest
    selected_changes: list[Change] = []
    row_count = 0
    for _ in range(MAX_READS):
        after = max(0, until - CHANGES_PER_READ)
        result = await reader.changes(after, until)
        if isinstance(result, Failure):
            return result
        for change in reversed(result.unwrap()):
            selected = query.select(change)
            if selected is None:
                continue
            selected_changes.append(selected)
            row_count += len(selected.edits)
            if len(selected_changes) == query.limit or row_count >= MAX_ROWS:
                next_before = change.revision if change.revision > 1 else 0
                return Success(AuditPage(selected_changes, next_before, newest))
        until = after
        if not until:
            return Success(AuditPage(selected_changes, 0, newest))
    return Success(AuditPage(selected_changes, until + 1, newest))
