"""Tests of when streams without events are moved, with a scripted place source."""

import asyncio
import math
import random
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized

from sequoiafall import stream_move
from sequoiafall.place_source import GatewayPlace
from sequoiafall.refusal import Reason, Refusal
from sequoiafall.retry import RetryBudget
from sequoiafall.send_outcome import Outcome
from sequoiafall.stall_timeout import LOOK_AGAIN_S, StallClock
from sequoiafall.stream_move import MAX_LOGGED_REFUSALS, MovedError, StreamMove

from .events import until

PLACE = GatewayPlace("e2", "10.0.0.2:80", 1)
REFUSAL = Refusal(Reason.OVERLOADED, detail="no free slot")


class ScriptedPlaces:
    """Answers requests for places when the test says so."""

    def __init__(self):
        self.requests = []
        self.excluded = []
        self.ended = []
        self.withdrawn = 0

    async def take(self, _pending, excluded):
        """Return what the test sets as the result of the request."""
        self.excluded.append(excluded)
        self.requests.append(asyncio.get_running_loop().create_future())
        return await self.requests[-1]

    def answer(self, reply):
        """Answer the last request."""
        self.requests[-1].set_result(reply)

    def withdraw(self, _pending):
        """Refuse the last request, as the leader does."""
        self.withdrawn += 1
        if not self.requests[-1].done():
            self.answer(REFUSAL)

    def end(self, _pending, place, run):
        """Record the end of a place."""
        self.ended.append((place.server, run.outcome))


class ScriptedOffer:
    """Offer that a test sends, and that the other server takes or refuses."""

    def __init__(self, place):
        self.place = place
        self.sent_at = 0.0
        self.is_closed = False
        self.is_decided = asyncio.Event()
        self.outcome = None

    @property
    def is_sent(self):
        return self.sent_at > 0.0

    async def decide(self):
        """Return the outcome that the test has set."""
        await self.is_decided.wait()
        return self.outcome

    def answer(self, outcome=None):
        """Send the stream and let the server take it, or refuse it."""
        self.sent_at = self.sent_at or 1.0
        self.outcome = outcome
        self.is_decided.set()

    def close(self):
        self.is_closed = True


class StallClockTest(unittest.TestCase):
    """Another server is looked for only when events are overdue."""

    def test_due_after_the_timeout(self):
        clock = StallClock(10.0, 1.6)
        self.assertAlmostEqual(clock.due_s(10.6), 1.0)
        self.assertEqual(clock.due_s(12.0), 0.0)
        clock.on_event(12.0, 1.0)
        self.assertAlmostEqual(clock.due_s(12.0), 1.0)
        self.assertAlmostEqual(clock.silent_s(12.5), 0.5)

    def test_stands_still_while_the_gateway_waits_for_the_caller(self):
        clock = StallClock(10.0, 1.0)
        clock.hold(10.5)
        clock.resume(20.5)
        self.assertAlmostEqual(clock.due_s(20.5), 0.5)
        self.assertAlmostEqual(clock.silent_s(20.5), 0.5)

    def test_looks_again_after_a_refusal(self):
        clock = StallClock(10.0, 1.0)
        clock.on_not_found(11.5)
        self.assertAlmostEqual(clock.due_s(11.5), LOOK_AGAIN_S)
        self.assertAlmostEqual(clock.silent_s(11.5), 1.5)


