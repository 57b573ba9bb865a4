"""Crowd of clients that stop short of the end of what they send or receive.

It runs in a process of its own, so that its processor time is not taken from the
process under test. It prints a line once every client has sent what it is going to
send, or has been refused, and ends when its standard input does.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys
import time

# A client that could not send anything for this long is held back by the server.
HELD_BACK_S = 6.0
PIECE_BYTES = 16 * 1024
# Bytes of a slow reader per read, and the time between two reads.
SLOW_READ_BYTES = 512
SLOW_READ_INTERVAL_S = 0.2
# Receive buffer of clients that do not read, so that little fits into the kernel.
RECEIVE_BUFFER_BYTES = 8 * 1024
# Interval at which clients that do not read look whether an answer has come.
LOOK_INTERVAL_S = 0.05
# Chunks that are written at once.
CHUNKS_PER_WRITE = 2000


def _head(specification, number, framing):
    headers = {**specification["headers"], "X-Sequoiafall-Attempt-Id": f"c{number}"}
    lines = [f"{specification['method']} {specification['path']} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += framing
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _pieces(specification, number):
    """Yield what a client sends, all but the end."""
    kind, size = specification["kind"], specification.get("size", 0)
    missing = specification.get("missing", 100)
    if kind == "idle":
        return
    if kind == "head":
        yield _head(specification, number, ["X-Filler: x"])[:-4]
        return
    if kind == "large head":
        yield _head(specification, number, [])[:-2]
        for index in range(size // 8000):
            yield f"X-Filler-{index}: {'x' * 8000}\r\n".encode()
        return
    if kind in ("reader", "slow reader"):
        yield _head(specification, number, [])
        return
    if kind in ("length", "length in pieces"):
        yield _head(specification, number, [f"Content-Length: {size}"])
        step = size if kind == "length" else PIECE_BYTES
        sent = 0
        while sent < size - missing:
            piece = min(step, size - missing - sent)
            yield b"b" * piece
            sent += piece
        return
    yield _head(specification, number, ["Transfer-Encoding: chunked"])
    chunk = specification["chunk"]
    frame = f"{chunk:x}\r\n".encode() + b"b" * chunk + b"\r\n"
    count = (size - missing) // chunk
    at_once = max(1, min(CHUNKS_PER_WRITE, 64 * 1024 // chunk))
    for first in range(0, count, at_once):
        yield frame * min(at_once, count - first)


class Crowd:
    """Clients of one kind, each on a connection of its own."""

    def __init__(self, specification):
        self._specification = specification
        self._writers = []
        self._tasks = []

    async def send(self):
        """Let all clients send what they are going to send."""
        count = self._specification["count"]
        await asyncio.gather(*(self._run_client(number) for number in range(count)))

    async def _run_client(self, number):
        address = self._specification["address"]
        host, _, port = address.rpartition(":")
        kind = self._specification["kind"]
        limit = SLOW_READ_BYTES if "reader" in kind else 64 * 1024
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(HELD_BACK_S):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=limit
                )
            self._writers.append(writer)
            transport = writer.transport
            if "reader" in kind:
                opened = transport.get_extra_info("socket")
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                transport.pause_reading()
            for piece in _pieces(self._specification, number):
                writer.write(piece)
                async with asyncio.timeout(HELD_BACK_S):
                    await writer.drain()
            if "reader" in kind:
                await self._wait_for_answer(transport.get_extra_info("socket"))
            if kind == "slow reader":
                transport.resume_reading()
                self._tasks.append(asyncio.create_task(self._read_slowly(reader)))

    async def _wait_for_answer(self, opened):
        """Wait until the first bytes of an answer can be read; leave them unread."""
        until = time.monotonic() + HELD_BACK_S
        with socket.socket(fileno=os.dup(opened.fileno())) as copy:
            copy.setblocking(False)
            while time.monotonic() < until:
                with contextlib.suppress(BlockingIOError):
                    copy.recv(1, socket.MSG_PEEK)
                    return
                await asyncio.sleep(LOOK_INTERVAL_S)

    async def _read_slowly(self, reader):
        with contextlib.suppress(OSError):
            while True:
                if not await reader.read(SLOW_READ_BYTES):
                    return
                await asyncio.sleep(SLOW_READ_INTERVAL_S)

    def close(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


async def main():
    """Run a crowd until the end of the standard input."""
    crowd = Crowd(json.loads(sys.argv[1]))
    await crowd.send()
    print("sent", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    crowd.close()


if __name__ == "__main__":
    asyncio.run(main())
