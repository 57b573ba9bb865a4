"""Instances cut off from their peers or from the platform, by relays."""

import asyncio

from parameterized import parameterized

from bench.fleet import Fleet, Instance, free_address, wait_until
from sequoiafall.standins.generation import answer_text

from .cut_relay import Cut, CutRelay, process_of_connection
from .fleet_watch import ANSWERS, BoundedFleetCase

PLATFORM = "platform"
# Run for longer than the tests need; half of a burst together.
LONG_TOKENS = 20_000
VALID_TOKENS = 2000


class RelayedFleetCase(BoundedFleetCase):
    """Each controller and each instance's platform is reached through a relay."""

    async def asyncSetUp(self):
        self.relays_by_name: dict[str, CutRelay] = {}
        self.platform_relays_by_name: dict[str, CutRelay] = {}
        self.fleet = await Fleet.start(
            0, self.engine_count, engine_arguments=self.engine_arguments
        )
        self.addAsyncCleanup(self.fleet.stop)
        for number in range(self.instance_count):
            await self.start_relayed(f"i{number}")
        await self.fleet.wait_ready()
        await self._configure()

    async def start_relayed(self, name: str) -> Instance:
        """Start an instance behind a relay, with a relay to the platform."""
        wire = free_address()
        relay = CutRelay(wire, self._source_of)
        platform = CutRelay(self.fleet.platform.address, lambda _ports: PLATFORM)
        for started in (relay, platform):
            await started.start()
            self.addAsyncCleanup(started.stop)
        self.relays_by_name[name] = relay
        self.platform_relays_by_name[name] = platform
        return await self.fleet.start_instance(
            name, "talsi", wire, relay.address, f"http://{platform.address}"
        )

    def _source_of(self, ports: tuple[int, int]) -> str:
        names_by_id = {
            process.handle.pid: instance.name
            for instance in self.fleet.instances_by_name.values()
            for process in instance.processes
            if process.running
        }
        return names_by_id.get(process_of_connection(ports, set(names_by_id)), "")

    def cut_from_peers(self, name: str, cut: Cut):
        """Cut an instance off from the others in both directions."""
        for other, relay in self.relays_by_name.items():
            if other != name:
                relay.cut(name, cut)
                self.relays_by_name[name].cut(other, cut)

    def cut_from_platform(self, name: str, cut: Cut):
        """Cut an instance off from the platform."""
        self.platform_relays_by_name[name].cut(PLATFORM, cut)

    def heal(self):
        """Carry everything again."""
        for relay in (
            *self.relays_by_name.values(),
            *self.platform_relays_by_name.values(),
        ):
            relay.heal()

    async def open_stream(self, adapter: str, secret: str, tokens: int):
        """Create a key of beta and open a stream with it at the last instance."""
        await self.fleet.edit(self.key_edit(f"beta-{secret[:6]}", "beta", secret))
        sender = self.caller("beta")
        sender.key = secret
        address = self.fleet.instances_by_name["i2"].gateway.address
        stream = asyncio.ensure_future(
            sender.complete(f"{adapter}@1", "long", tokens, 1, address)
        )

        async def running() -> bool:
            states = [
                await self.get_json(engine.address, "/state")
                for engine in self.fleet.engines_by_name.values()
            ]
            return adapter in [r["adapter"] for s in states for r in s["running"]]

        await wait_until(running, "the stream to run")
        return sender, stream

    async def withdraw(self, secret: str):
        """Withdraw a key of beta through an instance that nothing cuts off."""
        edit = ("key", f"beta-{secret[:6]}", {"state": "withdrawn"})
        answer = await self.fleet.edit(edit)
        self.assertTrue(answer["in_force"])

    async def assert_key_stopped(self, sender, stream, *reasons: str):
        """Check that the stream ended and that no gateway admits the key."""
        cut = await self.within_deadline(stream)
        self.assertFalse(cut.finished)
        for instance in self.fleet.instances_by_name.values():
            after = await sender.complete(
                "beta-1@1", "x", attempts=1, address=instance.gateway.address
            )
            self.assertIn(after.reason, ("withdrawn_key", *reasons))


