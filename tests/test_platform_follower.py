"""Tests of how a controller follows the state of the platform."""

import unittest

from sequoiafall.commits import Committer
from sequoiafall.coordinator import Coordinator, resources_in
from sequoiafall.edits import EditRequest, RowEdit
from sequoiafall.platform_follower import PlatformFollower
from sequoiafall.wire.gen.ttypes import Change, Head, Member, View

from .fake_table import OUTAGE, STALE, FakeTable

VALUES = {"rate": 1000, "burst": 500}


class PlatformFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Stale reads and missing changes neither extend freshness nor change the state."""

    async def asyncSetUp(self):
        self.table = FakeTable()
        self.other = Committer(self.table)
        member = Member("a", 1, "z", "a:1", [])
        self.coordinator = Coordinator(member, resources_in, 0.0)
        self.follower = PlatformFollower(
            self.table, Committer(self.table), self.coordinator
        )

    async def commit(self, name):
        edits = [RowEdit("organisation", name, VALUES)]
        seen = self.other.reader.head.revision
        return (await self.other.edit(EditRequest(seen, "test", edits))).unwrap()

    async def test_follows_edits_of_others(self):
        for name in ("x", "y"):
            await self.commit(name)
            await self.follower.poll()
        self.assertEqual(self.coordinator.revision, 2)
        names = set(self.coordinator.follower.state.organisations_by_name)
        self.assertEqual(names, {"x", "y"})
        self.assertTrue(self.coordinator.freshness.has_recovered())

    async def test_stale_read_is_no_evidence(self):
        await self.commit("x")
        await self.follower.poll()
        before = self.coordinator.freshness.fresh_until()
        await self.commit("y")
        self.table.script = [STALE]
        await self.follower.poll()
        self.assertEqual(self.coordinator.revision, 1)
        self.assertEqual(self.coordinator.freshness.fresh_until(), before)

    async def test_outage_is_recorded(self):
        await self.follower.poll()
        self.assertTrue(self.follower.available)
        self.table.script = [OUTAGE]
        await self.follower.poll()
        self.assertFalse(self.follower.available)

    async def test_change_that_was_not_written_is_not_applied(self):
        await self.commit("x")
        await self.follower.poll()
        commit = await self.commit("y")
        unchanged = Change(2, "other", "test", 0, [])
        await self.follower.apply_commit(commit.head, unchanged)
        self.assertNotEqual(self.coordinator.revision, 2)
        await self.follower.poll()
        self.assertIn("y", self.coordinator.follower.state.organisations_by_name)

    async def test_gap_is_closed_from_the_platform(self):
        for name in ("x", "y", "z"):
            commit = await self.commit(name)
        await self.follower.catch_up()
        self.assertEqual(self.coordinator.revision, 3)
        ahead = Head(5, View(0, []), [])
        await self.follower.apply_commit(ahead, Change(5, "o", "t", 0, []))
        self.assertEqual(self.coordinator.head, commit.head)
        self.assertTrue(self.coordinator.freshness.is_behind())


if __name__ == "__main__":
    unittest.main()
