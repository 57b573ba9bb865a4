"""Shares evidence on crashing servers among instances, and stores it.

Members and leader exchange changes with each poll. Without a leader, an instance
sends its changes to all members that it knows. The leader writes the suspects with two
crashes or more to the store, where they outlast all processes of the system.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from returns.result import Failure

from .boot_clock import boot_time
from .crash_evidence import (
    NEVER,
    Crash,
    CrashEvidence,
    ServerStart,
    SuspectEvidence,
)
from .log import log_event, log_warning
from .row_store import RowStore, StoreRow
from .stored_evidence import StoredEvidence
from .transport import WireClient
from .wire.gen import ttypes

PUSH_TIMEOUT_S = 0.4
# Time in which changes are collected before they are sent or stored.
COLLECT_S = 0.02
# A failed read or write of the stored rows is repeated after this time.
STORE_RETRY_S = 1.0
# Minimum interval between writes of the stored rows, however fast evidence changes:
# with two rows, at most four writes a second of the several hundred that it takes.
STORE_INTERVAL_S = 0.5
# Largest time difference in milliseconds that a message can hold.
MAX_AGE_MS = 2**31 - 1


class EvidenceExchange:
    """Sends, applies and stores the evidence of one instance.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence of this instance.
    store : RowStore
        The platform's store.
    secret : bytes
        Shared secret of the instances.
    leads, has_leader : callable
        Whether this instance leads, and whether any instance does.
    addresses : callable
        Returns the addresses of the other known members.
    on_read : callable or None, default=None
        Called with the rows that were read beside the stored evidence, by their keys.

    Attributes
    ----------
    is_known : bool
        Whether this instance has the stored evidence, from the store or a leader.
    stored : StoredEvidence
        The rows of the store.
    """

    __slots__ = (
        "_addresses",
        "_has_leader",
        "_leads",
        "_pushed_revision",
        "_saved_at",
        "_secret",
        "_timer",
        "_wake",
        "evidence",
        "is_known",
        "stored",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        store: RowStore,
        secret: bytes,
        leads: Callable[[], bool],
        has_leader: Callable[[], bool],
        addresses: Callable[[], list[str]],
        on_read: Callable[[Mapping[str, StoreRow]], None] | None = None,
    ) -> None:
        self.evidence = evidence
        self.stored = StoredEvidence(evidence, store, on_read=on_read)
        self._secret = secret
        self._leads = leads
        self._has_leader = has_leader
        self._addresses = addresses
        self.is_known = False
        self._pushed_revision = 0
        self._saved_at = NEVER
        self._timer: asyncio.TimerHandle | None = None
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Send or store what has changed."""
        self._wake.set()

    # Messages between instances

    def since_revision(self, revision: int | None) -> list[Any]:
        """Return the evidence that changed after a revision, as it is sent."""
        now = boot_time()
        return [
            _to_wire(row, now)
            for row in self.evidence.since_revision(revision or 0, now)
        ]

    def next_changes(self, revision: int | None) -> tuple[list[Any], int]:
        """Return evidence for one message, and the revision that it reaches."""
        now = boot_time()
        rows, reached = self.evidence.next_changes(revision or 0, now)
        return [_to_wire(row, now) for row in rows], reached

    def apply(self, rows: Iterable[Any] | None) -> None:
        """Apply evidence that another instance sent."""
        if not rows:
            return
        now = boot_time()
        # The sender informs the others itself.
        has_pushed_all = self._pushed_revision == self.evidence.revision
        self.evidence.merge([_from_wire(row, now) for row in rows], now)
        if has_pushed_all:
            self._pushed_revision = self.evidence.revision

    def on_notice(self, notice: Any, _peer: str) -> Any:
        """Apply evidence that another instance sent because there is no leader."""
        self.apply(notice.evidence)
        return ttypes.Ack(revision=0, accepted=True, reason="")

    # Background work

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Send and store changes until the process stops."""
        while not should_stop():
            await self._wake.wait()
            await asyncio.sleep(COLLECT_S)
            self._wake.clear()
            try:
                if self._leads():
                    await self._save()
                elif not self._has_leader():
                    await self._push()
            except Exception as error:
                log_warning("evidence_exchange_failed", error=repr(error))
                await asyncio.sleep(STORE_RETRY_S)

    async def _push(self) -> None:
        evidence, reached = self.next_changes(self._pushed_revision)
        if not evidence:
            return
        notice = ttypes.EvidenceNotice(evidence=evidence)
        await asyncio.gather(
            *(self._push_to(address, notice) for address in self._addresses())
        )
        self._pushed_revision = reached
        if reached < self.evidence.revision:
            self._wake.set()

    async def _push_to(self, address: str, notice: Any) -> None:
        client = WireClient(address, self._secret)
        result = await client.call(notice, PUSH_TIMEOUT_S)
        if isinstance(result, Failure):
            log_event("evidence_lost", peer=address, detail=result.failure().detail)
        await client.close()

    # The stored evidence

    def on_store_restored(self) -> None:
        """Store the evidence again: the store came back without the latest."""
        self.stored.is_loaded = False
        self._wake.set()

    async def load(self) -> None:
        """Apply the evidence that an earlier leader stored."""
        await self.stored.load()
        self.is_known |= self.stored.is_loaded

    async def ensure_known(self) -> bool:
        """Return whether the evidence is known; read what is stored if it is not."""
        if not self.is_known:
            await self.load()
        return self.is_known

    async def _save(self) -> None:
        wait_s = self._saved_at + STORE_INTERVAL_S - boot_time()
        if wait_s > 0.0:
            self._wake_after(wait_s)
            return
        if not self.stored.has_changes():
            return
        self._saved_at = boot_time()
        if not await self.stored.save():
            self._wake_after(STORE_RETRY_S)

    def _wake_after(self, wait_s: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._wake.set()


def _age_ms(at: float, now: float) -> int:
    return int(min(max(0.0, (now - at) * 1e3), MAX_AGE_MS))


def _period_ms(period_s: float) -> int:
    return int(min(max(-MAX_AGE_MS, period_s * 1e3), MAX_AGE_MS))


def _to_wire(row: SuspectEvidence, now: float) -> Any:
    has_begun = row.begun_at > NEVER
    return ttypes.PartEvidence(
        part=row.key,
        crashes=[
            ttypes.PartCrash(
                server=start.server,
                born=start.born,
                age_ms=_age_ms(crash.at, now),
                refuted=crash.is_refuted,
            )
            for start, crash in row.crashes_by_start.items()
        ],
        begun_age_ms=_age_ms(row.begun_at, now) if has_begun else -1,
        trial_in_ms=_period_ms(row.trial_at - now) if row.is_harmful else None,
        failed_trials=row.failed_trials,
    )


def _from_wire(row: Any, now: float) -> SuspectEvidence:
    evidence = SuspectEvidence(row.part, failed_trials=row.failed_trials)
    for crash in row.crashes:
        start = ServerStart(crash.server, crash.born)
        crash_at = now - crash.age_ms / 1e3
        evidence.crashes_by_start[start] = Crash(crash_at, crash.refuted)
    if row.begun_age_ms >= 0:
        evidence.begun_at = now - row.begun_age_ms / 1e3
    if row.trial_in_ms is not None:
        evidence.trial_at = now + row.trial_in_ms / 1e3
    return evidence
