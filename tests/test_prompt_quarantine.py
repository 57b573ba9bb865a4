"""Tests of the quarantine of requests that crash servers, without network."""

import copy
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.crash_evidence import (
    BEGUN_GRACE_S,
    CRASH_TTL_S,
    HARMFUL_EVENTS,
    MAX_BEGUN,
    MAX_CRASHES_PER_SUSPECT,
    MAX_FAILED_TRIALS,
    MAX_QUARANTINE_S,
    MAX_SINGLES_PER_MESSAGE,
    MAX_SUSPECTS,
    QUARANTINE_S,
    QUARANTINE_TTL_S,
    CrashEvidence,
    ServerStart,
    quarantine_s,
)
from sequoiafall.evidence_exchange import _from_wire, _to_wire
from sequoiafall.prompt_quarantine import (
    HOLD_S,
    TRIAL_TTL_S,
    PromptQuarantine,
    Verdict,
)
from sequoiafall.refusal import Reason
from sequoiafall.stored_evidence import from_stored, to_stored

from .test_engine_planner import Driver

NOW = 1000.0
REQUEST = "request:a"


def crash(evidence, parts, *times, first=0):
    """Record crashes of different servers at times in seconds after `NOW`."""
    for number, time_s in enumerate(times, first):
        evidence.record_crash(ServerStart(f"e{number}", 7), parts, NOW + time_s)


