"""Tests of the check of response heads, without a connection."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.response_head import (
    MAX_HEAD_BYTES,
    MAX_QUOTED_BYTES,
    ResponseHeadError,
    ResponseHeadReader,
)

from .test_malformed_heads import MALFORMED, SOUND

# Heads that are broken off are sound as far as they go.
COMPLETE = [row for row in MALFORMED if not row[0].startswith("connection closed")]
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Longest name of an error around the quoted bytes, which take up to four characters.
MAX_DETAIL_CHARS = 40 + 4 * MAX_QUOTED_BYTES


def read(parts):
    """Return what the reader returns for these parts, or its error."""
    reader = ResponseHeadReader()
    parts = list(parts)
    while parts:
        try:
            accepted = reader.feed(parts.pop(0))
        except ResponseHeadError as error:
            return error
        if accepted:
            return accepted + b"".join(parts)
    return b""


def split(content, size):
    """Return the content in parts of the same size."""
    return [content[start : start + size] for start in range(0, len(content), size)]


class ResponseHeadTest(unittest.TestCase):
    """The result must not depend on how the bytes arrive."""

    @parameterized.expand(COMPLETE)
    def test_malformed(self, _name, content):
        for size in (1, 2, 3, 7, len(content)):
            error = read(split(content, size))
            self.assertIsInstance(error, ResponseHeadError, size)
            self.assertLess(len(str(error)), MAX_DETAIL_CHARS)
            self.assertTrue(str(error).isascii() and str(error).isprintable())

    @parameterized.expand(SOUND)
    def test_sound(self, name, content):
        """Interim responses are left out, and all other bytes stay as they are."""
        final = content
        while name.startswith("after") and final[9:10] == b"1":
            final = final.partition(b"\r\n\r\n")[2]
        for size in (1, 2, 3, 7, len(content)):
            self.assertEqual(read(split(content, size)), final)

    @parameterized.expand(
        [
            ("status line", b"HTTP/1.1 200 ", b"x" * 1000),
            ("field line", b"HTTP/1.1 200 OK\r\nX-A: ", b" " * 1000),
            ("field lines", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 100),
            ("interim responses", b"", INTERIM * 40),
        ]
    )
    def test_endless(self, _name, first, repeated):
        reader = ResponseHeadReader()
        reader.feed(first)
        with self.assertRaisesRegex(ResponseHeadError, "exceeds"):
            for _ in range(2 * MAX_HEAD_BYTES // len(repeated)):
                reader.feed(repeated)

    @parameterized.expand([(b"\x00",), (b"ICE",), (b"HTTP/2",), (b"\r\n",)])
    def test_other_protocol_without_a_line(self, content):
        """A server that sends something else and waits must not hold its caller."""
        self.assertIsInstance(read([content]), ResponseHeadError)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.sampled_from([content for _, content in MALFORMED + SOUND]),
        st.integers(0, 400),
        st.sampled_from([b"\r", b"\n", b"\r\n", b" ", b":", b"\x00", b"\xff", b""]),
        st.integers(1, 40),
    )
    def test_changed_bytes(self, content, position, inserted, size):
        position %= len(content)
        changed = content[:position] + inserted + content[position + 1 :]
        whole, parts = read([changed]), read(split(changed, size))
        self.assertEqual(type(whole), type(parts))
        if isinstance(whole, bytes):
            self.assertEqual(whole, parts)
