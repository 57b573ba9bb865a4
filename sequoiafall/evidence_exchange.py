"""Shares evidence on crashing servers among instances, and stores the verdicts.

Members and leader exchange changes with each poll. Without a leader, an instance
sends its changes to all members that it knows. The leader writes the harmful suspects
to the store, where they outlast all processes of the system.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from returns.result import Failure, Success

from .boot_clock import boot_time
from .crash_evidence import (
    NEVER,
    RESPONSE_WINDOW_S,
    Crash,
    CrashEvidence,
    ServerStart,
    SuspectEvidence,
)
from .lease import LEASE_TABLE
from .log import log_event, log_warning
from .row_store import Rejected, RowStore
from .transport import WireClient
from .wire.gen import ttypes

HARMFUL_PARTS_KEY = "harmful_parts"
PUSH_TIMEOUT_S = 0.4
# Time in which changes are collected before they are sent or stored.
COLLECT_S = 0.02
# A failed read or write of the stored row is repeated after this time.
STORE_RETRY_S = 1.0
# Largest time difference in milliseconds that a message can hold.
MAX_AGE_MS = 2**31 - 1


class _StoredCrash(msgspec.Struct):
    server: str
    born: int
    age_s: float


class _StoredPart(msgspec.Struct):
    part: str
    crashes: list[_StoredCrash]
    failed_trials: int
    trial_in_s: float


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
    """

    __slots__ = (
        "_addresses",
        "_has_leader",
        "_is_loaded",
        "_leads",
        "_pushed_revision",
        "_secret",
        "_store",
        "_stored_state",
        "_version",
        "_wake",
        "evidence",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        store: RowStore,
        secret: bytes,
        leads: Callable[[], bool],
        has_leader: Callable[[], bool],
        addresses: Callable[[], list[str]],
    ) -> None:
        self.evidence = evidence
        self._store = store
        self._secret = secret
        self._leads = leads
        self._has_leader = has_leader
        self._addresses = addresses
        self._pushed_revision = 0
        self._is_loaded = False
        self._version = 0
        # Suspect and failed trials of each verdict in the row.
        self._stored_state: set[tuple[str, int]] = set()
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

    # The stored row

    def on_store_restored(self) -> None:
        """Store the verdicts again: the store came back without the latest ones."""
        self._is_loaded = False
        self._wake.set()

    async def load(self) -> None:
        """Apply the harmful suspects that an earlier leader stored."""
        read = await self._store.read(LEASE_TABLE, HARMFUL_PARTS_KEY)
        if not isinstance(read, Success):
            log_warning("harmful_suspects_not_read", detail=str(read.failure()))
            return
        row = read.unwrap()
        self._is_loaded = True
        self._version = row.version if row is not None else 0
        self._stored_state = set()
        if row is None:
            return
        try:
            stored = msgspec.json.decode(row.value, type=list[_StoredPart])
        except msgspec.DecodeError as error:
            log_warning("harmful_suspects_unreadable", reason=str(error))
            return
        now = boot_time()
        self._stored_state = {(row.part, row.failed_trials) for row in stored}
        self.evidence.merge([_from_stored(part, now) for part in stored], now)

    async def _save(self) -> None:
        if not self._is_loaded:
            await self.load()
        rows = self.evidence.harmful_suspects()
        state = {(row.key, row.failed_trials) for row in rows}
        if not self._is_loaded or state == self._stored_state:
            return
        now = boot_time()
        value = msgspec.json.encode([_to_stored(row, now) for row in rows])
        result = await self._store.replace(
            LEASE_TABLE, HARMFUL_PARTS_KEY, value, self._version
        )
        if isinstance(result, Success):
            self._version = result.unwrap()
            self._stored_state = state
            log_event("harmful_suspects_stored", suspects=len(rows))
            return
        failure = result.failure()
        log_warning("harmful_suspects_not_stored", detail=str(failure))
        # Another leader may have written the row, or an earlier write took effect late.
        self._is_loaded = False
        if not isinstance(failure, Rejected):
            await asyncio.sleep(STORE_RETRY_S)
        self._wake.set()


def _age_ms(at: float, now: float) -> int:
    return int(min(max(0.0, (now - at) * 1e3), MAX_AGE_MS))


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
        trial_in_ms=int((row.trial_at - now) * 1e3) if row.is_harmful else None,
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


def _to_stored(row: SuspectEvidence, now: float) -> _StoredPart:
    crashes = [
        _StoredCrash(start.server, start.born, now - row.crashes_by_start[start].at)
        for start in row.crashed_starts(now)
    ]
    return _StoredPart(row.key, crashes, row.failed_trials, row.trial_at - now)


def _from_stored(stored: _StoredPart, now: float) -> SuspectEvidence:
    evidence = SuspectEvidence(stored.part, failed_trials=stored.failed_trials)
    for crash in stored.crashes:
        start = ServerStart(crash.server, crash.born)
        # The age is that at the time of the write. A server that responds now has
        # restarted, which does not refute its crash.
        crashed_at = now - crash.age_s - RESPONSE_WINDOW_S
        evidence.crashes_by_start[start] = Crash(crashed_at)
    evidence.trial_at = now + stored.trial_in_s
    return evidence
