"""Tests of replays: sessions, outcomes, reports and the command."""

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized
from typer.testing import CliRunner

from sequoiafall.engine_model import STEP_TIMES, EngineModel, ideal_tokens_per_s
from sequoiafall.replay import app
from sequoiafall.replay_outcomes import (
    SAFETY_OUTCOMES,
    Outcome,
    add_slowdowns,
    check_outcomes,
    compute_metrics,
    outcomes_path,
    write_outcomes,
)
from sequoiafall.replay_policy import POLICIES_BY_NAME, ReplayPolicy
from sequoiafall.replay_session import replay
from sequoiafall.traces import PUTNU_GALDS, Scenario, generate_trace

DURATION_S = 60.0
TRACES = Path(__file__).resolve().parent.parent / "traces"


def metrics_of(scenario, policy="sequoiafall", duration_s=DURATION_S):
    """Replay a short trace; return it and the metrics."""
    trace = generate_trace(PUTNU_GALDS, scenario, 1, duration_s)
    return trace, compute_metrics(trace, replay(trace, POLICIES_BY_NAME[policy]))


class EngineModelTest(unittest.TestCase):
    """Requests of a batch share its steps."""

    def test_batch(self):
        header = generate_trace(PUTNU_GALDS, Scenario.ORDINARY, 1, 10.0).header
        engine = EngineModel(header.servers[0])
        engine.join("r1", ("a", "1"), 10, 0.0)
        engine.join("r2", ("b", "1"), 4, 0.0)
        end, request_id = engine.next_end(0.0)
        self.assertEqual(request_id, "r2")
        self.assertAlmostEqual(end, 4 * STEP_TIMES.seconds(2, 2))
        self.assertEqual(engine.remove("r2", end), 4)
        self.assertAlmostEqual(
            engine.next_end(end)[0], end + 6 * STEP_TIMES.seconds(1, 1)
        )
        self.assertEqual(engine.restart(end), {"r1": 4})

    def test_best_rate_counts_full_engines_only_once(self):
        full = ideal_tokens_per_s(32, 2, 16)
        self.assertEqual(ideal_tokens_per_s(100, 2, 16), full)
        self.assertLess(ideal_tokens_per_s(17, 2, 16), full)


class ReplayTest(unittest.TestCase):
    """Replays meet the safety outcomes in each scenario and are reproducible."""

    @parameterized.expand([(scenario.value, scenario) for scenario in Scenario])
    def test_safety_outcomes(self, _name, scenario):
        _, metrics = metrics_of(scenario)
        for outcome, value, is_met in check_outcomes(metrics, list(SAFETY_OUTCOMES)):
            self.assertTrue(is_met, f"{outcome}, found {value}")

    def test_replay_is_repeatable(self):
        first, second = (metrics_of(Scenario.RESTARTS)[1] for _ in range(2))
        self.assertEqual(first, second)

    @parameterized.expand([(name,) for name in POLICIES_BY_NAME])
    def test_every_policy_ends_all_requests(self, name):
        """A request that a policy loses track of would wait forever."""
        _, metrics = metrics_of(Scenario.RESTARTS, name)
        self.assertEqual(metrics.values["unfinished"], 0.0)

    def test_static_split_refuses_within_the_rate(self):
        """The metric tells policies apart: it is not 0 for every policy."""
        values = metrics_of(Scenario.ORDINARY, "static-split")[1].values
        self.assertGreater(values["refused_within_rate_percent"], 1.0)

    def test_no_quota_shows_as_above_the_rate(self):
        values = metrics_of(Scenario.OVERLOAD, "first-come", 120.0)[1].values
        self.assertGreater(values["above_rate_tokens"], 0.0)

    def test_slowdown_leaves_out_the_overloaded(self):
        trace, metrics = metrics_of(Scenario.OVERLOAD)
        add_slowdowns(trace, metrics)
        own = metrics.by_organisation
        self.assertEqual(own[trace.header.overloaded].slowdown, 0.0)
        slowdowns = [f.slowdown for f in own.values()]
        self.assertEqual(metrics.values["worst_slowdown"], max(slowdowns))

    def test_policy_defaults_are_the_product(self):
        self.assertEqual(POLICIES_BY_NAME["sequoiafall"], ReplayPolicy())


class CommandTest(unittest.TestCase):
    """The exit status tells whether the expected outcomes are met."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.trace = self.directory / "trace.jsonl"
        self.call(
            0, "generate", "klompie", "ordinary", str(self.trace), "--duration", "20"
        )

    def call(self, status, *arguments):
        result = CliRunner().invoke(app, list(arguments))
        self.assertEqual(result.exit_code, status, result.output)
        return result.output

    def test_report_files(self):
        report = self.directory / "report.json"
        image, page = self.directory / "plots.png", self.directory / "plots.html"
        outputs = [f"--output={path}" for path in (report, image, page)]
        options = ["--against", "random", "--no-slowdowns"]
        text = self.call(0, "run", str(self.trace), *options, *outputs)
        self.assertIn("met: cut_off at most 0", text)
        self.assertTrue(image.read_bytes().startswith(b"\x89PNG"))
        self.assertIn("data:image/png", page.read_text())
        self.assertIn("random", self.call(0, "compare", str(report), str(report)))

    @parameterized.expand(
        [
            ("missed", Outcome(figure="loads", at_most=0)),
            ("unknown", Outcome(figure="x")),
        ]
    )
    def test_missed_outcome(self, _name, outcome):
        write_outcomes([outcome], self.trace)
        text = self.call(1, "run", str(self.trace), "--no-slowdowns")
        self.assertIn("MISSED", text)

    @parameterized.expand([("policy", "sequoia"), ("trace", "sequoiafall")])
    def test_bad_input(self, name, policy):
        if name == "trace":
            self.trace.write_text("{}")
        self.call(2, "run", str(self.trace), "--policy", policy)


class RecordedTraceTest(unittest.TestCase):
    """Recorded traces of the demonstration meet their expected outcomes."""

    def test_committed_traces(self):
        traces = sorted(TRACES.glob("*.jsonl"))
        self.assertTrue(traces)
        for path in traces:
            self.assertTrue(outcomes_path(path).exists(), path)
            result = CliRunner().invoke(app, ["run", str(path), "--no-slowdowns"])
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("met: requests at least", result.output)


if __name__ == "__main__":
    unittest.main()
