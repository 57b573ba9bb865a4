"""Command-line client for operators.

Exit codes: 0 in force, 2 bad input, 3 conflict with another operator,
4 unreachable or outcome unknown, 5 committed but not yet in force.
"""

from __future__ import annotations

import getpass
import hashlib
import re
import secrets
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any

import typer

from .edits import MAX_EDITS, RowEdit
from .late_causes import count_late_streams
from .operator_output import (
    format_changes,
    format_table,
    format_value,
)
from .operator_session import ControllerResponse, Session, Table
from .request_timeline import build_timeline, format_timeline
from .settings import Finding
from .table import ROW_TYPES_BY_KIND, Row
from .table_csv import FileRow, TableFile, read_csv, write_csv

SECRET_BYTES = 32
SECRET_PREFIX = "sqf_"


app = typer.Typer(
    name="sequoiafall-operator",
    help="Shows and edits the configuration.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_show_locals=False,
)
table_app = typer.Typer(help="Show and edit the table.", no_args_is_help=True)
key_app = typer.Typer(help="Create and withdraw keys.", no_args_is_help=True)
server_app = typer.Typer(help="Take backend servers out of service and back.")
app.add_typer(table_app, name="table")
app.add_typer(key_app, name="key")
app.add_typer(server_app, name="backend-server", no_args_is_help=True)


