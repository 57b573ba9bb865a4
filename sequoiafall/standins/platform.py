"""Simulated platform: table service, object and weight stores, instance list.

All state is kept in memory. ``POST /faults`` injects faults for all clients, or for
those that send a given ``X-Client`` header.
"""

from __future__ import annotations

import asyncio
import bisect
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import web
from mode import Service

from ..log import log_event
from ..process import run_service
from ..settings import Setting, parse_address, parse_seconds, settings_from_command_line

UNCONTENDED_TRANSFERS = 8
TRANSFER_S = 0.25
MAX_BODY_BYTES = 16 * 1024 * 1024
# Stale reads undo at most this many recent writes; older writes stay visible.
HISTORY_LENGTH = 10_000
ALL_ADAPTERS = "*"


@dataclass(slots=True)
class StoredRow:
    """A row with its version; version 0 denotes an absent row."""

    version: int
    value: dict[str, Any] | None


ABSENT = StoredRow(0, None)


class TableStore:
    """Versioned rows with serialised transactions.

    All rows share one version counter, so that a row that is deleted and created
    again never reuses a version.
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[str, StoredRow] = {}
        self._keys: list[str] = []
        self._responses_by_operation: dict[str, dict[str, Any]] = {}
        self._history: deque[tuple[float, str, StoredRow]] = deque(
            maxlen=HISTORY_LENGTH
        )
        self._last_version = 0

    def transaction(
        self,
        conditions: Sequence[Mapping[str, Any]],
        writes: Sequence[Mapping[str, Any]],
        operation_id: str,
        now: float,
    ) -> dict[str, Any]:
        """Apply all writes if all conditions hold, and return the response.

        A repeated operation identifier returns the first response again.
        """
        if operation_id in self._responses_by_operation:
            return self._responses_by_operation[operation_id]
        conflicts = [
            self.describe(condition["key"])
            for condition in conditions
            if self.row(condition["key"]).version != condition["version"]
        ]
        response: dict[str, Any]
        if conflicts:
            response = {"committed": False, "conflicts": conflicts}
        else:
            versions = {w["key"]: self._put(w["key"], w["value"], now) for w in writes}
            response = {"committed": True, "versions": versions}
        self._responses_by_operation[operation_id] = response
        return response

    def row(self, key: str, as_of: float | None = None) -> StoredRow:
        """Return a row, or its state at the time `as_of`."""
        if as_of is not None:
            for at, changed_key, before in self._history:
                if at > as_of and changed_key == key:
                    return before
        return self.rows_by_key.get(key, ABSENT)

    def describe(self, key: str, as_of: float | None = None) -> dict[str, Any]:
        """Return a row as a JSON object."""
        row = self.row(key, as_of)
        return {"key": key, "version": row.version, "value": row.value}

    def scan(
        self, prefix: str, after: str, limit: int, as_of: float | None = None
    ) -> list[dict[str, Any]]:
        """Return rows with the prefix in key order, as JSON objects."""
        keys = self._keys
        if as_of is not None:
            deleted = {key for at, key, _ in self._history if at > as_of}
            keys = sorted(deleted.union(keys))
        start = max(bisect.bisect_left(keys, prefix), bisect.bisect_right(keys, after))
        found: list[dict[str, Any]] = []
        for position in range(start, len(keys)):
            key = keys[position]
            if not key.startswith(prefix) or len(found) >= limit:
                break
            row = self.describe(key, as_of)
            if row["version"]:
                found.append(row)
        return found

    def _put(self, key: str, value: dict[str, Any] | None, now: float) -> int:
        before = self.row(key)
        self._history.append((now, key, before))
        if value is None:
            if before.version:
                del self.rows_by_key[key]
                del self._keys[bisect.bisect_left(self._keys, key)]
            return 0
        if not before.version:
            bisect.insort(self._keys, key)
        self._last_version += 1
        self.rows_by_key[key] = StoredRow(self._last_version, value)
        return self._last_version


@dataclass(slots=True)
class ClientFaults:
    """Faults that apply to the requests of one client, or of all clients.

    Parameters
    ----------
    outage : bool
        Requests for tables, objects and the instance list fail with 503 and have
        no effect.
    delay_s : float
        Seconds before a request takes effect, even if the client disconnects.
    transaction_delay_s : float
        Additional seconds before a transaction takes effect; does not delay reads.
    lost_replies : int
        Number of transactions that take effect, but whose response is lost.
    stale_reads_s : float
        Reads return the rows as they were this many seconds ago.
    held_commits : list of str
        Transactions that write a row in one of these states are blocked before they
        take effect. Once released, they take effect even if the client has
        disconnected.
    held_replies : list of str
        Responses to transactions and reads of a row in one of these states are
        blocked.
    """

    outage: bool = False
    delay_s: float = 0.0
    transaction_delay_s: float = 0.0
    lost_replies: int = 0
    stale_reads_s: float = 0.0
    held_commits: list[str] = field(default_factory=list)
    held_replies: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PlatformFaults:
    """Faults and limits that apply to all clients together.

    Parameters
    ----------
    instance_lag_s : float
        Seconds by which the instance list lags behind.
    loads_per_s : float
        Loads that the weight store admits per second.
    failing_adapters : list of str
        Adapters whose weights cannot be read; ``*`` for all.
    """

    instance_lag_s: float = 2.0
    loads_per_s: float = 3.0
    failing_adapters: list[str] = field(default_factory=list)


class Faults:
    """The active faults, global and by client."""

    def __init__(self, platform: PlatformFaults | None = None) -> None:
        self._defaults = platform or PlatformFaults()
        self.platform = replace(self._defaults)
        self.by_client: dict[str, ClientFaults] = {"": ClientFaults()}

    def update(self, body: Mapping[str, Any]) -> list[str]:
        """Set the given faults; ``clients`` restricts client faults to some clients.

        ``reset`` first restores the defaults.

        Returns
        -------
        list of str
            Fields that are unknown or have an invalid value; if there are any,
            nothing is set.
        """
        client_faults, platform_faults = ClientFaults(), self._defaults
        invalid = [
            name
            for name, value in body.items()
            if name not in ("clients", "reset")
            and not _matches_type_of(value, getattr(client_faults, name, None))
            and not _matches_type_of(value, getattr(platform_faults, name, None))
        ]
        if invalid:
            return invalid
        if body.get("reset"):
            self.platform = replace(self._defaults)
            self.by_client = {"": ClientFaults()}
        for client in body.get("clients") or [""]:
            faults = self.by_client.setdefault(client, ClientFaults())
            for name in set(body) & set(ClientFaults.__slots__):
                setattr(faults, name, body[name])
        for name in set(body) & set(PlatformFaults.__slots__):
            setattr(self.platform, name, body[name])
        return []

    def for_client(self, client: str) -> list[ClientFaults]:
        """Return the faults that apply to the requests of a client."""
        names = {"", client}
        return [self.by_client[name] for name in names if name in self.by_client]

    def load_fails(self, adapter: str) -> bool:
        """Return whether the weights of the adapter cannot be read."""
        return bool({adapter, ALL_ADAPTERS} & set(self.platform.failing_adapters))


def _matches_type_of(value: Any, default: Any) -> bool:
    """Return whether a value has the type of the default and is not negative."""
    if isinstance(default, bool) or isinstance(value, bool):
        return isinstance(default, bool) and isinstance(value, bool)
    if isinstance(default, int | float):
        return isinstance(value, int | float) and value >= 0
    return isinstance(default, list) and isinstance(value, list)


class PlatformStandIn(Service):
    """HTTP server of the simulated platform.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 takes a free port.
    defaults : PlatformFaults or None
        Lag and rate while no fault is active.
    clock : callable, default=time.monotonic
        Returns the time in seconds.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        defaults: PlatformFaults | None = None,
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._clock = clock
        self.host = host
        self.port = port
        self.table = TableStore()
        self.faults = Faults(defaults)
        self._objects_by_key: dict[str, bytes] = {}
        self._instances_by_name: dict[str, dict[str, str]] = {}
        self._listings: deque[tuple[float, list[dict[str, str]]]] = deque(
            [(0.0, [])], maxlen=HISTORY_LENGTH
        )
        self._held_count = 0
        self._faults_changed = asyncio.Event()
        self._transfer_ends: list[float] = []
        self._load_tokens = 1.0
        self._load_tokens_at = clock()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL of the running server."""
        return f"http://{self.host}:{self.port}"

    async def on_start(self) -> None:
        """Open the port."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
        )
        app.add_routes(
            [
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._healthz),
                web.post("/faults", self._set_faults),
                web.get("/held", self._get_held),
                web.post("/table/transaction", self._transaction),
                web.get("/table/row", self._row),
                web.get("/table/scan", self._scan),
                web.get("/objects/{key:.+}", self._get_object),
                web.put("/objects/{key:.+}", self._put_object),
                web.get("/instances", self._list_instances),
                web.put("/instances/{name}", self._put_instance),
                web.delete("/instances/{name}", self._delete_instance),
                web.post("/weights/{adapter}/{version}", self._admit_load),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()
        self.port = self._runner.addresses[0][1]
        log_event("platform_listening", address=f"{self.host}:{self.port}")

    async def on_stop(self) -> None:
        """Close the port and the connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path in ("/faults", "/healthz", "/readyz", "/held"):
            return await handler(request)
        faults = self._faults_of(request)
        # The weight store is separate from the table service and the object store,
        # so an outage does not affect it; `failing_adapters` does.
        is_weights = request.path.startswith("/weights/")
        if not is_weights and any(fault.outage for fault in faults):
            return web.json_response({"reason": "outage"}, status=503)
        delay_s = sum(fault.delay_s for fault in faults)
        if request.path == "/table/transaction":
            delay_s += sum(fault.transaction_delay_s for fault in faults)
        if delay_s:
            # The body is read first, so that the request takes effect even if the
            # client disconnects meanwhile.
            await request.read()
            await asyncio.sleep(delay_s)
        return await handler(request)

    def _faults_of(self, request: web.Request) -> list[ClientFaults]:
        return self.faults.for_client(request.headers.get("X-Client", ""))

    def _as_of(self, request: web.Request) -> float | None:
        age_s = max(fault.stale_reads_s for fault in self._faults_of(request))
        return self._clock() - age_s if age_s else None

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        invalid = self.faults.update(body)
        if invalid:
            return web.json_response({"bad_fields": invalid}, status=400)
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        log_event("faults_set", **body)
        return web.json_response({})

    async def _get_held(self, _request: web.Request) -> web.Response:
        return web.json_response({"held": self._held_count})

    async def _hold(self, request: web.Request, fault: str, states: set[str]) -> None:
        """Block while a fault of the client holds one of the states."""
        self._held_count += 1
        try:
            while any(
                states.intersection(getattr(faults, fault))
                for faults in self._faults_of(request)
            ):
                await self._faults_changed.wait()
        finally:
            self._held_count -= 1

    async def _transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        states = {str((w["value"] or {}).get("state")) for w in body["writes"]}
        await self._hold(request, "held_commits", states)
        response = self.table.transaction(
            body["conditions"], body["writes"], body["operation_id"], self._clock()
        )
        for fault in self._faults_of(request):
            if fault.lost_replies > 0:
                fault.lost_replies -= 1
                if request.transport is not None:
                    request.transport.abort()
                break
        await self._hold(request, "held_replies", states)
        return web.json_response(response, status=200 if response["committed"] else 409)

    async def _row(self, request: web.Request) -> web.Response:
        row = self.table.describe(request.query["key"], self._as_of(request))
        state = str((row["value"] or {}).get("state"))
        await self._hold(request, "held_replies", {state})
        return web.json_response(row)

    async def _scan(self, request: web.Request) -> web.Response:
        query = request.query
        rows = self.table.scan(
            query.get("prefix", ""),
            query.get("after", ""),
            int(query.get("limit", "1000")),
            self._as_of(request),
        )
        return web.json_response({"rows": rows})

    async def _get_object(self, request: web.Request) -> web.Response:
        body = self._objects_by_key.get(request.match_info["key"])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        self._objects_by_key[request.match_info["key"]] = await request.read()
        return web.json_response({})

    async def _list_instances(self, _request: web.Request) -> web.Response:
        as_of = self._clock() - self.faults.platform.instance_lag_s
        listing = next(
            (names for at, names in reversed(self._listings) if at <= as_of), []
        )
        return web.json_response({"instances": listing})

    async def _put_instance(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = request.match_info["name"]
        self._instances_by_name[name] = {
            "name": name,
            "zone": body.get("zone", ""),
            "address": body.get("address", ""),
            "state": body.get("state", "live"),
        }
        return self._record_listing()

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self._instances_by_name.pop(request.match_info["name"], None)
        return self._record_listing()

    def _record_listing(self) -> web.Response:
        listing = list(self._instances_by_name.values())
        self._listings.append((self._clock(), listing))
        return web.json_response({})

    async def _admit_load(self, request: web.Request) -> web.Response:
        if self.faults.load_fails(request.match_info["adapter"]):
            return web.json_response({"reason": "load_failed"}, status=502)
        rate = self.faults.platform.loads_per_s
        now = self._clock()
        refill = (now - self._load_tokens_at) * rate
        self._load_tokens = min(max(rate, 1.0), self._load_tokens + refill)
        self._load_tokens_at = now
        if self._load_tokens < 1.0:
            retry_after_s = (1.0 - self._load_tokens) / rate if rate else 1.0
            body = {"reason": "rate_exceeded", "retry_after_s": retry_after_s}
            return web.json_response(body, status=429)
        self._load_tokens -= 1.0
        self._transfer_ends = [end for end in self._transfer_ends if end > now]
        transfers = len(self._transfer_ends) + 1
        transit_s = TRANSFER_S * max(1.0, transfers / UNCONTENDED_TRANSFERS)
        self._transfer_ends.append(now + transit_s)
        return web.json_response({"transit_s": transit_s})


SETTINGS = [
    Setting("listen", parse_address, "host:port to listen on", "127.0.0.1:7000"),
    Setting("instance-lag", parse_seconds, "lag of the instance list (s)", "2"),
    Setting("loads-per-second", parse_seconds, "loads admitted per second", "3"),
]


def main() -> None:
    """Run the simulated platform until a signal stops it."""
    settings = settings_from_command_line(
        SETTINGS, "sequoiafall-platform", "simulated platform"
    )
    host, _, port = settings.listen.rpartition(":")
    defaults = PlatformFaults(settings.instance_lag, settings.loads_per_second)
    run_service(PlatformStandIn(host, int(port), defaults))


if __name__ == "__main__":
    main()
