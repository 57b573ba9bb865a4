"""Decides when another server is looked for, for a stream without events."""

from __future__ import annotations

# Time to the first event, after which another server is looked for. Prefill of all
# prompts of a full batch takes about 0.5 s.
FIRST_EVENT_TIMEOUT_S = 1.6
# Longest gap between events, after which another server is looked for.
EVENT_GAP_TIMEOUT_S = 1.0
# Delay before the next look after one that found no server.
LOOK_AGAIN_S = 0.25


class StallClock:
    """Time without events of one send, and when to look for another server.

    Sound servers send nothing for a second or so at times. So the send goes on in any
    case until another server has a place for the stream.

    Parameters
    ----------
    now : float
        Time of the send in seconds.
    timeout_s : float
        Seconds to the first event.
    """

    __slots__ = ("_due_at", "_event_at", "_held_at")

    def __init__(self, now: float, timeout_s: float) -> None:
        self._event_at = now
        self._due_at = now + timeout_s
        self._held_at: float | None = None

    def hold(self, now: float) -> None:
        """Stop the clock while nothing is read from the server."""
        self._held_at = now

    def resume(self, now: float) -> None:
        """Let the clock go on where it was stopped."""
        if self._held_at is not None:
            self._event_at += now - self._held_at
            self._due_at += now - self._held_at
            self._held_at = None

    @property
    def is_held(self) -> bool:
        """Whether the clock is stopped."""
        return self._held_at is not None

    def on_event(self, now: float, timeout_s: float) -> None:
        """Record new events, and the seconds until the next ones are due."""
        self._event_at = now
        self._due_at = now + timeout_s

    def on_not_found(self, now: float, delay_s: float = LOOK_AGAIN_S) -> None:
        """Record that there is no other server for the next seconds."""
        self._due_at = now + delay_s

    def due_s(self, now: float) -> float:
        """Return the seconds until another server should be looked for."""
        return max(0.0, self._due_at - now)

    def silent_s(self, now: float) -> float:
        """Return the seconds without events."""
        return now - self._event_at
