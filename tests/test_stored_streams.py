"""Tests of the stored software versions of streams, with a store in memory."""

import asyncio
import json
import unittest
from unittest.mock import patch

import msgspec
from aiohttp import web
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall import stored_streams
from sequoiafall.lease import LEASE_TABLE
from sequoiafall.platform.store import PlatformRowStore
from sequoiafall.row_store import VERSIONS_PER_ERA, Rows, StoreRow
from sequoiafall.standins.row_server import RowServer
from sequoiafall.store_results import Unavailable, Unknown
from sequoiafall.stored_streams import (
    MAX_APPENDED_BYTES,
    MAX_VALUE_BYTES,
    RING_ROWS,
    SOFTWARE_VERSIONS_KEY,
    STREAMS_TABLE,
    StoredStreams,
    StoredStreamsRow,
)
from sequoiafall.stream_versions import (
    VERSION_RETAIN_S,
    StreamVersions,
    TakeUpResult,
    stream_key,
)

from .events import until
from .test_harmful_prompts import MemoryStore

SERVICE = "assist"
AWAY = "away"
# The write has its effect, but no response.
LOST = "lost"
# Neither: the write has its effect only when `apply_late` is called.
LATE = "late"
KNOWN, SINGLE, UNKNOWN = TakeUpResult


