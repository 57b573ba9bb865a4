"""Backend servers of the soak, which record what reaches them and how it ends."""

from __future__ import annotations

from collections import defaultdict
from contextvars import ContextVar
from typing import Any

from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine

from .late_streams import SLOW_INTERVAL_S, SLOW_PATH

# Identifier of the request that the current task handles.
_current_request_id: ContextVar[str] = ContextVar("current_request_id", default="")


class ServerObserver:
    """Receives what happens at the backend servers; does nothing by itself."""

    def on_request(self, server: str, request_id: str) -> None:
        """Handle the arrival of a request."""

    def on_harmful(self, cause: str, request_id: str) -> None:
        """Handle the arrival of a request that crashes the server."""

    def on_crash(self, cause: str, server: str) -> None:
        """Handle a crash, with the part or request that caused it."""

    def on_broken(self, server: str, request_id: str) -> None:
        """Handle a request whose connection the server has broken off."""

    def on_left(self, server: str, request_id: str) -> None:
        """Handle a request whose connection the node has closed before its end."""


class RecordingEngine(AdapterEngine):
    """Engine stand-in that records the holders of fencing tokens and its requests.

    Parameters
    ----------
    observer : ServerObserver or None
        Receives arrivals, crashes and requests that are broken off.
    """

    def __init__(
        self, *arguments: Any, observer: ServerObserver | None = None, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._observer = observer or ServerObserver()
        self.holders_by_token: dict[int, set[str]] = defaultdict(set)
        self._causes_by_request: dict[str, list[str]] = {}
        self._open_requests: set[str] = set()

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(names.REQUEST_ID, "")
        _current_request_id.set(request_id)
        self._observer.on_request(self.name, request_id)
        causes = self._find_causes(request, await request.read())
        for cause in causes:
            self._observer.on_harmful(cause, request_id)
        self._causes_by_request[request_id] = causes
        self._open_requests.add(request_id)
        has_ended = False
        try:
            response = await super()._on_request(request)
            has_ended = True
            return response
        except ConnectionResetError:
            # Reported below: the node has closed the connection.
            return web.Response(status=500)
        finally:
            if not has_ended and request_id in self._open_requests:
                self._observer.on_left(self.name, request_id)
            self._open_requests.discard(request_id)
            self._causes_by_request.pop(request_id, None)

    def _find_causes(self, request: web.Request, body: bytes) -> list[str]:
        """Return the parts of a request, or the request, that crash the server."""
        parts = request.headers.get(names.PROMPT_PARTS, "").split(",")
        causes = {part.partition(":")[0] for part in parts} & self.crashing_parts
        if (request.raw_path, body) in self.crashing_requests:
            causes.add(request.raw_path)
        return sorted(causes)

    def _interval_s(self, request: web.Request) -> float:
        """Return the seconds between two events; some requests ask for slow ones."""
        if request.path.rpartition("/")[2] == SLOW_PATH:
            return SLOW_INTERVAL_S
        return super()._interval_s(request)

    async def crash(self) -> None:
        """Crash, and report the requests that the server broke off."""
        crashes = len(self.crashed_at)
        request_id = _current_request_id.get()
        try:
            await super().crash()
        finally:
            if len(self.crashed_at) > crashes:
                for cause in self._causes_by_request.get(request_id, []):
                    self._observer.on_crash(cause, self.name)
                for open_id in self._open_requests:
                    self._observer.on_broken(self.name, open_id)
                self._open_requests.clear()

    def _cut(self, transport: Any) -> None:
        self._observer.on_broken(self.name, _current_request_id.get())
        super()._cut(transport)

    def _execute_order(self, order: dict[str, Any]) -> int:
        status = super()._execute_order(order)
        if status in (200, 202):
            self.holders_by_token[order["fencing_token"]].add(order["holder"])
        return status
