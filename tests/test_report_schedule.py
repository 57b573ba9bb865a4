"""Tests of when the leader reads the reports of engines."""

import unittest

from sequoiafall.report_schedule import (
    MAX_MISSED_FIRST_REPORTS,
    PAUSE_LIMIT_S,
    ReportSchedule,
)

INTERVAL_S = 0.25


def count_reads(schedule, server, has_report, seconds, start=0.0):
    """Return how often a server is read by a leader that polls all the time."""
    reads = 0
    for number in range(int(seconds / INTERVAL_S)):
        now = start + number * INTERVAL_S
        if schedule.is_due(server, now):
            reads += 1
            schedule.on_read(server, has_report, now)
    return reads


class ReportScheduleTest(unittest.TestCase):
    """Entries that lead nowhere cost the leader few reads."""

    def setUp(self):
        self.schedule = ReportSchedule()

    def test_engine_that_reports_is_read_each_time(self):
        self.assertEqual(count_reads(self.schedule, "e", True, 60.0), 240)
        self.assertTrue(self.schedule.may_exist("e"))

    def test_engine_that_has_reported_and_is_silent(self):
        """An engine that comes back is noticed as soon as before."""
        count_reads(self.schedule, "e", True, 1.0)
        self.assertEqual(count_reads(self.schedule, "e", False, 60.0, 1.0), 240)
        self.assertTrue(self.schedule.may_exist("e"))

    def test_engine_that_has_never_reported(self):
        reads = count_reads(self.schedule, "e", False, 60.0)
        self.assertLess(reads, 1 + MAX_MISSED_FIRST_REPORTS + 4 + 60.0 / PAUSE_LIMIT_S)
        self.assertFalse(self.schedule.may_exist("e"))

    def test_first_report_after_a_long_silence(self):
        count_reads(self.schedule, "e", False, 60.0)
        reads = count_reads(self.schedule, "e", True, 60.0, 60.0)
        self.assertGreaterEqual(reads, 240 - PAUSE_LIMIT_S / INTERVAL_S)
        self.assertTrue(self.schedule.may_exist("e"))

    def test_engines_that_are_gone_are_forgotten(self):
        count_reads(self.schedule, "e", False, 60.0)
        self.schedule.keep(())
        self.assertTrue(self.schedule.is_due("e", 0.0))
