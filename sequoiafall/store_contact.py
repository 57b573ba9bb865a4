"""When the store answered, and how long entries that were removed still count."""

from __future__ import annotations

import math

# A removed entry stays valid for this long, as some are removed by mistake.
DROP_DELAY_S = 0.8
# Entries that expired during a store outage are written again within 2 s after it.
ENTRY_RETURN_S = 2.2
# Heartbeat intervals of an outage before an entry can expire: the store removes it
# after three intervals of silence, and up to one of them was over before the outage.
EXPIRY_INTERVALS = 2.0
# Heartbeats are sent at about their interval only.
EXPIRY_MARGIN_S = 0.2
# Covers the polls of members and the requests that are on their way to a server.
DRAIN_MARGIN_S = 0.3


class StoreContact:
    """When the store answered this instance or its leader.

    An entry that is missing was removed on purpose, unless it can have expired while
    nobody reached the store. The loss of the store by one instance, even the leader,
    is no outage of the store.

    Parameters
    ----------
    heartbeat_s : float
        Interval in seconds at which servers write their entries.
    drain_s : float
        Time in seconds after the removal of its entry for which a server goes on.
    """

    __slots__ = (
        "_answered_at",
        "_drain_s",
        "_expiry_s",
        "_has_failed_read",
        "_read_at",
        "_returned_at",
    )

    def __init__(self, heartbeat_s: float, drain_s: float) -> None:
        self._expiry_s = EXPIRY_INTERVALS * heartbeat_s - EXPIRY_MARGIN_S
        self._drain_s = drain_s
        self._answered_at = -math.inf
        self._read_at = -math.inf
        self._returned_at = -math.inf
        self._has_failed_read = False

    @property
    def seen_at(self) -> float:
        """Time in seconds at which the store is last known to have been in use.

        While the entries cannot be read, answers to other calls prove nothing: the
        store may be away in part.
        """
        if self._has_failed_read:
            return self._read_at
        return max(self._answered_at, self._read_at)

    @property
    def read_at(self) -> float:
        """Time in seconds at which the known entries were last those of the store."""
        return self._read_at

    def record_answer(self, at: float, now: float) -> None:
        """Record that the store answered a call at a time."""
        self._check_gap(at, now)
        self._answered_at = max(self._answered_at, at)

    def record_read(self, at: float, now: float) -> None:
        """Record that all changes of entries up to a time are applied."""
        self._check_gap(at, now)
        self._read_at = max(self._read_at, at)
        self._has_failed_read = False

    def record_failed_read(self) -> None:
        """Record that the entries could not be read."""
        self._has_failed_read = True

    def record_return(self, now: float) -> None:
        """Record that the store has come back from a copy, which may lack entries."""
        self._returned_at = now

    def may_lack_entries(self, now: float) -> bool:
        """Whether the store has returned and live servers may not be back in it yet."""
        return now < self._returned_at + ENTRY_RETURN_S

    def drop_at(self, now: float) -> float:
        """Return the time at which an entry ceases to count that is found removed.

        Without an outage in which it can have expired, it was removed after the last
        time at which it was still there, and its server ends `drain_s` later.
        """
        if self.may_lack_entries(now):
            return max(now + DROP_DELAY_S, self._returned_at + ENTRY_RETURN_S)
        if now - self.seen_at >= self._expiry_s:
            return now + ENTRY_RETURN_S
        server_ends_at = self._read_at + self._drain_s
        return max(now, min(now + DROP_DELAY_S, server_ends_at - DRAIN_MARGIN_S))

    def _check_gap(self, at: float, now: float) -> None:
        before = self.seen_at
        is_first = before == -math.inf
        if is_first or at - before < self._expiry_s:
            return
        # The store was back by then. Entries are written again within two seconds of
        # the return itself.
        self._returned_at = at
