"""Tests of splitting and deduplicating server-sent events."""

import random
import unittest

from parameterized import parameterized

from sequoiafall.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    OversizedEventError,
)


def event(number):
    """Return one event with the given ID."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class EventSplitterTest(unittest.TestCase):
    """Each event must reach the caller complete and exactly once."""

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_events_are_independent_of_chunk_boundaries(self, seed):
        rng = random.Random(seed)
        data = b"".join(event(number) for number in range(1, 20))
        splitter, received = EventSplitter(), b""
        while data:
            size = rng.randrange(1, 40)
            received += splitter.feed(data[:size])
            data = data[size:]
        self.assertEqual(received, b"".join(event(number) for number in range(1, 20)))
        self.assertFalse(splitter.has_partial_event)

    def test_stream_resumed_after_partial_event(self):
        """The engine fails inside an event, and another engine sends it again."""
        splitter = EventSplitter()
        received = splitter.feed(event(1) + event(2)[:9])
        self.assertTrue(splitter.has_partial_event)
        splitter.discard_partial_event()
        received += splitter.feed(event(2) + event(3))
        self.assertEqual(received, event(1) + event(2) + event(3))

    def test_events_already_received_are_dropped(self):
        splitter = EventSplitter(last_id=2)
        self.assertEqual(splitter.feed(event(1) + event(2) + event(3)), event(3))

    def test_event_without_id_is_forwarded(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: x\n\n"), b"data: x\n\n")

    def test_oversized_event_is_rejected(self):
        with self.assertRaises(OversizedEventError):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
