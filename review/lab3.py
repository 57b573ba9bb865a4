"""Small deployment on loopback addresses for the scripts of the third review.

The nodes are the project's own program as separate processes, started as the deploy
file says. The store, the engines and the plain servers are the project's stand-ins.
Each node reaches the store, and is reached by the other nodes, through a relay of its
own, which can be cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

import aiohttp
from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer
from soak.relay import FaultyRelay

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
MODEL = "base"
MAX_BODY_BYTES = 4_194_304
START_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 105.0
# Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


@dataclass(slots=True)
class Arrival:
    """A request that reached a backend server.

    Parameters
    ----------
    at : float
        Monotonic time in seconds.
    server, request_id : str
        The server, and the attempt of the client.
    has_run : bool, default=False
        Whether the server began to work on it.
    """

    at: float
    server: str
    request_id: str
    has_run: bool = False


class RecordingServer(AdapterEngine):
    """Stand-in of the project that records when requests reach it."""

    def __init__(self, lab: Lab, name: str, model: str = "", slots: int = 6) -> None:
        super().__init__(name, model, slots)
        self.lab = lab

    def application(self) -> web.Application:
        """Return the web application, which takes bodies of any size."""
        application = super().application()
        application._client_max_size = 2 * MAX_BODY_BYTES
        return application

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(names.REQUEST_ID, "")
        arrival = Arrival(time.monotonic(), self.name, request_id)
        self.lab.arrivals.append(arrival)
        runs = self.runs[request_id]
        try:
            return await super()._on_request(request)
        finally:
            arrival.has_run = self.runs[request_id] > runs


@dataclass(slots=True)
class Answer:
    """What a client sent and got.

    Parameters
    ----------
    request_id : str
        The attempt.
    node : int
        Node that got it.
    sent_at, ended_at : float
        Monotonic times in seconds.
    status : int
        Status of the response, 0 without one.
    headers : dict of str to str
        Headers of the response.
    body : bytes
        Body of the response as far as it came.
    error : str
        Name of the error that ended the call, empty after a complete response.
    """

    request_id: str
    node: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Lab:
    """A deployment of one run, and the record of what happened.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    node_count : int, default=3
        Number of nodes, counted from 1. The first one leads, as the others wait.
    bounds : dict or None, default=None
        Bounds of the settings that differ from those of the sheet.
    """

    def __init__(
        self, folder: Path, node_count: int = 3, bounds: dict[str, Any] | None = None
    ) -> None:
        self.folder = folder
        self.node_count = node_count
        self.bounds = bounds or {}
        self.subnet = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = RowServer()
        self.servers: list[RecordingServer] = []
        self.service_by_server: dict[str, str] = {}
        self.address_by_server: dict[str, str] = {}
        self.relays: dict[str, FaultyRelay] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.arrivals: list[Arrival] = []
        self.answers: list[Answer] = []
        self.began_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._runners: list[web.AppRunner] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._logs = Path(self._temporary.name)
        self._numbers = itertools.count(1)
        self._session: aiohttp.ClientSession | None = None

    # Record

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        self._record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self._record.flush()

    def write_calls(self) -> None:
        """Write what was sent, answered and run to the record."""
        for answer in self.answers:
            self._record.write(
                f"call {answer.request_id} node {answer.node}"
                f" sent {answer.sent_at - self.began_at:.3f}"
                f" ended {answer.ended_at - self.began_at:.3f}"
                f" status {answer.status} {answer.error}\n"
            )
        for row in self.arrivals:
            self._record.write(
                f"arrival {row.request_id} at {row.server}"
                f" {row.at - self.began_at:.3f} run {row.has_run}\n"
            )

    def node_log(self, number: int) -> str:
        """Return the log of a node."""
        return (self._logs / f"node-{number}.log").read_text(errors="replace")

    # Set-up

    async def start_store(self) -> None:
        """Start the store."""
        runner = web.AppRunner(self.store.application(), access_log=None)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = "{}:{}".format(*runner.addresses[0][:2])
        for number in range(1, self.node_count + 1):
            for name, target in (
                (f"store-{number}", address),
                (f"peer-{number}", f"{self.subnet}.{number}:17600"),
            ):
                self.relays[name] = FaultyRelay(target)
                await self.relays[name].start()

    async def add_server(
        self, name: str, service: str, model: str = "", software: str = ""
    ) -> RecordingServer:
        """Start a backend server, with a software version, and announce it."""
        server = RecordingServer(self, name, model)
        server.software = software
        self.servers.append(server)
        self.service_by_server[name] = service
        self.address_by_server[name] = await server.listen("127.0.0.1")
        self.announce(server)
        return server

    def announce(self, server: RecordingServer, state: str = "ready") -> None:
        """Write the entry of a backend server."""
        self.store.put(
            names.BACKEND_TABLE,
            server.name,
            {
                "service": self.service_by_server[server.name],
                "address": self.address_by_server[server.name],
                "zone": "kuldiga",
                "version": server.software or "v1",
                "slots": 64,
                "state": state,
                "sequence": server.sequence,
                "born": server.started_at_ms,
            },
        )

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of a node, in the format of the platform."""
        host = f"{self.subnet}.{number}"
        seed = f"{self.subnet}.1:18229"
        return {
            "node": f"frontend-kuldiga-{number}",
            "role": "node",
            "machine_class": "frontend",
            "serves": ["frontend", "registry", "control_plane"],
            "ip": host,
            "zone": "kuldiga",
            "region": "kurzeme",
            "zones": {"kuldiga": "kurzeme"},
            "listen_addrs": {
                "front": f"{host}:18221",
                "ready": f"{host}:18224",
                "control": f"{host}:18229",
                "directory": f"{host}:18220",
            },
            "internal_ports": [17600, 17615],
            "seeds": [seed],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "registry",
            "heartbeat_ms": 1200,
            "bounds": {
                "drain_ms": 2000,
                "grace_s": 8,
                "retry_budget_ratio": 0.2,
                "budget_extra_retries": 113,
                "fencing_enforced": True,
                "lease_ms": 3000,
                "strict_revocation": False,
                "ttl_max_s": 5,
                **self.bounds,
            },
            "platform": {"address": self.relays[f"store-{number}"].address},
        }

    async def start_node(self, number: int) -> None:
        """Start the process of a node."""
        path = self._logs / f"node-{number}.json"
        path.write_text(json.dumps(self.settings(number)))
        with (self._logs / f"node-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sequoiafall.platform.program",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    names.SETTINGS_VARIABLE: str(path),
                    "SEQUOIAFALL_PEER_SECRET": "private-network-of-this-deployment",
                    "SEQUOIAFALL_PEER_ADVERTISE": self.relays[f"peer-{number}"].address,
                },
            )
        self.note(f"node {number} started")

    async def start_nodes(self) -> None:
        """Start all nodes, and wait until they are ready."""
        for number in range(1, self.node_count + 1):
            await self.start_node(number)
        for number in range(1, self.node_count + 1):
            await self.wait_ready(number)

    async def wait_ready(self, number: int) -> None:
        """Wait until a node says that it is ready."""
        url = f"http://{self.subnet}.{number}:18224/sequoiafall/readyz"
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with self.session().get(
                    url, timeout=aiohttp.ClientTimeout(total=1.0)
                ) as response:
                    if response.status == 200:
                        self.note(f"node {number} is ready")
                        return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"node {number} is not ready")

    def leader(self) -> int:
        """Return the node that the lease row names, 0 for none."""
        row = self.store.rows.get(("fleet", "leader"))
        if row is None or row.deleted:
            return 0
        name = str(json.loads(row.value)["instance"])
        return int(name.rpartition("-")[2])

    # Disruptions

    def cut(self, number: int, with_store: bool = True) -> None:
        """Cut a node off from the other nodes, and from the store."""
        own = self.relays[f"peer-{number}"]
        own.drops_up = own.drops_down = True
        if with_store:
            store = self.relays[f"store-{number}"]
            store.drops_up = store.drops_down = True

    def heal(self, number: int) -> None:
        """End a cut; connections that lost data are reset."""
        for name in (f"store-{number}", f"peer-{number}"):
            self.relays[name].clear_faults()

    def signal(self, number: int, what: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self.note(f"{what.name} to node {number}")
        self.processes[number].send_signal(what)

    # Clients

    def session(self) -> aiohttp.ClientSession:
        """Return the session of the clients."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
            )
        return self._session

    async def call(
        self,
        node: int,
        path: str,
        key: str,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        body: bytes = b"order",
        deadline_ms: int = 4000,
    ) -> Answer:
        """Send one attempt of a client to a node, and wait for its answer."""
        number = next(self._numbers)
        answer = Answer(f"{number:016x}", node, time.monotonic())
        self.answers.append(answer)
        try:
            async with self.session().request(
                method,
                f"http://{self.subnet}.{node}:18221{path}",
                headers={
                    "Host": HOST,
                    names.REQUEST_ID: answer.request_id,
                    names.DEADLINE_MS: str(deadline_ms),
                    "Authorization": f"Bearer {key}",
                    **(headers or {}),
                },
                data=body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1e3 + 0.2),
            ) as response:
                answer.status = response.status
                answer.headers = dict(response.headers)
                while chunk := await response.content.readany():
                    answer.body += chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer.error = type(error).__name__
        answer.ended_at = time.monotonic()
        return answer

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        if self._session is not None:
            await self._session.close()
        for relay in self.relays.values():
            await relay.stop()
        for server in self.servers:
            await server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._record.close()
        self._keep_logs()
        self._temporary.cleanup()

    def _keep_logs(self) -> None:
        """Copy the logs of the nodes to the folder that `KEEP_LOGS` names, if any."""
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for log in self._logs.glob("*.log"):
                Path(kept, log.name).write_bytes(log.read_bytes())


def route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration, like those of the sheet."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_type": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 300,
        **fields,
    }


def engine_service(name: str, adapter_slots: int = 6) -> dict[str, Any]:
    """Return a service of model engines, like that of the sheet."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 780,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kv_capacity": 151353,
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": 72700.0,
                    "load_s": 4.3,
                    "adapters": 3000,
                    "adapter_size_mb": 66.0,
                }
            ],
            "weights_mb": 74600.0,
            "adapter_slots": adapter_slots,
            "loads_per_s": 2.9,
        },
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service, like that of the sheet."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 208,
        "protocol": "h1",
        "tls": False,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration, as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def run_case(
    folder: Path, run: Callable[[Lab], Awaitable[int]], **options: Any
) -> NoReturn:
    """Run a case in a lab of its own, and exit with its result.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    run : callable
        Runs the case in a lab and returns the exit code.
    **options : dict
        Further arguments of `Lab`.
    """

    async def main() -> int:
        lab = Lab(folder, **options)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await run(lab)
        except Exception as error:
            # An error of the script must not be taken for a broken rule.
            lab.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await lab.stop()

    sys.exit(asyncio.run(main()))


def has_trouble() -> bool:
    """Whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
