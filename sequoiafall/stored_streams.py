"""The rows of the platform's store that keep the software versions of streams.

While a service has several live software versions, they outlast all processes of the
system: one row names the versions, and a ring of rows names the version at which each
stream began. Only the leader writes them, and nothing while each service has a single
version.
"""

from __future__ import annotations

import asyncio
import math
import struct
from collections.abc import Callable

import msgspec
from returns.result import Success

from .boot_clock import boot_time
from .decoding import decode_json, decode_msgpack
from .lease import LEASE_TABLE
from .log import log_event, log_warning
from .row_store import Rejected, RowStore, StoreRow
from .store_results import Unavailable, Unknown
from .stream_versions import KEY_BYTES, StreamOrigin, StreamVersions

SOFTWARE_VERSIONS_KEY = "software_versions"
STREAMS_TABLE = "streams"
RING_ROWS = 256
# Interval between writes. A leader that ends loses the streams of one interval.
WRITE_INTERVAL_S = 0.125
# Failed calls are repeated after twice the time each, up to this one.
MAX_BACKOFF_S = 1.0
# Bytes of a stored value. The store takes rows of 65,536 bytes with the value as
# base64, which makes 64,000 of these.
MAX_VALUE_BYTES = 48_000
# New streams are added to the latest row until it holds this much, so that the ring
# covers more than the 32 s that one row for each interval would.
MAX_APPENDED_BYTES = 12_000
# Writes of the ring at a time. Between them the lease is looked at.
MAX_WRITES_PER_SAVE = 8
# Stored origins that are applied before the event loop runs on: each takes some
# microseconds, and there may be `MAX_ORIGINS` of them.
ORIGINS_PER_STEP = 1000
LOG_INTERVAL_S = 1.0
# Part of a value that is not of a single service and version, and part of a service
# and version beside their names. Both are upper bounds.
ENVELOPE_BYTES = 64
GROUP_BYTES = 64
# Key of a stream, and the milliseconds for which it may be taken up.
_ORIGIN = struct.Struct(f">{KEY_BYTES}sI")
MAX_LEFT_MS = 2**32 - 1


class StoredVersions(msgspec.Struct):
    """Content of the row of live versions."""

    versions_by_service: dict[str, list[str]]


class StoredGroup(msgspec.Struct):
    """Streams of one service and version; each takes `_ORIGIN` of the bytes."""

    service: str
    software: str
    origins: bytes


class StoredStreamsRow(msgspec.Struct):
    """Content of a row of the ring; rows with a greater sequence are newer.

    The version of a row does not tell that: a write without a response may take effect
    after a later one.
    """

    groups: list[StoredGroup]
    sequence: int = 0


