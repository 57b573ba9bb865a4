"""Tests that every request that was read gets a complete response or a refusal."""

import asyncio
import contextlib
import gzip
import json
import math
import random
import re
import socket
import unittest
from unittest.mock import AsyncMock, patch

import aiohttp
from parameterized import parameterized

from sequoiafall.boot_clock import boot_time
from sequoiafall.engine_client import _SingleSendConnector
from sequoiafall.lease_keeper import LeaseKeeper
from sequoiafall.platform import names
from sequoiafall.request_ends import EndCause, OpenRequest, RequestEnds, ResponseState
from sequoiafall.stall_timeout import EVENT_GAP_TIMEOUT_S

from .events import until
from .gateway_case import capture_log
from .platform_case import KEY, PlatformCase, configuration

COMPLETE = ResponseState.COMPLETE.value
SERVED = {
    (EndCause.COMPLETED.value, COMPLETE),
    (EndCause.REFUSED.value, COMPLETE),
}
EVENTS = 5
# Response that a process takes for sent although its caller has read little of it,
# and the interval at which that caller reads: it has it all 2 s later.
SLOW_RESPONSE_BYTES = 80 * 1024
SLOW_READ_INTERVAL_S = 0.05
# Route, whether its responses are streams, and the adapter that its requests name.
ROUTES = (
    ("draft", True, "a1"),
    ("check", True, "a2"),
    ("order", False, ""),
    ("look", False, ""),
)


class RawResponse:
    """What a caller read from its connection until the end of it."""

    def __init__(self, received):
        head, _, body = received.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.text = received
        self.status = int(lines[0].split(" ")[1]) if lines[0] else 0
        fields = [line.partition(": ") for line in lines[1:]]
        self.headers = {name.lower(): value for name, _, value in fields}
        self.body = body
        if self.headers.get("transfer-encoding") == "chunked":
            self.is_complete = body.endswith(b"0\r\n\r\n")
        else:
            length = self.headers.get("content-length")
            self.is_complete = length is not None and len(body) == int(length)


class FinalResponseCase(PlatformCase):
    """A fleet whose callers are watched until their connections end."""

    def head(self, path, length=4, version="HTTP/1.1", **headers):
        fields = {
            "Host": "shop.example",
            names.REQUEST_ID: f"raw{next(self._request_numbers)}",
            names.DEADLINE_MS: "4000",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(length),
            "Connection": "close",
            **headers,
        }
        lines = [f"POST {path} {version}"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        return "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")

    async def connect(self, node, receive_buffer_bytes=0):
        host, _, port = node.settings.front_address.rpartition(":")
        opened = socket.socket()
        opened.setblocking(False)
        if receive_buffer_bytes:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=opened)
        self.addCleanup(writer.close)
        return reader, writer

    async def raw_call(self, node, path, body=b"body", **headers):
        reader, writer = await self.connect(node)
        writer.write(self.head(path, len(body), **headers) + body)
        return RawResponse(await reader.read())

    def assert_final(self, status, body, ends=""):
        """Check that a caller got a complete response or a refusal.

        A failure names `ends`, such as the log lines of the ends of requests.
        """
        if status == 200:
            is_complete = body.count(b"data: piece") == EVENTS
            self.assertTrue(is_complete or body == b"done:body", f"{body}\n{ends}")
            return
        self.assertIn(status, (401, 404, 429, 503), f"{body}\n{ends}")
        self.assertEqual(json.loads(body)["error"]["ran"], "not run", ends)

    async def assert_ends_add_up(self, count, causes=None, among=SERVED):
        """Check that every request that was read has one cause of its end."""
        await until(
            lambda: not any(node.forwarder.open_requests for node in self.nodes)
        )
        read, ends = 0, {}
        for node in self.nodes:
            metrics = node.metrics
            self.assertEqual(metrics.requests_read, metrics.ends_by_cause.total())
            self.assertEqual(
                metrics.ends_by_cause.total() + metrics.unread_ends_by_cause.total(),
                metrics.requests_by_end.total(),
            )
            read += metrics.requests_read
            for end, number in metrics.ends_by_cause.items():
                ends[end] = ends.get(end, 0) + number
        self.assertEqual(read, count, ends)
        if causes is None:
            self.assertLessEqual(set(ends), among)
        else:
            self.assertEqual(ends, causes)


