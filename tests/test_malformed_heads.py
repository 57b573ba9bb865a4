"""Tests of answers whose status line or fields are not HTTP/1.1."""

import asyncio
import contextlib
import time
import unittest
from unittest.mock import patch

from aiohttp.http_parser import HttpResponseParserPy
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall import engine_client, operator_session, store_results
from sequoiafall.backend_registry import BackendEntry
from sequoiafall.engine_client import (
    BrokenResponseError,
    EngineClient,
    SingleSendClient,
)
from sequoiafall.operator_session import ControllerClient
from sequoiafall.order_client import OrderClient, PoolOrderOutcome
from sequoiafall.platform import names
from sequoiafall.platform.engines import PlatformEngines
from sequoiafall.platform.store import PlatformRowStore
from sequoiafall.platform_client import PlatformClient
from sequoiafall.serving_ports import EngineOrder, OrderResponse
from sequoiafall.standins.engine import Engine, EngineConfig

from .events import EVENT_TIMEOUT_S, until
from .platform_case import PlatformCase

OK = b"HTTP/1.1 200 OK"
SIGNATURE = names.SIGNATURE.encode()
LENGTH = b"Content-Length: 2"
CHUNKED = b"Transfer-Encoding: chunked"
# Replaced with the identifier of the request.
ECHO = b"%ECHO%"
BODY = b"ok"
CHUNKED_BODY = b"2\r\nok\r\n0\r\n\r\n"
READ_LIMIT_BYTES = 1024


def answer(*fields, status_line=OK, framing=LENGTH, body=BODY, end=b"\r\n"):
    """Return a signed answer that has further fields before its framing."""
    lines = (
        status_line,
        *fields,
        names.REQUEST_ID.encode() + b": " + ECHO,
        SIGNATURE + b": s",
        *([framing] if framing else []),
    )
    return b"".join(line + end for line in lines) + end + body


