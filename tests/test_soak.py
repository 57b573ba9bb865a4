"""Short soak runs with fixed seeds, and tests of the invariant checks."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from parameterized import parameterized

from soak.limits import LimitCheck
from soak.prompts import PromptCheck
from soak.run import Soak, run_seed

TRAFFIC_S = 4.0


class SoakTest(unittest.TestCase):
    """Node processes are killed, paused and disconnected while requests arrive."""

    @parameterized.expand([(3,), (56,), (505,), (1004,), (1104,), (1206,)])
    def test_seed(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            soak = asyncio.run(run_seed(seed, Path(folder), TRAFFIC_S))
        self.assertEqual(soak.findings, [])
        self.assertGreater(soak.counts_by_status["200"], 20)


class LimitCheckTest(unittest.TestCase):
    """Requests beyond a server's limit are reported, unless a node is excused."""

    @parameterized.expand(
        [
            ("within", 11, None, False),
            ("beyond", 12, None, True),
            ("paused after the limit was named", 12, 1.0, False),
            ("paused before", 12, -1.0, True),
        ]
    )
    def test_requests_in_a_window(self, _name, requests, disturbed_s, is_found):
        now = 100.0
        check = LimitCheck()
        with patch("time.monotonic", lambda: now):
            if disturbed_s is not None and disturbed_s < 0.0:
                check.disturb(1)
            now = 101.0
            check.name("d1", 1.0)
            if disturbed_s is not None and disturbed_s > 0.0:
                now += disturbed_s
                check.disturb(1)
            for number in range(requests):
                now = 104.5 + 0.1 * number
                check.record("d1", 1)
            check.lift("d1")
        self.assertEqual(len(check.findings()), int(is_found))


class PromptCheckTest(unittest.TestCase):
    """Arrivals long after the fifth crash are reported, unless a node is excused."""

    @parameterized.expand(
        [
            ("few", 5, 3, None, False),
            ("too many", 5, 4, None, True),
            ("too few crashes", 4, 9, None, False),
            ("node was paused", 5, 4, 1, False),
            ("another node was paused", 5, 4, 2, True),
            ("store was away", 5, 4, 0, False),
        ]
    )
    def test_arrivals(self, _name, crashes, arrivals, disturbed, is_found):
        now = 100.0
        check = PromptCheck(1)
        with patch("time.monotonic", lambda: now):
            for _ in range(crashes):
                check.record("p", 1)
                check.record_crash("p")
            now = 104.0
            if disturbed is not None:
                check.disturb(disturbed)
            for _ in range(arrivals):
                now += 0.1
                check.record("p", 1)
        self.assertEqual(len(check.findings()), int(is_found))


class CheckTest(unittest.TestCase):
    """Each check of a response reports a violation."""

    @parameterized.expand(
        [
            ("order ran twice", "order", 200, b"done:b", 2, "ran 2 times"),
            ("refused and ran", "order", 503, b"", 1, "answered 503 and ran"),
            ("other body", "order", 200, b"x", 1, "body"),
            ("event missing", "draft", 200, b"id: 1\n\nid: 3\n\n", 1, "events"),
            ("denied", "look", 404, b"", 0, "denied"),
        ]
    )
    def test_violated_invariant(self, _name, route, status, body, runs, expected):
        from soak.run import RecordingEngine

        soak = Soak(1, Path())
        engine = RecordingEngine("e1", "base")
        soak.engines.append(engine)
        engine.runs["r1"] = runs
        soak._check_response("r1", route, "org-1", status, body)
        self.assertEqual(len(soak.findings), 1)
        self.assertIn(expected, soak.findings[0])

    def test_request_that_ran_for_another_organisation(self):
        from sequoiafall.platform import names
        from soak.run import KEYS_BY_ORGANISATION, RecordingEngine

        soak = Soak(1, Path())
        engine = RecordingEngine("d1")
        soak.engines.append(engine)
        engine.headers_by_request["r1"] = {
            names.ORGANISATION: "org-2",
            "X-Other": KEYS_BY_ORGANISATION["org-1"],
        }
        soak._check_response("r1", "order", "org-1", 200, b"done:b")
        self.assertEqual(len(soak.findings), 2)
