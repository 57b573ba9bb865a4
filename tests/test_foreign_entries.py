"""Tests of entries that another writer leaves among those of backend servers."""

import asyncio
import contextlib
import json
import unittest
from unittest.mock import patch

from aiohttp import web
from parameterized import parameterized
from returns.result import Failure

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.fleet_leader import REPORT_INTERVAL_MANY_S
from sequoiafall.fleet_tables import FleetTables
from sequoiafall.mirror import Mirror
from sequoiafall.platform import names
from sequoiafall.platform.engines import PlatformEngines
from sequoiafall.platform.rows import PlatformRows
from sequoiafall.row_store import Rows, StoreRow
from sequoiafall.serving_ports import EngineOrder, OrderResponse
from sequoiafall.standins.foreign_entries import (
    UNUSABLE_VALUES,
    SilentAddress,
    deep_row_value,
)

from .events import until
from .platform_case import PlatformCase, configuration

SOUND_ENTRY = {
    "service": "assist",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "born": 1,
}
# Fields of an entry that are read, and others.
FIELDS = ("note", "models", "slots", "service", "born", "version")
REWRITE_INTERVAL_S = 0.1
# More than the attempts of one request, so that one that needs a second try counts.
REQUESTS = 12


DEEP_ENTRIES = [
    *((field, deep_row_value(SOUND_ENTRY, field)) for field in FIELDS),
    ("broken_off", deep_row_value(SOUND_ENTRY, "note", is_cut=True)),
]


class DecodeTest(unittest.TestCase):
    """A deeply nested value is a failure of its row and raises no exception."""

    @parameterized.expand(DEEP_ENTRIES)
    def test_entry_of_a_server(self, _name, value):
        row = StoreRow(names.BACKEND_TABLE, "i-foreign", value, 1)
        self.assertIsInstance(PlatformRows().backend(row), Failure)

    @parameterized.expand(["note", "routes", "services", "tenants", "limits"])
    def test_configuration(self, field):
        value = deep_row_value(configuration(), field)
        row = StoreRow(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, value, 1)
        self.assertIsInstance(PlatformRows().catalog(row), Failure)

    @parameterized.expand(["note", "adapter", "version"])
    def test_version_of_an_adapter(self, field):
        value = deep_row_value({"adapter": "a1", "version": 2}, field)
        key = f"{names.VERSION_KEY_PREFIX}base.a1"
        row = StoreRow(names.CONFIGURATION_TABLE, key, value, 1)
        self.assertIsInstance(PlatformRows().adapter_version(row), Failure)


class IsolationTest(unittest.TestCase):
    """A row that cannot be applied, for whatever reason, does not affect others."""

    def test_rows_after_one_that_fails(self):
        applied = []

        def on_row(row):
            if row.key == "b":
                raise RuntimeError("a row that cannot be applied")
            applied.append(row.key)
            return True

        mirror = Mirror(on_row)
        rows = [StoreRow("servers", key, b"{}", 1) for key in "abc"]
        mirror.apply_scan("servers", Rows(rows, 1))
        self.assertEqual(applied, ["a", "c"])


class UnreadableEntryTest(unittest.TestCase):
    """An unreadable entry that is written again and again costs little."""

    def setUp(self):
        self.tables = FleetTables(
            None, PlatformRows(), bool, lambda *_: None, lambda: None
        )

    def write(self, version, value):
        row = StoreRow(names.BACKEND_TABLE, "i-foreign", value, version)
        self.tables.mirror.apply([row])

    def test_log(self):
        """Each content is logged once, so that a writer cannot fill the log."""
        with patch("sequoiafall.fleet_tables.log_warning") as log:
            for version in range(1, 100):
                self.write(version, DEEP_ENTRIES[0][1])
            self.assertEqual(log.call_count, 1)
            self.write(200, b"{")
            self.assertEqual(log.call_count, 2)

    def test_memory(self):
        """The values of other writers must not fill the memory of an instance."""
        self.write(1, DEEP_ENTRIES[0][1])
        (row,) = self.tables.mirror.rows(names.BACKEND_TABLE)
        self.assertEqual((row.version, row.value), (1, b""))

    def test_entry_that_becomes_readable(self):
        self.write(1, b"{")
        self.write(2, json.dumps(SOUND_ENTRY).encode())
        self.assertIsNotNone(self.tables.registry.find("i-foreign"))


