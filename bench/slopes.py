"""Measures how processor time, bytes and memory grow with the size of the fleet.

Each cost is measured at four sizes; its slope is fitted by least squares.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import numpy

from sequoiafall.channel import decode_struct, encode_struct
from sequoiafall.head import HeadFreshness
from sequoiafall.pool_state import RunningRequest, ServerReport
from sequoiafall.quota import QuotaOwner
from sequoiafall.quota_holder import QuotaHolder
from sequoiafall.scheduler import PoolScheduler
from sequoiafall.table import BackendServer, TableState, check_edits
from sequoiafall.wire.gen.ttypes import (
    Change,
    Head,
    Heartbeat,
    HeartbeatReply,
    Member,
    MemberStatus,
    PlaceRequest,
    QuotaRequest,
    View,
)

FRAME_BYTES = 4 + 10 + 16
"""Length, header and tag of a frame (section 4.3 of the design)."""

TCP_IP_HEADER_BYTES = 40
REPETITIONS = 3
ROUNDS_PER_RUN = 200


class Slope(msgspec.Struct):
    """Cost as a linear function of a size.

    Parameters
    ----------
    name, per : str
        Name of the cost, and the item that the size counts.
    sizes, costs : list of float
        Measured sizes and their costs.
    slope, intercept : float
        Fitted line ``cost = intercept + slope * size``.
    largest_error : float
        Largest residual of the fit, as a share of the largest cost.
    """

    name: str
    per: str
    unit: str
    sizes: list[float]
    costs: list[float]
    slope: float
    intercept: float
    largest_error: float

    def __str__(self) -> str:
        points = ", ".join(
            f"{size:g}: {cost:.4g}"
            for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return (
            f"{self.name:<44} {self.slope:>10.4g} {self.unit} per {self.per:<16}"
            f" fit error {100 * self.largest_error:.1f}%  ({points})"
        )


def fit(name: str, per: str, unit: str, sizes: list[int], costs: list[float]) -> Slope:
    """Fit a line to measured costs."""
    slope, intercept = numpy.polyfit(sizes, costs, 1)
    slope, intercept = float(slope), float(intercept)
    errors = [
        abs(intercept + slope * size - cost)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    largest = max(errors) / max(max(costs), 1e-12)
    return Slope(
        name,
        per,
        unit,
        [float(size) for size in sizes],
        costs,
        slope,
        intercept,
        largest,
    )


def _min_cpu_s(function: Callable[[], object]) -> float:
    """Return the least processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(REPETITIONS):
        started = time.process_time()
        function()
        best = min(best, time.process_time() - started)
    return best


