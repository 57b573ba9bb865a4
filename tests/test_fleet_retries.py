"""Limits on the attempts that failing backend servers receive."""

import asyncio

from parameterized import parameterized

from bench.fleet import wait_until

from .fleet_case import FleetTestCase

REQUESTS = 300
CONCURRENCY = 24
# The retry budget of each gateway, from section 5 of the design page.
RETRY_SHARE = 0.1
RESERVE_RETRIES = 10


def max_attempts(requests: int, gateways: int) -> int:
    """Return the number of attempts that the gateways' retry budgets allow."""
    return int(requests * (1 + RETRY_SHARE) + gateways * RESERVE_RETRIES)


class _RetryTestCase(FleetTestCase):
    async def _send_all(self, send) -> list:
        """Send all requests, distributed evenly over the gateways."""
        sender = self.caller("alpha")
        results = []

        async def work(first: int) -> None:
            for number in range(first, REQUESTS, CONCURRENCY):
                address = sender.known_addresses[number % self.instance_count]
                results.append(await send(sender, number, address))

        await asyncio.gather(*(work(first) for first in range(CONCURRENCY)))
        return results

    async def _attempts(self, address: str, path: str) -> int:
        recorded = (await self.get_json(address, "/recorded"))["recorded"]
        return sum(item["path"] == path for item in recorded)


class EngineRetryTest(_RetryTestCase):
    """Guards against retries that multiply the load of failing engines."""

    async def test_failing_engines(self):
        engines = self.fleet.engines_by_name.values()

        async def served() -> bool:
            result = await self.caller("alpha").complete("alpha-0@1", "p", 1)
            return result.finished

        await wait_until(served, "the adapter to be loaded")
        before = await self._all_attempts()
        for engine in engines:
            await self.fleet.set_faults(engine, error_status=500)
        results = await self._send_all(
            lambda sender, number, address: sender.complete(
                "alpha-0@1", f"p {number}", 1, attempts=1, address=address
            )
        )
        self.assertFalse([result for result in results if result.finished])
        attempts = await self._all_attempts() - before
        sent = sum(result.run_status == "unknown" for result in results)
        self.assertGreater(sent, REQUESTS // 2)
        self.assertGreater(attempts, sent)
        self.assertLessEqual(attempts, max_attempts(REQUESTS, self.instance_count))

    async def _all_attempts(self) -> int:
        engines = self.fleet.engines_by_name.values()
        counts = [await self._attempts(e.address, "/v1/completions") for e in engines]
        return sum(counts)


class EngineRetryOfOneGatewayTest(EngineRetryTest):
    """Sends the same number of requests through one gateway."""

    instance_count = 1


class ServiceRetryTest(_RetryTestCase):
    """Guards against retries that multiply the load of failing plain services."""

    async def _configure(self):
        await self.fleet.start_plain_service("plain-1")
        await self.fleet.wait_ready()
        await super()._configure()
        route = {"pool": "orders", "organisation": "alpha", "repeatable": True}
        await self.fleet.edit(("route", "stock", route))

    @parameterized.expand(
        [("one_of_two", ["plain-0"]), ("both", ["plain-0", "plain-1"])]
    )
    async def test_failing_services(self, _name, failing):
        for name in failing:
            service = self.fleet.plain_services_by_name[name]
            await self.fleet.set_faults(service, close="before")
        results = await self._send_all(
            lambda sender, number, address: sender.call_service(
                "stock", b"%d" % number, address=address
            )
        )
        attempts_by_name = {
            name: await self._attempts(service.address, "/orders")
            for name, service in self.fleet.plain_services_by_name.items()
        }
        served = sum(result.status == 200 for result in results)
        self.assertEqual(served > 0, len(failing) == 1)
        self.assertGreater(attempts_by_name["plain-0"], 0)
        attempts = sum(attempts_by_name.values())
        self.assertLessEqual(attempts, max_attempts(REQUESTS, self.instance_count))
