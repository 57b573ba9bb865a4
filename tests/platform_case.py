"""Base class of tests that run nodes against stand-ins of the users' platform."""

import asyncio
import itertools
import os
import socket
import unittest

import aiohttp
from aiohttp import web

from sequoiafall.node import Node
from sequoiafall.node_settings import NodeSettings
from sequoiafall.platform import names
from sequoiafall.platform.applications import PlatformApplications
from sequoiafall.platform.dialect import PlatformDialect
from sequoiafall.platform.engines import PlatformEngines
from sequoiafall.platform.rows import PlatformRows
from sequoiafall.platform.store import PlatformRowStore
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer

from .events import disable_debug_mode, until

SECRET = b"secret of the tests"
KEY = "key-of-org-1"
# Loopback networks that processes of tests choose from, and the port that one holds.
NETWORKS = 199
RESERVED_PORT = 17999
_fleet_numbers = itertools.count(1)


def configuration(version=1, **changes):
    """Return an operator's configuration with four routes."""
    route = {
        "host": "shop.example",
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    values = {
        "version": version,
        "routes": [
            {
                **route,
                "name": "draft",
                "path_prefix": "/draft/",
                "route_type": "streaming",
                "service": "assist",
                "resumable": True,
            },
            {
                **route,
                "name": "check",
                "path_prefix": "/check/",
                "route_type": "streaming",
                "service": "assist",
            },
            {
                **route,
                "name": "order",
                "path_prefix": "/order/",
                "route_type": "non_idempotent",
                "service": "desk",
            },
            {
                **route,
                "name": "look",
                "path_prefix": "/look/",
                "route_type": "idempotent",
                "service": "desk",
            },
        ],
        "services": [
            {
                "name": "assist",
                "health_path": "/healthz",
                "engine": {
                    "models": [{"name": "base", "adapters": 100}],
                    "adapter_slots": 6,
                },
            },
            {"name": "desk", "health_path": "/healthz"},
        ],
        "limits": {},
        "tenants": [
            {
                "name": "org-1",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 1000000,
                "burst": 1000000,
            }
        ],
    }
    return {**values, **changes}


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Starts the platform's stand-ins, and nodes on their own loopback addresses."""

    async def asyncSetUp(self):
        disable_debug_mode()
        number = next(_fleet_numbers)
        self._network = self._reserve_network(number)
        self._runners = []
        self.nodes = []
        self.engines = {}
        self.store = RowServer(seed=number)
        self.store_address = await self._listen(self.store.application(), "127.0.0.1")
        self.session = aiohttp.ClientSession()
        self._request_numbers = itertools.count(1)

    def _reserve_network(self, number):
        """Return a loopback network that no other process of tests uses.

        Processes whose identifiers differ by a multiple of 199 used the same one.
        """
        for attempt in range(NETWORKS):
            second = 1 + (os.getpid() + attempt) % NETWORKS
            network = f"127.{second}.{1 + number % 254}"
            holder = socket.socket()
            self.addCleanup(holder.close)
            try:
                holder.bind((f"{network}.254", RESERVED_PORT))
            except OSError:
                continue
            return network
        raise AssertionError("all loopback networks are in use")

    async def asyncTearDown(self):
        await self.session.close()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for runner in self._runners:
            await runner.cleanup()
        for backend in self.engines.values():
            await backend.close()

    async def _listen(self, application, host):
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, host, 0, shutdown_timeout=0.1).start()
        return "{}:{}".format(*runner.addresses[0][:2])

    async def start_backend(self, name, service="assist", model="base", **options):
        backend = AdapterEngine(name, model, **options)
        backend.address = await backend.listen("127.0.0.1")
        backend.on_restart = lambda: self.announce(backend)
        backend.service = service
        self.engines[name] = backend
        self.announce(backend)
        return backend

    def announce(self, backend, **changes):
        entry = {
            "service": backend.service,
            "address": backend.address,
            "zone": "z1",
            "version": backend.software or "v1",
            "slots": 64,
            "state": "ready",
            "sequence": 1,
            "born": backend.started_at_ms,
        }
        self.store.put(names.BACKEND_TABLE, backend.name, {**entry, **changes})

    def configure(self, version=1, **changes):
        self.store.put(
            names.CONFIGURATION_TABLE,
            names.CONFIGURATION_KEY,
            configuration(version, **changes),
        )

    async def start_node(self, number=1, **changes):
        host = f"{self._network}.{number}"
        values = {
            "instance": f"node-{number}",
            "zone": "z1",
            "address": host,
            "front_address": f"{host}:18221",
            "ready_address": f"{host}:18224",
            "directory_address": f"{host}:18220",
            "peer_port": 17600,
            "metrics_port": 17601,
            "peer_hints": (f"{self._network}.1",),
            "store_address": self.store_address,
            "grace_s": 1.0,
        }
        settings = NodeSettings(**{**values, **changes})
        node = Node(
            settings,
            SECRET,
            PlatformRowStore(settings.store_address, host),
            PlatformRows(),
            PlatformEngines(),
            PlatformDialect(),
            PlatformApplications(),
        )
        await node.start()
        self.nodes.append(node)
        return node

    async def start_fleet(self, count=2, backends=True):
        self.configure()
        if backends:
            await self.start_backend("e1")
            await self.start_backend("e2")
            await self.start_backend("d1", "desk", "")
            await self.start_backend("d2", "desk", "")
        for number in range(1, count + 1):
            await self.start_node(number)
        await until(
            lambda: all(node.fleet.has_leader and node.is_ready for node in self.nodes)
        )
        if backends:
            await until(self._engines_are_synced)
        return self.nodes

    def _engines_are_synced(self):
        leader = self.leader
        if leader is None:
            return False
        planner = leader.fleet.duties.planners_by_service["assist"]
        engines = planner.pool.engines_by_name
        return len(engines) == 2 and all(row.is_synced for row in engines.values())

    @property
    def leader(self):
        for node in self.nodes:
            if node.fleet.lease.leads and node.fleet.duties is not None:
                return node
        return None

    async def call(
        self, node, path, method="POST", adapter="", body=b"body", **headers
    ):
        request_id = headers.pop("request_id", f"r{next(self._request_numbers)}")
        sent = {
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: "4000",
            "Host": "shop.example",
            "Authorization": f"Bearer {KEY}",
            **headers,
        }
        if adapter:
            sent[names.MODEL] = f"base/{adapter}"
            sent[names.TOKENS] = "1000,20"
        url = f"http://{node.settings.front_address}{path}"
        async with self.session.request(
            method, url, headers=sent, data=body if method == "POST" else None
        ) as response:
            return response.status, await response.read(), response.headers

    def runs(self, request_id):
        return sum(backend.runs[request_id] for backend in self.engines.values())
