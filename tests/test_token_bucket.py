"""Tests of the token limits at the leader."""

import random
import unittest

from parameterized import parameterized

from sequoiafall.catalog import TokenLimit
from sequoiafall.token_bucket import (
    INITIAL_LEVEL_S,
    RECENT_USE_WINDOW_S,
    USE_SLOT_S,
    USE_SLOTS,
    RecentTokenUse,
    ReportedUse,
    TokenBucket,
    TokenLimits,
)

LIMIT = TokenLimit(1000.0, 2000.0)
LARGEST = 900.0


class TokenBucketTest(unittest.TestCase):
    """The use in any window is limited by rate, burst and one request."""

    @parameterized.expand([(seed,) for seed in range(10)])
    def test_hot_organisation_stays_within_its_limit(self, seed):
        """One organisation sends several times its rate."""
        rng = random.Random(seed)
        bucket = TokenBucket(LIMIT, 0.0, LIMIT.burst)
        now, admitted = 0.0, []
        while now < 30.0:
            now += rng.expovariate(20.0)
            tokens = rng.uniform(50.0, LARGEST)
            if bucket.take(tokens, now) == 0.0:
                admitted.append((now, tokens))
        for window_s in (1.0, 8.0):
            for start, _ in admitted:
                used = sum(t for at, t in admitted if start <= at < start + window_s)
                bound = LIMIT.burst + LIMIT.rate_per_s * window_s + LARGEST
                self.assertLessEqual(used, bound)

    def test_large_requests_are_served_like_small_ones(self):
        """A nearly empty bucket must not prefer small requests to large ones."""
        rng = random.Random(5)
        bucket = TokenBucket(LIMIT, 0.0, 0.0)
        now = 0.0
        asked, served = {100.0: 0, 900.0: 0}, {100.0: 0, 900.0: 0}
        while now < 60.0:
            now += rng.expovariate(10.0)
            tokens = rng.choice((100.0, 900.0))
            asked[tokens] += 1
            served[tokens] += bucket.take(tokens, now) == 0.0
        small, large = (served[size] / asked[size] for size in (100.0, 900.0))
        self.assertGreater(large, 0.8 * small)

    def test_refused_caller_is_told_when_there_are_tokens(self):
        bucket = TokenBucket(LIMIT, 0.0, 0.0)
        wait_s = bucket.take(500.0, 0.0)
        self.assertGreater(wait_s, 0.0)
        self.assertEqual(bucket.take(500.0, wait_s), 0.0)

    def test_no_rate_is_no_limit(self):
        bucket = TokenBucket(TokenLimit(0.0, 0.0), 0.0, 0.0)
        self.assertEqual(bucket.take(1e9, 0.0), 0.0)

    def test_lower_limit_binds_at_once(self):
        bucket = TokenBucket(LIMIT, 0.0, LIMIT.burst)
        bucket.set_limit(TokenLimit(10.0, 20.0), 0.0)
        self.assertEqual(bucket.level(0.0), 20.0)


