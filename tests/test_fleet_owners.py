"""Failure and suspension of a pool's owner, with delayed orders at the engines."""

import asyncio
import signal
from typing import Any

from parameterized import parameterized

from bench.fleet import Instance, wait_until
from sequoiafall.standins.generation import completion_text

from .fleet_case import FleetTestCase

ADAPTERS = 6
REQUESTS = 36


class PoolOwnerCase(FleetTestCase):
    """Two slots per engine for six adapters, so that adapters are evicted."""

    engine_arguments = ("--token-seconds", "0.02", "--adapter-slots", "2")
    slots_per_engine = 2

    async def owner(self) -> Instance:
        """Return the instance that owns the pool of engines."""
        found: list[str] = []

        async def known() -> bool:
            _, status = await self.fleet.call_operator_api("GET", "/status")
            found[:] = [status["pools"].get("base", {}).get("owner", "")]
            return bool(found[0])

        await wait_until(known, "an owner of the pool")
        return self.fleet.instances_by_name[found[0]]

    async def request(self, number: int):
        """Send one request and return its result with the expected text."""
        organisation = ("alpha", "beta")[number % 2]
        adapter = f"{organisation}-{number % ADAPTERS // 2}"
        result = await self.caller(organisation).complete(
            f"{adapter}@1", f"p{number}", 40, attempts=20
        )
        return result, completion_text(f"p{number}", adapter, "1", 40)

    async def engine_states(self) -> dict[str, dict[str, Any]]:
        """Return the state of each engine, as the engine itself reports it."""
        return {
            name: await self.get_json(engine.address, "/state")
            for name, engine in self.fleet.engines_by_name.items()
        }


class EvictionTest(PoolOwnerCase):
    """No owner may evict an adapter that serves a request."""

    @parameterized.expand(
        [
            ("undisturbed", None, 0.0),
            ("killed", signal.SIGKILL, 0.0),
            ("frozen_and_thawed", signal.SIGSTOP, 0.0),
            ("frozen_with_late_orders", signal.SIGSTOP, 0.5),
        ]
    )
    async def test_nothing_in_use_is_evicted(self, _name, signal_number, late_orders_s):
        for engine in self.fleet.engines_by_name.values():
            await self.fleet.set_faults(engine, late_orders_s=late_orders_s)
        owner = await self.owner()
        tasks = [asyncio.ensure_future(self.request(n)) for n in range(REQUESTS)]

        async def running() -> bool:
            return any(s["running"] for s in (await self.engine_states()).values())

        await wait_until(running, "a request to run")
        if signal_number is not None:
            owner.controller.send_signal(signal_number)

            async def replaced() -> bool:
                head = await self.get_json(
                    self.fleet.platform.address, "/table/row?key=head"
                )
                members = head["value"]["view"]["members"]
                return owner.name not in [m["instance"] for m in members]

            await wait_until(replaced, "a view without the owner")
            owner.controller.send_signal(signal.SIGCONT)
        self.assert_complete(await self.within_deadline(asyncio.gather(*tasks)))
        for name, state in (await self.engine_states()).items():
            self.assertEqual(state["killed_by_eviction"], [], name)


class CleaningWithoutOwnerTest(PoolOwnerCase):
    """A server must be drained although the pool's owner has just failed."""

    async def test_owner_killed_as_the_server_is_marked(self):
        owner = await self.owner()
        await owner.controller.kill()
        tasks = [asyncio.ensure_future(self.request(n)) for n in range(12)]

        async def marked() -> bool:
            try:
                edit = ("backend_server", "engine-1", {"state": "cleaning"})
                return bool((await self.fleet.edit(edit))["in_force"])
            except RuntimeError:
                return False

        await wait_until(marked, "the edit to be in force")
        await wait_until(
            lambda: self.is_drained("engine-1"), "the server to be drained"
        )
        before = await self.request_count("engine-1")
        self.assert_complete(await self.within_deadline(asyncio.gather(*tasks)))
        more = await asyncio.gather(*(self.request(n) for n in range(6)))
        self.assert_complete(more)
        self.assertEqual(await self.request_count("engine-1"), before)
