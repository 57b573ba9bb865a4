"""Base class of gateway tests: one gateway, a fake controller, in-process servers."""

import asyncio
import contextlib
import json
import logging
import time
import unittest

import aiohttp
from returns.result import Failure, Success

from sequoiafall import platform_client as client
from sequoiafall.admission import secret_digest
from sequoiafall.gateway import Gateway, GatewayConfig
from sequoiafall.standins.engine import Engine, EngineConfig
from sequoiafall.standins.plain_service import PlainService
from sequoiafall.table import TableState, check_edits
from sequoiafall.transport import Delivery, WireClient, WireError
from sequoiafall.wire.gen.ttypes import (
    Ack,
    Change,
    GatewayPoll,
    GatewayPollReply,
    Head,
    Member,
    MemberStatus,
    PlaceReply,
    PlaceRequest,
    PlaceUpdate,
    QuotaReply,
    QuotaRequest,
    View,
)

SECRETS = {"carvers": "secret-of-carvers-000", "clogs": "secret-of-clogs-0000"}
EVENT_TIMEOUT_S = 20.0

# The simulated servers log every disconnect of a caller.
logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
logging.getLogger("absl").setLevel(logging.ERROR)


def texts_of(body: bytes) -> list[str]:
    """Return the text of each event of a stream."""
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    choices = [json.loads(event).get("choices") for event in events]
    return [
        choice[0].get("text") or choice[0]["delta"]["content"]
        for choice in choices
        if choice
    ]


def error_of(body: bytes) -> dict:
    """Return the error object of a refusal or of a stream's error event."""
    event = body.rpartition(b"event: error\ndata: ")[2]
    return json.loads(event)["error"]


@contextlib.contextmanager
def capture_log():
    """Collect the log lines of the process in a list."""
    lines: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    logger = logging.getLogger("absl")
    level = logger.level
    logger.propagate = False
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = True


class FakeControl(WireClient):
    """Fake of the controller and of pool and quota owners, configured by its fields."""

    def __init__(self):
        super().__init__("127.0.0.1:1", b"")
        self.table = TableState()
        self.changes: list[Change] = []
        self.fresh_for_ms = 60_000
        self.reachable = True
        self.quota_reason = ""
        self.place_reason = ""
        self.place_lifetime_ms = 60_000
        self.servers_by_pool: dict[str, list[tuple[str, str]]] = {}
        self.requests: list[object] = []
        self.released: list[tuple[str, str]] = []
        self.on_place = lambda request: None
        self.frozen_places = 0
        self.quota_failures = 0
        self.members = [Member("a", 1, "talsi", "127.0.0.1:1", [])]

    def commit(self, *edits):
        """Commit edits; the gateway sees them at its next poll."""
        checked = check_edits(self.table, edits).unwrap()
        revision = self.table.revision + 1
        change = Change(revision, f"op{revision}", "test", 0, checked)
        assert self.table.apply(change)
        self.changes.append(change)

    async def close(self):
        pass

    async def call(self, request, timeout_s):
        self.requests.append(request)
        if not self.reachable:
            return Failure(WireError(Delivery.NOT_SENT, "unreachable"))
        await asyncio.sleep(0)
        match request:
            case GatewayPoll():
                return Success(self.poll(request))
            case QuotaRequest() if self.quota_failures and request.shortage_tokens:
                self.quota_failures -= 1
                if self.quota_failures % 2:
                    return Failure(WireError(Delivery.UNKNOWN, "connection lost"))
                reason = "owner_unavailable"
                return Success(QuotaReply("", 0, 0, 0, 1, reason))
            case QuotaRequest():
                tokens = 0 if self.quota_reason else request.shortage_tokens
                reply = QuotaReply("g", tokens, 60_000, 2_000, 1, self.quota_reason)
                return Success(reply)
            case PlaceRequest():
                if self.frozen_places:
                    self.frozen_places -= 1
                    await asyncio.Event().wait()
                return Success(self._place(request))
            case PlaceUpdate():
                for entry in request.entries:
                    if entry.outcome:
                        self.released.append((entry.backend_server, entry.outcome))
                return Success(Ack(0, True, ""))
        raise AssertionError(request)

    def poll(self, request):
        """Return the reply to a poll."""
        statuses = [
            MemberStatus(
                "a", 1, "talsi", True, request.leaving, 1, 0, ["127.0.0.1:9"], "", ""
            )
        ]
        head = Head(self.table.revision, View(1, self.members, 0), [])
        changes = self.changes[request.head_revision :]
        return GatewayPollReply(
            head, self.fresh_for_ms, changes, None, statuses, True, []
        )

    def _place(self, request):
        self.on_place(request)
        servers = [
            server
            for server in self.servers_by_pool.get(request.pool, [])
            if server[0] not in request.excluded_servers
        ]
        reason = self.place_reason or ("" if servers else "no_backend_server")
        if reason:
            return PlaceReply("", "", "", 0, 0, reason, 1_000, False)
        name, address = servers[0]
        place_id = f"p{len(self.requests)}"
        return PlaceReply(
            place_id, name, address, 7, self.place_lifetime_ms, "", 0, False
        )


