"""Rows of the decision speeds."""

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
CHOICES = 300
SERVERS = 1400
SLOTS = 24
MANY_ADAPTERS = 12_000
FEW_ADAPTERS = 3_000


def _timed(function: Callable[[], None], count: int) -> float:
    """Return processor seconds of one of `count` steps."""
    started = time.process_time()
    function()
    return (time.process_time() - started) / count


def _admit_from_grant() -> None:
    holder = QuotaHolder("g", "o", 1e9, 1e9)
    holder.on_reply(QuotaReply("1-1", 2**40, 1_000_000, 0, 1, ""), 0.0)
    for _ in range(ADMISSIONS):
        spend = holder.try_reserve(300, 1.0)
        assert spend is not None
        holder.settle(spend, 200, 1.0)


def _admit_trivially() -> None:
    levels = {"o": 1e12}
    for _ in range(ADMISSIONS):
        if levels["o"] >= 300:
            levels["o"] -= 300
        levels["o"] += 100


def _make_scheduler(adapters: int) -> PoolScheduler:
    """Make a pool in which every adapter version is resident somewhere."""
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


def _choose(scheduler: PoolScheduler, adapters: int) -> None:
    for number in range(CHOICES):
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


def _choose_trivially() -> None:
    work = [float(index % 97) for index in range(SERVERS)]
    for _ in range(CHOICES):
        work[min(range(SERVERS), key=work.__getitem__)] += 1.0


def _chart_steps_of_updates() -> float:
    """Count chart steps during updates of the progress of a running request."""
    scheduler = _make_scheduler(FEW_ADAPTERS)
    request = PlaceRequest("r", "g", "p", "o", "a0", "1", 10, 100)
    reply = scheduler.submit(request, 2.1)[0].reply
    steps = 0

    def count(self: Lifecycle, event: str) -> bool:
        nonlocal steps
        steps += 1
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
    return float(steps)


def decision_rows() -> list[Row]:
    """Measure the decisions."""
    admissions = [
        _timed(_admit_from_grant, ADMISSIONS) * 1e6 for _ in range(REPETITIONS)
    ]
    trivial = _timed(_admit_trivially, ADMISSIONS) * 1e6
    many, few = _make_scheduler(MANY_ADAPTERS), _make_scheduler(FEW_ADAPTERS)
    _choose(many, MANY_ADAPTERS)
    _choose(few, FEW_ADAPTERS)
    # The two sizes alternate, so that other load on the machine affects both.
    with_many, with_few = [], []
    for _ in range(REPETITIONS):
        with_many.append(_timed(lambda: _choose(many, MANY_ADAPTERS), CHOICES) * 1e3)
        with_few.append(_timed(lambda: _choose(few, FEW_ADAPTERS), CHOICES) * 1e3)
    least = _timed(_choose_trivially, CHOICES) * 1e3
    return [
        Row(
            "admission and settlement from a grant",
            admissions,
            baseline=trivial,
            at_most=20.0,
            unit="us",
        ),
        Row(
            "choice among 1,400 servers, adapter resident",
            with_many,
            baseline=least,
            at_most=1.0,
            unit="ms",
        ),
        Row(
            "choice with 12,000 adapters, of that with 3,000",
            ratios(with_many, with_few),
            baseline=1.0,
            limit=1.0,
            at_most=1.25,
        ),
        Row(
            "chart steps in 100 updates of a running request",
            [_chart_steps_of_updates()],
            limit=0.0,
            at_most=0.0,
        ),
    ]
