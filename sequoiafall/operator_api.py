"""HTTP API of the controller for operators."""

from __future__ import annotations

import abc
import hmac
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from .audit import DEFAULT_LIMIT, MAX_LIMIT, AuditPage, AuditQuery
from .decoding import decode_json
from .edits import (
    CommitError,
    EditConflict,
    EditRequest,
    Invalid,
    RowEdit,
    ViewConflict,
)
from .log import log_event
from .records import encode_change
from .refusal import Reason, Refusal, RunStatus
from .settings import Finding
from .store_results import Unavailable, Unknown
from .table import ROW_TYPES_BY_KIND, TableState

# Outages of the platform may last long; an earlier retry rarely succeeds.
RETRY_AFTER_S = 2.0


@dataclass(slots=True, frozen=True)
class EditOutcome:
    """Outcome of a committed edit.

    Parameters
    ----------
    revision : int
        Revision of the change, or the current one if nothing had to change.
    in_force : bool
        Whether no instance acts on an older revision any more.
    """

    revision: int
    in_force: bool


class ConfigurationBackend(abc.ABC):
    """Operations of the controller that the operators' API exposes."""

    @abc.abstractmethod
    async def edit(self, request: EditRequest) -> Result[EditOutcome, CommitError]:
        """Commit an edit and wait until it is in force, for at most 7 s."""

    @abc.abstractmethod
    def table_state(self) -> TableState:
        """Return the table at the newest revision that this process knows."""

    @abc.abstractmethod
    async def audit(self, query: AuditQuery) -> Result[AuditPage, Unavailable]:
        """Read the audit trail."""

    @abc.abstractmethod
    async def status(self) -> dict[str, Any]:
        """Return the state of instances, owners and backend servers as JSON."""

    @abc.abstractmethod
    async def explain(self, key_name: str, model: str, tokens: int) -> dict[str, Any]:
        """Return as JSON whether a request would be admitted and where it would run.

        Parameters
        ----------
        key_name, model : str
            Identifier of the caller's key; adapter with or without a version.
        tokens : int
            Prompt tokens plus ``max_tokens``.
        """