class FakePlatform:
    """In-memory table service and object store with configurable faults."""

    def __init__(self):
        self.rows: dict[str, tuple[int, dict]] = {}
        self.objects: dict[str, bytes] = {}
        self.available = True
        self.lose_replies = 0

    async def close(self):
        pass

    async def read(self, key):
        if not self.available:
            return Failure(client.Unavailable())
        version, value = self.rows.get(key, (0, None))
        return Success(client.TableRow(key, version, value))

    async def transaction(self, conditions, writes, operation_id):
        if not self.available:
            return Failure(client.Unavailable())
        for condition in conditions:
            version, value = self.rows.get(condition.key, (0, None))
            if version != condition.version:
                row = client.TableRow(condition.key, version, value)
                return Failure(client.Conflict([row]))
        versions = {}
        for write in writes:
            version = self.rows.get(write.key, (0, None))[0] + 1
            self.rows[write.key] = (version, write.value)
            versions[write.key] = version
        if self.lose_replies:
            self.lose_replies -= 1
            return Failure(client.Unknown())
        return Success(client.Committed(versions))

    async def get_object(self, key):
        return Success(self.objects.get(key))

    async def put_object(self, key, body):
        self.objects[key] = body
        return Success(None)


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """One gateway with two engines and one plain service.

    The organisations ``carvers`` and ``clogs`` have an adapter each, ``oak``
    and ``poplar``; ``shared`` is open. The route ``orders`` is not repeatable.
    """

    async def asyncSetUp(self):
        self.control = FakeControl()
        self.platform = FakePlatform()
        self.engines = [await self.start_engine(name) for name in ("e1", "e2")]
        self.service = PlainService("127.0.0.1:0", "s1")
        await self.run_service(self.service)
        self.configure()
        config = GatewayConfig(
            "gw", "talsi", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "", b""
        )
        config.shutdown_delay_s = 0.0
        self.gateway = Gateway(config, lambda _: self.control, self.platform)
        await self.run_service(self.gateway)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.gateway.control.poll()

    async def run_service(self, service):
        """Start a service and stop it after the test."""
        await service.start()
        self.addAsyncCleanup(service.stop)

    async def start_engine(self, name):
        """Start an engine that has all adapters loaded."""
        engine = Engine(EngineConfig(name=name, token_seconds=0.001))
        engine.resident = {
            ("oak", "9"),
            ("oak", "10"),
            ("poplar", "1"),
            ("shared", "1"),
        }
        await self.run_service(engine)
        return engine

    def configure(self):
        """Commit the initial table, including the backend servers."""
        edits = []
        for name, secret in SECRETS.items():
            limits = {"rate": 1e6, "burst": 1e6}
            edits.append(("organisation", name, limits))
            key = {"organisation": name, "digest": secret_digest(secret)}
            edits.append(("key", f"{name}-key", key))
        for adapter, owner, versions, is_open in (
            ("oak", "carvers", ("9", "10"), False),
            ("poplar", "clogs", ("1",), False),
            ("shared", "clogs", ("1",), True),
        ):
            values = {"organisation": owner, "open": is_open}
            edits.append(("adapter", adapter, values))
            for version in versions:
                values = {"adapter": adapter, "version": version}
                edits.append(("adapter_version", f"{adapter}@{version}", values))
        for server, kind, pool in (
            *((engine, "engine", "base") for engine in self.engines),
            (self.service, "plain", "plain"),
        ):
            name = server.name if kind == "plain" else server.config.name
            values = {"address": server.address, "server_kind": kind, "pool": pool}
            edits.append(("backend_server", name, {**values, "zone": "talsi"}))
            self.control.servers_by_pool.setdefault(pool, []).append(
                (name, server.address)
            )
        for name, repeatable, is_open in (
            ("orders", False, False),
            ("stock", True, False),
            ("public", True, True),
            ("guestbook", False, True),
        ):
            values = {"pool": "plain", "repeatable": repeatable, "open": is_open}
            edits.append(("route", name, {**values, "organisation": "carvers"}))
        self.control.commit(*edits)

    async def set_faults(self, standin, **faults):
        """Set the injected faults of a simulated server."""
        url = f"http://{standin.address}/faults"
        async with self.session.post(url, json=faults) as response:
            self.assertEqual(response.status, 200, await response.text())

    def adopt_newest_head(self):
        """Pass the newest head to the gateway directly, without a poll."""
        control = self.gateway.control
        reply = self.control.poll(GatewayPoll("gw", control.table.revision, False, 0))
        control.on_poll_reply(reply, control.clock())

    def make_stale(self):
        """Disconnect the gateway from the controller and expire its head."""
        self.control.reachable = False
        self.gateway.control.fresh_until = 0.0

    async def make_fresh(self):
        """Reconnect the gateway and let it poll."""
        self.control.reachable = True
        await self.gateway.control.poll()

    def recorded(self):
        """Return all requests that the backend servers have received."""
        servers = [*self.engines, self.service]
        return [entry for server in servers for entry in server.recorded]

    async def edit(self, *edits):
        """Commit edits and let the gateway poll them."""
        self.control.commit(*edits)
        await self.gateway.control.poll()

    def url(self, path):
        """Return the URL of a path at the gateway."""
        return f"http://{self.gateway.address}{path}"

    def headers(self, organisation="carvers", **headers):
        """Return headers with the key of an organisation."""
        return {"Authorization": f"Bearer {SECRETS[organisation]}", **headers}

    async def complete(self, model="oak", organisation="carvers", **values):
        """Request a completion; return its status, headers and body."""
        body = {"model": model, "prompt": "a spoon", "max_tokens": 8, **values}
        return await self.post("/v1/completions", organisation, json=body)

    async def post(self, path, organisation="carvers", headers=None, **options):
        """Send a request with a key; return its status, headers and body."""
        all_headers = self.headers(organisation, **(headers or {}))
        async with self.session.post(
            self.url(path), headers=all_headers, **options
        ) as response:
            return response.status, response.headers, await response.read()

    async def wait_until(self, condition):
        """Wait until a condition holds, at most `EVENT_TIMEOUT_S`."""
        deadline = time.monotonic() + EVENT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError("the awaited condition did not occur")
            await asyncio.sleep(0.005)
