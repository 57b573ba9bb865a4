"""Base class of tests of fleets whose servers crash on some of the requests."""

import asyncio
import itertools
import time

import aiohttp

from .events import until
from .platform_case import PlatformCase

# Time after which all instances of the fleet know what some of them know, and
# harmful requests that may still reach servers after it.
CONTACT_S = 3.0
ALLOWED_ARRIVALS = 3
# Share of the sound requests that must begin at the first attempt.
SOUND_SHARE = 0.5
SOUND_AFTER_S = 2.0 * CONTACT_S
# Sound requests after that time that a test judges at least.
LATE_CALLS = 20
PRESSED_S = 11.0
CALL_PAUSE_S = 0.1
ENGINES = 5


class HarmfulCase(PlatformCase):
    """Presses callers of sound and of harmful requests against a fleet.

    Attributes
    ----------
    known_crashes : int
        Crashes after which a request must be known as harmful.
    judges_late_calls : bool
        Whether to press until enough sound requests were sent long after the crashes.
    """

    known_crashes = 5
    judges_late_calls = True

    def prepare_server(self, server):
        """Let a server crash on harmful requests."""
        raise NotImplementedError

    async def send(self, node, path, number, is_harmful):
        """Send one request and return its status."""
        raise NotImplementedError

    async def start_fleet_of_engines(self, nodes):
        self.configure()
        for number in range(1, ENGINES + 1):
            self.prepare_server(await self.start_backend(f"e{number}"))
        for number in range(1, nodes + 1):
            await self.start_node(number)
        await until(lambda: all(node.fleet.has_leader for node in self.nodes))
        await until(lambda: all(self._is_settled(node) for node in self.nodes))
        for adapter in ("a0", "a1", "a2", "a3"):
            await self.call(self.nodes[0], "/draft/x", adapter=adapter)

    async def load_adapters(self):
        """Let each engine hold the adapters of the callers."""
        for _ in range(ENGINES):
            await asyncio.gather(
                *(
                    self.call(self.nodes[0], "/draft/x", adapter=f"a{number % 4}")
                    for number in range(12)
                )
            )

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
                sent_at = time.monotonic()
                status = 0
                try:
                    status = await self.send(node, path, next(numbers), is_harmful)
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
        known_at = self.crashes()[: self.known_crashes][-1]
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
        """Check the arrivals after the last allowed crash, and the sound requests."""
        crashes = self.crashes()
        self.assertTrue(crashes)
        known_at = crashes[: self.known_crashes][-1]
        arrivals = [
            time_s
            for engine in self.engines.values()
            for time_s in engine.harmful_arrivals
            if time_s > known_at + CONTACT_S
        ]
        late_sound = self.late_calls(sound)
        served = sum(late_sound) / max(1, len(late_sound))
        seen = f"{len(crashes)} crashes, {len(arrivals)} arrivals, {served:.2f} served"
        if len(crashes) >= self.known_crashes:
            self.assertLessEqual(len(arrivals), ALLOWED_ARRIVALS, seen)
        self.assertGreaterEqual(len(late_sound), LATE_CALLS, seen)
        self.assertGreaterEqual(served, SOUND_SHARE, seen)
