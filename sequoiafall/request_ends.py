"""How callers' requests end: each one with exactly one cause, counted and logged."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import io
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web

from .boot_clock import boot_time
from .caller_limits import DEFAULT_CALLER_LIMITS, CallerLimits
from .connection_guard import FragmentedBodyError, StalledBodyError
from .connection_reset import abort_response
from .log import innermost_frames, log_event, log_warning
from .memory_budget import SHORT_BYTES, MemoryBudget
from .node_metrics import NodeMetrics
from .refusal import Reason
from .response_memory import ResponseMemory

# Identifiers in one log line.
MAX_LOGGED_REQUESTS = 40


class EndCause(enum.StrEnum):
    """Why a request ended.

    Attributes
    ----------
    COMPLETED
        The caller got the complete response of a backend server.
    REFUSED
        The caller got a refusal; no backend server may have run the request.
    SERVER_BROKE_OFF
        A backend server ended its connection or sent an unusable response.
    NOT_RESUMED
        A begun stream lost its server, and no other one took it over.
    TIMEOUT
        The deadline of the caller or the timeout of the route was reached.
    KEY_WITHDRAWN
        A begun stream was ended because its key was withdrawn.
    STOPPED
        The process ended before the response.
    CALLER_LEFT
        The caller closed its connection.
    INTERNAL_ERROR
        An error that no other cause stands for.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    SERVER_BROKE_OFF = "server_broke_off"
    NOT_RESUMED = "not_resumed"
    TIMEOUT = "timeout"
    KEY_WITHDRAWN = "key_withdrawn"
    STOPPED = "stopped"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"


class ResponseState(enum.StrEnum):
    """How much of its response a caller got.

    Attributes
    ----------
    COMPLETE
        All of it was given to the connection.
    CUT
        It had begun and was aborted.
    NONE
        Nothing was sent.
    """

    COMPLETE = "complete"
    CUT = "cut"
    NONE = "none"


class BodyRefusedError(Exception):
    """The body of a request is not read to its end; the request has not run.

    Attributes
    ----------
    reason : Reason
        Why it is refused.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class StreamedResponse(web.StreamResponse):
    """Streamed response that knows whether its end has been written.

    Attributes
    ----------
    is_complete : bool
        Whether the end has been written.
    """

    is_complete = False

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the end of the response."""
        await super().write_eof(data)
        self.is_complete = True


