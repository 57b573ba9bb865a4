"""Assignment of organisations and pools to owners, and tenures of these owners."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .chart import Lifecycle
from .head import HEAD_MAX_AGE_S, views_of
from .wire.gen.ttypes import Head, Member, View

# Longest validity of a quota grant; gateways renew it well before.
GRANT_TTL_S = 1.0
# Longest validity of an unused place and of an order to a backend server.
ORDER_TTL_S = 2.0
# An owner stops this long before its evidence for the replaced view expires, so that
# its last grants are sent before the state is handed over.
HANDOVER_MARGIN_S = 0.05

# The low bits of a fencing token hold the age of a restart in seconds. Their maximum
# bounds the length of an outage during which tokens still differ.
RESTART_AGE_BITS = 20
MAX_RESTART_AGE_S = (1 << RESTART_AGE_BITS) - 1

ORGANISATION_PREFIX = "organisation/"
POOL_PREFIX = "pool/"


def organisation_resource(organisation: str) -> str:
    """Return the name of the resource for an organisation's quota."""
    return ORGANISATION_PREFIX + organisation


def pool_resource(pool: str) -> str:
    """Return the name of the resource for a pool."""
    return POOL_PREFIX + pool


def expiry_wait_s(resource: str) -> float:
    """Return the seconds after which all grants or orders of an owner have expired."""
    return GRANT_TTL_S if resource.startswith(ORGANISATION_PREFIX) else ORDER_TTL_S


def owner_of(resource: str, members: Sequence[Member]) -> Member | None:
    """Return the member with the highest rendezvous hash for the resource.

    When a member leaves, only its own resources move.
    """
    if not members:
        return None
    return max(
        members, key=lambda m: (_rendezvous_score(resource, m.instance), m.instance)
    )


