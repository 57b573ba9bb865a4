"""Rows of the benchmark results."""

import statistics
from collections.abc import Sequence

import msgspec


class Row(msgspec.Struct):
    """One benchmark figure with its baseline and target.

    Parameters
    ----------
    name : str
        What was measured.
    figures : list of float
        One value for each seed or repetition.
    baseline : float or None
        The same figure for a trivial alternative in the same run.
    limit : float or None
        Best possible figure in the same run, if known.
    at_most, at_least : float or None
        Target for the mean.
    unit : str
        Unit of the figures, empty for a ratio or a count.
    """

    name: str
    figures: list[float]
    baseline: float | None = None
    limit: float | None = None
    at_most: float | None = None
    at_least: float | None = None
    unit: str = ""

    @property
    def value(self) -> float:
        """Mean of the figures."""
        return statistics.fmean(self.figures)

    @property
    def is_met(self) -> bool:
        """Whether there are figures and their mean meets the target."""
        if not self.figures:
            return False
        if self.at_most is not None and self.value > self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least

    def __str__(self) -> str:
        target = (
            f"at most {self.at_most:g}"
            if self.at_most is not None
            else f"at least {self.at_least:g}"
        )
        spread = f"{min(self.figures):.4g}..{max(self.figures):.4g}"
        cells = [
            f"{self.name:<58}",
            f"{self.value:>9.4g} {self.unit:<4}",
            f"spread {spread:<22}",
            f"baseline {_cell(self.baseline):<9}",
            f"limit {_cell(self.limit):<9}",
            f"target {target:<14}",
            "met" if self.is_met else "MISSED",
        ]
        return " ".join(cells)


def _cell(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def ratios(values: Sequence[float], references: Sequence[float]) -> list[float]:
    """Return the quotients of values and references, pair by pair."""
    return [
        value / max(reference, 1e-9)
        for value, reference in zip(values, references, strict=True)
    ]