class OperatorApi:
    """HTTP handlers of the operators' API.

    Parameters
    ----------
    backend : ConfigurationBackend
        Executes the requests.
    token : bytes
        Bearer token that operators send.
    """

    def __init__(self, backend: ConfigurationBackend, token: bytes) -> None:
        self._backend = backend
        self._authorization = b"Bearer " + token

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [
            web.get("/table/{kind}", self._authenticated(self._show_table)),
            web.post("/table/edits", self._authenticated(self._edit)),
            web.get("/audit", self._authenticated(self._audit)),
            web.get("/status", self._authenticated(self._status)),
            web.get("/explain", self._authenticated(self._explain)),
        ]

    def _authenticated(self, handler: Any) -> Any:
        async def authenticated(request: web.Request) -> web.Response:
            given = request.headers.get("Authorization", "")
            if not hmac.compare_digest(
                given.encode("utf-8", "replace"), self._authorization
            ):
                return refusal_response(Refusal(Reason.INVALID_KEY))
            return await handler(request)

        return authenticated

    async def _show_table(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind not in ROW_TYPES_BY_KIND:
            expected = "a kind of " + ", ".join(ROW_TYPES_BY_KIND)
            return findings_response([Finding("kind", expected, kind)])
        state = self._backend.table_state()
        rows = [
            {"revision": state.revisions_by_row[kind, name], "values": row.values()}
            for name, row in sorted(state.rows_by_name(kind).items())
        ]
        body = {"revision": state.revision, "kind": kind, "rows": rows}
        return web.json_response(body)

    async def _edit(self, request: web.Request) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return findings_response([Finding("body", "fewer edits")])
        parsed = parse_edit_request(body)
        if isinstance(parsed, Failure):
            return findings_response(parsed.failure())
        edit_request = parsed.unwrap()
        result = await self._backend.edit(edit_request)
        if isinstance(result, Failure):
            log_event(
                "edit_refused",
                operation=edit_request.operation_id,
                actor=edit_request.actor,
                error=type(result.failure()).__name__,
            )
            return _error_response(result.failure(), edit_request.operation_id)
        outcome = result.unwrap()
        outcome_body = {
            "revision": outcome.revision,
            "in_force": outcome.in_force,
            "operation_id": edit_request.operation_id,
        }
        return web.json_response(outcome_body)

    async def _audit(self, request: web.Request) -> web.Response:
        parsed = parse_audit_query(request.query)
        if isinstance(parsed, Failure):
            return findings_response(parsed.failure())
        result = await self._backend.audit(parsed.unwrap())
        if isinstance(result, Failure):
            return _error_response(result.failure(), "")
        page = result.unwrap()
        changes = [encode_change(change) for change in page.changes]
        body = {
            "revision": page.revision,
            "changes": changes,
            "next_before": page.next_before,
        }
        return web.json_response(body)

    async def _status(self, _request: web.Request) -> web.Response:
        return web.json_response(await self._backend.status())

    async def _explain(self, request: web.Request) -> web.Response:
        names = ("key_name", "model")
        findings = [
            Finding(name, "a value") for name in names if not request.query.get(name)
        ]
        tokens = _parse_integer(request.query, "tokens", 1, range(1, 2**31), findings)
        if findings:
            return findings_response(findings)
        key_name, model = (request.query[name] for name in names)
        report = await self._backend.explain(key_name, model, tokens)
        return web.json_response(report)


def parse_edit_request(body: bytes) -> Result[EditRequest, list[Finding]]:
    """Parse and validate the body of an edit and collect all findings.

    Parameters
    ----------
    body : bytes
        JSON object with ``seen_revision``, ``actor``, ``edits`` and, to repeat
        an edit safely, ``operation_id``.

    Returns
    -------
    Result
        The request, or all findings with their fields.
    """
    try:
        payload = decode_json(body)
    except msgspec.DecodeError as error:
        return Failure([Finding("body", f"JSON ({error})")])
    if not isinstance(payload, dict):
        return Failure([Finding("body", "a JSON object")])
    fields = _FieldReader(payload, "")
    seen_revision = fields.take("seen_revision", int, "an integer of at least 0")
    actor = fields.take("actor", str, "a non-empty text")
    operation_id = fields.take("operation_id", str, "a non-empty text", default="")
    items = fields.take("edits", list, "a list of edits")
    findings = fields.finish()
    if isinstance(seen_revision, int) and seen_revision < 0:
        expected = "an integer of at least 0"
        findings.append(Finding("seen_revision", expected, str(seen_revision)))
    edits: list[RowEdit] = []
    for number, item in enumerate(items or [], start=1):
        edit = _parse_row_edit(item, f"edits[{number}]", findings)
        if edit is not None:
            edits.append(edit)
    if findings:
        return Failure(findings)
    identifier = {"operation_id": operation_id} if operation_id else {}
    return Success(EditRequest(seen_revision, actor, edits, **identifier))


def parse_audit_query(query: Mapping[str, str]) -> Result[AuditQuery, list[Finding]]:
    """Parse and validate the parameters of an audit query and collect all findings."""
    findings: list[Finding] = []
    known = {"before", "limit", "kind", "name", "actor"}
    findings.extend(
        Finding(name, "a known parameter") for name in query if name not in known
    )
    before = _parse_integer(query, "before", 0, range(0, 2**62), findings)
    limit = _parse_integer(
        query, "limit", DEFAULT_LIMIT, range(1, MAX_LIMIT + 1), findings
    )
    if findings:
        return Failure(findings)
    texts = (query.get(name, "") for name in ("kind", "name", "actor"))
    return Success(AuditQuery(before, limit, *texts))


def findings_response(findings: Sequence[Finding]) -> web.Response:
    """Return a response with status 400 that lists all findings."""
    body = {
        "reason": Reason.INVALID_REQUEST,
        "ran": RunStatus.NOT_RUN,
        "findings": [asdict(finding) for finding in findings],
    }
    return web.json_response(body, status=400)


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the response for a refusal."""
    headers = {}
    if refusal.retry_after_s:
        headers["Retry-After"] = f"{refusal.retry_after_s:g}"
    body = {"reason": refusal.reason, "ran": refusal.ran, "detail": refusal.detail}
    return web.json_response(body, status=refusal.status, headers=headers)


class _FieldReader:
    """Reads typed fields from a JSON object and collects findings."""

    def __init__(self, payload: Mapping[str, Any], place: str) -> None:
        self._payload = payload
        self._prefix = place
        self._findings: list[Finding] = []
        self._taken: set[str] = set()

    def take(self, name: str, type_: type, expected: str, default: Any = None) -> Any:
        self._taken.add(name)
        value = self._payload.get(name, default)
        # A bool is an instance of int, but a JSON boolean is no integer.
        is_valid = isinstance(value, type_) and not isinstance(value, bool)
        if not is_valid or (value == "" and default is None):
            found = "" if value is None else str(value)[:100]
            self._findings.append(Finding(self._prefix + name, expected, found))
            return None
        return value

    def take_object_or_null(self, name: str) -> dict[str, Any] | None:
        self._taken.add(name)
        value = self._payload.get(name, ...)
        if value is None or isinstance(value, dict):
            return value
        expected = "a JSON object, or null to delete the row"
        self._findings.append(Finding(self._prefix + name, expected))
        return None

    def finish(self) -> list[Finding]:
        unknown = [name for name in self._payload if name not in self._taken]
        for name in unknown:
            self._findings.append(Finding(self._prefix + name, "a known field"))
        return self._findings


def _parse_row_edit(item: Any, place: str, findings: list[Finding]) -> RowEdit | None:
    if not isinstance(item, dict):
        findings.append(Finding(place, "a JSON object"))
        return None
    fields = _FieldReader(item, place + ".")
    kind = fields.take("kind", str, "a kind of row")
    name = fields.take("name", str, "a non-empty text")
    values = fields.take_object_or_null("values")
    item_findings = fields.finish()
    findings.extend(item_findings)
    return None if item_findings else RowEdit(kind or "", name or "", values)


def _parse_integer(
    query: Mapping[str, str],
    name: str,
    default: int,
    allowed: range,
    findings: list[Finding],
) -> int:
    text = query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and int(text) in allowed):
        expected = f"an integer from {allowed.start} to {allowed.stop - 1}"
        findings.append(Finding(name, expected, text[:100]))
        return default
    return int(text)


def _error_response(error: CommitError, operation_id: str) -> web.Response:
    if isinstance(error, Invalid):
        return findings_response(error.findings)
    if isinstance(error, EditConflict):
        body = {
            "reason": "conflict",
            "ran": RunStatus.NOT_RUN,
            "conflicts": [asdict(row) for row in error.rows],
        }
        return web.json_response(body, status=409)
    if isinstance(error, Unknown):
        detail = f"repeat with operation_id {operation_id} to learn the outcome"
        refusal = Refusal(
            Reason.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, RETRY_AFTER_S, detail=detail
        )
        return refusal_response(refusal)
    assert not isinstance(error, ViewConflict), "an edit does not change the view"
    detail = f"platform: {error.detail}"
    return refusal_response(
        Refusal(Reason.PLATFORM_UNAVAILABLE, RunStatus.NOT_RUN, RETRY_AFTER_S, detail)
    )
