"""Load and checks of bounds for a fleet of processes while parts of it fail."""

import asyncio
import contextlib
import itertools
import json
from collections import Counter

import aiohttp
from returns.result import Success

from bench.caller import CallResult
from bench.fleet import Fleet, wait_until
from sequoiafall.standins.generation import answer_text
from sequoiafall.transport import WireClient
from sequoiafall.wire.gen.ttypes import StatusRequest

from .fleet_case import FleetTestCase

TOKENS = 20
ANSWERS = 20
WATCH_INTERVAL_S = 0.1
DIRECTORY = "directory"


class Load:
    """Callers that send until they are stopped, without repeating refused requests.

    Parameters
    ----------
    case : FleetTestCase
        The running test.
    by_directory : bool, default=False
        Whether callers use the directory, instead of a gateway of each instance.
    """

    callers_per_organisation = 3

    def __init__(self, case: FleetTestCase, by_directory: bool = False):
        self._case = case
        self._stopped = False
        self.results: Counter[tuple[str, str, str]] = Counter()
        self.wrong: list[tuple[str, CallResult]] = []
        self.unfinished: list[tuple[str, CallResult]] = []
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
        expected = answer_text("x", f"{organisation}-0", "1", TOKENS)
        while not self._stopped:
            answer = await sender.complete(
                f"{organisation}-0@1", "x", TOKENS, 1, address
            )
            result = "ok" if answer.finished else answer.reason
            if answer.status == 200 and not answer.finished:
                result = "cut"
            self.results[name, organisation, result] += 1
            if answer.finished and answer.text != expected:
                self.wrong.append((name, answer))
            if not answer.finished and answer.run_status != "not run":
                self.unfinished.append((name, answer))
            await asyncio.sleep(0.05)

    def answered(self, *names: str) -> int:
        """Count whole answers of both organisations; the smaller one."""
        return min(
            sum(self.results[name, organisation, "ok"] for name in names)
            for organisation in ("alpha", "beta")
        )

    async def wait_answers(self, *names: str):
        """Wait for more whole answers of the named instances."""
        before = self.answered(*names)

        async def answered() -> bool:
            return self.answered(*names) >= before + ANSWERS

        await wait_until(answered, f"answers of {names}, {self.results}")

    async def finish(self) -> float:
        """Stop, wait for what runs, and return the seconds since the start."""
        self._stopped = True
        await asyncio.gather(*self._tasks)
        return asyncio.get_running_loop().time() - self.started_at


class Watch:
    """Notes what each controller holds and for which resources it acts."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._secret = (fleet.directory / "cluster-secret").read_bytes()
        self._clients_by_name: dict[str, WireClient] = {}
        self.revisions_by_process: dict[tuple[str, int], list[int]] = {}
        self.acting_at_once: list[dict[str, list[str]]] = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            await asyncio.gather(self._read_revisions(), self._read_owners())
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _read_revisions(self):
        headers = {"Authorization": f"Bearer {self._fleet.operator_token}"}
        for instance in list(self._fleet.instances_by_name.values()):
            handle = instance.controller.handle
            if handle is None:
                continue
            url = f"http://{instance.operator_address}/table/organisation"
            # A controller that starts or has ended refuses the connection.
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
        self.acting_at_once.append(names_by_resource)

    def shared_resources(self) -> list[tuple[str, list[str]]]:
        """Return resources for which several controllers acted at once.

        The controllers answer at slightly different times, so that a resource
        that was just handed over may seem shared in one reading, but not in two.
        """
        return [
            (resource, names)
            for earlier, later in itertools.pairwise(self.acting_at_once)
            for resource, names in later.items()
            if len(set(names) & set(earlier.get(resource, ()))) > 1
        ]

    async def finish(self):
        """Stop to watch; raises if the watch had failed."""
        if self._task.done() and not self._task.cancelled():
            self._task.result()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for client in self._clients_by_name.values():
            await client.close()


class BoundedFleetCase(FleetTestCase):
    """Sends more than alpha's rate, and checks the bounds at the end."""

    engine_arguments = ("--token-seconds", "0.005")
    alpha_limits = {"rate": 400, "burst": 600}

    async def head(self) -> dict:
        """Return the head row of the platform."""
        address = self.fleet.platform.address
        return (await self.get_json(address, "/table/row?key=head"))["value"]

    async def wait_view(self, *names: str):
        """Wait for a view of these members that has no earlier views beside it."""

        async def reached() -> bool:
            head = await self.head()
            members = {member["instance"] for member in head["view"]["members"]}
            return members == set(names) and not head["pending_views"]

        await wait_until(reached, f"a view of {names} in force")

    async def start_watching(self, by_directory: bool = False):
        """Lower the limits of alpha, and start callers and the watch."""
        await self.wait_view(*self.fleet.instances_by_name)
        await self.fleet.edit(("organisation", "alpha", self.alpha_limits))
        self.load = Load(self, by_directory)
        self.watch = Watch(self.fleet)
        self.addAsyncCleanup(self.watch.finish)
        names = [DIRECTORY] if by_directory else list(self.fleet.instances_by_name)
        await self.load.wait_answers(*names)

    async def check_bounds(self, killed: str = ""):
        """Stop the callers, and check what must hold whatever has failed.

        Parameters
        ----------
        killed : str, default=""
            Instance whose gateway was killed and may have cut requests off.
        """
        window_s = await self.within_deadline(self.load.finish())
        await self.watch.finish()
        self.assertEqual(self.load.wrong, [])
        unfinished = [a for name, a in self.load.unfinished if name != killed]
        self.assertEqual(unfinished, [])
        admitted = sum(
            count
            for (_, organisation, result), count in self.load.results.items()
            if organisation == "alpha" and result in ("ok", "cut")
        )
        limits = self.alpha_limits
        bound = limits["burst"] + limits["rate"] * window_s
        self.assertLessEqual(admitted * (TOKENS + 1), bound)
        for process, revisions in self.watch.revisions_by_process.items():
            self.assertEqual(revisions, sorted(revisions), process)
        watched = {name for name, _ in self.watch.revisions_by_process}
        self.assertEqual(watched, set(self.fleet.instances_by_name))
        shared = self.watch.shared_resources()
        self.assertTrue(self.watch.acting_at_once)
        self.assertEqual(shared, [], "more than one owner acted")
