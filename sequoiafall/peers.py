"""Connections of a controller to the other controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from mode import Service
from returns.result import Failure, Result

from .transport import Delivery, ResultCallback, WireClient, WireError


class PeerLinks(Service):
    """One client per address, and at most one heartbeat in flight per address.

    Parameters
    ----------
    secret : bytes
        Shared secret of the instances.
    """

    def __init__(self, secret: bytes, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._secret = secret
        self._clients_by_address: dict[str, WireClient] = {}
        self._busy: set[str] = set()
        self._sends: set[asyncio.Task[None]] = set()

    async def on_stop(self) -> None:
        """Close all connections."""
        for task in list(self._sends):
            task.cancel()
        await asyncio.gather(*self._sends, return_exceptions=True)
        for client in self._clients_by_address.values():
            await client.close()

    async def call(
        self, address: str, request: Any, timeout_s: float
    ) -> Result[Any, WireError]:
        """Call the controller at an address."""
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
        """Call in the background unless such a call to the address is in flight.

        Returns
        -------
        bool
            Whether the call was started.
        """
        if address in self._busy:
            return False
        self._busy.add(address)

        def on_end(result: Result[Any, WireError]) -> None:
            self._busy.discard(address)
            on_result(result)

        if not self._client(address).post(request, timeout_s, on_end):
            task = asyncio.create_task(
                self._connect_and_send(address, request, timeout_s, on_end)
            )
            self._sends.add(task)
            task.add_done_callback(self._sends.discard)
        return True

    async def _connect_and_send(
        self, address: str, request: Any, timeout_s: float, on_end: ResultCallback
    ) -> None:
        try:
            result = await self.call(address, request, timeout_s)
        except BaseException:
            self._busy.discard(address)
            raise
        on_end(result)

    async def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the connections to other addresses."""
        for address in self._clients_by_address.keys() - set(addresses):
            if address not in self._busy:
                await self._clients_by_address.pop(address).close()

    def _client(self, address: str) -> WireClient:
        client = self._clients_by_address.get(address)
        if client is None:
            client = WireClient(address, self._secret)
            self._clients_by_address[address] = client
        return client