class PeerCutTest(RelayedFleetCase):
    """An instance cut off from its peers must neither act nor disturb them."""

    @parameterized.expand([("refused", Cut.REFUSE), ("dropped", Cut.DROP)])
    async def test_platform_still_reached(self, _name, cut):
        secret = "cutoff-secret-0123456789"
        await self.start_watching()
        sender, stream = await self.open_stream("beta-1", secret, LONG_TOKENS)
        self.cut_from_peers("i2", cut)
        # Views that follow each other without end would never get this far.
        await self.wait_view("i0", "i1")
        view = (await self.head())["view"]["revision"]
        await self.load.wait_answers("i0", "i1")
        await self.withdraw(secret)
        await self.assert_key_stopped(sender, stream)
        await self.load.wait_answers("i0", "i1")
        self.assertEqual((await self.head())["view"]["revision"], view)
        self.heal()
        await self.wait_view("i0", "i1", "i2")
        await self.load.wait_answers("i2")
        await self.check_bounds()

    async def test_platform_cut_as_well(self):
        """A stale instance yields nothing; a stream of a valid key goes on later."""
        withdrawn, valid = "cutoff-secret-0123456789", "valid0-secret-0123456789"
        await self.start_watching()
        sender, stream = await self.open_stream("beta-1", withdrawn, LONG_TOKENS)
        _, kept = await self.open_stream("beta-2", valid, VALID_TOKENS)
        self.cut_from_peers("i2", Cut.DROP)
        self.cut_from_platform("i2", Cut.DROP)

        async def refused() -> bool:
            return self.load.results["i2", "beta", "stale_configuration"] >= ANSWERS

        await wait_until(refused, "the instance to refuse")
        await self.wait_view("i0", "i1")
        await self.withdraw(withdrawn)
        answered = self.load.answered("i2")
        await self.load.wait_answers("i0", "i1")
        self.assertEqual(self.load.answered("i2"), answered)
        self.heal()
        await self.assert_key_stopped(sender, stream, "stale_configuration")
        answer = await self.within_deadline(kept)
        self.assert_complete(
            [(answer, answer_text("long", "beta-2", "1", VALID_TOKENS))]
        )
        await self.wait_view("i0", "i1", "i2")
        await self.load.wait_answers("i2")
        await self.check_bounds()


class PlatformCutTest(RelayedFleetCase):
    """An instance that only its peers reach must go on and follow every edit."""

    @parameterized.expand([("refused", Cut.REFUSE), ("dropped", Cut.DROP)])
    async def test_peers_still_reached(self, _name, cut):
        secret = "cutoff-secret-0123456789"
        await self.start_watching()
        view = (await self.head())["view"]["revision"]
        sender, stream = await self.open_stream("beta-1", secret, LONG_TOKENS)
        self.cut_from_platform("i2", cut)
        address = self.fleet.instances_by_name["i2"].gateway.address

        async def order():
            return await self.caller("alpha").call_service(
                "orders", b"x", "order-1", address
            )

        refused = await self.within_deadline(order())
        self.assertEqual(refused.reason, "platform_unavailable")
        self.assertEqual(
            (refused.run_status, await self.handled_count()), ("not run", 0)
        )
        await self.withdraw(secret)
        await self.assert_key_stopped(sender, stream)
        await self.load.wait_answers("i0")
        await self.load.wait_answers("i2")
        self.assertEqual((await self.head())["view"]["revision"], view)
        self.heal()

        async def ordered() -> bool:
            return (await order()).status == 200

        await wait_until(ordered, "the order to be carried out")
        self.assertEqual(await self.handled_count(), 1)
        await self.check_bounds()
