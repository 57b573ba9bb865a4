"""Small deployment of nodes as processes, with stand-ins, for the cases beside it.

The nodes are started with the command of the deploy file. The store and the servers
are the project's own stand-ins; they run in the process of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
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
KEY = "key-of-the-only-tenant"
# Ports of a node, as in the example of the settings file.
FRONT, READY, DIRECTORY, INTERNAL = 8221, 8224, 8220, 7600
START_TIMEOUT_S = 40.0
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The deployment did not start, so that the case shows nothing."""


class Lab:
    """A deployment of some nodes, a store, engines and plain servers.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    node_count : int
        Number of nodes.
    bounds : dict
        Bounds of the site that differ from those of klompie-orders.
    limits_by_node : dict of int to dict
        Limits of nodes that differ from those of klompie-orders.
    """

    def __init__(
        self,
        folder: Path,
        node_count: int = 3,
        bounds: dict[str, Any] | None = None,
        limits_by_node: dict[int, dict[str, Any]] | None = None,
    ) -> None:
        self.folder = folder
        self.node_count = node_count
        self.bounds = bounds or {}
        self.limits_by_node = limits_by_node or {}
        self.store = RowServer()
        self.engines: list[AdapterEngine] = []
        self.addresses_by_engine: dict[str, str] = {}
        self.states_by_engine: dict[str, str] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self._runners: list[web.AppRunner] = []
        self._beats: asyncio.Task[None] | None = None
        self._subnet = ""
        self._store_address = ""

    def note(self, text: str) -> None:
        """Add a line to the record of the case."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} s  {text}")

    # Stand-ins

    async def listen(self, application: web.Application) -> str:
        """Serve an application on a free loopback port and return its address."""
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        return "{}:{}".format(*runner.addresses[0][:2])

    async def add_server(self, engine: AdapterEngine, address: str = "") -> None:
        """Start a server and announce it in the store."""
        self.engines.append(engine)
        own = await engine.listen("127.0.0.1")
        self.addresses_by_engine[engine.name] = address or own
        self.states_by_engine[engine.name] = "ready"
        self.announce(engine)

    def announce(self, engine: AdapterEngine) -> None:
        """Write the entry of a server to the store."""
        entry = {
            "service": "assist" if engine.model else "ledger",
            "address": self.addresses_by_engine[engine.name],
            "zone": "za-south-a",
            "version": "v1",
            "slots": 64 if engine.model else 6,
            "state": self.states_by_engine[engine.name],
            "cold_remaining_ms": 0,
            "sequence": engine.sequence,
            "born": engine.started_at_ms,
        }
        self.store.put(names.BACKEND_TABLE, engine.name, entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if self.states_by_engine[engine.name]:
                    self.announce(engine)

    def configure(self, routes: list[dict[str, Any]], version: int = 3) -> None:
        """Write the configuration to the store, as the operator does."""
        engine = {
            "models": [{"name": "m0", "adapters": 3000}],
            "adapter_slots": 6,
            "loads_per_s": 4.3,
        }
        content = {
            "version": version,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 10000,
                "idle_timeout_ms": 30000,
            },
            "routes": routes,
            "services": [
                {"name": "assist", "health_path": "/healthz", "engine": engine},
                {"name": "ledger", "health_path": "/healthz"},
            ],
            "tenants": [
                {
                    "name": "workshop",
                    "api_keys": [KEY],
                    "plain_tokens": 200,
                    "rate_per_s": 200000,
                    "burst": 200000,
                }
            ],
        }
        self.store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, content)

    # Nodes

    def host(self, number: int) -> str:
        """Return the loopback address of a node."""
        return f"{self._subnet}.{number}"

    def front(self, number: int) -> str:
        """Return the address at which a node takes requests."""
        return f"{self.host(number)}:{FRONT}"

    def node_number(self, front: str) -> int:
        """Return the number of the node with an address."""
        return int(front.partition(":")[0].rpartition(".")[2])

    def _write_settings(self, number: int) -> Path:
        host = self.host(number)
        bounds = {
            "contact_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "strict_revocation": False,
            "retry_budget_ratio": 0.2,
            "budget_extra_retries": 116,
            "fencing_enforced": True,
            "lease_ms": 3000,
            "ttl_max_s": 5,
        } | self.bounds
        fields = {
            "node": f"frontend-za-south-a-{number}",
            "role": "node",
            "machine_class": "frontend",
            "serves": ["frontend", "registry", "control_plane"],
            "ip": host,
            "zone": "za-south-a",
            "region": "za-south",
            "zones": {"za-south-a": "za-south"},
            "listen_addrs": {
                "front": f"{host}:{FRONT}",
                "ready": f"{host}:{READY}",
                "control": f"{host}:8229",
                "directory": f"{host}:{DIRECTORY}",
            },
            "internal_ports": [INTERNAL, INTERNAL + 15],
            "seeds": [f"{self.host(n + 1)}:8229" for n in range(self.node_count)],
            "bootstrap": False,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            }
            | self.limits_by_node.get(number, {}),
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform": {"address": self._store_address, "form": "table"},
        }
        path = self.folder / f"node-{number}.json"
        path.write_text(json.dumps(fields))
        return path

    async def start_node(self, number: int) -> None:
        """Start the process of a node as the deploy file says."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        words = role["node"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")}
        with (self.folder / f"node-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    **role["node"]["env"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    names.SETTINGS_VARIABLE: str(self._write_settings(number)),
                },
            )

    def signal_node(self, number: int, kind: signal.Signals) -> None:
        """Send a signal to a node."""
        self.processes[number].send_signal(kind)
        self.note(f"{kind.name} to node {number}")

    async def start(self, first_count: int = 0) -> None:
        """Start the store and the first nodes, and wait until these are ready.

        Parameters
        ----------
        first_count : int, default=0
            Number of nodes to start now; 0 for all.
        """
        self._subnet = _free_subnet(self.node_count)
        self._store_address = await self.listen(self.store.application())
        self._beats = asyncio.create_task(self._send_heartbeats())
        numbers = range(1, (first_count or self.node_count) + 1)
        for number in numbers:
            await self.start_node(number)
        await self.wait_ready(numbers)

    async def wait_ready(self, numbers: Any) -> None:
        """Wait until nodes say that they are ready."""
        end_at = time.monotonic() + START_TIMEOUT_S
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0)
        ) as session:
            for number in numbers:
                while not await self.is_ready(session, number):
                    if time.monotonic() > end_at:
                        raise CannotRunError(f"node {number} is not ready")
                    await asyncio.sleep(0.1)

    async def is_ready(self, session: aiohttp.ClientSession, number: int) -> bool:
        """Return whether a node says that it is ready."""
        url = f"http://{self.host(number)}:{READY}{names.READY_PATH}"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        if self._beats is not None:
            self._beats.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for engine in self.engines:
            await engine.close()
        for runner in self._runners:
            await runner.cleanup()

    # Clients

    async def resolve(
        self, session: aiohttp.ClientSession, number: int
    ) -> dict[str, Any]:
        """Ask the directory of a node, as a client does."""
        url = f"http://{self.host(number)}:{DIRECTORY}{names.DIRECTORY_PATH}"
        query = {"name": HOST, "region": "za-south", "zone": "za-south-a"}
        async with session.get(url, params=query) as response:
            return dict(await response.json())


def client_session() -> aiohttp.ClientSession:
    """Return a client that sends each request once and follows no redirects."""
    session = aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=30.0, sock_connect=1.0),
        connector=aiohttp.TCPConnector(limit=0),
        auto_decompress=False,
    )
    session._retry_connection = False
    return session


def _free_subnet(node_count: int) -> str:
    """Return three parts of loopback addresses whose ports are free."""
    while True:
        subnet = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
        try:
            for number in range(1, node_count + 1):
                for port in (FRONT, READY, DIRECTORY, INTERNAL, INTERNAL + 1):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{number}", port))
        except OSError:
            continue
        return subnet
