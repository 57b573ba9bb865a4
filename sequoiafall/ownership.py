"""Which instance acts for an organisation or a pool, and from when."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .chart import Lifecycle
from .head import HEAD_MAX_AGE_S, views_of
from .wire.gen.ttypes import Head, Member, View

# Longest life of a quota grant; gateways ask again well before.
GRANT_TTL_S = 1.0
# Longest life of an unused place and of an order to a backend server.
ORDER_TTL_S = 2.0
# An owner stops this long before the evidence it had for the replaced view
# expires, so that its last grants leave before the state is handed over.
HANDOVER_MARGIN_S = 0.05

# Low bits of a fencing token; seconds of the longest outage that is told apart.
RESTART_AGE_BITS = 20
MAX_RESTART_AGE_S = (1 << RESTART_AGE_BITS) - 1

ORGANISATION_PREFIX = "organisation/"
POOL_PREFIX = "pool/"


def organisation_resource(organisation: str) -> str:
    """Return the resource of an organisation's quota."""
    return ORGANISATION_PREFIX + organisation


def pool_resource(pool: str) -> str:
    """Return the resource of a pool."""
    return POOL_PREFIX + pool


def expiry_wait_s(resource: str) -> float:
    """Return the seconds after which everything a dead owner issued has expired."""
    return GRANT_TTL_S if resource.startswith(ORGANISATION_PREFIX) else ORDER_TTL_S


def owner_of(resource: str, members: Sequence[Member]) -> Member | None:
    """Return the member with the highest rendezvous hash for the resource.

    A member that leaves moves only its own resources.
    """
    if not members:
        return None
    return max(members, key=lambda m: (_score(resource, m.instance), m.instance))


