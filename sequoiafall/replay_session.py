"""Discrete-event simulation that replays a trace with the production classes.

Gateways, network, engines and the weight store are modelled in virtual time;
scheduling and quota decisions come from the production code.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from msgspec.structs import replace as replace_fields

from .drain import Drain
from .engine_model import (
    PREFILL_TOKENS_PER_S,
    REPORT_LAG_S,
    EngineModel,
    WeightStoreModel,
    ideal_tokens_per_s,
)
from .load_budget import BORROW_INTERVAL_S, LoadLimits, shares_by_pool
from .loads import AdapterKey
from .placement import (
    ClairvoyantEviction,
    EvictionPolicy,
    LeastRecentlyUsedEviction,
)
from .pool_state import Action, EvictAdapter, GrantPlace, LoadAdapter, RefusePlace
from .refusal import Reason
from .replay_policy import ReplayPolicy
from .replay_quota import Bucket, GrantQuota, NoQuota, QuotaPolicy, StaticSplit
from .replay_result import ReplayResult, RequestRecord
from .scheduler import PoolScheduler
from .table import BackendServer
from .traces import Event, EventKind, Trace
from .wire.gen.ttypes import PlaceEntry, PlaceRequest, PlaceState

TICK_S = 0.05
REPORT_INTERVAL_S = 0.25
FAILURE_DETECTION_S = 0.1
"""Time until a gateway detects a broken stream and requests another place."""

DRAIN_S = 30.0
"""Time after the end of the trace in which running requests may end."""


class _ActiveRequest:
    __slots__ = (
        "event",
        "generated",
        "place_id",
        "reservation",
        "server",
        "submitted_at",
    )

    def __init__(self, event: Event, reservation: Any) -> None:
        self.event = event
        self.reservation = reservation
        self.place_id = ""
        self.server = ""
        self.generated = 0
        self.submitted_at = 0.0

    @property
    def key(self) -> AdapterKey:
        return self.event.adapter, self.event.version


class ReplaySession:
    """Replay of one trace under one policy.

    Parameters
    ----------
    trace : Trace
        Fleet, requests and fault events.
    policy : ReplayPolicy
        Routing, eviction and quota policies.
    progress : callable or None
        Called with the virtual time in seconds.
    """

    def __init__(
        self,
        trace: Trace,
        policy: ReplayPolicy,
        progress: Callable[[float], None] | None = None,
    ) -> None:
        self._trace = trace
        self._header = trace.header
        self._policy = policy
        self._progress = progress
        self._event_queue: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._tie_breaker = itertools.count()
        self.now = 0.0
        self.result = ReplayResult(policy.name, trace.header.name, trace.header.seed)
        self._rows_by_name = {row.name: row for row in trace.header.servers}
        self._engines_by_name = {
            name: EngineModel(row) for name, row in self._rows_by_name.items()
        }
        self._store = WeightStoreModel()
        self._loaded_at: dict[tuple[str, AdapterKey], float] = {}
        self._running_by_id: dict[str, _ActiveRequest] = {}
        self._request_count_by_pool: Counter[str] = Counter()
        self._ideal_tokens_at = 0.0
        self._cleaned_keys: set[AdapterKey] = set()
        self._quota = self._make_quota()
        self._reference_buckets_by_organisation = {
            row.name: Bucket(row.rate, row.burst) for row in self._header.organisations
        }
        self._schedulers_by_pool = self._make_schedulers()
        self._next_borrow_at_by_pool = dict.fromkeys(self._schedulers_by_pool, 0.0)

    # Construction

    def _make_quota(self) -> QuotaPolicy:
        header = self._header
        if self._policy.quota == "none":
            return NoQuota()
        if self._policy.quota == "split":
            return StaticSplit(header.organisations, header.gateways)
        return GrantQuota(
            header.organisations, header.gateways, header.one_way_s, self._schedule
        )

    def _make_schedulers(self) -> dict[str, PoolScheduler]:
        pools = sorted({row.pool for row in self._rows_by_name.values()})
        return {pool: self._make_scheduler(pool) for pool in pools}

    def _make_scheduler(self, pool: str) -> PoolScheduler:
        header = self._header
        rows = self._servers_of_pool(pool)
        share = shares_by_pool(self._rows_by_name.values())[pool]
        limits = LoadLimits(rate_per_s=header.loads_per_s).share(share)
        policy = self._policy
        scheduler = PoolScheduler(
            pool,
            header.seed + 1,
            0.0,
            0.0,
            routing=policy.routing(header.seed) if policy.routing else None,
            eviction=self._make_eviction(),
            load_limits=limits,
            **policy.scheduler_options,
        )
        scheduler.set_organisations(header.organisations, 0.0)
        self._execute(scheduler, scheduler.set_servers(rows, 0.0))
        return scheduler

    def _make_eviction(self) -> EvictionPolicy | None:
        if self._policy.eviction == "lru":
            return LeastRecentlyUsedEviction()
        if self._policy.eviction == "clairvoyant":
            arrivals: dict[AdapterKey, list[float]] = {}
            for event in self._trace.requests():
                key = (event.adapter, event.version)
                arrivals.setdefault(key, []).append(event.at)
            return ClairvoyantEviction(arrivals)
        return None

    def _servers_of_pool(self, pool: str) -> list[BackendServer]:
        return [row for row in self._rows_by_name.values() if row.pool == pool]

    # Virtual time

    def _schedule(
        self, at: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(
            self._event_queue, (at, next(self._tie_breaker), function, arguments)
        )

    def run(self) -> ReplayResult:
        """Replay the whole trace and return the measurements."""
        actions_by_kind: dict[EventKind, Callable[..., None]] = {
            EventKind.REQUEST: self._on_request,
            EventKind.SET_ASIDE: self._on_set_aside,
            EventKind.RETURN: self._on_return,
            EventKind.RESTART: self._on_restart,
            EventKind.PLATFORM_DOWN: self._on_platform_state,
            EventKind.PLATFORM_UP: self._on_platform_state,
            EventKind.OWNER_LOST: self._on_owner_lost,
        }
        for event in self._trace.events:
            self._schedule(event.at, actions_by_kind[event.kind], event)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._collect_reports)
        self._schedule(self._header.measured_from_s, self._start_measuring)
        end = self._header.duration_s + DRAIN_S
        while self._event_queue and self._event_queue[0][0] <= end:
            at, _, function, arguments = heapq.heappop(self._event_queue)
            self._add_ideal_tokens(at)
            self.now = at
            function(at, *arguments)
        self._finish()
        return self.result

    def _finish(self) -> None:
        engines = self._engines_by_name.values()
        for engine in engines:
            engine.advance(self.now)
        self.result.generated_tokens += sum(e.generated_tokens for e in engines)
        if isinstance(self._quota, GrantQuota):
            self.result.quota_messages = self._quota.messages
        self.result.lowest_level_by_organisation = self._lowest_levels()

    def _start_measuring(self, now: float) -> None:
        """Exclude the tokens of the warm-up from the efficiency."""
        engines = self._engines_by_name.values()
        for engine in engines:
            engine.advance(now)
        self.result.ideal_tokens = 0.0
        self.result.generated_tokens = -sum(e.generated_tokens for e in engines)

    def _lowest_levels(self) -> dict[str, float]:
        buckets = {
            row.name: Bucket(row.rate, row.burst) for row in self._header.organisations
        }
        events_by_id = {event.request_id: event for event in self._trace.requests()}
        admitted = [r for r in self.result.records_by_id.values() if r.admitted_at >= 0]
        for record in sorted(admitted, key=lambda record: record.admitted_at):
            event = events_by_id[record.request_id]
            was_run = record.placed_at >= 0
            cost = event.prompt_tokens + event.output_tokens if was_run else 0
            buckets[record.organisation].charge(cost, record.admitted_at)
        return {name: bucket.lowest_level for name, bucket in buckets.items()}

    def _add_ideal_tokens(self, now: float) -> None:
        """Add the tokens that evenly filled batches would generate up to `now`."""
        elapsed, self._ideal_tokens_at = now - self._ideal_tokens_at, now
        if elapsed <= 0:
            return
        for pool, requests in self._request_count_by_pool.items():
            rows = [
                row for row in self._servers_of_pool(pool) if row.state == "in_service"
            ]
            if requests and rows:
                rate = ideal_tokens_per_s(requests, len(rows), rows[0].places)
                self.result.ideal_tokens += rate * elapsed

    # Requests

    def _on_request(self, now: float, event: Event) -> None:
        tokens = event.prompt_tokens + event.max_tokens
        record = RequestRecord(event.request_id, event.organisation, now)
        reference = self._reference_buckets_by_organisation.get(event.organisation)
        record.is_within_rate = reference is None or reference.take(tokens, now)
        self.result.records_by_id[event.request_id] = record
        if (event.adapter, event.version) in self._cleaned_keys:
            self.result.cleaned_adapter_request_ids.add(event.request_id)

        def on_decision(reservation: Any | None, at: float) -> None:
            if reservation is None:
                record.refusal_reason = Reason.RATE_EXCEEDED
                return
            record.admitted_at = at
            running = self._running_by_id[event.request_id] = _ActiveRequest(
                event, reservation
            )
            self._schedule(at + self._header.one_way_s, self._submit, running, ())

        self._quota.admit(event.organisation, event.gateway, tokens, now, on_decision)

    def _submit(
        self, now: float, running: _ActiveRequest, excluded: Iterable[str]
    ) -> None:
        event = running.event
        running.submitted_at = now
        self._request_count_by_pool[event.pool] += 1
        scheduler = self._schedulers_by_pool[event.pool]
        request = PlaceRequest(
            request_id=event.request_id,
            gateway=f"g{event.gateway}",
            pool=event.pool,
            organisation=event.organisation if self._policy.is_fair else "",
            adapter=event.adapter,
            version=event.version,
            prompt_tokens=event.prompt_tokens + running.generated,
            max_tokens=event.max_tokens - running.generated,
            excluded_servers=list(excluded),
            wait_ms=0,
            prefix_hashes=[],
        )
        self._execute(scheduler, scheduler.submit(request, now))

    def _execute(self, scheduler: PoolScheduler, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPlace):
                self._on_grant(action)
            elif isinstance(action, RefusePlace):
                self._on_refuse(action)
            elif isinstance(action, EvictAdapter):
                self._on_evict(scheduler, action)
            elif isinstance(action, LoadAdapter):
                self._on_load(scheduler, action)

    def _on_grant(self, action: GrantPlace) -> None:
        running = self._running_by_id[action.request_id]
        record = self.result.records_by_id[action.request_id]
        running.server = action.reply.backend_server
        running.place_id = action.reply.place_id
        loaded_at = self._loaded_at.get((running.server, running.key), -1.0)
        if loaded_at > running.submitted_at or (
            loaded_at == self.now and running.submitted_at < self.now
        ):
            record.stall_s += self.now - running.submitted_at
        if record.placed_at < 0:
            record.placed_at = self.now
        self._schedule(self.now + self._header.one_way_s, self._start_request, running)

    def _on_refuse(self, action: RefusePlace) -> None:
        running = self._running_by_id.pop(action.request_id)
        self._request_count_by_pool[running.event.pool] -= 1
        self.result.records_by_id[
            action.request_id
        ].refusal_reason = action.reply.reason
        used = running.generated
        self._quota.settle(
            running.event.organisation,
            running.event.gateway,
            running.reservation,
            used,
            self.now,
        )

    def _start_request(self, now: float, running: _ActiveRequest) -> None:
        engine = self._engines_by_name[running.server]
        if running.key not in engine.resident:
            self.result.wrong_adapter += engine.incarnation == 1
            self._resume_elsewhere(running, 0)
            return
        event = running.event
        self._update_place(running, PlaceState.STARTED, "")
        engine.prefilling_by_id[event.request_id] = running.key
        self._request_count_by_pool[event.pool] -= 1
        prefill_s = (event.prompt_tokens + running.generated) / PREFILL_TOKENS_PER_S
        self._schedule(now + prefill_s, self._join_batch, running, engine.incarnation)

    def _join_batch(
        self, now: float, running: _ActiveRequest, incarnation: int
    ) -> None:
        engine = self._engines_by_name[running.server]
        if engine.incarnation != incarnation:
            return
        event = running.event
        self._request_count_by_pool[event.pool] += 1
        remaining_tokens = max(1, event.output_tokens - running.generated)
        engine.join(event.request_id, running.key, remaining_tokens, now)
        record = self.result.records_by_id[event.request_id]
        if record.first_token_at < 0:
            record.first_token_at = now + engine.first_token_s()
        self._schedule_end(engine)

    def _schedule_end(self, engine: EngineModel) -> None:
        engine.schedule_id += 1
        end = engine.next_end(self.now)
        if end is not None:
            self._schedule(
                end[0], self._on_request_end, engine, engine.schedule_id, end[1]
            )

    def _on_request_end(
        self, now: float, engine: EngineModel, schedule_id: int, request_id: str
    ) -> None:
        if engine.schedule_id != schedule_id:
            return
        running = self._running_by_id.pop(request_id)
        engine.remove(request_id, now)
        self._schedule_end(engine)
        event = running.event
        self._request_count_by_pool[event.pool] -= 1
        running.generated = event.output_tokens
        self.result.records_by_id[request_id].ended_at = now
        self._quota.settle(
            event.organisation,
            event.gateway,
            running.reservation,
            event.prompt_tokens + event.output_tokens,
            now,
        )
        self._schedule(now + self._header.one_way_s, self._release_place, running, "ok")

    def _release_place(self, now: float, running: _ActiveRequest, outcome: str) -> None:
        self._update_place(running, PlaceState.RELEASED, outcome)

    def _update_place(self, running: _ActiveRequest, state: int, outcome: str) -> None:
        event = running.event
        entry = PlaceEntry(
            place_id=running.place_id,
            request_id=event.request_id,
            state=state,
            organisation=event.organisation,
            adapter=event.adapter,
            version=event.version,
            backend_server=running.server,
            generated_tokens=running.generated,
            outcome=outcome,
        )
        scheduler = self._schedulers_by_pool[event.pool]
        actions = scheduler.update(entry, f"g{event.gateway}", self.now)
        self._execute(scheduler, actions)

    def _resume_elsewhere(self, running: _ActiveRequest, generated: int) -> None:
        """Resume a request at another engine after its engine failed."""
        self._request_count_by_pool[running.event.pool] -= 1
        running.generated += generated
        self.result.records_by_id[running.event.request_id].resume_count += 1
        self._update_place(running, PlaceState.RELEASED, "failed")
        at = self.now + FAILURE_DETECTION_S
        self._schedule(at, self._submit, running, (running.server,))

    # Orders

    def _on_evict(self, scheduler: PoolScheduler, action: EvictAdapter) -> None:
        engine = self._engines_by_name[action.server]
        key = (action.adapter, action.version)
        in_use = {request.key for request in engine.batch_by_id.values()}
        in_use.update(engine.prefilling_by_id.values())
        self.result.evicted_in_use += key in in_use
        engine.resident.discard(key)
        self._schedule(
            self.now + self._header.one_way_s,
            self._on_evicted,
            scheduler,
            action.server,
            key,
        )

    def _on_evicted(
        self, now: float, scheduler: PoolScheduler, server: str, key: AdapterKey
    ) -> None:
        self._execute(scheduler, scheduler.on_evict_result(server, *key, True, now))

    def _on_load(self, scheduler: PoolScheduler, action: LoadAdapter) -> None:
        engine = self._engines_by_name[action.server]
        key = (action.adapter, action.version)
        engine.loading.add(key)
        load_s = self._store.start()
        self.result.loads_over_time.append((self.now, self._store.in_transit))
        self._schedule(
            self.now + load_s,
            self._on_loaded,
            scheduler,
            engine,
            engine.incarnation,
            key,
        )

    def _on_loaded(
        self,
        now: float,
        scheduler: PoolScheduler,
        engine: EngineModel,
        incarnation: int,
        key: AdapterKey,
    ) -> None:
        is_loaded = self._store.finish() and engine.incarnation == incarnation
        engine.loading.discard(key)
        if is_loaded:
            engine.resident.add(key)
            self._loaded_at[engine.row.name, key] = now
        actions = scheduler.on_load_result(engine.row.name, *key, is_loaded, now)
        self._execute(scheduler, actions)

    # Events

    def _on_set_aside(self, now: float, event: Event) -> None:
        engine = self._engines_by_name[event.server]
        self._cleaned_keys = set(engine.resident)
        self._set_state(event.server, "cleaning")
        scheduler = self._schedulers_by_pool[engine.row.pool]
        if not self._policy.prepares_drains:
            server = scheduler.servers_by_name[event.server]
            server.drain = Drain(server.lifecycle, now, prepare_limit_s=0.0)
        self._execute(scheduler, scheduler.tick(now))

    def _on_return(self, now: float, event: Event) -> None:
        self.result.cut_off += self._restart(event.server)
        self._cleaned_keys = set()
        self._set_state(event.server, "in_service")

    def _set_state(self, name: str, state: str) -> None:
        row = self._rows_by_name[name] = replace(self._rows_by_name[name], state=state)
        scheduler = self._schedulers_by_pool[row.pool]
        self._execute(
            scheduler, scheduler.set_servers(self._servers_of_pool(row.pool), self.now)
        )

    def _on_restart(self, now: float, event: Event) -> None:
        self._restart(event.server)

    def _restart(self, name: str) -> int:
        engine = self._engines_by_name[name]
        prefilling = set(engine.prefilling_by_id)
        generated_by_id = engine.restart(self.now)
        engine.schedule_id += 1
        for request_id, generated in generated_by_id.items():
            running = self._running_by_id[request_id]
            self._request_count_by_pool[running.event.pool] += request_id in prefilling
            self._resume_elsewhere(running, generated)
        return len(generated_by_id)

    def _on_platform_state(self, now: float, event: Event) -> None:
        self._store.is_down = event.kind == EventKind.PLATFORM_DOWN

    def _on_owner_lost(self, now: float, event: Event) -> None:
        self._quota.replace_owner(event.organisation, now)

    def _tick(self, now: float) -> None:
        for scheduler in self._schedulers_by_pool.values():
            self._execute(scheduler, scheduler.tick(now))
            self._borrow(now, scheduler)
        if self._progress is not None:
            self._progress(now)
        self._schedule(now + TICK_S, self._tick)

    def _borrow(self, now: float, borrower: PoolScheduler) -> None:
        """Borrow load budget from the owners of the other pools, one after another."""
        shortage = borrower.load_shortage(now)
        if not shortage or now < self._next_borrow_at_by_pool[borrower.pool]:
            return
        self._next_borrow_at_by_pool[borrower.pool] = now + BORROW_INTERVAL_S
        lenders = [s for s in self._schedulers_by_pool.values() if s is not borrower]
        if lenders:
            at = now + self._header.one_way_s
            self._schedule(at, self._lend, lenders, borrower, shortage)

    def _lend(
        self,
        now: float,
        lenders: list[PoolScheduler],
        borrower: PoolScheduler,
        requested: int,
    ) -> None:
        lent = lenders[0].lend_loads(requested, now)
        at = now + self._header.one_way_s
        self._schedule(at, self._receive_loads, borrower, lent)
        if lent < requested and lenders[1:]:
            at += self._header.one_way_s
            self._schedule(at, self._lend, lenders[1:], borrower, requested - lent)

    def _receive_loads(self, now: float, borrower: PoolScheduler, lent: int) -> None:
        if lent:
            self._execute(borrower, borrower.receive_loads(lent, now))

    def _collect_reports(self, now: float) -> None:
        for engine in self._engines_by_name.values():
            self._schedule(now + REPORT_LAG_S, self._on_report, engine.report(now))
        self._schedule(now + REPORT_INTERVAL_S, self._collect_reports)

    def _on_report(self, now: float, report: Any) -> None:
        pool = self._rows_by_name[report.server].pool
        scheduler = self._schedulers_by_pool[pool]
        self._execute(scheduler, scheduler.on_report(report, now))


def replay(
    trace: Trace,
    policy: ReplayPolicy,
    progress: Callable[[float], None] | None = None,
) -> ReplayResult:
    """Replay a trace under a policy.

    Parameters
    ----------
    trace : Trace
        Fleet, requests and fault events.
    policy : ReplayPolicy
        Routing, eviction and quota policies.
    progress : callable or None
        Called with the virtual time in seconds.
    """
    return ReplaySession(trace, policy, progress).run()


def dedicated_share_trace(trace: Trace, organisation: str) -> Trace:
    """Return a trace with one organisation on a dedicated share of the fleet.

    Its share of the engines and of the weight store's rate is proportional to its
    weight. Each pool keeps at least one engine, and the store at least 1 load/s.
    """
    header = trace.header
    total = sum(row.weight for row in header.organisations)
    own_rows = [row for row in header.organisations if row.name == organisation]
    share = own_rows[0].weight / total
    servers: list[BackendServer] = []
    for pool in sorted({row.pool for row in header.servers}):
        rows = [row for row in header.servers if row.pool == pool]
        servers += rows[: max(1, round(len(rows) * share))]
    names = {row.name for row in servers}
    events = [
        event
        for event in trace.events
        if event.organisation == organisation or event.server in names
    ]
    loads_per_s = max(1.0, header.loads_per_s * share)
    changed = replace_fields(
        header, organisations=own_rows, servers=servers, loads_per_s=loads_per_s
    )
    return Trace(changed, events)
