"""Simulated plain service whose calls may not be idempotent."""

import asyncio
import hashlib
from collections import Counter
from typing import Any

import msgspec
from aiohttp import web

from ..process import run_service
from ..settings import Setting, parse_address, parse_name, settings_from_command_line
from .recording import POLLED_PATHS, RecordingService, ServerFaults, abort


class PlainServiceFaults(ServerFaults, kw_only=True, forbid_unknown_fields=True):
    """Injectable faults of a plain service.

    Parameters
    ----------
    close : {"", "before", "during", "after"}
        Close the connection before the call is handled, halfway through the
        response, or after the call is handled but before the response.
    close_times : int
        Number of calls that `close` affects; -1 for all.
    slow_s : float
        Seconds that each call takes.
    error_status : int
        HTTP status of every response, although the call is handled; 0 for none.
    hold : {"", "call", "answer"}
        Block calls before they are handled, or their responses, until this changes.
    """

    close: str = ""
    close_times: int = -1
    slow_s: float = 0.0
    error_status: int = 0
    hold: str = ""


class PlainService(RecordingService[PlainServiceFaults]):
    """Accepts any call and counts how often each was handled.

    Parameters
    ----------
    listen : str
        ``host:port``.
    name : str
        Name of the backend server.
    """

    def __init__(self, listen: str, name: str) -> None:
        super().__init__(listen, PlainServiceFaults)
        self.name = name
        self._faults_changed = asyncio.Event()
        self.handled_by_request_id: Counter[str] = Counter()
        self.handled_by_body: Counter[str] = Counter()
        self.handled_by_idempotency_key: Counter[str] = Counter()

    def add_routes(self, application: web.Application) -> None:
        """Add ``GET /handled`` for the counts, and handle calls at all other paths."""
        application.router.add_get("/handled", self._get_handled)
        for path in POLLED_PATHS:
            application.router.add_get(path, self._get_not_found)
        application.router.add_route("*", "/{path:.*}", self._handle)

    async def on_faults(self, changed: set[str]) -> None:
        """Wake blocked calls, which check whether `hold` still applies."""
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    async def _get_handled(self, _request: web.Request) -> web.Response:
        return web.json_response(self.handled())

    async def _get_not_found(self, _request: web.Request) -> web.Response:
        # Polls meant for an engine that had this address before must not consume a
        # fault.
        return web.Response(status=404)

    def handled(self) -> dict[str, Any]:
        """Return call counts by request identifier, body hash and idempotency key."""
        return {
            "by_request_id": dict(self.handled_by_request_id),
            "by_body": dict(self.handled_by_body),
            "by_idempotency_key": dict(self.handled_by_idempotency_key),
        }

    def _take_close_fault(self) -> str:
        close = self.faults.close
        if not close or self.faults.close_times == 0:
            return ""
        if self.faults.close_times > 0:
            self.faults.close_times -= 1
        return close

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        # A received call is handled even if its caller disconnects.
        task = asyncio.ensure_future(self._process(request))
        return await asyncio.shield(task)

    async def _hold(self, step: str) -> None:
        while self.faults.hold == step:
            await self._faults_changed.wait()

    async def _process(self, request: web.Request) -> web.StreamResponse:
        close = self._take_close_fault()
        body = await request.read()
        if close == "before":
            abort(request)
            return web.Response()
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        await self._hold("call")
        request_id = request.headers.get("X-Request-Id", "")
        self.handled_by_request_id[request_id] += 1
        self.handled_by_body[hashlib.sha256(body).hexdigest()] += 1
        self.handled_by_idempotency_key[request.headers.get("Idempotency-Key", "")] += 1
        if await self.crash_if_deadly(request, body.decode("utf-8", "replace")):
            return web.Response()
        await self._hold("answer")
        await self.wait_silence_over()
        if close == "after":
            abort(request)
            return web.Response()
        content = msgspec.json.encode(
            {
                "server": self.name,
                "request_id": request_id,
                "path": request.path,
                "body_sha256": hashlib.sha256(body).hexdigest(),
                "bytes": len(body),
            }
        )
        headers = {"X-Request-Id": request_id, "Content-Type": "application/json"}
        status = self.faults.error_status or 200
        if close == "during":
            response = web.StreamResponse(status=status, headers=headers)
            response.content_length = len(content)
            await response.prepare(request)
            await response.write(content[: len(content) // 2])
            abort(request)
            return response
        return web.Response(body=content, status=status, headers=headers)


SETTINGS = (
    Setting("listen", parse_address, "address to listen on", "127.0.0.1:0"),
    Setting("name", parse_name, "name of the backend server", "plain"),
)


def main() -> None:
    """Run the simulated service until a signal stops it."""
    settings = settings_from_command_line(
        SETTINGS, "sequoiafall-plain-service", "simulated plain service"
    )
    run_service(PlainService(settings.listen, settings.name))


if __name__ == "__main__":
    main()
