"""Counts arrivals of what crashes servers after its cause should be known."""

from __future__ import annotations

import time
from collections import defaultdict

# Time in which what some nodes know reaches all of them, in seconds.
CONTACT_S = 3.0
# Requests that may still reach servers once the cause is known everywhere.
ALLOWED_ARRIVALS = 3


class CrashBudget:
    """Judges how often a cause of crashes reaches servers once it is known.

    A node that was stopped, paused or cut off within `CONTACT_S` before an arrival is
    excused, as are all nodes around a disruption of the store.

    Parameters
    ----------
    known_crashes : int
        Crashes after which a cause is known.
    """

    def __init__(self, known_crashes: int) -> None:
        self._known_crashes = known_crashes
        self.crashed_at_by_cause: dict[str, list[float]] = defaultdict(list)
        self.arrivals_by_cause: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self._disturbed_at_by_node: dict[int, list[float]] = defaultdict(list)

    def disturb(self, node: int) -> None:
        """Record that a node is stopped, paused, cut off, or back; 0 for the store."""
        self._disturbed_at_by_node[node].append(time.monotonic())

    def record(self, cause: str, node: int) -> None:
        """Record a harmful request of a node that has reached a server."""
        self.arrivals_by_cause[cause].append((time.monotonic(), node))

    def record_crash(self, cause: str) -> None:
        """Record that a server crashed."""
        self.crashed_at_by_cause[cause].append(time.monotonic())

    def is_excused(self, at: float, node: int) -> bool:
        """Return whether a node or the store was disturbed just before a time."""
        times = self._disturbed_at_by_node[node] + self._disturbed_at_by_node[0]
        return any(at - CONTACT_S <= disturbed_at <= at for disturbed_at in times)

    def was_disturbed_since(self, at: float, node: int) -> bool:
        """Return whether a node or the store was disturbed before a time or since."""
        times = self._disturbed_at_by_node[node] + self._disturbed_at_by_node[0]
        return any(disturbed_at >= at - CONTACT_S for disturbed_at in times)

    def late_arrivals(self, cause: str) -> list[tuple[float, int]]:
        """Return time and node of the arrivals after a cause is known everywhere."""
        crashes = self.crashed_at_by_cause[cause]
        if len(crashes) < self._known_crashes:
            return []
        known_at = crashes[self._known_crashes - 1] + CONTACT_S
        return [
            (at, node)
            for at, node in self.arrivals_by_cause[cause]
            if at > known_at and not self.is_excused(at, node)
        ]

    def findings(self) -> list[str]:
        """Return a line for each cause that reached servers too often."""
        lines = []
        for cause, crashes in list(self.crashed_at_by_cause.items()):
            late = self.late_arrivals(cause)
            if len(late) <= ALLOWED_ARRIVALS:
                continue
            known_at = crashes[self._known_crashes - 1]
            sends = " ".join(
                f"+{at - known_at:.1f}s:node-{node}" for at, node in late[:8]
            )
            lines.append(
                f"{cause} reached servers {len(late)} times more, counted from "
                f"{CONTACT_S:g} s after crash {self._known_crashes} of {len(crashes)}: "
                f"{sends}"
            )
        return lines
