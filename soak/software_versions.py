"""Servers of several software versions, and streams that callers take up again.

The events of a stream must name one version over all its tries. The random generators
are separate, so that other faults and requests of a seed stay.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from sequoiafall.platform import names

from .calls import Call
from .configuration import ENGINE_SERVICES, KEYS_BY_ORGANISATION
from .crash_budget import CONTACT_S

if TYPE_CHECKING:
    import aiohttp

    from .run import Soak
    from .servers import RecordingEngine

STREAMS_PER_S = 12.0
EVENTS = 5
ROUTES = ("draft", "note")
# Share of callers that lose their connection, and when.
BREAK_SHARE = 0.7
MIN_BREAK_S, MAX_BREAK_S = 0.2, 0.7
# Callers take a stream up until this long after its begin.
CALLER_DEADLINE_S = 10.0
RETRY_S = 0.3
ROLLBACK_SHARE = 0.3
# What the users accept: this many joined streams, and this share of take-ups that go
# on relative to the share of new streams that begin, of at least so many take-ups.
MAX_JOINED = 2
MIN_SHARE = 0.5
MIN_TAKE_UPS = 12
# Time from the announcement that a server leaves to its departure, and from there
# until none of its streams runs any more.
LEAVING_S = 1.5
RUNNING_S = 5.0


class StreamCheck:
    """Judges streams over all their tries, by what the callers have received."""

    def __init__(self) -> None:
        self.versions_by_stream: dict[str, set[str]] = defaultdict(set)
        self.begun: list[bool] = []
        self.taken_up: list[bool] = []

    def record_end(self, call: Call) -> None:
        """Record the events of one try."""
        stream = call.headers.get(names.RESUMES, call.request_id)
        for event in complete_events(call.received):
            version = event.rpartition(b" of ")[2].decode()
            self.versions_by_stream[stream].add(version)

    def _joined(self) -> list[str]:
        """Return a line for each stream with two versions of one service."""
        return [
            f"{stream}: joined from {sorted(versions)}"
            for stream, versions in self.versions_by_stream.items()
            if len(versions) > len({name.rpartition("-")[0] for name in versions})
        ]

    def describe(self) -> str:
        """Return the counts of a run in one line."""
        return (
            f"streams={len(self.versions_by_stream)} joined={len(self._joined())} "
            f"begun={sum(self.begun)}/{len(self.begun)} "
            f"taken_up={sum(self.taken_up)}/{len(self.taken_up)}"
        )

    def findings(self) -> list[str]:
        """Return a line for each joined stream, and one if too few went on."""
        lines = self._joined() if len(self._joined()) > MAX_JOINED else []
        least = MIN_SHARE * sum(self.begun) / max(1, len(self.begun))
        count = len(self.taken_up)
        if count >= MIN_TAKE_UPS and sum(self.taken_up) < least * count:
            lines.append(f"too few streams went on when taken up: {self.describe()}")
        return lines


class SoftwareVersions:
    """Replaces servers by those of other versions, and takes broken streams up."""

    def __init__(self, soak: Soak) -> None:
        self._soak, self._check = soak, soak.streams
        self._served_since: dict[RecordingEngine, float] = {}

    async def run(self, session: aiohttp.ClientSession, end_at: float) -> None:
        """Change versions and send streams until a monotonic time in seconds."""
        changes = (self._change(service, end_at) for service in ENGINE_SERVICES)
        await asyncio.gather(self._send(session, end_at), *changes)

    async def _change(self, service: str, end_at: float) -> None:
        """Let half of the servers leave and return with another version."""
        soak = self._soak
        generator = random.Random(f"{soak.seed} versions of {service}")
        engines = [row for row in soak.all_engines if soak.service(row) == service]
        self._served_since |= dict.fromkeys(engines, 0.0)
        latest, half = 1, len(engines) // 2
        while time.monotonic() < end_at:
            group = generator.choice((engines[:half], engines[half:]))
            for engine in group:
                self._served_since[engine] = math.inf
                soak.register_engine(engine, "draining")
            await asyncio.sleep(LEAVING_S)
            for engine in group:
                soak.removed_engines.add(engine)
                soak.store.remove(names.BACKEND_TABLE, engine.name)
            await asyncio.sleep(RUNNING_S)
            is_rollback = latest > 1 and generator.random() < ROLLBACK_SHARE
            latest += not is_rollback
            for engine in group:
                self._return(engine, f"{service}-v{latest - is_rollback}")
            await asyncio.sleep(generator.uniform(4.0, 8.0))

    def _return(self, engine: RecordingEngine, software: str) -> None:
        """Start a server of a version under a new name, as on another machine."""
        soak = self._soak
        soak.end_limit(engine)
        relay = soak.relays.pop(engine.name)
        base, _, number = engine.name.partition("r")
        engine.name = f"{base}r{int(number or 0) + 1}"
        soak.relays[engine.name] = relay
        engine.restart()
        engine.software = software
        soak.removed_engines.discard(engine)
        soak.register_engine(engine)
        self._served_since[engine] = time.monotonic()
        soak.endings.note(f"{engine.name} comes with {software}")

    def _is_served_twice(self, stream: str) -> bool:
        """Return whether two servers of the version of a stream have served a while."""
        until = time.monotonic() - CONTACT_S
        versions = self._check.versions_by_stream[stream]
        serving = [
            max([began_at, *engine.crashed_at[-1:]]) < until
            for engine, began_at in self._served_since.items()
            if versions == {engine.software}
        ]
        return sum(serving) >= 2

    def _count(self, counts: list[bool], call: Call) -> None:
        """Count whether a stream begins or goes on at a node that is in touch."""
        has_begun = bool(complete_events(call.received))
        is_in_touch = not self._soak.prompts.is_excused(call.ended_at, call.node)
        if is_in_touch and (has_begun or not call.has_left):
            counts.append(has_begun)

    async def _send(self, session: aiohttp.ClientSession, end_at: float) -> None:
        generator = random.Random(f"{self._soak.seed} streams taken up")
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < end_at:
            stream = f"s{self._soak.seed}-v{len(tasks)}"
            tasks.append(asyncio.create_task(self._call_stream(session, stream)))
            await asyncio.sleep(generator.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)

    async def _call_stream(self, session: aiohttp.ClientSession, stream: str) -> None:
        """Send a stream, and take it up until it is complete or out of time."""
        generator = random.Random(stream)
        end_at = time.monotonic() + CALLER_DEADLINE_S
        call = self._new_call(generator, stream, generator.choice(ROUTES))
        await self._soak.make_call(session, call)
        self._count(self._check.begun, call)
        events, tries, is_counted = len(complete_events(call.received)), 0, True
        while 0 < events < EVENTS and time.monotonic() < end_at:
            tries += 1
            is_counted &= self._is_served_twice(stream)
            call = self._new_call(generator, f"{stream}t{tries}", call.route)
            call.headers |= {names.LAST_EVENT: str(events), names.RESUMES: stream}
            await self._soak.make_call(session, call)
            if is_counted:
                self._count(self._check.taken_up, call)
            # Only the first of several tries that bring no event counts.
            is_counted = bool(more := len(complete_events(call.received)))
            events += more
            await asyncio.sleep(0.0 if more else RETRY_S)

    def _new_call(self, generator: random.Random, request_id: str, route: str) -> Call:
        node = generator.randint(1, self._soak.node_count)
        caller = next(iter(KEYS_BY_ORGANISATION.items()))
        call = Call(request_id, node, route, *caller, f"/{route}/v", "POST", b"v")
        call.headers = self._soak.stream_headers("a1", f"{request_id}:800")
        call.headers[names.DEADLINE_MS] = str(int(CALLER_DEADLINE_S * 1e3))
        if generator.random() < BREAK_SHARE:
            call.leaves_after_s = generator.uniform(MIN_BREAK_S, MAX_BREAK_S)
        return call


def complete_events(body: bytes) -> list[bytes]:
    """Return the complete events in a part of a stream that names versions."""
    return [row.rstrip() for row in body.split(b"\n\n")[:-1] if b" of " in row]
