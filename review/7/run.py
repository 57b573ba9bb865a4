"""A server's entry is removed while the leader alone does not reach the store."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import aiohttp

from review.lab2 import (
    ENGINE_SERVICE,
    MODEL,
    PLAIN_SERVICE,
    AdapterEngine,
    DeskServer,
    Lab,
    main,
    names,
)

NODES = 5
DRAIN_S = 2.0
# The server exits a little after the time for which it must go on.
EXIT_AFTER_S = 2.6
ORDER_INTERVAL_S = 0.02


async def play(lab: Lab) -> int:
    """Play the case; return 1 if the rule DRAIN was broken."""
    await lab.start()
    lab.write_configuration()
    await lab.add_server(AdapterEngine("i-engine", MODEL), ENGINE_SERVICE)
    desks = [DeskServer(f"i-desk-{number}", lab.record) for number in (1, 2, 3)]
    for desk in desks:
        await lab.add_server(desk, PLAIN_SERVICE)
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(4.0)
    leader = await lab.leader()
    if not leader:
        return 2
    lab.record.write(f"node-{leader} leads")
    statuses: Counter[int] = Counter()
    nodes_by_request: dict[str, int] = {}
    leaver = desks[0]
    async with aiohttp.ClientSession() as session:
        calls = set()

        async def order(number: int) -> None:
            # Callers do not use the leader, which the cut affects.
            node = 1 + number % NODES
            node = node if node != leader else 1 + node % NODES
            nodes_by_request[f"order-{number}"] = node
            status, _ = await lab.send(session, node, "order", f"order-{number}")
            statuses[status] += 1

        removed_at = exit_at = 0.0
        started_at = time.monotonic()
        number = 0
        has_exited = False
        while time.monotonic() - started_at < 8.0:
            number += 1
            calls.add(asyncio.create_task(order(number)))
            await asyncio.sleep(ORDER_INTERVAL_S)
            now = time.monotonic()
            if not removed_at and now - started_at > 2.0:
                if lab.has_trouble:
                    lab.record.write(f"node-{leader} is cut off from the store")
                    lab.proxies_by_node[leader].is_silent = True
                lab.store.remove(names.BACKEND_TABLE, leaver.name)
                removed_at = time.monotonic()
                exit_at = removed_at + EXIT_AFTER_S
                lab.record.write(f"{leaver.name} is removed from the store")
            if removed_at and not has_exited and now > exit_at:
                has_exited = True
                lab.record.write(f"{leaver.name} exits")
                await leaver.close()
        await asyncio.gather(*calls)
    late = [
        (at - removed_at, request_id)
        for at, request_id in leaver.arrivals
        if at - removed_at > DRAIN_S and nodes_by_request[request_id] != leader
    ]
    cut = [name for name, end in leaver.ends_by_request.items() if end == "cut"]
    for after_s, request_id in late:
        lab.record.write(
            f"LATE {request_id} reached {leaver.name} after {after_s:.3f} s"
        )
    lab.record.write(f"answers by status: {dict(statuses)}")
    summary = (
        f"requests that reached {leaver.name} later than {DRAIN_S} s after its"
        f" removal: {len(late)}; orders that its exit cut: {len(cut)}"
    )
    lab.record.write(summary)
    print(summary, dict(statuses))
    return 1 if late else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, NODES)
