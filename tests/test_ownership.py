"""Tests of rendezvous hashing and tenures."""

import unittest

from parameterized import parameterized

from sequoiafall.ownership import (
    GRANT_TTL_S,
    ORDER_TTL_S,
    OwnershipTracker,
    fencing_token_of,
    owner_of,
)
from sequoiafall.wire.gen.ttypes import Head, Member, View

RESOURCE = "organisation/a"
FRESH_UNTIL = 1e9


def members_of(names: str) -> list[Member]:
    """Return a member for each letter."""
    return [Member(name, 1, "z", f"{name}:1", []) for name in names]


def ranked_owners(resource: str, names: str) -> list[str]:
    """Return the names by descending rendezvous hash for the resource."""
    order, members = [], members_of(names)
    while members:
        owner = owner_of(resource, members)
        members.remove(owner)
        order.append(owner.instance)
    return order


class RendezvousTest(unittest.TestCase):
    """A leaving member must move only its own resources, and load must spread."""

    def test_leaving_member_moves_only_its_own(self):
        resources = [f"pool/{n}" for n in range(400)]
        before = {r: owner_of(r, members_of("abcde")).instance for r in resources}
        after = {r: owner_of(r, members_of("abde")).instance for r in resources}
        moved = [r for r in resources if before[r] != after[r]]
        self.assertEqual(moved, [r for r in resources if before[r] == "c"])
        self.assertGreater(len(moved), 40)
        self.assertLess(len(moved), 140)

    def test_no_members(self):
        self.assertIsNone(owner_of(RESOURCE, []))


