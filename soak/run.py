"""Runs nodes as processes under random faults and checks the promises.

``python -m soak.run --seeds 3 --first 1`` plays seeds 1 to 3; a seed decides
the order and the times of the faults and of the requests.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer

from .faults import FaultInjector
from .relay import FaultyRelay

ROOT = Path(__file__).resolve().parent.parent
SECRET = "secret of the soak's nodes"
KEYS = {"org-1": "key-of-org-1-abcdef", "org-2": "key-of-org-2-abcdef"}
WITHDRAWN = "key-that-is-withdrawn"
NODES = 5
PLAY_S = 10.0
# Faults begin when all nodes are ready. On a machine with 30 processes that want
# each of its 8 cores, a start has taken over 25 s.
START_S = 120.0
# Everything works again this long after the last fault.
SETTLE_S = 15.0
CALLS_PER_S = 30.0
DEADLINE_S = 4.0


class CheckedEngine(AdapterEngine):
    """Notes what the checks need of the orders and requests that reach it."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.holders_by_token: dict[int, set[str]] = defaultdict(set)
        self.bytes_seen: list[str] = []

    def _execute_order(self, order: dict[str, Any]) -> int:
        status = super()._execute_order(order)
        if status in (200, 202):
            self.holders_by_token[order["fencing_token"]].add(order["holder"])
        return status


