"""Writes an answer to a caller, with back-pressure and a check per write."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from .calls import RunningCall

# A write may exceed this once by what was received at a time.
WRITE_BUFFER_BYTES = 8 * 1024

# What the socket holds still reaches a caller whose key is withdrawn meanwhile.
SOCKET_BUFFER_BYTES = 16 * 1024

# A caller that takes nothing for this long holds a place that others wait for.
CALLER_STALL_TIMEOUT_S = 60.0


class StalledCallerError(ConnectionError):
    """The caller has stopped reading."""


class CallerStream:
    """The answer to one call.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    call : RunningCall
        Says whether bytes may be forwarded.
    """

    __slots__ = ("_call", "_request", "_response", "_transport", "_writer")

    def __init__(self, request: web.Request, call: RunningCall) -> None:
        self._request = request
        self._call = call
        self._response: web.StreamResponse | None = None
        self._transport: asyncio.Transport | None = None
        self._writer: AbstractStreamWriter | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once it has begun."""
        return self._response

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and the headers.

        Raises
        ------
        RefusedError
            If the key no longer works.
        """
        await self._call.wait_writable()
        response = web.StreamResponse(status=status, headers=dict(headers))
        transport = self._request.transport
        if isinstance(transport, asyncio.Transport):
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            self._transport = transport
            opened = transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        self._response = response
        self._writer = await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Forward bytes and wait until the caller has taken most of them.

        Raises
        ------
        RefusedError
            If the key no longer works.
        ConnectionError
            If the caller has closed the connection or reads nothing.
        """
        await self._call.wait_writable()
        await self.write_unchecked(data)

    async def write_unchecked(self, data: bytes) -> None:
        """Write bytes of the gateway itself, such as an error."""
        assert self._response is not None
        await self._response.write(data)
        transport = self._transport
        if (
            transport is None
            or self._writer is None
            or transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES
        ):
            return
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self._writer.drain()
        except TimeoutError as error:
            raise StalledCallerError("the caller does not read") from error

    async def end(self, data: bytes = b"") -> None:
        """Finish the answer, with last bytes that the gateway vouches for."""
        assert self._response is not None
        await self._response.write_eof(data)

    def abort(self) -> None:
        """Close the connection, so that the answer is not taken for whole."""
        if self._transport is not None:
            self._transport.abort()
