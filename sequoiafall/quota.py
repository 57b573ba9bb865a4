"""Owner's part of the distributed token bucket that limits an organisation's rate.

All gateways of the fleet together get one rate and burst per organisation.
One `QuotaOwner` per organisation issues short-lived grants of tokens to a
`QuotaHolder` at each gateway. The settled cost of the requests admitted in any
window is at most ``burst + rate * window``, even if messages are lost or delayed
and processes freeze or restart. To see this, compare the owner with a reference
bucket that is charged with the settled cost at the moment of admission. The level
of the reference bucket is never below
``level + unspent grants + refunds that can still arrive``:

- ``level + outstanding + refundable <= burst``, so the sum never exceeds the
  capacity of the reference bucket;
- a holder measures a grant's lifetime from the time it sent the request, the owner
  from the time it replied, so a grant that has expired at the owner can no longer
  be spent;
- a refund for a grant that the owner no longer counts as outstanding is limited
  to the allowance of this grant within ``refundable``. All allowances shrink in
  proportion while the level rises or newer grants are spent.
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

GRANT_TTL_S = 1.0
"""Longest lifetime of a grant in seconds.

A new owner without a handover waits this long before it issues grants.
"""

SINGLE_GRANT_TTL_S = 0.1
"""Lifetime in seconds of a grant for one waiting request.

The request spends the grant on arrival, about 3 ms later. A long lifetime would
keep the tokens outstanding and limit the rate to ``burst / lifetime``.
"""

MAX_ADMISSION_WAIT_S = 8.0
"""Longest time in seconds that a request waits while its owner is replaced."""

CLOCK_DRIFT_MARGIN = 0.01
"""Share by which the owner extends a grant's lifetime to allow for clock drift.

The clocks of two machines drift apart by far less than 1%.
"""

PREFETCH_DEMAND_S = 0.25
"""Seconds of a gateway's demand that a grant covers beyond the waiting request."""

MAX_PREFETCH_SHARE = 0.125
"""Share of the burst up to which outstanding grants may grow by prefetch.

Tokens in idle grants cause requests within the rate to be refused elsewhere. At
1/8 of the burst, 7/8 always remain available to the other gateways.
"""

