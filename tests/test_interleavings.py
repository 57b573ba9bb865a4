"""Property-based tests of several coordinators under random events."""

import copy
import itertools
import unittest

from hypothesis import HealthCheck, given, note, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from .coordinator_cluster import NAMES, Cluster, Interleavings
from .steps import steps_from, steps_of

EXAMPLES = 120
STEPS = 60
EXAMPLES_OF_STEPS = 400

BOOLEANS = [False, True]


class InterleavingsTest(unittest.TestCase):
    """Message loss, delay, pause, crash, restart, partition, outage in any order."""

    def test_invariants(self):
        run_state_machine_as_test(
            Interleavings,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


SIDES = [*itertools.combinations(NAMES[:3], 1), *itertools.combinations(NAMES[:3], 2)]
ORDINARY_STEPS = [
    steps_of("run", [1, 3]),
    steps_of("run", [6, 12]),
    steps_of("edit", NAMES[:3], [False]),
    steps_of("separate", SIDES) + steps_of("rejoin"),
]
# Each example uses two of these kinds, so that faults of the same kind combine.
HOSTILE_STEPS = [
    steps_of("separate", SIDES, [True]) + steps_of("rejoin"),
    steps_of("toggle_link", NAMES[:3], NAMES[:3]),
    steps_of("restart", NAMES[:3]),
    steps_of("replace", NAMES[:3], NAMES[3:4]) + steps_of("set_platform", BOOLEANS),
    steps_of("toggle_pause", NAMES[:3]),
    steps_of("kill", NAMES),
    steps_of("leave", NAMES[:4]),
    steps_of("change_view", NAMES[3:4], BOOLEANS),
    steps_of("set_platform", BOOLEANS),
    steps_of("hold_heartbeats", [Cluster.late_heartbeat]) + steps_of("deliver_held"),
    steps_of("hold_heartbeats", [Cluster.heartbeat_with_late_reply])
    + steps_of("deliver_held"),
    steps_of("platform_read", NAMES[:3], [0.3]) + steps_of("confirm_only", NAMES[:3]),
    steps_of("notify", NAMES[:3], NAMES[:3]),
]
# One observer suffices; a second one would only make the test slower.
INITIAL = Cluster()
INITIAL.kill(NAMES[4])
INITIAL.run(4)


class StepsTest(unittest.TestCase):
    """Combinations of faults that single random events rarely reach."""

    @settings(
        max_examples=EXAMPLES_OF_STEPS, derandomize=True, deadline=None, database=None
    )
    @given(st.binary(min_size=22, max_size=42))
    def test_invariants_after_every_step(self, code):
        cluster = copy.deepcopy(INITIAL)
        steps = list(steps_from(code, ORDINARY_STEPS, HOSTILE_STEPS, 2))
        try:
            for name, *arguments in steps:
                getattr(cluster, name)(*arguments)
                cluster.check()
        except AssertionError:
            note(f"steps: {steps}")
            raise


if __name__ == "__main__":
    unittest.main()
