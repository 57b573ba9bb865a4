"""Replacement loads and moved streams of the servers of a pool that are drained."""

from collections.abc import Mapping

from .adapter_slots import SlotManager
from .drain import Drain, DrainPhase, missing_replacements
from .loads import AdapterKey
from .placement import DecayedCounts
from .pool_state import Action, MoveStream, Place, ServerState, SlotState

MOVE_RETRY_S = 5.0
# Work that stands for a request which is expected at a replacement.
PRELOAD_WORK_PER_REQUEST = 200.0


class DrainBook:
    """Decides what is loaded and moved because servers are set aside.

    Parameters
    ----------
    servers_by_name : mapping of str to ServerState
        Servers of the pool.
    slots : SlotManager
        Resident and loading adapters.
    demand : DecayedCounts
        Requests by adapter version.
    move_after_s : float
        Seconds of cleaning after which running streams are moved.
    """

    def __init__(
        self,
        servers_by_name: Mapping[str, ServerState],
        slots: SlotManager,
        demand: DecayedCounts,
        move_after_s: float,
    ) -> None:
        self._servers_by_name = servers_by_name
        self._slots = slots
        self._demand = demand
        self._move_after_s = move_after_s
        self._preload_work_by_key: dict[AdapterKey, float] = {}
        self._moves_by_request_id: dict[str, tuple[str, float]] = {}

    def start(self, server: ServerState, now: float, prepare_limit_s: float) -> None:
        """Start to drain a server."""
        server.drain = Drain(server.life, now, prepare_limit_s, self._move_after_s)

    def preload_work(self, key: AdapterKey) -> float:
        """Return the work that a replacement stands for; 0 if none is wanted."""
        return self._preload_work_by_key.get(key, 0.0)

    def on_load_ordered(self, key: AdapterKey) -> None:
        """Want a replacement no longer, as it is being loaded."""
        self._preload_work_by_key.pop(key, None)

    def take_target(self, request_id: str) -> str:
        """Return the server that a stream was moved to, once; empty for none."""
        return self._moves_by_request_id.pop(request_id, ("", 0.0))[0]

    def advance(self, now: float) -> tuple[list[Action], list[AdapterKey]]:
        """Let drains go on.

        Returns
        -------
        tuple of (list of Action, list of tuple of (str, str))
            Streams to move, and adapter versions whose replacement is wanted
            anew or no longer.
        """
        draining = [s for s in self._servers_by_name.values() if s.drain is not None]
        if not draining:
            changed = list(self._preload_work_by_key)
            self._moves_by_request_id.clear()
            self._preload_work_by_key.clear()
            return [], changed
        actions: list[Action] = []
        changed = []
        for server in draining:
            assert server.drain is not None
            missing = 0
            if server.drain.phase == DrainPhase.PREPARING:
                replacements = self._missing_replacements(server, now)
                missing = len(replacements)
                changed += self._want_replacements(replacements)
            in_use = len(server.places_by_request_id)
            if server.drain.advance(missing, in_use, now) == DrainPhase.MOVING:
                for place in server.places_by_request_id.values():
                    self._move(place, now, actions, changed)
        return actions, changed

    def _missing_replacements(
        self, server: ServerState, now: float
    ) -> list[tuple[AdapterKey, float]]:
        resident = [
            key
            for key, slot in server.slots_by_key.items()
            if slot.state == SlotState.RESIDENT
        ]
        return missing_replacements(
            resident,
            lambda key: self._slots.is_placeable_elsewhere(key, server.name, now),
            lambda key: self._demand.get(key, now),
        )

    def _want_replacements(
        self, replacements: list[tuple[AdapterKey, float]]
    ) -> list[AdapterKey]:
        wanted = []
        for key, requests in replacements:
            if not self._slots.loading_count(key):
                work = requests * PRELOAD_WORK_PER_REQUEST
                self._preload_work_by_key[key] = work
                wanted.append(key)
        return wanted

    def _move(
        self,
        place: Place,
        now: float,
        actions: list[Action],
        changed: list[AdapterKey],
    ) -> None:
        moved = self._moves_by_request_id.get(place.request_id)
        if not place.started or (moved and now - moved[1] < MOVE_RETRY_S):
            return
        targets = [
            other
            for other in self._slots.placeable(place.key).values()
            if other.name != place.server
            and other.has_free_place
            and other.is_engine
            and other.takes_places(now)
        ]
        if targets:
            target = min(targets, key=lambda other: other.work_tokens)
            self._moves_by_request_id[place.request_id] = (target.name, now)
            actions.append(MoveStream(place.request_id, place.server, target.name))
        elif not self._slots.replicas(place.key, now, 1):
            # Adapters in little demand are not replaced while preparing.
            self._preload_work_by_key[place.key] = PRELOAD_WORK_PER_REQUEST
            changed.append(place.key)
