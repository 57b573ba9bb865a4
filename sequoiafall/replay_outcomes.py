"""Metrics of a replay, and the expected outcomes of a trace."""

import statistics
from collections import defaultdict
from pathlib import Path

import msgspec

from .decoding import decode_json
from .replay_policy import ReplayPolicy
from .replay_result import ReplayResult, RequestRecord
from .replay_session import dedicated_share_trace, replay
from .traces import Trace

MAX_STALL_S = 1.0
"""Longest wait for an adapter load before a request counts as late.

Together with 0.1 s of prefill it keeps the first token within 1.1 s, the target for
the size that is expected in two years.
"""


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Expected bounds of a metric.

    Parameters
    ----------
    figure : str
        Name of the metric.
    at_most, at_least : float or None
        Inclusive bounds; None for no bound.
    """

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def is_met(self, value: float) -> bool:
        """Return whether a value is within the bounds."""
        if self.at_most is not None and value > self.at_most:
            return False
        return self.at_least is None or value >= self.at_least

    def __str__(self) -> str:
        bounds = []
        if self.at_most is not None:
            bounds.append(f"at most {self.at_most:g}")
        if self.at_least is not None:
            bounds.append(f"at least {self.at_least:g}")
        return f"{self.figure} {' and '.join(bounds)}"


SAFETY_OUTCOMES = (
    Outcome(figure="wrong_adapter", at_most=0),
    Outcome(figure="evicted_in_use", at_most=0),
    Outcome(figure="cut_off", at_most=0),
    Outcome(figure="above_rate_tokens", at_most=0),
    Outcome(figure="unfinished", at_most=0),
)
"""Outcomes that are expected of every trace."""


def outcomes_path(trace_path: Path) -> Path:
    """Return the path of the expected outcomes of a trace."""
    return trace_path.with_suffix(".outcomes.json")


def read_outcomes(trace_path: Path) -> list[Outcome]:
    """Read the expected outcomes of a trace; the safety outcomes if it has none.

    Raises
    ------
    msgspec.MsgspecError
        The file is not a valid list of outcomes.
    """
    path = outcomes_path(trace_path)
    if not path.exists():
        return list(SAFETY_OUTCOMES)
    return decode_json(path.read_bytes(), list[Outcome])


def write_outcomes(outcomes: list[Outcome], trace_path: Path) -> None:
    """Write the expected outcomes of a trace to the file beside it."""
    text = msgspec.json.format(msgspec.json.encode(outcomes))
    outcomes_path(trace_path).write_bytes(text + b"\n")


class OrganisationMetrics(msgspec.Struct):
    """Metrics of one organisation; times in seconds."""

    requests: int
    refused_within_rate: int
    refused: int
    mean_response_s: float
    p95_first_token_s: float
    stalls: int
    stall_s: float
    slowdown: float = 0.0


class ReplayMetrics(msgspec.Struct):
    """Metrics of a replay.

    Parameters
    ----------
    policy, trace : str
        Names of the policy and the trace.
    seed : int
        Seed of the trace.
    values : dict of str to float
        Metrics of the whole replay, by name.
    by_organisation : dict of str to OrganisationMetrics
        Metrics of each organisation, by name.
    """

    policy: str
    trace: str
    seed: int
    values: dict[str, float]
    by_organisation: dict[str, OrganisationMetrics]


def measured_records(trace: Trace, result: ReplayResult) -> list[RequestRecord]:
    """Return the records of the requests that arrived after the warm-up."""
    start = trace.header.measured_from_s
    return [
        record for record in result.records_by_id.values() if record.arrived_at >= start
    ]


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _organisation_metrics(records: list[RequestRecord]) -> OrganisationMetrics:
    ended = [record for record in records if record.ended_at >= 0]
    first = [record.first_token_at - record.arrived_at for record in ended]
    stalls = [record.stall_s for record in records if record.stall_s > 0]
    refused = [record for record in records if record.refusal_reason]
    return OrganisationMetrics(
        requests=len(records),
        refused_within_rate=sum(record.is_within_rate for record in refused),
        refused=len(refused),
        mean_response_s=statistics.fmean(r.response_s for r in ended) if ended else 0.0,
        p95_first_token_s=_percentile(first, 0.95),
        stalls=len(stalls),
        stall_s=sum(stalls),
    )


def compute_metrics(trace: Trace, result: ReplayResult) -> ReplayMetrics:
    """Return all metrics except the slowdowns."""
    records = measured_records(trace, result)
    by_name: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        by_name[record.organisation].append(record)
    by_organisation = {
        name: _organisation_metrics(by_name[name]) for name in sorted(by_name)
    }
    # Which requests of an overloaded organisation are refused depends on their
    # order, so only the other organisations are compared with the central bucket.
    others = [
        metrics
        for name, metrics in by_organisation.items()
        if name != trace.header.overloaded
    ]
    requests = sum(metrics.requests for metrics in others)
    refused = sum(metrics.refused_within_rate for metrics in others)
    lowest = min(result.lowest_level_by_organisation.values(), default=0.0)
    unfinished = [r for r in records if r.ended_at < 0 and not r.refusal_reason]
    values = {
        "requests": float(len(records)),
        "stalled_requests": float(sum(f.stalls for f in by_organisation.values())),
        "stall_s": sum(f.stall_s for f in by_organisation.values()),
        "late_requests": float(sum(r.stall_s > MAX_STALL_S for r in records)),
        "refused_within_rate_percent": 100.0 * refused / max(1, requests),
        "efficiency": result.generated_tokens / max(1.0, result.ideal_tokens),
        "loads": float(len(result.loads_over_time)),
        "cut_off": float(result.cut_off),
        "wrong_adapter": float(result.wrong_adapter),
        "evicted_in_use": float(result.evicted_in_use),
        "above_rate_tokens": max(0.0, -lowest),
        "unfinished": float(len(unfinished)),
    }
    return ReplayMetrics(
        result.policy, result.trace, result.seed, values, by_organisation
    )


def add_slowdowns(trace: Trace, metrics: ReplayMetrics) -> None:
    """Compute each organisation's slowdown relative to a dedicated share of the fleet.

    The dedicated share serves only the organisation's requests, with the production
    policies. An organisation that sends more than its rate is left out.
    """
    slowdowns = {}
    for name, organisation in metrics.by_organisation.items():
        if name == trace.header.overloaded:
            continue
        share_trace = dedicated_share_trace(trace, name)
        dedicated = compute_metrics(share_trace, replay(share_trace, ReplayPolicy()))
        reference_s = dedicated.by_organisation[name].mean_response_s
        organisation.slowdown = (
            organisation.mean_response_s / reference_s if reference_s else 0.0
        )
        slowdowns[name] = organisation.slowdown
    metrics.values["worst_slowdown"] = max(slowdowns.values(), default=0.0)


def check_outcomes(
    metrics: ReplayMetrics, outcomes: list[Outcome]
) -> list[tuple[Outcome, float | None, bool]]:
    """Return each outcome with the measured value and whether it is met.

    An outcome without a measured value (None) is not met.
    """
    checked: list[tuple[Outcome, float | None, bool]] = []
    for outcome in outcomes:
        value = metrics.values.get(outcome.figure)
        is_met = value is not None and outcome.is_met(value)
        checked.append((outcome, value, is_met))
    return checked
