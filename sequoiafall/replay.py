"""Command line that generates, records and replays traces."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .replay_outcomes import (
    SAFETY_OUTCOMES,
    Outcome,
    add_slowdowns,
    check_outcomes,
    compute_metrics,
    read_outcomes,
    write_outcomes,
)
from .replay_policy import POLICIES_BY_NAME
from .replay_report import Report, read_json, text_summary, write_json, write_plots
from .replay_session import replay
from .reports import ReportPaths, bad_input_exit
from .traces import (
    WORKLOADS_BY_NAME,
    Scenario,
    Trace,
    TraceError,
    generate_trace,
    read_trace,
    trace_from_log,
    write_trace,
)

EXIT_OUTCOMES_MISSED = 1
PROGRESS_WIDTH = 40

app = typer.Typer(add_completion=False, help="Replay traces in virtual time.")


def _input_error(message: str) -> typer.Exit:
    return bad_input_exit("sequoiafall-replay", message)


def _progress(duration_s: float) -> Callable[[float], None] | None:
    """Return a callback that draws a progress bar, or None without a terminal."""
    if not sys.stderr.isatty():
        return None
    drawn_width = -1

    def draw(now: float) -> None:
        nonlocal drawn_width
        filled_width = min(
            PROGRESS_WIDTH, int(PROGRESS_WIDTH * now / max(1.0, duration_s))
        )
        if filled_width != drawn_width:
            drawn_width = filled_width
            bar = "#" * filled_width + "." * (PROGRESS_WIDTH - filled_width)
            sys.stderr.write(f"\r[{bar}] {100 * filled_width // PROGRESS_WIDTH}%")
            if filled_width == PROGRESS_WIDTH:
                sys.stderr.write("\n")

    return draw


def _load_trace(path: Path) -> Trace:
    try:
        return read_trace(path)
    except (OSError, TraceError) as error:
        raise _input_error(str(error)) from error


@app.command()
def generate(
    workload: Annotated[str, typer.Argument(help="putnu-galds or klompie")],
    scenario: Annotated[Scenario, typer.Argument(help="Fault or change of load.")],
    output: Annotated[Path, typer.Argument(help="Trace file to write.")],
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    duration: Annotated[float | None, typer.Option(help="Seconds.")] = None,
) -> None:
    """Generate a trace; its expected outcomes are the safety outcomes."""
    if workload not in WORKLOADS_BY_NAME:
        raise _input_error(f"workload: expected {' or '.join(WORKLOADS_BY_NAME)}")
    trace = generate_trace(WORKLOADS_BY_NAME[workload], scenario, seed, duration)
    write_trace(trace, output)
    write_outcomes(list(SAFETY_OUTCOMES), output)
    typer.echo(f"{output}: {len(trace.events)} events")


@app.command()
def record(
    log: Annotated[Path, typer.Argument(help="Log file of a gateway.")],
    fleet: Annotated[
        Path, typer.Argument(help="Trace whose fleet the new trace uses.")
    ],
    output: Annotated[Path, typer.Argument(help="Trace file to write.")],
) -> None:
    """Convert a gateway's log to a trace."""
    header = _load_trace(fleet).header
    with log.open() as lines:
        trace = trace_from_log(lines, header)
    write_trace(trace, output)
    typer.echo(f"{output}: {len(trace.events)} events")


def _run(trace: Trace, policy: str, slowdowns: bool) -> Report:
    if policy not in POLICIES_BY_NAME:
        raise _input_error(f"policy: expected {', '.join(POLICIES_BY_NAME)}")
    progress = _progress(trace.header.duration_s)
    result = replay(trace, POLICIES_BY_NAME[policy], progress)
    metrics = compute_metrics(trace, result)
    if slowdowns:
        add_slowdowns(trace, metrics)
    return Report([metrics], [result.loads_over_time])


def _write(report: Report, summary: str, outputs: list[Path]) -> None:
    for path in outputs:
        if path.suffix == ".json":
            write_json(report, path)
        elif path.suffix in (".png", ".html"):
            write_plots(report, summary, path)
        else:
            raise _input_error(f"{path}: expected .json, .png or .html")


@app.command()
def run(
    trace_path: Annotated[Path, typer.Argument(metavar="TRACE")],
    policy: Annotated[str, typer.Option(help="Replay policy.")] = "sequoiafall",
    against: Annotated[str, typer.Option(help="Second policy, for comparison.")] = "",
    output: ReportPaths = None,
    slowdowns: Annotated[
        bool,
        typer.Option(
            help="Compare each organisation with a dedicated share of the engines."
        ),
    ] = True,
) -> None:
    """Replay a trace; the exit status is 0 only if its expected outcomes are met."""
    trace = _load_trace(trace_path)
    try:
        outcomes: list[Outcome] = read_outcomes(trace_path)
    except msgspec.MsgspecError as error:
        raise _input_error(f"expected outcomes of {trace_path}: {error}") from error
    report = _run(trace, policy, slowdowns)
    if against:
        other = _run(trace, against, slowdowns)
        report.runs += other.runs
        report.loads_over_time += other.loads_over_time
    checked = check_outcomes(report.runs[0], outcomes)
    summary = text_summary(report, checked)
    typer.echo(summary)
    _write(report, summary, output or [])
    if not all(is_met for _, _, is_met in checked):
        raise typer.Exit(EXIT_OUTCOMES_MISSED)


@app.command()
def compare(
    first: Annotated[Path, typer.Argument(help="JSON report.")],
    second: Annotated[Path, typer.Argument(help="JSON report.")],
    output: ReportPaths = None,
) -> None:
    """Compare two reports."""
    try:
        reports = [read_json(path) for path in (first, second)]
    except (OSError, msgspec.MsgspecError) as error:
        raise _input_error(str(error)) from error
    report = Report(
        [run for part in reports for run in part.runs],
        [loads for part in reports for loads in part.loads_over_time],
    )
    summary = text_summary(report, [])
    typer.echo(summary)
    _write(report, summary, output or [])


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