class Soak:
    """One seed: stand-ins, nodes, callers, faults and findings."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.folder = folder
        # Runs beside each other must not take the same addresses.
        place = random.Random(f"{os.getpid()} {seed}")
        self.net = f"127.{place.randrange(200, 255)}.{place.randrange(250)}"
        self.store = RowServer(seed)
        self.engines: list[CheckedEngine] = []
        self.addresses: dict[str, str] = {}
        self.relays: dict[str, FaultyRelay] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.paused: set[int] = set()
        self.findings: list[str] = []
        self.answers: Counter[str] = Counter()
        self.config_version = 1
        self.runners: list[web.AppRunner] = []
        self.ids = itertools.count(1)
        self.withdrawn_at = 0.0

    # Set-up

    async def _listen(self, application: web.Application) -> str:
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self.runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*runner.addresses[0][:2])

    async def start(self) -> None:
        """Start stand-ins, relays and nodes."""
        self.store_address = await self._listen(self.store.application())
        for name, model in (("e1", "base"), ("e2", "base"), ("d1", ""), ("d2", "")):
            engine = CheckedEngine(name, model)
            relay = FaultyRelay(await self._listen(engine.application()))
            await relay.start()
            self.relays[name] = relay
            self.engines.append(engine)
            self.announce(engine)
        self.configure()
        for number in range(1, NODES + 1):
            relay = FaultyRelay(self.store_address)
            await relay.start()
            self.relays[f"store-{number}"] = relay
            relay = FaultyRelay(f"{self.net}.{number}:17600")
            await relay.start()
            self.relays[f"peer-{number}"] = relay
            await self.start_node(number)

    def announce(self, engine: AdapterEngine, state: str = "ready") -> None:
        """Write the entry of a backend server."""
        entry = {
            "service": "assist" if engine.model else "desk",
            "address": self.relays[engine.name].address,
            "zone": "z1",
            "slots": 64,
            "state": state,
            "born": engine.started_at_ms,
        }
        self.store.put(names.BACKEND_TABLE, engine.name, entry)

    def configure(self, keeps_withdrawn: bool = True) -> None:
        """Write the next version of the configuration."""
        self.config_version += self.random.randint(1, 4)
        routes = [
            ("draft", "streaming", "assist", True),
            ("check", "streaming", "assist", False),
            ("order", "non_idempotent", "desk", False),
            ("look", "idempotent", "desk", False),
        ]
        tenants = [
            {"name": name, "api_keys": [key], "plain_tokens": 200}
            for name, key in KEYS.items()
        ]
        if keeps_withdrawn:
            tenants[0]["api_keys"].append(WITHDRAWN)
        for tenant in tenants:
            tenant.update(rate_per_s=200_000, burst=200_000)
        content = {
            "version": self.config_version,
            "routes": [
                {
                    "name": name,
                    "host": "shop.example",
                    "path_prefix": f"/{name}/",
                    "route_type": kind,
                    "service": service,
                    "resumable": resumable,
                    "timeout_ms": DEADLINE_S * 1e3,
                    "target_latency_ms": 800,
                    "max_attempts": 2,
                }
                for name, kind, service, resumable in routes
            ],
            "services": [
                {
                    "name": "assist",
                    "engine": {
                        "models": [{"name": "base", "adapters": 50}],
                        "adapter_slots": 6,
                    },
                },
                {"name": "desk"},
            ],
            "tenants": tenants,
        }
        self.store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, content)

    def front(self, number: int) -> str:
        """Return the callers' address of a node."""
        return f"{self.net}.{number}:18221"

    def write_settings(self, number: int, grace_s: int = 4) -> None:
        """Write the settings file of a node."""
        host = f"{self.net}.{number}"
        # The others reach the node by its relay; this one hint goes around it.
        (self.folder / f"node-{number}.yaml").write_text(
            f'node: "node-{number}"\nzone: "z1"\nip: "{host}"\n'
            f'listen_addrs: {{front: "{host}:18221", ready: "{host}:18224", '
            f'directory: "{host}:18220"}}\ninternal_ports: [17600, 17615]\n'
            f'seeds: ["{self.net}.1:1", "{self.net}.2:1"]\n'
            f"bounds: {{grace_s: {grace_s}}}\n"
            f'platform: {{address: "{self.relays[f"store-{number}"].address}"}}\n'
        )

    async def start_node(self, number: int) -> None:
        """Start, or start again, the process of a node."""
        self.write_settings(number)
        with (self.folder / f"node-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sequoiafall.platform.program",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    names.SETTINGS_VARIABLE: str(self.folder / f"node-{number}.yaml"),
                    "SEQUOIAFALL_PEER_SECRET": SECRET,
                    "SEQUOIAFALL_PEER_ADVERTISE": self.relays[f"peer-{number}"].address,
                },
            )

    async def stop(self) -> None:
        """End what was started."""
        for number, process in self.processes.items():
            if process.returncode is None:
                if number in self.paused:
                    process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for relay in self.relays.values():
            await relay.stop()
        for runner in self.runners:
            await runner.cleanup()

    # Callers

    async def call(self, session: aiohttp.ClientSession, number: int) -> int:
        """Make one call and check its answer; return the status, 0 for none."""
        request_id = f"s{self.seed}-{next(self.ids)}"
        kind = self.random.choice(("draft", "draft", "check", "order", "look"))
        organisation = self.random.choice(list(KEYS))
        headers = {
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1e3)),
            "Host": "shop.example",
            "Authorization": f"Bearer {KEYS[organisation]}",
        }
        if kind in ("draft", "check"):
            adapter = f"a{min(40, int(self.random.paretovariate(0.9)))}"
            headers[names.MODEL] = f"base/{adapter}"
            headers[names.TOKENS] = "800,20"
        method = "GET" if kind == "look" else "POST"
        url = f"http://{self.front(number)}/{kind}/x"
        status, body = 0, b""
        try:
            async with session.request(
                method, url, headers=headers, data=b"b" if method == "POST" else None
            ) as response:
                status = response.status
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.answers["lost"] += 1
            status = 0
        else:
            self.answers[str(status)] += 1
        self._check(request_id, kind, organisation, status, body)
        return status

    def _check(
        self, request_id: str, kind: str, organisation: str, status: int, body: bytes
    ) -> None:
        runs = sum(engine.runs[request_id] for engine in self.engines)
        if kind in ("order", "check") and runs > 1:
            self.find(f"{request_id}: a {kind} ran {runs} times")
        if status in (429, 503) and runs and kind in ("order", "check"):
            self.find(f"{request_id}: answered {status} and ran")
        if status == 200 and kind in ("draft", "check"):
            ids = [row for row in body.split(b"\n") if row.startswith(b"id:")]
            if ids != [b"id: %d" % number for number in range(1, 6)]:
                self.find(f"{request_id}: events {ids}")
        if status == 200 and kind == "order" and body != b"done:b":
            self.find(f"{request_id}: body {body!r}")
        if status in (400, 401, 403, 404):
            self.find(f"{request_id}: denied with {status}")
        for engine in self.engines:
            seen = engine.headers_by_request.get(request_id)
            if seen is None:
                continue
            if seen.get(names.ORGANISATION) != organisation:
                self.find(f"{request_id}: ran for {seen.get(names.ORGANISATION)}")
            if any(key in str(seen) for key in KEYS.values()):
                self.find(f"{request_id}: a backend server saw a key")

    def find(self, text: str) -> None:
        """Note a broken promise."""
        self.findings.append(text)

    async def traffic(self, until: float) -> None:
        """Call random nodes until a time; open connections are kept."""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + 2.0)
        connector = aiohttp.TCPConnector(limit=0)
        calls: set[asyncio.Task[int]] = set()
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            session._retry_connection = False
            while time.monotonic() < until:
                number = self.random.randint(1, NODES)
                task = asyncio.create_task(self.call(session, number))
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(self.random.expovariate(CALLS_PER_S))
            await asyncio.gather(*calls)

    # End

    async def settle(self) -> None:
        """Check that everything works again and what the end state shows."""
        until = time.monotonic() + SETTLE_S
        waiting = set(range(1, NODES + 1))
        if not self.withdrawn_at:
            self.withdrawn_at = time.monotonic()
        self.configure(keeps_withdrawn=False)
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3.0)
        ) as session:
            while waiting and time.monotonic() < until:
                for number in list(waiting):
                    if await self._works(session, number):
                        waiting.discard(number)
                await asyncio.sleep(0.1)
        for number in waiting:
            self.find(f"node-{number} does not serve {SETTLE_S} s after the faults")
        for engine in self.engines:
            if engine.exceeded_slots:
                self.find(f"{engine.name} was told to load more than it holds")
            for token, holders in engine.holders_by_token.items():
                if len(holders) > 1:
                    self.find(f"{engine.name}: token {token} of {sorted(holders)}")

    async def all_ready(self, session: aiohttp.ClientSession) -> bool:
        """Whether all nodes say that they are ready."""
        for number in range(1, NODES + 1):
            url = f"http://{self.net}.{number}:18224{names.READY_PATH}"
            try:
                async with session.get(url) as response:
                    if response.status != 200:
                        return False
            except (aiohttp.ClientError, OSError):
                return False
        return True

    async def _works(self, session: aiohttp.ClientSession, number: int) -> bool:
        headers = {
            names.REQUEST_ID: f"s{self.seed}-w{next(self.ids)}",
            names.DEADLINE_MS: "2500",
            "Host": "shop.example",
            names.MODEL: "base/a1",
            names.TOKENS: "100,5",
        }
        statuses = []
        for key in (KEYS["org-1"], WITHDRAWN):
            headers["Authorization"] = f"Bearer {key}"
            headers[names.REQUEST_ID] += "k"
            try:
                async with session.post(
                    f"http://{self.front(number)}/draft/x", headers=headers, data=b"b"
                ) as response:
                    await response.read()
                    statuses.append(response.status)
            except (aiohttp.ClientError, TimeoutError, OSError):
                return False
        return statuses == [200, 401]


