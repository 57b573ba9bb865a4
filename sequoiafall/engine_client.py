"""HTTP to backend servers: streams of engines and calls that are sent once.

A caller of this module learns for every failure whether the request may have
reached the backend server: `NotSentError` is raised only before the first byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from yarl import URL

CONNECT_TIMEOUT_S = 0.5

# An engine that sends nothing for this long is taken for lost; the stream is
# resumed elsewhere. Prefill of a long prompt takes a few seconds.
STREAM_IDLE_TIMEOUT_S = 20.0
IDLE_CHECK_INTERVAL_S = 1.0

# aiohttp pauses reading at twice this size, but one receive call can still take
# all that the socket holds, so the socket's buffer is limited as well.
READ_BUFFER_BYTES = 4 * 1024
SOCKET_BUFFER_BYTES = 8 * 1024

# A stream that sends bytes and no piece of its answer for this long is taken for
# stalled; an engine with a long queue may keep it open with comments.
STREAM_STALL_TIMEOUT_S = 60.0

# Bytes of an answer that may be something else than its body, beside as many as
# the body has: headers have 32 KiB at most, an event's frame is shorter than it.
MAX_FRAMING_BYTES = 128 * 1024

CANCEL_TIMEOUT_S = 1.0
END_TIMEOUT_S = 1.0

BeforeSend = Callable[[], None]


class NotSentError(Exception):
    """The request was certainly not sent."""


class BrokenResponseError(Exception):
    """The request may have been sent and its answer did not arrive whole."""


_before_send: ContextVar[BeforeSend | None] = ContextVar("_before_send", default=None)


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    return opened


class _StrictProtocol(ResponseHandler):
    """Tells an answer that was reset from one that ends with its connection.

    The client library takes both for the end of an answer without a length. It
    also takes bytes that come on an idle connection for the answer to the next
    request, such as a second copy of the last one; such a connection is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self._received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Expect the answer to the next request."""
        self._received_bytes = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Take bytes for the answer under way; without one they end the connection."""
        # The client library passes no bytes when it goes on reading.
        if self.is_idle and data:
            self.abort()
            return
        self._received_bytes += len(data)
        super().data_received(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        if self._received_bytes > 2 * body_bytes + MAX_FRAMING_BYTES:
            self._abort_response()

    def _abort_response(self) -> None:
        """Give up an answer whose bytes are not its body."""
        payload, transport = self._payload, self.transport
        if payload is not None and payload.is_eof():
            # Surplus bytes after a whole answer; the connection is not used again.
            self.force_close()
        error = aiohttp.ClientPayloadError("too many bytes outside of the body")
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Keeps connections open, and uses none again that got bytes while it was idle."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: functools.partial[Any] = functools.partial(
            _StrictProtocol, loop=self._loop
        )

    async def _get(self, key: Any, traces: list[Any]) -> Connection | None:
        while True:
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            protocol = connection.protocol
            assert isinstance(protocol, _StrictProtocol)
            protocol.is_idle = False
            if not protocol.should_close:
                return connection
            connection.close()

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        assert isinstance(protocol, _StrictProtocol)
        protocol.is_idle = True


class _CheckedConnector(StrictConnector):
    """Runs a check between having a connection and sending the request.

    Connecting can take longer than the rest of a place's life, so a check
    before the request would not show that the place is valid at the send.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        check = _before_send.get()
        if check is not None:
            try:
                check()
            except BaseException:
                connection.close()
                raise
        return connection


class _SingleSendConnector(_CheckedConnector):
    """Gives one connection, once, and closes it after its answer.

    The client library repeats some methods on a connection that was closed
    without an answer; a second connection is refused here for every method.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True, limit=1, socket_factory=_open_socket)
        self.sent = False

    async def connect(
        self, req: ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        if self.sent:
            raise BrokenResponseError("the connection ended without an answer")
        connection = await super().connect(req, traces, timeout)
        self.sent = True
        return connection


def _session(
    connector: aiohttp.TCPConnector, read_timeout_s: float | None
) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )


class _IdleMonitor:
    """Closes answers whose reader waits too long for a byte.

    One timer checks all of them. With the limit of the client library a timer
    is set anew whenever bytes arrive, and stays until its time has passed.
    """

    __slots__ = ("_responses", "_timer")

    def __init__(self) -> None:
        self._responses: set[BackendResponse] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, response: BackendResponse) -> None:
        """Watch an answer until `discard`."""
        self._responses.add(response)
        if self._timer is None:
            self._schedule()

    def discard(self, response: BackendResponse) -> None:
        """Watch an answer no longer."""
        self._responses.discard(response)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        oldest = time.monotonic() - STREAM_IDLE_TIMEOUT_S
        for response in list(self._responses):
            is_idle = (
                response.waiting_since is not None and response.waiting_since <= oldest
            )
            if is_idle or response.waited_s > STREAM_STALL_TIMEOUT_S:
                response.release()
        if self._responses:
            self._schedule()


