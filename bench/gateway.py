"""Benchmark of the gateway against a minimal proxy, each in its own process.

Rates are per second of the process's processor time, so that neither the callers
nor the engine limit them.
"""

import asyncio
import hashlib
import os
import statistics
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from pathlib import Path

import aiohttp

from .fleet import Fleet, Process, free_address
from .rows import Row, ratios

REPETITIONS = 5
REQUESTS = 400
CONCURRENCY = 16
STREAMS = 24
STREAM_TOKENS = 400
LATENCY_REQUESTS = 100
SOAK_REQUESTS = 100_000
OPEN_STREAMS = 2000
API_KEY = "bench-key-0123456789abcdef"
MODEL = "bench@1"
ENGINE_PLACES = 2048
CALL_TIMEOUT_S = 60.0
MEMORY_INTERVAL_S = 0.1
# Section 5 of the design allows 64 KiB per stream.
STREAM_BUFFER_MB = 65536 / 1e6
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _cpu_s(process: Process) -> float:
    fields = Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def memory_mb(process: Process) -> float:
    """Return the resident memory of a process in MB."""
    pages = Path(f"/proc/{process.handle.pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


class _Target:
    """Process under test with the headers of its requests."""

    def __init__(
        self, process: Process, headers: dict[str, str], session: aiohttp.ClientSession
    ) -> None:
        self.process = process
        self._headers = headers
        self._session = session
        self._number = 0

    async def call(self, max_tokens: int, stream: bool = False) -> int:
        """Send one request and return the number of chunks.

        Raises
        ------
        RuntimeError
            If the status is not 200.
        """
        self._number += 1
        body = {"model": MODEL, "prompt": "a chair", "max_tokens": max_tokens}
        headers = {**self._headers, "X-Request-Id": f"{id(self)}-{self._number}"}
        url = f"http://{self.process.address}/v1/completions"
        async with self._session.post(
            url, json={**body, "stream": stream}, headers=headers
        ) as response:
            content = await response.read()
            if response.status != 200:
                raise RuntimeError(f"status {response.status}: {content[:300]!r}")
            return content.count(b"data:")

    async def requests_per_cpu_s(self, count: int) -> float:
        """Return requests per second of processor time."""
        before = _cpu_s(self.process)
        await _run_concurrently(lambda: self.call(2), count)
        return count / (_cpu_s(self.process) - before)

    async def chunks_per_cpu_s(self) -> float:
        """Return streamed chunks per second of processor time."""
        before = _cpu_s(self.process)
        counts = await asyncio.gather(
            *(self.call(STREAM_TOKENS, True) for _ in range(STREAMS))
        )
        return sum(counts) / (_cpu_s(self.process) - before)

    async def median_latency_ms(self) -> float:
        """Return the median latency of sequential requests, in ms."""
        times = []
        for _ in range(LATENCY_REQUESTS):
            started = time.perf_counter()
            await self.call(1)
            times.append(time.perf_counter() - started)
        return statistics.median(times) * 1e3


async def _run_concurrently(call: Callable[[], Awaitable[int]], count: int) -> None:
    remaining = count

    async def work() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            await call()

    await asyncio.gather(*(work() for _ in range(CONCURRENCY)))


async def _configure(fleet: Fleet) -> None:
    engine = next(iter(fleet.engines_by_name.values()))
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    server = {
        "address": engine.address,
        "server_kind": "engine",
        "pool": "base",
        "zone": "talsi",
        "checks_fencing": True,
        "adapter_slots": 8,
        "places": ENGINE_PLACES,
    }
    await fleet.edit(
        ("organisation", "bench", {"weight": 1, "rate": 1e9, "burst": 1e9}),
        ("key", "bench-1", {"organisation": "bench", "digest": digest}),
        ("adapter", "bench", {"organisation": "bench"}),
        ("adapter_version", MODEL, {"adapter": "bench", "version": "1"}),
        ("backend_server", engine.name, server),
    )


async def _wait_until_served(target: _Target) -> None:
    """Retry until a request is served; the first one loads the adapter."""
    for _ in range(20):
        try:
            await target.call(1)
            return
        except (RuntimeError, aiohttp.ClientError):
            await asyncio.sleep(0.2)
    await target.call(1)


async def _peak_memory_mb(
    process: Process, calls: Sequence[Coroutine[object, object, int]]
) -> float:
    """Return the peak memory of a process in MB while calls run."""
    running = asyncio.gather(*calls)
    peak_mb = 0.0
    while not running.done():
        peak_mb = max(peak_mb, memory_mb(process))
        await asyncio.wait([running], timeout=MEMORY_INTERVAL_S)
    await running
    return peak_mb


async def _measure(fleet: Fleet, ours: _Target, bare: _Target) -> list[Row]:
    rates: dict[str, list[float]] = {"ours": [], "bare": []}
    chunks_per_cpu_s: dict[str, list[float]] = {"ours": [], "bare": []}
    latencies: dict[str, list[float]] = {"ours": [], "bare": []}
    for _ in range(REPETITIONS):
        for name, target in (("ours", ours), ("bare", bare)):
            rates[name].append(await target.requests_per_cpu_s(REQUESTS))
            chunks_per_cpu_s[name].append(await target.chunks_per_cpu_s())
            latencies[name].append(await target.median_latency_ms())
    before = memory_mb(ours.process)
    await _run_concurrently(lambda: ours.call(2), SOAK_REQUESTS)
    after = memory_mb(ours.process)
    with_streams = await _peak_memory_mb(
        ours.process, [ours.call(200, True) for _ in range(OPEN_STREAMS)]
    )
    added = [a - b for a, b in zip(latencies["ours"], latencies["bare"], strict=True)]
    return [
        Row(
            "gateway: requests/s of processor time, of bare pass-through",
            ratios(rates["ours"], rates["bare"]),
            baseline=1.0,
            at_least=0.5,
        ),
        Row(
            "gateway: chunks/s of processor time, of bare pass-through",
            ratios(chunks_per_cpu_s["ours"], chunks_per_cpu_s["bare"]),
            baseline=1.0,
            at_least=0.5,
        ),
        Row(
            "gateway: added at the median",
            added,
            baseline=statistics.fmean(latencies["bare"]),
            at_most=2.0,
            unit="ms",
        ),
        Row(
            f"gateway: memory added over {SOAK_REQUESTS} requests",
            [after - before],
            limit=0.0,
            at_most=2.0,
            unit="MB",
        ),
        Row(
            f"gateway: memory added by {OPEN_STREAMS} open streams",
            [with_streams - after],
            limit=0.0,
            at_most=OPEN_STREAMS * STREAM_BUFFER_MB,
            unit="MB",
        ),
    ]


async def _run() -> list[Row]:
    arguments = ["--places", str(ENGINE_PLACES), "--token-seconds", "0.001"]
    fleet = await Fleet.start(1, 1, engine_arguments=arguments)
    proxy = None
    try:
        await _configure(fleet)
        engine = next(iter(fleet.engines_by_name.values()))
        address = free_address()
        proxy = fleet.process("bare", "bench.bare_proxy", address, engine.address)
        await proxy.start()
        await fleet.wait_for_http(proxy, address, "/healthz")
        gateway = next(iter(fleet.instances_by_name.values())).gateway
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            ours = _Target(gateway, {"Authorization": f"Bearer {API_KEY}"}, session)
            adapter = {"X-Adapter": "bench", "X-Adapter-Version": "1"}
            await _wait_until_served(ours)
            return await _measure(fleet, ours, _Target(proxy, adapter, session))
    finally:
        if proxy is not None:
            await proxy.kill()
        await fleet.stop()


def gateway_rows() -> list[Row]:
    """Start a fleet of one instance and measure its gateway."""
    return asyncio.run(_run())
