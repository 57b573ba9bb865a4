"""Common part of the operators' commands: requests to controllers and exit codes."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from functools import cached_property
from typing import Any, NoReturn

import aiohttp
import msgspec
import typer

from .decoding import decode_json
from .edits import RowEdit
from .engine_client import StrictConnector
from .operator_output import (
    format_conflicts,
)
from .settings import Finding, SettingError, parse_secret_file, parse_url
from .table import Row, parse_row

# The controller responds within 7 s of the commit, which takes up to 4 s.
EDIT_TIMEOUT_S = 15.0
READ_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# Attempts at each controller before an operation fails.
MAX_ROUNDS = 2
ROUND_PAUSE_S = 0.5
NOT_COMMITTED = "not committed"
NOT_READ = "not read"


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


@dataclass(slots=True, frozen=True)
class ControllerResponse:
    """Response of a controller; status 0 means that there was none."""

    status: int
    body: Mapping[str, Any]

    @property
    def is_final(self) -> bool:
        """Whether another controller would give the same response."""
        return self.status in (200, 400, 401, 404, 409)


@dataclass(slots=True, frozen=True)
class ControllerClient:
    """Sends requests to the first controller that responds.

    Parameters
    ----------
    urls : list of str
        Controllers' URLs, tried in order.
    token : bytes
        Bearer token.
    """

    urls: list[str]
    token: bytes

    def get(
        self, path: str, parameters: Mapping[str, str] | None = None
    ) -> ControllerResponse:
        """Send a GET request."""
        return asyncio.run(
            self._request("GET", path, READ_TIMEOUT_S, params=parameters)
        )

    def edit(self, body: Mapping[str, Any]) -> ControllerResponse:
        """Send an edit; its operation identifier makes it safe to repeat."""
        return asyncio.run(
            self._request("POST", "/table/edits", EDIT_TIMEOUT_S, json=body)
        )

    async def _request(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> ControllerResponse:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.token.decode()}"}
        last_response = ControllerResponse(0, {"detail": "no controller answers"})
        unknown_outcome: ControllerResponse | None = None
        async with aiohttp.ClientSession(
            connector=StrictConnector(), timeout=timeout, headers=headers
        ) as session:
            for number in range(MAX_ROUNDS * len(self.urls)):
                if number and number % len(self.urls) == 0:
                    await asyncio.sleep(ROUND_PAUSE_S)
                url = self.urls[number % len(self.urls)] + path
                last_response = await _send(session, method, url, options)
                if last_response.is_final:
                    return last_response
                if last_response.body.get("ran") == "unknown":
                    unknown_outcome = last_response
        # A later "not run" says nothing about an earlier attempt.
        return unknown_outcome or last_response


async def _send(
    session: aiohttp.ClientSession, method: str, url: str, options: Any
) -> ControllerResponse:
    try:
        async with session.request(method, url, **options) as response:
            body = decode_json(await response.read())
            if not isinstance(body, dict):
                return ControllerResponse(
                    0, {"detail": "malformed answer", "ran": "unknown"}
                )
            return ControllerResponse(response.status, body)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return ControllerResponse(
            0, {"detail": f"cannot connect to {url}", "ran": "not run"}
        )
    except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
        detail = f"no answer from {url} ({type(error).__name__})"
        return ControllerResponse(0, {"detail": detail, "ran": "unknown"})


@dataclass(slots=True, frozen=True)
class Table:
    """Rows of one kind, as read from a controller."""

    kind: str
    revision: int
    rows_by_name: dict[str, Row]
    revisions_by_name: dict[str, int]


class Session:
    """Options and controller client of one command."""

    def __init__(
        self,
        url: str,
        token_file: str,
        actor: str,
        as_json: bool,
        operation_id: str = "",
    ) -> None:
        self.operation_id = operation_id or uuid.uuid4().hex
        self.actor = actor
        self.as_json = as_json
        self._url = url
        self._token_file = token_file

    @cached_property
    def client(self) -> ControllerClient:
        """Client built from the options; exits if they are invalid."""
        findings = []
        urls: list[str] = []
        token = b""
        try:
            parts = (part.strip() for part in self._url.split(","))
            urls = [parse_url(part) for part in parts if part]
        except SettingError as error:
            findings.append(Finding("--url", str(error), self._url))
        if not urls and not findings:
            findings.append(Finding("--url", "the URL of a controller"))
        try:
            token = parse_secret_file(self._token_file)
        except SettingError as error:
            findings.append(Finding("--token-file", str(error), self._token_file))
        if findings:
            self.fail_with_findings(findings)
        return ControllerClient(urls, token)

    def show(self, body: Any, text: str) -> None:
        """Print a result as JSON or as text."""
        typer.echo(json.dumps(body, indent=2) if self.as_json else text)

    def read(self, path: str, parameters: Mapping[str, str] | None = None) -> Any:
        """Read from a controller; exit on failure."""
        response = self.client.get(path, parameters)
        if response.status != 200:
            self.fail(response, NOT_READ)
        return response.body

    def table(self, kind: str) -> Table:
        """Read the rows of a kind; exit on failure."""
        body = self.read(f"/table/{kind}")
        rows_by_name: dict[str, Row] = {}
        revisions_by_name: dict[str, int] = {}
        for item in body["rows"]:
            row = parse_row(kind, item["values"], kind).unwrap()
            rows_by_name[row.name] = row
            revisions_by_name[row.name] = item["revision"]
        return Table(kind, body["revision"], rows_by_name, revisions_by_name)

    def require_rows(self, kind: str, names: Sequence[str]) -> Table:
        """Read the rows of a kind; exit if one of the names is absent."""
        table = self.table(kind)
        missing = [name for name in names if name not in table.rows_by_name]
        if missing:
            self.fail_with_findings(
                [Finding(kind, f"an existing {kind}", n) for n in missing]
            )
        return table

    def send(
        self,
        seen_revision: int,
        edits: Sequence[RowEdit],
        batch: int = 0,
        takes_seen_revision: bool = False,
    ) -> ControllerResponse:
        """Send an edit and return the final response, successful or not.

        Parameters
        ----------
        seen_revision : int
            Revision of the table that the operator saw.
        edits : sequence of RowEdit
            The edit.
        batch : int
            Number of this part of an import.
        takes_seen_revision : bool
            Whether the command has the option ``--seen-revision``.
        """
        suffix = f".{batch}" if batch else ""
        body = {
            "seen_revision": seen_revision,
            "actor": self.actor,
            "operation_id": self.operation_id + suffix,
            "edits": [
                {"kind": edit.kind, "name": edit.name, "values": edit.values}
                for edit in edits
            ],
        }
        response = self.client.edit(body)
        if response.body.get("ran") != "unknown":
            return response
        detail = "read the table to learn the outcome"
        if takes_seen_revision:
            detail = (
                f"repeat with --operation-id {self.operation_id} and "
                f"--seen-revision {seen_revision} to learn the outcome"
            )
        return ControllerResponse(response.status, {**response.body, "detail": detail})

    def commit(
        self,
        seen_revision: int,
        edits: Sequence[RowEdit],
        takes_seen_revision: bool = False,
    ) -> Mapping[str, Any]:
        """Send an edit; return the response if it was committed, else exit."""
        response = self.send(
            seen_revision, edits, takes_seen_revision=takes_seen_revision
        )
        if response.status != 200:
            self.fail(response)
        return response.body

    def finish(self, body: Mapping[str, Any], text: str = "") -> NoReturn:
        """Print a committed edit and exit with 0, or 5 if not yet in force."""
        in_force = bool(body["in_force"])
        state = "in force" if in_force else "committed, not yet in force"
        self.show(body, f"{text}revision {body['revision']}, {state}")
        raise typer.Exit(ExitCode.OK if in_force else ExitCode.NOT_IN_FORCE)

    def fail_with_findings(self, findings: Sequence[Finding]) -> NoReturn:
        """Print findings that were made before anything was sent, and exit."""
        items = [
            {"place": f.place, "expected": f.expected, "found": f.found}
            for f in findings
        ]
        self.fail(
            ControllerResponse(400, {"reason": "invalid_request", "findings": items})
        )

    def fail(
        self, response: ControllerResponse, outcome: str = NOT_COMMITTED
    ) -> NoReturn:
        """Print a failed response and exit with the code for it."""
        if self.as_json:
            typer.echo(json.dumps(response.body, indent=2))
        else:
            typer.echo(_failure_text(response, outcome), err=True)
        raise typer.Exit(_exit_code(response))


def _exit_code(response: ControllerResponse) -> ExitCode:
    if response.status in (400, 401, 404):
        return ExitCode.BAD_INPUT
    return ExitCode.CONFLICT if response.status == 409 else ExitCode.UNREACHABLE


def _failure_text(response: ControllerResponse, outcome: str) -> str:
    body = response.body
    if "findings" in body:
        findings = [Finding(**item) for item in body["findings"]]
        return "\n".join(str(finding) for finding in findings)
    if "conflicts" in body:
        return "changed by another operator; nothing was committed\n" + (
            format_conflicts(body["conflicts"])
        )
    if response.status == 401:
        return "the token is not accepted"
    if body.get("ran") == "unknown" and outcome == NOT_COMMITTED:
        outcome = "outcome unknown"
    detail = body.get("detail") or body.get("reason") or f"status {response.status}"
    return f"{outcome}: {detail}"
