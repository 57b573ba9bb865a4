"""Scheduler of one pool: request placement, adapter loads and evictions.

A place is one position in the batch of a backend server; a request holds it from
its grant to its end.
"""

import random
from collections.abc import Iterable, Sequence

from .adapter_slots import SlotManager
from .drain import MOVE_AFTER_S, PREPARE_LIMIT_S
from .drain_manager import DrainManager
from .fairness import FairQueue
from .load_budget import LoadLimits
from .loads import AdapterKey, LoadPlanner
from .place_tracker import PlaceTracker
from .placement import (
    DecayedCounts,
    DecayedFrequencyEviction,
    EvictionPolicy,
    desired_replicas,
)
from .pool_state import (
    BASE_KEY,
    ORDER_TTL_S,
    PLACE_TTL_S,
    REPORT_LAG_MAX_S,
    Action,
    EvictAdapter,
    GrantPlace,
    LoadAdapter,
    MoveStream,
    Place,
    RefusePlace,
    ServerReport,
    ServerState,
)
from .prefix_index import PrefixIndex
from .refusal import Reason
from .routing import AffinityRouting, RoutingPolicy
from .table import BackendServer, Organisation
from .waiting import Group, WaitingRequest, WaitingRequests
from .wire.gen.ttypes import PlaceEntry, PlaceReply, PlaceRequest

__all__ = [
    "EvictAdapter",
    "GrantPlace",
    "LoadAdapter",
    "MoveStream",
    "PoolScheduler",
    "RefusePlace",
    "ServerReport",
]

DEFAULT_WAIT_S = 8.0
# A server that joins a pool may still receive orders from the owner of its previous
# pool, whose view of the table is up to HEAD_MAX_AGE_S (2 s) old.
JOIN_DELAY_S = ORDER_TTL_S + 2.0 + REPORT_LAG_MAX_S
# Candidates passed to the routing policy when many servers have the adapter; the
# best of this many is close to the best of all.
MAX_CANDIDATES = 32
# Servers sampled at random to find candidates before all of them are scanned.
SAMPLE_ATTEMPTS = 64
# Consecutive failures after which a plain service gets no places for AVOID_S.
FAILURES_BEFORE_AVOIDING = 3
AVOID_S = 1.0
GRANT_RATE_HALF_LIFE_S = 10.0
HOLD_TIME_SMOOTHING = 0.05
# Released places needed before the mean hold time is used to estimate how long a
# request will wait.
MIN_HOLD_SAMPLES = 50
# A request is refused immediately if its expected wait exceeds the wait it allows by
# this factor. The estimate ignores adapter loads and is therefore low; the margin
# allows for a falling mean hold time.
WAIT_REFUSAL_FACTOR = 1.25
REEVALUATION_INTERVAL_S = 0.25
# Longest time a new owner waits, once reports are usable, for those of all engines
# before it loads adapters; four report intervals.
RECOVERY_WAIT_S = 1.0
# A request whose adapter is resident waits this long for a place before the adapter
# is loaded at another server as well; a load takes about 0.25 s.
REPLICA_DELAY_S = 0.25


