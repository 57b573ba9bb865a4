"""Tests of the port reservation for fleets of processes."""

import asyncio
import subprocess
import sys
import unittest

from bench import fleet

SEED = 7
COUNT = 20
RESERVE_IN_OTHER_PROCESS = f"""
from bench import fleet
fleet._ports.seed({SEED})
print(*[fleet.free_address() for _ in range({COUNT})])
"""


class FreeAddressTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that cannot bind the port that was chosen for it."""

    async def test_server_binds_reserved_port_twice(self):
        host, _, port = fleet.free_address().partition(":")
        for _ in range(2):
            server = await asyncio.start_server(lambda *_: None, host, int(port))
            server.close()
            await server.wait_closed()

    def test_other_process_reserves_other_ports(self):
        # With equal seeds, both processes try the same ports.
        fleet._ports.seed(SEED)
        own = [fleet.free_address() for _ in range(COUNT)]
        others = subprocess.check_output(
            [sys.executable, "-c", RESERVE_IN_OTHER_PROCESS], cwd=fleet.ROOT, text=True
        ).split()
        self.assertEqual(len(others), COUNT)
        self.assertFalse(set(own) & set(others))
