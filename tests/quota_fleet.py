"""Simulates quota holders and owners with faults in virtual time, for tests."""

import heapq
import itertools
import random
from dataclasses import dataclass

from sequoiafall.quota import GRANT_TTL_S, QuotaOwner
from sequoiafall.quota_holder import QuotaHolder

HOLDER_COUNT = 15
MAX_DELAY_S = 2.5
POLL_INTERVAL_S = 0.25


@dataclass(slots=True)
class OwnerInstance:
    """An owner at an instance that may be frozen or have outdated limits."""

    owner: QuotaOwner
    revision: int
    acts_until: float = float("inf")
    frozen_until: float = 0.0


class Fleet:
    """Simulates callers and faults; `admitted` lists (time, settled cost)."""

    def __init__(self, seed: int, load: float, rate=40.0, burst=100.0, late_share=0.05):
        self.late_share = late_share
        self.lost_share = 0.0
        self.unused_share = 0.5
        self.durations = [0.01, 0.3, 5.0]
        self.random = random.Random(seed)
        self.now = 0.0
        self.rate, self.burst, self.revision = rate, burst, 0
        self.limits = [(0.0, rate, burst)]
        self.admitted: list[tuple[float, int]] = []
        self._events: list[tuple] = []
        self._count = itertools.count()
        self._token = 1
        self.current = OwnerInstance(QuotaOwner("o", rate, burst, 1, -20.0, -20.0), 0)
        self.previous = self.current
        self.holders: dict[str, QuotaHolder] = {}
        self.revision_by_holder: dict[str, int] = {}
        for index in range(HOLDER_COUNT):
            self._join(load * rate / 12 / (index + 1))

    def at(self, delay: float, action, *arguments) -> None:
        event = (self.now + delay, next(self._count), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _delay(self) -> float:
        late = self.random.random() < self.late_share
        return self.random.uniform(0.0, MAX_DELAY_S if late else 0.004)

    def _send(self, action, *arguments) -> None:
        if self.random.random() >= self.lost_share:
            self.at(self._delay(), action, *arguments)

    def _join(self, calls_per_s: float) -> None:
        name = f"g{next(self._count)}"
        self.holders[name] = QuotaHolder(name, "o", self.rate, self.burst)
        self.revision_by_holder[name] = self.revision
        self.at(0.0, self._call, name, calls_per_s)
        self.at(POLL_INTERVAL_S, self._poll, name)

    def _poll(self, name: str) -> None:
        """Report settlements, as a gateway does at each poll."""
        if name not in self.holders:
            return
        self.at(POLL_INTERVAL_S, self._poll, name)
        if self.holders[name].has_settlements(self.now):
            request = self.holders[name].next_request(0, self.now)
            revision = self.revision_by_holder[name]
            self._send(
                self._receive, self.current, name, request, self.now, 0, revision
            )

    def _call(self, name: str, calls_per_s: float) -> None:
        if name not in self.holders:
            return
        self.at(self.random.expovariate(calls_per_s), self._call, name, calls_per_s)
        self._try_call(name, self.random.randint(1, 30))

    def storm(self, interval: float) -> None:
        """Ask for more than a burst at once, so that double counting is detected."""
        self.at(interval, self.storm, interval)
        for name in self.holders:
            self._try_call(name, 15)

    def _try_call(self, name: str, tokens: int) -> None:
        if self._admit(name, tokens):
            return
        request = self.holders[name].next_request(tokens, self.now)
        target = self.previous if self.random.random() < 0.2 else self.current
        revision = self.revision_by_holder[name]
        self._send(self._receive, target, name, request, self.now, tokens, revision)

    def _admit(self, name: str, tokens: int) -> bool:
        holder = self.holders[name]
        reservation = holder.try_reserve(tokens, self.now)
        if reservation is None:
            return False
        is_short = self.random.random() < self.unused_share
        actual = self.random.randint(0, tokens // 2) if is_short else tokens
        self.admitted.append((self.now, actual))
        self.at(
            self.random.choice(self.durations), self._settle, name, reservation, actual
        )
        return True

    def _settle(self, name, reservation, actual) -> None:
        if name in self.holders:
            self.holders[name].settle(reservation, actual, self.now)

    def _receive(self, target, name, request, sent_at, tokens, revision) -> None:
        if self.now < target.frozen_until:
            wait = target.frozen_until - self.now
            self.at(
                wait, self._receive, target, name, request, sent_at, tokens, revision
            )
            return
        # A controller refuses a request with a newer revision than its own, and acts
        # only while its cluster state is fresh.
        if self.now >= target.acts_until or revision > target.revision:
            return
        for settlement in request.settlements:
            target.owner.settle(settlement, self.now)
        reply = target.owner.request(
            name, request.shortage_tokens, request.demand_tokens_per_s, self.now
        )
        owner = target.owner
        level = owner.level(self.now)
        assert level + owner.outstanding <= max(owner.burst, owner.outstanding)
        self._send(self._reply, name, reply, sent_at, tokens)

    def _reply(self, name, reply, sent_at, tokens) -> None:
        if name in self.holders:
            self.holders[name].on_reply(reply, sent_at)
            if tokens > 0:
                self._admit(name, tokens)

    # Faults; the property test selects them by name.

    def kill_owner(self, in_force_after: float) -> None:
        self.current.frozen_until = float("inf")
        self._replace(in_force_after)

    def freeze_owner(self, duration: float) -> None:
        self.current.frozen_until = self.now + duration

    def replace_frozen_owner(self, in_force_after: float) -> None:
        self.current.frozen_until = self.now + in_force_after * 0.9
        self._replace(in_force_after)

    def hand_over(self, in_force_after: float) -> None:
        handover = self.current.owner.handover(self.now)
        self._replace(in_force_after)
        for _ in range(2):
            self._send(self._accept, self.current, handover)

    def _accept(self, target, handover) -> None:
        target.owner.accept_handover(handover, self.now)

    def _replace(self, in_force_after: float) -> None:
        in_force = self.now + in_force_after
        self.current.acts_until = min(self.current.acts_until, in_force)
        self._token += 1
        owner = QuotaOwner(
            "o",
            self.rate,
            self.burst,
            self._token,
            self.now,
            in_force + GRANT_TTL_S,
        )
        self.previous = self.current
        self.current = OwnerInstance(owner, self.revision)

    def leave(self, delay: float) -> None:
        name = self.random.choice(list(self.holders))
        holder = self.holders.pop(name)
        request = holder.return_grants(self.now)
        if self.random.random() < 0.7:
            self._send(self._receive, self.current, name, request, self.now, 0, 0)
        self.at(delay, self._join, self.rate / 12)

    def change_limits(self, scale: float) -> None:
        """Change rate and burst; each process learns of it within a second."""
        self.revision += 1
        old_rate, old_burst = self.rate, self.burst
        self.rate, self.burst = 40.0 * scale, max(30.0, 100.0 * scale)
        limits = (self.rate, self.burst, self.revision)
        self.limits.append(
            (self.now, max(old_rate, self.rate), max(old_burst, self.burst))
        )
        self.limits.append((self.now + 1.0, self.rate, self.burst))
        for target in {id(t): t for t in (self.current, self.previous)}.values():
            self.at(self.random.uniform(0, 1), self._limit_owner, target, *limits)
        for name in self.holders:
            self.at(self.random.uniform(0, 1), self._limit_holder, name, *limits)

    def _limit_owner(self, target, rate, burst, revision) -> None:
        if revision > target.revision:
            target.revision = revision
            target.owner.set_limits(rate, burst, self.now)

    def _limit_holder(self, name, rate, burst, revision) -> None:
        if name in self.holders and revision > self.revision_by_holder[name]:
            self.revision_by_holder[name] = revision
            self.holders[name].set_limits(rate, burst, self.now)

    def lowest_reference_level(self) -> float:
        """Return the lowest level of a reference bucket charged with the settled costs.

        The level never becomes negative if and only if the cost in every window is
        at most the burst plus the refill during the window.
        """
        limits = sorted(self.limits, key=lambda entry: entry[0])
        (at, rate, burst), limits = limits[0], limits[1:]
        level = lowest = burst
        for now, cost in [*self.admitted, (self.now, 0)]:
            while limits and limits[0][0] <= now:
                changed_at, new_rate, new_burst = limits.pop(0)
                level = min(burst, level + rate * (changed_at - at))
                at, rate, burst = changed_at, new_rate, new_burst
                level = min(level, burst)
            level = min(burst, level + rate * (now - at)) - cost
            at = now
            lowest = min(lowest, level)
        return lowest
