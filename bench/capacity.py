"""Computes the tables of docs/CAPACITY.md from the benchmark results.

``python -m bench.capacity`` fills the section between the two markers, so that
the page contains only figures that a run produced.
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
ENGINES = 1400
ENGINES_PER_POOL = 16
REQUESTS_PER_S = 16_000
ADAPTERS = 12_000
ORGANISATIONS = 500
CHANGES_PER_DAY = 8_000
DAY_S = 86_400
VOTING_MEMBERS = 15
HEARTBEAT_INTERVAL_S = 0.25
OBSERVER_INTERVAL_S = 0.8
REPORT_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.25
TICK_INTERVAL_S = 0.05
FAILURES_PER_DAY = 31
REPLACEMENTS_PER_DAY = 280
MAX_PLATFORM_WRITES_PER_S = 300
MAX_PLATFORM_READS_PER_S = 2_000
MAX_NODE_CORES = 0.023
MAX_NODE_MEMORY_MB = 256
MAX_NODE_KB_PER_S = 14
ACTIVE_SHARE_PER_HOUR = 0.19
HEAD_READS_PER_S = 1.0
"""Reads of the head by each controller; HEAD_MAX_AGE_S is 2 s."""

MEASURED = "measured"
REASONED = "reasoned"


class _CostModel:
    """Cost estimates from the measured slopes, by name."""

    def __init__(self, results: Results) -> None:
        self._by_name = {slope.name: slope for slope in results.slopes}

    def per_unit(self, name: str) -> float:
        return self._by_name[name].slope

    def at_size(self, name: str, size: float) -> float:
        slope = self._by_name[name]
        return max(0.0, slope.intercept + slope.slope * size)


class _TableRow:
    """Row of the capacity table."""

    def __init__(
        self, quantity: str, value: float, unit: str, limit: float | None, basis: str
    ) -> None:
        self.quantity = quantity
        self.value = value
        self.unit = unit
        self.limit = limit
        self.basis = basis

    @property
    def share(self) -> float:
        """Used share of the limit, 0 without a limit."""
        return self.value / self.limit if self.limit else 0.0

    def __str__(self) -> str:
        limit = "-" if self.limit is None else f"{self.limit:g} {self.unit}"
        share = "-" if self.limit is None else f"{100 * self.share:.0f}%"
        value = f"{self.value:.3g} {self.unit}"
        return f"| {self.quantity} | {value} | {limit} | {share} | {self.basis} |"


def _node_rows(costs: _CostModel) -> list[_TableRow]:
    """Return the control overhead of one node in each of its roles."""
    heartbeat_cpu = (
        costs.at_size("heartbeat round, processor time", VOTING_MEMBERS)
        / HEARTBEAT_INTERVAL_S
    )
    heartbeat_bytes = (
        costs.at_size("heartbeat round, bytes", VOTING_MEMBERS) / HEARTBEAT_INTERVAL_S
    )
    majority = VOTING_MEMBERS // 2 + 1
    observers = NODES - VOTING_MEMBERS
    # Each observer polls a majority of the voting members.
    polls_per_s = observers * majority / VOTING_MEMBERS / OBSERVER_INTERVAL_S
    reply_cpu = costs.per_unit("heartbeat round, processor time") * polls_per_s
    reply_bytes = costs.per_unit("heartbeat round, bytes") * polls_per_s
    pools = math.ceil(ENGINES / ENGINES_PER_POOL)
    requests_per_s_per_pool = REQUESTS_PER_S / pools
    report_cpu = (
        costs.at_size("round of reports, processor time", ENGINES_PER_POOL)
        / REPORT_INTERVAL_S
    )
    report_bytes = (
        costs.at_size("round of reports, bytes", ENGINES_PER_POOL) / REPORT_INTERVAL_S
    )
    tick_cpu = (
        costs.at_size("tick of a pool, processor time", ENGINES_PER_POOL)
        / TICK_INTERVAL_S
    )
    place_cpu = (
        costs.per_unit("place request, processor time") * requests_per_s_per_pool
    )
    observer_cpu = (
        costs.at_size("heartbeat round, processor time", majority) / OBSERVER_INTERVAL_S
    )
    observer_bytes = (
        costs.at_size("heartbeat round, bytes", majority) / OBSERVER_INTERVAL_S
    )
    edit_per_s = CHANGES_PER_DAY / DAY_S
    edit_cpu = costs.per_unit("edit at a follower, processor time") * edit_per_s
    edit_bytes = costs.per_unit("edit, bytes") * edit_per_s
    member_cpu = heartbeat_cpu + reply_cpu + edit_cpu
    pool_cpu = report_cpu + tick_cpu + place_cpu
    max_cores, max_kb_per_s = MAX_NODE_CORES, MAX_NODE_KB_PER_S
    table = costs.at_size("table in memory", ADAPTERS)
    quota = costs.at_size("quota state, memory", ORGANISATIONS)
    pool = costs.at_size("state of a pool, memory", ENGINES_PER_POOL)
    return [
        _TableRow(
            "controller, observer: processor",
            observer_cpu + edit_cpu,
            "core",
            max_cores,
            MEASURED,
        ),
        _TableRow(
            "controller, voting member: processor",
            member_cpu,
            "core",
            max_cores,
            MEASURED,
        ),
        _TableRow(
            f"controller, owner of one cell ({ENGINES_PER_POOL} runners, "
            f"{requests_per_s_per_pool:.0f} requests/s): processor",
            pool_cpu,
            "core",
            max_cores,
            MEASURED,
        ),
        _TableRow(
            "controller, observer: traffic",
            (observer_bytes + edit_bytes) / 1e3,
            "KB/s",
            max_kb_per_s,
            MEASURED,
        ),
        _TableRow(
            "controller, voting member: traffic",
            (heartbeat_bytes + reply_bytes) / 1e3,
            "KB/s",
            max_kb_per_s,
            MEASURED,
        ),
        _TableRow(
            "controller, owner of one cell: reports of engines",
            report_bytes / 1e3,
            "KB/s",
            max_kb_per_s,
            MEASURED,
        ),
        _TableRow(
            "controller and gateway: table, quota and one pool, without interpreter",
            (2 * table + quota + pool) / 1e6,
            "MB",
            MAX_NODE_MEMORY_MB,
            MEASURED,
        ),
        _TableRow(
            "start from a snapshot: processor time",
            costs.at_size("start from a snapshot, processor time", ADAPTERS),
            "s",
            None,
            MEASURED,
        ),
        _TableRow(
            "snapshot: bytes before compression",
            costs.at_size("snapshot, bytes before compression", ADAPTERS) / 1e6,
            "MB",
            4.0,
            MEASURED,
        ),
    ]


def _fleet_rows(costs: _CostModel) -> list[_TableRow]:
    """Return the load of the whole fleet against the limits of the platform."""
    grants_per_s = 1.0 * REQUESTS_PER_S
    grant_cpu = costs.per_unit("grant from the owner, processor time") * grants_per_s
    views_per_day = 2 * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY)
    writes_per_s = (CHANGES_PER_DAY + views_per_day) / DAY_S
    owned = ORGANISATIONS / NODES + math.ceil(ENGINES / ENGINES_PER_POOL) / NODES
    loads_per_hour = 2 * ACTIVE_SHARE_PER_HOUR * ADAPTERS
    return [
        _TableRow(
            "quota grants of the fleet at one for each request: processor",
            grant_cpu,
            "core",
            MAX_NODE_CORES * NODES,
            MEASURED,
        ),
        _TableRow(
            "table: writes (edits, views of failures and replacements)",
            writes_per_s,
            "1/s",
            MAX_PLATFORM_WRITES_PER_S,
            REASONED,
        ),
        _TableRow(
            "table: reads of the head by all controllers",
            NODES * HEAD_READS_PER_S,
            "1/s",
            MAX_PLATFORM_READS_PER_S,
            REASONED,
        ),
        _TableRow(
            "loads as adapters become active or idle",
            loads_per_hour / 3600,
            "1/s",
            None,
            REASONED,
        ),
        _TableRow(
            "ordinary day: instances lost or replaced",
            FAILURES_PER_DAY + REPLACEMENTS_PER_DAY,
            "1/d",
            None,
            REASONED,
        ),
        _TableRow(
            "ordinary day: resources whose owner fails without a handover",
            FAILURES_PER_DAY * owned,
            "1/d",
            None,
            REASONED,
        ),
    ]


def computed_section(results: Results) -> str:
    """Return the text of the section between the markers.

    Parameters
    ----------
    results : Results
        Results of a full benchmark run, with slopes.
    """
    costs = _CostModel(results)
    table_rows = [*_node_rows(costs), *_fleet_rows(costs)]
    limited_rows = [row for row in table_rows if row.limit is not None]
    limited_rows.sort(key=lambda row: row.share, reverse=True)
    parts = [
        f"Computed from `bench/results.json` (`{results.command}`).",
        "",
        "| Quantity | At the two-year size | Limit | Used | Basis |",
        "| --- | --- | --- | --- | --- |",
        *(str(row) for row in table_rows),
        "",
        "Breaks first, in this order: "
        + "; ".join(
            f"{row.quantity} ({100 * row.share:.0f}%)" for row in limited_rows[:3]
        )
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
    """Return the page with the section between the markers replaced.

    Raises
    ------
    ValueError
        If the page lacks a marker.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"{PAGE.name}: expected the markers {BEGIN} and {END}")
    return f"{before}{BEGIN}\n{section}\n{END}{after}"


def main() -> int:
    """Update the computed section of the page."""
    section = computed_section(read_results())
    PAGE.write_text(replace_section(PAGE.read_text(), section))
    return 0


if __name__ == "__main__":
    sys.exit(main())
