"""Validates and orders the pieces of an engine's event stream.

An engine sends server-sent events whose ``id`` is ``<request id>:<offset>``.
The offset counts the pieces of the response from 0; a piece is the text of one token.
The final event ``[DONE]`` carries the number of pieces as its offset, so that a
missing piece is detected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .refusal import Reason, Refusal, RunStatus

REQUEST_ID_HEADER = "X-Request-Id"
ADAPTER_HEADER = "X-Adapter"
VERSION_HEADER = "X-Adapter-Version"

EVENT_END = b"\n\n"
DATA_LINE = b"\ndata: "
MOVED_EVENT = b"event: moved"
DONE = b"[DONE]"

# Limit of out-of-order pieces, and of an incomplete event, per stream. Together with
# the buffers on both sides a stream uses at most 64 KiB.
MAX_BUFFERED_BYTES = 8 * 1024


@dataclass(slots=True, frozen=True)
class Piece:
    """One piece of a response: its offset and the JSON payload."""

    offset: int
    data: bytes


@dataclass(slots=True)
class RelayCounts:
    """Number of pieces dropped, by cause, and of pieces held back for reordering.

    Attributes
    ----------
    duplicate : int
        Pieces received more than once.
    crossed : int
        Pieces that belong to another request or attempt.
    malformed : int
        Events that could not be parsed.
    held : int
        Pieces that arrived ahead of an earlier one.
    """

    duplicate: int = 0
    crossed: int = 0
    malformed: int = 0
    held: int = 0


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """A parsed server-sent event of an engine."""

    request_id: bytes
    offset: int
    data: bytes


def check_response_headers(
    headers: Mapping[str, str], request_id: str, adapter: str, version: str
) -> Refusal | None:
    """Check that a response is for the right request and adapter version.

    Called before the first byte of the response is forwarded.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the engine's response.
    request_id, adapter, version : str
        Request ID and adapter version that were requested.

    Returns
    -------
    Refusal or None
        `WRONG_ADAPTER` if a header is missing or differs; None if all match.
    """
    expected_by_header = {
        ADAPTER_HEADER: adapter,
        VERSION_HEADER: version,
        REQUEST_ID_HEADER: request_id,
    }
    for header, expected in expected_by_header.items():
        if headers.get(header) != expected:
            detail = f"the answer named another {header}"
            return Refusal(Reason.WRONG_ADAPTER, RunStatus.UNKNOWN, detail=detail)
    return None


def parse_event(raw_event: bytes) -> StreamEvent | None:
    """Parse an event without its terminating blank line; None if malformed."""
    request_id, offset, data = b"", -1, b""
    for line in raw_event.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].lstrip(b" ").rstrip(b"\r")
        elif line.startswith(b"id:"):
            request_id, _, digits = line[3:].strip().rpartition(b":")
            if not request_id or not digits.isdigit() or len(digits) > 12:
                return None
            offset = int(digits)
    if not request_id or not data:
        return None
    return StreamEvent(request_id, offset, data)


@dataclass(slots=True)
class StreamRelay:
    """Decodes received bytes into pieces of one response, each once and in order.

    A relay spans all connections of a stream: when one breaks, the stream is resumed
    at `next_offset` on another, whose bytes are fed to the same relay after
    `start_connection`.

    Parameters
    ----------
    request_id : str
        ID of the request; changes with each attempt.
    next_offset : int, default=0
        Offset of the next piece to deliver.
    moved : bool, default=False
        Whether the engine has handed the stream over to another engine.
    """

    request_id: str
    next_offset: int = 0
    moved: bool = False
    counts: RelayCounts = field(default_factory=RelayCounts)
    _encoded_id: bytes = b""
    _id_prefix: bytes = b""
    _end_offset: int | None = None
    _buffer: bytes = b""
    _held_by_offset: dict[int, bytes] = field(default_factory=dict)
    _held_bytes: int = 0
    _overflowed: bool = False

    def __post_init__(self) -> None:
        self._set_request_id(self.request_id)

    def _set_request_id(self, request_id: str) -> None:
        self.request_id = request_id
        self._encoded_id = request_id.encode()
        self._id_prefix = b"id: %b:" % self._encoded_id

    def start_connection(self, request_id: str) -> int:
        """Reset the parser for a new connection.

        Parameters
        ----------
        request_id : str
            Request ID sent on this connection. Each attempt has its own, so that
            late pieces of an earlier attempt are recognised and dropped.

        Returns
        -------
        int
            Offset at which the engine must resume.
        """
        self._set_request_id(request_id)
        self.moved = False
        self._buffer = b""
        self._held_by_offset.clear()
        self._held_bytes = 0
        self._overflowed = False
        self._end_offset = None
        return self.next_offset

    def feed(self, chunk: bytes) -> list[Piece]:
        """Parse received bytes and return the pieces that can be delivered now."""
        buffer = self._buffer + chunk if self._buffer else chunk
        events = buffer.split(EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._overflowed = True
            self._buffer = b""
        due: list[Piece] = []
        for raw_event in events:
            self._handle_event(raw_event, due)
        return due

    @property
    def is_complete(self) -> bool:
        """Whether every piece of the response was returned."""
        return self._end_offset == self.next_offset

    @property
    def must_resume(self) -> bool:
        """Whether the response cannot be completed on this connection.

        True if buffered data exceeds its limit, if the response has ended with a
        piece missing, or if the engine has handed the stream over.
        """
        if self._overflowed or self.moved:
            return True
        return self._end_offset is not None and not self.is_complete

    def _handle_event(self, raw_event: bytes, due: list[Piece]) -> None:
        # Fast path for the usual form of an event.
        if raw_event.startswith(self._id_prefix):
            digits, _, data = raw_event[len(self._id_prefix) :].partition(DATA_LINE)
            if data and data != DONE and digits.isdigit() and b"\n" not in data:
                self._handle_piece(int(digits), data, due)
                return
        event = parse_event(raw_event)
        if event is None:
            if raw_event.startswith(MOVED_EVENT):
                self.moved = True
            # Comments are sent to keep idle connections open.
            elif raw_event and not raw_event.startswith(b":"):
                self.counts.malformed += 1
            return
        if event.request_id != self._encoded_id:
            self.counts.crossed += 1
            return
        if event.data == DONE:
            if event.offset < self.next_offset:
                self.counts.duplicate += 1
            elif self._end_offset is None:
                self._end_offset = event.offset
            return
        self._handle_piece(event.offset, event.data, due)

    def _handle_piece(self, offset: int, data: bytes, due: list[Piece]) -> None:
        if offset != self.next_offset:
            self._hold(offset, data)
            return
        due.append(Piece(offset, data))
        self.next_offset += 1
        while self._held_by_offset and self.next_offset in self._held_by_offset:
            held = self._held_by_offset.pop(self.next_offset)
            self._held_bytes -= len(held)
            due.append(Piece(self.next_offset, held))
            self.next_offset += 1

    def _hold(self, offset: int, data: bytes) -> None:
        if offset < self.next_offset or offset in self._held_by_offset:
            self.counts.duplicate += 1
            return
        if self._held_bytes + len(data) > MAX_BUFFERED_BYTES:
            self._overflowed = True
            return
        self.counts.held += 1
        self._held_by_offset[offset] = data
        self._held_bytes += len(data)
