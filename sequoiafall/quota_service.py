"""Owner's service that handles the quota requests of the gateways.

It keeps a `QuotaOwner` for each organisation that this instance owns.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from .coordinator import Coordinator
from .log import log_event
from .ownership import ORGANISATION_PREFIX, organisation_resource
from .quota import QuotaOwner
from .refusal import Reason
from .wire.gen.ttypes import Handover, QuotaReply, QuotaRequest

# A new owner takes over a few hundred milliseconds after the previous one stopped.
OWNER_RETRY_MS = 100

# A grant lives for a second at most, and a gateway with demand requests several
# grants in that time. A gateway that is silent for longer has no demand.
DEMAND_EXPIRY_S = 3.0

Clock = Callable[[], float]


@dataclass(slots=True, frozen=True)
class QuotaUsage:
    """Usage of an organisation's bucket.

    Parameters
    ----------
    level_tokens, outstanding_tokens : int
        Tokens that can be granted, and tokens in unspent grants.
    demand_tokens_per_s : int
        Recent demand, summed over the gateways that reported in the last
        `DEMAND_EXPIRY_S` seconds.
    """

    level_tokens: int
    outstanding_tokens: int
    demand_tokens_per_s: int


@dataclass(slots=True, frozen=True)
class _Demand:
    at: float
    tokens_per_s: int


class QuotaService:
    """Serves quota requests while this instance may act for the organisation.

    Parameters
    ----------
    coordinator : Coordinator
        Configuration and ownership state of this instance.
    clock : callable, default=time.monotonic
        Returns the monotonic time in seconds.
    """

    def __init__(self, coordinator: Coordinator, clock: Clock = time.monotonic) -> None:
        self._coordinator = coordinator
        self._clock = clock
        self._owners_by_organisation: dict[str, QuotaOwner] = {}
        self._handovers_by_resource_and_token: dict[tuple[str, int], Handover] = {}
        self._demands_by_organisation: dict[str, dict[str, _Demand]] = {}
        self.granted_tokens = 0
        self.refusals = 0

    async def on_request(self, request: QuotaRequest, _peer: str) -> QuotaReply:
        """Apply the settlements of a request and grant or refuse tokens."""
        now = self._clock()
        owner = self._owner(request.organisation, now)
        if owner is None:
            return QuotaReply("", 0, 0, OWNER_RETRY_MS, 0, Reason.OWNER_UNAVAILABLE)
        self._record_demand(request, now)
        for settlement in request.settlements or ():
            owner.settle(settlement, now)
        if (request.head_revision or 0) > self._coordinator.revision:
            # The gateway may already have applied a lower limit. It would not shrink
            # a grant that it requested afterwards, so no grant may be issued here
            # under the outdated higher limit.
            self._coordinator.freshness.record_revision(request.head_revision)
            return QuotaReply("", 0, 0, OWNER_RETRY_MS, 0, Reason.OWNER_UNAVAILABLE)
        reply = owner.request(
            request.gateway,
            max(0, request.shortage_tokens or 0),
            float(max(0, request.demand_tokens_per_s or 0)),
            now,
        )
        self.granted_tokens += reply.tokens
        self.refusals += bool(reply.reason)
        return reply

    def sync(self, now: float) -> None:
        """Create the buckets of owned organisations and apply new limits."""
        rows = self._coordinator.follower.state.organisations_by_name
        for organisation in rows:
            self._owner(organisation, now)
        for organisation in list(self._owners_by_organisation):
            if organisation not in rows:
                del self._owners_by_organisation[organisation]
                self._demands_by_organisation.pop(organisation, None)

    def receive(self, handover: Handover, token: int) -> None:
        """Store the state of the previous owner until this instance may act."""
        for resource, older in list(self._handovers_by_resource_and_token):
            if resource == handover.resource and older < token:
                del self._handovers_by_resource_and_token[resource, older]
        self._handovers_by_resource_and_token[handover.resource, token] = handover

    def release(self, resource: str, token: int, now: float) -> Handover:
        """Stop acting for an organisation and return the state to hand over."""
        organisation = resource.removeprefix(ORGANISATION_PREFIX)
        owner = self._owners_by_organisation.get(organisation)
        received = self._handovers_by_resource_and_token.pop((resource, token), None)
        if owner is not None and owner.fencing_token == token:
            del self._owners_by_organisation[organisation]
            self._apply_limits(owner, now)
            return owner.handover(now)
        if received is not None:
            return received
        return Handover(resource, token, 0, [])

    def levels(self, now: float) -> dict[str, float]:
        """Return the level of each bucket in tokens, by organisation."""
        for owner in self._owners_by_organisation.values():
            self._apply_limits(owner, now)
        return {
            organisation: owner.level(now)
            for organisation, owner in self._owners_by_organisation.items()
        }

    def usages(self, now: float) -> dict[str, QuotaUsage]:
        """Return the usage of each bucket that this instance acts for."""
        usages_by_organisation = {}
        for organisation in self._coordinator.follower.state.organisations_by_name:
            owner = self._owner(organisation, now)
            if owner is None:
                continue
            demands = self._demands_by_organisation.get(organisation, {}).values()
            recent = [d.tokens_per_s for d in demands if now - d.at < DEMAND_EXPIRY_S]
            usages_by_organisation[organisation] = QuotaUsage(
                round(owner.level(now)), owner.outstanding, round(sum(recent))
            )
        return usages_by_organisation

    def _record_demand(self, request: QuotaRequest, now: float) -> None:
        tokens_per_s = max(0, request.demand_tokens_per_s or 0)
        demands = self._demands_by_organisation.setdefault(request.organisation, {})
        demands[request.gateway] = _Demand(now, tokens_per_s)
        for gateway, demand in list(demands.items()):
            if now - demand.at >= DEMAND_EXPIRY_S:
                del demands[gateway]

    def _owner(self, organisation: str, now: float) -> QuotaOwner | None:
        """Return the bucket if this instance may act for the organisation now."""
        row = self._coordinator.follower.state.organisations_by_name.get(organisation)
        resource = organisation_resource(organisation)
        if row is None or not self._coordinator.may_act(resource, now):
            return None
        token = self._coordinator.ownership.fencing_token(resource)
        owner = self._owners_by_organisation.get(organisation)
        if owner is None or owner.fencing_token != token:
            owner = self._create_owner(organisation, resource, token, now)
        self._apply_limits(owner, now)
        return owner

    def _apply_limits(self, owner: QuotaOwner, now: float) -> None:
        rows = self._coordinator.follower.state.organisations_by_name
        row = rows.get(owner.organisation)
        if row is not None and (owner.rate, owner.burst) != (row.rate, row.burst):
            owner.set_limits(row.rate, row.burst, now)

    def _create_owner(
        self, organisation: str, resource: str, token: int, now: float
    ) -> QuotaOwner:
        row = self._coordinator.follower.state.organisations_by_name[organisation]
        received = self._handovers_by_resource_and_token.pop((resource, token), None)
        owner = QuotaOwner(organisation, row.rate, row.burst, token, now, now)
        if received is not None:
            owner = QuotaOwner.from_handover(received, row.rate, row.burst, token, now)
        self._owners_by_organisation[organisation] = owner
        log_event(
            "quota_owned",
            organisation=organisation,
            fencing_token=token,
            handed_over=received is not None,
        )
        return owner
