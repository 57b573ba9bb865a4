"""Tests of notices of backend servers that they are leaving, or busy."""

import asyncio
import random
import time
import unittest
from unittest.mock import patch

from parameterized import parameterized

from sequoiafall import server_notices
from sequoiafall.backend_registry import BackendEntry, BackendRegistry
from sequoiafall.boot_clock import boot_time
from sequoiafall.place_source import PlaceSource
from sequoiafall.plain_routing import PlainRouting
from sequoiafall.planner_messages import GrantPlace, PlacementRequest, RefusePlace
from sequoiafall.platform import names
from sequoiafall.platform.dialect import parse_notice
from sequoiafall.server_notices import (
    FALLBACK_PAUSE_S,
    MAX_PAUSE_S,
    NO_NOTICE,
    RAMP_UP_S,
    ServerNotice,
    ServerNotices,
    jittered_retry_s,
    parse_pause,
)

from .events import EVENT_TIMEOUT_S, until
from .gateway_case import capture_log
from .platform_case import PlatformCase
from .test_engine_planner import Driver

LEAVING = {names.LEAVING: "1"}
# Maximum number of rounds of calls until an engine must have asked for a pause.
MAX_ROUNDS = 20
ENTRY = BackendEntry("e1", "assist", "10.0.0.1:80", "a", 64, False, 7)


def entry(**changes):
    """Return an announced engine."""
    values = {field: getattr(ENTRY, field) for field in BackendEntry.__slots__}
    return BackendEntry(**{**values, **changes})


class ParseTest(unittest.TestCase):
    """Parsing of notices in headers."""

    @parameterized.expand(
        [
            ("plain", "2", 2.0, False),
            ("fraction", "0.25", 0.25, False),
            ("zero", "0", 0.0, False),
            ("negative", "-3", 0.0, True),
            ("huge", "1e12", MAX_PAUSE_S, True),
            ("infinite", "inf", MAX_PAUSE_S, True),
            ("no number", "nan", FALLBACK_PAUSE_S, True),
            ("date", "Fri, 04 Dec 2026 10:00:00 GMT", FALLBACK_PAUSE_S, True),
            ("word", "soon", FALLBACK_PAUSE_S, True),
        ]
    )
    def test_pause(self, _name, text, seconds, has_problem):
        pause_s, problem = parse_pause(text)
        self.assertEqual((pause_s, bool(problem)), (seconds, has_problem))

    @parameterized.expand(
        [
            ("success", 200, LEAVING, ServerNotice(True)),
            ("own failure", 500, LEAVING, ServerNotice(True)),
            ("other value", 200, {names.LEAVING: "0"}, NO_NOTICE),
            ("busy", 503, {"Retry-After": "2"}, ServerNotice(False, "2")),
            ("both", 503, {**LEAVING, "Retry-After": "1"}, ServerNotice(True, "1")),
            ("absent", 503, {}, NO_NOTICE),
            ("another status", 429, {"Retry-After": "2"}, NO_NOTICE),
            # Another server listens at the address; its notice is only about itself.
            ("wrong server", 421, LEAVING, NO_NOTICE),
        ]
    )
    def test_headers(self, _name, status, headers, expected):
        self.assertEqual(parse_notice(status, headers), expected)

    def test_retry_time_is_within_what_a_caller_honours(self):
        generator = random.Random(1)
        for pause_s in (0.01, 0.5, 3.0):
            for left_s in (0.3, 4.0):
                retry_s = jittered_retry_s(pause_s, left_s, generator)
                self.assertLessEqual(retry_s, left_s / 3.0)
                self.assertGreaterEqual(retry_s, min(pause_s, left_s / 3.0))


class RegistryTest(unittest.TestCase):
    """A server that announced its departure counts as leaving until its next start."""

    def setUp(self):
        self.registry = BackendRegistry()
        self.registry.put(entry())

    def is_active(self):
        return bool(self.registry.active_servers("assist"))

    def test_announcements_of_the_same_start_change_nothing(self):
        self.assertTrue(self.registry.mark_leaving("e1", 7))
        self.assertFalse(self.is_active())
        self.registry.put(entry(slots=32))
        self.assertFalse(self.is_active())

    def test_entry_that_expired_and_came_back(self):
        self.registry.mark_leaving("e1", 7)
        self.registry.drop("e1")
        self.registry.put(entry())
        self.assertFalse(self.is_active())

    def test_next_start_under_the_same_name_and_address(self):
        self.registry.mark_leaving("e1", 7)
        self.registry.put(entry(born=8))
        self.assertTrue(self.is_active())

    def test_entry_of_an_earlier_start_is_written_late(self):
        self.registry.mark_leaving("e1", 7)
        self.registry.put(entry(born=6))
        self.assertFalse(self.is_active())

    def test_late_notice_of_an_earlier_start(self):
        self.registry.put(entry(born=8))
        self.assertFalse(self.registry.mark_leaving("e1", 7))
        self.assertTrue(self.is_active())

    def test_notice_before_the_entry(self):
        """A member may get the notice from the leader before it reads the row."""
        self.registry.mark_leaving("e2", 9)
        self.registry.put(entry(name="e2", service="desk", born=9))
        self.assertFalse(self.registry.active_servers("desk"))

    def test_unknown_start_counts_as_leaving_until_the_entry_is_removed(self):
        self.registry.put(entry(born=0))
        self.registry.mark_leaving("e1", 0)
        self.registry.put(entry(born=0, slots=3))
        self.assertFalse(self.is_active())
        self.registry.drop("e1")
        self.registry.put(entry(born=0))
        self.assertTrue(self.is_active())


