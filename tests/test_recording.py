"""Tests of the server that the stand-ins of backend servers share."""

import socket
import unittest

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