STATUS_LINES = [
    ("status 000", b"HTTP/1.1 000 Zero"),
    ("status 007", b"HTTP/1.1 007 Seven"),
    ("status 099", b"HTTP/1.1 099 Low"),
    ("status 600", b"HTTP/1.1 600 High"),
    ("status 999", b"HTTP/1.1 999 Higher"),
    ("status of two digits", b"HTTP/1.1 20 OK"),
    ("status of four digits", b"HTTP/1.1 2000 OK"),
    ("status with a sign", b"HTTP/1.1 +20 OK"),
    ("status in other digits", "HTTP/1.1 ٢٠٠ OK".encode()),
    ("status of letters", b"HTTP/1.1 OK"),
    ("no status", b"HTTP/1.1"),
    ("two blanks before the status", b"HTTP/1.1  200 OK"),
    ("tab before the status", b"HTTP/1.1\t200 OK"),
    ("tab after the status", b"HTTP/1.1 200\tOK"),
    ("version 0.9", b"HTTP/0.9 200 OK"),
    ("version 1.2", b"HTTP/1.2 200 OK"),
    ("version 2.0", b"HTTP/2.0 200 OK"),
    ("version 3", b"HTTP/3 200 OK"),
    ("version of two digits", b"HTTP/1.10 200 OK"),
    ("lower case version", b"http/1.1 200 OK"),
    ("other protocol", b"ICE/1.1 200 OK"),
    ("blank before the version", b" HTTP/1.1 200 OK"),
    ("empty line before", b"\r\nHTTP/1.1 200 OK"),
    ("control byte in the reason", b"HTTP/1.1 200 O\x01K"),
    ("NUL in the reason", b"HTTP/1.1 200 O\x00K"),
    ("CR in the reason", b"HTTP/1.1 200 O\rK"),
    ("LF in the reason", b"HTTP/1.1 200 O\nK"),
    ("unasked 101", b"HTTP/1.1 101 Switching Protocols"),
]
FIELD_LINES = [
    ("blank in a name", b"X A: b"),
    ("tab in a name", b"X\tA: b"),
    ("blank before the colon", b"X-A : b"),
    ("tab before the colon", b"X-A\t: b"),
    ("control byte in a name", b"X\x01A: b"),
    ("NUL in a name", b"X\x00A: b"),
    ("DEL in a name", b"X\x7fA: b"),
    ("CR in a name", b"X\rA: b"),
    ("LF in a name", b"X\nA: b"),
    ("byte above 127 in a name", b"X\xe9A: b"),
    ("separator in a name", b"X(A): b"),
    ("empty name", b": b"),
    ("no colon", b"X-A"),
    ("blank before the first field", b" X-A: b"),
    ("tab before the first field", b"\tX-A: b"),
    ("folded field", b"X-A: b\r\n c"),
    ("folded field with a tab", b"X-A: b\r\n\tc"),
    ("folded field without text", b"X-A: b\r\n "),
    ("folded signature", SIGNATURE + b": a\r\n b"),
    ("LF ends a field", b"X-A: b\nX-B: c"),
    ("CR ends a field", b"X-A: b\rX-B: c"),
    ("two CR end a field", b"X-A: b\r"),
    ("NUL in a value", b"X-A: b\x00c"),
    ("control byte in a value", b"X-A: b\x01c"),
    ("DEL in a value", b"X-A: b\x7fc"),
    ("two lengths", b"Content-Length: 1"),
    ("length twice", LENGTH),
    ("length and chunks", CHUNKED),
]
FRAMINGS = [
    ("list of lengths", b"Content-Length: 2, 2"),
    ("length with a sign", b"Content-Length: +2"),
    ("negative length", b"Content-Length: -2"),
    ("hexadecimal length", b"Content-Length: 0x2"),
    ("empty length", b"Content-Length:"),
    ("length in two parts", b"Content-Length: 2 2"),
    ("length of letters", b"Content-Length: two"),
    ("length of many digits", b"Content-Length: " + b"9" * 40),
    ("unknown coding", b"Transfer-Encoding: gzip"),
    ("coding before chunks", b"Transfer-Encoding: gzip, chunked"),
    ("coding after chunks", b"Transfer-Encoding: chunked, gzip"),
    ("chunks twice", CHUNKED + b"\r\n" + CHUNKED),
]
MALFORMED = [
    *((name, answer(status_line=line)) for name, line in STATUS_LINES),
    *((name, answer(line)) for name, line in FIELD_LINES),
    *((name, answer(framing=line, body=CHUNKED_BODY)) for name, line in FRAMINGS),
    ("all lines end with LF", answer(end=b"\n")),
    (
        "chunks in HTTP/1.0",
        answer(
            status_line=b"HTTP/1.0 200 OK",
            framing=CHUNKED,
            body=CHUNKED_BODY,
        ),
    ),
    (
        "unasked upgrade",
        answer(
            b"Connection: upgrade",
            b"Upgrade: websocket",
            status_line=b"HTTP/1.1 101 Switching Protocols",
        ),
    ),
    ("malformed interim answer", b"HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n" + answer()),
    ("interim answer of status 000", b"HTTP/1.1 000 Zero\r\n\r\n" + answer()),
    ("malformed after an interim answer", b"HTTP/1.1 100\r\n\r\n" + answer(b" X-A: b")),
    ("connection closed in the head", answer().partition(LENGTH)[0]),
    ("connection closed after an interim answer", b"HTTP/1.1 100 Continue\r\n\r\n"),
]
SOUND = [
    ("with a length", answer()),
    ("in chunks", answer(framing=CHUNKED, body=CHUNKED_BODY)),
    (
        "chunks in other case",
        answer(framing=b"transfer-encoding: CHUNKED", body=CHUNKED_BODY),
    ),
    ("without a length", answer(framing=b"")),
    ("version 1.0", answer(status_line=b"HTTP/1.0 200 OK")),
    ("empty reason", answer(status_line=b"HTTP/1.1 200 ")),
    ("no reason", answer(status_line=b"HTTP/1.1 200")),
    ("reason above 127", answer(status_line=b"HTTP/1.1 200 \xc4\x81")),
    ("tab in the reason", answer(status_line=b"HTTP/1.1 200 O\tK")),
    ("empty value", answer(b"X-A:", b"X-B: ")),
    ("no blank before the value", answer(b"X-A:b")),
    ("tabs around the value", answer(b"X-A:\tb\tc\t")),
    ("value above 127", answer("X-A: ā".encode())),
    ("all characters of a name", answer(b"!#$%&'*+-.^_`|~09azAZ: b")),
    ("after 100", b"HTTP/1.1 100 Continue\r\n\r\n" + answer()),
    ("after 103", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer()),
    ("after three", b"HTTP/1.1 102 Processing\r\n\r\n" * 3 + answer()),
    ("after an unknown one", b"HTTP/1.1 199 Other\r\n\r\n" + answer()),
]


