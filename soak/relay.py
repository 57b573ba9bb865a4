"""Loopback relay that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 64 * 1024


class FaultyRelay:
    """Carries connections to a target, with faults that can be switched on.

    Attributes
    ----------
    delay_s : float
        Added to each piece of data, in both directions.
    drops_up, drops_down : bool
        Whether data to, or from, the target vanishes.
    refuses : bool
        Whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.drops_up = self.drops_down = self.refuses = False
        self._server: asyncio.Server | None = None
        self._transports: set[asyncio.Transport] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen at a free port and return the address."""
        self._server = await asyncio.start_server(self._carry, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop to listen and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for transport in list(self._transports):
            transport.abort()

    def heal(self) -> None:
        """End all faults; connections that lost data are reset."""
        if self.drops_up or self.drops_down:
            self.reset()
        self.delay_s = 0.0
        self.drops_up = self.drops_down = self.refuses = False

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
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
                self._pump(reader, target_writer, "drops_up"),
                self._pump(target_reader, writer, "drops_down"),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._transports.discard(writer.transport)
            if target_writer is not None:
                self._transports.discard(target_writer.transport)
                target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, drops: str
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not getattr(self, drops):
                writer.write(data)
                await writer.drain()
        writer.close()
