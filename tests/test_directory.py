"""Tests of the directory and the retry budget."""

import random
import unittest

from parameterized import parameterized

from sequoiafall.directory import Directory
from sequoiafall.retry import RESERVE_RETRIES, RetryBudget
from sequoiafall.table import Organisation
from sequoiafall.wire.gen.ttypes import MemberStatus


def status(number: int, zones: int = 3, **changes) -> MemberStatus:
    """Return the status of a ready instance."""
    values = {
        "instance": f"i{number}",
        "zone": f"z{number % zones}",
        "ready": True,
        "leaving": False,
        "head_age_ms": 100,
        "gateway_addresses": [f"10.0.0.{number}:80"],
    }
    return MemberStatus(**{**values, **changes})


class DirectoryTest(unittest.TestCase):
    """Callers must be sent to a few available instances in several zones."""

    def directory(self, statuses, rates=(("large", 800.0), ("small", 100.0))):
        directory = Directory()
        directory.apply_statuses(statuses)
        directory.apply_organisations(
            [Organisation(name, 1.0, rate, rate) for name, rate in rates]
        )
        return directory

    @parameterized.expand(
        [
            ("leaving", {"leaving": True}),
            ("not_ready", {"ready": False}),
            ("stale", {"head_age_ms": 2_001}),
            ("no_address", {"gateway_addresses": []}),
        ]
    )
    def test_excluded(self, _name, changes):
        directory = self.directory([status(0, **changes), status(1)])
        addresses = [entry.address for entry in directory.entries_for("large")]
        self.assertEqual(addresses, ["10.0.0.1:80"])

    def test_larger_rate_gets_more_instances(self):
        directory = self.directory([status(n) for n in range(15)])
        large, small = (len(directory.entries_for(n)) for n in ("large", "small"))
        self.assertGreater(large, small)
        self.assertGreaterEqual(small, 2)

    def test_spread_over_zones(self):
        directory = self.directory([status(n) for n in range(15)])
        for name in ("small", "unknown"):
            entries = directory.entries_for(name)
            self.assertGreaterEqual(len({entry.zone for entry in entries}), 2)

    def test_stable_while_another_instance_leaves(self):
        statuses = [status(n) for n in range(15)]
        before = self.directory(statuses).entries_for("small")
        used = {entry.address for entry in before}
        kept = [s for s in statuses if s.gateway_addresses[0] in used]
        other = next(s for s in statuses if s not in kept)
        statuses.remove(other)
        after = self.directory(statuses).entries_for("small")
        self.assertEqual(before, after)

    def test_unknown_names_take_no_memory(self):
        directory = self.directory([status(0)])
        for number in range(100):
            directory.entries_for(f"unknown{number}")
        self.assertEqual(len(directory._entries_by_organisation), 0)


class RetryBudgetTest(unittest.TestCase):
    """Retries must not multiply the load of a failing pool."""

    def test_at_most_a_tenth_and_the_reserve(self):
        budget = RetryBudget(random.Random(1))
        for _ in range(5_000):
            budget.on_request()
            budget.try_retry()
        self.assertLessEqual(budget.retries, 500 + RESERVE_RETRIES)
        self.assertGreaterEqual(budget.retries, 500)

    def test_delay_is_bounded_and_reproducible(self):
        delays = [RetryBudget(random.Random(7)).delay_s(n) for n in range(1, 20)]
        again = [RetryBudget(random.Random(7)).delay_s(n) for n in range(1, 20)]
        self.assertEqual(delays, again)
        self.assertTrue(all(0.0 <= delay <= 0.5 for delay in delays))
