"""Tests of how a gateway acquires places without a leader."""

import random
import time
import unittest
from types import SimpleNamespace

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry, BackendRegistry
from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.engine_pool import EngineReport
from sequoiafall.fleet_leader import _admission
from sequoiafall.place_source import (
    BLOCKED_RETRY_MAX_S,
    LEADER_WAIT_S,
    PendingPlacement,
    PlaceSource,
)
from sequoiafall.refusal import Reason, Refusal
from sequoiafall.server_limits import ServerLimits
from sequoiafall.server_notices import ServerNotice, ServerNotices
from sequoiafall.token_bucket import RecentTokenUse


class FakeRegistry:
    """A registry of engines of one service."""

    def __init__(self, engines=0):
        self.entries = [
            BackendEntry(f"e{n}", "assist", f"10.0.0.{n}:80", "z1", 64, False)
            for n in range(engines)
        ]

    def record_start(self, name, born):
        return False

    def active_servers(self, _service):
        """Return the engines."""
        return self.entries


class CountingControl:
    """Counts the engine reports that are read."""

    def __init__(self):
        self.reports = 0

    async def report(self, _entry):
        """Return the report of an engine without adapters."""
        self.reports += 1
        return EngineReport(1, {}, {}, 0, 0)


class FakeFleet:
    """A fleet without a leader."""

    has_leader = False

    def __init__(self, is_election_blocked):
        self.is_election_blocked = is_election_blocked
        self.registry = FakeRegistry()
        self.notices = ServerNotices(BackendRegistry(), random.Random(1))
        self.member_count = 0
        self.has_limit_share = True
        self.recent_use = RecentTokenUse()
        self.versions_by_adapter = {}
        self.server_limits = ServerLimits(BackendRegistry())
        self.crash_evidence = CrashEvidence()


class AdmittingFleet(FakeFleet):
    """A fleet whose leader does not know the service yet, and admits a plain call."""

    has_leader = True
    settings = SimpleNamespace(zone="z1", instance="node-1")

    def __init__(self):
        super().__init__(False)
        self.places_by_request_and_server = {}
        self.released = []

    async def request_place(self, _request, _timeout_s):
        """Return the answer to a request to send to a plain service."""
        return _admission()

    def release_place(self, end):
        """Record the end of a place."""
        self.places_by_request_and_server.pop((end.request_id, end.server), None)
        self.released.append((end.server, end.outcome))


class NewServiceTest(unittest.IsolatedAsyncioTestCase):
    """An instance knows a new engine service before the leader does."""

    async def test_place_without_an_engine_is_not_used(self):
        """Requests were sent to an empty address until the retries were used up."""
        fleet = AdmittingFleet()
        source = PlaceSource(fleet, None, random.Random(1))
        now = boot_time()
        request = SimpleNamespace(
            request_id="r1", run_id="r1", adapter="a1", suspects=(), prompt_tokens=10
        )
        pending = PendingPlacement(request, "assist", None, 0, 1, now + 0.8, now + 4.0)
        reply = await source.take(pending, frozenset())
        self.assertIsInstance(reply, Refusal)
        self.assertIs(reply.reason, Reason.NO_BACKEND_SERVER)
        self.assertGreater(reply.retry_after_s, 0.0)
        self.assertEqual(fleet.places_by_request_and_server, {})
        self.assertEqual(fleet.released, [("", "withheld")])


class NoLeaderTest(unittest.IsolatedAsyncioTestCase):
    """All instances restart while the store is unavailable, so none can be elected."""

    async def _refuse(self, is_blocked, left_s, seed=1):
        fleet = FakeFleet(is_blocked)
        source = PlaceSource(fleet, None, random.Random(seed))
        now = boot_time()
        request = SimpleNamespace(
            request_id="r1", run_id="r1", adapter="a1", suspects=()
        )
        pending = PendingPlacement(
            request, "assist", None, 0, 1, now + 0.8, now + left_s
        )
        started_at = time.monotonic()
        refusal = await source.take(pending, frozenset())
        return refusal, time.monotonic() - started_at

    @parameterized.expand([(4.0,), (15.0,)])
    async def test_request_is_refused_at_once_if_no_election_can_complete(self, left_s):
        refusal, waited_s = await self._refuse(True, left_s)
        self.assertIs(refusal.reason, Reason.OWNER_UNAVAILABLE)
        # Waiting for an election would take at least this long.
        self.assertLess(waited_s, LEADER_WAIT_S)
        # The retry time leaves the caller enough time for its answer.
        self.assertGreaterEqual(refusal.retry_after_s, min(left_s, 8.0) * 0.24)
        self.assertLessEqual(refusal.retry_after_s, min(left_s * 0.5, 4.0))

    async def test_refused_callers_do_not_come_back_together(self):
        times = [(await self._refuse(True, 4.0, seed))[0] for seed in range(20)]
        seconds = sorted(refusal.retry_after_s for refusal in times)
        self.assertGreater(seconds[-1] - seconds[0], 0.5)
        self.assertLessEqual(seconds[-1], BLOCKED_RETRY_MAX_S)

    @parameterized.expand([("small", 6, 13, 12, 24), ("large", 70, 118, 70, 70)])
    async def test_reports_read_without_a_leader_are_bounded(
        self, _name, engines, members, least, most
    ):
        """118 instances with 70 engines must not read 20,000 reports per second."""
        fleet = FakeFleet(False)
        fleet.registry = FakeRegistry(engines)
        fleet.member_count = members
        control = CountingControl()
        source = PlaceSource(fleet, control, random.Random(1))
        now = boot_time()
        request = SimpleNamespace(
            request_id="r1", run_id="r1", adapter="a1", suspects=()
        )
        pending = PendingPlacement(request, "assist", None, 0, 1, now + 0.8, now + 4.0)
        await source.take(pending, frozenset())
        self.assertGreaterEqual(control.reports, least)
        self.assertLessEqual(control.reports, most)

    async def test_request_waits_for_an_election_that_may_end(self):
        refusal, waited_s = await self._refuse(False, 4.0)
        self.assertGreaterEqual(waited_s, LEADER_WAIT_S)
        self.assertIs(refusal.reason, Reason.OWNER_UNAVAILABLE)

    async def test_engines_that_pause_are_not_asked(self):
        """A gateway that reads the reports itself must respect pauses of engines."""
        fleet = FakeFleet(False)
        fleet.registry = FakeRegistry(4)
        notice = ServerNotice(False, "20")
        fleet.notices.apply(fleet.registry.entries[0], notice, "request", "r0")
        control = CountingControl()
        source = PlaceSource(fleet, control, random.Random(1))
        await source._read_all("assist")
        self.assertEqual(control.reports, 3)
