"""Benchmark of the policies on replays of generated traces."""

import os
import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from sequoiafall.replay_outcomes import (
    MAX_STALL_S,
    SAFETY_OUTCOMES,
    ReplayMetrics,
    add_slowdowns,
    check_outcomes,
    compute_metrics,
    measured_records,
)
from sequoiafall.replay_policy import POLICIES_BY_NAME
from sequoiafall.replay_result import ReplayResult
from sequoiafall.replay_session import replay
from sequoiafall.traces import (
    HARDER_WORKLOADS,
    WORKLOADS,
    WORKLOADS_BY_NAME,
    EventKind,
    Scenario,
    Trace,
    Workload,
    generate_trace,
)

from .rows import Row, ratios

SEEDS = (1, 2, 3, 4, 5)
OURS = "sequoiafall"
POLICIES_BY_SCENARIO = {
    Scenario.ORDINARY: (
        OURS,
        "least-work-left",
        "clairvoyant",
        "random",
        "static-split",
    ),
    Scenario.SHIFT: (OURS, "least-work-left", "clairvoyant"),
    Scenario.OVERLOAD: (OURS, "first-come"),
    Scenario.CLEANING: (OURS, "unprepared-drain"),
    Scenario.RESTARTS: (OURS,),
    Scenario.OUTAGE: (OURS,),
    Scenario.OWNER_LOSS: (OURS, "static-split"),
}

Job = tuple[str, Scenario, str, int]


def _late_ids(trace: Trace, result: ReplayResult) -> set[str]:
    return {
        record.request_id
        for record in measured_records(trace, result)
        if record.stall_s > MAX_STALL_S or record.refusal_reason
    }


def _late_because_of_cleaning(trace: Trace, result: ReplayResult) -> int:
    """Count the late requests for adapters that were resident on a drained server.

    Requests that are also late on the same trace without cleaning do not count.
    """
    request_events = [
        event for event in trace.events if event.kind == EventKind.REQUEST
    ]
    undisturbed = Trace(trace.header, request_events)
    undisturbed_result = replay(undisturbed, POLICIES_BY_NAME[OURS])
    late = _late_ids(trace, result) - _late_ids(undisturbed, undisturbed_result)
    return len(late & result.cleaned_adapter_request_ids)


def run_job(job: Job) -> tuple[Job, ReplayMetrics]:
    """Replay one trace with one policy and compute its figures."""
    workload, scenario, policy, seed = job
    trace = generate_trace(WORKLOADS_BY_NAME[workload], scenario, seed)
    result = replay(trace, POLICIES_BY_NAME[policy])
    figures = compute_metrics(trace, result)
    if scenario == Scenario.OVERLOAD:
        add_slowdowns(trace, figures)
    if scenario == Scenario.CLEANING:
        late = _late_because_of_cleaning(trace, result)
        figures.values["late_because_of_cleaning"] = float(late)
    return job, figures