class EvidenceTest(unittest.TestCase):
    """Which parts count as suspected or harmful after crashes and begun responses."""

    @parameterized.expand(
        [
            ("one crash", [0.0], [], "suspected"),
            ("crashes one after the other", [0.0, 0.5, 1.0], [], "harmful"),
            # A loss of power is one event, whatever the servers ran.
            ("all servers at once", [0.0, 0.01, 0.02, 0.03, 0.05], [], "suspected"),
            ("two events", [0.0, 0.02, 0.5, 0.52, 0.55], [], "suspected"),
            ("three at once, then one", [0.0, 0.01, 0.02, 4.0], [], "suspected"),
            # Copies of one request, which instances send at the same time.
            ("three at once, then two", [0.0, 0.01, 0.02, 4.0, 4.01], [], "harmful"),
            ("two losses of power", [0.0, 0.0, 0.0, 9.0, 9.0], [5.0], "suspected"),
            ("popular part, before", [0.0, 0.5, 1.0], [-0.5, 0.2, 0.7], "clear"),
            ("popular part, after", [0.0, 0.5, 1.0], [1.2], "clear"),
            ("sound long before", [0.0, 0.5, 1.0], [-9.0], "harmful"),
            ("sound in between", [0.0, 0.5, 9.0], [3.0], "suspected"),
        ]
    )
    def test_conclusion(self, _name, crashes, begun, expected):
        evidence = CrashEvidence()
        events = [(time_s, True) for time_s in crashes]
        events += [(time_s, False) for time_s in begun]
        servers = itertools.count()
        for time_s, is_crash in sorted(events):
            if is_crash:
                crash(evidence, ["p"], time_s, first=next(servers))
            else:
                evidence.record_begun(["p"], NOW + time_s)
        row = evidence.suspect("p", NOW + 10.0)
        seen = "clear" if row is None else "suspected"
        if row is not None and row.is_harmful:
            seen = "harmful"
        self.assertEqual(seen, expected)

    def test_one_start_of_a_server_crashes_once(self):
        evidence = CrashEvidence()
        for time_s in (0.0, 0.5, 1.0, 1.5):
            evidence.record_crash(ServerStart("e1", 7), ["p"], NOW + time_s)
        self.assertEqual(evidence.suspect("p", NOW + 2.0).events(NOW + 2.0), 1)

    def test_crashes_of_a_server_whose_restarts_are_not_known(self):
        """The registry cannot be read during an outage of the store."""
        evidence = CrashEvidence()
        for time_s in (0.0, 0.01, 3.0, 3.05, 6.0):
            evidence.record_crash(ServerStart("d1", 7), ["p"], NOW + time_s)
        self.assertTrue(evidence.suspect("p", NOW + 6.0).is_harmful)
        self.assertEqual(evidence.suspect("p", NOW + 6.0).failed_trials, 0)

    @parameterized.expand(
        [
            ("in progress at the crash", 0.9, -0.1, 1),
            ("sent while connections close one by one", 0.9, 0.05, 1),
            ("sent to the server after a quick restart", 0.9, 0.8, 2),
        ]
    )
    def test_crash_of_a_server_that_restarts_quickly(
        self, _name, crash_after_s, sent_after_s, expected
    ):
        """Crashes within two seconds of each other were taken for one."""
        evidence = CrashEvidence()
        start = ServerStart("d1", 7)
        evidence.record_crash(start, ["p"], NOW)
        reached = evidence.current_start(start, ["p", "q"], NOW + sent_after_s)
        evidence.record_crash(reached, ["p", "q"], NOW + crash_after_s)
        events = evidence.suspect("p", NOW + 1.0).events(NOW + 1.0)
        self.assertEqual(events, expected)

    def test_crash_after_a_start_that_is_known(self):
        evidence = CrashEvidence()
        evidence.record_crash(ServerStart("d1", 7), ["p"], NOW)
        start = ServerStart("d1", 8)
        self.assertEqual(evidence.current_start(start, ["p"], NOW + 0.8), start)

    @parameterized.expand(
        [
            ("at once", 0.3, False),
            ("sent before the crash", -0.1, True),
            ("after a restart", 3.0, True),
            ("not certain", -NOW, True),
        ]
    )
    def test_response_refutes_a_crash(self, _name, sent_after_s, remains):
        """A broken response is no crash if the server answers the next call."""
        evidence = CrashEvidence()
        crash(evidence, ["p"], 0.0)
        evidence.record_response("e0", NOW + sent_after_s, NOW + 4.0)
        self.assertEqual(evidence.suspect("p", NOW + 4.0) is not None, remains)

    def test_trial_long_after_the_crashes(self):
        """A wrong verdict ends with a trial even if its crashes are forgotten."""
        evidence = CrashEvidence()
        crash(evidence, ["p"], 0.0, 0.5, 1.0)
        evidence.record_begun(["p"], NOW + CRASH_TTL_S + 60.0)
        self.assertIsNone(evidence.suspect("p", NOW + CRASH_TTL_S + 61.0))

    def test_quarantine_is_bounded(self):
        for failed_trials in (5, 100, 2**31 - 1):
            self.assertEqual(quarantine_s(failed_trials), MAX_QUARANTINE_S)

    def test_server_that_crashes_after_a_refuted_crash(self):
        """A response that broke off earlier must not hide the crash of its server."""
        evidence = CrashEvidence()
        crash(evidence, ["p"], 0.0)
        evidence.record_response("e0", NOW + 0.1, NOW + 0.2)
        crash(evidence, ["p"], 20.0)
        self.assertEqual(evidence.suspect("p", NOW + 20.0).events(NOW + 20.0), 1)

    def test_refuted_crashes_after_a_loss_of_power(self):
        """Resets by servers that respond are no evidence, however many there are."""
        evidence, other = CrashEvidence(), CrashEvidence()
        crash(evidence, ["p"], 0.0, 0.01, 0.02)
        crash(evidence, ["p"], 4.0, 4.01, first=3)
        other.merge(copy.deepcopy(evidence.since_revision(0, NOW + 4.1)), NOW + 4.1)
        self.assertTrue(other.suspect("p", NOW + 4.2).is_harmful)
        evidence.record_response("e3", NOW + 4.2, NOW + 4.21)
        evidence.record_response("e4", NOW + 4.2, NOW + 4.21)
        other.merge(evidence.since_revision(0, NOW + 4.3), NOW + 4.3)
        for row in (evidence.suspect("p", NOW + 4.4), other.suspect("p", NOW + 4.4)):
            self.assertFalse(row.is_harmful)
            self.assertEqual(row.failed_trials, 0)

    def test_refuted_crash_lifts_a_conviction(self):
        evidence = CrashEvidence()
        crash(evidence, ["p"], 0.0, 0.5, 1.0)
        self.assertTrue(evidence.suspect("p", NOW + 1.0).is_harmful)
        evidence.record_response("e2", NOW + 1.1, NOW + 1.11)
        self.assertFalse(evidence.suspect("p", NOW + 1.2).is_harmful)

    @parameterized.expand(
        [
            ("suspected", [0.0, 0.5], CRASH_TTL_S),
            ("harmful", [0.0, 0.5, 1.0], QUARANTINE_S + QUARANTINE_TTL_S),
        ]
    )
    def test_evidence_is_forgotten(self, _name, crashes, ttl_s):
        evidence = CrashEvidence()
        crash(evidence, ["p"], *crashes)
        self.assertTrue(evidence.since_revision(0, NOW + ttl_s - 2.0))
        self.assertEqual(evidence.since_revision(0, NOW + ttl_s + 2.0), [])

    def test_memory_is_bounded(self):
        """The parts of many requests neither grow without bound nor hide a culprit."""
        evidence = CrashEvidence()
        crash(evidence, ["culprit"], 0.0, 0.5, 1.0)
        for number in range(3 * MAX_SUSPECTS):
            crash(evidence, [f"p{number}"], 2.0, first=9)
        for number in range(2 * MAX_BEGUN):
            evidence.record_begun([f"q{number}"], NOW + 3.0)
        for number in range(3 * MAX_CRASHES_PER_SUSPECT):
            crash(evidence, ["culprit"], 4.0 + number, first=20 + number)
        rows = evidence.since_revision(0, NOW + 5.0)
        self.assertLessEqual(len(rows), MAX_SUSPECTS)
        self.assertLessEqual(len(evidence._begun_at_by_key), MAX_BEGUN)
        row = evidence.suspect("culprit", NOW + 5.0)
        self.assertTrue(row.is_harmful)
        self.assertLessEqual(len(row.crashes_by_start), MAX_CRASHES_PER_SUSPECT)

    def test_flood_of_distinct_requests(self):
        """Verdicts, and crashes that repeat, outlast a flood of single crashes."""
        evidence = CrashEvidence()
        crash(evidence, ["harmful"], 0.0, 0.5, 1.0)
        crash(evidence, ["repeated"], 1.5, 2.0, first=5)
        for server in range(100):
            keys = [f"request:{server}-{number}" for number in range(64)]
            for key in keys:
                crash(evidence, [key], 3.0 + 0.2 * server, first=server)
        now = NOW + 30.0
        self.assertLessEqual(len(evidence.since_revision(0, now)), MAX_SUSPECTS)
        self.assertTrue(evidence.suspect("harmful", now).is_harmful)
        self.assertEqual(evidence.suspect("repeated", now).events(now), 2)

    def test_flood_of_distinct_parts(self):
        """Parts of the requests that a crash cuts do not displace the harmful one."""
        evidence = CrashEvidence()
        for server in range(3):
            crash(evidence, [REQUEST, "p"], 10.0 * server, first=server)
            for number in range(63):
                name = f"{server}.{number}"
                keys = [f"request:{name}", *(f"{name}.{part}" for part in range(20))]
                crash(evidence, keys, 10.0 * server, first=server)
        row = evidence.suspect(REQUEST, NOW + 20.0)
        self.assertIsNotNone(row)
        self.assertTrue(row.is_harmful)

    def test_flood_of_parts_with_two_crashes(self):
        """A request with two crashes was dropped for the parts of others."""
        evidence = CrashEvidence()
        crash(evidence, [REQUEST], 0.0, 0.5)
        for number in range(MAX_SUSPECTS + 10):
            crash(evidence, [f"p{number}"], 1.0, 1.5, first=2 * number)
        row = evidence.suspect(REQUEST, NOW + 2.0)
        self.assertIsNotNone(row)
        self.assertEqual(row.events(NOW + 2.0), 2)

    def test_messages_are_bounded(self):
        """A verdict does not wait behind a flood of single crashes."""
        evidence = CrashEvidence()
        for number in range(5 * MAX_SINGLES_PER_MESSAGE):
            crash(evidence, [f"s{number}"], 0.0, first=number)
        crash(evidence, ["harmful"], 0.0, 0.5, 1.0)
        rows, revision = evidence.next_changes(0, NOW + 1.0)
        self.assertIn("harmful", {row.key for row in rows})
        messages = [rows]
        while revision < evidence.revision:
            rows, revision = evidence.next_changes(revision, NOW + 1.0)
            messages.append(rows)
        self.assertEqual(len(messages), 5)
        for rows in messages:
            singles = [row for row in rows if row.is_single]
            self.assertLessEqual(len(singles), MAX_SINGLES_PER_MESSAGE)
        keys = {row.key for rows in messages for row in rows}
        self.assertEqual(len(keys), 5 * MAX_SINGLES_PER_MESSAGE + 1)

    def test_changes_are_in_order(self):
        """A row that changed again is sent again, and others are not."""
        evidence = CrashEvidence()
        for number, key in enumerate(("p", "q", "r")):
            crash(evidence, [key], 0.0, first=number)
        revision = evidence.revision
        self.assertEqual(evidence.since_revision(revision, NOW), [])
        crash(evidence, ["p"], 1.0, first=7)
        rows = evidence.since_revision(revision, NOW + 1.0)
        self.assertEqual([row.key for row in rows], ["p"])
        self.assertEqual(len(evidence.since_revision(0, NOW + 1.0)), 3)


