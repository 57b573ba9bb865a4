"""Chooses backend servers of plain services from a gateway's own measurements."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from heapq import nsmallest
from operator import itemgetter

from .backend_registry import BackendEntry
from .planner_messages import describe_estimates
from .retry import back_off_s

# Weight of the newest call in the moving averages of response time and failures.
SAMPLE_WEIGHT = 0.2
# Assumed response time of a service none of whose servers has responded yet.
INITIAL_MEAN_S = 0.06
# Part of the way by which the average of a slower server moves towards that of the
# chosen one. Without it, a server that was slow once would never be tried again; one
# that stays slow gets about this share of the calls.
APPROACH_WEIGHT = 0.01
# Added to the estimate of a server in another availability zone: it responds more
# slowly, and traffic between zones is charged.
ZONE_PENALTY_S = 0.01
# Added to the estimate of a server that fails all its calls.
FAILURE_PENALTY_S = 0.6
# Half-life of the failure share.
FAILURE_HALF_LIFE_S = 1.5
# An unreachable server is avoided for this long, doubling with each further failure
# up to the limit.
INITIAL_PAUSE_S = 0.4
PAUSE_LIMIT_S = 4.0
# Ramp-up: added to the estimate of a server whose pause has just ended. The penalty
# decreases over time, so that not all calls go to the server at once.
RAMP_UP_PENALTY_S = 0.3
# Number of alternative servers that are logged with the chosen one.
NEXT_BEST_COUNT = 2


@dataclass(slots=True, frozen=True)
class PlainChoice:
    """Chosen server with the estimates that led to the choice.

    Parameters
    ----------
    entry : BackendEntry
        Chosen server.
    cost_s : float
        Estimated response time including all penalties, in seconds.
    next_best : tuple of (str, float)
        The two next best servers with their estimates in seconds.
    """

    entry: BackendEntry
    cost_s: float
    next_best: tuple[tuple[str, float], ...]

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return describe_estimates(self.cost_s, self.next_best)


@dataclass(slots=True)
class _ServerStats:
    """What is known of a server.

    Before its first response, it has no mean time; then the assumed one counts.
    """

    open_calls: int = 0
    mean_s: float | None = None
    assumed_s: float = INITIAL_MEAN_S
    failure_share: float = 0.0
    failed_at: float = 0.0
    unreachable_count: int = 0
    paused_until: float = 0.0


class PlainRouting:
    """Chooses the server with the shortest expected response time.

    The estimates use only what this gateway has seen: its open calls, response times
    and failures.

    Parameters
    ----------
    zone : str
        Availability zone of the gateway.
    generator : random.Random
        Breaks ties.
    ramp_up_left : callable
        Returns the fraction of a server's ramp-up after a pause that is still to
        come, between 0 and 1.
    """

    __slots__ = ("_generator", "_ramp_up_left", "_stats_by_server", "_zone")

    def __init__(
        self,
        zone: str,
        generator: random.Random,
        ramp_up_left: Callable[[str], float] = lambda _server: 0.0,
    ) -> None:
        self._zone = zone
        self._generator = generator
        self._ramp_up_left = ramp_up_left
        self._stats_by_server: dict[str, _ServerStats] = {}

    def choose(
        self, entries: Iterable[BackendEntry], excluded: frozenset[str], now: float
    ) -> PlainChoice | None:
        """Choose a server, or None if there is none.

        Unreachable servers are chosen only if there is no other server.
        """
        entries = [entry for entry in entries if entry.name not in excluded]
        if not entries:
            return None
        self._assume(entries)
        candidates = [(self._cost(entry, now), entry) for entry in entries]
        best, *others = nsmallest(1 + NEXT_BEST_COUNT, candidates, key=itemgetter(0))
        self._approach(entries, best[1].name)
        next_best = tuple((entry.name, cost_s) for (_, cost_s), entry in others)
        return PlainChoice(best[1], best[0][1], next_best)

    def _assume(self, entries: Iterable[BackendEntry]) -> None:
        """Let servers without a response count as quick as the quickest other one."""
        stats = [self._stats(entry.name) for entry in entries]
        means_s = [row.mean_s for row in stats if row.mean_s is not None]
        if not means_s or len(means_s) == len(stats):
            return
        for row in stats:
            row.assumed_s = min(means_s)

    def _approach(self, entries: Iterable[BackendEntry], chosen: str) -> None:
        """Move the estimates of slower servers a little towards the chosen one's.

        They are from the past, while responses of the chosen server keep arriving.
        """
        least_s = self._stats(chosen).mean_s
        if least_s is None:
            return
        for entry in entries:
            stats = self._stats(entry.name)
            if stats.mean_s is not None and stats.mean_s > least_s:
                stats.mean_s += APPROACH_WEIGHT * (least_s - stats.mean_s)

    def _cost(self, entry: BackendEntry, now: float) -> tuple[bool, float]:
        stats = self._stats(entry.name)
        slots = max(1, entry.slots)
        mean_s = stats.assumed_s if stats.mean_s is None else stats.mean_s
        cost_s = mean_s * (1.0 + stats.open_calls / slots * 2.0)
        cost_s += FAILURE_PENALTY_S * _decayed_failure_share(stats, now)
        cost_s += RAMP_UP_PENALTY_S * self._ramp_up_left(entry.name)
        if entry.zone != self._zone:
            cost_s += ZONE_PENALTY_S
        return now < stats.paused_until, cost_s * self._generator.uniform(0.97, 1.03)

    def keep(self, names: Collection[str]) -> None:
        """Forget all servers but those with these names and those with open calls."""
        stats_by_server = self._stats_by_server
        for name in [name for name in stats_by_server if name not in names]:
            if not stats_by_server[name].open_calls:
                del stats_by_server[name]

    def on_start(self, server: str) -> None:
        """Count a call that starts."""
        self._stats(server).open_calls += 1

    def on_end(self, server: str, outcome: str, seconds: float, now: float) -> float:
        """Record how a call ended; see `EnginePlanner.end` for the outcomes.

        Returns
        -------
        float
            Seconds for which the server is avoided from now on.
        """
        stats = self._stats(server)
        stats.open_calls = max(0, stats.open_calls - 1)
        if outcome in ("cancelled", "withheld"):
            return 0.0
        failed = outcome != "ok"
        share = _decayed_failure_share(stats, now)
        stats.failure_share = share + SAMPLE_WEIGHT * (failed - share)
        stats.failed_at = now
        if outcome == "unreachable":
            if now < stats.paused_until:
                # The call was sent before the pause, and shows nothing new.
                return 0.0
            stats.unreachable_count += 1
            pause_s = back_off_s(
                INITIAL_PAUSE_S, stats.unreachable_count, PAUSE_LIMIT_S
            )
            stats.paused_until = now + pause_s
            return pause_s
        stats.unreachable_count = 0
        if not failed:
            stats.paused_until = 0.0
            if stats.mean_s is None:
                stats.mean_s = stats.assumed_s
            stats.mean_s += SAMPLE_WEIGHT * (seconds - stats.mean_s)
        return 0.0

    def _stats(self, server: str) -> _ServerStats:
        stats = self._stats_by_server.get(server)
        if stats is None:
            stats = self._stats_by_server[server] = _ServerStats()
        return stats


def _decayed_failure_share(stats: _ServerStats, now: float) -> float:
    """Return the failure share; it decays, so that the server is tried again."""
    age_s = max(0.0, now - stats.failed_at)
    return stats.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
