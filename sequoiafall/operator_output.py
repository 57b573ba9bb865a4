"""Formats responses of the operators' API as text."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from .records import VIEW_KIND
from .table_csv import format_cell

ABSENT = "-"
# An import changes up to 2,000 rows; JSON shows all of them.
MAX_SHOWN_ROWS = 20


def format_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows in aligned columns; columns of numbers are right-aligned."""
    rows = [list(row) for row in rows]
    texts = [[_format_cell(value) for value in row] for row in rows]
    widths = [
        max(len(column), *(len(text[i]) for text in texts)) if texts else len(column)
        for i, column in enumerate(columns)
    ]
    numeric = [
        bool(rows) and all(_is_number(row[i]) for row in rows)
        for i in range(len(columns))
    ]
    lines = []
    for cells in [list(columns), *texts]:
        aligned = (
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(cells, widths, numeric, strict=True)
        )
        lines.append("  ".join(aligned).rstrip())
    return "\n".join(lines)


def format_value(value: Any) -> str:
    """Format a JSON value: an object as lines, a collection of objects as a table."""
    if _is_object_of_objects(value):
        value = [{"name": name, **item} for name, item in value.items()]
    if isinstance(value, Mapping):
        return _format_object(value)
    if _is_list_of_objects(value):
        columns = list(dict.fromkeys(key for item in value for key in item))
        rows = [[item.get(column, ABSENT) for column in columns] for item in value]
        return format_table(columns, rows)
    return _format_cell(value)


def format_changes(changes: Sequence[Mapping[str, Any]]) -> str:
    """Format changes with one line for each column that changed.

    A row that was created or deleted takes one line. At most `MAX_SHOWN_ROWS`
    rows of each change are shown.
    """
    rows: list[list[Any]] = []
    for change in changes:
        committed_at = time.gmtime(change["committed_at_ms"] / 1000)
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", committed_at)
        change_cells = [change["revision"], timestamp, change["actor"]]
        edits = change["edits"]
        for edit in edits[:MAX_SHOWN_ROWS]:
            row = edit["kind"]
            if row != VIEW_KIND:
                row += f" {edit['name']}"
            rows.extend(
                [*change_cells, row, *difference] for difference in _differences(edit)
            )
        hidden = len(edits) - MAX_SHOWN_ROWS
        if hidden > 0:
            rows.append([*change_cells, f"{hidden} more rows", ABSENT, ABSENT, ABSENT])
    return format_table(
        ["revision", "time", "actor", "row", "column", "from", "to"], rows
    )


def format_conflicts(conflicts: Sequence[Mapping[str, Any]]) -> str:
    """Format conflicts with both operators' values of each column that differs."""
    rows = []
    for conflict in conflicts:
        seen, current, proposed = (
            conflict[name] for name in ("seen", "current", "proposed")
        )
        columns = dict.fromkeys([*(current or {}), *(proposed or {})])
        for column in columns:
            values = [
                ABSENT if row is None else row.get(column, ABSENT)
                for row in (seen, current, proposed)
            ]
            if column != "name" and values.count(values[0]) < len(values):
                row = f"{conflict['kind']} {conflict['name']}"
                by = f"{conflict['actor']} (revision {conflict['revision']})"
                rows.append([row, column, *values, by])
    return format_table(
        ["row", "column", "seen", "current", "yours", "changed by"], rows
    )


def _differences(edit: Mapping[str, Any]) -> list[tuple[str, Any, Any]]:
    before, after = edit["before"], edit["after"]
    if edit["kind"] != VIEW_KIND and (before is None or after is None):
        return [(ABSENT, _summarize_row(before), _summarize_row(after))]
    columns = dict.fromkeys([*(before or {}), *(after or {})])
    pairs = (
        (column, (before or {}).get(column), (after or {}).get(column))
        for column in columns
    )
    return [
        (column, _shorten_members(a), _shorten_members(b))
        for column, a, b in pairs
        if a != b
    ]


def _summarize_row(values: Mapping[str, Any] | None) -> str:
    if values is None:
        return ABSENT
    return ", ".join(f"{k}={_format_cell(v)}" for k, v in values.items() if k != "name")


def _shorten_members(value: Any) -> Any:
    """Replace the members of a view by the names of their instances."""
    if _is_list_of_objects(value):
        return ", ".join(str(item.get("instance", item)) for item in value)
    return value


def _format_object(value: Mapping[str, Any]) -> str:
    scalars = {k: v for k, v in value.items() if not _is_nested(v)}
    width = max((len(name) for name in scalars), default=0)
    parts = [
        "\n".join(f"{k.ljust(width)}  {_format_cell(v)}" for k, v in scalars.items())
    ]
    for name, item in value.items():
        if _is_nested(item):
            parts.append(f"{name}\n{_indent(format_value(item))}")
    return "\n".join(part for part in parts if part)


def _is_nested(value: Any) -> bool:
    return (isinstance(value, Mapping) and bool(value)) or _is_list_of_objects(value)


def _is_list_of_objects(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, Mapping) for item in value)
    )


def _is_object_of_objects(value: Any) -> bool:
    return isinstance(value, Mapping) and _is_list_of_objects(list(value.values()))


def _indent(text: str) -> str:
    return "\n".join("  " + line for line in text.splitlines())


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _format_cell(value: Any) -> str:
    if value is None or value == "" or value == [] or value == {}:
        return ABSENT
    if isinstance(value, list):
        return ", ".join(_format_cell(item) for item in value)
    if isinstance(value, Mapping):
        return ", ".join(f"{key}={_format_cell(item)}" for key, item in value.items())
    return format_cell(value)
