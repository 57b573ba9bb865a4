"""Base class of the tests that run a whole fleet as processes."""

import asyncio
import hashlib
import unittest
from collections.abc import Sequence

from bench.caller import Caller, CallResult
from bench.fleet import Fleet
from sequoiafall.standins.generation import completion_text

from .events import disable_debug_mode

EVENT_TIMEOUT_S = 60.0
TRAFFIC_INTERVAL_S = 0.05
ANSWERS_BEFORE_FAULT = 5


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet with two organisations, three adapters each, and one route.

    Deadlines are generous because CI machines are shared; no test asserts on
    a measured duration.
    """

    instance_count = 3
    engine_count = 2
    slots_per_engine = 8
    engine_arguments: Sequence[str] = ("--token-seconds", "0.02")
    controller_arguments: Sequence[str] = ()
    limits = {"weight": 1, "rate": 50_000, "burst": 100_000}

    async def asyncSetUp(self):
        disable_debug_mode()
        self.fleet = await Fleet.start(
            self.instance_count,
            self.engine_count,
            engine_arguments=self.engine_arguments,
            controller_arguments=self.controller_arguments,
        )
        self.addAsyncCleanup(self.fleet.stop)
        await self._configure()

    async def _configure(self):
        edits = []
        for name in ("alpha", "beta"):
            secret = f"secret-of-{name}-0123456789"
            self.fleet.keys_by_organisation[name] = secret
            edits.append(("organisation", name, self.limits))
            edits.append(self.key_edit(f"{name}-1", name, secret))
            for number in range(3):
                adapter = f"{name}-{number}"
                edits.append(("adapter", adapter, {"organisation": name}))
                values = {"adapter": adapter, "version": "1"}
                edits.append(("adapter_version", f"{adapter}@1", values))
        for number, engine in enumerate(self.fleet.engines_by_name.values()):
            values = {
                "address": engine.address,
                "server_kind": "engine",
                "pool": "base",
                "zone": "kuldiga",
                "checks_fencing": number % 2 == 0,
                "adapter_slots": self.slots_per_engine,
                "places": 16,
            }
            edits.append(("backend_server", engine.name, values))
        for service in self.fleet.plain_services_by_name.values():
            values = {
                "address": service.address,
                "server_kind": "plain",
                "pool": "orders",
                "zone": "talsi",
            }
            edits.append(("backend_server", service.name, values))
        route = {"pool": "orders", "organisation": "alpha"}
        edits.append(("route", "orders", route))
        await self.fleet.edit(*edits)

    @staticmethod
    def key_edit(name: str, organisation: str, secret: str):
        """Return the edit that creates an API key."""
        digest = hashlib.sha256(secret.encode()).hexdigest()
        return ("key", name, {"organisation": organisation, "digest": digest})

    def caller(self, organisation: str) -> Caller:
        """Return a caller that knows the addresses of all running gateways."""
        addresses = [
            instance.gateway.address
            for instance in self.fleet.instances_by_name.values()
            if instance.gateway.running
        ]
        key = self.fleet.keys_by_organisation[organisation]
        return Caller(organisation, key, addresses, self.fleet.session)

    async def get_json(self, address: str, path: str) -> dict:
        """Return the JSON response of a simulated server."""
        async with self.fleet.session.get(f"http://{address}{path}") as response:
            return await response.json()

    async def handled_count(self) -> int:
        """Return the number of calls that the plain service has handled."""
        service = self.fleet.plain_services_by_name["plain-0"]
        handled = await self.get_json(service.address, "/handled")
        return sum(handled["by_body"].values())

    async def is_drained(self, server: str) -> bool:
        """Return whether the pool's owner reports a server as drained."""
        _, status = await self.fleet.call_operator_api("GET", "/status")
        return status["backend_servers"][server].get("drain") == "drained"

    async def request_count(self, server: str) -> int:
        """Return the number of completion requests that an engine has received."""
        address = self.fleet.engines_by_name[server].address
        recorded = (await self.get_json(address, "/recorded"))["recorded"]
        return sum(request["path"].startswith("/v1/") for request in recorded)

    def assert_complete(self, results: Sequence[tuple[CallResult, str]]) -> None:
        """Check that each result is complete and has the expected text."""
        wrong = [
            (result.status, result.reason, result.finished)
            for result, text in results
            if not result.finished or result.text != text
        ]
        self.assertEqual(wrong, [], f"{len(wrong)} of {len(results)} incomplete")

    async def within_deadline(self, awaitable):
        """Await with a generous deadline."""
        return await asyncio.wait_for(awaitable, EVENT_TIMEOUT_S)


class Traffic:
    """Sends requests of both organisations at a fixed rate until it is stopped."""

    def __init__(self, case: FleetTestCase, tokens: int = 20):
        self._case = case
        self._tokens = tokens
        self._stopped = asyncio.Event()
        self._task = asyncio.ensure_future(self._send())
        self.answers: list[asyncio.Future] = []

    async def _send(self):
        number = 0
        while not self._stopped.is_set():
            self.answers.append(asyncio.ensure_future(self._send_one(number)))
            number += 1
            await asyncio.sleep(TRAFFIC_INTERVAL_S)

    async def _send_one(self, number: int):
        sender = self._case.caller("alpha" if number % 2 else "beta")
        adapter = f"{sender.organisation}-{number % 3}"
        result = await sender.complete(f"{adapter}@1", "t", self._tokens, attempts=20)
        return result, completion_text("t", adapter, "1", self._tokens)

    async def has_finished_answers(self) -> bool:
        """Return whether a few requests have finished."""
        return sum(result.done() for result in self.answers) >= ANSWERS_BEFORE_FAULT

    async def finish(self):
        """Stop sending and return all results with the expected texts."""
        self._stopped.set()
        await self._task
        return await asyncio.gather(*self.answers)
