"""Tests of events that are passed on."""

import random
import unittest

from parameterized import parameterized

from sequoiafall.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    OversizedEventError,
)


def event(number):
    """Return one event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class EventSplitterTest(unittest.TestCase):
    """Each event reaches the caller whole and once."""

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_any_cut_of_the_bytes_gives_the_same_events(self, seed):
        rng = random.Random(seed)
        data = b"".join(event(number) for number in range(1, 20))
        splitter, out = EventSplitter(), b""
        while data:
            size = rng.randrange(1, 40)
            out += splitter.feed(data[:size])
            data = data[size:]
        self.assertEqual(out, b"".join(event(number) for number in range(1, 20)))
        self.assertFalse(splitter.has_partial_event)

    def test_engine_that_stops_inside_an_event(self):
        """The rest comes from another engine; the half event is dropped."""
        splitter = EventSplitter()
        out = splitter.feed(event(1) + event(2)[:9])
        self.assertTrue(splitter.has_partial_event)
        splitter.discard_partial_event()
        out += splitter.feed(event(2) + event(3))
        self.assertEqual(out, event(1) + event(2) + event(3))

    def test_events_that_the_caller_has_are_dropped(self):
        splitter = EventSplitter(last_id=2)
        self.assertEqual(splitter.feed(event(1) + event(2) + event(3)), event(3))

    def test_event_without_a_number_is_passed_on(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: x\n\n"), b"data: x\n\n")

    def test_endless_event_is_refused(self):
        with self.assertRaises(OversizedEventError):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
