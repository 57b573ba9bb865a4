"""Combinations of routing, eviction and quota policies for replays."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .routing import LeastWorkLeft, RandomRouting, RoutingPolicy


@dataclass(slots=True, frozen=True)
class ReplayPolicy:
    """Policies of a replay; the defaults are those of production.

    Parameters
    ----------
    name : str
        Name in reports.
    routing : callable or None
        Creates the routing policy from the seed of the trace; None for the default.
    eviction : str, default="frequency"
        ``frequency``, ``lru`` or ``clairvoyant``, which knows all future requests.
    quota : str, default="grants"
        ``grants`` from a central owner, a static ``split`` between the gateways, or
        ``none``.
    is_fair : bool, default=True
        Whether requests are scheduled fairly between organisations; otherwise first
        come, first served.
    prepares_drains : bool, default=True
        Whether adapters are loaded elsewhere before a server is drained.
    scheduler_options : dict
        Further arguments of `PoolScheduler`.
    """

    name: str = "sequoiafall"
    routing: Callable[[int], RoutingPolicy] | None = None
    eviction: str = "frequency"
    quota: str = "grants"
    is_fair: bool = True
    prepares_drains: bool = True
    scheduler_options: dict[str, Any] = field(default_factory=dict)


POLICIES_BY_NAME = {
    policy.name: policy
    for policy in (
        ReplayPolicy(),
        ReplayPolicy(
            "least-work-left", routing=lambda seed: LeastWorkLeft(), eviction="lru"
        ),
        ReplayPolicy("random", routing=RandomRouting),
        ReplayPolicy("clairvoyant", eviction="clairvoyant"),
        ReplayPolicy("first-come", is_fair=False, quota="none"),
        ReplayPolicy("static-split", quota="split"),
        ReplayPolicy("unprepared-drain", prepares_drains=False),
    )
}