MIN_PREFETCH_LEVEL_SHARE = 0.5
"""Level, as a share of the burst, below which nothing is prefetched."""

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
    """Token bucket of one organisation, at the instance that owns it.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    rate : float
        Tokens per second.
    burst : float
        Capacity of the bucket in tokens.
    fencing_token : int
        Revision of the membership view that made this instance the owner.
    now, ready_at : float
        Monotonic time in seconds, and the time by which every grant of the
        previous owner has expired. The bucket starts at level 0 at `ready_at`.
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
        # The level of the previous owner is unknown. Until waiting requests have
        # had time to retry, a shortage may be due to the change of owner rather
        # than to a caller over its rate.
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
        """Continue the bucket of a previous owner that handed over its state.

        Parameters
        ----------
        handover : Handover
            Final state of the previous owner.
        rate, burst : float
            Rate in tokens per second and burst in tokens.
        fencing_token : int
            Fencing token of this owner. Unused tokens of grants with an older
            fencing token are not refunded.
        now : float
            Monotonic time of this instance in seconds.

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
        """Apply the state of the previous owner, unless this owner is already ready.

        Returns
        -------
        bool
            False if the handover was ignored because this owner is ready or the
            handover's fencing token is not older than its own. A late or repeated
            handover must change nothing.
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
        """Tokens in grants that holders may still spend."""
        return self._outstanding

    def level(self, now: float) -> float:
        """Return the number of tokens that can be granted at `now`."""
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
        """Grant tokens for a waiting request, or return when to retry.

        Parameters
        ----------
        gateway : str
            Gateway that receives the grant.
        shortage_tokens : int
            Cost of the waiting request; 0 if none waits.
        demand_tokens_per_s : float
            Recent token consumption of the gateway; limits the prefetch.
        now : float
            Monotonic time in seconds, read without an await before the reply is
            sent.

        Returns
        -------
        QuotaReply
            A grant; or reason ``rate_exceeded`` with the exact time after which
            the request fits (0 if it never fits); or reason
            ``owner_unavailable``, after which the gateway waits and retries.
        """
        if not self.is_ready(now):
            wait_s = 0.0 if self._handed_over else self.ready_at - now
            return self._refuse(Reason.OWNER_UNAVAILABLE, wait_s)
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
        """Refund unused tokens of a grant.

        The first settlement of an outstanding grant closes it: the holder has spent
        or returned all its tokens. Later settlements of the same grant return what
        its requests did not use. The final one drops the grant's remaining refund
        allowance, which makes room for refunds of other grants.

        Parameters
        ----------
        settlement : Settlement
            Ignored unless it carries the fencing token of this owner.
        now : float
            Monotonic time in seconds.
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
        """Apply a new rate and burst immediately.

        Parameters
        ----------
        rate, burst : float
            Rate in tokens per second and burst in tokens.
        now : float
            Monotonic time in seconds.
        """
        # The owner may have been frozen and cannot know when the change took
        # effect, so the time since the last update is credited at the lower rate.
        previous, self.rate = self.rate, min(rate, self.rate)
        self._advance(now)
        if rate < previous or burst < self.burst:
            # Tokens admitted under the higher limit must not be refunded into a
            # bucket with the lower limit.
            self._refundable.clear()
            for grant in self._grants_by_id.values():
                grant.is_refundable = False
        self.rate = rate
        self.burst = burst
        self._clamp_level()

    def handover(self, now: float) -> Handover:
        """Stop issuing grants and return the state for the next owner."""
        self._advance(now)
        self._handed_over = True
        grants = [
            OutstandingGrant(
                grant_id, grant.gateway, grant.tokens, _to_ms(grant.expires_at - now)
            )
            for grant_id, grant in self._grants_by_id.items()
        ]
        if now < self.ready_at:
            # The grants of the previous owner are unknown, but hold at most one
            # burst in total.
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
        max_level = max(0.0, self.burst - self._outstanding)
        self._level = min(self._level, max_level)
        self._refundable.shrink_to(max_level - self._level)

    def _release(self, grant_id: str, grant: _IssuedGrant) -> None:
        del self._grants_by_id[grant_id]
        self._outstanding -= grant.tokens
        if grant.is_refundable:
            self._refundable.add(grant_id, grant.tokens)

    def _prefetch_tokens(self, shortage_tokens: int, demand_tokens_per_s: float) -> int:
        level_after = self._level - shortage_tokens
        if level_after < MIN_PREFETCH_LEVEL_SHARE * self.burst:
            return 0
        max_prefetch = (
            MAX_PREFETCH_SHARE * self.burst - self._outstanding - shortage_tokens
        )
        wanted = PREFETCH_DEMAND_S * demand_tokens_per_s
        return max(0, math.floor(min(wanted, max_prefetch)))

    def _grant(
        self, gateway: str, shortage_tokens: int, prefetch: int, now: float
    ) -> QuotaReply:
        tokens = shortage_tokens + prefetch
        if tokens == 0:
            return QuotaReply("", 0, 0, 0, self.fencing_token, "")
        lifetime_s = GRANT_TTL_S if prefetch else SINGLE_GRANT_TTL_S
        self._last_sequence += 1
        grant_id = f"{self.fencing_token}-{self._last_sequence}"
        self._level = max(0.0, self._level - tokens)
        self._record(
            grant_id, tokens, now + lifetime_s * (1 + CLOCK_DRIFT_MARGIN), gateway, True
        )
        return QuotaReply(
            grant_id, tokens, round(lifetime_s * 1000), 0, self.fencing_token, ""
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

    def _refuse(self, reason: Reason, wait_s: float) -> QuotaReply:
        return QuotaReply("", 0, 0, _to_ms(wait_s), self.fencing_token, reason.value)

    def _time_of_level(self, tokens: int) -> float:
        """Return the time at which the level reaches `tokens` without new grants."""
        level, outstanding, at = self._level, self._outstanding, self._updated_at
        if tokens > self.burst - outstanding:
            by_expiry = sorted(
                self._grants_by_id.values(), key=lambda grant: grant.expires_at
            )
            for grant in by_expiry:
                max_level = max(0.0, self.burst - outstanding)
                reached_at = at + (tokens - level) / self.rate
                if tokens <= max_level and reached_at <= grant.expires_at:
                    break
                level = min(level + self.rate * (grant.expires_at - at), max_level)
                at = grant.expires_at
                outstanding -= grant.tokens
        return max(at, at + (tokens - level) / self.rate)