class FaultyStore(MemoryStore):
    """A store of several tables whose calls follow a script and then succeed."""

    def __init__(self):
        super().__init__()
        self.script = []
        self.is_away = False
        self.reads = 0
        self.attempts = 0
        self.late_writes = []

    def _fault(self):
        if self.is_away:
            return AWAY
        return self.script.pop(0) if self.script else ""

    async def read(self, table, key):
        self.reads += 1
        if self._fault() == AWAY:
            return Failure(Unavailable("away"))
        return await super().read(table, key)

    async def scan(self, table):
        self.scans += 1
        if self._fault() == AWAY:
            return Failure(Unavailable("away"))
        rows = [row for row in self.rows_by_key.values() if row.table == table]
        return Success(Rows(rows, self.version))

    async def replace(self, table, key, value, version):
        self.attempts += 1
        fault = self._fault()
        if fault == AWAY:
            return Failure(Unavailable("away"))
        if fault == LATE:
            self.late_writes.append((table, key, value, version))
            return Failure(Unknown("no response"))
        result = await super().replace(table, key, value, version)
        return Failure(Unknown("no response")) if fault == LOST else result

    async def apply_late(self):
        for write in self.late_writes:
            await super().replace(*write)

    def put(self, table, key, value):
        """Write a row as another process does."""
        self.version += 1
        self.rows_by_key[key] = StoreRow(table, key, value, self.version)

    def copy(self):
        return dict(self.rows_by_key)

    def restore(self, copy):
        """Go back to a copy; versions are of a later era."""
        self.version = (self.version // VERSIONS_PER_ERA + 1) * VERSIONS_PER_ERA
        self.rows_by_key = {
            key: StoreRow(row.table, key, row.value, row.version + VERSIONS_PER_ERA)
            for key, row in copy.items()
        }


def key_of(number):
    """Return the key of a stream."""
    return stream_key("org-1", f"attempt-{number}")


class StoredStreamsCase(unittest.IsolatedAsyncioTestCase):
    """Leaders that share a store, at a time that the test sets."""

    def setUp(self):
        self.now = 1000.0
        self.enterContext(patch.object(stored_streams, "boot_time", lambda: self.now))
        self.warnings = []
        self.events = []
        for name, lines in (
            ("log_warning", self.warnings),
            ("log_event", self.events),
        ):
            self.enterContext(
                patch.object(
                    stored_streams,
                    name,
                    lambda event, lines=lines, **fields: lines.append((event, fields)),
                )
            )
        self.store = FaultyStore()
        self.leader = self.instance()

    def instance(self, *names):
        versions = StreamVersions()
        stored = StoredStreams(versions, self.store)
        if names:
            self.announce(stored, *names)
        return stored

    def announce(self, stored, *names, service=SERVICE):
        stored._versions.set_announced({service: names}, self.now)

    def record(self, stored, *numbers, software="a", left_s=30.0, service=SERVICE):
        for number in numbers:
            stored._versions.record(
                key_of(number), service, software, self.now + left_s
            )

    async def save(self, stored=None):
        self.assertTrue(await (stored or self.leader).save())

    async def restart(self, *names):
        """Return the versions of a process that has only the store."""
        stored = self.instance(*(names or ("a", "b")))
        self.assertTrue(await stored.load())
        return stored._versions

    def assert_known(self, versions, software, *numbers):
        found = [versions.find(key_of(row), SERVICE, self.now) for row in numbers]
        self.assertEqual(found, [software] * len(numbers))

    def ring(self):
        """Return the rows of the ring by their keys."""
        return {
            key: row.value
            for key, row in self.store.rows_by_key.items()
            if row.table == STREAMS_TABLE
        }

    def stored_versions(self):
        row = self.store.rows_by_key.get(SOFTWARE_VERSIONS_KEY)
        return json.loads(row.value)["versions_by_service"] if row else None


class SingleVersionTest(StoredStreamsCase):
    """A service with one version throughout costs one read a term."""

    async def test_nothing_is_written(self):
        self.announce(self.leader, "a")
        for number in range(20):
            self.record(self.leader, number)
            await self.save()
            self.now += 10.0
        self.assertEqual(self.store.attempts, 0)
        self.assertEqual((self.store.reads, self.store.scans), (1, 0))

    async def test_history_is_known(self):
        versions = await self.restart("a")
        self.assertEqual(versions.decide(key_of(1), SERVICE, self.now), (SINGLE, "a"))

    async def test_single_read_each_term(self):
        self.announce(self.leader, "a")
        for term in range(1, 4):
            self.leader.on_term_began()
            self.assertFalse(self.leader.is_loaded)
            await self.save()
            await self.save()
            self.assertEqual(self.store.reads, term)

    async def test_concurrent_loads(self):
        await asyncio.gather(*(self.leader.load() for _ in range(3)))
        self.assertEqual(self.store.reads, 1)


class VersionsRowTest(StoredStreamsCase):
    """The row of live versions, which outlasts all processes."""

    async def test_release(self):
        """It is written when a version comes, and when none has streams any more."""
        self.announce(self.leader, "a")
        await self.save()
        self.announce(self.leader, "a", "b")
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})
        self.announce(self.leader, "b")
        self.now += VERSION_RETAIN_S - 0.1
        await self.save()
        self.assertEqual(self.store.writes, [SOFTWARE_VERSIONS_KEY])
        self.now += 0.1
        await self.save()
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["b"]})
        self.assertEqual(self.store.writes, [SOFTWARE_VERSIONS_KEY] * 2)
        lines = [fields for event, fields in self.events if "versions_" in event]
        self.assertEqual(
            lines, [{"services": 1, "versions": 2}, {"services": 1, "versions": 1}]
        )

    async def test_service_that_is_gone(self):
        self.announce(self.leader, "a", "b")
        await self.save()
        self.leader._versions.set_announced({}, self.now)
        self.now += VERSION_RETAIN_S
        await self.save()
        self.assertEqual(self.stored_versions(), {})

    async def test_other_services(self):
        """Those with a single version are not in the row."""
        self.leader._versions.set_announced({SERVICE: "ab", "x": "a"}, self.now)
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})
        self.leader._versions.set_announced({SERVICE: "ab", "x": "ac"}, self.now)
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"], "x": ["a", "c"]})

    async def test_version_that_left_while_no_process_ran(self):
        """Its streams must not go on at the version that serves now."""
        self.announce(self.leader, "a", "b")
        await self.save()
        self.now += 3600.0
        stored = self.instance("b")
        self.assertTrue(await stored.load())
        versions = stored._versions
        self.assertEqual(versions.decide(key_of(1), SERVICE, self.now), (UNKNOWN, ""))
        await self.save(stored)
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})
        self.now += VERSION_RETAIN_S
        await self.save(stored)
        self.assertEqual(versions.decide(key_of(1), SERVICE, self.now), (SINGLE, "b"))
        self.assertEqual(self.stored_versions(), {SERVICE: ["b"]})

    async def test_newcomer_that_scans_the_table(self):
        """A member is given the row that it reads with others of the table."""
        self.announce(self.leader, "a", "b")
        await self.save()
        member = self.instance("b")
        member.apply_versions_row(self.store.rows_by_key[SOFTWARE_VERSIONS_KEY])
        self.assertTrue(member._versions.is_known)
        self.assertTrue(member._versions.has_several(SERVICE, self.now))
        self.assertFalse(member.is_loaded)

    @parameterized.expand(
        [("no row", None), ("deleted", StoreRow(LEASE_TABLE, "x", b"", 5, True))]
    )
    async def test_newcomer_without_a_row(self, _name, row):
        member = self.instance("b")
        member.apply_versions_row(row)
        decision = member._versions.decide(key_of(1), SERVICE, self.now)
        self.assertEqual(decision, (SINGLE, "b"))

    async def test_row_of_another_leader(self):
        """What it names is added to what this leader writes."""
        self.announce(self.leader, "a", "b")
        self.assertTrue(await self.leader.load())
        other = self.instance("c", "d")
        await self.save(other)
        self.assertFalse(await self.leader.save())
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b", "c", "d"]})

    @parameterized.expand([("with effect", LOST), ("without effect", LATE)])
    async def test_write_without_a_response(self, _name, fault):
        self.announce(self.leader, "a", "b")
        self.assertTrue(await self.leader.load())
        self.store.script = [fault]
        self.assertFalse(await self.leader.save())
        while not await self.leader.save():
            pass
        await self.store.apply_late()
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})
        self.now += VERSION_RETAIN_S
        self.announce(self.leader, "b")
        self.now += VERSION_RETAIN_S
        await self.save()
        self.assertEqual(self.stored_versions(), {SERVICE: ["b"]})

    @parameterized.expand(
        [
            ("no JSON", b"\xff{"),
            ("another type", b"[1]"),
            ("another content", b'{"versions_by_service": {"assist": 3}}'),
            ("empty", b""),
        ]
    )
    async def test_row_that_cannot_be_decoded(self, _name, value):
        """The versions are then those of the stored streams."""
        self.announce(self.leader, "a", "b")
        self.record(self.leader, 1)
        await self.save()
        self.store.put(LEASE_TABLE, SOFTWARE_VERSIONS_KEY, value)
        member = self.instance("b")
        member.apply_versions_row(self.store.rows_by_key[SOFTWARE_VERSIONS_KEY])
        self.assertFalse(member._versions.is_known)
        stored = self.instance("b")
        self.assertTrue(await stored.load())
        self.assertEqual(self.warnings[-1][0], "software_versions_unreadable")
        self.assert_known(stored._versions, "a", 1)
        decision = stored._versions.decide(key_of(2), SERVICE, self.now)
        self.assertEqual(decision, (UNKNOWN, ""))
        await self.save(stored)
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})

    async def test_row_of_a_newer_build(self):
        value = b'{"new": 1, "versions_by_service": {"assist": ["c", "a", "c"]}}'
        self.store.put(LEASE_TABLE, SOFTWARE_VERSIONS_KEY, value)
        versions = await self.restart("a")
        self.assertEqual(versions.several_by_service(self.now), {SERVICE: ["a", "c"]})

    async def test_names_that_do_not_fit(self):
        """The row is not written, and that is logged."""
        self.announce(self.leader, "a" * MAX_VALUE_BYTES, "b")
        self.assertFalse(await self.leader.save())
        self.assertEqual(self.store.attempts, 0)
        self.assertIn("do not fit", self.leader._reason)


