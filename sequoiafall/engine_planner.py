"""Places requests at engines: who waits, who is refused, what is loaded where.

All decisions are pure: each call takes the time and returns actions.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from .backend_registry import BackendEntry
from .engine_pool import (
    PREFILL_TOKENS_PER_S,
    Engine,
    EnginePool,
    EngineReport,
    EngineSlot,
    ModelState,
    SlotState,
)
from .placement import REPLICA_HYSTERESIS, DecayedCounts
from .refusal import Reason

# Time of a load from the weight store while at most `MAX_TRANSFERS` are under
# way, and from the engine's own memory. Both from the deployments' sheets.
COLD_LOAD_S = 0.25
WARM_LOAD_S = 0.025
# Adapters on their way to all engines, and to one engine, at full speed; the
# deployments' sheets give 8 for 6 or 9 engines, 56 for 45 and 80 for 70.
MAX_TRANSFERS = 8
TRANSFERS_PER_ENGINE = 1.1
MAX_TRANSFERS_PER_ENGINE = 4
FEW_ENGINES = 10
# Added to an estimated load before the first request is sent, for the way of
# the order and the engine's rounding.
LOAD_MARGIN_S = 0.012
# A load from the weight store is priced about like 0.15 s of a caller's time.
COLD_PRICE_S = 0.15
# Another availability zone costs bytes between zones and the way.
ZONE_PRICE_S = 0.006
# An engine that fails all its requests is as bad as this delay.
FAILURE_PRICE_S = 2.0
# Weight of the demand for an adapter that would be evicted.
EVICTION_PRICE_S = 0.25
# Time between the start of reading a prompt and the first event at the caller.
FIRST_EVENT_S = 0.06
# A request whose first event would be late may wait this share of its time.
LATE_WAIT_SHARE = 0.25
LATE_WAIT_MAX_S = 1.2
# A request that will be late joins a queue of prompts of at most this length, so
# that it fills what the others leave.
LATE_BACKLOG_S = 0.15
# Bounds of the time after which a refused caller should come back.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 4.0
# Demand for adapters halves in this time: it shifts within seconds.
DEMAND_HALF_LIFE_S = 12.0
# After a conflict, a report this much younger than usual counts as settled: no
# order has taken effect.
CONFLICT_SETTLED_S = 0.2
# Prompt tokens of an adapter are counted with this half-life, to see a shift of
# demand within seconds.
PROMPT_HALF_LIFE_S = 2.5
# An adapter whose prompts take more than this share of its engines' time is
# loaded on one more: at half load a queue of prompts is as long as a prompt.
REPLICA_SHARE = 0.3
# Between two further loads of one adapter.
REPLICA_PAUSE_S = 0.3
# Loads that callers wait for keep this many of the transfers.
RESERVED_TRANSFERS = 2
# A load that failed is not tried again on the same engine for this long.
FAILED_LOAD_PAUSE_S = 0.6
# A slot whose engine answered "not run" is tried again after this time.
NOT_READY_DELAY_S = 0.03
# A place that was granted this recently may not have reached its gateway yet.
GRANT_DELIVERY_S = 0.6
# Requests of a pool that wait at most; more are refused at once.
MAX_WAITING = 400
# The waiting requests are looked at this often at most.
DISPATCH_INTERVAL_S = 0.003
# Weight of the newest interval in the estimated rate of freed slots.
RELEASE_WEIGHT = 0.1


@dataclass(slots=True, frozen=True)
class Ask:
    """A request for a place.

    Parameters
    ----------
    request_id, organisation, gateway, zone : str
        Who asks.
    adapter : str
        Adapter, empty for the base model.
    prompt_tokens : int
        Tokens of the prompt.
    rank : int
        Priority, 0 goes first.
    on_time_s : float
        Time left in which the first event would be on time.
    time_left_s : float
        Time until the caller gives up.
    excluded : frozenset of str
        Engines that failed this request.
    """

    request_id: str
    organisation: str
    gateway: str
    zone: str
    adapter: str
    prompt_tokens: int
    rank: int
    on_time_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class GrantPlace:
    """Tells a gateway to send the request to an engine now."""

    request_id: str
    server: str
    version: int
    waited_s: float


@dataclass(slots=True, frozen=True)
class RefusePlace:
    """Tells a gateway that the request does not run."""

    request_id: str
    reason: Reason
    retry_after_s: float
    detail: str


@dataclass(slots=True, frozen=True)
class LoadOrder:
    """Tells an engine to load an adapter, after unloading another one.

    Without an adapter, the base model is loaded.
    """

    server: str
    adapter: str
    version: int
    evicted: str = ""


Action = GrantPlace | RefusePlace | LoadOrder


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    arrived_at: float
    on_time_until: float
    refuse_at: float
    bound_to: str = ""


@dataclass(slots=True)
class _Placed:
    ask: Ask
    server: str
    version: int
    placed_at: float


@dataclass(slots=True)
class _Option:
    engine: Engine
    slot: EngineSlot | None
    start_s: float
    cost_s: float
    evicted: str = ""
    load_s: float = 0.0
    is_cold: bool = False


class _Round:
    """What one pass over the waiting requests knows of the engines.

    Looking at each engine for each request would take most of a core with 70
    engines; the index and the victims are made once for a pass.
    """

    __slots__ = ("holders_by_adapter", "now", "transfers", "usable", "victims_by_name")

    def __init__(self, pool: EnginePool, now: float) -> None:
        self.now = now
        for engine in pool.engines_by_name.values():
            engine.finish_loads(now)
        self.transfers = pool.transfers(now)
        self.usable = [
            engine for engine in pool.engines_by_name.values() if engine.takes_work(now)
        ]
        self.holders_by_adapter: dict[str, list[Engine]] = {}
        for engine in self.usable:
            for name in engine.slots_by_adapter:
                self.holders_by_adapter.setdefault(name, []).append(engine)
        # The slot to evict, None if one is free; engines without either are left
        # out. Made when the first request needs a load.
        self.victims_by_name: dict[str, EngineSlot | None] | None = None


@dataclass(slots=True)
class PlannerCounts:
    """Counts for metrics."""

    granted: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    cold_loads: int = 0
    warm_loads: int = 0
    evictions: int = 0
    failed_loads: int = 0


class EnginePlanner:
    """Places the requests of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    seed : int
        Seed of the spread of retry times.
    """

    def __init__(self, service: str, seed: int = 0) -> None:
        self.service = service
        self.pool = EnginePool()
        self.counts = PlannerCounts()
        self._random = random.Random(seed)
        self._demand = DecayedCounts(DEMAND_HALF_LIFE_S)
        self._prompts = DecayedCounts(PROMPT_HALF_LIFE_S)
        self._replicated_at: dict[str, float] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._placed_by_id: dict[str, _Placed] = {}
        self._versions_by_adapter: dict[str, int] = {}
        self._paused_loads: dict[tuple[str, str], float] = {}
        self._release_interval_s = 0.05
        self._released_at = 0.0
        self._has_changed = False
        self._dispatched_at = 0.0

    # Inputs

    def set_entries(
        self, entries: list[BackendEntry], adapter_slots: int, now: float
    ) -> list[Action]:
        """Take over the announced engines."""
        self.pool.adapter_slots = adapter_slots
        for name in self.pool.set_entries(entries):
            self._unbind(name)
        return self._on_change(now)

    def set_version(self, adapter: str, version: int) -> None:
        """Take over the newest version of an adapter; it never goes back."""
        known = self._versions_by_adapter.get(adapter, 0)
        self._versions_by_adapter[adapter] = max(known, version)

    def version_of(self, adapter: str) -> int:
        """Return the newest declared version of an adapter, 1 if none is."""
        return self._versions_by_adapter.get(adapter, 1) if adapter else 0

    def adopt(self, ask: Ask, server: str, version: int, now: float) -> None:
        """Note a place that was granted by an earlier leader."""
        engine = self.pool.engines_by_name.get(server)
        if engine is None or ask.request_id in self._placed_by_id:
            return
        self._placed_by_id[ask.request_id] = _Placed(ask, server, version, now)
        engine.running += 1
        slot = engine.slots_by_adapter.get(ask.adapter)
        if slot is not None:
            slot.uses += 1

    def release_gateway(
        self, gateway: str, kept: frozenset[str], now: float
    ) -> list[Action]:
        """Take back the places of a gateway that it no longer holds."""
        ended = [
            request_id
            for request_id, placed in self._placed_by_id.items()
            if placed.ask.gateway == gateway
            and request_id not in kept
            and now - placed.placed_at > GRANT_DELIVERY_S
        ]
        for request_id in ended:
            self._release(request_id, now)
        return self._on_change(now) if ended else []

    def submit(self, ask: Ask, now: float) -> list[Action]:
        """Place, queue or refuse a request."""
        if ask.adapter:
            self._demand.add(ask.adapter, 1.0, now)
            self._prompts.add(ask.adapter, ask.prompt_tokens, now)
        if ask.request_id in self._placed_by_id:
            self._release(ask.request_id, now)
        on_time_until = now + ask.on_time_s
        wait_s = ask.on_time_s - self._fastest_start_s(ask, now)
        if wait_s <= 0.0:
            wait_s = min(LATE_WAIT_MAX_S, LATE_WAIT_SHARE * ask.time_left_s)
        waiting = _Waiting(ask, now, on_time_until, now + wait_s)
        refused = self._refusal_at_once(waiting, now)
        if refused is not None:
            return [refused]
        self._waiting_by_id[ask.request_id] = waiting
        if self._has_changed:
            actions = self._dispatch(now)
            return actions + self._replicate(ask.adapter, _Round(self.pool, now))
        state = _Round(self.pool, now)
        return self._advance(waiting, state) + self._replicate(ask.adapter, state)

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Forget a request whose gateway no longer waits."""
        if self._waiting_by_id.pop(request_id, None) is not None:
            return []
        return self.end(request_id, "cancelled", now)

    def end(self, request_id: str, outcome: str, now: float) -> list[Action]:
        """Take back a place.

        Parameters
        ----------
        request_id : str
            The request.
        outcome : str
            ``ok``, ``cancelled``, ``not_run``, ``failed``, ``broken`` or
            ``unreachable``.
        now : float
            Time in seconds.
        """
        placed = self._release(request_id, now)
        if placed is None:
            return []
        engine = self.pool.engines_by_name.get(placed.server)
        if engine is not None:
            self._note_outcome(engine, placed, outcome, now)
        return self._on_change(now)

    def on_report(
        self, name: str, report: EngineReport | None, now: float
    ) -> list[Action]:
        """Take over an engine's report; None if it could not be had."""
        engine = self.pool.engines_by_name.get(name)
        if engine is None:
            return []
        if report is None:
            engine.note_failure(now, is_unreachable=True)
            return []
        if engine.observe(report, now):
            self._unbind(name)
        self._drop_lost_bindings(engine)
        actions: list[Action] = []
        if engine.lacks_model() and engine.is_known:
            engine.model_state = ModelState.ORDERED
            engine.model_changed_at = now
            engine.pending_orders += 1
            actions.append(LoadOrder(name, "", 0))
        return actions + self._on_change(now)

    def on_ordered(
        self, order: LoadOrder, accepted: bool | None, now: float, sequence: int = -1
    ) -> list[Action]:
        """Note the answer to an order.

        Parameters
        ----------
        order : LoadOrder
            The order.
        accepted : bool or None
            Whether the engine carries it out; None if there was no answer.
        now : float
            Time in seconds.
        sequence : int, default=-1
            Sequence that an order without an answer was sent with.
        """
        engine = self.pool.engines_by_name.get(order.server)
        if engine is None:
            return []
        engine.pending_orders = max(0, engine.pending_orders - 1)
        engine.ordered_at = now
        if not order.adapter:
            engine.model_changed_at = now
            if accepted is False:
                engine.model_state = ModelState.ABSENT
                engine.is_known = False
            return []
        slot = engine.slots_by_adapter.get(order.adapter)
        if slot is None:
            return []
        slot.changed_at = now
        slot.is_ordered = False
        if accepted:
            load_s = COLD_LOAD_S * max(
                1.0, self.pool.transfers(now) / self._most_transfers()
            )
            if not slot.from_store:
                load_s = WARM_LOAD_S
            slot.ready_at = now + load_s + LOAD_MARGIN_S
            return []
        self.counts.failed_loads += 1
        # The engine is not as believed; the next settled report tells.
        engine.is_known = False
        engine.ordered_at = now - CONFLICT_SETTLED_S
        self._paused_loads[order.server, order.adapter] = now + FAILED_LOAD_PAUSE_S
        if accepted is None:
            # The order may still be carried out, so its slot stays taken.
            slot.state = SlotState.UNKNOWN
            slot.sequence = sequence
            engine.stalled_until = now + FAILED_LOAD_PAUSE_S
        else:
            del engine.slots_by_adapter[order.adapter]
        self._unbind(order.server, order.adapter)
        return self._on_change(now)

    def restore_slot(
        self, server: str, adapter: str, now: float, sequence: int = -1
    ) -> None:
        """Take a slot as taken whose unload was not confirmed."""
        engine = self.pool.engines_by_name.get(server)
        if engine is not None and adapter not in engine.slots_by_adapter:
            version = self.version_of(adapter)
            engine.slots_by_adapter[adapter] = EngineSlot(
                adapter, version, SlotState.UNKNOWN, now, now, sequence=sequence
            )

    def tick(self, now: float) -> list[Action]:
        """Grant, refuse and load what has become due."""
        return self._dispatch(now)

    def next_due(self, now: float) -> float:
        """Return the seconds until `tick` may have something to do."""
        due = now + 0.25
        if self._has_changed:
            due = self._dispatched_at + DISPATCH_INTERVAL_S
        for waiting in self._waiting_by_id.values():
            due = min(due, waiting.refuse_at)
            if waiting.bound_to:
                slot = self._slot_of(waiting)
                if slot is not None:
                    due = min(due, slot.ready_at)
        return max(0.002, due - now)

    @property
    def waiting_count(self) -> int:
        """Number of requests without a place."""
        return len(self._waiting_by_id)

    def describe(self, now: float) -> dict[str, object]:
        """Return the state in a few figures, for the log."""
        engines = self.pool.engines_by_name.values()
        return {
            "engines": len(engines),
            "usable": sum(1 for row in engines if row.takes_work(now)),
            "waiting": len(self._waiting_by_id),
            "running": sum(row.running for row in engines),
            "resident": sum(len(row.slots_by_adapter) for row in engines),
            "transfers": self.pool.transfers(now),
        }

    def describe_engine(self, name: str, now: float) -> dict[str, object]:
        """Return what was believed of an engine, for the log."""
        engine = self.pool.engines_by_name.get(name)
        if engine is None:
            return {}
        return {
            "report_age_ms": int((now - engine.reported_at) * 1e3),
            "backlog_ms": int(engine.backlog_s(now) * 1e3),
            "failing": round(engine.failing(now), 2),
        }

    # Decisions

    def _most_transfers(self) -> int:
        engines = len(self.pool.engines_by_name)
        if engines <= FEW_ENGINES:
            return MAX_TRANSFERS
        return int(TRANSFERS_PER_ENGINE * engines)

    def _fastest_start_s(self, ask: Ask, now: float) -> float:
        """Return the least time to the first event if a slot were free now."""
        load_s = 0.0
        if ask.adapter:
            version = self.version_of(ask.adapter)
            load_s = COLD_LOAD_S
            for engine in self.pool.engines_by_name.values():
                slot = engine.slots_by_adapter.get(ask.adapter)
                if slot is not None and slot.version == version:
                    load_s = 0.0
                    break
                if engine.is_warm(ask.adapter, version):
                    load_s = WARM_LOAD_S
        return load_s + ask.prompt_tokens / PREFILL_TOKENS_PER_S + FIRST_EVENT_S

    def _refusal_at_once(self, waiting: _Waiting, now: float) -> RefusePlace | None:
        ask = waiting.ask
        if not self.pool.engines_by_name:
            return self._refuse(waiting, Reason.NO_BACKEND_SERVER, now, "no engine")
        if len(self._waiting_by_id) >= MAX_WAITING:
            return self._refuse(waiting, Reason.OVERLOADED, now, "queue is full")
        if ask.time_left_s <= 0.0:
            return self._refuse(waiting, Reason.OVERLOADED, now, "no time left")
        ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if not other.bound_to
            and self._order(other, now) < self._order(waiting, now)
        )
        expected_s = ahead * self._release_interval_s
        if ahead > 4 and expected_s > waiting.refuse_at - now:
            return self._refuse(
                waiting, Reason.OVERLOADED, now, f"{ahead} requests are ahead"
            )
        return None

    def _order(self, waiting: _Waiting, now: float) -> tuple[bool, int, float]:
        """Return the sort key: on time first, then priority, then arrival."""
        ask = waiting.ask
        late = waiting.on_time_until - now < ask.prompt_tokens / PREFILL_TOKENS_PER_S
        return (late, ask.rank, waiting.arrived_at)

    def _on_change(self, now: float) -> list[Action]:
        """Look at the waiting requests, unless that was done just before."""
        self._has_changed = True
        if now - self._dispatched_at < DISPATCH_INTERVAL_S:
            return []
        return self._dispatch(now)

    def _dispatch(self, now: float) -> list[Action]:
        self._has_changed = False
        self._dispatched_at = now
        actions: list[Action] = []
        if not self._waiting_by_id:
            return actions
        ordered = sorted(
            self._waiting_by_id.values(), key=lambda item: self._order(item, now)
        )
        state = _Round(self.pool, now)
        for waiting in ordered:
            actions.extend(self._advance(waiting, state))
        return actions

    def _advance(self, waiting: _Waiting, state: _Round) -> list[Action]:
        now = state.now
        if waiting.bound_to:
            return self._advance_bound(waiting, now)
        option = self._best_option(waiting, state)
        if option is None:
            if now >= waiting.refuse_at:
                del self._waiting_by_id[waiting.ask.request_id]
                return [self._refuse(waiting, Reason.OVERLOADED, now, "no free slot")]
            return []
        if option.slot is not None and option.start_s <= 0.0:
            return [self._grant(waiting, option.engine, option.slot.version, now)]
        if option.slot is None and not waiting.ask.adapter:
            return [self._grant(waiting, option.engine, 0, now)]
        actions: list[Action] = []
        if option.slot is None:
            actions.append(self._start_load(waiting.ask.adapter, option, state))
        self._bind(waiting, option.engine, now)
        return actions

    def _advance_bound(self, waiting: _Waiting, now: float) -> list[Action]:
        slot = self._slot_of(waiting)
        if slot is None:
            waiting.bound_to = ""
            return []
        if slot.state is SlotState.RESIDENT:
            slot.uses = max(0, slot.uses - 1)
            engine = self.pool.engines_by_name[waiting.bound_to]
            return [self._grant(waiting, engine, slot.version, now)]
        return []

    def _best_option(self, waiting: _Waiting, state: _Round) -> _Option | None:
        ask, now = waiting.ask, state.now
        most_s = self._most_backlog_s(waiting, now)
        if not ask.adapter:
            options = [
                _Option(engine, None, 0.0, self._engine_cost(engine, ask, now))
                for engine in state.usable
                if engine.running < engine.entry.slots
                and engine.name not in ask.excluded
                and engine.backlog_s(now) <= most_s
            ]
            return min(options, key=lambda option: option.cost_s, default=None)
        options = []
        version = self.version_of(ask.adapter)
        for engine in state.holders_by_adapter.get(ask.adapter, ()):
            slot = engine.slots_by_adapter.get(ask.adapter)
            if slot is None or slot.version != version:
                continue
            if slot.state is SlotState.UNKNOWN or engine.name in ask.excluded:
                continue
            if engine.backlog_s(now) > most_s:
                continue
            cost_s = self._engine_cost(engine, ask, now)
            wait_s = 0.0
            if slot.state is SlotState.LOADING:
                wait_s = max(0.001, slot.ready_at - now)
            options.append(_Option(engine, slot, wait_s, cost_s + wait_s))
        best = min(options, key=lambda option: option.cost_s, default=None)
        # Loading it once more costs at least this much.
        if best is not None and best.cost_s <= WARM_LOAD_S:
            return best
        for engine in self._loadable(state):
            if engine.backlog_s(now) > most_s:
                continue
            option = self._load_option(engine, ask, version, state)
            if option is not None and (best is None or option.cost_s < best.cost_s):
                best = option
        return best

    def _most_backlog_s(self, waiting: _Waiting, now: float) -> float:
        """Return the longest queue of prompts that a request may join.

        A request that would be late behind it waits here instead, where it can
        be served elsewhere, after more urgent ones, or be refused in time.
        """
        left_s = waiting.on_time_until - now - FIRST_EVENT_S
        left_s -= waiting.ask.prompt_tokens / PREFILL_TOKENS_PER_S
        return max(LATE_BACKLOG_S, left_s)

    def _engine_cost(self, engine: Engine, ask: Ask, now: float) -> float:
        zone_s = 0.0 if engine.entry.zone == ask.zone else ZONE_PRICE_S
        failure_s = FAILURE_PRICE_S * engine.failing(now)
        return engine.backlog_s(now) + zone_s + failure_s + 0.001 * engine.running

    def _loadable(self, state: _Round) -> list[Engine]:
        """Return the engines that can be told to load an adapter now."""
        if state.victims_by_name is None:
            state.victims_by_name = {}
            for engine in state.usable:
                self._set_victim(engine, state)
        victims = state.victims_by_name
        return [engine for engine in state.usable if engine.name in victims]

    def _set_victim(self, engine: Engine, state: _Round) -> None:
        assert state.victims_by_name is not None
        state.victims_by_name.pop(engine.name, None)
        if not engine.takes_orders(state.now):
            return
        if engine.in_transit() >= MAX_TRANSFERS_PER_ENGINE:
            return
        if len(engine.slots_by_adapter) < engine.adapter_slots:
            state.victims_by_name[engine.name] = None
            return
        victim = self._victim(engine, state.now)
        if victim is not None:
            state.victims_by_name[engine.name] = victim

    def _load_option(
        self, engine: Engine, ask: Ask, version: int, state: _Round
    ) -> _Option | None:
        now = state.now
        slot = engine.slots_by_adapter.get(ask.adapter)
        if slot is not None and (
            slot.version == version or slot.uses or slot.state is not SlotState.RESIDENT
        ):
            return None  # An older version is replaced only when it is idle.
        if engine.name in ask.excluded:
            return None
        if now < self._paused_loads.get((engine.name, ask.adapter), 0.0):
            return None
        is_cold = not engine.is_warm(ask.adapter, version)
        if is_cold and state.transfers >= self._most_transfers():
            return None
        assert state.victims_by_name is not None
        victim = state.victims_by_name[engine.name] if slot is None else None
        cost_s = self._engine_cost(engine, ask, now)
        evicted = ""
        if victim is not None:
            evicted = victim.adapter
            cost_s += EVICTION_PRICE_S * self._demand.rate_per_s(evicted, now)
        load_s = COLD_LOAD_S if is_cold else WARM_LOAD_S
        cost_s += load_s + (COLD_PRICE_S if is_cold else 0.0)
        return _Option(engine, None, load_s, cost_s, evicted, load_s, is_cold)

    def _replicate(self, adapter: str, state: _Round) -> list[Action]:
        """Load an adapter on one more engine before its prompts queue up."""
        now = state.now
        if not adapter:
            return []
        share = self._prompts.rate_per_s(adapter, now) / PREFILL_TOKENS_PER_S
        if share < REPLICA_SHARE:
            return []
        version = self.version_of(adapter)
        holders = [
            engine
            for engine in state.holders_by_adapter.get(adapter, ())
            if engine.slots_by_adapter[adapter].version == version
        ]
        if not holders or share < REPLICA_SHARE * len(holders):
            return []
        if now - self._replicated_at.get(adapter, 0.0) < REPLICA_PAUSE_S:
            return []
        if state.transfers + RESERVED_TRANSFERS >= self._most_transfers():
            return []
        option = self._replica_option(adapter, version, len(holders), state)
        if option is None:
            return []
        self._replicated_at[adapter] = now
        return [self._start_load(adapter, option, state)]

    def _replica_option(
        self, adapter: str, version: int, replicas: int, state: _Round
    ) -> _Option | None:
        now = state.now
        demand = self._demand.get(adapter, now) / (replicas + 1)
        best: _Option | None = None
        for engine in self._loadable(state):
            if adapter in engine.slots_by_adapter:
                continue
            if now < self._paused_loads.get((engine.name, adapter), 0.0):
                continue
            assert state.victims_by_name is not None
            victim = state.victims_by_name[engine.name]
            cost_s = engine.backlog_s(now) + FAILURE_PRICE_S * engine.failing(now)
            evicted = ""
            if victim is not None:
                evicted = victim.adapter
                lost = self._demand.get(evicted, now)
                if lost * REPLICA_HYSTERESIS > demand:
                    continue
                cost_s += EVICTION_PRICE_S * self._demand.rate_per_s(evicted, now)
            is_cold = not engine.is_warm(adapter, version)
            cost_s += COLD_PRICE_S if is_cold else 0.0
            if best is None or cost_s < best.cost_s:
                best = _Option(engine, None, 0.0, cost_s, evicted, 0.0, is_cold)
        return best

    def _victim(self, engine: Engine, now: float) -> EngineSlot | None:
        idle = [
            slot
            for slot in engine.slots_by_adapter.values()
            if slot.state is SlotState.RESIDENT and slot.uses == 0
        ]
        return min(
            idle,
            key=lambda slot: (
                slot.version == self.version_of(slot.adapter),
                self._demand.get(slot.adapter, now),
                slot.used_at,
            ),
            default=None,
        )

    def _start_load(self, adapter: str, option: _Option, state: _Round) -> LoadOrder:
        engine, now = option.engine, state.now
        version = self.version_of(adapter)
        if option.evicted:
            del engine.slots_by_adapter[option.evicted]
            self.counts.evictions += 1
        if option.is_cold:
            state.transfers += 1
            self.counts.cold_loads += 1
        else:
            self.counts.warm_loads += 1
        slot = EngineSlot(
            adapter,
            version,
            SlotState.LOADING,
            # Until the engine accepts the order, the load has no expected end.
            now + 10.0,
            now,
            from_store=option.is_cold,
            is_ordered=True,
        )
        engine.slots_by_adapter[adapter] = slot
        engine.pending_orders += 1
        state.holders_by_adapter.setdefault(adapter, []).append(engine)
        self._set_victim(engine, state)
        return LoadOrder(engine.name, adapter, version, option.evicted)

    # Book-keeping

    def _slot_of(self, waiting: _Waiting) -> EngineSlot | None:
        engine = self.pool.engines_by_name.get(waiting.bound_to)
        if engine is None:
            return None
        return engine.slots_by_adapter.get(waiting.ask.adapter)

    def _bind(self, waiting: _Waiting, engine: Engine, now: float) -> None:
        waiting.bound_to = engine.name
        slot = engine.slots_by_adapter[waiting.ask.adapter]
        slot.uses += 1
        slot.used_at = now

    def _unbind(self, server: str, adapter: str = "") -> None:
        for waiting in self._waiting_by_id.values():
            if waiting.bound_to != server:
                continue
            if adapter and waiting.ask.adapter != adapter:
                continue
            slot = self._slot_of(waiting)
            if slot is not None:
                slot.uses = max(0, slot.uses - 1)
            waiting.bound_to = ""

    def _drop_lost_bindings(self, engine: Engine) -> None:
        for waiting in self._waiting_by_id.values():
            if (
                waiting.bound_to == engine.name
                and waiting.ask.adapter not in engine.slots_by_adapter
            ):
                waiting.bound_to = ""

    def _grant(
        self, waiting: _Waiting, engine: Engine, version: int, now: float
    ) -> GrantPlace:
        ask = waiting.ask
        del self._waiting_by_id[ask.request_id]
        slot = engine.slots_by_adapter.get(ask.adapter)
        if slot is not None:
            slot.uses += 1
            slot.used_at = now
        engine.note_use(ask.prompt_tokens, now)
        self._placed_by_id[ask.request_id] = _Placed(ask, engine.name, version, now)
        self.counts.granted += 1
        return GrantPlace(
            ask.request_id, engine.name, version, now - waiting.arrived_at
        )

    def _release(self, request_id: str, now: float) -> _Placed | None:
        placed = self._placed_by_id.pop(request_id, None)
        if placed is None:
            return None
        engine = self.pool.engines_by_name.get(placed.server)
        if engine is None:
            return placed
        engine.note_end()
        slot = engine.slots_by_adapter.get(placed.ask.adapter)
        if slot is not None:
            slot.uses = max(0, slot.uses - 1)
            if slot.uses == 0:
                self._note_release(now)
        return placed

    def _note_release(self, now: float) -> None:
        interval_s = min(1.0, now - self._released_at)
        self._released_at = now
        self._release_interval_s += RELEASE_WEIGHT * (
            interval_s - self._release_interval_s
        )

    def _note_outcome(
        self, engine: Engine, placed: _Placed, outcome: str, now: float
    ) -> None:
        if outcome == "ok":
            engine.note_success()
        elif outcome in ("failed", "broken", "unreachable"):
            engine.note_failure(now, is_unreachable=outcome == "unreachable")
        elif outcome == "not_run":
            slot = engine.slots_by_adapter.get(placed.ask.adapter)
            if slot is not None and slot.state is SlotState.RESIDENT:
                # The load took longer than expected, or the adapter is gone;
                # the next report tells.
                slot.state = SlotState.LOADING
                slot.ready_at = now + NOT_READY_DELAY_S

    def _refuse(
        self, waiting: _Waiting, reason: Reason, now: float, detail: str
    ) -> RefusePlace:
        ask = waiting.ask
        self.counts.refused_by_reason[reason.value] += 1
        most_s = min(MAX_RETRY_AFTER_S, ask.time_left_s / 3.0)
        queue_s = len(self._waiting_by_id) * self._release_interval_s
        least_s = min(most_s, max(MIN_RETRY_AFTER_S, queue_s))
        retry_after_s = self._random.uniform(least_s, most_s) if most_s > 0.05 else 0.0
        return RefusePlace(ask.request_id, reason, retry_after_s, detail)
