"""Unit tests of the members that a leader hears."""

import unittest
from types import SimpleNamespace

from parameterized import parameterized

from sequoiafall.leader_link import LEADER_SILENCE_POLLS
from sequoiafall.leader_standing import ALONE_LIMIT_S, Standing, find_standing
from sequoiafall.member_register import (
    MEMBER_GONE_S,
    MemberRegister,
    poll_interval_s,
)

MEMBERS = ("node-1", "node-2", "node-3", "node-4")
OWN = MEMBERS[0]


def member(instance, leaving=False):
    """Return a member as it polls."""
    return SimpleNamespace(
        instance=instance,
        incarnation=1,
        zone="z1",
        front_address="",
        peer_address="",
        ready=True,
        leaving=leaving,
        capacity_percent=100,
    )


class LimitShareTest(unittest.TestCase):
    """A leader grants the limits of the instances that follow it.

    Guards against two leaders, or a leader and instances that it does not hear, that
    all use the whole of a limit.
    """

    def setUp(self):
        self.register = MemberRegister(OWN, (), (), 0.0)
        self.poll(MEMBERS, 0.0)

    def poll(self, names, now, **changes):
        for name in names:
            self.register.record(member(name, **changes), now)

    def share(self, now, keeps_silent=False):
        self.register.expire(now, keeps_silent)
        return self.register.limit_share(now)

    def test_all_poll(self):
        self.assertEqual(self.share(0.5), 1.0)

    def test_leader_is_cut_off(self):
        """It keeps its own part only, for as long as it does not reach the store."""
        for now in (1.5, MEMBER_GONE_S + 1.0, 10 * MEMBER_GONE_S):
            self.assertEqual(self.share(now, keeps_silent=True), 0.25)

    def test_members_are_cut_off(self):
        """Their part is kept for them as long as they may use it."""
        for tenths in range(int(10 * MEMBER_GONE_S)):
            self.poll(MEMBERS[:2], tenths / 10)
            if tenths > 10:
                self.assertEqual(self.share(tenths / 10), 0.5)
        self.poll(MEMBERS[:2], MEMBER_GONE_S + 0.5)
        self.assertEqual(self.share(MEMBER_GONE_S + 0.5), 1.0)
        self.assertLess(ALONE_LIMIT_S, MEMBER_GONE_S)

    def test_members_that_leave(self):
        """They said so, and are not waited for."""
        self.poll(MEMBERS[2:], 1.0, leaving=True)
        self.poll(MEMBERS[:2], 1.5)
        self.assertEqual(self.share(1.5), 1.0)

    def test_member_is_back(self):
        self.poll(MEMBERS[1:3], 4.0)
        self.assertEqual(self.share(4.0), 0.75)
        self.poll(MEMBERS[1:], 5.0)
        self.assertEqual(self.share(5.0), 1.0)

    def test_new_leader_waits_for_the_members_that_it_knew(self):
        register = MemberRegister(OWN, MEMBERS, (), 0.0)
        self.assertEqual(register.limit_share(0.0), 1.0)
        self.assertEqual(register.limit_share(2.5), 0.25)
        register.record(member(MEMBERS[1]), 2.5)
        self.assertEqual(register.limit_share(2.5), 0.5)

    def test_leader_that_was_lost(self):
        """Guards against its part, which it uses until it knows of the new leader."""
        register = MemberRegister(OWN, MEMBERS, MEMBERS[3:], 0.0)
        self.assertEqual(register.limit_share(0.0), 0.75)
        register.record(member(MEMBERS[3]), 0.1)
        self.assertEqual(register.limit_share(0.1), 1.0)

    @parameterized.expand([(4,), (118,)])
    def test_member_uses_its_part_when_the_leader_ceases_to(self, members):
        """Guards against the time in which both use it."""
        register = MemberRegister(OWN, (), (), 0.0)
        for number in range(members):
            register.record(member(f"node-{number}"), 0.0)
        silence_s = LEADER_SILENCE_POLLS * poll_interval_s(members)
        self.assertEqual(register.limit_share(silence_s - 0.01), 1.0)
        self.assertLess(register.limit_share(silence_s + 0.01), 0.5)

    def test_only_instance(self):
        self.assertEqual(MemberRegister(OWN, (), (), 0.0).limit_share(100.0), 1.0)

    def test_members_are_told_who_may_serve(self):
        """Instances without a leader divide the limits by the same number."""
        self.poll(MEMBERS[:2], 3.0)
        self.register.expire(4.0)
        told = {row.instance: row for row in self.register.since(0)}
        self.assertEqual(
            {name for name, row in told.items() if row.leaving}, set(MEMBERS[2:])
        )
        self.assertTrue(all(told[name].is_silent for name in MEMBERS[2:]))
        before = self.register.revision
        self.register.expire(MEMBER_GONE_S + 1.0)
        told = {row.instance: row for row in self.register.since(before)}
        self.assertFalse(told[MEMBERS[2]].is_silent)

    def test_own_instance_is_never_silent(self):
        """Guards against a leader that waits for the store and is taken for lost."""
        self.poll(MEMBERS[1:], 30.0)
        self.register.expire(30.0)
        self.assertIn(OWN, [row.instance for row in self.register.live()])


class StandingTest(unittest.TestCase):
    """What a leader without the store may do."""

    @parameterized.expand(
        [
            ("only instance", 1, 1, Standing.UNITED),
            ("all are heard", 3, 3, Standing.UNITED),
            ("some are heard", 2, 3, Standing.DIVIDED),
            ("nobody is heard", 1, 3, Standing.ALONE),
        ]
    )
    def test_standing(self, _name, heard, serving, expected):
        standing = find_standing(heard, serving)
        self.assertIs(standing, expected)
        self.assertEqual(standing.knows_servers, expected is Standing.UNITED)