class RestartCase(PlatformCase):
    """All instances restart while foreign entries stand among the servers."""

    async def rewrite(self, entries):
        """Write entries again and again, as a writer does that sends heartbeats."""
        while True:
            for key, value in entries:
                self.store.put(names.BACKEND_TABLE, key, value)
            await asyncio.sleep(REWRITE_INTERVAL_S)

    async def restart_all(self):
        """Stop all nodes at once and start them again."""
        numbers = range(1, len(self.nodes) + 1)
        nodes, self.nodes = self.nodes, []
        await asyncio.gather(*(node.stop() for node in nodes))
        for number in numbers:
            await self.start_node(number)
        await until(lambda: all(node.is_ready for node in self.nodes))

    async def served(self):
        """Return how many of the requests to all nodes and routes are served."""
        calls = [
            self.call(
                self.nodes[number % len(self.nodes)],
                f"/{route}/x",
                adapter="a1" if route == "draft" else "",
            )
            for number in range(REQUESTS)
            for route in ("draft", "look")
        ]
        return sum(status == 200 for status, _, _ in await asyncio.gather(*calls))


class RestartTest(RestartCase):
    """Entries that cannot be decoded hide no server from instances that restart."""

    # Guards against an entry that ends each read of the table before the entries of
    # the servers, so that nothing is served after a restart.
    @parameterized.expand(
        [
            ("one_of_each_kind", DEEP_ENTRIES),
            (
                "many_of_one_kind",
                [(f"deep-{number:02}", DEEP_ENTRIES[0][1]) for number in range(40)],
            ),
        ]
    )
    async def test_deeply_nested_entries(self, _name, entries):
        await self.start_fleet(2)
        entries = [(f"a-{key}", value) for key, value in entries]
        writer = asyncio.create_task(self.rewrite(entries))
        try:
            await self.restart_all()
            # Without the servers, this waits for the whole time and fails.
            await until(
                lambda: all(len(node.fleet.registry) >= 4 for node in self.nodes)
            )
            await until(self._engines_are_synced)
            self.assertEqual(await self.served(), 2 * REQUESTS)
        finally:
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer


class UnusableEntryTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose values break a later step is refused when it is decoded."""

    @parameterized.expand(UNUSABLE_VALUES)
    def test_value(self, field, value):
        content = json.dumps({**SOUND_ENTRY, field: value}).encode()
        row = StoreRow(names.BACKEND_TABLE, "i-foreign", content, 1)
        self.assertIsInstance(PlatformRows().backend(row), Failure)

    @parameterized.expand(["", "a b", "a\r\nX: y", "\u0161\u0137", "a" * 300])
    def test_name(self, name):
        """The name is sent in a header of each request."""
        content = json.dumps(SOUND_ENTRY).encode()
        row = StoreRow(names.BACKEND_TABLE, name, content, 1)
        self.assertIsInstance(PlatformRows().backend(row), Failure)

    @parameterized.expand([".kuldiga:8126", "10.1.0.25:70000", "[::1", "a b:80"])
    async def test_report_and_order(self, address):
        """A malformed address is a failure of its call, not of the leader's term."""
        engines = PlatformEngines()
        entry = BackendEntry("i-foreign", "assist", address, "z1", 64, False, 1)
        self.assertIsNone(await engines.report(entry))
        order = EngineOrder("base", "a1", True, "node-1", 1, -1, 0)
        self.assertIs(await engines.order(entry, order), OrderResponse.NO_RESPONSE)
        await engines.close()


class LeaderTermTest(PlatformCase):
    """A foreign entry does not end the leader's term."""

    async def test_entries_of_all_kinds(self):
        nodes = await self.start_fleet(2)
        terms = sum(node.metrics.terms_begun for node in nodes)
        for number, (field, value) in enumerate(UNUSABLE_VALUES):
            self.store.put(
                names.BACKEND_TABLE, f"a-{number:02}", {**SOUND_ENTRY, field: value}
            )
        for number in range(REQUESTS):
            for route in ("draft", "look"):
                status, body, _ = await self.call(
                    nodes[number % 2],
                    f"/{route}/x",
                    adapter="a1" if route == "draft" else "",
                )
                self.assertEqual(status, 200, body)
        self.assertEqual(sum(node.metrics.terms_begun for node in nodes), terms)
        self.assertTrue(all(len(node.fleet.registry) == 4 for node in nodes))


async def _stay_mute(reader, writer):
    await reader.read()
    writer.close()


async def _close(_reader, writer):
    writer.close()


