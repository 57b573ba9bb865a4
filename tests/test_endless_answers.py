"""Tests of faulty servers that send endless bytes instead of a response."""

import asyncio
import contextlib
import tracemalloc
import unittest
from unittest.mock import patch

import aiohttp
from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.engine_client import (
    MAX_FRAMING_BYTES,
    BrokenResponseError,
    EngineClient,
    SingleSendClient,
)
from sequoiafall.platform import names
from sequoiafall.platform.engines import MAX_RESPONSE_BYTES, PlatformEngines

from .events import until
from .platform_case import PlatformCase

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 16 * 1024
# Bytes that may be in transit in both socket buffers when the receiver closes.
IN_FLIGHT_BYTES = 8 * 1024 * 1024
# Memory that one such response may take in addition to the body limit.
MEMORY_BYTES = 4 * 1024 * 1024
READ_LIMIT_BYTES = 1024 * 1024

# Name, first bytes, and bytes repeated until the receiver closes.
SHAPES = [
    ("status line", b"HTTP/1.1 200 ", b"x" * BLOCK),
    ("no answer at all", b"", b"\x00\xff" * (BLOCK // 2)),
    ("header line", HEAD + b"X-A: ", b"y" * BLOCK),
    ("header lines", HEAD, b"X-A: b\r\n" * (BLOCK // 8)),
    ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25)),
    ("body without length", HEAD + b"\r\n", b"z" * BLOCK),
    (
        "body of a huge length",
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        b"z" * BLOCK,
    ),
    ("chunks", CHUNKED, b"4000\r\n" + b"z" * BLOCK + b"\r\n"),
    ("chunk size", CHUNKED, b"0" * BLOCK),
    ("chunk extension", CHUNKED + b"5;", b"e" * BLOCK),
    ("chunk extensions", CHUNKED, (b"1;" + b"e" * 500 + b"\r\nz\r\n") * 32),
    ("trailers", CHUNKED + b"0\r\n", b"X-A: b\r\n" * (BLOCK // 8)),
    ("trailer", CHUNKED + b"0\r\nX-A: ", b"y" * BLOCK),
]


class EndlessServer:
    """Responds to each request with an endless sequence of bytes.

    Attributes
    ----------
    sent : int
        Number of bytes sent to all clients.
    closed : asyncio.Event
        Set when a client has closed its connection.
    """

    def __init__(self, first, repeated):
        self.first = first
        self.may_repeat = asyncio.Event()
        self.may_repeat.set()
        self.repeated = repeated
        self.sent = 0
        self.closed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            await self.may_repeat.wait()
            while True:
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server and checks the memory and bytes that its response took."""

    async def start(self, first, repeated):
        self.server = EndlessServer(first, repeated)
        listener, address = await self.server.start()
        self.addCleanup(listener.close)
        return address

    async def check(self, call, limit_bytes):
        tracemalloc.start()
        try:
            result = await asyncio.wait_for(call, 20.0)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, limit_bytes + MEMORY_BYTES)
        await asyncio.wait_for(self.server.closed.wait(), 20.0)
        self.assertLess(self.server.sent, limit_bytes + IN_FLIGHT_BYTES)
        return result


class ClientTest(EndlessCase):
    """Requests on keep-alive connections and on connections of their own."""

    @parameterized.expand(
        [
            (f"{kind} {name}", client_type, first, repeated)
            for name, first, repeated in SHAPES
            for kind, client_type in (("own", SingleSendClient), ("kept", EngineClient))
        ]
    )
    async def test_is_given_up(self, _name, client_type, first, repeated):
        url = f"http://{await self.start(first, repeated)}/"
        client = client_type()

        async def call():
            try:
                async with client.request(
                    "GET", url, {}, b"", lambda: None
                ) as response:
                    return await response.read_up_to(READ_LIMIT_BYTES)
            except BrokenResponseError:
                return None

        self.assertIsNone(await self.check(call(), READ_LIMIT_BYTES))
        if isinstance(client, EngineClient):
            await client.close()

    async def test_idle_connection(self):
        """Bytes that arrive between two responses must not be buffered."""
        address = await self.start(HEAD + b"Content-Length: 2\r\n\r\nab", b"z" * BLOCK)
        self.server.may_repeat.clear()
        client = EngineClient()
        self.addAsyncCleanup(client.close)

        async def call():
            async with client.request(
                "GET", f"http://{address}/", {}, b"", lambda: None
            ) as response:
                self.assertEqual(await response.read_up_to(2), b"ab")
            self.server.may_repeat.set()
            await self.server.closed.wait()

        await self.check(call(), MAX_FRAMING_BYTES)

    async def test_events_with_small_frames_are_an_answer(self):
        """The limit on bytes outside the body must not end valid streams."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CHUNKED + b"6\r\nid: 1\n\r\n" * 60_000 + b"0\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        async with SingleSendClient().request(
            "GET", url, {}, b"", lambda: None
        ) as response:
            body = await response.read_up_to(READ_LIMIT_BYTES)
        self.assertEqual(len(body), 360_000)


class EngineControlTest(EndlessCase):
    """Fetching reports from the engines of the platform."""

    @parameterized.expand(SHAPES)
    async def test_report(self, _name, first, repeated):
        address = await self.start(first, repeated)
        engines = PlatformEngines()
        self.addAsyncCleanup(engines.close)
        entry = BackendEntry("e1", "assist", address, "a", 64, False)
        report = await self.check(engines.report(entry), MAX_RESPONSE_BYTES)
        self.assertIsNone(report)


class NodeTest(PlatformCase):
    """The caller gets an accurate error, and other callers are served meanwhile."""

    @parameterized.expand(
        [
            ("head", HEAD + b"X-A: ", b"y" * BLOCK),
            ("body", b"", b"z" * BLOCK),
            ("chunk extension", b"", b"e" * BLOCK),
        ]
    )
    async def test_plain_call(self, name, first, repeated):
        node, _ = await self.start_fleet()
        signed = (
            HEAD + f"{names.REQUEST_ID}: endless\r\n{names.SIGNATURE}: s\r\n".encode()
        )
        if name == "body":
            first = signed + b"\r\n"
        elif name == "chunk extension":
            first = signed + b"Transfer-Encoding: chunked\r\n\r\n5;"
        server = EndlessServer(first, repeated)
        listener, address = await server.start()
        self.addCleanup(listener.close)
        for backend in ("d1", "d2"):
            self.announce(self.engines[backend], address=address)
        registry = node.fleet.registry
        await until(
            lambda: (
                {row.address for row in registry.active_servers("desk")} == {address}
            )
        )
        calls = [self.call(node, "/order/x", request_id="endless")]
        calls += [self.call(node, "/draft/x", adapter=f"a{n}") for n in range(3)]
        endless, *others = await asyncio.gather(*calls)
        self.assertEqual(endless[0], 502)
        self.assertIn(b"unknown", endless[1])
        self.assertEqual({status for status, *_ in others}, {200})
        await asyncio.wait_for(server.closed.wait(), 20.0)


class StrayAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A late duplicate of a response arrives on a keep-alive connection."""

    async def start(self):
        """Respond twice to requests for ``/first``, the second time late."""
        self.requests = []
        self.may_repeat = asyncio.Event()

        async def serve(reader, writer):
            try:
                while head := await reader.readuntil(b"\r\n\r\n"):
                    path = head.split()[1]
                    self.requests.append(path)
                    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                    writer.write(response % (len(path), path))
                    if path == b"/first":
                        await self.may_repeat.wait()
                        writer.write(response % (len(path), path))
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_next_caller_gets_its_own_answer(self):
        address = await self.start()
        client = EngineClient()
        self.addAsyncCleanup(client.close)

        async def get(path):
            async with client.request(
                "GET", f"http://{address}{path}", {}, b"", lambda: None
            ) as response:
                return await response.read_up_to(100)

        self.assertEqual(await get("/first"), b"/first")
        (protocols,) = client._session.connector._conns.values()
        protocol = protocols[0][0]
        self.may_repeat.set()
        # The client library alone would buffer the duplicate for the next request.
        await until(lambda: protocol._buffer or not protocol.is_connected())
        self.assertEqual(await get("/next"), b"/next")
        self.assertEqual(self.requests, [b"/first", b"/next"])

    async def test_reports(self):
        """A report must not be replaced by a duplicate of an older one."""
        address = await self.start()
        self.enterContext(patch.object(names, "REPORT_PATH", "/first"))
        engines = PlatformEngines()
        self.addAsyncCleanup(engines.close)
        entry = BackendEntry("e1", "assist", address, "a", 64, False)
        await engines.report(entry)
        (protocols,) = engines._session.connector._conns.values()
        protocol = protocols[0][0]
        self.may_repeat.set()
        await until(lambda: protocol._buffer or not protocol.is_connected())
        self.assertFalse(protocol.is_connected())

    async def test_reports_share_a_connection(self):
        """Opening a connection per report would be a permanent cost at every engine."""
        connections = 0

        async def serve(reader, writer):
            nonlocal connections
            connections += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(HEAD + b"Content-Length: 14\r\n\r\n")
                    await writer.drain()
                    writer.write(b'{"sequence":1}')
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        engines = PlatformEngines()
        self.addAsyncCleanup(engines.close)
        entry = BackendEntry("e1", "assist", address, "a", 64, False)
        for _ in range(5):
            self.assertIsNotNone(await engines.report(entry))
        self.assertEqual(connections, 1)

    async def test_library_alone_would_mix_them_up(self):
        # Proves that the server of these tests provokes the fault.
        address = await self.start()
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{address}/first") as response:
                self.assertEqual(await response.read(), b"/first")
            (protocols,) = session.connector._conns.values()
            self.may_repeat.set()
            await until(lambda: protocols[0][0]._buffer)
            async with session.get(f"http://{address}/next") as response:
                self.assertEqual(await response.read(), b"/first")
