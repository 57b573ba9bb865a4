"""Command that plays days in virtual time under several policies and seeds."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure

from .day import Day, read_day
from .day_report import DayFigures, DayReport, read_report
from .day_session import DaySession
from .placement_policy import POLICIES_BY_NAME
from .reports import ReportPaths, bad_input_exit

# All runs of an experiment are kept until its report is written.
MAX_SEEDS = 1000

app = typer.Typer(add_completion=False, help="Try out how requests are placed.")


def _stop(message: str) -> typer.Exit:
    return bad_input_exit("sequoiafall-experiment", message)


def play(day: Day, policy: str, seed: int) -> DayFigures:
    """Play one day and return its figures."""
    session = DaySession(day, POLICIES_BY_NAME[policy], seed)
    session.run()
    return DayFigures.from_session(session)


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
        f"{name}: two files give a day of this name"
        for name in sorted({name for name in names if names.count(name) > 1})
    )
    if findings:
        raise _stop("\n  ".join(["the days cannot be played:", *findings]))
    return days


def _check_policies(names: list[str]) -> None:
    unknown = [name for name in names if name not in POLICIES_BY_NAME]
    if unknown:
        known = ", ".join(POLICIES_BY_NAME)
        raise _stop(f"policy {', '.join(unknown)}: expected {known}")


def _progress(done: int, of: int) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"\r{done} of {of} runs" + ("\n" if done == of else ""))


def _write(report: DayReport, outputs: list[Path]) -> None:
    for path in outputs:
        try:
            report.write(path)
        except (OSError, ValueError) as error:
            raise _stop(str(error)) from error


@app.command()
def run(
    days: Annotated[list[Path], typer.Argument(metavar="DAY...")],
    policy: Annotated[
        list[str] | None, typer.Option(help="Policy; repeat for several, or: all")
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, max=MAX_SEEDS, help="Seeds of each day.")
    ] = 3,
    first_seed: Annotated[int, typer.Option(min=0, help="The first of them.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Processes at a time.")] = 2,
    output: ReportPaths = None,
) -> None:
    """Play each day under each policy with each seed; print them side by side."""
    policies = policy or ["sequoiafall"]
    if policies == ["all"]:
        policies = list(POLICIES_BY_NAME)
    _check_policies(policies)
    played = _read_days(days)
    for path in output or []:
        if path.suffix not in (".json", ".png", ".html"):
            raise _stop(f"{path}: expected .json, .png or .html")
    work = [
        (day, name, seed)
        for day in played
        for name in policies
        for seed in range(first_seed, first_seed + seeds)
    ]
    runs: list[DayFigures] = []
    with ProcessPoolExecutor(max_workers=min(jobs, len(work))) as executor:
        futures = [executor.submit(play, *item) for item in work]
        for done, _ in enumerate(as_completed(futures), start=1):
            _progress(done, len(work))
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
    """Show two results side by side."""
    merged: list[DayFigures] = []
    for label, path in (("1", first), ("2", second)):
        try:
            report = read_report(path)
        except (OSError, msgspec.MsgspecError) as error:
            raise _stop(f"{path}: {error}") from error
        for figures in report.runs:
            figures.policy = f"{figures.policy} ({label})"
            merged.append(figures)
    both = DayReport(merged)
    typer.echo(both.text())
    _write(both, output or [])


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
