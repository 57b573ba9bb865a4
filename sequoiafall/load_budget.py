"""Share of a pool in the rate of the weight store, and loans between pools.

The rate holds for all pools together. Each owner has a bucket with the share of
its pool. An owner whose requests wait for loads that its bucket does not allow
asks the owners of other pools for some of theirs. A loan leaves the bucket of the
lender before it is sent, and nothing returns it, so that a lost reply loses loads
and never doubles them. Over any time ``t`` all pools together start at most
``burst + rate * (t + transfer time + LOAN_LIFE_S)`` loads.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

from .table import BackendServer

# The weight store slows every load down in proportion beyond 8 in transit.
MAX_IN_TRANSIT = 8
# The smaller of the two deployments' weight stores.
LOADS_PER_S = 3.0
# Unused loans lapse, so that a pool does not collect the loads of the others.
LOAN_LIFE_S = 1.0
# Bounds the messages of a pool that stays short of loads.
BORROW_INTERVAL_S = 0.1
# A lender keeps this share of its burst for requests that may arrive meanwhile.
LENDER_RESERVE_SHARE = 0.25
# Loads for which no request waits leave this share of the burst to requests.
REQUEST_RESERVE_SHARE = 0.4


@dataclass(slots=True, frozen=True)
class LoadLimits:
    """Limits of the weight store for one pool.

    Parameters
    ----------
    rate_per_s : float
        Sustained loads per second.
    burst : float
        Loads that may start at once after a pause.
    max_in_transit : int
        Loads in transit at the same time.
    """

    rate_per_s: float = LOADS_PER_S
    burst: float = 8.0
    max_in_transit: int = MAX_IN_TRANSIT

    def share(self, fraction: float) -> LoadLimits:
        """Return the limits of a pool that has a fraction of one store."""
        return LoadLimits(
            self.rate_per_s * fraction,
            max(1.0, self.burst * fraction),
            max(1, int(self.max_in_transit * fraction)),
        )


def shares_by_pool(servers: Iterable[BackendServer]) -> dict[str, float]:
    """Divide the weight store among the pools by their adapter slots.

    The owners of the pools compute equal shares from the same table, so that
    they need no messages. Servers set aside for cleaning count, because their
    adapters are loaded elsewhere.

    Parameters
    ----------
    servers : iterable of BackendServer
        Rows of all pools.

    Returns
    -------
    dict of str to float
        Fraction of the limits, by the name of each pool of engines with slots.
    """
    slots_by_pool: Counter[str] = Counter()
    for server in servers:
        if server.server_kind == "engine" and server.adapter_slots:
            slots_by_pool[server.pool] += server.adapter_slots
    total = slots_by_pool.total()
    return {pool: slots / total for pool, slots in slots_by_pool.items()}


class LoadBudget:
    """Bucket of the loads that a pool may start, with what it has borrowed.

    Parameters
    ----------
    limits : LoadLimits
        Share of the pool.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_level", "_loans", "_refilled_at", "limits")

    def __init__(self, limits: LoadLimits, now: float) -> None:
        self.limits = limits
        self._level = limits.burst
        self._refilled_at = now
        # Time at which a borrowed load lapses, the earliest first.
        self._loans: deque[float] = deque()

    def set_limits(self, limits: LoadLimits, now: float) -> None:
        """Apply another share."""
        self._refill(now)
        self.limits = limits
        self._level = min(limits.burst, self._level)

    def available(self, now: float) -> int:
        """Return how many loads may start now."""
        self._refill(now)
        return int(self._level) + len(self._loans)

    def leaves_reserve(self, now: float) -> bool:
        """Whether a load for which no request waits may start now."""
        self._refill(now)
        return self._level >= 1.0 + REQUEST_RESERVE_SHARE * self.limits.burst

    def take(self, now: float) -> None:
        """Note that a load starts; borrowed ones are used first, as they lapse."""
        self._refill(now)
        if self._loans:
            self._loans.popleft()
        else:
            self._level -= 1.0

    def lend(self, asked: int, now: float) -> int:
        """Give loads away and return how many, at most `asked`."""
        self._refill(now)
        spare = int(self._level - LENDER_RESERVE_SHARE * self.limits.burst)
        lent = max(0, min(asked, spare))
        self._level -= lent
        return lent

    def receive(self, loads: int, now: float) -> None:
        """Add borrowed loads."""
        self._loans.extend([now + LOAN_LIFE_S] * loads)

    def _refill(self, now: float) -> None:
        refilled = max(0.0, now - self._refilled_at) * self.limits.rate_per_s
        self._level = min(self.limits.burst, self._level + refilled)
        self._refilled_at = max(self._refilled_at, now)
        while self._loans and self._loans[0] <= now:
            self._loans.popleft()
