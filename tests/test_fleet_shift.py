"""Popularity shift and cold restart of all engines, with a whole fleet."""

import asyncio
import time
from typing import Any

from bench.fleet import wait_until
from sequoiafall.load_budget import LOADS_PER_S, MAX_IN_TRANSIT, LoadLimits
from sequoiafall.standins.generation import answer_text

from .fleet_case import FleetTestCase

ADAPTERS = 24
TOKENS = 60
POLL_S = 0.02
# What a caller may be told while more adapters are wanted than can be loaded.
TRUTHFUL = frozenset({"overloaded"})
# A restart fails loads in transit, and requests before their first token beyond
# the retry budget.
TRUTHFUL_AT_RESTART = TRUTHFUL | {"adapter_load_failed", "backend_failed"}


class ShiftTest(FleetTestCase):
    """Demand for many adapters at once must not break what is running."""

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
        self.loading_peak = 0
        self.excess_loads = 0.0

    async def watch_loads(self) -> None:
        """Compare the loads ordered from now on with the limits, all the time."""
        limits, started_at = LoadLimits(), time.monotonic()
        before = await self.load_count()
        while True:
            ordered = await self.load_count() - before
            allowed = limits.burst + LOADS_PER_S * (time.monotonic() - started_at)
            self.excess_loads = max(self.excess_loads, ordered - allowed)
            loading = sum(len(s["loading"]) for s in await self.states())
            self.loading_peak = max(self.loading_peak, loading)
            await asyncio.sleep(POLL_S)

    async def load_count(self) -> int:
        """Count the orders to load at all engines."""
        paths = []
        for engine in self.fleet.engines_by_name.values():
            recorded = (await self.get_json(engine.address, "/recorded"))["recorded"]
            paths += [record["path"] for record in recorded]
        return paths.count("/orders/load")

    async def states(self) -> list[dict[str, Any]]:
        """Return the actual state of each engine."""
        engines = self.fleet.engines_by_name.values()
        return [await self.get_json(engine.address, "/state") for engine in engines]

    async def request(self, organisation: str, adapter: str, attempts: int = 40):
        """Send one request and return its answer with the expected text."""
        answer = await self.caller(organisation).complete(
            f"{adapter}@1", adapter, TOKENS, attempts
        )
        return answer, answer_text(adapter, adapter, "1", TOKENS)

    async def ask_all(self, truthful: frozenset[str]):
        """Ask for all new adapters at once, and check every refusal."""
        self.watching = asyncio.ensure_future(self.watch_loads())
        self.addCleanup(self.watching.cancel)
        answers = await self.within_deadline(
            asyncio.gather(*(self.request("beta", f"new-{n}") for n in range(ADAPTERS)))
        )
        self.assert_complete(answers)
        refusals = {reason for answer, _ in answers for reason in answer.refusals}
        self.assertLessEqual(refusals, truthful)
        self.assertEqual(sum(answer.interrupted_streams for answer, _ in answers), 0)

    async def check_engines(self) -> None:
        """Check the number of loads, and that nothing in use was evicted."""
        self.assertGreaterEqual(await self.load_count(), ADAPTERS)
        self.assertFalse(self.watching.done())
        self.assertLessEqual(self.excess_loads, 0.0)
        self.assertLessEqual(self.loading_peak, MAX_IN_TRANSIT)
        for state in await self.states():
            self.assertEqual(state["killed_by_eviction"], [])

    async def keep_asking(self, asking: asyncio.Task[Any]):
        """Use an adapter without a pause until other requests are answered."""
        answers = []
        while not asking.done():
            answers.append(await self.request("alpha", "alpha-0"))
        return answers

    async def test_popularity_shift(self):
        """Guards against a shift that evicts what is in use or loads too much."""
        self.assert_complete([await self.request("alpha", "alpha-0")])
        asking = asyncio.ensure_future(self.ask_all(TRUTHFUL))
        kept = await asyncio.gather(*(self.keep_asking(asking) for _ in range(3)))
        await asking
        self.assert_complete([answer for answers in kept for answer in answers])
        await self.check_engines()

    async def test_cold_restart_of_all_engines(self):
        """Guards against a restart that loses requests or starts too many loads."""
        asking = asyncio.ensure_future(self.ask_all(TRUTHFUL_AT_RESTART))

        async def all_run() -> bool:
            return all(state["running"] for state in await self.states())

        await wait_until(all_run, "requests to run at each engine")
        for engine in self.fleet.engines_by_name.values():
            await self.fleet.set_faults(engine, cold_restart=True)
        await asking
        await self.check_engines()
