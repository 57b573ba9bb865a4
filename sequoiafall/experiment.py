"""Command line for placement experiments on simulated days."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure

from .day import Day, read_day
from .day_report import DayMetrics, DayReport, read_report
from .day_session import DaySession
from .placement_policy import POLICIES_BY_NAME
from .reports import ReportPaths, bad_input_exit

# The metrics of all runs are kept in memory until the report is written.
MAX_SEEDS = 1000

app = typer.Typer(
    add_completion=False, help="Compare placement policies in simulations."
)


def _input_error(message: str) -> typer.Exit:
    return bad_input_exit("sequoiafall-experiment", message)


def simulate_day(day: Day, policy: str, seed: int) -> DayMetrics:
    """Simulate one day and return its metrics."""
    session = DaySession(day, POLICIES_BY_NAME[policy], seed)
    session.run()
    return DayMetrics.from_session(session)


def _read_days(paths: list[Path]) -> list[Day]:
    days: list[Day] = []
    findings: list[str] = []
    for path in paths:
        result = read_day(path)
        if isinstance(result, Failure):
            findings.extend(str(finding) for finding in result.failure())
        else:
            days.append(result.unwrap())
    names = [day.name for day in days]
    findings.extend(
        f"{name}: more than one file defines a day of this name"
        for name in sorted({name for name in names if names.count(name) > 1})
    )
    if findings:
        raise _input_error("\n  ".join(["the days cannot be simulated:", *findings]))
    return days


def _check_policies(names: list[str]) -> None:
    unknown = [name for name in names if name not in POLICIES_BY_NAME]
    if unknown:
        known = ", ".join(POLICIES_BY_NAME)
        raise _input_error(f"policy {', '.join(unknown)}: expected {known}")


def _progress(done: int, total: int) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"\r{done} of {total} runs" + ("\n" if done == total else ""))


def _write(report: DayReport, outputs: list[Path]) -> None:
    for path in outputs:
        try:
            report.write(path)
        except (OSError, ValueError) as error:
            raise _input_error(str(error)) from error


@app.command()
def run(
    days: Annotated[list[Path], typer.Argument(metavar="DAY...")],
    policy: Annotated[
        list[str] | None,
        typer.Option(help="Policy; repeat it for several, or use: all"),
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, max=MAX_SEEDS, help="Number of seeds for each day.")
    ] = 3,
    first_seed: Annotated[
        int, typer.Option(min=0, help="First seed; the others follow it.")
    ] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Number of parallel processes.")] = 2,
    output: ReportPaths = None,
) -> None:
    """Simulate each day under each policy and seed, and print a comparison."""
    policies = policy or ["sequoiafall"]
    if policies == ["all"]:
        policies = list(POLICIES_BY_NAME)
    _check_policies(policies)
    loaded_days = _read_days(days)
    for path in output or []:
        if path.suffix not in (".json", ".png", ".html"):
            raise _input_error(f"{path}: expected .json, .png or .html")
    tasks = [
        (day, name, seed)
        for day in loaded_days
        for name in policies
        for seed in range(first_seed, first_seed + seeds)
    ]
    runs: list[DayMetrics] = []
    with ProcessPoolExecutor(max_workers=min(jobs, len(tasks))) as executor:
        futures = [executor.submit(simulate_day, *item) for item in tasks]
        for done, _ in enumerate(as_completed(futures), start=1):
            _progress(done, len(tasks))
        runs = [future.result() for future in futures]
    report = DayReport(runs)
    typer.echo(report.text())
    _write(report, output or [])


@app.command()
def compare(
    first: Annotated[Path, typer.Argument(help="JSON report.")],
    second: Annotated[Path, typer.Argument(help="JSON report.")],
    output: ReportPaths = None,
) -> None:
    """Compare two reports."""
    merged: list[DayMetrics] = []
    for label, path in (("1", first), ("2", second)):
        try:
            report = read_report(path)
        except (OSError, msgspec.MsgspecError) as error:
            raise _input_error(f"{path}: {error}") from error
        for metrics in report.runs:
            metrics.policy = f"{metrics.policy} ({label})"
            merged.append(metrics)
    merged_report = DayReport(merged)
    typer.echo(merged_report.text())
    _write(merged_report, output or [])


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
