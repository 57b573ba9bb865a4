"""Simulates quota owners and holders step by step, for tests.

Every process has its own clock. Callers take all tokens that they can get, so that
tokens counted twice are admitted twice. A reference bucket is charged with the
settled cost at each admission. Its level never falls below 0 if and only if the
cost in every window is at most the burst plus the refill during the window.
"""

import heapq
import itertools
import math
from dataclasses import dataclass, field

from sequoiafall.quota import GRANT_TTL_S, QuotaOwner
from sequoiafall.quota_holder import QuotaHolder, TokenReservation

HOLDER_COUNT = 3
TOLERANCE = 1e-6
# Real clocks drift by far less than `CLOCK_DRIFT_MARGIN`; these clocks differ by at
# most half of it.
CLOCK_DEVIATION = 0.0025
# Part of the 20 ms margin on the effective time that remains at this deviation.
IN_FORCE_SLACK = 0.0099
# `wait_for_expiry` stops this many seconds before a grant expires.
EXPIRY_LEAD = 0.0005
# Shortest time in seconds between two changes of limits; grants under the previous
# limits have expired by then.
LIMITS_INTERVAL = 2.0


@dataclass(slots=True, eq=False)
class Process:
    """A process that runs an owner or a holder, with its clock and its faults."""

    clock_rate: float
    revision: int
    learns_at: float = math.inf
    frozen_until: float = 0.0
    acts_until: float = math.inf
    owner: QuotaOwner | None = None
    holder: QuotaHolder | None = None
    running: list[tuple[TokenReservation, int]] = field(default_factory=list)

    def clock(self, now: float) -> float:
        """Return the monotonic time of this process."""
        return self.clock_rate * now


