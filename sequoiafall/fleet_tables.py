"""One instance's view of the store's tables, read directly or sent by the leader."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable

import xxhash
from returns.result import Success

from .backend_registry import BackendRegistry
from .boot_clock import boot_time
from .catalog import Catalog
from .fleet_leader import LeaderDuties
from .log import log_event, log_warning
from .member_register import POLL_INTERVAL_S
from .mirror import Mirror
from .node_settings import DRAIN_S, HEARTBEAT_S
from .row_store import HistoryLost, RowStore, StoreRow, era_of, max_version
from .serving_ports import RowDecoder
from .store_contact import StoreContact

# Long-poll time of a change feed at the store. A dead connection is noticed only
# at the end of this time.
FEED_WAIT_S = 1.0
# Pause between reads of the feed of backend servers, which change their entries
# several times a second.
FEED_INTERVAL_S = 0.3
STORE_RETRY_S = 0.3
# Above this number of backend servers, the pause between reads doubles.
MANY_BACKENDS = 20
# An entry that was removed, and is there again when the store comes back from a copy,
# counts after this time: the store removes those of silent servers earlier.
RETURNING_ENTRY_S = 4.0
# Configurations that an instance remembers, so that it recognizes older ones.
MAX_KNOWN_CONFIGURATIONS = 256
# Unreadable entries that an instance remembers, so that it logs each one once.
MAX_UNREADABLE_ENTRIES = 1000
MAX_DETAIL_CHARS = 200


class FleetTables:
    """Configuration, adapter versions and backend servers from the store's tables.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    decoder : RowDecoder
        Decodes its rows.
    should_read : callable
        Returns whether this instance reads the tables itself now.
    on_store_contact : callable
        Called with whether the store answered, the error if it did not, and for a call
        that waited at the store the time at which it was sent.
    duties : callable
        Returns the leader's duties while this instance leads.
    on_restored : callable
        Called when the store has come back from an older copy.
    load_evidence : callable or None, default=None
        Returns whether this instance knows what crashes servers, and reads it from the
        store if it does not. No configuration is in force before, so that a newcomer
        without a leader sends no request that is known as harmful.
    on_backends_changed : callable, default=no-op
        Called when entries of backend servers have changed.
    contact : StoreContact or None, default=None
        When the store answered; None for one with the intervals of the data sheets.
    """

    def __init__(
        self,
        store: RowStore,
        decoder: RowDecoder,
        should_read: Callable[[], bool],
        on_store_contact: Callable[..., None],
        duties: Callable[[], LeaderDuties | None],
        on_restored: Callable[[], None] = lambda: None,
        load_evidence: Callable[[], Awaitable[bool]] | None = None,
        on_backends_changed: Callable[[], None] = lambda: None,
        contact: StoreContact | None = None,
    ) -> None:
        self.contact = contact or StoreContact(HEARTBEAT_S, DRAIN_S)
        self._on_restored = on_restored
        self._load_evidence = load_evidence
        self._on_backends_changed = on_backends_changed
        self._store = store
        self._decoder = decoder
        self._should_read = should_read
        self._on_store_contact = on_store_contact
        self._duties = duties
        self.mirror = Mirror(self._on_row, self._is_newer)
        self.registry = BackendRegistry()
        self.catalog: Catalog | None = None
        self.versions_by_adapter: dict[str, int] = {}
        self._configuration_seen_at = 0.0
        # Digests of the configurations that this instance knows, the newest last.
        self._known_digests: OrderedDict[int, None] = OrderedDict()
        self._catalog_era = 0
        self._era = 0
        self._drop_at_by_server: dict[str, float] = {}
        # Entries that may be of a copy only, and when they count.
        self._returning_by_server: dict[str, tuple[float, StoreRow]] = {}
        # Digests of the entries that were logged as unreadable.
        self._unreadable_digests_by_server: dict[str, int] = {}
        self._backends_changed = False
        self._is_stopped = False

    def stop(self) -> None:
        """End `follow` and `drop_removed` at their next step."""
        self._is_stopped = True

    def configuration_age_s(self) -> float:
        """Return the seconds since the configuration was last received."""
        return boot_time() - self._configuration_seen_at

    async def follow(self, table: str, interval_s: float) -> None:
        """Read a table, then its changes, whenever `should_read` allows it."""
        cursor = -1
        while not self._is_stopped:
            if not self._should_read():
                cursor = -1
                await asyncio.sleep(0.2 * POLL_INTERVAL_S)
                continue
            try:
                cursor = await self._read_table(table, cursor)
            except Exception as error:
                log_warning("table_failed", table=table, error=repr(error))
                cursor = -1
                await asyncio.sleep(STORE_RETRY_S)
            is_large = len(self.registry) > MANY_BACKENDS
            await asyncio.sleep(interval_s * (2.0 if is_large else 1.0))

    async def _read_table(self, table: str, cursor: int) -> int:
        if cursor < 0:
            scanned, has_evidence = await asyncio.gather(
                self._store.scan(table), self._has_evidence_for(table)
            )
            if not isinstance(scanned, Success):
                self._on_failed_read(table, str(scanned.failure()))
                await asyncio.sleep(STORE_RETRY_S)
                return -1
            self._on_store_contact(True, "")
            if not has_evidence:
                await asyncio.sleep(STORE_RETRY_S)
                return -1
            rows = scanned.unwrap()
            self.mirror.apply_scan(table, rows)
            self._on_read(table, boot_time())
            self._notify_duties()
            return rows.version
        sent_at = boot_time()
        changed = await self._store.changes(table, cursor, FEED_WAIT_S)
        if isinstance(changed, Success):
            # A store that is away for new calls may still end those that wait there.
            self._on_store_contact(True, "", sent_at)
            rows = changed.unwrap()
            self.mirror.apply(rows.rows)
            self._on_read(table, sent_at)
            self._notify_duties()
            return max(cursor, rows.version, max_version(rows.rows))
        failure = changed.failure()
        if isinstance(failure, HistoryLost):
            log_event("history_lost", table=table, after=cursor)
            return -1
        self._on_failed_read(table, str(failure))
        await asyncio.sleep(STORE_RETRY_S)
        return cursor

    def _on_read(self, table: str, at: float) -> None:
        if table == self._decoder.backend_table:
            self.contact.record_read(at, boot_time())

    def _on_failed_read(self, table: str, detail: str) -> None:
        if table == self._decoder.backend_table:
            self.contact.record_failed_read()
        self._on_store_contact(False, detail)

    async def _has_evidence_for(self, table: str) -> bool:
        if self._load_evidence is None or table != self._decoder.configuration_table:
            return True
        return await self._load_evidence()

    def _is_newer(self, before: StoreRow, row: StoreRow) -> bool:
        """Whether a row of a greater version replaces the known content.

        After a return of the store from a copy, rows of a new era may be older.
        """
        if row.table == self._decoder.backend_table:
            return self._is_newer_entry(before, row)
        if row.table != self._decoder.configuration_table:
            return True
        if row.deleted:
            # The operator removes no row, so a missing one is missing in the copy.
            return row.written_era == before.written_era
        decoded = self._decoder.catalog(row)
        if isinstance(decoded, Success):
            return self._is_newer_catalog(before, row, decoded.unwrap())
        version = self._decoder.adapter_version(row)
        if isinstance(version, Success):
            adapter, number = version.unwrap()
            return number >= self.versions_by_adapter.get(adapter, 0)
        return True

    def _is_newer_catalog(
        self, before: StoreRow, row: StoreRow, catalog: Catalog
    ) -> bool:
        if self.catalog is None:
            return True
        if row.written_era > before.written_era:
            is_known = _digest(row) in self._known_digests
            return not is_known or row.value == before.value
        return catalog.version >= self.catalog.version

    def _is_newer_entry(self, before: StoreRow, row: StoreRow) -> bool:
        """Whether an entry of a backend server replaces the known one.

        The first one in a new era may be of the copy. If it was removed before, it
        counts when the server writes it again, or when it is still there although the
        store would have removed it.
        """
        is_read_again = row.version == before.version
        is_of_same_era = era_of(row.version) == era_of(before.version)
        due = boot_time() + RETURNING_ENTRY_S
        if row.deleted and before.deleted and row.written_version:
            # Another instance has found the entry in the copy first.
            self._returning_by_server.setdefault(row.key, (due, row))
        if row.deleted or (is_of_same_era and not is_read_again):
            return True
        if before.deleted and is_read_again:
            returning = self._returning_by_server.get(row.key)
            if returning is not None:
                self._returning_by_server[row.key] = (returning[0], row)
            return returning is None
        if before.deleted:
            self._returning_by_server[row.key] = (due, row)
            log_event("backend_server_may_be_gone", server=row.key)
            return False
        known, entry = self._decoder.backend(before), self._decoder.backend(row)
        if not isinstance(known, Success) or not isinstance(entry, Success):
            return True
        known_entry, row_entry = known.unwrap(), entry.unwrap()
        if known_entry.born != row_entry.born:
            return row_entry.born > known_entry.born
        return row_entry.is_leaving or not known_entry.is_leaving

    def _on_row(self, row: StoreRow) -> bool:
        if era_of(row.version) > self._era:
            self._era = era_of(row.version)
            self.contact.record_return(boot_time())
            log_event("store_came_back_older", era=self._era, table=row.table)
            self._on_restored()
        if row.table == self._decoder.backend_table:
            return self._on_backend_row(row)
        if row.table == self._decoder.configuration_table and not row.deleted:
            self._on_configuration_row(row)
        return True

    def _on_configuration_row(self, row: StoreRow) -> None:
        decoded = self._decoder.catalog(row)
        if isinstance(decoded, Success):
            self._set_catalog(decoded.unwrap(), row)
        elif decoded is not None:
            log_warning(
                "configuration_unreadable", key=row.key, detail=decoded.failure()
            )
        version = self._decoder.adapter_version(row)
        if isinstance(version, Success):
            adapter, number = version.unwrap()
            known = self.versions_by_adapter.get(adapter, 0)
            self.versions_by_adapter[adapter] = max(known, number)
            duties = self._duties()
            if duties is not None:
                duties.set_adapter_version(adapter, number)
            log_event("adapter_version", adapter=adapter, version=number)
        elif version is not None:
            log_warning("version_unreadable", key=row.key, detail=version.failure())

    def _set_catalog(self, catalog: Catalog, row: StoreRow) -> None:
        self._configuration_seen_at = boot_time()
        is_known = _digest(row) in self._known_digests
        self.add_known_digests([_digest(row)])
        is_of_new_era = row.written_era > self._catalog_era
        self._catalog_era = max(self._catalog_era, row.written_era)
        # A number may be given out again if the store has come back older.
        may_be_lower = is_of_new_era and not is_known
        is_lower = self.catalog is not None and self.catalog.version >= catalog.version
        if is_lower and not may_be_lower:
            return
        log_event(
            "configuration_in_force",
            version=catalog.version,
            row_version=row.version,
            routes=len(catalog.routes),
            organisations=len(catalog.organisations_by_name),
        )
        self.catalog = catalog
        duties = self._duties()
        if duties is not None:
            duties.set_catalog(catalog)

    def known_digests(self, row: StoreRow) -> list[int] | None:
        """Return digests of other configurations to send with one.

        None if the row is no configuration.
        """
        if row.table != self._decoder.configuration_table:
            return None
        if not isinstance(self._decoder.catalog(row), Success):
            return None
        own = _digest(row)
        return [digest for digest in self._known_digests if digest != own]

    def add_known_digests(self, digests: Iterable[int]) -> None:
        """Remember configurations that this instance or another one has seen."""
        known = self._known_digests
        for digest in digests:
            known[digest] = None
            known.move_to_end(digest)
        while len(known) > MAX_KNOWN_CONFIGURATIONS:
            known.popitem(last=False)

    def _on_backend_row(self, row: StoreRow) -> bool:
        if row.deleted:
            if self.registry.find(row.key) is None:
                # Others need it only to recognize an entry of a copy of the store.
                return bool(row.written_version)
            self._schedule_drop(row.key)
            return True
        decoded = self._decoder.backend(row)
        if not isinstance(decoded, Success):
            self._on_unreadable_entry(row, decoded.failure())
            return False
        self._unreadable_digests_by_server.pop(row.key, None)
        entry = decoded.unwrap()
        was_dropped = self._drop_at_by_server.pop(row.key, None) is not None
        before = self.registry.find(row.key)
        if not self.registry.put(entry):
            return was_dropped
        self._backends_changed = True
        if before is None or before.is_leaving != entry.is_leaving:
            log_event(
                "backend_server",
                server=entry.name,
                service=entry.service,
                zone=entry.zone,
                software=entry.software,
                leaving=entry.is_leaving,
                row_version=row.version,
            )
        return True

    def _schedule_drop(self, server: str) -> None:
        """Let a removed server count for a while.

        Each instance that finds the removal sends it on under the version of its own
        read, which does not begin the wait again.
        """
        now = boot_time()
        due = self.contact.drop_at(now)
        if not self.contact.may_lack_entries(now):
            due = min(due, self._drop_at_by_server.get(server, due))
        self._drop_at_by_server[server] = due

    def _on_unreadable_entry(self, row: StoreRow, detail: str) -> None:
        """Log an entry that cannot be read, once for each content."""
        # The values of other writers would stay in memory as long as their entries.
        self.mirror.drop_value(row)
        digests = self._unreadable_digests_by_server
        if digests.get(row.key) == _digest(row):
            return
        if len(digests) >= MAX_UNREADABLE_ENTRIES:
            digests.clear()
        digests[row.key] = _digest(row)
        log_warning(
            "entry_unreadable", server=row.key, detail=detail[:MAX_DETAIL_CHARS]
        )

    async def drop_removed(self) -> None:
        """Drop backend servers some time after their entries were removed.

        Also apply entries that may have been of a copy only, and are still there.
        """
        while not self._is_stopped:
            now = boot_time()
            for name, (due, row) in list(self._returning_by_server.items()):
                if now >= due:
                    del self._returning_by_server[name]
                    self.mirror.apply([row])
            for name, due in list(self._drop_at_by_server.items()):
                if now < due:
                    continue
                del self._drop_at_by_server[name]
                if self.registry.drop(name):
                    self._backends_changed = True
                    log_event("backend_server_gone", server=name)
            self._notify_duties()
            await asyncio.sleep(0.1)

    def _notify_duties(self) -> None:
        """Notify the duties of changed backend servers, once per batch of rows."""
        if not self._backends_changed:
            return
        self._backends_changed = False
        self._on_backends_changed()
        duties = self._duties()
        if duties is not None:
            duties.on_backends_changed()


def _digest(row: StoreRow) -> int:
    """Return a digest of a row's content, of 63 bits as messages hold it."""
    return xxhash.xxh64_intdigest(row.value) >> 1