class RawServer:
    """Answers every request with the same bytes and then closes the connection.

    Parameters
    ----------
    content : bytes
        Answer; `ECHO` is replaced with the identifier of the request.
    is_slow : bool, default=False
        Whether each byte is sent alone.

    Attributes
    ----------
    request_count : int
        Number of requests whose head was received.
    """

    def __init__(self, content, is_slow=False):
        self.content = content
        self.is_slow = is_slow
        self.request_count = 0

    async def start(self, case):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        case.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            await self.respond(head, writer)
        writer.close()

    async def respond(self, head, writer):
        content = self.content.replace(ECHO, request_id_in(head))
        parts = [content]
        if self.is_slow:
            parts = [content[number : number + 1] for number in range(len(content))]
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)


def request_id_in(head):
    """Return the identifier that a request's head names."""
    prefix = names.REQUEST_ID.lower().encode() + b":"
    for line in head.split(b"\r\n"):
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip()
    return b"none"


CLIENTS = [("own", SingleSendClient), ("kept", EngineClient)]


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against heads that the library's parser repairs or accepts."""

    async def fetch(self, client_type, content, is_slow=False):
        self.server = RawServer(content, is_slow)
        self.address = await self.server.start(self)
        client = client_type()
        if isinstance(client, EngineClient):
            self.addAsyncCleanup(client.close)
        async with client.request(
            "POST",
            f"http://{self.address}/",
            {names.REQUEST_ID: "r1"},
            b"",
            lambda: None,
        ) as response:
            body = await response.read_up_to(READ_LIMIT_BYTES)
            return response.status, response.headers, body

    @parameterized.expand(
        [
            (f"{kind} {name}", client_type, content)
            for name, content in MALFORMED
            for kind, client_type in CLIENTS
        ]
    )
    async def test_malformed(self, _name, client_type, content):
        with self.assertRaises(BrokenResponseError):
            await self.fetch(client_type, content)
        self.assertEqual(self.server.request_count, 1)

    @parameterized.expand(
        [
            (f"{kind} {name}", client_type, content)
            for name, content in SOUND
            for kind, client_type in CLIENTS
        ]
    )
    async def test_sound(self, _name, client_type, content):
        for is_slow in (False, True):
            status, headers, body = await self.fetch(client_type, content, is_slow)
            self.assertEqual((status, body), (200, BODY))
            self.assertEqual(headers[names.SIGNATURE], "s")
            self.assertEqual(headers[names.REQUEST_ID], "r1")

    @parameterized.expand([(name, content) for name, content in MALFORMED[::9]])
    async def test_malformed_byte_by_byte(self, _name, content):
        with self.assertRaises(BrokenResponseError):
            await self.fetch(SingleSendClient, content, is_slow=True)

    @parameterized.expand([(str(code), code) for code in (200, 299, 418, 503, 599)])
    async def test_status(self, _name, code):
        content = answer(status_line=f"HTTP/1.1 {code} Reason".encode())
        status, _, body = await self.fetch(SingleSendClient, content)
        self.assertEqual((status, body), (code, BODY))

    @parameterized.expand(CLIENTS)
    async def test_head_without_end(self, _name, client_type):
        """A server that stops inside the head must not hold its caller."""

        async def serve(reader, writer):
            self.addCleanup(writer.close)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer().partition(LENGTH)[0])

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        self.enterContext(patch.object(engine_client, "STREAM_IDLE_TIMEOUT_S", 0.2))
        client = client_type()
        with self.assertRaises(BrokenResponseError):
            async with (
                asyncio.timeout(EVENT_TIMEOUT_S),
                client.request("POST", url, {}, b"", lambda: None),
            ):
                pass
        if isinstance(client, EngineClient):
            await client.close()

    @parameterized.expand(
        [
            (f"{kind} {name}", client_type, content, is_cut)
            for name, content, is_cut in (
                ("status 000", answer(status_line=b"HTTP/1.1 000 Zero"), False),
                ("other bytes", b"\x00" * 100, False),
                ("connection closed", answer().partition(LENGTH)[0], True),
            )
            for kind, client_type in CLIENTS
        ]
    )
    async def test_is_cut(self, _name, client_type, content, is_cut):
        """A server that sends a malformed head runs, so nothing has crashed it."""
        with self.assertRaises(BrokenResponseError) as context:
            await self.fetch(client_type, content)
        self.assertIs(context.exception.is_cut, is_cut)

    async def test_log_line(self):
        """A line names the server and quotes what was wrong, bounded and escaped."""
        with (
            patch.object(engine_client, "log_warning") as log_warning,
            self.assertRaises(BrokenResponseError),
        ):
            await self.fetch(SingleSendClient, answer(b"X\x01A: " + b"b" * 1000))
        log_warning.assert_called_once()
        (event,), fields = log_warning.call_args
        self.assertEqual(event, "response_head_malformed")
        self.assertEqual(fields["address"], self.address)
        self.assertRegex(str(fields["detail"]), r"^field line b'X\\x01A: b+'\.\.\.$")

    async def test_kept_connection(self):
        """Each answer of a connection is checked, and sound ones keep it open."""
        answers = [SOUND[-1][1], answer(), answer(b"X A: b"), answer()]
        connection_count = 0

        async def serve(reader, writer):
            nonlocal connection_count
            connection_count += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(answers.pop(0))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        client = EngineClient()
        self.addAsyncCleanup(client.close)

        async def get():
            async with client.request("GET", url, {}, b"", lambda: None) as response:
                return await response.read_up_to(READ_LIMIT_BYTES)

        self.assertEqual(await get(), BODY)
        self.assertEqual(await get(), BODY)
        self.assertEqual(connection_count, 1)
        with self.assertRaises(BrokenResponseError):
            await get()
        self.assertEqual(await get(), BODY)
        self.assertEqual(connection_count, 2)


