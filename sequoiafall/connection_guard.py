"""Bounds on the connections that a process accepts, and on what they leave unread.

The HTTP library bounds the lines of a head and nothing else: neither the number of
connections, nor the time of a head or a body, nor the bytes that wait unread.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from .caller_limits import CallerLimits
from .log import log_warning

# Descriptors that the machine reserves for files, and the share of the others that
# connections from outside may take. The rest is for servers, the store and peers:
# each request in progress has a connection to a server.
FILE_DESCRIPTORS = 200
CONNECTION_SHARE = 0.6
MIN_CONNECTIONS = 16
# Bytes of one receive call, and those of a body after which reading pauses; a
# connection holds up to about three times as many.
RECEIVE_BYTES = 16 * 1024
READ_BUFFER_BYTES = 8 * 1024
# A body counts as fragmented if its chunks cost more bytes than twice their content
# and this. Each chunk of one byte takes about a microsecond, so only a few such
# bodies are read at a time.
FRAMING_BYTES = 64 * 1024
MAX_FRAGMENTED_BODIES = 8
# The rest of a refused body is read for this long, so that no reset discards the
# response.
LINGER_S = 3.0
# Longest step of the clock of the checks: after a pause of the process, what has
# arrived meanwhile is read before anything counts as late.
MAX_CLOCK_STEP_S = 1.0

_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
_LARGE_HEAD_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class StalledBodyError(Exception):
    """The caller sent no further part of its body for too long."""


class FragmentedBodyError(Exception):
    """Too many bodies in very small chunks are being read."""


class GuardedConnection(RequestHandler):
    """Connection that reports to a guard what it has received.

    Attributes
    ----------
    head_bytes : int
        Bytes of the head that is being received, 0 if there is none.
    is_used : bool
        Whether a whole head has been received.
    since : float
        Time of the guard's clock at which the current state was first seen: a head, a
        body or waiting for a request.
    progress_at : float
        Time of the guard's clock of the last progress of the body or response.
    """

    __slots__ = (
        "_body_wire_bytes",
        "_guard",
        "_payload",
        "head_bytes",
        "is_used",
        "marks",
        "progress_at",
        "since",
    )

    def __init__(self, guard: ConnectionGuard, manager: Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self._guard = guard
        self._payload: StreamReader | None = None
        self._body_wire_bytes = 0
        self.head_bytes = 0
        self.is_used = False
        self.since = 0.0
        self.progress_at = 0.0
        # State, bytes of the body and unsent bytes at the last check.
        self.marks: tuple[str, int, int] = ("", 0, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection if there is room for it."""
        super().connection_made(transport)
        # The default of 256 KiB is what a single connection could leave unread.
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._guard.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and count those of heads and of chunks."""
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            self.is_used = True
            # A request that begins and ends between two checks also ends an idle time.
            self.marks = ("", 0, 0)
            self.head_bytes = 0
            self._body_wire_bytes = 0
            self._payload = self._messages[-1][1] if self._messages else None
            return
        if not data:
            return
        payload = self._payload
        if payload is None or payload.is_eof():
            self.head_bytes += len(data)
            if self.head_bytes > self._guard.limits().header_bytes:
                self.refuse("head_too_large", _LARGE_HEAD_RESPONSE)
            return
        self._body_wire_bytes += len(data)
        if self._body_wire_bytes > 2 * payload.total_bytes + FRAMING_BYTES:
            self._guard.on_fragmented(self)

    @property
    def state(self) -> str:
        """What the caller is doing: ``head``, ``body``, ``idle`` or ``busy``."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            # A body that waits behind another request, or for its reader, is not late.
            return "busy" if self._messages or self._reading_paused else "body"
        if self._request_in_progress or self._messages:
            return "busy"
        return "head" if self.head_bytes else "idle"

    @property
    def body_bytes(self) -> int:
        """Bytes of the current body that have been received."""
        return self._payload.total_bytes if self._payload is not None else 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not taken."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @property
    def has_open_body(self) -> bool:
        """Whether a body is being received."""
        return self._payload is not None and not self._payload.is_eof()

    def fail_body(self, error: Exception) -> None:
        """Let the reader of the current body see an error, and read no more of it."""
        self._lingering_time = 0.0
        if self._current_request is None:
            # It has been answered, and only its rest is read.
            self.force_close()
        elif self._payload is not None and self._payload.exception() is None:
            self._payload.set_exception(error)

    def refuse(self, reason: str, response: bytes = b"") -> None:
        """Close the connection, with a response if no request is in progress."""
        self._guard.count(reason)
        transport = self.transport
        if transport is not None and response and self.state in ("head", "idle"):
            transport.write(response)
        self.force_close()

    def abort(self, reason: str) -> None:
        """Close the connection and drop what it has not sent."""
        self._guard.count(reason)
        if self.transport is not None:
            self.transport.abort()


