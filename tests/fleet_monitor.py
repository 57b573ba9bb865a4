"""Caller load and invariant checks for a fleet of processes under failures."""

import asyncio
import contextlib
import itertools
import json
from collections import Counter

import aiohttp
from returns.result import Success

from bench.caller import CallResult
from bench.fleet import Fleet, wait_until
from sequoiafall.standins.generation import completion_text
from sequoiafall.transport import WireClient
from sequoiafall.wire.gen.ttypes import StatusRequest

from .fleet_case import FleetTestCase

TOKENS = 20
MORE_ANSWERS = 20
SAMPLE_INTERVAL_S = 0.1
DIRECTORY = "directory"


class CallerLoad:
    """Concurrent callers that send until they are stopped and do not retry.

    Parameters
    ----------
    case : FleetTestCase
        The running test.
    by_directory : bool, default=False
        Whether callers find gateways by the directory, instead of sending to the
        gateway of each instance.
    """

    callers_per_organisation = 3

    def __init__(self, case: FleetTestCase, by_directory: bool = False):
        self._case = case
        self._stopped = False
        self.outcome_counts: Counter[tuple[str, str, str]] = Counter()
        self.wrong_texts: list[tuple[str, CallResult]] = []
        self.interrupted: list[tuple[str, CallResult]] = []
        self.started_at = asyncio.get_running_loop().time()
        instances = case.fleet.instances_by_name.values()
        addresses_by_name = {i.name: i.gateway.address for i in instances}
        if by_directory:
            addresses_by_name = {DIRECTORY: ""}
        self._tasks = [
            asyncio.ensure_future(self._send(name, address, organisation))
            for name, address in addresses_by_name.items()
            for organisation in ("alpha", "beta")
            for _ in range(self.callers_per_organisation)
        ]

    async def _send(self, name: str, address: str, organisation: str):
        sender = self._case.caller(organisation)
        expected = completion_text("x", f"{organisation}-0", "1", TOKENS)
        while not self._stopped:
            result = await sender.complete(
                f"{organisation}-0@1", "x", TOKENS, 1, address
            )
            outcome = "ok" if result.finished else result.reason
            if result.status == 200 and not result.finished:
                outcome = "cut"
            self.outcome_counts[name, organisation, outcome] += 1
            if result.finished and result.text != expected:
                self.wrong_texts.append((name, result))
            if not result.finished and result.run_status != "not run":
                self.interrupted.append((name, result))
            await asyncio.sleep(0.05)

    def answer_count(self, *names: str) -> int:
        """Return the number of complete answers, of the organisation with fewer."""
        return min(
            sum(self.outcome_counts[name, organisation, "ok"] for name in names)
            for organisation in ("alpha", "beta")
        )

    async def wait_for_answers(self, *names: str):
        """Wait for further complete answers from the named instances."""
        before = self.answer_count(*names)

        async def answered() -> bool:
            return self.answer_count(*names) >= before + MORE_ANSWERS

        await wait_until(answered, f"answers of {names}, {self.outcome_counts}")

    async def finish(self) -> float:
        """Stop, wait for running requests, and return the seconds since the start."""
        self._stopped = True
        await asyncio.gather(*self._tasks)
        return asyncio.get_running_loop().time() - self.started_at