class ClockTest(unittest.TestCase):
    """A suspension must not extend a pause beyond the time that the server named."""

    def test_pauses_are_measured_on_the_clock_that_counts_suspensions(self):
        self.assertIs(server_notices.boot_time, boot_time)
        with patch("time.clock_gettime", return_value=5.0) as clock:
            self.assertEqual(boot_time(), 5.0)
        clock.assert_called_once_with(time.CLOCK_BOOTTIME)


class PauseTest(unittest.TestCase):
    """A pause ends on time, including suspensions, and then the load ramps up."""

    def setUp(self):
        self.now = 100.0
        self.enterContext(
            patch("sequoiafall.server_notices.boot_time", lambda: self.now)
        )
        self.notices = ServerNotices(BackendRegistry(), random.Random(1))
        self.notices.apply(ENTRY, ServerNotice(False, "2"), "request", "r1")

    def test_end(self):
        self.assertAlmostEqual(self.notices.pause_left_s("e1"), 2.0)
        self.assertEqual(self.notices.usable([ENTRY]), [])
        self.assertEqual(self.notices.shortest_pause_s([ENTRY]), 2.0)
        # The clock of the notices includes suspensions of the machine.
        self.now += 2.5
        self.assertEqual(self.notices.pause_left_s("e1"), 0.0)
        self.assertEqual(self.notices.usable([ENTRY]), [ENTRY])
        self.assertEqual(self.notices.pauses(), [])

    def test_ended_pauses_are_forgotten(self):
        """Each start of a server has a new name, so entries must not accumulate."""
        self.now += 2.0 + RAMP_UP_S + 0.1
        self.notices.pauses()
        self.assertEqual(self.notices._paused_until_by_server, {})

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.notices.apply(ENTRY, ServerNotice(False, "0.1"), "request", "r2")
        self.assertAlmostEqual(self.notices.pause_left_s("e1"), 2.0)

    def test_load_ramps_up_after_a_pause(self):
        routing = PlainRouting("a", random.Random(1), self.notices.ramp_up_left)
        other = entry(name="e2")
        self.now += 2.0
        shares = []
        for _ in range(4):
            chosen = sum(
                routing.choose([ENTRY, other], frozenset(), self.now).entry is ENTRY
                for _ in range(100)
            )
            shares.append(chosen)
            self.now += RAMP_UP_S / 3.0
        self.assertEqual(shares[0], 0)
        self.assertGreater(shares[-1], 20)


class PlannerPauseTest(unittest.TestCase):
    """Engines ask for a pause during a burst of requests."""

    def ask(self, number):
        return PlacementRequest(f"r{number}", "o", "g", "a", "", 100, 0, 0.8, 4.0)

    def submit(self, driver, count):
        actions = []
        for number in range(count):
            actions += driver.planner.submit(self.ask(number), driver.now)
        return actions

    def test_half_of_the_engines(self):
        """The other engines get the whole burst."""
        driver = Driver(engines=4)
        for name in ("e0", "e1"):
            driver.planner.pause(name, driver.now + 2.0)
        actions = self.submit(driver, 40)
        servers = {action.server for action in actions}
        self.assertEqual(servers, {"e2", "e3"})
        driver.now += 2.0
        self.assertTrue(
            driver.planner.pool.engines_by_name["e0"].takes_work(driver.now)
        )

    def test_all_engines(self):
        """Callers are refused at once, with the time at which the first pause ends."""
        driver = Driver(engines=2)
        driver.planner.pause("e0", driver.now + 0.5)
        driver.planner.pause("e1", driver.now + 9.0)
        actions = self.submit(driver, 10)
        self.assertTrue(all(isinstance(row, RefusePlace) for row in actions))
        retry_times_s = [row.retry_after_s for row in actions]
        self.assertTrue(all(0.5 <= retry_s <= 4.0 / 3.0 for retry_s in retry_times_s))
        self.assertGreater(len(set(retry_times_s)), 5)

    def test_ramp_up_after_a_pause(self):
        """An engine does not get the whole burst as soon as its pause ends."""
        driver = Driver(engines=2)
        driver.planner.pause("e0", driver.now + 1.0)
        driver.now += 1.05
        for name in ("e0", "e1"):
            driver.planner.on_report(name, driver.report(name), driver.now)
        actions = self.submit(driver, 20)
        grants = [row.server for row in actions if isinstance(row, GrantPlace)]
        self.assertLess(grants.count("e0"), grants.count("e1"))

    def test_all_leaving(self):
        driver = Driver(engines=2)
        entries = [
            BackendEntry(row.name, row.service, row.address, row.zone, 64, True)
            for row in driver.entries
        ]
        driver.planner.set_entries(entries, 6, driver.now)
        (refused,) = self.submit(driver, 1)
        self.assertEqual(refused.reason.value, "no_backend_server")


