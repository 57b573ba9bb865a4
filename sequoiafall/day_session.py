"""Discrete-event simulation of a day with the production placement classes.

Gateways, network and engines are modelled in virtual time; placement decisions come
from `EnginePlanner`.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from .backend_registry import BackendEntry
from .catalog import TokenLimit
from .crash_evidence import CrashEvidence, ServerStart
from .day import Day, Disturbance
from .day_arrivals import DayRequest, draw_requests, zone_names
from .engine_model import EngineModel, StepTimes, WeightStoreModel
from .engine_planner import EnginePlanner
from .engine_pool import EngineReport
from .placement_policy import PlacementPolicy
from .planner_messages import (
    Action,
    GrantPlace,
    LoadOrder,
    PlacementRequest,
    RefusePlace,
)
from .prompt_quarantine import PromptQuarantine
from .request_allowance import RequestAllowance, update_allowances
from .table import BackendServer
from .token_bucket import TokenLimits

SERVICE = "engines"
MODEL = "base"
# One-way delay of a message between a gateway, the leader and an engine.
ONE_WAY_S = 0.003
# Time in which a new leader collects the places that are in use.
LEADER_RECOVERY_S = 0.25
# Maximum time that a request waits for a leader before it is refused.
NO_LEADER_WAIT_S = 1.0
NO_LEADER_RETRY_S = 0.5
# Interval at which the planner reviews waiting requests.
TICK_S = 0.004
REPORT_INTERVAL_S = 0.25
# Age of an engine's report when the leader receives it.
REPORT_LAG_S = 0.1
# Time after the last arrival in which requests may still end.
DRAIN_S = 16.0
# Maximum number of engines on which a request is tried.
MAX_ATTEMPTS = 2
# Times after which a report, or an order, counts as one without an answer.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.25
# Sends of a deadly request are counted from this time after this many crashes.
KNOWN_CRASHES = 3
CONTACT_S = 3.0
# Time for which an engine is down after a crash.
CRASH_S = 3.2
# Tokens after which a response counts as begun.
BEGUN_TOKENS = 2


@dataclass(slots=True)
class _SimulatedEngine:
    """Engine model with its adapters, prefill queue and faults."""

    name: str
    model: EngineModel
    resident: dict[str, int] = field(default_factory=dict)
    incoming: dict[str, int] = field(default_factory=dict)
    warm: set[tuple[str, int]] = field(default_factory=set)
    sequence: int = 0
    incarnation: int = 1
    available_at: float = 0.0
    slowdown_factor: float = 1.0
    prefill_until: float = 0.0
    silent_from: float = 0.0
    silent_until: float = 0.0

    def report(self) -> EngineReport:
        """Return the current state as a report, which is delivered with a delay."""
        waiting = len(self.model.prefilling_by_id)
        return EngineReport(
            self.sequence,
            dict(self.resident),
            dict(self.incoming),
            len(self.model.batch_by_id),
            waiting,
            self.incarnation,
            frozenset({MODEL}),
        )


class DaySession:
    """Simulation of one day under one policy and seed.

    Parameters
    ----------
    day : Day
        Workload, engines and disturbances.
    policy : PlacementPolicy
        Parameters of the placement decisions.
    seed : int
        Seed of the arrivals, sizes and disturbed engines. The arrivals do not depend
        on the policy.
    """

    def __init__(self, day: Day, policy: PlacementPolicy, seed: int) -> None:
        self.day = day
        self.policy = policy
        self.seed = seed
        self.requests: list[DayRequest] = []
        self.max_adapters_held = 0
        self.crashes = 0
        self._crashed_at_by_identity: dict[str, list[float]] = defaultdict(list)
        self._late_sends_by_identity: Counter[str] = Counter()
        self._now = 0.0
        self._event_queue: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._tie_breaker = itertools.count()
        self._random = random.Random(seed)
        engines = day.engines
        self._times = StepTimes(engines.step_s, engines.step_per_request_s, 0.0)
        self._store = WeightStoreModel(engines.cold_load_s, engines.transfers)
        zones = zone_names(day)
        self._engines_by_name: dict[str, _SimulatedEngine] = {}
        self._entries: list[BackendEntry] = []
        for number in range(engines.count):
            name = f"engine-{number + 1}"
            zone = zones[number % len(zones)]
            row = BackendServer(
                name=name,
                address=f"{name}:80",
                server_kind="engine",
                pool=SERVICE,
                zone=zone,
                state="in_service",
                checks_fencing=True,
                adapter_slots=engines.adapter_slots,
                places=engines.places,
            )
            self._engines_by_name[name] = _SimulatedEngine(
                name, EngineModel(row, self._times)
            )
            self._entries.append(
                BackendEntry(name, SERVICE, row.address, zone, engines.places, False)
            )
        self._requests_by_id: dict[str, DayRequest] = {}
        # Request, engine and adapter version of each place in use.
        self._places_by_id: dict[str, tuple[DayRequest, str, int]] = {}
        self._waiting_for_leader: list[DayRequest] = []
        self._former_planners: list[EnginePlanner] = []
        self._planner: EnginePlanner | None = None
        self._limit_rates_by_engine: dict[str, float] = {}
        self._allowances_by_engine: dict[str, RequestAllowance] = {}
        self._term = 0
        # Instances share it, so it outlasts the terms of leaders.
        self._evidence = CrashEvidence()
        self._limits = TokenLimits()
        limits = {
            row.name: TokenLimit(row.rate_per_s, row.burst)
            for row in day.organisations
            if row.rate_per_s
        }
        self._limits.set_limits(limits, 0.0)

    # Virtual time

    def _schedule(
        self, when: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(
            self._event_queue,
            (max(when, self._now), next(self._tie_breaker), callback, arguments),
        )

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Simulate the whole day.

        Parameters
        ----------
        progress : callable or None
            Called with the completed share of the simulation, from 0 to 1.
        """
        self._start_term()
        self._schedule_arrivals()
        for row in self.day.disturbances:
            self._schedule(row.at, self._start_disturbance, row)
        self._schedule(0.0, self._tick)
        for engine in self._engines_by_name.values():
            self._schedule(
                self._random.uniform(0.0, REPORT_INTERVAL_S), self._send_report, engine
            )
        until = self.day.duration_s + DRAIN_S
        while self._event_queue and self._event_queue[0][0] <= until:
            self._now, _, callback, arguments = heapq.heappop(self._event_queue)
            callback(*arguments)
            if progress is not None:
                progress(min(1.0, self._now / until))

    def counts(self) -> dict[str, float]:
        """Return the counters of the planners, summed over all leader terms."""
        planners = [*self._former_planners, *([self._planner] if self._planner else [])]
        return {
            "cold loads": float(sum(row.counts.cold_loads for row in planners)),
            "warm loads": float(sum(row.counts.warm_loads for row in planners)),
            "evictions": float(sum(row.counts.evictions for row in planners)),
            "most adapters held": float(self.max_adapters_held),
            "crashes": float(self.crashes),
            "late deadly sends": float(self.late_deadly_sends),
        }

    @property
    def late_deadly_sends(self) -> int:
        """Most sends of a deadly request after its third crash and `CONTACT_S`."""
        return max(self._late_sends_by_identity.values(), default=0)

    # Arrivals

    def _schedule_arrivals(self) -> None:
        self.requests = draw_requests(self.day, self.seed)
        for request in self.requests:
            self._requests_by_id[request.request_id] = request
            self._schedule(request.arrived_at + ONE_WAY_S, self._request_place, request)

    # Gateway and caller

    def _request_place(self, request: DayRequest) -> None:
        kind = request.kind
        remaining_s = request.arrived_at + kind.give_up_s - self._now
        if remaining_s <= 0.0:
            return
        if self._planner is None:
            self._waiting_for_leader.append(request)
            self._schedule(
                self._now + NO_LEADER_WAIT_S, self._on_leader_wait_timeout, request
            )
            return
        if request.organisation and not request.attempts:
            wait_s = self._limits.take(
                request.organisation, request.cost_tokens, self._now
            )
            if wait_s > 0.0:
                request.is_over_limit = True
                self._refuse(request, wait_s)
                return
        request.is_over_limit = False
        on_time_s = request.arrived_at + kind.on_time_s - self._now
        placement_request = _placement_request(request, on_time_s, remaining_s)
        self._execute(self._planner.submit(placement_request, self._now))
        self._schedule(
            request.arrived_at + kind.give_up_s, self._on_caller_disconnected, request
        )

    def _on_leader_wait_timeout(self, request: DayRequest) -> None:
        if request in self._waiting_for_leader:
            self._waiting_for_leader.remove(request)
            self._refuse(request, NO_LEADER_RETRY_S)

    def _refuse(self, request: DayRequest, retry_after_s: float) -> None:
        request.refusals += 1
        request.last_refused_at = self._now
        retries_at = self._now + ONE_WAY_S + retry_after_s
        disconnects_at = request.arrived_at + request.kind.give_up_s
        if request.refusals <= request.kind.returns and retries_at < disconnects_at:
            self._schedule(retries_at + ONE_WAY_S, self._request_place, request)

    def _on_caller_disconnected(self, request: DayRequest) -> None:
        if request.ended_at >= 0.0:
            return
        place = self._places_by_id.pop(request.request_id, None)
        if place is not None:
            self._engines_by_name[place[1]].model.remove(request.request_id, self._now)
            self._schedule_end(self._engines_by_name[place[1]])
        if self._planner is not None:
            self._execute(self._planner.cancel(request.request_id, self._now))

    # Leader

    def _start_term(self) -> None:
        self._term += 1
        self._allowances_by_engine = {}
        self._update_allowances()
        planner = EnginePlanner(
            SERVICE,
            self._term + self.seed,
            self.policy,
            self._allowances_by_engine,
            PromptQuarantine(self._evidence),
        )
        self._planner = planner
        self._execute(
            planner.set_entries(
                self._entries, self.day.engines.adapter_slots, self._now
            )
        )
        for engine in self._engines_by_name.values():
            if engine.available_at <= self._now:
                self._execute(
                    planner.on_report(engine.name, engine.report(), self._now)
                )
        for request, server, version in self._places_by_id.values():
            placement_request = _placement_request(request, 0.0, 0.0)
            planner.adopt(placement_request, server, version, self._now)
        waiting_requests, self._waiting_for_leader = self._waiting_for_leader, []
        for request in waiting_requests:
            self._request_place(request)

    def _tick(self) -> None:
        if self._planner is not None:
            self._execute(self._planner.tick(self._now))
        self._schedule(self._now + TICK_S, self._tick)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPlace):
                self._schedule(self._now + ONE_WAY_S, self._send_to_engine, action)
            elif isinstance(action, RefusePlace):
                request = self._requests_by_id[action.request_id]
                self._refuse(request, action.retry_after_s)
            else:
                self._schedule(
                    self._now + ONE_WAY_S, self._on_order, action, self._term
                )

    def _end_place(self, request: DayRequest, outcome: str) -> None:
        self._places_by_id.pop(request.request_id, None)
        if self._planner is not None:
            self._execute(self._planner.end(request.request_id, outcome, self._now))

    def _send_report(self, engine: _SimulatedEngine) -> None:
        self._schedule(self._now + REPORT_INTERVAL_S, self._send_report, engine)
        allowance = self._allowances_by_engine.get(engine.name)
        if allowance is not None and not allowance.try_report(self._now):
            return
        if engine.silent_until > self._now:
            self._schedule(
                self._now + REPORT_TIMEOUT_S, self._deliver_report, engine.name, None
            )
            return
        report = engine.report() if engine.available_at <= self._now else None
        self._schedule(
            self._now + REPORT_LAG_S, self._deliver_report, engine.name, report
        )

    def _deliver_report(self, name: str, report: EngineReport | None) -> None:
        if self._planner is not None:
            self._execute(self._planner.on_report(name, report, self._now))

    # Orders

    def _on_order(self, order: LoadOrder, term: int) -> None:
        engine = self._engines_by_name[order.server]
        if engine.silent_until > self._now:
            sequence = engine.sequence
            self._schedule(
                engine.silent_until, self._execute_late_order, engine, order, sequence
            )
            self._schedule(
                self._now + ORDER_TIMEOUT_S, self._on_lost_order, order, term, sequence
            )
            return
        is_up = engine.available_at <= self._now
        is_admitted = self._admit_order(order)
        if is_up and is_admitted and order.adapter:
            self._execute_order(engine, order)
        if self._planner is None or term != self._term:
            return
        accepted = is_admitted if is_up else None
        self._execute(
            self._planner.on_order_result(order, accepted, self._now, engine.sequence)
        )

    def _execute_late_order(
        self, engine: _SimulatedEngine, order: LoadOrder, sequence: int
    ) -> None:
        """Execute an order after a silence, unless another one was accepted since."""
        is_up = engine.available_at <= self._now
        if is_up and order.adapter and engine.sequence == sequence:
            self._execute_order(engine, order)

    def _on_lost_order(self, order: LoadOrder, term: int, sequence: int) -> None:
        if self._planner is None or term != self._term:
            return
        if order.evicted:
            # The engine may still hold the adapter, as the unload is not confirmed.
            self._planner.restore_slot(order.server, order.evicted, self._now, sequence)
        self._execute(self._planner.on_order_result(order, None, self._now, sequence))

    def _admit_order(self, order: LoadOrder) -> bool:
        """Count the calls of an order, if the engine's limit allows them."""
        allowance = self._allowances_by_engine.get(order.server)
        if allowance is None:
            return True
        calls = 2 if order.evicted else 1
        return all(allowance.try_control_call(self._now) for _ in range(calls))

    def _execute_order(self, engine: _SimulatedEngine, order: LoadOrder) -> None:
        engine.resident.pop(order.evicted, None)
        engine.sequence += 2 if order.evicted else 1
        # A new version of an adapter replaces the resident one.
        engine.resident.pop(order.adapter, None)
        engine.incoming[order.adapter] = order.version
        held = len(engine.resident.keys() | engine.incoming.keys())
        self.max_adapters_held = max(self.max_adapters_held, held)
        is_cold = (order.adapter, order.version) not in engine.warm
        load_s = self._store.start() if is_cold else self.day.engines.warm_load_s
        self._schedule(
            self._now + load_s,
            self._on_loaded,
            engine,
            order,
            engine.incarnation,
            is_cold,
        )

    def _on_loaded(
        self,
        engine: _SimulatedEngine,
        order: LoadOrder,
        incarnation: int,
        is_cold: bool,
    ) -> None:
        if is_cold:
            self._store.finish()
        if (
            engine.incarnation != incarnation
            or engine.incoming.get(order.adapter) != order.version
        ):
            return
        del engine.incoming[order.adapter]
        engine.resident[order.adapter] = order.version
        engine.warm.add((order.adapter, order.version))

    # Engines

    def _send_to_engine(self, grant: GrantPlace) -> None:
        request = self._requests_by_id[grant.request_id]
        engine = self._engines_by_name[grant.server]
        request.attempts += 1
        self._places_by_id[request.request_id] = (request, grant.server, grant.version)
        if engine.available_at > self._now:
            self._retry_elsewhere(request, grant.server, "unreachable")
            return
        if request.adapter and request.adapter not in engine.resident:
            self._end_place(request, "not_run")
            request.attempts -= 1
            self._schedule(self._now + 2 * ONE_WAY_S, self._request_place, request)
            return
        self._count_late_send(request)
        engines = self.day.engines
        prefill_s = (
            request.prompt_tokens
            / engines.prefill_tokens_per_s
            * engine.slowdown_factor
        )
        engine.prefill_until = (
            max(engine.prefill_until, engine.silent_until, self._now) + prefill_s
        )
        engine.model.prefilling_by_id[request.request_id] = (request.adapter, "")
        self._schedule(
            engine.prefill_until, self._join_batch, request, engine, engine.incarnation
        )

    def _join_batch(
        self, request: DayRequest, engine: _SimulatedEngine, incarnation: int
    ) -> None:
        if (
            engine.incarnation != incarnation
            or request.request_id not in self._places_by_id
        ):
            engine.model.prefilling_by_id.pop(request.request_id, None)
            return
        if engine.silent_until > self._now:
            silence_s = engine.silent_until - engine.silent_from
            self._schedule(
                self._now + silence_s, self._join_batch, request, engine, incarnation
            )
            return
        key = (request.adapter, "")
        engine.model.join(request.request_id, key, request.output_tokens, self._now)
        if request.is_harmful:
            if request.deadly_identity:
                crashes = self._crashed_at_by_identity[request.deadly_identity]
                crashes.append(self._now)
            self._crash(engine)
            return
        self._schedule(
            self._now + BEGUN_TOKENS * engine.model.first_token_s() + ONE_WAY_S,
            self._on_begun,
            request,
            engine,
            incarnation,
        )
        if request.first_event_at < 0.0:
            step_s = engine.model.first_token_s()
            request.first_event_at = self._now + step_s + ONE_WAY_S
        self._schedule_end(engine)

    def _on_begun(
        self, request: DayRequest, engine: _SimulatedEngine, incarnation: int
    ) -> None:
        if engine.incarnation != incarnation:
            return
        if engine.silent_until > self._now:
            self._schedule(
                engine.silent_until, self._on_begun, request, engine, incarnation
            )
            return
        self._evidence.record_begun(request.evidence_keys, self._now)
        if self._planner is not None:
            self._execute(self._planner.on_begun(request.request_id, self._now))

    def _count_late_send(self, request: DayRequest) -> None:
        crashes = self._crashed_at_by_identity.get(request.deadly_identity, [])
        is_known = len(crashes) >= KNOWN_CRASHES
        if is_known and self._now > crashes[KNOWN_CRASHES - 1] + CONTACT_S:
            self._late_sends_by_identity[request.deadly_identity] += 1

    def _crash(self, engine: _SimulatedEngine) -> None:
        """Crash an engine that begins to respond to a harmful prompt."""
        self.crashes += 1
        start = ServerStart(engine.name, engine.incarnation)
        tokens_by_id = engine.model.restart(self._now)
        for request_id, tokens in tokens_by_id.items():
            parts = self._requests_by_id[request_id].evidence_keys
            if tokens < BEGUN_TOKENS:
                self._evidence.record_crash(start, parts, self._now)
            else:
                self._evidence.record_begun(parts, self._now)
        self._restart(engine, CRASH_S, tokens_by_id)

    def _schedule_end(self, engine: _SimulatedEngine) -> None:
        engine.model.schedule_id += 1
        next_end = engine.model.next_end(self._now)
        if next_end is not None:
            schedule_id = engine.model.schedule_id
            self._schedule(
                next_end[0], self._finish_request, engine, next_end[1], schedule_id
            )

    def _finish_request(
        self, engine: _SimulatedEngine, request_id: str, schedule_id: int
    ) -> None:
        if engine.model.schedule_id != schedule_id:
            return
        engine.model.remove(request_id, self._now)
        request = self._requests_by_id[request_id]
        request.ended_at = self._now + ONE_WAY_S
        self._end_place(request, "ok")
        self._schedule_end(engine)

    def _retry_elsewhere(self, request: DayRequest, server: str, outcome: str) -> None:
        self._end_place(request, outcome)
        if request.attempts < MAX_ATTEMPTS:
            request.excluded |= {server}
            self._schedule(self._now + ONE_WAY_S, self._request_place, request)

    # Disturbances

    def _start_disturbance(self, row: Disturbance) -> None:
        if row.kind == "no_leader":
            if self._planner is None:
                return
            self._former_planners.append(self._planner)
            self._planner = None
            self._schedule(self._now + row.for_s + LEADER_RECOVERY_S, self._start_term)
            return
        if row.kind not in ("restart", "slow", "limit", "silence"):
            return
        names = self._random.sample(
            list(self._engines_by_name), min(row.count, len(self._engines_by_name))
        )
        for name in names:
            engine = self._engines_by_name[name]
            if row.kind == "limit":
                self._set_limit(name, row.x)
                self._schedule(self._now + row.for_s, self._set_limit, name, None)
            elif row.kind == "silence":
                self._silence(engine, row.for_s)
            elif row.kind == "slow":
                self._set_slowdown(engine, row.x)
                self._schedule(self._now + row.for_s, self._set_slowdown, engine, 1.0)
            else:
                self._restart(engine, row.for_s, engine.model.restart(self._now))

    def _silence(self, engine: _SimulatedEngine, for_s: float) -> None:
        """Let an engine send nothing for a time and go on."""
        if max(engine.available_at, engine.silent_until) > self._now:
            return
        engine.silent_from, engine.silent_until = self._now, self._now + for_s
        engine.prefill_until = max(engine.prefill_until, self._now) + for_s
        engine.model.set_silent(True, self._now)
        self._schedule_end(engine)
        self._schedule(
            engine.silent_until, self._end_silence, engine, engine.incarnation
        )

    def _end_silence(self, engine: _SimulatedEngine, incarnation: int) -> None:
        if engine.incarnation == incarnation:
            engine.model.set_silent(False, self._now)
            self._schedule_end(engine)

    def _set_limit(self, name: str, rate_per_s: float | None) -> None:
        if rate_per_s is None:
            self._limit_rates_by_engine.pop(name, None)
        else:
            self._limit_rates_by_engine[name] = rate_per_s
        self._update_allowances()

    def _update_allowances(self) -> None:
        update_allowances(
            self._allowances_by_engine, self._limit_rates_by_engine, self._now
        )

    def _set_slowdown(self, engine: _SimulatedEngine, x: float) -> None:
        engine.model.advance(self._now)
        engine.slowdown_factor = x
        engine.model.times = StepTimes(
            self._times.step_s * x, self._times.per_request_s * x, 0.0
        )
        self._schedule_end(engine)

    def _restart(
        self, engine: _SimulatedEngine, for_s: float, aborted_ids: Iterable[str]
    ) -> None:
        engine.model.schedule_id += 1
        engine.incarnation += 1
        engine.sequence = 0
        engine.resident.clear()
        engine.incoming.clear()
        engine.warm.clear()
        engine.prefill_until = engine.silent_until = 0.0
        engine.available_at = self._now + for_s
        for request_id in aborted_ids:
            place = self._places_by_id.get(request_id)
            if place is not None:
                self._retry_elsewhere(place[0], engine.name, "broken")


def _placement_request(
    request: DayRequest, on_time_s: float, remaining_s: float
) -> PlacementRequest:
    return PlacementRequest(
        request.request_id,
        request.organisation,
        "gateway",
        request.zone,
        request.adapter,
        request.prompt_tokens,
        request.kind.rank,
        on_time_s,
        remaining_s,
        request.excluded,
        request.evidence_keys,
    )
