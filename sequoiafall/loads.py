"""Scheduling, rate budget and back-off of adapter loads from the weight store."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .load_budget import LoadBudget, LoadLimits

AdapterKey = tuple[str, str]

BACK_OFF_FIRST_S = 0.5
BACK_OFF_LIMIT_S = 30.0
# Ageing: waiting work counts double after this time, threefold after twice the time,
# and so on. Ordering by work alone would starve adapters with a single request.
AGE_UNIT_S = 4.0
# Every third load is the one that has been wanted for the longest time.
OLDEST_FIRST_INTERVAL = 3
# Limit of loads per decision, which bounds its time.
MAX_CONSIDERED = 16


@dataclass(slots=True)
class WantedLoad:
    """A pending load of an adapter version, for waiting requests or as a replica.

    Parameters
    ----------
    key : tuple of (str, str)
        Adapter and version.
    target : str
        Server on which it must be loaded; empty for any.
    organisation : str
        Organisation of the longest waiting request; empty if none waits.
    since : float
        Time at which requests began to wait, or at which the load was first wanted
        if none waits, in seconds.
    work : float
        Waiting tokens times the weights of their organisations.
    """

    key: AdapterKey
    target: str
    organisation: str
    since: float
    work: float = 0.0

    @property
    def is_awaited(self) -> bool:
        """Whether a request waits for the load."""
        return bool(self.organisation)


@dataclass(slots=True)
class _Failure:
    count: int
    failed_at: float
    retry_at: float


class LoadPlanner:
    """Orders pending loads by urgency and enforces the limits of the weight store.

    Parameters
    ----------
    limits : LoadLimits
        Limits of the weight store.
    now : float
        Current time in seconds.
    tokens_behind : callable
        Returns the tokens that an organisation is behind its fair share. They are added
        to the waiting work, so that no organisation waits behind another's loads.
    """

    def __init__(
        self,
        limits: LoadLimits,
        now: float,
        tokens_behind: Callable[[str], float] = lambda organisation: 0.0,
    ) -> None:
        self.budget = LoadBudget(limits, now)
        self._tokens_behind = tokens_behind
        self.wanted_by_key: dict[tuple[AdapterKey, str], WantedLoad] = {}
        self.in_transit: dict[tuple[str, AdapterKey], float] = {}
        self._failures: dict[AdapterKey, dict[str, _Failure]] = {}
        self._started_loads = 0
        self._has_last_load_failed = False

    # Wanted loads

    def want(
        self,
        key: AdapterKey,
        organisation: str,
        work: float,
        now: float,
        target: str = "",
    ) -> None:
        """Add a wanted load, or update the work that waits for it if it exists."""
        wanted = self.wanted_by_key.get((key, target))
        if wanted is None:
            wanted = WantedLoad(key, target, organisation, now)
            self.wanted_by_key[key, target] = wanted
        if organisation and not wanted.is_awaited:
            wanted.since = now
        wanted.organisation = organisation
        wanted.work = work

    def drop(self, key: AdapterKey, target: str = "") -> None:
        """Remove a wanted load."""
        self.wanted_by_key.pop((key, target), None)

    def is_wanted(self, key: AdapterKey) -> bool:
        """Whether a load of the adapter version on any server is wanted."""
        return any(wanted == key for wanted, _ in self.wanted_by_key)

    def next_wanted(self, now: float) -> list[WantedLoad]:
        """Return the loads to try, the most urgent first.

        Loads for which no request waits come last, and only while the budget keeps
        a reserve. Otherwise requests would wait for seconds behind the loads that
        replace the adapters of a server that was set aside.
        """
        awaited = self._awaited()
        urgent = self._by_urgency(awaited, now)
        if (
            awaited
            and self._started_loads % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1
        ):
            urgent.insert(0, min(awaited, key=lambda load: load.since))
        if len(awaited) < len(self.wanted_by_key) and self.budget.leaves_reserve(now):
            others = [x for x in self.wanted_by_key.values() if not x.is_awaited]
            urgent += self._by_urgency(others, now)
        return urgent

    def _awaited(self) -> list[WantedLoad]:
        return [load for load in self.wanted_by_key.values() if load.is_awaited]

    def _by_urgency(self, wanted: list[WantedLoad], now: float) -> list[WantedLoad]:
        behind = {load.organisation: 0.0 for load in wanted}
        for organisation in behind:
            behind[organisation] = self._tokens_behind(organisation)

        def urgency(load: WantedLoad) -> float:
            age = (now - load.since) / AGE_UNIT_S
            return load.work * (1.0 + age) + behind[load.organisation]

        return heapq.nlargest(MAX_CONSIDERED, wanted, key=urgency)

    # Budget

    def may_start(self, now: float) -> bool:
        """Whether the limits of the weight store allow one more load."""
        if len(self.in_transit) >= self.budget.limits.max_in_transit:
            return False
        return self.budget.available(now) > 0

    def shortage(self, now: float) -> int:
        """Return the number of awaited loads that exceed the budget."""
        return max(0, len(self._awaited()) - self.budget.available(now))

    def lend(self, asked: int, now: float) -> int:
        """Lend budget for loads to another pool, 0 while requests wait for loads.

        Returns the number of loads that were lent.
        """
        return 0 if self._awaited() else self.budget.lend(asked, now)

    def may_evict(self) -> bool:
        """Whether a load may evict an adapter.

        After a failed load, loads that evict run one at a time. A failed load
        leaves a free slot for the next one, so an outage of the weight store costs
        each server only one adapter, apart from loads that were ordered before the
        first failure.
        """
        return not (self._has_last_load_failed and self.in_transit)

    def start(self, server: str, wanted: WantedLoad, now: float) -> None:
        """Record that a load was ordered, and charge it to the budget."""
        self.budget.take(now)
        self.in_transit[server, wanted.key] = now
        self._started_loads += 1
        self.drop(wanted.key, wanted.target)

    def finish(self, server: str, key: AdapterKey, ok: bool, now: float) -> None:
        """Record the result of a load.

        A failure starts or doubles the back-off of the adapter version on the
        server; a success clears the back-off on all servers.
        """
        self.in_transit.pop((server, key), None)
        self._has_last_load_failed = not ok
        if ok:
            self._failures.pop(key, None)
            return
        failure = self._failures.setdefault(key, {}).setdefault(
            server, _Failure(0, now, now)
        )
        failure.count += 1
        failure.failed_at = now
        back_off_s = BACK_OFF_FIRST_S * 2 ** min(failure.count - 1, 10)
        failure.retry_at = now + min(back_off_s, BACK_OFF_LIMIT_S)

    def abandon(self, server: str, key: AdapterKey) -> None:
        """Remove a load in transit whose server restarted, without a back-off."""
        self.in_transit.pop((server, key), None)

    def forget_server(self, server: str) -> None:
        """Remove the loads and failures of a server that left or restarted."""
        for pair in [pair for pair in self.in_transit if pair[0] == server]:
            del self.in_transit[pair]
        for failures in self._failures.values():
            failures.pop(server, None)

    # Failures

    def failed_keys(self) -> list[AdapterKey]:
        """Return the adapter versions with a failed load since the last success."""
        return list(self._failures)

    def has_failed(self, key: AdapterKey) -> bool:
        """Whether a load of the adapter version failed since the last success."""
        return bool(self._failures.get(key))

    def backs_off(self, server: str, key: AdapterKey, now: float) -> bool:
        """Whether loads of the adapter version on the server are backing off."""
        failure = self._failures.get(key, {}).get(server)
        return failure is not None and now < failure.retry_at

    def failed_at(self, server: str, key: AdapterKey) -> float:
        """Return the time of the last failed load on a server, -inf if none."""
        failure = self._failures.get(key, {}).get(server)
        return -math.inf if failure is None else failure.failed_at

    def back_off_left_s(
        self, key: AdapterKey, servers: Iterable[str], now: float
    ) -> float:
        """Return the seconds until the first retry if all servers back off, else 0."""
        failures = self._failures.get(key)
        if not failures:
            return 0.0
        earliest = min(
            (
                failures[server].retry_at if server in failures else now
                for server in servers
            ),
            default=now,
        )
        return max(0.0, earliest - now)
