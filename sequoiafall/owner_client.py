"""Base class of `QuotaClient` and `PlaceClient`, which call resource owners."""

from __future__ import annotations

import random
from typing import Any

from mode import Service

from .control_client import ControlClient
from .refusal import Reason, Refusal
from .wire.gen.ttypes import PlaceReply, QuotaReply

FIRST_OWNER_DELAY_S = 0.02
MAX_OWNER_DELAY_S = 0.3
OWNER_RETRY_AFTER_S = 1.0

# Reasons in the reply of an instance that does not currently own the resource.
NOT_OWNER_REASONS = frozenset({Reason.OWNER_UNAVAILABLE, Reason.STALE_CONFIGURATION})


class OwnerClient(Service):
    """Base class of gateway services that send requests to the owners of resources.

    Parameters
    ----------
    control : ControlClient
        Client that provides the head, the table and the owners.
    generator : random.Random
        Source of jitter.
    """

    # Keeps the start and stop messages of the library, which have another format, out
    # of the log.
    mundane_level = "debug"

    def __init__(
        self, control: ControlClient, generator: random.Random, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._control = control
        self._generator = generator

    def _owner_delay_s(self, attempt: int) -> float:
        """Return the backoff with jitter before the next attempt, in seconds."""
        bound = min(FIRST_OWNER_DELAY_S * 2.0**attempt, MAX_OWNER_DELAY_S)
        return self._generator.uniform(bound / 2, bound)


def owner_unavailable(detail: str) -> Refusal:
    """Return the refusal of a request for which no owner was found in time."""
    return Refusal(
        Reason.OWNER_UNAVAILABLE, retry_after_s=OWNER_RETRY_AFTER_S, detail=detail
    )


def refusal_of(reply: PlaceReply | QuotaReply, detail: str) -> Refusal:
    """Return the refusal in an owner's reply."""
    return Refusal(
        Reason(reply.reason), retry_after_s=reply.retry_after_ms / 1000, detail=detail
    )
