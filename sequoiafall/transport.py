"""Remote procedure calls between the processes of the system.

Messages are thrift structs. `channel` does the framing and the authentication.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import functools
import inspect
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from mode import Service
from returns.result import Failure, Result, Success

from .channel import (
    FAULT,
    Channel,
    MalformedInputError,
    accept_channel,
    decode_struct,
    encode_struct,
    open_channel,
    remote_address,
)
from .log import log_event, log_warning
from .wire.gen import ttypes

# Connections that do not complete the challenge in this time are closed.
HANDSHAKE_TIMEOUT_S = 2.0
# Bounds the number of tasks per connection. A pool queues at most 1,000 requests.
MAX_REQUESTS_IN_PROGRESS = 4096


class MessageKind(enum.IntEnum):
    """Type of a request; its reply has the same number with the `REPLY` bit set."""

    HEARTBEAT = 1
    NOTIFY_HEAD = 2
    FETCH_STATE = 3
    HANDOVER = 4
    GATEWAY_POLL = 5
    QUOTA_REQUEST = 6
    PLACE_REQUEST = 7
    PLACE_UPDATE = 8
    STATUS_REQUEST = 9
    LOAN_REQUEST = 10
    FLEET_POLL = 11
    ENGINE_ASK = 12
    ENGINE_ENDS = 13
    SEND_PERMIT = 14
    EVIDENCE_NOTICE = 15


REPLY = 0x40
CANCEL = 0x81

_TYPES_BY_KIND: dict[MessageKind, tuple[type, type]] = {
    MessageKind.HEARTBEAT: (ttypes.Heartbeat, ttypes.HeartbeatReply),
    MessageKind.NOTIFY_HEAD: (ttypes.NotifyHead, ttypes.Ack),
    MessageKind.FETCH_STATE: (ttypes.FetchState, ttypes.StateReply),
    MessageKind.HANDOVER: (ttypes.Handover, ttypes.Ack),
    MessageKind.GATEWAY_POLL: (ttypes.GatewayPoll, ttypes.GatewayPollReply),
    MessageKind.QUOTA_REQUEST: (ttypes.QuotaRequest, ttypes.QuotaReply),
    MessageKind.PLACE_REQUEST: (ttypes.PlaceRequest, ttypes.PlaceReply),
    MessageKind.PLACE_UPDATE: (ttypes.PlaceUpdate, ttypes.Ack),
    MessageKind.STATUS_REQUEST: (ttypes.StatusRequest, ttypes.StatusReply),
    MessageKind.LOAN_REQUEST: (ttypes.LoanRequest, ttypes.LoanReply),
    MessageKind.FLEET_POLL: (ttypes.FleetPoll, ttypes.FleetPollReply),
    MessageKind.ENGINE_ASK: (ttypes.EngineAsk, ttypes.EngineAnswer),
    MessageKind.ENGINE_ENDS: (ttypes.EngineEnds, ttypes.Ack),
    MessageKind.SEND_PERMIT: (ttypes.SendPermitRequest, ttypes.SendPermitReply),
    MessageKind.EVIDENCE_NOTICE: (ttypes.EvidenceNotice, ttypes.Ack),
}
_KINDS_BY_REQUEST_TYPE = {types[0]: kind for kind, types in _TYPES_BY_KIND.items()}

Handler = Callable[[Any, str], Any | Awaitable[Any]]
ResultCallback = Callable[[Result[Any, "WireError"]], None]


class Delivery(enum.StrEnum):
    """Whether a failed call may have reached its handler."""

    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class WireError:
    """Failure of a call.

    Parameters
    ----------
    delivery : Delivery
        ``NOT_SENT`` only if the peer cannot have acted on the request.
    detail : str
        Explanation for the log.
    refused : bool, default=False
        Whether the connection was refused because no process listens on the port.
    """

    delivery: Delivery
    detail: str
    refused: bool = False


_NOT_SENT_ERROR = WireError(Delivery.NOT_SENT, "connection lost or too long")


def _timeout_error(delivery: Delivery, timeout_s: float) -> WireError:
    return WireError(delivery, f"no reply within {timeout_s} s")


class _ConnectionLostError(ConnectionError):
    """The connection ended while a call waited for its reply."""


class WireServer(Service):
    """Serves requests of authenticated peers.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free port, which `port` then holds.
    secret : bytes
        Shared secret of the instances.
    handlers_by_kind : mapping of MessageKind to handler
        A handler is ``(request, peer) -> reply``, plain or ``async``. The task of
        an ``async`` handler is cancelled when the caller cancels the call or the
        connection is lost.
    """

    def __init__(
        self,
        host: str,
        port: int,
        secret: bytes,
        handlers_by_kind: Mapping[MessageKind, Handler],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.host = host
        self.port = port
        self._secret = secret
        self._handlers_by_kind = handlers_by_kind
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._on_connection, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        peer = remote_address(writer)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                channel = await accept_channel(reader, writer, self._secret)
            await self._serve(channel)
        except MalformedInputError as error:
            log_warning("malformed_input", peer=peer, detail=error)
        except TimeoutError:
            log_warning("malformed_input", peer=peer, detail="challenge timed out")
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass  # The peer closed the connection.
        except asyncio.CancelledError:
            pass  # The server is stopping; asyncio streams expect a normal return.
        finally:
            self._connections.discard(task)
            writer.close()

    async def _serve(self, channel: Channel) -> None:
        tasks_by_correlation: dict[int, asyncio.Task[None]] = {}
        try:
            while True:
                kind, correlation_id, payload = await channel.receive()
                if kind == CANCEL:
                    cancelled = tasks_by_correlation.get(correlation_id)
                    if cancelled is not None:
                        cancelled.cancel()
                    continue
                if correlation_id in tasks_by_correlation:
                    raise MalformedInputError("correlation number in use")
                request, handler = self._parse_request(kind, payload)
                if handler is None:
                    _send_fault(channel, correlation_id, "no handler", acted=False)
                    continue
                if len(tasks_by_correlation) >= MAX_REQUESTS_IN_PROGRESS:
                    _send_fault(
                        channel, correlation_id, "too many requests", acted=False
                    )
                    continue
                reply = self._start_handler(
                    channel, kind, correlation_id, handler, request
                )
                if reply is None:
                    continue
                task = asyncio.create_task(
                    self._send_when_ready(channel, kind, correlation_id, reply)
                )
                tasks_by_correlation[correlation_id] = task
                task.add_done_callback(
                    functools.partial(
                        _discard_task, tasks_by_correlation, correlation_id, reply
                    )
                )
        finally:
            for task in list(tasks_by_correlation.values()):
                task.cancel()

    def _parse_request(self, kind: int, payload: bytes) -> tuple[Any, Handler | None]:
        try:
            message_kind = MessageKind(kind)
        except ValueError:
            raise MalformedInputError(f"unknown kind {kind}") from None
        request = decode_struct(_TYPES_BY_KIND[message_kind][0], payload)
        return request, self._handlers_by_kind.get(message_kind)

    def _start_handler(
        self,
        channel: Channel,
        kind: int,
        correlation_id: int,
        handler: Handler,
        request: Any,
    ) -> Awaitable[Any] | None:
        """Call the handler and send its reply, or return an awaitable reply.

        Handlers that do not await run without a task: creating one takes as long
        as answering a heartbeat.
        """
        try:
            reply = handler(request, channel.peer)
        except Exception as error:
            _send_failure(channel, kind, correlation_id, error)
            return None
        if inspect.isawaitable(reply):
            return reply
        _send_reply(channel, kind, correlation_id, reply)
        return None

    async def _send_when_ready(
        self, channel: Channel, kind: int, correlation_id: int, reply: Awaitable[Any]
    ) -> None:
        try:
            result = await reply
        except Exception as error:
            _send_failure(channel, kind, correlation_id, error)
            return
        _send_reply(channel, kind, correlation_id, result)


def _discard_task(
    tasks_by_correlation: dict[int, asyncio.Task[None]],
    correlation_id: int,
    reply: Awaitable[Any],
    _task: asyncio.Task[None],
) -> None:
    tasks_by_correlation.pop(correlation_id, None)
    if inspect.iscoroutine(reply):
        # A task that is cancelled before it first runs leaves its coroutine
        # unawaited, and the interpreter would warn about it.
        reply.close()


def _send_reply(channel: Channel, kind: int, correlation_id: int, reply: Any) -> None:
    try:
        payload = encode_struct(reply)
    except Exception as error:
        _send_failure(channel, kind, correlation_id, error)
        return
    if not channel.send(kind | REPLY, correlation_id, payload):
        log_warning("reply_not_sent", kind=MessageKind(kind).name, bytes=len(payload))
        _send_fault(channel, correlation_id, "reply not sent", acted=True)


def _send_failure(
    channel: Channel, kind: int, correlation_id: int, error: Exception
) -> None:
    # An exception in one handler must not end the other calls of the connection.
    log_warning(
        "handler_failed", kind=MessageKind(kind).name, peer=channel.peer, error=error
    )
    _send_fault(channel, correlation_id, "handler failed", acted=True)


def _send_fault(channel: Channel, correlation_id: int, text: str, acted: bool) -> None:
    fault = ttypes.Fault(acted=acted, detail=text)
    channel.send(FAULT, correlation_id, encode_struct(fault))


class _Connection:
    """A client's connection and the calls that await replies on it."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._replies_by_correlation: dict[
            int, tuple[MessageKind, asyncio.Future[Any]]
        ] = {}
        self._next_correlation = 1
        self.lost = False
        self._end_detail = "connection closed"
        self._task = asyncio.create_task(self._receive())
        # A task that is cancelled before its first step runs no `finally` block.
        self._task.add_done_callback(self._on_receive_ended)

    async def _receive(self) -> None:
        try:
            while True:
                self._dispatch(*await self._channel.receive())
        except MalformedInputError as error:
            self._end_detail = f"malformed input: {error}"
            log_warning("malformed_input", peer=self._channel.peer, detail=error)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass

    def _on_receive_ended(self, task: asyncio.Task[None]) -> None:
        self.lost = True
        self._channel.close()
        if not task.cancelled() and task.exception() is not None:
            log_warning(
                "receive_failed",
                peer=self._channel.peer,
                error=repr(task.exception()),
            )
        for _, reply in self._replies_by_correlation.values():
            if not reply.done():
                reply.set_exception(_ConnectionLostError(self._end_detail))
        self._replies_by_correlation.clear()

    def _dispatch(self, kind: int, correlation_id: int, payload: bytes) -> None:
        pending = self._replies_by_correlation.pop(correlation_id, None)
        if pending is None:
            return  # The call has timed out or was cancelled.
        request_kind, reply = pending
        try:
            if kind == FAULT:
                fault = decode_struct(ttypes.Fault, payload)
                delivery = Delivery.UNKNOWN if fault.acted else Delivery.NOT_SENT
                result: Result[Any, WireError] = Failure(
                    WireError(delivery, f"peer: {fault.detail}")
                )
            elif kind == request_kind | REPLY:
                result = Success(
                    decode_struct(_TYPES_BY_KIND[request_kind][1], payload)
                )
            else:
                raise MalformedInputError(f"reply of kind {kind}")
        except MalformedInputError:
            self._replies_by_correlation[correlation_id] = pending
            raise
        if not reply.done():
            reply.set_result(result)

    async def call(self, kind: MessageKind, payload: bytes) -> Result[Any, WireError]:
        """Send a request and wait for its reply."""
        correlation_id = self._next_correlation
        self._next_correlation += 1
        if self.lost or not self._channel.send(kind, correlation_id, payload):
            return Failure(_NOT_SENT_ERROR)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies_by_correlation[correlation_id] = (kind, reply)
        try:
            return await reply
        except _ConnectionLostError as error:
            return Failure(WireError(Delivery.UNKNOWN, str(error)))
        finally:
            if self._replies_by_correlation.pop(correlation_id, None) is not None:
                # The caller was cancelled or timed out, so the handler is stopped too.
                self._channel.send(CANCEL, correlation_id, b"")

    def post(
        self,
        kind: MessageKind,
        payload: bytes,
        timeout_s: float,
        on_result: ResultCallback,
    ) -> None:
        """Send a request and pass its result to a callback, without creating a task."""
        correlation_id = self._next_correlation
        self._next_correlation += 1
        if self.lost or not self._channel.send(kind, correlation_id, payload):
            on_result(Failure(_NOT_SENT_ERROR))
            return
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Any] = loop.create_future()
        self._replies_by_correlation[correlation_id] = (kind, reply)
        timer = loop.call_later(timeout_s, self._expire, correlation_id, timeout_s)

        def on_done(done: asyncio.Future[Any]) -> None:
            timer.cancel()
            error = done.exception()
            if error is None:
                on_result(done.result())
            else:
                on_result(Failure(WireError(Delivery.UNKNOWN, str(error))))

        reply.add_done_callback(on_done)

    def _expire(self, correlation_id: int, timeout_s: float) -> None:
        pending = self._replies_by_correlation.pop(correlation_id, None)
        if pending is not None and not pending[1].done():
            self._channel.send(CANCEL, correlation_id, b"")
            pending[1].set_result(Failure(_timeout_error(Delivery.UNKNOWN, timeout_s)))

    async def close(self) -> None:
        """Close the connection; calls in progress fail."""
        self.lost = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task


