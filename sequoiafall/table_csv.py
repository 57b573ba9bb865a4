"""Reads and writes the operators' table as CSV."""

from __future__ import annotations

import csv
import io
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from .settings import Finding
from .table import ROW_TYPES_BY_KIND, Row, parse_row

REVISION_MARK = "#revision"
KIND_COLUMN = "kind"


@dataclass(slots=True, frozen=True)
class FileRow:
    """A valid row of a file; `number` counts the rows of the file from 1."""

    number: int
    kind: str
    row: Row


@dataclass(slots=True, frozen=True)
class TableFile:
    """Content of a CSV file.

    Parameters
    ----------
    seen_revision : int or None
        Revision at which the file was exported; None if the file has none.
    rows : list of FileRow
        Rows in the order of the file.
    """

    seen_revision: int | None
    rows: list[FileRow]


def write_csv(revision: int, rows_by_kind: Mapping[str, Sequence[Row]]) -> str:
    """Write rows of one or more kinds.

    Parameters
    ----------
    revision : int
        Revision of the table, kept in the first row for the import.
    rows_by_kind : mapping of str to sequence of Row
        Rows; the columns are the union of those of all these kinds.

    Returns
    -------
    str
        CSV text; a cell is empty where the kind lacks the column.
    """
    columns = list(
        dict.fromkeys(
            column for kind in rows_by_kind for column in _columns_by_kind()[kind]
        )
    )
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow([REVISION_MARK, revision])
    writer.writerow([KIND_COLUMN, *columns])
    for kind, rows in rows_by_kind.items():
        for row in rows:
            values = row.values()
            cells = [format_cell(values.get(column, "")) for column in columns]
            writer.writerow([kind, *cells])
    return text.getvalue()


def read_csv(text: str) -> Result[TableFile, list[Finding]]:
    """Parse and validate rows; collect all findings with their row and column.

    A row replaces the whole row of the table: an empty cell means the default of
    the column.
    """
    try:
        records = list(
            csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
        )
    except csv.Error as error:
        return Failure([Finding("file", f"CSV ({error})")])
    findings: list[Finding] = []
    numbered_records = [
        (number, record)
        for number, record in enumerate(records, start=1)
        if any(cell.strip() for cell in record)
    ]
    seen_revision = None
    if numbered_records and numbered_records[0][1][0] == REVISION_MARK:
        seen_revision = _read_revision(*numbered_records.pop(0), findings)
    if not numbered_records:
        return Failure([*findings, Finding("file", "a row with the column names")])
    header_number, header = numbered_records.pop(0)
    _check_header(header_number, header, findings)
    if findings:
        return Failure(findings)
    rows: list[FileRow] = []
    numbers_by_row: dict[tuple[str, str], int] = {}
    for number, record in numbered_records:
        row = _read_row(number, header, record, findings)
        if row is None:
            continue
        first_number = numbers_by_row.setdefault((row.kind, row.row.name), number)
        if first_number != number:
            expected = f"each row once (also row {first_number})"
            findings.append(Finding(f"row {number}", expected, row.row.name))
        rows.append(row)
    return Failure(findings) if findings else Success(TableFile(seen_revision, rows))


def format_cell(value: Any) -> str:
    """Format a value as text that the table accepts again."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _columns_by_kind() -> dict[str, list[str]]:
    return {kind: type_.columns() for kind, type_ in ROW_TYPES_BY_KIND.items()}


def _read_revision(
    number: int, record: Sequence[str], findings: list[Finding]
) -> int | None:
    text = record[1].strip() if len(record) > 1 else ""
    if text.isascii() and text.isdigit():
        return int(text)
    place = f"row {number}, column 2"
    findings.append(Finding(place, "the revision of the export", text))
    return None


def _check_header(number: int, header: Sequence[str], findings: list[Finding]) -> None:
    known = {column for columns in _columns_by_kind().values() for column in columns}
    for position, column in enumerate(header, start=1):
        place = f"row {number}, column {position}"
        if column not in known | {KIND_COLUMN}:
            findings.append(Finding(place, "a known column", column))
        elif column in header[: position - 1]:
            findings.append(Finding(place, "each column once", column))
    findings.extend(
        Finding(f"row {number}", f"a column {column}")
        for column in (KIND_COLUMN, "name")
        if column not in header
    )


def _read_row(
    number: int,
    header: Sequence[str],
    record: Sequence[str],
    findings: list[Finding],
) -> FileRow | None:
    place = f"row {number}"
    if len(record) > len(header):
        expected = f"at most {len(header)} cells"
        findings.append(Finding(place, expected, str(len(record))))
        return None
    cells = dict(zip(header, (cell.strip() for cell in record), strict=False))
    kind = cells.pop(KIND_COLUMN, "")
    row_type = ROW_TYPES_BY_KIND.get(kind)
    if row_type is None:
        expected = " or ".join(ROW_TYPES_BY_KIND)
        findings.append(Finding(f"{place}, column {KIND_COLUMN}", expected, kind))
        return None
    # A non-empty cell in a column of another kind is reported as unknown.
    values = {column: cell for column, cell in cells.items() if cell}
    result = parse_row(kind, values, place)
    if isinstance(result, Failure):
        findings.extend(result.failure())
        return None
    return FileRow(number, kind, result.unwrap())