class TenureTest(unittest.TestCase):
    """An owner must wait for its predecessor unless it received its state."""

    def setUp(self):
        self.old, self.new = ranked_owners(RESOURCE, "ab")[::-1]
        self.view1 = View(1, members_of(self.old), 0)
        self.view2 = View(2, members_of("ab"), 1)

    def tracker(self, instance, incarnation=1):
        tracker = OwnershipTracker(instance, incarnation, 0.0)
        tracker.apply_resources([RESOURCE, "pool/p"], 0.0)
        return tracker

    def acting_tracker(self, resource=RESOURCE, instance=None):
        """Return a tracker that acts under the first view."""
        tracker = self.tracker(instance or self.old)
        tracker.apply_head(Head(1, self.view1, []), 0.0, 0.0)
        tracker.on_in_force(1, 2.0)
        self.assertTrue(tracker.may_act(resource, 2.0 + ORDER_TTL_S, FRESH_UNTIL))
        return tracker

    def test_in_force_known_before_the_first_view_is_held(self):
        """Guards against a new process that never acts for a seat it takes over.

        The revision was known to be in force before the view was received.
        """
        tracker = self.tracker(self.new)
        tracker.on_in_force(1, 5.0)
        tracker.apply_head(Head(1, self.view1, []), 6.0, 0.0)
        tracker.take_seat(self.old, 9.0)
        # The previous holder may have issued grants until then.
        self.assertFalse(tracker.may_act(RESOURCE, 9.0 + GRANT_TTL_S / 2, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(RESOURCE, 9.0 + GRANT_TTL_S, FRESH_UNTIL))

    def test_restarted_process_does_not_act_by_an_old_listing(self):
        """The earlier process may have handed over the seat, so it must be claimed."""
        tracker = self.tracker(self.old, incarnation=2000)
        tracker.apply_head(Head(1, self.view1, []), 0.0, 0.0)
        tracker.on_in_force(1, 2.0)
        self.assertFalse(tracker.may_act(RESOURCE, 50.0, FRESH_UNTIL))
        listed = View(2, [Member(self.old, 2000, "z", "a:1", [])], 1)
        tracker.apply_head(Head(2, listed, [self.view1]), 50.0, FRESH_UNTIL)
        self.assertFalse(tracker.may_act(RESOURCE, 60.0, FRESH_UNTIL))
        tracker.on_in_force(2, 60.0)
        self.assertFalse(tracker.may_act(RESOURCE, 60.0 + GRANT_TTL_S / 2, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(RESOURCE, 60.0 + GRANT_TTL_S, FRESH_UNTIL))

    def test_in_force_known_before_a_later_view_is_held(self):
        """Guards against an owner that measures its wait from an earlier view."""
        tracker = self.tracker(self.new)
        tracker.apply_head(Head(1, self.view1, []), 0.0, 0.0)
        tracker.on_in_force(1, 2.0)
        tracker.on_in_force(2, 20.0)
        tracker.apply_head(Head(2, self.view2, []), 21.0, 0.0)
        self.assertFalse(tracker.may_act(RESOURCE, 21.0 + GRANT_TTL_S / 2, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(RESOURCE, 21.0 + GRANT_TTL_S, FRESH_UNTIL))

    @parameterized.expand([(RESOURCE, GRANT_TTL_S), ("pool/p", ORDER_TTL_S)])
    def test_waits_after_in_force(self, resource, life):
        tracker = self.tracker(self.old)
        tracker.apply_head(Head(1, self.view1, []), 0.0, 0.0)
        self.assertFalse(tracker.may_act(resource, 100.0, FRESH_UNTIL))
        tracker.on_in_force(1, 100.0)
        self.assertFalse(tracker.may_act(resource, 100.0 + life - 0.01, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(resource, 100.0 + life, FRESH_UNTIL))
        self.assertFalse(tracker.may_act(resource, 200.0, 199.0))

    @parameterized.expand(
        [
            ("predecessor", 1, 10.0, True, True),
            ("other_view", 0, 10.0, False, False),
            ("too_late", 1, 12.0, False, True),
        ]
    )
    def test_state_of_the_predecessor(self, _name, last_view, now, accepted, acts):
        tracker = self.tracker(self.new)
        tracker.apply_head(Head(2, self.view2, [self.view1]), 9.0, 0.0)
        tracker.on_in_force(2, 10.0)
        self.assertEqual(tracker.on_handover(RESOURCE, last_view, now), accepted)
        self.assertEqual(tracker.may_act(RESOURCE, now, FRESH_UNTIL), acts)
        self.assertFalse(tracker.on_handover(RESOURCE, last_view, now))

    def test_restarted_owner_refuses_the_state_of_the_owner_before(self):
        """The earlier process may have acted since then, so the state is stale."""
        tracker = self.tracker(self.new, incarnation=2000)
        tracker.apply_head(Head(2, self.view2, [self.view1]), 9.0, 0.0)
        tracker.on_in_force(2, 9.5)
        tracker.take_seat(self.new, 10.0)
        self.assertFalse(tracker.on_handover(RESOURCE, 1, 10.5))
        self.assertFalse(tracker.may_act(RESOURCE, 10.5, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(RESOURCE, 11.0, FRESH_UNTIL))

    def test_state_that_arrives_before_in_force(self):
        tracker = self.tracker(self.new)
        tracker.apply_head(Head(2, self.view2, [self.view1]), 9.0, 0.0)
        self.assertTrue(tracker.on_handover(RESOURCE, 1, 9.5))
        self.assertFalse(tracker.may_act(RESOURCE, 9.9, FRESH_UNTIL))
        tracker.on_in_force(2, 10.0)
        self.assertTrue(tracker.may_act(RESOURCE, 10.0, FRESH_UNTIL))

    def test_previous_owner_acts_to_the_end_of_its_evidence(self):
        tracker = self.acting_tracker()
        token = tracker.fencing_token(RESOURCE)
        tracker.apply_head(Head(2, self.view2, [self.view1]), 10.0, 11.5)
        self.assertTrue(tracker.may_act(RESOURCE, 11.4, 0.0))
        self.assertEqual(tracker.fencing_token(RESOURCE), token)
        self.assertEqual(tracker.handovers(11.4), [])
        self.assertFalse(tracker.may_act(RESOURCE, 11.5, FRESH_UNTIL))
        due = {h.resource: h for h in tracker.handovers(11.5)}
        handover = due[RESOURCE]
        self.assertEqual(handover.to.instance, self.new)
        self.assertEqual(handover.last_view_revision, 1)
        self.assertEqual(tracker.handovers(12.0), [])

    def test_tenure_continues_over_an_adjacent_view(self):
        tracker = self.acting_tracker(instance=self.old)
        view = View(2, members_of(self.old), 1)
        tracker.apply_head(Head(2, view, []), 10.0, FRESH_UNTIL)
        self.assertTrue(tracker.may_act(RESOURCE, 10.0, FRESH_UNTIL))

    def test_tenure_ends_over_a_missed_view(self):
        tracker = self.acting_tracker()
        view = View(5, members_of(self.old), 4)
        tracker.apply_head(Head(6, view, []), 10.0, 10.0)
        self.assertFalse(tracker.may_act(RESOURCE, 10.0, FRESH_UNTIL))
        tracker.handovers(10.0)
        tracker.on_in_force(6, 12.0)
        self.assertFalse(tracker.may_act(RESOURCE, 12.5, FRESH_UNTIL))
        self.assertTrue(tracker.may_act(RESOURCE, 13.0, FRESH_UNTIL))

    def test_missed_view_that_is_pending_is_no_gap(self):
        tracker = self.acting_tracker()
        missed = View(2, members_of(self.old), 1)
        head = Head(3, View(3, members_of(self.old), 2), [self.view1, missed])
        tracker.apply_head(head, 10.0, FRESH_UNTIL)
        self.assertTrue(tracker.may_act(RESOURCE, 10.0, FRESH_UNTIL))

    def test_tokens_grow_over_views_and_restarts(self):
        tokens = [fencing_token_of(r, age) for r in (1, 2, 3) for age in (0, 1, 5)]
        self.assertEqual(tokens, sorted(set(tokens)))
        listed, restarted = self.tracker(self.old), self.tracker(self.old, 2000)
        for tracker in (listed, restarted):
            tracker.apply_head(Head(1, self.view1, []), 0.0, 0.0)
        restarted.take_seat(self.old, 1.0)
        self.assertGreater(
            restarted.fencing_token(RESOURCE), listed.fencing_token(RESOURCE)
        )