class BackendResponse:
    """Status, headers and body of an answer that is being received.

    Attributes
    ----------
    waiting_since : float or None
        Monotonic time since which a reader has waited for a byte.
    waited_s : float
        Seconds for which a reader has waited since `mark_progress`.
    """

    __slots__ = (
        "_idle_monitor",
        "_response",
        "headers",
        "status",
        "waited_s",
        "waiting_since",
    )

    def __init__(
        self, response: aiohttp.ClientResponse, idle_monitor: _IdleMonitor | None = None
    ) -> None:
        self._response = response
        self._idle_monitor = idle_monitor
        self.status = response.status
        self.headers: Mapping[str, str] = response.headers
        self.waiting_since: float | None = None
        self.waited_s = 0.0
        if idle_monitor is not None:
            idle_monitor.add(self)

    async def read_chunk(self) -> bytes:
        """Return received bytes, empty at the end of the body.

        Raises
        ------
        BrokenResponseError
            If the answer ended before its end, or nothing came for
            `STREAM_IDLE_TIMEOUT_S`.
        """
        self.waiting_since = started_at = time.monotonic()
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BrokenResponseError(_broken_response_text(error)) from error
        finally:
            self.waiting_since = None
            self.waited_s += time.monotonic() - started_at

    def mark_progress(self) -> None:
        """Note that the bytes read so far have brought a part of the answer."""
        self.waited_s = 0.0

    async def read_up_to(self, limit_bytes: int) -> bytes | None:
        """Return the whole body, or None if it is longer than the limit."""
        parts: list[bytes] = []
        size = 0
        while chunk := await self.read_chunk():
            size += len(chunk)
            if size > limit_bytes:
                return None
            parts.append(chunk)
        return b"".join(parts)

    def release(self, is_complete: bool = False) -> None:
        """End the use of the answer.

        Parameters
        ----------
        is_complete : bool, default=False
            Whether no further byte of the body is needed. The connection is
            then used again if the body ends within `END_TIMEOUT_S`; otherwise
            only if the body was read to its end.
        """
        if self._idle_monitor is not None:
            self._idle_monitor.discard(self)
        response = self._response
        content = response.content
        if is_complete and not content.is_eof():
            # The client library takes the connection back at the end.
            timer = asyncio.get_running_loop().call_later(END_TIMEOUT_S, response.close)
            content.on_eof(timer.cancel)
        elif is_complete or content.at_eof():
            response.release()
        else:
            # A connection whose answer was not read to its end cannot be used
            # again.
            response.close()


class EngineClient:
    """Sends requests that may be repeated, over kept-alive connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._idle_monitor = _IdleMonitor()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        method: str,
        url: str | URL,
        headers: Mapping[str, str],
        body: bytes,
        before_send: BeforeSend,
    ) -> BackendResponse:
        """Send a request and return its answer, to be released by the caller.

        Parameters
        ----------
        method, url : str
            Method and address, path and query.
        headers : mapping of str to str
            Headers of the request.
        body : bytes
            Body of the request.
        before_send : callable
            Raises if the request may no longer be sent.

        Raises
        ------
        NotSentError
            If no connection could be made.
        BrokenResponseError
            If the connection ended before the answer's headers.
        """
        if self._session is None:
            self._session = _session(
                _CheckedConnector(limit=0, socket_factory=_open_socket), None
            )
        token = _before_send.set(before_send)
        try:
            response = await _send(self._session, method, url, headers, body)
        finally:
            _before_send.reset(token)
        return BackendResponse(response, self._idle_monitor)

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        url: str | URL,
        headers: Mapping[str, str],
        body: bytes,
        before_send: BeforeSend,
    ) -> AsyncIterator[BackendResponse]:
        """Like `open`, and release the answer at the end of the context."""
        response = await self.open(method, url, headers, body, before_send)
        try:
            yield response
        finally:
            response.release()

    async def cancel_stream(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a stream; a failure is ignored.

        An engine that misses the order ends the stream when it finds the
        connection closed.
        """
        url = f"http://{address}/streams/{request_id}/cancel"
        with contextlib.suppress(
            NotSentError, BrokenResponseError, TimeoutError, OSError
        ):
            async with (
                asyncio.timeout(CANCEL_TIMEOUT_S),
                self.request("POST", url, {}, b"", lambda: None),
            ):
                pass


class SingleSendClient:
    """Sends one request on a connection of its own, at most once."""

    def __init__(self) -> None:
        self._connector = _SingleSendConnector()

    @property
    def sent(self) -> bool:
        """Whether any byte may have been sent."""
        return self._connector.sent

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        url: str | URL,
        headers: Mapping[str, str],
        body: bytes,
        before_send: BeforeSend,
    ) -> AsyncIterator[BackendResponse]:
        """Send the request; see `EngineClient.request`."""
        async with _session(self._connector, STREAM_IDLE_TIMEOUT_S) as session:
            token = _before_send.set(before_send)
            try:
                raw_response = await _send(session, method, url, headers, body)
            finally:
                _before_send.reset(token)
            response = BackendResponse(raw_response)
            try:
                yield response
            finally:
                response.release()


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str | URL,
    headers: Mapping[str, str],
    body: bytes,
) -> aiohttp.ClientResponse:
    try:
        async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
            return await session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        detail = f"no connection to the backend server ({type(error).__name__})"
        raise NotSentError(detail) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise BrokenResponseError(_broken_response_text(error)) from error


def _broken_response_text(error: Exception) -> str:
    # The text of the error may hold parts of the request, its type does not.
    return f"the backend server's answer broke off ({type(error).__name__})"
