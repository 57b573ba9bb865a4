"""Cost-based choice of engines for requests, adapter loads and evictions."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest

from .engine_pool import (
    PREFILL_TOKENS_PER_S,
    Engine,
    EnginePool,
    EngineSlot,
    SlotState,
)
from .placement import REPLICA_HYSTERESIS, DecayedCounts
from .placement_policy import PlacementPolicy
from .planner_messages import AdapterState, Choice, LoadOrder, PlacementRequest

# Load time of an adapter from the weight store with at most `MAX_TRANSFERS` loads
# in flight, and from the engine's host memory, as in the deployment data sheets.
COLD_LOAD_S = 0.25
WARM_LOAD_S = 0.025
# Concurrent transfers from the weight store at full speed, for the pool and for one
# engine. The data sheets give 8 for 6 or 9 engines, 56 for 45 and 80 for 70.
MAX_TRANSFERS = 8
TRANSFERS_PER_ENGINE = 1.1
MAX_TRANSFERS_PER_ENGINE = 4
SMALL_POOL_ENGINES = 10
# Cross-zone requests add latency and inter-zone traffic.
ZONE_PENALTY_S = 0.006
# Cost of an engine that fails all its requests; scaled by its share of failures.
FAILURE_PENALTY_S = 2.0
# Added cost of an engine whose pause has just ended. It decreases during the ramp-up,
# so that the engine does not get all requests at once.
RAMP_UP_PENALTY_S = 0.3
# Each running request lengthens the engine's batch steps.
RUNNING_PENALTY_S = 0.001
# Half-life of the request count of an adapter; demand shifts within seconds.
DEMAND_HALF_LIFE_S = 12.0
# Half-life of the prompt token count of an adapter, short enough to detect a shift
# of demand within seconds.
PROMPT_HALF_LIFE_S = 2.5
# Minimum time between two replica loads of one adapter.
REPLICA_INTERVAL_S = 0.3
# Transfers that replica loads leave free for loads that requests wait for.
RESERVED_TRANSFERS = 2
# Maximum entries of the maps of load pauses and replica times. Pauses last for less
# than a second, so a full map is simply cleared.
MAX_LOAD_PAUSES = 1000
# Runner-up engines that are logged with the chosen one.
NEXT_BEST = 2


@dataclass(slots=True)
class Candidate:
    """An engine for a request or a replica load, with its estimated cost.

    Parameters
    ----------
    engine : Engine
        The engine.
    slot : EngineSlot or None
        Slot that holds the adapter; None if the adapter has to be loaded or the
        request is for the base model.
    start_s : float
        Seconds until the adapter is ready.
    cost_s : float
        Estimated delay plus penalties, in seconds.
    evicted : str
        Adapter to evict for the load, empty if none.
    is_cold : bool
        Whether the weights come from the weight store.
    next_best : tuple of (str, float)
        Names and costs of the runner-up engines.
    """

    engine: Engine
    slot: EngineSlot | None
    start_s: float
    cost_s: float
    evicted: str = ""
    is_cold: bool = False
    next_best: tuple[tuple[str, float], ...] = ()

    def choice(self, adapter: str) -> Choice:
        """Return the reasons for this choice, for the log and the metrics."""
        state = AdapterState.IN_STORE if self.is_cold else AdapterState.IN_MEMORY
        if not adapter:
            state = AdapterState.NONE
        elif self.slot is not None:
            is_loading = self.start_s > 0.0
            state = AdapterState.LOADING if is_loading else AdapterState.RESIDENT
        return Choice(state, self.cost_s, self.next_best)


class EngineChooser:
    """Chooses engines by lowest estimated cost.

    It keeps the demand for adapters, their versions, and the eviction victim of
    each engine.

    Parameters
    ----------
    pool : EnginePool
        The engines of the service.
    policy : PlacementPolicy
        Penalties and weights of the cost estimate.
    loads_from : float, default=0.0
        Time from which adapters are loaded, in seconds.
    """

    __slots__ = (
        "_demand",
        "_loads_from",
        "_paused_loads",
        "_policy",
        "_pool",
        "_prompts",
        "_replicated_at",
        "_transfers",
        "_versions_by_adapter",
        "_victims_by_name",
    )

    def __init__(
        self, pool: EnginePool, policy: PlacementPolicy, loads_from: float = 0.0
    ) -> None:
        self._pool = pool
        self._policy = policy
        self._loads_from = loads_from
        self._demand = DecayedCounts(DEMAND_HALF_LIFE_S)
        self._prompts = DecayedCounts(PROMPT_HALF_LIFE_S)
        self._replicated_at: dict[str, float] = {}
        self._versions_by_adapter: dict[str, int] = {}
        self._paused_loads: dict[tuple[str, str], float] = {}
        # Slot to evict by engine, None if a slot is free; engines with neither are
        # missing. Only changed engines are re-evaluated: scanning all slots for
        # each request would take most of a CPU core with 70 engines.
        self._victims_by_name: dict[str, EngineSlot | None] = {}
        self._transfers = 0

    # Inputs

    def set_version(self, adapter: str, version: int) -> None:
        """Set the newest version of an adapter; lower versions are ignored."""
        known = self._versions_by_adapter.get(adapter, 0)
        self._versions_by_adapter[adapter] = max(known, version)
        for engine in self._pool.index.holders(adapter):
            self._pool.index.changed.add(engine.name)

    def version_of(self, adapter: str) -> int:
        """Return the newest version of an adapter: 1 if unset, 0 for the base model."""
        return self._versions_by_adapter.get(adapter, 1) if adapter else 0

    def record_request(self, request: PlacementRequest, now: float) -> None:
        """Add a request to the demand for its adapter."""
        if request.adapter:
            self._demand.add(request.adapter, 1.0, now)
            self._prompts.add(request.adapter, request.prompt_tokens, now)

    def pause_load(self, server: str, adapter: str, until: float) -> None:
        """Prevent loads of an adapter on an engine until a time."""
        if len(self._paused_loads) >= MAX_LOAD_PAUSES:
            self._paused_loads.clear()
        self._paused_loads[server, adapter] = until

    def refresh(self, now: float) -> None:
        """Update time-dependent state; call it before each round of decisions."""
        self._pool.finish_loads(now)
        self._pool.update_failure_stats(now)
        self._transfers = self._pool.transfers(now)

    # Decisions

    def max_transfers(self) -> int:
        """Return the number of concurrent transfers that run at full speed."""
        engines = len(self._pool.engines_by_name)
        if engines <= SMALL_POOL_ENGINES:
            return MAX_TRANSFERS
        return int(TRANSFERS_PER_ENGINE * engines)

    def min_load_s(self, adapter: str) -> float:
        """Return the minimum load time of an adapter if a slot were free."""
        if not adapter:
            return 0.0
        version = self.version_of(adapter)
        for engine in self._pool.index.holders(adapter):
            if engine.slots_by_adapter[adapter].version == version:
                return 0.0
        engines = self._pool.engines_by_name.values()
        is_warm = any(engine.is_warm(adapter, version) for engine in engines)
        return WARM_LOAD_S if is_warm else COLD_LOAD_S

    def choose(
        self, request: PlacementRequest, max_backlog_s: float, now: float
    ) -> Candidate | None:
        """Return the engine of lowest cost, None if the request has to wait.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        max_backlog_s : float
            Longest prefill backlog of an engine that it may join, in seconds.
        now : float
            Time in seconds.
        """
        if not request.adapter:
            return _cheapest(
                [
                    Candidate(engine, None, 0.0, _engine_cost_s(engine, request, now))
                    for engine in self._pool.engines_by_name.values()
                    if engine.takes_work(now)
                    and engine.running < engine.entry.slots
                    and request.accepts(engine.entry)
                    and engine.backlog_s(now) <= max_backlog_s
                ]
            )
        version = self.version_of(request.adapter)
        candidates = self._holder_candidates(request, version, max_backlog_s, now)
        best = min(candidates, key=_cost_s, default=None)
        # No other engine can load the adapter faster than this.
        if best is None or best.cost_s > WARM_LOAD_S:
            may_load_cold = self._transfers < self.max_transfers()
            for engine, victim in self._loadable(now):
                if engine.backlog_s(now) > max_backlog_s:
                    continue
                candidate = self._load_candidate(
                    engine, victim, request, version, now, may_load_cold
                )
                if candidate is not None:
                    candidates.append(candidate)
        return _cheapest(candidates)

    def _holder_candidates(
        self, request: PlacementRequest, version: int, max_backlog_s: float, now: float
    ) -> list[Candidate]:
        candidates: list[Candidate] = []
        for engine in self._pool.index.holders(request.adapter):
            if not engine.takes_work(now) or not request.accepts(engine.entry):
                continue
            slot = engine.slots_by_adapter[request.adapter]
            if slot.version != version or slot.state is SlotState.UNKNOWN:
                continue
            if engine.backlog_s(now) > max_backlog_s:
                continue
            cost_s = _engine_cost_s(engine, request, now)
            wait_s = 0.0
            if slot.state is SlotState.LOADING:
                wait_s = max(0.001, slot.ready_at - now)
            candidates.append(Candidate(engine, slot, wait_s, cost_s + wait_s))
        return candidates

    def _load_candidate(
        self,
        engine: Engine,
        victim: EngineSlot | None,
        request: PlacementRequest,
        version: int,
        now: float,
        may_load_cold: bool,
    ) -> Candidate | None:
        is_cold = not engine.is_warm(request.adapter, version)
        if (is_cold and not may_load_cold) or not request.accepts(engine.entry):
            return None
        slot = engine.slots_by_adapter.get(request.adapter)
        if slot is not None:
            # An older version is replaced only while no request uses it.
            if slot.version == version or slot.uses:
                return None
            if slot.state is not SlotState.RESIDENT:
                return None
            victim = None
        if now < self._paused_loads.get((engine.name, request.adapter), 0.0):
            return None
        load_s = COLD_LOAD_S if is_cold else WARM_LOAD_S
        cost_s = _engine_cost_s(engine, request, now) + load_s
        cost_s += self._policy.cold_load_penalty_s if is_cold else 0.0
        evicted = ""
        if victim is not None:
            evicted = victim.adapter
            cost_s += self._policy.eviction_weight_s * self._demand.rate_per_s(
                evicted, now
            )
        return Candidate(engine, None, load_s, cost_s, evicted, is_cold)

    def choose_replica(self, adapter: str, now: float) -> Candidate | None:
        """Return an engine for one more replica of a busy adapter, or None.

        The decision uses prefill utilisation, so that the replica is ready before
        prompts queue up.
        """
        if not adapter:
            return None
        share = self._prompts.rate_per_s(adapter, now) / PREFILL_TOKENS_PER_S
        if share < self._policy.replica_share:
            return None
        version = self.version_of(adapter)
        replicas = sum(
            1
            for engine in self._pool.index.holders(adapter)
            if engine.takes_work(now)
            and engine.slots_by_adapter[adapter].version == version
        )
        if not replicas or share < self._policy.replica_share * replicas:
            return None
        if now - self._replicated_at.get(adapter, 0.0) < REPLICA_INTERVAL_S:
            return None
        if self._transfers + RESERVED_TRANSFERS >= self.max_transfers():
            return None
        candidate = self._replica_candidate(adapter, version, replicas, now)
        if candidate is not None:
            if len(self._replicated_at) >= MAX_LOAD_PAUSES:
                self._replicated_at.clear()
            self._replicated_at[adapter] = now
        return candidate

    def _replica_candidate(
        self, adapter: str, version: int, replicas: int, now: float
    ) -> Candidate | None:
        demand = self._demand.get(adapter, now) / (replicas + 1)
        best: Candidate | None = None
        for engine, victim in self._loadable(now):
            if adapter in engine.slots_by_adapter:
                continue
            if now < self._paused_loads.get((engine.name, adapter), 0.0):
                continue
            cost_s = engine.backlog_s(
                now
            ) + FAILURE_PENALTY_S * engine.excess_failure_share(now)
            evicted = ""
            if victim is not None:
                evicted = victim.adapter
                victim_demand = self._demand.get(evicted, now)
                if victim_demand * REPLICA_HYSTERESIS > demand:
                    continue
                cost_s += self._policy.eviction_weight_s * self._demand.rate_per_s(
                    evicted, now
                )
            is_cold = not engine.is_warm(adapter, version)
            cost_s += self._policy.cold_load_penalty_s if is_cold else 0.0
            if best is None or cost_s < best.cost_s:
                best = Candidate(engine, None, 0.0, cost_s, evicted, is_cold)
        return best

    def begin_load(self, adapter: str, candidate: Candidate, now: float) -> LoadOrder:
        """Reserve a slot for a load and return the load order."""
        engine = candidate.engine
        version = self.version_of(adapter)
        if candidate.evicted:
            engine.drop_slot(candidate.evicted)
        if candidate.is_cold:
            self._transfers += 1
        slot = EngineSlot(
            adapter,
            version,
            SlotState.LOADING,
            # The ready time is set when the engine accepts the order.
            now + 10.0,
            now,
            from_store=candidate.is_cold,
            is_ordered=True,
        )
        engine.put_slot(slot)
        engine.pending_orders += 1
        return LoadOrder(engine.name, adapter, version, candidate.evicted)

    # Victims

    def _loadable(self, now: float) -> list[tuple[Engine, EngineSlot | None]]:
        """Return the engines that can load an adapter, with the slots to evict."""
        if now < self._loads_from:
            return []
        engines_by_name = self._pool.engines_by_name
        victims_by_name = self._victims_by_name
        changed = self._pool.index.changed
        for name in changed:
            victims_by_name.pop(name, None)
            engine = engines_by_name.get(name)
            if engine is None or engine.in_transit() >= MAX_TRANSFERS_PER_ENGINE:
                continue
            if len(engine.slots_by_adapter) < engine.adapter_slots:
                victims_by_name[name] = None
                continue
            victim = self._victim(engine, now)
            if victim is not None:
                victims_by_name[name] = victim
        changed.clear()
        return [
            (engines_by_name[name], victim)
            for name, victim in victims_by_name.items()
            if engines_by_name[name].takes_orders(now)
        ]

    def _victim(self, engine: Engine, now: float) -> EngineSlot | None:
        idle = [
            slot
            for slot in engine.slots_by_adapter.values()
            if slot.state is SlotState.RESIDENT and slot.is_confirmed and slot.uses == 0
        ]
        if len(idle) < 2:
            return idle[0] if idle else None
        return min(
            idle,
            key=lambda slot: (
                slot.version == self.version_of(slot.adapter),
                self._demand.get(slot.adapter, now),
                slot.used_at,
            ),
        )


def _cost_s(candidate: Candidate) -> float:
    return candidate.cost_s


def _cheapest(candidates: list[Candidate]) -> Candidate | None:
    """Return the option of least cost, with the runners-up for the log."""
    if not candidates:
        return None
    best, *others = nsmallest(1 + NEXT_BEST, candidates, key=_cost_s)
    best.next_best = tuple((row.engine.name, row.cost_s) for row in others)
    return best


def _engine_cost_s(engine: Engine, request: PlacementRequest, now: float) -> float:
    zone_s = 0.0 if engine.entry.zone == request.zone else ZONE_PENALTY_S
    failure_s = FAILURE_PENALTY_S * engine.excess_failure_share(now)
    failure_s += RAMP_UP_PENALTY_S * engine.ramp_up_left(now)
    return (
        engine.backlog_s(now) + zone_s + failure_s + RUNNING_PENALTY_S * engine.running
    )
