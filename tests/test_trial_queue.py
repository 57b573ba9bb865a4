"""Tests of the admission of requests to plain services that may crash servers."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from multidict import CIMultiDict
from parameterized import parameterized

from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import QUARANTINE_S, CrashEvidence, ServerStart
from sequoiafall.fleet_leader import _refusal
from sequoiafall.prompt_quarantine import PromptQuarantine, Verdict
from sequoiafall.refusal import Reason, Refusal
from sequoiafall.serving_ports import CallerRequest
from sequoiafall.trial_admission import Admission, TrialAdmission, has_turn
from sequoiafall.trial_queue import MAX_WAITING, UNKNOWN_SERVICE, TrialQueue
from sequoiafall.wire.gen import ttypes

from .events import until

REQUEST = "request:a"
WAIT_S = 5.0


def ask(request_id, key=REQUEST, wait_s=WAIT_S):
    """Return a gateway's request to send to a plain service."""
    return ttypes.EngineAsk(
        request_id=request_id, on_time_ms=int(wait_s * 1e3), shared_parts=[key]
    )


def end(request_id, key=REQUEST, **changes):
    """Return the end of such a request."""
    values = {
        "request_id": request_id,
        "server": "d1",
        "outcome": "broken",
        "has_begun": False,
        "has_crashed": False,
        "born": 1,
        "shared_parts": [key],
    }
    return ttypes.EngineEnd(**{**values, **changes})


class TrialQueueTest(unittest.IsolatedAsyncioTestCase):
    """The leader lets requests with the same suspect run one at a time."""

    async def asyncSetUp(self):
        self.evidence = CrashEvidence()
        self.queue = TrialQueue(PromptQuarantine(self.evidence), self.evidence)
        self.evidence.record_crash(ServerStart("d9", 1), [REQUEST], boot_time())

    async def waiting(self, *request_ids):
        tasks = [
            asyncio.create_task(self.queue.admit(ask(name))) for name in request_ids
        ]
        await until(lambda: self.queue.waiting == len(tasks))
        return tasks

    async def test_one_at_a_time(self):
        self.assertIsNone(await self.queue.admit(ask("r1")))
        (second,) = await self.waiting("r2")
        self.assertIsNone(await self.queue.admit(ask("r3", "request:other")))
        self.queue.on_end(end("r1", outcome="ok", has_begun=True), boot_time() + 2.0)
        self.assertIsNone(await second)

    async def test_waiting_requests_hear_the_verdict(self):
        self.assertIsNone(await self.queue.admit(ask("r1")))
        tasks = await self.waiting("r2", "r3")
        now = boot_time()
        for number in (2, 3):
            self.queue.on_end(
                end("r1", has_crashed=True, born=number), now + number * 0.2
            )
        for task in tasks:
            refusal = await task
            self.assertIs(refusal.reason, Reason.HARMFUL_REQUEST)
            self.assertGreater(refusal.retry_after_s, 20.0)

    async def test_report_that_waited_for_a_leader(self):
        """It was counted as a second crash, so two crashes made a verdict."""
        now = boot_time()
        self.evidence.record_crash(ServerStart("d1", 1), [REQUEST], now + 1.0)
        for server in ("d9", "d1"):
            row = end("r1", server=server, has_crashed=True)
            self.queue.on_end(row, now + 4.0)
        row = self.evidence.suspect(REQUEST, now + 4.0)
        self.assertEqual(row.events(now + 4.0), 2)
        self.assertFalse(row.is_harmful)

    async def test_wait_is_bounded(self):
        self.assertIsNone(await self.queue.admit(ask("r1")))
        refusal = await self.queue.admit(ask("r2", wait_s=0.01))
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.assertEqual(self.queue.waiting, 0)

    async def test_queue_is_bounded(self):
        self.assertIsNone(await self.queue.admit(ask("r1")))
        tasks = await self.waiting(*(f"w{number}" for number in range(MAX_WAITING)))
        refusal = await self.queue.admit(ask("r2"))
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.queue.stop()
        for refusal in await asyncio.gather(*tasks):
            self.assertIs(refusal.reason, Reason.OWNER_UNAVAILABLE)


