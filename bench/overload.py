"""Benchmark of an overload: callers offer ten times what the engines can serve."""

import asyncio
import hashlib
import json
import re
import socket
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from sequoiafall.place_client import PLACE_WAIT_S
from sequoiafall.waiting import MAX_WAITING

from .fleet import Fleet, Instance
from .gateway import memory_mb
from .rows import Row

ENGINES = 2
PLACES_PER_ENGINE = 8
TOKEN_S = 0.02
TOKENS = 20
OVERLOAD_FACTOR = 10
CAPACITY_PER_S = ENGINES * PLACES_PER_ENGINE / (TOKENS * TOKEN_S)
ARRIVAL_INTERVAL_S = 0.01
DURATION_S = 80.0
# The queue of 1,000 fills up well within the first tenth.
WARM_UP_SHARE = 0.1
SAMPLE_INTERVAL_S = 0.5
SLOW_READERS = 4
# A slow reader reads about 5 KB/s, less than half of what its stream produces, so
# that backpressure builds up.
SLOW_TOKENS = 600
SLOW_READ_BYTES = 256
SLOW_READ_INTERVAL_S = 0.05
SLOW_BUFFER_BYTES = 4096
MAX_GROWTH_MB = 10.0
# A refusal later than the shortest Retry-After (1 s) was delayed, not immediate.
MAX_REFUSAL_DELAY_S = 1.0
ORGANISATIONS = ("flood", "slow")


@dataclass(slots=True)
class LoadStatistics:
    """Counts and delays of what the callers sent and received."""

    offered: int = 0
    served: int = 0
    slow_bytes: int = 0
    failed: int = 0
    refusals_by_reason: Counter[str] = field(default_factory=Counter)
    without_retry_after: int = 0
    refused_request_ids: list[str] = field(default_factory=list)
    refusal_delays_s: list[float] = field(default_factory=list)
    caller_lags_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Samples:
    """Memory of the processes in MB and queue length, one value per sample."""

    gateway_mb: list[float] = field(default_factory=list)
    controller_mb: list[float] = field(default_factory=list)
    waiting: list[float] = field(default_factory=list)


def _key(organisation: str) -> str:
    return f"bench-key-of-{organisation}-0123456789"


async def configure(fleet: Fleet) -> None:
    """Create the organisations, their adapters and the engines."""
    edits = []
    for name in ORGANISATIONS:
        digest = hashlib.sha256(_key(name).encode()).hexdigest()
        edits += [
            ("organisation", name, {"weight": 1, "rate": 1e9, "burst": 1e9}),
            ("key", f"{name}-1", {"organisation": name, "digest": digest}),
            ("adapter", name, {"organisation": name}),
            ("adapter_version", f"{name}@1", {"adapter": name, "version": "1"}),
        ]
    for engine in fleet.engines_by_name.values():
        values = {
            "address": engine.address,
            "server_kind": "engine",
            "pool": "base",
            "zone": "talsi",
            "checks_fencing": True,
            "adapter_slots": 8,
            "places": PLACES_PER_ENGINE,
        }
        edits.append(("backend_server", engine.name, values))
    await fleet.edit(*edits)


def _body(organisation: str, tokens: int) -> dict[str, object]:
    return {
        "model": f"{organisation}@1",
        "prompt": "a chair",
        "max_tokens": tokens,
        "stream": True,
    }


async def send_request(
    session: aiohttp.ClientSession, address: str, load: LoadStatistics
) -> None:
    """Send one request without retries and record its outcome."""
    load.offered += 1
    started = time.monotonic()
    try:
        async with session.post(
            f"http://{address}/v1/completions",
            json=_body("flood", TOKENS),
            headers={"Authorization": f"Bearer {_key('flood')}"},
        ) as response:
            body = await response.read()
            if response.status == 200:
                load.served += b"[DONE]" in body
                load.failed += b"[DONE]" not in body
                return
    except (aiohttp.ClientError, OSError, TimeoutError):
        load.failed += 1
        return
    error = json.loads(body)["error"]
    load.refusals_by_reason[error["reason"]] += 1
    if int(response.headers.get("Retry-After", "0")) < 1:
        load.without_retry_after += 1
    if error["ran"] == "not run":
        load.refused_request_ids.append(response.headers["X-Request-Id"])
    duration_s = time.monotonic() - started
    # A request that was queued is refused when its wait for a place times out.
    was_queued = duration_s >= PLACE_WAIT_S
    load.refusal_delays_s.append(
        duration_s - PLACE_WAIT_S if was_queued else duration_s
    )


