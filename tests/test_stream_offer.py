"""Tests of the send of a stream to a second engine, with a scripted client."""

import asyncio
import contextlib
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized

from sequoiafall import stream_offer
from sequoiafall.engine_client import BrokenResponseError, NotSentError
from sequoiafall.place_source import GatewayPlace
from sequoiafall.send_outcome import Outcome, WithheldError
from sequoiafall.stream_offer import StreamOffer

from .events import until

PLACE = GatewayPlace("e2", "10.0.0.2:80", 1)
RESPONSE = SimpleNamespace(status=200)
# Longer than any test.
FOREVER_S = 60.0


def cut():
    """Return the error of a connection that a server ends."""
    error = BrokenResponseError("cut")
    error.is_cut = True
    return error


class StreamOfferTest(unittest.IsolatedAsyncioTestCase):
    """A server takes a stream, refuses it, or lets it wait."""

    def setUp(self):
        self.refused = None
        self.check_error = None
        self.is_open = False
        self.enterContext(patch.object(stream_offer, "MAX_OVERLAP_S", FOREVER_S))

    async def asyncSetUp(self):
        self.head = asyncio.get_running_loop().create_future()
        self.is_connected = asyncio.Event()
        self.offer = StreamOffer(
            PLACE, SimpleNamespace(), self.open_send, self.check_head, self.on_sent
        )
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.offer.close()
        await asyncio.wait({self.offer._task})
        self.assertFalse(self.is_open)

    @contextlib.asynccontextmanager
    async def open_send(self, before_send):
        await self.is_connected.wait()
        before_send()
        self.is_open = True
        try:
            yield await self.head
        finally:
            self.is_open = False

    def check_head(self, _response):
        return self.refused

    def on_sent(self):
        if self.check_error is not None:
            raise self.check_error

    async def test_server_takes_the_stream(self):
        self.is_connected.set()
        self.head.set_result(RESPONSE)
        self.assertIsNone(await self.offer.decide())
        async with self.offer.response() as response:
            self.assertIs(response, RESPONSE)
            self.assertTrue(self.is_open)
        await until(lambda: not self.is_open)

    @parameterized.expand(
        [("full", "not_run"), ("failing", "failed"), ("another", "broken")]
    )
    async def test_server_refuses_the_stream(self, _name, outcome):
        self.refused = Outcome(outcome)
        self.is_connected.set()
        self.head.set_result(RESPONSE)
        self.assertIs(await self.offer.decide(), self.refused)
        self.assertTrue(self.offer.is_sent)

    @parameterized.expand(
        [
            ("cut", cut(), "broken", True),
            ("malformed", BrokenResponseError("head"), "broken", False),
            ("unexpected", ValueError("v"), "broken", False),
        ]
    )
    async def test_response_that_breaks_off(self, _name, error, outcome, is_cut):
        self.is_connected.set()
        await until(lambda: self.is_open)
        self.head.set_exception(error)
        reply = await self.offer.decide()
        self.assertEqual((reply.name, reply.is_cut), (outcome, is_cut))
        with self.assertRaises(type(error)):
            async with self.offer.response():
                pass

    @parameterized.expand(
        [
            ("leaving", WithheldError("leaving"), "withheld"),
            ("gone", NotSentError("gone"), "unreachable"),
        ]
    )
    async def test_stream_that_is_not_sent(self, _name, error, outcome):
        self.check_error = error
        self.is_connected.set()
        self.assertEqual((await self.offer.decide()).name, outcome)
        self.assertFalse(self.offer.is_sent)

    async def test_server_that_does_not_respond(self):
        """Guards against a stream that two servers work on for long."""
        deciding = asyncio.create_task(self.offer.decide())
        with patch.object(stream_offer, "MAX_OVERLAP_S", 0.0):
            await asyncio.sleep(0)
            self.assertFalse(deciding.done())
            self.is_connected.set()
            self.assertIsNone(await deciding)
        self.assertTrue(self.is_open)
        self.head.set_result(RESPONSE)
        async with self.offer.response() as response:
            self.assertIs(response, RESPONSE)

    @parameterized.expand([("connecting", False), ("sent", True), ("taken", True)])
    async def test_offer_that_is_dropped(self, name, is_sent):
        """Guards against a server that goes on with a stream that nobody reads."""
        if is_sent:
            self.is_connected.set()
            await until(lambda: self.is_open)
        if name == "taken":
            self.head.set_result(RESPONSE)
            await self.offer.decide()
        self.offer.close()
        await asyncio.wait({self.offer._task})
        self.assertFalse(self.is_open)
        self.assertEqual(self.offer.is_sent, is_sent)