def run_jobs(workloads: Sequence[Workload]) -> dict[Job, ReplayMetrics]:
    """Replay all traces on 60 percent of the cores, to leave room for other work."""
    jobs = [
        (workload.name, scenario, policy, seed)
        for scenario, policies in POLICIES_BY_SCENARIO.items()
        for workload in workloads
        for policy in policies
        for seed in SEEDS
    ]
    # The longest jobs start first, so that no core waits for one at the end.
    jobs.sort(key=lambda job: job[1] not in (Scenario.OVERLOAD, Scenario.CLEANING))
    workers = max(1, (os.cpu_count() or 2) * 6 // 10)
    with ProcessPoolExecutor(workers) as executor:
        return dict(executor.map(run_job, jobs))


class _WorkloadFigures(msgspec.Struct):
    figures_by_job: dict
    workload: str

    def values(self, scenario: Scenario, policy: str, name: str) -> list[float]:
        return [
            self.figures_by_job[self.workload, scenario, policy, seed].values[name]
            for seed in SEEDS
        ]

    def mean(self, scenario: Scenario, policy: str, name: str) -> float:
        return statistics.fmean(self.values(scenario, policy, name))


def _stall_rows(figures: _WorkloadFigures) -> list[Row]:
    rows = []
    for name, label in (("stalled_requests", "requests"), ("stall_s", "time")):
        for scenario in (Scenario.ORDINARY, Scenario.SHIFT):
            ours = figures.values(scenario, OURS, name)
            best = figures.values(scenario, "clairvoyant", name)
            baseline = figures.values(scenario, "least-work-left", name)
            baseline_ratio = statistics.fmean(ratios(baseline, best))
            rows.append(
                Row(
                    f"{figures.workload}: stalls ({label}), {scenario}, of clairvoyant",
                    ratios(ours, best),
                    baseline=baseline_ratio,
                    limit=1.0,
                    at_most=1.3,
                )
            )
            if scenario == Scenario.SHIFT:
                rows.append(
                    Row(
                        f"{figures.workload}: stalls ({label}), shift, of baseline",
                        ratios(ours, baseline),
                        baseline=1.0,
                        limit=statistics.fmean(ratios(best, baseline)),
                        at_most=0.5,
                    )
                )
    return rows


def _fairness_rows(figures: _WorkloadFigures) -> list[Row]:
    def overload(name: str, label: str, at_most: float, unit: str = "") -> Row:
        return Row(
            f"{figures.workload}: {label}",
            figures.values(Scenario.OVERLOAD, OURS, name),
            baseline=figures.mean(Scenario.OVERLOAD, "first-come", name),
            at_most=at_most,
            unit=unit,
        )

    return [
        overload("worst_slowdown", "worst-served organisation, slowdown", 1.5),
        overload(
            "refused_within_rate_percent",
            "others refused during the overload",
            0.0,
            "%",
        ),
    ]


def _refusal_rows(figures: _WorkloadFigures) -> list[Row]:
    def refused(scenario: Scenario, label: str, at_most: float) -> Row:
        name = "refused_within_rate_percent"
        return Row(
            f"{figures.workload}: refused within the rate, {label}",
            figures.values(scenario, OURS, name),
            baseline=figures.mean(scenario, "static-split", name),
            limit=0.0,
            at_most=at_most,
            unit="%",
        )

    above_rate_tokens = [
        max(
            figures.values(scenario, OURS, "above_rate_tokens")[index]
            for scenario in POLICIES_BY_SCENARIO
        )
        for index in range(len(SEEDS))
    ]
    return [
        refused(Scenario.ORDINARY, "ordinary", 0.0),
        refused(Scenario.OWNER_LOSS, "loss of an instance", 0.1),
        Row(
            f"{figures.workload}: tokens admitted above the rate, all traces",
            above_rate_tokens,
            baseline=figures.mean(Scenario.OVERLOAD, "first-come", "above_rate_tokens"),
            limit=0.0,
            at_most=0.0,
        ),
    ]


def _efficiency_row(figures: _WorkloadFigures) -> Row:
    return Row(
        f"{figures.workload}: batch efficiency, ordinary",
        figures.values(Scenario.ORDINARY, OURS, "efficiency"),
        baseline=figures.mean(Scenario.ORDINARY, "random", "efficiency"),
        limit=figures.mean(Scenario.ORDINARY, "clairvoyant", "efficiency"),
        at_least=0.9,
    )


def _cleaning_rows(figures: _WorkloadFigures) -> list[Row]:
    return [
        Row(
            f"{figures.workload}: {label}",
            figures.values(Scenario.CLEANING, OURS, name),
            baseline=figures.mean(Scenario.CLEANING, "unprepared-drain", name),
            limit=0.0,
            at_most=0.0,
        )
        for name, label in (
            ("cut_off", "requests cut off by cleaning"),
            ("late_because_of_cleaning", "requests late because of cleaning"),
        )
    ]


def _safety_row(figures: _WorkloadFigures) -> Row:
    violations = []
    for seed in SEEDS:
        runs = [
            figures.figures_by_job[figures.workload, scenario, OURS, seed]
            for scenario in POLICIES_BY_SCENARIO
        ]
        outcomes = list(SAFETY_OUTCOMES)
        checks = [check for run in runs for check in check_outcomes(run, outcomes)]
        violations.append(float(sum(not is_met for _, _, is_met in checks)))
    return Row(
        f"{figures.workload}: safety outcomes broken, all traces",
        violations,
        at_most=0.0,
    )


def replay_rows(workloads: Sequence[Workload] = WORKLOADS) -> list[Row]:
    """Replay all traces of the given workloads and return their rows."""
    figures_by_job = run_jobs(workloads)
    rows = []
    for workload in workloads:
        figures = _WorkloadFigures(figures_by_job, workload.name)
        rows += _stall_rows(figures)
        rows += _fairness_rows(figures)
        rows += _refusal_rows(figures)
        rows.append(_efficiency_row(figures))
        rows += _cleaning_rows(figures)
        rows.append(_safety_row(figures))
    return rows


def harder_rows() -> list[Row]:
    """Return the rows of the workloads that overload the weight store."""
    return replay_rows(HARDER_WORKLOADS)
