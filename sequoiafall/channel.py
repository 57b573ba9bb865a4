"""Authenticated connections that carry frames in both directions.

A connection starts with a mutual challenge and response keyed by the shared secret.
Each frame carries a keyed BLAKE2b tag that covers its content and a sequence number,
so frames cannot be forged, replayed or reordered. The content is not encrypted.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import os
import socket
import struct
import zlib
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

PROTOCOL_VERSION = 1
# Frames that declare a larger length are rejected before memory is allocated.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Longer payloads are compressed. A snapshot of 12,000 adapters exceeds a frame
# otherwise, but its rows are similar and compress well; a configuration of 20 KB is
# sent to each of some 100 instances.
MAX_UNCOMPRESSED_BYTES = 4 * 1024
MAX_PAYLOAD_BYTES = 16 * MAX_FRAME_BYTES
# A connection with more unsent data than this is aborted, which bounds memory.
MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES
# After a network partition, TCP would wait up to two minutes before it retransmits.
# Dropping the connection lets the next call open a new one.
UNACKNOWLEDGED_TIMEOUT_S = 2
TAG_BYTES = 16
NONCE_BYTES = 16

_MAGIC = b"SQFL"
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">BBQ")
_SEQUENCE = struct.Struct(">Q")
_MIN_LENGTH = _HEADER.size + TAG_BYTES
_HELLO_BYTES = len(_MAGIC) + 1 + NONCE_BYTES
COMPRESSED = 0x20
FAULT = 0x80


class MalformedInputError(ValueError):
    """A peer sent an invalid frame, message or challenge."""


def _make_shared_protocol() -> TCompactProtocolAccelerated | None:
    try:
        return TCompactProtocolAccelerated(
            TMemoryBuffer(), string_length_limit=MAX_PAYLOAD_BYTES, fallback=False
        )
    except ImportError:
        return None


# Creating a protocol object costs more than encoding a small struct. One object can
# be shared because the library's C codec keeps no state in it, unlike the Python one.
_shared_protocol = _make_shared_protocol()


def _protocol_for(
    buffer: TMemoryBuffer, container_length_limit: int | None = None
) -> TCompactProtocolAccelerated:
    if _shared_protocol is None:
        return TCompactProtocolAccelerated(
            buffer,
            string_length_limit=MAX_PAYLOAD_BYTES,
            container_length_limit=container_length_limit,
        )
    _shared_protocol.trans = buffer
    _shared_protocol.container_length_limit = container_length_limit
    return _shared_protocol


def encode_struct(message: Any) -> bytes:
    """Encode a thrift struct with the compact protocol."""
    buffer = TMemoryBuffer()
    message.write(_protocol_for(buffer))
    return buffer.getvalue()


def decode_struct(struct_type: type, payload: bytes) -> Any:
    """Decode a thrift struct that takes up the whole payload.

    Raises
    ------
    MalformedInputError
        If the payload is not exactly one struct of this type.
    """
    message = struct_type()
    buffer = TMemoryBuffer(payload)
    # The limits prevent a declared length from allocating more than the payload.
    try:
        message.read(_protocol_for(buffer, container_length_limit=len(payload)))
    except Exception as error:
        raise MalformedInputError(f"not a {struct_type.__name__}") from error
    if buffer.cstringio_buf.tell() != len(payload):
        raise MalformedInputError(f"bytes after a {struct_type.__name__}")
    return message


def _keyed_digest(key: bytes, *parts: bytes, size: int = TAG_BYTES) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=size)
    for part in parts:
        digest.update(part)
    return digest.digest()


def _base_key(secret: bytes) -> bytes:
    # BLAKE2b accepts keys of at most 64 bytes; the secret may be longer.
    return hashlib.blake2b(secret, digest_size=32, person=b"sequoiafall").digest()


def remote_address(writer: asyncio.StreamWriter) -> str:
    """Return the ``host:port`` of the remote end."""
    host, port = (writer.get_extra_info("peername") or ("unknown", 0))[:2]
    return f"{host}:{port}"


def _set_socket_options(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        ("TCP_USER_TIMEOUT", UNACKNOWLEDGED_TIMEOUT_S * 1000),
        ("TCP_KEEPIDLE", 1),
        ("TCP_KEEPINTVL", 1),
    ):
        if hasattr(socket, option):
            number = getattr(socket, option)
            connection.setsockopt(socket.IPPROTO_TCP, number, value)


class Channel:
    """An authenticated connection that sends and receives frames."""

    __slots__ = (
        "_peer",
        "_read_key",
        "_read_sequence",
        "_reader",
        "_write_key",
        "_write_sequence",
        "_writer",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        read_key: bytes,
        write_key: bytes,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._read_key = read_key
        self._write_key = write_key
        self._read_sequence = 0
        self._write_sequence = 0
        self._peer = remote_address(writer)
        _set_socket_options(writer.get_extra_info("socket"))

    @property
    def peer(self) -> str:
        """``host:port`` of the remote end."""
        return self._peer

    def send(self, kind: int, correlation_id: int, payload: bytes) -> bool:
        """Queue a frame for sending; return False if none of it will be sent."""
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if len(payload) > MAX_UNCOMPRESSED_BYTES:
            payload = zlib.compress(payload, 1)
            kind |= COMPRESSED
        length = _MIN_LENGTH + len(payload)
        if length > MAX_FRAME_BYTES:
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return False
        header = _HEADER.pack(PROTOCOL_VERSION, kind, correlation_id)
        sequence = _SEQUENCE.pack(self._write_sequence)
        tag = _keyed_digest(self._write_key, sequence, header, payload)
        self._write_sequence += 1
        self._writer.write(b"".join((_LENGTH.pack(length), header, payload, tag)))
        return True

    async def receive(self) -> tuple[int, int, bytes]:
        """Return the kind, correlation number and payload of the next frame.

        Raises
        ------
        MalformedInputError
            If the frame is not valid.
        asyncio.IncompleteReadError, ConnectionError
            If the connection was closed or lost.
        """
        (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
        if not _MIN_LENGTH <= length <= MAX_FRAME_BYTES:
            raise MalformedInputError(f"frame length {length}")
        frame = await self._reader.readexactly(length)
        sequence = _SEQUENCE.pack(self._read_sequence)
        self._read_sequence += 1
        body, tag = frame[:-TAG_BYTES], frame[-TAG_BYTES:]
        if not hmac.compare_digest(tag, _keyed_digest(self._read_key, sequence, body)):
            raise MalformedInputError("wrong tag")
        version, kind, correlation_id = _HEADER.unpack_from(body)
        if version != PROTOCOL_VERSION:
            raise MalformedInputError(f"protocol version {version}")
        payload = body[_HEADER.size :]
        if kind & COMPRESSED and kind < FAULT:
            return kind & ~COMPRESSED, correlation_id, _decompress(payload)
        return kind, correlation_id, payload

    def close(self) -> None:
        """Close the connection without waiting for it to end."""
        self._writer.close()


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(payload, MAX_PAYLOAD_BYTES)
    except zlib.error as error:
        raise MalformedInputError("not a compressed payload") from error
    if not decompressor.eof or decompressor.unused_data:
        raise MalformedInputError("incomplete or too long compressed payload")
    return result


def _encode_hello(nonce: bytes) -> bytes:
    return _MAGIC + bytes([PROTOCOL_VERSION]) + nonce


def _parse_hello(hello: bytes) -> bytes:
    if hello[: len(_MAGIC)] != _MAGIC:
        raise MalformedInputError("no challenge")
    if hello[len(_MAGIC)] != PROTOCOL_VERSION:
        raise MalformedInputError(f"protocol version {hello[len(_MAGIC)]}")
    return hello[len(_MAGIC) + 1 :]


async def accept_channel(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes
) -> Channel:
    """Authenticate a connection as the server.

    Raises
    ------
    MalformedInputError
        If the challenge is malformed or the client does not know the secret.
    """
    base = _base_key(secret)
    client_nonce = _parse_hello(await reader.readexactly(_HELLO_BYTES))
    server_nonce = os.urandom(NONCE_BYTES)
    nonces = client_nonce + server_nonce
    writer.write(
        _encode_hello(server_nonce) + _keyed_digest(base, b"server proof", nonces)
    )
    proof = await reader.readexactly(TAG_BYTES)
    if not hmac.compare_digest(proof, _keyed_digest(base, b"client proof", nonces)):
        raise MalformedInputError("wrong proof of the shared secret")
    return Channel(
        reader,
        writer,
        read_key=_keyed_digest(base, b"client frames", nonces, size=32),
        write_key=_keyed_digest(base, b"server frames", nonces, size=32),
    )


async def open_channel(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes
) -> Channel:
    """Authenticate a connection as the client.

    Raises
    ------
    MalformedInputError
        If the challenge is malformed or the server does not know the secret.
    """
    base = _base_key(secret)
    client_nonce = os.urandom(NONCE_BYTES)
    writer.write(_encode_hello(client_nonce))
    server_nonce = _parse_hello(await reader.readexactly(_HELLO_BYTES))
    nonces = client_nonce + server_nonce
    proof = await reader.readexactly(TAG_BYTES)
    if not hmac.compare_digest(proof, _keyed_digest(base, b"server proof", nonces)):
        raise MalformedInputError("wrong proof of the shared secret")
    writer.write(_keyed_digest(base, b"client proof", nonces))
    return Channel(
        reader,
        writer,
        read_key=_keyed_digest(base, b"server frames", nonces, size=32),
        write_key=_keyed_digest(base, b"client frames", nonces, size=32),
    )
