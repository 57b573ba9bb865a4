"""Tests of logging to a slow reader."""

import os
import threading
import time
import unittest

from sequoiafall.log import MAX_BUFFERED_BYTES, LineBuffer


class LineBufferTest(unittest.TestCase):
    """A process must not block on the reader of its log."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.buffer = LineBuffer(self.writer)

    def test_lines_are_dropped_without_blocking_if_the_reader_stops(self):
        line = "event=x " + "y" * 1000
        for number in range(2000):
            self.buffer.write_line("time=t", f"{line} number={number}")
        self.assertGreater(self.buffer.dropped, 0)
        self.assertLessEqual(self.buffer._buffered_bytes, MAX_BUFFERED_BYTES)

    def test_lines_are_complete_after_a_pause_of_the_reader(self):
        for number in range(200):
            self.buffer.write_line("t", f"event=x text={'z' * 900} number={number}")
        received = b""
        while self.buffer._lines or not received.endswith(b"number=199\n"):
            received += os.read(self.reader, 1 << 16)
            self.buffer.flush()
        numbers = [line.rsplit(b"=", 1)[1] for line in received.splitlines()]
        self.assertEqual(numbers, [str(number).encode() for number in range(200)])

    def test_equal_lines_are_counted(self):
        for _ in range(50):
            self.buffer.write_line("t", "event=same")
        self.buffer.write_line("t", "event=other")
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        self.assertEqual(
            lines, ["t event=same", "t event=repeated count=49", "t event=other"]
        )

    def test_last_lines_reach_a_slow_reader(self):
        """Guards against lost lines of a process that ends beside a full pipe."""
        text = "z" * 900
        for number in range(200):
            self.buffer.write_line("t", f"event=x text={text} number={number}")
        received = bytearray()

        def read_slowly():
            while not received.endswith(b"number=199\n"):
                time.sleep(0.005)
                received.extend(os.read(self.reader, 1 << 14))

        reading = threading.Thread(target=read_slowly)
        reading.start()
        self.buffer.flush_all(10.0)
        os.write(self.writer, b"number=199\n")
        reading.join()
        self.assertEqual(received.count(b"event=x"), 200)

    def test_end_without_a_reader(self):
        """Guards against a process that waits for the reader of its log forever."""
        for number in range(200):
            self.buffer.write_line("t", f"event=x text={'z' * 900} number={number}")
        self.buffer.flush_all(0.01)
        self.assertTrue(self.buffer._lines)
