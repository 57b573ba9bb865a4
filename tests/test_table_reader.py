"""Tests of reading the table while it changes."""

import asyncio
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Failure

from sequoiafall import table_reader
from sequoiafall.commits import Committer
from sequoiafall.edits import EditRequest, RowEdit
from sequoiafall.store_results import Stale, Unavailable
from sequoiafall.table_reader import TableReader

from .fake_table import OK, STALE, FakeTable

EDITS = st.lists(
    st.tuples(st.sampled_from("abcdef"), st.none() | st.integers(1, 5)),
    min_size=1,
    max_size=12,
)


LAGS = st.integers(1, 40)


class TableReaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a state that mixes rows of different revisions."""

    def setUp(self):
        self.table = FakeTable()

    async def commit(self, edits) -> None:
        """Commit the edits one by one, ignoring those that are refused."""
        committer = Committer(self.table)
        for number, (name, rate) in enumerate(edits):
            values = None if rate is None else {"rate": rate, "burst": 1}
            edit = RowEdit("organisation", name, values)
            seen = committer.reader.head.revision
            await committer.edit(EditRequest(seen, "liga", [edit], f"op{number}"))

    @settings(derandomize=True, deadline=None)
    @given(EDITS, EDITS, st.integers(0, 10))
    def test_snapshot_during_commits(self, before, during, delay):
        asyncio.run(self.check_snapshot(before, during, delay))

    async def check_snapshot(self, before, during, delay):
        self.table = FakeTable()
        await self.commit(before)
        reader = TableReader(self.table)
        with mock.patch.object(table_reader, "SCAN_LIMIT", 2):
            commits = asyncio.create_task(self.commit([*before, *during]))
            for _ in range(delay):
                await asyncio.sleep(0)
            # A head older than the rows is refused, and read again.
            while isinstance(await reader.catch_up(), Failure):
                pass
            states = [(reader.state.revision, dict(reader.state.organisations_by_name))]
            await commits
            (await reader.catch_up()).unwrap()
        states.append((reader.state.revision, reader.state.organisations_by_name))
        for revision, organisations in states:
            self.assertEqual(organisations, self.replay(revision))

    @settings(derandomize=True, deadline=None)
    @given(EDITS, st.lists(st.sampled_from([OK, STALE]), max_size=30), LAGS)
    def test_stale_scan(self, edits, script, staleness):
        """A key read before its withdrawal would work on at this instance."""
        asyncio.run(self.check_stale_scan(edits, script, staleness))

    async def check_stale_scan(self, edits, script, staleness):
        self.table = FakeTable(staleness=staleness)
        await self.commit(edits)
        self.table.script = list(script)
        reader = TableReader(self.table)
        with mock.patch.object(table_reader, "SCAN_LIMIT", 2):
            while isinstance(await reader.catch_up(), Failure):
                pass
        expected = self.replay(reader.head.revision)
        self.assertEqual(reader.state.organisations_by_name, expected)

    def replay(self, revision) -> dict:
        """Return the organisations after the stored changes up to a revision."""
        state = table_reader.TableState()
        for row in self.table.store.scan("change/", "", revision):
            state.apply(table_reader.decode_change(row["value"]))
        return state.organisations_by_name

    async def test_missing_change_is_stale(self):
        await self.commit([("a", 1), ("a", 2)])
        reader = TableReader(self.table)
        (await reader.catch_up()).unwrap()
        self.table.staleness = 100
        self.table.script = [STALE]
        result = await reader.changes(0, 2)
        self.assertIsInstance(result.failure(), Stale)

    async def test_rows_newer_than_the_head_are_not_shown(self):
        await self.commit([("a", 1)])
        self.table.staleness = self.table.calls
        await self.commit([("a", 1), ("a", 2)])
        self.table.staleness = self.table.calls - self.table.staleness
        self.table.script = [STALE, OK, OK, STALE]
        reader = TableReader(self.table)
        self.assertIsInstance((await reader.catch_up()).failure(), Stale)
        self.assertEqual((await reader.catch_up()).unwrap().revision, 2)

    async def test_older_head_is_ignored(self):
        await self.commit([("a", 1), ("a", 2)])
        reader = TableReader(self.table)
        (await reader.catch_up()).unwrap()
        self.table.staleness = 5
        self.table.script = [STALE]
        self.assertEqual((await reader.catch_up()).unwrap().revision, 2)

    @parameterized.expand(
        [
            ("head", "head", {"revision": 1}),
            ("row", "row/organisation/a", {"revision": 1, "values": {"rate": "x"}}),
            ("row_value", "row/organisation/a", {}),
            ("kind", "row/color/a", {"revision": 1, "values": {}}),
        ]
    )
    async def test_malformed_row_is_an_error(self, _name, key, value):
        self.table.store.transaction([], [{"key": key, "value": value}], "op", 0)
        result = await TableReader(self.table).catch_up()
        self.assertIsInstance(result.failure(), Unavailable)


if __name__ == "__main__":
    unittest.main()
