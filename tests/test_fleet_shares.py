"""Tests of fleet-wide limits of which each instance uses a share of its own."""

import random
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized

from sequoiafall.backend_registry import BackendRegistry
from sequoiafall.catalog import Organisation, TokenLimit
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.forwarding import Forwarder
from sequoiafall.place_source import (
    LEADERLESS_BURST_SHARE,
    LEADERLESS_IDLE_S,
    PlaceSource,
)
from sequoiafall.server_limits import ServerLimits
from sequoiafall.server_notices import ServerNotices
from sequoiafall.token_bucket import USE_SLOT_S, RecentTokenUse

EXTRA_RETRIES = 290
RATE_PER_S = 1000.0
BURST = 8000.0
COST = 100


class FakeFleet:
    """A fleet without a leader."""

    has_leader = False

    def __init__(self, members):
        self.member_count = members
        self.has_limit_share = True
        self.recent_use = RecentTokenUse()
        registry = BackendRegistry()
        self.notices = ServerNotices(registry, random.Random(1))
        self.server_limits = ServerLimits(registry)
        self.crash_evidence = CrashEvidence()


class RetryShareTest(unittest.TestCase):
    """All instances together stay within the retries beyond the share of requests.

    Guards against a share that is computed once, before the size of the fleet is
    known: after all instances restarted, each of 119 took eight retries.
    """

    def forwarder(self, fleet):
        settings = SimpleNamespace(
            zone="a",
            instance="a1",
            retry_extra=EXTRA_RETRIES,
            retry_share=0.2,
            memory_mb=222.0,
        )
        places = SimpleNamespace(permits=None)
        return Forwarder(settings, fleet, places, None, None, random.Random(1))

    def retries(self, forwarder):
        taken = 0
        while forwarder._retry_budget("assist").try_retry():
            taken += 1
        return taken

    @parameterized.expand([(1,), (13,), (119,), (195,)])
    def test_size_becomes_known_after_the_first_request(self, members):
        total = 0
        for _ in range(members):
            fleet = FakeFleet(0)
            forwarder = self.forwarder(fleet)
            total += self.retries(forwarder)
            fleet.member_count = members
            total += self.retries(forwarder)
        self.assertLessEqual(total, EXTRA_RETRIES)

    def test_fleet_grows(self):
        fleet = FakeFleet(13)
        forwarders = [self.forwarder(fleet) for _ in range(195)]
        for forwarder in forwarders:
            forwarder._retry_budget("assist")
        fleet.member_count = 195
        total = sum(self.retries(forwarder) for forwarder in forwarders)
        self.assertLessEqual(total, EXTRA_RETRIES)

    def test_setting_is_lowered(self):
        forwarder = self.forwarder(FakeFleet(13))
        forwarder._retry_budget("assist")
        forwarder._settings.retry_extra = 26
        self.assertLessEqual(self.retries(forwarder), 2)

    @parameterized.expand([("lowered", 0.2, 0.0, 0), ("raised", 0.0, 0.2, 10)])
    def test_share_is_changed(self, _name, before, after, retries):
        """A changed share of the requests applies to a budget that exists."""
        forwarder = self.forwarder(FakeFleet(13))
        forwarder._settings.retry_share = before
        forwarder._retry_budget("assist")
        self.retries(forwarder)
        forwarder._settings.retry_share = after
        earned = 0
        for _ in range(100):
            forwarder._retry_budget("assist").on_request()
            earned += forwarder._retry_budget("assist").try_retry()
        self.assertGreaterEqual(earned, retries)
        self.assertLessEqual(earned, 0.2 * 100)
        if not after:
            self.assertEqual(earned, 0)

    @parameterized.expand([(13,), (500,)])
    def test_requests_earn_retries_at_any_size(self, members):
        forwarder = self.forwarder(FakeFleet(members))
        self.retries(forwarder)
        for _ in range(20):
            forwarder._retry_budget("assist").on_request()
        self.assertGreaterEqual(self.retries(forwarder), 1)


