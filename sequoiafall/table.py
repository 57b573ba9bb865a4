"""The operators' table: schema, validation and in-memory state."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from typing import Any, ClassVar

import msgspec
from returns.result import Failure, Result, Success

from .decoding import decode_json
from .settings import Finding
from .wire.gen.ttypes import Change, Edit, Snapshot
from .wire.gen.ttypes import Row as WireRow

MAX_NAME_LENGTH = 200
TRUE_TEXTS = frozenset({"true", "yes", "1"})
FALSE_TEXTS = frozenset({"false", "no", "0", ""})


class _ColumnError(ValueError):
    """Invalid value of a column; the message says what is expected."""


def _parse_name(value: Any) -> str:
    text = str(value)
    allowed = all(c.isalnum() or c in "._-@" for c in text)
    if not text or len(text) > MAX_NAME_LENGTH or not allowed:
        raise _ColumnError("a name of letters, digits, '.', '_', '-' or '@'")
    return text


def _parse_optional_name(value: Any) -> str:
    return "" if value in ("", None) else _parse_name(value)


def _parse_text(value: Any) -> str:
    return str(value)


def _parse_address(value: Any) -> str:
    host, separator, port = str(value).rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise _ColumnError("ip:port")
    return str(value)


def _parse_positive(value: Any) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        number = 0.0
    if not 0.0 < number < 1e12:
        raise _ColumnError("a number above 0")
    return number


def _parse_count(value: Any) -> int:
    try:
        number = int(value)
    except (TypeError, ValueError):
        number = -1
    if number < 0 or number != float(value):
        raise _ColumnError("an integer of at least 0")
    return number


def _parse_bool(value: Any) -> bool:
    text = str(value).lower()
    if text in TRUE_TEXTS:
        return True
    if text in FALSE_TEXTS:
        return False
    raise _ColumnError("true or false")


def _choice_parser(*choices: str) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if value not in choices:
            raise _ColumnError(" or ".join(choices))
        return str(value)

    return check


def _parse_digest(value: Any) -> str:
    text = str(value)
    if len(text) != 64 or not all(c in "0123456789abcdef" for c in text):
        raise _ColumnError("64 hexadecimal digits")
    return text


BACKEND_SERVER_STATES = ("in_service", "cleaning")


@dataclass(slots=True, frozen=True)
class Row:
    """Base class of the rows of the table."""

    name: str
    kind: ClassVar[str] = ""
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {}
    defaults_by_column: ClassVar[Mapping[str, Any]] = {}

    @classmethod
    def columns(cls) -> list[str]:
        """Names of the columns, ``name`` first."""
        return [column.name for column in fields(cls)]

    def values(self) -> dict[str, Any]:
        """Return the columns as a JSON-compatible mapping."""
        return {column: getattr(self, column) for column in self.columns()}


@dataclass(slots=True, frozen=True)
class Organisation(Row):
    """Weight, rate (tokens per second) and burst (tokens) of an organisation."""

    weight: float
    rate: float
    burst: float
    kind: ClassVar[str] = "organisation"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "weight": _parse_positive,
        "rate": _parse_positive,
        "burst": _parse_positive,
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {"weight": 1}


@dataclass(slots=True, frozen=True)
class Adapter(Row):
    """An adapter and the organisation that may use it."""

    organisation: str
    base_model: str
    open: bool
    weight: float
    kind: ClassVar[str] = "adapter"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "organisation": _parse_name,
        "base_model": _parse_name,
        "open": _parse_bool,
        "weight": _parse_positive,
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {
        "base_model": "base",
        "open": False,
        "weight": 1,
    }


@dataclass(slots=True, frozen=True)
class AdapterVersion(Row):
    """One version of an adapter and the object that holds its weights."""

    adapter: str
    version: str
    weights: str
    kind: ClassVar[str] = "adapter_version"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "adapter": _parse_name,
        "version": _parse_name,
        "weights": _parse_text,
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {"weights": ""}


@dataclass(slots=True, frozen=True)
class BackendServer(Row):
    """A model engine or a plain service."""

    address: str
    server_kind: str
    pool: str
    zone: str
    state: str
    checks_fencing: bool
    adapter_slots: int
    places: int
    kind: ClassVar[str] = "backend_server"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "address": _parse_address,
        "server_kind": _choice_parser("engine", "plain"),
        "pool": _parse_name,
        "zone": _parse_name,
        "state": _choice_parser(*BACKEND_SERVER_STATES),
        "checks_fencing": _parse_bool,
        "adapter_slots": _parse_count,
        "places": _parse_count,
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {
        "server_kind": "engine",
        "state": "in_service",
        "checks_fencing": False,
        "adapter_slots": 8,
        "places": 16,
    }


@dataclass(slots=True, frozen=True)
class Route(Row):
    """A pass-through route to the plain services of a pool."""

    pool: str
    organisation: str
    open: bool
    repeatable: bool
    kind: ClassVar[str] = "route"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "pool": _parse_name,
        "organisation": _parse_optional_name,
        "open": _parse_bool,
        "repeatable": _parse_bool,
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {
        "organisation": "",
        "open": False,
        "repeatable": False,
    }


@dataclass(slots=True, frozen=True)
class Key(Row):
    """A caller's key, stored as the SHA-256 digest of its secret."""

    organisation: str
    digest: str
    state: str
    kind: ClassVar[str] = "key"
    checks_by_column: ClassVar[Mapping[str, Callable[[Any], Any]]] = {
        "name": _parse_name,
        "organisation": _parse_name,
        "digest": _parse_digest,
        "state": _choice_parser("active", "withdrawn"),
    }
    defaults_by_column: ClassVar[Mapping[str, Any]] = {"state": "active"}