class LeavingTest(PlatformCase):
    """A server that announced its departure gets no later requests."""

    async def calls(self, node, path, count, prefix, **options):
        statuses = []
        for number in range(count):
            request_id = f"{prefix}-{number}"
            status, *_ = await self.call(node, path, request_id=request_id, **options)
            statuses.append(status)
        return statuses

    async def call_until_arrived(self, node, path, name, prefix, **options):
        """Send concurrent calls until one of them reaches a server."""
        ends_at = time.monotonic() + EVENT_TIMEOUT_S
        while time.monotonic() < ends_at:
            calls = (
                self.calls(node, path, 1, f"{prefix}-{n}", **options) for n in range(8)
            )
            statuses = await asyncio.gather(*calls)
            if self.arrived(name, prefix):
                return statuses
        return self.fail(f"no call of {prefix} arrived at {name}")

    def arrived(self, name, prefix):
        arrivals = self.engines[name].received_request_ids
        return [row for row in arrivals if row.startswith(prefix)]

    @parameterized.expand(
        [("plain", "/look/x", "d1", "desk"), ("engine", "/draft/x", "e1", "assist")]
    )
    async def test_store_is_unreachable(self, _name, path, leaving, service):
        """One notice stops the requests of all instances, whatever the table says."""
        nodes = await self.start_fleet(3)
        await until(
            lambda: all(
                len(n.fleet.registry.active_servers(service)) == 2 for n in nodes
            )
        )
        self.store.rejected_peers.add("*")
        lines = self.enterContext(capture_log())
        self.engines[leaving].is_leaving = True
        member = next(node for node in nodes if not node.fleet.lease.leads)
        await self.call_until_arrived(member, path, leaving, "first")
        statuses = await self.calls(member, path, 12, "later")
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.arrived(leaving, "later"), [])
        await until(
            lambda: all(
                len(n.fleet.registry.active_servers(service)) == 1 for n in nodes
            )
        )
        for node in nodes:
            await self.calls(node, path, 6, "others")
        self.assertEqual(self.arrived(leaving, "others"), [])
        seen = [line for line in lines if "event=server_leaving" in line]
        self.assertTrue(any(f"server={leaving}" in line for line in seen), seen)

    async def test_no_connection_to_the_leader(self):
        """An instance applies a notice itself, even if it cannot report it."""
        nodes = await self.start_fleet(2)
        member = next(node for node in nodes if not node.fleet.lease.leads)
        await until(lambda: len(member.fleet.registry.active_servers("desk")) == 2)
        self.store.rejected_peers.add("*")
        self.leader.fleet._server.handlers = {}
        member.fleet._link.is_connection_lost = True
        self.engines["d1"].is_leaving = True
        await self.call_until_arrived(member, "/look/x", "d1", "first")
        await self.calls(member, "/look/x", 10, "later")
        self.assertEqual(self.arrived("d1", "later"), [])

    async def test_notice_between_grant_and_send(self):
        """The place is released, and the request gets another engine."""
        nodes = await self.start_fleet(2)
        node = nodes[0]
        original_take = PlaceSource.take
        granted = []

        async def take_then_leave(source, pending, excluded):
            place = await original_take(source, pending, excluded)
            if not granted:
                granted.append(place.server)
                born = node.fleet.registry.find(place.server).born
                node.fleet.registry.mark_leaving(place.server, born)
            return place

        self.enterContext(patch.object(PlaceSource, "take", take_then_leave))
        status, *_ = await self.call(node, "/draft/x", adapter="a1", request_id="r")
        self.assertEqual(status, 200)
        self.assertEqual(self.engines[granted[0]].received_request_ids, [])

    async def test_notice_in_the_headers_of_a_long_stream(self):
        """The notice applies once the headers arrive, seconds before the last byte."""
        nodes = await self.start_fleet(2)
        node = nodes[0]
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 1
            self.engines[name].is_leaving = name == "e1"
        streams = [
            asyncio.create_task(
                self.call(node, "/check/x", adapter=f"a{n}", request_id=f"long-{n}")
            )
            # The other engine has enough slots for all of these adapters.
            for n in range(5)
        ]
        await until(lambda: node.fleet.registry.find("e1").is_leaving)
        for name in ("e1", "e2"):
            self.engines[name].resume_event.set()
        self.assertEqual({(await row)[0] for row in streams}, {200})
        await self.calls(node, "/draft/x", 6, "later")
        self.assertEqual(self.arrived("e1", "later"), [])

    async def test_restart_at_the_same_address(self):
        nodes = await self.start_fleet(2)
        node = nodes[0]
        engine = self.engines["d1"]
        node.fleet.registry.mark_leaving("d1", engine.started_at_ms)
        await self.calls(node, "/look/x", 6, "gone")
        self.assertEqual(self.arrived("d1", "gone"), [])
        engine.restart()
        self.announce(engine)
        await until(lambda: len(node.fleet.registry.active_servers("desk")) == 2)
        await self.call_until_arrived(node, "/look/x", "d1", "back")

    async def test_restarted_instance_gets_the_notice_from_the_leader(self):
        nodes = await self.start_fleet(3)
        member = next(node for node in nodes if not node.fleet.lease.leads)
        member.fleet.registry.mark_leaving("d1", self.engines["d1"].started_at_ms)
        leader = self.leader
        await until(lambda: leader.fleet.registry.find("d1").is_leaving)
        self.nodes.remove(member)
        await member.stop()
        number = int(member.settings.instance.rpartition("-")[2])
        restarted = await self.start_node(number)
        await until(lambda: restarted.fleet.has_leader)
        await until(lambda: restarted.fleet.registry.find("d1") is not None)
        await until(lambda: restarted.fleet.registry.find("d1").is_leaving)