async def offer_load(
    session: aiohttp.ClientSession,
    address: str,
    load: LoadStatistics,
    duration_s: float,
) -> None:
    """Send requests at ten times the capacity, independent of the responses."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        while (elapsed := time.monotonic() - started) < duration_s:
            due = int(elapsed * CAPACITY_PER_S * OVERLOAD_FACTOR) - load.offered
            for _ in range(due):
                tasks.create_task(send_request(session, address, load))
            before = time.monotonic()
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
            lag_s = time.monotonic() - before - ARRIVAL_INTERVAL_S
            load.caller_lags_s.append(lag_s)


async def read_slowly(address: str, load: LoadStatistics) -> None:
    """Request long streams one after another and read them slowly."""
    host, _, port = address.rpartition(":")
    body = json.dumps(_body("slow", SLOW_TOKENS)).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {_key('slow')}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    while True:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=SLOW_READ_BYTES
        )
        try:
            writer.write(head.encode() + body)
            while data := await reader.read(SLOW_READ_BYTES):
                load.slow_bytes += len(data)
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
        finally:
            writer.close()


async def waiting_requests(session: aiohttp.ClientSession, instance: Instance) -> float:
    """Return the number of requests that wait in the pool's queue at its owner."""
    url = f"http://{instance.operator_address}/metrics"
    async with session.get(url) as response:
        text = await response.text()
    found = re.search(r'^sequoiafall_waiting_requests\{pool="base"\} (\S+)', text, re.M)
    return float(found[1]) if found else 0.0


async def _sample(
    session: aiohttp.ClientSession, instance: Instance, samples: Samples
) -> None:
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        samples.gateway_mb.append(memory_mb(instance.gateway))
        samples.controller_mb.append(memory_mb(instance.controller))
        samples.waiting.append(await waiting_requests(session, instance))


def _growth_mb(samples: list[float]) -> float:
    """Return the peak memory after the first tenth, less that at its end."""
    warm_up_count = int(len(samples) * WARM_UP_SHARE)
    return max(samples[warm_up_count:]) - samples[warm_up_count]


def _memory_row(process: str, samples: list[float]) -> Row:
    return Row(
        f"overload: memory added to the {process}",
        [_growth_mb(samples)],
        limit=0.0,
        at_most=MAX_GROWTH_MB,
        unit="MB",
    )


def _percentile_99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[-1]


def _rows(load: LoadStatistics, samples: Samples) -> list[Row]:
    print(
        f"offered {load.offered}, served {load.served}, failed {load.failed}, refused "
        f"{dict(load.refusals_by_reason)}, read slowly {load.slow_bytes} bytes; "
        f"memory at the end: gateway {samples.gateway_mb[-1]:.1f} MB, controller "
        f"{samples.controller_mb[-1]:.1f} MB; refusals sent after a median of "
        f"{statistics.median(load.refusal_delays_s) * 1e3:.1f} ms",
        flush=True,
    )
    refused = load.refusals_by_reason.total()
    share = 1.0 - load.without_retry_after / refused
    delay_s = _percentile_99(load.refusal_delays_s)
    return [
        Row(
            "overload: requests offered for each one served",
            [load.offered / max(1, load.served)],
            at_least=OVERLOAD_FACTOR,
        ),
        _memory_row("gateway", samples.gateway_mb),
        _memory_row("controller", samples.controller_mb),
        Row(
            "overload: most requests in the pool's queue",
            [max(samples.waiting)],
            at_most=MAX_WAITING,
        ),
        Row(
            "overload: refusals with Retry-After, of all",
            [share],
            limit=1.0,
            at_least=1.0,
        ),
        Row(
            "overload: time to a refusal once decided, 99 in 100",
            [delay_s],
            # Delay that the event loop of the callers itself adds.
            baseline=_percentile_99(load.caller_lags_s),
            limit=0.0,
            at_most=MAX_REFUSAL_DELAY_S,
            unit="s",
        ),
    ]


async def _run(duration_s: float) -> list[Row]:
    arguments = ["--places", str(PLACES_PER_ENGINE), "--token-seconds", str(TOKEN_S)]
    fleet = await Fleet.start(1, ENGINES, engine_arguments=arguments)
    load, samples = LoadStatistics(), Samples()
    try:
        await configure(fleet)
        instance = next(iter(fleet.instances_by_name.values()))
        address = instance.gateway.address
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            background = [
                asyncio.ensure_future(_sample(session, instance, samples)),
                *(
                    asyncio.ensure_future(read_slowly(address, load))
                    for _ in range(SLOW_READERS)
                ),
            ]
            await offer_load(session, address, load, duration_s)
            for task in background:
                if task.done():
                    task.result()
                task.cancel()
        return _rows(load, samples)
    finally:
        await fleet.stop()


def overload_rows(duration_s: float = DURATION_S) -> list[Row]:
    """Start a fleet of one instance and offer ten times its capacity."""
    return asyncio.run(_run(duration_s))


if __name__ == "__main__":
    for row in overload_rows():
        print(row)
