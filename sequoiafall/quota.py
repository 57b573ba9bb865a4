"""Token rates and bursts of organisations, counted across all gateways.

One `QuotaOwner` per organisation issues short grants of tokens to a
`QuotaHolder` at each gateway. The settled cost of the requests admitted in any
window is at most ``burst + rate * window``, whatever is lost, late, frozen or
restarted. The argument compares the owner with a reference bucket that is
charged with the settled cost at the moment of admission. The reference is never
below ``level + unspent grants + refunds that can still arrive``:

- ``level + outstanding + refundable <= burst``, so the sum never exceeds what
  the reference can hold;
- a holder counts a grant's life from the send of its request, the owner from its
  answer, so a grant that the owner has forgotten can no longer be spent;
- a refund for a grant that the owner no longer counts as outstanding is limited
  to the part of ``refundable`` that belongs to this grant. All parts shrink in
  proportion while the level fills or newer grants are spent.
"""

import heapq
import math
from dataclasses import dataclass

from .refund_allowances import ROUNDING_TOLERANCE, RefundAllowances
from .refusal import Reason
from .wire.gen.ttypes import (
    Handover,
    OutstandingGrant,
    QuotaReply,
    Settlement,
)

GRANT_LIFETIME_S = 1.0
"""Longest life of a grant in seconds; a new owner waits this long."""

SINGLE_GRANT_LIFETIME_S = 0.1
"""Life in seconds of a grant for one waiting request.

The request spends it on arrival, about 3 ms later. A long life would keep the
tokens outstanding and so limit the rate to ``burst / life``.
"""

MAX_ADMISSION_WAIT_S = 8.0
"""Longest wait in seconds of a request while the owner is being replaced."""

CLOCK_DRIFT_MARGIN = 0.01
"""Share added to a life at the owner; clocks differ by far less than 1%."""

PREFETCH_DEMAND_S = 0.25
"""Demand of a gateway that a grant covers beyond the waiting request."""

MAX_PREFETCH_SHARE = 0.125
"""Largest share of the burst that may be outstanding through prefetch.

Idle grants are what refuses requests within the rate; at 1/8 a burst of 7/8
is always available to the other gateways.
"""

MIN_PREFETCH_LEVEL_SHARE = 0.5
"""Share of the burst below which nothing is prefetched."""

_MAX_INT32 = 2**31 - 1


def _to_ms(seconds: float) -> int:
    return min(math.ceil(max(0.0, seconds) * 1000), _MAX_INT32)


@dataclass(slots=True)
class _IssuedGrant:
    tokens: int
    expires_at: float
    gateway: str
    is_refundable: bool


