"""Tests of fleets whose engines crash on a part of some requests' prompts."""

import asyncio
import base64
import copy
import unittest
from unittest.mock import patch

import msgspec
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall import stored_evidence
from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import CRASH_TTL_S, CrashEvidence, ServerStart
from sequoiafall.evidence_exchange import STORE_INTERVAL_S, EvidenceExchange
from sequoiafall.lease import LEASE_TABLE
from sequoiafall.platform import names
from sequoiafall.row_store import Rejected, Rows, RowStore, StoreRow
from sequoiafall.stored_evidence import (
    HARMFUL_PARTS_KEY,
    REPEATED_SUSPECTS_KEY,
    StoredEvidence,
)

from .events import until
from .harmful_case import SOUND_AFTER_S, HarmfulCase
from .platform_case import PlatformCase

HARMFUL_PART = "dead"
# Part that all requests of the callers share, harmful or not.
FIRST_PART = "5c1e"


class HarmfulPromptCase(HarmfulCase):
    """Sends requests that have a part of the prompt on which engines crash."""

    def prepare_server(self, server):
        server.crashing_parts = {HARMFUL_PART}

    async def send(self, node, path, number, is_harmful):
        shared = HARMFUL_PART if is_harmful else f"b{number % 5}"
        parts = f"{FIRST_PART}:568,{shared}:200,own{number}:250"
        status, _, _ = await self.call(
            node, path, adapter=f"a{number % 4}", **{names.PROMPT_PARTS: parts}
        )
        return status


class CrashingPartTest(HarmfulPromptCase):
    """A part that crashes engines stops reaching them; sound requests are served."""

    @parameterized.expand([("resumable", "/draft/x"), ("sent once", "/check/x")])
    async def test_with_a_leader(self, _name, path):
        await self.start_fleet_of_engines(3)
        self.assert_contained(await self.press(path))

    @parameterized.expand([("resumable", "/draft/x"), ("sent once", "/check/x")])
    async def test_without_a_leader(self, _name, path):
        """No leader is elected while the store does not respond."""
        await self.start_fleet_of_engines(4)
        await self.load_adapters()
        self.store.rejected_peers.add("*")
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        await until(lambda: not any(node.fleet.has_leader for node in self.nodes))
        # Engines without a leader's orders load nothing after a crash.
        for engine in self.engines.values():
            engine.keeps_models = True
        self.assert_contained(await self.press(path))

    async def test_leader_changes(self):
        """The next leader continues with what the last one learned."""
        await self.start_fleet_of_engines(4)
        pressing = asyncio.create_task(self.press("/draft/x"))
        await until(lambda: len(self.crashes()) >= 2)
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        self.assert_contained(await pressing)

    async def test_newcomer(self):
        """An instance that starts later refuses the part without a crash."""
        await self.start_fleet_of_engines(2)
        self.judges_late_calls = False
        await self.press("/draft/x", 4.0)
        self.judges_late_calls = True
        before = len(self.crashes())
        await self.start_node(3)
        await until(lambda: self.nodes[-1].fleet.has_leader)
        sound = await self.press("/draft/x", SOUND_AFTER_S + 2.0)
        self.assert_contained(sound)
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))

    async def test_all_instances_restart(self):
        """What is known outlasts all processes of the system."""
        await self.start_fleet_of_engines(2)
        self.judges_late_calls = False
        await self.press("/draft/x", 4.0)
        self.judges_late_calls = True
        before = len(self.crashes())
        for node in list(self.nodes):
            self.nodes.remove(node)
            await node.stop()
        await self.start_node(4, peer_hints=())
        await until(lambda: self.nodes[0].fleet.has_leader and self.nodes[0].is_ready)
        sound = await self.press("/draft/x", SOUND_AFTER_S + 2.0)
        self.assert_contained(sound)
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))


class StoredVerdictTest(PlatformCase):
    """The stored harmful parts when the store comes back without them."""

    def stored(self):
        row = self.store.rows.get((LEASE_TABLE, HARMFUL_PARTS_KEY))
        return row.value if row is not None else b""

    async def test_verdicts_are_stored_again(self):
        await self.start_fleet(2)
        saved = self.store.copy()
        evidence = self.leader.fleet.crash_evidence
        for number in range(3):
            start = ServerStart(f"gone-{number}", 1)
            evidence.record_crash(start, [HARMFUL_PART], boot_time() + number)
        await until(lambda: HARMFUL_PART.encode() in self.stored())
        self.store.restore(saved)
        self.assertEqual(self.stored(), b"")
        await until(lambda: HARMFUL_PART.encode() in self.stored())


