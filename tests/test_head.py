"""Tests of the freshness of the head and of when a change is in force."""

import math
import unittest

from parameterized import parameterized

from sequoiafall.head import (
    HEAD_MAX_AGE_S,
    HeadFreshness,
    InForceTracker,
    next_head,
    open_views,
)
from sequoiafall.wire.gen.ttypes import Head, Member, View


def view_of(revision: int, names: str, previous: int = 0) -> View:
    """Return a view with one member per letter."""
    members = [Member(name, 1, "z", f"{name}:1", []) for name in names]
    return View(revision, members, previous)


class FreshnessTest(unittest.TestCase):
    """Guards against an instance that acts on a head that may have been replaced."""

    def freshness(self, instance="a", names="abc"):
        freshness = HeadFreshness(instance)
        freshness.apply_head(Head(5, view_of(3, names), []), 0.0)
        freshness.recover()
        return freshness

    @parameterized.expand(
        [
            ("member_with_one_peer", "a", {"b": 10.0}, 12.0),
            ("member_alone", "a", {}, -math.inf),
            ("oldest_of_the_majority", "a", {"b": 10.0, "c": 11.0}, 13.0),
            ("observer_with_one_peer", "x", {"b": 10.0}, -math.inf),
            ("observer_with_two", "x", {"b": 10.0, "c": 11.0}, 12.0),
            ("non_member", "a", {"x": 10.0}, -math.inf),
        ]
    )
    def test_majority(self, _name, instance, asked_at_by_seat, expected):
        freshness = self.freshness(instance)
        for seat, asked_at in asked_at_by_seat.items():
            freshness.on_confirmation(seat, 5, asked_at)
        self.assertEqual(freshness.fresh_until(), expected)

    @parameterized.expand([("equal", 5, True), ("older", 4, True), ("newer", 6, False)])
    def test_revision_of_evidence(self, _name, revision, counts):
        by_peer, by_platform = self.freshness(), self.freshness()
        by_peer.on_confirmation("b", revision, 10.0)
        by_platform.on_platform_confirmation(revision, 10.0)
        for freshness in (by_peer, by_platform):
            self.assertEqual(freshness.is_fresh(10.0 + HEAD_MAX_AGE_S - 0.01), counts)
            self.assertFalse(freshness.is_fresh(10.0 + HEAD_MAX_AGE_S))
            self.assertEqual(freshness.is_behind(), not counts)

    def test_older_head_is_ignored(self):
        freshness = self.freshness()
        self.assertFalse(freshness.apply_head(Head(4, view_of(4, "x"), []), 1.0))
        self.assertEqual(freshness.revision, 5)

    def test_process_that_lost_its_state_neither_confirms_nor_counts_itself(self):
        freshness = HeadFreshness("a")
        freshness.apply_head(Head(5, view_of(3, "abc"), []), 0.0)
        freshness.on_confirmation("b", 5, 10.0)
        self.assertFalse(freshness.can_confirm())
        self.assertFalse(freshness.is_fresh(10.0))
        freshness.on_platform_confirmation(5, 10.0)
        self.assertTrue(freshness.can_confirm())

    def test_given_up_seat_no_longer_confirms(self):
        freshness = self.freshness()
        freshness.give_up_seats()
        self.assertFalse(freshness.can_confirm())

    def test_taken_seat_ends_with_a_new_process_of_its_member(self):
        freshness = self.freshness("x")
        freshness.take_seat(Member("b", 1, "z", "b:1", []))
        self.assertEqual(freshness.voting_seats(), ["b"])
        replaced = view_of(6, "ab")
        replaced.members[1].incarnation = 2
        freshness.apply_head(Head(6, replaced, []), 1.0)
        self.assertEqual(freshness.voting_seats(), [])


class InForceTest(unittest.TestCase):
    """A change is in force only when no instance can be fresh on an older head."""

    @parameterized.expand(
        [
            ("majority", "abc", "", {"a": 1.0, "b": 5.0}, 5.0),
            ("minority", "abc", "", {"a": 1.0}, math.inf),
            ("also_earlier_view", "abx", "abc", {"a": 1.0, "x": 2.0, "c": 9.0}, 9.0),
            ("without_earlier_view", "axy", "abc", {"a": 1, "x": 2, "y": 3}, math.inf),
            ("half_of_an_even_view", "abcd", "", {"a": 1.0, "b": 5.0}, 5.0),
            ("one_of_two", "ab", "", {"a": 1.0}, 1.0),
            ("less_than_half", "abcd", "", {"a": 1.0}, math.inf),
            ("before_commit_known", "abc", "", {"a": 0.0, "b": 0.0}, 0.5),
        ]
    )
    def test_in_force_time(
        self, _name, names, earlier, acknowledged_at_by_seat, decided_at
    ):
        tracker = InForceTracker()
        pending = [view_of(2, earlier)] if earlier else []
        tracker.on_commit(Head(5, view_of(5, names, 2), pending), 0.5)
        for seat, now in acknowledged_at_by_seat.items():
            tracker.on_acknowledgement(seat, 5, now)
        start = min(decided_at, 1000.0)
        self.assertEqual(tracker.in_force_revision(start + HEAD_MAX_AGE_S), 0)
        later = tracker.in_force_revision(start + HEAD_MAX_AGE_S * 1.02)
        self.assertEqual(later, 5 if decided_at < math.inf else 0)

    def test_later_revision_brings_earlier_ones_into_force(self):
        tracker = InForceTracker()
        for revision in (5, 6, 7):
            tracker.on_commit(Head(revision, view_of(1, "abc"), []), 0.0)
        for seat in "ab":
            tracker.on_acknowledgement(seat, 6, 1.0)
        self.assertEqual(tracker.in_force_revision(4.0), 6)
        tracker.on_acknowledgement("c", 7, 5.0)
        tracker.on_acknowledgement("b", 7, 5.0)
        self.assertEqual(tracker.in_force_revision(8.0), 7)

    def test_in_force_revision_from_another_instance(self):
        tracker = InForceTracker()
        tracker.on_commit(Head(5, view_of(1, "abc"), []), 0.0)
        tracker.record_in_force(5)
        self.assertEqual(tracker.in_force_revision(0.0), 5)


class PendingViewsTest(unittest.TestCase):
    """An earlier view must stay listed until its replacement is in force."""

    @parameterized.expand([(0, [1, 2]), (1, [1, 2]), (2, [2]), (3, [])])
    def test_next_head(self, in_force, pending):
        first, second, third = view_of(1, "a"), view_of(2, "ab", 1), view_of(3, "b", 2)
        head = Head(3, third, [first, second])
        successor = next_head(head, third, in_force)
        self.assertEqual([view.revision for view in successor.pending_views], pending)
        self.assertEqual(successor.revision, 4)
        still_open = [view.revision for view in open_views(head, in_force)]
        self.assertEqual(still_open, [3, *pending])
