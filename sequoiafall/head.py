"""Freshness of the head and the moment at which a change is in force."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from .wire.gen.ttypes import Head, Member, View

# Seconds for which evidence about the head counts, from when it was asked for.
# Long enough for several heartbeats to be lost, short enough for a withdrawn
# key to stop working within seconds.
HEAD_MAX_AGE_S = 2.0
# Monotonic clocks of different machines may run at rates that differ slightly;
# a change is declared in force this much later than the rates' ideal.
CLOCK_RATE_MARGIN = 0.01
# Commits that replace the view stop at this many unconfirmed predecessors, so
# that the head row stays small through a long partition.
MAX_PENDING_VIEWS = 8


def majority_of(view: View) -> int:
    """Return the number of seats that make a majority of the view."""
    return len(view.members) // 2 + 1


def blocking_count(view: View) -> int:
    """Return the number of seats without which no majority of the view is left.

    It is smaller than a majority if the number of seats is even: one of two
    members can then replace a view whose other member has failed.
    """
    return len(view.members) - majority_of(view) + 1


def seats_of(view: View) -> list[str]:
    """Return the names of the view's voting seats."""
    return [member.instance for member in view.members]


def views_of(head: Head) -> list[View]:
    """Return the view of a head and the pending views."""
    return [head.view, *(head.pending_views or [])]


def open_views(head: Head, in_force_revision: int) -> list[View]:
    """Return the views of a head on which some instance may still be fresh.

    Parameters
    ----------
    head : Head
        The head.
    in_force_revision : int
        Highest revision known to be in force.
    """
    views = [*(head.pending_views or []), head.view]
    return [head.view] + [
        earlier
        for earlier, successor in itertools.pairwise(views)
        if successor.revision > in_force_revision
    ]


class HeadFreshness:
    """Decides whether the held head is certain to be the one in force.

    Evidence that no revision above the held one existed (a read of the platform)
    or had been acknowledged by a majority (confirmations of peers) at a time
    ``t`` makes the head fresh until ``t + HEAD_MAX_AGE_S``. Evidence for an older
    revision than the held one counts as well: it shows the same about all later
    revisions.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    __slots__ = (
        "_asked_at_by_seat",
        "_gave_up_seats",
        "_has_memory",
        "_held_seats",
        "_platform_asked_at",
        "_taken",
        "head",
        "instance",
        "newest_revision_seen",
    )

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.head: Head | None = None
        self.newest_revision_seen = 0
        self._platform_asked_at = -math.inf
        self._asked_at_by_seat: dict[str, float] = {}
        self._has_memory = False
        self._gave_up_seats = False
        self._taken: Member | None = None
        self._held_seats: list[str] | None = None

    @property
    def revision(self) -> int:
        """Revision of the held head; 0 if none is held."""
        return self.head.revision if self.head is not None else 0

    def observe_head(self, head: Head, now: float) -> bool:
        """Hold a newer head; an older one is ignored.

        Returns
        -------
        bool
            Whether the head was newer than the held one.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, head.revision)
        if head.revision <= self.revision:
            return False
        self.head = head
        self._held_seats = None
        return True

    def note_revision(self, revision: int) -> None:
        """Note that a revision exists."""
        self.newest_revision_seen = max(self.newest_revision_seen, revision)

    def on_platform_read(self, revision: int, sent_at: float) -> None:
        """Count a proof that `revision` was the newest at or after `sent_at`.

        The platform gives it by a transaction without writes whose condition is
        the version of the head row. A plain read is only a hint: a table service
        may answer reads from a replica that lags.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, revision)
        if self.head is None or revision > self.revision:
            return
        self._platform_asked_at = max(self._platform_asked_at, sent_at)
        if not self._has_memory:
            self.recover()

    def on_confirmation(self, seat: str, revision: int, sent_at: float) -> None:
        """Count a peer's reply to a heartbeat that was sent at `sent_at`.

        Only replies of peers that may confirm are passed. A revision above the
        held one is no evidence; it asks the caller to fetch the newer head.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, revision)
        if self.head is None or revision > self.revision:
            return
        previous = self._asked_at_by_seat.get(seat, -math.inf)
        self._asked_at_by_seat[seat] = max(previous, sent_at)

    def is_behind(self) -> bool:
        """Whether a newer head is known to exist."""
        return self.newest_revision_seen > self.revision

    def fresh_until(self) -> float:
        """Return the time until which the held head is fresh."""
        if self.head is None:
            return -math.inf
        asked_at = max(self._platform_asked_at, self._majority_asked_at(self.head.view))
        return asked_at + HEAD_MAX_AGE_S

    def platform_fresh_until(self) -> float:
        """Return the time until which reads of the platform alone suffice."""
        return self._platform_asked_at + HEAD_MAX_AGE_S

    def is_fresh(self, now: float) -> bool:
        """Whether this instance may act on the held head."""
        return now < self.fresh_until()

    def can_confirm(self) -> bool:
        """Whether this instance votes and may confirm what it holds."""
        return bool(self.voting_seats())

    def has_recovered(self) -> bool:
        """Whether the held head covers all that an earlier process acknowledged."""
        return self._has_memory

    def voting_seats(self) -> list[str]:
        """Return the seats for which this instance confirms.

        It may hold a seat taken over from another instance next to its own while
        the view that seats it itself is not in force yet.
        """
        if self._held_seats is None:
            self._held_seats = self._find_seats()
        return self._held_seats

    def _find_seats(self) -> list[str]:
        if self.head is None or not self._has_memory or self._gave_up_seats:
            return []
        members = [m for view in views_of(self.head) for m in view.members]
        held = []
        if any(m.instance == self.instance for m in members):
            held.append(self.instance)
        taken = self.taken_seat()
        if taken and taken not in held:
            held.append(taken)
        return held

    def taken_seat(self) -> str:
        """Return the seat taken over from another instance while it is listed."""
        if self.head is None or self._taken is None:
            return ""
        for view in views_of(self.head):
            for member in view.members:
                if (member.instance, member.incarnation) == (
                    self._taken.instance,
                    self._taken.incarnation,
                ):
                    return member.instance
        return ""

    def recover(self) -> None:
        """Start to confirm after reading the head from a majority of peers."""
        self._has_memory = True
        self._held_seats = None

    def take_seat(self, member: Member) -> None:
        """Confirm for the seat of a member that has given it up.

        A later view that lists a new process of that member ends this.
        """
        self._taken = member
        self.recover()

    def give_up_seats(self) -> None:
        """Stop to confirm, before the seat passes to a successor."""
        self._gave_up_seats = True
        self._held_seats = None

    def _majority_asked_at(self, view: View) -> float:
        own = set(self.voting_seats())
        asked_at = sorted(
            (
                math.inf if seat in own else self._asked_at_by_seat.get(seat, -math.inf)
                for seat in seats_of(view)
            ),
            reverse=True,
        )
        needed = majority_of(view)
        return asked_at[needed - 1] if asked_at else -math.inf


