"""What gateways ask of the planner, and what it tells gateways and engines."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .refusal import Reason


@dataclass(slots=True, frozen=True)
class PlacementRequest:
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


class AdapterState(enum.Enum):
    """Where an adapter was when its request got an engine."""

    NONE = "none"
    RESIDENT = "resident"
    LOADING = "loading"
    IN_MEMORY = "in memory"
    IN_STORE = "in store"


@dataclass(slots=True, frozen=True)
class Choice:
    """Why a request got its engine, for the log and the metrics.

    Parameters
    ----------
    adapter : AdapterState
        Where the adapter was at the engine.
    cost_s : float
        Estimated time with all prices, in seconds.
    next_best : tuple of (str, float)
        The two next best engines with their estimates.
    """

    adapter: AdapterState
    cost_s: float
    next_best: tuple[tuple[str, float], ...] = ()

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "adapter_state": self.adapter.value,
            **describe_estimates(self.cost_s, self.next_best),
        }


def describe_estimates(
    cost_s: float, next_best: Iterable[tuple[str, float]]
) -> dict[str, object]:
    """Return the fields of a log line for a choice by the least estimate."""
    others = (f"{name}:{int(other_s * 1e3)}" for name, other_s in next_best)
    return {"estimate_ms": int(cost_s * 1e3), "next_best_ms": ",".join(others)}


NO_CHOICE = Choice(AdapterState.NONE, 0.0)


@dataclass(slots=True, frozen=True)
class GrantPlace:
    """Tells a gateway to send the request to an engine now.

    Parameters
    ----------
    request_id, server : str
        The request and its engine.
    version : int
        Version of the adapter that the engine holds.
    waited_s : float
        Seconds since the request came to the planner.
    choice : Choice
        Why this engine.
    """

    request_id: str
    server: str
    version: int
    waited_s: float
    choice: Choice


@dataclass(slots=True, frozen=True)
class RefusePlace:
    """Tells a gateway that the request does not run."""

    request_id: str
    reason: Reason
    retry_after_s: float
    detail: str
    waited_s: float = 0.0


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
