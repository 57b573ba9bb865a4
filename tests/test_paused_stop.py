"""Tests of a process that is suspended while it is being stopped."""

import asyncio
import socket
import time

from sequoiafall.platform import names

from .events import until
from .platform_case import KEY, PlatformCase

# More than are accepted in one turn of the event loop.
CONNECTIONS = 150
SUSPENSION_S = 1.5
READ_TIMEOUT_S = 10.0


def read_response(connection):
    """Return what a connection receives until its end, with the error if any."""
    received = b""
    connection.settimeout(READ_TIMEOUT_S)
    try:
        while data := connection.recv(65536):
            received += data
            if received.endswith(b"}"):
                break
    except OSError as error:
        return f"{received[:40]!r} {type(error).__name__}"
    return received[:40].decode()


class WaitingConnectionsTest(PlatformCase):
    """Connections that wait to be accepted get an answer before the listener ends.

    Closing the listener resets them, with the requests that they have sent.
    """

    async def test_process_that_wakes_at_the_end_of_its_stop(self):
        (node,) = await self.start_fleet(1)
        host, _, port = node.settings.front_address.rpartition(":")
        stop = asyncio.create_task(node.stop())
        await until(lambda: node.fleet.is_leaving)
        connections = []
        for number in range(CONNECTIONS):
            connection = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
            self.addCleanup(connection.close)
            head = (
                "GET /look/x HTTP/1.1\r\nHost: shop.example\r\n"
                f"{names.REQUEST_ID}: waiting-{number}\r\n"
                f"{names.DEADLINE_MS}: 4000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
            )
            connection.sendall(head.encode())
            connections.append(connection)
        # The event loop stands still, as in a suspended process.
        time.sleep(SUSPENSION_S)  # noqa: ASYNC251
        responses = await asyncio.gather(
            *(asyncio.to_thread(read_response, row) for row in connections)
        )
        await stop
        unanswered = [row for row in responses if not row.startswith("HTTP/1.1 503")]
        self.assertEqual(unanswered, [])