@app.callback()
def _connect(
    context: typer.Context,
    url: Annotated[
        str,
        typer.Option(
            envvar="SEQUOIAFALL_CONTROLLER_URLS",
            help="Comma-separated URLs of controllers.",
        ),
    ] = "",
    token_file: Annotated[
        str,
        typer.Option(
            envvar="SEQUOIAFALL_OPERATOR_TOKEN_FILE",
            help="File with the operators' token.",
        ),
    ] = "",
    actor: Annotated[
        str,
        typer.Option(envvar="SEQUOIAFALL_ACTOR", help="Name kept in the audit trail."),
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    operation_id: Annotated[
        str, typer.Option(help="Repeats an edit whose outcome is unknown.")
    ] = "",
) -> None:
    actor = actor or getpass.getuser()
    context.obj = Session(url, token_file, actor, as_json, operation_id)


Kind = Annotated[str, typer.Argument(help=", ".join(ROW_TYPES_BY_KIND))]
SeenRevision = Annotated[
    int | None,
    typer.Option(help="Revision that you saw; the newest one by default."),
]


@table_app.command("show")
def show_table(
    context: typer.Context,
    kind: Kind,
    name: Annotated[str, typer.Argument(help="Only this row.")] = "",
) -> None:
    """Show the rows of a kind."""
    session: Session = context.obj
    _check_kinds(session, [kind])
    table = session.require_rows(kind, [name] if name else [])
    rows = [table.rows_by_name[name]] if name else list(table.rows_by_name.values())
    _show_rows(session, table, rows, ROW_TYPES_BY_KIND[kind].columns())


@table_app.command("edit")
def edit_table(
    context: typer.Context,
    kind: Kind,
    name: str,
    values: Annotated[
        list[str] | None, typer.Argument(help="column=value, one for each column.")
    ] = None,
    delete: Annotated[bool, typer.Option("--delete", help="Delete the row.")] = False,
    seen_revision: SeenRevision = None,
) -> None:
    """Create, change or delete one row."""
    session: Session = context.obj
    _check_kinds(session, [kind])
    pairs = [value.partition("=") for value in values or []]
    findings = [
        Finding(f"argument {number}", "column=value", text)
        for number, (text, separator, _) in enumerate(pairs, start=1)
        if not separator
    ]
    if delete == bool(pairs):
        findings.append(Finding("arguments", "either column=value or --delete"))
    if findings:
        session.fail_with_findings(findings)
    if seen_revision is None:
        seen_revision = session.table(kind).revision
    columns = {column: value for column, _, value in pairs}
    edit = RowEdit(kind, name, None if delete else columns)
    session.finish(session.commit(seen_revision, [edit], takes_seen_revision=True))


@table_app.command("export")
def export_table(
    context: typer.Context,
    kinds: Annotated[
        list[str] | None, typer.Argument(help="Kinds; all by default.")
    ] = None,
    output: Annotated[str, typer.Option(help="File; standard output by default.")] = "",
) -> None:
    """Write rows as CSV, with the revision of the table in the first row."""
    session: Session = context.obj
    selected = kinds or list(ROW_TYPES_BY_KIND)
    _check_kinds(session, selected)
    tables = [session.table(kind) for kind in selected]
    # The tables are read one by one, each at the oldest revision or a later one.
    revision = min(table.revision for table in tables)
    text = write_csv(
        revision, {table.kind: list(table.rows_by_name.values()) for table in tables}
    )
    if not output:
        typer.echo(text, nl=False)
        return
    try:
        Path(output).write_text(text, encoding="utf-8")
    except OSError as error:
        session.fail_with_findings(
            [Finding("--output", f"a writable file ({error.strerror})")]
        )


@table_app.command("import")
def import_table(
    context: typer.Context,
    file: Annotated[str, typer.Argument(help="CSV file; - for standard input.")],
    seen_revision: SeenRevision = None,
    delete_missing: Annotated[
        bool,
        typer.Option(
            "--delete-missing", help="Delete rows of the file's kinds that it lacks."
        ),
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only show what would be sent.")
    ] = False,
) -> None:
    """Commit the rows of a CSV file that differ from the table."""
    session: Session = context.obj
    content = _read_file(session, file)
    seen = content.seen_revision if seen_revision is None else seen_revision
    if seen is None:
        expected = "a first row #revision,<number>, or --seen-revision"
        session.fail_with_findings([Finding("file", expected)])
    kinds = dict.fromkeys(row.kind for row in content.rows)
    tables = {kind: session.table(kind) for kind in ROW_TYPES_BY_KIND if kind in kinds}
    planned = _plan_import(content, tables, seen, delete_missing)
    if dry_run or not planned:
        _show_plan(session, planned, tables)
        return
    for start in range(0, len(planned), MAX_EDITS):
        batch = planned[start : start + MAX_EDITS]
        edits = [edit for _, edit in batch]
        response = session.send(
            seen, edits, start // MAX_EDITS, takes_seen_revision=True
        )
        if response.status != 200:
            if start:
                typer.echo(f"the first {start} rows were committed", err=True)
            session.fail(_locate_in_file(response, batch))
    session.finish(response.body, f"rows sent: {len(planned)}\n")


@key_app.command("create")
def create_key(
    context: typer.Context,
    organisation: str,
    name: Annotated[str, typer.Option(help="Identifier of the key.")] = "",
) -> None:
    """Create a key and show its secret once."""
    session: Session = context.obj
    name = name or f"{organisation}-{secrets.token_hex(4)}"
    table = session.table("key")
    if name in table.rows_by_name:
        session.fail_with_findings(
            [Finding("--name", "an identifier not used before", name)]
        )
    # Only the digest is sent, so that nobody but the holder knows the secret.
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    values = {"organisation": organisation, "digest": digest}
    response = session.send(table.revision, [RowEdit("key", name, values)])
    if response.body.get("ran") == "unknown":
        # The secret is not stored, so the command cannot be repeated with it.
        detail = f"if key list shows {name}, withdraw it and create another"
        response = ControllerResponse(
            response.status, {**response.body, "detail": detail}
        )
    if response.status != 200:
        session.fail(response)
    shown = {
        "name": name,
        "organisation": organisation,
        "secret": secret,
        **response.body,
    }
    text = f"name    {name}\nsecret  {secret}\nThe secret is not shown again.\n"
    session.finish(shown, text)


@key_app.command("withdraw")
def withdraw_key(context: typer.Context, names: list[str]) -> None:
    """Withdraw keys permanently and end the running requests that use them."""
    _set_state(context.obj, "key", names, "withdrawn")


@key_app.command("list")
def list_keys(
    context: typer.Context,
    organisation: Annotated[str, typer.Option(help="Only its keys.")] = "",
) -> None:
    """List keys without their digests."""
    session: Session = context.obj
    table = session.table("key")
    rows = [
        row
        for row in table.rows_by_name.values()
        if organisation in ("", row.values()["organisation"])
    ]
    _show_rows(session, table, rows, ["name", "organisation", "state"])


@server_app.command("list")
def list_servers(context: typer.Context) -> None:
    """List backend servers."""
    session: Session = context.obj
    table = session.table("backend_server")
    columns = ["name", "server_kind", "pool", "zone", "address", "state"]
    _show_rows(session, table, list(table.rows_by_name.values()), columns)


@server_app.command("clean")
def clean_servers(context: typer.Context, names: list[str]) -> None:
    """Take backend servers out of service for cleaning; they get no new work."""
    _set_state(context.obj, "backend_server", names, "cleaning")


@server_app.command("return-to-service")
def return_servers(context: typer.Context, names: list[str]) -> None:
    """Return backend servers to service."""
    _set_state(context.obj, "backend_server", names, "in_service")


@app.command("audit")
def show_audit(
    context: typer.Context,
    kind: Annotated[str, typer.Option(help="Only rows of this kind.")] = "",
    name: Annotated[str, typer.Option(help="Only rows with this name.")] = "",
    actor: Annotated[str, typer.Option(help="Only changes by this actor.")] = "",
    limit: Annotated[int, typer.Option(help="Largest number of changes.")] = 20,
    before: Annotated[int, typer.Option(help="Only revisions below this.")] = 0,
) -> None:
    """Show who changed what, when, from which value to which, newest first."""
    session: Session = context.obj
    parameters = {"kind": kind, "name": name, "actor": actor}
    parameters = {key: value for key, value in parameters.items() if value}
    parameters |= {"limit": str(limit), "before": str(before)}
    body = session.read("/audit", parameters)
    text = f"{format_changes(body['changes'])}\nrevision {body['revision']}"
    if body["next_before"]:
        text += f"\nolder changes: --before {body['next_before']}"
    session.show(body, text)


@app.command("status")
def show_status(context: typer.Context) -> None:
    """Show instances, owners and backend servers."""
    session: Session = context.obj
    body = session.read("/status")
    session.show(body, format_value(body))


@app.command("explain")
def explain(
    context: typer.Context,
    key_name: str,
    model: str,
    tokens: Annotated[
        int, typer.Option(help="Prompt tokens plus max_tokens of the request.")
    ] = 1,
) -> None:
    """Explain whether a request would be admitted now and where it would run."""
    session: Session = context.obj
    parameters = {"key_name": key_name, "model": model, "tokens": str(tokens)}
    body = session.read("/explain", parameters)
    session.show(body, format_value(body))


@app.command("story")
def show_story(
    request_id: Annotated[str, typer.Argument(help="ID of the request.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files; standard input by default."),
    ] = None,
) -> None:
    """Show the timeline of one request from the logs of many processes."""
    lines_by_source = _read_logs(files)
    timeline = build_timeline(request_id, lines_by_source)
    for line in format_timeline(request_id, timeline):
        typer.echo(line)
    if not timeline.lines:
        raise typer.Exit(1)


@app.command("late")
def show_late(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of all instances; standard input by default."),
    ] = None,
) -> None:
    """Count late streams by cause."""
    for row in count_late_streams(_read_logs(files)).rows():
        typer.echo(row)