class MergeTest(unittest.TestCase):
    """Instances that see one crash each come to the same conclusion."""

    def exchange(self, sender, receiver, now):
        rows = [_to_wire(row, now) for row in sender.since_revision(0, now)]
        receiver.merge([_from_wire(row, now) for row in rows], now)

    def test_each_instance_sees_one_crash(self):
        instances = [CrashEvidence() for _ in range(HARMFUL_EVENTS)]
        for number, evidence in enumerate(instances):
            crash(evidence, ["p"], 0.5 * number, first=number)
        for sender, receiver in itertools.permutations(instances, 2):
            self.exchange(sender, receiver, NOW + 2.0)
        for evidence in instances:
            self.assertTrue(evidence.suspect("p", NOW + 2.0).is_harmful)

    def test_sound_response_elsewhere_clears_the_part(self):
        first, second = CrashEvidence(), CrashEvidence()
        crash(first, ["p"], 0.0, 0.5, 1.0)
        self.exchange(first, second, NOW + 1.1)
        second.record_begun(["p"], NOW + 1.2)
        self.exchange(second, first, NOW + 1.3)
        self.assertIsNone(first.suspect("p", NOW + 1.3))
        # What the first one knew before does not come back.
        self.exchange(first, second, NOW + 1.4)
        self.assertIsNone(second.suspect("p", NOW + 1.4))

    def test_refuted_crash_elsewhere_lifts_a_conviction(self):
        """The one that refutes a crash does not adopt the verdict again."""
        first, second = CrashEvidence(), CrashEvidence()
        crash(first, ["p"], 0.0, 0.5, 1.0)
        self.exchange(first, second, NOW + 1.05)
        second.record_response("e2", NOW + 1.1, NOW + 1.11)
        for sender, receiver in ((first, second), (second, first), (first, second)):
            self.exchange(sender, receiver, NOW + 1.2)
        for evidence in (first, second):
            self.assertFalse(evidence.suspect("p", NOW + 1.2).is_harmful)

    def test_one_of_two_late_crashes_is_refuted(self):
        """What remains, three servers at once and one more, makes no verdict."""
        evidence = CrashEvidence()
        crash(evidence, ["p"], 0.0, 0.01, 0.02)
        crash(evidence, ["p"], 4.0, 4.01, first=3)
        evidence.record_response("e3", NOW + 4.2, NOW + 4.21)
        self.assertFalse(evidence.suspect("p", NOW + 4.3).is_harmful)

    def test_verdict_on_its_way_while_its_crashes_are_refuted(self):
        """Two instances gave a verdict without evidence back to each other."""
        first, second = CrashEvidence(), CrashEvidence()
        for evidence in (first, second):
            crash(evidence, ["p"], 0.0, 0.01, 0.02)
            crash(evidence, ["p"], 4.0, 4.01, first=3)
        for server in ("e3", "e4"):
            first.record_response(server, NOW + 4.2, NOW + 4.21)
        # The second one has not heard of it.
        for sender, receiver in 2 * ((second, first), (first, second)):
            self.exchange(sender, receiver, NOW + 4.3)
        for evidence in (first, second):
            row = evidence.suspect("p", NOW + 4.4)
            self.assertEqual((row.is_harmful, row.failed_trials), (False, 0))

    def test_failed_trial_of_another_instance_remains(self):
        """A refuted crash is no reason to forget a trial in which none responded."""
        first, second = CrashEvidence(), CrashEvidence()
        crash(first, ["p"], 0.0, 0.5, 1.0)
        self.exchange(first, second, NOW + 1.1)
        second.record_failed_trial("p", NOW + 31.0)
        first.record_response("e2", NOW + 1.2, NOW + 1.3)
        self.exchange(second, first, NOW + 31.1)
        row = first.suspect("p", NOW + 31.2)
        self.assertEqual((row.is_harmful, row.failed_trials), (True, 1))

    def test_later_crash_of_a_refuted_one(self):
        first, second = CrashEvidence(), CrashEvidence()
        crash(first, ["p"], 0.0)
        first.record_response("e0", NOW + 0.1, NOW + 0.2)
        self.exchange(first, second, NOW + 1.0)
        crash(second, ["p"], 20.0)
        for sender, receiver in ((first, second), (second, first)):
            self.exchange(sender, receiver, NOW + 21.0)
        for evidence in (first, second):
            row = evidence.suspect("p", NOW + 21.0)
            self.assertEqual(row.events(NOW + 21.0), 1)

    def test_begun_response_that_was_never_sent_on(self):
        """An instance knows of a sound response when it hears of the crashes."""
        first, second = CrashEvidence(), CrashEvidence()
        second.record_begun(["p"], NOW + 0.8)
        crash(first, ["p"], 0.0, 0.5, 1.0)
        self.exchange(first, second, NOW + 1.1)
        self.assertIsNone(second.suspect("p", NOW + 1.1))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["crash", "begun", "response", "exchange"]),
                st.integers(0, 2),
                st.sampled_from(["p", "q"]),
                st.floats(0.0, 3.0),
            ),
            max_size=25,
        )
    )
    def test_merging_twice_changes_nothing(self, steps):
        """All instances agree once they have exchanged what they know, and stay so."""
        instances = [CrashEvidence() for _ in range(3)]
        now = NOW
        for who, step, other, part, pause_s in steps:
            now += pause_s
            evidence = instances[who]
            if step == "crash":
                evidence.record_crash(ServerStart(f"e{other}", int(now)), [part], now)
            elif step == "begun":
                evidence.record_begun([part], now)
            elif step == "response":
                evidence.record_response(f"e{other}", now - 0.1, now)
            else:
                self.exchange(evidence, instances[other], now)
        for _ in range(2):
            for sender, receiver in itertools.permutations(instances, 2):
                self.exchange(sender, receiver, now)
        states = [self.describe(evidence, now) for evidence in instances]
        self.assertEqual(states[0], states[1])
        self.assertEqual(states[0], states[2])
        revisions = [evidence.revision for evidence in instances]
        for sender, receiver in itertools.permutations(instances, 2):
            self.exchange(sender, receiver, now)
        self.assertEqual([evidence.revision for evidence in instances], revisions)

    def describe(self, evidence, now):
        return {
            part: (row.is_harmful, frozenset(row.crashed_starts(now)))
            for part in ("p", "q")
            if (row := evidence.suspect(part, now)) is not None
        }


