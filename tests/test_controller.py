"""Tests of several controllers in one process, with a simulated platform."""

import asyncio
import time
import unittest

from returns.result import Success

from sequoiafall.controller import Controller
from sequoiafall.controller_config import ControllerConfig
from sequoiafall.edits import EditRequest, RowEdit
from sequoiafall.membership import SUSPECT_AFTER_S
from sequoiafall.ownership import owner_of
from sequoiafall.refusal import Reason
from sequoiafall.standins.platform import PlatformStandIn
from sequoiafall.transport import WireClient
from sequoiafall.wire.gen.ttypes import GatewayPoll, QuotaRequest, Settlement

SECRET = b"a secret of the test"
TOKEN = b"a token of the test"
EVENT_TIMEOUT_S = 60.0
ORGANISATION = "carvers"
RESOURCE = f"organisation/{ORGANISATION}"


class ControllerTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a platform and controllers, which are stopped after the test."""

    instances = ("a", "b", "c")

    async def asyncSetUp(self):
        self.platform = PlatformStandIn()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.by_name = {}
        self.stopped = set()
        self.addAsyncCleanup(self.stop_all)
        for name in self.instances:
            await self.start_controller(name)
        await self.wait_until(self.all_ready)

    async def start_controller(self, name, seeds=(), has_gateway=True):
        """Start a controller and report one serving gateway to it."""
        config = ControllerConfig(
            name,
            "kuldiga",
            "127.0.0.1:0",
            "127.0.0.1:0",
            [f"{name}.gateway:1"],
            self.platform.url,
            SECRET,
            TOKEN,
            list(seeds),
        )
        controller = Controller(config)
        await controller.start()
        self.by_name[name] = controller
        if has_gateway:
            await self.call(controller, GatewayPoll("g", 1, False, 0))
        return controller

    async def stop_all(self):
        """Kill all controllers that the test has not stopped itself."""
        await asyncio.gather(
            *(self.kill(name) for name in self.by_name if name not in self.stopped)
        )

    async def kill(self, name):
        """End a controller without its graceful departure."""
        self.stopped.add(name)
        controller = self.by_name[name]
        for future in list(controller._futures):
            future.cancel()
        await controller.pools.stop()
        await controller.wire.stop()
        await controller.peers.stop()
        await controller._runner.cleanup()
        await controller.platform.close()

    async def stop(self, name):
        """Stop a controller as SIGTERM does."""
        self.stopped.add(name)
        await self.by_name[name].stop()

    def running(self):
        return [c for n, c in self.by_name.items() if n not in self.stopped]

    async def wait_until(self, condition):
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def all_ready(self):
        names = {c.member.instance for c in self.running()}
        return all(
            {m.instance for m in c.coordinator.head.view.members} == names
            and c.coordinator.in_force.in_force_revision(0.0)
            >= c.coordinator.head.view.revision
            and c.coordinator.status(asyncio.get_running_loop().time()).ready
            for c in self.running()
        )

    async def edit(self, *edits, via="a"):
        controller = self.by_name[via]
        request = EditRequest(
            controller.coordinator.revision,
            "test",
            [RowEdit(kind, name, values) for kind, name, values in edits],
        )
        return await controller.edit(request)

    async def call(self, controller, request, timeout_s=5.0):
        client = WireClient(controller.member.controller_address, SECRET)
        try:
            return await client.call(request, timeout_s)
        finally:
            await client.close()

    async def add_organisation(self):
        values = {"rate": 1000, "burst": 500}
        outcome = (await self.edit(("organisation", ORGANISATION, values))).unwrap()
        self.assertTrue(outcome.in_force)
        await self.wait_until(lambda: self.acting(RESOURCE))

    def acting(self, resource):
        now = asyncio.get_running_loop().time()
        return [c for c in self.running() if c.coordinator.may_act(resource, now)]

    async def set_fault(self, **faults):
        """Switch simulated faults of the platform."""
        session = self.by_name["a"].platform._get_session()
        url = f"{self.platform.url}/faults"
        async with session.post(url, json=faults) as response:
            self.assertEqual(response.status, 200, await response.text())


class FleetTest(ControllerTestCase):
    """Fleet of three controllers, each test with a different fault."""

    async def test_edit_reaches_gateways_and_owners(self):
        poll = GatewayPoll("g", self.by_name["b"].coordinator.revision, False, 0)
        held = asyncio.create_task(self.call(self.by_name["b"], poll))
        await self.add_organisation()
        reply = (await held).unwrap()
        self.assertGreater(reply.fresh_for_ms, 0)
        self.assertLessEqual(reply.fresh_for_ms, 2000)
        snapshot = await self.call(self.by_name["c"], GatewayPoll("h", 0, False, 0))
        (organisation,) = [
            edit.name
            for change in snapshot.unwrap().changes
            for edit in change.edits
            if edit.kind == "organisation"
        ] or [row.name for row in snapshot.unwrap().snapshot.rows]
        self.assertEqual(organisation, ORGANISATION)
        (owner,) = self.acting(RESOURCE)
        request = QuotaRequest("g", ORGANISATION, 10, 0, [], 0)
        await self.wait_until(
            lambda: owner.quotas.levels(owner.loop.time()).get(ORGANISATION, 0) >= 10
        )
        reply = (await self.call(owner, request)).unwrap()
        self.assertEqual((reply.reason, reply.tokens), ("", 10))
        # An owner that lags behind the gateway must not grant under an older limit.
        newer = QuotaRequest(
            "g", ORGANISATION, 10, 0, [], owner.coordinator.revision + 1
        )
        lagging = (await self.call(owner, newer)).unwrap()
        self.assertEqual(lagging.reason, Reason.OWNER_UNAVAILABLE)
        non_owner = next(c for c in self.running() if c is not owner)
        refused = (await self.call(non_owner, request)).unwrap()
        self.assertEqual(refused.reason, Reason.OWNER_UNAVAILABLE)

    async def test_edit_without_effect_does_not_hide_the_change_of_its_revision(self):
        """Guards against an empty change that replaces one with the same revision.

        Of concurrent edits with equal values, only the first has an effect. The others
        result in empty changes with the current revision.
        """
        values = {"rate": 1000, "burst": 500}
        outcomes = await asyncio.gather(
            *(
                self.edit(("organisation", ORGANISATION, values), via=name)
                for name in self.instances
            )
        )
        self.assertTrue(all(outcome.unwrap().in_force for outcome in outcomes))
        states = [c.table_state().to_snapshot() for c in self.running()]
        self.assertEqual(states, [states[0]] * len(states))
        self.assertEqual([row.name for row in states[0].rows], [ORGANISATION])

    async def test_killed_owner_is_replaced(self):
        await self.add_organisation()
        (owner,) = self.acting(RESOURCE)
        await self.kill(owner.member.instance)
        await self.wait_until(lambda: self.acting(RESOURCE))
        await self.wait_until(self.all_ready)
        (successor,) = self.acting(RESOURCE)
        self.assertIsNot(successor, owner)
        self.assertGreater(
            successor.coordinator.ownership.fencing_token(RESOURCE),
            owner.coordinator.ownership.fencing_token(RESOURCE),
        )

    async def test_planned_stop_hands_over_the_bucket(self):
        await self.add_organisation()
        (owner,) = self.acting(RESOURCE)
        await self.wait_until(
            lambda: owner.quotas.levels(owner.loop.time())[ORGANISATION] >= 500
        )
        await self.stop(owner.member.instance)
        await self.wait_until(lambda: self.acting(RESOURCE))
        (successor,) = self.acting(RESOURCE)
        await self.wait_until(lambda: successor.quotas.levels(successor.loop.time()))
        levels = successor.quotas.levels(successor.loop.time())
        # A bucket that starts at level 0 would refuse requests within the rate.
        self.assertGreaterEqual(levels[ORGANISATION], 450)
        await self.wait_until(self.all_ready)

    async def test_outage_of_the_platform(self):
        """Peers must keep the fleet fresh, and restarted and new instances can join."""
        await self.add_organisation()
        await self.set_fault(outage=True)
        loop = asyncio.get_running_loop()
        # From then on, only the peers' confirmations keep a head fresh.
        await self.wait_until(
            lambda: all(
                c.coordinator.freshness.platform_fresh_until() < loop.time()
                for c in self.running()
            )
        )
        now = loop.time()
        self.assertTrue(all(c.coordinator.is_fresh(now) for c in self.running()))
        refused = await self.edit(("organisation", "other", {"rate": 1, "burst": 1}))
        self.assertNotIsInstance(refused, Success)
        victim = next(c for c in self.running() if c not in self.acting(RESOURCE))
        name = victim.member.instance
        await self.kill(name)
        seeds = [c.member.controller_address for c in self.running()]
        self.stopped.discard(name)
        restarted = await self.start_controller(name, seeds)
        observer = await self.start_controller("x", seeds)
        await self.wait_until(restarted.coordinator.freshness.can_confirm)
        await self.wait_until(
            lambda: observer.coordinator.status(observer.loop.time()).ready
        )
        self.assertEqual(observer.coordinator.lifecycle.state, "observing")
        self.assertEqual(len(self.acting(RESOURCE)), 1)
        await self.set_fault(reset=True)
        await self.wait_until(self.all_ready)

    async def test_cut_off_instance_stops(self):
        """An instance without peers and platform must report that it is not fresh."""
        isolated = self.by_name["c"]
        isolated.platform.base_url = "http://127.0.0.1:9"
        await isolated.wire.stop()
        await isolated.peers.stop()
        isolated.peers.call = _never_sent
        await self.wait_until(
            lambda: not isolated.coordinator.is_fresh(isolated.loop.time())
        )
        reply = isolated.gateways._reply(0)
        self.assertEqual(reply.fresh_for_ms, 0)
        await self.wait_until(
            lambda: len(self.by_name["a"].coordinator.head.view.members) == 2
        )

    async def test_fleet_starts_again_under_other_names(self):
        """Views of instances that are gone for good must not block new instances."""
        await asyncio.gather(*(self.stop(name) for name in self.instances))
        for name in ("x", "y"):
            await self.start_controller(name)
        await self.wait_until(self.all_ready)

    async def test_stale_settlement_changes_nothing(self):
        await self.add_organisation()
        (owner,) = self.acting(RESOURCE)
        settlement = Settlement("1-1", 1, 10_000)
        request = QuotaRequest("g", ORGANISATION, 0, 0, [settlement], 0)
        reply = (await self.call(owner, request)).unwrap()
        self.assertEqual(reply.reason, "")
        self.assertLessEqual(owner.quotas.levels(owner.loop.time())[ORGANISATION], 500)


class ServingGatewayTest(ControllerTestCase):
    """Callers must not be sent to an instance none of whose gateways serves them."""

    instances = ("a",)

    async def test_ready_follows_the_gateways(self):
        """Guards against a stopped gateway in the directory of a running controller."""
        controller = self.by_name["a"]
        for leaving in (True, False):
            await self.call(controller, GatewayPoll("g", 1, leaving, 0))
            expected = not leaving
            await self.wait_until(
                lambda expected=expected: controller.coordinator.ready == expected
            )

    async def test_not_listed_before_its_gateway_serves(self):
        """Guards against refused connections to an instance that is starting."""
        listing = self.by_name["a"].coordinator
        seeds = [listing.member.controller_address]
        joined = await self.start_controller("b", seeds, has_gateway=False)
        # More than 2 s after it has joined, see `HEAD_MAX_AGE_S`.
        await self.wait_until(
            lambda: (
                len(listing.head.view.members) == 2
                and listing.in_force_revision(time.monotonic())
                >= listing.head.view.revision
            )
        )

        def listed() -> bool:
            statuses = listing.statuses(time.monotonic())
            return any(s.instance == "b" and s.ready for s in statuses)

        self.assertTrue(joined.coordinator.is_fresh(time.monotonic()))
        self.assertFalse(listed(), "no gateway has polled")
        await self.call(joined, GatewayPoll("g", 0, False, 0))
        await joined._tick()
        self.assertFalse(joined.coordinator.ready, "its gateway holds no head")
        await self.call(joined, GatewayPoll("g", 1, False, 0))
        await self.wait_until(listed)


class LoanTest(ControllerTestCase):
    """Owners of pools at different instances must lend each other adapter loads."""

    async def test_owner_lends_to_another_instance(self):
        """Guards against an unused load budget while another pool needs it."""
        edits = [
            (
                "backend_server",
                f"{pool}-0",
                {
                    "address": "127.0.0.1:1",
                    "server_kind": "engine",
                    "pool": pool,
                    "zone": "kuldiga",
                },
            )
            for pool in ("desk", "helper")
        ]
        self.assertIsInstance(await self.edit(*edits), Success)
        await self.wait_until(lambda: self.acting("pool/desk"))
        (owner,) = self.acting("pool/desk")
        borrower = next(c for c in self.running() if c is not owner)
        lent = 0
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while not lent:
                lent = await borrower.pools.borrow("helper", 1)
        self.assertEqual(lent, 1)


class OwnerAddressTest(ControllerTestCase):
    """Gateways must call the acting owner, even while the view changes."""

    instances = ("a", "b")

    async def test_new_member_is_shown_when_its_view_is_in_force(self):
        await self.add_organisation()
        joined = None
        for name in (f"j{number}" for number in range(50)):
            members = [c.member for c in self.running()]
            candidate = members[0].__class__(name, 1, "z", "x:1", [])
            if owner_of(RESOURCE, [*members, candidate]).instance == name:
                joined = await self.start_controller(name)
                break
        seen = []
        while not seen or seen[-1] != joined.member.instance:
            reply = (
                await self.call(self.by_name["a"], GatewayPoll("g", 0, False, 0))
            ).unwrap()
            owner = owner_of(RESOURCE, reply.head.view.members)
            seen.append(owner.instance)
            await asyncio.sleep(SUSPECT_AFTER_S / 10)
        await self.wait_until(lambda: self.acting(RESOURCE) == [joined])
        self.assertGreater(len(seen), 5)


async def _never_sent(*_arguments):
    await asyncio.Event().wait()


class AdvertisedAddressTest(ControllerTestCase):
    """Peers must call the advertised address and not the listen address."""

    instances = ("a", "b")

    async def test_member_is_listed_under_its_advertised_address(self):
        listener = self.by_name["b"].wire
        address = f"localhost:{listener.port}"
        await self.kill("b")
        config = self.by_name["b"].config
        config.listen, config.advertised_address = (
            f"{listener.host}:{listener.port}",
            address,
        )
        restarted = Controller(config)
        await restarted.start()
        await self.call(restarted, GatewayPoll("g", 1, False, 0))
        self.stopped.discard("b")
        self.by_name["b"] = restarted

        def listed():
            members = self.by_name["a"].coordinator.head.view.members
            return (
                address in [m.controller_address for m in members] and self.all_ready()
            )

        await self.wait_until(listed)