def _read_logs(files: Sequence[Path] | None) -> dict[str, list[str]]:
    lines_by_source: dict[str, list[str]] = {}
    for path in files or []:
        try:
            text = path.read_bytes().decode(errors="replace")
        except OSError as error:
            typer.echo(f"{path}: expected a readable file ({error.strerror})", err=True)
            raise typer.Exit(2) from error
        lines_by_source[path.name] = text.splitlines()
    if not files:
        lines_by_source["-"] = sys.stdin.read().splitlines()
    return lines_by_source


def _check_kinds(session: Session, kinds: Sequence[str]) -> None:
    expected = " or ".join(ROW_TYPES_BY_KIND)
    findings = [
        Finding("kind", expected, kind)
        for kind in kinds
        if kind not in ROW_TYPES_BY_KIND
    ]
    if findings:
        session.fail_with_findings(findings)


def _show_rows(
    session: Session, table: Table, rows: Sequence[Row], columns: Sequence[str]
) -> None:
    body = {
        "revision": table.revision,
        "rows": [{c: row.values()[c] for c in columns} for row in rows],
    }
    text = format_table(columns, [[row.values()[c] for c in columns] for row in rows])
    session.show(body, f"{text}\nrevision {table.revision}")


def _set_state(session: Session, kind: str, names: Sequence[str], state: str) -> None:
    table = session.require_rows(kind, names)
    edits = [RowEdit(kind, name, {"state": state}) for name in dict.fromkeys(names)]
    session.finish(session.commit(table.revision, edits))


