"""Migration of long streams to other engines while a server is drained."""

import asyncio
from typing import Any

from parameterized import parameterized

from bench.fleet import wait_until
from sequoiafall.standins.generation import completion_text

from .fleet_case import FleetTestCase

TOKENS = 150
STREAMS = 4
# A stream takes 30 s on an engine that is slowed down by this factor.
SLOWDOWN = 10.0
# Longer than a gateway takes to request a place and resume the stream there.
LATE_IMPORTS_S = 0.3


class MovedStreamTest(FleetTestCase):
    """A stream that delays the draining of a server must continue elsewhere.

    The caller must receive every token once, from the right adapter and version,
    in a single request, even if a step of the migration fails.
    """

    engine_count = 3
    controller_arguments = ("--move-after", "1")

    async def stream(self, number: int):
        """Request a long stream and return its result with the expected text."""
        organisation = ("alpha", "beta")[number % 2]
        result = await self.caller(organisation).complete(
            f"{organisation}-0@1", f"p{number}", TOKENS
        )
        return result, completion_text(f"p{number}", f"{organisation}-0", "1", TOKENS)

    async def set_slowdown(self, slow: float, *names: str) -> None:
        """Set the slowdown factor of engines."""
        for name in names:
            await self.fleet.set_faults(self.fleet.engines_by_name[name], slow=slow)

    async def running(self) -> dict[str, dict[str, Any]]:
        """Return the streams that have generated tokens, by engine and request."""
        found = {}
        for name, engine in self.fleet.engines_by_name.items():
            running = (await self.get_json(engine.address, "/state"))["running"]
            found[name] = {r["request_id"]: r for r in running if r["generated_tokens"]}
        return found

    async def recorded(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that an engine has received, or none if it has ended."""
        engine = self.fleet.engines_by_name[name]
        if not engine.running:
            return []
        return (await self.get_json(engine.address, "/recorded"))["recorded"]

    async def moved_streams(self, name: str, step: str) -> set[str]:
        """Return the streams that an engine was asked to export or import."""
        paths = [record["path"].split("/") for record in await self.recorded(name)]
        return {path[2] for path in paths if path[1] == "streams" and path[3] == step}

    async def importers(self) -> dict[str, str]:
        """Return the engine that was asked to import each stream."""
        return {
            request_id: name
            for name in self.fleet.engines_by_name
            for request_id in await self.moved_streams(name, "import")
        }

    async def resumed_from_import(self) -> set[str]:
        """Return the streams that were resumed from imported state."""
        states = [
            await self.get_json(engine.address, "/state")
            for engine in self.fleet.engines_by_name.values()
        ]
        return {item for state in states for item in state["resumed_from_import"]}

    @parameterized.expand(
        [
            ("undisturbed", ""),
            ("export_fails", "export"),
            ("import_fails", "import"),
            ("target_dies", "death"),
        ]
    )
    async def test_stream_is_whole(self, _name, failing):
        names = set(self.fleet.engines_by_name)
        await self.set_slowdown(SLOWDOWN, *names)
        streams = [asyncio.ensure_future(self.stream(n)) for n in range(STREAMS)]

        async def all_run() -> bool:
            return sum(map(len, (await self.running()).values())) == STREAMS

        await wait_until(all_run, "all streams to run")
        running = await self.running()
        source = max(names, key=lambda name: len(running[name]))
        others = names - {source}
        for name in names:
            engine = self.fleet.engines_by_name[name]
            await self.fleet.set_faults(
                engine, fail_moves=[failing], late_imports_s=LATE_IMPORTS_S
            )
        await self.fleet.edit(("backend_server", source, {"state": "cleaning"}))

        async def exported() -> bool:
            return set(running[source]) <= await self.moved_streams(source, "export")

        async def imported() -> bool:
            return set(running[source]) <= set(await self.importers())

        await wait_until(exported, "an export of each stream")
        if failing == "export":
            self.assertEqual(await self.importers(), {})
            await self.set_slowdown(1.0, source)
        else:
            await wait_until(imported, "an import of each stream")
            importers = await self.importers()
            self.assertLessEqual(set(importers.values()), others)
            if failing == "death":
                victim = importers[min(running[source])]
                await self.fleet.engines_by_name[victim].kill()
                others.remove(victim)
        await self.set_slowdown(1.0, *others)
        results = await self.within_deadline(asyncio.gather(*streams))
        self.assert_complete(results)
        self.assertEqual([result.attempts for result, _ in results], [1] * STREAMS)
        await wait_until(lambda: self.is_drained(source), "the server to be drained")
        if failing in ("", "import"):
            for request_id, name in importers.items():
                await self.assert_resumed(name, running[source][request_id])
        if not failing:
            self.assertEqual(await self.resumed_from_import(), set(importers))

    async def assert_resumed(self, name: str, stream: dict[str, Any]) -> None:
        """Check that an engine resumed a stream, with the same adapter version."""
        all_headers = [
            {header.lower(): value for header, value in record["headers"]}
            for record in await self.recorded(name)
        ]
        (headers,) = [
            headers
            for headers in all_headers
            if headers.get("x-request-id") == stream["request_id"]
        ]
        self.assertEqual(
            (headers["x-adapter"], headers["x-adapter-version"]),
            (stream["adapter"], stream["version"]),
        )
        self.assertGreaterEqual(
            int(headers["x-resume-offset"]), stream["generated_tokens"]
        )
