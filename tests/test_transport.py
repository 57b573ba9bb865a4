"""Tests of calls between processes, and of their framing and authentication."""

import asyncio
import gc
import os
import random
import unittest
import warnings
import zlib

from parameterized import parameterized
from returns.result import Success

from sequoiafall import channel as frames
from sequoiafall import transport
from sequoiafall.transport import Delivery, MessageKind, WireClient, WireServer
from sequoiafall.wire.gen.ttypes import (
    Ack,
    FetchState,
    Heartbeat,
    HeartbeatReply,
    LoanRequest,
    NotifyHead,
    PlaceUpdate,
    StateReply,
)

SECRET = b"a secret of the test"
CALL_TIMEOUT_S = 5.0


class WireTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a server and a client."""

    async def asyncSetUp(self):
        self.entered = asyncio.Event()
        self.release = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.server = await self.start_server()
        self.client = self.make_client()

    async def start_server(self, port=0):
        handlers = {
            MessageKind.HEARTBEAT: self.on_heartbeat,
            MessageKind.FETCH_STATE: self.on_fetch_state,
            MessageKind.PLACE_UPDATE: self.on_place_update,
            MessageKind.NOTIFY_HEAD: self.on_notify_head,
            MessageKind.LOAN_REQUEST: self.on_loan_request,
        }
        server = WireServer("127.0.0.1", port, SECRET, handlers)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    def make_client(self, secret=SECRET):
        client = WireClient(f"127.0.0.1:{self.server.port}", secret)
        self.addAsyncCleanup(client.close)
        return client

    async def on_heartbeat(self, request, peer):
        return HeartbeatReply(request.instance, request.incarnation, 7, True)

    async def on_fetch_state(self, request, peer):
        self.entered.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return StateReply(confirms=True)

    async def on_place_update(self, request, peer):
        raise RuntimeError("fault in a handler")

    def on_notify_head(self, request, peer):
        return Ack(7, True, "")

    def on_loan_request(self, request, peer):
        raise RuntimeError("fault in a handler")

    async def assert_serves(self, client=None):
        result = await (client or self.client).call(Heartbeat("a", 3), CALL_TIMEOUT_S)
        self.assertEqual(result.unwrap(), HeartbeatReply("a", 3, 7, True))


class CallTest(WireTest):
    """Concurrent calls on one connection, and the errors of calls that fail."""

    async def test_reply_overtakes_a_held_one(self):
        held = asyncio.create_task(self.client.call(FetchState(0), CALL_TIMEOUT_S))
        await self.entered.wait()
        await self.assert_serves()
        self.release.set()
        self.assertEqual((await held).unwrap(), StateReply(confirms=True))

    async def test_lost_connection_fails_waiting_calls_at_once(self):
        held = asyncio.create_task(self.client.call(FetchState(0), 600.0))
        await self.entered.wait()
        await self.server.stop()
        self.assertEqual((await held).failure().delivery, Delivery.UNKNOWN)

    async def test_connection_closed_before_its_replies_are_read(self):
        """The caller of such a call waited until its timeout."""
        connection = (await self.client._connect()).unwrap()
        payload = transport.encode_struct(FetchState())
        call = asyncio.create_task(connection.call(MessageKind.FETCH_STATE, payload))
        closing = asyncio.create_task(connection.close())
        # The first step of the call sends it, and comes before that of the reader.
        connection._task.cancel()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await closing
            failure = (await call).failure()
        self.assertIn(failure.delivery, (Delivery.UNKNOWN, Delivery.NOT_SENT))
        self.assertTrue(connection.lost)

    async def test_refused_connection_is_not_sent(self):
        await self.server.stop()
        result = await self.client.call(Heartbeat("a", 3), CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.NOT_SENT)

    async def test_timeout_is_unknown_and_cancels_the_handler(self):
        result = await self.client.call(FetchState(0), 0.05)
        self.assertEqual(result.failure().delivery, Delivery.UNKNOWN)
        await self.cancelled.wait()
        await self.assert_serves()

    async def test_call_that_is_cancelled_at_once_leaves_nothing(self):
        """Guards against a warning about a coroutine that was never awaited."""
        await self.assert_serves()
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            # Both frames reach the server in one segment, before the handler starts.
            channel = self.client._connection._channel
            payload = transport.encode_struct(FetchState(0))
            channel.send(MessageKind.FETCH_STATE, 99, payload)
            channel.send(transport.CANCEL, 99, b"")
            await self.assert_serves()
            await self.server.stop()
            gc.collect()
        self.assertFalse(self.entered.is_set())
        self.assertEqual([str(row.message) for row in caught], [])

    async def test_reconnects_after_the_server_restarted(self):
        await self.assert_serves()
        await self.server.stop()
        await self.start_server(self.server.port)
        while True:
            result = await self.client.call(Heartbeat("a", 3), CALL_TIMEOUT_S)
            if isinstance(result, Success):
                break
        await self.assert_serves()

    async def test_failing_handler_leaves_the_connection(self):
        result = await self.client.call(PlaceUpdate("g", "p", []), CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.UNKNOWN)
        await self.assert_serves()

    async def test_handler_without_task(self):
        """Guards against awaiting the reply of a handler that is not ``async``."""
        result = await self.client.call(NotifyHead(), CALL_TIMEOUT_S)
        self.assertEqual(result.unwrap(), Ack(7, True, ""))
        result = await self.client.call(LoanRequest("p", "q", 1), CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.UNKNOWN)
        await self.assert_serves()

    async def post(self, request, timeout_s):
        """Post a request and wait for its result."""
        posted = asyncio.get_running_loop().create_future()
        self.assertTrue(self.client.post(request, timeout_s, posted.set_result))
        return await asyncio.wait_for(posted, CALL_TIMEOUT_S)

    async def test_post(self):
        """Guards against results that are lost or arrive without a connection."""
        self.assertFalse(self.client.post(Heartbeat("a", 3), 1.0, self.fail))
        await self.assert_serves()
        result = await self.post(Heartbeat("a", 3), CALL_TIMEOUT_S)
        self.assertEqual(result.unwrap(), HeartbeatReply("a", 3, 7, True))

    async def test_post_times_out(self):
        await self.assert_serves()
        result = await self.post(FetchState(0), 0.05)
        self.assertEqual(result.failure().delivery, Delivery.UNKNOWN)
        await self.cancelled.wait()
        await self.assert_serves()

    async def test_post_on_lost_connection(self):
        await self.assert_serves()
        posted = asyncio.create_task(self.post(FetchState(0), 600.0))
        await self.entered.wait()
        await self.server.stop()
        self.assertEqual((await posted).failure().delivery, Delivery.UNKNOWN)

    async def test_kind_without_handler_is_not_sent(self):
        request = transport.ttypes.StatusRequest("x")
        result = await self.client.call(request, CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.NOT_SENT)

    async def test_too_long_request_is_not_sent(self):
        noise = random.Random(3).randbytes(frames.MAX_FRAME_BYTES).hex()
        request = Heartbeat(noise * 2)
        result = await self.client.call(request, CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.NOT_SENT)
        await self.assert_serves()

    async def test_long_request_is_compressed(self):
        name = "row" * frames.MAX_FRAME_BYTES
        result = await self.client.call(Heartbeat(name, 3), CALL_TIMEOUT_S)
        self.assertEqual(result.unwrap().instance, name)

    async def test_wrong_secret_is_refused(self):
        result = await self.make_client(b"another secret").call(
            Heartbeat("a", 3), CALL_TIMEOUT_S
        )
        self.assertEqual(result.failure().delivery, Delivery.NOT_SENT)
        await self.assert_serves()


class MalformedInputTest(WireTest):
    """Malformed input closes its own connection and affects no other."""

    async def open_raw(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def assert_closed(self, reader):
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass

    async def test_random_bytes_instead_of_a_challenge(self):
        await self.assert_serves()
        generator = random.Random(5)
        for _ in range(20):
            reader, writer = await self.open_raw()
            writer.write(generator.randbytes(200))
            await self.assert_closed(reader)
        await self.assert_serves()

    @parameterized.expand(
        [
            ("too_long", lambda frame: b"\xff\xff\xff\xff" + frame[4:]),
            ("too_short", lambda frame: b"\x00\x00\x00\x01" + frame[4:]),
            ("tag", lambda frame: frame[:-1] + bytes([frame[-1] ^ 1])),
            ("payload", lambda frame: frame[:20] + b"\x00" + frame[21:]),
            ("version", lambda frame: frame[:4] + b"\x02" + frame[5:]),
        ]
    )
    async def test_changed_frame(self, _name, change):
        await self.assert_serves()
        reader, writer = await self.open_raw()
        recorder = _Recorder(writer)
        channel = await frames.open_channel(reader, recorder, SECRET)
        payload = frames.encode_struct(Heartbeat("a" * 40, 3))
        recorder.frames.clear()
        recorder.forwards = False
        channel.send(MessageKind.HEARTBEAT, 1, payload)
        writer.write(change(recorder.frames[0]))
        await self.assert_closed(reader)
        await self.assert_serves()

    async def test_replayed_frame(self):
        reader, writer = await self.open_raw()
        recorder = _Recorder(writer)
        channel = await frames.open_channel(reader, recorder, SECRET)
        recorder.frames.clear()
        payload = frames.encode_struct(Heartbeat("a", 3))
        channel.send(MessageKind.HEARTBEAT, 1, payload)
        await channel.receive()
        writer.write(recorder.frames[0])
        await self.assert_closed(reader)

    @parameterized.expand(
        [
            ("unknown_kind", 0x3F, b"\x00"),
            ("reply_as_request", MessageKind.HEARTBEAT | transport.REPLY, b"\x00"),
            ("not_a_struct", MessageKind.HEARTBEAT, b"\x18\xff\xff\xff\xff\x07abc"),
            ("bytes_after_struct", MessageKind.HEARTBEAT, b"\x00\x00"),
            ("not_compressed", MessageKind.HEARTBEAT | frames.COMPRESSED, b"abc"),
            (
                "compressed_bomb",
                MessageKind.HEARTBEAT | frames.COMPRESSED,
                zlib.compress(bytes(2 * frames.MAX_PAYLOAD_BYTES)),
            ),
            ("long_list", MessageKind.PLACE_UPDATE, b"\x39\xfc\xff\xff\xff\xff\x07"),
        ]
    )
    async def test_authenticated_malformed_message(self, _name, kind, payload):
        await self.assert_serves()
        reader, writer = await self.open_raw()
        channel = await frames.open_channel(reader, writer, SECRET)
        channel.send(kind, 1, payload)
        await self.assert_closed(reader)
        await self.assert_serves()

    async def test_server_without_the_secret_gets_no_request(self):
        received = bytearray()

        async def impostor(reader, writer):
            received.extend(await reader.readexactly(frames._HELLO_BYTES))
            writer.write(frames._encode_hello(os.urandom(16)) + bytes(16))
            received.extend(await reader.read())
            writer.close()

        server = await asyncio.start_server(impostor, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = WireClient(f"127.0.0.1:{port}", SECRET)
        result = await client.call(Heartbeat("a", 3), CALL_TIMEOUT_S)
        self.assertEqual(result.failure().delivery, Delivery.NOT_SENT)
        self.assertEqual(len(received), frames._HELLO_BYTES)


class _Recorder:
    """A stream writer that records what is written."""

    def __init__(self, writer):
        self._writer = writer
        self.frames = []
        self.forwards = True

    def __getattr__(self, name):
        return getattr(self._writer, name)

    def write(self, data):
        self.frames.append(data)
        if self.forwards:
            self._writer.write(data)


class EncodingTest(unittest.TestCase):
    """Every message type is decoded as it was encoded."""

    @parameterized.expand([(kind.name, kind) for kind in MessageKind])
    def test_empty_struct_round_trip(self, _name, kind):
        for struct_type in transport._TYPES_BY_KIND[kind]:
            payload = frames.encode_struct(struct_type())
            self.assertEqual(frames.decode_struct(struct_type, payload), struct_type())

    def test_ack_round_trip(self):
        ack = Ack(2**40, True, "ā")
        self.assertEqual(frames.decode_struct(Ack, frames.encode_struct(ack)), ack)