class RingTest(StoredStreamsCase):
    """The ring of rows that names the versions of streams."""

    def setUp(self):
        super().setUp()
        self.announce(self.leader, "a", "b")

    async def test_all_processes_end(self):
        """The next one knows the same origins, for the time that was left."""
        self.leader._versions.set_announced({SERVICE: "ab", "é": ["", "流"]}, self.now)
        self.record(self.leader, 1, 2, left_s=30.0)
        self.record(self.leader, 3, software="b", left_s=1.5)
        self.record(self.leader, 4, service="é", software="流", left_s=5000.0)
        await self.save()
        self.now += 10_000.0
        versions = await self.restart()
        self.assert_known(versions, "a", 1, 2)
        self.assert_known(versions, "b", 3)
        self.assertEqual(versions.find(key_of(4), "é", self.now), "流")
        self.assertEqual(versions.decide(key_of(1), SERVICE, self.now), (KNOWN, "a"))
        self.now += 1.6
        self.assert_known(versions, None, 3)
        self.now += 28.3
        self.assert_known(versions, "a", 1, 2)
        self.now += 0.2
        self.assert_known(versions, None, 1, 2)
        self.assertEqual(versions.find(key_of(4), "é", self.now), "流")

    async def test_batch(self):
        """Many streams take one write, and nothing is written without new ones."""
        self.record(self.leader, *range(1000))
        await self.save()
        await self.save()
        self.assertEqual(self.store.writes, [SOFTWARE_VERSIONS_KEY, "000"])
        self.assert_known(await self.restart(), "a", *range(1000))

    async def test_new_streams_are_added_to_the_latest_row(self):
        """A row for each interval would let the ring cover 32 s only."""
        for number in range(50):
            self.record(self.leader, number)
            await self.save()
            self.now += 0.125
        self.assertEqual(list(self.ring()), ["000"])
        self.assert_known(await self.restart(), "a", *range(50))

    async def test_row_is_full(self):
        count = 0
        while len(self.ring()) < 3:
            self.record(self.leader, *range(count, count + 100))
            await self.save()
            count += 100
        self.assertEqual(list(self.ring()), ["000", "001", "002"])
        sizes = [len(value) for value in self.ring().values()]
        self.assertLess(max(sizes), MAX_APPENDED_BYTES + 2000)
        self.assertGreater(min(sizes[:2]), MAX_APPENDED_BYTES - 2000)
        self.assert_known(await self.restart(), "a", *range(count))

    async def test_streams_that_expired_leave_the_row(self):
        self.record(self.leader, *range(900), left_s=1.0)
        await self.save()
        size = len(self.ring()["000"])
        self.now += 2.0
        self.record(self.leader, 1000)
        await self.save()
        self.assertLess(len(self.ring()["000"]), size / 10)

    async def test_more_streams_than_one_row_takes(self):
        self.record(self.leader, *range(9000))
        await self.save()
        self.assertEqual(list(self.ring()), ["000", "001", "002"])
        for value in self.ring().values():
            self.assertLessEqual(len(value), MAX_VALUE_BYTES)
        self.assert_known(await self.restart(), "a", *range(9000))

    async def test_long_names(self):
        """The names count for the size of a row."""
        names = [f"{number}" + "é" * 5000 for number in range(12)]
        self.announce(self.leader, *names[:4])
        for number, name in enumerate(names):
            self.record(self.leader, number, software=name)
        await self.save()
        for value in self.ring().values():
            self.assertLessEqual(len(value), MAX_VALUE_BYTES)
        versions = await self.restart()
        for number, name in enumerate(names):
            self.assert_known(versions, name, number)

    async def test_name_that_does_not_fit(self):
        """It must not keep other streams from being stored."""
        self.record(self.leader, 1)
        self.record(self.leader, 2, software="x" * MAX_VALUE_BYTES)
        self.record(self.leader, 3)
        await self.save()
        versions = await self.restart()
        self.assert_known(versions, "a", 1, 3)
        self.assert_known(versions, None, 2)
        self.assertIn("do not fit", self.leader._reason)

    async def test_many_rows_are_written_in_parts(self):
        """Between them the leader looks at its lease."""
        self.record(self.leader, *range(40_000))
        await self.save()
        self.assertEqual(len(self.ring()), stored_streams.MAX_WRITES_PER_SAVE)
        await self.save()
        self.assert_known(await self.restart(), "a", *range(40_000))

    async def test_ring_begins_again(self):
        """The oldest rows are replaced; the row after the newest one is next."""
        with patch.object(stored_streams, "MAX_APPENDED_BYTES", 1):
            for number in range(RING_ROWS + 3):
                self.record(self.leader, number)
                await self.save()
            self.assertEqual(len(self.ring()), RING_ROWS)
            versions = await self.restart()
            self.assert_known(versions, None, 0, 1, 2)
            self.assert_known(versions, "a", *range(3, RING_ROWS + 3))
            successor = self.instance("a", "b")
            self.record(successor, 1000)
            await self.save(successor)
        self.assertEqual(self.store.writes[-1], "003")

    async def test_service_begins_to_have_several(self):
        """Streams from before the release are stored as well."""
        self.leader = self.instance("a")
        self.record(self.leader, 1, 2)
        await self.save()
        self.assertEqual(self.ring(), {})
        self.announce(self.leader, "a", "b")
        await self.save()
        self.assert_known(await self.restart(), "a", 1, 2)

    async def test_release_long_after_the_last_one(self):
        """Rows that are left from it cost no rejected write."""
        self.record(self.leader, 1)
        await self.save()
        self.store.rows_by_key.pop(SOFTWARE_VERSIONS_KEY)
        leader = self.instance("c")
        self.record(leader, 2, software="c")
        await self.save(leader)
        self.announce(leader, "c", "d")
        await self.save(leader)
        self.assertEqual(list(self.ring()), ["000", "001"])
        self.assertEqual(self.store.attempts, len(self.store.writes))

    async def test_stream_that_is_recorded_again(self):
        """The version of the last attempt counts, in one row and across rows."""
        self.record(self.leader, 1, 2)
        await self.save()
        self.record(self.leader, 1, software="b")
        await self.save()
        self.assert_known(await self.restart(), "b", 1)
        self.leader._next_slot()
        self.record(self.leader, 2, software="b")
        await self.save()
        self.assert_known(await self.restart(), "b", 1, 2)

    @parameterized.expand(
        [
            ("no msgpack", b"\xc1"),
            ("empty", b""),
            ("text", b"{}"),
            ("another type", msgspec.msgpack.encode([1, 2])),
            ("incomplete", None),
            (
                "another content",
                msgspec.msgpack.encode({"groups": [{"service": 1}], "sequence": 2}),
            ),
        ]
    )
    async def test_row_that_cannot_be_decoded(self, _name, value):
        """It is logged and ignored, and its slot is used again."""
        self.record(self.leader, 1)
        await self.save()
        if value is None:
            group = stored_streams.StoredGroup(SERVICE, "a", b"x" * 13)
            value = msgspec.msgpack.encode(StoredStreamsRow([group], 9))
        self.store.put(STREAMS_TABLE, "001", value)
        successor = self.instance("a", "b")
        self.record(successor, 2)
        await self.save(successor)
        (event, fields), *_ = self.warnings
        self.assertEqual((event, fields["key"]), ("streams_unreadable", "001"))
        self.assertEqual(self.store.writes[-1], "001")
        self.assert_known(await self.restart(), "a", 1, 2)

    async def test_row_of_a_newer_build(self):
        """Fields that are not known are ignored, and rows beyond the ring are read."""
        self.record(self.leader, 1)
        await self.save()
        row = msgspec.msgpack.decode(self.ring()["000"])
        row["new"] = 1
        row["groups"][0]["new"] = {"x": 2}
        self.store.put(STREAMS_TABLE, "new-7", msgspec.msgpack.encode(row))
        del self.store.rows_by_key["000"]
        self.assert_known(await self.restart(), "a", 1)
        successor = self.instance("a", "b")
        self.record(successor, 2)
        await self.save(successor)
        self.assert_known(await self.restart(), "a", 1, 2)