class ConnectionGuard:
    """Bounds the connections of all listeners of a process.

    Parameters
    ----------
    max_descriptors : int
        Descriptors of the process, with those that are reserved for files.
    limits : callable
        Returns the operator's limits.
    is_memory_short : callable
        Returns whether bodies are refused because of memory.

    Attributes
    ----------
    accepted_count : int
        Connections that were opened since the start of the process.
    counts_by_reason : Counter
        Connections that were closed and bodies that were ended, by reason.
    """

    def __init__(
        self,
        max_descriptors: int,
        limits: Callable[[], CallerLimits],
        is_memory_short: Callable[[], bool],
    ) -> None:
        sockets = max_descriptors - FILE_DESCRIPTORS
        self._max_connections = max(MIN_CONNECTIONS, int(sockets * CONNECTION_SHARE))
        self.limits = limits
        self._is_memory_short = is_memory_short
        # In the order in which they were opened.
        self._connections: dict[GuardedConnection, None] = {}
        self._fragmented: set[GuardedConnection] = set()
        self.accepted_count = 0
        self.counts_by_reason: Counter[str] = Counter()
        self._logged_by_reason: Counter[str] = Counter()
        self._clock = 0.0
        self._checked_at = 0.0

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def add(self, connection: GuardedConnection) -> None:
        """Accept a connection, if necessary in place of one without a request."""
        self.accepted_count += 1
        connection.since = connection.progress_at = self._clock
        if len(self._connections) >= self._max_connections:
            victim = self._find_unneeded()
            if victim is None:
                connection.abort("connection_refused")
                return
            self._connections.pop(victim)
            victim.refuse("connection_replaced")
        self._connections[connection] = None

    def discard(self, connection: GuardedConnection) -> None:
        """Forget a connection that has been closed."""
        self._connections.pop(connection, None)
        self._fragmented.discard(connection)

    def count(self, reason: str) -> None:
        """Count a connection that is closed, or a body that is ended."""
        self.counts_by_reason[reason] += 1

    def on_fragmented(self, connection: GuardedConnection) -> None:
        """Bound the number of bodies in very small chunks."""
        if connection in self._fragmented:
            return
        if len(self._fragmented) >= MAX_FRAGMENTED_BODIES:
            self.count("body_fragmented")
            connection.fail_body(FragmentedBodyError())
            return
        self._fragmented.add(connection)

    def check(self, now: float) -> None:
        """Close the connections whose callers are late.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._clock += min(MAX_CLOCK_STEP_S, max(0.0, now - self._checked_at))
        self._checked_at = now
        limits = self.limits()
        is_pressed = (
            self._is_memory_short() or len(self._connections) >= self._max_connections
        )
        for connection in list(self._connections):
            self._check_connection(connection, limits, is_pressed)
        self._fragmented = {row for row in self._fragmented if row.has_open_body}
        self._log_counts()

    def _check_connection(
        self, connection: GuardedConnection, limits: CallerLimits, is_pressed: bool
    ) -> None:
        state, unsent = connection.state, connection.unsent_bytes
        if state == "idle" and not unsent and connection.marks[0] == "idle":
            return
        marks = (state, connection.body_bytes, unsent)
        if marks[0] != connection.marks[0]:
            connection.since = self._clock
        if marks != connection.marks:
            connection.progress_at = self._clock
            connection.marks = marks
        age_s = self._clock - connection.since
        pause_s = self._clock - connection.progress_at
        if unsent and pause_s > limits.idle_timeout_s:
            connection.abort("response_stalled")
        elif state == "head" and age_s > limits.head_s:
            connection.refuse("head_stalled", _TIMEOUT_RESPONSE)
        elif state == "body" and (
            pause_s > limits.body_pause_s(is_pressed) or age_s > limits.body_s
        ):
            self.count("body_stalled")
            connection.fail_body(StalledBodyError())

    def _find_unneeded(self) -> GuardedConnection | None:
        """Return the oldest connection that may be closed for a new one.

        Callers that keep a connection expect it to stay open for the idle timeout.
        """
        kept: GuardedConnection | None = None
        idle_s = self.limits().idle_timeout_s
        for connection in self._connections:
            if not connection.is_used:
                return connection
            if (
                kept is None
                and connection.state == "idle"
                and connection.marks[0] == "idle"
                and self._clock - connection.since > idle_s
            ):
                kept = connection
        return kept

    def _log_counts(self) -> None:
        """Log what was closed since the last check, one line for each reason."""
        for reason, count in self.counts_by_reason.items():
            new = count - self._logged_by_reason[reason]
            if new:
                self._logged_by_reason[reason] = count
                log_warning(
                    "connections_limited",
                    reason=reason,
                    count=new,
                    open=len(self._connections),
                )


class GuardedRunner(web.AppRunner):
    """Runs a web application on guarded connections.

    Parameters
    ----------
    application : web.Application
        Application that handles the requests.
    guard : ConnectionGuard
        Bounds the connections.
    """

    def __init__(
        self, application: web.Application, guard: ConnectionGuard, **options: Any
    ) -> None:
        super().__init__(
            application,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_S,
            **options,
        )
        self._guard = guard

    async def _make_server(self) -> Server:
        made = await super()._make_server()
        return _GuardedServer(
            self._guard,
            made.request_handler,
            request_factory=made.request_factory,
            loop=made._loop,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )


class _GuardedServer(Server):
    """Creates guarded connections."""

    def __init__(self, guard: ConnectionGuard, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._guard = guard

    def __call__(self) -> RequestHandler:
        return GuardedConnection(self._guard, self, loop=self._loop, **self._kwargs)
