"""Edits and view changes in a form that `Committer` can rebase onto any head."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from typing import Any

from returns.result import Failure, Result, Success

from .edits import (
    CommitError,
    EditConflict,
    EditRequest,
    Invalid,
    RowConflict,
    RowEdit,
    ViewConflict,
)
from .head import next_head
from .records import (
    VIEW_KIND,
    decode_optional,
    encode_members,
    encode_optional,
)
from .table import ROW_TYPES_BY_KIND, check_edits, parse_row
from .table_reader import TableReader
from .wire.gen.ttypes import Change, Edit, Head, Member, View

# Name under which the audit trail lists changes of the pending views.
PENDING_VIEWS = "pending_views"


class Operation(abc.ABC):
    """An operation on the table that can be rebased onto any head."""

    def __init__(self, operation_id: str, actor: str, seen_revision: int) -> None:
        self.operation_id = operation_id
        self.actor = actor
        self.seen_revision = seen_revision

    @abc.abstractmethod
    def change_range(self, head: Head) -> tuple[int, int]:
        """Return the changes to examine: after the first revision, up to the second.

        They include the change of this operation if it is already committed.
        """

    @abc.abstractmethod
    def compose(
        self, reader: TableReader, changes: Sequence[Change]
    ) -> Result[list[Edit], CommitError]:
        """Return the edits for the reader's head, given the changes to examine."""

    @abc.abstractmethod
    def matches(self, change: Change) -> bool:
        """Return whether a change with the same identifier is this operation."""

    def view(self, head: Head, _revision: int) -> View:
        """Return the view after the operation."""
        return head.view


class EditOperation(Operation):
    """Edits rows unless someone else changed them since the operator saw them."""

    def __init__(self, request: EditRequest) -> None:
        super().__init__(request.operation_id, request.actor, request.seen_revision)
        self._edits = request.edits

    def change_range(self, head: Head) -> tuple[int, int]:
        """Return all changes since the revision that was seen."""
        return self.seen_revision, head.revision

    def compose(
        self, reader: TableReader, changes: Sequence[Change]
    ) -> Result[list[Edit], CommitError]:
        """Return the edits of rows that do not have the proposed values yet."""
        history_by_row = _edits_by_row(changes)
        edits: list[RowEdit] = []
        conflicts: list[RowConflict] = []
        for edit in self._edits:
            history = history_by_row.get((edit.kind, edit.name), [])
            if not history:
                edits.append(edit)
                continue
            seen = decode_optional(history[0][1].before)
            proposed = _merge_row(edit, seen)
            current = decode_optional(history[-1][1].after)
            # A row that the operator left unchanged, or that already has the
            # proposed values, needs no edit.
            if proposed not in (seen, current):
                conflicts.append(_row_conflict(edit, seen, proposed, history[-1]))
        if conflicts:
            return Failure(EditConflict(conflicts))
        checked = check_edits(reader.state, [(e.kind, e.name, e.values) for e in edits])
        if isinstance(checked, Failure):
            return Failure(Invalid(checked.failure()))
        return Success([e for e in checked.unwrap() if e.before != e.after])

    def matches(self, change: Change) -> bool:
        """Return whether a change has the proposed values."""
        by_row = {(edit.kind, edit.name): edit for edit in change.edits}
        for edit in self._edits:
            committed = by_row.pop((edit.kind, edit.name), None)
            if committed is None:
                continue
            before = decode_optional(committed.before)
            if _merge_row(edit, before) != decode_optional(committed.after):
                return False
        return not by_row


class CloseViewsOperation(Operation):
    """Removes pending views whose successor is in force."""

    def __init__(
        self, operation_id: str, actor: str, seen_view: View, in_force_revision: int
    ) -> None:
        super().__init__(operation_id, actor, seen_view.revision)
        self._seen_view = seen_view
        self._in_force_revision = in_force_revision

    def change_range(self, head: Head) -> tuple[int, int]:
        """Return no changes."""
        # If it is already committed, `compose` finds nothing to do on a later head.
        return head.revision, head.revision

    def compose(
        self, reader: TableReader, changes: Sequence[Change]
    ) -> Result[list[Edit], CommitError]:
        """Return an edit that removes views whose successor is in force."""
        head = reader.head
        if head.view.revision != self._seen_view.revision:
            return Failure(ViewConflict(head.view))
        kept = next_head(head, head.view, self._in_force_revision).pending_views
        before = _encode_revisions(head.pending_views)
        after = _encode_revisions(kept)
        if before == after:
            return Success([])
        return Success([Edit(VIEW_KIND, PENDING_VIEWS, before, after)])

    def matches(self, change: Change) -> bool:
        """Return whether a change removes pending views."""
        return [(edit.kind, edit.name) for edit in change.edits] == [
            (VIEW_KIND, PENDING_VIEWS)
        ]


def _encode_revisions(views: Sequence[View]) -> str:
    return encode_optional({"revisions": [view.revision for view in views]})


class ViewOperation(Operation):
    """Replaces the seen view with one that has other members."""

    def __init__(
        self, operation_id: str, actor: str, seen_view: View, members: list[Member]
    ) -> None:
        super().__init__(operation_id, actor, seen_view.revision)
        self._seen_view = seen_view
        self._members = members

    def change_range(self, head: Head) -> tuple[int, int]:
        """Return the change that made the current view if it is not the seen one."""
        # Any number of edits may have followed, so only the change that made the
        # current view is read.
        revision = head.view.revision
        if revision == self._seen_view.revision:
            return head.revision, head.revision
        return revision - 1, revision

    def compose(
        self, reader: TableReader, changes: Sequence[Change]
    ) -> Result[list[Edit], CommitError]:
        """Return the edit of the members."""
        view = reader.head.view
        if view.revision != self._seen_view.revision:
            return Failure(ViewConflict(view))
        return Success([self._edit(view)])

    def matches(self, change: Change) -> bool:
        """Return whether a change replaces the same members."""
        return change.edits == [self._edit(self._seen_view)]

    def view(self, head: Head, revision: int) -> View:
        """Return the view with the new members."""
        return View(revision, self._members, head.view.revision)

    def _edit(self, before: View) -> Edit:
        return Edit(
            VIEW_KIND,
            VIEW_KIND,
            encode_optional({"members": encode_members(before.members)}),
            encode_optional({"members": encode_members(self._members)}),
        )


def _edits_by_row(
    changes: Sequence[Change],
) -> dict[tuple[str, str], list[tuple[Change, Edit]]]:
    by_row: dict[tuple[str, str], list[tuple[Change, Edit]]] = {}
    for change in changes:
        for edit in change.edits:
            if edit.kind in ROW_TYPES_BY_KIND:
                by_row.setdefault((edit.kind, edit.name), []).append((change, edit))
    return by_row


def _merge_row(edit: RowEdit, base: Mapping[str, Any] | None) -> dict[str, Any] | None:
    """Return the row's values after the edit, normalised if they are valid."""
    if edit.values is None:
        return None
    merged = {**(base or {}), **edit.values, "name": edit.name}
    parsed = parse_row(edit.kind, merged, "")
    return parsed.unwrap().values() if isinstance(parsed, Success) else merged


def _row_conflict(
    edit: RowEdit,
    seen: dict[str, Any] | None,
    proposed: dict[str, Any] | None,
    last: tuple[Change, Edit],
) -> RowConflict:
    change, last_edit = last
    return RowConflict(
        edit.kind,
        edit.name,
        seen,
        decode_optional(last_edit.after),
        proposed,
        change.revision,
        change.actor,
    )
