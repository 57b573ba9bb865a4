"""Requests to an `EnginePlanner`, and the actions that it returns."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .backend_registry import BackendEntry
from .refusal import Reason


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A gateway's request for a place at an engine.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    organisation : str
        Organisation of the caller.
    gateway, zone : str
        The gateway and its availability zone.
    adapter : str
        Name of the adapter, empty for the base model.
    prompt_tokens : int
        Tokens of the prompt.
    rank : int
        Priority; 0 is the highest.
    on_time_s : float
        Seconds left for the first event to be on time; negative if it is late.
    time_left_s : float
        Seconds left until the caller's deadline.
    excluded : frozenset of str
        Engines that may not be chosen, because they failed this request.
    shared_parts : tuple of str
        Suspects of the request: its identity, and the parts of its prompt that other
        requests may share.
    software : str or None
        Software version that the engine must have, None for any.
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
    shared_parts: tuple[str, ...] = ()
    software: str | None = None

    def accepts(self, entry: BackendEntry) -> bool:
        """Return whether an engine may be chosen for this request."""
        if entry.name in self.excluded:
            return False
        return self.software is None or entry.software == self.software


class AdapterState(enum.Enum):
    """Location of the adapter when an engine was chosen for its request."""

    NONE = "none"
    RESIDENT = "resident"
    LOADING = "loading"
    IN_MEMORY = "in memory"
    IN_STORE = "in store"


@dataclass(slots=True, frozen=True)
class Choice:
    """Reasons for the choice of an engine, for the log and the metrics.

    Parameters
    ----------
    adapter : AdapterState
        Location of the adapter.
    cost_s : float
        Estimated delay plus penalties, in seconds.
    next_best : tuple of (str, float)
        Names and costs of the runner-up engines.
    """

    adapter: AdapterState
    cost_s: float
    next_best: tuple[tuple[str, float], ...] = ()

    def describe(self) -> dict[str, object]:
        """Return the fields of the log line."""
        return {
            "adapter_state": self.adapter.value,
            **describe_estimates(self.cost_s, self.next_best),
        }


def describe_estimates(
    cost_s: float, next_best: Iterable[tuple[str, float]]
) -> dict[str, object]:
    """Return the log fields for a choice by lowest estimated cost."""
    others = (f"{name}:{int(other_s * 1e3)}" for name, other_s in next_best)
    return {"estimate_ms": int(cost_s * 1e3), "next_best_ms": ",".join(others)}


NO_CHOICE = Choice(AdapterState.NONE, 0.0)


@dataclass(slots=True, frozen=True)
class GrantPlace:
    """Allows a gateway to send a request to an engine now.

    Parameters
    ----------
    request_id, server : str
        The request and its engine.
    version : int
        Version of the adapter at the engine, 0 for the base model.
    waited_s : float
        Time in the planner's queue, in seconds.
    choice : Choice
        Reasons for the choice of the engine.
    is_trial : bool
        Whether the request shows if a part of its prompt crashes engines.
    """

    request_id: str
    server: str
    version: int
    waited_s: float
    choice: Choice
    is_trial: bool = False


@dataclass(slots=True, frozen=True)
class RefusePlace:
    """Tells a gateway that a request is refused and does not run.

    Parameters
    ----------
    request_id : str
        The request.
    reason : Reason
        Why it is refused.
    retry_after_s : float
        Seconds after which the caller may retry, 0 for no hint.
    detail : str
        Explanation for the caller and the log.
    waited_s : float
        Time in the planner's queue, in seconds.
    """

    request_id: str
    reason: Reason
    retry_after_s: float
    detail: str
    waited_s: float = 0.0


@dataclass(slots=True, frozen=True)
class LoadOrder:
    """Orders an engine to load an adapter, after evicting another one if named.

    An order with an empty adapter loads the base model.
    """

    server: str
    adapter: str
    version: int
    evicted: str = ""


Action = GrantPlace | RefusePlace | LoadOrder
