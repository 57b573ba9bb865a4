"""HTTP server of the simulated backend servers, with recording and faults."""

import asyncio
import contextlib
import json
import time
from abc import abstractmethod
from collections import deque
from typing import Any, Generic, TypeVar

import msgspec
from aiohttp import web
from mode import Service

from ..connection_reset import reset_connection
from ..log import log_event
from ..platform import names

# Bounds the memory that recorded requests take in a long test.
MAX_RECORDED = 20_000
MAX_BODY_BYTES = 8 * 1024 * 1024
# Length of the accept queue, as is common for model servers. With 128, the default
# of aiohttp, some of 2,000 simultaneous connections are delayed by a second.
LISTEN_BACKLOG = 2048

# Controllers, and instances on the users' platform, poll engines at these paths all the
# time; not recorded.
POLLED_PATHS = ("/state", "/cache-events", names.REPORT_PATH)


class ServerFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Injectable faults of every simulated backend server.

    Parameters
    ----------
    crashing_requests : list of (str, str)
        Paths, with their queries, and bodies of requests that crash the server as
        soon as it begins to run them.
    down_s : float
        Seconds from a crash to the restart.
    silent_s : float
        Seconds for which the server sends nothing from when this is set; then it goes
        on. Setting 0 ends a silence.
    """

    crashing_requests: list[tuple[str, str]] = []
    down_s: float = 1.0
    silent_s: float = 0.0


FaultsT = TypeVar("FaultsT", bound=ServerFaults)


class RecordingService(Service, Generic[FaultsT]):
    """HTTP server that records the requests it receives and injects faults.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 takes a free port, which `address` shows.
    faults_type : type
        Struct of the faults; ``POST /faults`` sets the fields in its body.
    """

    abstract = True

    def __init__(self, listen: str, faults_type: type[FaultsT]) -> None:
        super().__init__()
        self._host, _, port = listen.rpartition(":")
        self._port = int(port)
        self._faults_type = faults_type
        self.faults = faults_type()
        self.recorded: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED)
        self.crashes = 0
        self._silent_until = 0.0
        self._silence_changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``host:port`` that the server listens on."""
        return f"{self._host}:{self._port}"

    @abstractmethod
    def add_routes(self, application: web.Application) -> None:
        """Add the routes of the simulated server."""

    async def on_faults(self, changed: set[str]) -> None:
        """Handle a change of the faults; `changed` names the fields that were set."""

    async def on_start(self) -> None:
        """Open the port."""
        application = web.Application(
            middlewares=[self._record], client_max_size=MAX_BODY_BYTES
        )
        application.router.add_get("/recorded", self._get_recorded)
        application.router.add_post("/faults", self._post_faults)
        application.router.add_get("/healthz", self._get_health)
        self.add_routes(application)
        self._runner = web.AppRunner(
            application, handler_cancellation=True, access_log=None, shutdown_timeout=1
        )
        await self._runner.setup()
        await self._open_port()
        self._port = self._runner.addresses[0][1]
        log_event("listening", service=type(self).__name__, address=self.address)

    async def on_stop(self) -> None:
        """Close the port and the connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _open_port(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(
            self._runner, self._host, self._port, backlog=LISTEN_BACKLOG
        )
        await self._site.start()

    async def on_crash(self) -> None:
        """Forget what a crash loses."""

    async def crash_if_deadly(self, request: web.Request, body: str) -> bool:
        """Crash if a request that begins to run is one that crashes the server.

        All connections are reset and new ones refused until `down_s` is over.
        """
        if (request.raw_path, body) not in self.faults.crashing_requests:
            return False
        assert self._runner is not None and self._runner.server is not None
        if self._restart_task is not None and not self._restart_task.done():
            return True
        self.crashes += 1
        assert self._site is not None
        self._restart_task = asyncio.create_task(self._restart_later())
        await self._site.stop()
        await self.on_crash()
        for connection in list(self._runner.server.connections):
            reset_connection(connection.transport)
        return True

    async def _restart_later(self) -> None:
        await asyncio.sleep(self.faults.down_s)
        await self._open_port()

    async def wait_silence_over(self) -> None:
        """Wait until the server may send again."""
        while (left_s := self._silent_until - time.monotonic()) > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._silence_changed.wait()

    @web.middleware
    async def _record(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path not in ("/recorded", "/faults", "/healthz", *POLLED_PATHS):
            body = await request.read()
            self.recorded.append(
                {
                    "method": request.method,
                    "path": request.path,
                    "query": dict(request.query),
                    "headers": [[key, value] for key, value in request.headers.items()],
                    "body": body.decode("utf-8", "replace"),
                }
            )
        if request.path not in ("/recorded", "/faults"):
            await self.wait_silence_over()
        return await handler(request)

    async def _get_recorded(self, _request: web.Request) -> web.Response:
        return web.json_response({"recorded": list(self.recorded)})

    async def _get_health(self, _request: web.Request) -> web.Response:
        return web.json_response({"healthy": True})

    async def _post_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        merged = {**msgspec.structs.asdict(self.faults), **changes}
        try:
            self.faults = msgspec.convert(merged, self._faults_type)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        if "silent_s" in changes:
            self._silent_until = time.monotonic() + self.faults.silent_s
            self._silence_changed.set()
            self._silence_changed = asyncio.Event()
        await self.on_faults(set(changes))
        return web.json_response(msgspec.structs.asdict(self.faults))


def abort(request: web.Request) -> None:
    """Abort the connection of a request without a response."""
    if request.transport is not None:
        request.transport.abort()


def parse_json(body: str) -> dict[str, Any]:
    """Parse a JSON object; return an empty one for anything else."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
