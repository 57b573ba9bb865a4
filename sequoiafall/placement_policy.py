"""What may be varied in how requests are placed at engines."""

from __future__ import annotations

from dataclasses import dataclass

# A load from the weight store is priced about like 0.15 s of a caller's time.
COLD_LOAD_PENALTY_S = 0.15
# Weight of the demand for an adapter that would be evicted.
EVICTION_WEIGHT_S = 0.25
# An adapter whose prompts take more than this share of its engines' time is
# loaded on one more: at half load a queue of prompts is as long as a prompt.
REPLICA_SHARE = 0.3
# A request whose first event would be late may wait this share of its time.
LATE_WAIT_SHARE = 0.25
LATE_WAIT_MAX_S = 1.2
# A request that will be late joins a queue of prompts of at most this length, so
# that it fills what the others leave.
LATE_BACKLOG_S = 0.15


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """Settings of a planner; the defaults are those of the product.

    Parameters
    ----------
    name : str
        Shown in reports of experiments.
    cold_load_penalty_s : float
        What a load from the weight store costs beside its time, in seconds.
    eviction_weight_s : float
        Weight of the demand for an adapter that would be evicted.
    replica_share : float
        Share of its engines' time above which an adapter is loaded once more.
    late_wait_share : float
        Share of its time that a request may wait which would be late anyway.
    late_wait_max_s : float
        Longest such wait in seconds.
    late_backlog_s : float
        Longest queue of prompts that such a request joins, in seconds.
    """

    name: str = "sequoiafall"
    cold_load_penalty_s: float = COLD_LOAD_PENALTY_S
    eviction_weight_s: float = EVICTION_WEIGHT_S
    replica_share: float = REPLICA_SHARE
    late_wait_share: float = LATE_WAIT_SHARE
    late_wait_max_s: float = LATE_WAIT_MAX_S
    late_backlog_s: float = LATE_BACKLOG_S


# Policies that experiments compare.
POLICIES_BY_NAME = {
    policy.name: policy
    for policy in (
        PlacementPolicy(),
        PlacementPolicy("deep-queues", late_backlog_s=60.0),
        PlacementPolicy("patient", late_wait_share=0.8, late_wait_max_s=60.0),
        PlacementPolicy("hasty", late_wait_share=0.0),
        PlacementPolicy("no-replicas", replica_share=1e9),
        PlacementPolicy("blind-eviction", eviction_weight_s=0.0),
        PlacementPolicy("free-loads", cold_load_penalty_s=0.0),
    )
}
