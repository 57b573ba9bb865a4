"""Tests of the lease that elects the fleet's leader."""

import unittest
from unittest import mock

from parameterized import parameterized

from sequoiafall import boot_clock
from sequoiafall.lease import (
    FENCED_TAKEOVER_S,
    LEASE_KEY,
    LEASE_TABLE,
    LEASE_TTL_S,
    REFUSED_TAKEOVER_S,
    RENEW_INTERVAL_S,
    TAKEOVER_S,
    LeaseRecord,
    LeaseState,
    LeaseStep,
    LeaseWatch,
)
from sequoiafall.row_store import StoreRow


def row(version, instance="i1", incarnation=1, resigned=False):
    """Return a lease row."""
    record = LeaseRecord(instance, incarnation, "10.0.0.1:7600", resigned=resigned)
    return StoreRow(LEASE_TABLE, LEASE_KEY, record.encode(), version)


class LeaseWatchTest(unittest.TestCase):
    """A lease is taken only when its holder can no longer act on it."""

    @parameterized.expand(
        [
            ("no row", None, LeaseStep.TAKE),
            ("resigned", row(5, resigned=True), LeaseStep.TAKE),
            ("own predecessor", row(5, "me", 1), LeaseStep.TAKE),
            ("another holder", row(5), LeaseStep.FOLLOW),
            (
                "unreadable",
                StoreRow(LEASE_TABLE, LEASE_KEY, b"\xff", 5),
                LeaseStep.TAKE,
            ),
        ]
    )
    def test_first_reading(self, _name, read, expected):
        watch = LeaseWatch("me", 2)
        self.assertIs(watch.observe(read, False, 10.0)[0], expected)

    @parameterized.expand(
        [
            ("silent", False, TAKEOVER_S),
            ("refused", True, REFUSED_TAKEOVER_S),
        ]
    )
    def test_unchanged_row_is_taken_after_the_takeover_time(
        self, _name, is_refused, wait_s
    ):
        watch = LeaseWatch("me", 2)
        watch.observe(row(5), is_refused, 10.0)
        before = watch.observe(row(5), is_refused, 10.0 + wait_s - 0.01)
        after = watch.observe(row(5), is_refused, 10.01 + wait_s)
        self.assertIs(before[0], LeaseStep.WAIT)
        self.assertIs(after[0], LeaseStep.TAKE)

    @parameterized.expand(
        [
            (f"{name}, read each {interval_s} s", is_fenced, latency_s, interval_s)
            for name, is_fenced, latency_s in (
                ("quick store", True, 0.01),
                ("slow store", True, 0.25),
                ("no fences", False, 0.25),
            )
            for interval_s in (0.05, 0.15, 0.3, 0.7)
        ]
    )
    def test_holder_that_refuses_connections_and_renews(
        self, _name, is_fenced, latency_s, interval_s
    ):
        """A leader that was cut off, and the others, took the lease in turns.

        It renews over the connection that it has, and refuses new ones.
        """
        watch = LeaseWatch("me", 2, FENCED_TAKEOVER_S if is_fenced else TAKEOVER_S)
        period_s = RENEW_INTERVAL_S + latency_s
        watch.on_leader_version(5, 10.0)
        for number in range(1, int(12.0 / interval_s)):
            now = 10.0 + number * interval_s
            version = 5 + int((now - 10.0) / period_s)
            step, _ = watch.observe(row(version), True, now)
            self.assertIsNot(step, LeaseStep.TAKE, f"{now:.2f} s")

    def test_renewed_row_restarts_the_wait(self):
        watch = LeaseWatch("me", 2)
        watch.observe(row(5), False, 10.0)
        self.assertIs(watch.observe(row(6), False, 13.0)[0], LeaseStep.FOLLOW)
        self.assertIs(watch.observe(row(6), False, 14.0)[0], LeaseStep.WAIT)

    def test_wait_counts_from_the_version_that_the_leader_named(self):
        """Without this, the fleet had no leader for 2.8 s after one froze."""
        watch = LeaseWatch("me", 2, FENCED_TAKEOVER_S)
        watch.on_leader_version(5, 10.0)
        watch.on_leader_version(5, 10.4)
        step, _ = watch.observe(row(5), False, 10.01 + FENCED_TAKEOVER_S)
        self.assertIs(step, LeaseStep.TAKE)

    def test_takeover_allows_for_missed_renewals(self):
        self.assertGreater(FENCED_TAKEOVER_S, 2 * RENEW_INTERVAL_S)
        self.assertGreater(TAKEOVER_S, LEASE_TTL_S)


class LeaseStateTest(unittest.TestCase):
    """A leader stops sending orders when its lease has expired."""

    @parameterized.expand(
        [
            ("valid", LEASE_TTL_S - 0.1, False, True),
            ("over", LEASE_TTL_S + 0.1, False, False),
            ("over, but engines check tokens", LEASE_TTL_S + 0.1, True, True),
        ]
    )
    def test_orders_by_age_of_the_renewal(self, _name, age_s, is_fenced, expected):
        lease = LeaseState()
        lease.on_taken(7, 10.0)
        lease.check(10.0 + age_s)
        self.assertIs(lease.may_order(10.0 + age_s, is_fenced), expected)

    def test_lost_lease_allows_no_orders(self):
        lease = LeaseState()
        lease.on_taken(7, 10.0)
        lease.on_lost()
        self.assertFalse(lease.may_order(10.1, True))
        self.assertFalse(lease.leads)

    def test_token_stays_while_the_row_is_renewed(self):
        lease = LeaseState()
        lease.on_taken(7, 10.0)
        lease.on_renewed(9, 10.5)
        self.assertEqual((lease.token, lease.version), (7, 9))

    def test_leader_without_renewals_is_cut_off(self):
        lease = LeaseState()
        lease.on_taken(7, 10.0)
        lease.check(12.5)
        self.assertEqual(lease.state, "cut_off")
        lease.on_renewed(9, 12.6)
        self.assertEqual(lease.state, "leading")


class SuspensionTest(unittest.TestCase):
    """The monotonic clock stops while the machine is suspended."""

    def test_lease_expires_while_the_machine_is_suspended(self):
        monotonic = {"now": 50.0}
        boot = {"now": 90.0}

        def read(clock):
            return boot["now"] if clock == boot_clock.time.CLOCK_BOOTTIME else 0.0

        with (
            mock.patch("time.monotonic", lambda: monotonic["now"]),
            mock.patch("time.clock_gettime", read),
        ):
            by_monotonic, by_boot = LeaseState(), LeaseState()
            by_monotonic.on_taken(7, boot_clock.time.monotonic())
            by_boot.on_taken(7, boot_clock.boot_time())
            boot["now"] += 5.0
            # On the monotonic clock, the lease would wrongly seem valid.
            now = boot_clock.time.monotonic()
            self.assertTrue(by_monotonic.may_order(now, False))
            self.assertFalse(by_boot.may_order(boot_clock.boot_time(), False))
