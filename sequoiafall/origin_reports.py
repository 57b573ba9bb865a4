"""Origins of streams that other instances have not been told of yet.

A leader knows the streams that it placed. It is told of those that began before its
term, and of those that were placed without a leader.
"""

from __future__ import annotations

import itertools
from collections import deque

from .stream_versions import StreamOrigin, StreamVersions

# Origins of one message; they take about 20 KB, or 30 ms on a link of 5 Mbit/s.
MAX_ORIGINS_PER_MESSAGE = 500
# Origins that are kept; the oldest are dropped first.
MAX_UNTOLD_ORIGINS = 100_000


class OriginReports:
    """Queue of origins for the leader.

    Parameters
    ----------
    versions : StreamVersions
        Origins that this instance knows.
    """

    __slots__ = ("_placed_alone", "_untold", "_versions")

    def __init__(self, versions: StreamVersions) -> None:
        self._versions = versions
        self._untold: deque[StreamOrigin] = deque(maxlen=MAX_UNTOLD_ORIGINS)
        self._placed_alone: deque[StreamOrigin] = deque(maxlen=MAX_UNTOLD_ORIGINS)

    def add_alone(self, origin: StreamOrigin) -> None:
        """Add a stream that was placed without a leader."""
        self._placed_alone.append(origin)

    def placed_alone(self, now: float) -> list[StreamOrigin]:
        """Return the streams placed without a leader that no leader knows yet."""
        newest = itertools.islice(reversed(self._placed_alone), MAX_ORIGINS_PER_MESSAGE)
        return [origin for origin in newest if origin.expires_at > now]

    def begin(self, now: float) -> None:
        """Tell all origins that this instance knows, as the leader is new to it."""
        self._untold.clear()
        self._untold.extend(self._versions.unexpired(now))

    def take(self, now: float) -> list[StreamOrigin]:
        """Return the next origins for the leader, without those that have expired."""
        origins: list[StreamOrigin] = []
        for queue in (self._untold, self._placed_alone):
            while queue and len(origins) < MAX_ORIGINS_PER_MESSAGE:
                origin = queue.popleft()
                if origin.expires_at > now:
                    origins.append(origin)
        return origins

    def put_back(self, origins: list[StreamOrigin]) -> None:
        """Keep origins that the leader has not confirmed."""
        self._placed_alone.extendleft(reversed(origins))
