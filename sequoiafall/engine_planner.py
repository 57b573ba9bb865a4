"""Places requests at engines: who waits, who is refused, what is loaded where.

All decisions are pure: each call takes the time and returns actions.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from .backend_registry import BackendEntry
from .engine_choice import COLD_LOAD_S, WARM_LOAD_S, EngineChooser, Option
from .engine_pool import (
    PREFILL_TOKENS_PER_S,
    Engine,
    EnginePool,
    EngineReport,
    EngineSlot,
    ModelState,
    SlotState,
)
from .place_ask import (
    UNCHOSEN,
    Action,
    Ask,
    Choice,
    GrantPlace,
    LoadOrder,
    RefusePlace,
)
from .placement_policy import PlacementPolicy
from .refusal import Reason
from .server_notices import jittered_retry_s

# Added to an estimated load before the first request is sent, for the way of
# the order and the engine's rounding.
LOAD_MARGIN_S = 0.012
# Time between the start of reading a prompt and the first event at the caller.
FIRST_EVENT_S = 0.06
# Bounds of the time after which a refused caller should come back.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 4.0
# After a conflict, a report this much younger than usual counts as settled: no
# order has taken effect.
CONFLICT_SETTLED_S = 0.2
# A load that failed is not tried again on the same engine for this long.
FAILED_LOAD_PAUSE_S = 0.6
# A slot whose engine answered "not run" is tried again after this time.
NOT_READY_DELAY_S = 0.03
# A place that was granted this recently may not have reached its gateway yet.
GRANT_DELIVERY_S = 0.6
# A place whose end was not reported is taken back this long after its caller's
# time is over: the engine has dropped the request by then.
PLACE_MARGIN_S = 1.0
# Places are looked through for those that have outlived their callers this often.
EXPIRY_INTERVAL_S = 1.0
# Requests of a pool that wait at most; more are refused at once.
MAX_WAITING = 400
# The waiting requests are looked at this often at most.
DISPATCH_INTERVAL_S = 0.003
# Loads of base models at once that the weight store carries at full speed, for
# each one that it begins a second; the deployments' sheets give 1 for 2.9 and
# 4.3, 7 for 27 and 10 for 42 loads a second.
MODEL_LOADS_SHARE = 0.25
UNLIMITED_LOADS = 1_000_000
# Weight of the newest interval in the estimated rate of freed slots.
RELEASE_WEIGHT = 0.1


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    arrived_at: float
    on_time_until: float
    refuse_at: float
    bound_to: str = ""
    choice: Choice = UNCHOSEN


@dataclass(slots=True)
class _Placed:
    ask: Ask
    server: str
    version: int
    placed_at: float

    @property
    def expires_at(self) -> float:
        """Time at which the place ends without a report."""
        return self.placed_at + self.ask.time_left_s + PLACE_MARGIN_S


@dataclass(slots=True)
class PlannerCounts:
    """Counts for metrics."""

    granted: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    cold_loads: int = 0
    warm_loads: int = 0
    evictions: int = 0
    failed_loads: int = 0
    expired_places: int = 0


class EnginePlanner:
    """Places the requests of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    seed : int
        Seed of the spread of retry times.
    policy : PlacementPolicy or None, default=None
        Settings that experiments vary; by default those of the product.
    """

    def __init__(
        self, service: str, seed: int = 0, policy: PlacementPolicy | None = None
    ) -> None:
        self.service = service
        # Base models on their way from the weight store at once.
        self.most_weight_loads = UNLIMITED_LOADS
        self.pool = EnginePool()
        self._policy = policy or PlacementPolicy()
        self.counts = PlannerCounts()
        self._random = random.Random(seed)
        self._chooser = EngineChooser(self.pool, self._policy)
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._placed_by_id: dict[str, _Placed] = {}
        self._release_interval_s = 0.05
        self._released_at = 0.0
        self._has_changed = False
        self._dispatched_at = 0.0
        self._expired_at = 0.0

    # Inputs

    def set_entries(
        self, entries: list[BackendEntry], adapter_slots: int, now: float
    ) -> list[Action]:
        """Take over the announced engines."""
        self.pool.adapter_slots = adapter_slots
        for name in self.pool.set_entries(entries):
            self._unbind(name)
        return self._on_change(now)

    def set_weight_loads(self, loads_per_s: float) -> None:
        """Take over how many base models the weight store begins to send a second."""
        self.most_weight_loads = UNLIMITED_LOADS
        if loads_per_s > 0.0:
            self.most_weight_loads = max(1, round(MODEL_LOADS_SHARE * loads_per_s))

    def pause(self, server: str, until: float) -> None:
        """Place nothing at an engine until a time, as it asked for that."""
        engine = self.pool.engines_by_name.get(server)
        if engine is None or until <= engine.paused_until:
            return
        engine.paused_until = until
        self._unbind(server)

    def is_pausing(self, server: str, now: float) -> bool:
        """Whether an engine has asked for a pause that has not ended."""
        engine = self.pool.engines_by_name.get(server)
        return engine is not None and now < engine.paused_until

    def set_version(self, adapter: str, version: int) -> None:
        """Take over the newest version of an adapter; it never goes back."""
        self._chooser.set_version(adapter, version)

    def version_of(self, adapter: str) -> int:
        """Return the newest declared version of an adapter, 1 if none is."""
        return self._chooser.version_of(adapter)

    def adopt(self, ask: Ask, server: str, version: int, now: float) -> None:
        """Note a place that was granted by an earlier leader."""
        engine = self.pool.engines_by_name.get(server)
        if engine is None or ask.request_id in self._placed_by_id:
            return
        self._placed_by_id[ask.request_id] = _Placed(ask, server, version, now)
        engine.running += 1
        slot = engine.slots_by_adapter.get(ask.adapter)
        if slot is not None:
            engine.use_slot(slot)

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
        self._chooser.note_ask(ask, now)
        if ask.request_id in self._placed_by_id:
            self._release(ask.request_id, now)
        on_time_until = now + ask.on_time_s
        wait_s = ask.on_time_s - self._fastest_start_s(ask)
        if wait_s <= 0.0:
            wait_s = min(
                self._policy.late_wait_max_s,
                self._policy.late_wait_share * ask.time_left_s,
            )
        waiting = _Waiting(ask, now, on_time_until, now + wait_s)
        refused = self._refusal_at_once(waiting, now)
        if refused is not None:
            return [refused]
        self._waiting_by_id[ask.request_id] = waiting
        if self._has_changed:
            return self._dispatch(now) + self._replicate(ask.adapter, now)
        self._chooser.begin_round(now)
        return self._advance(waiting, now) + self._replicate(ask.adapter, now)

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Forget a request whose gateway no longer waits."""
        if self._waiting_by_id.pop(request_id, None) is not None:
            return []
        return self.end(request_id, "cancelled", now)

    def end(
        self, request_id: str, outcome: str, now: float, server: str = ""
    ) -> list[Action]:
        """Take back a place.

        Parameters
        ----------
        request_id : str
            The request.
        outcome : str
            ``ok``, ``cancelled``, ``withheld``, ``busy``, ``not_run``, ``failed``,
            ``broken`` or ``unreachable``.
        now : float
            Time in seconds.
        server : str, default=""
            Engine of the place. A report that comes late does not end a place
            that the request got at another engine since.
        """
        held = self._placed_by_id.get(request_id)
        if held is not None and server and held.server != server:
            return []
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
            engine.note_silence(now)
            return []
        if engine.observe(report, now):
            self._unbind(name)
        self._drop_lost_bindings(engine)
        return self._load_models(now) + self._on_change(now)

    def _load_models(self, now: float) -> list[Action]:
        """Order the base model for engines without it, the first announced first.

        The weight store slows a load down by the number of loads that are under
        way when it begins, so engines that wait for their turn are ready sooner.
        """
        engines = self.pool.engines_by_name.values()
        from_store = sum(1 for engine in engines if engine.loads_from_store(now))
        actions: list[Action] = []
        for engine in engines:
            if not engine.lacks_model() or not engine.is_known:
                continue
            if not engine.keeps_copy:
                if from_store >= self.most_weight_loads:
                    continue
                from_store += 1
            engine.model_state = ModelState.ORDERED
            engine.model_changed_at = now
            engine.pending_orders += 1
            actions.append(LoadOrder(engine.name, "", 0))
        return actions

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
                1.0, self.pool.transfers(now) / self._chooser.most_transfers()
            )
            if not slot.from_store:
                load_s = WARM_LOAD_S
            slot.ready_at = now + load_s + LOAD_MARGIN_S
            return []
        self.counts.failed_loads += 1
        # The engine is not as believed; the next settled report tells.
        engine.is_known = False
        engine.ordered_at = now - CONFLICT_SETTLED_S
        self._chooser.pause_load(order.server, order.adapter, now + FAILED_LOAD_PAUSE_S)
        if accepted is None:
            # The order may still be carried out, so its slot stays taken.
            engine.set_state(slot, SlotState.UNKNOWN)
            slot.sequence = sequence
            engine.stalled_until = now + FAILED_LOAD_PAUSE_S
        else:
            engine.drop_slot(order.adapter)
        self._unbind(order.server, order.adapter)
        return self._on_change(now)

    def restore_slot(
        self, server: str, adapter: str, now: float, sequence: int = -1
    ) -> None:
        """Take a slot as taken whose unload was not confirmed."""
        engine = self.pool.engines_by_name.get(server)
        if engine is not None and adapter not in engine.slots_by_adapter:
            version = self.version_of(adapter)
            engine.put_slot(
                EngineSlot(
                    adapter, version, SlotState.UNKNOWN, now, now, sequence=sequence
                )
            )

    def tick(self, now: float) -> list[Action]:
        """Grant, refuse and load what has become due."""
        self._expire_places(now)
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

    def _fastest_start_s(self, ask: Ask) -> float:
        """Return the least time to the first event if a slot were free now."""
        load_s = self._chooser.fastest_load_s(ask.adapter)
        return load_s + ask.prompt_tokens / PREFILL_TOKENS_PER_S + FIRST_EVENT_S

    def _refusal_at_once(self, waiting: _Waiting, now: float) -> RefusePlace | None:
        ask = waiting.ask
        if all(row.entry.is_leaving for row in self.pool.engines_by_name.values()):
            return self._refuse(waiting, Reason.NO_BACKEND_SERVER, now, "no engine")
        pause_s = self._least_pause_s(now)
        if pause_s > 0.0:
            return self._refuse(
                waiting, Reason.OVERLOADED, now, "all engines pause", pause_s
            )
        if len(self._waiting_by_id) >= MAX_WAITING:
            return self._refuse(waiting, Reason.OVERLOADED, now, "queue is full")
        if ask.time_left_s <= 0.0:
            return self._refuse(waiting, Reason.OVERLOADED, now, "no time left")
        order = self._order(waiting, now)
        ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if not other.bound_to and self._order(other, now) < order
        )
        expected_s = ahead * self._release_interval_s
        if ahead > 4 and expected_s > waiting.refuse_at - now:
            return self._refuse(
                waiting, Reason.OVERLOADED, now, f"{ahead} requests are ahead"
            )
        return None

    def _least_pause_s(self, now: float) -> float:
        """Return the shortest pause if all engines are pausing, else 0."""
        engines = [
            engine
            for engine in self.pool.engines_by_name.values()
            if not engine.entry.is_leaving
        ]
        paused_until = min((row.paused_until for row in engines), default=0.0)
        return max(0.0, paused_until - now)

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
        self._chooser.begin_round(now)
        for waiting in ordered:
            actions.extend(self._advance(waiting, now))
        return actions

    def _advance(self, waiting: _Waiting, now: float) -> list[Action]:
        if waiting.bound_to:
            return self._advance_bound(waiting, now)
        most_backlog_s = self._most_backlog_s(waiting, now)
        option = self._chooser.best(waiting.ask, most_backlog_s, now)
        if option is None:
            if now >= waiting.refuse_at:
                del self._waiting_by_id[waiting.ask.request_id]
                return [self._refuse(waiting, Reason.OVERLOADED, now, "no free slot")]
            return []
        waiting.choice = option.choice(waiting.ask.adapter)
        if option.slot is not None and option.start_s <= 0.0:
            return [self._grant(waiting, option.engine, option.slot.version, now)]
        if option.slot is None and not waiting.ask.adapter:
            return [self._grant(waiting, option.engine, 0, now)]
        actions: list[Action] = []
        if option.slot is None:
            actions.append(self._start_load(waiting.ask.adapter, option, now))
        self._bind(waiting, option.engine, now)
        return actions

    def _advance_bound(self, waiting: _Waiting, now: float) -> list[Action]:
        slot = self._slot_of(waiting)
        if slot is None:
            waiting.bound_to = ""
            return []
        if slot.state is SlotState.RESIDENT:
            engine = self.pool.engines_by_name[waiting.bound_to]
            engine.release_slot(slot)
            return [self._grant(waiting, engine, slot.version, now)]
        return []

    def _most_backlog_s(self, waiting: _Waiting, now: float) -> float:
        """Return the longest queue of prompts that a request may join.

        A request that would be late behind it waits here instead, where it can
        be served elsewhere, after more urgent ones, or be refused in time.
        """
        left_s = waiting.on_time_until - now - FIRST_EVENT_S
        left_s -= waiting.ask.prompt_tokens / PREFILL_TOKENS_PER_S
        return max(self._policy.late_backlog_s, left_s)

    def _replicate(self, adapter: str, now: float) -> list[Action]:
        option = self._chooser.replica(adapter, now)
        return [self._start_load(adapter, option, now)] if option else []

    def _start_load(self, adapter: str, option: Option, now: float) -> LoadOrder:
        self.counts.evictions += bool(option.evicted)
        self.counts.cold_loads += option.is_cold
        self.counts.warm_loads += not option.is_cold
        return self._chooser.begin_load(adapter, option, now)

    # Book-keeping

    def _slot_of(self, waiting: _Waiting) -> EngineSlot | None:
        engine = self.pool.engines_by_name.get(waiting.bound_to)
        if engine is None:
            return None
        return engine.slots_by_adapter.get(waiting.ask.adapter)

    def _bind(self, waiting: _Waiting, engine: Engine, now: float) -> None:
        waiting.bound_to = engine.name
        slot = engine.slots_by_adapter[waiting.ask.adapter]
        engine.use_slot(slot)
        slot.used_at = now

    def _unbind(self, server: str, adapter: str = "") -> None:
        for waiting in self._waiting_by_id.values():
            if waiting.bound_to != server:
                continue
            if adapter and waiting.ask.adapter != adapter:
                continue
            slot = self._slot_of(waiting)
            if slot is not None:
                self.pool.engines_by_name[server].release_slot(slot)
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
            engine.use_slot(slot)
            slot.used_at = now
        engine.note_use(ask.prompt_tokens, now)
        self._placed_by_id[ask.request_id] = _Placed(ask, engine.name, version, now)
        self.counts.granted += 1
        waited_s = now - waiting.arrived_at
        return GrantPlace(
            ask.request_id, engine.name, version, waited_s, waiting.choice
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
            engine.release_slot(slot)
            if slot.uses == 0:
                self._note_release(now)
        return placed

    def _expire_places(self, now: float) -> None:
        """Take back places whose end was lost on the way.

        Each would keep its adapter's slot in use for the rest of the term.
        """
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        expired = [
            request_id
            for request_id, placed in self._placed_by_id.items()
            if now >= placed.expires_at
        ]
        for request_id in expired:
            self._release(request_id, now)
        self.counts.expired_places += len(expired)

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
        elif outcome in ("failed", "broken", "unreachable", "busy"):
            engine.note_failure(now, is_unreachable=outcome == "unreachable")
        elif outcome == "not_run":
            slot = engine.slots_by_adapter.get(placed.ask.adapter)
            if slot is not None and slot.state is SlotState.RESIDENT:
                # The load took longer than expected, or the adapter is gone;
                # the next report tells.
                engine.set_state(slot, SlotState.LOADING)
                slot.ready_at = now + NOT_READY_DELAY_S

    def _refuse(
        self,
        waiting: _Waiting,
        reason: Reason,
        now: float,
        detail: str,
        pause_s: float = 0.0,
    ) -> RefusePlace:
        ask = waiting.ask
        self.counts.refused_by_reason[reason.value] += 1
        most_s = min(MAX_RETRY_AFTER_S, ask.time_left_s / 3.0)
        queue_s = len(self._waiting_by_id) * self._release_interval_s
        least_s = min(most_s, max(MIN_RETRY_AFTER_S, queue_s))
        retry_after_s = self._random.uniform(least_s, most_s) if most_s > 0.05 else 0.0
        if pause_s > 0.0:
            retry_after_s = jittered_retry_s(pause_s, ask.time_left_s, self._random)
        waited_s = now - waiting.arrived_at
        return RefusePlace(ask.request_id, reason, retry_after_s, detail, waited_s)
