"""Demand moves to other adapters where a runner's memory holds fewer than its slots."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp

from review.lab2 import (
    ENGINE_SERVICE,
    MODEL,
    PLAIN_SERVICE,
    AdapterEngine,
    DeskServer,
    Lab,
    main,
)

NODES = 3
# Figures of the sheet: a model of 72.7 GB, runners with 75 GB and 6 places.
MODEL_MB = 72_700
RUNNER_MB = 74_600
ADAPTER_SLOTS = 6
# Four adapters of this size fit beside the model.
ADAPTER_MB = 450
ADAPTERS_BEFORE = 4
ADAPTERS_AFTER = 12
PHASE_S = 6.0
REQUEST_INTERVAL_S = 0.05


class Runner(AdapterEngine):
    """Runner that crashes when it is ordered to load more than it holds."""

    def __init__(self, name: str, lab: Lab) -> None:
        super().__init__(name, MODEL, slots=ADAPTER_SLOTS)
        self.lab = lab
        self.overloads: list[str] = []
        self.event_interval_s = 0.1

    def _execute_order(self, order: dict[str, Any]) -> int:
        before = len(self.resident)
        status = super()._execute_order(order)
        text = f"{order['operation']} {order.get('adapter', MODEL)}"
        used_mb = MODEL_MB + ADAPTER_MB * len(self.resident)
        self.lab.record.write(
            f"{self.name} gets {text}: {status}, holds {len(self.resident)} adapters,"
            f" {used_mb} of {RUNNER_MB} MB"
        )
        if len(self.resident) > before and used_mb > RUNNER_MB:
            self.overloads.append(text)
            self.lab.record.write(f"{self.name} CRASHES: {text} exceeds its memory")
            asyncio.get_running_loop().create_task(self.crash())
        return status


async def play(lab: Lab) -> int:
    """Play the case; return 1 if the rule LIMIT was broken."""
    await lab.start()
    lab.write_configuration(
        engine={
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": MODEL_MB,
                    "load_s": 4.3,
                    "adapters": 50,
                    "adapter_size_mb": ADAPTER_MB,
                }
            ],
            "weights_mb": RUNNER_MB,
            "adapter_slots": ADAPTER_SLOTS,
            "loads_per_s": 2.9,
        }
    )
    runners = [Runner(f"i-runner-{number}", lab) for number in (1, 2)]
    for runner in runners:
        runner.on_restart = lambda runner=runner: lab.announce(runner)
        await lab.add_server(runner, ENGINE_SERVICE)
    await lab.add_server(DeskServer("i-desk-1", lab.record), PLAIN_SERVICE)
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    statuses: Counter[int] = Counter()
    numbers = itertools.count(1)
    async with aiohttp.ClientSession() as session:
        calls = set()

        async def draft(number: int, adapter: str) -> None:
            status, _ = await lab.send(
                session, 1 + number % NODES, "draft", f"draft-{number}", adapter
            )
            statuses[status] += 1

        for adapters in (ADAPTERS_BEFORE, ADAPTERS_AFTER):
            if adapters == ADAPTERS_AFTER and not lab.has_trouble:
                adapters = ADAPTERS_BEFORE
            lab.record.write(f"callers ask for {adapters} adapters")
            until = time.monotonic() + PHASE_S
            while time.monotonic() < until:
                number = next(numbers)
                adapter = f"a{1 + number % adapters}"
                calls.add(asyncio.create_task(draft(number, adapter)))
                await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*calls)
    overloads = sum(len(runner.overloads) for runner in runners)
    summary = f"orders beyond a runner's memory: {overloads}; answers {dict(statuses)}"
    lab.record.write(summary)
    print(summary)
    return 1 if overloads else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, NODES)
