"""Consensus logic of a controller: head, membership, voting seats and ownership.

The coordinator performs no I/O: the controller passes it the received messages and
the time, and sends the messages that it returns.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from .chart import Lifecycle
from .follower import Follower
from .head import HEAD_MAX_AGE_S, HeadFreshness, InForceTracker, seats_of, views_of
from .membership import Membership, SeatClaims, SeatRecovery, ViewProposal
from .ownership import DueHandover, OwnershipTracker
from .table import TableState
from .wire.gen.ttypes import (
    Ack,
    Change,
    FetchState,
    Handover,
    Head,
    Heartbeat,
    HeartbeatReply,
    Member,
    MemberStatus,
    NotifyHead,
    SeatClaim,
    Snapshot,
    StateReply,
    View,
)

# A status that was not refreshed for this long is left out of the directory. An
# instance without a voting seat sends heartbeats every 0.8 s.
STATUS_TTL_S = 2.0

# The status in heartbeats and their replies is recomputed at this interval.
STATUS_REFRESH_PERIOD_S = 0.1

ResourcesOf = Callable[[TableState], Iterable[str]]


class Coordinator:
    """State machine that follows the head and decides what this instance may do.

    Parameters
    ----------
    member : Member
        Entry of this process in the view.
    resources_of : callable
        Returns the resources that a table contains.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, member: Member, resources_of: ResourcesOf, now: float) -> None:
        self.member = member
        self.leaving = False
        self.ready = False
        self.follower = Follower()
        self.freshness = HeadFreshness(member.instance)
        self.in_force = InForceTracker()
        self.membership = Membership(member)
        self.ownership = OwnershipTracker(member.instance, member.incarnation, now)
        self.claims = SeatClaims()
        self.lifecycle = Lifecycle("instance")
        self.recovery: SeatRecovery | None = self._own_recovery()
        self._resources_of = resources_of
        self._statuses_by_instance: dict[str, tuple[float, MemberStatus]] = {}
        self._unreachable: set[str] = set()
        self._reply_stamps_by_address: dict[str, tuple[int, int]] = {}
        self._status_computed_at = -math.inf
        self._status: MemberStatus | None = None

    # Head and table.

    @property
    def revision(self) -> int:
        """Revision of the current local head."""
        return self.follower.revision

    @property
    def head(self) -> Head:
        """Current local copy of the head."""
        return self.follower.head

    def observe(
        self,
        head: Head,
        now: float,
        changes: Sequence[Change] = (),
        snapshot: Snapshot | None = None,
    ) -> bool:
        """Apply a head that is known to be committed.

        Returns
        -------
        bool
            Whether the local head changed.

        Raises
        ------
        ValueError
            If a row does not conform to the schema.
        """
        self.freshness.record_revision(head.revision)
        fresh_until = self.freshness.fresh_until()
        if not self.follower.apply_update(head, changes, snapshot):
            return False
        self.freshness.apply_head(head, now)
        self.in_force.on_commit(head, now)
        self.membership.apply_view(head.view, now)
        self.claims.apply_view(head.view)
        self.ownership.apply_resources(self._resources_of(self.follower.state), now)
        self.ownership.apply_head(head, now, fresh_until)
        self._update_derived_state(now)
        return True

    def on_platform_confirmed(self, revision: int, sent_at: float, now: float) -> None:
        """Record proof, requested at `sent_at`, that this revision was the newest."""
        self.freshness.on_platform_confirmation(revision, sent_at)
        self._update_derived_state(now)

    def is_fresh(self, now: float) -> bool:
        """Whether this instance may act on its local head."""
        return self.freshness.is_fresh(now)

    def fresh_for_s(self, now: float) -> float:
        """Return the seconds for which the local head stays fresh, at most 2 s."""
        return max(0.0, min(self.freshness.fresh_until() - now, HEAD_MAX_AGE_S))

    def in_force_revision(self, now: float) -> int:
        """Return the highest revision known to be in force."""
        return self.in_force.in_force_revision(now)

    def tick(self, now: float) -> None:
        """Apply the transitions that are due at this time."""
        self.ownership.on_in_force(self.in_force_revision(now), now)
        self._update_derived_state(now)

    # Messages.

    def heartbeat(self, now: float, to: str = "") -> Heartbeat:
        """Build the heartbeat for the controller at an address."""
        echoed_at_us, echoed_incarnation = self._reply_stamps_by_address.get(to, (0, 0))
        return Heartbeat(
            self.member.instance,
            self.member.incarnation,
            self.revision,
            self.freshness.can_confirm(),
            self._recent_status(now),
            echoed_at_us,
            echoed_incarnation,
        )

    def on_heartbeat(self, request: Heartbeat, now: float) -> HeartbeatReply:
        """Answer a peer's heartbeat."""
        if self._record_status(request.status, now):
            self._record_revision(request, now)
            # The sender had the echoed reply when it sent this heartbeat, so it
            # confirms its revision at a time after that reply. The timestamp of an
            # earlier process of this instance may come from another clock.
            if request.echoed_incarnation == self.member.incarnation:
                self._record_confirmations(request, request.echoed_at_us / 1e6)
        return HeartbeatReply(
            self.member.instance,
            self.member.incarnation,
            self.revision,
            self.freshness.can_confirm(),
            self._recent_status(now),
            int(now * 1e6),
        )

    def on_heartbeat_reply(
        self, reply: HeartbeatReply, sent_at: float, now: float
    ) -> None:
        """Process the reply to a heartbeat that was sent at `sent_at`."""
        if not self._record_status(reply.status, now):
            return
        self._record_revision(reply, now)
        self._record_confirmations(reply, sent_at)
        address = reply.status.controller_address
        self._reply_stamps_by_address[address] = (
            reply.answered_at_us,
            reply.incarnation,
        )

    def on_notify_head(self, request: NotifyHead, now: float) -> Ack:
        """Apply a head sent by its committer and acknowledge the local revision."""
        self.observe(request.head, now, request.changes or ())
        confirms = self.freshness.can_confirm()
        return Ack(self.revision, confirms, "" if confirms else "no seat or no memory")

    def on_ack(self, seats: Iterable[str], ack: Ack, now: float) -> None:
        """Process the reply to `NotifyHead` of the peer that holds the seats."""
        self.freshness.record_revision(ack.revision)
        if ack.accepted:
            for seat in seats:
                self.in_force.on_acknowledgement(seat, ack.revision, now)

    def fetch_state(self) -> FetchState:
        """Build a request for the changes after the local revision."""
        claim = self.recovery.claim if self.recovery is not None else None
        return FetchState(self.revision, claim)

    def on_fetch_state(self, request: FetchState, now: float) -> StateReply:
        """Answer a peer that requests the state or claims a seat."""
        update = self.follower.update_since(request.after_revision)
        confirms = self.freshness.can_confirm()
        granted = False
        if request.claim is not None and confirms:
            granted = self.claims.grant(request.claim)
        seats = self.freshness.voting_seats()
        return StateReply(
            self.head,
            update.changes,
            update.snapshot,
            confirms,
            seats[0] if seats else "",
            granted,
            self.claims.to_list(),
            self.in_force_revision(now),
        )

    def on_state_reply(self, reply: StateReply, now: float) -> bool:
        """Apply the state of a peer and return whether the local head changed."""
        changed = self.observe(reply.head, now, reply.changes or (), reply.snapshot)
        self.in_force.record_in_force(reply.in_force_revision or 0)
        if reply.confirms:
            self.claims.record_granted(reply.seat_claims or ())
        if self.recovery is not None:
            self.recovery.on_reply(reply)
            self._update_derived_state(now)
        return changed

    # Statuses.

    def status(self, now: float) -> MemberStatus:
        """Compute the status of this instance."""
        age = HEAD_MAX_AGE_S - min(self.freshness.fresh_until() - now, HEAD_MAX_AGE_S)
        return MemberStatus(
            self.member.instance,
            self.member.incarnation,
            self.member.zone,
            self.ready and self.is_fresh(now),
            self.leaving,
            self.revision,
            # The age is infinite if this instance was never fresh.
            int(min(age * 1000.0, 2**31 - 1)),
            list(self.member.gateway_addresses or ()),
            self.member.controller_address,
            self.freshness.taken_seat(),
            self.in_force_revision(now),
        )

    def _recent_status(self, now: float) -> MemberStatus:
        """Return the status, cached for up to `STATUS_REFRESH_PERIOD_S`."""
        status = self._status
        if (
            status is None
            or now - self._status_computed_at >= STATUS_REFRESH_PERIOD_S
            or status.head_revision != self.revision
            or status.leaving != self.leaving
            or status.seat != self.freshness.taken_seat()
        ):
            self._status = status = self.status(now)
            self._status_computed_at = now
        return status

    def seconds_since_heard(self, address: str, now: float) -> float:
        """Return the seconds since the last message from a controller address."""
        heard_at = [
            at
            for at, status in self._statuses_by_instance.values()
            if status.controller_address == address
        ]
        return now - max(heard_at) if heard_at else math.inf

    def statuses(self, now: float) -> list[MemberStatus]:
        """Return the statuses of all reachable instances, including this one.

        Those not refreshed within `STATUS_TTL_S` are left out.
        """
        recent = [
            status
            for heard_at, status in self._statuses_by_instance.values()
            if now - heard_at < STATUS_TTL_S
            and status.controller_address not in self._unreachable
        ]
        return [self.status(now), *recent]

    def on_unreachable(self, address: str) -> None:
        """Leave an instance out of the directory until its next message.

        A refused connection does not prove that the instance is dead, but callers
        should not be sent to it.
        """
        self._unreachable.add(address)

    def peers(self) -> list[MemberStatus]:
        """Return the last known status of every other instance."""
        return [status for _, status in self._statuses_by_instance.values()]

    def forget_silent(self, now: float) -> None:
        """Drop expired statuses of instances that are not members."""
        members = {seat for view in views_of(self.head) for seat in seats_of(view)}
        for instance, (heard_at, _) in list(self._statuses_by_instance.items()):
            if instance not in members and now - heard_at >= STATUS_TTL_S:
                _, status = self._statuses_by_instance.pop(instance)
                self._unreachable.discard(status.controller_address)
                self._reply_stamps_by_address.pop(status.controller_address, None)

    def addressed_head(self) -> Head:
        """Return the local head with the addresses of the current seat holders.

        A seat that was handed over during an outage of the platform is still
        listed under its original name, but calls must go to the process that holds it.
        """
        holders = {s.seat: s for s in self.peers() if s.seat}
        own = self.freshness.taken_seat()
        if own:
            holders[own] = self.status(0.0)
        if not holders:
            return self.head
        view = self.head.view
        members = [
            Member(
                member.instance,
                member.incarnation,
                holder.zone,
                holder.controller_address,
                holder.gateway_addresses,
            )
            if (holder := holders.get(member.instance)) is not None
            else member
            for member in view.members
        ]
        view_of_holders = View(view.revision, members, view.previous_revision)
        return Head(self.head.revision, view_of_holders, self.head.pending_views)

    def gateway_head(self, now: float) -> Head:
        """Return the head for gateways, with the view whose owners currently act.

        Until the newest view is in force, the owners under the earlier view still
        act, and gateways keep calling them.
        """
        head = self.addressed_head()
        in_force = self.in_force_revision(now)
        if head.view.revision <= in_force:
            return head
        acting_views = [v for v in head.pending_views or () if v.revision <= in_force]
        if not acting_views:
            return head
        newest = max(acting_views, key=lambda view: view.revision)
        return Head(head.revision, newest, head.pending_views)

    # Membership, seats and ownership.

    def propose_view(self, now: float) -> ViewProposal | None:
        """Return the view that this instance should commit now, if any."""
        return self.membership.propose(
            self.head, now, self.leaving, self.freshness.taken_seat()
        )

    def should_close_views(self, now: float) -> bool:
        """Whether this instance should commit a head without its pending views."""
        head = self.head
        if not head.pending_views or self.in_force_revision(now) < head.view.revision:
            return False
        if not head.view.members:
            return True
        suspected = self.membership.suspected(head.view, now)
        first = next((s for s in seats_of(head.view) if s not in suspected), "")
        return first == self.member.instance

    def may_act(self, resource: str, now: float) -> bool:
        """Whether this instance may act for a resource at this time."""
        return self.ownership.may_act(resource, now, self.freshness.fresh_until())

    def handovers(self, now: float) -> list[DueHandover]:
        """Return the lost resources whose state is due for the new owner."""
        return self.ownership.handovers(now)

    def give_up_seat(self) -> list[str]:
        """Stop confirming and acting, and return the seats that may be handed over."""
        seats = self.freshness.voting_seats()
        self.freshness.give_up_seats()
        self.ownership.stop()
        return seats

    def on_seat_offered(self, handover: Handover, now: float) -> bool:
        """Start claiming a seat that a leaving instance offers.

        Returns
        -------
        bool
            False if this instance leaves, has a seat or does not know the offered
            one.
        """
        if self.leaving or self.freshness.voting_seats():
            return False
        if handover.seat not in seats_of(self.head.view):
            return False
        own = self.member
        claim = SeatClaim(
            handover.seat, own.instance, own.incarnation, handover.from_instance
        )
        self.freshness.record_revision(handover.head_revision)
        self.recovery = SeatRecovery(claim, handover.head_revision)
        self._update_derived_state(now)
        return True

    def _own_recovery(self) -> SeatRecovery:
        instance = self.member.instance
        return SeatRecovery(SeatClaim(instance, instance, self.member.incarnation, ""))

    def _update_derived_state(self, now: float) -> None:
        """Update recovery, own acknowledgements and lifecycle after an event."""
        self._advance_recovery(now)
        for seat in self.freshness.voting_seats():
            self.in_force.on_acknowledgement(seat, self.revision, now)
        listed = self.membership.is_listed(self.head.view)
        if self.revision and self.lifecycle.expects("head_held"):
            self.lifecycle.step("head_held").unwrap()
        event = "seated" if listed else "unseated"
        if self.lifecycle.expects(event):
            self.lifecycle.step(event).unwrap()

    def _advance_recovery(self, now: float) -> None:
        recovery = self.recovery
        if recovery is None or self.revision == 0:
            return
        seat = recovery.claim.seat
        in_force = self.in_force_revision(now)
        if seat == self.member.instance:
            if self.freshness.has_recovered():
                self.recovery = None
            elif recovery.is_complete(self.head, in_force):
                self.freshness.recover()
                self.ownership.take_seat(seat, now)
                self.recovery = None
        elif seat not in seats_of(self.head.view) or recovery.refused:
            self.recovery = None
        elif recovery.is_complete(self.head, in_force):
            member = next(m for m in self.head.view.members if m.instance == seat)
            self.freshness.take_seat(member)
            self.ownership.take_seat(seat, now)
            self.recovery = None

    def _record_status(self, status: MemberStatus | None, now: float) -> bool:
        if status is None or status.instance == self.member.instance:
            return False
        if not self.membership.on_heard(status, now):
            return False
        self._statuses_by_instance[status.instance] = (now, status)
        self._unreachable.discard(status.controller_address)
        self.in_force.record_in_force(status.in_force_revision or 0)
        return True

    def _record_confirmations(
        self, message: Heartbeat | HeartbeatReply, requested_at: float
    ) -> None:
        if message.confirms:
            for seat in _seats_of_status(message.status):
                self.freshness.on_confirmation(
                    seat, message.head_revision, requested_at
                )

    def _record_revision(self, message: Heartbeat | HeartbeatReply, now: float) -> None:
        self.freshness.record_revision(message.head_revision)
        if message.confirms:
            status = message.status
            if status.seat and status.seat in seats_of(self.head.view):
                self.claims.record_holder(
                    status.seat, status.instance, status.incarnation
                )
            for seat in _seats_of_status(message.status):
                self.in_force.on_acknowledgement(seat, message.head_revision, now)


def _seats_of_status(status: MemberStatus) -> list[str]:
    if status.seat and status.seat != status.instance:
        return [status.instance, status.seat]
    return [status.instance]


def resources_in(state: TableState) -> set[str]:
    """Return the resource names of a table's organisations and pools."""
    organisations = {f"organisation/{name}" for name in state.organisations_by_name}
    servers = state.backend_servers_by_name.values()
    return organisations | {f"pool/{server.pool}" for server in servers}