ROW_TYPES_BY_KIND: dict[str, type[Row]] = {
    row_type.kind: row_type
    for row_type in (Organisation, Adapter, AdapterVersion, BackendServer, Route, Key)
}


def parse_row(
    kind: str, values: Mapping[str, Any], place: str
) -> Result[Row, list[Finding]]:
    """Validate and convert the values of one row.

    Parameters
    ----------
    kind : str
        Kind of the row.
    values : mapping of str to object
        Values by column; text is converted, missing columns get defaults.
    place : str
        Place of the row, used in findings.

    Returns
    -------
    Result
        The row, or all findings of the row.
    """
    row_type = ROW_TYPES_BY_KIND.get(kind)
    if row_type is None:
        return Failure([Finding(place, "a kind of " + ", ".join(ROW_TYPES_BY_KIND))])
    findings = [
        Finding(f"{place}, column {column}", "a known column")
        for column in values
        if column not in row_type.checks_by_column
    ]
    checked: dict[str, Any] = {}
    for column, check in row_type.checks_by_column.items():
        column_place = f"{place}, column {column}"
        value = values.get(column)
        if value is None:
            value = row_type.defaults_by_column.get(column)
        if value is None:
            findings.append(Finding(column_place, "a value"))
            continue
        try:
            checked[column] = check(value)
        except _ColumnError as error:
            findings.append(Finding(column_place, str(error), str(value)))
    return Failure(findings) if findings else Success(row_type(**checked))


@dataclass(slots=True)
class TableState:
    """Rows of the table at one revision.

    Changes are applied in the order of their revisions; any other than the next
    one is not applied.
    """

    revision: int = 0
    organisations_by_name: dict[str, Organisation] = field(default_factory=dict)
    adapters_by_name: dict[str, Adapter] = field(default_factory=dict)
    adapter_versions_by_name: dict[str, AdapterVersion] = field(default_factory=dict)
    backend_servers_by_name: dict[str, BackendServer] = field(default_factory=dict)
    routes_by_name: dict[str, Route] = field(default_factory=dict)
    keys_by_name: dict[str, Key] = field(default_factory=dict)
    keys_by_digest: dict[str, Key] = field(default_factory=dict)
    revisions_by_row: dict[tuple[str, str], int] = field(default_factory=dict)

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> TableState:
        """Build the state from a snapshot.

        Raises
        ------
        ValueError
            If a row does not conform to the schema.
        """
        state = cls(revision=snapshot.revision)
        for row in snapshot.rows:
            state._put(row.kind, row.name, row.value, row.revision)
        return state

    def to_snapshot(self) -> Snapshot:
        """Return all rows with the revision that changed each last."""
        rows = [
            WireRow(
                kind, row.name, self.revisions_by_row[kind, row.name], _encode_row(row)
            )
            for kind in ROW_TYPES_BY_KIND
            for row in self.rows_by_name(kind).values()
        ]
        return Snapshot(self.revision, rows)

    def rows_by_name(self, kind: str) -> Mapping[str, Row]:
        """Return the rows of one kind.

        Raises
        ------
        KeyError
            If the kind is unknown.
        """
        return self._rows_of_kind(kind)

    def find(self, kind: str, name: str) -> Row | None:
        """Return one row, or None if it is absent."""
        return self._rows_of_kind(kind).get(name)

    def apply(self, change: Change) -> bool:
        """Apply the change with the next revision.

        Parameters
        ----------
        change : Change
            A committed change.

        Returns
        -------
        bool
            Whether it was applied; False for an older or non-adjacent one.
        """
        if change.revision != self.revision + 1:
            return False
        for edit in change.edits:
            if edit.kind not in ROW_TYPES_BY_KIND:
                continue
            self._put(edit.kind, edit.name, edit.after, change.revision)
        self.revision = change.revision
        return True

    def _rows_of_kind(self, kind: str) -> dict[str, Any]:
        rows_by_kind: dict[str, dict[str, Any]] = {
            "organisation": self.organisations_by_name,
            "adapter": self.adapters_by_name,
            "adapter_version": self.adapter_versions_by_name,
            "backend_server": self.backend_servers_by_name,
            "route": self.routes_by_name,
            "key": self.keys_by_name,
        }
        return rows_by_kind[kind]

    def _put(self, kind: str, name: str, value: str, revision: int) -> None:
        rows = self._rows_of_kind(kind)
        previous = rows.pop(name, None)
        if isinstance(previous, Key):
            self.keys_by_digest.pop(previous.digest, None)
        self.revisions_by_row[kind, name] = revision
        if not value:
            return
        row = decode_row(kind, value)
        rows[name] = row
        if isinstance(row, Key):
            self.keys_by_digest[row.digest] = row