class Changes:
    """Changes of the configuration and of the fleet, by name."""

    def __init__(self, case):
        self._case = case
        self._version = 1
        self._base = configuration()

    async def apply(self, name):
        await getattr(self, f"_{name}")()

    async def _write(self, **changes):
        self._version += 1
        self._case.configure(self._version, **changes)
        await until(
            lambda: all(
                node.fleet.catalog.version == self._version for node in self._case.nodes
            )
        )

    def _routes(self, **changes):
        return [{**route, **changes} for route in configuration()["routes"]]

    def _tenant(self, **changes):
        return [{**configuration()["tenants"][0], **changes}]

    async def _routes_dropped(self):
        await self._write(routes=[])

    async def _routes_moved(self):
        moved = [
            {**route, "service": "desk" if route["service"] == "assist" else "assist"}
            for route in self._routes()
        ]
        await self._write(routes=moved)

    async def _routes_to_an_unknown_service(self):
        await self._write(routes=self._routes(service="nobody"))

    async def _weights_zero(self):
        split = [
            {"service": "assist", "weight": 0.0},
            {"service": "desk", "weight": 0.0},
        ]
        await self._write(routes=self._routes(split=split))

    async def _services_removed(self):
        await self._write(services=[])

    async def _service_kinds_swapped(self):
        assist, desk = configuration()["services"]
        await self._write(
            services=[
                {"name": "assist", "health_path": "/healthz"},
                {**assist, "name": desk["name"]},
            ]
        )

    async def _timeouts_shortened(self):
        await self._write(routes=self._routes(timeout_ms=1))

    async def _attempts_lowered(self):
        await self._write(routes=self._routes(max_attempts=0))

    async def _limit_lowered(self):
        await self._write(tenants=self._tenant(rate_per_s=1, burst=1))

    async def _organisation_removed(self):
        await self._write(tenants=[])

    async def _key_withdrawn(self):
        await self._write(tenants=self._tenant(api_keys=["another"]))

    async def _adapter_versions(self):
        for adapter in ("a1", "a2", "p1", "p2"):
            value = {"adapter": adapter, "version": 2}
            key = f"{names.VERSION_KEY_PREFIX}{adapter}"
            self._case.store.put(names.CONFIGURATION_TABLE, key, value)
        await until(
            lambda: all(
                node.fleet.versions_by_adapter.get("p2") == 2
                for node in self._case.nodes
            )
        )

    async def _many_changes(self):
        for number in range(20):
            changes = ({"routes": []}, {}, {"services": []}, {"tenants": []})[
                number % 4
            ]
            self._version += 1
            self._case.configure(self._version, **changes)
        await self._write()

    async def _store_restored(self):
        copy = self._case.store.copy()
        await self._write(routes=[])
        self._case.store.restore(copy)
        await self._write(tenants=self._tenant(plain_tokens=100))

    async def _servers_removed(self):
        for name in self._case.engines:
            self._case.store.remove(names.BACKEND_TABLE, name)
        await until(
            lambda: all(
                node.fleet.registry.find(name) is None
                for node in self._case.nodes
                for name in self._case.engines
            )
        )

    async def _servers_leave(self):
        for server in self._case.engines.values():
            self._case.announce(server, state="draining")
        await until(
            lambda: (
                not any(
                    node.fleet.registry.active_servers(service)
                    for node in self._case.nodes
                    for service in ("assist", "desk")
                )
            )
        )

    async def _servers_started_anew(self):
        for server in self._case.engines.values():
            self._case.announce(server, born=server.started_at_ms + 1)
        await until(
            lambda: all(
                node.fleet.registry.find(server.name).born == server.started_at_ms + 1
                for node in self._case.nodes
                for server in self._case.engines.values()
            )
        )

    async def _leader_gives_up(self):
        await self._case.leader.fleet._resign("a test")

    async def _reload(self):
        for node in self._case.nodes:
            node._on_reload()
            node.settings.retry_extra = 0.0
            node.settings.retry_share = 0.0


CHANGES = [
    name.removeprefix("_")
    for name in vars(Changes)
    if name.startswith("_")
    and name not in ("_write", "_routes", "_tenant")
    and not name.startswith("__")
]
WAITS = (
    "body",
    "permit",
    "place",
    "leader",
    "connection",
    "head",
    "stream",
    "between",
)


