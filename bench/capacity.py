"""Computes the table of docs/CAPACITY.md from the results of the bench.

``python -m bench.capacity`` fills the section between the two markers, so that
the page cannot state figures that no run produced.
"""

import math
import sys
from pathlib import Path

from .run import Results, read_results

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: computed by python -m bench.capacity -->"
END = "<!-- end: computed -->"

# Section 1.8 of the design.
NODES = 500
RUNNERS = 1400
CELL_RUNNERS = 16
REQUESTS_PER_S = 16_000
ADAPTERS = 12_000
ORGANISATIONS = 500
CHANGES_PER_DAY = 8_000
DAY_S = 86_400
SEATS = 15
HEARTBEAT_S = 0.25
OBSERVER_S = 0.8
REPORT_S = 0.25
POLL_S = 0.25
TICK_S = 0.05
FAILED_PER_DAY = 31
REPLACED_PER_DAY = 280
PLATFORM_WRITES_PER_S = 300
PLATFORM_READS_PER_S = 2_000
NODE_CORE_SHARE = 0.023
NODE_MEMORY_MB = 256
NODE_KB_PER_S = 14
ACTIVE_SHARE_PER_HOUR = 0.19
POLLED_READS_PER_S = 1.0
"""Reads of the head by each controller; an assumption, as HEAD_MAX_AGE_S is 2 s."""

MEASURED = "measured"
REASONED = "reasoned"


class _Costs:
    """Slopes by name."""

    def __init__(self, results: Results) -> None:
        self._by_name = {slope.name: slope for slope in results.slopes}

    def per(self, name: str) -> float:
        return self._by_name[name].slope

    def at(self, name: str, size: float) -> float:
        slope = self._by_name[name]
        return max(0.0, slope.intercept + slope.slope * size)


class _Line:
    """One line of the table."""

    def __init__(
        self, what: str, value: float, unit: str, limit: float | None, basis: str
    ) -> None:
        self.what = what
        self.value = value
        self.unit = unit
        self.limit = limit
        self.basis = basis

    @property
    def share(self) -> float:
        """Share of the limit that is used."""
        return self.value / self.limit if self.limit else 0.0

    def __str__(self) -> str:
        limit = "-" if self.limit is None else f"{self.limit:g} {self.unit}"
        share = "-" if self.limit is None else f"{100 * self.share:.0f}%"
        value = f"{self.value:.3g} {self.unit}"
        return f"| {self.what} | {value} | {limit} | {share} | {self.basis} |"


def _node_lines(costs: _Costs) -> list[_Line]:
    """Control overhead of one node, the worst case over the roles it may have."""
    heartbeat_cpu = costs.at("heartbeat round, processor time", SEATS) / HEARTBEAT_S
    heartbeat_bytes = costs.at("heartbeat round, bytes", SEATS) / HEARTBEAT_S
    majority = SEATS // 2 + 1
    observers = NODES - SEATS
    # A voting member answers the observers, each of which asks a majority.
    asked_per_s = observers * majority / SEATS / OBSERVER_S
    answer_cpu = costs.per("heartbeat round, processor time") * asked_per_s
    answer_bytes = costs.per("heartbeat round, bytes") * asked_per_s
    pools = math.ceil(RUNNERS / CELL_RUNNERS)
    cell_requests_per_s = REQUESTS_PER_S / pools
    report_cpu = costs.at("round of reports, processor time", CELL_RUNNERS) / REPORT_S
    report_bytes = costs.at("round of reports, bytes", CELL_RUNNERS) / REPORT_S
    tick_cpu = costs.at("tick of a pool, processor time", CELL_RUNNERS) / TICK_S
    place_cpu = costs.per("place request, processor time") * cell_requests_per_s
    observer_cpu = costs.at("heartbeat round, processor time", majority) / OBSERVER_S
    observer_bytes = costs.at("heartbeat round, bytes", majority) / OBSERVER_S
    edit_per_s = CHANGES_PER_DAY / DAY_S
    edit_cpu = costs.per("edit at a follower, processor time") * edit_per_s
    edit_bytes = costs.per("edit, bytes") * edit_per_s
    member_cpu = heartbeat_cpu + answer_cpu + edit_cpu
    cell_cpu = report_cpu + tick_cpu + place_cpu
    core, kb = NODE_CORE_SHARE, NODE_KB_PER_S
    table = costs.at("table in memory", ADAPTERS)
    quota = costs.at("quota state, memory", ORGANISATIONS)
    pool = costs.at("state of a pool, memory", CELL_RUNNERS)
    return [
        _Line(
            "controller, observer: processor",
            observer_cpu + edit_cpu,
            "core",
            core,
            MEASURED,
        ),
        _Line(
            "controller, voting member: processor", member_cpu, "core", core, MEASURED
        ),
        _Line(
            f"controller, owner of one cell ({CELL_RUNNERS} runners, "
            f"{cell_requests_per_s:.0f} requests/s): processor",
            cell_cpu,
            "core",
            core,
            MEASURED,
        ),
        _Line(
            "controller, observer: traffic",
            (observer_bytes + edit_bytes) / 1e3,
            "KB/s",
            kb,
            MEASURED,
        ),
        _Line(
            "controller, voting member: traffic",
            (heartbeat_bytes + answer_bytes) / 1e3,
            "KB/s",
            kb,
            MEASURED,
        ),
        _Line(
            "controller, owner of one cell: reports of engines",
            report_bytes / 1e3,
            "KB/s",
            kb,
            MEASURED,
        ),
        _Line(
            "controller and gateway: table, quota and one pool, without interpreter",
            (2 * table + quota + pool) / 1e6,
            "MB",
            NODE_MEMORY_MB,
            MEASURED,
        ),
        _Line(
            "start from a snapshot: processor time",
            costs.at("start from a snapshot, processor time", ADAPTERS),
            "s",
            None,
            MEASURED,
        ),
        _Line(
            "snapshot: bytes before compression",
            costs.at("snapshot, bytes before compression", ADAPTERS) / 1e6,
            "MB",
            4.0,
            MEASURED,
        ),
    ]