class MemoryStore(RowStore):
    """A store with a single table."""

    def __init__(self):
        self.rows_by_key = {}
        self.version = 0
        self.writes = []
        self.scans = 0

    async def read(self, table, key):
        return Success(self.rows_by_key.get(key))

    async def replace(self, table, key, value, version):
        row = self.rows_by_key.get(key)
        if version != (row.version if row is not None else 0):
            return Failure(Rejected(row))
        self.version += 1
        self.writes.append(key)
        self.rows_by_key[key] = StoreRow(table, key, value, self.version)
        return Success(self.version)

    async def scan(self, table):
        self.scans += 1
        return Success(Rows(list(self.rows_by_key.values()), self.version))

    async def changes(self, table, after, wait_s):
        raise NotImplementedError

    async def close(self):
        pass


class SeveralLeadersTest(unittest.IsolatedAsyncioTestCase):
    """Leaders one after the other, which do not reach each other."""

    async def test_row_of_another_leader(self):
        """A leader adds its evidence to that which another one stored meanwhile."""
        store = MemoryStore()
        leaders = [StoredEvidence(CrashEvidence(), store) for _ in range(2)]
        for stored in leaders:
            await stored.load()
        for stored, name in zip(leaders, ("p1", "p2"), strict=True):
            crash(stored, name, 0.0, 0.5, 1.0)
            crash(stored, f"request:{name}", 0.0, 0.5)
            self.assertTrue(await stored.save())
        harmful = store.rows_by_key[HARMFUL_PARTS_KEY].value
        repeated = store.rows_by_key[REPEATED_SUSPECTS_KEY].value
        for name in (b"p1", b"p2"):
            self.assertIn(name, harmful)
            self.assertIn(name, repeated)
        self.assertIsNotNone(leaders[1]._evidence.suspect("p1", boot_time()))


def crash(stored, key, *times):
    """Record crashes of different servers, in seconds after 9 s ago."""
    for number, time_s in enumerate(times):
        start = ServerStart(f"{key}-{number}", 1)
        at = boot_time() - 9.0 + time_s
        stored._evidence.record_crash(start, [key], at)


