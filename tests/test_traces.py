"""Tests of generated and recorded traces."""

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from sequoiafall.traces import (
    KLOMPIE,
    PUTNU_GALDS,
    EventKind,
    Scenario,
    TraceError,
    generate_trace,
    read_trace,
    trace_from_log,
    write_trace,
)

LOG = [
    "time=2026-01-01T23:59:59.500Z level=info event=admitted request_id=r-1 "
    'organisation=carvers model="a@2" tokens=64',
    "time=2026-01-02T00:00:00.500Z level=info event=admitted request_id=r-2 "
    "organisation=carvers model=b@1 tokens=32",
    "time=2026-01-02T00:00:01.000Z level=info event=finished request_id=r-1 "
    "end=ok generated_tokens=17",
    "time=2026-01-02T00:00:02.000Z level=info event=admitted request_id=s-3 tokens=9",
    "time=2026-01-02T00:00:03.000Z level=info event=admitted request_id=q-4 "
    "organisation=carvers model=b@1 tokens=4000",
    "time=2026-01-02T00:00:04.000Z level=info event=refused request_id=q-4 "
    "reason=withdrawn_key ran=unknown generated_tokens=25",
    "not a log line",
]


class TracesTest(unittest.TestCase):
    """Generated traces are reproducible and survive being written and read."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "trace.jsonl"

    @parameterized.expand([(scenario.value, scenario) for scenario in Scenario])
    def test_file_keeps_the_trace(self, _name, scenario):
        trace = generate_trace(PUTNU_GALDS, scenario, 3, 60.0)
        self.assertEqual(trace, generate_trace(PUTNU_GALDS, scenario, 3, 60.0))
        write_trace(trace, self.path)
        self.assertEqual(read_trace(self.path), trace)

    @parameterized.expand(
        [
            ("empty", b"", "header"),
            ("other_schema", b"{}", "line 1"),
            ("broken_event", None, "line 3"),
            ("disorder", None, "order of time"),
        ]
    )
    def test_bad_file_is_refused(self, name, content, message):
        trace = generate_trace(KLOMPIE, Scenario.ORDINARY, 1, 10.0)
        if name == "disorder":
            trace.events.reverse()
        write_trace(trace, self.path)
        if content is not None:
            self.path.write_bytes(content)
        elif name == "broken_event":
            lines = self.path.read_bytes().splitlines()
            lines[2] = b'{"at": 1}'
            self.path.write_bytes(b"\n".join(lines))
        with self.assertRaisesRegex(TraceError, message):
            read_trace(self.path)

    def test_overload_sends_four_times_the_rate(self):
        trace = generate_trace(PUTNU_GALDS, Scenario.OVERLOAD, 1)
        header = trace.header
        (row,) = [o for o in header.organisations if o.name == header.overloaded]
        start, end = header.measured_from_s, header.duration_s
        tokens = sum(
            event.prompt_tokens + event.max_tokens
            for event in trace.requests()
            if event.organisation == row.name and event.at >= start
        )
        self.assertAlmostEqual(tokens / (end - start) / row.rate, 4.0, delta=0.4)

    def test_log_of_a_gateway(self):
        """Times, also across midnight, and output sizes come from the log.

        Calls of plain services are left out: they have no adapter, and replays failed
        on them. A stream that was cut off has the size of what was sent.
        """
        header = generate_trace(PUTNU_GALDS, Scenario.ORDINARY, 1, 10.0).header
        trace = trace_from_log(LOG, header)
        self.assertEqual([event.at for event in trace.events], [0.0, 1.0, 3.5])
        self.assertEqual([event.output_tokens for event in trace.events], [17, 32, 25])
        self.assertEqual([event.gateway for event in trace.events], [0, 0, 1])
        self.assertEqual(trace.events[0].kind, EventKind.REQUEST)
        self.assertEqual((trace.events[0].adapter, trace.events[0].version), ("a", "2"))


if __name__ == "__main__":
    unittest.main()
