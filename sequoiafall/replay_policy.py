"""Policies that replays compare."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .routing import LeastWorkLeft, RandomRouting, RoutingPolicy


@dataclass(slots=True, frozen=True)
class ReplayPolicy:
    """What decides in a replay; the defaults are the policies of the product.

    Parameters
    ----------
    name : str
        Shown in reports.
    routing : callable or None
        Makes the routing policy from the seed of the trace.
    eviction : str, default="frequency"
        ``frequency``, ``lru`` or ``clairvoyant``.
    quota : str, default="grants"
        ``grants``, ``split`` or ``none``.
    is_fair : bool, default=True
        Whether organisations are told apart; otherwise first come, first served.
    prepares_drains : bool, default=True
        Whether replacements are loaded before a server is drained.
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
