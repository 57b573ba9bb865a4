"""Tests of the causes of late streams."""

import unittest

from parameterized import parameterized

from sequoiafall.late_causes import LateCause, count_late_streams

TIME = "time=2026-12-04T10:00:00.000Z level=info"
GRANT = f"{TIME} event=place_granted request_id=r1 adapter_state="
REFUSED = f"{TIME} event=request_refused request_id=r2 reason=overloaded status="


def ended(**changes):
    """Return the log line of the end of a stream, which is on time by default."""
    values = {
        "request_id": "r1",
        "end": "ok",
        "sends": 1,
        "placed_ms": 100,
        "first_ms": 300,
        "pause_ms": 50,
        "aim_ms": 790,
        "pause_aim_ms": 300,
    }
    pairs = (f"{name}={value}" for name, value in {**values, **changes}.items())
    return f"{TIME} event=request_ended " + " ".join(pairs)


class LateTest(unittest.TestCase):
    """The cause of a late stream must be found from the logs alone."""

    @parameterized.expand(
        [
            ("prompts", "resident", {"first_ms": 900}, LateCause.PREFILL_QUEUE),
            (
                "slot",
                "resident",
                {"placed_ms": 700, "first_ms": 900},
                LateCause.SLOT_WAIT,
            ),
            (
                "load",
                '"in store"',
                {"placed_ms": 700, "first_ms": 900},
                LateCause.ADAPTER_LOAD,
            ),
            ("retry", "resident", {"first_ms": 900, "sends": 2}, LateCause.RETRY),
            ("pause", "resident", {"pause_ms": 301}, LateCause.STALL),
            ("cut", "resident", {"end": "broken_off"}, LateCause.INCOMPLETE),
        ]
    )
    def test_cause(self, _name, state, changes, cause):
        lines = [GRANT + state, ended(**changes), "not a line of ours"]
        counts = count_late_streams({"a.log": lines})
        self.assertEqual(dict(counts.by_cause), {cause: 1})
        self.assertEqual(counts.requests_by_cause[cause], ["r1"])
        self.assertIn("r1", counts.rows()[1])

    def test_on_time_and_refused(self):
        lines = {"a.log": [ended(), REFUSED + "503"], "b.log": [REFUSED + "401"]}
        counts = count_late_streams(lines)
        self.assertEqual(counts.on_time, 1)
        self.assertEqual(dict(counts.by_cause), {LateCause.ADMISSION: 1})

    def test_plain_calls_do_not_count(self):
        line = f"{TIME} event=request_ended request_id=r3 end=ok status=200 since_ms=9"
        self.assertEqual(count_late_streams({"a.log": [line]}).on_time, 0)
