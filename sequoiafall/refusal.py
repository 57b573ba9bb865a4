"""Refusals of requests, with a machine-readable reason and an HTTP status."""

from dataclasses import dataclass
from enum import StrEnum


class RunStatus(StrEnum):
    """Whether a refused request may have run."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Machine-readable reason for a refusal."""

    INVALID_REQUEST = "invalid_request"
    INVALID_KEY = "invalid_key"
    WITHDRAWN_KEY = "withdrawn_key"
    NOT_PERMITTED = "not_permitted"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_ROUTE = "unknown_route"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    STALE_CONFIGURATION = "stale_configuration"
    OWNER_UNAVAILABLE = "owner_unavailable"
    ADAPTER_LOAD_FAILED = "adapter_load_failed"
    NO_BACKEND_SERVER = "no_backend_server"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    BACKEND_FAILED = "backend_failed"
    WRONG_ADAPTER = "wrong_adapter"
    DRAINING = "draining"
    HARMFUL_PROMPT = "harmful_prompt"
    INTERNAL_ERROR = "internal_error"
    HARMFUL_REQUEST = "harmful_request"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    BODY_MEMORY_FULL = "body_memory_full"
    BODY_STALLED = "body_stalled"
    BODY_TOO_LARGE = "body_too_large"
    BODY_FRAGMENTED = "body_fragmented"


_STATUS_BY_REASON = {
    Reason.INVALID_REQUEST: 400,
    Reason.INVALID_KEY: 401,
    Reason.WITHDRAWN_KEY: 401,
    Reason.NOT_PERMITTED: 403,
    Reason.UNKNOWN_ADAPTER: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BODY_STALLED: 408,
    Reason.IN_PROGRESS: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.IDEMPOTENCY_MISMATCH: 422,
    Reason.RATE_EXCEEDED: 429,
    Reason.BACKEND_FAILED: 502,
    Reason.WRONG_ADAPTER: 502,
    Reason.OUTCOME_UNKNOWN: 502,
}


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why a request is not served, and whether it may have run.

    Parameters
    ----------
    reason : Reason
        Why the request was refused.
    ran : RunStatus
        ``NOT_RUN`` only if no backend server can have run the request.
    retry_after_s : float, default=0.0
        Seconds after which a retry is worthwhile; 0 if a retry is pointless.
    detail : str, default=""
        Human-readable explanation; never contains a key or a prompt.
    """

    reason: Reason
    ran: RunStatus = RunStatus.NOT_RUN
    retry_after_s: float = 0.0
    detail: str = ""

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return _STATUS_BY_REASON.get(self.reason, 503)


def secret_refusal() -> Refusal:
    """Return the refusal of a request whose key also occurs outside its header."""
    return Refusal(
        Reason.INVALID_REQUEST,
        detail="the key may only be given in the Authorization header",
    )