class LeadersTest(StoredStreamsCase):
    """Leaders one after the other, or at the same time."""

    def setUp(self):
        super().setUp()
        self.announce(self.leader, "a", "b")
        self.other = self.instance("a", "b")

    async def take_turn(self, leader, *numbers, software="a"):
        leader.on_term_began()
        self.assertTrue(await leader.load())
        self.record(leader, *numbers, software=software)
        await self.save(leader)

    async def test_in_turn(self):
        """Each continues with what the ones before it stored, and loses nothing."""
        for turn in range(6):
            leader = (self.leader, self.other)[turn % 2]
            await self.take_turn(leader, 2 * turn, 2 * turn + 1)
            self.assert_known(leader._versions, "a", *range(2 * turn + 2))
        self.assert_known(await self.restart(), "a", *range(12))
        self.assertEqual(self.store.attempts, len(self.store.writes))

    async def test_records_of_the_next_leader(self):
        """What it knew as a member is stored; what it has read is not written again."""
        await self.take_turn(self.leader, *range(100))
        self.record(self.other, 100, 101)
        await self.take_turn(self.other)
        self.assertLess(len(self.ring()["001"]), 200)
        self.assert_known(await self.restart(), "a", *range(102))

    async def test_former_leader_goes_on(self):
        """Its late writes replace nothing of its successor."""
        await self.take_turn(self.leader, 1)
        await self.take_turn(self.other, 2)
        for number in range(3, 13, 2):
            self.record(self.leader, number)
            await self.save(self.leader)
            self.record(self.other, number + 1)
            await self.save(self.other)
        self.assert_known(await self.restart(), "a", *range(1, 13))

    async def test_successor_of_a_leader_with_many_writes(self):
        """Its rows count as newer, although it has written fewer of them."""
        for _ in range(5):
            await self.take_turn(self.leader, 1)
        await self.take_turn(self.other, 1, software="b")
        self.assert_known(await self.restart(), "b", 1)

    async def test_slot_that_another_leader_has_used(self):
        """It can be written again in the next round."""
        await self.take_turn(self.leader, 1)
        with patch.object(stored_streams, "RING_ROWS", 1):
            for number in range(2, 5):
                self.store.put(STREAMS_TABLE, "000", self.ring()["000"])
                self.record(self.leader, number)
                await self.save(self.leader)
        self.assert_known(await self.restart(), "a", 1, 2, 3, 4)

    async def test_all_slots_are_used_by_another_leader(self):
        """Each try takes the next slot, and the tries are bounded."""
        with patch.object(stored_streams, "MAX_APPENDED_BYTES", 1):
            await self.take_turn(self.leader, 0)
            await self.take_turn(self.other, *range(1, 3))
            for number in range(3, 30):
                self.record(self.other, number)
                await self.save(self.other)
            self.record(self.leader, 100)
            attempts = self.store.attempts
            await self.save(self.leader)
            self.assertEqual(
                self.store.attempts - attempts, stored_streams.MAX_WRITES_PER_SAVE
            )
            for _ in range(5):
                await self.save(self.leader)
        versions = await self.restart()
        self.assert_known(versions, "a", *range(30), 100)

    async def test_stream_of_which_two_leaders_know_another_version(self):
        """It is refused: only one of them saw the attempt that went on."""
        await self.take_turn(self.leader, 1)
        await self.take_turn(self.other, 1, software="b")
        self.leader.on_term_began()
        self.assertTrue(await self.leader.load())
        decision = self.leader._versions.decide(key_of(1), SERVICE, self.now)
        self.assertEqual(decision, (UNKNOWN, ""))

    async def test_version_of_another_leader(self):
        """The origins of a service are read although this one sees one version."""
        await self.take_turn(self.leader, 1)
        successor = self.instance("b")
        self.assertTrue(await successor.load())
        decision = successor._versions.decide(key_of(1), SERVICE, self.now)
        self.assertEqual(decision, (KNOWN, "a"))

    async def test_event_loop_runs_while_streams_are_applied(self):
        """A new leader must answer requests while it loads many of them."""
        await self.take_turn(self.leader, *range(3500))
        successor = self.instance("a", "b")
        seen = set()
        loading = asyncio.create_task(successor.load())
        while not loading.done():
            seen.add(len(successor._versions))
            await asyncio.sleep(0)
        self.assertLessEqual({999, 1999, 2999}, seen)
        self.assert_known(successor._versions, "a", *range(3500))

    async def test_term_begins_during_a_read(self):
        """What was read before does not count for the new term."""
        store_read = self.store.read

        async def read(table, key):
            result = await store_read(table, key)
            self.leader.on_term_began()
            return result

        with patch.object(self.store, "read", read):
            self.assertFalse(await self.leader.load())
        self.assertFalse(self.leader.is_loaded)
        self.assertTrue(await self.leader.load())


