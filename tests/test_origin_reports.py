"""Unit tests of what instances tell a leader of streams."""

import unittest

from sequoiafall.origin_reports import MAX_ORIGINS_PER_MESSAGE, OriginReports
from sequoiafall.stream_versions import StreamOrigin, StreamVersions

NOW = 100.0


def origin(number, expires_at=NOW + 10.0):
    """Return the origin of a stream."""
    return StreamOrigin(number.to_bytes(8, "big"), "assist", "v1", expires_at)


class OriginReportsTest(unittest.TestCase):
    """Each leader is told once of each stream that it may not know."""

    def setUp(self):
        self.versions = StreamVersions()
        self.reports = OriginReports(self.versions)

    def record(self, *origins):
        for row in origins:
            self.versions.record(row.key, row.service, row.software, row.expires_at)

    def test_new_leader_is_told_all(self):
        """Guards against streams that only one instance knows."""
        origins = [origin(number) for number in range(2 * MAX_ORIGINS_PER_MESSAGE + 1)]
        self.record(*origins)
        self.reports.begin(NOW)
        told = [self.reports.take(NOW) for _ in range(4)]
        self.assertEqual(
            [len(row) for row in told],
            [MAX_ORIGINS_PER_MESSAGE, MAX_ORIGINS_PER_MESSAGE, 1, 0],
        )
        self.assertEqual([row for rows in told for row in rows], origins)

    def test_unconfirmed_origins_are_told_again(self):
        self.reports.add_alone(origin(1))
        self.reports.add_alone(origin(2))
        self.reports.put_back(self.reports.take(NOW))
        self.assertEqual(self.reports.take(NOW), [origin(1), origin(2)])
        self.assertEqual(self.reports.take(NOW), [])

    def test_expired_origins_are_left_out(self):
        self.record(origin(1, NOW), origin(2))
        self.reports.begin(NOW)
        self.reports.add_alone(origin(3, NOW - 1.0))
        self.assertEqual(self.reports.take(NOW), [origin(2)])

    def test_next_leader_is_told_again(self):
        """What one leader has confirmed, the next one does not know."""
        self.record(origin(1))
        for _ in range(2):
            self.reports.begin(NOW)
            self.assertEqual(self.reports.take(NOW), [origin(1)])