class ConfigurationTest(FinalResponseCase):
    """Changes of the configuration while requests wait, at each of their waits."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = self.enterContext(capture_log())
        await self.start_fleet()
        self.released = asyncio.Event()
        self.changes = Changes(self)

    async def call_all(self, path_end="x", adapters=("a1", "a2")):
        """Call every route at every node; return route, status and body of each."""
        by_route = dict(zip(("draft", "check"), adapters, strict=True))

        async def call(node, route):
            adapter = by_route.get(route, "")
            status, body, _ = await self.call(
                node, f"/{route}/{path_end}", adapter=adapter
            )
            return route, status, body

        return await asyncio.gather(
            *(call(node, route) for node in self.nodes for route, *_ in ROUTES)
        )

    async def load(self):
        """Load the adapters of the test's requests."""
        await self.call_all()
        for node in self.nodes:
            for counter in (node.metrics.ends_by_cause, node.metrics.requests_by_end):
                counter.clear()
            node.metrics.requests_read = 0

    async def begin_body(self):
        await self.load()
        connections = []
        for node in self.nodes:
            for route, _, adapter in ROUTES:
                fields = {names.MODEL: f"base/{adapter}"} if adapter else {}
                reader, writer = await self.connect(node)
                writer.write(self.head(f"/{route}/x", **fields) + b"bo")
                connections.append((route, reader, writer))
        await until(
            lambda: (
                sum(node.forwarder.open_requests for node in self.nodes)
                == len(connections)
            )
        )

        async def finish(route, reader, writer):
            await self.released.wait()
            writer.write(b"dy")
            response = RawResponse(await reader.read())
            self.assertTrue(response.is_complete, response.text)
            return route, response.status, response.body

        return asyncio.gather(*(finish(*row) for row in connections))

    async def begin_place(self):
        for name in ("e1", "e2"):
            self.engines[name].load_s = 0.4
        calls = asyncio.ensure_future(self.call_all(adapters=("p1", "p2")))
        await until(
            lambda: self.leader.fleet.duties.planners_by_service["assist"].waiting_count
        )
        return calls

    async def begin_permit(self):
        """Wait for a permit to send to plain servers that have named a limit."""
        await self.load()
        for name in ("d1", "d2"):
            self.engines[name].limit_per_s = 3.0
        await self.load()
        return asyncio.ensure_future(self.call_all())

    async def begin_leader(self):
        """Wait for a leader, while none can be elected and the store is reachable."""
        self.enterContext(
            patch.object(LeaseKeeper, "take", AsyncMock(return_value=False))
        )
        await self.leader.fleet._resign("a test")
        await until(lambda: not any(node.fleet.has_leader for node in self.nodes))
        calls = asyncio.ensure_future(self.call_all(adapters=("p1", "p2")))
        await until(
            lambda: (
                sum(node.forwarder.open_requests for node in self.nodes)
                == len(self.nodes) * 2
            )
        )
        return calls

    async def begin_connection(self):
        await self.load()
        waiting = 0
        connect = _SingleSendConnector.connect

        async def wait_and_connect(connector, *arguments, **options):
            nonlocal waiting
            waiting += 1
            await self.released.wait()
            return await connect(connector, *arguments, **options)

        self.enterContext(
            patch.object(_SingleSendConnector, "connect", wait_and_connect)
        )
        calls = asyncio.ensure_future(self.call_all())
        await until(lambda: waiting >= len(self.nodes) * len(ROUTES))
        return calls

    async def begin_head(self):
        await self.load()
        received = sum(len(row.received_request_ids) for row in self.engines.values())
        for server in self.engines.values():
            server.fall_silent(0.4)
        calls = asyncio.ensure_future(self.call_all())
        expected = received + len(self.nodes) * len(ROUTES)
        await until(
            lambda: (
                sum(len(row.received_request_ids) for row in self.engines.values())
                >= expected
            )
        )
        return calls

    async def begin_stream(self):
        await self.load()
        engines = [self.engines[name] for name in ("e1", "e2")]
        for engine in engines:
            # Longer than any change takes, without a gap that counts as a stall.
            engine.event_interval_s = 0.4
        calls = asyncio.ensure_future(self.call_all())
        streams = len(self.nodes) * 2
        await until(lambda: sum(engine.running for engine in engines) == streams)
        return calls

    async def begin_between(self):
        await self.load()

        async def call_later():
            await self.released.wait()
            return await self.call_all()

        return asyncio.ensure_future(call_later())

    @parameterized.expand(
        [
            (wait, change)
            for wait in WAITS
            for change in CHANGES
            if (wait, change) != ("leader", "leader_gives_up")
        ],
        name_func=lambda test, _, case: f"{test.__name__}_{'_'.join(case.args)}",
    )
    async def test_change(self, wait, change):
        """Guards against connections that end without a response beside a change."""
        calls = await getattr(self, f"begin_{wait}")()
        await self.changes.apply(change)
        self.released.set()
        ends = await calls
        for _route, status, body in ends:
            self.assert_final(status, body)
        await self.assert_ends_add_up(len(ends))


class RandomChangesTest(FinalResponseCase):
    """Changes and requests of callers at random moments, from a seed."""

    @parameterized.expand([(seed,) for seed in range(4)])
    async def test_seed(self, seed):
        """Guards against interleavings that no case of the table has."""
        lines = self.enterContext(capture_log())
        random_source = random.Random(seed)
        await self.start_fleet(3)
        changes = Changes(self)
        # Without changes that remove the servers for good.
        names_of_changes = [name for name in CHANGES if not name.startswith("servers_")]
        plan = [
            (random_source.uniform(0.0, 2.0), random_source.choice(ROUTES))
            for _ in range(120)
        ]
        calls = [
            asyncio.create_task(
                self._call_later(delay_s, node, route, random_source.randrange(9))
            )
            for delay_s, (route, *_) in plan
            for node in [random_source.choice(self.nodes)]
        ]
        for _ in range(8):
            if self.leader is not None:
                await changes.apply(random_source.choice(names_of_changes))
            await asyncio.sleep(random_source.uniform(0.0, 0.2))
            await changes._write()
        results = await asyncio.gather(*calls, return_exceptions=True)
        unserved_ends = "\n".join(
            line for line in lines if "event=request_" in line and "end=ok" not in line
        )
        for result in results:
            if isinstance(result, BaseException):
                self.fail(f"{result!r}\n{unserved_ends}")
            status, body = result
            if status == 502:
                # Routes that were moved lead to servers of another kind.
                ran = json.loads(body)["error"]["ran"]
                self.assertEqual(ran, "unknown", unserved_ends)
            else:
                self.assert_final(status, body, unserved_ends)
        ends = {
            (cause.value, COMPLETE)
            for cause in (
                EndCause.COMPLETED,
                EndCause.REFUSED,
                EndCause.SERVER_BROKE_OFF,
            )
        }
        await self.assert_ends_add_up(len(plan), among=ends)

    async def _call_later(self, delay_s, node, route, number):
        await asyncio.sleep(delay_s)
        adapter = f"a{number}" if route in ("draft", "check") else ""
        status, body, _ = await self.call(node, f"/{route}/x", adapter=adapter)
        return status, body


