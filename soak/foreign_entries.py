"""Entries of another writer among those of backend servers.

They have a random generator of their own, as the other faults of bad input.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from sequoiafall.platform import names
from sequoiafall.standins.foreign_entries import (
    UNUSABLE_VALUES,
    SilentAddress,
    deep_row_value,
)

from .calls import Call
from .configuration import (
    ENGINE_SERVICES,
    KEYS_BY_ORGANISATION,
    PLAIN_SERVICES,
    REQUEST_DEADLINE_S,
    STREAM_ROUTES,
)
from .faults import FaultInjector

if TYPE_CHECKING:
    import aiohttp

    from .run import Soak

Entries = dict[str, object]

REWRITE_INTERVAL_S = 0.4
MIN_STAY_S, MAX_STAY_S = 3.0, 7.0
# Shares of entries that stand across a kill of all nodes, and of runs whose last
# entries stand until the end of the final checks.
KILL_SHARE = 0.25
LASTING_SHARE = 0.5
MAX_ENTRIES = 30
# Fields that nodes read, and one that they do not.
DEEP_FIELDS = ("note", "models", "slots", "service", "address", "born", "version")
WRONG_VALUES: tuple[object, ...] = (None, True, "1", 1.5, [], {}, {"a": [1]}, [[""]])
# Requests that are sent beside the last entries may be repeated.
PROBED_ROUTES = ("draft", "note", "look", "ask")
PROBES_PER_NODE = 2
REFUSALS = (429, 503)
# Callers wait for at most this share of the time that they have left.
MAX_WAIT_SHARE = 1 / 3
MIN_WAIT_S = 0.05


class ForeignEntries:
    """Writes foreign entries, rewrites them and removes them again.

    Parameters
    ----------
    soak : Soak
        Run whose store receives the entries.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._random = random.Random(f"{soak.seed} foreign entries")
        self._faults = FaultInjector(soak, soak.node_count)
        self._numbers = itertools.count(1)
        self._silent: SilentAddress | None = None
        self._is_lasting = self._random.random() < LASTING_SHARE
        self.counts_by_kind: dict[str, int] = {}
        self.standing: Entries = {}

    async def run(self, end_at: float) -> None:
        """Let entries stand one group after the other until a monotonic time."""
        self._silent = SilentAddress()
        kinds: tuple[Callable[[], Entries], ...] = (
            self._deep_entries,
            self._wrong_entries,
            self._unreachable_entries,
        )
        while time.monotonic() < end_at:
            make = self._random.choice(kinds)
            kind = make.__name__.strip("_").replace("_", " ")
            await self._stand(kind, make(), end_at)
            await asyncio.sleep(self._random.uniform(0.2, 1.5))

    async def _stand(self, kind: str, entries: Entries, end_at: float) -> None:
        soak = self._soak
        until = time.monotonic() + self._random.uniform(MIN_STAY_S, MAX_STAY_S)
        kills = self._random.random() < KILL_SHARE
        self.counts_by_kind[kind] = self.counts_by_kind.get(kind, 0) + 1
        self.standing = entries
        soak.endings.note(f"{len(entries)} foreign {kind}")
        tasks = set()
        if kills:
            tasks.add(asyncio.create_task(self._kill_later()))
        while time.monotonic() < min(until, end_at):
            self._write()
            await asyncio.sleep(REWRITE_INTERVAL_S)
        await asyncio.gather(*tasks)
        if not self._is_lasting or time.monotonic() < end_at:
            self.remove()
            soak.endings.note(f"foreign {kind} are removed")

    async def _kill_later(self) -> None:
        await asyncio.sleep(self._random.uniform(0.3, 1.5))
        await self._faults.kill_all_nodes()

    def _write(self) -> None:
        for key, value in self.standing.items():
            self._soak.store.put(names.BACKEND_TABLE, key, value)

    def remove(self) -> None:
        """Remove all entries, also those that a copy of the store has brought back."""
        self.standing = {}
        for table, key in list(self._soak.store.rows):
            if table == names.BACKEND_TABLE and key.startswith(
                ("a-foreign", "x-foreign")
            ):
                self._soak.store.remove(table, key)

    def close(self) -> None:
        """Close the address that takes no connection."""
        if self._silent is not None:
            self._silent.close()

    # Kinds of entries

    def _deep_entries(self) -> Entries:
        """Return entries with a nested value, some of them broken off."""
        entries: Entries = {}
        for _ in range(self._random.randint(1, MAX_ENTRIES)):
            field = self._random.choice(DEEP_FIELDS)
            is_cut = self._random.random() < 0.3
            entries[self._key()] = deep_row_value(self._fields(), field, is_cut)
        return entries

    def _wrong_entries(self) -> Entries:
        """Return entries with a wrong type, a malformed value or missing fields."""
        entries: Entries = {}
        for _ in range(self._random.randint(1, MAX_ENTRIES)):
            fields = self._fields()
            if self._random.random() < 0.4:
                name, value = self._random.choice(UNUSABLE_VALUES)
                fields[name] = value
            elif self._random.random() < 0.5:
                fields[self._random.choice(sorted(fields))] = self._random.choice(
                    WRONG_VALUES
                )
            else:
                del fields[self._random.choice(("service", "address", "zone", "slots"))]
            entries[self._key()] = fields
        entries[self._key()] = self._random.choice((b"", b"\xff{", b"null", b"[]"))
        return entries

    def _unreachable_entries(self) -> Entries:
        """Return entries of all services that look sound and lead nowhere."""
        return {
            self._key(): self._fields()
            for _ in range(self._random.randint(6, MAX_ENTRIES))
        }

    def _key(self) -> str:
        """Return a key before or after those of the servers, in their order."""
        return f"{self._random.choice('ax')}-foreign-{next(self._numbers)}"

    def _fields(self) -> dict[str, object]:
        assert self._silent is not None
        return {
            "service": self._random.choice((*ENGINE_SERVICES, *PLAIN_SERVICES)),
            "address": self._silent.address,
            "zone": "z1",
            "slots": 64,
            "state": "ready",
            "born": int(time.time() * 1e3),
        }

    # Requests beside the entries that stand until the end

    async def findings(self, session: aiohttp.ClientSession) -> list[str]:
        """Return a line for each route that is not served beside the last entries.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Sends requests, which are repeated after a refusal, as callers do.
        """
        if not self.standing:
            return []
        self._write()
        lines = []
        for route in PROBED_ROUTES:
            nodes = list(range(1, self._soak.node_count + 1)) * PROBES_PER_NODE
            calls = await asyncio.gather(
                *(self._probe(session, route, node) for node in nodes)
            )
            failed = [call for call in calls if call.status != 200]
            if failed:
                tries = ", ".join(
                    f"node-{call.node} {call.status} {call.refusal_reason}"
                    for call in failed[:5]
                )
                lines.append(
                    f"{len(failed)} of {len(calls)} requests of {route} were not "
                    f"served beside {len(self.standing)} foreign entries "
                    f"({sorted(self.standing)[0]} and others): {tries}"
                )
        return lines

    async def _probe(
        self, session: aiohttp.ClientSession, route: str, node: int
    ) -> Call:
        end_at = time.monotonic() + REQUEST_DEADLINE_S
        caller = next(iter(KEYS_BY_ORGANISATION.items()))
        while True:
            request_id = f"s{self._soak.seed}-p{next(self._numbers)}"
            method = "GET" if route == "look" else "POST"
            body = request_id.encode() if method == "POST" else b""
            call = Call(request_id, node, route, *caller, f"/{route}/p", method, body)
            if route in STREAM_ROUTES:
                call.headers = self._soak.stream_headers("a1", f"{request_id}:800")
            await self._soak.make_call(session, call)
            left_s = end_at - time.monotonic()
            if call.status not in REFUSALS or left_s <= MIN_WAIT_S:
                return call
            wait_s = min(call.retry_after_s, MAX_WAIT_SHARE * left_s)
            await asyncio.sleep(max(MIN_WAIT_S, wait_s))
