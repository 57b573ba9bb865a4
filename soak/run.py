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
from collections import Counter
from pathlib import Path
from typing import Annotated

import aiohttp
import typer
from aiohttp import web

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.standins.row_server import RowServer

from .calls import Call, record_last_bytes
from .configuration import (
    ENGINE_SERVICES,
    KEYS_BY_ORGANISATION,
    PLAIN_SERVICES,
    REQUEST_DEADLINE_S,
    SINGLE_RUN_ROUTES,
    STREAM_ROUTES,
    WITHDRAWN_KEY,
    Configuration,
)
from .deadly_requests import DeadlyRequests
from .endings import EndingCheck
from .faults import (
    FIRST_SEED_WITH_BAD_INPUT,
    FIRST_SEED_WITH_VERSIONS,
    FaultInjector,
)
from .foreign_entries import ForeignEntries
from .further_faults import FurtherFaults
from .limits import LimitCheck
from .malformed_answers import AnswerCheck, MalformedAnswers
from .processes import MEMORY_MB, ProcessCheck
from .prompts import PromptCheck
from .relay import FaultyRelay
from .request_counters import counter_findings
from .servers import RecordingEngine, ServerObserver
from .software_versions import SoftwareVersions, StreamCheck
from .sound_requests import SoundRequestCheck
from .stalled_clients import StalledClients

ROOT = Path(__file__).resolve().parent.parent
PEER_SECRET = "secret of the soak's nodes"
NODE_COUNT = 5
METRICS_PORT = 17601
# Backend servers of each service.
SERVER_COUNT = 2
TRAFFIC_S = 10.0
# Faults begin once all nodes are ready. With 30 processes that compete for each of
# 8 cores, the start has taken over 25 s.
START_TIMEOUT_S = 120.0
# All nodes must serve requests again this long after the last fault.
RECOVERY_TIMEOUT_S = 15.0
REQUESTS_PER_S = 30.0
# Events of the second engine service, so that changes meet streams under way.
SLOW_EVENT_INTERVAL_S = 0.15
# Route that only the last configuration of a run has.
LAST_ROUTE = "last"


