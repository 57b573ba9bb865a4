"""What gateways ask of the planner, and what it tells gateways and engines."""

from __future__ import annotations

from dataclasses import dataclass

from .refusal import Reason


@dataclass(slots=True, frozen=True)
class Ask:
    """A request for a place.

    Parameters
    ----------
    request_id, organisation, gateway, zone : str
        Who asks.
    adapter : str
        Adapter, empty for the base model.
    prompt_tokens : int
        Tokens of the prompt.
    rank : int
        Priority, 0 goes first.
    on_time_s : float
        Time left in which the first event would be on time.
    time_left_s : float
        Time until the caller gives up.
    excluded : frozenset of str
        Engines that failed this request.
    """

    request_id: str
    organisation: str
    gateway: str
    zone: str
    adapter: str
    prompt_tokens: int
    rank: int
    on_time_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class GrantPlace:
    """Tells a gateway to send the request to an engine now."""

    request_id: str
    server: str
    version: int
    waited_s: float


@dataclass(slots=True, frozen=True)
class RefusePlace:
    """Tells a gateway that the request does not run."""

    request_id: str
    reason: Reason
    retry_after_s: float
    detail: str


@dataclass(slots=True, frozen=True)
class LoadOrder:
    """Tells an engine to load an adapter, after unloading another one.

    Without an adapter, the base model is loaded.
    """

    server: str
    adapter: str
    version: int
    evicted: str = ""


Action = GrantPlace | RefusePlace | LoadOrder
