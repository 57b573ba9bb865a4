"""Service that an owner runs for one pool.

It answers place requests, polls the engines for reports and sends them the orders
of the scheduler.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
from mode import Service
from returns.result import Success

from .decoding import decode_json
from .drain import MOVE_AFTER_S
from .engine_client import EngineClient
from .load_budget import BORROW_INTERVAL_S, LoadLimits
from .log import log_event, log_warning
from .order_client import OrderClient, PoolOrderOutcome
from .pool_state import (
    Action,
    EvictAdapter,
    GrantPlace,
    LoadAdapter,
    MoveStream,
    RefusePlace,
    ServerState,
)
from .refusal import Reason
from .scheduler import PoolScheduler
from .table import BackendServer, TableState
from .wire.gen.ttypes import Ack, PlaceEntry, PlaceReply, PlaceRequest, PlaceUpdate

TICK_S = 0.05
POLL_INTERVAL_S = 0.25
OWNER_RETRY_AFTER_MS = 1000
# A request whose stream is being moved waits this long for the import of its KV cache,
# because the target would otherwise recompute it. Half of PLACE_TTL_S is left to send
# the request.
MOVE_WAIT_S = 1.0


class _PlaceRecord(msgspec.Struct):
    place_id: str
    request_id: str
    gateway: str
    state: int
    organisation: str
    adapter: str
    version: str
    backend_server: str
    generated_tokens: int


class _EvictionRecord(msgspec.Struct):
    backend_server: str
    adapter: str
    version: str


class _PoolHandover(msgspec.Struct):
    places: list[_PlaceRecord] = []
    evictions: list[_EvictionRecord] = []
    is_complete: bool = False


class PoolService(Service):
    """Drives the scheduler of a pool that this instance owns.

    Parameters
    ----------
    pool : str
        Name of the pool.
    fencing_token : int
        Fencing token of this ownership.
    ready_at : float
        Time from which this instance may act, in seconds of `clock`; infinite if
        it is not known yet, see `set_ready_at`.
    may_act : callable
        Whether this instance may act now; checked in the same event loop step as
        each grant and immediately before each order is written.
    borrow : callable or None
        Asks the owners of other pools for load budget and returns the number of
        loads they lent; see `load_budget`.
    clock : callable
        Monotonic time in seconds.
    move_after_s : float
        Seconds after the start of cleaning at which running streams are moved.
    """

    def __init__(
        self,
        pool: str,
        fencing_token: int,
        ready_at: float,
        may_act: Callable[[], bool],
        borrow: Callable[[str, int], Awaitable[int]] | None = None,
        clock: Callable[[], float] = time.monotonic,
        move_after_s: float = MOVE_AFTER_S,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.pool = pool
        self.fencing_token = fencing_token
        self.counts: Counter[str] = Counter()
        self._handover_is_complete = False
        self._may_act = may_act
        self._borrow = borrow
        self._next_borrow_at = 0.0
        self._clock = clock
        self._engines = EngineClient()
        self._orders = OrderClient(self._engines, may_act, clock)
        self._scheduler = PoolScheduler(
            pool, fencing_token, clock(), ready_at, move_after_s=move_after_s
        )
        self._replies_by_request_id: dict[str, asyncio.Future[PlaceReply]] = {}
        self._pollers_by_server: dict[str, asyncio.Task[None]] = {}
        self._evictions_by_server: dict[str, set[asyncio.Task[bool]]] = {}
        self._order_tasks: set[asyncio.Task[Any]] = set()
        self._moves_by_request_id: dict[str, asyncio.Task[None]] = {}

    # Interface to the controller

    def set_ready_at(self, ready_at: float) -> None:
        """Set the time from which this instance may act, in seconds of the clock."""
        self._scheduler.set_ready_at(ready_at, not self._handover_is_complete)

    def set_load_limits(self, limits: LoadLimits) -> None:
        """Apply the pool's share of the limits of the weight store."""
        self._scheduler.set_load_limits(limits, self._clock())

    def lend_loads(self, requested: int) -> int:
        """Lend up to `requested` loads to another pool; return the number lent."""
        if not self._may_act():
            return 0
        return self._scheduler.lend_loads(requested, self._clock())

    def apply_table(self, state: TableState) -> None:
        """Apply the table rows of the pool's servers and of the organisations."""
        now = self._clock()
        self._scheduler.set_organisations(state.organisations_by_name.values(), now)
        rows = [
            r for r in state.backend_servers_by_name.values() if r.pool == self.pool
        ]
        self._execute(self._scheduler.set_servers(rows, now))
        self._sync_pollers(rows)

    async def place(self, request: PlaceRequest) -> PlaceReply:
        """Wait for a place; cancel the call when the gateway disconnects."""
        move = self._moves_by_request_id.get(request.request_id)
        if move is not None:
            await asyncio.wait([move], timeout=MOVE_WAIT_S)
        now = self._clock()
        if now >= self._scheduler.ready_at and not self._may_act():
            return self._unavailable_reply()
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[PlaceReply] = loop.create_future()
        repeated = self._replies_by_request_id.pop(request.request_id, None)
        if repeated is not None and not repeated.done():
            repeated.set_result(self._unavailable_reply())
        self._replies_by_request_id[request.request_id] = reply
        self._execute(self._scheduler.submit(request, now))
        try:
            result = await reply
        except asyncio.CancelledError:
            if self._discard_reply(request.request_id, reply):
                self._cancel(request.request_id)
            raise
        self._discard_reply(request.request_id, reply)
        if not result.reason and not self._may_act():
            self._cancel(request.request_id)
            return self._unavailable_reply()
        self.counts["refused" if result.reason else "granted"] += 1
        return result

    async def update(self, update: PlaceUpdate) -> Ack:
        """Apply a gateway's updates of its places, even before this owner may act."""
        now = self._clock()
        for entry in update.entries or ():
            self._execute(self._scheduler.update(entry, update.gateway, now))
        return Ack(0, True, "")

    def hand_over(self) -> str:
        """Return the state for the next owner; this instance must not act after it."""
        is_complete = self._scheduler.knows_all_places(self._clock())
        handover = _PoolHandover(is_complete=is_complete)
        for place in self._scheduler.places.by_place_id.values():
            if place.gateway:
                handover.places.append(_place_record(place))
        for server in self._scheduler.servers_by_name.values():
            for key, eviction in server.evictions_by_key.items():
                if not eviction.is_confirmed:
                    handover.evictions.append(_EvictionRecord(server.name, *key))
        return msgspec.json.encode(handover).decode()

    def accept_handover(self, pool_state: str) -> bool:
        """Apply the state from the previous owner; return whether it is well-formed."""
        try:
            handover = decode_json(pool_state, _PoolHandover)
        except msgspec.DecodeError as error:
            log_warning("bad_pool_handover", pool=self.pool, detail=str(error))
            return False
        now = self._clock()
        for place in handover.places:
            values = msgspec.structs.asdict(place)
            gateway = values.pop("gateway")
            entry = PlaceEntry(**values, outcome="")
            self._execute(self._scheduler.update(entry, gateway, now))
        for eviction in handover.evictions:
            key = (eviction.adapter, eviction.version)
            self._scheduler.expect_eviction(eviction.backend_server, key, now)
        self._handover_is_complete = handover.is_complete
        self.set_ready_at(self._scheduler.ready_at)
        return True

    def status(self) -> dict[str, object]:
        """Return the state of the pool for the operator API."""
        status = self._scheduler.status(self._clock())
        return {**status, "may_act": self._may_act(), "counts": dict(self.counts)}

    async def on_stop(self) -> None:
        """Refuse all waiting requests and cancel the tasks."""
        self._refuse_all()
        tasks = [*self._pollers_by_server.values(), *self._order_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._engines.close()

    # Replies

    def _unavailable_reply(self) -> PlaceReply:
        return PlaceReply(
            place_id="",
            backend_server="",
            address="",
            fencing_token=self.fencing_token,
            expires_in_ms=0,
            reason=str(Reason.OWNER_UNAVAILABLE),
            retry_after_ms=OWNER_RETRY_AFTER_MS,
            waited_for_load=False,
        )

    def _discard_reply(
        self, request_id: str, reply: asyncio.Future[PlaceReply]
    ) -> bool:
        if self._replies_by_request_id.get(request_id) is not reply:
            return False
        del self._replies_by_request_id[request_id]
        return True

    def _cancel(self, request_id: str) -> None:
        self._execute(self._scheduler.cancel(request_id, self._clock()))

    def _refuse_all(self) -> None:
        for request_id, reply in list(self._replies_by_request_id.items()):
            if not reply.done():
                reply.set_result(self._unavailable_reply())
                self._cancel(request_id)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case GrantPlace() | RefusePlace():
                    reply = self._replies_by_request_id.get(action.request_id)
                    if reply is not None and not reply.done():
                        reply.set_result(action.reply)
                case EvictAdapter():
                    self._start_eviction(action)
                case LoadAdapter():
                    self._spawn(self._load(action, self._evictions_of(action.server)))
                case MoveStream():
                    self._start_move(action)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        return task

    # Orders

    def _find_server(self, name: str) -> ServerState | None:
        return self._scheduler.servers_by_name.get(name)

    def _evictions_of(self, server: str) -> list[asyncio.Task[bool]]:
        return list(self._evictions_by_server.get(server, ()))

    def _start_eviction(self, action: EvictAdapter) -> None:
        evictions = self._evictions_by_server.setdefault(action.server, set())
        task = self._spawn(self._evict(action))
        evictions.add(task)
        task.add_done_callback(evictions.discard)

    async def _evict(self, action: EvictAdapter) -> bool:
        server = self._find_server(action.server)
        if server is None:
            return False
        outcome = await self._orders.evict(
            server.row.address, action.adapter, action.version, action.fencing_token
        )
        ok = outcome is PoolOrderOutcome.DONE
        self._record_order("evict", action, outcome)
        self._execute(
            self._scheduler.on_evict_result(
                action.server, action.adapter, action.version, ok, self._clock()
            )
        )
        return ok

    async def _load(
        self, action: LoadAdapter, evictions: list[asyncio.Task[bool]]
    ) -> None:
        # The engine would refuse a load if an eviction has not freed the slot yet.
        evicted = await asyncio.gather(*evictions)
        server = self._find_server(action.server)
        if server is None:
            return
        incarnation = server.incarnation
        outcome = PoolOrderOutcome.NOT_SENT
        if all(evicted):
            outcome = await self._orders.load(
                server.row.address, action.adapter, action.version, action.fencing_token
            )
        self._record_order("load", action, outcome)
        if server.incarnation != incarnation:
            # The server restarted in the meantime, and its slots were cleared.
            return
        self._execute(
            self._scheduler.on_load_result(
                action.server,
                action.adapter,
                action.version,
                outcome is PoolOrderOutcome.DONE,
                self._clock(),
                is_unknown=outcome is PoolOrderOutcome.UNKNOWN,
            )
        )

    def _start_move(self, action: MoveStream) -> None:
        task = self._spawn(self._move(action))
        self._moves_by_request_id[action.request_id] = task
        task.add_done_callback(
            lambda _: self._moves_by_request_id.pop(action.request_id, None)
        )

    async def _move(self, action: MoveStream) -> None:
        source, target = (
            self._find_server(action.server),
            self._find_server(action.target),
        )
        if source is None or target is None:
            return
        outcome = await self._orders.move_stream(
            action.request_id, source.row.address, target.row.address
        )
        self.counts[f"move {outcome}"] += 1
        log_event(
            "stream_moved",
            request_id=action.request_id,
            source=action.server,
            target=action.target,
            end=outcome,
        )

    def _record_order(
        self, name: str, action: LoadAdapter | EvictAdapter, outcome: PoolOrderOutcome
    ) -> None:
        self.counts[f"{name} {outcome}"] += 1
        if outcome is not PoolOrderOutcome.DONE:
            log_warning(
                "order_failed",
                order=name,
                backend_server=action.server,
                adapter=action.adapter,
                version=action.version,
                end=outcome,
            )

    # Time and reports

    @Service.task
    async def _tick_loop(self) -> None:
        while not self.should_stop:
            now = self._clock()
            if now >= self._scheduler.ready_at and not self._may_act():
                # Refused gateways look up the current owner.
                self._refuse_all()
            else:
                self._execute(self._scheduler.tick(now))
                self._borrow_loads(now)
            await asyncio.sleep(TICK_S)

    def _borrow_loads(self, now: float) -> None:
        shortage = self._scheduler.load_shortage(now)
        if self._borrow is None or not shortage or now < self._next_borrow_at:
            return
        self._next_borrow_at = math.inf
        self._spawn(self._receive_loads(self._borrow(self.pool, shortage)))

    async def _receive_loads(self, loan: Awaitable[int]) -> None:
        try:
            lent = await loan
        finally:
            self._next_borrow_at = self._clock() + BORROW_INTERVAL_S
        if lent and self._may_act():
            self.counts["loads borrowed"] += lent
            self._execute(self._scheduler.receive_loads(lent, self._clock()))

    def _sync_pollers(self, rows: list[BackendServer]) -> None:
        engines = {row.name for row in rows if row.server_kind == "engine"}
        for name in set(self._pollers_by_server) - engines:
            self._pollers_by_server.pop(name).cancel()
        for name in engines - set(self._pollers_by_server):
            task = asyncio.ensure_future(self._poll_loop(name))
            self._pollers_by_server[name] = task

    async def _poll_loop(self, name: str) -> None:
        while not self.should_stop:
            server = self._find_server(name)
            if server is not None:
                try:
                    await self._poll(server)
                except Exception as error:
                    # An error in one report must not stop the polling.
                    log_warning("poll_failed", backend_server=name, error=repr(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, server: ServerState) -> None:
        result = await self._orders.state(server.name, server.row.address)
        if not isinstance(result, Success):
            self.counts["poll failed"] += 1
            return
        now = self._clock()
        self._execute(self._scheduler.on_report(result.unwrap(), now))
        await self._poll_cache_events(server)

    async def _poll_cache_events(self, server: ServerState) -> None:
        index = self._scheduler.prefix_index
        address = server.row.address
        after = index.sequence(server.name)
        result = await self._orders.cache_events(address, after)
        if not isinstance(result, Success):
            return
        events = result.unwrap()
        now = self._clock()
        if index.on_events(server.name, events.incarnation, events.changes(), now):
            return
        snapshot = await self._orders.cache_snapshot(address)
        if isinstance(snapshot, Success):
            cache = snapshot.unwrap()
            index.resynchronise(
                server.name, cache.incarnation, cache.snapshot, cache.sequence, now
            )


def _place_record(place: Any) -> _PlaceRecord:
    entry = place.to_entry()
    return _PlaceRecord(
        place_id=entry.place_id,
        request_id=entry.request_id,
        gateway=place.gateway,
        state=entry.state,
        organisation=entry.organisation,
        adapter=entry.adapter,
        version=entry.version,
        backend_server=entry.backend_server,
        generated_tokens=entry.generated_tokens,
    )
