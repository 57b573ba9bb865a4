"""Tunable parameters of request placement at engines."""

from __future__ import annotations

from dataclasses import dataclass

# Cost of a load from the weight store beside its duration, as caller waiting time.
COLD_LOAD_PENALTY_S = 0.15
# Cost of an eviction per request per second of demand for the evicted adapter.
EVICTION_WEIGHT_S = 0.25
# Prefill utilisation per replica above which another replica is loaded. At a
# utilisation of 0.5 the prefill queue is already about one prompt long.
REPLICA_SHARE = 0.3
# A request that cannot be on time may wait for this share of the time left to its
# deadline, up to the maximum.
LATE_WAIT_SHARE = 0.25
LATE_WAIT_MAX_S = 1.2
# Longest prefill backlog that a late request may join, so that it only uses spare
# capacity.
LATE_BACKLOG_S = 0.15


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """Parameters of an `EnginePlanner`; the defaults are the production values.

    Parameters
    ----------
    name : str
        Name of the policy in reports of experiments.
    cold_load_penalty_s : float
        Cost of a load from the weight store beside its duration, in seconds.
    eviction_weight_s : float
        Cost in seconds of an eviction, per request per second of demand for the
        evicted adapter.
    replica_share : float
        Prefill utilisation per replica above which another replica is loaded.
    late_wait_share : float
        Share of the time to its deadline for which a late request may wait.
    late_wait_max_s : float
        Maximum of that wait in seconds.
    late_backlog_s : float
        Longest prefill backlog that a late request may join, in seconds.
    """

    name: str = "sequoiafall"
    cold_load_penalty_s: float = COLD_LOAD_PENALTY_S
    eviction_weight_s: float = EVICTION_WEIGHT_S
    replica_share: float = REPLICA_SHARE
    late_wait_share: float = LATE_WAIT_SHARE
    late_wait_max_s: float = LATE_WAIT_MAX_S
    late_backlog_s: float = LATE_BACKLOG_S


# Policies that the experiments compare, by name.
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