class TokenShareTest(unittest.TestCase):
    """Without a leader, all instances together stay within a token limit."""

    def setUp(self):
        self.now = 1000.0
        self.enterContext(patch("sequoiafall.place_source.boot_time", lambda: self.now))
        self.organisation = Organisation(
            "org", frozenset(), TokenLimit(RATE_PER_S, BURST), 200
        )

    def admitted(self, sources, seconds=0.0):
        """Press all instances and return the tokens that they admit."""
        tokens = 0
        ends_at = self.now + seconds
        while True:
            for source in sources:
                while source.admit_without_leader(self.organisation, COST):
                    tokens += COST
            if self.now >= ends_at:
                return tokens
            self.now += 0.25

    def sources(self, fleet, count):
        return [PlaceSource(fleet, None, random.Random(n)) for n in range(count)]

    def allowed(self, seconds, instances):
        # Each bucket may be overdrawn by one request.
        return LEADERLESS_BURST_SHARE * BURST + seconds * RATE_PER_S + instances * COST

    @parameterized.expand([(1,), (13,), (195,)])
    def test_known_size(self, members):
        sources = self.sources(FakeFleet(members), members)
        self.assertLessEqual(self.admitted(sources, 4.0), self.allowed(4.0, members))

    def test_size_is_not_known_yet(self):
        """All instances restart: none has heard of a leader or of the others."""
        sources = self.sources(FakeFleet(0), 13)
        self.assertLessEqual(self.admitted(sources, 1.0), self.allowed(1.0, 13))

    def test_size_becomes_known_while_requests_go_on(self):
        fleet = FakeFleet(1)
        sources = self.sources(fleet, 13)
        self.admitted(sources)
        fleet.member_count = 13
        self.assertLessEqual(self.admitted(sources, 4.0), 4.0 * RATE_PER_S + 13 * COST)

    def test_second_period_without_a_leader(self):
        """The leader has admitted requests meanwhile, so no full burst is left."""
        sources = self.sources(FakeFleet(13), 13)
        self.admitted(sources, 1.0)
        self.now += 60.0
        self.assertLessEqual(self.admitted(sources), self.allowed(0.0, 13))

    def test_use_before_the_leader_was_lost(self):
        """Guards against a burst at each loss of a leader that has spent it."""
        members, periods, cost = 13, 6, 10
        fleets = [FakeFleet(members) for _ in range(members)]
        sources = [PlaceSource(fleet, None, random.Random(1)) for fleet in fleets]
        for fleet in fleets:
            for tenths in range(-100, 0):
                tokens = 0.1 * RATE_PER_S / members
                fleet.recent_use.add("org", tokens, self.now + tenths / 10.0)
        tokens = 0
        for _ in range(periods):
            for fleet, source in zip(fleets, sources, strict=True):
                while source.admit_without_leader(self.organisation, cost):
                    tokens += cost
                    fleet.recent_use.add("org", cost, self.now)
            # A leader replies for longer than the bucket is kept.
            self.now += LEADERLESS_IDLE_S + 0.1
        elapsed_s = periods * (LEADERLESS_IDLE_S + 0.1)
        allowed = (USE_SLOT_S + elapsed_s) * RATE_PER_S + periods * members * cost
        self.assertLessEqual(tokens, allowed)

    def test_alone_for_long(self):
        """Guards against the share of an instance that its leader takes for gone."""
        fleet = FakeFleet(13)
        fleet.has_limit_share = False
        self.assertEqual(self.admitted(self.sources(fleet, 1), 1.0), 0)

    def test_limit_is_lowered_while_requests_go_on(self):
        sources = self.sources(FakeFleet(13), 13)
        self.admitted(sources, 1.0)
        self.organisation = Organisation(
            "org", frozenset(), TokenLimit(0.1 * RATE_PER_S, BURST), 200
        )
        self.assertLessEqual(self.admitted(sources, 4.0), 0.5 * RATE_PER_S + 13 * COST)
