"""Benchmark of the platform leader's costs: ``python -m bench.leader``."""

from __future__ import annotations

import random
import time

import msgspec

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.channel import decode_struct, encode_struct
from sequoiafall.engine_planner import EnginePlanner
from sequoiafall.engine_pool import EngineReport
from sequoiafall.planner_messages import GrantPlace, LoadOrder, PlacementRequest
from sequoiafall.wire.gen import ttypes

REQUESTS = 4000
ENGINES = (6, 35, 70, 140)
# Requests per second for each engine, as at the largest sites.
REQUESTS_PER_S_PER_ENGINE = 6.0
RUN_S = 0.4
# A large configuration and the backend servers of the largest sites.
ROUTES = 350
BACKEND_SERVERS = 73


def _measure_placements(engines: int) -> tuple[float, int]:
    """Return the processor time per request in seconds, and the number of loads."""
    rng = random.Random(engines)
    planner = EnginePlanner("assist")
    entries = [
        BackendEntry(f"e{n}", "assist", f"10.0.0.{n}:1", f"z{n % 3}", 64, False)
        for n in range(engines)
    ]
    now, loads, cpu_s = 100.0, 0, 0.0
    planner.set_entries(entries, 6, now)
    report = EngineReport(0, {}, {}, 0, 0, models=frozenset({"base"}))
    for entry in entries:
        planner.on_report(entry.name, report, now)
    ends: list[tuple[float, str]] = []
    for number in range(REQUESTS):
        now += rng.expovariate(REQUESTS_PER_S_PER_ENGINE * engines)
        adapter = f"a{int(rng.paretovariate(0.5))}"
        request = PlacementRequest(
            f"r{number}", "o", "g", "z1", adapter, 2000, 1, 0.8, 4.0
        )
        ended_ids = [request_id for at, request_id in ends if at <= now]
        ends = [item for item in ends if item[0] > now]
        started = time.process_time()
        actions = planner.tick(now) + planner.submit(request, now)
        for request_id in ended_ids:
            actions += planner.end(request_id, "ok", now)
        for action in actions:
            if isinstance(action, GrantPlace):
                ends.append((now + RUN_S, action.request_id))
            elif isinstance(action, LoadOrder):
                loads += 1
                planner.on_order_result(action, True, now)
        cpu_s += time.process_time() - started
    return cpu_s / REQUESTS, loads


def _measure_poll() -> tuple[float, int]:
    """Return the processor time in seconds and the size in bytes of poll and reply."""
    member = ttypes.FleetMember(
        "node-1", 1, "z1", "10.0.0.1:1", "10.0.0.1:2", True, False, 100
    )
    poll = ttypes.FleetPoll(member, 7, 3, {"org": 200}, [], [], {}, False, 5, {})
    reply = ttypes.FleetPollReply(
        True, 7, 3, [], [], [], True, {"op": 9, "servers": 8}, "10.0.0.2:2", 9, 5
    )
    started = time.process_time()
    for _ in range(2000):
        size = 0
        for message in (poll, reply):
            data = encode_struct(message)
            size += len(data)
            decode_struct(type(message), data)
    return (time.process_time() - started) / 2000, size


def _message_sizes() -> dict[str, int]:
    """Return the bytes of messages, and of a new node's initial rows."""
    request = ttypes.EngineAsk(
        "0123456789abcdef", "organisation", "assist", "a1234", 2000, 2250, 1, 700,
        3900, "zone-1", [], False, 0, "instance-1",
    )  # fmt: skip
    reply = ttypes.EngineAnswer("i-0123456789", 3, "", 0, True, "", "10.1.64.33:8784")
    permit = ttypes.SendPermitRequest(["i-0123456789", "i-9876543210"], 400, 7)
    permit_reply = ttypes.SendPermitReply(True, "i-0123456789", 120)
    begun = ttypes.EngineEnd("0123456789abcdef", "assist", "i-0123456789", "ok", True)
    parts = ttypes.EngineAsk(shared_parts=["a05928d8452a", "48720f3588ea"])
    crash = ttypes.PartCrash("i-0123456789", 1_776_874_202_957, 240, False)
    evidence = ttypes.PartEvidence("48720f3588ea", [crash] * 3, -1, 29_000, 0)
    limit = ttypes.ServerLimit("i-0123456789", 1_776_874_202_957, 1.7, 240)
    route = {
        "name": "route-000", "host": "shop.example", "path_prefix": "/draft/some/",
        "service": "assist", "timeout_ms": 4000, "max_attempts": 2,
    }  # fmt: skip
    entry = {
        "service": "assist", "address": "10.1.64.33:8784", "zone": "zone-1",
        "version": "v1", "slots": 64, "state": "ready", "sequence": 1, "born": 1,
    }  # fmt: skip
    configuration = msgspec.json.encode({"routes": [route] * ROUTES})
    rows = [ttypes.MirroredRow("op", "config", configuration, 1, False)]
    rows += [
        ttypes.MirroredRow("servers", f"i-{n}", msgspec.json.encode(entry), n, False)
        for n in range(BACKEND_SERVERS)
    ]
    return {
        "ask_bytes": len(encode_struct(request)) + len(encode_struct(reply)),
        "permit_bytes": len(encode_struct(permit)) + len(encode_struct(permit_reply)),
        "limit_bytes": len(encode_struct(limit)),
        "parts_bytes": len(encode_struct(parts)),
        "begun_bytes": len(encode_struct(begun)),
        "evidence_bytes": len(encode_struct(evidence)),
        "newcomer_bytes": sum(len(encode_struct(row)) for row in rows),
    }


def main() -> None:
    """Print the measured costs."""
    for engines in ENGINES:
        seconds, loads = _measure_placements(engines)
        print(f"engines={engines} place_us={seconds * 1e6:.0f} loads={loads}")
    seconds, size = _measure_poll()
    print(f"poll_us={seconds * 1e6:.0f} poll_bytes={size} (without frame and TCP)")
    print(" ".join(f"{name}={size}" for name, size in _message_sizes().items()))


if __name__ == "__main__":
    main()
