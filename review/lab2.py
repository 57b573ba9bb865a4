"""Runs nodes as processes beside stand-ins of the platform, for the cases 6 to 10.

A lab listens on loopback addresses only. It starts nodes with the command of the deploy
file and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-the-guild-0123456789"
TENANT = "guild"
ENGINE_SERVICE = "assist"
PLAIN_SERVICE = "desk"
MODEL = "base"
START_TIMEOUT_S = 20.0
# Route, its kind and its service.
ROUTES = (
    ("draft", "streaming", ENGINE_SERVICE),
    ("order", "non_idempotent", PLAIN_SERVICE),
    ("look", "idempotent", PLAIN_SERVICE),
)
# Bounds of the site files.
BOUNDS = {
    "drain_ms": 2000,
    "contact_ms": 3000,
    "config_apply_ms": 2000,
    "grace_s": 8,
    "recover_s": 12,
    "lease_ms": 3000,
    "ttl_max_s": 5,
    "retry_budget_ratio": 0.2,
    "budget_extra_retries": 113,
    "fencing_enforced": True,
    "strict_revocation": False,
}


class Record:
    """Writes lines with the seconds since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Proxy:
    """Loopback TCP proxy of one link, which can fall silent or refuse."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.is_silent = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return self.address

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.target.rpartition(":")
            other_reader, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await asyncio.gather(
                self._copy(reader, other), self._copy(other_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()
            self._tasks.discard(task)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if self.is_silent:
                # A silent partition: nothing arrives, and nobody is told.
                continue
            writer.write(data)
            await writer.drain()
        writer.transport.abort()


class DeskServer:
    """Plain server that records when requests arrive and how their runs end.

    Attributes
    ----------
    arrivals : list of (float, str)
        Monotonic time and identifier of each request.
    ends_by_request : dict of str to str
        How the run of a request ended.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.09) -> None:
        self.name = name
        self.work_s = work_s
        self.started_at_ms = int(time.time() * 1e3)
        self.sequence = 0
        self.arrivals: list[tuple[float, str]] = []
        self.ends_by_request: dict[str, str] = {}
        self._record = record
        self._runner: web.AppRunner | None = None

    async def listen(self, host: str) -> str:
        """Serve on a free port and return the address."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._on_request)
        self._runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0, shutdown_timeout=0.1).start()
        return "{}:{}".format(*self._runner.addresses[0][:2])

    async def close(self) -> None:
        """Exit, whatever is being run."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for connection in list(runner.server.connections if runner.server else ()):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def _on_request(self, request: web.Request) -> web.Response:
        body = await request.read()
        request_id = request.headers.get(names.REQUEST_ID, "")
        headers = {names.REQUEST_ID: request_id}
        if request.headers.get(names.EXPECTED_SERVER, self.name) != self.name:
            return web.Response(status=421, headers=headers)
        self.arrivals.append((time.monotonic(), request_id))
        self._record.write(f"{request_id} reaches {self.name}")
        self.ends_by_request[request_id] = "cut"
        await asyncio.sleep(self.work_s)
        self.ends_by_request[request_id] = "done"
        headers[names.SIGNATURE] = f"{self.name}.{request_id}"
        return web.Response(body=b"done:" + body, headers=headers)