class TurnTest(unittest.TestCase):
    """Which instance may try a suspect without a leader."""

    @parameterized.expand(
        [
            ("at the crash", 0.0, ["a"]),
            ("the turn is nearly over", 0.9, []),
            ("the next one", 1.1, ["b"]),
            ("the last one", 2.2, ["c"]),
            ("the first one again", 3.0, ["a"]),
            ("a long turn is nearly over", 6.6, []),
            ("an hour later", 3601.2, ["c"]),
        ]
    )
    def test_instances_that_know_each_other(self, _name, since_crash_s, expected):
        """Two instances that tried a request at once crashed two servers."""
        names = ("a", "b", "c")
        turns = [name for name in names if has_turn(name, names, since_crash_s)]
        self.assertEqual(turns, expected)

    def test_instance_that_is_gone(self):
        """A request that only a lost instance could try was refused for an hour."""
        ages = [number / 10 for number in range(40)]
        self.assertTrue(any(has_turn("b", ["a", "b", "c"], age_s) for age_s in ages))

    def test_trials_that_last_longer_than_a_turn(self):
        """Seven instances sent a request that crashes servers after ten seconds."""
        names = [f"node-{number:02}" for number in range(12)]
        ages = [3.0 + number / 10 for number in range(70)]
        having_turns = {
            name for name in names for age_s in ages if has_turn(name, names, age_s)
        }
        self.assertLessEqual(len(having_turns), 3)

    def test_single_instance(self):
        self.assertTrue(has_turn("a", [], 0.7))


class FakeFleet:
    """A fleet whose leader gives prepared answers."""

    def __init__(self):
        self.crash_evidence = CrashEvidence()
        self.has_leader = True
        self.settings = SimpleNamespace(zone="z1", instance="node-1")
        self.answers = []
        self.asks = []
        self.ends = []
        self.members = []

    async def request_place(self, request, _timeout_s):
        self.asks.append(request)
        return self.answers.pop(0)

    def release_place(self, row):
        self.ends.append(row)

    def know_members(self, *names):
        self.members = [SimpleNamespace(instance=name) for name in names]