class Soak(ServerObserver):
    """Run of one seed: its stand-ins, node processes, callers and findings.

    Parameters
    ----------
    seed : int
        Determines the requests, the faults and their times.
    folder : Path
        Holds the settings and the log of each node.
    node_count : int
        Number of nodes, counted from 1.
    server_count : int
        Number of backend servers of each service.
    is_series : bool
        Whether silences, deadly requests and changes come one after the other and
        without other faults.

    Attributes
    ----------
    engines, further_engines : list of RecordingEngine
        Servers of the first services, which all faults affect, and of the second.
    findings : list of str
        Invariants that were violated.
    counts_by_status : Counter of str
        Responses by status; ``lost`` counts requests without a response.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        node_count: int = NODE_COUNT,
        server_count: int = SERVER_COUNT,
        is_series: bool = False,
    ) -> None:
        self.seed = seed
        self.is_series = is_series
        self.node_count = node_count
        self.server_count = server_count
        self.random = random.Random(seed)
        self.folder = folder
        # Concurrent runs must not use the same addresses.
        subnet_random = random.Random(f"{os.getpid()} {seed}")
        self.subnet = (
            f"127.{subnet_random.randrange(200, 255)}.{subnet_random.randrange(250)}"
        )
        self.store = RowServer(seed)
        self.engines: list[RecordingEngine] = []
        self.further_engines: list[RecordingEngine] = []
        self.relays: dict[str, FaultyRelay] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.paused: set[int] = set()
        self._restarting: set[int] = set()
        # Size of the log of each node when its process was started.
        self._log_bytes_by_node: dict[int, int] = {}
        self.findings: list[str] = []
        self.counts_by_status: Counter[str] = Counter()
        self.configuration = Configuration()
        self.endings = EndingCheck(self.configuration, self.has_read)
        self.sound_requests = SoundRequestCheck()
        self.deadly = DeadlyRequests(seed, random.Random(f"{seed} deadly requests"))
        self.traffic_span_s = (0.0, 0.0)
        self.web_runners: list[web.AppRunner] = []
        self._return_tasks: set[asyncio.Task[None]] = set()
        self.request_numbers = itertools.count(1)
        self.further_numbers = itertools.count(1)
        self.late_numbers = itertools.count(1)
        self.further_random = random.Random(f"{seed} further versions")
        self.key_withdrawn_at = 0.0
        self.limits = LimitCheck()
        self.prompts = PromptCheck(seed)
        self.streams = StreamCheck()
        self.answers = AnswerCheck()
        self.process_check = ProcessCheck(self)
        self._process_task: asyncio.Task[None] | None = None
        self.foreign_entries = ForeignEntries(self)
        self.stalled_clients = StalledClients(self)
        self.removed_engines: set[AdapterEngine] = set()
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
        count = self.server_count
        for letter, model, first, servers in (
            ("e", "base", 1, self.engines),
            ("d", "", 1, self.engines),
            ("e", "base", count + 1, self.further_engines),
            ("d", "", count + 1, self.further_engines),
        ):
            for number in range(first, first + count):
                servers.append(await self._start_engine(f"{letter}{number}", model))
        if self.has_versions:
            for number in range(2 * count + 1, 3 * count + 1):
                engine = await self._start_engine(f"e{number}", "base")
                self.further_engines.append(engine)
            for engine in self.all_engines:
                engine.software = f"{self.service(engine)}-v1"
                engine.event_interval_s = SLOW_EVENT_INTERVAL_S
        for engine in self.further_engines:
            engine.event_interval_s = SLOW_EVENT_INTERVAL_S
        for engine in self.all_engines:
            self.register_engine(engine)
        self.write_configuration()
        for number in range(1, self.node_count + 1):
            relay = FaultyRelay(self.store_address)
            await relay.start()
            self.relays[f"store-{number}"] = relay
            relay = FaultyRelay(f"{self.subnet}.{number}:17600")
            await relay.start()
            self.relays[f"peer-{number}"] = relay
            await self.start_node(number)
        self._process_task = asyncio.create_task(self.process_check.run())

    async def _start_engine(self, name: str, model: str) -> RecordingEngine:
        engine = RecordingEngine(name, model, observer=self)
        engine.on_restart = functools.partial(self._start_return, engine)
        relay = FaultyRelay(await engine.listen("127.0.0.1"))
        await relay.start()
        self.relays[name] = relay
        return engine

    @property
    def has_versions(self) -> bool:
        """Whether servers of several versions serve, and callers take streams up."""
        return self.seed >= FIRST_SEED_WITH_VERSIONS and not self.is_series

    @property
    def has_bad_input(self) -> bool:
        """Whether other writers, servers in trouble and stalled clients take part."""
        return self.seed >= FIRST_SEED_WITH_BAD_INPUT and not self.is_series

    @property
    def all_engines(self) -> list[RecordingEngine]:
        """Servers of all services."""
        return [*self.engines, *self.further_engines]

    def service(self, engine: AdapterEngine) -> str:
        """Return the service of a backend server."""
        services = ENGINE_SERVICES if engine.model else PLAIN_SERVICES
        return services[engine in self.further_engines]

    # What happens at the servers

    def on_request(self, server: str, request_id: str) -> None:
        """Record the arrival of a request."""
        self.limits.record(server, self.nodes_by_request.get(request_id, 0))
        self.endings.record_arrival(server, request_id)

    def on_harmful(self, cause: str, request_id: str) -> None:
        """Record the arrival of a request that crashes the server."""
        node = self.nodes_by_request.get(request_id, 0)
        self._budget(cause).record(cause, node)

    def on_crash(self, cause: str, server: str) -> None:
        """Record a crash, which also ends the server's limit."""
        self._budget(cause).record_crash(cause)
        for engine in self.all_engines:
            if engine.name == server:
                self.end_limit(engine)
        # A relay that accepts connections to a server that is down would make each
        # request sent meanwhile look like one that crashed it.
        if server in self.relays:
            self.relays[server].close_port()
        self.endings.note(f"{server} crashed by {cause}")

    def _budget(self, cause: str) -> PromptCheck | DeadlyRequests:
        return self.deadly if cause.startswith("/") else self.prompts

    def _start_return(self, engine: RecordingEngine) -> None:
        task = asyncio.create_task(self._return(engine))
        self._return_tasks.add(task)
        task.add_done_callback(self._return_tasks.discard)

    async def _return(self, engine: RecordingEngine) -> None:
        """Accept connections to a server that is up again, and announce it."""
        await self.relays[engine.name].open_port()
        self.register_engine(engine)

    def on_broken(self, server: str, request_id: str) -> None:
        """Record a request that its server has broken off."""
        self.endings.record_broken(server, request_id)

    def on_left(self, server: str, request_id: str) -> None:
        """Record a request whose connection was closed before its end."""
        self.endings.record_left(server, request_id)

    def on_signature(self, request_id: str, signature: str) -> None:
        """Record the signature of an answer."""
        self.answers.record_signature(request_id, signature)

    def on_malformed(
        self, server: str, request_id: str, signature: str, head: str
    ) -> None:
        """Record an answer with a malformed head, which completes no request."""
        self.answers.record_malformed(request_id, signature, head)
        self.endings.record_broken(server, request_id)

    def end_limit(self, engine: AdapterEngine) -> None:
        """End a server's limit, as a restart does."""
        engine.limit_per_s = -1.0
        self.limits.lift(engine.name)

    def disturb(self, node: int) -> None:
        """Excuse a node that is stopped, paused, cut off, or back; 0 for the store."""
        self.limits.disturb(node)
        self.prompts.disturb(node)
        self.deadly.disturb(node)

    def was_disturbed(self, node: int, since: float) -> bool:
        """Return whether a node or the store was disturbed around a time or since."""
        return self.prompts.was_disturbed_since(since, node)

    def register_engine(self, engine: AdapterEngine, state: str = "ready") -> None:
        """Write the entry of a backend server to the store, unless it was removed."""
        if engine in self.removed_engines:
            return
        entry = {
            "service": self.service(engine),
            "address": self.relays[engine.name].address,
            "zone": "z1",
            **({"version": engine.software} if engine.software else {}),
            "slots": 64,
            "state": state,
            "born": engine.started_at_ms,
        }
        self.store.put(names.BACKEND_TABLE, engine.name, entry)

    def write_configuration(
        self, includes_withdrawn_key: bool = True, added_route: str = ""
    ) -> None:
        """Write the next version of the configuration to the store."""
        self.configuration.version += self.random.randint(1, 4)
        self._write(includes_withdrawn_key, added_route)

    def write_changes(self) -> None:
        """Write the next version of the configuration, with further changes."""
        self.configuration.version += self.further_random.randint(1, 4)
        self._write(not self.key_withdrawn_at)

    def _write(self, includes_withdrawn_key: bool, added_route: str = "") -> None:
        extra_keys = [WITHDRAWN_KEY] if includes_withdrawn_key else []
        self.configuration.write(self.store, extra_keys, added_route)

    def has_read(self, number: int, request_id: str) -> bool:
        """Return whether the log of a node names a request."""
        text = (self.folder / f"node-{number}.log").read_text(errors="replace")
        return f"request_id={request_id} " in text

    def has_started(self, number: int) -> bool:
        """Return whether the log of a node says that its last process has started."""
        content = (self.folder / f"node-{number}.log").read_bytes()
        return b" event=started " in content[self._log_bytes_by_node[number] :]

    def caller_address(self, number: int) -> str:
        """Return the address at which a node accepts callers."""
        return f"{self.subnet}.{number}:18221"

    def write_settings(self, number: int, grace_s: int = 4) -> None:
        """Write the settings file of a node."""
        self.endings.record_grace(number, grace_s)
        host = f"{self.subnet}.{number}"
        limits = f"limits: {{memory_mb: {MEMORY_MB}}}\n" if self.has_bad_input else ""
        # Other nodes reach this node through its relay; only the seeds bypass it.
        (self.folder / f"node-{number}.yaml").write_text(
            f'node: "node-{number}"\nzone: "z1"\nip: "{host}"\n'
            f'listen_addrs: {{front: "{host}:18221", ready: "{host}:18224", '
            f'directory: "{host}:18220"}}\ninternal_ports: [17600, 17615]\n'
            f'seeds: ["{self.subnet}.1:1", "{self.subnet}.2:1"]\n'
            f"bounds: {{grace_s: {grace_s}}}\n"
            f"{limits}"
            f'platform: {{address: "{self.relays[f"store-{number}"].address}"}}\n'
        )

    async def start_node(self, number: int) -> None:
        """Start or restart the process of a node."""
        self.write_settings(number)
        with (self.folder / f"node-{number}.log").open("ab") as log:
            self._log_bytes_by_node[number] = log.tell()
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
        self.process_check.record_start(self.processes[number].pid)

    async def restart_node(
        self, number: int, ended: asyncio.subprocess.Process
    ) -> None:
        """Start a node again whose process has ended, unless another fault does so.

        Two stops may have waited for the same process. A second process would end
        for lack of the ports, and the first one would remain after the run.
        """
        if self.processes[number] is not ended or number in self._restarting:
            return
        self._restarting.add(number)
        try:
            await self.start_node(number)
        finally:
            self._restarting.discard(number)

    async def stop(self) -> None:
        """Stop all processes, relays and stand-ins."""
        if self._process_task is not None:
            self._process_task.cancel()
        self.foreign_entries.close()
        for number, process in self.processes.items():
            if process.returncode is None:
                if number in self.paused:
                    process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for relay in self.relays.values():
            await relay.stop()
        for engine in self.all_engines:
            await engine.close()
        for runner in self.web_runners:
            await runner.cleanup()

    # Callers

    async def send_request(self, session: aiohttp.ClientSession, number: int) -> int:
        """Send a random request, check its response and return the status.

        The status is 0 without a response.
        """
        request_id = f"s{self.seed}-{next(self.request_numbers)}"
        route = self.random.choice(("draft", "draft", "check", "order", "look"))
        organisation = self.random.choice(list(KEYS_BY_ORGANISATION))
        headers: dict[str, str] = {}
        is_sound = True
        if route in STREAM_ROUTES:
            adapter = f"a{min(40, int(self.random.paretovariate(0.9)))}"
            parts = self.prompts.prompt(int(request_id.rpartition("-")[2]))
            headers = self.stream_headers(adapter, parts)
            is_sound = "harmful-" not in parts
        method = "GET" if route == "look" else "POST"
        call = Call(
            request_id,
            number,
            route,
            organisation,
            KEYS_BY_ORGANISATION[organisation],
            f"/{route}/x",
            method,
            b"b" if method == "POST" else b"",
            headers,
            is_sound,
        )
        await self.make_call(session, call)
        return call.status if call.is_complete else 0

    def stream_headers(
        self, adapter: str, parts: str, output_tokens: int = 20
    ) -> dict[str, str]:
        """Return the headers of a request that an engine serves."""
        return {
            names.MODEL: f"base/{adapter}",
            names.TOKENS: f"800,{output_tokens}",
            names.PROMPT_PARTS: parts,
        }

    async def make_call(self, session: aiohttp.ClientSession, call: Call) -> None:
        """Send a request and check its response."""
        self.nodes_by_request[call.request_id] = call.node
        await call.send(session, self.caller_address(call.node))
        self.counts_by_status[str(call.status) if call.is_complete else "lost"] += 1
        self.endings.record_end(call)
        self.sound_requests.record_end(call)
        self.streams.record_end(call)
        if self.has_bad_input and (wrong := self.answers.find(call)):
            self.add_finding(
                f"{call.request_id} ({call.route}) at node-{call.node} {wrong}"
            )
        status = call.status if call.is_complete else 0
        is_denial_expected = self.configuration.is_denial_expected(call.route, call.key)
        self._check_response(
            call.request_id,
            call.route,
            call.organisation,
            status,
            call.received,
            call.body,
            is_denial_expected,
            int(call.headers.get(names.LAST_EVENT, "0")) + 1,
        )

    def _check_response(
        self,
        request_id: str,
        route: str,
        organisation: str,
        status: int,
        body: bytes,
        sent_body: bytes = b"b",
        is_denial_expected: bool = False,
        first_event: int = 1,
    ) -> None:
        runs = sum(engine.runs[request_id] for engine in self.all_engines)
        if route in SINGLE_RUN_ROUTES and runs > 1:
            self.add_finding(f"{request_id}: a {route} ran {runs} times")
        if status in (408, 421, 429, 503) and runs and route in SINGLE_RUN_ROUTES:
            self.add_finding(f"{request_id}: answered {status} and ran")
        if status == 200 and route in STREAM_ROUTES:
            event_ids = [row for row in body.split(b"\n") if row.startswith(b"id:")]
            if event_ids != [b"id: %d" % number for number in range(first_event, 6)]:
                self.add_finding(f"{request_id}: events {event_ids}")
        if (
            status == 200
            and route not in STREAM_ROUTES
            and body != b"done:" + sent_body
        ):
            self.add_finding(f"{request_id}: body {body!r}")
        if status in (400, 401, 403, 404) and not is_denial_expected:
            self.add_finding(f"{request_id}: denied with {status}")
        for engine in self.all_engines:
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
        calls: set[asyncio.Task[int]] = set()
        async with self.caller_session() as session:
            while time.monotonic() < end_at:
                number = self.random.randint(1, self.node_count)
                task = asyncio.create_task(self.send_request(session, number))
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            await asyncio.gather(*calls)

    def caller_session(self) -> aiohttp.ClientSession:
        """Return a client that sends each request once."""
        session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_DEADLINE_S + 2.0),
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[record_last_bytes()],
        )
        session._retry_connection = False
        return session

    async def send_further(self, end_at: float) -> None:
        """Inject silences, deadly requests and changes, beside further requests."""
        async with self.caller_session() as session:
            runs = [FurtherFaults(self).run(session, end_at)]
            if self.has_versions:
                runs.append(SoftwareVersions(self).run(session, end_at))
            if self.has_bad_input:
                runs.append(self.foreign_entries.run(end_at))
                runs.append(MalformedAnswers(self).run(end_at))
                runs.append(self.stalled_clients.run(session, end_at))
            await asyncio.gather(*runs)

    def describe_bad_input(self) -> str:
        """Return the counts of bad input in one line."""
        entries = " ".join(
            f"{kind.replace(' ', '_')}={count}"
            for kind, count in sorted(self.foreign_entries.counts_by_kind.items())
        )
        return (
            f"{entries} lasting={len(self.foreign_entries.standing)} "
            f"malformed={self.answers.counts_by_head.total()} "
            f"crowds={self.stalled_clients.crowd_count} "
            f"peak_mb={self.process_check.peak_mb:.0f}"
        )

    # Final checks

    async def check_recovery(self) -> None:
        """Check that all nodes serve requests again and what the engines recorded."""
        end_at = time.monotonic() + RECOVERY_TIMEOUT_S
        waiting = set(range(1, self.node_count + 1))
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
                f"statuses {self.recovery_statuses_by_node.get(number)}, "
                f"{len(self.foreign_entries.standing)} foreign entries"
            )
        self.findings += self.sound_requests.findings(*self.traffic_span_s)
        async with self.caller_session() as session:
            self.findings += await self.foreign_entries.findings(session)
        self.findings += self.process_check.findings()
        self.findings += self.stalled_clients.findings()
        self.findings += self.endings.findings() + self.deadly.findings()
        self.findings += self.limits.findings() + self.prompts.findings()
        self.findings += self.streams.findings()
        await self._check_counters()
        for engine in self.all_engines:
            if engine.exceeded_slots:
                self.add_finding(
                    f"{engine.name} was ordered to load more adapters than it can hold"
                )
            for token, holders in engine.holders_by_token.items():
                if len(holders) > 1:
                    self.add_finding(
                        f"{engine.name}: token {token} used by {sorted(holders)}"
                    )

    async def _check_counters(self) -> None:
        """Check that each node has counted an end for each request it has read."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3.0)
        ) as session:
            for number in range(1, self.node_count + 1):
                url = f"http://{self.subnet}.{number}:{METRICS_PORT}/metrics"
                try:
                    async with session.get(url) as response:
                        text = await response.text()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    # A node that does not serve is a finding of its own.
                    continue
                self.findings += [
                    f"node-{number} {line}" for line in counter_findings(text)
                ]

    async def all_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether all nodes report that they are ready."""
        for number in range(1, self.node_count + 1):
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
        # Requests like those of the run may be refused by now, as some of them carried
        # a part that crashed servers.
        body = headers[names.REQUEST_ID].encode()
        for key in (KEYS_BY_ORGANISATION["org-1"], WITHDRAWN_KEY):
            headers["Authorization"] = f"Bearer {key}"
            headers[names.REQUEST_ID] += "k"
            try:
                async with session.post(
                    f"http://{self.caller_address(number)}/draft/x",
                    headers=headers,
                    data=body,
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


async def run_seed(
    seed: int,
    folder: Path,
    traffic_s: float = TRAFFIC_S,
    node_count: int = NODE_COUNT,
    server_count: int = SERVER_COUNT,
    is_series: bool = False,
) -> Soak:
    """Run one seed and return it with its findings.

    Parameters
    ----------
    seed : int
        Determines the requests, the faults and their times.
    folder : Path
        Holds the settings and the log of each node.
    traffic_s : float
        Time in seconds during which requests are sent and faults injected.
    node_count : int
        Number of nodes.
    server_count : int
        Number of backend servers of each of the four services.
    is_series : bool
        Whether silences, deadly requests and changes come one after the other and
        without other faults.
    """
    soak = Soak(seed, folder, node_count, server_count, is_series)
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
        started_at = time.monotonic()
        end_at = started_at + traffic_s
        soak.endings.started_at = started_at
        soak.traffic_span_s = (started_at, end_at)
        tasks = [soak.send_traffic(end_at), soak.send_further(end_at)]
        if not is_series:
            tasks.append(FaultInjector(soak, node_count).run(end_at))
        await asyncio.gather(*tasks)
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
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = NODE_COUNT,
    servers: Annotated[
        int, typer.Option(help="Number of servers of each of the four services.")
    ] = SERVER_COUNT,
    seconds: Annotated[
        float, typer.Option(help="Time with requests and faults, in seconds.")
    ] = TRAFFIC_S,
    series: Annotated[
        bool,
        typer.Option(
            "--series",
            help="Silences, deadly requests and changes one by one, no other faults.",
        ),
    ] = False,
) -> None:
    """Run seeds one after another; exit status 1 if an invariant was violated."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak = asyncio.run(
                run_seed(seed, Path(name), seconds, nodes, servers, series)
            )
            counts = " ".join(
                f"{k}={v}" for k, v in sorted(soak.counts_by_status.items())
            )
            typer.echo(f"seed={seed} findings={len(soak.findings)} {counts}")
            excused = " ".join(
                f"{reason.replace(' ', '_')}={count}"
                for reason, count in sorted(soak.endings.counts_by_excuse.items())
            )
            if soak.has_versions:
                typer.echo(f"  {soak.streams.describe()}")
            if soak.has_bad_input:
                typer.echo(f"  {soak.describe_bad_input()}")
            if excused:
                typer.echo(f"  excused {excused}")
            for finding in soak.findings[:10]:
                typer.echo(f"  {finding}")
            if soak.findings:
                failed += 1
                if keep is not None:
                    keep.mkdir(parents=True, exist_ok=True)
                    findings = "".join(f"{row}\n" for row in soak.findings)
                    (keep / f"seed-{seed}-findings.txt").write_text(findings)
                    for log in Path(name).glob("*.log"):
                        (keep / f"seed-{seed}-{log.name}").write_bytes(log.read_bytes())
    if failed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
