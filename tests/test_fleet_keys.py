"""API keys and rate limits in a fleet of processes under failures."""

import asyncio
import signal

from parameterized import parameterized

from bench.fleet import wait_until

from .fleet_case import FleetTestCase

LONG_TOKENS = 3000


class WithdrawnKeyTest(FleetTestCase):
    """A withdrawn key must stop working, also for open streams."""

    async def _open_stream(self, secret: str, address: str):
        await self.fleet.edit(self.key_edit("alpha-2", "alpha", secret))
        sender = self.caller("alpha")
        sender.key = secret
        stream = asyncio.ensure_future(
            sender.complete("alpha-0@1", "long", LONG_TOKENS, 1, address)
        )

        async def running() -> bool:
            for engine in self.fleet.engines_by_name.values():
                if (await self.get_json(engine.address, "/state"))["running"]:
                    return True
            return False

        await wait_until(running, "the stream to run")
        return sender, stream

    @parameterized.expand(
        [
            ("plain", ""),
            ("controller_frozen", "controller"),
            ("gateway_frozen", "gateway"),
        ]
    )
    async def test_stream_ends(self, _name, frozen):
        instance = self.fleet.instances_by_name["i2"]
        address = instance.gateway.address
        sender, stream = await self._open_stream("second-secret-0123456789", address)
        if frozen:
            getattr(instance, frozen).send_signal(signal.SIGSTOP)
        await self.fleet.edit(("key", "alpha-2", {"state": "withdrawn"}))
        if frozen:
            getattr(instance, frozen).send_signal(signal.SIGCONT)
        aborted = await self.within_deadline(stream)
        self.assertFalse(aborted.finished)
        after = await self.within_deadline(
            sender.complete("alpha-0@1", "x", attempts=1, address=address)
        )
        self.assertIn(after.reason, ("withdrawn_key", "stale_configuration"))
        self.assertNotEqual(after.status, 200)

    async def test_platform_out_right_after_the_commit(self):
        address = self.fleet.instances_by_name["i1"].gateway.address
        sender, stream = await self._open_stream("third-secret-0123456789", address)
        edit = asyncio.ensure_future(
            self.fleet.edit(("key", "alpha-2", {"state": "withdrawn"}))
        )

        async def committed() -> bool:
            row = await self.get_json(
                self.fleet.platform.address, "/table/row?key=row/key/alpha-2"
            )
            return (row["value"] or {})["values"]["state"] == "withdrawn"

        await wait_until(committed, "the commit")
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        aborted = await self.within_deadline(stream)
        self.assertFalse(aborted.finished)
        await self.within_deadline(edit)
        for instance in self.fleet.instances_by_name.values():
            result = await sender.complete(
                "alpha-0@1", "x", attempts=1, address=instance.gateway.address
            )
            self.assertEqual(result.reason, "withdrawn_key")


class IsolatedInstanceTest(FleetTestCase):
    """An instance without a recent head must not admit requests."""

    async def test_gateway_without_its_controller_admits_nothing(self):
        instance = self.fleet.instances_by_name["i2"]
        sender = self.caller("alpha")
        address = instance.gateway.address
        first = await sender.complete("alpha-0@1", "x", address=address)
        self.assertTrue(first.finished)
        instance.controller.send_signal(signal.SIGSTOP)

        async def refused() -> bool:
            result = await sender.complete(
                "alpha-0@1", "x", attempts=1, address=address
            )
            if result.finished:
                return False
            self.assertEqual(result.reason, "stale_configuration")
            self.assertEqual(result.run_status, "not run")
            return True

        await wait_until(refused, "the stale gateway to reject requests")
        instance.controller.send_signal(signal.SIGCONT)

        async def served() -> bool:
            result = await sender.complete(
                "alpha-0@1", "x", attempts=1, address=address
            )
            return result.finished

        await wait_until(served, "the gateway to serve again")


class QuotaTest(FleetTestCase):
    """All instances together must admit at most ``burst + rate * time`` tokens."""

    limits = {"weight": 1, "rate": 200, "burst": 400}
    cost = 21

    async def test_bound_across_instances(self):
        loop = asyncio.get_running_loop()
        addresses = [
            instance.gateway.address
            for instance in self.fleet.instances_by_name.values()
        ]
        start = loop.time()

        async def send_one(number: int) -> bool:
            result = await self.caller("alpha").complete(
                "alpha-0@1", "x", 20, attempts=1, address=addresses[number % 3]
            )
            if result.finished:
                return True
            self.assertEqual(result.reason, "rate_exceeded")
            self.assertEqual(result.run_status, "not run")
            self.assertGreater(result.error["retry_after_s"], 0)
            return False

        admitted = 0
        for _ in range(4):
            results = await asyncio.gather(*(send_one(number) for number in range(24)))
            admitted += sum(results)
        window_s = loop.time() - start
        self.assertGreater(admitted, 0)
        bound = self.limits["burst"] + self.limits["rate"] * window_s
        self.assertLessEqual(admitted * self.cost, bound)
