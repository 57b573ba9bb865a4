"""HTTP clients for backend servers: streaming requests and requests sent only once.

Every failure tells whether the request may have reached the backend server:
`NotSentError` is raised only before the first byte is sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import io
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

from .log import log_warning
from .response_head import ResponseHeadError, ResponseHeadReader

CONNECT_TIMEOUT_S = 0.5

# An engine that sends nothing for this long is considered lost and the stream is
# resumed elsewhere. The prefill of a long prompt takes a few seconds.
STREAM_IDLE_TIMEOUT_S = 20.0
IDLE_CHECK_INTERVAL_S = 1.0

# aiohttp pauses reading at twice this size, but a single receive call can still
# return all that the socket buffer holds, so that buffer is limited as well.
READ_BUFFER_BYTES = 4 * 1024
SOCKET_BUFFER_BYTES = 8 * 1024

# A stream is considered stalled if it sends bytes, but no part of its response, for
# this long. An engine with a long queue may keep a stream open with comments.
STREAM_STALL_TIMEOUT_S = 60.0

# A response may contain this many bytes outside its body, plus as many as the body
# has: headers take at most 32 KiB, and an event is longer than its framing.
MAX_FRAMING_BYTES = 128 * 1024

# Largest body that is given to the connection in one piece.
MAX_WHOLE_WRITE_BYTES = 64 * 1024

CANCEL_TIMEOUT_S = 1.0
END_TIMEOUT_S = 1.0

BeforeSend = Callable[[], None]


class NotSentError(Exception):
    """No part of the request was sent."""


class BrokenResponseError(Exception):
    """The request may have been sent, but no complete response was received.

    Attributes
    ----------
    is_cut : bool
        Whether the connection ended, as opposed to a timeout or a malformed head. A
        cut may be a crash of the server; one that sends a malformed head still runs.
    """

    is_cut = False


_before_send: ContextVar[BeforeSend | None] = ContextVar("_before_send", default=None)


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    return opened


class _StrictProtocol(ResponseHandler):
    """Rejects responses that the client library would take for valid ones.

    aiohttp treats a connection reset like a regular close, so that a response
    without a length seems complete. It also takes bytes that arrive on an idle
    connection, such as a duplicate of the last response, for the response to the next
    request; such a connection is closed here. Its parser gets the bytes of a response
    only when `ResponseHeadReader` has accepted the head.

    Attributes
    ----------
    is_idle : bool
        Whether the connection is kept for a later request.
    is_cut : bool
        Whether the server ended the connection before its response was complete.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.is_cut = False
        self._received_bytes = 0
        # None once the head of the current response has been accepted.
        self._head_reader: ResponseHeadReader | None = None

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to the next request."""
        self._received_bytes = 0
        self._head_reader = ResponseHeadReader()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; on an idle connection, close it instead."""
        # The client library passes an empty chunk when it resumes reading.
        if self.is_idle and data:
            self.abort()
            return
        self._received_bytes += len(data)
        if self._head_reader is not None:
            data = self._read_head(self._head_reader, data)
            if not data:
                return
        super().data_received(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        if self._received_bytes > 2 * body_bytes + MAX_FRAMING_BYTES:
            error = aiohttp.ClientPayloadError("too many bytes outside of the body")
            self._abort_response(error)

    def _read_head(self, reader: ResponseHeadReader, data: bytes) -> bytes:
        """Return the bytes for the parser, empty until the head is complete."""
        try:
            accepted = reader.feed(data)
        except ResponseHeadError as error:
            peer = self.transport.get_extra_info("peername") if self.transport else None
            address = f"{peer[0]}:{peer[1]}" if peer else "unknown"
            log_warning("response_head_malformed", address=address, detail=error)
            self._abort_response(error)
            return b""
        if accepted:
            self._head_reader = None
        return accepted

    def _abort_response(self, error: aiohttp.ClientError) -> None:
        """End the current response with an error and close the connection."""
        payload, transport = self._payload, self.transport
        if payload is not None and payload.is_eof():
            # Surplus bytes after a complete response; do not reuse the connection.
            self.force_close()
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if transport is not None:
            transport.abort()

    def eof_received(self) -> None:
        """Record that the server ended the connection."""
        self._record_end()
        super().eof_received()

    def _record_end(self) -> None:
        payload = self._payload
        self.is_cut |= payload is None or not payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None:
            self._record_end()
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Connection pool of all HTTP clients, which rejects malformed responses.

    It never reuses a connection that got bytes while idle.
    """

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
    """Runs a check after connecting and before sending the request.

    Connecting can take longer than a place remains valid, so a check before
    connecting would not prove that the place is valid when the request is sent.
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
    """Opens a single connection and closes it after the response.

    The client library retries requests with some methods if a connection is closed
    without a response. A second connection is refused here for every method.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True, limit=1, socket_factory=_open_socket)
        self.sent = False
        self.protocol: ResponseHandler | None = None

    async def connect(
        self, req: ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        if self.sent:
            # The client library tries again only if the first connection has ended.
            error = BrokenResponseError("the connection ended without an answer")
            error.is_cut = True
            raise error
        connection = await super().connect(req, traces, timeout)
        self.sent = True
        self.protocol = connection.protocol
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
    """Closes responses whose reader waits too long for data.

    One timer checks all responses. The read timeout of the client library would set a
    new timer whenever bytes arrive, and each timer stays until its time has passed.
    """

    __slots__ = ("_responses", "_timer")

    def __init__(self) -> None:
        self._responses: set[BackendResponse] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, response: BackendResponse) -> None:
        """Monitor a response until `discard`."""
        self._responses.add(response)
        if self._timer is None:
            self._schedule()

    def discard(self, response: BackendResponse) -> None:
        """Stop monitoring a response."""
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
    """Status, headers and body of a response that is being received.

    Attributes
    ----------
    content_length : int or None
        Length of the body, None if it is not known before its end.
    waiting_since : float or None
        Monotonic time at which the reader started to wait for data, in seconds;
        None while no reader waits.
    waited_s : float
        Seconds for which readers have waited since `mark_progress`.
    """

    __slots__ = (
        "_idle_monitor",
        "_response",
        "content_length",
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
        self.content_length = response.content_length
        self.waiting_since: float | None = None
        self.waited_s = 0.0
        if idle_monitor is not None:
            idle_monitor.add(self)

    async def read_chunk(self) -> bytes:
        """Return received bytes, or an empty chunk at the end of the body.

        Raises
        ------
        BrokenResponseError
            If the response is incomplete, or nothing was received for
            `STREAM_IDLE_TIMEOUT_S`.
        """
        self.waiting_since = started_at = time.monotonic()
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _broken_response(error) from error
        finally:
            self.waiting_since = None
            self.waited_s += time.monotonic() - started_at

    def mark_progress(self) -> None:
        """Record that the bytes read so far contained a part of the response."""
        self.waited_s = 0.0

    async def read_up_to(self, limit_bytes: int) -> bytes | None:
        """Return the complete body, or None if it is longer than the limit."""
        parts: list[bytes] = []
        size = 0
        while chunk := await self.read_chunk():
            size += len(chunk)
            if size > limit_bytes:
                return None
            parts.append(chunk)
        return b"".join(parts)

    def release(self, is_complete: bool = False) -> None:
        """Stop using the response and release its connection.

        Parameters
        ----------
        is_complete : bool, default=False
            Whether no further byte of the body is needed. The connection is then
            reused if the body ends within `END_TIMEOUT_S`. Otherwise it is reused
            only if the body has been read to its end.
        """
        if self._idle_monitor is not None:
            self._idle_monitor.discard(self)
        response = self._response
        content = response.content
        if is_complete and not content.is_eof():
            # The client library returns the connection to the pool at the end.
            timer = asyncio.get_running_loop().call_later(END_TIMEOUT_S, response.close)
            content.on_eof(timer.cancel)
        elif is_complete or content.at_eof():
            response.release()
        else:
            # A connection with an unread rest of a response cannot be reused.
            response.close()


class EngineClient:
    """Sends requests that may be retried, over keep-alive connections."""

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
        """Send a request and return its response, to be released by the caller.

        Parameters
        ----------
        method, url : str
            Method and URL.
        headers : mapping of str to str
            Request headers.
        body : bytes
            Request body.
        before_send : callable
            Called after connecting, just before the request is sent; raises if the
            request may no longer be sent.

        Raises
        ------
        NotSentError
            If no connection could be made.
        BrokenResponseError
            If the connection ended before the response headers.
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
        """Like `open`, but release the response at the end of the context."""
        response = await self.open(method, url, headers, body, before_send)
        try:
            yield response
        finally:
            response.release()

    async def cancel_stream(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a stream; failures are ignored.

        An engine that does not receive the request ends the stream when it finds
        that the connection has been closed.
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
    """Sends one request at most once, over a connection of its own."""

    def __init__(self) -> None:
        self._connector = _SingleSendConnector()

    @property
    def sent(self) -> bool:
        """Whether any byte may have been sent."""
        return self._connector.sent

    @property
    def is_cut(self) -> bool:
        """Whether the server ended the connection before its response was complete."""
        protocol = self._connector.protocol
        return isinstance(protocol, _StrictProtocol) and protocol.is_cut

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
            except (BrokenResponseError, ValueError) as error:
                if self.sent:
                    raise
                # No connection was made, such as to a malformed address.
                detail = f"no connection to the backend server ({type(error).__name__})"
                raise NotSentError(detail) from error
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
    # A large body is written in pieces, as the server takes them: the transport would
    # copy all of it.
    data = io.BytesIO(body) if len(body) > MAX_WHOLE_WRITE_BYTES else body or None
    try:
        async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
            return await session.request(
                method, url, headers=headers, data=data, allow_redirects=False
            )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        detail = f"no connection to the backend server ({type(error).__name__})"
        raise NotSentError(detail) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise _broken_response(error) from error


def _broken_response(error: Exception) -> BrokenResponseError:
    # The text of the error may contain parts of the request, its type does not.
    name = type(error).__name__
    broken = BrokenResponseError(f"the backend server's answer broke off ({name})")
    broken.is_cut = not isinstance(error, (TimeoutError, ResponseHeadError))
    return broken