class PurePythonParserTest(ClientTest):
    """The result does not depend on which of the library's parsers is installed."""

    def setUp(self):
        super().setUp()
        self.enterContext(
            patch("aiohttp.client_proto.HttpResponseParser", HttpResponseParserPy)
        )


def answer_with(body, field=b"X-A: b", status_line=OK):
    """Return an answer of JSON with a field and a status line."""
    framing = b"Content-Type: application/json\r\nContent-Length: %d" % len(body)
    return answer(field, status_line=status_line, framing=framing, body=body)


async def _call_report(address):
    engines = PlatformEngines()
    report = await engines.report(BackendEntry("e1", "desk", address, "a", 64, False))
    await engines.close()
    return report is not None


async def _call_order(address):
    engines = PlatformEngines()
    response = await engines.order(
        BackendEntry("e1", "desk", address, "a", 64, False),
        EngineOrder(True, "base", "a1", 1, -1, "n1", 3),
    )
    await engines.close()
    return response is not OrderResponse.NO_RESPONSE


async def _call_store_read(address):
    store = PlatformRowStore(address)
    result = await store.scan("servers")
    await store.close()
    return isinstance(result, Success)


async def _call_store_write(address):
    """Whether the result is anything but that the write may have taken effect."""
    store = PlatformRowStore(address)
    result = await store.replace("lease", "k", b"v", 0)
    await store.close()
    return not (
        isinstance(result, Failure)
        and isinstance(result.failure(), store_results.Unknown)
    )


async def _call_platform_write(address):
    client = PlatformClient(f"http://{address}", "a")
    result = await client.put_object("k", b"v")
    await client.close()
    return not (
        isinstance(result, Failure)
        and isinstance(result.failure(), store_results.Unknown)
    )