class StoredEvidenceTest(unittest.IsolatedAsyncioTestCase):
    """What the store keeps of the evidence, and what of it counts again."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.wall_s = 1.8e9
        self.leader = self.instance()

    def instance(self):
        return StoredEvidence(CrashEvidence(), self.store, lambda: self.wall_s)

    async def restart(self):
        """Return the evidence of a process that has only the store."""
        stored = self.instance()
        await stored.load()
        return stored._evidence

    async def save(self):
        self.assertTrue(await self.leader.save())

    def value(self, key):
        return msgspec.json.decode(self.store.rows_by_key[key].value)

    async def test_suspects_with_two_crashes(self):
        """One more crash convicts them after a restart; single ones are not stored."""
        crash(self.leader, "request:a", 0.0, 0.5)
        crash(self.leader, "request:b", 0.0)
        await self.save()
        evidence = await self.restart()
        self.assertIsNone(evidence.suspect("request:b", boot_time()))
        self.assertFalse(evidence.suspect("request:a", boot_time()).is_harmful)
        evidence.record_crash(ServerStart("d9", 1), ["request:a"], boot_time())
        self.assertTrue(evidence.suspect("request:a", boot_time()).is_harmful)

    async def test_request_that_crashed_two_servers_at_once(self):
        """A retry makes one event of two crashes; the next two convict it."""
        crash(self.leader, "request:a", 0.0, 0.05)
        crash(self.leader, "p", 0.0, 0.05)
        await self.save()
        evidence = await self.restart()
        self.assertIsNone(evidence.suspect("p", boot_time()))
        for number in (8, 9):
            start = ServerStart(f"d{number}", 1)
            evidence.record_crash(start, ["request:a"], boot_time() + number)
        row = evidence.suspect("request:a", boot_time() + 9.0)
        self.assertTrue(row.is_harmful)
        # The fourth crash came after the third one.
        self.assertEqual(row.failed_trials, 1)

    async def test_builds_that_know_only_verdicts(self):
        """They would take each suspect in their row for harmful."""
        crash(self.leader, "request:a", 0.0, 0.5)
        crash(self.leader, "request:b", 0.0, 0.5, 1.0)
        await self.save()
        names = [row["part"] for row in self.value(HARMFUL_PARTS_KEY)]
        self.assertEqual(names, ["request:b"])

    async def test_row_of_the_build_before(self):
        value = (
            b'[{"part":"request:a","crashes":[{"server":"d1","born":7,"age_s":3.25},'
            b'{"server":"d2","born":8,"age_s":2.0},{"server":"d3","born":9,'
            b'"age_s":0.5}],"failed_trials":1,"trial_in_s":119.5}]'
        )
        await self.store.replace(LEASE_TABLE, HARMFUL_PARTS_KEY, value, 0)
        row = (await self.restart()).suspect("request:a", boot_time())
        self.assertTrue(row.is_harmful)
        self.assertEqual(row.failed_trials, 1)
        self.assertEqual(row.events(boot_time()), 3)
        self.assertAlmostEqual(row.trial_at - boot_time(), 119.5, delta=1.0)

    async def test_response_removes_a_suspect(self):
        crash(self.leader, "request:a", 0.0, 0.5)
        await self.save()
        self.leader._evidence.record_begun(["request:a"], boot_time())
        self.assertTrue(self.leader.has_changes())
        await self.save()
        self.assertTrue((await self.restart()).is_empty())

    async def test_forgotten_suspect_is_removed(self):
        """It would come back with each restart, as if its crashes were recent."""
        changes = []
        self.leader._evidence.on_change = lambda: changes.append(1)
        crash(self.leader, "request:a", 0.0, 0.5)
        await self.save()
        changes.clear()
        self.leader._evidence.forget(boot_time() + CRASH_TTL_S)
        self.assertTrue(changes)
        await self.save()
        self.assertTrue((await self.restart()).is_empty())

    @parameterized.expand([("read a minute later", 60.0), ("clock set back", -900.0)])
    async def test_row_that_still_holds_a_cleared_suspect(self, _name, clock_s):
        """The store was not reached when a response began, at another instance."""
        crash(self.leader, "request:a", 0.0, 0.5)
        await self.save()
        other = self.instance()
        other._evidence.merge(
            copy.deepcopy(self.leader._evidence.since_revision(0, boot_time())),
            boot_time(),
        )
        # As if the response had begun ten seconds after the write.
        other._evidence.record_begun(["request:a"], boot_time())
        self.wall_s += clock_s
        await other.load()
        self.assertIsNone(other._evidence.suspect("request:a", boot_time()))

    async def test_cleared_suspect_that_the_instance_has_forgotten(self):
        """Only the time of the response is known, which began after the crashes."""
        crash(self.leader, "request:a", 0.0, 0.5)
        await self.save()
        other = self.instance()
        other._evidence.record_begun(["request:a"], boot_time() - 5.0)
        self.wall_s += 60.0
        await other.load()
        self.assertIsNone(other._evidence.suspect("request:a", boot_time()))

    @parameterized.expand([("a day ahead", 86_400.0), ("a day back", -86_400.0)])
    async def test_wall_clock_that_jumps(self, _name, jump_s):
        """A suspect is not forgotten for it."""
        crash(self.leader, "request:a", 0.0, 0.5)
        await self.save()
        self.wall_s += jump_s
        evidence = await self.restart()
        evidence.record_crash(ServerStart("d9", 1), ["request:a"], boot_time() + 60.0)
        self.assertTrue(evidence.suspect("request:a", boot_time() + 60.0).is_harmful)

    @parameterized.expand(
        [
            ("verdicts", HARMFUL_PARTS_KEY, 3, "request:999"),
            ("suspects", REPEATED_SUSPECTS_KEY, 2, "request:999"),
        ]
    )
    async def test_rows_fit(self, _name, key, crashes, newest):
        """The store refuses longer ones, and nothing would be stored any more."""
        for number in range(1000):
            times = [0.5 * index for index in range(crashes)]
            crash(self.leader, f"request:{number}", *times)
        with patch.object(stored_evidence, "log_warning") as log_warning:
            await self.save()
        log_warning.assert_called_once()
        self.assertEqual(log_warning.call_args.args, ("suspects_not_stored",))
        self.assertEqual(log_warning.call_args.kwargs["key"], key)
        self.assertGreater(log_warning.call_args.kwargs["count"], 0)
        value = self.store.rows_by_key[key].value
        self.assertLess(len(base64.b64encode(value)), 65_536)
        self.assertGreater(len(value), 40_000)
        self.assertIn(newest.encode(), value)
        # Those that do not fit cause no further writes.
        self.assertFalse(self.leader.has_changes())
        self.assertFalse((await self.restart()).is_empty())


class StoreWritesTest(unittest.IsolatedAsyncioTestCase):
    """Writes of the store are few, however fast the evidence changes."""

    async def test_writes_are_limited(self):
        store = MemoryStore()
        evidence = CrashEvidence()
        exchange = EvidenceExchange(
            evidence, store, b"", lambda: True, lambda: True, list
        )
        evidence.on_change = exchange.wake
        running = asyncio.create_task(exchange.run(lambda: False))
        started_at = boot_time()
        for number in range(100):
            crash(exchange.stored, f"request:{number}", 0.0, 0.5)
            crash(exchange.stored, f"p{number}", 0.0, 0.5, 1.0)
            await asyncio.sleep(0.01)
        intervals = 1 + int((boot_time() - started_at) / STORE_INTERVAL_S)
        self.assertLessEqual(len(store.writes), 2 * intervals)
        self.assertLessEqual(store.scans, 1)
        # The latest change is stored as well.
        await until(lambda: not exchange.stored.has_changes())
        running.cancel()
