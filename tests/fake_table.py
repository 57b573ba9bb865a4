"""In-memory table service with scripted faults, for tests."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Failure, Success

from sequoiafall.platform_client import Committed, Conflict, TableRow, TableService
from sequoiafall.standins.platform import TableStore
from sequoiafall.store_results import Unavailable, Unknown

OK = "ok"
LOST_REPLY = "lost_reply"
LATE_EFFECT = "late_effect"
OUTAGE = "outage"
STALE = "stale"


@dataclass(slots=True)
class FakeTable(TableService):
    """Table service whose calls follow a script of results and then succeed.

    Time is counted in calls: a stale read returns the rows as of `staleness` calls
    before, and a late effect takes place `lateness` calls after its request.
    """

    store: TableStore = field(default_factory=TableStore)
    script: list[str] = field(default_factory=list)
    staleness: int = 4
    lateness: int = 1
    calls: int = 0
    _delayed_writes: list = field(default_factory=list)

    async def _next(self) -> str:
        # Yields to the event loop so that concurrent operations can interleave.
        await asyncio.sleep(0)
        self.calls += 1
        self._apply_delayed_writes()
        return self.script.pop(0) if self.script else OK

    def _apply_delayed_writes(self) -> None:
        due = [late for late in self._delayed_writes if late[0] < self.calls]
        for late in due:
            self._delayed_writes.remove(late)
            self.store.transaction(*late[1], self.calls)

    async def transaction(self, conditions, writes, operation_id):
        fault = await self._next()
        if fault == OUTAGE:
            return Failure(Unavailable("outage"))
        arguments = (
            [{"key": c.key, "version": c.version} for c in conditions],
            [{"key": w.key, "value": w.value} for w in writes],
            operation_id,
        )
        if fault == LATE_EFFECT:
            self._delayed_writes.append((self.calls + self.lateness, arguments))
            return Failure(Unknown("time-out"))
        result = self.store.transaction(*arguments, self.calls)
        if fault == LOST_REPLY:
            return Failure(Unknown("lost reply"))
        if result["committed"]:
            return Success(Committed(result["versions"]))
        return Failure(Conflict([TableRow(**row) for row in result["conflicts"]]))

    async def read(self, key):
        fault = await self._next()
        if fault == OUTAGE:
            return Failure(Unavailable("outage"))
        return Success(TableRow(**self.store.describe(key, self._as_of(fault))))

    async def scan(self, prefix, after="", limit=1000):
        fault = await self._next()
        if fault == OUTAGE:
            return Failure(Unavailable("outage"))
        rows = self.store.scan(prefix, after, limit, self._as_of(fault))
        return Success([TableRow(**row) for row in rows])

    def _as_of(self, fault: str) -> float | None:
        return self.calls - self.staleness if fault == STALE else None