async def play(seed: int, folder: Path, play_s: float = PLAY_S) -> Soak:
    """Play one seed for some seconds and return it with its findings."""
    soak = Soak(seed, folder)
    try:
        await soak.start()
        async with aiohttp.ClientSession() as session:
            start_until = time.monotonic() + START_S
            while not await soak.all_ready(session):
                if time.monotonic() > start_until:
                    soak.find(f"not all nodes are ready {START_S} s after the start")
                    break
                await asyncio.sleep(0.1)
        until = time.monotonic() + play_s
        await asyncio.gather(soak.traffic(until), FaultInjector(soak, NODES).run(until))
        await soak.settle()
    finally:
        await soak.stop()
    return soak


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    keep: Annotated[
        Path | None, typer.Option(help="Folder for the logs of failed seeds.")
    ] = None,
) -> None:
    """Play seeds one after the other; exit status 1 if a promise was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak = asyncio.run(play(seed, Path(name)))
            answers = " ".join(f"{k}={v}" for k, v in sorted(soak.answers.items()))
            typer.echo(f"seed={seed} findings={len(soak.findings)} {answers}")
            for finding in soak.findings[:10]:
                typer.echo(f"  {finding}")
            if soak.findings:
                failed += 1
                if keep is not None:
                    keep.mkdir(parents=True, exist_ok=True)
                    for log in Path(name).glob("*.log"):
                        (keep / f"seed-{seed}-{log.name}").write_bytes(log.read_bytes())
    if failed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
