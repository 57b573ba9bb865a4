"""Tests of fleets whose engines crash on a part of some requests' prompts."""

import asyncio
import itertools
import time

import aiohttp
from parameterized import parameterized

from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import ServerStart
from sequoiafall.evidence_exchange import HARMFUL_PARTS_KEY
from sequoiafall.lease import LEASE_TABLE
from sequoiafall.platform import names

from .events import until
from .platform_case import PlatformCase

HARMFUL_PART = "dead"
# Part that all requests of the callers share, harmful or not.
FIRST_PART = "5c1e"
# Time after which all instances of the fleet know what some of them know, and
# requests with a harmful part that may still reach engines after it.
CONTACT_S = 3.0
ALLOWED_ARRIVALS = 3
# Crashes after which a part must be known as harmful.
KNOWN_CRASHES = 5
# Share of the sound requests that must begin at the first attempt.
SOUND_SHARE = 0.5
SOUND_AFTER_S = 2.0 * CONTACT_S
# Sound requests after that time that a test judges at least.
LATE_CALLS = 20
PRESSED_S = 11.0
CALL_PAUSE_S = 0.1
ENGINES = 5


class HarmfulPromptCase(PlatformCase):
    """Presses callers of sound and of harmful requests against a fleet."""

    judges_late_calls = True

    async def start_fleet_of_engines(self, nodes):
        self.configure()
        for number in range(1, ENGINES + 1):
            engine = await self.start_backend(f"e{number}")
            engine.crashing_parts = {HARMFUL_PART}
        for number in range(1, nodes + 1):
            await self.start_node(number)
        await until(lambda: all(node.fleet.has_leader for node in self.nodes))
        await until(lambda: all(self._is_settled(node) for node in self.nodes))
        for adapter in ("a0", "a1", "a2", "a3"):
            await self.call(self.nodes[0], "/draft/x", adapter=adapter)

    def _is_settled(self, node):
        if len(node.fleet.registry) < ENGINES or not node.is_ready:
            return False
        duties = node.fleet.duties
        if duties is None:
            return True
        engines = duties.planners_by_service["assist"].pool.engines_by_name.values()
        return len(engines) == ENGINES and all(row.is_synced for row in engines)

    async def press(self, path, pressed_s=PRESSED_S):
        """Send sound and harmful requests to all nodes.

        It goes on until enough sound requests were sent long after the crashes, which
        takes longer on a busy machine.

        Returns the times at which sound requests were sent, and whether each was
        served.
        """
        numbers = itertools.count(1)
        sound = []
        ends_at = time.monotonic() + pressed_s

        async def caller(node, is_harmful):
            while node in self.nodes and (
                time.monotonic() < ends_at or self.lacks_late_calls(sound)
            ):
                number = next(numbers)
                shared = HARMFUL_PART if is_harmful else f"b{number % 5}"
                parts = f"{FIRST_PART}:568,{shared}:200,own{number}:250"
                sent_at = time.monotonic()
                status = 0
                try:
                    status, _, _ = await self.call(
                        node,
                        path,
                        adapter=f"a{number % 4}",
                        **{names.PROMPT_PARTS: parts},
                    )
                except aiohttp.ClientError as error:
                    # Streams end with their engine, calls with their node.
                    self.last_error = error
                if not is_harmful and node in self.nodes:
                    sound.append((sent_at, status == 200))
                await asyncio.sleep(CALL_PAUSE_S)

        await asyncio.gather(
            *(
                caller(node, is_harmful)
                for node in list(self.nodes)
                for is_harmful in (True, False, False, False)
            )
        )
        return sound

    def late_calls(self, sound):
        """Return whether each sound request long after the crashes was served."""
        known_at = self.crashes()[:KNOWN_CRASHES][-1]
        return [ok for sent_at, ok in sound if sent_at > known_at + SOUND_AFTER_S]

    def lacks_late_calls(self, sound):
        if not self.judges_late_calls or not self.crashes():
            return False
        return len(self.late_calls(sound)) < LATE_CALLS

    def crashes(self):
        return sorted(
            time_s for engine in self.engines.values() for time_s in engine.crashed_at
        )

    def assert_contained(self, sound):
        """Check the arrivals after the fifth crash, and the sound requests."""
        crashes = self.crashes()
        self.assertTrue(crashes)
        known_at = crashes[:KNOWN_CRASHES][-1]
        arrivals = [
            time_s
            for engine in self.engines.values()
            for time_s in engine.harmful_arrivals
            if time_s > known_at + CONTACT_S
        ]
        late_sound = self.late_calls(sound)
        served = sum(late_sound) / max(1, len(late_sound))
        seen = f"{len(crashes)} crashes, {len(arrivals)} arrivals, {served:.2f} served"
        if len(crashes) >= KNOWN_CRASHES:
            self.assertLessEqual(len(arrivals), ALLOWED_ARRIVALS, seen)
        self.assertGreaterEqual(len(late_sound), LATE_CALLS, seen)
        self.assertGreaterEqual(served, SOUND_SHARE, seen)


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
        for _ in range(ENGINES):
            await asyncio.gather(
                *(
                    self.call(self.nodes[0], "/draft/x", adapter=f"a{number % 4}")
                    for number in range(12)
                )
            )
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
        self.assertLessEqual(len(self.crashes()), max(before, KNOWN_CRASHES))

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
        self.assertLessEqual(len(self.crashes()), max(before, KNOWN_CRASHES))


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