class QuarantineTest(unittest.TestCase):
    """Which requests run while a part is suspected or harmful."""

    def setUp(self):
        self.evidence = CrashEvidence()
        self.quarantine = PromptQuarantine(self.evidence)

    def decide(self, request_id, parts, time_s):
        return self.quarantine.decide(request_id, parts, NOW + time_s)

    def test_part_of_a_request_that_crashes_many_servers_at_once(self):
        """Sound requests with the part were refused as after two failed trials."""
        crash(self.evidence, [REQUEST, "p"], 0.0, 0.01, 0.02, 0.3, 0.35)
        self.assertIs(self.decide("r1", [REQUEST, "p"], 5.0), Verdict.REFUSE)
        self.assertIs(self.decide("r2", ["request:b", "p"], 5.0), Verdict.TRIAL)
        self.evidence.record_failed_trial("p", NOW + 6.0)
        self.assertIs(self.decide("r3", ["request:b", "p"], 7.0), Verdict.REFUSE)

    def test_parts_that_crash_many_servers_at_once_together(self):
        """Which of them is harmful was not tried before the quarantine was over."""
        crash(self.evidence, ["p", "q"], 0.0, 0.01, 0.02, 0.3, 0.35)
        self.assertIs(self.decide("r1", ["p", "q"], 5.0), Verdict.REFUSE)
        self.assertIs(self.decide("r2", ["p"], 5.0), Verdict.TRIAL)

    def test_suspected_part_runs_once_at_a_time(self):
        crash(self.evidence, ["p"], 0.0)
        self.assertIs(self.decide("r1", ["p"], 1.0), Verdict.TRIAL)
        self.assertTrue(self.quarantine.begin_trial("r1", ["p"], NOW + 1.0))
        self.assertIs(self.decide("r1", ["p"], 1.0), Verdict.TRIAL)
        self.assertIs(self.decide("r2", ["p"], 1.0), Verdict.WAIT)
        self.assertIs(self.decide("r3", ["other"], 1.0), Verdict.PASS)
        self.quarantine.end_trial("r1")
        self.assertIs(self.decide("r2", ["p"], 1.5), Verdict.TRIAL)
        self.evidence.record_begun(["p"], NOW + 1.6)
        self.assertIs(self.decide("r2", ["p"], 1.7), Verdict.PASS)

    def test_trial_of_a_harmful_request_does_not_move(self):
        """A stream without events asks for a second place, which would be a send."""
        crash(self.evidence, [REQUEST], 0.0, 0.5, 1.0)
        time_s = 1.0 + QUARANTINE_S
        self.assertIs(self.decide("r1", [REQUEST], time_s), Verdict.TRIAL)
        self.quarantine.begin_trial("r1", [REQUEST], NOW + time_s)
        self.assertIs(self.decide("r1", [REQUEST], time_s + 1.6), Verdict.REFUSE)

    def test_trial_whose_end_is_lost(self):
        crash(self.evidence, ["p"], 0.0)
        self.quarantine.begin_trial("r1", ["p"], NOW)
        self.assertIs(self.decide("r2", ["p"], TRIAL_TTL_S - 1.0), Verdict.WAIT)
        self.assertIs(self.decide("r2", ["p"], TRIAL_TTL_S + 1.0), Verdict.TRIAL)

    def test_harmful_part_is_tried_ever_more_rarely(self):
        """A harmful part costs few engines, and a wrong conviction ends by itself."""
        crash(self.evidence, ["p"], 0.0, 0.5, 1.0)
        due_s = 1.0
        for failed in range(MAX_FAILED_TRIALS):
            self.assertIs(self.decide("r", ["p"], due_s + 0.1), Verdict.REFUSE)
            due_s += quarantine_s(failed)
            self.assertIs(self.decide("r", ["p"], due_s - 0.1), Verdict.REFUSE)
            self.assertIs(self.decide("r", ["p"], due_s + 0.1), Verdict.TRIAL)
            self.quarantine.begin_trial("r", ["p"], NOW + due_s + 0.1)
            self.assertIs(self.decide("r2", ["p"], due_s + 0.1), Verdict.REFUSE)
            due_s += 0.2
            crash(self.evidence, ["p"], due_s, first=10 + failed)
            self.quarantine.end_trial("r")
        # No more trials, for as long as it is asked for.
        for hours in range(1, 100):
            self.assertIs(
                self.decide("r", ["p"], due_s + 3600.0 * hours), Verdict.REFUSE
            )
        due_s += 3600.0 * 99
        self.assertLessEqual(quarantine_s(50), MAX_QUARANTINE_S)
        self.evidence.record_begun(["p"], NOW + due_s + 1.0)
        self.assertIs(self.decide("r", ["p"], due_s + 1.1), Verdict.PASS)

    def test_crash_of_a_request_that_was_on_its_way(self):
        """It does not prolong the quarantine: no trial has failed."""
        crash(self.evidence, ["p"], 0.0, 0.5, 1.0, 1.2)
        left_s = self.quarantine.retry_after_s(["p"], NOW + 1.2)
        self.assertAlmostEqual(left_s, QUARANTINE_S - 0.2)

    def test_part_that_occurs_beside_the_harmful_one(self):
        """Requests with one of two parts that always crash together show which."""
        crash(self.evidence, ["sound", "harmful"], 0.0, 0.5, 1.0)
        both = ["sound", "harmful"]
        self.assertIs(self.decide("r1", both, 2.0), Verdict.REFUSE)
        self.assertIs(self.decide("r2", ["sound"], 2.0), Verdict.TRIAL)
        self.quarantine.begin_trial("r2", ["sound"], NOW + 2.0)
        self.assertIs(self.decide("r3", ["sound"], 2.0), Verdict.REFUSE)
        self.evidence.record_begun(["sound"], NOW + 2.5)
        self.quarantine.end_trial("r2")
        self.assertIs(self.decide("r3", ["sound"], 2.6), Verdict.PASS)
        self.assertIs(self.decide("r1", both, 2.6), Verdict.REFUSE)
        self.assertIs(self.decide("r4", ["harmful"], 2.6), Verdict.REFUSE)

    def test_harmful_part_without_its_companion(self):
        """The other way round costs one crash, and no more."""
        crash(self.evidence, ["sound", "harmful"], 0.0, 0.5, 1.0)
        self.assertIs(self.decide("r1", ["harmful"], 2.0), Verdict.TRIAL)
        self.quarantine.begin_trial("r1", ["harmful"], NOW + 2.0)
        crash(self.evidence, ["harmful"], 2.2, first=9)
        self.quarantine.end_trial("r1")
        self.assertIs(self.decide("r2", ["harmful"], 2.3), Verdict.REFUSE)

    def test_nothing_is_ambiguous_once_the_crashes_are_forgotten(self):
        crash(self.evidence, ["p", "q"], 0.0, 0.5, 1.0)
        crash(self.evidence, ["p", "q"], QUARANTINE_S + 2.0, first=9)
        self.evidence.suspect("p", NOW).trial_at = NOW + 2.0 * CRASH_TTL_S
        self.assertIs(self.decide("r", ["p"], CRASH_TTL_S + 60.0), Verdict.REFUSE)

    def test_part_of_a_harmful_request(self):
        """Requests that share a part with a harmful request wait, and then run."""
        harmful = [REQUEST, "shared"]
        crash(self.evidence, harmful, 0.0, 0.5, 1.0)
        self.assertIs(self.decide("r1", harmful, 2.0), Verdict.REFUSE)
        refusal = self.quarantine.refusal(harmful, NOW + 2.0, 0.5)
        self.assertIs(refusal.reason, Reason.HARMFUL_REQUEST)
        sound = ["request:b", "shared"]
        self.assertIs(self.decide("r2", sound, 2.0), Verdict.TRIAL)
        self.quarantine.begin_trial("r2", sound, NOW + 2.0)
        self.assertIs(self.decide("r3", ["request:c", "shared"], 2.1), Verdict.WAIT)
        self.evidence.record_begun(sound, NOW + 2.5)
        self.quarantine.end_run("r2", "ok", NOW + 2.5)
        for keys in (sound, ["request:c", "shared"]):
            self.assertIs(self.decide("r4", keys, 2.6), Verdict.PASS)
        self.assertIs(self.decide("r1", harmful, 2.6), Verdict.REFUSE)

    def test_part_is_not_blamed_for_the_trial_of_a_harmful_request(self):
        """Sound requests with the part were refused for the time of failed trials."""
        keys = ["p", "request:a"]
        crash(self.evidence, keys, 0.0, 0.5)
        self.quarantine.begin_trial("r1", keys, NOW + 5.0)
        crash(self.evidence, keys, 5.1, first=5)
        self.quarantine.end_run("r1", "broken", NOW + 5.1)
        rows = [self.evidence.suspect(key, NOW + 5.2) for key in keys]
        self.assertEqual([row.is_harmful for row in rows], [True, True])
        self.assertEqual([row.failed_trials for row in rows], [0, 0])
        due_s = 5.2 + quarantine_s(0)
        self.assertIs(self.decide("r2", keys, due_s), Verdict.TRIAL)
        self.quarantine.begin_trial("r2", keys, NOW + due_s)
        crash(self.evidence, keys, due_s + 0.1, first=6)
        self.quarantine.end_run("r2", "broken", NOW + due_s + 0.1)
        self.assertEqual([row.failed_trials for row in rows], [0, 1])
        self.assertIs(self.decide("r3", keys, due_s + 0.2), Verdict.REFUSE)
        sound = ["p", "request:b"]
        self.assertIs(self.decide("r4", sound, due_s + 0.2), Verdict.TRIAL)

    def test_harmful_part_in_several_requests(self):
        """A part that crashes servers in another request as well is harmful itself."""
        crash(self.evidence, [REQUEST, "p"], 0.0, 0.5, 1.0)
        self.assertIs(self.decide("r2", ["request:b", "p"], 2.0), Verdict.TRIAL)
        self.quarantine.begin_trial("r2", ["request:b", "p"], NOW + 2.0)
        crash(self.evidence, ["request:b", "p"], 2.2, first=9)
        self.quarantine.end_run("r2", "broken", NOW + 2.2)
        self.assertIs(self.decide("r3", ["request:c", "p"], 2.3), Verdict.REFUSE)
        refusal = self.quarantine.refusal(["request:c", "p"], NOW + 2.3, 0.5)
        self.assertIs(refusal.reason, Reason.HARMFUL_PROMPT)

    def test_sound_request_at_the_same_servers(self):
        """One that was cut by each crash of another request is served soon."""
        for number in range(3):
            for key in (REQUEST, "request:sound"):
                crash(self.evidence, [key], 0.5 * number, first=number)
        self.assertIs(self.decide("r1", ["request:sound"], 2.0), Verdict.TRIAL)
        self.quarantine.begin_trial("r1", ["request:sound"], NOW + 2.0)
        self.assertIs(self.decide("r2", ["request:sound"], 2.0), Verdict.WAIT)
        self.evidence.record_begun(["request:sound"], NOW + 2.1)
        self.quarantine.end_run("r1", "ok", NOW + 2.1)
        self.assertIs(self.decide("r2", ["request:sound"], 2.2), Verdict.PASS)
        self.assertIs(self.decide("r3", [REQUEST], 2.2), Verdict.REFUSE)

    @parameterized.expand(
        [
            ("crashed", "broken", True, 2),
            ("cut off by the caller", "cancelled", False, 2),
            ("too late", "broken", False, 2),
            ("lost", "", False, 2),
            ("not sent", "unreachable", False, 99),
            ("refused by the server", "not_run", False, 2),
        ]
    )
    def test_sends_after_the_verdict(self, _name, outcome, has_crashed, expected):
        """A harmful request that comes every second reaches servers twice a day.

        Trials that show nothing count as well, if a server may have run the request.
        """
        crash(self.evidence, [REQUEST], 0.0, 0.5, 1.0)
        sends = 0
        for time_s in range(2, 86_400):
            request_id = f"r{time_s}"
            if self.decide(request_id, [REQUEST], time_s) is Verdict.REFUSE:
                continue
            sends += 1
            if sends == 99:
                break
            self.quarantine.begin_trial(request_id, [REQUEST], NOW + time_s)
            if has_crashed:
                crash(self.evidence, [REQUEST], time_s + 0.3, first=100 + time_s)
            if outcome:
                self.quarantine.end_run(request_id, outcome, NOW + time_s + 0.3)
        self.assertEqual(sends, expected)

    @parameterized.expand([("leader changes once", 1), ("with each trial", 99)])
    def test_sends_that_two_leaders_admit(self, _name, changes):
        """A new leader does not know of a trial in progress, and makes another one."""
        crash(self.evidence, [REQUEST], 0.0, 0.5, 1.0)
        other = CrashEvidence()
        other.merge(self.evidence.since_revision(0, NOW + 1.0), NOW + 1.0)
        instances = [self.evidence, other]
        leaders = [self.quarantine, PromptQuarantine(other)]
        sends = 0
        for time_s in range(2, 20_000):
            now = NOW + time_s
            due = [
                number
                for number, leader in enumerate(leaders)
                if leader.decide(f"r{time_s}", [REQUEST], now) is not Verdict.REFUSE
            ]
            if due and changes:
                changes -= 1
            else:
                due = due[:1]
            for number in due:
                sends += 1
                leaders[number].begin_trial(f"r{time_s}", [REQUEST], now)
            for number in due:
                start = ServerStart(f"e{time_s}.{number}", 7)
                at = now + 0.3 + 0.2 * number
                instances[number].record_crash(start, [REQUEST], at)
                leaders[number].end_run(f"r{time_s}", "broken", at)
            if due:
                for first, second in ((0, 1), (1, 0)):
                    rows = instances[first].since_revision(0, now + 0.6)
                    instances[second].merge(copy.deepcopy(rows), now + 0.6)
        self.assertLessEqual(sends, 3)

    def test_sends_with_a_companion_of_each_crash(self):
        """An ambiguous verdict allows no more sends than another one."""
        keys = [REQUEST, "request:b"]
        for number in range(3):
            for key in keys:
                crash(self.evidence, [key], 0.5 * number, first=number)
        sends = 0
        for time_s in range(2, 20_000):
            if self.decide(f"r{time_s}", [REQUEST], time_s) is Verdict.REFUSE:
                continue
            sends += 1
            self.quarantine.begin_trial(f"r{time_s}", [REQUEST], NOW + time_s)
            crash(self.evidence, [REQUEST], time_s + 0.3, first=100 + time_s)
            self.quarantine.end_run(f"r{time_s}", "broken", NOW + time_s + 0.3)
        self.assertEqual(sends, 2)

    def test_requests_with_the_same_identity(self):
        """Requests may differ in their prompt only, which the body need not hold."""
        crash(self.evidence, [REQUEST, "p"], 0.0, 0.5)
        self.assertIs(self.decide("r1", [REQUEST, "p"], 0.6), Verdict.WAIT)
        self.assertIs(self.decide("r2", [REQUEST, "q"], 0.6), Verdict.TRIAL)
        crash(self.evidence, [REQUEST, "p"], 1.0, first=7)
        self.assertIs(self.decide("r1", [REQUEST, "p"], 1.1), Verdict.REFUSE)
        self.assertIs(self.decide("r2", [REQUEST, "q"], 1.1), Verdict.TRIAL)
        self.quarantine.begin_trial("r2", [REQUEST, "q"], NOW + 1.1)
        self.assertIs(self.decide("r3", [REQUEST, "q"], 1.2), Verdict.WAIT)
        self.evidence.record_begun([REQUEST, "q"], NOW + 1.3)
        self.quarantine.end_run("r2", "ok", NOW + 1.3)
        self.assertIs(self.decide("r3", [REQUEST, "q"], 1.4), Verdict.PASS)
        self.assertIs(self.decide("r1", [REQUEST, "p"], 1.4), Verdict.REFUSE)

    def test_trials_whose_ends_are_lost_are_dropped(self):
        """Trials of requests that nobody sends again need no memory for ever."""
        for number in range(3 * MAX_SUSPECTS):
            key = f"request:{number}"
            time_s = 0.1 * number
            crash(self.evidence, [key], time_s, first=number)
            self.quarantine.begin_trial(f"r{number}", [key], NOW + time_s)
        self.assertLessEqual(len(self.quarantine._trials_by_key), MAX_SUSPECTS + 1)
        self.assertLessEqual(len(self.quarantine._keys_by_request), MAX_SUSPECTS + 1)

    def test_sends_after_servers_crash_at_once(self):
        """Sends between the third crash and the verdict count as well."""
        crash(self.evidence, [REQUEST], 0.0, 0.02, 0.05)
        sends = 0
        for time_s in range(10, 20_000):
            if self.decide(f"r{time_s}", [REQUEST], time_s) is Verdict.REFUSE:
                continue
            sends += 1
            self.quarantine.begin_trial(f"r{time_s}", [REQUEST], NOW + time_s)
            crash(self.evidence, [REQUEST], time_s + 0.3, first=100 + time_s)
            self.quarantine.end_run(f"r{time_s}", "broken", NOW + time_s + 0.3)
        self.assertEqual(sends, 2)

    def test_suspected_request_waits_for_the_servers_that_it_crashed(self):
        """One that crashed two of three servers must not crash the last one at once."""
        crash(self.evidence, [REQUEST], 0.0, 0.5)
        self.assertIs(self.decide("r1", [REQUEST], 0.6), Verdict.WAIT)
        left_s = self.quarantine.hold_left_s([REQUEST], NOW + 0.6)
        self.assertAlmostEqual(left_s, HOLD_S - 0.1)
        self.assertIs(self.decide("r1", [REQUEST], 0.6 + HOLD_S), Verdict.TRIAL)
        # Other requests that have a part may be sound.
        crash(self.evidence, ["p"], 0.0, 0.5)
        self.assertIs(self.decide("r2", ["p"], 0.6), Verdict.TRIAL)

    def test_wrong_verdict_ends_with_a_trial(self):
        crash(self.evidence, [REQUEST], 0.0, 0.5, 1.0)
        time_s = 1.0 + QUARANTINE_S
        self.assertIs(self.decide("r1", [REQUEST], time_s), Verdict.TRIAL)
        self.quarantine.begin_trial("r1", [REQUEST], NOW + time_s)
        self.evidence.record_begun([REQUEST], NOW + time_s + 0.1)
        self.quarantine.end_run("r1", "ok", NOW + time_s + 0.1)
        self.assertIs(self.decide("r2", [REQUEST], time_s + 0.2), Verdict.PASS)
        self.assertEqual(self.evidence.harmful_suspects(), [])

    def test_two_harmful_parts(self):
        crash(self.evidence, ["p"], 0.0, 0.5, 1.0)
        crash(self.evidence, ["q"], 0.2, 0.7, 1.2, first=5)
        for parts in (["p"], ["q"], ["p", "q"]):
            self.assertIs(self.decide("r", parts, 2.0), Verdict.REFUSE)