class PoolScheduler:
    """Assigns requests to the servers of a pool and schedules adapter loads.

    The scheduler does no I/O and reads no clock: methods that handle an event take
    the current time and return the resulting actions, which must be carried out in
    this order for each server.

    Parameters
    ----------
    pool : str
        Name of the pool.
    fencing_token : int
        Fencing token of this ownership, sent with every place and order.
    now : float
        Current time in seconds.
    ready_at : float
        Time in seconds before which no place and no order is issued; by then the
        orders and the unused places of the previous owner have expired.
    routing : RoutingPolicy or None
        Policy that chooses the server; `AffinityRouting` by default.
    eviction : EvictionPolicy or None
        Policy that chooses what to evict; `DecayedFrequencyEviction` by default.
    load_limits : LoadLimits or None
        Limits of the weight store; the defaults of `LoadLimits` if None.
    slack_tokens : float or None
        Slack of the fair queue in weighted tokens.
    has_predecessor : bool
        Whether another owner may have placed requests that it has not handed
        over. A report is then trusted only if it was requested at least
        `REPORT_LAG_MAX_S` after `ready_at`, because such requests may have
        started until then.
    move_after_s : float
        Seconds after the start of cleaning at which running streams are moved.
    """

    def __init__(
        self,
        pool: str,
        fencing_token: int,
        now: float,
        ready_at: float,
        *,
        routing: RoutingPolicy | None = None,
        eviction: EvictionPolicy | None = None,
        load_limits: LoadLimits | None = None,
        slack_tokens: float | None = None,
        has_predecessor: bool = True,
        move_after_s: float = MOVE_AFTER_S,
    ) -> None:
        self.pool = pool
        self.fencing_token = fencing_token
        self.ready_at = ready_at
        self._has_predecessor = has_predecessor
        self.servers_by_name: dict[str, ServerState] = {}
        self.prefix_index = PrefixIndex()
        self.demand = DecayedCounts()
        self.fair = FairQueue() if slack_tokens is None else FairQueue(slack_tokens)
        self.waiting = WaitingRequests(self.fair.weight)
        self.planner = LoadPlanner(
            load_limits or LoadLimits(), now, self.fair.tokens_behind
        )
        self.places = PlaceTracker(fencing_token, self.servers_by_name)
        self.slots = SlotManager(
            fencing_token,
            self.servers_by_name,
            self.planner,
            eviction or DecayedFrequencyEviction(self.demand),
            self._is_awaited,
        )
        self._routing = routing or AffinityRouting(self.prefix_index)
        self._random = random.Random(fencing_token)
        self._is_configured = False
        self._plan_due = False
        self._reevaluate_at = ready_at
        self._drains = DrainManager(
            self.servers_by_name, self.slots, self.demand, move_after_s
        )
        self._grant_counts = DecayedCounts(GRANT_RATE_HALF_LIFE_S)
        self._mean_hold_s = 1.0
        self._hold_samples = 0

    # Configuration

    def set_servers(self, servers: Iterable[BackendServer], now: float) -> list[Action]:
        """Apply the table rows of the pool's servers.

        Parameters
        ----------
        servers : iterable of BackendServer
            All servers of the pool; servers that are missing here are removed.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Action
            Resulting actions.
        """
        rows_by_name = {row.name: row for row in servers}
        reports_valid_from = (
            now + JOIN_DELAY_S if self._is_configured else self._reports_valid_from()
        )
        # A new owner does not know when its predecessor started to drain a server,
        # so it allows no time for loading replacements.
        prepare_limit_s = PREPARE_LIMIT_S if self._is_configured else 0.0
        self._is_configured = True
        for name in [name for name in self.servers_by_name if name not in rows_by_name]:
            self._remove_server(self.servers_by_name[name], now)
        for name, row in rows_by_name.items():
            server = self.servers_by_name.get(name)
            if server is None:
                server = self.servers_by_name[name] = ServerState(
                    row, reports_valid_from
                )
            server.row = row
            if row.state != "cleaning":
                server.lifecycle.handle("take_back")
                server.drain = None
            elif server.drain is None:
                self._drains.start(server, now, prepare_limit_s)
            self.places.update_free_place_index(server)
        return self.tick(now)

    def set_organisations(
        self, organisations: Iterable[Organisation], now: float
    ) -> list[Action]:
        """Apply the weights of the organisations."""
        self.fair.set_weights({row.name: row.weight for row in organisations})
        return []

    def _remove_server(self, server: ServerState, now: float) -> None:
        self._refund_unused_tokens(self.places.release_all(server), now)
        self.slots.clear(server)
        self.prefix_index.forget_server(server.name)
        self.places.servers_with_free_place.pop(server.name, None)
        del self.servers_by_name[server.name]

    def set_load_limits(self, limits: LoadLimits, now: float) -> None:
        """Apply the pool's share of the limits of the weight store."""
        self.planner.budget.set_limits(limits, now)

    def load_shortage(self, now: float) -> int:
        """Return how many loads waiting requests need beyond the pool's own budget."""
        return self.planner.shortage(now) if self._may_plan(now) else 0

    def lend_loads(self, requested: int, now: float) -> int:
        """Lend up to `requested` loads to another pool; return the number lent."""
        return self.planner.lend(requested, now) if self._may_plan(now) else 0

    def receive_loads(self, loads: int, now: float) -> list[Action]:
        """Add loads lent by another pool to the budget and start waiting loads."""
        self.planner.budget.receive(loads, now)
        self._plan_due = True
        return self._plan_loads(now)

    def set_ready_at(self, ready_at: float, has_predecessor: bool = True) -> None:
        """Set the time from which this owner may act, once it is known.

        Parameters
        ----------
        ready_at : float
            Time in seconds from which places and orders may be issued.
        has_predecessor : bool
            False if the previous owner handed over all its places.
        """
        previous = self._reports_valid_from()
        self.ready_at = self._reevaluate_at = ready_at
        self._has_predecessor = has_predecessor
        for server in self.servers_by_name.values():
            if server.reports_valid_from == previous:
                server.reports_valid_from = self._reports_valid_from()

    def _reports_valid_from(self) -> float:
        lag_s = REPORT_LAG_MAX_S if self._has_predecessor else 0.0
        return self.ready_at + lag_s

    # Requests

    def submit(self, request: PlaceRequest, now: float) -> list[Action]:
        """Grant a place immediately, queue the request, or refuse it."""
        key = (request.adapter or "", request.version or "")
        self.demand.add(key, 1.0, now)
        repeated = self.waiting.remove(request.request_id)
        if repeated is not None:
            self._on_dequeued(repeated, now)
        waiting = WaitingRequest(
            request=request,
            key=key,
            target="",
            cost=(request.prompt_tokens or 0) + (request.max_tokens or 0) or 1,
            submitted_at=now,
            deadline=now + ((request.wait_ms or 0) / 1000 or DEFAULT_WAIT_S),
            excluded=frozenset(request.excluded_servers or ()),
        )
        reason = self._immediate_refusal(key, now)
        if reason is not None:
            return [self._refuse(waiting, reason, now)]
        self._bind(waiting, now)
        server = self._choose_server(waiting, now)
        if server is not None:
            return [self._grant(server, waiting, now)]
        return [*self._enqueue(waiting, now), *self._plan_loads(now)]

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Drop a request whose gateway is gone, and release its place if unused."""
        waiting = self.waiting.remove(request_id)
        if waiting is not None:
            self._on_dequeued(waiting, now)
            return []
        ended = [
            self.places.release(place, now)
            for server in self.servers_by_name.values()
            if (place := server.places_by_request_id.get(request_id)) is not None
            and not place.started
        ]
        return self._after_release(ended, now)

    def update(self, entry: PlaceEntry, gateway: str, now: float) -> list[Action]:
        """Apply an update of a gateway about one of its places."""
        place = self.places.update(entry, gateway, now)
        if place is None:
            return []
        self._record_outcome(place.server, entry.outcome or "", now)
        if entry.outcome == "ok":
            held_s = now - place.granted_at
            self._mean_hold_s += HOLD_TIME_SMOOTHING * (held_s - self._mean_hold_s)
            self._hold_samples += 1
        return self._after_release([place], now)

    def _immediate_refusal(self, key: AdapterKey, now: float) -> Reason | None:
        if self._is_configured and not any(
            server.drain is None or server.drain.takes_places(now)
            for server in self.servers_by_name.values()
        ):
            return Reason.NO_BACKEND_SERVER
        if self._load_retry_after_s(key, now):
            return Reason.ADAPTER_LOAD_FAILED
        return None

    def _load_retry_after_s(self, key: AdapterKey, now: float) -> float:
        """Return the seconds until a retry if the load fails everywhere, else 0."""
        if not self.planner.has_failed(key) or self.slots.replicas(key, now, 1):
            return 0.0
        names = [s.name for s in self.servers_by_name.values() if s.takes_loads(now)]
        return self.planner.back_off_left_s(key, names, now)

    def _bind(self, waiting: WaitingRequest, now: float) -> None:
        if not self._routing.binds_on_arrival:
            return
        servers = [
            server
            for server in self.servers_by_name.values()
            if server.takes_places(now)
            and server.drain is None
            and server.name not in waiting.excluded
            and not self.planner.backs_off(server.name, waiting.key, now)
        ]
        if servers:
            waiting.target = self._routing.choose(servers, waiting, now).name

    def _enqueue(self, waiting: WaitingRequest, now: float) -> list[Action]:
        organisation = waiting.request.organisation
        may_wait, displaced = self.waiting.check_admission(organisation)
        wait_s = waiting.deadline - now
        if self._expected_wait_s(organisation, now) > WAIT_REFUSAL_FACTOR * wait_s:
            may_wait = False
        if not may_wait:
            return [self._refuse(waiting, Reason.OVERLOADED, now)]
        actions: list[Action] = []
        if displaced is not None:
            self.waiting.remove(displaced.request.request_id)
            self._on_dequeued(displaced, now)
            actions.append(self._refuse(displaced, Reason.OVERLOADED, now))
        if waiting.key != BASE_KEY and not self.slots.placeable(waiting.key):
            waiting.waited_for_load = True
        self.waiting.add(waiting)
        self.fair.set_backlogged(organisation, True)
        self._update_load_demand(waiting.group, now)
        return actions

    def _expected_wait_s(self, organisation: str, now: float) -> float:
        """Estimate the shortest wait of one more request of an organisation.

        The estimate assumes that the pool releases places at the rate given by the
        mean hold time and that backlogged organisations share them by weight. It is
        0 until the hold time is known.
        """
        if self._hold_samples < MIN_HOLD_SAMPLES:
            return 0.0
        places = sum(
            server.places
            for server in self.servers_by_name.values()
            if server.takes_places(now)
        )
        if not places:
            return 0.0
        counts = self.waiting.count_by_organisation
        backlogged = {name for name, count in counts.items() if count} | {organisation}
        weights = sum(self.fair.weight(name) for name in backlogged)
        share = self.fair.weight(organisation) / weights
        return (counts[organisation] + 1) * self._mean_hold_s / (places * share)

    def _on_dequeued(self, waiting: WaitingRequest, now: float) -> None:
        organisation = waiting.request.organisation
        if not self.waiting.count_by_organisation[organisation]:
            self.fair.set_backlogged(organisation, False)
        self._update_load_demand(waiting.group, now)

    # Places

    def _choose_server(self, waiting: WaitingRequest, now: float) -> ServerState | None:
        """Return the server to place a request at, None if it must wait."""
        target = self._drains.pop_target(waiting.request.request_id)
        resident = self.slots.placeable(waiting.key)
        if target in resident:
            server = resident[target]
            if server.has_free_place and server.takes_places(now):
                return server
        if waiting.target:
            bound = resident.get(waiting.target)
            resident = {bound.name: bound} if bound else {}
        candidates = self._free_servers(resident, waiting, now)
        if not candidates:
            return None
        return self._routing.choose(candidates, waiting, now)

    def _free_servers(
        self,
        resident: dict[str, ServerState],
        waiting: WaitingRequest,
        now: float,
    ) -> list[ServerState]:
        free = self.places.servers_with_free_place
        smaller, larger = sorted((resident, free), key=len)
        names: Sequence[str] = list(smaller)
        if len(names) > SAMPLE_ATTEMPTS:
            sample = self._random.sample(names, SAMPLE_ATTEMPTS)
            found = self._eligible(sample, larger, waiting, now)
            if found:
                return found
        return self._eligible(names, larger, waiting, now)

    def _eligible(
        self,
        names: Sequence[str],
        servers_by_name: dict[str, ServerState],
        waiting: WaitingRequest,
        now: float,
    ) -> list[ServerState]:
        found = []
        for name in names:
            server = servers_by_name.get(name)
            if server is None or name in waiting.excluded:
                continue
            if server.takes_places(now):
                found.append(server)
                if len(found) >= MAX_CANDIDATES:
                    break
        return found

    def _grant(
        self, server: ServerState, waiting: WaitingRequest, now: float
    ) -> GrantPlace:
        request = waiting.request
        place = self.places.grant(server, waiting, now)
        self.fair.serve(request.organisation, waiting.cost)
        slot = server.slots_by_key.get(waiting.key)
        if slot is not None:
            slot.used_at = now
        if request.prefix_hashes:
            self.prefix_index.on_placed(server.name, request.prefix_hashes, now)
        self._grant_counts.add("", 1.0, now)
        # The gateway counts the TTL from the time it sent the request, so the time
        # that the request waited here is added.
        ttl_s = now - waiting.submitted_at + PLACE_TTL_S
        reply = PlaceReply(
            place_id=place.place_id,
            backend_server=server.name,
            address=server.row.address,
            fencing_token=self.fencing_token,
            expires_in_ms=int(ttl_s * 1000),
            reason="",
            retry_after_ms=0,
            waited_for_load=waiting.waited_for_load,
        )
        return GrantPlace(request.request_id, request.gateway, reply)

    def _refuse(
        self, waiting: WaitingRequest, reason: Reason, now: float
    ) -> RefusePlace:
        request = waiting.request
        retry_after_s = self._load_retry_after_s(waiting.key, now)
        if reason is Reason.OVERLOADED:
            rate_per_s = max(1.0, self._grant_counts.rate_per_s("", now))
            retry_after_s = min(30.0, len(self.waiting) / rate_per_s)
        reply = PlaceReply(
            place_id="",
            backend_server="",
            address="",
            fencing_token=self.fencing_token,
            expires_in_ms=0,
            reason=str(reason),
            retry_after_ms=int(max(1.0, retry_after_s) * 1000),
            waited_for_load=waiting.waited_for_load,
        )
        return RefusePlace(request.request_id, request.gateway, reply)

    def _dispatch(self, server: ServerState, now: float) -> list[Action]:
        """Grant the free places of a server to waiting requests."""
        actions: list[Action] = []
        if not self.waiting or not server.takes_places(now):
            return actions
        while server.has_free_place:
            waiting = self._next_waiting(server)
            if waiting is None:
                break
            self.waiting.remove(waiting.request.request_id)
            actions.append(self._grant(server, waiting, now))
            self._on_dequeued(waiting, now)
        return actions

    def _next_waiting(self, server: ServerState) -> WaitingRequest | None:
        """Return the next request for a server: the oldest of the organisation due."""
        oldest: dict[str, WaitingRequest] = {}
        for key in server.placeable_keys():
            if key not in self.waiting.group_count_by_key:
                continue
            for group in ((key, ""), (key, server.name)):
                for waiting in self.waiting.first_by_organisation(group, server.name):
                    name = waiting.request.organisation
                    other = oldest.get(name)
                    if other is None or waiting.number < other.number:
                        oldest[name] = waiting
        if not oldest:
            return None
        preferred = frozenset(
            name for name, waiting in oldest.items() if server.is_pinned(waiting.key)
        )
        organisation = self.fair.choose(oldest, preferred)
        return oldest[organisation] if organisation is not None else None

    def _refund_unused_tokens(self, ended: Iterable[Place], now: float) -> None:
        for place in ended:
            if place.charged_tokens:
                unused = (
                    place.charged_tokens - place.prompt_tokens - place.output_tokens
                )
                self.fair.refund(place.organisation, max(0, unused))

    def _after_release(self, ended: list[Place], now: float) -> list[Action]:
        self._refund_unused_tokens(ended, now)
        actions: list[Action] = []
        for place in ended:
            server = self.servers_by_name.get(place.server)
            if server is None:
                continue
            actions.extend(self._dispatch(server, now))
            if not server.is_pinned(place.key):
                self._plan_due = True
        actions.extend(self._plan_loads(now))
        return actions

    def _record_outcome(self, name: str, outcome: str, now: float) -> None:
        server = self.servers_by_name.get(name)
        if server is None or server.is_engine:
            return
        server.consecutive_failures = (
            server.consecutive_failures + 1 if outcome == "failed" else 0
        )
        if server.consecutive_failures >= FAILURES_BEFORE_AVOIDING:
            server.avoided_until = now + AVOID_S

    # Loads

    def _is_awaited(self, key: AdapterKey, server: str) -> bool:
        """Whether evicting an adapter version would stall waiting requests."""
        if self.waiting.has_group((key, server)):
            return True
        only_here = len(self.slots.placeable(key)) <= 1
        return only_here and self.waiting.has_group((key, ""))

    def _update_load_demand(self, group: Group, now: float) -> None:
        """Request or withdraw the load that a group of waiting requests needs."""
        key, target = group
        if key == BASE_KEY:
            return
        work = self.waiting.work(group)
        if not target:
            work += self._drains.preload_work(key)
        if not work or not self._needs_load(group, now):
            self.planner.drop(key, target)
            return
        oldest = self.waiting.oldest(group)
        organisation = oldest.request.organisation if oldest else ""
        if (key, target) not in self.planner.wanted_by_key:
            self._plan_due = True
        self.planner.want(key, organisation, work, now, target)

    def _needs_load(self, group: Group, now: float) -> bool:
        key, target = group
        if target:
            server = self.servers_by_name.get(target)
            return server is not None and key not in server.slots_by_key
        oldest = self.waiting.oldest(group)
        excluded = oldest.excluded if oldest else frozenset()
        if not self.slots.replicas(key, now, 1, excluded):
            return True
        enough = self._replicas_for_demand(key, now)
        if self.slots.replicas(key, now, enough) < enough:
            return True
        return oldest is not None and self._waits_for_place(oldest, now)

    def _waits_for_place(self, waiting: WaitingRequest, now: float) -> bool:
        """Whether another replica would serve a request that waits for a place.

        The demand for the adapter alone does not show that its server is full of
        requests for other adapters.
        """
        if now - waiting.submitted_at < REPLICA_DELAY_S:
            return False
        if self.slots.loading_count(waiting.key):
            return False
        return any(
            server.takes_loads(now) and waiting.key not in server.slots_by_key
            for server in self.places.servers_with_free_place.values()
        )

    def _replicas_for_demand(self, key: AdapterKey, now: float) -> int:
        servers = len(self.servers_by_name)
        if not servers:
            return 1
        places = next(iter(self.servers_by_name.values())).places
        rate_per_s = self.demand.rate_per_s(key, now)
        return desired_replicas(rate_per_s, self._mean_hold_s, places, servers)

    def _plan_loads(self, now: float) -> list[Action]:
        """Order the most urgent loads that the load budget and the slots allow."""
        actions: list[Action] = []
        if not self._plan_due or not self._may_plan(now):
            return actions
        self._plan_due = False
        while self.planner.wanted_by_key and self.planner.may_start(now):
            ordered = self._order_next_load(now)
            if not ordered:
                break
            actions.extend(ordered)
        return actions

    def _may_plan(self, now: float) -> bool:
        """Whether loads may be ordered.

        A new owner first waits for the reports of all engines; otherwise it would
        load adapters that are resident at a server that has not reported yet.
        """
        if now < self.ready_at:
            return False
        if now >= self._reports_valid_from() + RECOVERY_WAIT_S:
            return True
        return all(
            server.is_known(now)
            for server in self.servers_by_name.values()
            if server.is_engine
        )

    def _order_next_load(self, now: float) -> list[EvictAdapter | LoadAdapter]:
        for wanted in self.planner.next_wanted(now):
            oldest = self.waiting.oldest((wanted.key, wanted.target))
            excluded = oldest.excluded if oldest else frozenset()
            orders = self.slots.try_load(wanted, excluded, now)
            if orders:
                self._drains.on_load_ordered(wanted.key)
                self._update_load_demand((wanted.key, wanted.target), now)
                return orders
        return []

    def on_load_result(
        self,
        server: str,
        adapter: str,
        version: str,
        ok: bool,
        now: float,
        is_unknown: bool = False,
    ) -> list[Action]:
        """Apply the result of a load.

        Parameters
        ----------
        server, adapter, version : str
            Server and adapter version of the order.
        ok : bool
            Whether the adapter version is resident now.
        now : float
            Current time in seconds.
        is_unknown : bool
            Whether the outcome is unknown, so that the server may still carry out
            the order; the slot stays taken until a report shows its state.
        """
        state = self.servers_by_name.get(server)
        key = (adapter, version)
        if state is None or not self.slots.on_load_result(
            state, key, ok, is_unknown, now
        ):
            return []
        self._plan_due = True
        actions = [] if ok else self._on_load_failed(state, key, now)
        for group in ((key, ""), (key, server)):
            self._update_load_demand(group, now)
        actions.extend(self._dispatch(state, now))
        actions.extend(self._plan_loads(now))
        return actions

    def on_evict_result(
        self, server: str, adapter: str, version: str, ok: bool, now: float
    ) -> list[Action]:
        """Apply the result of an eviction; `ok` means that the server confirmed it."""
        state = self.servers_by_name.get(server)
        if state is not None:
            self.slots.on_evict_result(state, (adapter, version), ok, now)
        return []

    def _on_load_failed(
        self, server: ServerState, key: AdapterKey, now: float
    ) -> list[Action]:
        for waiting in self.waiting.members((key, server.name)):
            # Requests bound to this server may now go to any other.
            self.waiting.remove(waiting.request.request_id)
            waiting.target, waiting.removed = "", False
            self.waiting.add(waiting)
        if not self._load_retry_after_s(key, now):
            return []
        actions: list[Action] = []
        for waiting in self.waiting.members((key, "")):
            self.waiting.remove(waiting.request.request_id)
            self._on_dequeued(waiting, now)
            actions.append(self._refuse(waiting, Reason.ADAPTER_LOAD_FAILED, now))
        return actions

    # Reports

    def on_report(self, report: ServerReport, now: float) -> list[Action]:
        """Reconcile the state with an engine's report."""
        server = self.servers_by_name.get(report.server)
        if server is None or report.incarnation < server.incarnation:
            return []
        ended: list[Place] = []
        if report.incarnation > server.incarnation:
            if server.incarnation:
                ended = self._on_cold_restart(server)
            server.incarnation, server.report = report.incarnation, None
        if (
            server.report is not None
            and report.requested_at <= server.report.requested_at
        ):
            return []
        was_known = server.is_known(now)
        server.report, server.reported_at = report, now
        before = set(server.slots_by_key)
        self.slots.on_report(server, report, now)
        ended += self.places.on_report(server, report, now)
        for key in before.symmetric_difference(server.slots_by_key):
            self._update_load_demand((key, ""), now)
            self._update_load_demand((key, server.name), now)
            self._plan_due = True
        if not was_known:
            self._plan_due = True
        actions = self._after_release(ended, now)
        actions.extend(self._dispatch(server, now))
        return actions

    def _on_cold_restart(self, server: ServerState) -> list[Place]:
        self.slots.clear(server)
        self.prefix_index.forget_server(server.name)
        self._plan_due = True
        return self.places.on_restart(server)

    # Time

    def tick(self, now: float) -> list[Action]:
        """Apply deadlines, expiries, back-offs and drains; called every 0.05 s."""
        actions: list[Action] = []
        for waiting in self.waiting.expired(now):
            # A request re-queued after a failed load has two entries in the deadline
            # heap; removing it here makes `expired` skip the second one.
            self.waiting.remove(waiting.request.request_id)
            self._on_dequeued(waiting, now)
            reason = self._timeout_reason(waiting, now)
            actions.append(self._refuse(waiting, reason, now))
        actions.extend(self._after_release(self.places.expire(now), now))
        if now < self.ready_at:
            return actions
        actions.extend(self._advance_drains(now))
        if now >= self._reevaluate_at:
            self._reevaluate_at = now + REEVALUATION_INTERVAL_S
            actions.extend(self._reevaluate(now))
        self._plan_due = True
        actions.extend(self._plan_loads(now))
        return actions

    def _reevaluate(self, now: float) -> list[Action]:
        """Re-evaluate decisions that depend on elapsed time rather than on events."""
        actions: list[Action] = []
        for group in self.waiting.groups():
            self._update_load_demand(group, now)
        self.slots.restore_unneeded(now)
        if self.waiting:
            for server in list(self.places.servers_with_free_place.values()):
                actions.extend(self._dispatch(server, now))
        return actions

    def _timeout_reason(self, waiting: WaitingRequest, now: float) -> Reason:
        if now < self.ready_at:
            return Reason.OWNER_UNAVAILABLE
        if not any(server.is_known(now) for server in self.servers_by_name.values()):
            return Reason.NO_BACKEND_SERVER
        if self.planner.has_failed(waiting.key):
            return Reason.ADAPTER_LOAD_FAILED
        return Reason.OVERLOADED

    # Drains

    def _advance_drains(self, now: float) -> list[Action]:
        actions, changed = self._drains.advance(now)
        for key in changed:
            self._update_load_demand((key, ""), now)
        return actions

    # Handover and status

    def knows_all_places(self, now: float) -> bool:
        """Whether `outstanding_places` covers all places at the pool's servers."""
        return now >= self._reports_valid_from() and all(
            server.is_known(now) for server in self.servers_by_name.values()
        )

    def outstanding_places(self) -> list[PlaceEntry]:
        """Return all places as claims, which the next owner applies with `update`."""
        return self.places.outstanding()

    def expect_eviction(self, server: str, key: AdapterKey, now: float) -> None:
        """Record an unconfirmed eviction that the previous owner ordered."""
        state = self.servers_by_name.get(server)
        if state is not None:
            self.slots.expect_eviction(state, key, now)

    def status(self, now: float) -> dict[str, object]:
        """Return the state of the pool for the operator API."""
        return {
            "pool": self.pool,
            "fencing_token": self.fencing_token,
            "ready": now >= self.ready_at,
            "waiting": dict(self.waiting.count_by_organisation),
            "loads_in_transit": len(self.planner.in_transit),
            "loads_wanted": len(self.planner.wanted_by_key),
            "load_retry_after_s": {
                "@".join(key): round(retry_after_s, 3)
                for key in self.planner.failed_keys()
                if (retry_after_s := self._load_retry_after_s(key, now))
            },
            "servers": [
                {
                    "name": server.name,
                    "known": server.is_known(now),
                    "takes_places": server.takes_places(now),
                    "drain": server.drain.phase if server.drain else "",
                    "places": server.places,
                    "places_in_use": len(server.places_by_request_id),
                    "slots": {
                        "@".join(slot.key): slot.state
                        for slot in server.slots_by_key.values()
                    },
                }
                for server in self.servers_by_name.values()
            ],
        }