def _rendezvous_score(resource: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{instance}\0{resource}".encode())


@dataclass(slots=True, frozen=True)
class DueHandover:
    """A handover of a resource's state to its new owner that is due.

    Parameters
    ----------
    resource : str
        Name of the resource.
    to : Member
        Owner of the resource in the current view.
    last_view_revision : int
        Revision of the last view in which this instance owned the resource.
    fencing_token : int
        Token with which this instance acted.
    """

    resource: str
    to: Member
    last_view_revision: int
    fencing_token: int


def fencing_token_of(view_revision: int, restart_age_s: int) -> int:
    """Return the fencing token of a tenure.

    Parameters
    ----------
    view_revision : int
        Revision of the first view of the tenure.
    restart_age_s : int
        0 for the process that the view lists. A process that was restarted, or that
        took over the seat, during an outage of the platform acts under the same view.
        Its value is the number of seconds by which it is younger than the listed
        process (at least 1), so that its grants and orders have another token.
    """
    return (view_revision << RESTART_AGE_BITS) | min(restart_age_s, MAX_RESTART_AGE_S)


class _Tenure:
    """An unbroken period of ownership by this instance.

    `since_revision` is the revision of its first view and `previous_revision` that of
    the preceding view. `started_at` is when the first view came into force, or when
    this process started if that was later.
    """

    __slots__ = (
        "acting_from",
        "fencing_token",
        "grace_until",
        "last_view_revision",
        "lifecycle",
        "previous_revision",
        "resource",
        "since_revision",
        "started_at",
    )

    def __init__(self, resource: str, view: View, fencing_token: int) -> None:
        self.resource = resource
        self.fencing_token = fencing_token
        self.since_revision = view.revision
        self.previous_revision = view.previous_revision or 0
        self.last_view_revision = view.revision
        self.started_at = math.inf
        self.acting_from = math.inf
        self.grace_until = -math.inf
        self.lifecycle = Lifecycle("ownership")

    def start(self, now: float) -> None:
        """Record that the first view is in force."""
        if self.lifecycle.handle("in_force"):
            self.started_at = now
            if self.lifecycle.state == "acting":
                self.acting_from = now

    def receive_state(self, now: float) -> bool:
        """Record receipt of the previous owner's state; return whether to use it."""
        if not self.lifecycle.handle("state_received"):
            return False
        if self.lifecycle.state == "acting":
            self.acting_from = now
        return True

    def ready_at(self) -> float:
        """Return from when this instance may act, or infinity if not known yet."""
        if self.lifecycle.state == "awaiting_expiry":
            return self.started_at + expiry_wait_s(self.resource)
        return self.acting_from

    def advance(self, now: float) -> str:
        """Apply waiting times that have ended and return the state."""
        state = self.lifecycle.state
        if state == "awaiting_expiry" and now >= self.ready_at():
            self.acting_from = self.ready_at()
            self.lifecycle.handle("expired")
        elif state == "grace" and now >= self.grace_until:
            self.lifecycle.handle("grace_over")
        return self.lifecycle.state


class OwnershipTracker:
    """Decides for which resources this instance may act.

    The owner under a new view acts only when that view is in force, because from then
    on no instance is fresh on an older view. Until then, the previous owner continues
    to act on the evidence that it had when it learned of the new view (its grace
    period). Outside the grace period, an owner may act only while its head is fresh
    (see `may_act`).

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Start time of this process in milliseconds since 1970.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_ending_tenures_by_resource",
        "_has_claimed_seat",
        "_in_force_revision",
        "_resources",
        "_started_at",
        "_tenures_by_resource",
        "_view_in_force_at",
        "incarnation",
        "instance",
        "view",
    )

    def __init__(self, instance: str, incarnation: int, now: float) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.view: View | None = None
        self._resources: set[str] = set()
        self._tenures_by_resource: dict[str, _Tenure] = {}
        self._ending_tenures_by_resource: dict[str, _Tenure] = {}
        self._in_force_revision = 0
        self._view_in_force_at = math.inf
        self._started_at = now
        self._has_claimed_seat = False

    def apply_resources(self, resources: Iterable[str], now: float) -> None:
        """Set the resources that the local table contains."""
        known = set(resources)
        for resource in self._resources - known:
            self._tenures_by_resource.pop(resource, None)
            self._ending_tenures_by_resource.pop(resource, None)
        added = known - self._resources
        self._resources = known
        if self.view is not None:
            for resource in added:
                if self._is_owner(resource):
                    self._start_tenure(resource, self.view, now)

    def apply_head(self, head: Head, now: float, fresh_until: float) -> None:
        """Apply the views of a new local head.

        Parameters
        ----------
        head : Head
            The new local head. Its pending views fill the gap if this instance has
            missed a view, so that a tenure may continue.
        now : float
            Monotonic time in seconds.
        fresh_until : float
            Until when this instance was fresh *before* it learned of this head; no
            later view can be in force before that time.
        """
        if self.view is None:
            self._apply_view(head.view, now, fresh_until)
            return
        for view in sorted(views_of(head), key=lambda view: view.revision):
            if view.revision > self.view.revision:
                self._apply_view(view, now, fresh_until)

    def take_seat(self, seat: str, now: float) -> None:
        """Become the owner of the resources of a seat that was taken over.

        The previous holder may have acted until it gave up the seat, so tenures begin
        as if this process had started now. The seat may be that of an earlier process
        of this instance.
        """
        self.instance = seat
        self._has_claimed_seat = True
        self._started_at = now
        if self.view is not None:
            for resource in self._resources:
                if self._is_owner(resource):
                    self._start_tenure(resource, self.view, now)

    def stop(self) -> None:
        """Stop acting for all resources, before the seat is handed to a successor."""
        self.instance = ""
        self._tenures_by_resource.clear()
        self._ending_tenures_by_resource.clear()

    def _apply_view(self, view: View, now: float, fresh_until: float) -> None:
        previous, self.view = self.view, view
        # A view may be known to be in force before it is received. As it is not known
        # since when, its owners wait as if it came into force now.
        known = view.revision <= self._in_force_revision
        self._view_in_force_at = now if known else math.inf
        # Under a view that this instance missed, another owner may have acted. A tenure
        # does not continue across such a gap.
        adjacent = previous is not None and view.previous_revision == previous.revision
        for resource in self._resources:
            tenure = self._tenures_by_resource.get(resource)
            owns = self._is_owner(resource)
            if tenure is not None and owns and adjacent:
                tenure.last_view_revision = view.revision
                continue
            if tenure is not None:
                self._end_tenure(tenure, now, fresh_until)
            if owns:
                self._start_tenure(resource, view, now)

    def on_in_force(self, revision: int, now: float) -> None:
        """Record that a revision is in force, as learned at `now`."""
        if revision <= self._in_force_revision:
            return
        self._in_force_revision = revision
        if self.view is not None and self.view.revision <= revision:
            self._view_in_force_at = min(self._view_in_force_at, now)
        for tenure in self._tenures_by_resource.values():
            if tenure.since_revision <= revision:
                tenure.start(now)

    def on_handover(self, resource: str, last_view_revision: int, now: float) -> bool:
        """Accept the state of the previous owner if it is still usable.

        Parameters
        ----------
        resource : str
            The resource.
        last_view_revision : int
            Revision of the last view in which the sender owned it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the state is not that of the direct predecessor, or arrives after
            this instance, or an earlier process of it, has begun to act without it.
        """
        tenure = self._tenures_by_resource.get(resource)
        if tenure is None or last_view_revision != tenure.previous_revision:
            return False
        # An earlier process may have acted under the same view since then.
        if tenure.fencing_token & MAX_RESTART_AGE_S:
            return False
        tenure.advance(now)
        return tenure.receive_state(now)

    def owns(self, resource: str) -> bool:
        """Whether this instance is the owner in the current view."""
        return resource in self._tenures_by_resource

    def owned_resources(self) -> list[str]:
        """Return the resources that the current view assigns to this instance."""
        return list(self._tenures_by_resource)

    def known_resources(self) -> set[str]:
        """Return the resources that the local table contains."""
        return set(self._resources)

    def fencing_token(self, resource: str) -> int:
        """Return the fencing token of the tenure (see `fencing_token_of`).

        It is 0 if this instance neither owns the resource nor is in its grace period.
        """
        tenure = self._current(resource)
        return tenure.fencing_token if tenure is not None else 0

    def ready_at(self, resource: str) -> float:
        """Return from when this instance may act, or infinity if unknown."""
        tenure = self._tenures_by_resource.get(resource)
        return tenure.ready_at() if tenure is not None else math.inf

    def may_act(self, resource: str, now: float, fresh_until: float) -> bool:
        """Whether this instance may act for a resource.

        Parameters
        ----------
        resource : str
            The resource.
        now : float
            Monotonic time in seconds.
        fresh_until : float
            Until when the local head is fresh.
        """
        tenure = self._current(resource)
        if tenure is None:
            return False
        state = tenure.advance(now)
        return state == "grace" or (state == "acting" and now < fresh_until)

    def handovers(self, now: float) -> list[DueHandover]:
        """Return the lost resources whose state is due to be handed over.

        Each is returned once. This instance no longer acts for it.
        """
        result = []
        for resource, tenure in list(self._ending_tenures_by_resource.items()):
            if tenure.advance(now) != "ended":
                continue
            del self._ending_tenures_by_resource[resource]
            owner = owner_of(resource, self.view.members) if self.view else None
            if owner is not None and owner.instance != self.instance:
                result.append(
                    DueHandover(
                        resource, owner, tenure.last_view_revision, tenure.fencing_token
                    )
                )
        return result

    def _current(self, resource: str) -> _Tenure | None:
        ending = self._ending_tenures_by_resource.get(resource)
        return ending or self._tenures_by_resource.get(resource)

    def _is_owner(self, resource: str) -> bool:
        assert self.view is not None
        owner = owner_of(resource, self.view.members)
        if owner is None or owner.instance != self.instance:
            return False
        # An earlier process of this instance may have handed its seat over.
        return owner.incarnation == self.incarnation or self._has_claimed_seat

    def _start_tenure(self, resource: str, view: View, now: float) -> None:
        token = fencing_token_of(view.revision, self._restart_age_s(view))
        tenure = _Tenure(resource, view, token)
        if view.revision <= self._in_force_revision:
            # Under an old view, an earlier process of this instance may have acted
            # until this one started.
            tenure.start(max(self._view_in_force_at, self._started_at))
        self._tenures_by_resource[resource] = tenure

    def _restart_age_s(self, view: View) -> int:
        for member in view.members:
            if member.instance != self.instance:
                continue
            if member.incarnation == self.incarnation:
                return 0
            return max(1, (self.incarnation - member.incarnation) // 1000)
        return 0

    def _end_tenure(self, tenure: _Tenure, now: float, fresh_until: float) -> None:
        resource = tenure.resource
        del self._tenures_by_resource[resource]
        acted = tenure.advance(now) == "acting"
        tenure.lifecycle.handle("lost")
        if (
            tenure.lifecycle.state != "grace"
            or resource in self._ending_tenures_by_resource
        ):
            return
        # The evidence of the only member of a view never expires, but a replacement of
        # that view needs the acknowledgement of this instance, which is sent only now.
        until = min(fresh_until, now + HEAD_MAX_AGE_S) - HANDOVER_MARGIN_S
        tenure.grace_until = until if acted else now
        self._ending_tenures_by_resource[resource] = tenure