class PlannerTest(unittest.TestCase):
    """Pattern: one request in twenty crashes its engine, the rest share its parts."""

    def ask(self, driver, request_id, shared):
        driver.ask(request_id, "", shared_parts=("first", shared))

    def test_crashes_are_few_and_sound_requests_run(self):
        driver = Driver(engines=9)
        engines_lost = []
        served = 0
        for number in range(200):
            driver.run(0.05)
            request_id = f"r{number}"
            is_harmful = number % 20 == 10
            self.ask(driver, request_id, "harmful" if is_harmful else f"s{number % 7}")
            grant = driver.granted.get(request_id)
            if grant is None:
                self.assertTrue(is_harmful)
                self.assertIs(driver.refused[request_id].reason, Reason.HARMFUL_PROMPT)
                continue
            parts = ("first", "harmful" if is_harmful else f"s{number % 7}")
            if is_harmful:
                engines_lost.append(grant.server)
                start = ServerStart(grant.server, len(engines_lost))
                driver.evidence.record_crash(start, parts, driver.now)
            else:
                served += 1
                driver.evidence.record_begun(parts, driver.now)
            outcome = "broken" if is_harmful else "ok"
            driver.apply(driver.planner.end(request_id, outcome, driver.now))
        self.assertEqual(len(engines_lost), HARMFUL_EVENTS)
        self.assertEqual(served, 190)

    def test_waiting_requests_are_refused_with_the_verdict(self):
        driver = Driver(engines=3)
        driver.evidence.record_crash(ServerStart("e0", 1), ("p",), driver.now)
        self.ask(driver, "r1", "p")
        self.ask(driver, "r2", "p")
        self.assertIn("r1", driver.granted)
        self.assertTrue(driver.granted["r1"].is_trial)
        self.assertNotIn("r2", driver.granted)
        for number in (2, 3):
            driver.now += 0.2
            driver.evidence.record_crash(ServerStart("e1", number), ("p",), driver.now)
        driver.run(0.01)
        refusal = driver.refused["r2"]
        self.assertIs(refusal.reason, Reason.HARMFUL_PROMPT)
        self.assertAlmostEqual(refusal.retry_after_s, QUARANTINE_S, delta=0.1)

    def test_waiting_request_runs_when_the_trial_begins(self):
        driver = Driver(engines=3)
        driver.evidence.record_crash(ServerStart("e0", 1), ("p",), driver.now)
        self.ask(driver, "r1", "p")
        self.ask(driver, "r2", "p")
        driver.now += BEGUN_GRACE_S
        driver.evidence.record_begun(("p",), driver.now)
        driver.apply(driver.planner.on_begun("r1", driver.now))
        driver.run(0.01)
        self.assertIn("r2", driver.granted)

    def test_trial_of_a_gateway_that_is_lost(self):
        """It may have reached an engine, so it counts as a failed trial."""
        driver = Driver(engines=3)
        for number in range(3):
            driver.now += 0.3
            start = ServerStart("e0", number)
            driver.evidence.record_crash(start, ("p",), driver.now)
        driver.now += QUARANTINE_S
        driver.report_all()
        self.ask(driver, "r1", "p")
        self.assertTrue(driver.granted["r1"].is_trial)
        driver.now += 3.0
        places = driver.planner._places_by_id["r1"].values()
        gateway = next(iter(places)).request.gateway
        driver.apply(driver.planner.release_gateway(gateway, frozenset(), driver.now))
        self.assertEqual(driver.evidence.suspect("p", driver.now).failed_trials, 1)
        self.ask(driver, "r2", "p")
        self.assertIs(driver.refused["r2"].reason, Reason.HARMFUL_PROMPT)

    def test_waiting_for_a_trial_ends_in_time(self):
        driver = Driver(engines=3)
        driver.evidence.record_crash(ServerStart("e0", 1), ("p",), driver.now)
        self.ask(driver, "r1", "p")
        self.ask(driver, "r2", "p")
        driver.run(2.0)
        self.assertIs(driver.refused["r2"].reason, Reason.OVERLOADED)