class FaultTest(StoredStreamsCase):
    """Stores that do not respond, or that come back older."""

    def setUp(self):
        super().setUp()
        self.announce(self.leader, "a", "b")

    async def test_store_is_away_and_comes_back(self):
        """Streams of that time are kept until they are written."""
        self.record(self.leader, 1)
        await self.save()
        self.store.is_away = True
        for number in range(2, 10):
            self.record(self.leader, number)
            self.assertFalse(await self.leader.save())
        self.store.is_away = False
        await self.save()
        self.assert_known(await self.restart(), "a", *range(1, 10))
        self.assertEqual(list(self.ring()), ["000"])

    async def test_store_is_away_for_longer_than_streams_last(self):
        self.record(self.leader, *range(900), left_s=1.0)
        self.assertTrue(await self.leader.load())
        self.leader._versions.set_announced({SERVICE: "ab"}, self.now)
        self.store.script = ["", AWAY]
        self.assertFalse(await self.leader.save())
        self.assertEqual(len(self.leader._unwritten), 900)
        self.now += 2.0
        await self.save()
        self.assertEqual((self.leader._unwritten, self.ring()), ([], {}))

    async def test_streams_expire_between_two_rows(self):
        """A slow write must not keep those after it from being stored."""
        self.record(self.leader, *range(4100), left_s=1.0)
        self.record(self.leader, 5000)
        store_replace = self.store.replace

        async def replace(*arguments):
            self.now += 0.9
            return await store_replace(*arguments)

        with patch.object(self.store, "replace", replace):
            await self.save()
        self.assertEqual(len(self.ring()), 2)
        self.assert_known(await self.restart(), "a", 5000)

    @parameterized.expand([("row", [AWAY]), ("ring", ["", AWAY])])
    async def test_store_is_away_at_the_beginning(self, _name, script):
        """The rest of the history is not known before both are read."""
        self.record(self.leader, 1)
        await self.save()
        successor = self.instance("a", "b")
        self.store.script = script
        self.assertFalse(await successor.load())
        self.assertFalse(successor.is_loaded)
        decision = successor._versions.decide(key_of(1), SERVICE, self.now)
        self.assertEqual(decision, (UNKNOWN, ""))
        self.assertTrue(await successor.load())
        decision = successor._versions.decide(key_of(1), SERVICE, self.now)
        self.assertEqual(decision, (KNOWN, "a"))

    @parameterized.expand([("with effect", LOST), ("without effect", LATE)])
    async def test_write_without_a_response(self, _name, fault):
        """The streams are written to the next slot, with those of the slot before."""
        self.record(self.leader, 1)
        await self.save()
        self.record(self.leader, 2)
        self.store.script = [fault]
        self.assertFalse(await self.leader.save())
        self.record(self.leader, 3)
        await self.save()
        self.assertEqual(list(self.ring()), ["000", "001"])
        self.assert_known(await self.restart(), "a", 1, 2, 3)

    async def test_write_with_a_late_effect(self):
        """It must not replace what was written after it."""
        self.record(self.leader, 1)
        await self.save()
        self.record(self.leader, 2)
        self.store.script = [LATE]
        self.assertFalse(await self.leader.save())
        self.record(self.leader, 1, 2, software="b")
        await self.save()
        await self.store.apply_late()
        self.assertGreater(
            self.store.rows_by_key["000"].version,
            self.store.rows_by_key["001"].version,
        )
        self.assert_known(await self.restart(), "b", 1, 2)

    @parameterized.expand([("older", True), ("empty", False)])
    async def test_store_comes_back_older(self, _name, has_rows):
        """All that is missing is written again."""
        copy = self.store.copy()
        if has_rows:
            self.record(self.leader, 1)
            await self.save()
            copy = self.store.copy()
        self.record(self.leader, 2)
        await self.save()
        self.record(self.leader, 1, software="b")
        await self.save()
        self.store.restore(copy)
        self.leader.on_store_restored()
        self.assertFalse(self.leader.is_loaded)
        await self.save()
        self.assertTrue(self.leader.is_loaded)
        self.assert_known(self.leader._versions, "b", 1)
        self.assertEqual(self.stored_versions(), {SERVICE: ["a", "b"]})
        versions = await self.restart()
        self.assert_known(versions, "b", 1)
        self.assert_known(versions, "a", 2)

    async def test_store_comes_back_older_during_a_write(self):
        """The write before it does not count."""
        self.record(self.leader, 1)
        await self.save()
        copy = {}
        store_replace = self.store.replace

        async def replace(*arguments):
            result = await store_replace(*arguments)
            self.store.restore(copy)
            self.leader.on_store_restored()
            return result

        self.record(self.leader, 2)
        with patch.object(self.store, "replace", replace):
            self.assertFalse(await self.leader.save())
        await self.save()
        self.assert_known(await self.restart(), "a", 1, 2)

    async def test_store_comes_back_older_and_is_not_noticed(self):
        """Rows of the later era are rejected, so nothing is lost for good."""
        copy = self.store.copy()
        self.record(self.leader, 1)
        await self.save()
        self.store.restore(copy)
        self.record(self.leader, 2)
        await self.save()
        self.assert_known(await self.restart(), "a", 1, 2)


