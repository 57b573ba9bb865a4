"""Clients that send most of a request, stop short of its end and stay connected."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import time
from typing import TYPE_CHECKING

from sequoiafall.platform import names

from .calls import Call
from .configuration import HOST, KEYS_BY_ORGANISATION, REQUEST_DEADLINE_S

if TYPE_CHECKING:
    import aiohttp

    from .run import Soak

MIN_CLIENTS, MAX_CLIENTS = 36, 64
MIN_STAY_S, MAX_STAY_S = 2.0, 4.0
CONNECT_TIMEOUT_S = 1.0
# Legal sizes: bodies may have 4 MB, heads 16 KB.
BODY_BYTES = 3_900_000
SMALL_CHUNKS_BODY_BYTES = 200_000
CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 8
HEAD_BYTES = 12_000
MISSING_BYTES = 100
WRITE_BYTES = 64 * 1024
ROUTES = ("draft", "note", "order", "ask")
KINDS = ("length", "chunks", "small chunks", "head", "mixed")
# Ordinary requests beside a crowd, of which at least one must be answered.
PROBES = 3


class StalledClients:
    """Sends crowds of unfinished requests to one node at a time.

    Parameters
    ----------
    soak : Soak
        Run whose nodes receive them.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._random = random.Random(f"{soak.seed} stalled clients")
        self._request_ids: list[str] = []
        self.crowd_count = 0

    async def run(self, session: aiohttp.ClientSession, end_at: float) -> None:
        """Send one crowd after the other until a monotonic time in seconds."""
        while time.monotonic() < end_at:
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            await self._send_crowd(session)

    async def _send_crowd(self, session: aiohttp.ClientSession) -> None:
        node = self._random.randint(1, self._soak.node_count)
        kind = self._random.choice(KINDS)
        count = self._random.randint(MIN_CLIENTS, MAX_CLIENTS)
        stay_s = self._random.uniform(MIN_STAY_S, MAX_STAY_S)
        self.crowd_count += 1
        self._soak.endings.note(f"{count} stalled clients ({kind}) at node-{node}")
        began_at = time.monotonic()
        process = self._soak.processes[node]
        clients = [
            asyncio.create_task(self._stall(node, self._request(kind), stay_s))
            for _ in range(count)
        ]
        calls = []
        for _ in range(PROBES):
            await asyncio.sleep(stay_s / (PROBES + 1))
            calls.append(asyncio.create_task(self._probe(session, node)))
        probes = await asyncio.gather(*calls)
        await asyncio.gather(*clients)
        is_calm = process.returncode is None and not self._soak.was_disturbed(
            node, began_at
        )
        if is_calm and not any(call.is_complete for call in probes):
            errors = ", ".join(call.error for call in probes)
            self._soak.add_finding(
                f"node-{node} answered none of {PROBES} requests beside {count} "
                f"stalled clients ({kind}): {errors}"
            )

    async def _stall(
        self, node: int, request: tuple[bytes, memoryview], stay_s: float
    ) -> None:
        """Send an unfinished request, and stay until the time is over."""
        host, _, port = self._soak.caller_address(node).rpartition(":")
        writer: asyncio.StreamWriter | None = None
        # A node that is down, or that closes the connection, ends the client early.
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            async with asyncio.timeout(stay_s):
                head, body = request
                writer.write(head)
                for start in range(0, len(body), WRITE_BYTES):
                    writer.write(body[start : start + WRITE_BYTES])
                    await writer.drain()
                await reader.read()
        if writer is not None:
            writer.transport.abort()

    def _request(self, kind: str) -> tuple[bytes, memoryview]:
        """Return head and body of a request without its last bytes."""
        if kind == "mixed":
            kind = self._random.choice(KINDS[:-1])
        route = self._random.choice(ROUTES)
        request_id = f"s{self._soak.seed}-u{len(self._request_ids) + 1}"
        self._request_ids.append(request_id)
        organisation = self._random.choice(sorted(KEYS_BY_ORGANISATION))
        fields = {
            "Host": HOST,
            "Authorization": f"Bearer {KEYS_BY_ORGANISATION[organisation]}",
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(int(REQUEST_DEADLINE_S * 1e3)),
            **self._soak.stream_headers("a1", f"{request_id}:250"),
        }
        lines = [f"POST /{route}/u HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(lines).encode()
        if kind == "head":
            head += b"\r\nX-Padding: " + b"p" * (HEAD_BYTES - len(head))
        elif kind == "length":
            head += b"\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
        else:
            head += b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head, _unfinished_body(kind)

    async def _probe(self, session: aiohttp.ClientSession, node: int) -> Call:
        request_id = f"s{self._soak.seed}-o{next(self._soak.further_numbers)}"
        caller = next(iter(KEYS_BY_ORGANISATION.items()))
        call = Call(request_id, node, "look", *caller, "/look/o", "GET")
        await self._soak.make_call(session, call)
        return call

    def findings(self) -> list[str]:
        """Return a line for each unfinished request that a server ran."""
        return [
            f"{request_id} ran, but its client stopped short"
            for request_id in self._request_ids
            if any(engine.runs[request_id] for engine in self._soak.all_engines)
        ]


@functools.cache
def _unfinished_body(kind: str) -> memoryview:
    """Return a body without its last bytes, which all clients of a kind send."""
    if kind == "head":
        return memoryview(b"")
    if kind == "length":
        return memoryview(bytes(BODY_BYTES - MISSING_BYTES))
    size = CHUNK_BYTES if kind == "chunks" else SMALL_CHUNK_BYTES
    total = BODY_BYTES if kind == "chunks" else SMALL_CHUNKS_BODY_BYTES
    return memoryview(b"%x\r\n%s\r\n" % (size, bytes(size)) * (total // size))
