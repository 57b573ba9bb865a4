"""Wrapper of a row store that counts and times the calls."""

from __future__ import annotations

import time
from typing import Any

from returns.result import Failure, Result

from .node_metrics import NodeMetrics
from .row_store import HistoryLost, Rejected, Rows, RowStore, StoreRow
from .store_results import Unavailable, Unknown


class InstrumentedRowStore(RowStore):
    """Delegates to another store and records the result and duration of each call.

    Parameters
    ----------
    store : RowStore
        The wrapped store.
    metrics : NodeMetrics
        Receives the counts and durations.
    """

    def __init__(self, store: RowStore, metrics: NodeMetrics) -> None:
        self._store = store
        self._metrics = metrics

    async def read(self, table: str, key: str) -> Result[StoreRow | None, Unavailable]:
        """Return a row, or None if it does not exist."""
        started_at = time.monotonic()
        return self._record_call("read", started_at, await self._store.read(table, key))

    async def scan(self, table: str) -> Result[Rows, Unavailable]:
        """Return all rows of a table."""
        started_at = time.monotonic()
        return self._record_call("scan", started_at, await self._store.scan(table))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Rows, Unavailable | HistoryLost]:
        """Return rows changed after a version; wait up to `wait_s` for the first."""
        started_at = time.monotonic()
        result = await self._store.changes(table, after, wait_s)
        return self._record_call("changes", started_at, result)

    async def replace(
        self, table: str, key: str, value: bytes, version: int
    ) -> Result[int, Unavailable | Unknown | Rejected]:
        """Write a row if it still has `version`."""
        started_at = time.monotonic()
        result = await self._store.replace(table, key, value, version)
        return self._record_call("replace", started_at, result)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()

    def _record_call(self, call: str, started_at: float, result: Any) -> Any:
        failed = isinstance(result, Failure)
        name = type(result.failure()).__name__.lower() if failed else "ok"
        self._metrics.store_calls_by_result[call, name] += 1
        self._metrics.store_call_seconds.observe(call, time.monotonic() - started_at)
        return result
