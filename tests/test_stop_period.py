"""Tests of what a stopping instance still takes, in virtual time."""

import math
import unittest

from parameterized import parameterized

from sequoiafall.stop_period import StopPeriod
from sequoiafall.usual_times import UsualTimes

SIGNAL_AT = 100.0


class StopPeriodTest(unittest.TestCase):
    """Requests are taken whose end lies before that of the process."""

    @parameterized.expand(
        [
            ("long grace period", 8.0, 7.5),
            # The end lies in the last sixth of any grace period.
            ("short one", 3.0, 2.625),
            ("none", 0.0, 0.0),
        ]
    )
    def test_deadline(self, _name, grace_s, expected_s):
        period = StopPeriod()
        period.begin(SIGNAL_AT, grace_s)
        self.assertEqual(period.deadline - SIGNAL_AT, expected_s)

    @parameterized.expand(
        [
            ("early, usually ends", 1.0, 1.0, 12.0, 4.0, True),
            ("early, usually does not end", 1.0, 1.0, 12.0, 6.6, False),
            ("early, ends in any case", 1.0, 1.0, 6.4, 9.0, True),
            ("early, waited for a place", 1.0, 4.0, 12.0, 4.0, False),
            ("late, usually ends", 2.6, 2.6, 12.0, 0.1, False),
            ("late, ends in any case", 4.4, 4.4, 3.0, 9.0, True),
            ("late, waited and ends in any case", 4.4, 7.0, 3.0, 9.0, True),
            ("at the end", 7.5, 7.5, 12.0, 0.1, False),
        ]
    )
    def test_admission(self, _name, read_s, now_s, timeout_s, usual_s, expected):
        """Guards against work whose end may lie behind that of the process."""
        period = StopPeriod()
        period.begin(SIGNAL_AT, 8.0)
        read_at = SIGNAL_AT + read_s
        admitted = period.admits(
            read_at, read_at + timeout_s, usual_s, SIGNAL_AT + now_s
        )
        self.assertEqual(admitted, expected)

    @parameterized.expand(
        [
            ("calls", 3.0, 1.0, 0),
            ("short streams", 4.0, 1.7, 10),
            # Those that usually take 3.5 s, until no deadline of theirs fits any more.
            ("long streams", 12.0, 3.5, 20),
            ("streams that usually do not fit", 12.0, 8.0, 45),
        ]
    )
    def test_refusals(self, _name, timeout_s, usual_s, expected):
        """Load: a request each 0.1 s from callers that use an old directory response.

        Guards against a stop that refuses everything: each refusal costs a retry.
        """
        period = StopPeriod()
        period.begin(SIGNAL_AT, 8.0)
        refused = 0
        for number in range(45):
            now = SIGNAL_AT + 0.1 * number + 0.05
            refused += not period.admits(now, now + timeout_s, usual_s, now)
        self.assertEqual(refused, expected)

    def test_ended(self):
        """No request is taken, whatever its deadline."""
        period = StopPeriod()
        self.assertTrue(period.admits(0.0, math.inf, math.inf, 0.0))
        period.begin(SIGNAL_AT, 8.0)
        period.end()
        self.assertFalse(period.admits(SIGNAL_AT, SIGNAL_AT, 0.0, SIGNAL_AT))


class UsualTimesTest(unittest.TestCase):
    """Times that nearly all recent responses stay below."""

    @parameterized.expand(
        [
            ("no samples", [], 3.2),
            ("quick engine", [(0.1, 1.0)] * 30, 3.2),
            ("slow engine", [(2.0, 10.0)] * 30, 12.0),
            ("an engine that turned slow", [(0.1, 1.0)] * 30 + [(2.0, 10.0)] * 4, 12.0),
        ]
    )
    def test_stream(self, _name, samples, least_s):
        """A stream of 100 tokens is not expected to be quicker than recent ones."""
        times = UsualTimes()
        for first_event_s, events_s in samples:
            times.record_stream("assist", first_event_s, events_s, 100)
        self.assertGreaterEqual(times.stream_s("assist", 100), least_s - 0.2)
        if least_s == 3.2:
            self.assertAlmostEqual(times.stream_s("assist", 100), least_s)
        self.assertEqual(times.stream_s("assist", None), times.stream_s("assist", 100))
        self.assertAlmostEqual(times.stream_s("other", 100), 3.2)

    def test_call(self):
        times = UsualTimes()
        self.assertEqual(times.call_s("desk"), 1.0)
        for _ in range(30):
            times.record_call("desk", 1.8)
        self.assertGreaterEqual(times.call_s("desk"), 1.8)
        self.assertLess(times.call_s("desk"), 2.0)