class CopyTest(unittest.TestCase):
    """Evidence that was received is not shared with the sender's objects."""

    def test_merge_copies_crashes(self):
        first, second = CrashEvidence(), CrashEvidence()
        crash(first, ["p"], 0.0)
        rows = first.since_revision(0, NOW)
        before = copy.deepcopy(rows)
        second.merge(rows, NOW)
        second.record_response("e0", NOW + 0.1, NOW + 0.2)
        crash(second, ["p"], 1.0, first=5)
        self.assertEqual(rows, before)


class StoredVerdictTest(unittest.TestCase):
    """A verdict outlasts a restart of all instances, however old it is."""

    def setUp(self):
        self.evidence = CrashEvidence()
        crash(self.evidence, [REQUEST], 0.0, 0.5, 1.0)
        for number in range(MAX_FAILED_TRIALS):
            self.evidence.record_failed_trial(REQUEST, NOW + 2.0 + number)

    def test_verdict_whose_crashes_are_forgotten(self):
        """The row is written again when another verdict falls later."""
        now = NOW + CRASH_TTL_S + 60.0
        stored = to_stored(self.evidence.suspect(REQUEST, now), now)
        restarted = CrashEvidence()
        restarted.merge([from_stored(stored, now)], now)
        self.assertIsNotNone(restarted.suspect(REQUEST, now))
        self.assertEqual(
            restarted.suspect(REQUEST, now).failed_trials, MAX_FAILED_TRIALS
        )

    @parameterized.expand([("stored", True), ("sent by another instance", False)])
    def test_machine_that_has_just_booted(self, _name, is_stored):
        """The clock counts from the boot, so past times may be negative."""
        now = NOW + 1.5 * MAX_QUARANTINE_S
        row = self.evidence.suspect(REQUEST, now)
        booted = 20.0
        if is_stored:
            received = from_stored(to_stored(row, now), booted)
        else:
            received = _from_wire(_to_wire(row, now), booted)
        newcomer = CrashEvidence()
        newcomer.merge([received], booted)
        self.assertIsNotNone(newcomer.suspect(REQUEST, booted))
        self.assertTrue(newcomer.suspect(REQUEST, booted).is_harmful)
