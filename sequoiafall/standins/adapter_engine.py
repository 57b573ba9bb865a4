"""Simulated model engine or plain service on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ..connection_reset import reset_connection
from ..platform import names

# Path of the health checks in the configurations of the tests.
HEALTH_PATH = "/healthz"
EVENT_INTERVAL_S = 0.01
TRICKLE_INTERVAL_S = 0.02
# Instances take headers of this size from callers and pass them on.
MAX_HEADER_BYTES = 16 * 1024
# Reports show the state as it was this long ago.
REPORT_LAG_S = 0.1
CRASH_DOWN_S = 1.5


class _UnframedResponse(web.StreamResponse):
    """Response with neither a length nor chunks, which ends with its connection."""

    _length_check = False

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.force_close()


class AdapterEngine:
    """Serves requests, reports and load orders over HTTP, with injectable faults.

    Attributes
    ----------
    name, model : str
        Server name and base model; a plain service has no model.
    runs : Counter
        Number of executions by request identifier.
    exceeded_slots : bool
        Whether it was ordered to load more adapters than it has slots.
    unanswered_orders : int
        Number of next orders that get no result. Each is executed after
        `late_order_delay_s` if its precondition still holds.
    cut_after_events : int
        Number of events after which the next stream is cut off; -1 for never.
    breaks_all_streams : bool
        Whether every stream is cut off after its first event.
    pause_after_events : int
        Number of events after which streams pause until `resume_event` is set; -1
        for never.
    resume_event : asyncio.Event
        Set to resume paused streams and withheld reports.
    mismatched_responses : int
        Number of next responses that carry the identifier of another request.
    fail_next, shed_next, drop_next : int
        Number of next requests that fail with 500, that are rejected as not run, and
        whose connection is aborted after they ran.
    is_leaving : bool
        Whether all responses carry the header that announces a shutdown.
    reject_next, retry_after : int, str
        Number of next requests that are rejected, and the value of their
        ``Retry-After`` header.
    event_interval_s : float
        Seconds between two events of a stream.
    software : str
        Software version that each event names; events name none if it is empty.
    padding_bytes : int
        Additional bytes of each event.
    trickling_streams : int
        Number of streams that send single bytes after their first event, but never
        complete another event.
    withholds_reports : bool
        Whether report requests are blocked until `resume_event` is set.
    received_request_ids : list of str
        Identifiers of all requests received, including those that did not run.
    limit_per_s : float
        Requests per second that the server takes, as named in its responses; negative
        for no limit.
    names_limit_in_control : bool
        Whether the responses to report requests and orders name the limit as well.
    calls : list of tuple of (float, str)
        Time in seconds and kind of all calls: ``request``, ``report`` or ``order``.
    ends_with_connection : bool
        Whether responses to requests have neither a length nor chunks, so that the
        end of their connection ends them.
    cuts_with_reset : bool
        Whether responses that are cut off end with a reset of the connection, as
        opposed to a regular end.
    crashing_parts : set of str
        Parts of a prompt on which the server crashes as soon as it begins to write a
        response. It then refuses connections for `down_s`, and restarts with nothing
        loaded.
    down_s : float
        Seconds from a crash to the restart.
    keeps_models : bool
        Whether it holds the same models and adapters after a crash as before.
    crashed_at : list of float
        Times of the crashes, in seconds.
    crashing_requests : set of (str, bytes)
        Paths, with their queries, and bodies of requests that crash the server as
        soon as it begins to run them.
    harmful_arrivals : list of float
        Times of requests that crash the server, in seconds.
    on_restart : callable or None
        Called after each restart that follows a crash.
    """

    def __init__(
        self, name: str, model: str = "", slots: int = 6, load_s: float = 0.05
    ) -> None:
        self.name = name
        self.model = model
        self.adapter_slots = slots
        self.load_s = load_s
        self.has_model = True
        self.started_at_ms = int(time.time() * 1e3)
        self.resident: dict[str, int] = {}
        self.ready_at_by_adapter: dict[str, float] = {}
        self.default_versions_by_adapter: dict[str, int] = {}
        self.sequence = 0
        self.fencing_token = 0
        self.running = 0
        self.events_per_stream = 5
        self.processing_s = 0.01
        self.runs: Counter[str] = Counter()
        self.headers_by_request: dict[str, dict[str, str]] = {}
        self.exceeded_slots = False
        self.unanswered_orders = 0
        self.late_order_delay_s = 0.3
        self.cut_after_events = -1
        self.breaks_all_streams = False
        self.pause_after_events = -1
        self.resume_event = asyncio.Event()
        self.software = ""
        self.mismatched_responses = 0
        self.fail_next = 0
        self.shed_next = 0
        self.drop_next = 0
        self.is_leaving = False
        self.reject_next = 0
        self.retry_after = "1"
        self.event_interval_s = EVENT_INTERVAL_S
        self.padding_bytes = 0
        self.trickling_streams = 0
        self.withholds_reports = False
        self.received_request_ids: list[str] = []
        self.limit_per_s = -1.0
        self.names_limit_in_control = True
        self.calls: list[tuple[float, str]] = []
        self.ends_with_connection = False
        self.cuts_with_reset = True
        self.crashing_parts: set[str] = set()
        self.crashing_requests: set[tuple[str, bytes]] = set()
        self._silent_until = 0.0
        self._speaks = asyncio.Event()
        self.down_s = CRASH_DOWN_S
        self.keeps_models = False
        self.crashed_at: list[float] = []
        self.harmful_arrivals: list[float] = []
        self.on_restart: Callable[[], object] | None = None
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart_task: asyncio.Task[None] | None = None
        # Time, resident adapters, whether the model is loaded, and sequence number
        # after each order.
        self._history: list[tuple[float, dict[str, int], bool, int]] = []

    def application(self) -> web.Application:
        """Return the web application."""
        application = web.Application()
        application.on_response_prepare.append(self._on_prepare)
        application.router.add_get(names.REPORT_PATH, self._on_report)
        application.router.add_post(names.ORDER_PATH, self._on_order)
        application.router.add_get(HEALTH_PATH, self._on_health)
        application.router.add_route("*", "/{path:.*}", self._on_request)
        return application

    async def listen(self, host: str) -> str:
        """Start to serve on a free port and return the address."""
        self._runner = web.AppRunner(
            self.application(),
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, 0, shutdown_timeout=0.1)
        await self._site.start()
        return "{}:{}".format(*self._runner.addresses[0][:2])

    async def close(self) -> None:
        """Stop serving."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some time, then go on as if nothing had happened."""
        self._silent_until = time.monotonic() + seconds
        self._speaks.clear()

    def end_silence(self) -> None:
        """Go on at once."""
        self._silent_until = 0.0
        self._speaks.set()

    @property
    def is_silent(self) -> bool:
        """Whether it sends nothing at present."""
        return time.monotonic() < self._silent_until

    async def _wait_silence_over(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self._silent_until - time.monotonic())):
                await self._speaks.wait()

    async def crash(self) -> None:
        """Reset all connections and refuse new ones until `down_s` is over."""
        if self._runner is None or self._site is None or self._runner.server is None:
            return
        if self._restart_task is not None and not self._restart_task.done():
            return
        self.crashed_at.append(time.monotonic())
        host, port = self._runner.addresses[0][:2]
        self._restart_task = asyncio.get_running_loop().create_task(
            self._restart_later(host, port)
        )
        await self._site.stop()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, and go on to serve on new ones."""
        if self._runner is None or self._runner.server is None:
            return
        for connection in list(self._runner.server.connections):
            reset_connection(connection.transport)

    async def _restart_later(self, host: str, port: int) -> None:
        await asyncio.sleep(self.down_s)
        assert self._runner is not None
        self.restart()
        self._site = web.TCPSite(self._runner, host, port, shutdown_timeout=0.1)
        await self._site.start()
        if self.on_restart is not None:
            self.on_restart()

    def restart(self) -> None:
        """Simulate a restart under the same name, with nothing loaded."""
        self.started_at_ms += 1
        self.sequence = self.fencing_token = 0
        if not self.keeps_models:
            self.has_model = False
            self.resident.clear()
        self._history.clear()

    async def _on_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.is_leaving:
            response.headers[names.LEAVING] = "1"
        is_control = request.path in (names.REPORT_PATH, names.ORDER_PATH)
        if self.limit_per_s >= 0.0 and (self.names_limit_in_control or not is_control):
            response.headers[names.LIMIT] = f"{self.limit_per_s:g}"

    def _record_call(self, kind: str) -> None:
        self.calls.append((time.monotonic(), kind))

    def _take_rejection(self, request_id: str = "") -> web.Response | None:
        if self.reject_next <= 0:
            return None
        self.reject_next -= 1
        headers = {names.RETRY_AFTER: self.retry_after, names.NOT_RUN: "1"}
        if request_id:
            headers[names.REQUEST_ID] = request_id
        return web.Response(status=503, headers=headers)

    # Health, reports and orders

    async def _on_health(self, request: web.Request) -> web.StreamResponse:
        self._record_call("health")
        await self._wait_silence_over()
        if request.headers.get(names.EXPECTED_SERVER, self.name) != self.name:
            return web.Response(status=421)
        status = 503 if self.is_leaving else 200
        return web.Response(status=status, headers={names.SERVER_ID: self.name})

    def _report_at(
        self, resident: dict[str, int], has_model: bool, sequence: int, seen_at: float
    ) -> dict[str, Any]:
        """Return the report of a state as it was at a time in seconds."""
        loaded = [
            f"{name}@{version}"
            for name, version in resident.items()
            if self.ready_at_by_adapter.get(name, 0.0) <= seen_at
        ]
        incoming = [
            f"{self.model}/{name}@{version}"
            for name, version in resident.items()
            if self.ready_at_by_adapter.get(name, 0.0) > seen_at
        ]
        models = [{"name": self.model, "version": 1, "adapters": loaded}]
        return {
            "stage": "unified",
            "models": models if has_model else [],
            "incoming": incoming,
            "busy": False,
            "sequence": sequence,
            "waiting": 0,
            "running": self.running,
            "born": self.started_at_ms,
        }

    async def _on_report(self, _request: web.Request) -> web.Response:
        self._record_call("report")
        if self.withholds_reports:
            await self.resume_event.wait()
        await self._wait_silence_over()
        now = time.monotonic()
        seen_at = now - REPORT_LAG_S
        old = [state for state in self._history if state[0] <= seen_at]
        if old:
            _, resident, has_model, sequence = old[-1]
            return web.json_response(
                self._report_at(resident, has_model, sequence, seen_at)
            )
        return web.json_response(
            self._report_at(self.resident, self.has_model, self.sequence, now)
        )

    async def _on_order(self, request: web.Request) -> web.StreamResponse:
        self._record_call("order")
        order = await request.json()
        await self._wait_silence_over()
        if request.headers.get(names.EXPECTED_SERVER, self.name) != self.name:
            return web.Response(status=421)
        if self.unanswered_orders > 0:
            self.unanswered_orders -= 1
            await asyncio.sleep(self.late_order_delay_s)
            self._execute_order(order)
            return web.Response(status=504)
        return web.Response(status=self._execute_order(order))

    def _execute_order(self, order: dict[str, Any]) -> int:
        if not order.get("holder") or not order.get("fencing_token"):
            return 400
        if order["fencing_token"] < self.fencing_token:
            return 412
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.fencing_token = order["fencing_token"]
        adapter = order.get("adapter", "")
        if not adapter:
            if self.has_model:
                return 200
            self.has_model = True
            return self._record_change(202)
        if not self.has_model:
            return 409
        if order["operation"] == "model_unload":
            self.resident.pop(adapter, None)
            return self._record_change(200)
        version = order.get("version") or self.default_versions_by_adapter.get(
            adapter, 1
        )
        if self.resident.get(adapter) == version:
            return 200
        if adapter not in self.resident and len(self.resident) >= self.adapter_slots:
            self.exceeded_slots = True
        self.resident[adapter] = version
        self.ready_at_by_adapter[adapter] = time.monotonic() + self.load_s
        return self._record_change(202)

    def _record_change(self, status: int) -> int:
        self.sequence += 1
        self._history.append(
            (time.monotonic(), dict(self.resident), self.has_model, self.sequence)
        )
        del self._history[:-50]
        return status

    # Requests

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.received_request_ids.append(request_id)
        self._record_call("request")
        is_harmful = not self.crashing_parts.isdisjoint(_parts(request))
        is_harmful |= (request.raw_path, body) in self.crashing_requests
        if is_harmful:
            self.harmful_arrivals.append(time.monotonic())
        await self._wait_silence_over()
        headers = {names.REQUEST_ID: request_id}
        if request.headers.get(names.EXPECTED_SERVER, self.name) != self.name:
            return web.Response(status=421, headers=headers)
        rejection = self._take_rejection(request_id)
        if rejection is not None:
            return rejection
        if self.shed_next > 0:
            self.shed_next -= 1
            return web.Response(status=503, headers={**headers, names.NOT_RUN: "1"})
        adapter = request.headers.get(names.MODEL, "").partition("/")[2]
        if adapter:
            version = self.resident.get(adapter)
            expected_version = request.headers.get(names.EXPECTED_VERSION)
            if version is None or (
                expected_version and int(expected_version) != version
            ):
                return web.Response(status=421, headers=headers)
            if self.ready_at_by_adapter.get(adapter, 0.0) > time.monotonic():
                return web.Response(status=503, headers={**headers, names.NOT_RUN: "1"})
        self.runs[request_id] += 1
        self.headers_by_request[request_id] = dict(request.headers)
        headers[names.SIGNATURE] = f"{self.name}.{self.runs[request_id]}"
        if self.drop_next > 0:
            self.drop_next -= 1
            await asyncio.sleep(self.processing_s)
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        if self.fail_next > 0:
            self.fail_next -= 1
            return web.Response(status=500, headers=headers)
        if self.mismatched_responses > 0:
            self.mismatched_responses -= 1
            headers[names.REQUEST_ID] = "another"
        self.running += 1
        try:
            if is_harmful:
                await asyncio.sleep(self.event_interval_s)
                await self.crash()
                return web.Response(status=500)
            if self.model:
                return await self._stream(request, headers)
            await asyncio.sleep(self.processing_s)
            await self._wait_silence_over()
            if self.ends_with_connection:
                return await self._respond_unframed(request, headers, b"done:" + body)
            return web.Response(body=b"done:" + body, headers=headers)
        finally:
            self.running -= 1

    async def _respond_unframed(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        response = _UnframedResponse(headers=headers)
        await response.prepare(request)
        is_cut = self.cut_after_events >= 0
        self.cut_after_events = -1
        await response.write(body[:-1] if is_cut else body)
        if is_cut and request.transport is not None:
            self._cut(request.transport)
            return response
        await response.write_eof()
        return response

    def _cut(self, transport: asyncio.Transport) -> None:
        """End a connection in the middle of a response."""
        if self.cuts_with_reset:
            reset_connection(transport)
        else:
            transport.close()

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        # Streams that run on while the server is replaced stay with their version.
        software = self.software
        first = int(request.headers.get(names.LAST_EVENT, "0")) + 1
        kind = _UnframedResponse if self.ends_with_connection else web.StreamResponse
        response = kind(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        cut_after, self.cut_after_events = self.cut_after_events, -1
        if self.breaks_all_streams:
            cut_after = first
        for number in range(first, self.events_per_stream + 1):
            if 0 <= cut_after < number:
                await response.write(b"id: ")
                if request.transport is not None:
                    self._cut(request.transport)
                return response
            await asyncio.sleep(self._interval_s(request))
            if self.trickling_streams > 0 and number > first:
                self.trickling_streams -= 1
                return await self._trickle(response)
            if 0 <= self.pause_after_events < number:
                await self.resume_event.wait()
            await self._wait_silence_over()
            text = f"piece {number}"
            if software:
                text += f" of {software}"
            text += " " * self.padding_bytes
            await response.write(f"id: {number}\ndata: {text}\n\n".encode())
        await response.write_eof()
        return response

    def _interval_s(self, request: web.Request) -> float:
        """Return the seconds between two events of a stream."""
        return self.event_interval_s

    async def _trickle(self, response: web.StreamResponse) -> web.StreamResponse:
        """Send bytes of an unfinished event until the client disconnects."""
        while True:
            await response.write(b"x")
            await asyncio.sleep(TRICKLE_INTERVAL_S)


def _parts(request: web.Request) -> list[str]:
    """Return the identifiers of the parts of a request's prompt."""
    parts = request.headers.get(names.PROMPT_PARTS, "").split(",")
    return [part.partition(":")[0] for part in parts]