def _fleet_lines(costs: _Costs) -> list[_Line]:
    """Work of the whole fleet, and the platform's limits."""
    grants_per_s = 1.0 * REQUESTS_PER_S
    grant_cpu = costs.per("grant from the owner, processor time") * grants_per_s
    views_per_day = 2 * (FAILED_PER_DAY + REPLACED_PER_DAY)
    writes_per_s = (CHANGES_PER_DAY + views_per_day) / DAY_S
    owned = ORGANISATIONS / NODES + math.ceil(RUNNERS / CELL_RUNNERS) / NODES
    loads_per_hour = 2 * ACTIVE_SHARE_PER_HOUR * ADAPTERS
    return [
        _Line(
            "quota grants of the fleet at one for each request: processor",
            grant_cpu,
            "core",
            NODE_CORE_SHARE * NODES,
            MEASURED,
        ),
        _Line(
            "table: writes (edits, views of failures and replacements)",
            writes_per_s,
            "1/s",
            PLATFORM_WRITES_PER_S,
            REASONED,
        ),
        _Line(
            "table: reads of the head by all controllers",
            NODES * POLLED_READS_PER_S,
            "1/s",
            PLATFORM_READS_PER_S,
            REASONED,
        ),
        _Line(
            "loads as adapters become active or idle",
            loads_per_hour / 3600,
            "1/s",
            None,
            REASONED,
        ),
        _Line(
            "ordinary day: instances lost or replaced",
            FAILED_PER_DAY + REPLACED_PER_DAY,
            "1/d",
            None,
            REASONED,
        ),
        _Line(
            "ordinary day: resources whose owner fails without a handover",
            FAILED_PER_DAY * owned,
            "1/d",
            None,
            REASONED,
        ),
    ]


def computed_section(results: Results) -> str:
    """Return the section that lies between the markers.

    Parameters
    ----------
    results : Results
        Results of a run of the bench, with slopes.
    """
    costs = _Costs(results)
    lines = [*_node_lines(costs), *_fleet_lines(costs)]
    limited = [line for line in lines if line.limit is not None]
    limited.sort(key=lambda line: line.share, reverse=True)
    parts = [
        f"Computed from `bench/results.json` (`{results.command}`).",
        "",
        "| Quantity | At the two-year size | Limit | Used | Basis |",
        "| --- | --- | --- | --- | --- |",
        *(str(line) for line in lines),
        "",
        "Breaks first, in this order: "
        + "; ".join(f"{line.what} ({100 * line.share:.0f}%)" for line in limited[:3])
        + ".",
        "",
        "| Slope | Value | Per | Largest error of the fit |",
        "| --- | --- | --- | --- |",
        *(
            f"| {slope.name} | {slope.slope:.3g} {slope.unit} | {slope.per} "
            f"| {100 * slope.largest_error:.1f}% |"
            for slope in results.slopes
        ),
    ]
    return "\n".join(parts)


def replace_section(page: str, section: str) -> str:
    """Return the page with the section between the markers.

    Raises
    ------
    ValueError
        The page lacks a marker.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"{PAGE.name}: expected the markers {BEGIN} and {END}")
    return f"{before}{BEGIN}\n{section}\n{END}{after}"


def main() -> int:
    """Fill the section of the page."""
    section = computed_section(read_results())
    PAGE.write_text(replace_section(PAGE.read_text(), section))
    return 0


if __name__ == "__main__":
    sys.exit(main())
