"""Check that the nodes keep within the limits that backend servers name."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from dataclasses import dataclass

# A limit binds a node this long after the server first named it, in seconds.
CONTACT_S = 3.0
# Calls are counted in sliding windows of this length in seconds.
WINDOW_S = 4.0
# A server takes this many times its limit in a window, plus a fixed number of calls.
TOLERANCE = 1.5
EXTRA_CALLS = 5


@dataclass(slots=True)
class LimitSpan:
    """Time in which a server names a limit without interruption."""

    server: str
    rate_per_s: float
    named_at: float
    lifted_at: float = math.inf


class LimitCheck:
    """Counts callers' requests at servers with a limit, by the node that sent them.

    A node that was stopped, paused or cut off since the limit was named is excused,
    as are all nodes if the connections of the server were disrupted.
    """

    def __init__(self) -> None:
        self.spans: list[LimitSpan] = []
        self.requests_by_server: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self._disturbed_at_by_node: dict[int, list[float]] = defaultdict(list)

    def name(self, server: str, rate_per_s: float) -> None:
        """Record that a server begins to name a limit."""
        self.lift(server)
        self.spans.append(LimitSpan(server, rate_per_s, time.monotonic()))

    def lift(self, server: str) -> None:
        """Record that a server ceases to name its limit, or can no longer be judged."""
        for span in self.spans:
            if span.server == server:
                span.lifted_at = min(span.lifted_at, time.monotonic())

    def disturb(self, node: int) -> None:
        """Record that a node is stopped, paused, cut off, or back again."""
        self._disturbed_at_by_node[node].append(time.monotonic())

    def record(self, server: str, node: int) -> None:
        """Record a request of a node that has reached a server."""
        self.requests_by_server[server].append((time.monotonic(), node))

    def findings(self) -> list[str]:
        """Return a line for each limit that was exceeded."""
        return [line for span in self.spans if (line := self._check(span))]

    def _check(self, span: LimitSpan) -> str:
        allowed = int(TOLERANCE * span.rate_per_s * WINDOW_S + EXTRA_CALLS)
        counted = [
            at
            for at, node in self.requests_by_server[span.server]
            if span.named_at + CONTACT_S <= at <= span.lifted_at
            and not any(
                span.named_at <= disturbed_at <= at
                for disturbed_at in self._disturbed_at_by_node[node]
            )
        ]
        most = max(
            (sum(1 for other in counted if at - WINDOW_S < other <= at))
            for at in [*counted, 0.0]
        )
        if most <= allowed:
            return ""
        return (
            f"{span.server} took {span.rate_per_s:g} requests per second and got "
            f"{most} in {WINDOW_S:g} s, {allowed} allowed"
        )
