"""Queues and rejections of a fleet whose load far exceeds its capacity."""

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
    """Guards against unbounded queues and against rejected requests that ran."""

    instance_count = 2
    engine_count = 1

    async def _max_waiting(self) -> float:
        lengths = [
            await waiting_requests(self.fleet.session, instance)
            for instance in self.fleet.instances_by_name.values()
        ]
        return max(lengths)

    async def test_bounded_queue_and_accurate_refusals(self):
        engine = self.fleet.engines_by_name["engine-0"]
        # No request ends during the test, so that the places and the queue stay full.
        await self.fleet.set_faults(engine, slow=100_000.0)
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(session.close)
        sender = self.caller("alpha")
        sender.session = session
        rejected: list[CallResult] = []
        unanswered: list[CallResult] = []

        async def send(number: int) -> None:
            address = sender.known_addresses[number % self.instance_count]
            result = await sender.complete("alpha-0@1", "p", 16, 1, address)
            # A call that its caller gave up is no refusal.
            (unanswered if result.failure else rejected).append(result)

        count = PLACES + MAX_WAITING + EXCESS
        calls = [asyncio.ensure_future(send(number)) for number in range(count)]
        max_waiting = 0.0

        async def excess_rejected() -> bool:
            nonlocal max_waiting
            max_waiting = max(max_waiting, await self._max_waiting())
            return len(rejected) >= EXCESS or bool(unanswered)

        await wait_until(excess_rejected, "the rejections")
        # Counted before the calls are cancelled, because each cancelled call frees its
        # place for a waiting one.
        requests = await self.request_count("engine-0")
        results, without_answer = list(rejected), list(unanswered)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        message = f"calls without a complete answer, beside {len(results)} refusals"
        self.assertEqual(without_answer[:1], [], message)
        self.assertGreater(max_waiting, 0)
        self.assertLessEqual(max_waiting, MAX_WAITING)
        for result in results:
            refusal = (result.reason, result.run_status)
            self.assertEqual(refusal, ("overloaded", "not run"), result)
            self.assertGreaterEqual(int(result.headers["Retry-After"]), 1)
        recorded = (await self.get_json(engine.address, "/recorded"))["recorded"]
        received = {
            value.partition(".")[0]
            for item in recorded
            for name, value in item["headers"]
            if name.lower() == "x-request-id"
        }
        self.assertEqual(received & {result.request_id for result in results}, set())
        self.assertLessEqual(requests, PLACES)
