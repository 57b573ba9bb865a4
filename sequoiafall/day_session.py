"""Plays a day in virtual time through the classes that place requests."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .backend_registry import BackendEntry
from .catalog import TokenLimit
from .day import Day, Disturbance
from .day_arrivals import DayRequest, draw_requests, zones_of
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
from .table import BackendServer
from .token_bucket import TokenLimits

SERVICE = "engines"
MODEL = "base"
# Way of a request or an order between a gateway, the leader and an engine.
WAY_S = 0.003
# Until a new leader has heard of the places that are held.
GATHER_S = 0.25
# Longest time that a request waits for a leader before it is refused.
NO_LEADER_WAIT_S = 1.0
NO_LEADER_RETRY_S = 0.5
# The planner looks at waiting requests at least this often.
TICK_S = 0.004
REPORT_INTERVAL_S = 0.25
# Age of what a report shows.
REPORT_LAG_S = 0.1
# Requests that may still end after the last arrival.
DRAIN_S = 16.0
# Places at which a request is tried.
MAX_ATTEMPTS = 2


@dataclass(slots=True)
class _VirtualEngine:
    """An engine of the model with what it holds and the queue of its prompts."""

    name: str
    model: EngineModel
    resident: dict[str, int] = field(default_factory=dict)
    incoming: dict[str, int] = field(default_factory=dict)
    warm: set[tuple[str, int]] = field(default_factory=set)
    sequence: int = 0
    born: int = 1
    up_at: float = 0.0
    slow_x: float = 1.0
    prompts_until: float = 0.0

    def report(self) -> EngineReport:
        """Return what a report shows; delivered later."""
        waiting = len(self.model.prefilling_by_id)
        return EngineReport(
            self.sequence,
            dict(self.resident),
            dict(self.incoming),
            len(self.model.batch_by_id),
            waiting,
            self.born,
            frozenset({MODEL}),
        )


class DaySession:
    """One day under one policy and one seed.

    Parameters
    ----------
    day : Day
        The day.
    policy : PlacementPolicy
        What decides.
    seed : int
        Seed of arrivals, sizes and disturbed engines; the same seed gives the
        same arrivals under each policy.
    """

    def __init__(self, day: Day, policy: PlacementPolicy, seed: int) -> None:
        self.day = day
        self.policy = policy
        self.seed = seed
        self.requests: list[DayRequest] = []
        self.most_held = 0
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._random = random.Random(seed)
        sheet = day.engines
        self._times = StepTimes(sheet.step_s, sheet.step_per_request_s, 0.0)
        self._store = WeightStoreModel(sheet.cold_load_s, sheet.transfers)
        zones = zones_of(day)
        self._engines_by_name: dict[str, _VirtualEngine] = {}
        self._entries: list[BackendEntry] = []
        for number in range(sheet.count):
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
                adapter_slots=sheet.adapter_slots,
                places=sheet.places,
            )
            self._engines_by_name[name] = _VirtualEngine(
                name, EngineModel(row, self._times)
            )
            self._entries.append(
                BackendEntry(name, SERVICE, row.address, zone, sheet.places, False)
            )
        self._requests_by_id: dict[str, DayRequest] = {}
        self._held_by_id: dict[str, tuple[DayRequest, str, int]] = {}
        self._asks_without_leader: list[DayRequest] = []
        self._retired: list[EnginePlanner] = []
        self._planner: EnginePlanner | None = None
        self._term = 0
        self._limits = TokenLimits(0.0)
        limits = {
            row.name: TokenLimit(row.rate_per_s, row.burst)
            for row in day.organisations
            if row.rate_per_s
        }
        self._limits.set_limits(limits, 0.0)

    # Virtual time

    def _at(self, when: float, work: Callable[..., None], *values: Any) -> None:
        heapq.heappush(
            self._events, (max(when, self._now), next(self._order), work, values)
        )

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Play the whole day."""
        self._begin_term()
        self._plan_arrivals()
        for row in self.day.disturbances:
            self._at(row.at, self._disturb, row)
        self._at(0.0, self._tick)
        for engine in self._engines_by_name.values():
            self._at(self._random.uniform(0.0, REPORT_INTERVAL_S), self._report, engine)
        until = self.day.duration_s + DRAIN_S
        while self._events and self._events[0][0] <= until:
            self._now, _, work, values = heapq.heappop(self._events)
            work(*values)
            if progress is not None:
                progress(min(1.0, self._now / until))

    def counts(self) -> dict[str, float]:
        """Return what the planners of all terms counted."""
        planners = [*self._retired, *([self._planner] if self._planner else [])]
        return {
            "cold loads": float(sum(row.counts.cold_loads for row in planners)),
            "warm loads": float(sum(row.counts.warm_loads for row in planners)),
            "evictions": float(sum(row.counts.evictions for row in planners)),
            "most adapters held": float(self.most_held),
        }

    # Arrivals

    def _plan_arrivals(self) -> None:
        self.requests = draw_requests(self.day, self.seed)
        for request in self.requests:
            self._requests_by_id[request.request_id] = request
            self._at(request.arrived_at + WAY_S, self._ask, request)

    # Gateway and caller

    def _ask(self, request: DayRequest) -> None:
        kind = request.kind
        left_s = request.arrived_at + kind.give_up_s - self._now
        if left_s <= 0.0:
            return
        if self._planner is None:
            self._asks_without_leader.append(request)
            self._at(self._now + NO_LEADER_WAIT_S, self._give_up_waiting, request)
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
        ask = _ask_of(request, on_time_s, left_s)
        self._apply(self._planner.submit(ask, self._now))
        self._at(request.arrived_at + kind.give_up_s, self._on_caller_left, request)

    def _give_up_waiting(self, request: DayRequest) -> None:
        if request in self._asks_without_leader:
            self._asks_without_leader.remove(request)
            self._refuse(request, NO_LEADER_RETRY_S)

    def _refuse(self, request: DayRequest, retry_after_s: float) -> None:
        request.refusals += 1
        request.refused_at = self._now
        returns_at = self._now + WAY_S + retry_after_s
        leaves_at = request.arrived_at + request.kind.give_up_s
        if request.refusals <= request.kind.returns and returns_at < leaves_at:
            self._at(returns_at + WAY_S, self._ask, request)

    def _on_caller_left(self, request: DayRequest) -> None:
        if request.ended_at >= 0.0:
            return
        held = self._held_by_id.pop(request.request_id, None)
        if held is not None:
            self._engines_by_name[held[1]].model.remove(request.request_id, self._now)
            self._plan_end(self._engines_by_name[held[1]])
        if self._planner is not None:
            self._apply(self._planner.cancel(request.request_id, self._now))

    # Leader

    def _begin_term(self) -> None:
        self._term += 1
        planner = EnginePlanner(SERVICE, self._term + self.seed, self.policy)
        self._planner = planner
        self._apply(
            planner.set_entries(
                self._entries, self.day.engines.adapter_slots, self._now
            )
        )
        for engine in self._engines_by_name.values():
            if engine.up_at <= self._now:
                self._apply(planner.on_report(engine.name, engine.report(), self._now))
        for request, server, version in self._held_by_id.values():
            ask = _ask_of(request, 0.0, 0.0)
            planner.adopt(ask, server, version, self._now)
        asks, self._asks_without_leader = self._asks_without_leader, []
        for request in asks:
            self._ask(request)

    def _tick(self) -> None:
        if self._planner is not None:
            self._apply(self._planner.tick(self._now))
        self._at(self._now + TICK_S, self._tick)

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPlace):
                self._at(self._now + WAY_S, self._send, action)
            elif isinstance(action, RefusePlace):
                request = self._requests_by_id[action.request_id]
                self._refuse(request, action.retry_after_s)
            else:
                self._at(self._now + WAY_S, self._order_arrives, action, self._term)

    def _end(self, request: DayRequest, outcome: str) -> None:
        self._held_by_id.pop(request.request_id, None)
        if self._planner is not None:
            self._apply(self._planner.end(request.request_id, outcome, self._now))

    def _report(self, engine: _VirtualEngine) -> None:
        self._at(self._now + REPORT_INTERVAL_S, self._report, engine)
        report = engine.report() if engine.up_at <= self._now else None
        self._at(self._now + REPORT_LAG_S, self._deliver_report, engine.name, report)

    def _deliver_report(self, name: str, report: EngineReport | None) -> None:
        if self._planner is not None:
            self._apply(self._planner.on_report(name, report, self._now))

    # Orders

    def _order_arrives(self, order: LoadOrder, term: int) -> None:
        engine = self._engines_by_name[order.server]
        is_up = engine.up_at <= self._now
        if is_up and order.adapter:
            self._carry_out(engine, order)
        if self._planner is None or term != self._term:
            return
        accepted = True if is_up else None
        self._apply(
            self._planner.on_order_result(order, accepted, self._now, engine.sequence)
        )

    def _carry_out(self, engine: _VirtualEngine, order: LoadOrder) -> None:
        engine.resident.pop(order.evicted, None)
        engine.sequence += 2 if order.evicted else 1
        # The version that an engine held before makes way for the new one.
        engine.resident.pop(order.adapter, None)
        engine.incoming[order.adapter] = order.version
        held = len(engine.resident.keys() | engine.incoming.keys())
        self.most_held = max(self.most_held, held)
        is_cold = (order.adapter, order.version) not in engine.warm
        load_s = self._store.start() if is_cold else self.day.engines.warm_load_s
        self._at(self._now + load_s, self._loaded, engine, order, engine.born, is_cold)

    def _loaded(
        self, engine: _VirtualEngine, order: LoadOrder, born: int, is_cold: bool
    ) -> None:
        if is_cold:
            self._store.finish()
        if engine.born != born or engine.incoming.get(order.adapter) != order.version:
            return
        del engine.incoming[order.adapter]
        engine.resident[order.adapter] = order.version
        engine.warm.add((order.adapter, order.version))

    # Engines

    def _send(self, grant: GrantPlace) -> None:
        request = self._requests_by_id[grant.request_id]
        engine = self._engines_by_name[grant.server]
        request.attempts += 1
        self._held_by_id[request.request_id] = (request, grant.server, grant.version)
        if engine.up_at > self._now:
            self._try_elsewhere(request, grant.server, "unreachable")
            return
        if request.adapter and request.adapter not in engine.resident:
            self._end(request, "not_run")
            request.attempts -= 1
            self._at(self._now + 2 * WAY_S, self._ask, request)
            return
        sheet = self.day.engines
        read_s = request.prompt_tokens / sheet.prefill_tokens_per_s * engine.slow_x
        engine.prompts_until = max(engine.prompts_until, self._now) + read_s
        engine.model.prefilling_by_id[request.request_id] = (request.adapter, "")
        self._at(engine.prompts_until, self._join, request, engine, engine.born)

    def _join(self, request: DayRequest, engine: _VirtualEngine, born: int) -> None:
        if engine.born != born or request.request_id not in self._held_by_id:
            engine.model.prefilling_by_id.pop(request.request_id, None)
            return
        key = (request.adapter, "")
        engine.model.join(request.request_id, key, request.output_tokens, self._now)
        if request.first_event_at < 0.0:
            step_s = engine.model.first_token_s()
            request.first_event_at = self._now + step_s + WAY_S
        self._plan_end(engine)

    def _plan_end(self, engine: _VirtualEngine) -> None:
        engine.model.schedule += 1
        due = engine.model.next_end(self._now)
        if due is not None:
            schedule = engine.model.schedule
            self._at(due[0], self._finish, engine, due[1], schedule)

    def _finish(self, engine: _VirtualEngine, request_id: str, schedule: int) -> None:
        if engine.model.schedule != schedule:
            return
        engine.model.remove(request_id, self._now)
        request = self._requests_by_id[request_id]
        request.ended_at = self._now + WAY_S
        self._end(request, "ok")
        self._plan_end(engine)

    def _try_elsewhere(self, request: DayRequest, server: str, outcome: str) -> None:
        self._end(request, outcome)
        if request.attempts < MAX_ATTEMPTS:
            request.excluded |= {server}
            self._at(self._now + WAY_S, self._ask, request)

    # Disturbances

    def _disturb(self, row: Disturbance) -> None:
        if row.kind == "no_leader":
            if self._planner is None:
                return
            self._retired.append(self._planner)
            self._planner = None
            self._at(self._now + row.for_s + GATHER_S, self._begin_term)
            return
        if row.kind not in ("restart", "slow"):
            return
        names = self._random.sample(
            list(self._engines_by_name), min(row.count, len(self._engines_by_name))
        )
        for name in names:
            engine = self._engines_by_name[name]
            if row.kind == "slow":
                self._set_slow(engine, row.x)
                self._at(self._now + row.for_s, self._set_slow, engine, 1.0)
            else:
                self._restart(engine, row.for_s)

    def _set_slow(self, engine: _VirtualEngine, x: float) -> None:
        engine.model.advance(self._now)
        engine.slow_x = x
        engine.model.times = StepTimes(
            self._times.step_s * x, self._times.per_request_s * x, 0.0
        )
        self._plan_end(engine)

    def _restart(self, engine: _VirtualEngine, for_s: float) -> None:
        broken = engine.model.restart(self._now)
        engine.model.schedule += 1
        engine.born += 1
        engine.sequence = 0
        engine.resident.clear()
        engine.incoming.clear()
        engine.warm.clear()
        engine.prompts_until = 0.0
        engine.up_at = self._now + for_s
        for request_id in broken:
            held = self._held_by_id.get(request_id)
            if held is not None:
                self._try_elsewhere(held[0], engine.name, "broken")


def _ask_of(request: DayRequest, on_time_s: float, left_s: float) -> PlacementRequest:
    return PlacementRequest(
        request.request_id,
        request.organisation,
        "gateway",
        request.zone,
        request.adapter,
        request.prompt_tokens,
        request.kind.rank,
        on_time_s,
        left_s,
        request.excluded,
    )