class Lab:
    """A small deployment: a store, servers, and nodes as processes.

    Parameters
    ----------
    folder : Path
        Folder of the case; `record.txt` is written there.
    nodes : int
        Number of nodes.
    """

    def __init__(self, folder: Path, nodes: int = 3) -> None:
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.node_count = nodes
        self.store = RowServer()
        self.store_address = ""
        self.proxies_by_node: dict[int, Proxy] = {}
        self.processes_by_node: dict[int, asyncio.subprocess.Process] = {}
        # Further environment of a node, and the nodes that are named as seeds.
        self.environment_by_node: dict[int, dict[str, str]] = {}
        self.seeds: tuple[int, ...] = (1, 2)
        self.servers_by_name: dict[str, AdapterEngine | DeskServer] = {}
        self.addresses_by_server: dict[str, str] = {}
        self.services_by_server: dict[str, str] = {}
        self._runners: list[web.AppRunner] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="sequoiafall-review-")
        self.temporary = Path(self._temporary.name)
        self._subnet = f"127.{random.randrange(64, 200)}.{random.randrange(250)}"
        self._version = 0
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = deploy["roles"]["node"]

    # Set-up

    async def listen(self, application: web.Application) -> str:
        """Serve an application on a free loopback port and return its address."""
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        return "{}:{}".format(*runner.addresses[0][:2])

    async def start(self) -> None:
        """Start the store and the nodes."""
        self.store_address = await self.listen(self.store.application())
        for number in range(1, self.node_count + 1):
            await self.start_proxy(number)
            await self.start_node(number, is_first=True)

    async def start_proxy(self, number: int) -> None:
        """Start the proxy through which a node reaches the store."""
        proxy = Proxy(self.store_address)
        await proxy.start()
        self.proxies_by_node[number] = proxy

    async def add_server(
        self, server: AdapterEngine | DeskServer, service: str
    ) -> None:
        """Start a server and write its entry."""
        self.servers_by_name[server.name] = server
        self.services_by_server[server.name] = service
        self.addresses_by_server[server.name] = await server.listen("127.0.0.1")
        self.announce(server)

    def announce(
        self, server: AdapterEngine | DeskServer, state: str = "ready"
    ) -> None:
        """Write the entry of a server, as its heartbeat does."""
        entry = {
            "service": self.services_by_server[server.name],
            "address": self.addresses_by_server[server.name],
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": state,
            "born": server.started_at_ms,
            "sequence": server.sequence,
        }
        self.store.put(names.BACKEND_TABLE, server.name, entry)

    def write_configuration(self, **changes: Any) -> int:
        """Write the next version of the configuration and return its number."""
        self._version += 3
        routes = [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "route_type": kind,
                "resumable": kind == "streaming",
                "timeout_ms": changes.get("timeout_ms", 4000),
                "target_latency_ms": 800,
                "max_attempts": 2,
                "service": service,
                "gap_target_ms": 300 if kind == "streaming" else 0,
            }
            for name, kind, service in changes.get("routes", ROUTES)
        ]
        engine = changes.get(
            "engine",
            {"models": [{"name": MODEL, "adapters": 50}], "adapter_slots": 6},
        )
        content = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": ENGINE_SERVICE, "engine": engine},
                {"name": PLAIN_SERVICE},
            ],
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": [KEY],
                    "unit": "tokens",
                    "plain_tokens": 200,
                    "rate_per_s": 200000,
                    "burst": 200000,
                }
            ],
        }
        self.store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, content)
        return self._version

    # Nodes

    def host(self, number: int) -> str:
        """Return the IP address of a node."""
        return f"{self._subnet}.{number}"

    def front(self, number: int) -> str:
        """Return the address at which a node takes requests."""
        return f"{self.host(number)}:18221"

    async def start_node(self, number: int, is_first: bool = False) -> None:
        """Start the process of a node with the command of the deploy file."""
        host = self.host(number)
        settings = {
            "node": f"node-{number}",
            "zone": "z1",
            "region": "r1",
            "ip": host,
            "listen_addrs": {
                "front": f"{host}:18221",
                "ready": f"{host}:18224",
                "control": f"{host}:18229",
                "directory": f"{host}:18220",
            },
            "internal_ports": [17600, 17615],
            "seeds": [f"{self.host(seed)}:18229" for seed in self.seeds],
            "bootstrap": is_first,
            "limits": {"cpu_share": 0.731, "cores": 1, "link_mbps": 350.0},
            "bounds": BOUNDS,
            "platform": {"address": self.proxies_by_node[number].address},
        }
        path = self.temporary / f"node-{number}.json"
        path.write_text(json.dumps(settings))
        log = (self.temporary / f"node-{number}.log").open("ab")
        try:
            self.processes_by_node[number] = await asyncio.create_subprocess_exec(
                *self._role["run"].split(),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self.temporary),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    names.SETTINGS_VARIABLE: str(path),
                    **self._role["env"],
                    **self.environment_by_node.get(number, {}),
                },
            )
        finally:
            log.close()
        self.record.write(f"node-{number} started")

    def signal(self, number: int, kind: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self.record.write(f"node-{number} gets {kind.name}")
        self.processes_by_node[number].send_signal(kind)

    def log_text(self, number: int) -> str:
        """Return what a node has logged."""
        return (self.temporary / f"node-{number}.log").read_text(errors="replace")

    async def metric(self, number: int, name: str) -> float:
        """Return a metric of a node, -1 if it cannot be read."""
        url = f"http://{self.host(number)}:17601/metrics"
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1)) as session,
                session.get(url) as response,
            ):
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return -1.0
        for line in text.splitlines():
            label, _, value = line.rpartition(" ")
            if label.startswith("sequoiafall_node_state{") and f'"{name}"' in label:
                return float(value)
        return -1.0

    async def leader(self) -> int:
        """Return the number of the node that leads, 0 if none does."""
        for number, process in self.processes_by_node.items():
            if process.returncode is None and await self.metric(number, "leads") > 0:
                return number
        return 0

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait until all nodes say that they are ready."""
        until = time.monotonic() + timeout_s
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1)) as session:
            for number in self.processes_by_node:
                url = f"http://{self.host(number)}:18224{names.READY_PATH}"
                while True:
                    try:
                        async with session.get(url) as response:
                            if response.status == 200:
                                break
                    except (aiohttp.ClientError, TimeoutError, OSError):
                        pass
                    if time.monotonic() > until:
                        return False
                    await asyncio.sleep(0.1)
        return True

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes_by_node.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for proxy in self.proxies_by_node.values():
            await proxy.stop()
        for server in self.servers_by_name.values():
            await server.close()
        for runner in self._runners:
            await runner.cleanup()
        keep = os.environ.get("KEEP_LOGS", "")
        if keep:
            for path in self.temporary.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()
        self.record.close()

    # Callers

    async def send(
        self,
        session: aiohttp.ClientSession,
        number: int,
        route: str,
        request_id: str,
        adapter: str = "a1",
        deadline_s: float = 3.0,
    ) -> tuple[int, bytes]:
        """Send one request to a node; the status is 0 if its answer broke off."""
        headers = {
            "Host": HOST,
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(int(deadline_s * 1e3)),
            "Authorization": f"Bearer {KEY}",
        }
        if route == "draft":
            headers[names.MODEL] = f"{MODEL}/{adapter}"
            headers[names.TOKENS] = "800,20"
            headers[names.PROMPT_PARTS] = f"{request_id.encode().hex()}:800"
        method = "GET" if route == "look" else "POST"
        self.record.write(f"{request_id} {route} sent to node-{number}")
        status, body = 0, b""
        try:
            async with session.request(
                method,
                f"http://{self.front(number)}/{route}/x",
                headers=headers,
                data=b"b" if method == "POST" else None,
                timeout=aiohttp.ClientTimeout(total=deadline_s + 1.0),
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.write(f"{request_id} broke off: {type(error).__name__}")
        self.record.write(f"{request_id} answered {status} {body[:160]!r}")
        return status, body


async def with_lab(lab: Lab, play: Any) -> int:
    """Run a case and return its exit code: 0 held, 1 broken, 2 could not run."""
    try:
        async with asyncio.timeout(110.0):
            return int(await play(lab))
    except Exception as error:  # The case could not run.
        lab.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        await lab.stop()


def main(folder: Path, play: Any, nodes: int = 3) -> None:
    """Run a case in its folder and exit with its code."""
    # Stand-ins that are cut off would log each connection that they lose.
    logging.disable(logging.ERROR)

    async def run() -> int:
        return await with_lab(Lab(folder, nodes), play)

    code = asyncio.run(run())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
