"""Another writer's entry names an address that is none."""

from __future__ import annotations

import asyncio
import itertools
import random
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
# The address lacks its host: a template whose first word was empty.
FOREIGN_ENTRY = {
    "service": ENGINE_SERVICE,
    "address": ".kuldiga:8126",
    "zone": "z1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "born": 1,
}
# Requests a second of the sheet, by route.
RATES_BY_ROUTE = {"draft": 34.9, "order": 8.7, "look": 4.6}
PHASES_S = (5.0, 20.0)
REQUEST_INTERVAL_S = 0.05
ADAPTERS = 9
MIN_SHARE = 0.25


async def play(lab: Lab) -> int:
    """Play the case; return 1 if a kind of request is starved."""
    await lab.start()
    lab.write_configuration()
    for number in (1, 2):
        engine = AdapterEngine(f"i-engine-{number}", MODEL)
        await lab.add_server(engine, ENGINE_SERVICE)
        desk = DeskServer(f"i-desk-{number}", lab.record)
        await lab.add_server(desk, PLAIN_SERVICE)
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    numbers = itertools.count(1)
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    async with aiohttp.ClientSession() as session:

        async def call(number: int, route: str) -> None:
            status, _ = await lab.send(
                session,
                1 + number % NODES,
                route,
                f"{route}-{number}",
                f"a{random.randint(1, ADAPTERS)}",
            )
            asked[route] += 1
            served[route] += status == 200

        for phase, length_s in enumerate(PHASES_S):
            if phase and lab.has_trouble:
                lab.record.write(f"another writer's entry: {FOREIGN_ENTRY}")
                lab.store.put(names.BACKEND_TABLE, "i-foreign", FOREIGN_ENTRY)
            asked.clear()
            served.clear()
            calls = []
            until = time.monotonic() + length_s
            while time.monotonic() < until:
                (route,) = random.choices(
                    list(RATES_BY_ROUTE), list(RATES_BY_ROUTE.values())
                )
                calls.append(asyncio.create_task(call(next(numbers), route)))
                await asyncio.sleep(REQUEST_INTERVAL_S)
            await asyncio.gather(*calls)
            lab.record.write(f"asked {dict(asked)}, served {dict(served)}")
    terms = sum(lab.log_text(node).count("lease_taken") for node in range(1, NODES + 1))
    share = sum(served.values()) / sum(asked.values())
    shares = {route: served[route] / asked[route] for route in asked}
    starved = [name for name, value in shares.items() if value < MIN_SHARE * share]
    summary = (
        f"served {share:.2f} of all,"
        f" {', '.join(f'{name} {value:.2f}' for name, value in shares.items())};"
        f" terms of leaders: {terms}; starved: {starved}"
    )
    lab.record.write(summary)
    print(summary)
    return 1 if starved else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, NODES)
