"""Proposed edits of the operators' table, and the errors of committing them."""

from __future__ import annotations

import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from .settings import Finding
from .store_results import Unavailable, Unknown
from .wire.gen.ttypes import View

# Bounds one transaction and the message that carries the change (4 MiB).
MAX_EDITS = 2000


@dataclass(slots=True, frozen=True)
class RowEdit:
    """A proposed edit of one row; `values` is None to delete the row."""

    kind: str
    name: str
    values: Mapping[str, Any] | None


@dataclass(slots=True, frozen=True)
class EditRequest:
    """A proposed edit of the operators' table.

    Parameters
    ----------
    seen_revision : int
        Revision of the table that the operator saw.
    actor : str
        Who edits; kept in the audit record.
    edits : list of RowEdit
        All are committed together or none is.
    operation_id : str
        Identifies the operation; repeating it has no further effect.
    """

    seen_revision: int
    actor: str
    edits: list[RowEdit]
    operation_id: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass(slots=True, frozen=True)
class Invalid:
    """The request is invalid; it had no effect."""

    findings: list[Finding]


@dataclass(slots=True, frozen=True)
class RowConflict:
    """A row that changed after the revision that the operator saw.

    Parameters
    ----------
    kind, name : str
        The row.
    seen, current, proposed : dict or None
        Values at the seen revision, now, and after the refused edit; None if
        the row is absent.
    revision : int
        Revision that changed the row last.
    actor : str
        Who changed the row last.
    """

    kind: str
    name: str
    seen: dict[str, Any] | None
    current: dict[str, Any] | None
    proposed: dict[str, Any] | None
    revision: int
    actor: str


@dataclass(slots=True, frozen=True)
class EditConflict:
    """Rows of the edit were changed by others; the edit had no effect."""

    rows: list[RowConflict]


@dataclass(slots=True, frozen=True)
class ViewConflict:
    """The current view is not the one to be replaced."""

    view: View


CommitError = Invalid | EditConflict | ViewConflict | Unavailable | Unknown


def check_request(request: EditRequest) -> list[Finding]:
    """Validate a request, apart from its rows, and return the findings."""
    findings = []
    if request.seen_revision < 0:
        found = str(request.seen_revision)
        findings.append(Finding("seen_revision", "at least 0", found))
    if not request.actor:
        findings.append(Finding("actor", "a non-empty text"))
    if not request.operation_id:
        findings.append(Finding("operation_id", "a non-empty text"))
    if not 1 <= len(request.edits) <= MAX_EDITS:
        found = str(len(request.edits))
        findings.append(Finding("edits", f"1 to {MAX_EDITS} edits", found))
    return findings
