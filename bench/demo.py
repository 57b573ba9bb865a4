"""Demonstration: a fleet of processes, mixed traffic and a few failures.

Prints the result of each step and exits with status 0 if all succeeded. With
``--record FILE`` or ``SEQUOIAFALL_RECORD=FILE`` it also writes the requests of the
gateways' logs as a trace for ``sequoiafall-replay``.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import random
import secrets
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from sequoiafall.replay_outcomes import SAFETY_OUTCOMES, Outcome, write_outcomes
from sequoiafall.standins.generation import completion_text
from sequoiafall.table import BackendServer, Organisation
from sequoiafall.traces import Header, trace_from_log, write_trace

from .caller import Caller, CallResult
from .fleet import Fleet, Instance, wait_until

SEED = 7
ADAPTERS_PER_ORGANISATION = 6
REQUESTS_PER_ORGANISATION = 30
LONG_STREAM_TOKENS = 4000
MAX_WITHDRAWAL_S = 10.0
MAX_CLEANING_S = 20.0
RECORD_VARIABLE = "SEQUOIAFALL_RECORD"
# Rates of the stand-ins: the platform admits 3 loads per second.
LOADS_PER_S = 3.0
ONE_WAY_S = 0.0015
LIMITS_BY_ORGANISATION = {
    "woodcarvers": (2.0, 20_000, 40_000),
    "clog-makers": (1.0, 20_000, 40_000),
    "weavers": (1.0, 10_000, 20_000),
}


@dataclass(slots=True)
class StepReport:
    """Prints the steps of the demonstration and collects those that failed."""

    failed_steps: list[str] = field(default_factory=list)

    def record(self, name: str, ok: bool, detail: str) -> None:
        """Print one step and record it if it failed."""
        print(f"{'ok  ' if ok else 'FAIL'}  {name}: {detail}", flush=True)
        if not ok:
            self.failed_steps.append(name)


def prompt_for(number: int) -> str:
    """Return a prompt whose prefix several requests share."""
    return f"Draft the order summary of workshop {number % 5}, item {number}"


async def configure(fleet: Fleet) -> None:
    """Create organisations, keys, adapters, backend servers and a route."""
    edits: list[tuple[str, str, dict | None]] = []
    for name, (weight, rate, burst) in LIMITS_BY_ORGANISATION.items():
        limits = {"weight": weight, "rate": rate, "burst": burst}
        edits.append(("organisation", name, limits))
        secret = secrets.token_urlsafe(24)
        fleet.keys_by_organisation[name] = secret
        digest = hashlib.sha256(secret.encode()).hexdigest()
        edits.append(("key", f"{name}-1", {"organisation": name, "digest": digest}))
        for number in range(ADAPTERS_PER_ORGANISATION):
            adapter = f"{name}-{number}"
            edits.append(("adapter", adapter, {"organisation": name}))
            values = {"adapter": adapter, "version": "1"}
            edits.append(("adapter_version", f"{adapter}@1", values))
    for number, engine in enumerate(fleet.engines_by_name.values()):
        values = {
            "address": engine.address,
            "server_kind": "engine",
            "pool": "base",
            "zone": "kuldiga",
            "checks_fencing": number % 2 == 0,
            "adapter_slots": 8,
            "places": 8,
        }
        edits.append(("backend_server", engine.name, values))
    for service in fleet.plain_services_by_name.values():
        values = {
            "address": service.address,
            "server_kind": "plain",
            "pool": "orders",
            "zone": "talsi",
            "adapter_slots": 0,
            "places": 8,
        }
        edits.append(("backend_server", service.name, values))
    edits.append(("route", "orders", {"pool": "orders", "organisation": "woodcarvers"}))
    await fleet.edit(*edits)


def caller(fleet: Fleet, organisation: str) -> Caller:
    """Return a caller of an organisation that knows the addresses of all gateways."""
    return Caller(
        organisation,
        fleet.keys_by_organisation[organisation],
        [i.gateway.address for i in fleet.instances_by_name.values()],
        fleet.session,
        random.Random(f"{SEED}-{organisation}"),
    )


async def send_traffic(fleet: Fleet, count: int) -> list[tuple[CallResult, str]]:
    """Send concurrent requests of all organisations; return results, expected texts."""

    async def send_one(sender: Caller, number: int) -> tuple[CallResult, str]:
        await asyncio.sleep(0.02 * number)
        adapter = f"{sender.organisation}-{number % ADAPTERS_PER_ORGANISATION}"
        prompt = prompt_for(number)
        result = await sender.complete(f"{adapter}@1", prompt, max_tokens=12)
        return result, completion_text(prompt, adapter, "1", 12)

    senders = [caller(fleet, name) for name in LIMITS_BY_ORGANISATION]
    tasks = [send_one(sender, n) for sender in senders for n in range(count)]
    return await asyncio.gather(*tasks)


def count_correct(results: list[tuple[CallResult, str]]) -> int:
    """Count the completions that are whole and from the right adapter."""
    return sum(result.finished and result.text == text for result, text in results)


async def show_traffic(fleet: Fleet, report: StepReport) -> None:
    """Send mixed traffic and check every response."""
    started = time.monotonic()
    results = await send_traffic(fleet, REQUESTS_PER_ORGANISATION)
    correct = count_correct(results)
    seconds = time.monotonic() - started
    report.record(
        "mixed traffic",
        correct == len(results),
        f"{correct} of {len(results)} answers complete and from the right adapter, "
        f"{len(LIMITS_BY_ORGANISATION)} organisations, {seconds:.1f} s",
    )
    wrong = await caller(fleet, "weavers").complete("woodcarvers-0@1", "x")
    report.record(
        "adapter of another organisation",
        wrong.status == 403 and wrong.run_status == "not run",
        f"status {wrong.status}, reason {wrong.reason}, ran {wrong.run_status}",
    )


async def show_order(fleet: Fleet, report: StepReport) -> None:
    """Place one order twice under one idempotency key, at two gateways."""
    sender = caller(fleet, "woodcarvers")
    gateways = [i.gateway.address for i in fleet.instances_by_name.values()]
    body = b'{"order": "cedar", "quantity": 3}'
    first = await sender.call_service("orders", body, "order-1", gateways[0])
    second = await sender.call_service("orders", body, "order-1", gateways[1])
    service = next(iter(fleet.plain_services_by_name.values()))
    async with fleet.session.get(f"http://{service.address}/handled") as response:
        runs = sum((await response.json())["by_body"].values())
    report.record(
        "non-idempotent order, sent twice",
        first.status == 200 and first.body == second.body and runs == 1,
        f"status {first.status} and {second.status}, ran {runs} time(s)",
    )


async def show_limit_edit(fleet: Fleet, report: StepReport) -> None:
    """Lower a limit, check that requests are refused, and raise it again."""
    started = time.monotonic()
    result = await fleet.edit(("organisation", "weavers", {"rate": 20, "burst": 60}))
    seconds = time.monotonic() - started
    sender = caller(fleet, "weavers")
    results = [
        await sender.complete("weavers-0@1", f"p{n}", 12, attempts=1) for n in range(12)
    ]
    refused = [a for a in results if a.reason == "rate_exceeded"]
    report.record(
        "limit lowered",
        bool(refused) and bool(result.get("in_force")),
        f"in force after {seconds:.1f} s; {len(refused)} of {len(results)} refused "
        f"with {refused[0].reason if refused else 'no reason'}",
    )
    await fleet.edit(("organisation", "weavers", {"rate": 10_000, "burst": 20_000}))


async def show_withdrawal(fleet: Fleet, report: StepReport) -> None:
    """Withdraw a key while a long stream that uses it is running."""
    secret = secrets.token_urlsafe(24)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    values = {"organisation": "woodcarvers", "digest": digest}
    await fleet.edit(("key", "woodcarvers-2", values))
    sender = caller(fleet, "woodcarvers")
    sender.key = secret
    stream = asyncio.ensure_future(
        sender.complete("woodcarvers-0@1", "long", LONG_STREAM_TOKENS, attempts=1)
    )
    await asyncio.sleep(1.0)
    started = time.monotonic()
    await fleet.edit(("key", "woodcarvers-2", {"state": "withdrawn"}))
    ended = await stream
    seconds = time.monotonic() - started
    after = await sender.complete("woodcarvers-0@1", "x", attempts=1)
    report.record(
        "key withdrawn",
        not ended.finished and after.status == 401 and seconds < MAX_WITHDRAWAL_S,
        f"running stream ended within {seconds:.1f} s with "
        f"{ended.reason or 'no reason'}, next request {after.status} {after.reason}",
    )


async def show_cleaning(fleet: Fleet, report: StepReport) -> None:
    """Put a backend server into cleaning under load."""
    engine = next(iter(fleet.engines_by_name.values()))
    traffic = asyncio.ensure_future(send_traffic(fleet, REQUESTS_PER_ORGANISATION))
    await asyncio.sleep(0.2)
    await fleet.edit(("backend_server", engine.name, {"state": "cleaning"}))

    # An engine that happens to be idle may still get places while replacements are
    # loaded elsewhere; only the drained state guarantees that none follows.
    async def drained() -> bool:
        _, status = await fleet.call_operator_api("GET", "/status")
        return status["backend_servers"][engine.name].get("drain") == "drained"

    await wait_until(drained, f"{engine.name} to be drained", MAX_CLEANING_S)
    results = await traffic
    before = await _received_count(fleet, engine.address)
    results += await send_traffic(fleet, 6)
    after = await _received_count(fleet, engine.address)
    correct = count_correct(results)
    report.record(
        "backend server cleaned",
        correct == len(results) and before == after,
        f"{correct} of {len(results)} answers complete, "
        f"{after - before} new request(s) on {engine.name} after it was empty",
    )
    await fleet.edit(("backend_server", engine.name, {"state": "in_service"}))


async def _received_count(fleet: Fleet, address: str) -> int:
    async with fleet.session.get(f"http://{address}/recorded") as response:
        requests = (await response.json())["recorded"]
    return sum(request["path"].startswith("/v1/") for request in requests)


async def show_instance_loss(fleet: Fleet, report: StepReport) -> None:
    """Kill an instance under load and check that all requests succeed."""
    victim: Instance = next(iter(fleet.instances_by_name.values()))
    traffic = asyncio.ensure_future(send_traffic(fleet, REQUESTS_PER_ORGANISATION))
    await asyncio.sleep(0.3)
    await asyncio.gather(*(process.kill() for process in victim.processes))
    results = await traffic
    correct = count_correct(results)
    refused = sum(result.reason == "rate_exceeded" for result, _ in results)
    report.record(
        "instance killed",
        correct == len(results),
        f"{correct} of {len(results)} answers complete after retries, "
        f"{refused} refused within the rate",
    )


async def show_planned_stop(fleet: Fleet, report: StepReport) -> None:
    """Start a replacement and stop an instance gracefully, under load."""
    await fleet.start_instance("i9", "talsi")
    await fleet.wait_ready()
    victim = list(fleet.instances_by_name.values())[1]
    traffic = asyncio.ensure_future(send_traffic(fleet, REQUESTS_PER_ORGANISATION))
    await asyncio.sleep(0.3)
    statuses = await asyncio.gather(*(p.stop() for p in reversed(victim.processes)))
    results = await traffic
    correct = count_correct(results)
    report.record(
        "planned stop",
        correct == len(results) and not any(statuses),
        f"{correct} of {len(results)} answers complete, exit statuses {statuses}",
    )


async def show_key_secrecy(fleet: Fleet, report: StepReport) -> None:
    """Search the requests at the backend servers and all logs for API keys."""
    searched_text = fleet.logs()
    for server in (
        *fleet.engines_by_name.values(),
        *fleet.plain_services_by_name.values(),
    ):
        async with fleet.session.get(f"http://{server.address}/recorded") as response:
            searched_text += await response.text()
    found = sum(
        secret in searched_text for secret in fleet.keys_by_organisation.values()
    )
    report.record("keys not leaked", found == 0, f"{found} key(s) found")


async def record_trace(fleet: Fleet, path: Path) -> None:
    """Write the admitted requests of all gateways as a trace.

    The header holds the organisations and engines as they are at the end. A trace
    contains no failures, so its replay runs on a fleet without them.
    """
    rows_by_kind = {}
    for kind in ("organisation", "backend_server"):
        _, body = await fleet.call_operator_api("GET", f"/table/{kind}")
        rows_by_kind[kind] = [row["values"] for row in body["rows"]]
    header = Header(
        name="recorded",
        seed=0,
        duration_s=0.0,
        measured_from_s=0.0,
        organisations=[Organisation(**row) for row in rows_by_kind["organisation"]],
        servers=[
            BackendServer(**row)
            for row in rows_by_kind["backend_server"]
            if row["server_kind"] == "engine"
        ],
        gateways=len(fleet.instances_by_name),
        one_way_s=ONE_WAY_S,
        loads_per_s=LOADS_PER_S,
    )
    trace = trace_from_log(fleet.logs().splitlines(), header)
    write_trace(trace, path)
    count = len(trace.events)
    outcomes = [*SAFETY_OUTCOMES, Outcome(figure="requests", at_least=count)]
    write_outcomes(outcomes, path)
    print(f"{path}: {count} events", flush=True)


def parse_record(arguments: Sequence[str], environment: Mapping[str, str]) -> str:
    """Return the file to record to, empty for none; the option takes precedence."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument(
        "--record",
        default=environment.get(RECORD_VARIABLE, ""),
        metavar="FILE",
        help=f"write a trace of the requests [{RECORD_VARIABLE}; default: none]",
    )
    return parser.parse_args(list(arguments)).record


async def run(record: str = "") -> int:
    """Run all steps and return the exit status."""
    report = StepReport()
    print("starting platform, 2 engines, 1 plain service and 3 instances", flush=True)
    fleet = await Fleet.start(instance_count=3, engine_count=2)
    print(f"logs: {fleet.directory}", flush=True)
    steps = (
        show_traffic,
        show_order,
        show_limit_edit,
        show_withdrawal,
        show_cleaning,
        show_instance_loss,
        show_planned_stop,
        show_key_secrecy,
    )
    try:
        await configure(fleet)
        for step in steps:
            try:
                await step(fleet, report)
            except (RuntimeError, TimeoutError) as error:
                report.record(step.__name__, False, str(error))
        if record:
            await record_trace(fleet, Path(record))
    finally:
        await fleet.stop()
    if report.failed_steps:
        print(f"{len(report.failed_steps)} step(s) failed")
        return 1
    print("all steps succeeded")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run(parse_record(sys.argv[1:], os.environ))))
