"""Client connections of a controller to the other controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from mode import Service
from returns.result import Failure, Result

from .transport import Delivery, ResultCallback, WireClient, WireError


class PeerConnections(Service):
    """Holds one client per address, with at most one `send` in flight per address.

    Parameters
    ----------
    secret : bytes
        Shared secret of the instances.
    """

    def __init__(self, secret: bytes, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._secret = secret
        self._clients_by_address: dict[str, WireClient] = {}
        self._addresses_in_flight: set[str] = set()
        self._send_tasks: set[asyncio.Task[None]] = set()

    async def on_stop(self) -> None:
        """Close all connections."""
        for task in list(self._send_tasks):
            task.cancel()
        await asyncio.gather(*self._send_tasks, return_exceptions=True)
        for client in self._clients_by_address.values():
            await client.close()

    async def call(
        self, address: str, request: Any, timeout_s: float
    ) -> Result[Any, WireError]:
        """Send a request to the controller at an address and return the reply."""
        if not address:
            return Failure(WireError(Delivery.NOT_SENT, "no address"))
        return await self._client(address).call(request, timeout_s)

    def send(
        self,
        address: str,
        request: Any,
        timeout_s: float,
        on_result: ResultCallback,
    ) -> bool:
        """Send a request in the background unless one is in flight to the address.

        Returns
        -------
        bool
            Whether the request was started.
        """
        if address in self._addresses_in_flight:
            return False
        self._addresses_in_flight.add(address)

        def on_done(result: Result[Any, WireError]) -> None:
            self._addresses_in_flight.discard(address)
            on_result(result)

        if not self._client(address).post(request, timeout_s, on_done):
            task = asyncio.create_task(
                self._connect_and_send(address, request, timeout_s, on_done)
            )
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)
        return True

    async def _connect_and_send(
        self, address: str, request: Any, timeout_s: float, on_done: ResultCallback
    ) -> None:
        try:
            result = await self.call(address, request, timeout_s)
        except BaseException:
            self._addresses_in_flight.discard(address)
            raise
        on_done(result)

    async def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in self._clients_by_address.keys() - set(addresses):
            if address not in self._addresses_in_flight:
                await self._clients_by_address.pop(address).close()

    def _client(self, address: str) -> WireClient:
        client = self._clients_by_address.get(address)
        if client is None:
            client = WireClient(address, self._secret)
            self._clients_by_address[address] = client
        return client
