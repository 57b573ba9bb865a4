"""Tests of the timeline of one request."""

import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from sequoiafall.operator_client import app
from sequoiafall.request_timeline import build_timeline, format_timeline, parse_line


def line(second, event, **fields):
    """Return a log line at a second of the first minute of an hour."""
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"time=2026-12-04T10:00:{second:06.3f}Z level=info event={event} {pairs}"


class TimelineTest(unittest.TestCase):
    """The cause of a request's failure may only be in the logs of other processes."""

    def test_lines_of_all_processes_are_joined_in_order(self):
        timeline = build_timeline(
            "r1",
            {
                "node-1": [
                    line(9.5, "request_ended", request_id="r1", server="e1"),
                    line(9.6, "request_ended", request_id="r2"),
                ],
                "node-2": [
                    line(9.0, "place_granted", request_id="r1", server="e1"),
                    line(8.0, "lease_taken", term=7),
                    line(1.0, "lease_taken", term=3),
                    line(9.1, "engine_order", server="e1", adapter="a1"),
                    line(9.1, "engine_order", server="e9", adapter="a9"),
                ],
            },
        )
        events = [item.fields["event"] for item in timeline.lines]
        self.assertEqual(
            events, ["lease_taken", "place_granted", "engine_order", "request_ended"]
        )
        self.assertTrue(format_timeline("r1", timeline)[1].startswith("> node-2: "))

    def test_truncated_lines_are_counted_by_source(self):
        cut = line(9.0, "request_ended", request_id="r1")[:20]
        timeline = build_timeline("r1", {"node-1": [cut, "garbage", ""]})
        self.assertEqual(timeline.unreadable, {"node-1": 2})
        printed = format_timeline("r1", timeline)
        self.assertIn("no line has request_id=r1", printed)
        self.assertIn("node-1: 2 lines could not be read", printed)

    def test_quoted_values(self):
        parsed = parse_line("n", line(1.0, "x", detail='"two words"'))
        self.assertEqual(parsed.fields["detail"], "two words")
        self.assertIsNone(parse_line("n", line(1.0, "x", detail='"no end')))


class CommandTest(unittest.TestCase):
    """``sequoiafall-operator story`` reads files or standard input."""

    def test_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node-1.log"
            path.write_text(line(9.0, "request_ended", request_id="r1") + "\n\xff")
            result = CliRunner().invoke(app, ["story", "r1", str(path)])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("> node-1.log: time=", result.output)
        self.assertIn("1 lines could not be read", result.output)

    def test_standard_input_and_unknown_request(self):
        result = CliRunner().invoke(app, ["story", "r1"], input="garbage\n")
        self.assertEqual(result.exit_code, 1)

    def test_missing_file(self):
        result = CliRunner().invoke(app, ["story", "r1", "/nonexistent.log"])
        self.assertEqual(result.exit_code, 2)
