"""Check that requests which crash engines soon reach no engine any more."""

from __future__ import annotations

import random
import time
from collections import defaultdict

# Time in which what some nodes know reaches all of them, in seconds.
CONTACT_S = 3.0
# Crashes after which a part is known, and requests that may still reach engines.
KNOWN_CRASHES = 5
ALLOWED_ARRIVALS = 3
HARMFUL_SHARE = 0.1


class PromptCheck:
    """Adds harmful parts to prompts and counts their requests at engines.

    A node that was stopped, paused or cut off within `CONTACT_S` before a request is
    excused, as are all nodes around a disruption of the store.

    Parameters
    ----------
    seed : int
        Determines which requests are harmful.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed} prompts")
        self.harmful_part = ""
        self.crashed_at_by_part: dict[str, list[float]] = defaultdict(list)
        self.arrivals_by_part: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self._disturbed_at_by_node: dict[int, list[float]] = defaultdict(list)

    def prompt(self, number: int) -> str:
        """Return the parts of the prompt of a request."""
        part = f"b{number % 5}"
        if self.harmful_part and self._random.random() < HARMFUL_SHARE:
            part = self.harmful_part
        return f"5c1e:568,{part}:200,own{number}:250"

    def disturb(self, node: int) -> None:
        """Record that a node is stopped, paused, cut off, or back; 0 for the store."""
        self._disturbed_at_by_node[node].append(time.monotonic())

    def record(self, part: str, node: int) -> None:
        """Record a request with a harmful part that has reached an engine."""
        self.arrivals_by_part[part].append((time.monotonic(), node))

    def record_crash(self, part: str) -> None:
        """Record that an engine crashed on a part."""
        self.crashed_at_by_part[part].append(time.monotonic())

    def _is_excused(self, at: float, node: int) -> bool:
        times = self._disturbed_at_by_node[node] + self._disturbed_at_by_node[0]
        return any(at - CONTACT_S <= disturbed_at <= at for disturbed_at in times)

    def findings(self) -> list[str]:
        """Return a line for each part that reached engines too often."""
        lines = []
        for part, crashes in self.crashed_at_by_part.items():
            if len(crashes) < KNOWN_CRASHES:
                continue
            known_at = crashes[KNOWN_CRASHES - 1] + CONTACT_S
            late = [
                at
                for at, node in self.arrivals_by_part[part]
                if at > known_at and not self._is_excused(at, node)
            ]
            if len(late) > ALLOWED_ARRIVALS:
                lines.append(f"{part} reached engines {len(late)} times more")
        return lines