def decode_row(kind: str, value: str) -> Row:
    """Decode the JSON value of a stored row.

    Raises
    ------
    ValueError
        If the value does not conform to the schema.
    """
    try:
        decoded = decode_json(value)
    except msgspec.DecodeError as error:
        raise ValueError(f"{kind}: {error}") from error
    match parse_row(kind, decoded, kind):
        case Success(row):
            return row
        case Failure(findings):
            raise ValueError("; ".join(str(finding) for finding in findings))
    raise AssertionError("unreachable")


def _encode_row(row: Row) -> str:
    return msgspec.json.encode(row.values()).decode()


def check_edits(
    state: TableState, edits: Sequence[tuple[str, str, Mapping[str, Any] | None]]
) -> Result[list[Edit], list[Finding]]:
    """Validate proposed edits against the schema, the state and each other.

    Parameters
    ----------
    state : TableState
        State that the edits start from.
    edits : sequence of (kind, name, values)
        Values given replace those of the row; None deletes the row.

    Returns
    -------
    Result
        Edits with the values before and after, or all findings.
    """
    findings: list[Finding] = []
    checked: list[Edit] = []
    after_by_row: dict[tuple[str, str], Row | None] = {}
    for number, (kind, name, values) in enumerate(edits, start=1):
        place = f"row {number} ({kind} {name})"
        if kind not in ROW_TYPES_BY_KIND:
            findings.append(Finding(place, "a kind of " + ", ".join(ROW_TYPES_BY_KIND)))
            continue
        if (kind, name) in after_by_row:
            findings.append(Finding(place, "each row once"))
            continue
        before = state.find(kind, name)
        after: Row | None = None
        if values is not None:
            merged = {**(before.values() if before else {}), **values, "name": name}
            match parse_row(kind, merged, place):
                case Success(row):
                    after = row
                case Failure(row_findings):
                    findings.extend(row_findings)
                    continue
        elif before is None:
            findings.append(Finding(place, "an existing row to delete"))
            continue
        after_by_row[kind, name] = after
        findings.extend(_check_transition(before, after, place))
        checked.append(
            Edit(
                kind,
                name,
                _encode_row(before) if before else "",
                _encode_row(after) if after else "",
            )
        )
    findings.extend(_check_references(state, after_by_row))
    return Failure(findings) if findings else Success(checked)


def _check_transition(
    before: Row | None, after: Row | None, place: str
) -> list[Finding]:
    # Reactivating a withdrawn key would undo a revocation that callers have been
    # informed of.
    if not isinstance(before, Key) or before.state != "withdrawn":
        return []
    if isinstance(after, Key) and after.state == "withdrawn":
        return []
    return [Finding(f"{place}, column state", "withdrawn (it cannot be undone)")]


def _check_references(
    state: TableState, after_by_row: Mapping[tuple[str, str], Row | None]
) -> list[Finding]:
    def exists(kind: str, name: str) -> bool:
        if (kind, name) in after_by_row:
            return after_by_row[kind, name] is not None
        return state.find(kind, name) is not None

    findings = []
    for (kind, name), row in after_by_row.items():
        for column, target_kind in _references(row):
            target = getattr(row, column)
            if target and not exists(target_kind, target):
                place = f"{kind} {name}, column {column}"
                findings.append(Finding(place, f"an existing {target_kind}", target))
        if isinstance(row, AdapterVersion) and name != f"{row.adapter}@{row.version}":
            place = f"{kind} {name}, column name"
            findings.append(Finding(place, f"{row.adapter}@{row.version}", name))
        if row is None and kind in ("organisation", "adapter"):
            findings.extend(_check_not_referenced(state, after_by_row, kind, name))
    return findings


def _check_not_referenced(
    state: TableState,
    after_by_row: Mapping[tuple[str, str], Row | None],
    kind: str,
    name: str,
) -> list[Finding]:
    for other_kind in ROW_TYPES_BY_KIND:
        for other in state.rows_by_name(other_kind).values():
            current = after_by_row.get((other_kind, other.name), other)
            uses = [
                column
                for column, target_kind in _references(current)
                if target_kind == kind and getattr(current, column) == name
            ]
            if uses:
                expected = f"no {other_kind} that refers to it ({other.name})"
                return [Finding(f"{kind} {name}", expected)]
    return []


def _references(row: Row | None) -> Iterable[tuple[str, str]]:
    if isinstance(row, Adapter | Route | Key):
        return [("organisation", "organisation")]
    if isinstance(row, AdapterVersion):
        return [("adapter", "adapter")]
    return []
