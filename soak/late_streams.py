"""Streams at the slowest sound pace that callers send to nodes that are stopping.

They have a random generator of their own, so that seeds of earlier versions choose
the other faults and requests as before.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from .calls import Call
from .configuration import KEYS_BY_ORGANISATION, STREAM_ROUTES

if TYPE_CHECKING:
    import aiohttp

    from .run import Soak

# Paths on which servers stream at the slowest pace: 0.1 s a token.
SLOW_PATH = "slow"
TOKENS_PER_EVENT = 7
SLOW_INTERVAL_S = 0.7
SLOW_EVENTS = 5
# Grace periods of the stops, in seconds.
GRACES_S = (4, 8)
# Callers use a response of the directory for up to 4.5 s after a stop.
LATEST_SEND_S = 4.6
MAX_INTERVAL_S = 0.4
# Connections that were opened before the stop and kept.
KEPT_CONNECTIONS = 3


class LateStreams:
    """Sends streams to nodes after their signal.

    Parameters
    ----------
    soak : Soak
        Run whose nodes are stopped.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._random = random.Random(f"{soak.seed} late streams")

    def choose_grace_s(self) -> int:
        """Return the grace period of the next stop in seconds."""
        return self._random.choice(GRACES_S)

    async def open_connections(self, session: aiohttp.ClientSession, node: int) -> None:
        """Open connections to a node, which the session keeps."""
        calls = (self._call(node, "look", "x") for _ in range(KEPT_CONNECTIONS))
        await asyncio.gather(*(self._soak.make_call(session, call) for call in calls))

    async def send(
        self,
        session: aiohttp.ClientSession,
        node: int,
        process: asyncio.subprocess.Process,
    ) -> None:
        """Send streams to a stopping node, until it ends or callers know of the stop.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Sends the requests.
        node : int
            Number of the node.
        process : asyncio.subprocess.Process
            Its process, which has got the signal.
        """
        end_at = time.monotonic() + LATEST_SEND_S
        tasks = []
        while time.monotonic() < end_at and process.returncode is None:
            route = self._random.choice(sorted(STREAM_ROUTES))
            call = self._call(node, route, SLOW_PATH)
            tasks.append(asyncio.create_task(self._soak.make_call(session, call)))
            await asyncio.sleep(self._random.uniform(0.0, MAX_INTERVAL_S))
        await asyncio.gather(*tasks)

    def _call(self, node: int, route: str, path: str) -> Call:
        request_id = f"l{self._soak.seed}-{next(self._soak.late_numbers)}"
        headers: dict[str, str] = {}
        if route in STREAM_ROUTES:
            adapter = f"a{self._random.randint(1, 3)}"
            headers = self._soak.stream_headers(
                adapter, f"{request_id}:800", SLOW_EVENTS * TOKENS_PER_EVENT
            )
        organisation, key = next(iter(KEYS_BY_ORGANISATION.items()))
        return Call(
            request_id,
            node,
            route,
            organisation,
            key,
            f"/{route}/{path}",
            "GET" if route == "look" else "POST",
            b"" if route == "look" else b"b",
            headers,
        )
