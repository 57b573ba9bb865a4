"""Backend servers of the soak, which record what reaches them and how it ends."""

from __future__ import annotations

from collections import defaultdict
from contextvars import ContextVar
from typing import Any

from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine

from .late_streams import SLOW_INTERVAL_S, SLOW_PATH
from .malformed_answers import MalformedHead

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

    def on_signature(self, request_id: str, signature: str) -> None:
        """Handle the begin of an answer that carries a signature."""

    def on_malformed(
        self, server: str, request_id: str, signature: str, head: str
    ) -> None:
        """Handle an answer with a malformed head in place of a sound one."""


class RecordingEngine(AdapterEngine):
    """Engine stand-in that records the holders of fencing tokens and its requests.

    Parameters
    ----------
    observer : ServerObserver or None
        Receives arrivals, crashes and requests that are broken off.

    Attributes
    ----------
    malformed_heads : list of MalformedHead
        Heads of the next answers, in place of sound ones.
    malforms_control : bool
        Whether these are also heads of answers to report requests and orders.
    """

    def __init__(
        self, *arguments: Any, observer: ServerObserver | None = None, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._observer = observer or ServerObserver()
        self.holders_by_token: dict[int, set[str]] = defaultdict(set)
        self._causes_by_request: dict[str, list[str]] = {}
        self._open_requests: set[str] = set()
        self.malformed_heads: list[MalformedHead] = []
        self.malforms_control = False

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

    async def _on_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        await super()._on_prepare(request, response)
        request_id = request.headers.get(names.REQUEST_ID, "")
        signature = response.headers.get(names.SIGNATURE, "")
        is_control = request.path in (names.REPORT_PATH, names.ORDER_PATH)
        is_malformed = signature or (is_control and self.malforms_control)
        if self.malformed_heads and is_malformed and request.transport is not None:
            head = self.malformed_heads.pop()
            self._open_requests.discard(request_id)
            self._observer.on_malformed(self.name, request_id, signature, head.name)
            body = b"done:" + await request.read()
            if self.model:
                body = self._events(request)
            request.transport.write(head.answer(response.headers, body))
            request.transport.close()
            raise ConnectionResetError("the connection ends with the malformed answer")
        if signature:
            self._observer.on_signature(request_id, signature)

    def _events(self, request: web.Request) -> bytes:
        """Return the whole stream that answers a request."""
        first = int(request.headers.get(names.LAST_EVENT, "0")) + 1
        text = f" of {self.software}" if self.software else ""
        return "".join(
            f"id: {number}\ndata: piece {number}{text}\n\n"
            for number in range(first, self.events_per_stream + 1)
        ).encode()

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
