"""Streams that an instance placed without a leader are not taken up after its end."""

from __future__ import annotations

import asyncio
import re
import signal
import time
from pathlib import Path

from review.lab3 import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    MODEL,
    Answer,
    Lab,
    configuration,
    engine_service,
    has_trouble,
    route,
    run_case,
)
from sequoiafall.platform import names

FOLDER = Path(__file__).resolve().parent
KEY = "i9n73hh2b9wu3fexd9dn"
# Streams that begin between the two kills, one each interval.
STREAMS, INTERVAL_S = 24, 0.015
# The second kill, in seconds after the first one.
SECOND_KILL_S = 0.55
EVENTS, EVENT_INTERVAL_S = 60, 0.1
DEADLINE_MS = 15_004
# Bounds of the rule.
LEAST_TAKEN_UP, LEAST_SHARE = 12, 0.5
HEADERS = {
    names.MODEL: MODEL,
    names.TOKENS: "1460,80",
    names.PROMPT_PARTS: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+?) *\n\n")


def events(answer: Answer) -> list[tuple[int, str]]:
    """Return the identifiers and versions of the whole events of an answer."""
    return [(int(row[1]), row[2].decode()) for row in _EVENT.finditer(answer.body)]


async def take_part(lab: Lab, first_node: int, next_node: int) -> list[Answer]:
    """Start a stream, and take it up at another node if it breaks off.

    A client comes back once, as it is told to.
    """
    answers = [
        await lab.call(first_node, "/draft/x", KEY, HEADERS, deadline_ms=DEADLINE_MS)
    ]
    got = events(answers[0])
    if not got or got[-1][0] >= EVENTS:
        return answers
    headers = {
        **HEADERS,
        names.LAST_EVENT: str(got[-1][0]),
        names.RESUMES: answers[0].request_id,
    }
    until = answers[0].sent_at + DEADLINE_MS / 1e3
    for _ in range(2):
        left_s = until - time.monotonic()
        answers.append(
            await lab.call(
                next_node, "/draft/x", KEY, headers, deadline_ms=int(left_s * 1e3)
            )
        )
        wait_s = float(answers[-1].headers.get("Retry-After", "0"))
        if answers[-1].status != 503:
            break
        await asyncio.sleep(min(wait_s, left_s / 3.0))
    return answers


async def run(lab: Lab) -> int:
    """Run the case and return its exit code."""
    await lab.start_store()
    for number in (1, 2, 3, 4):
        software = "v1" if number < 3 else "v2"
        server = await lab.add_server(f"i-{number:08x}", "helper", MODEL, software)
        server.events_per_stream = EVENTS
        server.event_interval_s = EVENT_INTERVAL_S
    tenant = {"name": "hule930", "api_keys": [KEY], "priority": 1, "plain_tokens": 200}
    routes = [route("draft", "helper", timeout_ms=15_000)]
    lab.store.put(
        names.CONFIGURATION_TABLE,
        names.CONFIGURATION_KEY,
        configuration(7, routes, [engine_service("helper")], [tenant]),
    )
    await lab.start_nodes()
    await asyncio.sleep(4.0)
    leader = lab.leader()
    if not leader:
        return COULD_NOT_RUN
    killed, left = (node for node in range(1, 4) if node != leader)
    began_at = time.monotonic()
    if has_trouble():
        lab.signal(leader, signal.SIGKILL)
    await asyncio.sleep(0.05)
    clients = []
    for _ in range(STREAMS):
        clients.append(asyncio.create_task(take_part(lab, killed, left)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(max(0.0, began_at + SECOND_KILL_S - time.monotonic()))
    lab.note(f"the lease names node {lab.leader()}")
    lab.signal(killed, signal.SIGKILL)
    await asyncio.sleep(3.0)
    lab.note(f"the lease names node {lab.leader()}")
    new = await asyncio.gather(
        *(
            lab.call(left, "/draft/x", KEY, HEADERS, deadline_ms=DEADLINE_MS)
            for _ in range(STREAMS)
        )
    )
    streams = await asyncio.gather(*clients)
    lab.write_calls()
    taken_up = [answers for answers in streams if len(answers) > 1]
    gone_on = sum(any(events(row) for row in answers[1:]) for answers in taken_up)
    begun = sum(bool(events(answer)) for answer in new)
    for answers in taken_up:
        lab.note(
            " then ".join(
                f"{row.request_id} at node {row.node} status {row.status}"
                f" events {len(events(row))}"
                for row in answers
            )
        )
    text = f"{len(taken_up)} streams taken up, {gone_on} go on; "
    text += f"{len(new)} new ones at the same node, {begun} begin"
    lab.note(text)
    print(text)
    if len(taken_up) < LEAST_TAKEN_UP or not begun:
        return COULD_NOT_RUN
    share, share_of_new = gone_on / len(taken_up), begun / len(new)
    return BROKEN if share < LEAST_SHARE * share_of_new else HELD


if __name__ == "__main__":
    run_case(FOLDER, run)
