"""Counts late streams by cause, from the log lines of a day."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .request_timeline import LogLine, parse_line


class LateCause(enum.Enum):
    """What took the largest part of a late stream's time, or ended it."""

    ADMISSION = "refused, or over the rate"
    SLOT_WAIT = "waited for an adapter's slot"
    ADAPTER_LOAD = "waited for an adapter's load"
    PREFILL_QUEUE = "waited behind prompts at the engine"
    STALL = "paused after its first event"
    RETRY = "sent more than once"
    INCOMPLETE = "ended without its end"


@dataclass(slots=True)
class LateStreamCounts:
    """Counts of late streams by cause, and of streams on time.

    Parameters
    ----------
    on_time : int
        Number of streams on time.
    by_cause : Counter of LateCause
        Number of late streams.
    requests_by_cause : dict of LateCause to list of str
        Request IDs of the late streams, to look up a timeline.
    """

    on_time: int = 0
    by_cause: Counter[LateCause] = field(default_factory=Counter)
    requests_by_cause: dict[LateCause, list[str]] = field(default_factory=dict)

    def add(self, cause: LateCause, request_id: str) -> None:
        """Count a late stream."""
        self.by_cause[cause] += 1
        self.requests_by_cause.setdefault(cause, []).append(request_id)

    def rows(self) -> list[str]:
        """Return a row for streams on time, then one per cause, most frequent first."""
        rows = [f"{self.on_time:7} on time"]
        for cause, count in self.by_cause.most_common():
            example = self.requests_by_cause[cause][0]
            rows.append(f"{count:7} {cause.value} (such as {example})")
        return rows


def count_late_streams(
    lines_by_source: Mapping[str, Iterable[str]],
) -> LateStreamCounts:
    """Count the streams in the logs of all instances.

    Each attempt of a caller that retries after a refusal is counted.
    """
    grants: dict[str, LogLine] = {}
    ends: list[LogLine] = []
    counts = LateStreamCounts()
    for source, source_lines in lines_by_source.items():
        for text in source_lines:
            if "event=place_granted" in text:
                line = parse_line(source, text)
                if line is not None:
                    grants[line.fields.get("request_id", "")] = line
            elif "event=request_ended" in text and "aim_ms=" in text:
                line = parse_line(source, text)
                if line is not None:
                    ends.append(line)
            elif "event=request_refused" in text and "status=503" in text:
                line = parse_line(source, text)
                if line is not None:
                    request_id = line.fields.get("request_id", "")
                    counts.add(LateCause.ADMISSION, request_id)
    for line in ends:
        request_id = line.fields.get("request_id", "")
        cause = classify_stream(line, grants.get(request_id))
        if cause is None:
            counts.on_time += 1
        else:
            counts.add(cause, request_id)
    return counts


def classify_stream(end: LogLine, grant: LogLine | None) -> LateCause | None:
    """Return the cause of a stream's lateness, or None if it was on time.

    Parameters
    ----------
    end : LogLine
        Log line of the end of the stream.
    grant : LogLine or None
        The leader's log line that granted the stream's last place, if there is one.
    """
    fields = end.fields
    if fields.get("end") != "ok" or "first_ms" not in fields:
        return LateCause.INCOMPLETE
    first_ms = _number(fields, "first_ms")
    pause_aim_ms = _number(fields, "pause_aim_ms")
    if first_ms <= _number(fields, "aim_ms"):
        is_stalled = pause_aim_ms and _number(fields, "pause_ms") > pause_aim_ms
        return LateCause.STALL if is_stalled else None
    if _number(fields, "sends") > 1:
        return LateCause.RETRY
    placed_ms = _number(fields, "placed_ms")
    if first_ms - placed_ms >= placed_ms:
        return LateCause.PREFILL_QUEUE
    state = grant.fields.get("adapter_state", "") if grant is not None else ""
    return LateCause.SLOT_WAIT if state == "resident" else LateCause.ADAPTER_LOAD


def _number(fields: Mapping[str, str], name: str) -> int:
    try:
        return int(fields.get(name, "0"))
    except ValueError:
        return 0