class StreamMoveTest(unittest.IsolatedAsyncioTestCase):
    """A stream stays at its server until another one has a place for it."""

    def setUp(self):
        self.places = ScriptedPlaces()
        self.budget = RetryBudget(random.Random(1), reserve=1.0)
        self.excluded = {"e9"}
        request = SimpleNamespace(request_id="r1")
        self.may_leave = True
        self.offers = []
        self.refused = []
        # Whether servers take what they are offered at once.
        self.are_taken = True
        self.move = StreamMove(
            SimpleNamespace(request=request),
            self.places,
            SimpleNamespace(pauses=lambda: [SimpleNamespace(server="e8")]),
            self.budget,
            self.excluded,
            lambda: self.may_leave,
            self.begin_offer,
            lambda offer, outcome: self.refused.append((offer, outcome.name)),
        )
        self.can_end = asyncio.Event()
        self.enterContext(patch.object(stream_move, "LOOK_AGAIN_S", 0.0))

    def begin_offer(self, place):
        self.offers.append(ScriptedOffer(place))
        if self.are_taken:
            self.offers[-1].answer()
        return self.offers[-1]

    async def send(self, timeout_s=0.0):
        async with self.move.watch("e1", timeout_s):
            await self.can_end.wait()

    async def start(self):
        send = asyncio.create_task(self.send())
        await until(lambda: self.places.requests)
        return send

    async def finish(self, send):
        self.can_end.set()
        await send

    async def test_granted_place_moves_the_stream(self):
        send = await self.start()
        self.assertFalse(send.done())
        self.assertEqual(self.budget.retries, 0)
        self.places.answer(PLACE)
        with self.assertRaises(MovedError):
            await send
        self.assertEqual(self.budget.retries, 1)
        self.assertEqual(await self.move.take(True), PLACE)
        self.move.close()
        self.assertEqual(self.places.ended, [])

    async def test_place_is_not_requested_at_the_same_server(self):
        send = await self.start()
        self.assertEqual(self.places.excluded, [frozenset(("e1", "e8", "e9"))])
        self.places.answer(REFUSAL)
        await self.finish(send)

    async def test_refused_move_leaves_the_stream_and_is_tried_again(self):
        send = await self.start()
        self.places.answer(REFUSAL)
        await until(lambda: len(self.places.requests) == 2)
        self.assertFalse(send.done())
        self.places.answer(PLACE)
        with self.assertRaises(MovedError):
            await send

    async def test_server_that_goes_on_keeps_its_stream(self):
        """Guards against a place that stays taken after its request was withdrawn."""
        send = await self.start()
        self.move.on_event(60.0)
        self.assertEqual(self.places.withdrawn, 1)
        await until(lambda: self.move._search is None)
        await self.finish(send)
        self.assertEqual(self.budget.retries, 0)

    @parameterized.expand([("goes on", False), ("ends", True)])
    async def test_place_that_is_granted_too_late_is_released(self, _name, has_ended):
        """The grant may be on its way when the server goes on."""
        self.places.withdraw = lambda _pending: None
        send = await self.start()
        if has_ended:
            await self.finish(send)
            self.move.close()
        else:
            self.move.on_event(60.0)
        self.places.answer(PLACE)
        await until(lambda: self.places.ended)
        self.assertEqual(self.places.ended, [("e2", "unused")])
        await self.finish(send)
        self.assertEqual(self.budget.retries, 0)

    async def test_event_between_the_grant_and_the_move(self):
        """The stream goes on, and its unused place is released."""
        self.are_taken = False
        send = await self.start()
        self.places.answer(PLACE)
        for _ in range(100):
            if self.move._found is not None:
                break
            await asyncio.sleep(0)
        self.move.on_event(60.0)
        self.assertEqual(self.places.ended, [("e2", "unused")])
        await self.finish(send)

    async def test_wait_for_the_caller_is_not_silence_of_the_server(self):
        """The server of a slow caller was left, although it was not read."""
        send = asyncio.create_task(self.send(60.0))
        await until(lambda: self.move._timer is not None)
        with self.move.hold():
            self.move._clock._due_at = 0.0
            self.move._on_timer()
            self.assertEqual(self.places.requests, [])
            self.move._clock._due_at = math.inf
        self.assertIsNotNone(self.move._timer)
        self.assertEqual(self.places.requests, [])
        await self.finish(send)

    async def test_place_that_is_granted_while_the_caller_is_slow_is_released(self):
        send = await self.start()
        with self.move.hold():
            self.places.answer(PLACE)
            await until(lambda: self.places.ended)
        self.assertFalse(send.done())
        await self.finish(send)

    async def test_streams_without_events_do_not_request_more_places_than_retries(self):
        """When a whole site is silent, each stream took a place that few could use."""
        send = await self.start()
        other = StreamMove(
            self.move._pending,
            self.places,
            self.move._notices,
            self.budget,
            set(),
            lambda: True,
            self.begin_offer,
            lambda _offer, _outcome: None,
        )
        async with other.watch("e1", 0.0):
            other._on_timer()
            self.assertIsNone(other._search)
        self.places.answer(REFUSAL)
        await until(lambda: len(self.places.requests) == 2)
        await self.finish(send)

    async def test_nothing_is_requested_while_the_stream_must_not_leave(self):
        """Guards against streams that leave a sound server in a planned stop."""
        self.may_leave = False
        send = asyncio.create_task(self.send())
        await until(lambda: self.move._timer is not None)
        for _ in range(5):
            self.move._on_timer()
        self.assertEqual(self.places.requests, [])
        await self.finish(send)

    async def test_place_that_comes_when_the_stream_must_not_leave(self):
        """Guards against a move that was begun right before a planned stop."""
        send = await self.start()
        self.may_leave = False
        self.places.answer(PLACE)
        await until(lambda: self.places.ended)
        self.assertFalse(send.done())
        self.assertEqual(self.budget.retries, 0)
        await self.finish(send)

    async def offer(self):
        """Begin a send whose stream is offered to another server; return both."""
        self.are_taken = False
        send = await self.start()
        self.places.answer(PLACE)
        await until(lambda: self.offers)
        return send, self.offers[0]

    @parameterized.expand([("not_run",), ("failed",), ("broken",)])
    async def test_server_keeps_a_stream_that_another_one_refuses(self, name):
        """Guards against streams that leave a sound server for one that refuses."""
        send, offer = await self.offer()
        offer.answer(Outcome(name))
        await until(lambda: self.refused)
        self.assertFalse(send.done())
        self.assertIsNotNone(self.move._timer)
        self.assertEqual(self.refused, [(offer, name)])
        self.assertTrue(offer.is_closed)
        # The server of the offer had the request, so the retry is not given back.
        self.assertEqual(self.budget.retries, 1)
        # The forwarder ends the place.
        self.assertEqual(self.places.ended, [])
        self.assertFalse(self.move.has_moved)
        await self.finish(send)

    async def test_refused_offers_are_repeated_ever_less_often(self):
        self.budget = self.move._budget = RetryBudget(random.Random(1), reserve=9.0)
        self.enterContext(patch.object(stream_move, "LOOK_AGAIN_S", LOOK_AGAIN_S))
        delays_s = []
        on_not_found = StallClock.on_not_found

        def record(clock, now, delay_s=LOOK_AGAIN_S):
            delays_s.append(delay_s)
            on_not_found(clock, now, 0.0)

        with patch.object(StallClock, "on_not_found", record):
            send, _ = await self.offer()
            for number in range(1, 5):
                self.offers[-1].answer(Outcome("not_run"))
                await until(
                    lambda wanted=number: len(self.places.requests) == wanted + 1
                )
                self.places.answer(PLACE)
                await until(lambda wanted=number: len(self.offers) == wanted + 1)
        self.assertEqual(delays_s, [0.25, 0.5, 1.0, 1.0])
        self.offers[-1].answer()
        with self.assertRaises(MovedError):
            await send

    async def test_stream_stays_while_the_offer_is_open(self):
        send, offer = await self.offer()
        offer.sent_at = 1.0
        for _ in range(5):
            self.move._on_timer()
            await asyncio.sleep(0)
        self.assertFalse(send.done())
        self.assertEqual(len(self.places.requests), 1)
        offer.answer()
        with self.assertRaises(MovedError):
            await send
        self.assertEqual(await self.move.take(True), PLACE)
        self.assertIs(self.move.take_offer(), offer)
        self.assertIsNone(self.move.take_offer())
        self.move.close()
        self.assertFalse(offer.is_closed)

    async def test_events_wait_while_another_server_has_the_stream(self):
        """Guards against events that both servers send.

        The other one goes on behind the last event before the offer.
        """
        send, offer = await self.offer()
        offer.sent_at = 1.0
        waiting = asyncio.create_task(self.move.wait_decided())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        offer.answer(Outcome("not_run"))
        await waiting
        self.move.on_event(60.0)
        await self.finish(send)

    async def test_events_of_a_stream_that_another_server_takes(self):
        async def send():
            async with self.move.watch("e1", 0.0):
                await until(lambda: self.offers and self.offers[0].is_sent)
                await self.move.wait_decided()
                self.move.on_event(60.0)

        task = asyncio.create_task(send())
        await until(lambda: self.places.requests)
        self.places.answer(PLACE)
        with self.assertRaises(MovedError):
            await task
        self.assertFalse(self.offers[0].is_closed)

    async def test_events_do_not_wait_for_a_stream_that_is_not_sent(self):
        send, offer = await self.offer()
        await self.move.wait_decided()
        self.move.on_event(60.0)
        self.assertTrue(offer.is_closed)
        self.assertEqual(self.places.ended, [("e2", "unused")])
        self.assertEqual(self.budget.retries, 0)
        await self.finish(send)

    @parameterized.expand([("takes", None, True), ("refuses", "not_run", False)])
    async def test_server_that_ends_during_an_offer(self, _name, outcome, is_taken):
        """Guards against a third send while the other server has the stream."""
        send, offer = await self.offer()
        offer.sent_at = 1.0
        await self.finish(send)
        waiting = asyncio.create_task(self.move.wait_taken())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        offer.answer(Outcome(outcome) if outcome else None)
        self.assertEqual(await waiting, is_taken)
        self.assertEqual(self.move.has_moved, is_taken)
        self.assertEqual(self.budget.retries, 1)
        if is_taken:
            self.assertEqual(await self.move.take(True), PLACE)
            self.assertIs(self.move.take_offer(), offer)

    async def test_server_that_ends_before_the_offer_is_sent(self):
        """Guards against an offer that is sent while the next step is chosen.

        It would count as the last run that is allowed. The place serves a retry.
        """
        send, offer = await self.offer()
        await self.finish(send)
        self.assertFalse(await self.move.wait_taken())
        self.assertTrue(offer.is_closed)
        self.assertEqual(self.budget.retries, 0)
        self.assertEqual(self.places.ended, [])
        self.assertEqual(await self.move.take(True), PLACE)
        self.assertIsNone(self.move.take_offer())

    async def test_request_that_ends_during_an_offer(self):
        """Guards against a server that goes on after the caller has left."""
        send, offer = await self.offer()
        offer.sent_at = 1.0
        send.cancel()
        await asyncio.wait({send})
        self.move.close()
        self.assertTrue(offer.is_closed)
        self.assertEqual(self.places.ended, [("e2", "cancelled")])

    async def test_nothing_is_requested_without_a_retry(self):
        self.budget.try_retry()
        send = asyncio.create_task(self.send())
        await until(lambda: self.move._timer is not None)
        for _ in range(5):
            self.move._on_timer()
        self.assertEqual(self.places.requests, [])
        await self.finish(send)

    async def test_retry_that_others_take_meanwhile_leaves_the_stream(self):
        send = await self.start()
        self.budget.try_retry()
        self.places.answer(PLACE)
        await until(lambda: self.places.ended)
        self.assertFalse(send.done())
        await self.finish(send)

    async def test_places_that_come_together_do_not_move_more_than_the_budget(self):
        """Both streams found the last retry unused, and both were moved."""
        self.budget = self.move._budget = RetryBudget(random.Random(1), reserve=2.0)
        other = StreamMove(
            self.move._pending,
            self.places,
            self.move._notices,
            self.budget,
            set(),
            lambda: True,
            self.begin_offer,
            lambda _offer, _outcome: None,
        )
        send = await self.start()

        async def send_other():
            async with other.watch("e1", 0.0):
                await self.can_end.wait()

        other_send = asyncio.create_task(send_other())
        await until(lambda: len(self.places.requests) == 2)
        self.budget.try_retry()
        for request in self.places.requests:
            request.set_result(PLACE)
        await until(lambda: send.done() or other_send.done())
        self.can_end.set()
        results = await asyncio.gather(send, other_send, return_exceptions=True)
        self.assertEqual(sum(isinstance(row, MovedError) for row in results), 1)
        self.assertEqual(self.budget.retries, 2)
        self.move.close()
        other.close()

    @parameterized.expand([("goes on", True), ("ends", False)])
    async def test_retry_of_an_unused_place_is_returned(self, _name, goes_on):
        self.are_taken = False
        send = await self.start()
        self.places.answer(PLACE)
        for _ in range(100):
            if self.move._found is not None:
                break
            await asyncio.sleep(0)
        if goes_on:
            self.move.on_event(60.0)
        else:
            self.move.close()
        await self.finish(send)
        self.assertEqual(self.places.ended, [("e2", "unused")])
        self.assertEqual(self.budget.retries, 0)
        self.assertTrue(self.budget.try_retry())

    async def test_silence_after_a_slow_caller_is_noticed(self):
        """A withdrawn request that was answered late left the stream unwatched."""
        self.places.withdraw = lambda _pending: None
        send = await self.start()
        self.move.on_event(60.0)
        with self.move.hold():
            self.move._on_timer()
        self.places.answer(REFUSAL)
        await until(lambda: self.move._search is None)
        self.assertIsNotNone(self.move._timer)
        await self.finish(send)

    async def test_search_goes_on_when_the_server_breaks_off(self):
        """The place that was requested for the move serves the next send."""
        send = await self.start()
        await self.finish(send)
        take = asyncio.create_task(self.move.take(True))
        self.places.answer(PLACE)
        self.assertEqual(await take, PLACE)
        self.assertEqual(len(self.places.requests), 1)

    async def test_stream_that_has_begun_is_not_refused(self):
        """It tries the servers again that it left, in case that they are sound."""
        take = asyncio.create_task(self.move.take(False))
        await until(lambda: len(self.places.requests) == 1)
        self.places.answer(REFUSAL)
        await until(lambda: len(self.places.requests) == 2)
        self.assertEqual(self.places.excluded[1], frozenset(("e8",)))
        self.places.answer(PLACE)
        self.assertEqual(await take, PLACE)

    async def test_streams_without_a_server_request_places_ever_less_often(self):
        """All streams of a service whose engines are gone ask the leader."""
        delays_s = []

        async def sleep(seconds):
            delays_s.append(seconds)

        take = asyncio.create_task(self.move.take(False))
        with (
            patch.object(stream_move, "LOOK_AGAIN_S", LOOK_AGAIN_S),
            patch.object(stream_move.asyncio, "sleep", sleep),
        ):
            for number in range(1, 5):
                await until(lambda wanted=number: len(self.places.requests) == wanted)
                self.places.answer(REFUSAL)
            await until(lambda: len(self.places.requests) == 5)
        self.places.answer(PLACE)
        await take
        self.assertEqual(delays_s, [0.25, 0.5, 1.0, 1.0])

    async def test_request_that_has_not_begun_is_refused(self):
        take = asyncio.create_task(self.move.take(True))
        await until(lambda: self.places.requests)
        self.places.answer(REFUSAL)
        self.assertEqual(await take, REFUSAL)

    async def test_refused_moves_in_the_log_are_bounded(self):
        with patch.object(stream_move, "log_event") as log_event:
            for _ in range(MAX_LOGGED_REFUSALS + 5):
                self.move._log_refusal(REFUSAL)
        self.assertEqual(log_event.call_count, MAX_LOGGED_REFUSALS)
