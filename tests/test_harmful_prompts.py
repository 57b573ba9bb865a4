"""Tests of fleets whose engines crash on a part of some requests' prompts."""

import asyncio
import unittest

from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import CrashEvidence, ServerStart
from sequoiafall.evidence_exchange import HARMFUL_PARTS_KEY, EvidenceExchange
from sequoiafall.lease import LEASE_TABLE
from sequoiafall.platform import names
from sequoiafall.row_store import Rejected, RowStore, StoreRow

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
    """A store with a single row."""

    def __init__(self):
        self.row = None

    async def read(self, table, key):
        return Success(self.row)

    async def replace(self, table, key, value, version):
        current = self.row.version if self.row is not None else 0
        if version != current:
            return Failure(Rejected(self.row))
        self.row = StoreRow(table, key, value, current + 1)
        return Success(self.row.version)

    async def scan(self, table):
        raise NotImplementedError

    async def changes(self, table, after, wait_s):
        raise NotImplementedError

    async def close(self):
        pass


class SeveralLeadersTest(unittest.IsolatedAsyncioTestCase):
    """Leaders one after the other, which do not reach each other."""

    async def test_row_of_another_leader(self):
        """A leader adds its verdicts to those that another one stored meanwhile."""
        store = MemoryStore()
        exchanges = []
        for _ in range(2):
            evidence = CrashEvidence()
            exchange = EvidenceExchange(
                evidence, store, b"", lambda: True, lambda: True, list
            )
            await exchange.load()
            exchanges.append(exchange)
        for exchange, part in zip(exchanges, ("p1", "p2"), strict=True):
            for number in range(3):
                start = ServerStart(f"{part}-{number}", 1)
                exchange.evidence.record_crash(start, [part], boot_time() + number)
            # The second write succeeds if the first is refused.
            await exchange._save()
            await exchange._save()
        self.assertIn(b"p2", store.row.value)
        self.assertIn(b"p1", store.row.value)
        self.assertIsNotNone(exchanges[1].evidence.suspect("p1", boot_time()))
