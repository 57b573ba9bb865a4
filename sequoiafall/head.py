"""Freshness of the head, and from when a committed change is in force.

The head names the newest revision of the table and the current view, which lists the
members; each has a voting seat. A change is in force when no instance can still act on
an older revision.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from .wire.gen.ttypes import Head, Member, View

# Validity of evidence about the head, from when it was requested. Long enough to lose
# several heartbeats, short enough for a revoked key to stop working within seconds.
HEAD_MAX_AGE_S = 2.0
# Relative margin for monotonic clocks of different machines that run at slightly
# different rates: a change is declared in force later by this share of HEAD_MAX_AGE_S.
CLOCK_RATE_MARGIN = 0.01
# No new view is proposed while this many earlier views are pending, so that the head
# row stays small during a long partition.
MAX_PENDING_VIEWS = 8


def majority_of(view: View) -> int:
    """Return the number of seats that form a majority of the view."""
    return len(view.members) // 2 + 1


def blocking_count(view: View) -> int:
    """Return the number of seats without which the others form no majority.

    It is smaller than a majority if the number of seats is even. For example, one of
    two members can then replace a view whose other member has failed.
    """
    return len(view.members) - majority_of(view) + 1


def seats_of(view: View) -> list[str]:
    """Return the names of the view's voting seats."""
    return [member.instance for member in view.members]


def views_of(head: Head) -> list[View]:
    """Return the current view of a head and its pending views."""
    return [head.view, *(head.pending_views or [])]


