"""Tests of answers with neither a length nor chunks; their connection ends them."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock

from aiohttp import web
from parameterized import parameterized

from sequoiafall.caller_stream import CallerStream
from sequoiafall.platform import names

from .events import EVENT_TIMEOUT_S, until
from .platform_case import KEY, PlatformCase

EVENTS = 5
WHOLE_STREAM = [f"id: {number}" for number in range(1, EVENTS + 1)]
VERSIONS = ("1.0", "1.1")


class RawCaller:
    """Caller that reads an answer from a plain connection."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)

    async def call(self, path, version, request_id="raw", **headers):
        """Return the head, the body and whether the answer was complete."""
        reader, writer = await asyncio.open_connection(self.host, self.port)
        sent = {
            "Host": "shop.example",
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: "4000",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "4",
            "Connection": "close",
            **headers,
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
        writer.write(f"POST {path} HTTP/{version}\r\n{lines}\r\nbody".encode())
        received, is_reset = b"", False
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                while data := await reader.read(65536):
                    received += data
        except ConnectionResetError:
            is_reset = True
        writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        if b"chunked" in head.lower():
            return head, body, body.endswith(b"0\r\n\r\n") and not is_reset
        return head, body, not is_reset


class UnframedCase(PlatformCase):
    """A fleet whose servers end their answers with the connection."""

    async def start(self):
        nodes = await self.start_fleet(2)
        for engine in self.engines.values():
            engine.ends_with_connection = True
        await self.call(nodes[0], "/draft/x", adapter="a0")
        await until(lambda: all(len(node.fleet.registry) == 4 for node in nodes))
        self.node = nodes[0]
        return RawCaller(self.node.settings.front_address)

    def event_ids(self, body):
        lines = body.decode().splitlines()
        return [line for line in lines if line.startswith("id: ")]


class StreamTest(UnframedCase):
    """A stream that ends inside an event has been broken off."""

    stream_headers = {names.MODEL: "base/a0", names.TOKENS: "1000,20"}

    @parameterized.expand(
        [(path, row) for path in ("draft", "check") for row in VERSIONS]
    )
    async def test_whole(self, path, version):
        caller = await self.start()
        head, body, is_complete = await caller.call(
            f"/{path}/x", version, **self.stream_headers
        )
        self.assertIn(b" 200 ", head.splitlines()[0])
        self.assertEqual(self.event_ids(body), WHOLE_STREAM)
        self.assertTrue(is_complete)

    @parameterized.expand([(reset, row) for reset in (True, False) for row in VERSIONS])
    async def test_cut_inside_an_event_and_resumed(self, with_reset, version):
        caller = await self.start()
        for engine in self.engines.values():
            engine.cuts_with_reset = with_reset
        holder = next(row for row in self.engines.values() if "a0" in row.resident)
        holder.cut_after_events = 2
        _, body, is_complete = await caller.call(
            "/draft/x", version, **self.stream_headers
        )
        self.assertEqual(self.event_ids(body), WHOLE_STREAM)
        self.assertTrue(is_complete)
        self.assertEqual(self.runs("raw"), 2)

    @parameterized.expand([(reset, row) for reset in (True, False) for row in VERSIONS])
    async def test_cut_inside_an_event_and_not_repeated(self, with_reset, version):
        """The caller must see that the stream is incomplete."""
        caller = await self.start()
        for engine in self.engines.values():
            engine.cuts_with_reset = with_reset
        holder = next(row for row in self.engines.values() if "a0" in row.resident)
        holder.cut_after_events = 2
        _, body, is_complete = await caller.call(
            "/check/x", version, **self.stream_headers
        )
        self.assertEqual(self.event_ids(body), WHOLE_STREAM[:2])
        self.assertFalse(is_complete)
        self.assertEqual(self.runs("raw"), 1)


class PlainTest(UnframedCase):
    """A plain answer is complete if its connection ends regularly."""

    @parameterized.expand(
        [(path, row) for path in ("order", "look") for row in VERSIONS]
    )
    async def test_whole(self, path, version):
        caller = await self.start()
        head, body, is_complete = await caller.call(f"/{path}/x", version)
        self.assertIn(b" 200 ", head.splitlines()[0])
        self.assertIn(b"done:body", body)
        self.assertTrue(is_complete)

    @parameterized.expand(
        [
            ("order", "1.0", b" 502 ", 1),
            ("order", "1.1", b" 502 ", 1),
            ("look", "1.0", b" 200 ", 2),
            ("look", "1.1", b" 200 ", 2),
        ]
    )
    async def test_reset(self, path, version, status, runs):
        caller = await self.start()
        desks = [self.engines[name] for name in ("d1", "d2")]
        for engine in desks:
            engine.cut_after_events = 0
        if path == "look":
            # Only the first server breaks off, whichever it is.
            desks[1].cut_after_events = -1
            desks[1].fail_next = 0
        head, body, _ = await caller.call(f"/{path}/x", version)
        if path == "order":
            self.assertIn(status, head.splitlines()[0])
            self.assertIn(b"unknown", body)
            self.assertEqual(self.runs("raw"), runs)
            return
        self.assertIn(status, head.splitlines()[0])
        self.assertIn(b"done:body", body)
        self.assertLessEqual(self.runs("raw"), runs)


class GatewayStreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an aborted stream of the gateway that looks complete."""

    @parameterized.expand([(version,) for version in VERSIONS])
    async def test_abort(self, version):
        async def handle(request):
            call = SimpleNamespace(wait_writable=AsyncMock())
            stream = CallerStream(request, call)
            await stream.start(200, {"Content-Type": "text/event-stream"})
            await stream.write(b"id: 1\n\n")
            stream.abort()
            return stream.response

        application = web.Application()
        application.router.add_post("/x", handle)
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        _, _, is_complete = await RawCaller(f"{host}:{port}").call("/x", version)
        self.assertFalse(is_complete)