class QuotaSteps:
    """Executes the steps and checks the bound after each admission."""

    def __init__(self, rate: float, burst: float, fast_clocks: list[int]) -> None:
        self.now = 100.0
        self.rate, self.burst = rate, burst
        self.base = (rate, burst)
        self._clocks = itertools.cycle(
            1 + (CLOCK_DEVIATION if fast else -CLOCK_DEVIATION) for fast in fast_clocks
        )
        self._limits_by_revision = [(rate, burst)]
        self._limits_at = self._limits_known_at = -math.inf
        self._reference = burst
        self._reference_at = self.now
        self._reference_limits = (rate, burst)
        self._events: list[tuple] = []
        self._count = itertools.count()
        self._tokens = itertools.count(1)
        self.owner = self._new_owner(-1e6)
        self.previous = self.owner
        self.holders: list[Process] = []
        for _ in range(HOLDER_COUNT):
            self._join()

    # Steps; the property test selects them by name.

    def wait(self, seconds: float) -> None:
        """Advance the time and deliver the messages that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def wait_for_expiry(self) -> None:
        """Stop shortly before the first held grant expires at its holder."""
        ends = [
            grant.expires_at / process.clock_rate - EXPIRY_LEAD
            for process in self.holders
            for grant in process.holder._grants
        ]
        later = [end for end in ends if end > self.now]
        if later:
            self.wait(min(later) - self.now)

    def ask(
        self, index: int, share: float, there: float, back: float, to_previous: bool
    ) -> None:
        """Ask for a share of the owner's level, with delayed messages."""
        target = self.previous if to_previous else self.owner
        tokens = max(1, math.floor(self._level(target) * share))
        self._send(self._process(index), tokens, there, back, target)

    def call(self, index: int, share: float, cost_share: float) -> None:
        """Ask without delay and admit a request at once."""
        self.ask(index, share, 0.0, 0.0, False)
        self.wait(0.0)
        self.spend(index, 1.0, cost_share)

    def refill(self) -> None:
        """Wait until the bucket is full, which ends the effect of earlier steps."""
        self.wait(self.burst / self.rate)

    def report(self, index: int, there: float) -> None:
        """Send only settlements, as a gateway does at each poll."""
        process = self._process(index)
        self._apply_limits_to_holder(process)
        if process.holder.has_settlements(process.clock(self.now)):
            self._send(process, 0, there, 0.0, self.owner)

    def spend(self, index: int, share: float, cost_share: float) -> None:
        """Admit a request and decide its final cost."""
        process = self._process(index)
        self._apply_limits_to_holder(process)
        held = process.holder.held_tokens(process.clock(self.now))
        self._admit(process, math.ceil(held * share), cost_share)

    def finish(self, index: int, request: int, twice: bool) -> None:
        """Settle a running request, once or twice."""
        process = self._process(index)
        if not process.running or self.now < process.frozen_until:
            return
        self._apply_limits_to_holder(process)
        reservation, cost = process.running.pop(request % len(process.running))
        for _ in range(1 + twice):
            process.holder.settle(reservation, cost, process.clock(self.now))

    def drain(self, finishing: bool) -> None:
        """Let all holders spend their grants and request all remaining tokens."""
        self.wait(0.0)
        for process in self.holders:
            if self.now < process.frozen_until:
                continue
            self._apply_limits_to_holder(process)
            if finishing:
                for reservation, cost in process.running:
                    process.holder.settle(reservation, cost, process.clock(self.now))
                process.running.clear()
        for process in self.holders:
            held = process.holder.held_tokens(process.clock(self.now))
            self._admit(process, held, 1.0)
            self._send(process, 0, 0.0, 0.0, self.owner)
            self.wait(0.0)
            for target in (self.previous, self.owner):
                level = math.floor(self._level(target))
                if level > 0:
                    self._send(process, level, 0.0, 0.0, target)
                    self.wait(0.0)
                    held = process.holder.held_tokens(process.clock(self.now))
                    self._admit(process, held, 1.0)

    def freeze_holder(self, index: int, seconds: float) -> None:
        """Freeze a holder; messages to it wait."""
        self._process(index).frozen_until = self.now + seconds

    def freeze_owner(self, seconds: float) -> None:
        """Freeze the owner; requests wait until it continues."""
        self.owner.frozen_until = self.now + seconds

    def replace_owner(self, in_force_after: float, kill: bool) -> None:
        """Change the owner without handover; the old one acts until it takes effect."""
        if kill:
            self.owner.frozen_until = math.inf
        self._replace(in_force_after)

    def hand_over(self, delay: float, repeat_after: float) -> None:
        """Change the owner with a handover that arrives twice."""
        if self.now < self.owner.frozen_until:
            return
        self._apply_limits_to_owner(self.owner)
        handover = self.owner.owner.handover(self.owner.clock(self.now))
        self._replace(delay)
        for after in (delay, delay + repeat_after):
            self._at(after, self._accept, self.owner, handover)

    def leave(self, index: int, there: float) -> None:
        """Let a holder return its grants and replace it by an empty one."""
        process = self._process(index)
        if self.now >= process.frozen_until:
            self._apply_limits_to_holder(process)
            now = process.clock(self.now)
            request = process.holder.return_grants(now)
            self._at(there, self._receive, process, self.owner, request, now, 0, 0.0)
        self.holders.remove(process)
        self._join()

    def change_limits(
        self, rate_scale: float, burst_scale: float, delays: tuple[float, ...]
    ) -> None:
        """Change rate and burst; each running process learns of it after a delay.

        The bound uses the higher limits until the last process has learned of it.
        """
        if self.now < self._limits_at + LIMITS_INTERVAL:
            # Overlapping changes would need a finer model of the effective limits.
            return
        for process in self.holders:
            self._apply_limits_to_holder(process)
        for process in (self.previous, self.owner):
            if self.now >= process.frozen_until:
                self._apply_limits_to_owner(process)
        self._advance_reference()
        old = (self.rate, self.burst)
        self.rate, self.burst = self.base[0] * rate_scale, self.base[1] * burst_scale
        self._limits_at = self.now
        self._limits_known_at = self.now + max(delays)
        self._limits_by_revision.append((self.rate, self.burst))
        self._reference_limits = (max(old[0], self.rate), max(old[1], self.burst))
        for process in (*self.holders, self.previous, self.owner):
            process.learns_at = self.now + delays[next(self._count) % len(delays)]

    # Messages.

    def _at(self, delay: float, action, *arguments) -> None:
        event = (self.now + delay, next(self._count), action, arguments)
        heapq.heappush(self._events, event)

    def _send(self, process, tokens, there, back, target) -> None:
        if self.now < process.frozen_until:
            return
        self._apply_limits_to_holder(process)
        now = process.clock(self.now)
        request = process.holder.next_request(tokens, now, process.revision)
        self._at(there, self._receive, process, target, request, now, tokens, back)

    def _receive(self, process, target, request, sent_at, tokens, back) -> None:
        if self.now < target.frozen_until:
            if target.frozen_until < math.inf:
                wait = target.frozen_until - self.now
                arguments = (process, target, request, sent_at, tokens, back)
                self._at(wait, self._receive, *arguments)
            return
        if self.now >= target.acts_until:
            return
        self._apply_limits_to_owner(target)
        owner, now = target.owner, target.clock(self.now)
        for settlement in request.settlements:
            owner.settle(settlement, now)
        if (request.head_revision or 0) > target.revision:
            return
        reply = owner.request(
            request.gateway, request.shortage_tokens, request.demand_tokens_per_s, now
        )
        total = owner.level(now) + owner.outstanding
        assert total <= max(owner.burst, owner.outstanding) + TOLERANCE
        self._at(back, self._reply, process, reply, sent_at)

    def _reply(self, process, reply, sent_at) -> None:
        if process not in self.holders:
            return
        if self.now < process.frozen_until:
            wait = process.frozen_until - self.now
            self._at(wait, self._reply, process, reply, sent_at)
            return
        process.holder.on_reply(reply, sent_at)
        self._apply_limits_to_holder(process)

    def _accept(self, target, handover) -> None:
        target.owner.accept_handover(handover, target.clock(self.now))

    # Processes.

    def _process(self, index: int) -> Process:
        return self.holders[index % len(self.holders)]

    def _join(self) -> None:
        process = Process(next(self._clocks), len(self._limits_by_revision) - 1)
        name = f"g{next(self._count)}"
        process.holder = QuotaHolder(name, "o", self.rate, self.burst)
        self.holders.append(process)

    def _new_owner(self, in_force_at: float) -> Process:
        process = Process(next(self._clocks), len(self._limits_by_revision) - 1)
        ready_at = process.clock(in_force_at + IN_FORCE_SLACK) + GRANT_TTL_S
        now = min(process.clock(self.now), ready_at)
        token = next(self._tokens)
        process.owner = QuotaOwner("o", self.rate, self.burst, token, now, ready_at)
        return process

    def _replace(self, in_force_after: float) -> None:
        in_force_at = self.now + in_force_after
        self.owner.acts_until = min(self.owner.acts_until, in_force_at)
        self.previous, self.owner = self.owner, self._new_owner(in_force_at)

    def _learns_limits_now(self, process: Process) -> bool:
        """Return whether a process learns new limits now, and mark them as known.

        A process that was frozen reads the new limits before it acts.
        """
        if process.revision == len(self._limits_by_revision) - 1:
            return False
        if self.now < min(process.learns_at, self._limits_known_at):
            return False
        process.revision = len(self._limits_by_revision) - 1
        return True

    def _apply_limits_to_holder(self, process: Process) -> None:
        if self.now >= process.frozen_until and self._learns_limits_now(process):
            now = process.clock(self.now)
            process.holder.set_limits(*self._limits_by_revision[-1], now)

    def _level(self, target: Process) -> float:
        """Return the owner's level without letting a frozen owner act."""
        if self.now < target.frozen_until:
            return target.owner._level
        self._apply_limits_to_owner(target)
        return target.owner.level(target.clock(self.now))

    def _apply_limits_to_owner(self, target: Process) -> None:
        """Apply new limits when a request is served, as the quota service does."""
        if self._learns_limits_now(target):
            now = target.clock(self.now)
            target.owner.set_limits(*self._limits_by_revision[-1], now)

    # Admission and the reference bucket.

    def _admit(self, process: Process, tokens: int, cost_share: float) -> None:
        if tokens <= 0 or self.now < process.frozen_until:
            return
        reservation = process.holder.try_reserve(tokens, process.clock(self.now))
        if reservation is None:
            return
        cost = math.floor(tokens * cost_share)
        process.running.append((reservation, cost))
        self._advance_reference()
        self._reference -= cost
        assert self._reference >= -TOLERANCE, (
            f"{-self._reference} tokens above the bound at {self.now}"
        )

    def _advance_reference(self) -> None:
        changed_at = self._limits_known_at
        if self._reference_at <= changed_at <= self.now:
            self._fill_reference(changed_at)
            self._reference_limits = (self.rate, self.burst)
        self._fill_reference(self.now)

    def _fill_reference(self, now: float) -> None:
        # The owner's clock may be fast by the deviation. The tokens that it adds for
        # this reason are not an accounting error.
        rate, burst = self._reference_limits
        elapsed = (now - self._reference_at) * (1 + CLOCK_DEVIATION)
        self._reference = min(burst, self._reference + rate * elapsed)
        self._reference_at = now