async def _answer_unsigned(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


class UnreachableEntryTest(RestartCase):
    """Entries that look sound and lead nowhere, many beside few servers."""

    ENTRIES = 30

    async def listen(self, on_connection):
        """Return the address of a process that is none of the servers."""
        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def foreign_address(self, kind):
        if kind == "silent":
            silent = SilentAddress()
            self.addCleanup(silent.close)
            return silent.address
        if kind == "another_server":
            return self.engines["e1"].address
        handlers = {
            "mute": _stay_mute,
            "closes": _close,
            "unsigned": _answer_unsigned,
        }
        return await self.listen(handlers[kind])

    def announce_foreign(self, address, service, born=1):
        """Write entries before and behind the servers in the order of keys."""
        for number in range(self.ENTRIES):
            key = f"{'ax'[number % 2]}-{service}-{number:02}"
            changes = {"service": service, "address": address, "born": born}
            self.store.put(names.BACKEND_TABLE, key, {**SOUND_ENTRY, **changes})

    # Guards against calls that find out, one by one and at each instance anew, which
    # entries lead nowhere: each takes a timeout, a retry of the budget or the call.
    @parameterized.expand(["silent", "another_server", "mute", "closes", "unsigned"])
    async def test_calls_after_a_restart(self, kind):
        await self.start_fleet(2)
        address = await self.foreign_address(kind)
        self.announce_foreign(address, "assist")
        self.announce_foreign(address, "desk")
        await self.restart_all()
        await until(self._servers_are_known)
        await until(self._own_engines_are_synced)
        statuses = []
        for number in range(REQUESTS):
            for route in ("order", "look"):
                status, _, _ = await self.call(
                    self.nodes[number % len(self.nodes)], f"/{route}/x"
                )
                statuses.append(status)
        self.assertEqual(statuses, [200] * len(statuses))

    # Guards against a report whose numbers end the leader's term.
    @parameterized.expand(
        [
            ("superscript", {"adapters": ["a1@\u00b2"]}),
            ("many_digits", {"adapters": ["a1@" + "9" * 5000]}),
            ("beyond_32_bits", {"adapters": [f"a1@{10**30}"]}),
        ]
    )
    async def test_report_of_a_foreign_engine(self, _name, model):
        nodes = await self.start_fleet(2)
        terms = sum(node.metrics.terms_begun for node in nodes)

        async def on_report(_request):
            return web.json_response({"models": [{"name": "base", **model}]})

        application = web.Application()
        application.router.add_get(names.REPORT_PATH, on_report)
        address = await self._listen(application, "127.0.0.1")
        self.store.put(
            names.BACKEND_TABLE, "a-foreign", {**SOUND_ENTRY, "address": address}
        )
        await until(
            lambda: all(node.fleet.registry.find("a-foreign") for node in nodes)
        )
        for number in range(REQUESTS):
            status, body, _ = await self.call(
                nodes[number % 2], "/draft/x", adapter="a2"
            )
            self.assertEqual(status, 200, body)
        self.assertEqual(sum(node.metrics.terms_begun for node in nodes), terms)

    # Guards against reports of entries that lead nowhere which take the places of the
    # client's connections, so that the reports of sound engines time out.
    async def test_streams_beside_hundreds_of_entries(self):
        await self.start_fleet(2)
        silent = SilentAddress()
        self.addCleanup(silent.close)
        for number in range(400):
            entry = {**SOUND_ENTRY, "address": silent.address}
            self.store.put(names.BACKEND_TABLE, f"a-{number:03}", entry)
        await self.restart_all()
        await until(self._servers_are_known)
        await until(self._own_engines_are_synced)
        planner = self.leader.fleet.duties.planners_by_service["assist"]
        missed = 0
        for _ in range(REQUESTS):
            status, body, _ = await self.call(self.nodes[0], "/draft/x", adapter="a1")
            self.assertEqual(status, 200, body)
            for name in ("e1", "e2"):
                engine = planner.pool.engines_by_name[name]
                missed += engine.missed_reports
            await asyncio.sleep(REPORT_INTERVAL_MANY_S / 2.0)
        self.assertEqual(missed, 0)

    def _own_engines_are_synced(self):
        if self.leader is None:
            return False
        planner = self.leader.fleet.duties.planners_by_service["assist"]
        engines = planner.pool.engines_by_name
        return all(name in engines and engines[name].is_synced for name in ("e1", "e2"))

    def _servers_are_known(self):
        return all(
            node.fleet.registry.find(name) is not None
            for node in self.nodes
            for name in ("e1", "e2", "d1", "d2")
        )
