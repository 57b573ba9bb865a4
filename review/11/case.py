"""A leader that is cut off joins events of two software versions in one stream."""

from __future__ import annotations

import asyncio
import re
import signal
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
STREAMS = 48
# Events of a stream and the seconds between them, below the pause of the sheet.
EVENTS, EVENT_INTERVAL_S = 30, 0.15
DEADLINE_MS = 15_004
# Bound of the rule.
MOST_JOINED = 2
# Time after the cut in which another leader is elected.
ELECTION_S = 4.0

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+?) *\n\n")


def events(answer: Answer) -> list[tuple[int, str]]:
    """Return the identifiers and versions of the whole events of an answer."""
    return [(int(row[1]), row[2].decode()) for row in _EVENT.finditer(answer.body)]


async def take_part(lab: Lab, first_node: int, next_node: int) -> list[Answer]:
    """Start a stream at one node and take it up at another one if it breaks off."""
    headers = {
        names.MODEL: MODEL,
        names.TOKENS: "1460,80",
        names.PROMPT_PARTS: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    }
    first = await lab.call(
        first_node, "/draft/x", KEY, headers, deadline_ms=DEADLINE_MS
    )
    got = events(first)
    if not got or got[-1][0] >= EVENTS:
        return [first]
    again = {
        **headers,
        names.LAST_EVENT: str(got[-1][0]),
        names.RESUMES: first.request_id,
    }
    left_ms = DEADLINE_MS - int((first.ended_at - first.sent_at) * 1e3)
    taken_up = await lab.call(next_node, "/draft/x", KEY, again, deadline_ms=left_ms)
    return [first, taken_up]


async def run(lab: Lab) -> int:
    """Run the case and return its exit code."""
    await lab.start_store()
    for number in (1, 2):
        server = await lab.add_server(f"i-{number:08x}", "helper", MODEL, "v1")
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
    await asyncio.sleep(3.0)
    cut_off = lab.leader()
    if not cut_off:
        return COULD_NOT_RUN
    if has_trouble():
        lab.cut(cut_off)
        lab.note(f"node {cut_off}, which leads, is cut off")
    await asyncio.sleep(ELECTION_S)
    leader = lab.leader()
    lab.note(f"the lease names node {leader}")
    for number in (3, 4):
        server = await lab.add_server(f"i-{number:08x}", "helper", MODEL, "v2")
        server.events_per_stream = EVENTS
        server.event_interval_s = EVENT_INTERVAL_S
    lab.note("servers of version v2 are announced")
    await asyncio.sleep(1.5)
    others = [node for node in range(1, lab.node_count + 1) if node != cut_off]
    killed = next(node for node in others if node != leader)
    (left,) = (node for node in others if node != killed)
    clients = [
        asyncio.create_task(take_part(lab, killed, (cut_off, left)[number % 2]))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.5)
    lab.signal(killed, signal.SIGKILL)
    streams = await asyncio.gather(*clients)
    lab.write_calls()
    joined = 0
    for answers in streams:
        versions = [sorted({row[1] for row in events(answer)}) for answer in answers]
        flat = {name for row in versions for name in row}
        joined += len(flat) > 1
        ids = " then ".join(
            f"{answer.request_id} at node {answer.node} status {answer.status}"
            f" versions {','.join(row) or '-'}"
            for answer, row in zip(answers, versions, strict=True)
        )
        lab.note(f"stream {ids}")
    taken_up = sum(len(answers) > 1 for answers in streams)
    text = f"{STREAMS} streams, {taken_up} taken up, {joined} of two versions"
    lab.note(text)
    print(text)
    if not taken_up:
        return COULD_NOT_RUN
    return BROKEN if joined > MOST_JOINED else HELD


if __name__ == "__main__":
    run_case(FOLDER, run)
