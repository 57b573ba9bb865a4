"""Reads, takes, renews and releases the lease row for one instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Result, Success

from .boot_clock import boot_time
from .lease import (
    FENCED_TAKEOVER_S,
    LEASE_KEY,
    LEASE_TABLE,
    TAKEOVER_S,
    LeaseRecord,
    LeaseState,
    LeaseStep,
    LeaseWatch,
)
from .log import log_event
from .node_settings import NodeSettings
from .row_store import Rejected, RowStore, StoreRow, era_of
from .store_results import Unavailable, Unknown

# After a failed read of the lease row, no election is expected for this long.
LEASE_BLOCKED_S = 1.5
# After a failed read, the next read is repeated at this interval while it has no
# response, with up to this many calls at once. The interval is longer than a slow
# store takes to respond.
LEASE_PROBE_S = 0.3
MAX_LEASE_PROBES = 3

# Next step of a candidate, with the row and its decoded content.
Reading = tuple[LeaseStep, StoreRow | None, LeaseRecord | None]


class LeaseKeeper:
    """Store client for the lease of one instance.

    Parameters
    ----------
    settings : NodeSettings
        The instance.
    incarnation : int
        Identifies the process of the instance.
    address : str
        Address at which other instances reach it.
    store : RowStore
        The platform's store.
    on_store_contact : callable
        Called with whether the store answered, and the error if it did not.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        address: str,
        store: RowStore,
        on_store_contact: Callable[[bool, str], None],
    ) -> None:
        self._instance = settings.instance
        self._incarnation = incarnation
        self._address = address
        self._store = store
        self._on_store_contact = on_store_contact
        self.lease = LeaseState()
        takeover_s = FENCED_TAKEOVER_S if settings.is_fenced else TAKEOVER_S
        self._watch = LeaseWatch(settings.instance, incarnation, takeover_s)
        self._failed_at = -LEASE_BLOCKED_S

    @property
    def has_recent_failure(self) -> bool:
        """Whether a read of the row has failed recently."""
        return boot_time() - self._failed_at < LEASE_BLOCKED_S

    def on_leader_version(self, version: int, now: float) -> None:
        """Record the row version that the leader itself reported."""
        self._watch.on_leader_version(version, now)

    def on_lost(self) -> None:
        """Record that this instance no longer holds the lease."""
        self.lease.on_lost()
        self._watch.reset()

    async def observe(self, is_refused: bool) -> Reading | None:
        """Read the row and choose the next step; None if the store does not respond.

        Parameters
        ----------
        is_refused : bool
            Whether the holder's address refuses connections, or a process that does
            not lead replied there.
        """
        result = await self._read()
        if not isinstance(result, Success):
            self._failed_at = boot_time()
            self._on_store_contact(False, str(result.failure()))
            return None
        self._failed_at = -LEASE_BLOCKED_S
        self._on_store_contact(True, "")
        row = result.unwrap()
        step, record = self._watch.observe(row, is_refused, boot_time())
        return step, row, record

    async def _read(self) -> Result[StoreRow | None, Unavailable]:
        """Read the row; after a recent failure, with several overlapping calls.

        A call that was sent during a store outage is never answered. Waiting for its
        timeout would delay the discovery that the store is back.
        """
        first = self._read_task()
        if not self.has_recent_failure:
            return await first
        tasks = {first}
        while True:
            timeout_s = LEASE_PROBE_S if len(tasks) < MAX_LEASE_PROBES else None
            done, _ = await asyncio.wait(
                tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                break
            tasks.add(self._read_task())
        for task in tasks - done:
            task.cancel()
        answered = [task.result() for task in done]
        reached = [row for row in answered if isinstance(row, Success)]
        return reached[0] if reached else answered[0]

    def _read_task(self) -> asyncio.Task[Result[StoreRow | None, Unavailable]]:
        read = self._store.read(LEASE_TABLE, LEASE_KEY)
        return asyncio.get_running_loop().create_task(read)

    async def take(self, row: StoreRow | None, before: LeaseRecord | None) -> bool:
        """Take the lease if the row is unchanged; return whether that succeeded."""
        sent_at = boot_time()
        version = row.version if row is not None else 0
        new_version = await self._write(self._record(), version)
        if new_version is None:
            return False
        self.lease.on_taken(new_version, sent_at)
        log_event(
            "lease_taken",
            term=new_version,
            predecessor=before.instance if before else "",
            row_version=version,
            unchanged_ms=int((sent_at - self._watch.seen_at) * 1e3),
        )
        self._watch.reset()
        return True

    async def renew(self) -> str:
        """Renew the lease.

        Returns
        -------
        str
            Why the lease is lost, empty if it is still held as far as is known.
        """
        now = boot_time()
        self.lease.check(now)
        version = self.lease.version
        record = self._record(renewals=version)
        result = await self._store.replace(
            LEASE_TABLE, LEASE_KEY, record.encode(), version
        )
        if isinstance(result, Success):
            self._on_store_contact(True, "")
            self.lease.on_renewed(result.unwrap(), now)
            return ""
        failure = result.failure()
        row: StoreRow | None = None
        if isinstance(failure, Rejected):
            row = failure.row
        else:
            self._on_store_contact(False, str(failure))
            read = await self._store.read(LEASE_TABLE, LEASE_KEY)
            if not isinstance(read, Success):
                return ""
            row = read.unwrap()
            if row is not None and row.version == version:
                return ""
        own = self._own_version(row)
        if own is not None:
            if era_of(own) > era_of(version) and not isinstance(failure, Rejected):
                # The write may have replaced the row of a leader of the new era.
                return "the store came back older during a renewal"
            self.lease.on_renewed(own, now)
            return ""
        holder = LeaseRecord.from_row(row)
        return f"the row names {holder.instance}" if holder else "the row is missing"

    async def release(self, version: int) -> None:
        """Mark the row as released, so that candidates need not wait.

        Parameters
        ----------
        version : int
            Expected version of the row.
        """
        record = self._record(resigned=True)
        result = await self._store.replace(
            LEASE_TABLE, LEASE_KEY, record.encode(), version
        )
        log_event("lease_given_up", ok=isinstance(result, Success))

    def _record(self, renewals: int = 0, resigned: bool = False) -> LeaseRecord:
        return LeaseRecord(
            self._instance, self._incarnation, self._address, renewals, resigned
        )

    async def _write(self, record: LeaseRecord, version: int) -> int | None:
        """Write the row; return its new version if this process now holds the lease."""
        result = await self._store.replace(
            LEASE_TABLE, LEASE_KEY, record.encode(), version
        )
        if isinstance(result, Success):
            self._on_store_contact(True, "")
            return result.unwrap()
        failure = result.failure()
        if isinstance(failure, Rejected):
            return self._own_version(failure.row)
        self._on_store_contact(False, str(failure))
        if not isinstance(failure, Unknown):
            return None
        # The response was lost: the row shows whether the write took effect.
        read = await self._store.read(LEASE_TABLE, LEASE_KEY)
        if not isinstance(read, Success):
            return None
        row = read.unwrap()
        return self._own_version(row) if row and row.version != version else None

    def _own_version(self, row: StoreRow | None) -> int | None:
        record = LeaseRecord.from_row(row)
        if row is None or record is None or record.resigned:
            return None
        is_own = (
            record.instance == self._instance
            and record.incarnation == self._incarnation
        )
        return row.version if is_own else None
