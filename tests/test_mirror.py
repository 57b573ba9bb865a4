"""Tests of the replica of the store's tables."""

import itertools
import unittest

from parameterized import parameterized

from sequoiafall.mirror import Mirror
from sequoiafall.row_store import Rows, StoreRow


def row(key, version, deleted=False):
    """Return a row."""
    return StoreRow("t", key, str(version).encode(), version, deleted)


class MirrorTest(unittest.TestCase):
    """The newest version of a row wins, whatever its source."""

    @parameterized.expand(
        list(enumerate(itertools.permutations([1, 2, 3]))), name_func=None
    )
    def test_order_of_arrival_does_not_matter(self, _number, versions):
        seen = []
        mirror = Mirror(lambda r: seen.append(r) is None)
        for version in versions:
            mirror.apply([row("k", version)])
        self.assertEqual(mirror.rows("t"), [row("k", 3)])
        self.assertEqual(sorted(r.version for r in seen), [r.version for r in seen])

    def test_scan_removes_missing_rows_and_keeps_newer_ones(self):
        """A scan that began before a row was written must not remove it."""
        mirror = Mirror(lambda _row: True)
        mirror.apply([row("old", 1), row("new", 9)])
        mirror.apply_scan("t", Rows([row("kept", 2)], 5))
        self.assertEqual({r.key for r in mirror.rows("t")}, {"kept", "new"})

    def test_deleted_row_is_not_restored(self):
        mirror = Mirror(lambda _row: True)
        mirror.apply([row("k", 1), row("k", 3, deleted=True), row("k", 2)])
        self.assertEqual(mirror.rows("t"), [])

    def test_members_get_only_changed_rows(self):
        mirror = Mirror(lambda _row: True)
        mirror.apply([row("a", 1), row("b", 2)])
        revision = mirror.revision
        mirror.apply([row("a", 3)])
        self.assertEqual(mirror.since_revision(revision), [row("a", 3)])
        self.assertEqual(mirror.since_revision(mirror.revision), [])

    def test_leader_that_cannot_reach_the_store_gets_newer_rows(self):
        mirror = Mirror(lambda _row: True)
        mirror.apply([row("a", 1), row("b", 5)])
        self.assertEqual(mirror.newer_than({"t": 3}, ["t"]), [row("b", 5)])

    def test_rows_that_only_the_leader_needs_are_not_sent(self):
        """Backend servers write several times a second, and 119 members read them."""
        mirror = Mirror(lambda r: r.key != "beat")
        mirror.apply([row("beat", 1), row("b", 2)])
        self.assertEqual(mirror.since_revision(0), [row("b", 2)])
        self.assertEqual(mirror.newer_than({}, ["t"]), [row("b", 2)])
