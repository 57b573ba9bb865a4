"""Tests of a member's link to the leader."""

import unittest

from sequoiafall.leader_link import MAX_PENDING_RELEASES, LeaderLink, ReleaseQueue
from sequoiafall.node_metrics import NodeMetrics
from sequoiafall.wire.gen import ttypes

from .gateway_case import capture_log


class PlaceEndsTest(unittest.TestCase):
    """Ends wait while no leader answers."""

    def test_what_is_kept_is_bounded_and_the_rest_is_named(self):
        ends = ReleaseQueue(LeaderLink("127.0.0.1:1", b"secret", NodeMetrics()))
        with capture_log() as lines:
            for number in range(MAX_PENDING_RELEASES + 1):
                ends.add(ttypes.EngineEnd(request_id=f"r{number}", server="e1"))
        self.assertEqual(len(ends._pending), MAX_PENDING_RELEASES)
        (dropped,) = [line for line in lines if "event=end_dropped" in line]
        self.assertIn(f"request_id=r{MAX_PENDING_RELEASES} server=e1", dropped)


if __name__ == "__main__":
    unittest.main()
