"""Metrics of a gateway; none is updated per token."""

from __future__ import annotations

from collections import Counter

from aiohttp import web
from aioprometheus.collectors import Counter as MetricCounter
from aioprometheus.collectors import Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

from .relay import RelayCounts

SECONDS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0]


class DurationHistogram:
    """Histogram that looks up the labels of each kind of request only once.

    aioprometheus encodes the labels as JSON for each observation.
    """

    def __init__(self, name: str, description: str, registry: Registry) -> None:
        self._metric = Histogram(
            name, description, buckets=SECONDS_BUCKETS, registry=registry
        )
        self._buckets_by_kind: dict[str, Buckets] = {}

    def observe(self, kind: str, seconds: float) -> None:
        """Record a duration in seconds."""
        buckets = self._buckets_by_kind.get(kind)
        if buckets is None:
            buckets = self._buckets_by_kind[kind] = Buckets(*SECONDS_BUCKETS)
            self._metric.set_value({"kind": kind}, buckets)
        buckets.observe(seconds)


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway."""

    def __init__(self) -> None:
        # Plain counts are cheap to update for each request; they are copied to the
        # registry when the metrics are scraped.
        self.requests_by_end: Counter[tuple[str, str]] = Counter()
        self.dropped_by_cause: Counter[str] = Counter()
        self.generated_tokens = 0
        self.resumed_streams = 0
        registry = Registry()
        self.registry = registry
        self._requests = MetricCounter(
            "sequoiafall_requests_total",
            "Requests by kind and how they ended, ok or the reason of refusal",
            registry=registry,
        )
        self._tokens = MetricCounter(
            "sequoiafall_generated_tokens_total",
            "Tokens forwarded to callers",
            registry=registry,
        )
        self._dropped_pieces = MetricCounter(
            "sequoiafall_dropped_pieces_total",
            "Pieces of streams that were not forwarded, by cause",
            registry=registry,
        )
        self._resumes = MetricCounter(
            "sequoiafall_resumed_streams_total",
            "Streams that were resumed at another place",
            registry=registry,
        )
        self.retries = Gauge(
            "sequoiafall_retries_total",
            "Requests that were retried within the budget",
            registry=registry,
        )
        self.open_calls = Gauge(
            "sequoiafall_open_calls", "Calls that are running", registry=registry
        )
        self.head_revision = Gauge(
            "sequoiafall_head_revision", "Revision of the held head", registry=registry
        )
        self.head_fresh_seconds = Gauge(
            "sequoiafall_head_fresh_seconds",
            "Seconds for which the head is still fresh",
            registry=registry,
        )
        self.first_byte_seconds = DurationHistogram(
            "sequoiafall_first_byte_seconds",
            "Time from a request to the first byte of its answer",
            registry,
        )
        self.duration_seconds = DurationHistogram(
            "sequoiafall_request_duration_seconds",
            "Time from a request to the end of its answer",
            registry,
        )

    def count_stream(self, counts: RelayCounts, tokens: int, resumes: int) -> None:
        """Add the counts of one stream."""
        self.generated_tokens += tokens
        self.resumed_streams += resumes
        for cause in ("duplicate", "crossed", "malformed"):
            dropped = getattr(counts, cause)
            if dropped:
                self.dropped_by_cause[cause] += dropped

    def count_request(self, kind: str, end: str) -> None:
        """Count a request by its kind and how it ended."""
        self.requests_by_end[kind, end] += 1

    def respond(self, request: web.Request) -> web.Response:
        """Respond to ``GET /metrics``."""
        for (kind, end), count in self.requests_by_end.items():
            self._requests.set({"kind": kind, "end": end}, count)
        for cause, count in self.dropped_by_cause.items():
            self._dropped_pieces.set({"cause": cause}, count)
        self._tokens.set({}, self.generated_tokens)
        self._resumes.set({}, self.resumed_streams)
        body, headers = render(self.registry, request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)
