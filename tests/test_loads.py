"""Tests of the load planner."""

import unittest

from parameterized import parameterized

from sequoiafall.load_budget import LoadLimits
from sequoiafall.loads import BACK_OFF_LIMIT_S, LoadPlanner

A, B, C = ("a", "1"), ("b", "1"), ("c", "1")


def planner(**limits):
    """Return a planner with the given limits; the others are generous."""
    defaults = {"rate_per_s": 100.0, "burst": 100.0, "max_in_transit": 100}
    return LoadPlanner(LoadLimits(**{**defaults, **limits}), 0.0)


def start(plan, key, now=0.0, server="s"):
    """Add a wanted load and start it."""
    plan.want(key, "o", 1.0, now)
    plan.start(server, plan.wanted_by_key[key, ""], now)


class LoadPlannerTest(unittest.TestCase):
    """Loads respect the weight store's limits and start in order of urgency."""

    @parameterized.expand(
        [
            ("in_transit", {"max_in_transit": 2}, 2, 9.0, False),
            ("rate", {"rate_per_s": 1.0, "burst": 2.0}, 2, 0.5, False),
            ("rate_refilled", {"rate_per_s": 1.0, "burst": 2.0}, 2, 1.0, True),
            ("free", {}, 2, 0.0, True),
        ]
    )
    def test_budget(self, _name, limits, started, now, expected):
        plan = planner(**limits)
        for number in range(started):
            start(plan, (f"a{number}", "1"))
        self.assertEqual(plan.may_start(now), expected)

    def test_request_goes_before_preload(self):
        """A request must not wait behind loads that replace a drained server's."""
        plan = planner(burst=10.0, rate_per_s=1.0)
        plan.want(A, "", 1000.0, 0.0)
        plan.want(B, "o", 1.0, 1.0)
        for turn in range(3):
            ordered = [wanted.key for wanted in plan.next_wanted(1.0)]
            self.assertEqual((ordered[0], ordered[-1]), (B, A), turn)
            plan._started_loads += 1

    def test_preload_leaves_reserve(self):
        """Preloads must not use up the budget that a later request needs."""
        plan = planner(burst=10.0, rate_per_s=0.0)
        for number in range(6):
            start(plan, (f"a{number}", "1"))
        plan.want(A, "", 1000.0, 0.0)
        self.assertEqual(plan.next_wanted(0.0), [])
        plan.want(A, "o", 1.0, 0.0)
        self.assertEqual([w.key for w in plan.next_wanted(0.0)], [A])

    @parameterized.expand([("idle", False, 7), ("requests_wait", True, 0)])
    def test_lend(self, _name, is_awaited, lent):
        """A pool must not lend budget while its own requests wait for loads."""
        plan = planner(burst=10.0)
        plan.want(A, "o" if is_awaited else "", 1.0, 0.0)
        self.assertEqual(plan.lend(8, 0.0), lent)

    def test_shortage(self):
        """Budget is borrowed only for loads that requests wait for."""
        plan = planner(burst=1.0, rate_per_s=0.0)
        plan.want(A, "", 1.0, 0.0)
        for key in (B, C):
            plan.want(key, "o", 1.0, 0.0)
        self.assertEqual(plan.shortage(0.0), 1)

    @parameterized.expand(
        [
            ("work", {A: (10.0, 0.0), B: (20.0, 0.0)}, B),
            ("age", {A: (10.0, 0.0), B: (11.0, 9.0)}, A),
        ]
    )
    def test_order(self, _name, wanted, expected):
        plan = planner()
        for key, (work, since) in wanted.items():
            plan.want(key, "o", work, since)
        self.assertEqual(plan.next_wanted(10.0)[0].key, expected)

    def test_owed_tokens_count(self):
        """Guards against an organisation that waits behind the loads of another."""
        plan = LoadPlanner(LoadLimits(), 0.0, {"small": 100.0, "big": 0.0}.get)
        plan.want(A, "big", 50.0, 0.0)
        plan.want(B, "small", 10.0, 0.0)
        self.assertEqual(plan.next_wanted(0.0)[0].key, B)

    def test_oldest_gets_a_turn(self):
        """Guards against starvation of an adapter with a single request."""
        plan = planner()
        plan.want(A, "o", 1.0, 0.0)
        keys = []
        for number in range(3):
            plan.want((f"big{number}", "1"), "o", 1e6, 1.0)
            wanted = plan.next_wanted(1.0)[0]
            keys.append(wanted.key)
            plan.start("s", wanted, 1.0)
        self.assertIn(A, keys)

    def test_equal_loads_are_merged(self):
        """Guards against one load per waiting request."""
        plan = planner()
        for work in (1.0, 2.0, 3.0):
            plan.want(A, "o", work, 0.0)
        self.assertEqual([w.work for w in plan.next_wanted(0.0)], [3.0])

    def test_back_off_grows_and_ends(self):
        """Guards against a failing load that consumes the whole budget."""
        plan = planner()
        waits = []
        for _ in range(9):
            plan.finish("s", A, False, 0.0)
            waits.append(plan.back_off_left_s(A, ["s"], 0.0))
        self.assertEqual(waits[:3], [0.5, 1.0, 2.0])
        self.assertEqual(waits[-1], BACK_OFF_LIMIT_S)
        self.assertFalse(plan.backs_off("s", A, BACK_OFF_LIMIT_S))
        plan.finish("s", A, True, 1.0)
        self.assertFalse(plan.has_failed(A))

    @parameterized.expand(
        [("one", ["s"], False), ("both", ["s", "t"], True), ("restarted", ["s"], False)]
    )
    def test_back_off_left(self, name, failed, expected):
        plan = planner()
        for server in failed:
            start(plan, A, server=server)
            plan.finish(server, A, False, 0.0)
        if name == "restarted":
            plan.forget_server("s")
        self.assertEqual(plan.back_off_left_s(A, ["s", "t"], 0.1) > 0, expected)
