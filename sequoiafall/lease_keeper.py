"""Reads, takes, renews and gives up the lease row for one instance."""

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
from .row_store import Rejected, RowStore, StoreRow
from .store_results import Unavailable, Unknown

# After a failed reading of the lease, no election is expected for this long.
LEASE_BLOCKED_S = 1.5
# While the store did not answer before, the lease is read again after this time,
# which is longer than a slow store takes, by up to this many calls at once.
LEASE_PROBE_S = 0.3
MAX_LEASE_PROBES = 3

# What a candidate is to do, with the row and its content.
Reading = tuple[LeaseStep, StoreRow | None, LeaseRecord | None]


class LeaseKeeper:
    """One instance's calls of the store for the lease.

    Parameters
    ----------
    settings : NodeSettings
        The instance.
    incarnation : int
        Number of its process.
    address : str
        Where the other instances reach it.
    store : RowStore
        The platform's store.
    on_store_contact : callable
        Called with whether the store answered, and why not.
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
        """Whether a reading of the row has failed lately."""
        return boot_time() - self._failed_at < LEASE_BLOCKED_S

    def on_leader_version(self, version: int, now: float) -> None:
        """Note the version of the row that the leader itself has named."""
        self._watch.on_leader_version(version, now)

    def on_lost(self) -> None:
        """Note that this instance does not hold the lease any more."""
        self.lease.on_lost()
        self._watch.reset()

    async def observe(self, has_ended: bool) -> Reading | None:
        """Read the row and judge it; None if the store does not answer.

        Parameters
        ----------
        has_ended : bool
            Whether the holder's process refuses connections.
        """
        result = await self._read()
        if not isinstance(result, Success):
            self._failed_at = boot_time()
            self._on_store_contact(False, str(result.failure()))
            return None
        self._failed_at = -LEASE_BLOCKED_S
        self._on_store_contact(True, "")
        row = result.unwrap()
        step, record = self._watch.observe(row, has_ended, boot_time())
        return step, row, record

    async def _read(self) -> Result[StoreRow | None, Unavailable]:
        """Read the row; after a failure, ask again before an answer is due.

        A call that was sent while the store was away is never answered, and would
        hide for the rest of its time that the store is back.
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
        """Take the lease if the row is still as read; return whether it is ours."""
        sent_at = boot_time()
        version = row.version if row is not None else 0
        taken = await self._write(self._record(), version)
        if taken is None:
            return False
        self.lease.on_taken(taken, sent_at)
        log_event(
            "lease_taken",
            term=taken,
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
            Why the lease is lost, empty if it is held as far as is known.
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
            self.lease.on_renewed(own, now)
            return ""
        holder = LeaseRecord.from_row(row)
        return f"the row names {holder.instance}" if holder else "the row is gone"

    async def release(self, version: int) -> None:
        """Mark the row of this version as given up, so that nobody waits."""
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
        """Write the row and return its version if it is ours afterwards."""
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
        # The answer was lost: the row tells whether the write took effect.
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
