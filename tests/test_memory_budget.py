"""Budgets of bytes, and the closing of late connections on a virtual clock."""

import unittest

from parameterized import parameterized

from sequoiafall.caller_limits import CallerLimits
from sequoiafall.connection_guard import MIN_CONNECTIONS, ConnectionGuard
from sequoiafall.memory_budget import LARGEST_BYTES, SHORT_BYTES, MemoryBudget


class BudgetTest(unittest.TestCase):
    """Bytes that bodies and answers take together."""

    @parameterized.expand([(0.0,), (70.0,), (100.0,), (222.0,)])
    def test_largest_message_fits_on_every_machine(self, memory_mb):
        """Guards against limits that refuse a single legal body."""
        budget = MemoryBudget.for_bodies(memory_mb)
        self.assertTrue(budget.try_take(0, LARGEST_BYTES))

    def test_short_messages_beside_a_crowd_of_large_ones(self):
        """Guards against large bodies that starve ordinary callers."""
        budget = MemoryBudget.for_bodies(100.0)
        while budget.try_take(0, LARGEST_BYTES):
            pass
        while budget.try_take(0, SHORT_BYTES + 1):
            pass
        self.assertTrue(budget.is_short)
        self.assertTrue(budget.try_take(0, SHORT_BYTES))

    def test_all_is_given_back(self):
        """Guards against a budget that shrinks by rounding."""
        budget = MemoryBudget.for_bodies(100.0)
        for size in (1, 2, 3, 65_537, 1_000_001):
            held = 0
            for more in (size, 7, size):
                self.assertTrue(budget.try_take(held, more))
                held += more
            budget.give_back(held)
        self.assertEqual(budget.used_bytes, 0)


class _Connection:
    """Connection in a given state."""

    def __init__(self, state="idle", is_used=True):
        self.state = state
        self.is_used = is_used
        self.body_bytes = self.unsent_bytes = 0
        self.marks = ("", 0, 0)
        self.since = self.progress_at = 0.0
        self.ends = []

    @property
    def has_open_body(self):
        return self.state == "body"

    def refuse(self, reason, _response=b""):
        self.ends.append(reason)

    abort = refuse

    def fail_body(self, error):
        self.ends.append(type(error).__name__)


class GuardTest(unittest.TestCase):
    """Which connections are closed, and when."""

    def setUp(self):
        self.is_short = False
        self.guard = ConnectionGuard(0, CallerLimits, lambda: self.is_short)

    def run_checks(self, first_s, last_s):
        for tick in range(int(first_s * 2), int(last_s * 2) + 1):
            self.guard.check(tick / 2)

    def add(self, count=1, **fields):
        rows = [_Connection(**fields) for _ in range(count)]
        for row in rows:
            self.guard.add(row)
        return rows

    @parameterized.expand(
        [
            ("head", False, 5.0, []),
            ("head", False, 8.0, ["head_stalled"]),
            ("body", False, 14.0, []),
            ("body", False, 17.0, ["StalledBodyError"]),
            ("body", True, 8.0, ["StalledBodyError"]),
            ("idle", True, 60.0, []),
            ("busy", True, 60.0, []),
        ]
    )
    def test_late_callers(self, state, is_short, seconds, ends):
        """Guards against callers that stay for ever, and limits that are too short."""
        self.is_short = is_short
        self.guard.check(0.0)
        (row,) = self.add(state=state)
        self.run_checks(0.5, seconds)
        self.assertEqual(row.ends[:1], ends)

    def test_pause_of_the_process(self):
        """Guards against callers that count as late because the process stood still."""
        self.guard.check(0.0)
        (row,) = self.add(state="body")
        self.guard.check(0.5)
        self.guard.check(100.0)
        self.assertEqual(row.ends, [])

    def test_new_connection_replaces_one_without_a_request(self):
        """Guards against idle connections that keep ordinary callers out."""
        rows = self.add(MIN_CONNECTIONS - 1, state="busy")
        (unused,) = self.add(is_used=False)
        (new,) = self.add()
        self.assertEqual(unused.ends, ["connection_replaced"])
        self.assertEqual([row.ends for row in [*rows, new]], [[]] * MIN_CONNECTIONS)

    @parameterized.expand([(10.0, True), (20.0, False)])
    def test_kept_connections_stay_for_the_idle_timeout(self, seconds, is_kept):
        self.guard.check(0.0)
        rows = self.add(MIN_CONNECTIONS)
        self.run_checks(0.5, seconds)
        (new,) = self.add()
        self.assertEqual(new.ends, ["connection_refused"] if is_kept else [])
        replaced = [] if is_kept else ["connection_replaced"]
        self.assertEqual(rows[0].ends, replaced)