class QuotaOwner:
    """Bucket of one organisation, at the instance that owns it.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    rate : float
        Tokens per second.
    burst : float
        Capacity of the bucket in tokens.
    fencing_token : int
        Revision of the view that made this instance the owner.
    now, ready_at : float
        Monotonic time, and the time when every grant of the previous owner has
        expired. The bucket starts at level 0 at `ready_at`.
    """

    __slots__ = (
        "_expiries",
        "_grants_by_id",
        "_handed_over",
        "_last_sequence",
        "_level",
        "_outstanding",
        "_recovering_until",
        "_refundable",
        "_updated_at",
        "burst",
        "fencing_token",
        "organisation",
        "rate",
        "ready_at",
    )

    def __init__(
        self,
        organisation: str,
        rate: float,
        burst: float,
        fencing_token: int,
        now: float,
        ready_at: float,
    ) -> None:
        self.organisation = organisation
        self.rate = rate
        self.burst = burst
        self.fencing_token = fencing_token
        self.ready_at = max(now, ready_at)
        self._updated_at = self.ready_at
        # The level of the previous owner is unknown, so "over the rate" cannot
        # be told from "just replaced" until requests had time to come back.
        self._recovering_until = self.ready_at + MAX_ADMISSION_WAIT_S
        self._level = 0.0
        self._outstanding = 0
        self._refundable = RefundAllowances()
        self._grants_by_id: dict[str, _IssuedGrant] = {}
        self._expiries: list[tuple[float, str]] = []
        self._last_sequence = 0
        self._handed_over = False

    @classmethod
    def from_handover(
        cls,
        handover: Handover,
        rate: float,
        burst: float,
        fencing_token: int,
        now: float,
    ) -> "QuotaOwner":
        """Continue the bucket of a living previous owner at once.

        Parameters
        ----------
        handover : Handover
            Final state of the previous owner.
        rate, burst : float
            Tokens per second and tokens.
        fencing_token : int
            Token of this owner; unused tokens of older grants are not returned.
        now : float
            Monotonic time of this instance.

        Returns
        -------
        QuotaOwner
            An owner that is ready at `now`.
        """
        organisation = handover.resource.partition("/")[2]
        owner = cls(organisation, rate, burst, fencing_token, now, math.inf)
        owner.accept_handover(handover, now)
        return owner

    def accept_handover(self, handover: Handover, now: float) -> bool:
        """Take over the state of the previous owner, unless already acting.

        Returns
        -------
        bool
            False if this owner is ready or the handover is not older than its
            own token; a late or repeated handover must change nothing.
        """
        if now >= self.ready_at or handover.fencing_token >= self.fencing_token:
            return False
        self.ready_at = self._updated_at = self._recovering_until = now
        for grant in handover.grants:
            expires_at = now + grant.expires_in_ms / 1000
            if not grant.gateway:
                self._recovering_until = expires_at + MAX_ADMISSION_WAIT_S
            self._record(grant.grant_id, grant.tokens, expires_at, grant.gateway, False)
        self._level = float(handover.level_tokens)
        self._clamp_level()
        return True

    @property
    def outstanding(self) -> int:
        """Tokens in grants that may still be spent."""
        return self._outstanding

    def level(self, now: float) -> float:
        """Return the tokens that can be granted at `now`."""
        self._advance(now)
        return self._level

    def is_ready(self, now: float) -> bool:
        """Return whether this owner may issue grants."""
        return now >= self.ready_at and not self._handed_over

    def request(
        self,
        gateway: str,
        shortage_tokens: int,
        demand_tokens_per_s: float,
        now: float,
    ) -> QuotaReply:
        """Grant tokens for a waiting request, or say when to come back.

        Parameters
        ----------
        gateway : str
            Holder of the grant.
        shortage_tokens : int
            Cost of the request that waits; 0 if none waits.
        demand_tokens_per_s : float
            What the gateway has been spending; bounds the prefetch.
        now : float
            Monotonic time, read in the step that sends the answer.

        Returns
        -------
        QuotaReply
            A grant; or `reason` ``rate_exceeded`` with the exact time after which
            the request fits (0 if it never fits); or ``owner_unavailable``, on
            which the gateway waits and asks again.
        """
        if not self.is_ready(now):
            wait = 0.0 if self._handed_over else self.ready_at - now
            return self._refuse(Reason.OWNER_UNAVAILABLE, wait)
        self._advance(now)
        if shortage_tokens > self.burst:
            return self._refuse(Reason.RATE_EXCEEDED, 0.0)
        if self._level + ROUNDING_TOLERANCE < shortage_tokens:
            is_recovering = now < self._recovering_until
            reason = Reason.OWNER_UNAVAILABLE if is_recovering else Reason.RATE_EXCEEDED
            return self._refuse(reason, self._time_of_level(shortage_tokens) - now)
        prefetch = self._prefetch_tokens(shortage_tokens, demand_tokens_per_s)
        return self._grant(gateway, shortage_tokens, prefetch, now)

    def settle(self, settlement: Settlement, now: float) -> None:
        """Take back unused tokens of a grant.

        A settlement of an outstanding grant closes it: the holder has spent or
        returned all of it. Later settlements of the same grant return what its
        requests did not use; the final one frees the room for other refunds.

        Parameters
        ----------
        settlement : Settlement
            Ignored unless it carries the token of this owner.
        now : float
            Monotonic time.
        """
        if settlement.fencing_token != self.fencing_token or not self.is_ready(now):
            return
        self._advance(now)
        unused = max(0, settlement.unused_tokens)
        grant = self._grants_by_id.get(settlement.grant_id)
        if grant is not None:
            self._release(settlement.grant_id, grant)
        self._level += self._refundable.take(settlement.grant_id, unused)
        if settlement.is_final:
            self._refundable.drop(settlement.grant_id)
        self._clamp_level()

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply a new rate and burst at once.

        Parameters
        ----------
        rate, burst : float
            Tokens per second and tokens.
        now : float
            Monotonic time.
        """
        # When the change came into force is unknown here: a frozen owner learns
        # of it late. The time since the last request counts at the lower rate.
        previous, self.rate = self.rate, min(rate, self.rate)
        self._advance(now)
        if rate < previous or burst < self.burst:
            # What was admitted under the higher limit must not come back as a
            # refund that the lower limit has no room for.
            self._refundable.clear()
            for grant in self._grants_by_id.values():
                grant.is_refundable = False
        self.rate = rate
        self.burst = burst
        self._clamp_level()

    def handover(self, now: float) -> Handover:
        """Stop granting and return the state for the next owner."""
        self._advance(now)
        self._handed_over = True
        grants = [
            OutstandingGrant(
                grant_id, grant.gateway, grant.tokens, _to_ms(grant.expires_at - now)
            )
            for grant_id, grant in self._grants_by_id.items()
        ]
        if now < self.ready_at:
            # Grants of the previous owner are unknown but hold at most a burst.
            unknown = math.ceil(self.burst)
            wait_ms = _to_ms(self.ready_at - now)
            grants.append(
                OutstandingGrant(f"{self.fencing_token}-0", "", unknown, wait_ms)
            )
        return Handover(
            resource=f"organisation/{self.organisation}",
            fencing_token=self.fencing_token,
            level_tokens=math.floor(self._level),
            grants=grants,
            seat="",
            head_revision=0,
        )

    def _advance(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, grant_id = heapq.heappop(self._expiries)
            grant = self._grants_by_id.get(grant_id)
            if grant is None:
                continue
            self._refill(expires_at)
            self._release(grant_id, grant)
        self._refill(now)

    def _refill(self, now: float) -> None:
        if now <= self._updated_at:
            return
        self._level += self.rate * (now - self._updated_at)
        self._updated_at = now
        self._clamp_level()

    def _clamp_level(self) -> None:
        room = max(0.0, self.burst - self._outstanding)
        self._level = min(self._level, room)
        self._refundable.shrink_to(room - self._level)

    def _release(self, grant_id: str, grant: _IssuedGrant) -> None:
        del self._grants_by_id[grant_id]
        self._outstanding -= grant.tokens
        if grant.is_refundable:
            self._refundable.add(grant_id, grant.tokens)

    def _prefetch_tokens(self, shortage_tokens: int, demand_tokens_per_s: float) -> int:
        after = self._level - shortage_tokens
        if after < MIN_PREFETCH_LEVEL_SHARE * self.burst:
            return 0
        room = MAX_PREFETCH_SHARE * self.burst - self._outstanding - shortage_tokens
        wanted = PREFETCH_DEMAND_S * demand_tokens_per_s
        return max(0, math.floor(min(wanted, room)))

    def _grant(
        self, gateway: str, shortage_tokens: int, prefetch: int, now: float
    ) -> QuotaReply:
        tokens = shortage_tokens + prefetch
        if tokens == 0:
            return QuotaReply("", 0, 0, 0, self.fencing_token, "")
        life = GRANT_LIFETIME_S if prefetch else SINGLE_GRANT_LIFETIME_S
        self._last_sequence += 1
        grant_id = f"{self.fencing_token}-{self._last_sequence}"
        self._level = max(0.0, self._level - tokens)
        self._record(
            grant_id, tokens, now + life * (1 + CLOCK_DRIFT_MARGIN), gateway, True
        )
        return QuotaReply(
            grant_id, tokens, round(life * 1000), 0, self.fencing_token, ""
        )

    def _record(
        self,
        grant_id: str,
        tokens: int,
        expires_at: float,
        gateway: str,
        is_refundable: bool,
    ) -> None:
        grant = _IssuedGrant(tokens, expires_at, gateway, is_refundable)
        self._grants_by_id[grant_id] = grant
        self._outstanding += tokens
        heapq.heappush(self._expiries, (expires_at, grant_id))

    def _refuse(self, reason: Reason, wait: float) -> QuotaReply:
        return QuotaReply("", 0, 0, _to_ms(wait), self.fencing_token, reason.value)

    def _time_of_level(self, tokens: int) -> float:
        """Return when the level reaches `tokens` if nothing else is granted."""
        level, outstanding, at = self._level, self._outstanding, self._updated_at
        if tokens > self.burst - outstanding:
            by_expiry = sorted(
                self._grants_by_id.values(), key=lambda grant: grant.expires_at
            )
            for grant in by_expiry:
                room = max(0.0, self.burst - outstanding)
                reached_at = at + (tokens - level) / self.rate
                if tokens <= room and reached_at <= grant.expires_at:
                    break
                level = min(level + self.rate * (grant.expires_at - at), room)
                at = grant.expires_at
                outstanding -= grant.tokens
        return max(at, at + (tokens - level) / self.rate)