class TermTest(unittest.TestCase):
    """Initial levels at a new leader, which does not know the previous levels."""

    def test_new_term_starts_nearly_empty_and_is_filled_by_reports(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        self.assertEqual(limits.level("org", 0.0), INITIAL_LEVEL_S * LIMIT.rate_per_s)
        limits.apply_reported_use({}, 0.0)
        self.assertEqual(limits.level("org", 0.0), LIMIT.burst)

    def test_reported_use_is_not_given_again(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        used = LIMIT.burst + LIMIT.rate_per_s * RECENT_USE_WINDOW_S
        limits.apply_reported_use({"org": [used / USE_SLOTS] * USE_SLOTS}, 0.0)
        self.assertLessEqual(limits.level("org", 0.0), 0.0)

    def test_use_in_the_new_term_counts(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.take("org", 500.0, 0.0)
        limits.apply_reported_use({}, 0.25)
        self.assertEqual(limits.level("org", 0.25), LIMIT.burst - 500.0)

    def test_use_without_a_leader_is_counted_once(self):
        """Guards against callers that are refused for seconds after an outage.

        What a gateway admitted without a leader is told twice: as tokens that no
        leader has charged, and as recent use.
        """
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.charge_until_reported("org", 8.0 * LIMIT.rate_per_s, 0.0)
        use = [0.5 * LIMIT.rate_per_s * USE_SLOT_S] * USE_SLOTS
        limits.apply_reported_use({"org": use}, 0.0)
        self.assertGreater(limits.level("org", 0.0), 0.5 * LIMIT.burst)

    @parameterized.expand(
        [
            ("usual", 0.55 * LIMIT.rate_per_s, LIMIT.burst),
            ("as much as is allowed", LIMIT.rate_per_s, 0.0),
        ]
    )
    def test_level_after_steady_use(self, _name, tokens_per_s, level):
        """Guards against a burst that is granted anew at each change of the leader.

        An organisation that presses its limit had an empty bucket at the last leader,
        one that stays below it a full one.
        """
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        use = [tokens_per_s * USE_SLOT_S] * USE_SLOTS
        limits.apply_reported_use({"org": use}, 0.0)
        self.assertAlmostEqual(
            limits.level("org", 0.0), level, delta=USE_SLOT_S * LIMIT.rate_per_s
        )

    @parameterized.expand([(0.6,), (1.5,), (3.0,)])
    def test_leader_changes_again_and_again(self, term_s):
        """Guards against a burst that is granted anew at each change of the leader."""
        now, step_s, sync_s = 0.0, 0.01, 0.25
        use, admitted, cost = RecentTokenUse(), [], 50.0
        while now < 20.0:
            limits, begins_at, is_synced = TokenLimits(), now, False
            limits.set_limits({"org": LIMIT}, now)
            reported = use.slots(now)
            while now < begins_at + term_s:
                if not is_synced and now >= begins_at + sync_s:
                    limits.apply_reported_use(reported, now)
                    is_synced = True
                while limits.take("org", cost, now) == 0.0:
                    use.add("org", cost, now)
                    admitted.append((now, cost))
                now += step_s
        window_s = 8.0
        for start, _ in admitted:
            used = sum(t for at, t in admitted if start <= at < start + window_s)
            # The overage of the limit, and what a term begins with.
            bound = 1.1 * (LIMIT.burst + LIMIT.rate_per_s * window_s)
            self.assertLessEqual(used, bound + INITIAL_LEVEL_S * LIMIT.rate_per_s)

    def test_use_without_a_place_closes_the_bucket(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.charge("org", 5000.0, 0.0)
        self.assertEqual(limits.over_limit(0.0), [])
        limits.charge("org", 5000.0, 0.0)
        self.assertEqual(limits.over_limit(0.0), ["org"])

    def test_recent_use_ends(self):
        use = RecentTokenUse()
        use.add("org", 10.0, 0.0)
        use.add("org", 5.0, RECENT_USE_WINDOW_S)
        self.assertEqual(use.sums(RECENT_USE_WINDOW_S + 0.1), {"org": 5.0})
        self.assertEqual(use.sums(3 * RECENT_USE_WINDOW_S), {})


class ShareTest(unittest.TestCase):
    """A leader uses the part of a limit that belongs to the instances it hears."""

    def test_rate_and_burst(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.apply_reported_use({}, 0.0)
        limits.set_share(0.25, 0.0)
        self.assertEqual(limits.level("org", 0.0), 0.25 * LIMIT.burst)
        limits.take("org", LIMIT.burst, 0.0)
        level = limits.level("org", 0.0)
        self.assertEqual(limits.level("org", 1.0), level + 0.25 * LIMIT.rate_per_s)

    def test_greater_share_adds_no_tokens(self):
        """Guards against tokens of instances that are heard now and then."""
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.apply_reported_use({}, 0.0)
        for share in (0.5, 1.0, 0.5, 1.0):
            limits.set_share(share, 0.0)
        self.assertEqual(limits.level("org", 0.0), 0.5 * LIMIT.burst)

    def test_changed_limit_keeps_the_share(self):
        limits = TokenLimits()
        limits.set_limits({"org": LIMIT}, 0.0)
        limits.set_share(0.5, 0.0)
        limits.set_limits({"org": TokenLimit(4000.0, 4000.0)}, 0.0)
        level = limits.level("org", 0.0)
        self.assertEqual(limits.level("org", 0.1), level + 0.1 * 0.5 * 4000.0)

    def test_no_rate_stays_no_limit(self):
        limits = TokenLimits()
        limits.set_limits({"org": TokenLimit(0.0, 0.0)}, 0.0)
        limits.set_share(0.5, 0.0)
        self.assertEqual(limits.take("org", 1e9, 0.0), 0.0)


class ReportedUseTest(unittest.TestCase):
    """Recent use of all gateways, as they report it at the begin of a term."""

    def test_repeated_report_counts_once(self):
        """Guards against use that counts twice if the reply to a poll was lost."""
        reported = ReportedUse()
        for _ in range(3):
            reported.set("node-1", {"org": [10.0] * USE_SLOTS}, {})
        reported.set("node-2", {"org": [5.0] * USE_SLOTS}, {})
        self.assertEqual(reported.by_organisation(), {"org": [15.0] * USE_SLOTS})

    def test_report_of_an_earlier_build(self):
        reported = ReportedUse()
        reported.set("node-1", None, {"org": 100.0})
        self.assertEqual(sum(reported.by_organisation()["org"]), 100.0)
