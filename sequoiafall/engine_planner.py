"""The leader's scheduler of one service: places, queues and refuses its requests.

It also decides which adapters and base models the engines load. It performs no I/O:
each call takes the current time and returns actions. Owners of pools use `scheduler`
instead.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from .backend_registry import BackendEntry
from .crash_evidence import CrashEvidence
from .engine_choice import COLD_LOAD_S, WARM_LOAD_S, Candidate, EngineChooser
from .engine_pool import (
    PREFILL_TOKENS_PER_S,
    Engine,
    EnginePool,
    EngineReport,
    EngineSlot,
    ModelState,
    SlotState,
)
from .placement_policy import PlacementPolicy
from .planner_messages import (
    NO_CHOICE,
    Action,
    Choice,
    GrantPlace,
    LoadOrder,
    PlacementRequest,
    RefusePlace,
)
from .prompt_quarantine import PromptQuarantine, Verdict
from .refusal import Reason
from .request_allowance import RequestAllowance
from .server_notices import jittered_retry_s

# Added to the estimated load time before the first request is sent. It covers the
# network latency of the order and the engine's rounding.
LOAD_MARGIN_S = 0.012
# Time from the start of prefill to the first event at the caller, beside the
# prefill itself.
FIRST_EVENT_S = 0.06
# Bounds of the retry time that is sent to refused callers.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 4.0
# After a failed order, reports count as settled this much earlier than usual,
# because no order has taken effect.
CONFLICT_SETTLED_S = 0.2
# Pause after a failed load before the same engine tries it again.
FAILED_LOAD_PAUSE_S = 0.6
# Delay before a slot is used again after its engine responded "not run".
NOT_READY_DELAY_S = 0.03
# A grant can take this long to reach its gateway.
GRANT_DELIVERY_S = 0.6
# A place whose end was not reported expires this long after its caller's
# deadline: the engine has dropped the request by then.
PLACE_MARGIN_S = 1.0
# Interval of the check for expired places.
EXPIRY_INTERVAL_S = 1.0
# Maximum length of a pool's queue; further requests are refused at once.
MAX_WAITING = 400
# A request waits behind this many others however slowly slots become free: the
# interval between releases is a rough estimate.
MIN_AHEAD = 4
# Minimum time between two passes over the waiting requests.
DISPATCH_INTERVAL_S = 0.003
# Concurrent base model loads at full speed, for each load per second that the weight
# store can start. The data sheets give 1 for 2.9 and 4.3, 7 for 27 and 10 for 42
# loads per second.
MODEL_LOAD_CONCURRENCY_S = 0.25
UNLIMITED_LOADS = 1_000_000
# Weight of the newest interval in the moving average of the slot release interval.
RELEASE_WEIGHT = 0.1


@dataclass(slots=True)
class _Waiting:
    request: PlacementRequest
    arrived_at: float
    # Deadline of the first event.
    on_time_until: float
    # Time at which the request is refused if it has no place by then.
    refuse_at: float
    # Engine whose load of the adapter the request waits for, empty if none.
    bound_to: str = ""
    choice: Choice = NO_CHOICE


@dataclass(slots=True)
class _Placed:
    request: PlacementRequest
    server: str
    version: int
    placed_at: float

    @property
    def expires_at(self) -> float:
        """Time at which the place is released if its end is not reported."""
        return self.placed_at + self.request.time_left_s + PLACE_MARGIN_S


@dataclass(slots=True)
class PlannerCounts:
    """Totals since the start of the planner, for metrics."""

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
        Seed of the jitter of retry times.
    policy : PlacementPolicy or None, default=None
        Tunable parameters; None for the production defaults.
    allowances_by_server : mapping of str to RequestAllowance or None, default=None
        Allowances of the servers that have a limit; the caller updates it.
    quarantine : PromptQuarantine or None, default=None
        Admits requests by the parts of their prompts; None to admit all.
    loads_from : float, default=0.0
        Time in seconds from which adapters are loaded. Before it, places that an
        earlier leader granted may be unknown, and their adapters seem to be idle.
    """

    def __init__(
        self,
        service: str,
        seed: int = 0,
        policy: PlacementPolicy | None = None,
        allowances_by_server: Mapping[str, RequestAllowance] | None = None,
        quarantine: PromptQuarantine | None = None,
        loads_from: float = 0.0,
    ) -> None:
        self.service = service
        # Limit of concurrent base model loads from the weight store.
        self.max_store_loads = UNLIMITED_LOADS
        self.pool = EnginePool(allowances_by_server=allowances_by_server)
        self._policy = policy or PlacementPolicy()
        self._quarantine = quarantine or PromptQuarantine(CrashEvidence())
        self.counts = PlannerCounts()
        self._random = random.Random(seed)
        self._loads_from = loads_from
        self._chooser = EngineChooser(self.pool, self._policy, loads_from)
        self._waiting_by_id: dict[str, _Waiting] = {}
        # Places by request and engine: a request has two while its gateway moves it
        # from one engine to another.
        self._places_by_id: dict[str, dict[str, _Placed]] = {}
        self._release_interval_s = 0.05
        self._released_at = 0.0
        self._has_changed = False
        self._dispatched_at = 0.0
        self._expired_at = 0.0

    # Inputs

    def set_entries(
        self, entries: list[BackendEntry], adapter_slots: int, now: float
    ) -> list[Action]:
        """Replace the set of announced engines."""
        self.pool.adapter_slots = adapter_slots
        for name in self.pool.set_entries(entries):
            self._unbind(name)
        return self._refuse_gone_versions(entries, now) + self._on_change(now)

    def _refuse_gone_versions(
        self, entries: list[BackendEntry], now: float
    ) -> list[Action]:
        """Refuse waiting streams that no engine can go on with any more."""
        versions = {entry.software for entry in entries if not entry.is_leaving}
        actions: list[Action] = []
        for waiting in list(self._waiting_by_id.values()):
            software = waiting.request.software
            if software is None or not versions or software in versions:
                continue
            self._drop(waiting)
            detail = "no engine has the software version that began the stream"
            actions.append(
                self._refuse(waiting, Reason.STREAM_VERSION_GONE, now, detail)
            )
        return actions

    def set_store_rate(self, loads_per_s: float) -> None:
        """Set the base model loads per second that the weight store can start."""
        self.max_store_loads = UNLIMITED_LOADS
        if loads_per_s > 0.0:
            self.max_store_loads = max(1, round(MODEL_LOAD_CONCURRENCY_S * loads_per_s))

    def pause(self, server: str, until: float) -> None:
        """Stop placements at an engine until a time, at its own request."""
        engine = self.pool.engines_by_name.get(server)
        if engine is None or until <= engine.paused_until:
            return
        engine.paused_until = until
        self._unbind(server)

    def is_pausing(self, server: str, now: float) -> bool:
        """Whether a pause that an engine asked for is still in effect."""
        engine = self.pool.engines_by_name.get(server)
        return engine is not None and now < engine.paused_until

    def set_version(self, adapter: str, version: int) -> None:
        """Set the newest version of an adapter; lower versions are ignored."""
        self._chooser.set_version(adapter, version)

    def version_of(self, adapter: str) -> int:
        """Return the newest version of an adapter: 1 if unset, 0 for the base model."""
        return self._chooser.version_of(adapter)

    def adopt(
        self, request: PlacementRequest, server: str, version: int, now: float
    ) -> None:
        """Record a place that was granted by an earlier leader."""
        engine = self.pool.engines_by_name.get(server)
        if engine is None or server in self._places_by_id.get(request.request_id, ()):
            return
        self._add_place(_Placed(request, server, version, now))
        engine.running += 1

    def release_gateway(
        self, gateway: str, kept: frozenset[str], now: float
    ) -> list[Action]:
        """Release the places of a gateway that are not in `kept`.

        Places that were granted within `GRANT_DELIVERY_S` are kept, because the
        gateway may not have received them yet.
        """
        ended = [
            placed
            for placed in self._places()
            if placed.request.gateway == gateway
            and placed.request.request_id not in kept
            and now - placed.placed_at > GRANT_DELIVERY_S
        ]
        for placed in ended:
            self._release(placed.request.request_id, placed.server, now)
        return self._on_change(now) if ended else []

    def submit(self, request: PlacementRequest, now: float) -> list[Action]:
        """Place, queue or refuse a request.

        A request that is already placed is placed anew. Its old place is released,
        except at an engine that the request excludes: it may run there until it has
        the new place, so that one counts until its end is reported.
        """
        self._chooser.record_request(request, now)
        for server in list(self._places_by_id.get(request.request_id, ())):
            if server not in request.excluded:
                self._release(request.request_id, server, now)
        on_time_until = now + request.on_time_s
        wait_s = request.on_time_s - self._min_start_s(request)
        if wait_s <= 0.0:
            wait_s = min(
                self._policy.late_wait_max_s,
                self._policy.late_wait_share * request.time_left_s,
            )
        # Before adapters are loaded, a lack of slots is no reason to refuse.
        wait_s = max(wait_s, min(self._loads_from - now, request.time_left_s))
        known = self._waiting_by_id.get(request.request_id)
        if known is not None:
            self._drop(known)
        waiting = _Waiting(request, now, on_time_until, now + wait_s)
        refused = self._immediate_refusal(waiting, now)
        if refused is not None:
            return [refused]
        self._waiting_by_id[request.request_id] = waiting
        if self._has_changed:
            actions = self._dispatch(now)
        else:
            self._chooser.refresh(now)
            actions = self._advance(waiting, now)
        actions += self._refuse_hopeless(waiting, now)
        return actions + self._load_replica(request.adapter, now)

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Remove a request whose gateway no longer waits, or end its places."""
        if request_id in self._waiting_by_id:
            return self.withdraw(request_id, now)
        return self.end(request_id, "cancelled", now)

    def withdraw(self, request_id: str, now: float) -> list[Action]:
        """Remove a waiting request that needs no further place; keep its places."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return []
        self._drop(waiting)
        return self._on_change(now)

    def end(
        self, request_id: str, outcome: str, now: float, server: str = ""
    ) -> list[Action]:
        """Release a place and record its outcome.

        Parameters
        ----------
        request_id : str
            The request.
        outcome : str
            ``ok``, ``cancelled``, ``withheld``, ``busy``, ``not_run``, ``failed``,
            ``broken``, ``moved``, ``unused`` or ``unreachable``.
        now : float
            Time in seconds.
        server : str, default=""
            Engine of the place; empty for all places of the request.
        """
        held = self._places_by_id.get(request_id, {})
        if server and held and server not in held:
            return []
        servers = [server] if server else list(held)
        if not held.keys() - set(servers):
            self._quarantine.end_run(request_id, outcome, now)
        released = [self._release(request_id, name, now) for name in servers]
        for placed in released:
            engine = self.pool.engines_by_name.get(placed.server) if placed else None
            if placed is not None and engine is not None:
                self._record_outcome(engine, placed, outcome, now)
        return self._on_change(now) if any(released) else []

    def shared_parts(self, request_id: str, server: str) -> tuple[str, ...]:
        """Return the suspects of a request with a place at an engine."""
        placed = self._places_by_id.get(request_id, {}).get(server)
        return placed.request.shared_parts if placed is not None else ()

    def on_begun(self, request_id: str, now: float) -> list[Action]:
        """Record that the response to a placed request has begun."""
        self._quarantine.end_trial(request_id)
        return self._on_change(now)

    def on_report(
        self, name: str, report: EngineReport | None, now: float
    ) -> list[Action]:
        """Apply an engine's report; None if the report could not be read."""
        engine = self.pool.engines_by_name.get(name)
        if engine is None:
            return []
        if report is None:
            engine.record_missed_report(now)
            return []
        if engine.apply_report(report, now):
            self._unbind(name)
        self._drop_lost_bindings(engine)
        return self._load_models(now) + self._on_change(now)

    def _load_models(self, now: float) -> list[Action]:
        """Order base model loads for engines without one, in order of announcement.

        A load slows down with the number of loads that are in flight when it
        starts, so limiting concurrency makes all engines ready sooner.
        """
        engines = self.pool.engines_by_name.values()
        from_store = sum(1 for engine in engines if engine.loads_from_store(now))
        actions: list[Action] = []
        for engine in engines:
            if not engine.lacks_model() or not engine.is_synced:
                continue
            if not engine.has_local_model:
                if from_store >= self.max_store_loads:
                    continue
                from_store += 1
            engine.model_state = ModelState.ORDERED
            engine.model_changed_at = now
            engine.pending_orders += 1
            actions.append(LoadOrder(engine.name, "", 0))
        return actions

    def on_order_result(
        self, order: LoadOrder, accepted: bool | None, now: float, sequence: int = -1
    ) -> list[Action]:
        """Apply the result of a load order.

        Parameters
        ----------
        order : LoadOrder
            The order.
        accepted : bool or None
            Whether the engine accepted it; None if it did not respond.
        now : float
            Time in seconds.
        sequence : int, default=-1
            Sequence number that an order without a response was sent with.
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
                engine.is_synced = False
            return []
        slot = engine.slots_by_adapter.get(order.adapter)
        if slot is None:
            return []
        slot.changed_at = now
        slot.is_ordered = False
        if accepted:
            load_s = COLD_LOAD_S * max(
                1.0, self.pool.transfers(now) / self._chooser.max_transfers()
            )
            if not slot.from_store:
                load_s = WARM_LOAD_S
            slot.ready_at = now + load_s + LOAD_MARGIN_S
            return []
        self.counts.failed_loads += 1
        # The engine's state differs from the planner's; wait for a settled report.
        engine.is_synced = False
        engine.ordered_at = now - CONFLICT_SETTLED_S
        self._chooser.pause_load(order.server, order.adapter, now + FAILED_LOAD_PAUSE_S)
        if accepted is None:
            # The engine may still carry out the order, so the slot stays taken.
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
        """Mark a slot as taken again after an unconfirmed unload."""
        engine = self.pool.engines_by_name.get(server)
        if engine is not None and adapter not in engine.slots_by_adapter:
            version = self.version_of(adapter)
            engine.put_slot(
                EngineSlot(
                    adapter, version, SlotState.UNKNOWN, now, now, sequence=sequence
                )
            )

    def tick(self, now: float) -> list[Action]:
        """Expire places, and grant or refuse the waiting requests that are due."""
        self._expire_places(now)
        return self._dispatch(now)

    def next_due(self, now: float) -> float:
        """Return the seconds until `tick` may have something to do."""
        due = now + 0.25
        if self._has_changed:
            due = self._dispatched_at + DISPATCH_INTERVAL_S
        if self._waiting_by_id:
            due = min(due, now + self._next_allowance_s(now))
            if now < self._loads_from:
                due = min(due, self._loads_from)
        for waiting in self._waiting_by_id.values():
            due = min(due, waiting.refuse_at)
            if waiting.bound_to:
                slot = self._slot_of(waiting)
                if slot is not None:
                    due = min(due, slot.ready_at)
        return max(0.002, due - now)

    @property
    def waiting_count(self) -> int:
        """Number of queued requests."""
        return len(self._waiting_by_id)

    def describe(self, now: float) -> dict[str, object]:
        """Return summary figures for the log."""
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
        """Return the planner's view of an engine, for the log."""
        engine = self.pool.engines_by_name.get(name)
        if engine is None:
            return {}
        return {
            "report_age_ms": int((now - engine.reported_at) * 1e3),
            "backlog_ms": int(engine.backlog_s(now) * 1e3),
            "failing": round(engine.current_failure_share(now), 2),
        }

    # Decisions

    def _min_start_s(self, request: PlacementRequest) -> float:
        """Return the minimum time to the first event if a slot were free now."""
        load_s = self._chooser.min_load_s(request.adapter)
        return load_s + request.prompt_tokens / PREFILL_TOKENS_PER_S + FIRST_EVENT_S

    def _immediate_refusal(self, waiting: _Waiting, now: float) -> RefusePlace | None:
        request = waiting.request
        if all(row.entry.is_leaving for row in self.pool.engines_by_name.values()):
            return self._refuse(waiting, Reason.NO_BACKEND_SERVER, now, "no engine")
        pause_s = self._shortest_pause_s(now)
        if pause_s > 0.0:
            return self._refuse(
                waiting, Reason.OVERLOADED, now, "all engines pause", pause_s
            )
        if len(self._waiting_by_id) >= MAX_WAITING:
            return self._refuse(waiting, Reason.OVERLOADED, now, "queue is full")
        if request.time_left_s <= 0.0:
            return self._refuse(waiting, Reason.OVERLOADED, now, "no time left")
        if self._verdict(waiting, now) is Verdict.REFUSE:
            return self._refuse_harmful(waiting, now)
        limit_wait_s = self._limit_wait_s(self._sort_key(waiting, now), now)
        if limit_wait_s > waiting.refuse_at - now:
            return self._refuse(
                waiting,
                Reason.OVERLOADED,
                now,
                "the limits of the engines are reached",
                wait_s=limit_wait_s,
            )
        return None

    def _refuse_hopeless(self, waiting: _Waiting, now: float) -> list[Action]:
        """Refuse a new request that would wait longer for a slot than it can.

        Only a request that has no place and no load yet has to wait for a slot: an
        adapter that is loaded serves more requests, however many wait for others.
        """
        request_id = waiting.request.request_id
        if self._waiting_by_id.get(request_id) is not waiting or waiting.bound_to:
            return []
        own_key = self._sort_key(waiting, now)
        ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if not other.bound_to and self._sort_key(other, now) < own_key
        )
        expected_s = ahead * self._release_interval_s
        if (
            now < self._loads_from
            or ahead <= MIN_AHEAD
            or expected_s <= waiting.refuse_at - now
        ):
            return []
        self._drop(waiting)
        return [
            self._refuse(waiting, Reason.OVERLOADED, now, f"{ahead} requests are ahead")
        ]

    def _limit_wait_s(self, own_key: tuple[bool, int, float], now: float) -> float:
        """Return the seconds until the engines' limits allow a request.

        It is 0 if an eligible engine has no limit. All requests that sort before
        the key are served first.
        """
        if not self.pool.index.allowances_by_server:
            return 0.0
        eligible = [
            engine
            for engine in self.pool.engines_by_name.values()
            if engine.is_eligible(now)
        ]
        allowances = [engine.allowance for engine in eligible]
        limited = [allowance for allowance in allowances if allowance is not None]
        if not limited or len(limited) < len(eligible):
            return 0.0
        ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if self._sort_key(other, now) < own_key
        )
        level = sum(max(0.0, allowance.level(now)) for allowance in limited)
        rate_per_s = sum(allowance.rate_per_s for allowance in limited)
        return max(0.0, (ahead + 1 - level) / rate_per_s)

    def _next_allowance_s(self, now: float) -> float:
        """Return the seconds until a limited engine may get its next request."""
        allowances = self.pool.index.allowances_by_server
        waits_s = (
            allowances[name].wait_s(now)
            for name in self.pool.engines_by_name
            if name in allowances
        )
        return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=math.inf)

    def _shortest_pause_s(self, now: float) -> float:
        """Return the shortest pause if all engines are pausing, else 0."""
        engines = [
            engine
            for engine in self.pool.engines_by_name.values()
            if not engine.entry.is_leaving
        ]
        paused_until = min((row.paused_until for row in engines), default=0.0)
        return max(0.0, paused_until - now)

    def _sort_key(self, waiting: _Waiting, now: float) -> tuple[bool, int, float]:
        """Return the queue sort key: on time first, then priority, then arrival."""
        request = waiting.request
        is_late = (
            waiting.on_time_until - now < request.prompt_tokens / PREFILL_TOKENS_PER_S
        )
        return (is_late, request.rank, waiting.arrived_at)

    def _on_change(self, now: float) -> list[Action]:
        """Dispatch waiting requests, unless that was done within the interval."""
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
            self._waiting_by_id.values(), key=lambda item: self._sort_key(item, now)
        )
        self._chooser.refresh(now)
        for waiting in ordered:
            actions.extend(self._advance(waiting, now))
        return actions

    def _advance(self, waiting: _Waiting, now: float) -> list[Action]:
        verdict = self._verdict(waiting, now)
        if verdict is Verdict.REFUSE:
            self._drop(waiting)
            return [self._refuse_harmful(waiting, now)]
        if verdict is Verdict.WAIT:
            if now < waiting.refuse_at:
                return []
            self._drop(waiting)
            return [self._refuse(waiting, Reason.OVERLOADED, now, "awaits a trial")]
        if waiting.bound_to:
            return self._advance_bound(waiting, now)
        max_backlog_s = self._max_backlog_s(waiting, now)
        candidate = self._chooser.choose(waiting.request, max_backlog_s, now)
        if candidate is None:
            if now >= waiting.refuse_at:
                del self._waiting_by_id[waiting.request.request_id]
                return [self._refuse(waiting, Reason.OVERLOADED, now, "no free slot")]
            return []
        waiting.choice = candidate.choice(waiting.request.adapter)
        if candidate.slot is not None and candidate.start_s <= 0.0:
            return [self._grant(waiting, candidate.engine, candidate.slot.version, now)]
        if candidate.slot is None and not waiting.request.adapter:
            return [self._grant(waiting, candidate.engine, 0, now)]
        actions: list[Action] = []
        if candidate.slot is None:
            actions.append(self._start_load(waiting.request.adapter, candidate, now))
        self._bind(waiting, candidate.engine, now)
        return actions

    def _verdict(self, waiting: _Waiting, now: float) -> Verdict:
        request = waiting.request
        return self._quarantine.decide(request.request_id, request.shared_parts, now)

    def _refuse_harmful(self, waiting: _Waiting, now: float) -> RefusePlace:
        harmful = self._quarantine.refusal(
            waiting.request.shared_parts, now, MIN_RETRY_AFTER_S
        )
        refusal = self._refuse(waiting, harmful.reason, now, harmful.detail)
        return replace(refusal, retry_after_s=harmful.retry_after_s)

    def _drop(self, waiting: _Waiting) -> None:
        """Remove a request from the queue, with its claim to an adapter slot."""
        del self._waiting_by_id[waiting.request.request_id]
        self._release_binding(waiting)

    def _advance_bound(self, waiting: _Waiting, now: float) -> list[Action]:
        slot = self._slot_of(waiting)
        if slot is None:
            self._release_binding(waiting)
            return []
        if slot.state is SlotState.RESIDENT:
            engine = self.pool.engines_by_name[waiting.bound_to]
            self._release_binding(waiting)
            if not engine.has_allowance(now):
                # Another engine may take the request sooner.
                return self._advance(waiting, now)
            return [self._grant(waiting, engine, slot.version, now)]
        return []

    def _max_backlog_s(self, waiting: _Waiting, now: float) -> float:
        """Return the longest prefill backlog in seconds that a request may join.

        A request that would be late behind a longer one stays in this queue, where
        it can still go to another engine, yield to more urgent requests, or be
        refused in time.
        """
        left_s = waiting.on_time_until - now - FIRST_EVENT_S
        left_s -= waiting.request.prompt_tokens / PREFILL_TOKENS_PER_S
        return max(self._policy.late_backlog_s, left_s)

    def _load_replica(self, adapter: str, now: float) -> list[Action]:
        candidate = self._chooser.choose_replica(adapter, now)
        return [self._start_load(adapter, candidate, now)] if candidate else []

    def _start_load(self, adapter: str, candidate: Candidate, now: float) -> LoadOrder:
        self.counts.evictions += bool(candidate.evicted)
        self.counts.cold_loads += candidate.is_cold
        self.counts.warm_loads += not candidate.is_cold
        return self._chooser.begin_load(adapter, candidate, now)

    # State updates

    def _slot_of(self, waiting: _Waiting) -> EngineSlot | None:
        engine = self.pool.engines_by_name.get(waiting.bound_to)
        if engine is None:
            return None
        return engine.slots_by_adapter.get(waiting.request.adapter)

    def _bind(self, waiting: _Waiting, engine: Engine, now: float) -> None:
        waiting.bound_to = engine.name
        self.pool.use_adapter(engine.name, waiting.request.adapter)
        engine.slots_by_adapter[waiting.request.adapter].used_at = now

    def _release_binding(self, waiting: _Waiting) -> None:
        if waiting.bound_to:
            self.pool.release_adapter(waiting.bound_to, waiting.request.adapter)
            waiting.bound_to = ""

    def _unbind(self, server: str, adapter: str = "") -> None:
        for waiting in self._waiting_by_id.values():
            if waiting.bound_to != server:
                continue
            if adapter and waiting.request.adapter != adapter:
                continue
            self._release_binding(waiting)

    def _drop_lost_bindings(self, engine: Engine) -> None:
        for waiting in self._waiting_by_id.values():
            if (
                waiting.bound_to == engine.name
                and waiting.request.adapter not in engine.slots_by_adapter
            ):
                self._release_binding(waiting)

    def _grant(
        self, waiting: _Waiting, engine: Engine, version: int, now: float
    ) -> GrantPlace:
        request = waiting.request
        del self._waiting_by_id[request.request_id]
        slot = engine.slots_by_adapter.get(request.adapter)
        if slot is not None:
            slot.used_at = now
        if engine.allowance is not None:
            engine.allowance.count(now)
        engine.add_request(request.prompt_tokens, now)
        self._release(request.request_id, engine.name, now)
        self._add_place(_Placed(request, engine.name, version, now))
        self.counts.granted += 1
        is_trial = self._quarantine.begin_trial(
            request.request_id, request.shared_parts, now
        )
        return GrantPlace(
            request.request_id,
            engine.name,
            version,
            now - waiting.arrived_at,
            waiting.choice,
            is_trial,
        )

    def _places(self) -> Iterator[_Placed]:
        for places_by_server in self._places_by_id.values():
            yield from places_by_server.values()

    def _add_place(self, placed: _Placed) -> None:
        places = self._places_by_id.setdefault(placed.request.request_id, {})
        places[placed.server] = placed
        self.pool.use_adapter(placed.server, placed.request.adapter)

    def _release(self, request_id: str, server: str, now: float) -> _Placed | None:
        places = self._places_by_id.get(request_id, {})
        placed = places.pop(server, None)
        if placed is None:
            return None
        if not places:
            del self._places_by_id[request_id]
            # Without a known end, a server may have run it.
            self._quarantine.fail_trial(request_id, now)
        slot = self.pool.release_adapter(server, placed.request.adapter)
        if slot is not None and slot.uses == 0:
            self._record_release(now)
        engine = self.pool.engines_by_name.get(server)
        if engine is not None:
            engine.remove_request()
        return placed

    def _expire_places(self, now: float) -> None:
        """Release places whose end report was lost.

        Otherwise each would keep its adapter's slot in use for the rest of the
        leader's term.
        """
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        expired = [placed for placed in self._places() if now >= placed.expires_at]
        for placed in expired:
            self._release(placed.request.request_id, placed.server, now)
        self.counts.expired_places += len(expired)

    def _record_release(self, now: float) -> None:
        interval_s = min(1.0, now - self._released_at)
        self._released_at = now
        self._release_interval_s += RELEASE_WEIGHT * (
            interval_s - self._release_interval_s
        )

    def _record_outcome(
        self, engine: Engine, placed: _Placed, outcome: str, now: float
    ) -> None:
        if outcome == "ok":
            engine.record_success()
            slot = engine.slots_by_adapter.get(placed.request.adapter)
            if slot is not None and slot.state is SlotState.RESIDENT:
                engine.confirm_slot(slot)
        elif outcome in ("failed", "broken", "unreachable", "busy"):
            engine.record_failure(now, is_unreachable=outcome == "unreachable")
        elif outcome == "moved":
            engine.record_stall(now)
        elif outcome == "not_run":
            slot = engine.slots_by_adapter.get(placed.request.adapter)
            if slot is not None and slot.state is SlotState.RESIDENT:
                # The load takes longer than expected, or the adapter is gone; the
                # next report shows which.
                engine.set_state(slot, SlotState.LOADING)
                slot.ready_at = now + NOT_READY_DELAY_S

    def _refuse(
        self,
        waiting: _Waiting,
        reason: Reason,
        now: float,
        detail: str,
        pause_s: float = 0.0,
        wait_s: float = 0.0,
    ) -> RefusePlace:
        request = waiting.request
        self.counts.refused_by_reason[reason.value] += 1
        max_s = min(MAX_RETRY_AFTER_S, request.time_left_s / 3.0)
        queue_s = len(self._waiting_by_id) * self._release_interval_s
        min_s = min(max_s, max(MIN_RETRY_AFTER_S, queue_s, wait_s))
        retry_after_s = self._random.uniform(min_s, max_s) if max_s > 0.05 else 0.0
        if pause_s > 0.0:
            retry_after_s = jittered_retry_s(pause_s, request.time_left_s, self._random)
        waited_s = now - waiting.arrived_at
        return RefusePlace(request.request_id, reason, retry_after_s, detail, waited_s)
