"""Quota part of a replay: the grants of all gateways, and what they replace."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from .quota import GRANT_TTL_S, QuotaOwner
from .quota_holder import QuotaHolder
from .refusal import Reason
from .table import Organisation
from .wire.gen.ttypes import QuotaRequest

OWNER_GAP_S = 3.0
"""From the death of an owner until the next view is in force: 1 s until it is
suspected and 2 s (HEAD_MAX_AGE_S)."""

WAIT_LIMIT_S = 8.0
REPORT_INTERVAL_S = 0.25
FULL_BEFORE_S = 1e6

Schedule = Callable[..., None]


class Bucket:
    """Token bucket without delays, full at time 0.

    Parameters
    ----------
    rate, burst : float
        Tokens per second and tokens.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.lowest = burst
        self._updated_at = 0.0

    def fill(self, now: float) -> None:
        """Add what the rate gives until `now`."""
        self.level += self.rate * (now - self._updated_at)
        self.level = min(self.burst, self.level)
        self._updated_at = now

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if there are enough."""
        self.fill(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def charge(self, tokens: float, now: float) -> None:
        """Take tokens in any case and note the lowest level."""
        self.fill(now)
        self.level -= tokens
        self.lowest = min(self.lowest, self.level)


class QuotaPolicy(ABC):
    """Admits requests at the gateways of a replay."""

    @abstractmethod
    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        answer: Callable[[Any | None, float], None],
    ) -> None:
        """Call `answer` with a reservation, or None if refused, and the time."""

    def settle(
        self, organisation: str, gateway: int, spend: Any, actual: int, now: float
    ) -> None:
        """Return what a request did not use."""
        return None

    def lose_owner(self, organisation: str, now: float) -> None:
        """Replace the owner of an organisation without a handover."""
        return None


class NoQuota(QuotaPolicy):
    """Admits everything."""

    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        answer: Callable[[Any | None, float], None],
    ) -> None:
        """Admit at once."""
        answer(True, now)


class StaticSplit(QuotaPolicy):
    """Gives each gateway an even part of rate and burst.

    Parameters
    ----------
    organisations : list of Organisation
        Rates and bursts.
    gateways : int
        Number of parts.
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
        answer: Callable[[Any | None, float], None],
    ) -> None:
        """Admit from the gateway's part."""
        taken = self._buckets[organisation, gateway].take(tokens, now)
        answer(True if taken else None, now)


class GrantQuota(QuotaPolicy):
    """Grants of `QuotaOwner`, spent by a `QuotaHolder` at each gateway.

    Parameters
    ----------
    organisations : list of Organisation
        Rates and bursts.
    gateways : int
        Number of holders for each organisation.
    one_way_s : float
        Time of a message.
    schedule : callable
        Called with time, function and arguments.
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
        self._token = 1
        self.messages = 0
        self._owners_by_name = {
            row.name: QuotaOwner(
                row.name, row.rate, row.burst, 1, -FULL_BEFORE_S, -FULL_BEFORE_S
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
        schedule(REPORT_INTERVAL_S, self._report)

    def admit(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        answer: Callable[[Any | None, float], None],
    ) -> None:
        """Spend from a grant or ask the owner."""
        self._try(organisation, gateway, tokens, now, answer, now + WAIT_LIMIT_S)

    def settle(
        self, organisation: str, gateway: int, spend: Any, actual: int, now: float
    ) -> None:
        """Return what a request did not use."""
        self._holders[organisation, gateway].settle(spend, actual, now)

    def lose_owner(self, organisation: str, now: float) -> None:
        """Replace an owner; the new one waits and starts at level 0."""
        self._token += 1
        row = self._rows_by_name[organisation]
        self._owners_by_name[organisation] = QuotaOwner(
            row.name,
            row.rate,
            row.burst,
            self._token,
            now,
            now + OWNER_GAP_S + GRANT_TTL_S,
        )

    def _try(
        self,
        organisation: str,
        gateway: int,
        tokens: int,
        now: float,
        answer: Callable[[Any | None, float], None],
        deadline: float,
    ) -> None:
        holder = self._holders[organisation, gateway]
        spend = holder.try_reserve(tokens, now)
        if spend is not None:
            answer(spend, now)
            return
        request = holder.next_request(tokens, now)

        def receive(at: float) -> None:
            reply = self._answer(organisation, request, at)
            self._schedule(at + self._one_way_s, arrive, reply)

        def arrive(at: float, reply: Any) -> None:
            holder.on_reply(reply, now)
            spend = holder.try_reserve(tokens, at)
            if spend is not None:
                answer(spend, at)
            elif reply.reason == Reason.OWNER_UNAVAILABLE and at < deadline:
                # Gateways ask again after at most 0.3 s.
                wait = min(max(reply.retry_after_ms / 1000, 0.02), 0.3)
                again = (organisation, gateway, tokens, answer, deadline)
                self._schedule(at + wait, self._try_again, *again)
            elif not reply.reason:
                again = (organisation, gateway, tokens, answer, deadline)
                self._schedule(at, self._try_again, *again)
            else:
                answer(None, at)

        self._schedule(now + self._one_way_s, receive)

    def _try_again(
        self,
        now: float,
        organisation: str,
        gateway: int,
        tokens: int,
        answer: Callable[[Any | None, float], None],
        deadline: float,
    ) -> None:
        self._try(organisation, gateway, tokens, now, answer, deadline)

    def _answer(self, organisation: str, request: QuotaRequest, now: float) -> Any:
        self.messages += 1
        owner = self._owners_by_name[organisation]
        for settlement in request.settlements:
            owner.settle(settlement, now)
        return owner.request(
            request.gateway, request.shortage_tokens, request.demand_tokens_per_s, now
        )

    def _report(self, now: float) -> None:
        for (organisation, _), holder in self._holders.items():
            if holder.has_settlements(now):
                self._answer(organisation, holder.next_request(0, now), now)
        self._schedule(now + REPORT_INTERVAL_S, self._report)