class TrialAdmissionTest(unittest.IsolatedAsyncioTestCase):
    """What a gateway does with the leader's decision, and without one."""

    async def asyncSetUp(self):
        self.fleet = FakeFleet()
        self.trials = TrialAdmission(self.fleet)
        self.request = CallerRequest(
            "r1", "GET", "/x", "h", "/x", CIMultiDict(), b"", "", 4.0, identity=REQUEST
        )

    def suspect(self, crashes=1):
        for number in range(crashes):
            self.fleet.crash_evidence.record_crash(
                ServerStart(f"d{number}", 1), [REQUEST], boot_time() - 9.0 + number
            )

    async def admit(self, wait_s=0.0):
        return await self.trials.admit(self.request, "desk", boot_time() + wait_s)

    async def test_no_message_without_a_suspicion(self):
        self.assertEqual(await self.admit(), Admission(is_trial=False))
        self.assertEqual(self.fleet.asks, [])

    async def test_leader_decides(self):
        self.suspect()
        self.fleet.answers = [
            ttypes.EngineAnswer("", 0, "", 0, False, "", "", True),
            _refusal(Reason.HARMFUL_REQUEST, 12.0, "it crashes servers", False),
        ]
        self.assertEqual(await self.admit(), Admission(is_trial=True))
        self.assertEqual(self.fleet.asks[0].shared_parts, [REQUEST])
        refusal = await self.admit()
        self.assertIs(refusal.reason, Reason.HARMFUL_REQUEST)
        self.assertEqual(refusal.retry_after_s, 12.0)

    async def test_leader_of_the_build_before(self):
        """It does not know plain services, so the instance decides itself."""
        self.suspect()
        old = _refusal(Reason.NO_BACKEND_SERVER, 0.5, UNKNOWN_SERVICE, False)
        self.fleet.answers = [old, old]
        self.assertEqual(await self.admit(), Admission(is_trial=False))
        self.suspect(3)
        self.assertIs((await self.admit()).reason, Reason.HARMFUL_REQUEST)

    async def test_lost_answer_of_the_leader(self):
        """A trial that the leader may have granted is given back."""
        self.suspect()
        self.fleet.answers = [None]
        self.fleet.know_members("node-0", "node-1")
        self.assertIs((await self.admit()).reason, Reason.OVERLOADED)
        self.assertEqual(self.fleet.ends[0].outcome, "withheld")

    @parameterized.expand([("leads", True, WAIT_S), ("seems lost", False, 0.0)])
    async def test_leader_that_does_not_reply_in_time(self, _name, has_leader, wait_s):
        """It may have granted a trial meanwhile, so the instance makes none itself.

        A process stood still for 1.2 s. The leader in it gave up its own question, a
        member took the leader for lost, and either sent a copy of a suspected request
        beside the trial that had been granted.
        """
        self.suspect()

        async def request_place(_request, _timeout_s):
            self.fleet.has_leader = has_leader

        self.fleet.request_place = request_place
        refusal = await self.admit(wait_s)
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertEqual(self.fleet.ends[0].outcome, "withheld")

    async def test_leader_that_is_lost_while_it_is_asked(self):
        """Without a leader the instances take turns, and this one is alone."""
        self.suspect()

        async def request_place(_request, _timeout_s):
            self.fleet.has_leader = False

        self.fleet.request_place = request_place
        self.assertEqual(await self.admit(WAIT_S), Admission(is_trial=False))

    async def test_leader_that_only_seems_lost(self):
        """Its replies had arrived while the process stood still, and were not read.

        A member sent a copy of a suspected request beside the trial that the leader
        had granted.
        """
        self.suspect()
        self.fleet.has_leader = False
        self.fleet.answers = [_refusal(Reason.OVERLOADED, 0.3, "asked", False)]
        task = asyncio.create_task(self.admit(WAIT_S))
        await asyncio.sleep(0)
        self.fleet.has_leader = True
        refusal = await task
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.detail, "asked")

    @parameterized.expand(
        [("turn of the part", 1.0, Verdict.TRIAL), ("its own turn", 0.0, Verdict.WAIT)]
    )
    async def test_trial_of_a_request_with_a_suspected_part(
        self, _name, part_age_s, expected
    ):
        """Its part and its identity may have crashed servers at different times."""
        self.fleet.know_members("node-0", "node-1")
        now = boot_time()
        evidence = self.fleet.crash_evidence
        evidence.record_crash(ServerStart("d1", 1), ["p"], now - part_age_s - 2.0)
        evidence.record_crash(ServerStart("d2", 1), [REQUEST], now - 3.0 + part_age_s)
        with patch("sequoiafall.trial_admission.boot_time", return_value=now):
            self.assertIs(self.trials.decide_alone("r1", [REQUEST, "p"]), expected)

    @parameterized.expand([(0.5,), (1.7,), (2.5,)])
    async def test_turn_of_a_request_with_two_suspected_parts(self, apart_s):
        """It had no turn at any instance if they crashed at different times."""
        self.fleet.know_members("node-0", "node-1", "node-2")
        now = boot_time()
        evidence = self.fleet.crash_evidence
        evidence.record_crash(ServerStart("d1", 1), ["p"], now - 9.0)
        evidence.record_crash(ServerStart("d2", 1), ["q"], now - 9.0 + apart_s)
        verdicts = set()
        for number in range(150):
            with patch(
                "sequoiafall.trial_admission.boot_time",
                return_value=now + number / 10,
            ):
                verdicts.add(self.trials.decide_alone("r1", ["p", "q"]))
        self.assertIn(Verdict.TRIAL, verdicts)

    async def test_another_instance_makes_the_trials(self):
        self.fleet.has_leader = False
        self.fleet.know_members("node-0", "node-1")
        self.suspect()
        refusal = await self.admit()
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.assertEqual(self.fleet.asks, [])

    async def test_no_trials_of_a_harmful_request_apart_from_the_leader(self):
        """A leader that this instance cannot reach may make all of them meanwhile."""
        self.fleet.has_leader = False
        for number in range(3):
            self.fleet.crash_evidence.record_crash(
                ServerStart(f"d{number}", 1),
                [REQUEST],
                boot_time() - 2.0 * QUARANTINE_S + number,
            )
        refusal = await self.admit()
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.reason, Reason.HARMFUL_REQUEST)
        self.assertGreater(refusal.retry_after_s, 0.0)
