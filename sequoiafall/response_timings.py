"""When the parts of an answer came, for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ResponseTimings:
    """Times of one answer.

    Parameters
    ----------
    placed_at : float
        Time of the last place, in seconds.
    first_at, last_at : float
        Times of the first and of the newest event.
    longest_pause_s : float
        Longest pause between two events.
    """

    placed_at: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def record_event(self, now: float) -> None:
        """Note that one or more events came."""
        if self.last_at:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        else:
            self.first_at = now
        self.last_at = now

    def describe(self, started_at: float) -> dict[str, object]:
        """Return the fields of a log line."""
        if not self.placed_at:
            return {}
        fields: dict[str, object] = {
            "placed_ms": int((self.placed_at - started_at) * 1e3)
        }
        if self.first_at:
            fields["first_ms"] = int((self.first_at - started_at) * 1e3)
            fields["pause_ms"] = int(self.longest_pause_s * 1e3)
        return fields
