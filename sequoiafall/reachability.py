"""Which servers of plain services an instance has reached.

Anyone who can write to the store can announce a server. An announced server is proven
by a connection that is made beside the callers' requests, so that entries that lead
nowhere cost no request its time and its retries.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .backend_registry import BackendEntry
from .retry import back_off_s

# Time until the next check of a server that could not be reached, doubling with each
# further failure up to a limit: that of a server that has responded before, and that
# of one that never has.
INITIAL_PAUSE_S = 0.4
KNOWN_PAUSE_LIMIT_S = 4.0
UNKNOWN_PAUSE_LIMIT_S = 16.0


class _ServerState:
    """What is known of one start of a server at one address."""

    __slots__ = ("check_at", "entry", "failures", "has_responded", "is_reached")

    def __init__(self, entry: BackendEntry) -> None:
        self.entry = entry
        self.is_reached = False
        self.has_responded = False
        self.failures = 0
        self.check_at = 0.0


class Reachability:
    """Decides which servers get requests and which ones are checked.

    A server that could not be reached gets no request until a check has reached it,
    unless there is no other one. Times are seconds of any steady clock.
    """

    __slots__ = ("_in_check", "_states_by_server", "_uncertain_services")

    def __init__(self) -> None:
        self._states_by_server: dict[str, _ServerState] = {}
        self._in_check: set[str] = set()
        # Services with an entry that names the address of another server.
        self._uncertain_services: set[str] = set()

    def usable(self, entries: Iterable[BackendEntry]) -> list[BackendEntry]:
        """Return the servers that were reached.

        If there are none, return those whose first check is under way; if there are
        none of these either, return all.
        """
        entries = list(entries)
        for is_usable in (_is_reached, _is_untried):
            found = [row for row in entries if is_usable(self._state(row))]
            if found:
                return found
        return entries

    def due(self, entries: Iterable[BackendEntry], now: float) -> list[BackendEntry]:
        """Return the servers to check now, the likeliest to be reached first."""
        states = [self._state(entry) for entry in entries]
        due = [
            state
            for state in states
            if not state.is_reached
            and state.check_at <= now
            and state.entry.name not in self._in_check
        ]
        due.sort(key=lambda state: (not state.has_responded, state.failures))
        return [state.entry for state in due]

    def next_check_at(self, entries: Iterable[BackendEntry]) -> float | None:
        """Return the earliest time of a check, None if none is to come."""
        times = [
            state.check_at
            for state in map(self._state, entries)
            if not state.is_reached and state.entry.name not in self._in_check
        ]
        return min(times, default=None)

    def needs_identity(self, entry: BackendEntry) -> bool:
        """Return whether a check has to ask which server listens at the address."""
        is_uncertain = entry.service in self._uncertain_services
        return is_uncertain and not self._state(entry).has_responded

    def begin_check(self, entry: BackendEntry) -> None:
        """Record that a check begins."""
        self._in_check.add(entry.name)

    def end_check(self, entry: BackendEntry, is_reached: bool, now: float) -> int:
        """Record whether a check has reached the server.

        Returns
        -------
        int
            Number of failures since the server responded last.
        """
        self._in_check.discard(entry.name)
        state = self._state(entry)
        if is_reached:
            state.is_reached = True
        else:
            _record_failure(state, now)
        return state.failures

    def on_end(self, entry: BackendEntry, is_reached: bool, now: float) -> None:
        """Record whether a request has reached the server."""
        state = self._state(entry)
        if is_reached:
            state.is_reached = state.has_responded = True
            state.failures = 0
        else:
            _record_failure(state, now)

    def on_wrong_server(self, entry: BackendEntry, now: float) -> None:
        """Record that another server listens at an address.

        Servers of the service that have not responded yet are checked again, as their
        entries may be of the same kind.
        """
        self.on_end(entry, False, now)
        self._uncertain_services.add(entry.service)
        for state in self._states_by_server.values():
            if state.entry.service == entry.service and not state.has_responded:
                state.is_reached = False

    def keep(self, names: Collection[str]) -> None:
        """Forget all servers but those with these names."""
        for name in [name for name in self._states_by_server if name not in names]:
            del self._states_by_server[name]
        services = {state.entry.service for state in self._states_by_server.values()}
        self._uncertain_services &= services

    def _state(self, entry: BackendEntry) -> _ServerState:
        state = self._states_by_server.get(entry.name)
        if state is None or _start_of(state.entry) != _start_of(entry):
            state = self._states_by_server[entry.name] = _ServerState(entry)
        return state


def _record_failure(state: _ServerState, now: float) -> None:
    state.is_reached = False
    if state.check_at > now:
        # The call began before the last failure, and shows nothing new.
        return
    state.failures += 1
    limit_s = KNOWN_PAUSE_LIMIT_S if state.has_responded else UNKNOWN_PAUSE_LIMIT_S
    state.check_at = now + back_off_s(INITIAL_PAUSE_S, state.failures, limit_s)


def _start_of(entry: BackendEntry) -> tuple[str, int]:
    return entry.address, entry.born


def _is_reached(state: _ServerState) -> bool:
    return state.is_reached


def _is_untried(state: _ServerState) -> bool:
    return not state.failures
