"""Time from the signal to the end of a stopping instance, and what it still takes."""

from __future__ import annotations

import math

# A process ends its requests this long before its grace period ends, or this share
# of a short one, so that their ends still reach the callers.
END_MARGIN_S = 0.5
END_MARGIN_SHARE = 0.125
# For this long after the signal, requests are taken that usually end in time: most
# callers have not read the directory since. Later ones must be sure to end.
EARLY_PERIOD_S = 2.5


class StopPeriod:
    """Decides which requests an instance takes that is being stopped.

    Attributes
    ----------
    deadline : float
        Time at which the requests in progress are ended, in seconds of `boot_time`;
        infinite until the instance is stopped.
    """

    __slots__ = ("_began_at", "deadline")

    def __init__(self) -> None:
        self._began_at = math.inf
        self.deadline = math.inf

    def begin(self, now: float, grace_s: float) -> None:
        """Record that the process is asked to end within a grace period."""
        self._began_at = now
        margin_s = min(END_MARGIN_S, END_MARGIN_SHARE * grace_s)
        self.deadline = now + max(0.0, grace_s - margin_s)

    def end(self) -> None:
        """Take no request any more."""
        self.deadline = -math.inf

    @property
    def has_begun(self) -> bool:
        """Whether the instance is being stopped."""
        return self._began_at < math.inf

    def since_s(self, now: float) -> float:
        """Return the seconds since the signal; negative if there was none."""
        return now - self._began_at

    def admits(
        self, read_at: float, times_out_at: float, usual_s: float, now: float
    ) -> bool:
        """Return whether a request can be sent to a server.

        Parameters
        ----------
        read_at : float
            Time at which the request was received.
        times_out_at : float
            Time at which it ends in any case: only this is certain, as a server may
            be slower than ever before.
        usual_s : float
            Seconds that it usually takes from now on.
        now : float
            Current time; all times are in seconds of `boot_time`.
        """
        if times_out_at <= self.deadline:
            return True
        if self.since_s(read_at) > EARLY_PERIOD_S:
            return False
        return now + usual_s <= self.deadline
