"""Simulated model engine with adapter slots and continuous batching."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from mode import Service

from ..engine_client import StrictConnector
from ..prefix_index import PREFIX_BLOCK_WORDS, prefix_hashes
from ..process import run_service
from ..settings import (
    Setting,
    parse_address,
    parse_count,
    parse_name,
    parse_seconds,
    parse_url,
    settings_from_command_line,
)
from .generation import (
    PREFILL_TOKENS_PER_STEP,
    Batch,
    Generation,
    PrefixCache,
    token_text,
)
from .recording import RecordingService, ServerFaults, abort, parse_json

PREFIX_CACHE_BLOCKS = 256
# State snapshots are kept this long; bounds the fault `report_lag_s`.
STATE_HISTORY_S = 10.0
LOAD_ATTEMPTS = 20


class EngineFaults(ServerFaults, kw_only=True, forbid_unknown_fields=True):
    """Injectable faults of an engine.

    Parameters
    ----------
    cold_restart : bool
        Restart immediately with nothing loaded.
    fail_loads : list of str
        Adapters whose loads fail; ``*`` stands for all.
    late_s : float
        Delay in seconds before each streamed token.
    crossed : bool
        Interleave tokens of another running request.
    doubled : bool
        Send each token twice.
    cut_after : int
        Number of tokens after which a response is cut off; 0 for never.
    cut_times : int
        Number of responses that `cut_after` affects; -1 for all.
    wrong_version : str
        Adapter version that generates the text instead of the requested one; empty
        for the requested one.
    slow : float
        Factor by which each step takes longer.
    late_orders_s : float
        Delay in seconds before an order is checked and executed.
    report_lag_s : float
        Age of the reported state in seconds.
    cache_events_lag : int
        Number of most recent cache events that are withheld.
    cache_events_gap : int
        Every n-th cache event is never published; 0 publishes all.
    error_status : int
        HTTP status returned for every completion without running it; 0 for none.
    fail_moves : list of str
        Which of ``export`` and ``import`` fail without changing anything.
    late_imports_s : float
        Duration of an import in seconds.
    """

    cold_restart: bool = False
    fail_loads: list[str] = []
    late_s: float = 0.0
    crossed: bool = False
    doubled: bool = False
    cut_after: int = 0
    cut_times: int = -1
    wrong_version: str = ""
    slow: float = 1.0
    late_orders_s: float = 0.0
    report_lag_s: float = 0.0
    cache_events_lag: int = 0
    cache_events_gap: int = 0
    error_status: int = 0
    fail_moves: list[str] = []
    late_imports_s: float = 0.0


@dataclass(slots=True)
class EngineConfig:
    """Settings of an engine.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 takes a free port.
    name : str
        Name of the backend server.
    adapter_slots : int
        Number of adapters that can be loaded at the same time.
    places : int
        Maximum number of requests in the batch.
    platform_url : str or None
        Platform that admits loads; without one, all loads are admitted.
    checks_fencing : bool
        Whether orders with an outdated fencing token are rejected.
    load_seconds, token_seconds : float
        Seconds that a load takes, if the platform sets no time, and that a step
        takes for a batch of one.
    """

    listen: str = "127.0.0.1:0"
    name: str = "engine"
    adapter_slots: int = 8
    places: int = 16
    platform_url: str | None = None
    checks_fencing: bool = False
    load_seconds: float = 0.25
    token_seconds: float = 0.01


class Engine(RecordingService[EngineFaults]):
    """HTTP server of the simulated engine.

    It generates deterministic text, see `generation.completion_text`.

    Parameters
    ----------
    config : EngineConfig
        Settings.
    """

    def __init__(self, config: EngineConfig) -> None:
        super().__init__(config.listen, EngineFaults)
        self.config = config
        self.incarnation = time.time_ns()
        self.fencing_token = 0
        self.role = ""
        self.resident: set[tuple[str, str]] = set()
        self.loading: set[tuple[str, str]] = set()
        self.killed_by_eviction: list[str] = []
        self.resumed_from_import: list[str] = []
        self.batch = Batch(config.places)
        self.cache = PrefixCache(PREFIX_CACHE_BLOCKS)
        self._imported: dict[str, dict[str, Any]] = {}
        self._wake = asyncio.Event()
        self._history: deque[tuple[float, dict[str, Any]]] = deque()

    def add_routes(self, application: web.Application) -> None:
        """Add the completion, order, state and stream endpoints."""
        application.add_routes(
            [
                web.post("/v1/completions", self._complete),
                web.post("/v1/chat/completions", self._complete),
                web.post("/orders/{order:load|evict|role}", self._order),
                web.get("/state", self._get_state),
                web.get("/cache-events", self._get_cache_events),
                web.post("/streams/{id}/cancel", self._cancel),
                web.post("/streams/{id}/export", self._export),
                web.post("/streams/{id}/import", self._import),
            ]
        )

    # State and faults

    def report(self) -> dict[str, Any]:
        """Return the current state as a JSON object."""
        return {
            "server": self.config.name,
            "incarnation": self.incarnation,
            "fencing_token": self.fencing_token,
            "role": self.role,
            "resident": [_version(key) for key in sorted(self.resident)],
            "loading": [_version(key) for key in sorted(self.loading)],
            "running": [
                {
                    "request_id": generation.request_id,
                    "adapter": generation.adapter,
                    "version": generation.version,
                    "generated_tokens": generation.generated,
                }
                for generation in self.batch
            ],
            "queued": len(self.batch.waiting),
            "places": self.config.places,
            "adapter_slots": self.config.adapter_slots,
            "killed_by_eviction": list(self.killed_by_eviction),
            "resumed_from_import": list(self.resumed_from_import),
        }

    async def on_faults(self, changed: set[str]) -> None:
        """Simulate a cold restart if `cold_restart` is set."""
        if self.faults.cold_restart:
            self.faults.cold_restart = False
            self._restart_cold()

    async def on_crash(self) -> None:
        """Forget everything that was loaded."""
        self._restart_cold()

    def _restart_cold(self) -> None:
        self.incarnation += 1
        self.fencing_token = 0
        self.resident.clear()
        self.loading.clear()
        self._imported.clear()
        self.cache = PrefixCache(PREFIX_CACHE_BLOCKS)
        for generation in self.batch:
            self.batch.remove(generation, "killed")

    @Service.task
    async def _run_batch(self) -> None:
        while not self.should_stop:
            if not self.batch.running and not self.batch.waiting:
                self._wake.clear()
                await self._wake.wait()
            step = self.config.token_seconds * self.batch.relative_step_time()
            await asyncio.sleep(step * self.faults.slow)
            self.batch.step()

    @Service.task
    async def _keep_history(self) -> None:
        while not self.should_stop:
            if self.faults.report_lag_s:
                self._history.append((time.monotonic(), self.report()))
                if self._history[0][0] < time.monotonic() - STATE_HISTORY_S:
                    self._history.popleft()
            await asyncio.sleep(0.05)

    async def _get_state(self, _request: web.Request) -> web.Response:
        state = self.report()
        if self.faults.report_lag_s:
            newest = time.monotonic() - self.faults.report_lag_s
            old = [past for recorded_at, past in self._history if recorded_at <= newest]
            if old:
                state = old[-1]
        return web.json_response(state)

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = self.cache.events
        published = events[after : len(events) - self.faults.cache_events_lag]
        gap = self.faults.cache_events_gap
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "events": [e for e in published if not gap or e["sequence"] % gap],  # type: ignore[operator]
                "snapshot": self.cache.hashes() if "snapshot" in request.query else [],
                "sequence": max(0, len(events) - self.faults.cache_events_lag),
            }
        )

    # Orders

    async def _order(self, request: web.Request) -> web.Response:
        order = parse_json(await request.text())
        if self.faults.late_orders_s:
            # The order is executed even if its sender disconnects meanwhile.
            await asyncio.shield(asyncio.sleep(self.faults.late_orders_s))
        token = int(order.get("fencing_token", 0))
        if self.config.checks_fencing and token < self.fencing_token:
            return _reject(409, "stale_fencing_token")
        self.fencing_token = max(self.fencing_token, token)
        key = (str(order.get("adapter", "")), str(order.get("version", "")))
        match request.match_info["order"]:
            case "load":
                return await asyncio.shield(self._load(key))
            case "evict":
                self._evict(key)
            case _:
                self.role = str(order.get("role", ""))
        return web.json_response({"done": True})

    async def _load(self, key: tuple[str, str]) -> web.Response:
        if key in self.resident:
            return web.json_response({"done": True})
        if key in self.loading:
            return _reject(409, "already_loading")
        if len(self.resident) + len(self.loading) >= self.config.adapter_slots:
            return _reject(409, "no_free_slot")
        incarnation = self.incarnation
        self.loading.add(key)
        try:
            transit_s = await self._fetch_weights(key)
            if transit_s is not None:
                await asyncio.sleep(transit_s)
        finally:
            self.loading.discard(key)
        fails = key[0] in self.faults.fail_loads or "*" in self.faults.fail_loads
        if transit_s is None or fails or incarnation != self.incarnation:
            return _reject(502, "load_failed")
        self.resident.add(key)
        return web.json_response({"done": True})

    async def _fetch_weights(self, key: tuple[str, str]) -> float | None:
        """Return the transfer time in seconds, or None if the load is not admitted."""
        if self.config.platform_url is None:
            return self.config.load_seconds
        url = f"{self.config.platform_url}/weights/{key[0]}/{key[1]}"
        async with aiohttp.ClientSession(connector=StrictConnector()) as session:
            for _ in range(LOAD_ATTEMPTS):
                try:
                    async with session.post(url) as response:
                        content = await response.json()
                        if response.status == 200:
                            transit_s = content.get(
                                "transit_s", self.config.load_seconds
                            )
                            return float(transit_s)
                        if response.status != 429:
                            return None
                except (aiohttp.ClientError, ValueError):
                    return None
                await asyncio.sleep(float(content.get("retry_after_s", 0.1)))
        return None

    def _evict(self, key: tuple[str, str]) -> None:
        self.resident.discard(key)
        for generation in self.batch:
            if (generation.adapter, generation.version) == key:
                self.killed_by_eviction.append(generation.request_id)
                self.batch.remove(generation, "killed")

    # Streams

    def _find(self, request: web.Request) -> Generation | None:
        request_id = request.match_info["id"]
        for generation in self.batch:
            if generation.request_id == request_id:
                return generation
        return None

    async def _cancel(self, request: web.Request) -> web.Response:
        generation = self._find(request)
        if generation is not None:
            self.batch.remove(generation, "killed")
        return web.json_response({"cancelled": generation is not None})

    async def _export(self, request: web.Request) -> web.Response:
        if "export" in self.faults.fail_moves:
            return _reject(500, "internal_error")
        generation = self._find(request)
        if generation is None:
            return _reject(404, "unknown_stream")
        self.batch.remove(generation, "moved")
        return web.json_response(
            {
                "request_id": generation.request_id,
                "adapter": generation.adapter,
                "version": generation.version,
                "offset": generation.generated,
                "kv": prefix_hashes(generation.prompt, generation.adapter),
            }
        )

    async def _import(self, request: web.Request) -> web.Response:
        if "import" in self.faults.fail_moves:
            return _reject(500, "internal_error")
        await asyncio.sleep(self.faults.late_imports_s)
        self._imported[request.match_info["id"]] = parse_json(await request.text())
        return web.json_response({"imported": True})

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        text = await request.text()
        body = parse_json(text)
        if self.faults.error_status:
            return _reject(self.faults.error_status, "internal_error")
        generation = self._admit(request, body)
        if generation is None:
            return _reject(409, "adapter_not_resident")
        if await self.crash_if_deadly(request, text):
            return web.Response()
        self.batch.submit(generation)
        self._wake.set()
        try:
            if body.get("stream"):
                return await self._stream(request, generation)
            return await self._respond(request, generation)
        finally:
            self.batch.remove(generation, "killed")

    def _admit(self, request: web.Request, body: dict[str, Any]) -> Generation | None:
        adapter = request.headers.get("X-Adapter", "")
        version = request.headers.get("X-Adapter-Version", "")
        if adapter and (adapter, version) not in self.resident:
            return None
        prompt = _prompt(body)
        request_id = request.headers.get("X-Request-Id", "")
        offset = int(request.headers.get("X-Resume-Offset", "0"))
        hashes = prefix_hashes(prompt, adapter)
        cached_tokens = self.cache.use(hashes) * PREFIX_BLOCK_WORDS
        new_tokens = max(0, len(prompt.split()) + offset - cached_tokens)
        if self._imported.pop(request_id, None) is not None:
            self.resumed_from_import.append(request_id)
            new_tokens = 0
        return Generation(
            request_id=request_id,
            prompt=prompt,
            adapter=adapter,
            version=self.faults.wrong_version or version,
            max_tokens=int(body.get("max_tokens", 16)),
            offset=offset,
            priority=int(request.headers.get("X-Priority", "0")),
            prefill_steps=new_tokens // PREFILL_TOKENS_PER_STEP,
        )

    async def _respond(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        tokens: list[str] = []
        while (item := await generation.output.get()) is not None:
            if not isinstance(item, int) or self._take_cut(len(tokens)):
                abort(request)
                return web.Response()
            tokens.append(token_text(*generation.text_key, item))
        await self.wait_silence_over()
        content = {
            "id": generation.request_id,
            "model": generation.adapter,
            "choices": [_choice(request, "".join(tokens), "length", "message")],
            "usage": {
                "prompt_tokens": len(generation.prompt.split()),
                "completion_tokens": generation.generated,
            },
        }
        return web.json_response(content, headers=_headers(generation))

    async def _stream(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=_headers(generation))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        sent = 0
        while (item := await generation.output.get()) is not None:
            if item == "moved":
                await response.write(b"event: moved\ndata: {}\n\n")
                return response
            if not isinstance(item, int) or self._take_cut(sent):
                abort(request)
                return response
            if self.faults.late_s:
                await asyncio.sleep(self.faults.late_s)
            await self.wait_silence_over()
            event = _event(request, generation, item)
            await response.write(event * (2 if self.faults.doubled else 1))
            if self.faults.crossed:
                await response.write(self._crossed_event(request, generation))
            sent += 1
        done = f"id: {generation.request_id}:{generation.generated}\ndata: [DONE]\n\n"
        await response.write(done.encode())
        return response

    def _take_cut(self, sent: int) -> bool:
        if not 0 < self.faults.cut_after <= sent or self.faults.cut_times == 0:
            return False
        if self.faults.cut_times > 0:
            self.faults.cut_times -= 1
        return True

    def _crossed_event(self, request: web.Request, generation: Generation) -> bytes:
        """Return an event of another running request, or else of an invented one."""
        for other in self.batch:
            if other is not generation:
                return _event(request, other, max(0, other.generated - 1))
        other = Generation("crossed", "another prompt", "other", "1", 8)
        return _event(request, other, generation.generated)


def _version(key: tuple[str, str]) -> dict[str, str]:
    return {"adapter": key[0], "version": key[1]}


def _reject(status: int, reason: str) -> web.Response:
    return web.json_response({"reason": reason}, status=status)


def _prompt(body: dict[str, Any]) -> str:
    if "messages" in body:
        messages = body["messages"]
        return "\n".join(f"{m.get('role')}: {m.get('content')}" for m in messages)
    return str(body.get("prompt", ""))


def _headers(generation: Generation) -> dict[str, str]:
    return {
        "X-Request-Id": generation.request_id,
        "X-Adapter": generation.adapter,
        "X-Adapter-Version": generation.version,
    }


def _choice(
    request: web.Request, text: str, finish: str | None, chat_field: str
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if request.path == "/v1/completions":
        choice["text"] = text
    else:
        choice[chat_field] = {"role": "assistant", "content": text}
    return choice


def _event(request: web.Request, generation: Generation, offset: int) -> bytes:
    text = token_text(*generation.text_key, offset)
    finish = "length" if offset + 1 == generation.max_tokens else None
    data = {
        "id": generation.request_id,
        "model": generation.adapter,
        "choices": [_choice(request, text, finish, "delta")],
    }
    encoded = msgspec.json.encode(data).decode()
    return f"id: {generation.request_id}:{offset}\ndata: {encoded}\n\n".encode()


def _parse_flag(text: str) -> bool:
    return text.lower() in ("1", "true", "yes")


SETTINGS = (
    Setting("listen", parse_address, "address to listen on", "127.0.0.1:0"),
    Setting("name", parse_name, "name of the backend server", "engine"),
    Setting("adapter-slots", parse_count, "number of adapter slots", "8"),
    Setting("places", parse_count, "requests in the batch", "16"),
    Setting("platform-url", parse_url, "platform that admits loads", ""),
    Setting("checks-fencing", _parse_flag, "refuse old fencing tokens", "false"),
    Setting("load-seconds", parse_seconds, "seconds of a load", "0.25"),
    Setting("token-seconds", parse_seconds, "seconds of a step", "0.01"),
)


def main() -> None:
    """Run the simulated engine until a signal stops it."""
    settings = settings_from_command_line(
        SETTINGS, "sequoiafall-engine", "simulated model engine"
    )
    run_service(Engine(EngineConfig(**vars(settings))))


if __name__ == "__main__":
    main()
