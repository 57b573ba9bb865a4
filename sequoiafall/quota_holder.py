"""Gateway's part of the distributed token bucket: the grants that it holds.

No I/O is done here: `QuotaClient` exchanges the messages with the owner.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from .quota import GRANT_TTL_S
from .wire.gen.ttypes import QuotaReply, QuotaRequest, Settlement

DEMAND_TIME_CONSTANT_S = 1.0
"""Time constant in seconds of the exponential average of a holder's demand."""


@dataclass(slots=True, eq=False)
class _HeldGrant:
    grant_id: str
    fencing_token: int
    remaining: int
    expires_at: float
    is_refundable: bool = True
    running: int = 0
    unused: int = 0
    is_closed: bool = False

    def settlement(self) -> Settlement:
        unused, self.unused = self.unused, 0
        return Settlement(self.grant_id, self.fencing_token, unused, self.running == 0)


@dataclass(slots=True)
class TokenReservation:
    """Tokens reserved for one request.

    Parameters
    ----------
    tokens : int
        Number of reserved tokens: prompt tokens plus ``max_tokens``.
    parts : list of tuple
        Grants and the number of tokens taken from each; private to `QuotaHolder`.
    is_settled : bool, default=False
        Whether the actual cost has been reported.
    """

    tokens: int
    parts: list[tuple[_HeldGrant, int]] = field(default_factory=list)
    is_settled: bool = False


