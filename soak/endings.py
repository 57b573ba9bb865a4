"""Check that each request a node has read gets a complete response or a refusal."""

from __future__ import annotations

import math
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from .calls import Call
from .configuration import REQUEST_DEADLINE_S, STREAM_ROUTES, Configuration

# The gateway responds this long before the deadline at the latest.
DEADLINE_MARGIN_S = 0.05
# A stopped node ends its running requests within its grace period, of which it gives
# new requests 0.8. The shortest grace period of a run is 3 s.
MIN_GRACE_S = 2.4
# Events this long around a request are named in a finding.
CONTEXT_S = 1.0
# Delay with which a caller sees what happened to a node or a server.
SIGHT_S = 0.1


@dataclass(slots=True)
class _Loss:
    """Time in which the links to a server lose data or connections."""

    server: str
    is_engine: bool
    begun_at: float
    ended_at: float = math.inf


class EndingCheck:
    """Judges requests without a complete response.

    Excused are requests whose server crashed or broke off, whose node was killed,
    whose link to a server lost data, whose caller has left, and those whose deadline
    has passed.

    Parameters
    ----------
    configuration : Configuration
        Names the shortest timeouts.

    Attributes
    ----------
    counts_by_excuse : Counter of str
        Requests without a complete response that are excused, by reason.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self.started_at = time.monotonic()
        self._kills_by_node: dict[int, list[float]] = defaultdict(list)
        self._stops_by_node: dict[int, list[float]] = defaultdict(list)
        self._losses: list[_Loss] = []
        self._broken_requests: set[str] = set()
        self._history_by_request: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self._events: list[tuple[float, str]] = []
        self._suspects: list[Call] = []
        self.counts_by_excuse: Counter[str] = Counter()

    def note(self, text: str) -> None:
        """Record an event that findings beside it name."""
        self._events.append((time.monotonic(), text))

    def record_kill(self, node: int) -> None:
        """Record that a node is killed."""
        self._kills_by_node[node].append(time.monotonic())
        self.note(f"kill of node-{node}")

    def record_stop(self, node: int) -> None:
        """Record that a node is asked to stop."""
        self._stops_by_node[node].append(time.monotonic())
        self.note(f"stop of node-{node}")

    def begin_loss(self, server: str, is_engine: bool) -> None:
        """Record that the links to a server begin to lose data or connections."""
        self._losses.append(_Loss(server, is_engine, time.monotonic()))
        self.note(f"loss of links to {server}")

    def end_loss(self, server: str) -> None:
        """Record that the links to a server are sound again."""
        for loss in self._losses:
            if loss.server == server:
                loss.ended_at = min(loss.ended_at, time.monotonic())

    def record_arrival(self, server: str, request_id: str) -> None:
        """Record that a request has reached a server."""
        row = (time.monotonic(), f"reached {server}")
        self._history_by_request[request_id].append(row)

    def record_left(self, server: str, request_id: str) -> None:
        """Record that the connection of a request was closed before its end."""
        row = (time.monotonic(), f"left {server}")
        self._history_by_request[request_id].append(row)

    def record_broken(self, server: str, request_id: str) -> None:
        """Record that a server broke off a request."""
        self._broken_requests.add(request_id)
        row = (time.monotonic(), f"broken off by {server}")
        self._history_by_request[request_id].append(row)

    def excuse(self, call: Call) -> str:
        """Return why a request may have no complete response; empty if it must."""
        if not call.was_sent:
            return "not connected"
        if call.has_left:
            return "caller left"
        limit_s = self._configuration.shortest_timeout_s(
            call.route, call.sent_at, call.ended_at
        )
        if call.ended_at - call.sent_at >= limit_s - DEADLINE_MARGIN_S:
            return "deadline"
        if call.request_id in self._broken_requests:
            return "server broke off"
        if self._is_any_within(self._kills_by_node[call.node], call):
            return "node killed"
        if self._is_stop_an_excuse(call):
            return "node stopped"
        if any(
            loss.is_engine is (call.route in STREAM_ROUTES)
            and loss.begun_at <= call.ended_at
            and call.sent_at - SIGHT_S <= loss.ended_at
            for loss in self._losses
        ):
            return "link to a server"
        return ""

    def _is_stop_an_excuse(self, call: Call) -> bool:
        """Whether a node was stopped too long before a response was complete.

        A stopping node may close a connection before it has read a request.
        """
        first = call.sent_at - REQUEST_DEADLINE_S
        last = call.ended_at - (MIN_GRACE_S if call.status else 0.0)
        return any(first <= at <= last for at in self._stops_by_node[call.node])

    def _is_any_within(self, times: list[float], call: Call) -> bool:
        return any(call.sent_at - SIGHT_S <= at <= call.ended_at for at in times)

    def record_end(self, call: Call) -> None:
        """Record the end of a call, which is judged once all events are known."""
        if not call.is_complete or _has_failed(call):
            self._suspects.append(call)

    def findings(self) -> list[str]:
        """Return a line for each request that ended without its due."""
        lines = []
        for call in self._suspects:
            if _has_failed(call):
                lines.append(f"{self._describe(call)} failed in the node")
            elif excuse := self.excuse(call):
                self.counts_by_excuse[excuse] += 1
            else:
                lines.append(
                    f"{self._describe(call)} was cut after "
                    f"{call.ended_at - call.sent_at:.2f} s (status {call.status}, "
                    f"{call.received.count(b'id: ')} events, {call.error}); "
                    f"history {self._history(call)}; beside {self._context(call)}"
                )
        return lines

    def _describe(self, call: Call) -> str:
        sent_at = time.time() - (time.monotonic() - call.sent_at)
        clock = time.strftime("%H:%M:%S", time.gmtime(sent_at))
        return (
            f"{call.request_id} ({call.route}) at node-{call.node}, second "
            f"{call.sent_at - self.started_at:.1f} ({clock} UTC)"
        )

    def _history(self, call: Call) -> str:
        rows = self._history_by_request[call.request_id]
        texts = [f"{text} +{at - call.sent_at:.2f}s" for at, text in rows]
        return ", ".join(texts) or "no server"

    def _context(self, call: Call) -> str:
        first, last = call.sent_at - CONTEXT_S, call.ended_at
        texts = [
            f"{text} {at - call.sent_at:+.2f}s"
            for at, text in self._events
            if first <= at <= last
        ]
        changes = sum(first <= at <= last for at in self._configuration.changed_at)
        if changes:
            texts.append(f"{changes} changes of the configuration")
        return ", ".join(texts) or "nothing"


def _has_failed(call: Call) -> bool:
    """Whether the HTTP server of the node answered in place of its handler."""
    return call.status == 500 and b"Internal Server Error" in call.received
