"""Runs nodes as processes under random faults and checks invariants.

``python -m soak.run --seeds 3 --first 1`` runs seeds 1 to 3. A seed determines
the order and the times of the faults and of the requests.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer

from .faults import FaultInjector
from .limits import LimitCheck
from .prompts import PromptCheck
from .relay import FaultyRelay

ROOT = Path(__file__).resolve().parent.parent
PEER_SECRET = "secret of the soak's nodes"
KEYS_BY_ORGANISATION = {"org-1": "key-of-org-1-abcdef", "org-2": "key-of-org-2-abcdef"}
WITHDRAWN_KEY = "key-that-is-withdrawn"
NODE_COUNT = 5
TRAFFIC_S = 10.0
# Faults begin once all nodes are ready. With 30 processes that compete for each of
# 8 cores, the start has taken over 25 s.
START_TIMEOUT_S = 120.0
# All nodes must serve requests again this long after the last fault.
RECOVERY_TIMEOUT_S = 15.0
REQUESTS_PER_S = 30.0
REQUEST_DEADLINE_S = 4.0
# Route that only the last configuration of a run has.
LAST_ROUTE = "last"


class RecordingEngine(AdapterEngine):
    """Engine stand-in that records the holders of fencing tokens and its requests.

    Parameters
    ----------
    on_request : callable
        Called with the server's name and the identifier of each request.
    on_harmful : callable
        Called with the part and the identifier of each request that crashes engines.
    on_crash : callable
        Called with the part that crashed the engine.
    """

    def __init__(
        self,
        *arguments: Any,
        on_request: Callable[[str, str], None] = lambda _name, _request_id: None,
        on_harmful: Callable[[str, str], None] = lambda _part, _request_id: None,
        on_crash: Callable[[str], None] = lambda _part: None,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._report_request = on_request
        self._report_harmful = on_harmful
        self._report_crash = on_crash
        self.holders_by_token: dict[int, set[str]] = defaultdict(set)
        self.received_bodies: list[str] = []

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self._report_request(self.name, request_id)
        parts = request.headers.get(names.PROMPT_PARTS, "").split(",")
        harmful = {part.partition(":")[0] for part in parts} & self.crashing_parts
        for part in harmful:
            self._report_harmful(part, request_id)
        crashes = len(self.crashed_at)
        response = await super()._on_request(request)
        if len(self.crashed_at) > crashes:
            for part in harmful:
                self._report_crash(part)
        return response

    def _execute_order(self, order: dict[str, Any]) -> int:
        status = super()._execute_order(order)
        if status in (200, 202):
            self.holders_by_token[order["fencing_token"]].add(order["holder"])
        return status


class Soak:
    """Run of one seed: its stand-ins, node processes, callers and findings.

    Parameters
    ----------
    seed : int
        Determines the requests, the faults and their times.
    folder : Path
        Holds the settings and the log of each node.

    Attributes
    ----------
    findings : list of str
        Invariants that were violated.
    counts_by_status : Counter of str
        Responses by status; ``lost`` counts requests without a response.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.folder = folder
        # Concurrent runs must not use the same addresses.
        subnet_random = random.Random(f"{os.getpid()} {seed}")
        self.subnet = (
            f"127.{subnet_random.randrange(200, 255)}.{subnet_random.randrange(250)}"
        )
        self.store = RowServer(seed)
        self.engines: list[RecordingEngine] = []
        self.addresses: dict[str, str] = {}
        self.relays: dict[str, FaultyRelay] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.paused: set[int] = set()
        self.findings: list[str] = []
        self.counts_by_status: Counter[str] = Counter()
        self.config_version = 1
        self.web_runners: list[web.AppRunner] = []
        self.request_numbers = itertools.count(1)
        self.key_withdrawn_at = 0.0
        self.limits = LimitCheck()
        self.prompts = PromptCheck(seed)
        self.nodes_by_request: dict[str, int] = {}
        # Last responses to a valid and to a withdrawn key, for the findings.
        self.recovery_statuses_by_node: dict[int, list[int]] = {}

    # Set-up

    async def _listen(self, application: web.Application) -> str:
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self.web_runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*runner.addresses[0][:2])

    async def start(self) -> None:
        """Start the stand-ins, relays and nodes."""
        self.store_address = await self._listen(self.store.application())
        for name, model in (("e1", "base"), ("e2", "base"), ("d1", ""), ("d2", "")):
            engine = RecordingEngine(
                name,
                model,
                on_request=self._on_request,
                on_harmful=self._on_harmful,
                on_crash=self.prompts.record_crash,
            )
            engine.on_restart = functools.partial(self.register_engine, engine)
            relay = FaultyRelay(await engine.listen("127.0.0.1"))
            await relay.start()
            self.relays[name] = relay
            self.engines.append(engine)
            self.register_engine(engine)
        self.write_configuration()
        for number in range(1, NODE_COUNT + 1):
            relay = FaultyRelay(self.store_address)
            await relay.start()
            self.relays[f"store-{number}"] = relay
            relay = FaultyRelay(f"{self.subnet}.{number}:17600")
            await relay.start()
            self.relays[f"peer-{number}"] = relay
            await self.start_node(number)

    def _on_request(self, server: str, request_id: str) -> None:
        self.limits.record(server, self.nodes_by_request.get(request_id, 0))

    def _on_harmful(self, part: str, request_id: str) -> None:
        self.prompts.record(part, self.nodes_by_request.get(request_id, 0))

    def disturb(self, node: int) -> None:
        """Excuse a node that is stopped, paused, cut off, or back; 0 for the store."""
        self.limits.disturb(node)
        self.prompts.disturb(node)

    def register_engine(self, engine: AdapterEngine, state: str = "ready") -> None:
        """Write the entry of a backend server to the store."""
        entry = {
            "service": "assist" if engine.model else "desk",
            "address": self.relays[engine.name].address,
            "zone": "z1",
            "slots": 64,
            "state": state,
            "born": engine.started_at_ms,
        }
        self.store.put(names.BACKEND_TABLE, engine.name, entry)

    def write_configuration(
        self, includes_withdrawn_key: bool = True, added_route: str = ""
    ) -> None:
        """Write the next version of the configuration to the store."""
        self.config_version += self.random.randint(1, 4)
        routes = [
            ("draft", "streaming", "assist", True),
            ("check", "streaming", "assist", False),
            ("order", "non_idempotent", "desk", False),
            ("look", "idempotent", "desk", False),
        ]
        if added_route:
            routes.append((added_route, "idempotent", "desk", False))
        tenants = [
            {"name": name, "api_keys": [key], "plain_tokens": 200}
            for name, key in KEYS_BY_ORGANISATION.items()
        ]
        if includes_withdrawn_key:
            tenants[0]["api_keys"].append(WITHDRAWN_KEY)
        for tenant in tenants:
            tenant.update(rate_per_s=200_000, burst=200_000)
        content = {
            "version": self.config_version,
            "routes": [
                {
                    "name": name,
                    "host": "shop.example",
                    "path_prefix": f"/{name}/",
                    "route_type": route_type,
                    "service": service,
                    "resumable": resumable,
                    "timeout_ms": REQUEST_DEADLINE_S * 1e3,
                    "target_latency_ms": 800,
                    "max_attempts": 2,
                }
                for name, route_type, service, resumable in routes
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

    def caller_address(self, number: int) -> str:
        """Return the address at which a node accepts callers."""
        return f"{self.subnet}.{number}:18221"

    def write_settings(self, number: int, grace_s: int = 4) -> None:
        """Write the settings file of a node."""
        host = f"{self.subnet}.{number}"
        # Other nodes reach this node through its relay; only the seeds bypass it.
        (self.folder / f"node-{number}.yaml").write_text(
            f'node: "node-{number}"\nzone: "z1"\nip: "{host}"\n'
            f'listen_addrs: {{front: "{host}:18221", ready: "{host}:18224", '
            f'directory: "{host}:18220"}}\ninternal_ports: [17600, 17615]\n'
            f'seeds: ["{self.subnet}.1:1", "{self.subnet}.2:1"]\n'
            f"bounds: {{grace_s: {grace_s}}}\n"
            f'platform: {{address: "{self.relays[f"store-{number}"].address}"}}\n'
        )

    async def start_node(self, number: int) -> None:
        """Start or restart the process of a node."""
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
                    "SEQUOIAFALL_PEER_SECRET": PEER_SECRET,
                    "SEQUOIAFALL_PEER_ADVERTISE": self.relays[f"peer-{number}"].address,
                },
            )

    async def stop(self) -> None:
        """Stop all processes, relays and stand-ins."""
        for number, process in self.processes.items():
            if process.returncode is None:
                if number in self.paused:
                    process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for relay in self.relays.values():
            await relay.stop()
        for engine in self.engines:
            await engine.close()
        for runner in self.web_runners:
            await runner.cleanup()

    # Callers

    async def send_request(self, session: aiohttp.ClientSession, number: int) -> int:
        """Send a random request, check its response and return the status.

        The status is 0 without a response.
        """
        request_id = f"s{self.seed}-{next(self.request_numbers)}"
        self.nodes_by_request[request_id] = number
        route = self.random.choice(("draft", "draft", "check", "order", "look"))
        organisation = self.random.choice(list(KEYS_BY_ORGANISATION))
        headers = {
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(int(REQUEST_DEADLINE_S * 1e3)),
            "Host": "shop.example",
            "Authorization": f"Bearer {KEYS_BY_ORGANISATION[organisation]}",
        }
        if route in ("draft", "check"):
            adapter = f"a{min(40, int(self.random.paretovariate(0.9)))}"
            headers[names.MODEL] = f"base/{adapter}"
            headers[names.TOKENS] = "800,20"
            number_text = request_id.rpartition("-")[2]
            headers[names.PROMPT_PARTS] = self.prompts.prompt(int(number_text))
        method = "GET" if route == "look" else "POST"
        url = f"http://{self.caller_address(number)}/{route}/x"
        status, body = 0, b""
        try:
            async with session.request(
                method, url, headers=headers, data=b"b" if method == "POST" else None
            ) as response:
                status = response.status
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.counts_by_status["lost"] += 1
            status = 0
        else:
            self.counts_by_status[str(status)] += 1
        self._check_response(request_id, route, organisation, status, body)
        return status

    def _check_response(
        self, request_id: str, route: str, organisation: str, status: int, body: bytes
    ) -> None:
        runs = sum(engine.runs[request_id] for engine in self.engines)
        if route in ("order", "check") and runs > 1:
            self.add_finding(f"{request_id}: a {route} ran {runs} times")
        if status in (429, 503) and runs and route in ("order", "check"):
            self.add_finding(f"{request_id}: answered {status} and ran")
        if status == 200 and route in ("draft", "check"):
            event_ids = [row for row in body.split(b"\n") if row.startswith(b"id:")]
            if event_ids != [b"id: %d" % number for number in range(1, 6)]:
                self.add_finding(f"{request_id}: events {event_ids}")
        if status == 200 and route == "order" and body != b"done:b":
            self.add_finding(f"{request_id}: body {body!r}")
        if status in (400, 401, 403, 404):
            self.add_finding(f"{request_id}: denied with {status}")
        for engine in self.engines:
            received_headers = engine.headers_by_request.get(request_id)
            if received_headers is None:
                continue
            if received_headers.get(names.ORGANISATION) != organisation:
                self.add_finding(
                    f"{request_id}: ran for {received_headers.get(names.ORGANISATION)}"
                )
            if any(
                key in str(received_headers) for key in KEYS_BY_ORGANISATION.values()
            ):
                self.add_finding(f"{request_id}: a backend server received an API key")

    def add_finding(self, text: str) -> None:
        """Record a violated invariant."""
        self.findings.append(text)

    async def send_traffic(self, end_at: float) -> None:
        """Send requests to random nodes and wait for their responses.

        Parameters
        ----------
        end_at : float
            Monotonic time in seconds after which no further request is sent.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_DEADLINE_S + 2.0)
        connector = aiohttp.TCPConnector(limit=0)
        calls: set[asyncio.Task[int]] = set()
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            session._retry_connection = False
            while time.monotonic() < end_at:
                number = self.random.randint(1, NODE_COUNT)
                task = asyncio.create_task(self.send_request(session, number))
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            await asyncio.gather(*calls)

    # Final checks

    async def check_recovery(self) -> None:
        """Check that all nodes serve requests again and what the engines recorded."""
        end_at = time.monotonic() + RECOVERY_TIMEOUT_S
        waiting = set(range(1, NODE_COUNT + 1))
        if not self.key_withdrawn_at:
            self.key_withdrawn_at = time.monotonic()
        self.write_configuration(False, added_route=LAST_ROUTE)
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3.0)
        ) as session:
            while waiting and time.monotonic() < end_at:
                for number in list(waiting):
                    if await self._serves(session, number):
                        waiting.discard(number)
                await asyncio.sleep(0.1)
        for number in waiting:
            self.add_finding(
                f"node-{number} not serving {RECOVERY_TIMEOUT_S} s after the faults, "
                f"statuses {self.recovery_statuses_by_node.get(number)}"
            )
        self.findings += self.limits.findings() + self.prompts.findings()
        for engine in self.engines:
            if engine.exceeded_slots:
                self.add_finding(
                    f"{engine.name} was ordered to load more adapters than it can hold"
                )
            for token, holders in engine.holders_by_token.items():
                if len(holders) > 1:
                    self.add_finding(
                        f"{engine.name}: token {token} used by {sorted(holders)}"
                    )

    async def all_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether all nodes report that they are ready."""
        for number in range(1, NODE_COUNT + 1):
            url = f"http://{self.subnet}.{number}:18224{names.READY_PATH}"
            try:
                async with session.get(url) as response:
                    if response.status != 200:
                        return False
            except (aiohttp.ClientError, OSError):
                return False
        return True

    async def _serves(self, session: aiohttp.ClientSession, number: int) -> bool:
        headers = {
            names.REQUEST_ID: f"s{self.seed}-w{next(self.request_numbers)}",
            names.DEADLINE_MS: "2500",
            "Host": "shop.example",
            names.MODEL: "base/a1",
            names.TOKENS: "100,5",
        }
        statuses = []
        for key in (KEYS_BY_ORGANISATION["org-1"], WITHDRAWN_KEY):
            headers["Authorization"] = f"Bearer {key}"
            headers[names.REQUEST_ID] += "k"
            try:
                async with session.post(
                    f"http://{self.caller_address(number)}/draft/x",
                    headers=headers,
                    data=b"b",
                ) as response:
                    await response.read()
                    statuses.append(response.status)
            except (aiohttp.ClientError, TimeoutError, OSError):
                return False
        self.recovery_statuses_by_node[number] = statuses
        return statuses == [200, 401] and await self._serves_last_route(session, number)

    async def _serves_last_route(
        self, session: aiohttp.ClientSession, number: int
    ) -> bool:
        """Return whether the last configuration is in force at a node."""
        headers = {
            names.REQUEST_ID: f"s{self.seed}-w{next(self.request_numbers)}",
            names.DEADLINE_MS: "2500",
            "Host": "shop.example",
            "Authorization": f"Bearer {KEYS_BY_ORGANISATION['org-1']}",
        }
        url = f"http://{self.caller_address(number)}/{LAST_ROUTE}/x"
        try:
            async with session.get(url, headers=headers) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


