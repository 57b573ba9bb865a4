"""Tests of permits to send to servers with a limit, without network."""

import asyncio
import itertools
import random
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry, BackendRegistry
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.fleet_leader import LeaderDuties
from sequoiafall.leader_standing import Standing
from sequoiafall.member_register import MemberRegister
from sequoiafall.node_metrics import NodeMetrics
from sequoiafall.request_allowance import Permit, RequestAllowance
from sequoiafall.send_permits import LEADERLESS_SHARE, SendPermits, TimeSlots
from sequoiafall.server_limits import ServerLimits
from sequoiafall.stream_versions import StreamVersions

from .limited_server import allowed_calls, most_calls

STEP_S = 0.02
SECONDS = 40.0


class FakeFleet:
    """A fleet whose servers s1 and s2 have a limit."""

    def __init__(self, members=3, rate_per_s=2.0):
        self.member_count = members
        registry = BackendRegistry()
        self.server_limits = ServerLimits(registry)
        self.crash_evidence = CrashEvidence()
        for name in ("s1", "s2"):
            entry = BackendEntry(name, "desk", "10.0.0.1:80", "a", 6, False, 7)
            registry.put(entry)
            self.server_limits.observe(entry, str(rate_per_s), "request", 1.0)
        self.reply = None

    async def request_permit(self, _servers, _max_wait_s, _timeout_s):
        """Return what the leader replies, None without a leader."""
        return self.reply


class LeaderlessSlotsTest(unittest.TestCase):
    """Instances without a leader stay within the limit together.

    Guards against instances that save their shares and then send together: each of
    195 with one saved call exceeds any small limit.
    """

    def setUp(self):
        self.now = 1000.0
        self.enterContext(patch("sequoiafall.send_permits.boot_time", lambda: self.now))

    def run_fleet(self, members, rate_per_s, cut_off, is_pressed=lambda _now: True):
        """Press all instances; those that are not cut off follow a leader."""
        fleet = FakeFleet(members, rate_per_s)
        generator = random.Random(members)
        permits = [SendPermits(fleet, generator) for _ in range(cut_off)]
        allowance = (
            RequestAllowance(rate_per_s, self.now) if cut_off < members else None
        )
        times = []
        ends_at = self.now + SECONDS
        while self.now < ends_at:
            self.now += STEP_S
            if not is_pressed(self.now):
                continue
            sent = sum(row.try_take_alone("s1") for row in permits)
            while allowance is not None and allowance.try_take(self.now):
                sent += 1
            while allowance is not None and allowance.try_control_call(self.now):
                sent += 1
            times += [self.now] * sent
        return times

    @parameterized.expand(
        [
            (members, rate_per_s, share)
            for members in (1, 2, 13, 195)
            for rate_per_s in (0.5, 1.7, 10.0)
            for share in (0.5, 1.0)
        ]
    )
    def test_all_sizes(self, members, rate_per_s, share):
        """All instances, or half of them beside a leader that serves the rest.

        The leader also sends all reports and orders that the limit allows.
        """
        times = self.run_fleet(members, rate_per_s, max(1, round(share * members)))
        self.assertLessEqual(most_calls(times, 0.0), allowed_calls(rate_per_s))

    def test_limit_is_used(self):
        times = self.run_fleet(13, 5.0, 13)
        self.assertGreater(len(times), 0.8 * LEADERLESS_SHARE * 5.0 * SECONDS)

    def test_nothing_is_saved_while_no_calls_are_made(self):
        """A burst after a quiet time gets no more than a steady load."""
        times = self.run_fleet(195, 1.7, 195, lambda now: now % 20.0 > 18.0)
        self.assertLessEqual(most_calls(times, 0.0), allowed_calls(1.7))

    def test_limit_that_differs_in_each_response(self):
        slots = TimeSlots(0.3)
        generator = random.Random(1)
        taken = 0
        for step in range(5000):
            taken += slots.try_take(10.0 * generator.uniform(0.9, 1.1), step * 0.1)
        self.assertLessEqual(taken, 500.0 / (9.0 - 1.0))

    def test_size_of_the_fleet_is_unknown(self):
        """An instance that has just started must not take the whole limit."""
        self.assertEqual(self.run_fleet(0, 5.0, 1), [])

    def test_server_without_a_limit(self):
        permits = SendPermits(FakeFleet(), random.Random(1))
        self.assertTrue(all(permits.try_take_alone("other") for _ in range(20)))


class TakeTest(unittest.TestCase):
    """The leader's answer holds; without one, only time slots remain."""

    def take(self, fleet, max_wait_s=0.0):
        permits = SendPermits(fleet, random.Random(1))
        return asyncio.run(permits.take(["s1", "s2"], max_wait_s))

    @parameterized.expand(
        [("granted", Permit("s2", 0.1)), ("refused", Permit("", 0.7))]
    )
    def test_leader_replies(self, _name, reply):
        fleet = FakeFleet()
        fleet.reply = reply
        self.assertEqual(self.take(fleet), reply)

    def test_no_leader_and_unknown_size(self):
        permit = self.take(FakeFleet(members=0))
        self.assertEqual(permit.server, "")
        self.assertGreater(permit.wait_s, 0.0)


class LeaderPermitTest(unittest.IsolatedAsyncioTestCase):
    """The leader shares one allowance for each server among all instances."""

    def start_duties(self, **rates):
        self.enterContext(patch("sequoiafall.fleet_leader.boot_time", lambda: 100.0))
        registry = BackendRegistry()
        limits = ServerLimits(registry)
        for name, rate_per_s in rates.items():
            entry = BackendEntry(name, "desk", "10.0.0.1:80", "a", 6, False, 7)
            registry.put(entry)
            limits.observe(entry, str(rate_per_s), "request", 1.0)
        duties = LeaderDuties(
            SimpleNamespace(instance="node-1", is_fenced=True),
            SimpleNamespace(token=7, leads=True),
            registry,
            None,
            NodeMetrics(),
            limits,
            CrashEvidence(),
            StreamVersions(),
            MemberRegister("node-1", (), (), 0.0),
            lambda: Standing.IN_TOUCH,
            lambda _reason: None,
        )
        self.addAsyncCleanup(duties.stop)
        return duties

    async def test_calls_that_can_wait_are_sent_one_after_the_other(self):
        """They queue for their turn instead of asking again and again."""
        duties = self.start_duties(s1=10.0)
        permits = [duties.take_permit(["s1"], 0.75) for _ in range(10)]
        waits_s = [row.wait_s for row in permits if row.server]
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertEqual(len(waits_s), 7)
        for earlier, later in itertools.pairwise(waits_s):
            self.assertAlmostEqual(later - earlier, 0.1, places=6)
        refused = permits[-1]
        self.assertEqual(refused.server, "")
        self.assertGreater(refused.wait_s, 0.7)

    async def test_server_with_the_shorter_wait(self):
        duties = self.start_duties(s1=1.0, s2=10.0)
        servers = [duties.take_permit(["s1", "s2"], 5.0).server for _ in range(22)]
        self.assertEqual(servers[0], "s2")
        self.assertGreater(servers.count("s2"), 5 * servers.count("s1"))

    async def test_limit_that_the_leader_knows_to_be_lifted(self):
        duties = self.start_duties(s1=0.1)
        self.assertEqual(duties.take_permit(["s1", "s2"], 0.0), Permit("s2", 0.0))
