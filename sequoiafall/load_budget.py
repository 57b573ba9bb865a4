"""Token buckets for a pool's share of the weight store's rate, with loans.

The rate limit applies to all pools together. The owner of each pool has a token
bucket with the pool's share. An owner whose requests wait for loads that its bucket
does not cover borrows from the owners of other pools. The lender deducts a loan
before it sends the reply, and loans are never paid back, so a lost reply loses loads
but never duplicates them. Over any time ``t`` all pools together start at most
``burst + rate * (t + transfer time + LOAN_LIFE_S)`` loads.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

from .table import BackendServer

# With more than 8 loads in transit, each slows down in proportion.
MAX_IN_TRANSIT = 8
# Rate of the smaller of the two deployments' weight stores.
LOADS_PER_S = 3.0
# Unused loans expire, so that a pool does not accumulate the budget of others.
LOAN_LIFE_S = 1.0
# Minimum time between borrow requests; limits the messages of a pool that stays short
# of loads.
BORROW_INTERVAL_S = 0.1
# Share of its burst that a lender keeps for requests of its own.
LENDER_RESERVE_SHARE = 0.25
# Share of the burst that loads without waiting requests leave to other loads.
REQUEST_RESERVE_SHARE = 0.4


@dataclass(slots=True, frozen=True)
class LoadLimits:
    """Limits of the weight store for one pool.

    Parameters
    ----------
    rate_per_s : float
        Sustained loads per second.
    burst : float
        Loads that may start at once after an idle period.
    max_in_transit : int
        Maximum number of concurrent loads.
    """

    rate_per_s: float = LOADS_PER_S
    burst: float = 8.0
    max_in_transit: int = MAX_IN_TRANSIT

    def share(self, fraction: float) -> LoadLimits:
        """Return the limits of a pool with a fraction (0 to 1) of the store."""
        return LoadLimits(
            self.rate_per_s * fraction,
            max(1.0, self.burst * fraction),
            max(1, int(self.max_in_transit * fraction)),
        )


def shares_by_pool(servers: Iterable[BackendServer]) -> dict[str, float]:
    """Divide the weight store among the pools in proportion to their adapter slots.

    All owners compute the same shares from the same table, without messages.
    Servers that are set aside for cleaning count, because their adapters are loaded
    on other servers of the pool.

    Parameters
    ----------
    servers : iterable of BackendServer
        Backend servers of all pools.

    Returns
    -------
    dict of str to float
        Fraction of the limits by pool, for pools that have adapter slots.
    """
    slots_by_pool: Counter[str] = Counter()
    for server in servers:
        if server.server_kind == "engine" and server.adapter_slots:
            slots_by_pool[server.pool] += server.adapter_slots
    total = slots_by_pool.total()
    return {pool: slots / total for pool, slots in slots_by_pool.items()}


class LoadBudget:
    """Token bucket of the loads that a pool may start, including loans.

    Parameters
    ----------
    limits : LoadLimits
        The pool's share of the limits.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_level", "_loans", "_refilled_at", "limits")

    def __init__(self, limits: LoadLimits, now: float) -> None:
        self.limits = limits
        self._level = limits.burst
        self._refilled_at = now
        # Expiry times of the borrowed loads, the earliest first.
        self._loans: deque[float] = deque()

    def set_limits(self, limits: LoadLimits, now: float) -> None:
        """Set new limits; a level above the new burst is cut off."""
        self._refill(now)
        self.limits = limits
        self._level = min(limits.burst, self._level)

    def available(self, now: float) -> int:
        """Return the number of loads that may start now."""
        self._refill(now)
        return int(self._level) + len(self._loans)

    def leaves_reserve(self, now: float) -> bool:
        """Whether a load for which no request waits may start now."""
        self._refill(now)
        return self._level >= 1.0 + REQUEST_RESERVE_SHARE * self.limits.burst

    def take(self, now: float) -> None:
        """Charge a load; borrowed loads are used first, because they expire."""
        self._refill(now)
        if self._loans:
            self._loans.popleft()
        else:
            self._level -= 1.0

    def lend(self, asked: int, now: float) -> int:
        """Deduct loads for another pool and return their number, at most `asked`."""
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
