"""Popularity shift and cold restart of all engines in a fleet of processes."""

import asyncio
import time
from typing import Any

from bench.fleet import wait_until
from sequoiafall.load_budget import LOADS_PER_S, MAX_IN_TRANSIT, LoadLimits
from sequoiafall.standins.generation import completion_text

from .fleet_case import FleetTestCase

ADAPTERS = 24
TOKENS = 60
POLL_INTERVAL_S = 0.02
# Reasons for rejection while more adapters are requested than can be loaded.
ALLOWED_REFUSALS = frozenset({"overloaded"})
# A restart also fails loads in transit, and requests without a first token that
# exceed the retry budget.
ALLOWED_REFUSALS_AT_RESTART = ALLOWED_REFUSALS | {
    "adapter_load_failed",
    "backend_failed",
}


class ShiftTest(FleetTestCase):
    """Simultaneous demand for many adapters must not interrupt running requests."""

    engine_arguments = ("--token-seconds", "0.02", "--adapter-slots", "8")
    slots_per_engine = 8

    async def asyncSetUp(self):
        await super().asyncSetUp()
        edits = []
        for number in range(ADAPTERS):
            name = f"new-{number}"
            edits.append(("adapter", name, {"organisation": "beta"}))
            values = {"adapter": name, "version": "1"}
            edits.append(("adapter_version", f"{name}@1", values))
        await self.fleet.edit(*edits)
        self.max_loading = 0
        self.excess_loads = 0.0

    async def monitor_loads(self) -> None:
        """Continuously compare the loads ordered from now on with the limits."""
        limits, started_at = LoadLimits(), time.monotonic()
        before = await self.load_count()
        while True:
            ordered = await self.load_count() - before
            allowed = limits.burst + LOADS_PER_S * (time.monotonic() - started_at)
            self.excess_loads = max(self.excess_loads, ordered - allowed)
            loading = sum(len(s["loading"]) for s in await self.states())
            self.max_loading = max(self.max_loading, loading)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def load_count(self) -> int:
        """Return the number of load orders at all engines."""
        paths = []
        for engine in self.fleet.engines_by_name.values():
            recorded = (await self.get_json(engine.address, "/recorded"))["recorded"]
            paths += [record["path"] for record in recorded]
        return paths.count("/orders/load")

    async def states(self) -> list[dict[str, Any]]:
        """Return the state of each engine, as the engine itself reports it."""
        engines = self.fleet.engines_by_name.values()
        return [await self.get_json(engine.address, "/state") for engine in engines]

    async def request(self, organisation: str, adapter: str, attempts: int = 40):
        """Send one request and return its result with the expected text."""
        result = await self.caller(organisation).complete(
            f"{adapter}@1", adapter, TOKENS, attempts
        )
        return result, completion_text(adapter, adapter, "1", TOKENS)

    async def request_all(self, allowed_refusals: frozenset[str]):
        """Request all new adapters simultaneously, and check the rejections."""
        self.monitoring = asyncio.ensure_future(self.monitor_loads())
        self.addCleanup(self.monitoring.cancel)
        results = await self.within_deadline(
            asyncio.gather(*(self.request("beta", f"new-{n}") for n in range(ADAPTERS)))
        )
        self.assert_complete(results)
        refusals = {reason for result, _ in results for reason in result.refusals}
        self.assertLessEqual(refusals, allowed_refusals)
        self.assertEqual(sum(result.interrupted_streams for result, _ in results), 0)

    async def check_engines(self) -> None:
        """Check the load limits, and that no eviction interrupted a request."""
        self.assertGreaterEqual(await self.load_count(), ADAPTERS)
        self.assertFalse(self.monitoring.done())
        self.assertLessEqual(self.excess_loads, 0.0)
        self.assertLessEqual(self.max_loading, MAX_IN_TRANSIT)
        for state in await self.states():
            self.assertEqual(state["killed_by_eviction"], [])

    async def request_until_done(self, requests_task: asyncio.Task[Any]):
        """Send requests for one adapter until the given task is done."""
        results = []
        while not requests_task.done():
            results.append(await self.request("alpha", "alpha-0"))
        return results

    async def test_popularity_shift(self):
        """A shift must not evict adapters in use or exceed the load limits."""
        self.assert_complete([await self.request("alpha", "alpha-0")])
        requests_task = asyncio.ensure_future(self.request_all(ALLOWED_REFUSALS))
        kept = await asyncio.gather(
            *(self.request_until_done(requests_task) for _ in range(3))
        )
        await requests_task
        self.assert_complete([result for results in kept for result in results])
        await self.check_engines()

    async def test_cold_restart_of_all_engines(self):
        """A restart must not lose requests or exceed the load limits."""
        requests_task = asyncio.ensure_future(
            self.request_all(ALLOWED_REFUSALS_AT_RESTART)
        )

        async def all_run() -> bool:
            return all(state["running"] for state in await self.states())

        await wait_until(all_run, "requests to run at each engine")
        for engine in self.fleet.engines_by_name.values():
            await self.fleet.set_faults(engine, cold_restart=True)
        await requests_task
        await self.check_engines()