class StoredStreams:
    """Reads and writes the stored versions of streams.

    Parameters
    ----------
    versions : StreamVersions
        What this instance knows.
    store : RowStore
        The platform's store.

    Attributes
    ----------
    is_loaded : bool
        Whether the rows have been read in this term, and the store has not come back
        older since.
    """

    __slots__ = (
        "_failures",
        "_generation",
        "_has_loaded_in_term",
        "_is_ring_read",
        "_is_row_readable",
        "_loading",
        "_logged_at",
        "_number",
        "_reason",
        "_row_version",
        "_sequence",
        "_slot",
        "_store",
        "_stored_by_service",
        "_stored_bytes",
        "_stored_rows",
        "_stored_streams",
        "_unwritten",
        "_versions",
        "_versions_by_key",
        "_written",
        "is_loaded",
    )

    def __init__(self, versions: StreamVersions, store: RowStore) -> None:
        self._versions = versions
        self._store = store
        self._loading = asyncio.Lock()
        # Grows when what is known of the rows is forgotten.
        self._generation = 0
        self._has_loaded_in_term = False
        # Row of live versions.
        self._row_version = 0
        self._is_row_readable = True
        self._stored_by_service: dict[str, list[str]] = {}
        # Ring of rows. `_written` is what the row of the current slot holds.
        self._slot = 0
        self._sequence = 0
        self._versions_by_key: dict[str, int] = {}
        self._written: dict[bytes, StreamOrigin] = {}
        # Origins up to this running number are written, except the unwritten ones.
        self._number = 0
        self._unwritten: list[StreamOrigin] = []
        self._is_ring_read = False
        self.is_loaded = False
        # Since the last line of the log.
        self._logged_at = -math.inf
        self._stored_rows = self._stored_streams = self._stored_bytes = 0
        self._failures = 0
        self._reason = ""

    # Changes around this instance

    def on_store_restored(self) -> None:
        """Read and write the rows again: the store came back without the latest."""
        self._forget()

    def on_term_began(self) -> None:
        """Read the rows again: other leaders may have written them since."""
        self._has_loaded_in_term = False
        self._forget()

    def _forget(self) -> None:
        self._generation += 1
        self.is_loaded = self._is_ring_read = False
        self._versions_by_key = {}
        self._written = {}
        self._number = 0
        self._unwritten = []

    # Reading

    async def load(self) -> bool:
        """Apply what an earlier leader stored; return whether the store was read.

        It takes one read while each service has a single version.
        """
        async with self._loading:
            if self.is_loaded:
                return True
            generation = self._generation
            read = await self._store.read(LEASE_TABLE, SOFTWARE_VERSIONS_KEY)
            if not isinstance(read, Success):
                self._on_failure(read.failure())
                return False
            self.apply_versions_row(read.unwrap())
            needs_ring = not self._is_row_readable or bool(
                self._versions.several_by_service(boot_time())
            )
            if needs_ring and not await self._read_ring():
                return False
            if generation != self._generation:
                return False
            self._versions.is_known = True
            self.is_loaded = self._has_loaded_in_term = True
            return True

    def apply_versions_row(self, row: StoreRow | None) -> None:
        """Apply the row of live versions, None if it does not exist."""
        self._row_version = 0
        self._is_row_readable = True
        self._stored_by_service = {}
        if row is not None and not row.deleted:
            self._row_version = row.version
            try:
                stored = decode_json(row.value, StoredVersions)
            except msgspec.DecodeError as error:
                self._is_row_readable = False
                log_warning("software_versions_unreadable", reason=str(error))
                return
            self._stored_by_service = {
                service: sorted(set(names))
                for service, names in stored.versions_by_service.items()
            }
            self._versions.merge(self._stored_by_service, boot_time())
        self._versions.is_known = True

    async def _read_ring(self) -> bool:
        generation = self._generation
        scanned = await self._store.scan(STREAMS_TABLE)
        if not isinstance(scanned, Success):
            self._on_failure(scanned.failure())
            return False
        if generation != self._generation:
            return False
        now = boot_time()
        decoded = []
        for row in scanned.unwrap().rows:
            if row.deleted:
                continue
            self._versions_by_key[row.key] = row.version
            try:
                sequence, origins = _decode(row.value, now)
            except msgspec.DecodeError as error:
                log_warning("streams_unreadable", key=row.key, reason=str(error))
                continue
            decoded.append((sequence, row.version, row.key, origins))
            # A full ring is 12 MB.
            await asyncio.sleep(0)
        if generation != self._generation:
            return False
        decoded.sort(key=lambda item: item[:2])
        origins_by_key = {
            origin.key: origin for *_, origins in decoded for origin in origins
        }
        if decoded:
            sequence, _, key, _ = decoded[-1]
            self._sequence = max(self._sequence, sequence)
            self._slot = _slot_after(key)
        await self._apply_origins(origins_by_key, now)
        if generation != self._generation:
            return False
        origins, self._number = self._versions.origins_since(0, now)
        self._unwritten = [
            origin for origin in origins if not _is_stored(origin, origins_by_key)
        ]
        self._is_ring_read = True
        log_event("streams_read", rows=len(decoded), streams=len(origins_by_key))
        return True

    async def _apply_origins(
        self, origins_by_key: dict[bytes, StreamOrigin], now: float
    ) -> None:
        if not self._is_row_readable:
            names_by_service: dict[str, set[str]] = {}
            for origin in origins_by_key.values():
                names_by_service.setdefault(origin.service, set()).add(origin.software)
            self._versions.merge(names_by_service, now)
        for number, (key, origin) in enumerate(origins_by_key.items(), 1):
            if number % ORIGINS_PER_STEP == 0:
                await asyncio.sleep(0)
            software = self._versions.find(key, origin.service, now)
            if software == origin.software:
                continue
            if software is None:
                expires_at = origin.expires_at
            elif self._has_loaded_in_term:
                # The store came back older than this instance.
                continue
            else:
                # This instance or the leader before it saw the last attempt. Which
                # one cannot be told, so the stream is refused rather than mixed.
                expires_at = now
            self._versions.record(key, origin.service, origin.software, expires_at)

    # Writing

    async def run(self, leads: Callable[[], bool]) -> None:
        """Read what is stored, and write what has changed while this instance leads.

        Parameters
        ----------
        leads : callable
            Whether this instance is still in the term that it has begun.
        """
        pause_s = 0.0
        while leads():
            try:
                is_stored = await self.save()
            except Exception as error:
                self._on_failure(error)
                is_stored = False
            pause_s = WRITE_INTERVAL_S if is_stored else _next_pause_s(pause_s)
            self._log_results()
            await asyncio.sleep(pause_s)

    async def save(self) -> bool:
        """Write the rows that have changed; return whether no call has failed."""
        if not await self.load():
            return False
        return await self._save_versions() and await self._save_origins()

    async def _save_versions(self) -> bool:
        changed = self._changed_versions()
        if changed is None:
            return True
        value = msgspec.json.encode(StoredVersions(changed))
        if len(value) > MAX_VALUE_BYTES:
            self._on_failure("the live versions do not fit into a row")
            return False
        generation = self._generation
        result = await self._store.replace(
            LEASE_TABLE, SOFTWARE_VERSIONS_KEY, value, self._row_version
        )
        if generation != self._generation:
            return False
        if isinstance(result, Success):
            self._row_version = result.unwrap()
            self._stored_by_service = changed
            log_event(
                "software_versions_stored",
                services=len(changed),
                versions=sum(len(names) for names in changed.values()),
            )
            return True
        failure = result.failure()
        self._on_failure(failure)
        if isinstance(failure, Rejected):
            # Another leader wrote the row, or an earlier write had its effect after
            # all. What it names is added to what this instance knows.
            self.apply_versions_row(failure.row)
        return False

    def _changed_versions(self) -> dict[str, list[str]] | None:
        """Return what the row must hold, None if nothing has to be written."""
        now = boot_time()
        several = self._versions.several_by_service(now)
        stored = self._stored_by_service
        needed = {
            service: sorted(self._versions.live_versions(service, now))
            for service in sorted(several.keys() | stored.keys())
        }
        has_changed = any(
            needed[service] != stored.get(service, [])
            for service in needed
            if service in several or len(stored[service]) > 1
        )
        if not has_changed:
            return None
        return {service: names for service, names in needed.items() if names}

    async def _save_origins(self) -> bool:
        if not self._versions.several_by_service(boot_time()):
            return True
        if not self._is_ring_read and not await self._read_ring():
            return False
        now = boot_time()
        self._unwritten = [
            origin for origin in self._unwritten if origin.expires_at > now
        ]
        for _ in range(MAX_WRITES_PER_SAVE):
            now = boot_time()
            if not self._unwritten:
                self._unwritten, self._number = self._versions.origins_since(
                    self._number, now
                )
            if not self._unwritten:
                return True
            if not await self._write_origins(now):
                return False
        return True

    async def _write_origins(self, now: float) -> bool:
        """Write as many of the unwritten origins as fit into the row of the slot."""
        row = _RowContent()
        for origin in self._written.values():
            if origin.expires_at > now:
                row.add(origin)
        count = 0
        for origin in self._unwritten:
            if not row.add(origin):
                break
            count += 1
        if not count:
            # Not even one fits beside the others, or into an empty row.
            if not self._written:
                self._on_failure("the names of a stream do not fit into a row")
                del self._unwritten[0]
            self._next_slot()
            return True
        self._sequence += 1
        value = row.encode(self._sequence, now)
        key = _ring_key(self._slot)
        generation = self._generation
        result = await self._store.replace(
            STREAMS_TABLE, key, value, self._versions_by_key.get(key, 0)
        )
        if generation != self._generation:
            return False
        if isinstance(result, Success):
            self._versions_by_key[key] = result.unwrap()
            del self._unwritten[:count]
            self._written = row.origins_by_key
            self._stored_rows += 1
            self._stored_streams += count
            self._stored_bytes += len(value)
            if row.size >= MAX_APPENDED_BYTES:
                self._next_slot()
            return True
        failure = result.failure()
        self._on_failure(failure)
        if isinstance(failure, Rejected):
            # Another leader uses the slot, so what it held goes into the next one.
            self._versions_by_key[key] = failure.row.version if failure.row else 0
            self._slot = (self._slot + 1) % RING_ROWS
            return True
        if isinstance(failure, Unknown):
            self._slot = (self._slot + 1) % RING_ROWS
        return False

    def _next_slot(self) -> None:
        self._slot = (self._slot + 1) % RING_ROWS
        self._written = {}

    # Log

    def _on_failure(
        self, reason: Unavailable | Unknown | Rejected | Exception | str
    ) -> None:
        self._failures += 1
        if isinstance(reason, Rejected):
            version = reason.row.version if reason.row else 0
            self._reason = f"the row has version {version}"
        else:
            self._reason = reason if isinstance(reason, str) else repr(reason)

    def _log_results(self) -> None:
        now = boot_time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        if self._stored_rows:
            self._logged_at = now
            log_event(
                "streams_stored",
                rows=self._stored_rows,
                streams=self._stored_streams,
                bytes=self._stored_bytes,
            )
            self._stored_rows = self._stored_streams = self._stored_bytes = 0
        if self._failures:
            self._logged_at = now
            log_warning(
                "streams_not_stored",
                failures=self._failures,
                waiting=len(self._unwritten),
                reason=self._reason,
            )
            self._failures = 0


