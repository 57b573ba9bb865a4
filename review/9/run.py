"""A stream is moved away from a sound runner right before its node is stopped."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from collections import Counter
from pathlib import Path

import aiohttp
from aiohttp import web

from review.lab2 import (
    ENGINE_SERVICE,
    HOST,
    KEY,
    MODEL,
    PLAIN_SERVICE,
    AdapterEngine,
    DeskServer,
    Lab,
    main,
    names,
)

NODES = 3
STOPPED = 1
SLOTS = 6
EVENTS = 40
EVENT_INTERVAL_S = 0.1
# Pause of one stream in the middle, as after a preemption.
PAUSE_S = 1.4
PAUSE_AT = 25
CALLERS = 20
DEADLINE_S = 15.0
STREAM = "the-stream"
GRACE_S = 8.0


class FullRunner(AdapterEngine):
    """Runner that rejects requests while all its slots are taken."""

    def __init__(self, name: str, lab: Lab) -> None:
        super().__init__(name, MODEL)
        self.lab = lab
        self.events_per_stream = EVENTS
        self.event_interval_s = EVENT_INTERVAL_S
        # Times at which the stream began and ended here, and was rejected.
        self.begun_at: list[float] = []
        self.ended_at: list[float] = []
        self.rejected_at: list[float] = []
        self._events_by_request: Counter[str] = Counter()
        self.pauses = False
        self.has_ended = asyncio.Event()

    def _take_rejection(self, request_id: str = "") -> web.Response | None:
        if self.running < SLOTS:
            return None
        if request_id == STREAM:
            self.rejected_at.append(time.monotonic())
            self.lab.record.write(f"{self.name} is full and rejects {STREAM}")
        headers = {names.NOT_RUN: "1", names.REQUEST_ID: request_id}
        return web.Response(status=503, headers=headers)

    def _interval_s(self, request: web.Request) -> float:
        request_id = request.headers.get(names.REQUEST_ID, "")
        self._events_by_request[request_id] += 1
        is_pause = self._events_by_request[request_id] == PAUSE_AT
        if request_id == STREAM and self.pauses and is_pause:
            self.lab.record.write(f"{self.name} pauses {STREAM} for {PAUSE_S} s")
            return PAUSE_S
        return self.event_interval_s

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if request.headers.get(names.REQUEST_ID) != STREAM:
            return await super()._stream(request, headers)
        self.pauses = not any(
            runner.begun_at
            for runner in self.lab.servers_by_name.values()
            if isinstance(runner, FullRunner)
        )
        self.begun_at.append(time.monotonic())
        self.lab.record.write(f"{self.name} runs {STREAM}")
        try:
            return await super()._stream(request, headers)
        finally:
            self.ended_at.append(time.monotonic())
            self.has_ended.set()
            self.lab.record.write(f"{self.name} no longer runs {STREAM}")


async def call(
    lab: Lab, session: aiohttp.ClientSession, node: int, request_id: str, adapter: str
) -> tuple[int, bool, float]:
    """Send a stream; return status, whether it is complete, and its Retry-After."""
    headers = {
        "Host": HOST,
        names.REQUEST_ID: request_id,
        names.DEADLINE_MS: str(int(DEADLINE_S * 1e3)),
        "Authorization": f"Bearer {KEY}",
        names.MODEL: f"{MODEL}/{adapter}",
        names.TOKENS: "800,120",
        names.PROMPT_PARTS: f"{request_id.encode().hex()}:800",
    }
    status, body, retry_after_s = 0, b"", 1.0
    try:
        async with session.post(
            f"http://{lab.front(node)}/draft/x", headers=headers, data=b"b"
        ) as response:
            status = response.status
            retry_after_s = float(response.headers.get("Retry-After", "1"))
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        lab.record.write(f"{request_id} broke off: {type(error).__name__}")
        return status, False, retry_after_s
    is_complete = status == 200 and f"id: {EVENTS}\n".encode() in body
    return status, is_complete, retry_after_s


async def play(lab: Lab) -> int:
    """Play the case; return 1 if the rule LOST was broken."""
    await lab.start()
    lab.write_configuration(timeout_ms=int(DEADLINE_S * 1e3))
    runners = [FullRunner(f"i-runner-{number}", lab) for number in (1, 2)]
    for runner in runners:
        await lab.add_server(runner, ENGINE_SERVICE)
    await lab.add_server(DeskServer("i-desk-1", lab.record), PLAIN_SERVICE)
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    numbers = itertools.count(1)
    ends: Counter[str] = Counter()
    has_ended = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def caller(number: int) -> None:
            # Callers of the other nodes, who come back when they are told to.
            while not has_ended.is_set():
                node = 2 + number % (NODES - 1)
                status, is_complete, retry_after_s = await call(
                    lab, session, node, f"r-{next(numbers)}", f"a{1 + number % 2}"
                )
                ends["complete" if is_complete else str(status)] += 1
                if not is_complete:
                    await asyncio.sleep(retry_after_s)

        for _ in range(8):
            # The node has served requests before, so it has retries.
            await call(lab, session, STOPPED, f"w-{next(numbers)}", "a1")
        sent_at = time.monotonic()
        stream = asyncio.create_task(call(lab, session, STOPPED, STREAM, "a1"))
        until = time.monotonic() + 3.0
        while not any(runner.begun_at for runner in runners):
            if time.monotonic() > until:
                return 2
            await asyncio.sleep(0.01)
        first = next(runner for runner in runners if runner.begun_at)
        callers = [asyncio.create_task(caller(number)) for number in range(CALLERS)]
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 6.0):
            await first.has_ended.wait()
        await asyncio.sleep(0.2)
        stop_at = time.monotonic()
        if lab.has_trouble:
            lab.signal(STOPPED, signal.SIGTERM)
        status, is_complete, _ = await stream
        end_at = time.monotonic()
        has_ended.set()
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    begun = [at for runner in runners for at in runner.begun_at]
    ended = [at for runner in runners for at in runner.ended_at]
    worked_at = end_at if len(ended) < len(begun) else max(ended)
    # The node answers slightly before the deadline that its caller named.
    is_timed_out = end_at - sent_at > DEADLINE_S - 0.1
    at_work = worked_at >= max(end_at - 0.1, stop_at + GRACE_S * 5 / 6)
    text = (
        f"{STREAM}: status {status}, complete {is_complete}, ended"
        f" {end_at - stop_at:.2f} s after the signal, its last runner"
        f" {worked_at - stop_at:.2f} s, timed out {is_timed_out};"
        f" runs {len(begun)}, rejections"
        f" {sum(len(runner.rejected_at) for runner in runners)}; others {dict(ends)}"
    )
    lab.record.write(text)
    print(text)
    is_excused = at_work or is_timed_out
    return 1 if not is_complete and not is_excused else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, NODES)