class OpenRequest:
    """A caller's request from its headers to its end.

    Parameters
    ----------
    ends : RequestEnds
        Where the end is counted.
    web_request : web.Request
        The request as received by the HTTP server.
    request_id : str
        Identifier for the log, empty if there is none.

    Attributes
    ----------
    started_at : float
        Time of arrival in seconds of `boot_time`.
    cause : EndCause or None
        Why the request ends, once that is decided.
    is_read : bool
        Whether its body has been received.
    stream : StreamedResponse or None
        Streamed response, once it has begun.
    log_end : callable or None
        Logs and counts the end, given its name, a status and a detail; None while
        nothing is known about the request.
    """

    __slots__ = (
        "_body_bytes",
        "_ends",
        "_is_aborted",
        "_is_complete",
        "_response_bytes",
        "_response_since",
        "_scope",
        "_web_request",
        "cause",
        "is_read",
        "log_end",
        "request_id",
        "started_at",
        "stream",
    )

    def __init__(
        self, ends: RequestEnds, web_request: web.Request, request_id: str
    ) -> None:
        self._ends = ends
        self._web_request = web_request
        self._scope: asyncio.Timeout | None = None
        self._is_aborted = False
        self._is_complete = False
        # Bytes of the budgets that this request holds.
        self._body_bytes = 0
        self._response_bytes = 0
        self._response_since = 0.0
        self.request_id = request_id
        self.started_at = boot_time()
        self.cause: EndCause | None = None
        self.is_read = False
        self.stream: StreamedResponse | None = None
        self.log_end: Callable[[str, int, str], None] | None = None

    async def read_body(self) -> bytes:
        """Return the body, once it has been received.

        Raises
        ------
        BodyRefusedError
            If it is too large, there is no memory for it, or it does not come.
        """
        try:
            body = await self._read_body()
        except StalledBodyError as error:
            raise BodyRefusedError(Reason.BODY_STALLED) from error
        except FragmentedBodyError as error:
            raise BodyRefusedError(Reason.BODY_FRAGMENTED) from error
        self.is_read = True
        self._ends.on_read()
        return body

    async def _read_body(self) -> bytes:
        content = self._web_request.content
        if content.at_eof():
            return b""
        max_bytes = self._ends.limits().body_bytes
        length = self._web_request.content_length
        if length is not None and length > max_bytes:
            raise BodyRefusedError(Reason.BODY_TOO_LARGE)
        self._take_body_memory(length if length is not None else SHORT_BYTES)
        first = await content.readany()
        if content.at_eof():
            return first
        # Parts that are joined at the end would need the memory twice.
        buffer = io.BytesIO()
        buffer.write(first)
        while chunk := await content.readany():
            size = buffer.tell() + len(chunk)
            if size > max_bytes:
                raise BodyRefusedError(Reason.BODY_TOO_LARGE)
            if size > self._body_bytes:
                more_bytes = max(self._body_bytes, size - self._body_bytes)
                self._take_body_memory(min(more_bytes, max_bytes - self._body_bytes))
            buffer.write(chunk)
        return buffer.getvalue()

    def _take_body_memory(self, more_bytes: int) -> None:
        if not self._ends.bodies.try_take(self._body_bytes, more_bytes):
            raise BodyRefusedError(Reason.BODY_MEMORY_FULL)
        self._body_bytes += more_bytes

    async def take_response_memory(self, size_bytes: int) -> None:
        """Wait until an answer of a backend server may take this much memory.

        It is given back when the request ends.
        """
        held_bytes = self._response_bytes
        responses = self._ends.responses
        self._response_bytes = await responses.take(held_bytes, size_bytes)
        self._response_since = boot_time()

    def abort_if_slow(self, now: float, max_s: float) -> None:
        """Abort a large response whose caller takes longer for it than `max_s`."""
        if self._response_bytes <= SHORT_BYTES or now - self._response_since < max_s:
            return
        self._response_since = now
        log_warning(
            "slow_response_aborted",
            request_id=self.request_id,
            unsent_bytes=self.unsent_bytes,
        )
        self.abort(EndCause.CALLER_LEFT)

    async def respond(
        self,
        serve: Callable[[], Awaitable[web.StreamResponse]],
        on_unserved: Callable[[EndCause, str], web.Response],
    ) -> web.StreamResponse:
        """Run `serve` and write the response, whatever happens meanwhile.

        Parameters
        ----------
        serve : callable
            Returns the response and sets `cause`.
        on_unserved : callable
            Returns the response to a request that ended without one, for a cause and
            a detail; it also logs them.

        Raises
        ------
        asyncio.CancelledError
            If the caller has closed its connection.
        """
        try:
            return await self._serve_until_stop(serve, on_unserved)
        finally:
            self._ends.on_end(self, self._response_state())
            self._ends.bodies.give_back(self._body_bytes)
            self._ends.responses.give_back(self._response_bytes)
            self._body_bytes = self._response_bytes = 0

    def abort(self, cause: EndCause) -> None:
        """Abort a begun response, so that the caller sees it as incomplete."""
        self.cause = cause
        self._is_aborted = True
        abort_response(self._web_request)

    def stop(self) -> None:
        """End the request, because the process ends."""
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def _serve_until_stop(
        self,
        serve: Callable[[], Awaitable[web.StreamResponse]],
        on_unserved: Callable[[EndCause, str], web.Response],
    ) -> web.StreamResponse:
        cause, detail = EndCause.INTERNAL_ERROR, ""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scope = scope
                try:
                    response = await serve()
                    await self._write(response)
                    return response
                finally:
                    self._scope = None
        except web.HTTPException as error:
            # The body cannot be read.
            self.cause = EndCause.REFUSED
            self._log(error.status, error.reason)
            await self._write(error)
            return error
        except asyncio.CancelledError as error:
            if self._is_cancelled():
                self.cause = EndCause.CALLER_LEFT
                self._log(0, "the caller disconnected")
                raise
            detail = _describe(error)
        except Exception as error:
            if self._is_disconnected:
                self.cause = EndCause.CALLER_LEFT
                self._log(0, f"the caller disconnected ({type(error).__name__})")
                raise
            if scope.expired():
                cause, detail = EndCause.STOPPED, "this instance ends"
            else:
                detail = _describe(error)
        return await self._finish(cause, detail, on_unserved)

    async def _finish(
        self,
        cause: EndCause,
        detail: str,
        on_unserved: Callable[[EndCause, str], web.Response],
    ) -> web.StreamResponse:
        """Respond to a request that ended without a response, or abort a begun one."""
        self.cause = cause
        if self.stream is not None and self.stream.is_complete:
            # The error came after the end of the response, such as in a release.
            self._log(self.stream.status, detail)
            self._is_complete = True
            return self.stream
        if self._has_begun:
            self._log(0, detail)
            self.abort(cause)
            return web.Response()
        response = on_unserved(cause, detail)
        await self._write(response)
        return response

    async def _write(self, response: web.StreamResponse) -> None:
        """Write what is left of a response, unless it was aborted."""
        if not self._is_aborted:
            await response.prepare(self._web_request)
            await response.write_eof()
            if isinstance(response, web.Response):
                # The connection keeps its last response until the next request.
                response.body = None
            if self._response_bytes > SHORT_BYTES:
                # What the transport still holds counts as memory of this request.
                await self._web_request.writer.drain()
            self._is_complete = True

    def _response_state(self) -> ResponseState:
        if self._is_complete:
            return ResponseState.COMPLETE
        return ResponseState.CUT if self._has_begun else ResponseState.NONE

    @property
    def _has_begun(self) -> bool:
        return self._web_request.writer.output_size > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the response that the caller's connection has not taken yet."""
        transport = self._web_request.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def _is_disconnected(self) -> bool:
        transport = self._web_request.transport
        return transport is None or transport.is_closing()

    @staticmethod
    def _is_cancelled() -> bool:
        """Whether the task was cancelled, as opposed to something it waited for."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    def _log(self, status: int, detail: str) -> None:
        end = self.cause.value if self.cause is not None else ""
        if self.log_end is not None:
            self.log_end(end, status, detail)
            return
        self._ends.count_unknown(end)
        log_warning(
            "request_ended",
            request_id=self.request_id,
            end=end,
            status=status,
            detail=detail,
            is_read=self.is_read,
            since_ms=int((boot_time() - self.started_at) * 1e3),
        )


class RequestEnds:
    """The requests that are open at an instance, and how those before them ended.

    Parameters
    ----------
    metrics : NodeMetrics
        Counts the requests that were read, and their ends.
    memory_mb : float
        Memory of the process in MB.
    limits : callable
        Returns the operator's limits.

    Attributes
    ----------
    bodies : MemoryBudget
        Memory of the bodies of the open requests.
    responses : ResponseMemory
        Memory of the answers that are held for callers.
    is_stopped : bool
        Whether the process ends and takes no request any more.
    """

    def __init__(
        self,
        metrics: NodeMetrics,
        memory_mb: float,
        limits: Callable[[], CallerLimits] = lambda: DEFAULT_CALLER_LIMITS,
    ) -> None:
        self._metrics = metrics
        self.limits = limits
        self.bodies = MemoryBudget.for_bodies(memory_mb)
        self.responses = ResponseMemory(MemoryBudget.for_responses(memory_mb))
        self._open: set[OpenRequest] = set()
        self._idle = asyncio.Event()
        self._ends_at_stop: Counter[tuple[str, str]] = Counter()
        self.is_stopped = False

    @property
    def open_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self._open)

    def begin(self, web_request: web.Request, request_id: str) -> OpenRequest:
        """Record that the headers of a request have been received."""
        request = OpenRequest(self, web_request, request_id)
        self._open.add(request)
        return request

    def on_read(self) -> None:
        """Count a request whose body has been received."""
        self._metrics.requests_read += 1

    def on_end(self, request: OpenRequest, state: ResponseState) -> None:
        """Count the end of a request."""
        self._open.discard(request)
        cause = request.cause or EndCause.INTERNAL_ERROR
        metrics = self._metrics
        ends = (
            metrics.ends_by_cause if request.is_read else metrics.unread_ends_by_cause
        )
        ends[cause.value, state.value] += 1
        if not self._open:
            self._idle.set()

    def check(self, now: float) -> None:
        """End slow large responses if other answers wait for their memory.

        Parameters
        ----------
        now : float
            Time in seconds of `boot_time`.
        """
        if not self.responses.has_waiters:
            return
        for request in list(self._open):
            request.abort_if_slow(now, self.limits().idle_timeout_s)

    def on_stopping(self) -> None:
        """Record that a planned stop begins, from which `describe_stop` counts.

        The requests that are open then are logged: a process that is killed later
        writes nothing about their ends.
        """
        self._ends_at_stop = self._all_ends()
        open_ids = [request.request_id for request in self._open]
        for first in range(0, len(open_ids), MAX_LOGGED_REQUESTS):
            request_ids = open_ids[first : first + MAX_LOGGED_REQUESTS]
            log_event("open_at_stop", request_ids=",".join(request_ids))

    def describe_stop(self) -> str:
        """Return how requests have ended since the stop began, for the log."""
        ends = self._all_ends() - self._ends_at_stop
        rows = sorted(ends.items())
        return ",".join(f"{cause}/{state}:{count}" for (cause, state), count in rows)

    def _all_ends(self) -> Counter[tuple[str, str]]:
        return self._metrics.ends_by_cause + self._metrics.unread_ends_by_cause

    def count_unknown(self, end: str) -> None:
        """Count the end of a request whose route is not known."""
        self._metrics.requests_by_end["unknown", end] += 1

    def stop(self) -> None:
        """End all open requests, because the process ends."""
        self.is_stopped = True
        for request in list(self._open):
            request.stop()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is open, or until the timeout in seconds."""
        self._idle.clear()
        if not self._open:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._idle.wait()


def _describe(error: BaseException) -> str:
    # The text of the error may contain parts of the request, its type does not.
    return f"{type(error).__name__} at {innermost_frames(error)}"
