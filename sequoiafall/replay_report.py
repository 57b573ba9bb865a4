"""Reports of replays: text, JSON, and plots as PNG or HTML."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from .decoding import decode_json
from .replay_outcomes import Outcome, ReplayMetrics
from .reports import render_png, write_image

PLOT_SIZE_INCHES = (12.0, 8.0)


class Report(msgspec.Struct):
    """Metrics and loads over time of one or two replays.

    Parameters
    ----------
    runs : list of ReplayMetrics
        Metrics of one run, or of two for comparison.
    loads_over_time : list of list of (float, int)
        For each run, the start time of each load in seconds and the number of loads
        in transit.
    """

    runs: list[ReplayMetrics]
    loads_over_time: list[list[tuple[float, int]]]


def text_summary(
    report: Report, checked: Sequence[tuple[Outcome, float | None, bool]]
) -> str:
    """Return the metrics of the runs and the checked outcomes of the first run."""
    runs = report.runs
    width = max(len(name) for run in runs for name in run.values) + 2
    lines = ["trace: " + ", ".join(f"{run.trace} seed {run.seed}" for run in runs)]
    lines.append("".ljust(width) + "".join(f"{run.policy:>18}" for run in runs))
    for name in runs[0].values:
        cells = (f"{run.values.get(name, 0.0):18.4g}" for run in runs)
        lines.append(name.ljust(width) + "".join(cells))
    for run in runs:
        lines.append(f"by organisation ({run.policy}):")
        for name, row in run.by_organisation.items():
            lines.append(
                f"  {name}: requests {row.requests}, refused {row.refused}, "
                f"mean response {row.mean_response_s:.2f} s, first token (p95) "
                f"{row.p95_first_token_s:.2f} s, stalls {row.stalls} "
                f"({row.stall_s:.1f} s), slowdown {row.slowdown:.2f}"
            )
    for outcome, value, is_met in checked:
        found = "not measured" if value is None else f"{value:.4g}"
        lines.append(f"{'met' if is_met else 'MISSED'}: {outcome} (found {found})")
    return "\n".join(lines)


def _plot(report: Report) -> Any:
    # Imported here because the import takes longer than a short replay.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=PLOT_SIZE_INCHES, layout="constrained")
    latency, stalls, loads, fairness = axes.flat
    for index, run in enumerate(report.runs):
        offset = (index - (len(report.runs) - 1) / 2) * 0.4
        names = list(run.by_organisation)
        organisations = list(run.by_organisation.values())
        positions = [position + offset for position in range(len(names))]
        for axis, values in (
            (latency, [metrics.p95_first_token_s for metrics in organisations]),
            (stalls, [metrics.stall_s for metrics in organisations]),
            (fairness, [metrics.slowdown for metrics in organisations]),
        ):
            axis.bar(positions, values, width=0.38, label=run.policy)
            axis.set_xticks(range(len(names)), names, rotation=20, fontsize=8)
        transit = report.loads_over_time[index]
        loads.plot(
            [at for at, _ in transit],
            range(1, len(transit) + 1),
            label=run.policy,
        )
    latency.set_title("first token, 95th percentile (s)")
    stalls.set_title("time waiting for loads (s)")
    loads.set_title("loads started")
    loads.set_xlabel("s")
    fairness.set_title("slowdown relative to a dedicated share of the fleet")
    for axis in axes.flat:
        axis.legend(fontsize=8)
    return figure


def write_plots(report: Report, summary: str, path: Path) -> None:
    """Write the plots as PNG, or as HTML with the summary, depending on the suffix.

    Raises
    ------
    OSError
        The file cannot be written.
    """
    write_image(path, render_png(_plot(report)), "Replay", summary)


def write_json(report: Report, path: Path) -> None:
    """Write the report as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)) + b"\n")


def read_json(path: Path) -> Report:
    """Read a report that `write_json` wrote.

    Raises
    ------
    msgspec.MsgspecError
        The file is not a valid report.
    """
    return decode_json(path.read_bytes(), Report)
