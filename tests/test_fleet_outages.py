"""Long outages of the platform combined with other faults."""

import asyncio

from bench.fleet import wait_until

from .fleet_monitor import DIRECTORY, MORE_ANSWERS, FleetInvariantsCase


class LongOutageTest(FleetInvariantsCase):
    """State from peers must keep the fleet serving in an outage beyond all leases."""

    async def _set_outage(self, outage: bool):
        await self.fleet.set_faults(self.fleet.platform, outage=outage)

    async def _check_edit_after_outage(self):
        """End the outage, and check that no edit reverted and new ones are accepted."""
        await self._set_outage(False)

        async def accepted() -> bool:
            try:
                result = await self.fleet.edit(("organisation", "beta", {"weight": 2}))
            except RuntimeError:
                return False
            return bool(result["in_force"])

        await wait_until(accepted, "an edit after the outage")
        _, table = await self.fleet.call_operator_api("GET", "/table/organisation")
        values_by_name = {row["values"]["name"]: row["values"] for row in table["rows"]}
        self.assertEqual(values_by_name["alpha"]["rate"], self.alpha_limits["rate"])
        self.assertEqual(values_by_name["beta"]["weight"], 2.0)

    async def test_all_instances_replaced(self):
        """New instances get state and membership from peers; no request is cut off."""
        await self.start_load_and_monitor(by_directory=True)
        await self._set_outage(True)
        for number in range(self.instance_count):
            new_instance = await self.fleet.start_instance(f"n{number}", "talsi")
            await self.fleet.wait_ready()
            leaving = self.fleet.instances_by_name[f"i{number}"]
            statuses = await asyncio.gather(*(p.stop() for p in leaving.processes))
            self.assertEqual(statuses, [0, 0])
            await self.load.wait_for_answers(DIRECTORY)
            result = await self.caller("beta").complete(
                "beta-0@1", "x", 4, attempts=20, address=new_instance.gateway.address
            )
            self.assertTrue(result.finished, result)
        with self.assertRaises(RuntimeError):
            await self.fleet.edit(("organisation", "alpha", {"rate": 9000}))
        await self.load.wait_for_answers(DIRECTORY)
        await self._check_edit_after_outage()
        await self.check_invariants()

    async def test_owner_of_a_quota_killed(self):
        """Only the organisation of this quota is rejected, until the owner restarts."""
        await self.start_load_and_monitor()
        owner = next(
            o for a in reversed(self.monitor.owner_samples) for o in a["alpha"]
        )
        others = [name for name in self.fleet.instances_by_name if name != owner]
        await self._set_outage(True)
        for process in self.fleet.instances_by_name[owner].processes:
            await process.kill()

        async def refused() -> bool:
            results = self.load.outcome_counts
            return all(
                results[name, "alpha", "owner_unavailable"] for name in others
            ) and all(results[name, "beta", "ok"] >= MORE_ANSWERS for name in others)

        await wait_until(refused, "alpha to be rejected and beta to be served")
        new_instance = await self.fleet.start_instance("n0", "talsi")
        await self.fleet.wait_for_http(
            new_instance.gateway, new_instance.gateway.address, "/readyz"
        )
        result = await self.caller("beta").complete(
            "beta-0@1", "x", 4, attempts=20, address=new_instance.gateway.address
        )
        self.assertTrue(result.finished, result)
        for process in self.fleet.instances_by_name[owner].processes:
            await process.start()
        await self.load.wait_for_answers(*others)
        await self._check_edit_after_outage()
        await self.check_invariants(killed=owner)
