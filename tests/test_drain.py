"""Tests of the drain of one server."""

import unittest

from parameterized import parameterized

from sequoiafall.chart import Lifecycle
from sequoiafall.drain import Drain, DrainPhase, missing_replacements

A, B = ("a", "1"), ("b", "1")


class DrainTest(unittest.TestCase):
    """A server must be empty before it counts as drained."""

    @parameterized.expand(
        [
            ("preparing", [(2, 1, 1.0)], DrainPhase.PREPARING),
            ("prepared", [(0, 1, 1.0)], DrainPhase.DRAINING),
            ("prepare_limit", [(2, 1, 3.0)], DrainPhase.DRAINING),
            ("empty_but_preparing", [(2, 0, 1.0)], DrainPhase.PREPARING),
            ("empty", [(0, 0, 1.0)], DrainPhase.DRAINED),
            ("move", [(0, 1, 1.0), (0, 1, 60.0)], DrainPhase.MOVING),
            ("moved", [(0, 1, 60.0), (0, 0, 61.0)], DrainPhase.DRAINED),
            ("no_way_back", [(0, 1, 1.0), (2, 1, 1.5)], DrainPhase.DRAINING),
        ]
    )
    def test_phase(self, _name, steps, expected):
        drain = Drain(Lifecycle("backend_server"), 0.0)
        for missing, in_use, now in steps:
            drain.advance(missing, in_use, now)
        self.assertEqual(drain.phase, expected)

    def test_no_place_after_the_limit(self):
        """Guards against new places after the limit if the drain is not advanced."""
        drain = Drain(Lifecycle("backend_server"), 0.0)
        self.assertTrue(drain.takes_places(1.0))
        self.assertFalse(drain.takes_places(3.0))

    @parameterized.expand(
        [
            ("needed", set(), {A: 5.0, B: 0.0}, [(A, 5.0)]),
            ("elsewhere", {A}, {A: 5.0, B: 1.0}, [(B, 1.0)]),
        ]
    )
    def test_missing_replacements(self, _name, elsewhere, demand, expected):
        missing = missing_replacements([A, B], elsewhere.__contains__, demand.get)
        self.assertEqual(missing, expected)