async def _call_platform_read(address):
    client = PlatformClient(f"http://{address}", "a")
    result = await client.read("k")
    await client.close()
    return isinstance(result, Success)


async def _call_pool_order(address):
    engines = EngineClient()
    client = OrderClient(engines, lambda: True, time.monotonic)
    outcome = await client.load(address, "a1", "1", 3)
    await engines.close()
    return outcome is not PoolOrderOutcome.UNKNOWN


async def _call_controller(address):
    client = ControllerClient([f"http://{address}"], b"t")
    response = await client._request("GET", "/table", 5.0)
    return response.status != 0


async def _call_weights(address):
    engine = Engine(EngineConfig(platform_url=f"http://{address}"))
    return await engine._fetch_weights(("a1", "1")) is not None


# Name, body of the answer, and a call that tells whether it takes the answer.
CALLS = [
    ("report", b'{"sequence":1}', _call_report),
    ("order", b"{}", _call_order),
    ("store_read", b'{"row_version":5,"rows":[]}', _call_store_read),
    ("store_write", b'{"row_version":5}', _call_store_write),
    ("platform_write", b"{}", _call_platform_write),
    ("platform_read", b'{"key":"k","version":1,"value":{}}', _call_platform_read),
    ("pool_order", b"{}", _call_pool_order),
    ("controller", b"{}", _call_controller),
    ("weights", b'{"transit_s":0.5}', _call_weights),
]
TAKEN_SHAPES = [
    ("status_099", {"status_line": b"HTTP/1.1 099 Low"}),
    ("version_0_9", {"status_line": b"HTTP/0.9 200 OK"}),
    ("other_protocol", {"status_line": b"ICE/1.1 200 OK"}),
    ("blank_before_the_first_field", {"field": b" X-A: b"}),
    ("folded_field", {"field": b"X-A: b\r\n c"}),
    ("control_byte_in_a_value", {"field": b"X-A: b\x01c"}),
]


class OtherClientsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against state and results that are taken from a malformed answer."""

    def setUp(self):
        self.enterContext(patch.object(operator_session, "ROUND_PAUSE_S", 0))

    @parameterized.expand([(name, body, call) for name, body, call in CALLS])
    async def test_sound(self, _name, body, call):
        address = await RawServer(answer_with(body)).start(self)
        self.assertTrue(await call(address))

    @parameterized.expand(
        [
            (f"{name}_{shape_name}", body, call, shape)
            for name, body, call in CALLS
            for shape_name, shape in TAKEN_SHAPES
        ]
    )
    async def test_malformed(self, _name, body, call, shape):
        address = await RawServer(answer_with(body, **shape)).start(self)
        self.assertFalse(await call(address))


CALL_PATHS = (b"/draft/", b"/check/", b"/order/", b"/look/")


class FrontServer(RawServer):
    """Stands in front of a server of the stand-ins and replaces answers to calls.

    Parameters
    ----------
    backend : AdapterEngine
        Server whose other answers are passed on.
    contents : list of bytes
        Answers to the next calls.
    """

    def __init__(self, backend, contents):
        super().__init__(b"")
        self.backend_address = backend.address
        self.contents = contents

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            is_call = head.split()[1].startswith(CALL_PATHS)
            if self.contents and is_call:
                self.content = self.contents.pop(0)
                self.request_count += 1
                await self.respond(head, writer)
            else:
                await self._pass_on(head, reader, writer)
        writer.close()

    async def _pass_on(self, head, reader, writer):
        host, _, port = self.backend_address.rpartition(":")
        answers, requests = await asyncio.open_connection(host, int(port))
        request_line, _, fields = head.partition(b"\r\n")
        requests.write(request_line + b"\r\nConnection: close\r\n" + fields)

        async def send_body():
            while data := await reader.read(65536):
                requests.write(data)

        sending = asyncio.create_task(send_body())
        while data := await answers.read(65536):
            writer.write(data)
            await writer.drain()
        sending.cancel()
        requests.close()


# A request counts as harmful after three crashes; some are refuted meanwhile.
REPEATED_CALLS = 12
NODE_SHAPES = [
    ("status_000", answer(status_line=b"HTTP/1.1 000 Zero")),
    ("status_600", answer(status_line=b"HTTP/1.1 600 High")),
    ("unasked_101", answer(status_line=b"HTTP/1.1 101 Switching Protocols")),
    ("version_0_9", answer(status_line=b"HTTP/0.9 200 OK")),
    ("blank_in_a_name", answer(b"X A: b")),
    ("blank_before_the_first_field", answer(b" X-A: b")),
    ("folded_signature", answer(SIGNATURE + b": a\r\n b")),
    ("control_byte_in_a_value", answer(b"X-A: b\x01c")),
]


class NodeTest(PlatformCase):
    """A caller never gets a malformed answer, nor a second run of its order."""

    async def start_backend(self, name, *arguments, **options):
        backend = await super().start_backend(name, *arguments, **options)
        front = FrontServer(backend, self.contents)
        self.fronts.append(front)
        backend.address = await front.start(self)
        self.announce(backend)
        return backend

    async def start(self, *contents):
        """Start a fleet whose servers give these answers to the next calls."""
        self.fronts, self.contents = [], []
        nodes = await self.start_fleet(2)
        await self.call(nodes[0], "/draft/x", adapter="a0")
        await until(lambda: all(len(node.fleet.registry) == 4 for node in nodes))
        self.contents.extend(contents)
        return nodes[0]

    def count_requests(self):
        return sum(front.request_count for front in self.fronts)

    def check_unknown(self, status, body, headers):
        self.assertEqual(status, 502, body)
        self.assertIn(b"unknown", body)
        self.assertNotIn(names.NOT_RUN, headers)
        self.assertNotIn(names.SIGNATURE, headers)

    @parameterized.expand(NODE_SHAPES)
    async def test_order(self, _name, content):
        """A request that is not idempotent runs at most once."""
        node = await self.start(content)
        self.check_unknown(*await self.call(node, "/order/x"))
        self.assertEqual(self.count_requests(), 1)
        self.assertEqual(self.runs("r2"), 0)

    @parameterized.expand(NODE_SHAPES)
    async def test_idempotent_request(self, _name, content):
        node = await self.start(content)
        status, body, headers = await self.call(node, "/look/x")
        self.assertEqual(status, 200)
        self.assertIn(b"done:body", body)
        self.assertIn(names.SIGNATURE, headers)
        self.assertEqual(self.count_requests(), 1)

    @parameterized.expand(NODE_SHAPES)
    async def test_idempotent_request_without_a_sound_answer(self, _name, content):
        node = await self.start(content, content)
        self.check_unknown(*await self.call(node, "/look/x"))
        self.assertEqual(self.count_requests(), 2)

    @parameterized.expand(NODE_SHAPES)
    async def test_stream(self, _name, content):
        node = await self.start(content)
        self.check_unknown(*await self.call(node, "/check/x", adapter="a0"))
        self.assertEqual(self.count_requests(), 1)
        self.assertEqual(self.runs("r2"), 0)

    @parameterized.expand(NODE_SHAPES)
    async def test_resumable_stream(self, _name, content):
        """A further send brings the whole stream."""
        node = await self.start(content)
        status, body, _ = await self.call(node, "/draft/x", adapter="a0")
        self.assertEqual(status, 200)
        self.assertIn(b"id: 5", body)
        self.assertEqual(self.count_requests(), 1)

    @parameterized.expand([NODE_SHAPES[0], NODE_SHAPES[4]])
    async def test_request_is_not_taken_for_harmful(self, _name, content):
        """Malformed answers to one request must not get it refused."""
        node = await self.start(*[content] * REPEATED_CALLS)
        for number in range(REPEATED_CALLS):
            request_id = f"same-{number}"
            self.check_unknown(
                *await self.call(node, "/order/x", body=b"same", request_id=request_id)
            )
        status, body, _ = await self.call(node, "/order/x", body=b"same")
        self.assertEqual(status, 200, body)
        self.assertIn(b"done:same", body)
