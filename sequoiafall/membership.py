"""Failure detection, view proposals and ownership of voting seats."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .head import (
    MAX_PENDING_VIEWS,
    majority_of,
    open_views,
    seats_of,
)
from .wire.gen.ttypes import Head, Member, MemberStatus, SeatClaim, StateReply, View

HEARTBEAT_PERIOD_S = 0.25
# Four consecutive lost heartbeats. A shorter timeout removes members that only pause
# for garbage collection or wait for a busy core.
SUSPECT_AFTER_S = 1.0
# Bounds the heartbeat traffic, as every member calls every other member.
MAX_SEATS = 15
# Extra delay per rank before a member proposes a removal, so that it does so only if
# the proposals of the members ranked before it have not appeared.
PROPOSAL_STAGGER_S = 0.5
# Spreads the joins of observers; otherwise hundreds would all write when one seat
# becomes free.
JOIN_JITTER_S = 5.0
# Below this many members, a free seat is taken without jitter.
JOIN_JITTER_MIN_SEATS = 5
# A process that was removed and receives no messages from a majority of the view
# rejoins after this delay, in case those members are gone for good. Without the delay,
# an instance that reached the platform but not its peers changed the view every
# second, and no view stayed in force.
REJOIN_WITHOUT_MAJORITY_AFTER_S = 30.0


@dataclass(slots=True, frozen=True)
class ViewProposal:
    """A proposed replacement for the current view.

    Parameters
    ----------
    seen_view : View
        The view that the proposal replaces.
    members : list of Member
        Members of the proposed view.
    reason : str
        ``join``, ``remove`` or ``leave`` followed by the instances, for the log.
    """

    seen_view: View
    members: list[Member]
    reason: str


class Membership:
    """Detects failed members and proposes the next view.

    Parameters
    ----------
    member : Member
        Entry of this process in the view.
    """

    __slots__ = (
        "_heard_at_by_instance",
        "_incarnations_by_instance",
        "_leaving",
        "_suspected_since_by_instance",
        "_view_applied_at",
        "_view_revision",
        "_was_listed",
        "member",
    )

    def __init__(self, member: Member) -> None:
        self.member = member
        self._heard_at_by_instance: dict[str, float] = {}
        self._incarnations_by_instance: dict[str, int] = {}
        self._suspected_since_by_instance: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._view_revision = -1
        self._view_applied_at = -math.inf
        self._was_listed = False

    def apply_view(self, view: View, now: float) -> None:
        """Start monitoring the members of a view; new ones count as heard from now."""
        is_new = view.revision > self._view_revision
        if is_new:
            self._view_revision = view.revision
            self._view_applied_at = now
            self._was_listed = self._was_listed or self.is_listed(view)
        seats = set(seats_of(view))
        for instance in list(self._heard_at_by_instance):
            if instance not in seats:
                del self._heard_at_by_instance[instance]
                self._suspected_since_by_instance.pop(instance, None)
                self._leaving.discard(instance)
        for member in view.members:
            known = self._incarnations_by_instance.get(member.instance, 0)
            # The incarnation of a newly listed process may be lower than the known one
            # if its clock was set back.
            if member.incarnation > known or (is_new and member.incarnation != known):
                self._incarnations_by_instance[member.instance] = member.incarnation
                self._heard_at_by_instance[member.instance] = now
                self._leaving.discard(member.instance)
            self._heard_at_by_instance.setdefault(member.instance, now)

    def on_heard(self, status: MemberStatus, now: float) -> bool:
        """Record a message from a process.

        Returns
        -------
        bool
            False if the message comes from an earlier process of the instance and
            must be ignored.
        """
        instance = status.instance
        if status.incarnation < self._incarnations_by_instance.get(instance, 0):
            return False
        self._incarnations_by_instance[instance] = status.incarnation
        for seat in {instance, status.seat or instance}:
            self._heard_at_by_instance[seat] = now
            self._suspected_since_by_instance.pop(seat, None)
        if status.leaving:
            self._leaving.add(instance)
        else:
            self._leaving.discard(instance)
        return True

    def suspected(self, view: View, now: float) -> list[str]:
        """Return the members without a message for at least `SUSPECT_AFTER_S`."""
        silent = [
            seat
            for seat in seats_of(view)
            if seat != self.member.instance
            and now - self._heard_at_by_instance.get(seat, now) >= SUSPECT_AFTER_S
        ]
        for seat in silent:
            self._suspected_since_by_instance.setdefault(seat, now)
        return silent

    def is_leaving(self, instance: str) -> bool:
        """Whether the instance has announced that it is leaving."""
        return instance in self._leaving

    def is_listed(self, view: View) -> bool:
        """Whether the view lists exactly this process."""
        return any(
            member.instance == self.member.instance
            and member.incarnation == self.member.incarnation
            for member in view.members
        )

    def propose(
        self,
        head: Head,
        now: float,
        leaving: bool = False,
        taken_seat: str = "",
    ) -> ViewProposal | None:
        """Return the view that this process should commit now, if any.

        Parameters
        ----------
        head : Head
            The local head.
        now : float
            Monotonic time in seconds.
        leaving : bool, default=False
            Whether this process is leaving.
        taken_seat : str, default=""
            Seat that this process took over. Its own entry replaces the entry of that
            seat.
        """
        if len(head.pending_views or []) >= MAX_PENDING_VIEWS:
            return None
        proposal = self._propose_own_seat(head.view, now, leaving, taken_seat)
        if proposal is None and self.is_listed(head.view):
            proposal = self._propose_removal(head.view, now)
        if proposal is None:
            return None
        members, reason = proposal
        return ViewProposal(head.view, members, reason)

    def _propose_own_seat(
        self, view: View, now: float, leaving: bool, taken_seat: str
    ) -> tuple[list[Member], str] | None:
        own = self.member.instance
        replaced = {own, taken_seat}
        others = [member for member in view.members if member.instance not in replaced]
        if leaving:
            listed = len(others) < len(view.members)
            return (others, f"leave {own}") if listed else None
        if self.is_listed(view) or len(others) >= MAX_SEATS:
            return None
        if len(others) == len(view.members) and now < self._join_time(view):
            return None
        if self._was_listed and not self._may_rejoin(view, now):
            return None
        return [*others, self.member], f"join {own}"

    def _may_rejoin(self, view: View, now: float) -> bool:
        """Whether the members that removed this process are likely to keep it now."""
        heard = sum(
            now - self._heard_at_by_instance.get(seat, -math.inf) < SUSPECT_AFTER_S
            for seat in seats_of(view)
        )
        if heard >= majority_of(view):
            return True
        return now >= self._view_applied_at + REJOIN_WITHOUT_MAJORITY_AFTER_S

    def _join_time(self, view: View) -> float:
        if len(view.members) < JOIN_JITTER_MIN_SEATS:
            return self._view_applied_at
        seed = f"{self.member.instance}\0{view.revision}".encode()
        fraction = xxhash.xxh3_64_intdigest(seed) / 2.0**64
        return self._view_applied_at + fraction * JOIN_JITTER_S

    def _propose_removal(
        self, view: View, now: float
    ) -> tuple[list[Member], str] | None:
        suspected = self.suspected(view, now)
        if not suspected:
            return None
        unsuspected = [seat for seat in seats_of(view) if seat not in suspected]
        # Without a majority the removal cannot come into force, and this member may
        # itself be the one that is partitioned.
        if len(unsuspected) < majority_of(view):
            return None
        rank = unsuspected.index(self.member.instance)
        oldest = min(self._suspected_since_by_instance[seat] for seat in suspected)
        if now < oldest + rank * PROPOSAL_STAGGER_S:
            return None
        members = [m for m in view.members if m.instance not in suspected]
        return members, "remove " + ",".join(suspected)


class SeatClaims:
    """Claims to voting seats that this instance has granted or learned of.

    A process that has lost its state needs grants from its peers before it confirms
    for a seat, so that two processes never confirm for the same seat. In particular, a
    seat that was handed over does not return to a restarted process of its previous
    holder.
    """

    __slots__ = ("_claims_by_seat",)

    def __init__(self) -> None:
        self._claims_by_seat: dict[str, SeatClaim] = {}

    def grant(self, claim: SeatClaim) -> bool:
        """Record a claim and return True unless another process holds the seat."""
        held = self._claims_by_seat.get(claim.seat)
        holder = held.instance if held is not None else claim.seat
        if claim.instance == holder:
            if held is not None and claim.incarnation < held.incarnation:
                return False
        elif claim.handed_over_by != holder:
            return False
        self._claims_by_seat[claim.seat] = claim
        return True

    def holder_of(self, seat: str) -> str:
        """Return the instance that holds the seat."""
        held = self._claims_by_seat.get(seat)
        return held.instance if held is not None else seat

    def record_holder(self, seat: str, instance: str, incarnation: int) -> None:
        """Record which process confirms for a seat that was handed over.

        Otherwise, a peer that did not grant the claim of this holder would refuse the
        claim of its successor.
        """
        holder = self.holder_of(seat)
        if instance != holder:
            claim = SeatClaim(seat, instance, incarnation, holder)
            self._claims_by_seat[seat] = claim

    def apply_view(self, view: View) -> None:
        """Drop the claims to seats that the view no longer lists."""
        seats = set(seats_of(view))
        for seat in list(self._claims_by_seat):
            if seat not in seats:
                del self._claims_by_seat[seat]

    def record_granted(self, claims: Iterable[SeatClaim]) -> None:
        """Record claims that a peer has granted, for seats without a known claim."""
        for claim in claims:
            self._claims_by_seat.setdefault(claim.seat, claim)

    def to_list(self) -> list[SeatClaim]:
        """Return all granted claims."""
        return list(self._claims_by_seat.values())


class SeatRecovery:
    """Decides when a process that has lost its state may confirm for a seat.

    Any acknowledgement by an earlier process for this seat was part of a majority, and
    that majority shares a member with every majority of the other seats. The newest
    head among the replies of such a majority is therefore not older than any head that
    came into force with the vote of this seat.

    Parameters
    ----------
    claim : SeatClaim
        The claimed seat and this process.
    least_revision : int, default=0
        Revision of the previous holder of a handed-over seat. The local head must be
        at least as new.
    """

    __slots__ = ("_granted_by_seat", "_refused", "claim", "least_revision")

    def __init__(self, claim: SeatClaim, least_revision: int = 0) -> None:
        self.claim = claim
        self.least_revision = least_revision
        self._granted_by_seat: set[str] = set()
        self._refused = False

    @property
    def refused(self) -> bool:
        """Whether a peer refused the claim because it knows another holder."""
        return self._refused

    def on_reply(self, reply: StateReply) -> None:
        """Record a peer's reply; one that has not recovered itself is ignored."""
        if not reply.confirms or not reply.seat or reply.seat == self.claim.seat:
            return
        if not reply.claim_granted:
            self._refused = True
            return
        self.least_revision = max(self.least_revision, reply.head.revision)
        self._granted_by_seat.add(reply.seat)

    def is_complete(self, head: Head, in_force_revision: int) -> bool:
        """Whether a head suffices to confirm for the seat.

        A majority of the other seats must have granted the claim, and the head must
        be as new as all their heads.
        """
        if self._refused or head.revision < self.least_revision:
            return False
        views = open_views(head, in_force_revision)
        return all(self._has_majority(view) for view in views)

    def _has_majority(self, view: View) -> bool:
        others = [seat for seat in seats_of(view) if seat != self.claim.seat]
        if len(others) == len(view.members):
            return True
        # The previous holder of a handed-over seat passed on its revision, so only the
        # claim itself must reach a majority of the other seats.
        handed_over = bool(self.claim.handed_over_by)
        needed = len(others) // 2 + 1 if handed_over else majority_of(view)
        granted = sum(seat in self._granted_by_seat for seat in others)
        return granted >= needed if others else handed_over
