"""Benchmark of the processor time of admission and placement decisions."""

import time
from collections.abc import Callable
from unittest import mock

from sequoiafall.chart import Lifecycle
from sequoiafall.pool_state import ServerReport
from sequoiafall.quota_holder import QuotaHolder
from sequoiafall.scheduler import GrantPlace, PoolScheduler
from sequoiafall.table import BackendServer
from sequoiafall.wire.gen.ttypes import (
    PlaceEntry,
    PlaceRequest,
    PlaceState,
    QuotaReply,
)

from .rows import Row, ratios

REPETITIONS = 5
ADMISSIONS = 20_000
PLACEMENTS = 300
SERVERS = 1400
SLOTS = 24
MANY_ADAPTERS = 12_000
FEW_ADAPTERS = 3_000


def _cpu_s_per_step(function: Callable[[], None], count: int) -> float:
    """Return the processor time of one of `count` steps, in seconds."""
    started = time.process_time()
    function()
    return (time.process_time() - started) / count


def _admit_from_grant() -> None:
    holder = QuotaHolder("g", "o", 1e9, 1e9)
    holder.on_reply(QuotaReply("1-1", 2**40, 1_000_000, 0, 1, ""), 0.0)
    for _ in range(ADMISSIONS):
        reservation = holder.try_reserve(300, 1.0)
        assert reservation is not None
        holder.settle(reservation, 200, 1.0)


def _admit_from_bucket() -> None:
    levels = {"o": 1e12}
    for _ in range(ADMISSIONS):
        if levels["o"] >= 300:
            levels["o"] -= 300
        levels["o"] += 100


def _make_scheduler(adapters: int) -> PoolScheduler:
    """Create a pool in which each adapter version is resident on some server."""
    scheduler = PoolScheduler("p", 1, 0.0, 0.0)
    rows = [
        BackendServer(
            f"s{index}",
            "127.0.0.1:1",
            "engine",
            "p",
            "z",
            "in_service",
            True,
            SLOTS,
            16,
        )
        for index in range(SERVERS)
    ]
    scheduler.set_servers(rows, 0.0)
    for index, row in enumerate(rows):
        first = index * SLOTS
        resident = tuple((f"a{(first + n) % adapters}", "1") for n in range(SLOTS))
        scheduler.on_report(ServerReport(row.name, 1, 2.0, resident), 2.0)
    return scheduler


def _place_requests(scheduler: PoolScheduler, adapters: int) -> None:
    for number in range(PLACEMENTS):
        name = f"r{number}"
        request = PlaceRequest(
            request_id=name,
            gateway="g",
            pool="p",
            organisation="o",
            adapter=f"a{number * 37 % adapters}",
            version="1",
            prompt_tokens=300,
            max_tokens=256,
        )
        actions = scheduler.submit(request, 2.1)
        assert isinstance(actions[0], GrantPlace), actions
        reply = actions[0].reply
        entry = PlaceEntry(
            reply.place_id,
            name,
            PlaceState.RELEASED,
            "o",
            request.adapter,
            "1",
            reply.backend_server,
            10,
            "ok",
        )
        scheduler.update(entry, "g", 2.1)


def _pick_least_loaded() -> None:
    work = [float(index % 97) for index in range(SERVERS)]
    for _ in range(PLACEMENTS):
        work[min(range(SERVERS), key=work.__getitem__)] += 1.0


def _lifecycle_events_of_updates() -> float:
    """Count the lifecycle events in 100 progress updates of a running request."""
    scheduler = _make_scheduler(FEW_ADAPTERS)
    request = PlaceRequest("r", "g", "p", "o", "a0", "1", 10, 100)
    reply = scheduler.submit(request, 2.1)[0].reply
    event_count = 0

    def count(self: Lifecycle, event: str) -> bool:
        nonlocal event_count
        event_count += 1
        return True

    with mock.patch.object(Lifecycle, "handle", count):
        for tokens in range(100):
            entry = PlaceEntry(
                reply.place_id,
                "r",
                PlaceState.RUNNING,
                "o",
                "a0",
                "1",
                reply.backend_server,
                tokens,
                "",
            )
            scheduler.update(entry, "g", 2.2)
    return float(event_count)


def decision_rows() -> list[Row]:
    """Measure the decisions and return their rows."""
    admissions_us = [
        _cpu_s_per_step(_admit_from_grant, ADMISSIONS) * 1e6 for _ in range(REPETITIONS)
    ]
    bucket_us = _cpu_s_per_step(_admit_from_bucket, ADMISSIONS) * 1e6
    many_scheduler, few_scheduler = (
        _make_scheduler(MANY_ADAPTERS),
        _make_scheduler(FEW_ADAPTERS),
    )
    _place_requests(many_scheduler, MANY_ADAPTERS)
    _place_requests(few_scheduler, FEW_ADAPTERS)
    # The two sizes alternate, so that other load on the machine affects both alike.
    many_ms, few_ms = [], []
    for _ in range(REPETITIONS):
        many_ms.append(
            _cpu_s_per_step(
                lambda: _place_requests(many_scheduler, MANY_ADAPTERS), PLACEMENTS
            )
            * 1e3
        )
        few_ms.append(
            _cpu_s_per_step(
                lambda: _place_requests(few_scheduler, FEW_ADAPTERS), PLACEMENTS
            )
            * 1e3
        )
    least_loaded_ms = _cpu_s_per_step(_pick_least_loaded, PLACEMENTS) * 1e3
    return [
        Row(
            "admission and settlement from a grant",
            admissions_us,
            baseline=bucket_us,
            at_most=20.0,
            unit="us",
        ),
        Row(
            "choice among 1,400 servers, adapter resident",
            many_ms,
            baseline=least_loaded_ms,
            at_most=1.0,
            unit="ms",
        ),
        Row(
            "choice with 12,000 adapters, of that with 3,000",
            ratios(many_ms, few_ms),
            baseline=1.0,
            limit=1.0,
            at_most=1.25,
        ),
        Row(
            "chart steps in 100 updates of a running request",
            [_lifecycle_events_of_updates()],
            limit=0.0,
            at_most=0.0,
        ),
    ]
