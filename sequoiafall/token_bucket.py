"""Token limits of organisations, enforced by one token bucket each at the leader.

Unlike in `quota`, gateways hold no tokens: the leader takes them for each request.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from .catalog import TokenLimit

# Initial level of a bucket after a change of leader, in seconds of the rate. It is
# granted whatever the recent use was, for gateways that have not reported theirs.
INITIAL_LEVEL_S = 0.3
# A refused caller is told to retry when the bucket holds enough for about one
# request.
RETRY_LEVEL_TOKENS = 2000.0
# Calls of plain services cost a tenth of a generation. They are admitted until the
# level is this far below zero, and generations are refused until it has recovered.
MAX_PLAIN_OVERDRAFT_TOKENS = 6000.0
# Longest time that an empty bucket takes to refill; older use does not matter.
RECENT_USE_WINDOW_S = 10.0
# Recent use is told in slots of this length, as the level of a bucket depends on when
# the tokens were used.
USE_SLOT_S = 0.5
USE_SLOTS = int(RECENT_USE_WINDOW_S / USE_SLOT_S)


class TokenBucket:
    """Token bucket of one organisation.

    Parameters
    ----------
    limit : TokenLimit
        Rate and burst.
    now : float
        Time in seconds.
    level : float
        Initial number of tokens.
    """

    __slots__ = ("_level", "_updated_at", "limit")

    def __init__(self, limit: TokenLimit, now: float, level: float) -> None:
        self.limit = limit
        self._level = min(level, limit.burst)
        self._updated_at = now

    def level(self, now: float) -> float:
        """Return the number of tokens; negative after an overdraft or late reports."""
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(
            self.limit.burst, self._level + elapsed * self.limit.rate_per_s
        )
        self._updated_at = now
        return self._level

    def set_limit(self, limit: TokenLimit, now: float) -> None:
        """Change the limit; tokens above a lower burst are discarded."""
        self.level(now)
        grown = max(0.0, limit.burst - self.limit.burst)
        self.limit = limit
        self._level = min(limit.burst, self._level + grown)

    def set_share(self, limit: TokenLimit, now: float) -> None:
        """Change the part of a limit that may be used; a greater one adds no tokens."""
        self._level = min(limit.burst, self.level(now))
        self.limit = limit

    def set_level(self, level: float, now: float) -> None:
        """Replace the number of tokens."""
        self._level = min(level, self.limit.burst)
        self._updated_at = now

    def take(self, tokens: float, now: float) -> float:
        """Take tokens if the bucket is not empty.

        A request may take more tokens than the bucket holds, so that large requests
        are not refused more often than small ones while it is nearly empty.

        Returns
        -------
        float
            0 if the tokens were taken, otherwise the seconds until the bucket holds
            `RETRY_LEVEL_TOKENS`.
        """
        if self.limit.rate_per_s <= 0.0:
            return 0.0
        level = self.level(now)
        if level > 0.0:
            self._level = level - tokens
            return 0.0
        return (RETRY_LEVEL_TOKENS - level) / self.limit.rate_per_s

    def charge(self, tokens: float, now: float) -> None:
        """Subtract tokens that have already been used."""
        self.level(now)
        self._level -= tokens

    def refund(self, tokens: float, now: float) -> None:
        """Return tokens of a request that did not run."""
        self._level = min(self.limit.burst, self.level(now) + tokens)


class TokenLimits:
    """Buckets of all organisations at the leader."""

    __slots__ = (
        "_buckets_by_organisation",
        "_charged_by_organisation",
        "_created_at_by_organisation",
        "_limits_by_organisation",
        "_share",
    )

    def __init__(self) -> None:
        self._buckets_by_organisation: dict[str, TokenBucket] = {}
        self._created_at_by_organisation: dict[str, float] = {}
        self._charged_by_organisation: dict[str, float] = {}
        self._limits_by_organisation: dict[str, TokenLimit] = {}
        self._share = 1.0

    def set_limits(
        self, limits_by_organisation: dict[str, TokenLimit], now: float
    ) -> None:
        """Apply the limits of a new configuration."""
        for name, limit in limits_by_organisation.items():
            bucket = self._buckets_by_organisation.get(name)
            shared = share_of(limit, self._share)
            if bucket is not None:
                if self._limits_by_organisation[name] != limit:
                    bucket.set_limit(shared, now)
                continue
            # The level at the previous leader is unknown. The bucket starts nearly
            # empty; `apply_reported_use` sets the level that the recent use leaves.
            level = INITIAL_LEVEL_S * shared.rate_per_s
            self._buckets_by_organisation[name] = TokenBucket(shared, now, level)
            self._created_at_by_organisation[name] = now
        for name in set(self._buckets_by_organisation) - set(limits_by_organisation):
            del self._buckets_by_organisation[name]
            del self._created_at_by_organisation[name]
        self._limits_by_organisation = dict(limits_by_organisation)

    def set_share(self, share: float, now: float) -> None:
        """Use a part of each limit only; instances elsewhere may use the rest.

        Parameters
        ----------
        share : float
            Part of the rates and bursts, from 0 to 1.
        now : float
            Time in seconds.
        """
        if share == self._share:
            return
        self._share = share
        for name, bucket in self._buckets_by_organisation.items():
            limit = self._limits_by_organisation[name]
            bucket.set_share(share_of(limit, share), now)

    def take(self, organisation: str, tokens: float, now: float) -> float:
        """Take tokens as `TokenBucket.take`; unknown organisations have no limit."""
        bucket = self._buckets_by_organisation.get(organisation)
        return bucket.take(tokens, now) if bucket is not None else 0.0

    def charge(self, organisation: str, tokens: float, now: float) -> None:
        """Subtract tokens that a gateway has admitted without the leader."""
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is not None:
            bucket.charge(tokens, now)

    def charge_until_reported(
        self, organisation: str, tokens: float, now: float
    ) -> None:
        """Subtract tokens until `apply_reported_use`, which counts them as well."""
        self.charge(organisation, tokens, now)
        charged = self._charged_by_organisation
        charged[organisation] = charged.get(organisation, 0.0) + tokens

    def refund(self, organisation: str, tokens: float, now: float) -> None:
        """Return the tokens of a request that did not run."""
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is not None:
            bucket.refund(tokens, now)

    def apply_reported_use(
        self, use_by_organisation: dict[str, list[float]], now: float
    ) -> None:
        """Set the levels that the use before the term, as reported, leaves.

        Parameters
        ----------
        use_by_organisation : dict of str to list of float
            Tokens that all gateways admitted in the last `USE_SLOTS` slots before now.
        now : float
            Time in seconds.
        """
        for name, bucket in self._buckets_by_organisation.items():
            limit, level = bucket.limit, bucket.level(now)
            age_s = now - self._created_at_by_organisation[name]
            # Without use in this term, the bucket would hold this much.
            unused = (INITIAL_LEVEL_S + age_s) * limit.rate_per_s
            charged = self._charged_by_organisation.pop(name, 0.0)
            taken = max(0.0, unused - level - charged)
            left = level_after(use_by_organisation.get(name, []), limit)
            bucket.set_level(left - taken, now)

    def level(self, organisation: str, now: float) -> float:
        """Return the level of a bucket; 0 if there is none."""
        bucket = self._buckets_by_organisation.get(organisation)
        return bucket.level(now) if bucket is not None else 0.0

    def over_limit(self, now: float) -> list[str]:
        """Return the organisations whose plain service calls are refused as well."""
        return [
            name
            for name, bucket in self._buckets_by_organisation.items()
            if bucket.limit.rate_per_s > 0.0
            and bucket.level(now) < -MAX_PLAIN_OVERDRAFT_TOKENS
        ]


class RecentTokenUse:
    """Tokens that one gateway admitted recently, by organisation."""

    __slots__ = ("_entries", "_sums_by_organisation")

    def __init__(self) -> None:
        self._entries: deque[tuple[float, str, float]] = deque()
        self._sums_by_organisation: dict[str, float] = {}

    def add(self, organisation: str, tokens: float, now: float) -> None:
        """Record tokens that were admitted now."""
        self._entries.append((now, organisation, tokens))
        sums = self._sums_by_organisation
        sums[organisation] = sums.get(organisation, 0.0) + tokens
        self._expire(now)

    def sums(self, now: float) -> dict[str, float]:
        """Return the tokens admitted in the last `RECENT_USE_WINDOW_S` seconds."""
        self._expire(now)
        return dict(self._sums_by_organisation)

    def slots(self, now: float) -> dict[str, list[float]]:
        """Return the tokens admitted in each of the last slots, the oldest first."""
        self._expire(now)
        use: dict[str, list[float]] = {}
        for at, organisation, tokens in self._entries:
            slots = use.setdefault(organisation, [0.0] * USE_SLOTS)
            slots[_slot(now - at)] += tokens
        return use

    def _expire(self, now: float) -> None:
        while self._entries and self._entries[0][0] < now - RECENT_USE_WINDOW_S:
            _, organisation, tokens = self._entries.popleft()
            left = self._sums_by_organisation[organisation] - tokens
            if left > 0.5:
                self._sums_by_organisation[organisation] = left
            else:
                del self._sums_by_organisation[organisation]


class ReportedUse:
    """Recent use that gateways report; the last report of each one counts."""

    __slots__ = ("_slots_by_instance",)

    def __init__(self) -> None:
        self._slots_by_instance: dict[str, Mapping[str, Sequence[float]]] = {}

    def set(
        self,
        instance: str,
        slots_by_organisation: Mapping[str, Sequence[float]] | None,
        sums_by_organisation: Mapping[str, float],
    ) -> None:
        """Record the use of one gateway.

        Parameters
        ----------
        instance : str
            The gateway.
        slots_by_organisation : mapping of str to sequence of float, or None
            Tokens in each slot, None from an instance of an earlier build.
        sums_by_organisation : mapping of str to float
            Tokens of the whole window, which are spread evenly without the slots.
        """
        if slots_by_organisation is None:
            slots_by_organisation = {
                name: [tokens / USE_SLOTS] * USE_SLOTS
                for name, tokens in sums_by_organisation.items()
            }
        self._slots_by_instance[instance] = slots_by_organisation

    def by_organisation(self) -> dict[str, list[float]]:
        """Return the tokens of all gateways in each of the last slots."""
        sums: dict[str, list[float]] = {}
        for slots_by_organisation in self._slots_by_instance.values():
            for name, slots in slots_by_organisation.items():
                known = sums.setdefault(name, [0.0] * USE_SLOTS)
                for number, tokens in enumerate(slots[-USE_SLOTS:]):
                    known[number] += tokens
        return sums


def share_of(limit: TokenLimit, share: float) -> TokenLimit:
    """Return a part of a limit; a rate of 0 means that there is none."""
    return TokenLimit(limit.rate_per_s * share, limit.burst * share)


def level_after(slots: list[float], limit: TokenLimit) -> float:
    """Return the level of a bucket that was empty before the slots of recent use.

    It is no lower than after the use that a term begins with in any case, so that one
    that was full before is not closed for long.
    """
    lowest = -INITIAL_LEVEL_S * limit.rate_per_s
    level = 0.0
    for used in slots or [0.0] * USE_SLOTS:
        level = min(limit.burst, level + USE_SLOT_S * limit.rate_per_s) - used
        level = max(lowest, level)
    return level


def _slot(age_s: float) -> int:
    """Return the index of the slot of a use that is this old."""
    return max(0, USE_SLOTS - 1 - int(max(0.0, age_s) / USE_SLOT_S))
