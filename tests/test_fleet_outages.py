"""Long outages of the platform together with other faults."""

import asyncio

from bench.fleet import wait_until

from .fleet_watch import ANSWERS, DIRECTORY, BoundedFleetCase


class LongOutageTest(BoundedFleetCase):
    """Peers must carry the fleet through an outage longer than all leases."""

    async def _set_outage(self, outage: bool):
        await self.fleet.set_faults(self.fleet.platform, outage=outage)

    async def _check_edit_after_outage(self):
        """End the outage; nothing may have reverted and edits are accepted."""
        await self._set_outage(False)

        async def accepted() -> bool:
            try:
                answer = await self.fleet.edit(("organisation", "beta", {"weight": 2}))
            except RuntimeError:
                return False
            return bool(answer["in_force"])

        await wait_until(accepted, "an edit after the outage")
        _, table = await self.fleet.call_operator_api("GET", "/table/organisation")
        values_by_name = {row["values"]["name"]: row["values"] for row in table["rows"]}
        self.assertEqual(values_by_name["alpha"]["rate"], self.alpha_limits["rate"])
        self.assertEqual(values_by_name["beta"]["weight"], 2.0)

    async def test_all_instances_replaced(self):
        """Each newcomer gets state and seat from peers; no request is cut off."""
        await self.start_watching(by_directory=True)
        await self._set_outage(True)
        for number in range(self.instance_count):
            newcomer = await self.fleet.start_instance(f"n{number}", "talsi")
            await self.fleet.wait_ready()
            leaving = self.fleet.instances_by_name[f"i{number}"]
            statuses = await asyncio.gather(*(p.stop() for p in leaving.processes))
            self.assertEqual(statuses, [0, 0])
            await self.load.wait_answers(DIRECTORY)
            answer = await self.caller("beta").complete(
                "beta-0@1", "x", 4, attempts=20, address=newcomer.gateway.address
            )
            self.assertTrue(answer.finished, answer)
        with self.assertRaises(RuntimeError):
            await self.fleet.edit(("organisation", "alpha", {"rate": 9000}))
        await self.load.wait_answers(DIRECTORY)
        await self._check_edit_after_outage()
        await self.check_bounds()

    async def test_owner_of_a_quota_killed(self):
        """Its organisation waits; the others go on; a restart serves it again."""
        await self.start_watching()
        owner = next(o for a in reversed(self.watch.acting_at_once) for o in a["alpha"])
        others = [name for name in self.fleet.instances_by_name if name != owner]
        await self._set_outage(True)
        for process in self.fleet.instances_by_name[owner].processes:
            await process.kill()

        async def refused() -> bool:
            results = self.load.results
            return all(
                results[name, "alpha", "owner_unavailable"] for name in others
            ) and all(results[name, "beta", "ok"] >= ANSWERS for name in others)

        await wait_until(refused, "alpha to be refused and beta to be served")
        newcomer = await self.fleet.start_instance("n0", "talsi")
        await self.fleet.wait_for_http(
            newcomer.gateway, newcomer.gateway.address, "/readyz"
        )
        answer = await self.caller("beta").complete(
            "beta-0@1", "x", 4, attempts=20, address=newcomer.gateway.address
        )
        self.assertTrue(answer.finished, answer)
        for process in self.fleet.instances_by_name[owner].processes:
            await process.start()
        await self.load.wait_answers(*others)
        await self._check_edit_after_outage()
        await self.check_bounds(killed=owner)
