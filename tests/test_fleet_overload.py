"""Queues and refusals of a fleet that is offered far more than it can serve."""

import asyncio

import aiohttp

from bench.caller import CallResult
from bench.fleet import wait_until
from bench.overload import waiting_requests
from sequoiafall.waiting import MAX_WAITING

from .fleet_case import FleetTestCase

PLACES = 16
EXCESS = 200


class OverloadTest(FleetTestCase):
    """Guards against a queue without bound and against false refusals."""

    instance_count = 2
    engine_count = 1

    async def _most_waiting(self) -> float:
        lengths = [
            await waiting_requests(self.fleet.session, instance)
            for instance in self.fleet.instances_by_name.values()
        ]
        return max(lengths)

    async def test_bounded_queue_and_true_refusals(self):
        engine = self.fleet.engines_by_name["engine-0"]
        # No request ends during the test, so that places and queue stay full.
        await self.fleet.set_faults(engine, slow=100_000.0)
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(session.close)
        sender = self.caller("alpha")
        sender.session = session
        refused: list[CallResult] = []

        async def send(number: int) -> None:
            address = sender.known_addresses[number % self.instance_count]
            answer = await sender.complete("alpha-0@1", "p", 16, 1, address)
            refused.append(answer)

        count = PLACES + MAX_WAITING + EXCESS
        calls = [asyncio.ensure_future(send(number)) for number in range(count)]
        most = 0.0

        async def excess_refused() -> bool:
            nonlocal most
            most = max(most, await self._most_waiting())
            return len(refused) >= EXCESS

        await wait_until(excess_refused, "the refusals")
        # A call that is cancelled gives its place to one that still waits, so that
        # the places are counted before.
        requests = await self.request_count("engine-0")
        answers = list(refused)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertGreater(most, 0)
        self.assertLessEqual(most, MAX_WAITING)
        for answer in answers:
            refusal = (answer.reason, answer.run_status)
            self.assertEqual(refusal, ("overloaded", "not run"), answer)
            self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        recorded = (await self.get_json(engine.address, "/recorded"))["recorded"]
        received = {
            value.partition(".")[0]
            for item in recorded
            for name, value in item["headers"]
            if name.lower() == "x-request-id"
        }
        self.assertEqual(received & {answer.request_id for answer in answers}, set())
        self.assertLessEqual(requests, PLACES)