class _PendingHead:
    """A head that is not known to be in force, with its acknowledgements."""

    __slots__ = ("acknowledged_at_by_seat", "committed_at", "head")

    def __init__(self, head: Head, committed_at: float) -> None:
        self.head = head
        self.committed_at = committed_at
        self.acknowledged_at_by_seat: dict[str, float] = {}

    def in_force_at(self, in_force_revision: int) -> float:
        """Return the time from which the head is in force; infinite if unknown."""
        decided_at = self.committed_at
        for view in open_views(self.head, in_force_revision):
            times = sorted(
                self.acknowledged_at_by_seat.get(seat, math.inf)
                for seat in seats_of(view)
            )
            if times:
                decided_at = max(decided_at, times[blocking_count(view) - 1])
        return decided_at + HEAD_MAX_AGE_S * (1.0 + CLOCK_RATE_MARGIN)


class InForceTracker:
    """Tells from which revision on no instance can be fresh on an older one.

    A head is in force once no view, neither its own nor a pending one, has a
    majority left of seats that have not acknowledged its revision, and
    `HEAD_MAX_AGE_S` has passed since then, which outlasts the evidence of every
    instance that was not informed.
    """

    __slots__ = ("_in_force", "_newest_by_seat", "_pending")

    def __init__(self) -> None:
        self._pending: list[_PendingHead] = []
        self._newest_by_seat: dict[str, int] = {}
        self._in_force = 0

    def on_commit(self, head: Head, now: float) -> None:
        """Follow a head that is known to be committed; `now` is when it was learned."""
        newest = self._pending[-1].head.revision if self._pending else self._in_force
        if head.revision <= newest:
            return
        pending = _PendingHead(head, now)
        for seat, revision in self._newest_by_seat.items():
            if revision >= head.revision:
                pending.acknowledged_at_by_seat[seat] = now
        self._pending.append(pending)

    def on_acknowledgement(self, seat: str, revision: int, now: float) -> None:
        """Count that a seat holds at least `revision`, as learned at `now`."""
        if revision <= self._newest_by_seat.get(seat, 0):
            return
        self._newest_by_seat[seat] = revision
        for pending in self._pending:
            if pending.head.revision <= revision:
                pending.acknowledged_at_by_seat.setdefault(seat, now)

    def in_force_revision(self, now: float) -> int:
        """Return the highest revision that is known to be in force."""
        for index in range(len(self._pending) - 1, -1, -1):
            if self._pending[index].in_force_at(self._in_force) <= now:
                self.learn_in_force(self._pending[index].head.revision)
                break
        return self._in_force

    def learn_in_force(self, revision: int) -> None:
        """Take over from another instance that a revision is in force."""
        self._in_force = max(self._in_force, revision)
        while self._pending and self._pending[0].head.revision <= self._in_force:
            del self._pending[0]

    def forget_absent(self, seats: Iterable[str]) -> None:
        """Drop what is stored about seats that are in no current view."""
        kept = set(seats)
        for seat in list(self._newest_by_seat):
            if seat not in kept:
                del self._newest_by_seat[seat]


def next_head(head: Head, view: View, in_force_revision: int) -> Head:
    """Return the head that follows.

    Parameters
    ----------
    head : Head
        The head that is replaced.
    view : View
        The same view, or a new one with the next revision.
    in_force_revision : int
        Highest revision known to be in force. An earlier view stays pending
        until the one that replaced it is in force, because instances that know
        only the earlier one may be fresh until then.
    """
    views = [*(head.pending_views or []), head.view]
    if view.revision != head.view.revision:
        views.append(view)
    pending = [
        earlier
        for earlier, successor in itertools.pairwise(views)
        if successor.revision > in_force_revision and earlier.members
    ]
    return Head(head.revision + 1, view, pending)
