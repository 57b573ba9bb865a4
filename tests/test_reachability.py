"""Tests of the decision which servers of plain services get requests."""

import unittest

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.reachability import (
    INITIAL_PAUSE_S,
    KNOWN_PAUSE_LIMIT_S,
    UNKNOWN_PAUSE_LIMIT_S,
    Reachability,
)


def entry(name, address="10.0.0.1:80", born=1):
    """Return the entry of a plain server."""
    return BackendEntry(name, "desk", address, "z1", 6, False, born)


SOUND, SILENT, NEW = entry("sound"), entry("silent"), entry("new")
ALL = [SOUND, SILENT, NEW]


class ReachabilityTest(unittest.TestCase):
    """Requests go to servers that a connection has reached."""

    def setUp(self):
        self.reachability = Reachability()

    def check(self, server, is_reached, now):
        self.reachability.begin_check(server)
        return self.reachability.end_check(server, is_reached, now)

    def test_before_any_check(self):
        """An instance that has just started must not refuse calls meanwhile."""
        self.assertEqual(self.reachability.usable(ALL), ALL)
        self.assertEqual(self.reachability.due(ALL, 0.0), ALL)

    def test_reached_servers_are_used_alone(self):
        self.check(SOUND, True, 0.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND])

    def test_untried_servers_before_those_that_were_not_reached(self):
        self.check(SILENT, False, 0.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND, NEW])

    def test_no_server_was_reached(self):
        """An instance that is cut off from all servers goes on trying."""
        for server in ALL:
            self.check(server, False, 0.0)
        self.assertEqual(self.reachability.usable(ALL), ALL)
        self.assertEqual(self.reachability.usable([]), [])

    def test_server_that_is_lost_and_back(self):
        """Checks bring a crashed server back, not the calls of callers."""
        self.check(SOUND, True, 0.0)
        self.check(NEW, True, 0.0)
        self.reachability.on_end(SOUND, True, 1.0)
        self.reachability.on_end(SOUND, False, 2.0)
        self.assertEqual(self.reachability.usable(ALL), [NEW])
        self.assertNotIn(SOUND, self.reachability.due(ALL, 2.0))
        at = 2.0 + INITIAL_PAUSE_S
        self.assertEqual(self.reachability.due(ALL, at)[0], SOUND)
        self.check(SOUND, True, at)
        self.assertEqual(self.reachability.usable(ALL), [SOUND, NEW])

    def test_calls_that_fail_together_count_once(self):
        for number in range(10):
            self.reachability.on_end(SOUND, False, 1.0 + 0.01 * number)
        self.assertEqual(self.reachability.due([SOUND], 1.0 + INITIAL_PAUSE_S), [SOUND])

    def test_one_check_at_a_time(self):
        self.reachability.begin_check(SOUND)
        self.assertEqual(self.reachability.due([SOUND], 99.0), [])
        self.assertIsNone(self.reachability.next_check_at([SOUND]))

    @parameterized.expand([(True, KNOWN_PAUSE_LIMIT_S), (False, UNKNOWN_PAUSE_LIMIT_S)])
    def test_longest_pause(self, has_responded, limit_s):
        if has_responded:
            self.reachability.on_end(SILENT, True, 0.0)
        now = 0.0
        for _ in range(2000):
            self.check(SILENT, False, now)
            now = self.reachability.next_check_at([SILENT])
        self.check(SILENT, False, now)
        next_at = self.reachability.next_check_at([SILENT])
        self.assertAlmostEqual(next_at - now, limit_s)

    def test_servers_that_have_responded_are_checked_first(self):
        """Many entries that lead nowhere must not delay the check of a sound server."""
        self.reachability.on_end(SOUND, True, 0.0)
        self.reachability.on_end(SOUND, False, 0.0)
        self.check(SILENT, False, 0.0)
        due = self.reachability.due([SILENT, NEW, SOUND], 60.0)
        self.assertEqual(due, [SOUND, NEW, SILENT])

    @parameterized.expand(
        [("address", {"address": "10.0.0.2:80"}), ("start", {"born": 2})]
    )
    def test_new_start(self, _name, changes):
        """A server that starts again is checked at once."""
        self.check(SILENT, False, 0.0)
        self.assertEqual(self.reachability.due([SILENT], 0.1), [])
        started = entry("silent", **changes)
        self.assertEqual(self.reachability.due([started], 0.1), [started])

    def test_another_server_at_an_address(self):
        """Entries of the same kind are asked who they are, instead of called."""
        for server in ALL:
            self.check(server, True, 0.0)
        self.reachability.on_end(SOUND, True, 1.0)
        self.assertFalse(self.reachability.needs_identity(SILENT))
        self.reachability.on_wrong_server(SILENT, 1.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND])
        self.assertEqual(self.reachability.due(ALL, 1.0), [NEW])
        asked = [row for row in ALL if self.reachability.needs_identity(row)]
        self.assertEqual(asked, [SILENT, NEW])
        self.check(NEW, True, 1.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND, NEW])

    def test_server_that_responded_and_another_one_at_its_address(self):
        self.reachability.on_end(SOUND, True, 0.0)
        self.reachability.on_wrong_server(SOUND, 1.0)
        self.assertEqual(self.reachability.usable([SOUND, NEW]), [NEW])

    def test_servers_that_are_gone_are_forgotten(self):
        self.check(SILENT, False, 0.0)
        self.reachability.keep({"sound"})
        self.assertEqual(self.reachability.due([SILENT], 0.0), [SILENT])