async def run_seed(seed: int, folder: Path, traffic_s: float = TRAFFIC_S) -> Soak:
    """Run one seed and return it with its findings.

    Parameters
    ----------
    seed : int
        Determines the requests, the faults and their times.
    folder : Path
        Holds the settings and the log of each node.
    traffic_s : float
        Time in seconds during which requests are sent and faults injected.
    """
    soak = Soak(seed, folder)
    try:
        await soak.start()
        async with aiohttp.ClientSession() as session:
            start_until = time.monotonic() + START_TIMEOUT_S
            while not await soak.all_ready(session):
                if time.monotonic() > start_until:
                    soak.add_finding(
                        f"not all nodes are ready {START_TIMEOUT_S} s after the start"
                    )
                    break
                await asyncio.sleep(0.1)
        end_at = time.monotonic() + traffic_s
        await asyncio.gather(
            soak.send_traffic(end_at), FaultInjector(soak, NODE_COUNT).run(end_at)
        )
        await soak.check_recovery()
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
    """Run seeds one after another; exit status 1 if an invariant was violated."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak = asyncio.run(run_seed(seed, Path(name)))
            counts = " ".join(
                f"{k}={v}" for k, v in sorted(soak.counts_by_status.items())
            )
            typer.echo(f"seed={seed} findings={len(soak.findings)} {counts}")
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
