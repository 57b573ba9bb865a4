"""Ends a connection so that its other end sees an error instead of a regular end."""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web

# Linger on, for 0 seconds: the kernel discards unsent data and sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def abort_response(request: web.BaseRequest) -> None:
    """Abort the response to a request so that the caller sees it as incomplete.

    The end of the chunks shows it to callers of HTTP/1.1. Callers of HTTP/1.0 need a
    reset, which may discard the last bytes that were sent.
    """
    if request.version < HttpVersion11:
        reset_connection(request.transport)
    elif request.transport is not None:
        request.transport.abort()


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """Close a connection with a reset.

    `asyncio.Transport.abort` alone ends it like a complete response without a length,
    such as a caller of HTTP/1.0 gets.
    """
    if not isinstance(transport, asyncio.WriteTransport) or transport.is_closing():
        return
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
