"""Tests of the state chart interpreter."""

import random
import unittest

from parameterized import parameterized
from returns.result import Failure, Success
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from sequoiafall.chart import CHARTS_DIRECTORY, Chart, ChartError, Lifecycle, load_chart

NAMES = sorted(path.stem for path in CHARTS_DIRECTORY.glob("*.yaml"))
NESTED = """
statechart:
  name: nested
  root state:
    name: root
    initial: open
    states:
      - name: open
        initial: first
        transitions: [{event: close, target: closed}]
        states:
          - name: first
            transitions: [{event: next, target: second}]
          - name: second
            transitions: [{event: close, target: first}]
      - name: closed
        type: final
"""
GUARDED = """
statechart:
  name: guarded
  root state:
    name: root
    initial: a
    states:
      - name: a
        transitions: [{event: go, target: a, guard: "x > 0"}]
"""


class LifecycleTest(unittest.TestCase):
    """Transitions must agree with sismic; unexpected events must be reported."""

    @parameterized.expand([(name,) for name in NAMES])
    def test_agrees_with_sismic(self, name):
        model = import_from_yaml(filepath=str(CHARTS_DIRECTORY / f"{name}.yaml"))
        events = model.events_for()
        generator = random.Random(name)
        for _ in range(60):
            lifecycle, interpreter = Lifecycle(name), Interpreter(model)
            interpreter.execute()
            for _ in range(12):
                # In a final state, sismic ends the run and has no active state.
                if interpreter.final:
                    self.assertTrue(lifecycle.is_final)
                    break
                self.assertIn(lifecycle.state, interpreter.configuration)
                event = generator.choice(events)
                step = interpreter.queue(event).execute_once()
                handled = step is not None and bool(step.transitions)
                self.assertEqual(isinstance(lifecycle.step(event), Success), handled)

    def test_unexpected_event_is_an_error_and_changes_nothing(self):
        lifecycle = Lifecycle("ownership")
        result = lifecycle.step("grace_over")
        self.assertIsInstance(result, Failure)
        self.assertIn("no transition from awaiting_force", str(result.failure()))
        self.assertEqual(lifecycle.state, "awaiting_force")

    def test_inner_transition_takes_precedence(self):
        chart = Chart.from_statechart(import_from_yaml(NESTED))
        self.assertEqual(chart.initial, "first")
        self.assertEqual(chart.targets_by_step["first", "close"], "closed")
        self.assertEqual(chart.targets_by_step["second", "close"], "first")

    def test_guards_are_refused(self):
        with self.assertRaises(ChartError):
            Chart.from_statechart(import_from_yaml(GUARDED))

    @parameterized.expand([(name,) for name in NAMES])
    def test_every_state_is_reachable(self, name):
        chart = load_chart(name)
        reached, added = set(), {chart.initial}
        while added:
            reached |= added
            steps = chart.targets_by_step.items()
            added = {to for (state, _), to in steps if state in reached} - reached
        states = {state for state, _ in chart.targets_by_step} | chart.final_states
        self.assertEqual(states - reached, set())
