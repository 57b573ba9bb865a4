"""Builds responses to callers, and records how calls end."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from .admission import ResolvedModel
from .caller_stream import CallerStream
from .calls import RunningCall
from .control_client import ControlClient
from .engine_client import BrokenResponseError
from .gateway_metrics import GatewayMetrics
from .log import log_event, log_warning
from .refusal import Reason, Refusal, RunStatus
from .relay import ADAPTER_HEADER, REQUEST_ID_HEADER, VERSION_HEADER

_TYPES_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    422: "idempotency_error",
    429: "rate_limit_error",
}


@dataclass(slots=True)
class CallContext:
    """State of a request while it is handled."""

    request: web.Request
    request_id: str
    kind: str
    started_at: float
    secret: str = ""
    call: RunningCall | None = None
    stream: CallerStream | None = None
    fields: dict[str, object] = field(default_factory=dict)

    @property
    def running(self) -> RunningCall:
        """The registered call; must not be used before registration."""
        assert self.call is not None
        return self.call


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body for a refusal."""
    return {
        "error": {
            "message": refusal.detail or refusal.reason.replace("_", " "),
            "type": _TYPES_BY_STATUS.get(refusal.status, "server_error"),
            "reason": str(refusal.reason),
            "ran": str(refusal.ran),
            "retry_after_s": refusal.retry_after_s,
        }
    }


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Build the HTTP response for a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return web.Response(
        status=refusal.status,
        headers=headers,
        content_type="application/json",
        body=msgspec.json.encode(error_body(refusal)),
    )


class CallFinisher:
    """Finishes calls: sends error responses, logs and updates metrics.

    Parameters
    ----------
    control : ControlClient
        Provides the clock.
    metrics : GatewayMetrics
        Metrics of this gateway.
    """

    def __init__(self, control: ControlClient, metrics: GatewayMetrics) -> None:
        self._control = control
        self._metrics = metrics

    def record_first_byte(self, context: CallContext) -> None:
        """Log and measure the time to the first byte of a response."""
        seconds = self._control.clock() - context.started_at
        self._metrics.first_byte_seconds.observe(context.kind, seconds)
        log_event("first_byte", request_id=context.request_id, seconds=seconds)

    def finish(self, context: CallContext, end: str) -> None:
        """Log and count a call that ended without a refusal."""
        seconds = self._control.clock() - context.started_at
        self._metrics.count_request(context.kind, end)
        self._metrics.duration_seconds.observe(context.kind, seconds)
        log_event(
            "finished",
            request_id=context.request_id,
            end=end,
            seconds=seconds,
            **context.fields,
        )

    async def refuse(
        self, context: CallContext, refusal: Refusal
    ) -> web.StreamResponse:
        """Send a refusal, or end a response that has already begun.

        An event stream ends with an ``error`` event; for other responses the
        connection is closed.
        """
        self._metrics.count_request(context.kind, refusal.reason)
        log_event(
            "refused",
            request_id=context.request_id,
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.detail,
            **context.fields,
        )
        stream = context.stream
        if stream is None or stream.response is None:
            return refusal_response(refusal, context.request_id)
        if stream.response.content_type != "text/event-stream":
            stream.abort()
            return stream.response
        body = msgspec.json.encode(error_body(refusal))
        await stream.end(b"event: error\ndata: %b\n\n" % body)
        return stream.response

    def abort(
        self, context: CallContext, error: BrokenResponseError
    ) -> web.StreamResponse:
        """End a response whose backend failed, so that it is seen as incomplete."""
        self._metrics.count_request(context.kind, Reason.BACKEND_FAILED)
        log_warning(
            "refused",
            request_id=context.request_id,
            reason=Reason.BACKEND_FAILED,
            ran=RunStatus.UNKNOWN,
            detail=error,
        )
        return self.close(context)

    def close(self, context: CallContext) -> web.StreamResponse:
        """Close the connection of a response that has begun."""
        stream = context.stream
        if stream is None or stream.response is None:
            refusal = Refusal(Reason.BACKEND_FAILED, RunStatus.UNKNOWN, 1.0)
            return refusal_response(refusal, context.request_id)
        stream.abort()
        return stream.response


def with_run_status(refusal: Refusal, call: RunningCall) -> Refusal:
    """Return the refusal, corrected to say whether the call may have run."""
    if refusal.ran is RunStatus.UNKNOWN or not call.may_have_run:
        return refusal
    return Refusal(
        refusal.reason, RunStatus.UNKNOWN, refusal.retry_after_s, refusal.detail
    )


def model_headers(request_id: str, model: ResolvedModel) -> dict[str, str]:
    """Return the headers that name the request and its model."""
    return {
        REQUEST_ID_HEADER: request_id,
        ADAPTER_HEADER: model.adapter,
        VERSION_HEADER: model.version,
    }


def json_response(body: dict[str, Any], request_id: str) -> web.Response:
    """Build a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={REQUEST_ID_HEADER: request_id},
    )
