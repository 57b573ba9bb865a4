"""A leader that is cut off goes on to admit a tenant's whole rate."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.lab3 import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    MODEL,
    Lab,
    configuration,
    engine_service,
    has_trouble,
    route,
    run_case,
)
from sequoiafall.platform import names

FOLDER = Path(__file__).resolve().parent
# The tenant of the sheet's example.
RATE_PER_S = 47_858
KEY = "i9n73hh2b9wu3fexd9dn"
PROMPT_TOKENS, OUTPUT_TOKENS = 1460, 80
COST = PROMPT_TOKENS + OUTPUT_TOKENS
# Its usual traffic is the rate divided by `quota_x` of the site file; a hot tenant
# sends up to 7.5 times as much.
DEMAND_PER_S = 7.5 * RATE_PER_S / 1.8 / COST
# Bounds of the sheet.
WINDOW_S, OVERAGE, SLACK = 8.0, 0.1, 17_000
LIMIT = (RATE_PER_S * WINDOW_S + RATE_PER_S) * (1 + OVERAGE) + SLACK
CALM_S, CUT_S, AFTER_S = 4.0, 12.0, 2.0


async def send(lab: Lab, node: int, until: float) -> None:
    """Send the share of the tenant's requests that one node gets."""
    calls: set[asyncio.Task[object]] = set()
    headers = {
        names.MODEL: MODEL,
        names.TOKENS: f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
        names.PROMPT_PARTS: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    }
    interval_s = lab.node_count / DEMAND_PER_S
    at = time.monotonic()
    while at < until:
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        call = asyncio.create_task(lab.call(node, "/draft/x", KEY, headers))
        calls.add(call)
        call.add_done_callback(calls.discard)
        at += interval_s
    await asyncio.gather(*calls)


def most_tokens(lab: Lab) -> tuple[float, float]:
    """Return the largest use in a window, and when that window began."""
    sent_at = {answer.request_id: answer.sent_at for answer in lab.answers}
    runs = sorted(
        (row.at, sent_at[row.request_id]) for row in lab.arrivals if row.has_run
    )
    most, most_at = 0.0, 0.0
    for _, begin in runs:
        # Both sent and arrived in the window; each request counts once.
        count = sum(begin <= sent and at <= begin + WINDOW_S for at, sent in runs)
        if count * COST > most:
            most, most_at = count * COST, begin
    return most, most_at - lab.began_at


async def run(lab: Lab) -> int:
    """Run the case and return its exit code."""
    await lab.start_store()
    for number in (1, 2, 3):
        await lab.add_server(f"i-{number:08x}", "helper", MODEL)
    tenant = {
        "name": "hule930",
        "api_keys": [KEY],
        "priority": 1,
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": RATE_PER_S,
        "burst": RATE_PER_S,
    }
    services = [engine_service("helper")]
    lab.store.put(
        names.CONFIGURATION_TABLE,
        names.CONFIGURATION_KEY,
        configuration(7, [route("draft", "helper")], services, [tenant]),
    )
    await lab.start_nodes()
    await asyncio.sleep(3.0)
    leader = lab.leader()
    if not leader:
        return COULD_NOT_RUN
    until = time.monotonic() + CALM_S + CUT_S + AFTER_S
    senders = [
        asyncio.create_task(send(lab, node, until))
        for node in range(1, lab.node_count + 1)
    ]
    await asyncio.sleep(CALM_S)
    if has_trouble():
        lab.note(f"node {leader}, which leads, is cut off")
        lab.cut(leader)
    await asyncio.sleep(CUT_S)
    if has_trouble():
        lab.heal(leader)
        lab.note(f"node {leader} is back; the lease names node {lab.leader()}")
    await asyncio.gather(*senders)
    runs = sum(row.has_run for row in lab.arrivals)
    most, at = most_tokens(lab)
    lab.write_calls()
    lab.note(f"{len(lab.answers)} requests sent, {runs} run")
    lab.note(f"most tokens in {WINDOW_S:g} s: {most:.0f} from {at:.1f} s")
    lab.note(f"limit: {LIMIT:.0f}")
    print(f"{most:.0f} tokens in {WINDOW_S:g} s, the limit is {LIMIT:.0f}")
    if runs == 0:
        return COULD_NOT_RUN
    return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    run_case(FOLDER, run)