class RunTest(StoredStreamsCase):
    """The loop that writes in the background, at short intervals."""

    def setUp(self):
        super().setUp()
        self.enterContext(patch.object(stored_streams, "WRITE_INTERVAL_S", 0.001))
        self.pauses = []
        self.announce(self.leader, "a", "b")
        self.leads = True

    async def asyncSetUp(self):
        unchanged = asyncio.sleep

        async def sleep(pause_s):
            if pause_s:
                self.pauses.append(pause_s)
            await unchanged(min(pause_s, 0.001))

        self.enterContext(patch.object(stored_streams.asyncio, "sleep", sleep))
        self.running = asyncio.create_task(self.leader.run(lambda: self.leads))
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.leads = False
        await asyncio.wait_for(self.running, 5.0)

    def lines(self, event):
        lines = self.events + self.warnings
        return [fields for name, fields in lines if name == event]

    async def test_streams_are_written(self):
        self.record(self.leader, 1)
        await until(lambda: "000" in self.store.rows_by_key)
        self.record(self.leader, 2, 3)
        await until(lambda: self.store.writes.count("000") == 2)
        self.assert_known(await self.restart(), "a", 1, 2, 3)

    async def test_instance_that_leads_no_more_does_not_write(self):
        await until(lambda: self.leader.is_loaded)
        await self.stop()
        attempts, reads = self.store.attempts, self.store.reads
        self.record(self.leader, 1)
        self.assertTrue(self.running.done())
        self.assertEqual((self.store.attempts, self.store.reads), (attempts, reads))

    async def test_backs_off(self):
        """A store that is away is asked once a second at most, and later as before."""
        await until(lambda: self.leader.is_loaded)
        self.store.is_away = True
        self.record(self.leader, 1)
        await until(lambda: self.pauses.count(1.0) > 3)
        rising = sorted(set(self.pauses))
        self.assertEqual(rising[:3], [0.001, 0.002, 0.004])
        self.assertEqual(rising[-1], 1.0)
        self.store.is_away = False
        await until(lambda: "000" in self.store.rows_by_key)
        self.pauses.clear()
        await until(lambda: len(self.pauses) > 3)
        self.assertEqual(set(self.pauses[1:]), {0.001})

    async def test_error(self):
        """An error of one write does not end the loop, and is logged."""
        await until(lambda: self.leader.is_loaded)
        with patch.object(self.store, "replace", side_effect=ValueError("x")):
            self.now += 1.0
            self.record(self.leader, 1)
            await until(lambda: self.lines("streams_not_stored"))
        (fields,) = self.lines("streams_not_stored")
        self.assertIn("ValueError", fields["reason"])
        await until(lambda: "000" in self.store.rows_by_key)

    async def test_one_line_a_second(self):
        """Lines name what has happened since the last one."""
        await until(lambda: SOFTWARE_VERSIONS_KEY in self.store.rows_by_key)
        for number in range(10):
            self.record(self.leader, number)
            await until(lambda count=number: self.store.writes.count("000") > count)
        await until(lambda: self.leader._stored_rows == 9)
        self.now += 1.0
        await until(lambda: len(self.lines("streams_stored")) == 2)
        first, second = self.lines("streams_stored")
        self.assertEqual((first["rows"], first["streams"]), (1, 1))
        self.assertEqual((second["rows"], second["streams"]), (9, 9))
        self.store.is_away = True
        self.now += 1.0
        self.record(self.leader, 10, 11)
        await until(lambda: self.lines("streams_not_stored"))
        await until(lambda: self.leader._failures >= 5)
        self.assertEqual(len(self.lines("streams_not_stored")), 1)
        self.now += 1.0
        await until(lambda: len(self.lines("streams_not_stored")) == 2)
        fields = self.lines("streams_not_stored")[-1]
        self.assertGreaterEqual(fields["failures"], 5)
        self.assertEqual(fields["waiting"], 2)
        self.assertIn("away", fields["reason"])