class QuotaHolder:
    """Grants of one organisation at one gateway.

    A gateway calls `try_reserve`. If that returns None, it sends `next_request` to
    the owner, passes the reply to `on_reply` and calls `try_reserve` again without
    an await in between.

    Parameters
    ----------
    gateway, organisation : str
        Names sent with each request.
    rate, burst : float, default=0.0
        Rate in tokens per second and burst in tokens; a burst of 0 means unknown.
    """

    __slots__ = (
        "_demand",
        "_demand_at",
        "_grants",
        "_limit_reductions",
        "_unreported_by_id",
        "burst",
        "gateway",
        "organisation",
        "rate",
    )

    def __init__(
        self, gateway: str, organisation: str, rate: float = 0.0, burst: float = 0.0
    ) -> None:
        self.gateway = gateway
        self.organisation = organisation
        self.rate = rate
        self.burst = burst
        self._grants: deque[_HeldGrant] = deque()
        self._unreported_by_id: dict[str, _HeldGrant] = {}
        self._limit_reductions: list[tuple[float, float]] = []
        self._demand = 0.0
        self._demand_at = 0.0

    def exceeds_burst(self, tokens: int) -> bool:
        """Return whether a request costs more tokens than the burst allows."""
        return 0 < self.burst < tokens

    def try_reserve(self, tokens: int, now: float) -> TokenReservation | None:
        """Reserve tokens for a request that is admitted immediately.

        Parameters
        ----------
        tokens : int
            Prompt tokens plus ``max_tokens``, the upper bound of the cost.
        now : float
            Monotonic time in seconds, read without an await before the admission.

        Returns
        -------
        TokenReservation or None
            None if the unexpired grants hold too few tokens.
        """
        self._drop_expired(now)
        if sum(grant.remaining for grant in self._grants) < tokens:
            return None
        self._count_demand(tokens, now)
        reservation = TokenReservation(tokens)
        needed = tokens
        while needed > 0:
            grant = self._grants[0]
            taken = min(needed, grant.remaining)
            grant.remaining -= taken
            needed -= taken
            grant.running += 1
            reservation.parts.append((grant, taken))
            if grant.remaining == 0:
                self._close(self._grants.popleft())
        return reservation

    def settle(
        self, reservation: TokenReservation, actual_tokens: int, now: float
    ) -> None:
        """Return the tokens that a finished request did not use.

        Parameters
        ----------
        reservation : TokenReservation
            Result of `try_reserve`. Settling it twice has no further effect.
        actual_tokens : int
            Prompt tokens plus generated tokens.
        now : float
            Monotonic time in seconds.
        """
        if reservation.is_settled:
            return
        reservation.is_settled = True
        self._drop_expired(now)
        unused = max(0, reservation.tokens - actual_tokens)
        for grant, taken in reversed(reservation.parts):
            returned = min(unused, taken)
            unused -= returned
            grant.running -= 1
            if not grant.is_closed:
                grant.remaining += returned if grant.is_refundable else 0
            elif returned > 0 or grant.running == 0:
                grant.unused += returned
                self._unreported_by_id[grant.grant_id] = grant

    def next_request(
        self, shortage_tokens: int, now: float, head_revision: int = 0
    ) -> QuotaRequest:
        """Build the next message to the owner; each settlement is sent only once.

        Parameters
        ----------
        shortage_tokens : int
            Cost of the waiting request. All held grants are too small for it and
            are returned with the message. 0 to report settlements only.
        now : float
            Monotonic time of the send in seconds; to be passed to `on_reply`.
        head_revision : int, default=0
            Revision of the configuration that the gateway holds.

        Returns
        -------
        QuotaRequest
            Must not be sent again: the tokens in a lost message count as spent.
        """
        if shortage_tokens > 0:
            self._close_all(now)
        else:
            self._drop_expired(now)
        settlements = [grant.settlement() for grant in self._unreported_by_id.values()]
        self._unreported_by_id.clear()
        demand = round(self.demand(now)) if shortage_tokens > 0 else 0
        return QuotaRequest(
            self.gateway,
            self.organisation,
            shortage_tokens,
            demand,
            settlements,
            head_revision,
        )

    def on_reply(self, reply: QuotaReply, sent_at: float) -> None:
        """Store the grant of a reply whose request was sent at `sent_at`."""
        if reply.reason or reply.tokens <= 0:
            return
        tokens = reply.tokens
        for reduced_at, factor in self._limit_reductions:
            if sent_at <= reduced_at:
                tokens = math.floor(tokens * factor)
        expires_at = sent_at + reply.expires_in_ms / 1000
        self._grants.append(
            _HeldGrant(reply.grant_id, reply.fencing_token, tokens, expires_at)
        )

    def has_settlements(self, now: float) -> bool:
        """Return whether there are settlements to report to the owner."""
        self._drop_expired(now)
        return bool(self._unreported_by_id)

    def return_grants(self, now: float) -> QuotaRequest:
        """Build the message that returns all grants before a planned shutdown."""
        self._close_all(now)
        return self.next_request(0, now)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply new limits; lower limits shrink the held grants immediately.

        Parameters
        ----------
        rate, burst : float
            Rate in tokens per second and burst in tokens.
        now : float
            Monotonic time in seconds. Grants requested up to this time shrink as
            well when they arrive.
        """
        factor = min(
            1.0,
            rate / self.rate if self.rate > 0 else 1.0,
            burst / self.burst if self.burst > 0 else 1.0,
        )
        self.rate = rate
        self.burst = burst
        if factor >= 1.0:
            return
        for grant in self._grants:
            grant.remaining = math.floor(grant.remaining * factor)
            grant.is_refundable = False
        oldest = now - GRANT_TTL_S
        self._limit_reductions = [
            entry for entry in self._limit_reductions if entry[0] > oldest
        ]
        self._limit_reductions.append((now, factor))

    def held_tokens(self, now: float) -> int:
        """Return the number of tokens in unexpired grants at `now`."""
        self._drop_expired(now)
        return sum(grant.remaining for grant in self._grants)

    def demand(self, now: float) -> float:
        """Return the averaged recent demand in tokens per second."""
        age = max(0.0, now - self._demand_at)
        return (
            self._demand
            * math.exp(-age / DEMAND_TIME_CONSTANT_S)
            / DEMAND_TIME_CONSTANT_S
        )

    def _count_demand(self, tokens: int, now: float) -> None:
        self._demand = self.demand(now) * DEMAND_TIME_CONSTANT_S + tokens
        self._demand_at = now

    def _drop_expired(self, now: float) -> None:
        if all(grant.expires_at > now for grant in self._grants):
            return
        for grant in self._grants:
            if grant.expires_at <= now:
                self._close(grant)
        self._grants = deque(grant for grant in self._grants if grant.expires_at > now)

    def _close_all(self, now: float) -> None:
        for grant in self._grants:
            self._close(grant)
        self._grants.clear()

    def _close(self, grant: _HeldGrant) -> None:
        grant.is_closed = True
        grant.unused += grant.remaining
        grant.remaining = 0
        self._unreported_by_id[grant.grant_id] = grant