def open_views(head: Head, in_force_revision: int) -> list[View]:
    """Return the views of a head on which some instance may still be fresh.

    Parameters
    ----------
    head : Head
        Head whose views are checked.
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
    """Decides whether the local head is fresh, so that no newer one can be in force.

    Evidence that at a time ``t`` no newer revision than the local one existed (a read
    of the platform) or had been acknowledged by a majority (confirmations of peers)
    makes the head fresh until ``t + HEAD_MAX_AGE_S``. Evidence for an older revision
    counts as well, as it rules out all later revisions.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    __slots__ = (
        "_gave_up_seats",
        "_has_recovered",
        "_held_seats",
        "_platform_requested_at",
        "_requested_at_by_seat",
        "_taken_over_member",
        "head",
        "instance",
        "newest_revision_seen",
    )

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.head: Head | None = None
        self.newest_revision_seen = 0
        self._platform_requested_at = -math.inf
        self._requested_at_by_seat: dict[str, float] = {}
        self._has_recovered = False
        self._gave_up_seats = False
        self._taken_over_member: Member | None = None
        self._held_seats: list[str] | None = None

    @property
    def revision(self) -> int:
        """Revision of the local head; 0 if there is none."""
        return self.head.revision if self.head is not None else 0

    def apply_head(self, head: Head, now: float) -> bool:
        """Replace the local head by a newer one; an older one is ignored.

        Returns
        -------
        bool
            Whether the head was newer than the local one.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, head.revision)
        if head.revision <= self.revision:
            return False
        self.head = head
        self._held_seats = None
        return True

    def record_revision(self, revision: int) -> None:
        """Record that a revision exists, for example from a peer's message."""
        self.newest_revision_seen = max(self.newest_revision_seen, revision)

    def on_platform_confirmation(self, revision: int, sent_at: float) -> None:
        """Record proof that `revision` was the newest at or after `sent_at`.

        The proof is a transaction without writes whose condition is the version of
        the head row. A plain read proves nothing, because a table service may answer
        reads from a lagging replica.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, revision)
        if self.head is None or revision > self.revision:
            return
        self._platform_requested_at = max(self._platform_requested_at, sent_at)
        if not self._has_recovered:
            self.recover()

    def on_confirmation(self, seat: str, revision: int, sent_at: float) -> None:
        """Record a peer's confirmation that was requested at `sent_at`.

        The caller passes only confirmations of peers that may confirm. A newer
        revision than the local one is no evidence, but makes `is_behind` true, so that
        the newer head is fetched.
        """
        self.newest_revision_seen = max(self.newest_revision_seen, revision)
        if self.head is None or revision > self.revision:
            return
        previous = self._requested_at_by_seat.get(seat, -math.inf)
        self._requested_at_by_seat[seat] = max(previous, sent_at)

    def is_behind(self) -> bool:
        """Whether a newer head is known to exist."""
        return self.newest_revision_seen > self.revision

    def fresh_until(self) -> float:
        """Return the monotonic time until which the local head is fresh."""
        if self.head is None:
            return -math.inf
        requested_at = max(
            self._platform_requested_at, self._majority_requested_at(self.head.view)
        )
        return requested_at + HEAD_MAX_AGE_S

    def platform_fresh_until(self) -> float:
        """Return the time until which platform reads alone keep the head fresh."""
        return self._platform_requested_at + HEAD_MAX_AGE_S

    def is_fresh(self, now: float) -> bool:
        """Whether this instance may act on its local head."""
        return now < self.fresh_until()

    def can_confirm(self) -> bool:
        """Whether this instance holds a voting seat and may confirm its revision."""
        return bool(self.voting_seats())

    def has_recovered(self) -> bool:
        """Whether the local head includes all that an earlier process acknowledged."""
        return self._has_recovered

    def voting_seats(self) -> list[str]:
        """Return the seats for which this instance confirms.

        While the view that gives it a seat of its own is not in force yet, it may also
        hold a seat taken over from another instance.
        """
        if self._held_seats is None:
            self._held_seats = self._find_seats()
        return self._held_seats

    def _find_seats(self) -> list[str]:
        if self.head is None or not self._has_recovered or self._gave_up_seats:
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
        """Return the seat taken over from another instance, or "" if not listed."""
        if self.head is None or self._taken_over_member is None:
            return ""
        for view in views_of(self.head):
            for member in view.members:
                if (member.instance, member.incarnation) == (
                    self._taken_over_member.instance,
                    self._taken_over_member.incarnation,
                ):
                    return member.instance
        return ""

    def recover(self) -> None:
        """Start confirming, as the local head includes all earlier acknowledgements."""
        self._has_recovered = True
        self._held_seats = None

    def take_seat(self, member: Member) -> None:
        """Start confirming for the seat of a member that has given it up.

        This ends with a later view that lists a new process of that member.
        """
        self._taken_over_member = member
        self.recover()

    def give_up_seats(self) -> None:
        """Stop confirming, before the seat is handed to a successor."""
        self._gave_up_seats = True
        self._held_seats = None

    def _majority_requested_at(self, view: View) -> float:
        own = set(self.voting_seats())
        requested_at = sorted(
            (
                math.inf
                if seat in own
                else self._requested_at_by_seat.get(seat, -math.inf)
                for seat in seats_of(view)
            ),
            reverse=True,
        )
        needed = majority_of(view)
        return requested_at[needed - 1] if requested_at else -math.inf


class _PendingHead:
    """A committed head not known to be in force, with its acknowledgements."""

    __slots__ = ("acknowledged_at_by_seat", "committed_at", "head")

    def __init__(self, head: Head, committed_at: float) -> None:
        self.head = head
        self.committed_at = committed_at
        self.acknowledged_at_by_seat: dict[str, float] = {}

    def in_force_at(self, in_force_revision: int) -> float:
        """Return when the head comes into force, or infinity if unknown."""
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
    """Tracks the highest revision that is in force.

    A revision is in force when no instance can still be fresh on an older one. This
    holds once the seats that have not acknowledged the revision form no majority of
    its view or of any pending view, and `HEAD_MAX_AGE_S` has passed since, after which
    the evidence of every instance that was not notified has expired.
    """

    __slots__ = ("_acknowledged_revisions_by_seat", "_in_force", "_pending")

    def __init__(self) -> None:
        self._pending: list[_PendingHead] = []
        self._acknowledged_revisions_by_seat: dict[str, int] = {}
        self._in_force = 0

    def on_commit(self, head: Head, now: float) -> None:
        """Track a head that is known to be committed, as learned at `now`."""
        newest = self._pending[-1].head.revision if self._pending else self._in_force
        if head.revision <= newest:
            return
        pending = _PendingHead(head, now)
        for seat, revision in self._acknowledged_revisions_by_seat.items():
            if revision >= head.revision:
                pending.acknowledged_at_by_seat[seat] = now
        self._pending.append(pending)

    def on_acknowledgement(self, seat: str, revision: int, now: float) -> None:
        """Record that a seat has at least `revision`, as learned at `now`."""
        if revision <= self._acknowledged_revisions_by_seat.get(seat, 0):
            return
        self._acknowledged_revisions_by_seat[seat] = revision
        for pending in self._pending:
            if pending.head.revision <= revision:
                pending.acknowledged_at_by_seat.setdefault(seat, now)

    def in_force_revision(self, now: float) -> int:
        """Return the highest revision that is known to be in force."""
        for index in range(len(self._pending) - 1, -1, -1):
            if self._pending[index].in_force_at(self._in_force) <= now:
                self.record_in_force(self._pending[index].head.revision)
                break
        return self._in_force

    def record_in_force(self, revision: int) -> None:
        """Record that a revision is in force, for example as reported by a peer."""
        self._in_force = max(self._in_force, revision)
        while self._pending and self._pending[0].head.revision <= self._in_force:
            del self._pending[0]

    def forget_absent(self, seats: Iterable[str]) -> None:
        """Drop the acknowledgements of all seats but these."""
        kept = set(seats)
        for seat in list(self._acknowledged_revisions_by_seat):
            if seat not in kept:
                del self._acknowledged_revisions_by_seat[seat]


def next_head(head: Head, view: View, in_force_revision: int) -> Head:
    """Return the successor of a head.

    Parameters
    ----------
    head : Head
        The head that is replaced.
    view : View
        The same view, or a new one that has the next revision.
    in_force_revision : int
        Highest revision known to be in force. An earlier view stays pending until the
        view that replaced it is in force, because instances that know only the earlier
        one may be fresh until then.
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
