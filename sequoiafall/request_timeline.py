"""Joins the log lines of many processes into the timeline of one request."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Lines about the state of a process are shown from this long before the first
# line of the request to this long after its last one.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 0.5
STATE_EVENTS = frozenset(
    (
        "lease_taken",
        "lease_lost",
        "lease_given_up",
        "leader_lost",
        "leader_found",
        "term_started",
        "member_lost",
        "store_lost",
        "store_reached",
        "history_lost",
        "configuration_in_force",
        "adapter_version",
        "started",
        "stopping",
        "reload",
    )
)
SERVER_EVENTS = frozenset(
    ("backend_server", "backend_server_gone", "engine_order", "report_failed")
)
_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_CLOCK = re.compile(r"T(\d\d):(\d\d):(\d\d)\.(\d\d\d)Z")


@dataclass(slots=True, frozen=True)
class LogLine:
    """A parsed log line.

    Parameters
    ----------
    source : str
        File or process that it comes from.
    at_s : float
        Time of the day in seconds.
    fields : dict of str to str
        Key=value pairs of the line.
    text : str
        The original line.
    """

    source: str
    at_s: float
    fields: dict[str, str]
    text: str


@dataclass(slots=True)
class RequestTimeline:
    """Log lines of a request in order of time, and the count of unreadable ones.

    Parameters
    ----------
    lines : list of LogLine
        The request's own lines and the context lines around them.
    unreadable : dict of str to int
        Number of lines that are truncated or in another format, by source.
    """

    lines: list[LogLine] = field(default_factory=list)
    unreadable: dict[str, int] = field(default_factory=dict)


def parse_line(source: str, text: str) -> LogLine | None:
    """Parse one line; return None if it is truncated or in another format."""
    fields: dict[str, str] = {}
    for name, value in _PAIR.findall(text):
        if value.startswith('"'):
            try:
                value = json.loads(value)
            except ValueError:
                return None
        fields.setdefault(name, value)
    clock = _CLOCK.search(fields.get("time", ""))
    if clock is None or "event" not in fields:
        return None
    hours, minutes, seconds, milliseconds = (int(part) for part in clock.groups())
    at_s = hours * 3600 + minutes * 60 + seconds + milliseconds / 1e3
    return LogLine(source, at_s, fields, text.strip())


def build_timeline(
    request_id: str, lines_by_source: Mapping[str, Iterable[str]]
) -> RequestTimeline:
    """Collect the log lines of a request and those that give its context.

    Parameters
    ----------
    request_id : str
        ID of the request.
    lines_by_source : mapping of str to iterable of str
        Log lines by file or process.
    """
    timeline = RequestTimeline()
    request_lines: list[LogLine] = []
    context_lines: list[LogLine] = []
    for source, source_lines in lines_by_source.items():
        for text in source_lines:
            if not text.strip():
                continue
            line = parse_line(source, text)
            if line is None:
                timeline.unreadable[source] = timeline.unreadable.get(source, 0) + 1
            elif line.fields.get("request_id") == request_id:
                request_lines.append(line)
            elif line.fields["event"] in STATE_EVENTS | SERVER_EVENTS:
                context_lines.append(line)
    if not request_lines:
        return timeline
    first_s = min(line.at_s for line in request_lines) - CONTEXT_BEFORE_S
    last_s = max(line.at_s for line in request_lines) + CONTEXT_AFTER_S
    servers = {
        line.fields["server"] for line in request_lines if line.fields.get("server")
    }
    adapters = {
        line.fields["adapter"] for line in request_lines if line.fields.get("adapter")
    }
    for line in context_lines:
        if not first_s <= line.at_s <= last_s:
            continue
        is_related = (
            line.fields.get("server") in servers
            or line.fields.get("adapter") in adapters
        )
        if line.fields["event"] in STATE_EVENTS or is_related:
            request_lines.append(line)
    timeline.lines = sorted(request_lines, key=lambda line: line.at_s)
    return timeline


def format_timeline(request_id: str, timeline: RequestTimeline) -> list[str]:
    """Return the lines to print; those of the request are marked with ``>``."""
    output = []
    for line in timeline.lines:
        mark = ">" if line.fields.get("request_id") == request_id else " "
        output.append(f"{mark} {line.source}: {line.text}")
    if not timeline.lines:
        output.append(f"no line has request_id={request_id}")
    for source, count in timeline.unreadable.items():
        output.append(f"{source}: {count} lines could not be read")
    return output
