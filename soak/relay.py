"""Loopback TCP relay that delays, drops or resets the data it forwards."""

from __future__ import annotations

import asyncio

from sequoiafall.connection_reset import reset_connection

CHUNK_BYTES = 64 * 1024


class FaultyRelay:
    """Forwards connections to a target, with faults that can be switched on.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk of data, in both directions, in seconds.
    drops_up, drops_down : bool
        Whether data to the target, or from it, is discarded.
    refuses : bool
        Whether new connections are reset at once.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.drops_up = self.drops_down = self.refuses = False
        self._server: asyncio.Server | None = None
        self._transports: set[asyncio.Transport] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._forward, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    def close_port(self) -> None:
        """Refuse connections, as the host of a target that is down does."""
        assert self._server is not None
        self._server.close()

    async def open_port(self) -> None:
        """Accept connections again at the same address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._forward, host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for transport in list(self._transports):
            reset_connection(transport)

    def clear_faults(self) -> None:
        """Clear all faults, and reset connections that may have lost data."""
        if self.drops_up or self.drops_down:
            self.reset()
        self.delay_s = 0.0
        self.drops_up = self.drops_down = self.refuses = False

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            reset_connection(writer.transport)
            return
        host, _, port = self.target.rpartition(":")
        self._transports.add(writer.transport)
        target_writer: asyncio.StreamWriter | None = None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._transports.add(target_writer.transport)
            await asyncio.gather(
                self._copy(reader, target_writer, "drops_up"),
                self._copy(target_reader, writer, "drops_down"),
            )
        except (OSError, asyncio.CancelledError):
            # A reset is passed on: a regular end may complete an answer.
            reset_connection(writer.transport)
        finally:
            self._transports.discard(writer.transport)
            if target_writer is not None:
                self._transports.discard(target_writer.transport)
                target_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drops_attribute: str,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not getattr(self, drops_attribute):
                writer.write(data)
                await writer.drain()
        writer.close()
