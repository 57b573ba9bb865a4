"""Simulation of a pool's engines and gateways in virtual time, with injected faults.

The simulation holds the actual state of each engine and records violations: an
adapter evicted while in use, more requests than places, or places granted at a
draining server.
"""

import heapq
import random
from collections.abc import Callable

from sequoiafall.drain import PREPARE_LIMIT_S
from sequoiafall.pool_state import (
    ORDER_TTL_S,
    PLACE_TTL_S,
    EvictAdapter,
    GrantPlace,
    LoadAdapter,
    RefusePlace,
    RunningRequest,
    ServerReport,
)
from sequoiafall.scheduler import PoolScheduler
from sequoiafall.table import BackendServer, Organisation
from sequoiafall.wire.gen.ttypes import PlaceEntry, PlaceRequest, PlaceState

ORGANISATIONS = ("o0", "o1", "o2")
REPORT_INTERVAL_S = 0.25


class FakeEngine:
    """Actual state of one engine."""

    def __init__(self, row: BackendServer):
        self.row = row
        self.incarnation = 1
        self.fencing_token = 0
        self.resident = set()
        self.loading = set()
        self.key_by_running = {}
        self.history = []

    def report(self, now, lag_s):
        """Return the state as it was `lag_s` ago."""
        running = tuple(
            RunningRequest(request_id, *key, 0)
            for request_id, key in self.key_by_running.items()
        )
        state = (self.incarnation, tuple(self.resident), tuple(self.loading), running)
        self.history.append((now, state))
        self.history = self.history[-64:]
        visible = [
            state for stored_at, state in self.history if stored_at <= now - lag_s
        ]
        incarnation, resident, loading, running = (
            visible[-1] if visible else self.history[0][1]
        )
        return ServerReport(
            self.row.name, incarnation, now, resident, loading, running, 0, 0
        )


