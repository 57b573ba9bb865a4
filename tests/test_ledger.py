"""Tests of the ledger for non-idempotent calls."""

import contextlib
import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.ledger import (
    CALL_TIMEOUT_S,
    Commit,
    Committed,
    Found,
    InvalidTransition,
    LedgerCall,
    LookUp,
    NotApplied,
    Proceed,
    Refuse,
    Replay,
    Send,
    StoredResponse,
    Uncertain,
    fingerprint_of,
)
from sequoiafall.refusal import Refusal

ANSWER = StoredResponse(200, "text/plain", b"done")


def new_call(operation="op", fingerprint="f", started_at_ms=0) -> LedgerCall:
    """Return a call of organisation ``o`` under key ``k``."""
    return LedgerCall("o", "k", fingerprint, operation, started_at_ms)


def claimed_call() -> tuple[LedgerCall, Commit]:
    """Return a call in state ``claiming`` and the transaction with its intent."""
    call = new_call()
    call.look_up()
    call.on_looked_up(Found(0, None))
    return call, call.claim()


class LedgerCallTest(unittest.TestCase):
    """A call is sent only with a stored intent; other calls follow the row."""

    def row(self, state, answer=None, fingerprint="f"):
        call, claim = claimed_call()
        row = {**claim.value, "state": state, "fingerprint": fingerprint}
        if answer is not None:
            call.on_claimed(Committed(1))
            call.begin_send()
            row = {**call.on_response(answer).value, "fingerprint": fingerprint}
        return Found(1, row)

    @parameterized.expand(
        [
            ("intent", "intent", None, "f", 0, "in_progress", "unknown"),
            ("late", "intent", None, "f", 10**9, "outcome_unknown", "unknown"),
            ("unknown", "unknown", None, "f", 0, "outcome_unknown", "unknown"),
            ("other", "finished", ANSWER, "g", 0, "idempotency_mismatch", "not run"),
            ("other_intent", "intent", None, "g", 0, "idempotency_mismatch", "not run"),
            ("other_not_run", "not_run", None, "g", 0, "idempotency_mismatch", None),
        ]
    )
    def test_refused_by_row(
        self, _name, state, answer, other, started_at_ms, reason, ran
    ):
        found = self.row(state, answer, other)
        for steps in ("look_up", "claim"):
            call = new_call("second", started_at_ms=started_at_ms)
            call.look_up()
            if steps == "look_up":
                action = call.on_looked_up(found)
            else:
                call.on_looked_up(Found(0, None))
                call.claim()
                action = call.on_claimed(found)
            self.assertIsInstance(action, Refuse)
            self.assertEqual(action.refusal.reason, reason)
            self.assertEqual(action.refusal.ran, ran or "not run")
            with self.assertRaises(InvalidTransition):
                call.begin_send()

    def test_finished_call_is_replayed(self):
        call = new_call("second")
        call.look_up()
        action = call.on_looked_up(self.row("finished", ANSWER))
        self.assertEqual(action, Replay(ANSWER))

    def test_second_send_is_refused(self):
        call, _ = claimed_call()
        self.assertEqual(call.on_claimed(Committed(1)), Send())
        call.begin_send()
        with self.assertRaises(InvalidTransition):
            call.begin_send()
        with self.assertRaises(InvalidTransition):
            call.refuse(Refusal("draining"))

    @parameterized.expand([("outage", NotApplied()), ("lost", Uncertain())])
    def test_no_send_without_a_stored_intent(self, _name, reply):
        call, _ = claimed_call()
        action = call.on_claimed(reply)
        while not isinstance(action, Refuse):
            action = call.on_claimed(Uncertain())
        self.assertEqual(action.refusal.ran, "not run")
        self.assertTrue(action.must_abandon)
        with self.assertRaises(InvalidTransition):
            call.begin_send()

    def test_lost_reply_is_read_back(self):
        call, claim = claimed_call()
        self.assertEqual(call.on_claimed(Uncertain()), LookUp("ledger/o/k"))
        self.assertEqual(call.on_claimed(Found(1, claim.value)), Send())

    def test_absent_row_repeats_the_same_operation(self):
        call, claim = claimed_call()
        call.on_claimed(Uncertain())
        self.assertEqual(call.on_claimed(Found(0, None)), claim)

    def test_row_of_a_call_that_did_not_run_is_taken_over(self):
        call = new_call("second")
        call.look_up()
        self.assertEqual(call.on_looked_up(self.row("not_run")), Proceed())
        self.assertEqual(call.claim().version, 1)

    def test_expiry_is_after_the_call(self):
        _, claim = claimed_call()
        self.assertEqual(claim.value["expires_at_ms"], CALL_TIMEOUT_S * 1000)

    def test_fingerprint_separates_its_parts(self):
        self.assertNotEqual(
            fingerprint_of("r", "POST", "/a", b"b"),
            fingerprint_of("r", "POST", "/", b"ab"),
        )


