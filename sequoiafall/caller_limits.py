"""Limits on what a caller may send and on how long it may take."""

from __future__ import annotations

from dataclasses import dataclass

# What a caller's network may add to the time of a head.
HEAD_TIMEOUT_FACTOR = 2.0
# A body may take this many times the idle timeout in all.
BODY_TIMEOUT_FACTOR = 4.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of the operator's configuration.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and largest body of a request.
    header_timeout_s : float
        Time in seconds within which a caller sends a head.
    idle_timeout_s : float
        Seconds for which a caller may be idle.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    @property
    def head_s(self) -> float:
        """Longest time from the first byte of a head to its end in seconds."""
        return self.header_timeout_s * HEAD_TIMEOUT_FACTOR

    @property
    def body_s(self) -> float:
        """Longest time from the first byte of a body to its end in seconds."""
        return self.idle_timeout_s * BODY_TIMEOUT_FACTOR

    def body_pause_s(self, is_pressed: bool) -> float:
        """Return how long a body may make no progress, in seconds.

        Parameters
        ----------
        is_pressed : bool
            Whether memory or connections are short for others.
        """
        return self.head_s if is_pressed else self.idle_timeout_s


DEFAULT_CALLER_LIMITS = CallerLimits()