class _RowContent:
    """Origins of one row of the ring; the last one of each key counts."""

    __slots__ = ("_groups", "origins_by_key", "size")

    def __init__(self) -> None:
        self._groups: set[tuple[str, str]] = set()
        self.origins_by_key: dict[bytes, StreamOrigin] = {}
        # Upper bound of the encoded bytes.
        self.size = ENVELOPE_BYTES

    def add(self, origin: StreamOrigin) -> bool:
        """Add an origin if it fits; return whether it did."""
        group = (origin.service, origin.software)
        size = self.size + _ORIGIN.size
        if group not in self._groups:
            size += GROUP_BYTES + sum(len(name.encode()) for name in group)
        if size > MAX_VALUE_BYTES:
            return False
        self.size = size
        self._groups.add(group)
        self.origins_by_key[origin.key] = origin
        return True

    def encode(self, sequence: int, now: float) -> bytes:
        """Return the value of the row at a time in seconds."""
        packed_by_group: dict[tuple[str, str], bytearray] = {}
        for origin in self.origins_by_key.values():
            left_ms = math.ceil((origin.expires_at - now) * 1e3)
            group = (origin.service, origin.software)
            packed_by_group.setdefault(group, bytearray()).extend(
                _ORIGIN.pack(origin.key, max(0, min(left_ms, MAX_LEFT_MS)))
            )
        groups = [
            StoredGroup(service, software, bytes(packed))
            for (service, software), packed in packed_by_group.items()
        ]
        return msgspec.msgpack.encode(StoredStreamsRow(groups, sequence))