def _score(resource: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{instance}\0{resource}".encode())


@dataclass(slots=True, frozen=True)
class DueHandover:
    """State of a resource has to go to its new owner.

    Parameters
    ----------
    resource : str
        The resource.
    to : Member
        Owner of the resource in the held view.
    last_view_revision : int
        Revision of the last view in which this instance owned the resource.
    fencing_token : int
        Token under which this instance acted.
    """

    resource: str
    to: Member
    last_view_revision: int
    fencing_token: int


def fencing_token_of(view_revision: int, restart_age: int) -> int:
    """Return the token of a tenure.

    Parameters
    ----------
    view_revision : int
        Revision of the first view of the tenure.
    restart_age : int
        0 for the process that the view lists. A process that was restarted, or
        that took over the seat, during an outage of the platform acts under the
        same view; it counts the seconds by which it is younger than the listed
        one (at least 1), so that its grants and orders differ.
    """
    return (view_revision << RESTART_AGE_BITS) | min(restart_age, MAX_RESTART_AGE_S)


class _Tenure:
    """An unbroken period of ownership by this instance.

    `since_revision` is the revision of its first view and `previous_revision`
    that of the view before it. `started_at` is when the first view came into
    force, or when this process started if that was later.
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
        """Note that the first view is in force."""
        if self.lifecycle.handle("in_force"):
            self.started_at = now
            if self.lifecycle.state == "acting":
                self.acting_from = now

    def receive_state(self, now: float) -> bool:
        """Note the state of the previous owner; return whether it is expected."""
        if not self.lifecycle.handle("state_received"):
            return False
        if self.lifecycle.state == "acting":
            self.acting_from = now
        return True

    def ready_at(self) -> float:
        """Return from when this instance may act; infinite if not known yet."""
        if self.lifecycle.state == "awaiting_expiry":
            return self.started_at + expiry_wait_s(self.resource)
        return self.acting_from

    def advance(self, now: float) -> str:
        """Let waiting times end and return the state."""
        state = self.lifecycle.state
        if state == "awaiting_expiry" and now >= self.ready_at():
            self.acting_from = self.ready_at()
            self.lifecycle.handle("expired")
        elif state == "grace" and now >= self.grace_until:
            self.lifecycle.handle("grace_over")
        return self.lifecycle.state


class OwnershipTracker:
    """Decides for which resources this instance may act.

    The owner under a new view acts only when that view is in force, as no other
    instance is fresh on an older view by then. Until then the previous owner
    keeps acting on the evidence that it had when it learned of the new view.
    The caller also checks that the head is fresh before it acts, except for a
    resource in grace (see `may_act`).

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Start of this process in milliseconds since 1970.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_ending_by_resource",
        "_has_claimed",
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
        self._ending_by_resource: dict[str, _Tenure] = {}
        self._in_force_revision = 0
        self._view_in_force_at = math.inf
        self._started_at = now
        self._has_claimed = False

    def observe_resources(self, resources: Iterable[str], now: float) -> None:
        """Set the resources that exist according to the held table."""
        known = set(resources)
        for resource in self._resources - known:
            self._tenures_by_resource.pop(resource, None)
            self._ending_by_resource.pop(resource, None)
        added = known - self._resources
        self._resources = known
        if self.view is not None:
            for resource in added:
                if self._is_owner(resource):
                    self._gain(resource, self.view, now)

    def observe_head(self, head: Head, now: float, fresh_until: float) -> None:
        """Follow the views of the held head.

        Parameters
        ----------
        head : Head
            The held head. Its pending views fill gaps when this instance has
            missed a view, so that a tenure may continue.
        now : float
            Monotonic time in seconds.
        fresh_until : float
            Until when this instance was fresh *before* it learned of this head;
            for that long no later view can be in force.
        """
        if self.view is None:
            self._observe_view(head.view, now, fresh_until)
            return
        for view in sorted(views_of(head), key=lambda view: view.revision):
            if view.revision > self.view.revision:
                self._observe_view(view, now, fresh_until)

    def take_seat(self, seat: str, now: float) -> None:
        """Own what belongs to a seat that this process has taken over.

        The previous holder may have acted until it gave up the seat, so that
        this process acts as if it had started now. The seat may be that of an
        earlier process of this instance.
        """
        self.instance = seat
        self._has_claimed = True
        self._started_at = now
        if self.view is not None:
            for resource in self._resources:
                if self._is_owner(resource):
                    self._gain(resource, self.view, now)

    def stop(self) -> None:
        """Stop to act for all resources, before the seat passes to a successor."""
        self.instance = ""
        self._tenures_by_resource.clear()
        self._ending_by_resource.clear()

    def _observe_view(self, view: View, now: float, fresh_until: float) -> None:
        previous, self.view = self.view, view
        # A view may be known to be in force before it is held. Since when it is,
        # is not known then, so that its owners wait as if from now.
        known = view.revision <= self._in_force_revision
        self._view_in_force_at = now if known else math.inf
        # A view that this instance did not see may have had another owner, who
        # may have acted; such a tenure does not continue.
        adjacent = previous is not None and view.previous_revision == previous.revision
        for resource in self._resources:
            tenure = self._tenures_by_resource.get(resource)
            owns = self._is_owner(resource)
            if tenure is not None and owns and adjacent:
                tenure.last_view_revision = view.revision
                continue
            if tenure is not None:
                self._lose(tenure, now, fresh_until)
            if owns:
                self._gain(resource, view, now)

    def on_in_force(self, revision: int, now: float) -> None:
        """Learn at `now` that a revision is in force."""
        if revision <= self._in_force_revision:
            return
        self._in_force_revision = revision
        if self.view is not None and self.view.revision <= revision:
            self._view_in_force_at = min(self._view_in_force_at, now)
        for tenure in self._tenures_by_resource.values():
            if tenure.since_revision <= revision:
                tenure.start(now)

    def on_handover(self, resource: str, last_view_revision: int, now: float) -> bool:
        """Take over the state of the previous owner.

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
            False if the state is not that of the direct predecessor, or arrives
            after this instance, or an earlier process of it, has started without.
        """
        tenure = self._tenures_by_resource.get(resource)
        if tenure is None or last_view_revision != tenure.previous_revision:
            return False
        # An earlier process under the same view may have acted since then.
        if tenure.fencing_token & MAX_RESTART_AGE_S:
            return False
        tenure.advance(now)
        return tenure.receive_state(now)

    def owns(self, resource: str) -> bool:
        """Whether the held view makes this instance the owner."""
        return resource in self._tenures_by_resource

    def owned_resources(self) -> list[str]:
        """Return the resources that the held view assigns to this instance."""
        return list(self._tenures_by_resource)

    def known_resources(self) -> set[str]:
        """Return the resources that exist according to the held table."""
        return set(self._resources)

    def fencing_token(self, resource: str) -> int:
        """Return the revision of the view in which the tenure started.

        It is 0 if this instance neither owns the resource nor is in grace.
        """
        tenure = self._current(resource)
        return tenure.fencing_token if tenure is not None else 0

    def ready_at(self, resource: str) -> float:
        """Return when this instance may act; infinite if not known yet."""
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
            Until when the held head is fresh.
        """
        tenure = self._current(resource)
        if tenure is None:
            return False
        state = tenure.advance(now)
        return state == "grace" or (state == "acting" and now < fresh_until)

    def handovers(self, now: float) -> list[DueHandover]:
        """Return the lost resources whose state is due to be handed over.

        Each is returned once; this instance does not act for it any more.
        """
        result = []
        for resource, tenure in list(self._ending_by_resource.items()):
            if tenure.advance(now) != "ended":
                continue
            del self._ending_by_resource[resource]
            owner = owner_of(resource, self.view.members) if self.view else None
            if owner is not None and owner.instance != self.instance:
                result.append(
                    DueHandover(
                        resource, owner, tenure.last_view_revision, tenure.fencing_token
                    )
                )
        return result

    def _current(self, resource: str) -> _Tenure | None:
        ending = self._ending_by_resource.get(resource)
        return ending or self._tenures_by_resource.get(resource)

    def _is_owner(self, resource: str) -> bool:
        assert self.view is not None
        owner = owner_of(resource, self.view.members)
        if owner is None or owner.instance != self.instance:
            return False
        # An earlier process of this instance may have passed its seat on.
        return owner.incarnation == self.incarnation or self._has_claimed

    def _gain(self, resource: str, view: View, now: float) -> None:
        token = fencing_token_of(view.revision, self._restart_age(view))
        tenure = _Tenure(resource, view, token)
        if view.revision <= self._in_force_revision:
            # Under an old view, an earlier process of this instance may have
            # acted until this one started.
            tenure.start(max(self._view_in_force_at, self._started_at))
        self._tenures_by_resource[resource] = tenure

    def _restart_age(self, view: View) -> int:
        for member in view.members:
            if member.instance != self.instance:
                continue
            if member.incarnation == self.incarnation:
                return 0
            return max(1, (self.incarnation - member.incarnation) // 1000)
        return 0

    def _lose(self, tenure: _Tenure, now: float, fresh_until: float) -> None:
        resource = tenure.resource
        del self._tenures_by_resource[resource]
        acted = tenure.advance(now) == "acting"
        tenure.lifecycle.handle("lost")
        if tenure.lifecycle.state != "grace" or resource in self._ending_by_resource:
            return
        # The evidence of a view of one member has no end, but its replacement
        # needs the acknowledgement that this instance sends only now.
        until = min(fresh_until, now + HEAD_MAX_AGE_S) - HANDOVER_MARGIN_S
        tenure.grace_until = until if acted else now
        self._ending_by_resource[resource] = tenure
