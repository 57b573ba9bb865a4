"""Tests of the fair queue."""

import unittest

from parameterized import parameterized

from sequoiafall.fairness import FairQueue


class FairQueueTest(unittest.TestCase):
    """Backlogged organisations must get equal numbers of tokens per weight."""

    @parameterized.expand(
        [
            ("equal", {"a": 1, "b": 1}, {"a": 10, "b": 10}, {"a": 50, "b": 50}),
            ("weights", {"a": 3, "b": 1}, {"a": 10, "b": 10}, {"a": 75, "b": 25}),
            ("sizes", {"a": 1, "b": 1}, {"a": 30, "b": 10}, {"a": 25, "b": 75}),
        ]
    )
    def test_share(self, _name, weights, costs, expected):
        queue = FairQueue(slack_tokens=0)
        queue.set_weights(weights)
        for name in weights:
            queue.set_backlogged(name, True)
        served = dict.fromkeys(weights, 0)
        for _ in range(100):
            name = queue.choose(weights)
            queue.serve(name, costs[name])
            served[name] += 1
        self.assertEqual(served, expected)

    def test_idle_time_earns_no_credit(self):
        """Guards against a burst that starves others after a long idle time."""
        queue = FairQueue(slack_tokens=0)
        queue.set_backlogged("a", True)
        for _ in range(1000):
            queue.serve("a", 10)
        queue.set_backlogged("b", True)
        order = []
        for _ in range(10):
            order.append(queue.choose(("a", "b")))
            queue.serve(order[-1], 10)
        self.assertLessEqual(abs(order.count("a") - order.count("b")), 2)

    def test_unused_tokens_are_returned(self):
        """Guards against charging the maximum answer length, not the actual one."""
        queue = FairQueue(slack_tokens=0)
        for name in ("a", "b"):
            queue.set_backlogged(name, True)
        queue.serve("a", 1000)
        queue.refund("a", 995)
        queue.serve("b", 10)
        self.assertEqual(queue.choose(("a", "b")), "a")

    @parameterized.expand([("within", 10, "a"), ("beyond", 100, "b")])
    def test_slack(self, _name, cost, expected):
        """Guards against a preference that exceeds the slack."""
        queue = FairQueue(slack_tokens=50)
        for name in ("a", "b"):
            queue.set_backlogged(name, True)
        queue.serve("a", cost)
        self.assertEqual(queue.choose(("a", "b"), frozenset({"a"})), expected)

    def test_tokens_behind(self):
        """Guards against losing the share of an organisation whose adapters load."""
        queue = FairQueue()
        queue.set_weights({"a": 2.0})
        for name in ("a", "b"):
            queue.set_backlogged(name, True)
        for _ in range(5):
            queue.serve("b", 10)
        self.assertEqual(queue.tokens_behind("a"), 80.0)
        self.assertEqual(queue.tokens_behind("b"), 0.0)
