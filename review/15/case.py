"""Streams are not taken up after a rolling restart of the nodes.

A new software version of the runners appears after the change of the leader.
"""

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
STREAMS, INTERVAL_S = 16, 0.05
# Seconds between the stops of two nodes, and from the second one to the new runners.
GAP_S, NEW_RUNNERS_S = 2.0, 2.0
EVENTS, EVENT_INTERVAL_S = 140, 0.1
DEADLINE_MS = 15_004
# Bounds of the rule: fewer streams do not count, and the least share that goes on.
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


async def add_runner(lab: Lab, number: int, software: str) -> None:
    """Start a runner of a software version, and announce it."""
    server = await lab.add_server(f"i-{number:08x}", "helper", MODEL, software)
    server.events_per_stream = EVENTS
    server.event_interval_s = EVENT_INTERVAL_S


async def restart(lab: Lab, node: int) -> None:
    """Stop a node with SIGTERM, and start it again when it has ended."""
    lab.signal(node, signal.SIGTERM)
    process = lab.processes[node]
    await process.wait()
    lab.note(f"node {node} has ended")
    await lab.start_node(node)


async def run(lab: Lab) -> int:
    """Run the case and return its exit code."""
    await lab.start_store()
    for number in (1, 2):
        await add_runner(lab, number, "v1")
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
    stopped, left = (node for node in range(1, 4) if node != leader)
    clients = []
    for _ in range(STREAMS):
        clients.append(asyncio.create_task(take_part(lab, stopped, left)))
        await asyncio.sleep(INTERVAL_S)
    restarts = []
    if has_trouble():
        restarts.append(asyncio.create_task(restart(lab, leader)))
    await asyncio.sleep(GAP_S)
    restarts.append(asyncio.create_task(restart(lab, stopped)))
    await asyncio.sleep(NEW_RUNNERS_S)
    lab.note(f"the lease names node {lab.leader()}")
    for number in (3, 4):
        await add_runner(lab, number, "v2")
    lab.note("runners of v2 are announced")
    await lab.processes[stopped].wait()
    lab.note(f"the lease names node {lab.leader()}")
    new = await asyncio.gather(
        *(
            lab.call(left, "/draft/x", KEY, HEADERS, deadline_ms=DEADLINE_MS)
            for _ in range(STREAMS)
        )
    )
    await asyncio.gather(*restarts)
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
