"""Check that each request a node has read gets a complete response or a refusal."""

from __future__ import annotations

import math
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .calls import Call
from .configuration import STREAM_ROUTES, Configuration

# The gateway responds this long before the deadline at the latest.
DEADLINE_MARGIN_S = 0.05
# A stop excuses a cut only of a request that was sent up to this long after it, and
# only if the server was at work on it in this last share of the grace period.
MAX_SENT_AFTER_STOP_S = 3.0
LAST_SHARE_OF_GRACE = 1 / 6
# A request counts as read this long after its last byte was sent (`loss_slack_ms`).
LOSS_SLACK_S = 0.2
# A stopped node may be expected to end requests until this long after its grace period.
STOP_TAIL_S = 1.0
# Delay with which a node reads changed settings.
SETTINGS_NEWS_S = 1.0
# Events this long around a request are named in a finding.
CONTEXT_S = 1.0
# Events of this last time are named beside the end of a process.
RECENT_S = 5.0
# Delay with which a caller sees what happened to a node or a server.
SIGHT_S = 0.1


@dataclass(slots=True)
class _Stop:
    """A planned stop of a node, with its grace period in seconds."""

    begun_at: float
    grace_s: float


@dataclass(slots=True)
class _Pause:
    """Time in which a node is suspended."""

    begun_at: float
    ended_at: float = math.inf


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
    has_read : callable
        Returns whether the log of a node names a request, as it does with each
        request that the node has read.

    Attributes
    ----------
    counts_by_excuse : Counter of str
        Requests without a complete response that are excused, by reason.
    """

    def __init__(
        self, configuration: Configuration, has_read: Callable[[int, str], bool]
    ) -> None:
        self._configuration = configuration
        self._has_read = has_read
        self.started_at = time.monotonic()
        self._kills_by_node: dict[int, list[float]] = defaultdict(list)
        self._stops_by_node: dict[int, list[_Stop]] = defaultdict(list)
        self._pauses_by_node: dict[int, list[_Pause]] = defaultdict(list)
        # Times of changes of the grace period, with its seconds from then on.
        self._graces_by_node: dict[int, list[tuple[float, float]]] = defaultdict(list)
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
        now = time.monotonic()
        self._stops_by_node[node].append(_Stop(now, self._grace_s(node, now)))
        self.note(f"stop of node-{node}")

    def is_end_expected(self, node: int, since: float) -> bool:
        """Return whether a node was killed or asked to stop since a time."""
        stops = [stop.begun_at for stop in self._stops_by_node[node]]
        return any(at >= since for at in [*self._kills_by_node[node], *stops])

    def recent_events(self) -> str:
        """Return the events of the last seconds, for a finding."""
        least = time.monotonic() - RECENT_S
        texts = [
            f"{text} {at - least - RECENT_S:+.2f}s"
            for at, text in self._events
            if at >= least
        ]
        return ", ".join(texts) or "nothing"

    def record_grace(self, node: int, grace_s: float) -> None:
        """Record the grace period of a node's settings, in seconds."""
        self._graces_by_node[node].append((time.monotonic(), grace_s))

    def _grace_s(self, node: int, now: float) -> float:
        """Return the grace period in force, the shorter one if it has just changed."""
        graces = self._graces_by_node[node]
        recent = [grace_s for at, grace_s in graces if at > now - SETTINGS_NEWS_S]
        before = [grace_s for at, grace_s in graces if at <= now - SETTINGS_NEWS_S]
        return min([*recent, *before[-1:]])

    def record_pause(self, node: int) -> None:
        """Record that a node is suspended."""
        self._pauses_by_node[node].append(_Pause(time.monotonic()))
        self.note(f"pause of node-{node}")

    def end_pause(self, node: int) -> None:
        """Record that a node runs again."""
        self._pauses_by_node[node][-1].ended_at = time.monotonic()

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
        """Whether a planned stop may have cut a request, or left it unread."""
        return any(
            self._is_unread(stop, call) or self._ran_until_the_end(stop, call)
            for stop in self._stops_by_node[call.node]
        )

    def _is_unread(self, stop: _Stop, call: Call) -> bool:
        """Whether a stopping node closed a connection before it read the request.

        The log of the node alone does not show that: its last lines may be lost.
        """
        if call.status or self._arrivals(call) or stop.begun_at > call.ended_at:
            return False
        if call.ended_at - call.last_byte_at > LOSS_SLACK_S + self._paused_s(call):
            return False
        if call.sent_at > stop.begun_at + stop.grace_s + STOP_TAIL_S:
            return False
        return not self._has_read(call.node, call.request_id)

    def _ran_until_the_end(self, stop: _Stop, call: Call) -> bool:
        """Whether a server worked on an early request until the end of a stop."""
        if call.sent_at > stop.begun_at + MAX_SENT_AFTER_STOP_S:
            return False
        worked_until = self._worked_until(call)
        least = stop.begun_at + stop.grace_s * (1.0 - LAST_SHARE_OF_GRACE)
        latest = stop.begun_at + stop.grace_s + STOP_TAIL_S + self._paused_s(call)
        return least <= worked_until <= latest

    def _arrivals(self, call: Call) -> list[float]:
        rows = self._history_by_request[call.request_id]
        return [at for at, text in rows if text.startswith("reached ")]

    def _worked_until(self, call: Call) -> float:
        """Return when the last server stopped work; minus infinity if none began."""
        if not self._arrivals(call):
            return -math.inf
        rows = self._history_by_request[call.request_id]
        left = [at for at, text in rows if text.startswith("left ")]
        return max(left, default=call.ended_at)

    def _paused_s(self, call: Call) -> float:
        """Return the seconds of a call in which its node was suspended."""
        return sum(
            max(
                0.0,
                min(row.ended_at, call.ended_at) - max(row.begun_at, call.sent_at),
            )
            for row in self._pauses_by_node[call.node]
        )

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
