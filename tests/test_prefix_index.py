"""Tests of the prefix index."""

import unittest

from parameterized import parameterized

from sequoiafall.prefix_index import (
    ENTRY_TTL_S,
    MAX_ENTRIES_PER_SERVER,
    CacheEvent,
    PrefixIndex,
    prefix_hashes,
)

PROMPT = " ".join(f"w{number}" for number in range(40))


def stored(*hashes, start=1):
    """Return events that store blocks."""
    return [CacheEvent(start + n, True, value) for n, value in enumerate(hashes)]


class PrefixHashesTest(unittest.TestCase):
    """Equal prefixes must have equal hashes; different ones must differ."""

    def test_common_prefix(self):
        hashes = prefix_hashes(PROMPT, "a")
        longer = prefix_hashes(PROMPT + " x" * 20, "a")
        self.assertEqual(len(hashes), 2)
        self.assertEqual(longer[:2], hashes)
        self.assertFalse(set(hashes) & set(prefix_hashes(PROMPT, "b")))
        self.assertTrue(all(-(2**63) <= value < 2**63 for value in hashes))


class PrefixIndexTest(unittest.TestCase):
    """The index must apply events and drop entries that may be stale."""

    def setUp(self):
        self.index = PrefixIndex()
        self.index.on_events("s", 1, stored(11, 12, 13), 0.0)

    @parameterized.expand(
        [
            ("all", [11, 12, 13], 1.0, 3),
            ("shorter", [11, 12, 99], 1.0, 2),
            ("none", [99], 1.0, 0),
            ("aged", [11], ENTRY_TTL_S, 0),
        ]
    )
    def test_blocks(self, _name, hashes, now, expected):
        self.assertEqual(self.index.cached_blocks("s", hashes, now), expected)

    def test_gap_drops_the_server(self):
        """Guards against stale blocks whose removal event was lost."""
        self.assertFalse(self.index.on_events("s", 1, stored(15, start=5), 1.0))
        self.assertEqual(self.index.cached_blocks("s", [11], 1.0), 0)
        self.index.resynchronise("s", 1, [11, 15], 5, 1.0)
        self.assertTrue(self.index.on_events("s", 1, stored(16, start=6), 1.0))
        self.assertEqual(self.index.cached_blocks("s", [11, 16], 1.0), 2)

    def test_late_events_are_ignored(self):
        """Guards against an old event that undoes a newer one."""
        self.index.on_events("s", 1, [CacheEvent(4, False, 12)], 1.0)
        self.index.on_events("s", 1, stored(12, start=2), 1.0)
        self.assertEqual(self.index.cached_blocks("s", [12], 1.0), 0)

    def test_new_incarnation_starts_empty(self):
        """Guards against hits on blocks that were cached before a restart."""
        self.index.on_events("s", 2, stored(20), 1.0)
        self.assertEqual(self.index.cached_blocks("s", [11], 1.0), 0)
        self.assertEqual(self.index.cached_blocks("s", [20], 1.0), 1)

    def test_memory_is_bounded(self):
        """Guards against memory use that grows with every prompt."""
        self.index.on_placed("s", range(100, 100 + 2 * MAX_ENTRIES_PER_SERVER), 1.0)
        entries = self.index._entries_by_server["s"]
        self.assertEqual(len(entries.seen_at_by_hash), MAX_ENTRIES_PER_SERVER)
