"""Tests of the HTTP server that the simulated backend servers share."""

import socket
import unittest

import aiohttp
from parameterized import parameterized

from sequoiafall.platform import names
from sequoiafall.standins.plain_service import PlainService

CONNECTIONS = 400


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Simultaneous connections must not wait 1 s for a SYN retransmission."""

    async def test_connections_that_wait_to_be_accepted(self):
        service = PlainService("127.0.0.1:0", "s1")
        await service.start()
        self.addAsyncCleanup(service.stop)
        host, _, port = service.address.rpartition(":")
        opened = []
        # The event loop is blocked and accepts no connection meanwhile.
        try:
            for _ in range(CONNECTIONS):
                opened.append(socket.create_connection((host, int(port)), timeout=0.5))
        finally:
            for connection in opened:
                connection.close()
        self.assertEqual(len(opened), CONNECTIONS)


class ReusedAddressTest(unittest.IsolatedAsyncioTestCase):
    """Tests run in parallel, and a server may get an address that was used before."""

    @parameterized.expand([("/state",), ("/cache-events",), (names.REPORT_PATH,)])
    async def test_poll_for_an_engine_uses_up_no_fault(self, path):
        """Such a poll is not recorded, so a consumed fault would be hard to explain."""
        service = PlainService("127.0.0.1:0", "s1")
        await service.start()
        self.addAsyncCleanup(service.stop)
        service.faults.close, service.faults.close_times = "after", 1
        url = f"http://{service.address}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url + path) as response:
                self.assertEqual(response.status, 404)
            with self.assertRaises(aiohttp.ServerDisconnectedError):
                await session.post(f"{url}/buy", data=b"x")
