"""Tests of sending, releasing and timing out requests to backend servers."""

import asyncio
import contextlib
import unittest
from unittest import mock

import aiohttp
from parameterized import parameterized

from sequoiafall.engine_client import (
    BrokenResponseError,
    EngineClient,
    NotSentError,
    SingleSendClient,
)

METHODS = [(method,) for method in ("GET", "PUT", "DELETE", "HEAD", "POST")]


class ClosingServer:
    """Reads each request and closes the connection without a response.

    The first `answered` requests get a response, and their connections stay open.
    """

    def __init__(self):
        self.requests = 0
        self.connections = 0

    async def start(self, answered=0):
        """Listen on a free port; return the listener and a URL."""
        self.answered = answered
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        return server, f"http://127.0.0.1:{port}/x"

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                if self.requests > self.answered:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except asyncio.IncompleteReadError:
            pass
        writer.close()


class SendTest(unittest.IsolatedAsyncioTestCase):
    """A retry by the client library would run a non-idempotent call twice."""

    async def start(self, answered=0):
        self.server = ClosingServer()
        listener, url = await self.server.start(answered)
        self.addCleanup(listener.close)
        return url

    async def send(self, client, url, method="GET", check=lambda: None):
        async with client.request(method, url, {}, b"", check) as response:
            return response.status

    @parameterized.expand(METHODS)
    async def test_own_connection_sends_once(self, method):
        url = await self.start()
        client = SingleSendClient()
        with self.assertRaises(BrokenResponseError):
            await self.send(client, url, method)
        self.assertEqual((self.server.requests, client.sent), (1, True))

    async def test_library_alone_would_send_twice(self):
        # Proves that the server of these tests provokes the library's retry.
        url = await self.start()
        async with aiohttp.ClientSession() as session:
            with self.assertRaises(aiohttp.ClientError):
                await session.get(url)
        self.assertEqual(self.server.requests, 2)

    async def test_a_connection_per_call(self):
        url = await self.start(answered=2)
        for _ in range(2):
            self.assertEqual(await self.send(SingleSendClient(), url), 200)
        self.assertEqual(self.server.connections, 2)

    @parameterized.expand([("own", SingleSendClient), ("shared", EngineClient)])
    async def test_check_before_the_send(self, _name, client_type):
        def check():
            raise LookupError

        url = await self.start()
        client = client_type()
        with self.assertRaises(LookupError):
            await self.send(client, url, check=check)
        self.assertEqual(self.server.requests, 0)
        if isinstance(client, EngineClient):
            await client.close()
        else:
            self.assertFalse(client.sent)

    async def test_unread_answer_is_not_buffered(self):
        """A slow caller must not make the gateway buffer a whole response."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(4_000_000))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = SingleSendClient()
        url = f"http://127.0.0.1:{port}/"
        async with client.request("GET", url, {}, b"", lambda: None) as response:
            sizes = []
            for _ in range(20):
                await asyncio.sleep(0.01)
                sizes.append(len(await response.read_chunk()))
        self.assertLessEqual(max(sizes), 32 * 1024)

    async def test_unreachable_server_is_not_sent_to(self):
        listener, url = await ClosingServer().start()
        listener.close()
        client = SingleSendClient()
        with self.assertRaises(NotSentError):
            await self.send(client, url)
        self.assertFalse(client.sent)


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """A connection is reused only after the end of its last response."""

    async def asyncSetUp(self):
        self.connections = 0
        self.may_end = asyncio.Event()
        self.closed = asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        self.client = EngineClient()
        self.addAsyncCleanup(self.client.close)

    async def serve(self, reader, writer):
        self.connections += 1
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
        ):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head + b"4\r\ndone\r\n")
                ending = asyncio.create_task(self.may_end.wait())
                leaving = asyncio.create_task(reader.read(1))
                await asyncio.wait([ending, leaving], return_when="FIRST_COMPLETED")
                if leaving.done():
                    break
                leaving.cancel()
                await asyncio.wait([leaving])
                writer.write(b"0\r\n\r\n")
        self.closed.set()
        writer.close()

    async def receive(self, is_complete):
        """Receive the part of a response before its end, and release the response."""
        response = await self.client.open("GET", self.url, {}, b"", lambda: None)
        self.assertEqual(await response.read_chunk(), b"done")
        response.release(is_complete)
        self.addCleanup(response._response.close)
        return response

    async def test_used_again_after_the_end(self):
        response = await self.receive(is_complete=True)
        self.may_end.set()
        await asyncio.wait_for(response._response.content.wait_eof(), 20.0)
        await self.receive(is_complete=True)
        self.assertEqual(self.connections, 1)

    async def test_another_is_used_before_the_end(self):
        await self.receive(is_complete=True)
        await self.receive(is_complete=True)
        self.assertEqual(self.connections, 2)

    @mock.patch("sequoiafall.engine_client.END_TIMEOUT_S", 0.01)
    async def test_closed_without_an_end(self):
        await self.receive(is_complete=True)
        await asyncio.wait_for(self.closed.wait(), 20.0)

    async def test_closed_at_once_if_the_answer_is_not_complete(self):
        await self.receive(is_complete=False)
        await asyncio.wait_for(self.closed.wait(), 20.0)


class IdleTest(unittest.IsolatedAsyncioTestCase):
    """A call must end if its backend server stops sending."""

    @parameterized.expand(
        [
            ("no_headers", EngineClient, b""),
            ("no_body", EngineClient, b"HTTP/1.1 200 OK\r\n\r\n"),
            ("part_of_the_body", EngineClient, b"HTTP/1.1 200 OK\r\n\r\nx"),
            ("own_no_headers", SingleSendClient, b""),
            ("own_no_body", SingleSendClient, b"HTTP/1.1 200 OK\r\n\r\n"),
        ]
    )
    @mock.patch("sequoiafall.engine_client.IDLE_CHECK_INTERVAL_S", 0.01)
    @mock.patch("sequoiafall.engine_client.STREAM_IDLE_TIMEOUT_S", 0.05)
    async def test_call_ends(self, _name, client_type, sent):
        closed = asyncio.Event()

        async def serve(reader, writer):
            # On a busy machine the call may end before its request has been written.
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(sent)
                await reader.read(1)
            closed.set()
            writer.close()

        async def read(url):
            async with client.request("GET", url, {}, b"", lambda: None) as response:
                while await response.read_chunk():
                    pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = client_type()
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(BrokenResponseError):
            await asyncio.wait_for(read(f"http://127.0.0.1:{port}/"), 20.0)
        await asyncio.wait_for(closed.wait(), 20.0)
        if isinstance(client, EngineClient):
            await client.close()

    @mock.patch("sequoiafall.engine_client.IDLE_CHECK_INTERVAL_S", 0.01)
    async def test_reader_that_does_not_wait_is_not_ended(self):
        """A pause of the reader must not count as a pause of the engine.

        The short timeout begins with the response: it limits the wait for its head as
        well, which takes longer on a busy machine.
        """

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.06)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = EngineClient()
        self.addAsyncCleanup(client.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        async with client.request("GET", url, {}, b"", lambda: None) as response:
            with mock.patch("sequoiafall.engine_client.STREAM_IDLE_TIMEOUT_S", 0.05):
                # Six times the idle timeout; the response must stay open.
                await asyncio.sleep(0.3)
            self.assertEqual(await response.read_up_to(2), b"ab")
            self.assertIsNone(response.waiting_since)
