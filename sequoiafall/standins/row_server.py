"""Simulated row store of the users' platform, with transactions and a feed."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from ..platform import names
from ..row_store import StoreRow

READ_ONLY_TABLES = (names.CONFIGURATION_TABLE, names.BACKEND_TABLE)
MAX_WAIT_S = 30.0
MAX_PAGE_ROWS = 500


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of a store at one moment."""

    rows: dict[tuple[str, str], StoreRow]
    version: int
    compacted_version: int


class RowServer:
    """Keeps rows in memory and serves them with the interface of the platform.

    Attributes
    ----------
    rejected_peers : set of str
        IP addresses whose requests are rejected with 503; ``*`` for all.
    delay_s : float
        Seconds by which each request is delayed.
    response_loss_rate : float
        Share of transactions that take effect, but get no response.
    era : int
        Grows by one with each return from a copy; named in every response.
    era_text : str or None
        Text that responses name instead of the era; empty for the era, None for no
        header.
    late_apply_delay_s : float
        Seconds after which a transaction that gets no response takes effect, if
        its precondition still holds.
    writes_by_table : Counter of str
        Number of rows that transactions of instances have asked to write.
    reads_by_table : Counter of str
        Number of requests for rows of a table, without those for its feed.
    """

    def __init__(self, seed: int = 0) -> None:
        self.rows: dict[tuple[str, str], StoreRow] = {}
        self.version = 0
        self.era = 1
        self.era_text: str | None = ""
        self.compacted_version = 0
        self.rejected_peers: set[str] = set()
        self.delay_s = 0.0
        self.response_loss_rate = 0.0
        self.late_apply_delay_s = 0.0
        self.request_count = 0
        self.writes_by_table: Counter[str] = Counter()
        self.reads_by_table: Counter[str] = Counter()
        self._restore_at_count = 0
        self._pending_copy: StoreCopy | None = None
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._late_tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the web application."""
        application = web.Application()
        application.on_response_prepare.append(self._on_prepare)
        application.router.add_get(names.ROWS_PATH, self._on_get)
        application.router.add_get(names.FEED_PATH, self._on_feed)
        application.router.add_post(names.TRANSACTION_PATH, self._on_transaction)
        return application

    async def _on_prepare(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        text = str(self.era) if self.era_text == "" else self.era_text
        if text is not None:
            response.headers[names.STORE_ERA] = text

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row, as the operator or a backend server does."""
        self.version += 1
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, key] = StoreRow(table, key, content, self.version)
        self._notify()
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self.rows:
            self.version += 1
            self.rows[table, key] = StoreRow(
                table, key, b"", self.version, deleted=True
            )
            self._notify()

    def compact(self) -> None:
        """Discard the change history, so that older feed positions are rejected."""
        self.compacted_version = self.version
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of all rows, from which `restore` can go on."""
        return StoreCopy(dict(self.rows), self.version, self.compacted_version)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost and a new era begins."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.compacted_version = copy.compacted_version
        self.era += 1
        self._notify()

    def restore_after(self, requests: int, copy: StoreCopy) -> None:
        """Go back to a copy when a number of further requests have been answered."""
        self._restore_at_count = self.request_count + requests + 1
        self._pending_copy = copy

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        self.request_count += 1
        if self._pending_copy is not None and (
            self.request_count >= self._restore_at_count
        ):
            copy, self._pending_copy = self._pending_copy, None
            self.restore(copy)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if "*" in self.rejected_peers or request.remote in self.rejected_peers:
            return web.Response(status=503)
        return None

    async def _on_get(self, request: web.Request) -> web.Response:
        rejection = await self._apply_faults(request)
        if rejection is not None:
            return rejection
        table, start = request.query["table"], request.query.get("from", "")
        self.reads_by_table[table] += 1
        limit = min(MAX_PAGE_ROWS, int(request.query.get("limit", MAX_PAGE_ROWS)))
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if row.table == table and not row.deleted and row.key >= start
            ),
            key=lambda row: row.key.encode(),
        )
        return self._rows_response(rows[:limit], has_more=len(rows) > limit)

    async def _on_feed(self, request: web.Request) -> web.Response:
        rejection = await self._apply_faults(request)
        if rejection is not None:
            return rejection
        table, after = request.query["table"], int(request.query["after"])
        wait_s = min(MAX_WAIT_S, int(request.query.get("wait_ms", 0)) / 1e3)
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.compacted_version or after > self.version:
                return web.Response(status=410)
            rows = sorted(
                (
                    row
                    for row in self.rows.values()
                    if row.table == table and row.version > after
                ),
                key=lambda row: row.version,
            )
            remaining_s = deadline - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0.0:
                return self._rows_response(rows)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return self._rows_response([])

    async def _on_transaction(self, request: web.Request) -> web.Response:
        rejection = await self._apply_faults(request)
        if rejection is not None:
            return rejection
        body = await request.json()
        if any(item["table"] in READ_ONLY_TABLES for item in body.get("put", ())):
            return web.Response(status=403)
        self.writes_by_table.update(item["table"] for item in body.get("put", ()))
        if self._random.random() < self.response_loss_rate:
            if self.late_apply_delay_s:
                task = asyncio.get_running_loop().create_task(self._apply_late(body))
                self._late_tasks.add(task)
                task.add_done_callback(self._late_tasks.discard)
            else:
                self._apply(body)
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        failed = self._apply(body)
        if failed is None:
            return self._rows_response([])
        return self._rows_response(failed, status=412)

    async def _apply_late(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.late_apply_delay_s)
        self._apply(body)

    def _apply(self, body: dict[str, Any]) -> list[StoreRow] | None:
        """Apply a transaction, or return the rows whose precondition failed.

        Absent rows are not returned, so the list may be empty on a failure.
        """
        failed, holds = [], True
        for item in body.get("precondition", ()):
            row = self.rows.get((item["table"], item["key"]))
            version = 0 if row is None or row.deleted else row.version
            if version != item["row_version"]:
                holds = False
                if row is not None and not row.deleted:
                    failed.append(row)
        if not holds:
            return failed
        self.version += 1
        for item in body.get("put", ()):
            row_key = (item["table"], item["key"])
            value = base64.b64decode(item["value"])
            self.rows[row_key] = StoreRow(*row_key, value, self.version)
        self._notify()
        return None

    def _rows_response(
        self, rows: list[StoreRow], status: int = 200, has_more: bool = False
    ) -> web.Response:
        encoded = [
            {
                "table": row.table,
                "part": "",
                "key": row.key,
                "value": base64.b64encode(row.value).decode(),
                "row_version": row.version,
                "deleted": row.deleted,
            }
            for row in rows
        ]
        body = {
            "rows": encoded,
            "has_more": has_more,
            "row_version": self.version,
            "now_ms": int(time.monotonic() * 1e3),
        }
        return web.json_response(body, status=status)
