"""Metrics of an instance that serves on the users' platform."""

from __future__ import annotations

from collections import Counter

from aiohttp import web
from aioprometheus.collectors import Counter as MetricCounter
from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render

from .gateway_metrics import DurationHistogram

# Pairs of service and outcome that keep the service as a label; the services of the
# rest are labelled "other".
MAX_LABELS = 64


class NodeMetrics:
    """Counters, gauges and histograms, exported when the metrics are requested."""

    def __init__(self) -> None:
        self.requests_by_end: Counter[tuple[str, str]] = Counter()
        # Requests whose bodies were received; each one is open or has one cause of its
        # end, with how much of the response the caller got.
        self.requests_read = 0
        self.ends_by_cause: Counter[tuple[str, str]] = Counter()
        self.unread_ends_by_cause: Counter[tuple[str, str]] = Counter()
        self.attempts_by_outcome: Counter[tuple[str, str]] = Counter()
        self.store_calls_by_result: Counter[tuple[str, str]] = Counter()
        # Streams that callers took up, by how the version that began them was found.
        self.take_ups_by_result: Counter[str] = Counter()
        # Connections that were closed and bodies that were ended at a limit.
        self.limited_by_reason: Counter[str] = Counter()
        self.leader_changes = 0
        self.terms_begun = 0
        self.gauges_by_name: dict[str, float] = {}
        self.registry = Registry()
        self._requests = MetricCounter(
            "sequoiafall_node_requests_total",
            "Requests by kind of route and how they ended",
            registry=self.registry,
        )
        self._read = MetricCounter(
            "sequoiafall_node_requests_read_total",
            "Requests that were read completely",
            registry=self.registry,
        )
        self._ends = MetricCounter(
            "sequoiafall_node_request_ends_total",
            "Ends of requests by cause, by what the caller got, and if they were read",
            registry=self.registry,
        )
        self._attempts = MetricCounter(
            "sequoiafall_node_attempts_total",
            "Sends to backend servers by service and outcome",
            registry=self.registry,
        )
        self._store_calls = MetricCounter(
            "sequoiafall_node_store_calls_total",
            "Calls of the platform's store by call and result",
            registry=self.registry,
        )
        self._take_ups = MetricCounter(
            "sequoiafall_node_take_ups_total",
            "Streams taken up, by how the version that began them was found",
            registry=self.registry,
        )
        self._limited = MetricCounter(
            "sequoiafall_node_connections_limited_total",
            "Connections closed and bodies ended at a limit, by reason",
            registry=self.registry,
        )
        self._state = Gauge(
            "sequoiafall_node_state",
            "State of the instance by name",
            registry=self.registry,
        )
        self.first_byte_seconds = DurationHistogram(
            "sequoiafall_node_first_byte_seconds",
            "Time from a request to the first byte of its answer",
            self.registry,
        )
        self.place_wait_seconds = DurationHistogram(
            "sequoiafall_node_place_wait_seconds",
            "Time a request waited at the leader, by state of its adapter or refused",
            self.registry,
        )
        self.store_call_seconds = DurationHistogram(
            "sequoiafall_node_store_call_seconds",
            "Time of calls of the platform's store by call",
            self.registry,
        )
        self.loop_lag_seconds = DurationHistogram(
            "sequoiafall_node_loop_lag_seconds",
            "How late the event loop ran what was due",
            self.registry,
        )

    def respond(self, request: web.Request) -> web.Response:
        """Return a response with all metrics in the format that the client accepts."""
        for (kind, end), count in self.requests_by_end.items():
            self._requests.set({"kind": kind, "end": end}, count)
        self._read.set({}, self.requests_read)
        for is_read, ends in (
            ("yes", self.ends_by_cause),
            ("no", self.unread_ends_by_cause),
        ):
            for (cause, response), count in ends.items():
                labels = {"cause": cause, "response": response, "read": is_read}
                self._ends.set(labels, count)
        for index, ((service, outcome), count) in enumerate(
            self.attempts_by_outcome.items()
        ):
            label = service if index < MAX_LABELS else "other"
            self._attempts.set({"service": label, "outcome": outcome}, count)
        for (call, result), count in self.store_calls_by_result.items():
            self._store_calls.set({"call": call, "result": result}, count)
        for result, count in self.take_ups_by_result.items():
            self._take_ups.set({"result": result}, count)
        for reason, count in self.limited_by_reason.items():
            self._limited.set({"reason": reason}, count)
        for name, value in self.gauges_by_name.items():
            self._state.set({"name": name}, value)
        content, headers = render(self.registry, request.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)
