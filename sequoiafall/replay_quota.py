"""Quota policies of a replay: grants as in production, and alternatives."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from .quota import GRANT_TTL_S, QuotaOwner
from .quota_holder import QuotaHolder
from .refusal import Reason
from .table import Organisation
from .wire.gen.ttypes import QuotaRequest

OWNER_FAILOVER_S = 3.0
"""Time from the failure of an owner until the next view is in force.

It takes 1 s until the owner is suspected, and then 2 s (HEAD_MAX_AGE_S).
"""

MAX_WAIT_S = 8.0
REPORT_INTERVAL_S = 0.25
# Age of the first owners at time 0, so that their buckets start full.
INITIAL_OWNER_AGE_S = 1e6

Schedule = Callable[..., None]


class Bucket:
    """Central token bucket without message delays, full at time 0.

    Parameters
    ----------
    rate, burst : float
        Rate in tokens per second, and capacity in tokens.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.lowest_level = burst
        self._updated_at = 0.0

    def fill(self, now: float) -> None:
        """Refill the bucket up to `now`."""
        self.level += self.rate * (now - self._updated_at)
        self.level = min(self.burst, self.level)
        self._updated_at = now

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        self.fill(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def charge(self, tokens: float, now: float) -> None:
        """Take tokens unconditionally and record the lowest level."""
        self.fill(now)
        self.level -= tokens
        self.lowest_level = min(self.lowest_level, self.level)


class QuotaPolicy(ABC):
    """Decides whether the gateways of a replay admit requests."""

    @abstractmethod
    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        on_decision: Callable[[Any | None, float], None],
    ) -> None:
        """Decide on a request.

        `on_decision` is called with a reservation, or None for a refusal, and the
        time of the decision.
        """

    def settle(
        self, organisation: str, gateway: int, reservation: Any, actual: int, now: float
    ) -> None:
        """Refund the tokens that a request did not use."""
        return None

    def replace_owner(self, organisation: str, now: float) -> None:
        """Replace the owner of an organisation without a handover."""
        return None


class NoQuota(QuotaPolicy):
    """Admits every request."""

    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        on_decision: Callable[[Any | None, float], None],
    ) -> None:
        """Admit the request immediately."""
        on_decision(True, now)


class StaticSplit(QuotaPolicy):
    """Splits rate and burst evenly between the gateways.

    Parameters
    ----------
    organisations : list of Organisation
        Rates and bursts.
    gateways : int
        Number of gateways.
    """

    def __init__(self, organisations: list[Organisation], gateways: int) -> None:
        self._buckets = {
            (row.name, gateway): Bucket(row.rate / gateways, row.burst / gateways)
            for row in organisations
            for gateway in range(gateways)
        }

    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        on_decision: Callable[[Any | None, float], None],
    ) -> None:
        """Admit the request if the gateway's bucket has enough tokens."""
        taken = self._buckets[organisation, gateway].take(tokens, now)
        on_decision(True if taken else None, now)


class GrantQuota(QuotaPolicy):
    """Grants as in production: from a `QuotaOwner` to a `QuotaHolder` per gateway.

    Parameters
    ----------
    organisations : list of Organisation
        Rates and bursts.
    gateways : int
        Number of gateways; each has a holder for every organisation.
    one_way_s : float
        One-way delay of a message in seconds.
    schedule : callable
        Schedules a call; takes the time, the function and its further arguments.
    """

    def __init__(
        self,
        organisations: list[Organisation],
        gateways: int,
        one_way_s: float,
        schedule: Schedule,
    ) -> None:
        self._rows_by_name = {row.name: row for row in organisations}
        self._one_way_s = one_way_s
        self._schedule = schedule
        self._fencing_token = 1
        self.messages = 0
        self._owners_by_name = {
            row.name: QuotaOwner(
                row.name,
                row.rate,
                row.burst,
                1,
                -INITIAL_OWNER_AGE_S,
                -INITIAL_OWNER_AGE_S,
            )
            for row in organisations
        }
        self._holders = {
            (row.name, gateway): QuotaHolder(
                f"g{gateway}", row.name, row.rate, row.burst
            )
            for row in organisations
            for gateway in range(gateways)
        }
        schedule(REPORT_INTERVAL_S, self._send_settlements)

    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        on_decision: Callable[[Any | None, float], None],
    ) -> None:
        """Reserve from a grant or request a new one from the owner."""
        self._reserve_or_request(
            organisation, gateway, tokens, now, on_decision, now + MAX_WAIT_S
        )

    def settle(
        self, organisation: str, gateway: int, reservation: Any, actual: int, now: float
    ) -> None:
        """Refund the tokens that a request did not use."""
        self._holders[organisation, gateway].settle(reservation, actual, now)

    def replace_owner(self, organisation: str, now: float) -> None:
        """Replace an owner.

        The new owner starts with an empty bucket once all grants of the previous one
        have expired.
        """
        self._fencing_token += 1
        row = self._rows_by_name[organisation]
        self._owners_by_name[organisation] = QuotaOwner(
            row.name,
            row.rate,
            row.burst,
            self._fencing_token,
            now,
            now + OWNER_FAILOVER_S + GRANT_TTL_S,
        )

    def _reserve_or_request(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        on_decision: Callable[[Any | None, float], None],
        deadline: float,
    ) -> None:
        holder = self._holders[organisation, gateway]
        reservation = holder.try_reserve(tokens, now)
        if reservation is not None:
            on_decision(reservation, now)
            return
        request = holder.next_request(tokens, now)

        def deliver_request(at: float) -> None:
            reply = self._handle_request(organisation, request, at)
            self._schedule(at + self._one_way_s, deliver_reply, reply)

        def deliver_reply(at: float, reply: Any) -> None:
            holder.on_reply(reply, now)
            reservation = holder.try_reserve(tokens, at)
            if reservation is not None:
                on_decision(reservation, at)
            elif reply.reason == Reason.OWNER_UNAVAILABLE and at < deadline:
                # Gateways retry after at most 0.3 s.
                delay_s = min(max(reply.retry_after_ms / 1000, 0.02), 0.3)
                retry_arguments = (organisation, gateway, tokens, on_decision, deadline)
                self._schedule(at + delay_s, self._retry, *retry_arguments)
            elif not reply.reason:
                retry_arguments = (organisation, gateway, tokens, on_decision, deadline)
                self._schedule(at, self._retry, *retry_arguments)
            else:
                on_decision(None, at)

        self._schedule(now + self._one_way_s, deliver_request)

    def _retry(
        self,
        now: float,
        organisation: str,
        gateway: int,
        tokens: int,
        on_decision: Callable[[Any | None, float], None],
        deadline: float,
    ) -> None:
        self._reserve_or_request(
            organisation, gateway, tokens, now, on_decision, deadline
        )

    def _handle_request(
        self, organisation: str, request: QuotaRequest, now: float
    ) -> Any:
        self.messages += 1
        owner = self._owners_by_name[organisation]
        for settlement in request.settlements:
            owner.settle(settlement, now)
        return owner.request(
            request.gateway, request.shortage_tokens, request.demand_tokens_per_s, now
        )

    def _send_settlements(self, now: float) -> None:
        for (organisation, _), holder in self._holders.items():
            if holder.has_settlements(now):
                self._handle_request(organisation, holder.next_request(0, now), now)
        self._schedule(now + REPORT_INTERVAL_S, self._send_settlements)
