"""Timings of a response stream, for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ResponseTimings:
    """Timings of one response; all times are in seconds, 0 means not yet.

    Parameters
    ----------
    placed_at : float
        Time of the last placement of the request.
    first_at, last_at : float
        Times of the first and the latest event.
    longest_pause_s : float
        Longest pause between two events.
    """

    placed_at: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def record_event(self, now: float) -> None:
        """Record that one or more events arrived."""
        if self.last_at:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        else:
            self.first_at = now
        self.last_at = now

    def describe(self, started_at: float) -> dict[str, object]:
        """Return the fields of a log line, relative to `started_at` in milliseconds."""
        if not self.placed_at:
            return {}
        fields: dict[str, object] = {
            "placed_ms": int((self.placed_at - started_at) * 1e3)
        }
        if self.first_at:
            fields["first_ms"] = int((self.first_at - started_at) * 1e3)
            fields["pause_ms"] = int(self.longest_pause_s * 1e3)
        return fields