class BusyTest(PlatformCase):
    """A server that asks for a pause gets no requests until the pause ends."""

    async def test_plain_service(self):
        node, _ = await self.start_fleet()
        await until(lambda: len(node.fleet.registry.active_servers("desk")) == 2)
        busy = self.engines["d1"]
        busy.reject_next, busy.retry_after = 1, "20"
        ends_at = time.monotonic() + EVENT_TIMEOUT_S
        while time.monotonic() < ends_at:
            calls = (self.call(node, "/order/x") for _ in range(8))
            responses = await asyncio.gather(*calls)
            self.assertEqual({status for status, *_ in responses}, {200})
            if node.fleet.notices.pauses_seen:
                break
        arrived = len(busy.received_request_ids)
        for _ in range(10):
            status, *_ = await self.call(node, "/order/x")
            self.assertEqual(status, 200)
        self.assertEqual(len(busy.received_request_ids), arrived)

    async def test_all_servers(self):
        """A caller is refused at once, with the time at which the first pause ends."""
        node, _ = await self.start_fleet()
        await until(lambda: len(node.fleet.registry.active_servers("desk")) == 2)
        for name, text in (("d1", "0.6"), ("d2", "20")):
            self.engines[name].reject_next, self.engines[name].retry_after = 1, text
        status, body, headers = await self.call(node, "/order/x", request_id="busy")
        self.assertEqual(status, 503, body)
        self.assertIn(b"not run", body)
        self.assertEqual(self.runs("busy"), 0)
        retry_s = float(headers["Retry-After"])
        self.assertTrue(0.05 <= retry_s <= 0.75, retry_s)
        await until(
            lambda: (
                not node.fleet.notices.shortest_pause_s(
                    node.fleet.registry.active_servers("desk")
                )
            )
        )
        status, *_ = await self.call(node, "/order/x")
        self.assertEqual(status, 200)

    async def test_engine_gets_no_reports_orders_or_requests(self):
        nodes = await self.start_fleet(2)
        leader = self.leader
        node = next(row for row in nodes if row is not leader)
        busy = self.engines["e1"]
        busy.reject_next, busy.retry_after = 1, "20"
        planner = leader.fleet.duties.planners_by_service["assist"]
        for number in range(MAX_ROUNDS):
            calls = (
                self.call(node, "/draft/x", adapter=f"a{number}{n}") for n in range(4)
            )
            responses = await asyncio.gather(*calls)
            self.assertEqual({status for status, *_ in responses}, {200})
            if node.fleet.notices.pauses_seen:
                break
        await until(lambda: planner.is_pausing("e1", boot_time()))
        arrived, sequence = len(busy.received_request_ids), busy.sequence
        for number in range(8):
            status, *_ = await self.call(node, "/draft/x", adapter=f"b{number}")
            self.assertEqual(status, 200)
        self.assertEqual(
            (len(busy.received_request_ids), busy.sequence), (arrived, sequence)
        )
