"""The rows of the platform's store that keep evidence on crashing servers.

One row holds the harmful suspects. A second one holds the suspects with two crashes,
so that the third one convicts them even if all instances restarted before it. Builds
that know only the first row would take each suspect in it for harmful.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Mapping, Sequence
from typing import Annotated, Any

import msgspec
from returns.result import Success

from .boot_clock import boot_time
from .crash_evidence import (
    CRASH_TTL_S,
    RESPONSE_WINDOW_S,
    Crash,
    CrashEvidence,
    ServerStart,
    SuspectEvidence,
)
from .decoding import decode_json
from .lease import LEASE_TABLE
from .log import log_event, log_warning
from .row_store import RowStore, StoreRow

HARMFUL_PARTS_KEY = "harmful_parts"
REPEATED_SUSPECTS_KEY = "repeated_suspects"
# Bytes of a stored value. The store takes rows of 65,536 bytes with the value as
# base64, and 1,024 of them are left to the rest of the row.
MAX_VALUE_BYTES = (65_536 - 1_024) // 4 * 3
# Part of them that is not of a single suspect.
ENVELOPE_BYTES = 64
# The wall clock makes a stored crash at most this old, so that a clock that jumps
# forward does not let a suspect be forgotten.
MAX_AGED_S = 0.5 * CRASH_TTL_S
# Largest age of a crash, and time until a trial.
MAX_PERIOD_S = 2_000_000.0

# Messages between instances hold numbers of 32 and 64 bits, and times in milliseconds.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_PeriodS = Annotated[float, msgspec.Meta(ge=-MAX_PERIOD_S, le=MAX_PERIOD_S)]


class StoredCrash(msgspec.Struct):
    """Crash of a server, `age_s` seconds before the row was written."""

    server: str
    born: _UnixMs
    age_s: _PeriodS


class StoredPart(msgspec.Struct):
    """Harmful suspect, whose trial was due `trial_in_s` seconds after the write."""

    part: str
    crashes: list[StoredCrash]
    failed_trials: _Count
    trial_in_s: _PeriodS


class StoredSuspect(msgspec.Struct):
    """Suspect with two crashes."""

    suspect: str
    crashes: list[StoredCrash]


class StoredSuspects(msgspec.Struct):
    """Content of the row of suspects with two crashes, and its time in Unix seconds."""

    written_at: float
    # Each one is a `StoredSuspect`, decoded for itself.
    suspects: list[msgspec.Raw]


class _Row:
    """What is known of one of the rows."""

    __slots__ = ("state", "version")

    def __init__(self) -> None:
        self.version = 0
        # What the content is about, to tell whether it has changed.
        self.state: frozenset[Hashable] = frozenset()


class StoredEvidence:
    """Reads and writes the stored evidence of all instances.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence of this instance.
    store : RowStore
        The platform's store.
    wall_clock : callable, default=time.time
        Returns the time in Unix seconds.
    on_read : callable or None, default=None
        Called with the rows of the table by their keys, which others use too.

    Attributes
    ----------
    is_loaded : bool
        Whether the rows have been read, and nothing is known to have changed since.
    """

    __slots__ = (
        "_evidence",
        "_harmful",
        "_on_read",
        "_repeated",
        "_store",
        "_wall_clock",
        "is_loaded",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        store: RowStore,
        wall_clock: Callable[[], float] = time.time,
        on_read: Callable[[Mapping[str, StoreRow]], None] | None = None,
    ) -> None:
        self._on_read = on_read
        self._evidence = evidence
        self._store = store
        self._wall_clock = wall_clock
        self._harmful = _Row()
        self._repeated = _Row()
        self.is_loaded = False

    async def load(self) -> None:
        """Apply what an earlier leader stored; both rows take one read."""
        read = await self._store.scan(LEASE_TABLE)
        if not isinstance(read, Success):
            log_warning("harmful_suspects_not_read", detail=str(read.failure()))
            return
        rows_by_key = {row.key: row for row in read.unwrap().rows if not row.deleted}
        if self._on_read is not None:
            self._on_read(rows_by_key)
        for row, key, apply in (
            (self._harmful, HARMFUL_PARTS_KEY, self._apply_harmful),
            (self._repeated, REPEATED_SUSPECTS_KEY, self._apply_repeated),
        ):
            found = rows_by_key.get(key)
            row.version = found.version if found is not None else 0
            row.state = frozenset()
            if found is None:
                continue
            try:
                row.state = apply(found.value)
            except msgspec.DecodeError as error:
                log_warning("harmful_suspects_unreadable", key=key, reason=str(error))
        self.is_loaded = True

    def has_changes(self) -> bool:
        """Whether the rows need a read or a write."""
        if not self.is_loaded:
            return True
        now = boot_time()
        return (
            _harmful_state(self._evidence.harmful_suspects()) != self._harmful.state
            or _repeated_state(self._evidence.repeated_suspects(now), now)
            != self._repeated.state
        )

    async def save(self) -> bool:
        """Write the rows that have changed; return whether nothing is left to do.

        If another leader has written them, its evidence is added first.
        """
        for _ in range(2):
            if not self.is_loaded:
                await self.load()
            if not self.is_loaded:
                return False
            # The verdicts go first.
            if await self._save_harmful() and await self._save_repeated():
                return True
        return False

    async def _save_harmful(self) -> bool:
        rows = self._evidence.harmful_suspects()
        rows.sort(key=lambda row: row.revision, reverse=True)
        state = _harmful_state(rows)
        if state == self._harmful.state:
            return True
        now = boot_time()
        encoded = _encode_some(HARMFUL_PARTS_KEY, rows, lambda row: to_stored(row, now))
        value = b"[" + b",".join(encoded) + b"]"
        if not await self._write(self._harmful, HARMFUL_PARTS_KEY, value):
            return False
        self._harmful.state = state
        log_event("harmful_suspects_stored", suspects=len(encoded))
        return True

    async def _save_repeated(self) -> bool:
        now = boot_time()
        rows = self._evidence.repeated_suspects(now)
        # Those that the next crash convicts go first.
        rows.sort(key=lambda row: (row.events(now), row.revision), reverse=True)
        state = _repeated_state(rows, now)
        if state == self._repeated.state:
            return True
        encoded = _encode_some(
            REPEATED_SUSPECTS_KEY,
            rows,
            lambda row: StoredSuspect(row.key, _stored_crashes(row, now)),
        )
        value = msgspec.json.encode(
            {
                "written_at": self._wall_clock(),
                "suspects": [msgspec.Raw(item) for item in encoded],
            }
        )
        if not await self._write(self._repeated, REPEATED_SUSPECTS_KEY, value):
            return False
        self._repeated.state = state
        log_event("repeated_suspects_stored", suspects=len(encoded))
        return True

    async def _write(self, row: _Row, key: str, value: bytes) -> bool:
        result = await self._store.replace(LEASE_TABLE, key, value, row.version)
        if isinstance(result, Success):
            row.version = result.unwrap()
            return True
        failure = result.failure()
        log_warning("harmful_suspects_not_stored", key=key, detail=str(failure))
        # Another leader may have written the row, or an earlier write took effect late.
        self.is_loaded = False
        return False

    def _apply_harmful(self, value: bytes) -> frozenset[Hashable]:
        items = decode_json(value, list[msgspec.Raw])
        stored = _decode_each(HARMFUL_PARTS_KEY, items, StoredPart)
        now = boot_time()
        self._evidence.merge([from_stored(part, now) for part in stored], now)
        return frozenset((part.part, part.failed_trials) for part in stored)

    def _apply_repeated(self, value: bytes) -> frozenset[Hashable]:
        stored = decode_json(value, StoredSuspects)
        now = boot_time()
        # A response that has begun since the write clears a suspect, which the row may
        # still hold. The age of its crashes tells which came first.
        elapsed_s = max(0.0, self._wall_clock() - stored.written_at)
        rows = [
            SuspectEvidence(
                suspect.suspect, _crashes_by_start(suspect.crashes, now, elapsed_s)
            )
            for suspect in _decode_each(
                REPEATED_SUSPECTS_KEY, stored.suspects, StoredSuspect
            )
        ]
        self._evidence.merge(rows, now)
        return _repeated_state(rows, now)


def to_stored(row: SuspectEvidence, now: float) -> StoredPart:
    """Return a harmful suspect as it is stored at a time in seconds."""
    return StoredPart(
        row.key, _stored_crashes(row, now), row.failed_trials, row.trial_at - now
    )


def from_stored(stored: StoredPart, now: float) -> SuspectEvidence:
    """Return a stored harmful suspect, read at a time in seconds."""
    return SuspectEvidence(
        stored.part,
        _crashes_by_start(stored.crashes, now),
        trial_at=now + stored.trial_in_s,
        failed_trials=stored.failed_trials,
    )


def _stored_crashes(row: SuspectEvidence, now: float) -> list[StoredCrash]:
    return [
        StoredCrash(start.server, start.born, now - row.crashes_by_start[start].at)
        for start in row.crashed_starts(now)
    ]


def _crashes_by_start(
    crashes: Sequence[StoredCrash], now: float, elapsed_s: float = 0.0
) -> dict[ServerStart, Crash]:
    """Return stored crashes with times of this instance's clock.

    The stored age is that at the time of the write. A server that responds now has
    restarted, which does not refute its crash.
    """
    oldest_s = max((crash.age_s for crash in crashes), default=0.0)
    # The same for all, so that crashes at different times stay different events.
    aged_s = max(0.0, min(elapsed_s, MAX_AGED_S - oldest_s)) + RESPONSE_WINDOW_S
    return {
        ServerStart(crash.server, crash.born): Crash(now - crash.age_s - aged_s)
        for crash in crashes
    }


def _decode_each(key: str, items: Sequence[msgspec.Raw], kind: Any) -> list[Any]:
    """Decode suspects; one that cannot be read does not affect the others."""
    decoded = []
    left_out = 0
    for item in items:
        try:
            decoded.append(decode_json(bytes(item), kind))
        except msgspec.DecodeError:
            left_out += 1
    if left_out:
        log_warning("suspects_unreadable", key=key, count=left_out)
    return decoded


def _harmful_state(rows: Sequence[SuspectEvidence]) -> frozenset[Hashable]:
    return frozenset((row.key, row.failed_trials) for row in rows)


def _repeated_state(rows: Sequence[SuspectEvidence], now: float) -> frozenset[Hashable]:
    return frozenset((row.key, frozenset(row.crashed_starts(now))) for row in rows)


def _encode_some(
    key: str,
    rows: Sequence[SuspectEvidence],
    to_struct: Callable[[SuspectEvidence], msgspec.Struct],
) -> list[bytes]:
    """Return the encoded suspects that fit into a row, the first ones first."""
    encoded = []
    size = ENVELOPE_BYTES
    left_out = 0
    for row in rows:
        item = msgspec.json.encode(to_struct(row))
        if size + len(item) + 1 > MAX_VALUE_BYTES:
            left_out += 1
            continue
        size += len(item) + 1
        encoded.append(item)
    if left_out:
        log_warning("suspects_not_stored", key=key, count=left_out)
    return encoded
