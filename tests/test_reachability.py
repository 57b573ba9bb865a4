"""Tests of the decision which servers of plain services get calls."""

import unittest

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.reachability import INITIAL_PAUSE_S, PAUSE_LIMIT_S, Reachability


def entry(name, address="10.0.0.1:80", born=1, service="desk"):
    """Return the entry of a plain server."""
    return BackendEntry(name, service, address, "z1", 6, False, born)


SOUND, SILENT, NEW = entry("sound"), entry("silent"), entry("new")
ALL = [SOUND, SILENT, NEW]


class ReachabilityTest(unittest.TestCase):
    """Calls do not find out, one by one, which entries lead nowhere."""

    def setUp(self):
        self.reachability = Reachability()
        self.assertEqual(self.reachability.usable(ALL), ALL)

    def check(self, server, is_reached, now):
        self.reachability.begin_check(server)
        return self.reachability.end_check(server, is_reached, now)

    def test_before_any_check(self):
        """An instance that has just started must not refuse calls meanwhile."""
        self.assertEqual(self.reachability.due(ALL, 0.0), ALL)

    def test_calls_wait_for_the_first_check_only(self):
        """Calls of an instance that has just started went to entries that lie."""
        self.assertTrue(self.reachability.awaits_check(ALL))
        self.check(SILENT, False, 0.0)
        self.assertTrue(self.reachability.awaits_check(ALL))
        self.check(SOUND, True, 0.0)
        self.assertFalse(self.reachability.awaits_check(ALL))
        # One that is cut off from all servers does not wait.
        self.assertFalse(self.reachability.awaits_check([SILENT]))
        self.assertFalse(self.reachability.awaits_check([]))

    def test_servers_that_a_check_has_reached_are_used_alone(self):
        self.check(SOUND, True, 0.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND])
        self.check(NEW, True, 0.1)
        self.assertEqual(self.reachability.usable(ALL), [SOUND, NEW])
        self.assertEqual(self.reachability.due(ALL, 60.0), [SILENT])

    def test_servers_that_have_not_failed_before_those_that_have(self):
        self.check(SILENT, False, 0.0)
        self.assertEqual(self.reachability.usable(ALL), [SOUND, NEW])

    def test_call_that_is_not_answered_after_a_check(self):
        """A process that accepts connections may still not be the server."""
        self.check(SILENT, True, 0.0)
        self.check(SOUND, True, 0.0)
        self.assertTrue(self.reachability.on_end(SILENT, False, 1.0))
        self.assertEqual(self.reachability.usable(ALL), [SOUND])

    def test_server_that_has_responded_stays(self):
        """A crash is for `PlainRouting`, which tries the server again by calls."""
        self.reachability.on_end(SOUND, True, 0.0)
        self.assertFalse(self.reachability.on_end(SOUND, False, 1.0))
        self.assertEqual(self.reachability.usable(ALL), [SOUND])
        self.assertNotIn(SOUND, self.reachability.due(ALL, 60.0))

    def test_no_server_is_reached(self):
        """An instance that is cut off from all servers goes on trying."""
        for server in ALL:
            self.check(server, False, 0.0)
        self.assertEqual(self.reachability.usable(ALL), ALL)
        self.assertEqual(self.reachability.usable([]), [])

    def test_first_server_that_is_reached_again(self):
        """After a cut from all servers, one of them must not get all calls."""
        for number in range(10):
            for server in ALL:
                self.check(server, False, 30.0 * number)
        self.assertEqual(self.reachability.due(ALL, 271.0), [])
        self.check(SOUND, True, 271.0)
        self.assertEqual(self.reachability.due(ALL, 271.0), [SILENT, NEW])

    def test_calls_that_fail_together_count_once(self):
        for number in range(10):
            self.reachability.on_end(SOUND, False, 1.0 + 0.01 * number)
        self.assertEqual(self.reachability.due([SOUND], 1.0 + INITIAL_PAUSE_S), [SOUND])

    def test_one_check_at_a_time(self):
        self.reachability.begin_check(SOUND)
        self.assertEqual(self.reachability.due([SOUND], 99.0), [])
        self.assertIsNone(self.reachability.next_check_at([SOUND]))

    def test_longest_pause(self):
        for _ in range(2000):
            now = self.reachability.next_check_at([SILENT])
            self.check(SILENT, False, now)
        next_at = self.reachability.next_check_at([SILENT])
        self.assertAlmostEqual(next_at - now, PAUSE_LIMIT_S)

    def test_entries_that_change_all_the_time(self):
        """Each new start is due at once, and must not come before a sound server."""
        for born in range(2, 50):
            changed = entry("silent", born=born)
            due = self.reachability.due([changed, SOUND], float(born))
            if born > 2:
                self.assertEqual(due, [SOUND, changed])
            self.check(changed, False, float(born))

    @parameterized.expand(
        [("address", {"address": "10.0.0.2:80"}), ("start", {"born": 2})]
    )
    def test_new_start(self, _name, changes):
        """A server that starts again is checked at once."""
        self.check(SILENT, False, 0.0)
        self.assertEqual(self.reachability.due([SILENT], 0.1), [])
        started = entry("silent", **changes)
        self.assertEqual(self.reachability.due([started], 0.1), [started])

    def test_call_of_an_earlier_start(self):
        """The end of a call says nothing about a later start of its server."""
        started = entry("sound", born=2)
        self.reachability.usable([started])
        self.check(started, True, 0.0)
        self.assertFalse(self.reachability.on_end(SOUND, False, 0.1))
        self.reachability.on_wrong_server(SOUND, 0.1)
        self.assertEqual(self.reachability.usable([started, NEW]), [started])

    def test_another_server_at_the_address_of_one_that_responded(self):
        self.reachability.on_end(SOUND, True, 0.0)
        self.reachability.on_wrong_server(SOUND, 1.0)
        self.assertEqual(self.reachability.usable([SOUND, NEW]), [NEW])

    def test_servers_that_are_gone_are_forgotten(self):
        self.check(SILENT, False, 0.0)
        self.reachability.keep({"sound"})
        self.assertEqual(self.reachability.due([SILENT], 0.1), [SILENT])
