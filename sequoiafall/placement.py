"""Demand statistics, replica counts and eviction policies of adapters.

Requests are placed by `scheduler` and `engine_planner`, which use these.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .loads import AdapterKey

# Half-life of demand. Popularity shifts within minutes; a shorter half-life evicts
# adapters that are used every minute.
DEMAND_HALF_LIFE_S = 120.0
# An additional replica must have this many times the demand of the adapter that it
# evicts. Otherwise two adapters keep evicting each other.
REPLICA_HYSTERESIS = 2.0
# Time after a load during which an adapter is the last choice for eviction.
MIN_RESIDENCE_S = 1.0
# Share of a server's places that replica planning aims to have in use.
TARGET_UTILISATION = 0.5
# Entries below this decayed count are removed, once per `PRUNE_INTERVAL` additions.
PRUNE_BELOW = 0.01
PRUNE_INTERVAL = 4096


class DecayedCounts:
    """Exponentially decaying counts by key.

    Parameters
    ----------
    half_life_s : float
        Half-life of the counts in seconds.
    """

    def __init__(self, half_life_s: float = DEMAND_HALF_LIFE_S) -> None:
        self._decay = math.log(2.0) / half_life_s
        self._counts: dict[object, tuple[float, float]] = {}
        self._additions = 0

    def add(self, key: object, amount: float, now: float) -> None:
        """Add an amount to the count of a key."""
        self._counts[key] = (self.get(key, now) + amount, now)
        self._additions += 1
        if self._additions % PRUNE_INTERVAL == 0:
            self._prune(now)

    def get(self, key: object, now: float) -> float:
        """Return the decayed count."""
        entry = self._counts.get(key)
        if entry is None:
            return 0.0
        return entry[0] * math.exp(-self._decay * max(0.0, now - entry[1]))

    def rate_per_s(self, key: object, now: float) -> float:
        """Return the constant rate per second that would yield the decayed count."""
        return self.get(key, now) * self._decay

    def _prune(self, now: float) -> None:
        for key in [key for key in self._counts if self.get(key, now) < PRUNE_BELOW]:
            del self._counts[key]


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """A resident adapter version that may be evicted.

    Parameters
    ----------
    key : tuple of (str, str)
        Adapter and version.
    loaded_at, used_at : float
        Time of its load and of the last place that used it, in seconds.
    replicas : int
        Servers on which it is resident.
    """

    key: AdapterKey
    loaded_at: float
    used_at: float
    replicas: int


class EvictionPolicy(ABC):
    """Ranks adapters for eviction."""

    @abstractmethod
    def value(self, candidate: EvictionCandidate, now: float) -> float:
        """Return the value of keeping a candidate; the lowest is evicted."""

    def allows_replica(
        self,
        victim: EvictionCandidate,
        newcomer: AdapterKey,
        replicas: int,
        now: float,
    ) -> bool:
        """Whether an additional replica of an adapter may evict the victim."""
        return True

    def victim(
        self, candidates: Sequence[EvictionCandidate], now: float
    ) -> EvictionCandidate | None:
        """Return the candidate of lowest value, None without candidates."""
        if not candidates:
            return None
        return min(candidates, key=lambda c: (self.value(c, now), c.used_at, c.key))


class DecayedFrequencyEviction(EvictionPolicy):
    """Evicts the adapter with the lowest decayed demand per replica.

    Parameters
    ----------
    demand : DecayedCounts
        Requests by adapter version.
    """

    def __init__(self, demand: DecayedCounts) -> None:
        self.demand = demand

    def value(self, candidate: EvictionCandidate, now: float) -> float:
        """Return the demand per replica, raised just after a load."""
        value = self.demand.get(candidate.key, now) / max(1, candidate.replicas)
        return value + (1e6 if now - candidate.loaded_at < MIN_RESIDENCE_S else 0.0)

    def allows_replica(
        self,
        victim: EvictionCandidate,
        newcomer: AdapterKey,
        replicas: int,
        now: float,
    ) -> bool:
        """Whether the newcomer's demand per replica exceeds the victim's enough."""
        gained = self.demand.get(newcomer, now) / (replicas + 1)
        return gained > REPLICA_HYSTERESIS * self.value(victim, now)


class LeastRecentlyUsedEviction(EvictionPolicy):
    """Evicts the adapter that was used or loaded the longest time ago."""

    def value(self, candidate: EvictionCandidate, now: float) -> float:
        """Return the time of the last use."""
        return max(candidate.used_at, candidate.loaded_at)


class ClairvoyantEviction(EvictionPolicy):
    """Evicts the adapter with the latest next request (Belady's algorithm).

    It needs all future requests, as in replays of traces.

    Parameters
    ----------
    arrivals_by_key : mapping
        Sorted arrival times of all requests in seconds, by adapter version.
    """

    def __init__(self, arrivals_by_key: Mapping[AdapterKey, Sequence[float]]) -> None:
        self._arrivals_by_key = arrivals_by_key

    def value(self, candidate: EvictionCandidate, now: float) -> float:
        """Return the negated time to the next request."""
        return now - self._next_arrival(candidate.key, now)

    def allows_replica(
        self,
        victim: EvictionCandidate,
        newcomer: AdapterKey,
        replicas: int,
        now: float,
    ) -> bool:
        """Whether the newcomer's next request arrives before the victim's."""
        return self._next_arrival(newcomer, now) < self._next_arrival(victim.key, now)

    def _next_arrival(self, key: AdapterKey, now: float) -> float:
        arrivals = self._arrivals_by_key.get(key, ())
        index = bisect_right(arrivals, now)
        return arrivals[index] if index < len(arrivals) else math.inf


def desired_replicas(
    requests_per_s: float, seconds_per_request: float, places: int, servers: int
) -> int:
    """Return the number of replicas that the demand needs.

    Parameters
    ----------
    requests_per_s : float
        Decayed rate of requests.
    seconds_per_request : float
        Mean time for which a request holds its place, in seconds.
    places : int
        Concurrent requests of one server.
    servers : int
        Number of servers of the pool.

    Returns
    -------
    int
        At least 1 and at most `servers`.
    """
    busy_places = requests_per_s * seconds_per_request
    replicas = math.ceil(busy_places / max(1.0, places * TARGET_UTILISATION))
    return max(1, min(replicas, servers))
