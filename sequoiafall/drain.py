"""Draining of a backend server that is set aside for cleaning."""

from collections.abc import Callable, Iterable
from enum import StrEnum

from .chart import Lifecycle
from .loads import AdapterKey

# A server leaving for cleaning gets no new work after a few seconds, even if
# the weight store is too slow to load every replacement by then.
PREPARE_LIMIT_S = 3.0
# Most answers end by themselves within this time; longer ones are moved so that
# they do not hold the server past its cleaning window.
MOVE_AFTER_S = 60.0
# Adapters below this decayed number of requests are loaded when next requested.
MIN_REPLACED_DEMAND = 0.25


class DrainPhase(StrEnum):
    """States in charts/backend_server.yaml of a server that is set aside."""

    PREPARING = "preparing"
    DRAINING = "draining"
    MOVING = "moving"
    DRAINED = "drained"


class Drain:
    """Takes a server out of service without cutting off a request.

    Parameters
    ----------
    lifecycle : Lifecycle
        Run of the chart of the server.
    now : float
        When the server was set aside, in seconds.
    prepare_limit_s : float
        Longest time for loading replacements elsewhere.
    move_after_s : float
        Time after which remaining streams are moved.
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
        self._prepare_until = now + prepare_limit_s
        self._move_at = now + move_after_s

    @property
    def phase(self) -> str:
        """Present state of the chart."""
        return self._lifecycle.state

    def takes_places(self, now: float) -> bool:
        """Whether the server still gets new places."""
        return (
            self._lifecycle.state == DrainPhase.PREPARING and now < self._prepare_until
        )

    def advance(self, missing: int, in_use: int, now: float) -> str:
        """Enter the phase that follows from the state of the server.

        Parameters
        ----------
        missing : int
            Adapters that still need a replacement elsewhere.
        in_use : int
            Places in use at the server.
        now : float
            Current time in seconds.

        Returns
        -------
        str
            The phase from now on, one of `DrainPhase`.
        """
        if missing == 0 or now >= self._prepare_until:
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
    """Return the adapters to load elsewhere with their demand.

    Parameters
    ----------
    resident : iterable of tuple of (str, str)
        Adapter versions at the server that is drained.
    is_placeable_elsewhere : callable
        Whether another server that stays in service has the adapter version.
    demand : callable
        Decayed number of requests.
    """
    missing = []
    for key in resident:
        requests = demand(key)
        if requests >= MIN_REPLACED_DEMAND and not is_placeable_elsewhere(key):
            missing.append((key, requests))
    return missing
