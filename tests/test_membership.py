"""Tests of failure detection, view proposals and voting seats."""

import unittest

from parameterized import parameterized

from sequoiafall.membership import (
    JOIN_JITTER_S,
    MAX_SEATS,
    PROPOSAL_STAGGER_S,
    REJOIN_WITHOUT_MAJORITY_AFTER_S,
    SUSPECT_AFTER_S,
    Membership,
    SeatClaims,
    SeatRecovery,
)
from sequoiafall.wire.gen.ttypes import (
    Head,
    Member,
    MemberStatus,
    SeatClaim,
    StateReply,
    View,
)


def member(name: str, incarnation: int = 1) -> Member:
    """Return a member in zone z."""
    return Member(name, incarnation, "z", f"{name}:1", [])


def head_of(*names: str) -> Head:
    """Return a head whose view has the members."""
    return Head(7, View(7, [member(name) for name in names], 3), [])


def heard(membership: Membership, names: str, now: float) -> None:
    """Record messages of the named members."""
    for name in names:
        membership.on_heard(MemberStatus(name, 1, seat=""), now)


class ProposalTest(unittest.TestCase):
    """Only the right member may propose a view, and none that may be partitioned."""

    @parameterized.expand(
        [
            ("lowest_removes", "a", "b", 1.0, ["a", "b"]),
            ("next_waits", "b", "a", 1.0, None),
            ("next_steps_in", "b", "a", 1.0 + PROPOSAL_STAGGER_S, ["a", "b"]),
            ("too_early", "a", "b", 0.9, None),
            ("no_majority", "a", "", 1.0, None),
            ("observer", "x", "abc", 30.0, ["a", "b", "c", "x"]),
        ]
    )
    def test_silent_member(self, _name, own, others, now, expected):
        head = head_of("a", "b", "c")
        membership = Membership(member(own))
        membership.apply_view(head.view, 0.0)
        heard(membership, others, SUSPECT_AFTER_S)
        membership.suspected(head.view, SUSPECT_AFTER_S)
        heard(membership, others, now)
        proposal = membership.propose(head, now)
        names = [m.instance for m in proposal.members] if proposal else None
        self.assertEqual(names, expected)

    @parameterized.expand(
        [
            ("hears_nobody", "", 5.0, False),
            ("hears_one_of_two", "b", 5.0, False),
            ("hears_a_majority", "bc", 5.0, True),
            ("members_are_gone", "", REJOIN_WITHOUT_MAJORITY_AFTER_S, True),
        ]
    )
    def test_removed_process_joins_again(self, _name, others, after_s, joins):
        """Guards against endless view changes by a member cut off from its peers."""
        membership = Membership(member("a"))
        membership.apply_view(head_of("a", "b", "c").view, 0.0)
        view = View(8, [member("b"), member("c")], 7)
        membership.apply_view(view, 2.0)
        heard(membership, others, 2.0 + after_s)
        proposal = membership.propose(Head(8, view, []), 2.0 + after_s)
        self.assertEqual(proposal is not None, joins)

    def test_new_process_replaces_its_own_entry(self):
        membership = Membership(member("a", incarnation=2))
        head = head_of("a", "b")
        membership.apply_view(head.view, 0.0)
        proposal = membership.propose(head, 0.0)
        listed = {m.instance: m.incarnation for m in proposal.members}
        self.assertEqual(listed, {"a": 2, "b": 1})

    def test_full_view_accepts_no_more_members(self):
        head = head_of(*(f"m{n}" for n in range(MAX_SEATS)))
        membership = Membership(member("x"))
        membership.apply_view(head.view, 0.0)
        self.assertIsNone(membership.propose(head, 100.0))

    def test_observers_do_not_all_join_at_once(self):
        head = head_of(*(f"m{n}" for n in range(MAX_SEATS - 1)))
        starts = []
        for number in range(40):
            membership = Membership(member(f"x{number}"))
            membership.apply_view(head.view, 0.0)
            steps = [n * 0.1 for n in range(int(JOIN_JITTER_S * 10) + 1)]
            starts.append(next(t for t in steps if membership.propose(head, t)))
        self.assertGreater(len(set(starts)), 20)

    def test_leaving_member_proposes_a_view_without_itself(self):
        membership = Membership(member("a"))
        head = head_of("a", "b")
        proposal = membership.propose(head, 0.0, leaving=True)
        self.assertEqual([m.instance for m in proposal.members], ["b"])

    def test_message_of_an_earlier_process_is_ignored(self):
        membership = Membership(member("a"))
        status = MemberStatus("b", 5, seat="")
        self.assertTrue(membership.on_heard(status, 0.0))
        self.assertFalse(membership.on_heard(MemberStatus("b", 4, seat=""), 1.0))


class SeatTest(unittest.TestCase):
    """Two processes must never confirm for the same seat."""

    @parameterized.expand(
        [
            ("restart", "a", 2, "", True),
            ("older_process", "a", 0, "", False),
            ("non_member", "x", 9, "", False),
            ("successor", "x", 9, "a", True),
        ]
    )
    def test_claim_of_a_held_seat(
        self, _name, instance, incarnation, handed_over_by, granted
    ):
        claims = SeatClaims()
        self.assertTrue(claims.grant(SeatClaim("a", "a", 1, "")))
        claim = SeatClaim("a", instance, incarnation, handed_over_by)
        self.assertEqual(claims.grant(claim), granted)

    def test_previous_holder_does_not_get_the_seat_back(self):
        claims = SeatClaims()
        self.assertTrue(claims.grant(SeatClaim("a", "x", 9, "a")))
        self.assertFalse(claims.grant(SeatClaim("a", "a", 10, "")))
        self.assertEqual(claims.holder_of("a"), "x")

    def test_successor_of_a_holder_whose_claim_was_not_seen_gets_the_seat(self):
        """Guards against a peer that refuses the successor of a holder.

        A new peer did not grant the claim of that holder and knows it only from its
        heartbeats.
        """
        claims = SeatClaims()
        self.assertTrue(claims.grant(SeatClaim("a", "x", 9, "a")))
        claims.record_holder("a", "y", 10)
        self.assertFalse(claims.grant(SeatClaim("a", "z", 11, "x")))
        self.assertTrue(claims.grant(SeatClaim("a", "z", 11, "y")))

    @parameterized.expand(
        [
            ("majority_of_others", "bcd", "", True, True),
            ("too_few", "bc", "", True, False),
            ("peers_that_lost_state", "bcde", "", False, False),
            ("handed_over", "bc", "a", True, False),
            ("handed_over_majority", "bcd", "a", True, True),
            ("own_reply", "aab", "", True, False),
        ]
    )
    def test_recovery(self, _name, seats, handed_over_by, confirms, complete):
        head = head_of("a", "b", "c", "d", "e")
        recovery = SeatRecovery(
            SeatClaim("a", "x" if handed_over_by else "a", 2, handed_over_by)
        )
        for seat in seats:
            recovery.on_reply(
                StateReply(head, confirms=confirms, seat=seat, claim_granted=True)
            )
        self.assertEqual(recovery.is_complete(head, 7), complete)

    def test_recovery_needs_the_newest_head_among_the_replies(self):
        head = head_of("a", "b", "c")
        newer = Head(9, head.view, [])
        recovery = SeatRecovery(SeatClaim("a", "a", 2, ""))
        for seat, seen in (("b", newer), ("c", head)):
            recovery.on_reply(
                StateReply(seen, confirms=True, seat=seat, claim_granted=True)
            )
        self.assertFalse(recovery.is_complete(head, 9))
        self.assertTrue(recovery.is_complete(newer, 9))