class FleetMonitor:
    """Samples each controller's revision and the resources that it owns."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._secret = (fleet.directory / "cluster-secret").read_bytes()
        self._clients_by_name: dict[str, WireClient] = {}
        self.revisions_by_process: dict[tuple[str, int], list[int]] = {}
        self.owner_samples: list[dict[str, list[str]]] = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            await asyncio.gather(self._read_revisions(), self._read_owners())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _read_revisions(self):
        headers = {"Authorization": f"Bearer {self._fleet.operator_token}"}
        for instance in list(self._fleet.instances_by_name.values()):
            handle = instance.controller.handle
            if handle is None:
                continue
            url = f"http://{instance.operator_address}/table/organisation"
            # A controller that is starting or has ended refuses the connection.
            with contextlib.suppress(aiohttp.ClientError):
                async with self._fleet.session.get(url, headers=headers) as response:
                    revision = (await response.json())["revision"]
                process = (instance.name, handle.pid)
                self.revisions_by_process.setdefault(process, []).append(revision)

    async def _read_owners(self):
        for instance in self._fleet.instances_by_name.values():
            if instance.name not in self._clients_by_name:
                client = WireClient(instance.controller.address, self._secret)
                self._clients_by_name[instance.name] = client
        clients = list(self._clients_by_name.values())
        replies = await asyncio.gather(
            *(client.call(StatusRequest(""), 1.0) for client in clients)
        )
        names_by_resource: dict[str, list[str]] = {}
        for name, reply in zip(self._clients_by_name, replies, strict=True):
            if isinstance(reply, Success):
                report = json.loads(reply.unwrap().body)
                for resource in (*report["quotas"], *report["pools"]):
                    names_by_resource.setdefault(resource, []).append(name)
        self.owner_samples.append(names_by_resource)

    def resources_with_two_owners(self) -> list[tuple[str, list[str]]]:
        """Return resources that several controllers owned at the same time.

        The controllers are sampled at slightly different times, so that a resource
        may appear to have two owners in one sample when it was just handed over, but
        not in two consecutive samples.
        """
        return [
            (resource, names)
            for earlier, later in itertools.pairwise(self.owner_samples)
            for resource, names in later.items()
            if len(set(names) & set(earlier.get(resource, ()))) > 1
        ]

    async def finish(self):
        """Stop sampling; raise the error if it had failed."""
        if self._task.done() and not self._task.cancelled():
            self._task.result()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for client in self._clients_by_name.values():
            await client.close()


class FleetInvariantsCase(FleetTestCase):
    """Exceeds the rate limit of alpha, and checks invariants at the end."""

    engine_arguments = ("--token-seconds", "0.005")
    alpha_limits = {"rate": 400, "burst": 600}

    async def head(self) -> dict:
        """Return the value of the platform's head row."""
        address = self.fleet.platform.address
        return (await self.get_json(address, "/table/row?key=head"))["value"]

    async def wait_view(self, *names: str):
        """Wait for a view of exactly these members with no pending earlier views."""

        async def reached() -> bool:
            head = await self.head()
            members = {member["instance"] for member in head["view"]["members"]}
            return members == set(names) and not head["pending_views"]

        await wait_until(reached, f"a view of {names} in force")

    async def start_load_and_monitor(self, by_directory: bool = False):
        """Lower the limits of alpha, and start the callers and the monitor."""
        await self.wait_view(*self.fleet.instances_by_name)
        await self.fleet.edit(("organisation", "alpha", self.alpha_limits))
        self.load = CallerLoad(self, by_directory)
        self.monitor = FleetMonitor(self.fleet)
        self.addAsyncCleanup(self.monitor.finish)
        names = [DIRECTORY] if by_directory else list(self.fleet.instances_by_name)
        await self.load.wait_for_answers(*names)

    async def check_invariants(self, killed: str = ""):
        """Stop the callers, and check the invariants that hold under any failure.

        Parameters
        ----------
        killed : str, default=""
            Instance whose gateway was killed and may have interrupted requests.
        """
        window_s = await self.within_deadline(self.load.finish())
        await self.monitor.finish()
        self.assertEqual(self.load.wrong_texts, [])
        interrupted = [a for name, a in self.load.interrupted if name != killed]
        self.assertEqual(interrupted, [])
        admitted = sum(
            count
            for (_, organisation, outcome), count in self.load.outcome_counts.items()
            if organisation == "alpha" and outcome in ("ok", "cut")
        )
        limits = self.alpha_limits
        bound = limits["burst"] + limits["rate"] * window_s
        self.assertLessEqual(admitted * (TOKENS + 1), bound)
        for process, revisions in self.monitor.revisions_by_process.items():
            self.assertEqual(revisions, sorted(revisions), process)
        monitored = {name for name, _ in self.monitor.revisions_by_process}
        self.assertEqual(monitored, set(self.fleet.instances_by_name))
        shared = self.monitor.resources_with_two_owners()
        self.assertTrue(self.monitor.owner_samples)
        self.assertEqual(shared, [], "resources with two owners")
