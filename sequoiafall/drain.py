"""Phases of the drain of one backend server that is taken out of service."""

from collections.abc import Callable, Iterable
from enum import StrEnum

from .chart import Lifecycle
from .loads import AdapterKey

# A draining server gets no new requests after this time, even if the weight store is
# too slow to load every replacement by then.
PREPARE_LIMIT_S = 3.0
# Most responses end within this time; the streams of longer ones are moved, so that
# they do not keep the server busy past its cleaning window.
MOVE_AFTER_S = 60.0
# Adapters with a smaller decayed request count get no replacement in advance; they
# are loaded when next requested.
MIN_REPLACEMENT_DEMAND = 0.25


class DrainPhase(StrEnum):
    """States of a draining server in charts/backend_server.yaml."""

    PREPARING = "preparing"
    DRAINING = "draining"
    MOVING = "moving"
    DRAINED = "drained"


class Drain:
    """Drain of one server for cleaning, which interrupts no running request.

    Parameters
    ----------
    lifecycle : Lifecycle
        State machine of the server, from charts/backend_server.yaml.
    now : float
        When the drain starts, in seconds.
    prepare_limit_s : float
        Longest time for loading replacements at other servers.
    move_after_s : float
        Time from the start of the drain after which remaining streams are moved.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        now: float,
        prepare_limit_s: float = PREPARE_LIMIT_S,
        move_after_s: float = MOVE_AFTER_S,
    ) -> None:
        lifecycle.handle("set_aside")
        self._lifecycle = lifecycle
        self._prepare_deadline = now + prepare_limit_s
        self._move_at = now + move_after_s

    @property
    def phase(self) -> str:
        """Current state of the server in the state chart."""
        return self._lifecycle.state

    def takes_places(self, now: float) -> bool:
        """Whether the server still accepts new places."""
        return (
            self._lifecycle.state == DrainPhase.PREPARING
            and now < self._prepare_deadline
        )

    def advance(self, missing: int, in_use: int, now: float) -> str:
        """Enter the phase that the state of the server calls for.

        Parameters
        ----------
        missing : int
            Adapters that still lack a replacement at another server.
        in_use : int
            Places in use at the server.
        now : float
            Current time in seconds.

        Returns
        -------
        str
            The phase after the transition, one of `DrainPhase`.
        """
        if missing == 0 or now >= self._prepare_deadline:
            self._lifecycle.handle("prepared")
        if now >= self._move_at:
            self._lifecycle.handle("move_due")
        if in_use == 0:
            self._lifecycle.handle("emptied")
        return self._lifecycle.state


def missing_replacements(
    resident: Iterable[AdapterKey],
    is_placeable_elsewhere: Callable[[AdapterKey], bool],
    demand: Callable[[AdapterKey], float],
) -> list[tuple[AdapterKey, float]]:
    """Return the adapters to load at other servers, with their demand.

    Parameters
    ----------
    resident : iterable of tuple of (str, str)
        Adapter versions resident at the draining server.
    is_placeable_elsewhere : callable
        Whether another server that stays in service has the adapter version.
    demand : callable
        Decayed request count of an adapter version.

    Returns
    -------
    list of (tuple of (str, str), float)
        Adapter versions and their decayed request counts.
    """
    missing = []
    for key in resident:
        requests = demand(key)
        if requests >= MIN_REPLACEMENT_DEMAND and not is_placeable_elsewhere(key):
            missing.append((key, requests))
    return missing
