"""Tests of decayed demand counts, replica counts and eviction policies."""

import unittest

from parameterized import parameterized

from sequoiafall.placement import (
    DEMAND_HALF_LIFE_S,
    ClairvoyantEviction,
    DecayedCounts,
    DecayedFrequencyEviction,
    EvictionCandidate,
    LeastRecentlyUsedEviction,
    desired_replicas,
)

A, B, C = ("a", "1"), ("b", "1"), ("c", "1")
NOW = 100.0


def candidates():
    """Return A, which was used last, and B, which was loaded last."""
    return [
        EvictionCandidate(A, loaded_at=10.0, used_at=90.0, replicas=1),
        EvictionCandidate(B, loaded_at=20.0, used_at=30.0, replicas=1),
    ]


def demand(**counts):
    """Return decayed counts of adapters, all added at `NOW`."""
    counted = DecayedCounts()
    for name, count in counts.items():
        counted.add((name, "1"), count, NOW)
    return counted


class DecayedCountsTest(unittest.TestCase):
    """Old demand must not outweigh current demand."""

    def test_halves(self):
        counts = DecayedCounts()
        counts.add("x", 8.0, 0.0)
        self.assertAlmostEqual(counts.get("x", 2 * DEMAND_HALF_LIFE_S), 2.0)

    def test_rate(self):
        """Guards against replica counts that are computed from a wrong rate."""
        counts = DecayedCounts(half_life_s=10.0)
        for step in range(1000):
            counts.add("x", 1.0, step * 0.1)
        self.assertAlmostEqual(counts.rate_per_s("x", 100.0), 10.0, delta=0.5)

    def test_idle_entries_are_forgotten(self):
        """Guards against memory use that grows with every adapter ever used."""
        counts = DecayedCounts(half_life_s=1.0)
        for step in range(20_000):
            counts.add(step, 1.0, step * 0.1)
        self.assertLess(len(counts._counts), 8192)


class EvictionTest(unittest.TestCase):
    """Each policy must evict the adapter that its rule selects."""

    @parameterized.expand(
        [
            ("frequency", DecayedFrequencyEviction(demand(a=1, b=5)), A),
            ("recency", LeastRecentlyUsedEviction(), B),
            ("clairvoyant", ClairvoyantEviction({A: [50, 120], B: [110]}), A),
            ("never_again", ClairvoyantEviction({A: [120], B: [90]}), B),
        ]
    )
    def test_victim(self, _name, policy, expected):
        self.assertEqual(policy.victim(candidates(), NOW).key, expected)

    def test_replicas_share_demand(self):
        """Guards against keeping idle replicas of a popular adapter."""
        policy = DecayedFrequencyEviction(demand(a=10, b=4))
        many = EvictionCandidate(A, 10.0, 90.0, replicas=5)
        self.assertEqual(policy.victim([many, candidates()[1]], NOW).key, A)

    @parameterized.expand([("more", 20, True), ("alike", 9, False)])
    def test_replica_needs_hysteresis(self, _name, requests, expected):
        """Guards against two adapters that keep evicting each other."""
        policy = DecayedFrequencyEviction(demand(b=4, c=requests))
        victim = candidates()[1]
        self.assertEqual(policy.allows_replica(victim, C, 1, NOW), expected)

    @parameterized.expand(
        [
            ("idle", 0.0, 1.0, 1),
            ("proportional", 16.0, 1.0, 4),
            ("longer_answers", 8.0, 4.0, 8),
            ("no_more_than_servers", 500.0, 1.0, 9),
        ]
    )
    def test_desired_replicas(self, _name, rate, seconds, expected):
        self.assertEqual(desired_replicas(rate, seconds, 8, 9), expected)
