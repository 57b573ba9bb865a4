"""Tests of the server that the stand-ins of backend servers share."""

import socket
import unittest

import aiohttp
from parameterized import parameterized

from sequoiafall.standins.plain_service import PlainService

CONNECTIONS = 400


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Callers that come at once do not wait for a repeated SYN, which takes 1 s."""

    async def test_connections_that_wait_to_be_accepted(self):
        service = PlainService("127.0.0.1:0", "s1")
        await service.start()
        self.addAsyncCleanup(service.stop)
        host, _, port = service.address.rpartition(":")
        opened = []
        # The event loop accepts nothing meanwhile.
        try:
            for _ in range(CONNECTIONS):
                opened.append(socket.create_connection((host, int(port)), timeout=0.5))
        finally:
            for connection in opened:
                connection.close()
        self.assertEqual(len(opened), CONNECTIONS)


class StrangerTest(unittest.IsolatedAsyncioTestCase):
    """Tests run beside each other, and an address is used again."""

    @parameterized.expand([("/state",), ("/cache-events",)])
    async def test_poll_for_an_engine_uses_up_no_fault(self, path):
        """It is not recorded either, so nobody would see why a fault was gone."""
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