def _read_file(session: Session, file: str) -> TableFile:
    try:
        text = (
            sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8")
        )
    except (OSError, UnicodeDecodeError) as error:
        session.fail_with_findings([Finding("file", f"readable UTF-8 text ({error})")])
    result = read_csv(text)
    if not isinstance(result.value_or(None), TableFile):
        session.fail_with_findings(result.failure())
    return result.unwrap()


def _plan_import(
    content: TableFile, tables: Mapping[str, Table], seen: int, delete_missing: bool
) -> list[tuple[FileRow | None, RowEdit]]:
    """Return the edits to send, each with its row in the file.

    A row that was changed after the seen revision is sent even if it equals the
    current one; the controller compares it with the row that was seen.
    """
    planned: list[tuple[FileRow | None, RowEdit]] = []
    rows_by_kind: dict[str, list[FileRow]] = {kind: [] for kind in tables}
    for file_row in content.rows:
        rows_by_kind[file_row.kind].append(file_row)
    for kind, table in tables.items():
        for file_row in rows_by_kind[kind]:
            row = file_row.row
            unchanged = table.rows_by_name.get(row.name) == row
            if not unchanged or table.revisions_by_name[row.name] > seen:
                planned.append((file_row, RowEdit(kind, row.name, row.values())))
    if not delete_missing:
        return planned
    for kind, table in reversed(list(tables.items())):
        names_in_file = {file_row.row.name for file_row in rows_by_kind[kind]}
        planned.extend(
            (None, RowEdit(kind, name, None))
            for name in table.rows_by_name
            if name not in names_in_file
        )
    return planned


def _show_plan(
    session: Session,
    planned: Sequence[tuple[FileRow | None, RowEdit]],
    tables: Mapping[str, Table],
) -> None:
    rows: list[list[Any]] = []
    for _, edit in planned:
        current = tables[edit.kind].rows_by_name.get(edit.name)
        before = current.values() if current else {}
        if edit.values is None:
            rows.append([f"{edit.kind} {edit.name}", "", "", "deleted"])
            continue
        rows.extend(
            [f"{edit.kind} {edit.name}", column, before.get(column), value]
            for column, value in edit.values.items()
            if column != "name" and before.get(column) != value
        )
    columns = ["row", "column", "from", "to"]
    body = [dict(zip(columns, row, strict=True)) for row in rows]
    session.show(body, format_table(columns, rows) if rows else "nothing to change")


def _locate_in_file(
    response: ControllerResponse, batch: Sequence[tuple[FileRow | None, RowEdit]]
) -> ControllerResponse:
    """Replace positions in the batch by rows of the file in a controller's findings."""
    if "findings" not in response.body:
        return response

    def place(match: re.Match[str]) -> str:
        position = int(match[1]) - 1
        row = batch[position][0] if position < len(batch) else None
        return f"row {row.number}" if row else "deleted row"

    findings = [
        {**item, "place": re.sub(r"^row (\d+)", place, item["place"])}
        for item in response.body["findings"]
    ]
    return ControllerResponse(response.status, {**response.body, "findings": findings})


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