def _decode(value: bytes, now: float) -> tuple[int, list[StreamOrigin]]:
    """Return sequence and origins of a row of the ring, which was read just now.

    Raises
    ------
    msgspec.DecodeError
        If the row cannot be decoded.
    """
    row = decode_msgpack(value, StoredStreamsRow)
    if any(len(group.origins) % _ORIGIN.size for group in row.groups):
        raise msgspec.DecodeError("a stream is incomplete")
    origins = [
        StreamOrigin(key, group.service, group.software, now + left_ms / 1e3)
        for group in row.groups
        for key, left_ms in _ORIGIN.iter_unpack(group.origins)
        if left_ms
    ]
    return row.sequence, origins


def _is_stored(origin: StreamOrigin, origins_by_key: dict[bytes, StreamOrigin]) -> bool:
    stored = origins_by_key.get(origin.key)
    return stored is not None and (
        (stored.service, stored.software) == (origin.service, origin.software)
    )


def _ring_key(slot: int) -> str:
    return f"{slot:03d}"


def _slot_after(key: str) -> int:
    """Return the slot after that of a key, the first one for a key of another ring."""
    return (int(key) + 1) % RING_ROWS if key.isascii() and key.isdigit() else 0


def _next_pause_s(pause_s: float) -> float:
    return min(max(WRITE_INTERVAL_S, 2.0 * pause_s), MAX_BACKOFF_S)