class FakePool:
    """A pool with its current owner, driven by an event queue."""

    def __init__(self, seed, servers=3, slots=2, places=3, lag_s=0.5, fail_share=0.0):
        self.random = random.Random(seed)
        self.gateways_fail = True
        self.now = 0.0
        self.lag_s = lag_s
        self.fail_share = fail_share
        self.violations = []
        self.answers = {}
        self.disconnected_request_ids = set()
        self.requests = {}
        self.served_tokens = dict.fromkeys(ORGANISATIONS, 0)
        self.loads = 0
        self.evictions = 0
        self.drain_started_at = {}
        self.end_at = float("inf")
        self._events = []
        self._number = 0
        self._evicted_at = {}
        self.engines = {}
        for number in range(servers):
            row = BackendServer(
                name=f"s{number}",
                address=f"127.0.0.1:{number}",
                server_kind="engine",
                pool="p",
                zone="z",
                state="in_service",
                checks_fencing=number % 2 == 0,
                adapter_slots=slots,
                places=places,
            )
            self.engines[row.name] = FakeEngine(row)
        self.owner = None
        self.start_owner(1, ready_at=0.0)

    # Time

    def at(self, time, event: Callable, *arguments):
        """Schedule an event at a time."""
        self._number += 1
        heapq.heappush(self._events, (time, self._number, event, arguments))

    def after(self, delay_s, event: Callable, *arguments):
        """Schedule an event after a delay."""
        self.at(self.now + delay_s, event, *arguments)

    def run(self, until):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event, arguments = heapq.heappop(self._events)
            event(*arguments)
        self.now = until

    def settle(self, limit_s):
        """Run until all requests are answered and no place is in use, or to a limit."""
        until = self.now + limit_s
        while self.now < until and not self._is_idle():
            self.run(self.now + 1.0)

    def _is_idle(self):
        unused = not self.owner.places.by_place_id
        return unused and all(request in self.answers for request in self.requests)

    # Owner

    def start_owner(self, token, ready_at):
        """Replace the owner; orders of the previous one stay in transit."""
        self.owner = PoolScheduler(
            "p", token, self.now, ready_at, has_predecessor=token > 1
        )
        weights = [Organisation(name, 1.0, 1.0, 1.0) for name in ORGANISATIONS]
        self.owner.set_organisations(weights, self.now)
        self.execute(self.owner, self._set_servers())
        for name in self.engines:
            self.after(0.01, self._poll, self.owner, name)
        self.after(0.05, self._tick, self.owner)
        for request_id, request in self.requests.items():
            if request_id not in self.answers:
                self.after(0.02, self.submit, request)

    def change_owner(self):
        """Crash the owner; its successor may act once the old orders have expired."""
        token = self.owner.fencing_token + 1
        self.start_owner(token, self.now + ORDER_TTL_S)

    def _set_servers(self):
        rows = [engine.row for engine in self.engines.values()]
        return self.owner.set_servers(rows, self.now)

    def set_state(self, name, state):
        """Set the table state of a server, such as `cleaning` or `in_service`."""
        engine = self.engines[name]
        values = {**engine.row.values(), "state": state}
        engine.row = BackendServer(**values)
        self.drain_started_at.pop(name, None)
        if state == "cleaning":
            self.drain_started_at[name] = self.now
        self.execute(self.owner, self._set_servers())

    def _tick(self, owner):
        if owner is self.owner and self.now < self.end_at:
            self.execute(owner, owner.tick(self.now))
            self.after(0.05, self._tick, owner)

    def _poll(self, owner, name):
        if owner is not self.owner or self.now >= self.end_at:
            return
        report = self.engines[name].report(self.now, self.lag_s * self.random.random())
        self.after(0.01, self._report, owner, report)
        self.after(REPORT_INTERVAL_S, self._poll, owner, name)

    def _report(self, owner, report):
        if owner is self.owner:
            self.execute(owner, owner.on_report(report, self.now))

    # Actions

    def execute(self, owner, actions):
        """Carry out the actions of an owner."""
        for action in actions:
            match action:
                case GrantPlace():
                    self._on_grant(action)
                case RefusePlace():
                    self.answers[action.request_id] = action
                case EvictAdapter():
                    self.evictions += 1
                    late = self.random.random() < 0.2
                    delay_s = self.random.uniform(0, ORDER_TTL_S if late else 0.02)
                    done_at = self.now + delay_s
                    self._evicted_at[action.server] = max(
                        done_at, self._evicted_at.get(action.server, 0.0)
                    )
                    self.at(done_at, self._evict, owner, action)
                case LoadAdapter():
                    self.loads += 1
                    sent_at = max(self.now, self._evicted_at.get(action.server, 0.0))
                    self.at(sent_at + 0.001, self._load, owner, action)

    def _accepts(self, engine, token):
        if engine.row.checks_fencing and token < engine.fencing_token:
            return False
        engine.fencing_token = max(token, engine.fencing_token)
        return True

    def _evict(self, owner, action):
        engine = self.engines[action.server]
        key = (action.adapter, action.version)
        ok = self._accepts(engine, action.fencing_token)
        if ok:
            engine.resident.discard(key)
            if key in engine.key_by_running.values():
                self.violations.append(f"{self.now:.2f} evicted {key} in use")
        if owner is self.owner:
            result = owner.on_evict_result(action.server, *key, ok, self.now)
            self.execute(owner, result)

    def _load(self, owner, action):
        engine = self.engines[action.server]
        key = (action.adapter, action.version)
        taken = len(engine.resident) + len(engine.loading)
        is_free = taken < engine.row.adapter_slots and key not in engine.loading
        if not self._accepts(engine, action.fencing_token) or not is_free:
            self._loaded(owner, action, False)
            return
        engine.loading.add(key)
        ok = self.random.random() >= self.fail_share and key[0] != "broken"
        self.after(0.25, self._end_load, owner, action, ok, engine.incarnation)

    def _end_load(self, owner, action, ok, incarnation):
        engine = self.engines[action.server]
        key = (action.adapter, action.version)
        if engine.incarnation != incarnation:
            return
        engine.loading.discard(key)
        if ok:
            engine.resident.add(key)
        self._loaded(owner, action, ok)

    def _loaded(self, owner, action, ok):
        if owner is self.owner:
            result = owner.on_load_result(
                action.server, action.adapter, action.version, ok, self.now
            )
            self.execute(owner, result)

    def restart(self, name):
        """Restart an engine, which then has no adapters and no running requests."""
        engine = self.engines[name]
        engine.incarnation += 1
        engine.fencing_token = 0
        engine.resident.clear()
        engine.loading.clear()
        engine.key_by_running.clear()

    # Gateways

    def request(self, adapter, organisation="o0", tokens=40, wait_ms=8000):
        """Submit a request; each token takes 10 ms."""
        request_id = f"r{len(self.requests)}"
        request = PlaceRequest(
            request_id=request_id,
            gateway="g",
            pool="p",
            organisation=organisation,
            adapter=adapter,
            version="1" if adapter else "",
            prompt_tokens=0,
            max_tokens=tokens,
            excluded_servers=[],
            wait_ms=wait_ms,
            prefix_hashes=[],
        )
        self.requests[request_id] = request
        self.submit(request)
        return request_id

    def submit(self, request):
        """Send a request to the current owner."""
        if request.request_id not in self.answers:
            self.execute(self.owner, self.owner.submit(request, self.now))

    def _on_grant(self, action):
        reply = action.reply
        drain_started_at = self.drain_started_at.get(reply.backend_server, float("inf"))
        if self.now > drain_started_at + PREPARE_LIMIT_S + 0.1:
            self.violations.append(f"{self.now:.2f} place at {reply.backend_server}")
        self.answers[action.request_id] = action
        request = self.requests[action.request_id]
        self.served_tokens[request.organisation] += request.max_tokens
        draw = self.random.random() if self.gateways_fail else 1.0
        if draw < 0.05:
            return  # The gateway was killed; the place expires.
        if draw < 0.10:
            # The gateway cannot reach the owner; only reports show the request.
            self.disconnected_request_ids.add(action.request_id)
        delay_s = PLACE_TTL_S - 0.01 if draw < 0.2 else 0.01
        self.after(delay_s, self._start, request, reply)

    def _start(self, request, reply):
        engine = self.engines[reply.backend_server]
        key = (request.adapter, request.version)
        if request.adapter and key not in engine.resident:
            self._release(request, reply, "refused")
            return
        engine.key_by_running[request.request_id] = key
        if len(engine.key_by_running) > engine.row.places:
            self.violations.append(f"{self.now:.2f} {engine.row.name} above its places")
        self._update(request, reply, PlaceState.STARTED)
        duration_s = request.max_tokens * 0.01
        self.after(duration_s, self._finish, request, reply, engine.incarnation)
        self.after(0.5, self._renew, request, reply)

    def _renew(self, request, reply):
        running = self.engines[reply.backend_server].key_by_running
        if request.request_id in running:
            self._update(request, reply, PlaceState.RUNNING)
            self.after(0.5, self._renew, request, reply)

    def _finish(self, request, reply, incarnation):
        engine = self.engines[reply.backend_server]
        if engine.incarnation == incarnation:
            engine.key_by_running.pop(request.request_id, None)
        self._release(request, reply, "ok")

    def _release(self, request, reply, outcome):
        self._update(request, reply, PlaceState.RELEASED, outcome)

    def _update(self, request, reply, state, outcome=""):
        entry = PlaceEntry(
            place_id=reply.place_id,
            request_id=request.request_id,
            state=state,
            organisation=request.organisation,
            adapter=request.adapter,
            version=request.version,
            backend_server=reply.backend_server,
            generated_tokens=request.max_tokens,
            outcome=outcome,
        )
        if request.request_id not in self.disconnected_request_ids:
            self.after(0.005, self._deliver, entry)

    def _deliver(self, entry):
        self.execute(self.owner, self.owner.update(entry, "g", self.now))