class UnexpectedErrorTest(FinalResponseCase):
    """Errors that no branch expects still give a final response and a log line."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = self.enterContext(capture_log())
        self.node, *_ = await self.start_fleet(1)

    def assert_logged(self, request_id, *texts):
        (line,) = [
            line
            for line in self.lines
            if f"request_id={request_id} " in line
            and ("request_ended" in line or "request_refused" in line)
        ]
        for text in texts:
            self.assertIn(text, line)

    @parameterized.expand(
        [
            ("before a place", "_places", "take", KeyError("k"), 503, "not run"),
            ("cancelled", "_places", "take", asyncio.CancelledError(), 503, "not run"),
            ("reset", "_places", "take", ConnectionResetError(), 503, "not run"),
            ("after the send", "_dialect", "classify", KeyError("k"), 502, "unknown"),
            ("end of the call", "_plain", "on_end", KeyError("k"), 502, "unknown"),
        ]
    )
    async def test_final_response(self, _name, part, method, error, status, ran):
        """Guards against an answer of the HTTP library, or none, without a line."""
        owner = type(getattr(self.node.forwarder, part))
        with patch.object(owner, method, side_effect=error):
            path = "/order/x" if part == "_plain" else "/draft/x"
            adapter = "" if part == "_plain" else "a1"
            got, body, _ = await self.call(
                self.node, path, adapter=adapter, request_id="r1"
            )
        self.assertEqual(got, status)
        self.assertEqual(json.loads(body)["error"]["ran"], ran)
        self.assert_logged("r1", "internal_error", type(error).__name__, ".py:")
        cause = EndCause.INTERNAL_ERROR.value
        await self.assert_ends_add_up(1, {(cause, COMPLETE): 1})

    async def test_error_after_the_end_of_a_stream(self):
        """Guards against a reset that discards the end of a complete response."""
        with patch.object(
            type(self.node.forwarder._places), "end", side_effect=KeyError("k")
        ):
            status, body, _ = await self.call(
                self.node, "/draft/x", adapter="a1", request_id="r1"
            )
        self.assert_final(status, body)
        self.assert_logged("r1", "internal_error", "KeyError", ".py:")
        cause = EndCause.INTERNAL_ERROR.value
        await self.assert_ends_add_up(1, {(cause, COMPLETE): 1})

    async def test_begun_stream_is_aborted(self):
        """Guards against a begun stream that ends without a line."""
        splitter = "sequoiafall.event_stream.EventSplitter.has_partial_event"
        with patch(splitter, property(lambda _splitter: 1 / 0)):
            with self.assertRaises(aiohttp.ClientPayloadError):
                await self.call(self.node, "/draft/x", adapter="a1", request_id="r1")
            await self.assert_ends_add_up(
                1, {(EndCause.INTERNAL_ERROR.value, ResponseState.CUT.value): 1}
            )
        self.assert_logged("r1", "ZeroDivisionError at", "forwarding.py:")

    async def test_caller_that_leaves_during_its_upload(self):
        """Guards against a handler that is cancelled without a line."""
        _reader, writer = await self.connect(self.node)
        writer.write(self.head("/order/x", **{names.REQUEST_ID: "r1"}) + b"bo")
        await until(lambda: self.node.forwarder.open_requests)
        writer.transport.abort()
        await self.assert_ends_add_up(0, {})
        self.assert_logged("r1", "end=caller_left", "is_read=False")
        ends = self.node.metrics.unread_ends_by_cause
        self.assertEqual(ends, {(EndCause.CALLER_LEFT.value, "none"): 1})

    async def test_caller_that_leaves_during_its_stream(self):
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 2
        reader, writer = await self.connect(self.node)
        fields = {names.MODEL: "base/a1", names.REQUEST_ID: "r1"}
        writer.write(self.head("/check/x", **fields) + b"body")
        await reader.readuntil(b"data: piece")
        writer.transport.abort()
        await self.assert_ends_add_up(
            1, {(EndCause.CALLER_LEFT.value, ResponseState.CUT.value): 1}
        )
        self.assert_logged("r1", "end=caller_left", "route=check", "runs=1")


class DeadlineTest(FinalResponseCase):
    """The deadline of a caller passes at a wait of its request."""

    @parameterized.expand(
        [
            # Shorter than the load that the planner expects: it grants the place after
            # that, although the load takes longer here.
            ("place", 200, 503, EndCause.REFUSED, ResponseState.COMPLETE),
            ("head", 400, 504, EndCause.TIMEOUT, ResponseState.COMPLETE),
            ("stream", 400, None, EndCause.TIMEOUT, ResponseState.CUT),
        ]
    )
    async def test_end(self, wait, deadline_ms, status, cause, state):
        self.enterContext(capture_log())
        node, *_ = await self.start_fleet(1)
        await self.call(node, "/check/x", adapter="a1")
        for name in ("e1", "e2"):
            self.engines[name].load_s = 30.0
            if wait == "head":
                self.engines[name].fall_silent(1.0)
            elif wait == "stream":
                self.engines[name].pause_after_events = 2
        adapter = "a9" if wait == "place" else "a1"
        fields = {names.DEADLINE_MS: str(deadline_ms)}
        call = self.call(node, "/check/x", adapter=adapter, **fields)
        if status is None:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await call
        else:
            self.assertEqual((await call)[0], status)
        ends = {(EndCause.COMPLETED.value, COMPLETE): 1, (cause.value, state.value): 1}
        await self.assert_ends_add_up(2, ends)

    async def test_begun_stream_is_not_cut_before_its_deadline(self):
        """Guards against cuts that the deadline does not excuse yet.

        A failure has to reach the caller in time; a cut stream is no response.
        """
        node, *_ = await self.start_fleet(1)
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 2
        sent_at = boot_time()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call(
                node, "/check/x", adapter="a1", **{names.DEADLINE_MS: "1500"}
            )
        self.assertGreaterEqual(boot_time() - sent_at, 1.5)


class PlannedStopTest(FinalResponseCase):
    """A process that ends gives every request that it read a final response."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = self.enterContext(capture_log())
        self.node, *_ = await self.start_fleet(1)
        # Shorter than a request may wait for a place.
        self.node.settings.grace_s = 0.6

    async def stop(self):
        """Stop the node, and wait until its listener is closed."""
        stopping = asyncio.create_task(self.node.stop())
        self.nodes.remove(self.node)
        site = self.node._caller_site
        await until(lambda: site not in self.node._runners[0].sites)
        return stopping

    @parameterized.expand(
        [
            ("place", "/draft/x", 503, "not run"),
            ("head of a stream", "/draft/x", 502, "unknown"),
            ("head of a call", "/order/x", 502, "unknown"),
        ]
    )
    async def test_request_that_waits_at_the_deadline(self, wait, path, status, ran):
        """Guards against connections that are closed without a response."""
        adapter = "a1" if path == "/draft/x" else ""
        if wait != "place":
            await self.call(self.node, path, adapter=adapter)
        for server in self.engines.values():
            server.load_s = 30.0
            if wait != "place":
                server.fall_silent(3.0)
        call = asyncio.create_task(self.call(self.node, path, adapter=adapter))
        await until(lambda: self.node.forwarder.open_requests)
        stopping = await self.stop()
        got, body, headers = await call
        await stopping
        self.assertEqual(got, status, body)
        self.assertEqual(json.loads(body)["error"]["ran"], ran)
        self.assertEqual(headers["Connection"], "close")
        self.nodes.append(self.node)
        ends = {(EndCause.STOPPED.value, COMPLETE): 1}
        if wait != "place":
            ends[EndCause.COMPLETED.value, COMPLETE] = 1
        await self.assert_ends_add_up(len(ends), ends)

    @parameterized.expand([("leader alone", False), ("both in turn", True)])
    async def test_request_that_waits_at_a_leader_that_stops(self, _name, both):
        """Guards against a request that is passed between two instances that end.

        It waits at the leader for an adapter, and came from the other instance.
        """
        await self.start_node(2)
        other = next(node for node in self.nodes if not node.fleet.lease.leads)
        leader = self.leader
        await until(lambda: other.is_ready and other.fleet.has_leader)
        for server in self.engines.values():
            server.load_s = 30.0
        fields = {names.DEADLINE_MS: "3500"}
        call = asyncio.create_task(self.call(other, "/draft/x", adapter="a9", **fields))
        planners = leader.fleet.duties.planners_by_service
        await until(lambda: planners["assist"].waiting_count)
        leader.settings.grace_s = other.settings.grace_s = 1.0
        stopping = [asyncio.create_task(leader.stop())]
        await until(lambda: any("event=lease_lost" in line for line in self.lines))
        if both:
            stopping.append(asyncio.create_task(other.stop()))
        status, body, _ = await call
        await asyncio.gather(*stopping)
        self.nodes = [node for node in self.nodes if node is other and not both]
        self.assertEqual(status, 503, body)
        self.assertEqual(json.loads(body)["error"]["ran"], "not run")
        self.assertEqual(self.runs("r1"), 0)

    async def test_store_that_is_silent_at_the_stop(self):
        """Guards against a stop that waits for the store while requests come in.

        A leader releases its lease first, and the grace period goes on meanwhile.
        """
        release, released = asyncio.Event(), []

        async def wait(_keeper, version):
            released.append(version)
            await release.wait()

        with patch.object(LeaseKeeper, "release", wait):
            stopping = asyncio.create_task(self.node.stop())
            await until(lambda: released)
            self.assertTrue(math.isfinite(self.node.forwarder.stop_period.deadline))
            self.node.forwarder.stop_period.deadline = boot_time() + 0.5
            status, body, _ = await self.call(self.node, "/order/x")
            self.assertEqual(status, 503, body)
            release.set()
            await stopping
        self.nodes.remove(self.node)

    async def test_request_whose_refusal_is_being_written(self):
        """Guards against a stop that an error ends halfway."""
        write, released = OpenRequest._write, asyncio.Event()
        writing = []

        async def write_later(request, response):
            writing.append(request)
            await released.wait()
            await write(request, response)

        owner = type(self.node.forwarder._places)
        with (
            patch.object(owner, "take", side_effect=KeyError("k")),
            patch.object(OpenRequest, "_write", write_later),
        ):
            call = asyncio.create_task(self.call(self.node, "/draft/x", adapter="a1"))
            await until(lambda: writing)
            self.node.forwarder.stop()
            released.set()
            self.assertEqual((await call)[0], 503)

    async def test_body_that_is_not_read_by_the_deadline(self):
        reader, writer = await self.connect(self.node)
        writer.write(self.head("/order/x") + b"bo")
        await until(lambda: self.node.forwarder.open_requests)
        stopping = await self.stop()
        response = RawResponse(await reader.read())
        await stopping
        self.assertEqual(response.status, 503, response.text)
        self.assertEqual(self.runs("raw1"), 0)

    async def test_begun_stream_at_the_deadline(self):
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 2
        call = asyncio.create_task(self.call(self.node, "/check/x", adapter="a1"))
        await until(lambda: self.engines["e1"].running + self.engines["e2"].running)
        await (await self.stop())
        with self.assertRaises(aiohttp.ClientPayloadError):
            await call
        self.nodes.append(self.node)
        cause = EndCause.STOPPED.value
        await self.assert_ends_add_up(1, {(cause, ResponseState.CUT.value): 1})

    async def test_log_of_a_stop(self):
        """Guards against requests of a stop that no line of the log names.

        A process that is killed writes nothing about the ends of its requests.
        """
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 2
        before = asyncio.create_task(self.call(self.node, "/check/x", adapter="a1"))
        await until(lambda: self.engines["e1"].running + self.engines["e2"].running)
        self.node.settings.grace_s = 2.0
        stopping = asyncio.create_task(self.node.stop())
        self.nodes.remove(self.node)
        await until(lambda: any("event=open_at_stop" in line for line in self.lines))
        status, body, _ = await self.call(
            self.node, "/order/x", request_id="taken", **{names.DEADLINE_MS: "1000"}
        )
        self.assertEqual(status, 200, body)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await before
        await stopping
        for pattern in (
            "event=open_at_stop request_ids=r1",
            "event=taken_in_stop request_id=taken route=order",
            "event=request_ended request_id=r1 end=stopped .* last_event=2 "
            "unsent_bytes=0 send_ended_ms=\\d+ last_event_ms=",
        ):
            self.assertTrue(
                any(re.search(pattern, line) for line in self.lines), pattern
            )

    async def begin_silent_stream(self):
        """Begin a stream whose engine sends nothing more, and no engine has room.

        Returns its node, the call and both engines.
        """
        node = await self.start_node(2)
        await until(lambda: node.is_ready and node.fleet.has_leader)
        await self.call(node, "/draft/x", adapter="a1")
        first = next(row for row in self.engines.values() if row.runs["r1"])
        second = self.engines["e2" if first.name == "e1" else "e1"]
        first.pause_after_events = 2
        second.shed_next = 1000
        call = asyncio.create_task(
            self.call(node, "/draft/x", adapter="a1", request_id="silent")
        )
        await until(lambda: first.runs["silent"])
        first.shed_next = 1000
        return node, call, (first, second)

    async def test_stream_without_a_server_at_the_deadline(self):
        """Guards against streams that leave their server in a stop and are lost.

        A sound engine sends nothing for a while. The stream is moved to another one,
        which then has no room; no server works on it when the process ends it.
        """
        node, call, _ = await self.begin_silent_stream()
        node.settings.grace_s = 3.5
        stopping = asyncio.create_task(node.stop())
        self.nodes.remove(node)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await call
        await stopping
        end = next(
            line
            for line in self.lines
            if "event=request_ended request_id=silent" in line
        )
        match = re.search(r" end=stopped .* send_ended_ms=(\d+)", end)
        self.assertIsNotNone(match, end)
        self.assertLess(int(match[1]), 100, "no server worked on the stream")

    async def test_stream_that_left_its_server_before_the_stop(self):
        """Guards against streams that are moved without room elsewhere, and then cut.

        A sound engine sends nothing for a while. The stream leaves it for another one,
        which rejects it. Then the process stops, and no server works on the stream.
        As its last server was sound, no rule excuses that the caller gets no answer.
        """
        node, call, engines = await self.begin_silent_stream()
        await asyncio.sleep(EVENT_GAP_TIMEOUT_S + 0.5)
        node.settings.grace_s = 1.0
        stopping = asyncio.create_task(node.stop())
        self.nodes.remove(node)
        period = node.forwarder.stop_period
        await until(lambda: boot_time() > period.deadline - 0.1)
        working = sum(engine.running for engine in engines)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await call
        await stopping
        self.assertEqual(working, 1, "no server worked on the stream")

    async def test_request_behind_an_announced_close(self):
        """Guards against requests that run although their caller was told of a close.

        The caller sends the second request before it has the first response, which
        says that the connection ends with it. It then expects no further response.
        """
        reader, writer = await self.connect(self.node)
        await self.call(self.node, "/order/x")
        for server in self.engines.values():
            server.processing_s = 0.2
        self.node.settings.grace_s = 2.0
        stopping = asyncio.create_task(self.node.stop())
        self.nodes.remove(self.node)
        await until(lambda: self.node.fleet.is_leaving)
        for request_id in ("first", "second"):
            fields = {names.REQUEST_ID: request_id, names.DEADLINE_MS: "1000"}
            writer.write(self.head("/order/x", Connection="", **fields) + b"body")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        await stopping
        self.assertEqual((self.runs("first"), self.runs("second")), (1, 0))

    async def test_caller_that_reads_slowly(self):
        """Guards against a process that ends with a whole response in its buffers.

        The server has ended its work, and the grace period goes on. Bytes that the
        process has not given to the connections are lost when it ends.
        """
        await self.call(self.node, "/order/x")
        listener = self.node._caller_site._server.sockets[0]
        # Connections get the size from their listener; it is small on a real network.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
        opened = []
        begin = RequestEnds.begin

        def record(ends, web_request, request_id):
            opened.append(web_request.transport)
            return begin(ends, web_request, request_id)

        self.node.settings.grace_s = 4.0
        loop = asyncio.get_running_loop()
        with (
            socket.socket() as caller,
            patch.object(RequestEnds, "begin", record),
            patch("sequoiafall.node.ACCEPTING_SHARE", 0.1),
        ):
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host, _, port = self.node.settings.front_address.rpartition(":")
            await loop.sock_connect(caller, (host, int(port)))
            body = b"b" * SLOW_RESPONSE_BYTES
            head = self.head("/order/x", len(body), **{names.REQUEST_ID: "slow"})
            await loop.sock_sendall(caller, head + body)
            await until(
                lambda: self.runs("slow") and not self.node.forwarder.open_requests
            )
            stopping = asyncio.create_task(self.node.stop())
            self.nodes.remove(self.node)

            async def end_process():
                await stopping
                if opened[-1].get_write_buffer_size():
                    opened[-1].abort()

            ending = asyncio.create_task(end_process())
            received = b""
            with contextlib.suppress(ConnectionError):
                while chunk := await loop.sock_recv(caller, 2048):
                    received += chunk
                    await asyncio.sleep(SLOW_READ_INTERVAL_S)
            await ending
        self.assertTrue(RawResponse(received).is_complete, len(received))

    async def test_requests_on_a_kept_connection(self):
        """Guards against requests that are read while the process closes."""
        reader, writer = await self.connect(self.node)
        fleet_stop = self.node.fleet.stop
        ends = []

        async def stop_slowly():
            await asyncio.sleep(0.1)
            await fleet_stop()

        async def call_until_closed():
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    writer.write(self.head("/order/x", Connection="") + b"body")
                    ends.append(await reader.readuntil(b"\r\n\r\n"))
                    length = ends[-1].partition(b"Content-Length: ")[2]
                    await reader.readexactly(int(length.partition(b"\r\n")[0]))
                    # The order of the ends of two processes is not known.
                    await asyncio.sleep(0.01)

        for server in self.engines.values():
            server.processing_s = 0.4
        # Requests are accepted until there is less than a second left.
        self.node.settings.grace_s = 2.5
        with (
            patch.object(self.node.fleet, "stop", stop_slowly),
            patch("sequoiafall.node.ACCEPTING_SHARE", 0.1),
        ):
            stopping = await self.stop()
            calling = asyncio.create_task(call_until_closed())
            await stopping
            await calling
        self.assertIn(b" 503 ", ends[-1])
        self.nodes.append(self.node)
        ends = self.node.metrics.ends_by_cause
        self.assertEqual(self.node.metrics.requests_read, ends.total())
        self.assertEqual({response for _, response in ends}, {COMPLETE}, ends)