class WireClient(Service):
    """Calls one peer over a single connection, which is opened on demand.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    secret : bytes
        Shared secret of the instances.
    """

    def __init__(self, address: str, secret: bytes, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.address = address
        self._secret = secret
        self._connection: _Connection | None = None
        self._connect_lock: asyncio.Lock = asyncio.Lock()
        self._connect_failures = 0

    async def on_stop(self) -> None:
        """Close the connection; calls in progress fail."""
        await self.close()

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    @property
    def connected(self) -> bool:
        """Whether a connection is open."""
        return self._connection is not None and not self._connection.lost

    async def call(self, request: Any, timeout_s: float) -> Result[Any, WireError]:
        """Send a request and wait for the reply.

        Parameters
        ----------
        request : thrift struct
            One of the request types.
        timeout_s : float
            Timeout of the call in seconds, including the time to connect.

        Returns
        -------
        Result
            The reply, or a `WireError` that says whether the peer may have acted
            on the request.
        """
        kind = _KINDS_BY_REQUEST_TYPE[type(request)]
        payload = encode_struct(request)
        delivery = Delivery.NOT_SENT
        try:
            async with asyncio.timeout(timeout_s):
                match await self._connect():
                    case Success(connection):
                        delivery = Delivery.UNKNOWN
                        return await connection.call(kind, payload)
                    case failure:
                        return failure
        except TimeoutError:
            return Failure(_timeout_error(delivery, timeout_s))

    def post(self, request: Any, timeout_s: float, on_result: ResultCallback) -> bool:
        """Send a request on the open connection and pass its result to a callback.

        Unlike `call`, this neither opens a connection nor creates a task.

        Returns
        -------
        bool
            False if no connection is open; nothing is sent then.
        """
        connection = self._connection
        if connection is None or connection.lost:
            return False
        kind = _KINDS_BY_REQUEST_TYPE[type(request)]
        connection.post(kind, encode_struct(request), timeout_s, on_result)
        return True

    async def _connect(self) -> Result[_Connection, WireError]:
        if self._connection is not None and not self._connection.lost:
            return Success(self._connection)
        async with self._connect_lock:
            if self._connection is not None and not self._connection.lost:
                return Success(self._connection)
            try:
                channel = await self._open()
            except (OSError, asyncio.IncompleteReadError, MalformedInputError) as error:
                self._connect_failures += 1
                if self._connect_failures == 1:
                    log_warning("connect_failed", peer=self.address, error=error)
                refused = isinstance(error, ConnectionRefusedError)
                return Failure(
                    WireError(Delivery.NOT_SENT, f"connect: {error}", refused)
                )
            if self._connect_failures:
                log_event(
                    "reconnected", peer=self.address, failures=self._connect_failures
                )
            self._connect_failures = 0
            self._connection = _Connection(channel)
            return Success(self._connection)

    async def _open(self) -> Channel:
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                return await open_channel(reader, writer, self._secret)
            except BaseException:
                writer.close()
                raise