def _allocated_bytes(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _status(index: int) -> MemberStatus:
    return MemberStatus(
        f"instance-{index}",
        1_700_000_000_000 + index,
        "zone-1",
        True,
        False,
        123_456,
        250,
        ["10.0.0.1:8080"],
        "10.0.0.1:9090",
    )


def _heartbeat_slopes() -> list[Slope]:
    """Measure one round of heartbeats to all voting members."""
    sizes = [3, 7, 11, 15]
    seconds, sent = [], []
    for size in sizes:
        members = [
            Member(f"instance-{n}", n, "zone-1", "10.0.0.1:9090", ["10.0.0.1:8080"])
            for n in range(size)
        ]
        freshness = HeadFreshness("instance-0")
        freshness.apply_head(Head(9, View(9, members), []), 0.0)
        request = Heartbeat("instance-0", 1, 9, True, _status(0))

        def one_round(
            size: int = size,
            request: Heartbeat = request,
            freshness: HeadFreshness = freshness,
        ) -> int:
            total = 0
            for index in range(1, size):
                payload = encode_struct(request)
                reply = HeartbeatReply(f"instance-{index}", 1, 9, True, _status(index))
                reply_payload = encode_struct(reply)
                decode_struct(Heartbeat, payload)
                decoded = decode_struct(HeartbeatReply, reply_payload)
                freshness.on_confirmation(decoded.instance, 9, 1.0)
                total += (
                    len(payload)
                    + len(reply_payload)
                    + 2 * (FRAME_BYTES + TCP_IP_HEADER_BYTES)
                )
            return total

        sent.append(float(one_round()))
        cpu_s = _min_cpu_s(lambda run=one_round: [run() for _ in range(ROUNDS_PER_RUN)])
        seconds.append(cpu_s / ROUNDS_PER_RUN)
    return [
        fit("heartbeat round, processor time", "voting member", "s", sizes, seconds),
        fit("heartbeat round, bytes", "voting member", "B", sizes, sent),
    ]


def _report(name: str, requested_at: float, running: int) -> ServerReport:
    return ServerReport(
        name,
        1,
        requested_at,
        tuple((f"adapter-{n}", "1") for n in range(24)),
        (),
        tuple(
            RunningRequest(f"{name}-{n}", f"adapter-{n}", "1", 100)
            for n in range(running)
        ),
        16,
        24,
    )


def _make_pool(servers: int) -> PoolScheduler:
    pool = PoolScheduler("p", 1, 0.0, 0.0)
    rows = [
        BackendServer(
            f"s{n}", "10.0.0.1:80", "engine", "p", "z", "in_service", True, 24, 16
        )
        for n in range(servers)
    ]
    pool.set_servers(rows, 0.0)
    for row in rows:
        pool.on_report(_report(row.name, 1.5, 8), 1.5)
    return pool


def _server_slopes() -> list[Slope]:
    """Measure reports, ticks and memory at the owner of a pool."""
    sizes = [4, 8, 16, 32]
    seconds, memory, sent, ticks = [], [], [], []
    for size in sizes:
        pool = _make_pool(size)
        clock = [2.0]

        def one_round(pool: PoolScheduler = pool, clock: list = clock) -> None:
            clock[0] += 0.25
            for name in list(pool.servers_by_name):
                body = msgspec.json.encode(_report(name, clock[0], 8))
                msgspec.json.decode(body, type=ServerReport)
                pool.on_report(_report(name, clock[0], 8), clock[0])

        seconds.append(_min_cpu_s(one_round))
        ticks.append(
            _min_cpu_s(lambda p=pool, c=clock: [p.tick(c[0]) for _ in range(20)]) / 20
        )
        memory.append(_allocated_bytes(lambda size=size: _make_pool(size)))
        body = msgspec.json.encode(_report("s0", 2.0, 8))
        sent.append(float(size * (len(body) + 300)))
    return [
        fit("round of reports, processor time", "backend server", "s", sizes, seconds),
        fit("round of reports, bytes", "backend server", "B", sizes, sent),
        fit("tick of a pool, processor time", "backend server", "s", sizes, ticks),
        fit("state of a pool, memory", "backend server", "B", sizes, memory),
    ]


def _place_slope() -> Slope:
    """Measure the placement of requests whose adapter is resident."""
    sizes = [100, 200, 400, 800]
    costs = []
    for size in sizes:

        def run(size: int = size) -> None:
            pool = _make_pool(16)
            for number in range(size):
                adapter = f"adapter-{number % 24}"
                request = PlaceRequest(
                    f"r{number}", "g", "p", "o", adapter, "1", 300, 256, [], 8000, []
                )
                payload = encode_struct(request)
                request = decode_struct(PlaceRequest, payload)
                pool.submit(request, 1.6)
                pool.cancel(f"r{number}", 1.6)

        costs.append(_min_cpu_s(run))
    return fit("place request, processor time", "request", "s", sizes, costs)


def _adapter_changes(count: int) -> list[Change]:
    state = TableState()
    edits: list = [("organisation", "o", {"rate": 10, "burst": 100})]
    for number in range(count):
        name = f"adapter-{number}"
        version = {"adapter": name, "version": "1", "weights": f"w/{name}"}
        edits.append(("adapter", name, {"organisation": "o", "base_model": "base"}))
        edits.append(("adapter_version", f"{name}@1", version))
    checked = check_edits(state, edits).unwrap()
    return [Change(1, "op", "bench", 0, checked)]


def _adapter_slopes() -> list[Slope]:
    """Measure the table in memory, its snapshot and the start from a snapshot."""
    sizes = [1000, 2000, 4000, 8000]
    memory, seconds, sent = [], [], []
    for size in sizes:
        changes = _adapter_changes(size)

        def make(changes: list[Change] = changes) -> TableState:
            state = TableState()
            for change in changes:
                assert state.apply(change)
            return state

        memory.append(_allocated_bytes(make))
        snapshot = make().to_snapshot()
        sent.append(float(len(encode_struct(snapshot))))
        seconds.append(_min_cpu_s(lambda s=snapshot: TableState.from_snapshot(s)))
    return [
        fit("table in memory", "adapter", "B", sizes, memory),
        fit("snapshot, bytes before compression", "adapter", "B", sizes, sent),
        fit("start from a snapshot, processor time", "adapter", "s", sizes, seconds),
    ]


def _organisation_slopes() -> list[Slope]:
    """Measure quota state and one grant for each organisation."""
    sizes = [50, 100, 200, 400]
    memory, seconds, sent = [], [], []
    for size in sizes:

        def make(size: int = size) -> list[tuple[QuotaOwner, QuotaHolder]]:
            return [
                (
                    QuotaOwner(f"o{n}", 1e5, 1e6, 1, -1e6, -1e6),
                    QuotaHolder("g", f"o{n}", 1e5, 1e6),
                )
                for n in range(size)
            ]

        pairs = make()

        def grant(pairs: list = pairs) -> int:
            total = 0
            for owner, holder in pairs:
                request = holder.next_request(500, 1.0)
                payload = encode_struct(request)
                request = decode_struct(QuotaRequest, payload)
                for settlement in request.settlements:
                    owner.settle(settlement, 1.0)
                reply = owner.request("g", 500, 0.0, 1.0)
                reply_payload = encode_struct(reply)
                holder.on_reply(reply, 1.0)
                reservation = holder.try_reserve(500, 1.0)
                if reservation is not None:
                    holder.settle(reservation, 300, 1.0)
                total += (
                    len(payload)
                    + len(reply_payload)
                    + 2 * (FRAME_BYTES + TCP_IP_HEADER_BYTES)
                )
            return total

        sent.append(float(grant()))
        seconds.append(_min_cpu_s(grant))
        memory.append(_allocated_bytes(make))
    return [
        fit("grant from the owner, processor time", "grant", "s", sizes, seconds),
        fit("grant from the owner, bytes", "grant", "B", sizes, sent),
        fit("quota state, memory", "organisation", "B", sizes, memory),
    ]


def _edit_slopes() -> list[Slope]:
    """Measure the application of edits at a follower, and their bytes."""
    sizes = [100, 200, 400, 800]
    seconds, sent = [], []
    for size in sizes:
        base = _adapter_changes(1000)
        state = TableState()
        state.apply(base[0])
        changes = []
        for number in range(size):
            edit = ("organisation", "o", {"rate": 10 + number})
            checked = check_edits(state, [edit]).unwrap()
            change = Change(state.revision + 1, f"op{number}", "bench", 0, checked)
            assert state.apply(change)
            changes.append(change)

        def follow(changes: list[Change] = changes, base: list[Change] = base) -> None:
            follower = TableState()
            follower.apply(base[0])
            for change in changes:
                received = decode_struct(Change, encode_struct(change))
                assert follower.apply(received)

        seconds.append(_min_cpu_s(follow))
        sent.append(float(sum(len(encode_struct(change)) for change in changes)))
    return [
        fit("edit at a follower, processor time", "edit", "s", sizes, seconds),
        fit("edit, bytes", "edit", "B", sizes, sent),
    ]


def measure_slopes() -> list[Slope]:
    """Measure and return all slopes."""
    return [
        *_heartbeat_slopes(),
        *_server_slopes(),
        _place_slope(),
        *_adapter_slopes(),
        *_organisation_slopes(),
        *_edit_slopes(),
    ]
