"""Order, budget and back-off of adapter loads from the weight store."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .load_budget import LoadBudget, LoadLimits

AdapterKey = tuple[str, str]

BACK_OFF_FIRST_S = 0.5
BACK_OFF_LIMIT_S = 30.0
# Work that waits counts double after this time, three times after twice the
# time, and so on; ordering by work alone starves adapters with one request.
AGE_UNIT_S = 4.0
# Every third load goes to the one that is wanted the longest.
OLDEST_FIRST_INTERVAL = 3
# Loads considered in one decision, which bounds its time.
MAX_CONSIDERED = 16


@dataclass(slots=True)
class WantedLoad:
    """An adapter version that requests wait for or that needs a replica.

    Parameters
    ----------
    key : tuple of (str, str)
        Adapter and version.
    target : str
        Server that it must be loaded at; empty for any.
    organisation : str
        Organisation of the request that waits the longest; empty if none waits.
    since : float
        Since when requests wait, or since when it is wanted if none waits.
    work : float
        Waiting tokens times weight.
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
    """Decides which load goes next and whether one may start.

    Parameters
    ----------
    limits : LoadLimits
        Limits of the weight store.
    now : float
        Current time in seconds.
    tokens_behind : callable
        Tokens that an organisation is owed by the fair queue. They are added to
        the waiting work, so that no organisation waits behind another's loads.
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
        """Want a load, or set the work that waits for it; equal loads are merged."""
        wanted = self.wanted_by_key.get((key, target))
        if wanted is None:
            wanted = WantedLoad(key, target, organisation, now)
            self.wanted_by_key[key, target] = wanted
        if organisation and not wanted.is_awaited:
            wanted.since = now
        wanted.organisation = organisation
        wanted.work = work

    def drop(self, key: AdapterKey, target: str = "") -> None:
        """Want a load no longer."""
        self.wanted_by_key.pop((key, target), None)

    def is_wanted(self, key: AdapterKey) -> bool:
        """Whether a load of the adapter version at any server is wanted."""
        return any(wanted == key for wanted, _ in self.wanted_by_key)

    def next_wanted(self, now: float) -> list[WantedLoad]:
        """Return the loads to try, the most urgent first.

        Loads for which no request waits come last, and only while the budget
        keeps a reserve: when they took turns with the others, requests waited
        for seconds behind the replacements for a server that was set aside.
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
        """Whether the weight store has room for one more load."""
        if len(self.in_transit) >= self.budget.limits.max_in_transit:
            return False
        return self.budget.available(now) > 0

    def shortage(self, now: float) -> int:
        """Return how many loads requests wait for beyond the budget."""
        return max(0, len(self._awaited()) - self.budget.available(now))

    def lend(self, asked: int, now: float) -> int:
        """Give loads to another pool unless requests wait for them here."""
        return 0 if self._awaited() else self.budget.lend(asked, now)

    def may_evict(self) -> bool:
        """Whether a load may evict an adapter.

        While loads fail, those that evict go one at a time. A failed load leaves
        a free slot for the next, so a weight store that is out costs each server
        one adapter, apart from what was ordered before the first failure.
        """
        return not (self._has_last_load_failed and self.in_transit)

    def start(self, server: str, wanted: WantedLoad, now: float) -> None:
        """Note that a load was ordered."""
        self.budget.take(now)
        self.in_transit[server, wanted.key] = now
        self._started_loads += 1
        self.drop(wanted.key, wanted.target)

    def finish(self, server: str, key: AdapterKey, ok: bool, now: float) -> None:
        """Note the result of a load; a failure backs off and a success clears it."""
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
        """Free the budget of a load whose server restarted; not a failure."""
        self.in_transit.pop((server, key), None)

    def forget_server(self, server: str) -> None:
        """Forget the loads and failures of a server that is gone or restarted."""
        for pair in [pair for pair in self.in_transit if pair[0] == server]:
            del self.in_transit[pair]
        for failures in self._failures.values():
            failures.pop(server, None)

    # Failures

    def failed_keys(self) -> list[AdapterKey]:
        """Return the adapter versions whose last load failed somewhere."""
        return list(self._failures)

    def has_failed(self, key: AdapterKey) -> bool:
        """Whether the last loads of the adapter version failed."""
        return bool(self._failures.get(key))

    def backs_off(self, server: str, key: AdapterKey, now: float) -> bool:
        """Whether the adapter version must not be tried at the server yet."""
        failure = self._failures.get(key, {}).get(server)
        return failure is not None and now < failure.retry_at

    def failed_at(self, server: str, key: AdapterKey) -> float:
        """Return when the last load at a server failed; minus infinity if none did."""
        failure = self._failures.get(key, {}).get(server)
        return -math.inf if failure is None else failure.failed_at

    def back_off_left_s(
        self, key: AdapterKey, servers: Iterable[str], now: float
    ) -> float:
        """Return the seconds until a retry if every server backs off, else 0."""
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
