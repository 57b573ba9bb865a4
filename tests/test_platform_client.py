"""Tests of the client of the platform against a stand-in."""

import asyncio
import time
import unittest

import aiohttp
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall.platform_client import (
    Condition,
    Conflict,
    ListedInstance,
    LoadRefused,
    PlatformClient,
    TableRow,
    Write,
)
from sequoiafall.standins.platform import PlatformFaults, PlatformStandIn
from sequoiafall.store_results import Unavailable, Unknown

WRITE = [Write("a", {"n": 1})]


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    """Results say correctly whether a call had, may have had or had no effect."""

    async def asyncSetUp(self):
        self.clock = time.monotonic
        self.platform = PlatformStandIn(
            defaults=PlatformFaults(0.0, 1000.0), clock=lambda: self.clock()
        )
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.client = self.connect("a")

    def connect(self, name: str, **options) -> PlatformClient:
        client = PlatformClient(self.platform.url, name, **options)
        self.addAsyncCleanup(client.close)
        return client

    async def set_faults(self, **body) -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{self.platform.url}/faults", json=body) as response,
        ):
            return response.status

    async def test_conditions_and_versions(self):
        created = await self.client.transaction([Condition("a", 0)], WRITE, "1")
        version = created.unwrap().versions_by_key["a"]
        conflict = await self.client.transaction([Condition("a", 0)], WRITE, "2")
        row = TableRow("a", version, {"n": 1})
        self.assertEqual(conflict.failure(), Conflict([row]))
        self.assertEqual((await self.client.read("a")).unwrap(), row)
        deleted = await self.client.transaction(
            [Condition("a", version)], [Write("a", None)], "3"
        )
        self.assertIsInstance(deleted, Success)
        self.assertEqual((await self.client.read("a")).unwrap().version, 0)
        again = await self.client.transaction([Condition("a", 0)], WRITE, "4")
        self.assertGreater(again.unwrap().versions_by_key["a"], version)

    async def test_repeated_operation_has_one_effect(self):
        first = await self.client.transaction([Condition("a", 0)], WRITE, "1")
        await self.client.transaction([], [Write("a", {"n": 2})], "2")
        repeated = await self.client.transaction([Condition("a", 0)], WRITE, "1")
        self.assertEqual(repeated, first)
        self.assertEqual((await self.client.read("a")).unwrap().value, {"n": 2})

    async def test_scan_in_pages(self):
        writes = [Write(f"x/{n}", {}) for n in range(5)] + [Write("y", {})]
        await self.client.transaction([], writes, "1")
        page = (await self.client.scan("x/", limit=3)).unwrap()
        rest = (await self.client.scan("x/", after=page[-1].key)).unwrap()
        self.assertEqual([r.key for r in page + rest], [f"x/{n}" for n in range(5)])

    @parameterized.expand(
        [
            ("outage", {"outage": True}, Unavailable, False),
            ("lost_reply", {"lost_replies": 1}, Unknown, True),
            ("late_effect", {"delay_s": 0.2}, Unknown, True),
        ]
    )
    async def test_transaction_faults(self, _name, faults, error_type, has_effect):
        client = self.connect("b", timeout_s=0.1)
        await self.set_faults(**faults, clients=["b"])
        result = await client.transaction([], WRITE, "1")
        self.assertIsInstance(result.failure(), error_type)
        for _ in range(500):
            if not has_effect or (await self.client.read("a")).unwrap().version:
                break
            await asyncio.sleep(0.01)
        version = (await self.client.read("a")).unwrap().version
        self.assertEqual(bool(version), has_effect)

    async def test_faults_of_one_client(self):
        await self.set_faults(outage=True, clients=["b"])
        self.assertIsInstance(await self.connect("b").read("a"), Failure)
        self.assertIsInstance(await self.client.read("a"), Success)
        await self.set_faults(reset=True)
        self.assertIsInstance(await self.connect("b").read("a"), Success)

    @parameterized.expand(
        [
            ("unknown", {"outrage": True}),
            ("type", {"outage": "yes"}),
            ("negative", {"delay_s": -1}),
        ]
    )
    async def test_bad_fault_is_refused(self, _name, body):
        self.assertEqual(await self.set_faults(**body), 400)

    async def test_stale_reads(self):
        await self.client.transaction([], WRITE, "1")
        await self.set_faults(stale_reads_s=60)
        self.assertEqual((await self.client.read("a")).unwrap().version, 0)
        self.assertEqual((await self.client.scan("a")).unwrap(), [])
        # Transactions are never stale.
        conflict = await self.client.transaction([Condition("a", 0)], [], "2")
        self.assertEqual(conflict.failure().rows[0].value, {"n": 1})

    async def test_nothing_listens(self):
        client = PlatformClient("http://127.0.0.1:1")
        self.addAsyncCleanup(client.close)
        result = await client.transaction([], WRITE, "1")
        self.assertIsInstance(result.failure(), Unavailable)

    async def test_instance_list_lags(self):
        instance = ListedInstance("i", "talsi", "127.0.0.1:5", "live")
        await self.client.register_instance(instance)
        self.assertEqual((await self.client.list_instances()).unwrap(), [instance])
        await self.client.deregister_instance("i")
        self.assertEqual((await self.client.list_instances()).unwrap(), [])
        await self.set_faults(instance_lag_s=3600)
        await self.client.register_instance(instance)
        self.assertEqual((await self.client.list_instances()).unwrap(), [])

    async def test_objects(self):
        self.assertIsNone((await self.client.get_object("w/a b")).unwrap())
        await self.client.put_object("w/a b", b"\x00\xff")
        self.assertEqual((await self.client.get_object("w/a b")).unwrap(), b"\x00\xff")

    async def test_loads_slow_each_other_down(self):
        # The clock is stopped: a fast machine could request more than 1,000 loads a
        # second, and on a slow one the first transfers would end in the meantime.
        stopped_at = time.monotonic() + 1.0
        self.clock = lambda: stopped_at
        transits = [
            (await self.client.admit_load("a", str(n))).unwrap() for n in range(16)
        ]
        self.assertEqual(transits[:8], [0.25] * 8)
        self.assertEqual(transits[8:], [0.25 * n / 8 for n in range(9, 17)])

    @parameterized.expand(
        [
            ("failing", {"failing_adapters": ["a"]}, "a", "load_failed"),
            ("all_failing", {"failing_adapters": ["*"]}, "b", "load_failed"),
            ("rate", {"loads_per_s": 0}, "a", "rate_exceeded"),
        ]
    )
    async def test_refused_load(self, _name, faults, adapter, reason):
        await self.set_faults(**faults)
        first = await self.client.admit_load(adapter, "1")
        second = await self.client.admit_load(adapter, "2")
        self.assertIsInstance(second.failure(), LoadRefused)
        self.assertEqual(second.failure().reason, reason)
        self.assertEqual(isinstance(first, Success), reason == "rate_exceeded")


if __name__ == "__main__":
    unittest.main()
