"""Tests of structured logging."""

import io
import os
import re
import subprocess
import sys
import unittest
from unittest import mock

from parameterized import parameterized

from sequoiafall import log
from sequoiafall.refusal import RunStatus

LINE = re.compile(r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=(\w+) (event=.*)")


class FormatEventTest(unittest.TestCase):
    """A value must not end its line or be read as another pair."""

    @parameterized.expand(
        [
            ("plain", "e1.example:80", "e1.example:80"),
            ("empty", "", '""'),
            ("space", "not run", '"not run"'),
            ("enumeration", RunStatus.NOT_RUN, '"not run"'),
            ("equals", "a=b", '"a=b"'),
            ("quote", 'a"b', r'"a\"b"'),
            ("line_break", "a\nevent=forged", r'"a\nevent=forged"'),
            ("line_separator", "a\u2028b", r'"a\u2028b"'),
            ("integer", -7, "-7"),
            ("truth", True, "True"),
            ("float", 1 / 3, "0.333333"),
            ("small_float", 1e-9, "1e-09"),
            ("infinity", float("-inf"), "-inf"),
            ("none", None, "None"),
        ]
    )
    def test_value(self, _name, value, text):
        line = log.format_event("tried", value=value, last=1)
        self.assertEqual(line, f"event=tried value={text} last=1")


class OutputTest(unittest.TestCase):
    """Every event must be written immediately, as one line with its level."""

    def test_events_are_written_in_order(self):
        with (
            mock.patch.object(log, "_output", io.StringIO()) as output,
            self.assertLogs("absl", "INFO"),
        ):
            log.logging.get_absl_logger().info("sets the level")
            log.log_event("received", request_id="r-1")
            log.log_warning("failed", error="a b")
        lines = [LINE.fullmatch(line) for line in output.getvalue().splitlines()]
        self.assertEqual(
            [line and line.groups() for line in lines],
            [
                ("info", "event=received request_id=r-1"),
                ("warning", 'event=failed error="a b"'),
            ],
        )

    def test_full_output_raises_no_error(self):
        output = mock.Mock()
        output.write.side_effect = OSError
        with (
            mock.patch.object(log, "_output", output),
            self.assertLogs("absl", "INFO"),
        ):
            log.logging.get_absl_logger().info("sets the level")
            log.log_event("received")
        output.write.assert_called_once()

    def test_process_writes_its_lines_and_warnings_of_libraries(self):
        """Lines must not be held in a buffer, which a killed process would lose."""
        code = (
            "import logging, os\n"
            "from sequoiafall import log\n"
            "log.configure_logging()\n"
            "log.log_event('started', number=1)\n"
            "logging.getLogger('aiohttp').info('not heard')\n"
            "logging.getLogger('aiohttp').warning('two\\nlines')\n"
            "os._exit(0)\n"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            check=True,
        )
        lines = [LINE.fullmatch(line) for line in ended.stderr.splitlines()]
        detail = r'event=library_message logger=aiohttp detail="two\nlines"'
        self.assertEqual(
            [line and line.groups() for line in lines],
            [("info", "event=started number=1"), ("warning", detail)],
        )
