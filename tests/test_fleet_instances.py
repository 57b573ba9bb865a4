"""Failure, restart and replacement of instances, outages, and concurrent edits."""

import asyncio
import signal
from collections import Counter

from parameterized import parameterized

from bench.fleet import wait_until

from .fleet_case import FleetTestCase, Traffic


class InstanceLossTest(FleetTestCase):
    """Retried requests must succeed although an instance is lost."""

    async def _view_size(self) -> int:
        head = await self.get_json(self.fleet.platform.address, "/table/row?key=head")
        return len(head["value"]["view"]["members"])

    @parameterized.expand([("killed", signal.SIGKILL), ("frozen", signal.SIGSTOP)])
    async def test_traffic_continues(self, _name, signal_number):
        traffic = Traffic(self)
        await wait_until(traffic.has_finished_answers, "the first answers")
        victim = self.fleet.instances_by_name["i0"]
        for process in victim.processes:
            process.send_signal(signal_number)

        async def removed() -> bool:
            return await self._view_size() == 2

        await wait_until(removed, "a view without the lost instance")
        for process in victim.processes:
            await process.kill()
        results = await self.within_deadline(traffic.finish())
        refused = [a.reason for a, _ in results if a.reason == "rate_exceeded"]
        self.assertEqual(refused, [])
        self.assert_complete(results)

    async def test_resumed_instance_rejoins(self):
        victim = self.fleet.instances_by_name["i0"]
        victim.controller.send_signal(signal.SIGSTOP)

        async def removed() -> bool:
            return await self._view_size() == 2

        await wait_until(removed, "a view without the suspended instance")
        victim.controller.send_signal(signal.SIGCONT)

        async def rejoined() -> bool:
            return await self._view_size() == 3

        await wait_until(rejoined, "the resumed instance to join again")
        await self.fleet.wait_ready()
        result = await self.caller("alpha").complete(
            "alpha-0@1", "x", 4, address=victim.gateway.address
        )
        self.assertTrue(result.finished)


class PlannedStopTest(FleetTestCase):
    """A planned stop of an instance must not interrupt any request."""

    async def test_replace_all_instances_under_load(self):
        traffic = Traffic(self, tokens=60)
        for number in range(3):
            await self.fleet.start_instance(f"n{number}", "talsi")
            await self.fleet.wait_ready()
            victim = self.fleet.instances_by_name[f"i{number}"]
            statuses = await asyncio.gather(*(p.stop() for p in victim.processes))
            self.assertEqual(statuses, [0, 0])
        results = await self.within_deadline(traffic.finish())
        self.assert_complete(results)
        cut = sum(result.interrupted_streams for result, _ in results)
        self.assertEqual(cut, 0, "a stream was cut off and retried by the caller")
        refusals = Counter(r for result, _ in results for r in result.refusals)
        self.assertEqual(refusals, Counter(), "callers were refused")


class OutageTest(FleetTestCase):
    """Requests must be served during a platform outage, and no edit may revert."""

    async def test_service_goes_on_and_edits_fail(self):
        await self.fleet.edit(("organisation", "alpha", {"weight": 3}))
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        traffic = Traffic(self)
        # Longer than HEAD_MAX_AGE_S and ORDER_TTL_S together.
        await asyncio.sleep(6.0)
        self.assert_complete(await self.within_deadline(traffic.finish()))
        with self.assertRaises(RuntimeError):
            await self.fleet.edit(("organisation", "alpha", {"weight": 9}))
        await self.fleet.set_faults(self.fleet.platform, outage=False)

        async def accepted() -> bool:
            try:
                await self.fleet.edit(("organisation", "beta", {"weight": 2}))
            except RuntimeError:
                return False
            return True

        await wait_until(accepted, "an edit after the outage")
        row = await self.get_json(
            self.fleet.platform.address, "/table/row?key=row/organisation/alpha"
        )
        self.assertEqual(row["value"]["values"]["weight"], 3.0)

    async def test_new_instance_serves_during_an_outage(self):
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        instance = await self.fleet.start_instance("n0", "talsi")
        await self.fleet.wait_for_http(
            instance.gateway, instance.gateway.address, "/readyz"
        )
        result = await self.caller("alpha").complete(
            "alpha-0@1", "x", 4, address=instance.gateway.address
        )
        self.assertTrue(result.finished)


class RacingOperatorsTest(FleetTestCase):
    """Of two concurrent edits based on one revision, exactly one must be accepted."""

    async def test_second_edit_is_a_conflict(self):
        _, status = await self.fleet.call_operator_api("GET", "/status")

        async def edit(weight: int):
            values = {"weight": weight}
            edits = [{"kind": "organisation", "name": "alpha", "values": values}]
            body = {
                "seen_revision": status["head_revision"],
                "actor": f"operator-{weight}",
                "edits": edits,
            }
            return await self.fleet.call_operator_api("POST", "/table/edits", json=body)

        codes = [code for code, _ in await asyncio.gather(edit(5), edit(7))]
        self.assertEqual(sorted(codes), [200, 409])

    async def test_accepted_edit_is_in_force_on_every_instance(self):
        result = await self.fleet.edit(("organisation", "alpha", {"weight": 4}))
        self.assertTrue(result["in_force"])
        headers = {"Authorization": f"Bearer {self.fleet.operator_token}"}
        for instance in self.fleet.instances_by_name.values():
            url = f"http://{instance.operator_address}/table/organisation"
            async with self.fleet.session.get(url, headers=headers) as response:
                rows = (await response.json())["rows"]
            values_by_name = {row["values"]["name"]: row["values"] for row in rows}
            self.assertEqual(values_by_name["alpha"]["weight"], 4.0)
