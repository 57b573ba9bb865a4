"""Splits a byte stream into server-sent events and drops duplicates."""

from __future__ import annotations

MAX_EVENT_BYTES = 1024 * 1024  # Longer events are an error.
_EVENT_END = b"\n\n"


class OversizedEventError(ValueError):
    """An event is longer than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a byte stream into complete events with increasing IDs.

    Parameters
    ----------
    last_id : int
        ID of the last event that the caller has received, -1 for none.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self, last_id: int = -1) -> None:
        self._buffer = bytearray()
        self.last_id = last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def discard_partial_event(self) -> None:
        """Discard an incomplete event before resuming on another server."""
        self._buffer.clear()

    def feed(self, data: bytes) -> bytes:
        """Return the new complete events, unchanged, and drop those already seen.

        Raises
        ------
        OversizedEventError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = self._buffer
        buffer += data
        end = buffer.rfind(_EVENT_END)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise OversizedEventError(f"event over {MAX_EVENT_BYTES} bytes")
            return b""
        whole = bytes(buffer[: end + len(_EVENT_END)])
        del buffer[: end + len(_EVENT_END)]
        new_events = []
        for event in whole.split(_EVENT_END)[:-1]:
            event_id = _event_id(event)
            if event_id is not None:
                if event_id <= self.last_id:
                    continue
                self.last_id = event_id
            new_events.append(event + _EVENT_END)
        return b"".join(new_events)


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
