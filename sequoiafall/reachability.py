"""Which announced servers of plain services exist.

Anyone who can write to the store can announce a server. An announced one is asked once
who it is, beside the calls, so that entries that lead nowhere cost no call its time and
its retries. Servers that have responded to a call are left to `PlainRouting`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .backend_registry import BackendEntry
from .retry import back_off_s

# Time until the next check of a server that was not reached, doubling with each
# further failure up to the limit.
INITIAL_PAUSE_S = 0.4
PAUSE_LIMIT_S = 16.0


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
    """Decides which servers get calls and which ones are checked.

    Times are seconds of any steady clock.
    """

    __slots__ = ("_checks", "_checks_by_server", "_in_check", "_states_by_server")

    def __init__(self) -> None:
        self._states_by_server: dict[str, _ServerState] = {}
        self._in_check: set[str] = set()
        # Number of the last check of each server, whatever its start. Otherwise,
        # entries that change all the time would be checked before all others.
        self._checks_by_server: dict[str, int] = {}
        self._checks = 0

    def usable(self, entries: Iterable[BackendEntry]) -> list[BackendEntry]:
        """Return the servers of a service that get calls.

        These are the servers that have responded or that a check has reached. If there
        are none, return those that have not failed yet; if there are none of these
        either, return all.
        """
        entries = list(entries)
        for is_usable in (_is_proven, _has_not_failed):
            found = [row for row in entries if is_usable(self._current(row))]
            if found:
                return found
        return entries

    def awaits_check(self, entries: Iterable[BackendEntry]) -> bool:
        """Return whether a first check may still show which server to use."""
        states = [self._current(entry) for entry in entries]
        return any(map(_has_not_failed, states)) and not any(map(_is_proven, states))

    def due(self, entries: Iterable[BackendEntry], now: float) -> list[BackendEntry]:
        """Return the servers to check now, the longest unchecked ones first."""
        due = [row.entry for row in self._to_check(entries) if row.check_at <= now]
        due.sort(key=lambda entry: self._checks_by_server.get(entry.name, 0))
        return due

    def next_check_at(self, entries: Iterable[BackendEntry]) -> float | None:
        """Return the earliest time of a check, None if none is to come."""
        return min((row.check_at for row in self._to_check(entries)), default=None)

    def begin_check(self, entry: BackendEntry) -> None:
        """Record that a check begins."""
        self._in_check.add(entry.name)
        self._checks += 1
        self._checks_by_server[entry.name] = self._checks

    def end_check(self, entry: BackendEntry, is_reached: bool, now: float) -> int:
        """Record whether a check has reached the server.

        Returns
        -------
        int
            Number of failures of this start of the server.
        """
        self._in_check.discard(entry.name)
        state = self._known(entry)
        if state is None:
            return 0
        if is_reached:
            self._on_reached(state)
            state.is_reached = True
        else:
            _record_failure(state, now)
        return state.failures

    def on_end(self, entry: BackendEntry, is_reached: bool, now: float) -> bool:
        """Record whether the server has responded to a call.

        Returns
        -------
        bool
            Whether the server has to be checked again.
        """
        state = self._known(entry)
        if state is None:
            return False
        if is_reached:
            self._on_reached(state)
            state.has_responded = True
            return False
        if state.has_responded:
            return False
        _record_failure(state, now)
        return True

    def on_wrong_server(self, entry: BackendEntry, now: float) -> None:
        """Record that another server listens at the address of a server."""
        state = self._known(entry)
        if state is not None:
            state.has_responded = False
            _record_failure(state, now)

    def keep(self, names: Collection[str]) -> None:
        """Forget all servers but those with these names."""
        for by_server in (self._states_by_server, self._checks_by_server):
            for name in [name for name in by_server if name not in names]:
                del by_server[name]

    def _to_check(self, entries: Iterable[BackendEntry]) -> list[_ServerState]:
        states = [self._current(entry) for entry in entries]
        return [
            state
            for state in states
            if not _is_proven(state) and state.entry.name not in self._in_check
        ]

    def _on_reached(self, state: _ServerState) -> None:
        """Check the others of the service at once if this is the first one."""
        others = [
            row
            for row in self._states_by_server.values()
            if row.entry.service == state.entry.service
        ]
        if any(_is_proven(row) for row in others):
            return
        # The instance may have been cut off from all of them.
        for row in others:
            row.check_at = 0.0

    def _known(self, entry: BackendEntry) -> _ServerState | None:
        """Return the state of a server, None if it has started again since."""
        state = self._states_by_server.get(entry.name)
        if state is None or _start_of(state.entry) != _start_of(entry):
            return None
        return state

    def _current(self, entry: BackendEntry) -> _ServerState:
        state = self._known(entry)
        if state is None:
            state = self._states_by_server[entry.name] = _ServerState(entry)
        return state


def _record_failure(state: _ServerState, now: float) -> None:
    state.is_reached = False
    if state.check_at > now:
        # The call began before the last failure, and shows nothing new.
        return
    state.failures += 1
    state.check_at = now + back_off_s(INITIAL_PAUSE_S, state.failures, PAUSE_LIMIT_S)


def _start_of(entry: BackendEntry) -> tuple[str, int]:
    return entry.address, entry.born


def _is_proven(state: _ServerState) -> bool:
    return state.is_reached or state.has_responded


def _has_not_failed(state: _ServerState) -> bool:
    return not state.failures
