"""Tests of a member's connection to the leader."""

import unittest

from sequoiafall.leader_link import MAX_PENDING_RELEASES, LeaderLink, ReleaseQueue
from sequoiafall.node_metrics import NodeMetrics
from sequoiafall.wire.gen import ttypes

from .gateway_case import capture_log


class ReleaseQueueTest(unittest.TestCase):
    """Releases of places are kept while no leader answers."""

    def test_queue_is_bounded_and_dropped_releases_are_logged(self):
        queue = ReleaseQueue(LeaderLink("127.0.0.1:1", b"secret", NodeMetrics()))
        with capture_log() as lines:
            for number in range(MAX_PENDING_RELEASES + 1):
                queue.add(ttypes.EngineEnd(request_id=f"r{number}", server="e1"))
        self.assertEqual(len(queue._pending), MAX_PENDING_RELEASES)
        (dropped,) = [line for line in lines if "event=end_dropped" in line]
        self.assertIn(f"request_id=r{MAX_PENDING_RELEASES} server=e1", dropped)


if __name__ == "__main__":
    unittest.main()