class PlatformStoreTest(StoredStreamsCase):
    """The rows in the simulated store of the platform, through its client."""

    async def asyncSetUp(self):
        self.server = RowServer()
        runner = web.AppRunner(self.server.application(), access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.store = PlatformRowStore(f"127.0.0.1:{runner.addresses[0][1]}")
        self.addAsyncCleanup(self.store.close)
        self.leader = self.instance("a", "b")

    async def test_rows(self):
        """The first row is as large as one can be; the second one has room."""
        self.record(self.leader, *range(4500))
        await self.save()
        self.record(self.leader, 0, software="b")
        await self.save()
        keys = [key for table, key in self.server.rows if table == STREAMS_TABLE]
        self.assertEqual(keys, ["000", "001"])
        versions = await self.restart()
        self.assert_known(versions, "b", 0)
        self.assert_known(versions, "a", *range(1, 4500))

    async def test_store_comes_back_older(self):
        copy = self.server.copy()
        self.record(self.leader, 1)
        await self.save()
        self.server.restore(copy)
        self.leader.on_store_restored()
        await self.save()
        self.assert_known(await self.restart(), "a", 1)

    async def test_store_comes_back_older_and_another_leader_writes(self):
        """A leader that does not notice it replaces no row of the later era."""
        copy = self.server.copy()
        self.record(self.leader, 1)
        await self.save()
        self.server.restore(copy)
        other = self.instance("a", "b")
        self.record(other, 2)
        await self.save(other)
        self.record(self.leader, 3)
        while not await self.leader.save():
            pass
        self.assert_known(await self.restart(), "a", 1, 2, 3)
