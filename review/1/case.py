"""Stops a node while streams run that were sent to it after the signal."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab import HOST, KEY, CannotRunError, Lab, client_session

from sequoiafall.platform import names
from sequoiafall.standins.adapter_engine import AdapterEngine

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
EVENTS = 20
# Half of the longest pause between events that is on time.
EVENT_INTERVAL_S = 0.15
# Tokens of an event on the data sheet.
TOKENS_PER_EVENT = 3
# A client that keeps a directory response three times as long as it says sends
# requests until 4.5 s after it.
SENT_AFTER_S = (3.9, 4.1, 4.2, 4.3, 4.4)
DEADLINE_MS = 12_000


@dataclass(slots=True)
class Sent:
    """One request and how it ended."""

    request_id: str
    node: int
    sent_at: float
    status: int = 0
    is_complete: bool = False
    ended_at: float = 0.0
    events: int = 0
    error: str = ""


class Engine(AdapterEngine):
    """Engine that streams at a constant rate and records how its runs end."""

    def __init__(self, name: str, lab: Lab) -> None:
        super().__init__(name, "m0", load_s=0.25)
        self.events_per_stream = EVENTS
        self.event_interval_s = EVENT_INTERVAL_S
        self.processing_s = 0.0
        self._lab = lab

    async def _stream(self, request, headers):  # type: ignore[no-untyped-def]
        request_id = headers[names.REQUEST_ID]
        self._lab.note(f"{self.name} runs {request_id}")
        end = "connection closed before the last event"
        try:
            response = await super()._stream(request, headers)
            end = "complete"
            return response
        finally:
            self._lab.note(f"{self.name} run of {request_id} ends: {end}")


async def send(session: aiohttp.ClientSession, lab: Lab, sent: Sent) -> None:
    """Send a request and read its response to the end."""
    lab.note(f"client sends {sent.request_id} to node {sent.node}")
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        names.REQUEST_ID: sent.request_id,
        names.DEADLINE_MS: str(DEADLINE_MS),
        names.MODEL: "m0/a1",
        names.TOKENS: f"1800,{EVENTS * TOKENS_PER_EVENT}",
        names.PROMPT_PARTS: f"aa:341,{abs(hash(sent.request_id)):x}:1459",
    }
    try:
        async with session.post(
            f"http://{lab.front(sent.node)}/fit-note/x", headers=headers, data=b"b"
        ) as response:
            sent.status = response.status
            body = await response.read()
            sent.events = body.count(b"id: ")
            sent.is_complete = True
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        sent.error = type(error).__name__
    sent.ended_at = time.monotonic()
    lab.note(
        f"client: {sent.request_id} ends after {sent.ended_at - sent.sent_at:.2f} s, "
        f"status {sent.status}, {'complete' if sent.is_complete else 'cut'}"
        f"{' ' + sent.error if sent.error else ''}"
    )


async def play(lab: Lab) -> int:
    """Play the case and return the exit status."""
    lab.configure(
        [
            {
                "name": "fit-note",
                "host": HOST,
                "path_prefix": "/fit-note/",
                "route_type": "streaming",
                "resumable": False,
                "timeout_ms": 12000,
                "target_latency_ms": 1000,
                "gap_target_ms": 300,
                "max_attempts": 1,
                "priority": 1,
                "service": "assist",
            }
        ]
    )
    for number in (1, 2):
        await lab.add_server(Engine(f"engine-{number}", lab))
    await lab.start()
    await asyncio.sleep(4.0)
    calls: list[Sent] = []
    async with client_session() as session:
        # The first request loads the adapter.
        for number in (1, 2, 3):
            warm_up = Sent(f"before-{number}", number, time.monotonic())
            await send(session, lab, warm_up)
            if warm_up.status != 200 or warm_up.events != EVENTS:
                raise CannotRunError("a request before the stop was not served")
        directory = await lab.resolve(session, 2)
        resolved_at = time.monotonic()
        lab.note(f"client: the directory answers {directory}")
        node = 1
        if lab.front(node) not in directory["addresses"]:
            raise CannotRunError("the directory does not name the node")
        use_until = resolved_at + 3.0 * float(directory["ttl_s"])
        stopped_at = time.monotonic()
        if HAS_TROUBLE:
            lab.signal_node(node, signal.SIGTERM)
        tasks = []
        for number, after_s in enumerate(SENT_AFTER_S):
            await asyncio.sleep(max(0.0, stopped_at + after_s - time.monotonic()))
            if time.monotonic() > use_until:
                lab.note("client: the response of the directory is too old")
                break
            call = Sent(f"after-{number}", node, time.monotonic())
            calls.append(call)
            tasks.append(asyncio.create_task(send(session, lab, call)))
        await asyncio.gather(*tasks)
    ended_at = None
    if HAS_TROUBLE:
        process = lab.processes[node]
        try:
            async with asyncio.timeout(stopped_at + GRACE_S - time.monotonic()):
                await process.wait()
            ended_at = time.monotonic()
            lab.note(f"node {node} ended {ended_at - stopped_at:.2f} s after SIGTERM")
        except TimeoutError:
            lab.note(f"node {node} still runs at the end of its grace time")
            process.kill()
    lost = [
        call
        for call in calls
        if not call.is_complete
        and call.status == 200
        and call.sent_at - stopped_at > 3.0
        and call.ended_at - stopped_at <= GRACE_S + 1.0
        and call.ended_at - call.sent_at < DEADLINE_MS / 1e3
    ]
    for call in lost:
        lab.note(
            f"LOST: {call.request_id}, sent {call.sent_at - stopped_at:.2f} s after "
            f"SIGTERM, was cut {call.ended_at - stopped_at:.2f} s after it"
        )
    return 1 if lost else 0


def main() -> int:
    """Run the case, write its record and return its exit status."""
    with tempfile.TemporaryDirectory() as name:
        lab = Lab(Path(name))

        async def run() -> int:
            try:
                async with asyncio.timeout(90):
                    return await play(lab)
            except (CannotRunError, TimeoutError) as error:
                lab.note(f"the case could not run: {error!r}")
                return 2
            finally:
                await lab.stop()

        status = asyncio.run(run())
        if "KEEP_LOGS" in os.environ:
            for log in Path(name).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record = "\n".join([*lab.lines, f"exit status {status}"])
    (Path(__file__).parent / "record.txt").write_text(record + "\n")
    return status


if __name__ == "__main__":
    sys.exit(main())
