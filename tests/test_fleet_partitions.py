"""Network partitions between instances, and between instances and the platform."""

import asyncio

from parameterized import parameterized

from bench.fleet import Fleet, Instance, free_address, wait_until
from sequoiafall.standins.generation import completion_text

from .events import disable_debug_mode
from .fleet_monitor import MORE_ANSWERS, FleetInvariantsCase
from .partition_relay import PartitionMode, PartitionRelay, process_of_connection

PLATFORM = "platform"
# Both streams run longer than the tests need, and together take half of a burst.
LONG_TOKENS = 20_000
VALID_TOKENS = 2000


class RelayedFleetCase(FleetInvariantsCase):
    """Each controller, and the platform for each instance, is behind a relay."""

    async def asyncSetUp(self):
        disable_debug_mode()
        self.relays_by_name: dict[str, PartitionRelay] = {}
        self.platform_relays_by_name: dict[str, PartitionRelay] = {}
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
        listen_address = free_address()
        relay = PartitionRelay(listen_address, self._source_of)
        platform = PartitionRelay(self.fleet.platform.address, lambda _ports: PLATFORM)
        for started in (relay, platform):
            await started.start()
            self.addAsyncCleanup(started.stop)
        self.relays_by_name[name] = relay
        self.platform_relays_by_name[name] = platform
        return await self.fleet.start_instance(
            name, "talsi", listen_address, relay.address, f"http://{platform.address}"
        )

    def _source_of(self, ports: tuple[int, int]) -> str:
        names_by_id = {
            process.handle.pid: instance.name
            for instance in self.fleet.instances_by_name.values()
            for process in instance.processes
            if process.running
        }
        return names_by_id.get(process_of_connection(ports, set(names_by_id)), "")

    def block_peers(self, name: str, mode: PartitionMode):
        """Block connections between an instance and the others in both directions."""
        for other, relay in self.relays_by_name.items():
            if other != name:
                relay.block(name, mode)
                self.relays_by_name[name].block(other, mode)

    def block_platform(self, name: str, mode: PartitionMode):
        """Block connections from an instance to the platform."""
        self.platform_relays_by_name[name].block(PLATFORM, mode)

    def heal(self):
        """End all partitions."""
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
        """Withdraw a key of beta through an instance that is not partitioned."""
        edit = ("key", f"beta-{secret[:6]}", {"state": "withdrawn"})
        result = await self.fleet.edit(edit)
        self.assertTrue(result["in_force"])

    async def assert_key_rejected(self, sender, stream, *reasons: str):
        """Check that the stream was aborted and that no gateway admits the key."""
        aborted = await self.within_deadline(stream)
        self.assertFalse(aborted.finished)
        for instance in self.fleet.instances_by_name.values():
            after = await sender.complete(
                "beta-1@1", "x", attempts=1, address=instance.gateway.address
            )
            self.assertIn(after.reason, ("withdrawn_key", *reasons))


class PeerPartitionTest(RelayedFleetCase):
    """An instance partitioned from its peers must neither act nor disturb them."""

    @parameterized.expand(
        [("refused", PartitionMode.REFUSE), ("dropped", PartitionMode.DROP)]
    )
    async def test_platform_still_reached(self, _name, mode):
        secret = "cutoff-secret-0123456789"
        await self.start_load_and_monitor()
        sender, stream = await self.open_stream("beta-1", secret, LONG_TOKENS)
        self.block_peers("i2", mode)
        # Fails if new views replace each other endlessly.
        await self.wait_view("i0", "i1")
        view = (await self.head())["view"]["revision"]
        await self.load.wait_for_answers("i0", "i1")
        await self.withdraw(secret)
        await self.assert_key_rejected(sender, stream)
        await self.load.wait_for_answers("i0", "i1")
        self.assertEqual((await self.head())["view"]["revision"], view)
        self.heal()
        await self.wait_view("i0", "i1", "i2")
        await self.load.wait_for_answers("i2")
        await self.check_invariants()

    async def test_platform_unreachable_as_well(self):
        """A stale instance serves nothing; streams of valid keys continue later."""
        withdrawn, valid = "cutoff-secret-0123456789", "valid0-secret-0123456789"
        await self.start_load_and_monitor()
        sender, stream = await self.open_stream("beta-1", withdrawn, LONG_TOKENS)
        _, valid_stream = await self.open_stream("beta-2", valid, VALID_TOKENS)
        self.block_peers("i2", PartitionMode.DROP)
        self.block_platform("i2", PartitionMode.DROP)

        async def refused() -> bool:
            return (
                self.load.outcome_counts["i2", "beta", "stale_configuration"]
                >= MORE_ANSWERS
            )

        await wait_until(refused, "the instance to reject requests")
        await self.wait_view("i0", "i1")
        await self.withdraw(withdrawn)
        answer_count = self.load.answer_count("i2")
        await self.load.wait_for_answers("i0", "i1")
        self.assertEqual(self.load.answer_count("i2"), answer_count)
        self.heal()
        await self.assert_key_rejected(sender, stream, "stale_configuration")
        result = await self.within_deadline(valid_stream)
        self.assert_complete(
            [(result, completion_text("long", "beta-2", "1", VALID_TOKENS))]
        )
        await self.wait_view("i0", "i1", "i2")
        await self.load.wait_for_answers("i2")
        await self.check_invariants()


class PlatformPartitionTest(RelayedFleetCase):
    """An instance without the platform must serve and get edits from its peers."""

    @parameterized.expand(
        [("refused", PartitionMode.REFUSE), ("dropped", PartitionMode.DROP)]
    )
    async def test_peers_still_reached(self, _name, mode):
        secret = "cutoff-secret-0123456789"
        await self.start_load_and_monitor()
        view = (await self.head())["view"]["revision"]
        sender, stream = await self.open_stream("beta-1", secret, LONG_TOKENS)
        self.block_platform("i2", mode)
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
        await self.assert_key_rejected(sender, stream)
        await self.load.wait_for_answers("i0")
        await self.load.wait_for_answers("i2")
        self.assertEqual((await self.head())["view"]["revision"], view)
        self.heal()

        async def ordered() -> bool:
            return (await order()).status == 200

        await wait_until(ordered, "the order to be handled")
        self.assertEqual(await self.handled_count(), 1)
        await self.check_invariants()
