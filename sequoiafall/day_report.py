"""Metrics of simulated days, and reports that compare policies over seeds."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from .day_arrivals import DayRequest
from .day_session import DaySession
from .decoding import decode_json
from .reports import render_png, write_image

# The mark includes the credit of the worst windows of this length.
WINDOW_S = 2.0
WORST_WINDOWS = 2
# Windows with fewer requests are too noisy to count.
MIN_WINDOW_REQUESTS = 5
# An adapter is starved if it got this many requests and none was served.
MIN_STARVED_REQUESTS = 4
# Weights of the whole day, the worst windows and the worst kind of request in the
# mark, from the users' specification.
MARK_WEIGHTS = (0.55, 0.25, 0.2)
PLOT_SIZE_INCHES = (12.0, 8.0)


class DayMetrics(msgspec.Struct):
    """Metrics of one simulated day under one policy and seed.

    Parameters
    ----------
    day, policy : str
        Names of the day and the policy.
    seed : int
        Seed of the simulation.
    mark : float
        Score: weighted mean of the credit shares of the whole day, the
        worst windows and the worst kind of request.
    values_by_name : dict of str to float
        All other metrics.
    credit_by_kind : dict of str to float
        Earned share of the possible credit, by kind of request.
    credit_by_window : list of (float, float)
        Start of each window in seconds, and its earned share of the possible credit.
    """

    day: str
    policy: str
    seed: int
    mark: float
    values_by_name: dict[str, float]
    credit_by_kind: dict[str, float]
    credit_by_window: list[tuple[float, float]]

    @classmethod
    def from_session(cls, session: DaySession) -> DayMetrics:
        """Compute the metrics of a finished simulation.

        Requests that were refused because of their organisation's limit earn no
        credit and are not counted in the shares.
        """
        within_limit = [row for row in session.requests if not row.is_over_limit]
        by_kind = _credit_shares(within_limit, lambda row: row.kind.name)
        by_window = _credit_shares(
            within_limit, lambda row: row.arrived_at // WINDOW_S * WINDOW_S
        )
        sizes: dict[float, int] = defaultdict(int)
        for row in within_limit:
            sizes[row.arrived_at // WINDOW_S * WINDOW_S] += 1
        window_shares = [
            share for at, share in by_window.items() if sizes[at] >= MIN_WINDOW_REQUESTS
        ]
        worst = sorted(window_shares)[:WORST_WINDOWS]
        credit = _credit_shares(within_limit, lambda _: "").get("", 1.0)
        worst_windows = sum(worst) / len(worst) if worst else credit
        worst_kind = min(by_kind.values(), default=1.0)
        parts = (credit, worst_windows, worst_kind)
        mark = sum(w * part for w, part in zip(MARK_WEIGHTS, parts, strict=True))
        first_event_delays_s = sorted(
            row.first_event_at - row.arrived_at for row in within_limit if row.is_served
        )
        values = {
            "requests": float(len(session.requests)),
            "over limit": float(len(session.requests) - len(within_limit)),
            "served": _share(
                sum(row.is_served for row in within_limit), len(within_limit)
            ),
            "sound served": _share(
                sum(row.is_served for row in within_limit if not row.is_harmful),
                sum(not row.is_harmful for row in within_limit),
            ),
            "on time": _share(
                sum(row.is_on_time for row in within_limit), len(within_limit)
            ),
            "credit": credit,
            "worst windows": worst_windows,
            "worst kind": worst_kind,
            "refusals": float(sum(row.refusals for row in within_limit)),
            "first event, median (s)": _quantile(first_event_delays_s, 0.5),
            "first event, 95 in 100 (s)": _quantile(first_event_delays_s, 0.95),
            "starved adapters": float(_count_starved_adapters(within_limit)),
            **session.counts(),
        }
        return cls(
            session.day.name,
            session.policy.name,
            session.seed,
            mark,
            values,
            by_kind,
            sorted(by_window.items()),
        )


def _credit_shares(
    requests: Sequence[DayRequest], key_of: Callable[[DayRequest], Any]
) -> dict[Any, float]:
    possible: dict[Any, float] = defaultdict(float)
    earned: dict[Any, float] = defaultdict(float)
    for row in requests:
        key = key_of(row)
        possible[key] += row.kind.worth
        if row.is_on_time:
            earned[key] += row.kind.worth
        elif row.is_served:
            earned[key] += row.kind.late_worth
    return {key: earned[key] / credit for key, credit in possible.items()}


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _count_starved_adapters(requests: Sequence[DayRequest]) -> int:
    request_counts: dict[str, int] = defaultdict(int)
    served: set[str] = set()
    for row in requests:
        # A deadly request is never served, whichever adapter it names.
        if row.deadly_identity:
            continue
        request_counts[row.adapter] += 1
        if row.is_served:
            served.add(row.adapter)
    return sum(
        1
        for key, n in request_counts.items()
        if key and n >= MIN_STARVED_REQUESTS and key not in served
    )


class DayReport(msgspec.Struct):
    """Metrics of all runs of an experiment."""

    runs: list[DayMetrics]

    def ranking(self, day: str) -> list[tuple[str, float, float, float]]:
        """Return policy and mean, lowest and highest mark of a day, best first."""
        marks: dict[str, list[float]] = defaultdict(list)
        for run in self.runs:
            if run.day == day:
                marks[run.policy].append(run.mark)
        rows = [
            (name, sum(values) / len(values), min(values), max(values))
            for name, values in marks.items()
        ]
        return sorted(rows, key=lambda row: -row[1])

    @property
    def days(self) -> list[str]:
        """Names of the days, in order of their first run."""
        return list(dict.fromkeys(run.day for run in self.runs))

    def text(self) -> str:
        """Return the ranking of the policies and the mean metrics of each day."""
        lines: list[str] = []
        for day in self.days:
            ranking = self.ranking(day)
            seeds = len({run.seed for run in self.runs if run.day == day})
            lines.append(f"{day}, {seeds} seeds")
            width = max(len(row[0]) for row in ranking) + 2
            lines.append("  " + "policy".ljust(width) + "  mark   least  most")
            for name, mean, lowest, highest in ranking:
                cells = f"{mean:6.3f} {lowest:6.3f} {highest:6.3f}"
                lines.append("  " + name.ljust(width) + cells)
            lines.extend(self._mean_lines(day, [row[0] for row in ranking]))
        return "\n".join(lines)

    def _mean_lines(self, day: str, policies: Sequence[str]) -> list[str]:
        runs = [run for run in self.runs if run.day == day]
        names = list(runs[0].values_by_name)
        width = max(len(name) for name in names) + 2
        lines = ["  " + " " * width + "".join(f"{name:>16}" for name in policies)]
        for name in names:
            cells = []
            for policy in policies:
                values = [
                    run.values_by_name[name] for run in runs if run.policy == policy
                ]
                cells.append(f"{sum(values) / len(values):16.4g}")
            lines.append("  " + name.ljust(width) + "".join(cells))
        return lines

    def write(self, path: Path) -> None:
        """Write JSON, or plots as PNG or HTML, depending on the suffix.

        Raises
        ------
        ValueError
            The suffix is none of these.
        OSError
            The file cannot be written.
        """
        if path.suffix == ".json":
            path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")
            return
        if path.suffix not in (".png", ".html"):
            raise ValueError(f"{path}: expected .json, .png or .html")
        write_image(path, self._plots(), "Experiment", self.text())

    def _plots(self) -> bytes:
        # Imported here because the import takes longer than a short simulation.
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(
            len(self.days),
            2,
            figsize=PLOT_SIZE_INCHES,
            layout="constrained",
            squeeze=False,
        )
        for row, day in zip(axes, self.days, strict=True):
            marks, windows = row
            ranking = self.ranking(day)
            names = [name for name, *_ in ranking]
            means = [mean for _, mean, *_ in ranking]
            spread = [
                [mean - lowest for _, mean, lowest, _ in ranking],
                [highest - mean for _, mean, _, highest in ranking],
            ]
            marks.barh(names[::-1], means[::-1], xerr=[part[::-1] for part in spread])
            marks.set_title(f"{day}: mark")
            for name in names:
                run = next(r for r in self.runs if (r.day, r.policy) == (day, name))
                at, shares = zip(*run.credit_by_window, strict=True)
                windows.plot(at, shares, label=name)
            windows.set_title(f"{day}: credit by window, first seed")
            windows.set_xlabel("s")
            windows.legend(fontsize=8)
        image = render_png(figure)
        pyplot.close(figure)
        return image


def read_report(path: Path) -> DayReport:
    """Read a report that `DayReport.write` wrote.

    Raises
    ------
    msgspec.MsgspecError
        The file is not a valid report.
    OSError
        The file cannot be read.
    """
    return decode_json(path.read_bytes(), DayReport)
