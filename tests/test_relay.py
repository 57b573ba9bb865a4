"""Tests of the validation and ordering of stream pieces."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.relay import MAX_BUFFERED_BYTES, StreamRelay, check_response_headers

HEADERS = {"X-Adapter": "oak", "X-Adapter-Version": "2", "X-Request-Id": "r"}
FAULTS = ["late", "double", "cross", "lose", "cut"]
ANSWER = [b"a", b"b", b"c", b"d", b"e"]


def event(offset: int, data: bytes, request_id: str = "r") -> bytes:
    """Return one server-sent event."""
    return b"id: %b:%d\ndata: %b\n\n" % (request_id.encode(), offset, data)


DONE = event(len(ANSWER), b"[DONE]")
EVENTS = [event(offset, data) for offset, data in enumerate(ANSWER)]


def read(relay: StreamRelay, *chunks: bytes) -> bytes:
    """Feed chunks and return the data of the delivered pieces."""
    return b"".join(piece.data for chunk in chunks for piece in relay.feed(chunk))


class CheckResponseHeadersTest(unittest.TestCase):
    """Responses for another adapter, version or request must be refused."""

    @parameterized.expand(
        [
            ("right", {}, True),
            ("adapter", {"X-Adapter": "elm"}, False),
            ("version", {"X-Adapter-Version": "1"}, False),
            ("request", {"X-Request-Id": "q"}, False),
            ("none", {"X-Adapter-Version": None}, False),
        ]
    )
    def test_headers(self, _name, changes, accepted):
        values = {**HEADERS, **changes}
        headers = {name: value for name, value in values.items() if value}
        refusal = check_response_headers(headers, "r", "oak", "2")
        self.assertEqual(refusal is None, accepted)


class StreamRelayTest(unittest.TestCase):
    """Each piece of a response must be delivered exactly once and in order."""

    def setUp(self):
        self.relay = StreamRelay("r")
        self.relay.start_connection("r")

    @parameterized.expand(
        [
            ("plain", EVENTS),
            ("doubled", [e for e in EVENTS for _ in range(2)]),
            ("late", [EVENTS[1], EVENTS[0], *EVENTS[2:]]),
            ("crossed", [EVENTS[0], event(1, b"x", "q"), *EVENTS[1:]]),
            ("crossed_end", [EVENTS[0], event(1, b"[DONE]", "q"), *EVENTS[1:]]),
            ("comment", [b": ping\n\n", *EVENTS]),
            ("no_identity", [b"data: x\n\n", *EVENTS]),
            ("bad_offset", [b"id: r:x\ndata: x\n\n", *EVENTS]),
        ]
    )
    def test_complete_response(self, _name, events):
        self.assertEqual(read(self.relay, *events, DONE), b"abcde")
        self.assertTrue(self.relay.is_complete)
        self.assertFalse(self.relay.must_resume)

    @parameterized.expand(
        [
            ("lost_piece", [EVENTS[0], *EVENTS[2:], DONE], b"a"),
            ("moved", [EVENTS[0], b"event: moved\ndata: {}\n\n"], b"a"),
            ("early_end", [EVENTS[0], event(3, b"[DONE]")], b"a"),
            ("unbounded_gap", [event(3, b"x" * (MAX_BUFFERED_BYTES + 1))], b""),
            ("unbounded_event", [b"x" * (MAX_BUFFERED_BYTES + 1)], b""),
        ]
    )
    def test_must_resume(self, _name, events, text):
        self.assertEqual(read(self.relay, *events), text)
        self.assertTrue(self.relay.must_resume)
        self.assertFalse(self.relay.is_complete)

    def test_resume_ignores_late_pieces_of_the_earlier_attempt(self):
        read(self.relay, *EVENTS[:2], EVENTS[2][:5])
        self.assertEqual(self.relay.start_connection("r.1"), 2)
        late = [EVENTS[2], event(5, b"[DONE]")]
        self.assertEqual(read(self.relay, *late), b"")
        rest = [event(n, ANSWER[n], "r.1") for n in range(2, 5)]
        done = event(5, b"[DONE]", "r.1")
        self.assertEqual(read(self.relay, *rest, done), b"cde")
        self.assertTrue(self.relay.is_complete)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.integers(0, 12),
        st.integers(0, 2**32),
        st.lists(
            st.sampled_from(["late", "double", "cross", "lose", "cut"]), max_size=6
        ),
    )
    def test_random_faults_never_corrupt_the_response(self, length, seed, faults):
        generator = random.Random(seed)
        answer = [b"%d;" % number for number in range(length)]
        relay = StreamRelay("r")
        received = b""
        for attempt in range(12):
            attempt_id = f"r.{attempt}"
            offset = relay.start_connection(attempt_id)
            stream = _stream(answer, offset, attempt_id, generator, faults)
            while stream and not relay.is_complete and not relay.must_resume:
                size = generator.randrange(1, len(stream) + 1)
                received += read(relay, stream[:size])
                stream = stream[size:]
            self.assertEqual(received, b"".join(answer)[: len(received)])
            if relay.is_complete:
                break
        if relay.is_complete:
            self.assertEqual(received, b"".join(answer))
        else:
            self.assertTrue(faults)


def _stream(answer, offset, attempt_id, generator, faults) -> bytes:
    """Return the bytes of one connection, with a random selection of the faults."""
    events = [event(n, answer[n], attempt_id) for n in range(offset, len(answer))]
    events.append(event(len(answer), b"[DONE]", attempt_id))
    for fault in faults:
        position = generator.randrange(len(events))
        if generator.random() < 0.5:
            continue
        if fault == "late":
            events.append(events.pop(position))
        elif fault == "double":
            events.append(events[position])
        elif fault == "cross":
            crossed = event(generator.randrange(12), b"[DONE]", "r.99")
            events.insert(position, crossed)
        elif fault == "lose" and len(events) > 1:
            events.pop(position)
    stream = b"".join(events)
    if "cut" in faults and generator.random() < 0.5:
        stream = stream[: generator.randrange(len(stream) + 1)]
    return stream
