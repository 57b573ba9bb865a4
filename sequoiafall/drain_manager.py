"""Runs the drains of a pool: replacement loads and stream moves for its servers."""

from collections.abc import Mapping

from .adapter_slots import SlotManager
from .drain import Drain, DrainPhase, missing_replacements
from .loads import AdapterKey
from .placement import DecayedCounts
from .pool_state import Action, MoveStream, Place, ServerState, SlotState

MOVE_RETRY_S = 5.0
# Tokens of waiting work that one expected request at a replacement counts as.
PRELOAD_WORK_PER_REQUEST = 200.0


class DrainManager:
    """Decides which adapters are loaded and which streams are moved for drains.

    Parameters
    ----------
    servers_by_name : mapping of str to ServerState
        Servers of the pool.
    slots : SlotManager
        Resident and loading adapters.
    demand : DecayedCounts
        Decayed request counts by adapter version.
    move_after_s : float
        Seconds after the start of a drain at which running streams are moved.
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
        """Start draining a server."""
        server.drain = Drain(server.lifecycle, now, prepare_limit_s, self._move_after_s)

    def preload_work(self, key: AdapterKey) -> float:
        """Return the work that a wanted replacement counts as; 0 if none is wanted."""
        return self._preload_work_by_key.get(key, 0.0)

    def on_load_ordered(self, key: AdapterKey) -> None:
        """Stop requesting a replacement whose load has been ordered."""
        self._preload_work_by_key.pop(key, None)

    def pop_target(self, request_id: str) -> str:
        """Return and forget the server a stream was moved to; empty if none."""
        return self._moves_by_request_id.pop(request_id, ("", 0.0))[0]

    def advance(self, now: float) -> tuple[list[Action], list[AdapterKey]]:
        """Advance all drains.

        Returns
        -------
        tuple of (list of Action, list of tuple of (str, str))
            Streams to move, and adapter versions whose demand for a replacement has
            changed.
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
                    self._request_move(place, now, actions, changed)
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

    def _request_move(
        self,
        place: Place,
        now: float,
        actions: list[Action],
        changed: list[AdapterKey],
    ) -> None:
        last_move = self._moves_by_request_id.get(place.request_id)
        if not place.started or (last_move and now - last_move[1] < MOVE_RETRY_S):
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
            # Adapters with little demand got no replacement in the preparing phase.
            self._preload_work_by_key[place.key] = PRELOAD_WORK_PER_REQUEST
            changed.append(place.key)