class CallerHabitsTest(FinalResponseCase):
    """Unusual requests and connections, all with a final response."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = self.enterContext(capture_log())
        self.node, *_ = await self.start_fleet(1)

    async def send(self, data):
        reader, writer = await self.connect(self.node)
        writer.write(data)
        return RawResponse(await reader.read())

    @parameterized.expand(
        [
            ("event number without end", {names.LAST_EVENT: "inf"}),
            ("huge event number", {names.LAST_EVENT: "9" * 400}),
            ("event number that is none", {names.LAST_EVENT: "nan"}),
            ("negative event number", {names.LAST_EVENT: "-5"}),
            ("deadline without end", {names.DEADLINE_MS: "inf"}),
            ("huge deadline", {names.DEADLINE_MS: "1e300"}),
            ("deadline that is no number", {names.DEADLINE_MS: "nan"}),
            ("negative deadline", {names.DEADLINE_MS: "-1"}),
            ("many tokens", {names.TOKENS: "9" * 30 + ",1"}),
            ("more than many tokens", {names.TOKENS: "9" * 5000}),
            ("negative tokens", {names.TOKENS: "-1000,-20"}),
            ("many parts", {names.PROMPT_PARTS: ",".join(["p:1"] * 900)}),
            ("long adapter", {names.MODEL: "base/" + "a" * 8000}),
            ("no UTF-8", {"X-Note": "caf\udce9"}),
            ("no UTF-8 in the adapter", {names.MODEL: "base/a\udce9"}),
            ("no UTF-8 in the key", {"Authorization": "Bearer \udce9"}),
            ("no UTF-8 in the host", {"Host": "shop.example\udce9"}),
            ("tab", {"X-Note": "a\tb"}),
            ("encoding", {"Content-Encoding": "unknown"}),
            ("expectation", {"Expect": "100-continue"}),
            ("unknown expectation", {"Expect": "a miracle"}),
            ("upgrade", {"Connection": "Upgrade, close", "Upgrade": "h2c"}),
            (
                "upgrade to websocket",
                {"Connection": "Upgrade, close", "Upgrade": "websocket"},
            ),
        ]
    )
    async def test_headers(self, _name, headers):
        """Guards against values that raise an error where no branch expects one."""
        for path in ("/draft/x", "/order/x"):
            fields = {names.MODEL: "base/a1", names.TOKENS: "1000,20", **headers}
            if path == "/order/x" and names.MODEL not in headers:
                del fields[names.MODEL]
            async with asyncio.timeout(10.0):
                response = await self.send(self.head(path, **fields) + b"body")
            if response.status == 100:
                response = RawResponse(response.body)
            self.assertTrue(response.is_complete, response.text)
            # Servers get an event number that is none as it is, and may fail.
            allowed = (200, 400, 401, 404, 417, 502, 503)
            self.assertIn(response.status, allowed, response.text)
        internal = [line for line in self.lines if "internal_error" in line]
        self.assertEqual(internal, [])

    async def test_compressed_body(self):
        """Guards against a body that reaches its server in another encoding."""
        body = gzip.compress(b"text")
        fields = {"Content-Encoding": "gzip"}
        response = await self.send(self.head("/order/x", len(body), **fields) + body)
        self.assertEqual(response.status, 200, response.text)

    @parameterized.expand([("/order/x",), ("/draft/x",)])
    async def test_http_1_0(self, path):
        fields = {names.MODEL: "base/a1"} if path == "/draft/x" else {}
        fields["Connection"] = ""
        data = self.head(path, version="HTTP/1.0", **fields) + b"body"
        response = await self.send(data)
        self.assert_final(response.status, response.body)
        await self.assert_ends_add_up(1)

    async def test_pipelined_requests(self):
        """Each one gets its response, in order, also beside a change."""
        reader, writer = await self.connect(self.node)
        for path in ("/order/1", "/none/2", "/look/3"):
            writer.write(self.head(path, Connection="") + b"body")
        writer.write(self.head("/order/4") + b"body")
        received = await reader.read()
        statuses = re.findall(rb"HTTP/1.1 (\d+)", received)
        self.assertEqual(statuses, [b"200", b"404", b"200", b"200"], received)
        await self.assert_ends_add_up(4)

    async def test_slow_upload(self):
        """A body that comes byte by byte, over a deadline that passes meanwhile."""
        reader, writer = await self.connect(self.node)
        writer.write(self.head("/order/x", **{names.DEADLINE_MS: "100"}))
        for number in range(4):
            await asyncio.sleep(0.05)
            writer.write(b"body"[number : number + 1])
        response = RawResponse(await reader.read())
        self.assertEqual(response.status, 503, response.text)
        await self.assert_ends_add_up(1)

    async def test_body_over_the_limit(self):
        """The response comes before the body was read, and the rest is drained."""
        body = b"x" * 9_000_000
        response = await self.send(self.head("/order/x", len(body)) + body)
        self.assertEqual(response.status, 413, response.text[:200])
        await self.assert_ends_add_up(0, {})

    async def test_chunks_that_are_malformed(self):
        fields = {"Content-Length": "", "Transfer-Encoding": "chunked"}
        data = self.head("/order/x", **fields) + b"4\r\nbody\r\nzz\r\n"
        response = await self.send(data)
        self.assertTrue(response.is_complete, response.text)
        self.assertEqual(response.status, 400, response.text)
        await self.assert_ends_add_up(0, {})

    async def test_path_with_a_line_break(self):
        """Guards against an answer of the HTTP library instead of ours."""
        response = await self.send(self.head("/order/a%0Ab") + b"body")
        # The stand-in's own router does not find the path.
        self.assertEqual(response.status, 502, response.text)
        self.assertEqual(json.loads(response.body)["error"]["ran"], "unknown")
        cause = EndCause.SERVER_BROKE_OFF.value
        await self.assert_ends_add_up(1, {(cause, COMPLETE): 1})

    async def test_half_closed_connection(self):
        """A caller that ends its side counts as one that left."""
        reader, writer = await self.connect(self.node)
        for server in self.engines.values():
            server.processing_s = 0.3
        writer.write(self.head("/order/x", **{names.REQUEST_ID: "half"}) + b"body")
        await until(lambda: self.runs("half"))
        writer.write_eof()
        self.assertEqual(await reader.read(), b"")
        await self.assert_ends_add_up(1, {(EndCause.CALLER_LEFT.value, "none"): 1})

    @parameterized.expand(
        [("control character", "a\x01b"), ("no UTF-8", "a\udce9b"), ("tab", "a\tb")]
    )
    async def test_header_of_a_server(self, _name, value):
        """Guards against a response that is lost as its headers cannot be written."""
        received = f"HTTP/1.1 200 OK\r\nX-Note: {value}\r\n".encode(
            "utf-8", "surrogateescape"
        )

        async def respond(reader, writer):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = head.partition(f"{names.REQUEST_ID}: ")[2].partition("\r\n")[0]
            fields = {
                names.REQUEST_ID: request_id,
                names.SIGNATURE: "s.1",
                "Content-Length": "9",
            }
            lines = "".join(f"{key}: {text}\r\n" for key, text in fields.items())
            writer.write(received + lines.encode() + b"\r\ndone:body")
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        for name in ("d1", "d2"):
            self.announce(self.engines[name], address=address)
        await until(
            lambda: (
                self.node.fleet.registry.find("d2").address == address
                and self.node.fleet.registry.find("d1").address == address
            )
        )
        response = await self.send(self.head("/order/x") + b"body")
        self.assertTrue(response.is_complete, response.text)
        self.assertIn(response.status, (200, 502), response.text)

    @parameterized.expand([("127.0.0.1:99999",), ("",), ("a b",)])
    async def test_address_of_a_server_that_is_malformed(self, address):
        """Guards against lost requests, and leaders, beside a malformed address.

        The last readable entries of the servers count.
        """
        term = self.node.fleet.lease.token
        for name in ("d1", "d2", "e1"):
            self.announce(self.engines[name], address=address)
        await until(lambda: self.has_refused_entries("d1", "d2", "e1"))
        response = await self.send(self.head("/order/x") + b"body")
        self.assertTrue(response.is_complete, response.text)
        self.assertEqual(response.status, 200, response.text)
        status, body, _ = await self.call(self.node, "/draft/x", adapter="a1")
        self.assertEqual(status, 200, body)
        self.assertEqual(self.node.fleet.lease.token, term)

    @parameterized.expand([("127.0.0.1:99999",), ("",), ("a b",)])
    async def test_servers_with_malformed_addresses_alone(self, address):
        """Guards against lost requests, and leaders, without a usable server."""
        term = self.node.fleet.lease.token
        for name in ("d1", "d2"):
            self.store.remove(names.BACKEND_TABLE, name)
        await until(
            lambda: all(
                self.node.fleet.registry.find(name) is None for name in ("d1", "d2")
            )
        )
        for name in ("d1", "d2"):
            self.announce(self.engines[name], address=address)
        await until(lambda: self.has_refused_entries("d1", "d2"))
        response = await self.send(self.head("/order/x") + b"body")
        self.assertEqual(response.status, 503, response.text)
        self.assertEqual(json.loads(response.body)["error"]["ran"], "not run")
        status, body, _ = await self.call(self.node, "/draft/x", adapter="a1")
        self.assertEqual(status, 200, body)
        self.assertEqual(self.node.fleet.lease.token, term)

    def has_refused_entries(self, *servers):
        return all(
            any(f"entry_unreadable server={name}" in row for row in self.lines)
            for name in servers
        )


if __name__ == "__main__":
    unittest.main()