class _SimulatedTable:
    """Simulated table service that fails, loses replies and executes writes late."""

    def __init__(self, generator, faults):
        self.generator = generator
        self.faults = faults
        self.version, self.value = 0, None
        self.versions = 0
        self.replies_by_operation = {}
        self.late = []

    def perform(self, action):
        fault = ""
        if self.faults and self.generator.random() < 0.4:
            fault = self.generator.choice(self.faults)
        if fault == "outage":
            return NotApplied()
        if isinstance(action, LookUp):
            return NotApplied() if fault else Found(self.version, self.value)
        if fault == "late":
            self.late.append(action)
            return Uncertain()
        if fault == "dropped":
            return Uncertain()
        reply = self.commit(action)
        return Uncertain() if fault == "lost_reply" else reply

    def commit(self, action):
        known = self.replies_by_operation.get(action.operation_id)
        if known is not None:
            return known
        if action.version == self.version:
            self.versions += 1
            self.version, self.value = self.versions, action.value
            reply = Committed(self.version)
        else:
            reply = Found(self.version, self.value)
        self.replies_by_operation[action.operation_id] = reply
        return reply

    def execute_late_write(self):
        if self.late:
            self.commit(self.late.pop(self.generator.randrange(len(self.late))))


class _Simulation:
    """Simulated gateways that run calls under one key, step by step."""

    def __init__(self, generator, faults):
        self.generator = generator
        self.table = _SimulatedTable(generator, faults)
        self.sends = []
        self.results = []
        self.numbers = itertools.count()

    def run_call(self, name, fingerprint):
        """Yield the actions of one call; a crash stops the iteration."""
        call = new_call(name, fingerprint)
        action = call.on_looked_up((yield call.look_up()))
        if isinstance(action, Proceed):
            action = call.claim()
            while isinstance(action, Commit | LookUp):
                action = call.on_claimed((yield action))
        if isinstance(action, Send):
            if self.generator.random() < 0.2:
                action = call.refuse(Refusal("no_backend_server"))
            else:
                yield from self.send(call, name, fingerprint)
                return
        self.results.append((name, fingerprint, action))
        if isinstance(action, Refuse) and action.must_abandon:
            yield from self.abandon(call)

    def send(self, call, name, fingerprint):
        call.begin_send()
        self.sends.append((name, fingerprint))
        yield None
        if self.generator.random() < 0.3:
            commit, action = call.on_broken()
        else:
            answer = StoredResponse(200, "", name.encode())
            commit, action = call.on_response(answer), Replay(answer)
        self.results.append((name, fingerprint, action))
        while not isinstance((yield commit), Committed | Found):
            pass

    def abandon(self, call):
        for _ in range(20):
            found = yield LookUp(call.key)
            if isinstance(found, Found):
                commit = call.abandon(found)
                if commit is None or isinstance((yield commit), Committed):
                    return

    def run(self, fingerprints, crash_share):
        """Run all calls interleaved; each may crash between any two steps."""
        waiting = [
            self.run_call(f"c{next(self.numbers)}", fingerprint)
            for fingerprint in fingerprints
        ]
        running = []
        while waiting or running:
            if waiting and (not running or self.generator.random() < 0.3):
                call = waiting.pop(0)
                running.append((call, next(call)))
                continue
            call, action = running.pop(self.generator.randrange(len(running)))
            if self.generator.random() < crash_share:
                continue
            reply = None if action is None else self.table.perform(action)
            with contextlib.suppress(StopIteration):
                running.append((call, call.send(reply)))
            if self.generator.random() < 0.3:
                self.table.execute_late_write()
            value = self.table.value
            if value is not None and value["state"] == "not_run":
                assert not self.sends, "a row says not run after a send"


class LedgerPropertyTest(unittest.TestCase):
    """With any faults, a call runs at most once and "not run" is true."""

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(["f", "f", "f", "g"]), min_size=2, max_size=6),
        st.lists(st.sampled_from(["outage", "late", "dropped", "lost_reply"])),
        st.sampled_from([0.0, 0.05, 0.3]),
    )
    def test_at_most_once(self, seed, fingerprints, faults, crash_share):
        simulation = _Simulation(random.Random(seed), faults)
        simulation.run(fingerprints, crash_share)
        self.assertLessEqual(len(simulation.sends), 1)
        for name, fingerprint, action in simulation.results:
            if isinstance(action, Replay):
                sender = (action.response.body.decode(), fingerprint)
                self.assertEqual([sender], simulation.sends)
            elif action.refusal.ran == "not run":
                self.assertNotIn((name, fingerprint), simulation.sends)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(["late", "dropped", "lost_reply"])),
    )
    def test_order_is_not_lost(self, seed, faults):
        """After the faults have ended, a call that never ran can be run."""
        simulation = _Simulation(random.Random(seed), faults)
        simulation.run(["f"] * 3, 0.0)
        while simulation.table.late:
            simulation.table.execute_late_write()
        simulation.table.faults = []
        simulation.generator = random.Random(1)
        simulation.run(["f"], 0.0)
        self.assertEqual(len(simulation.sends), 1)
