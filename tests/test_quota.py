"""Tests of quota owners, holders and the bound on admitted tokens."""

import unittest
from types import SimpleNamespace

from hypothesis import given, note, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.quota import (
    GRANT_TTL_S,
    MAX_ADMISSION_WAIT_S,
    SINGLE_GRANT_TTL_S,
    QuotaOwner,
)
from sequoiafall.quota_holder import QuotaHolder
from sequoiafall.quota_service import QuotaService
from sequoiafall.wire.gen.ttypes import Settlement

from .quota_fleet import Fleet
from .quota_steps import HOLDER_COUNT, QuotaSteps
from .steps import steps_from, steps_of


def full_owner(rate=10.0, burst=100.0, now=1000.0) -> QuotaOwner:
    """Return an owner with a full bucket, long after it became ready."""
    return QuotaOwner("carvers", rate, burst, 7, -1e9, now - burst / rate - 9.0)


def ask(owner, holder, tokens, now):
    """Exchange a request and its reply with the owner without delay."""
    request = holder.next_request(tokens, now)
    for settlement in request.settlements:
        owner.settle(settlement, now)
    reply = owner.request("g", tokens, request.demand_tokens_per_s, now)
    holder.on_reply(reply, now)
    return reply


class QuotaOwnerTest(unittest.TestCase):
    """Grants, refusals and handover of a single owner."""

    @parameterized.expand(
        [
            ("fits", 0, 100, "", 0),
            ("too_large_never_fits", 0, 101, "rate_exceeded", 0),
            ("refill", 90, 20, "rate_exceeded", 1101),
            ("waits_for_expiry", 5, 100, "rate_exceeded", 601),
        ]
    )
    def test_reply(self, _name, first, tokens, reason, retry_after_ms):
        owner = full_owner()
        if first:
            owner.request("g", first, 0, 1000.0)
        reply = owner.request("h", tokens, 0, 1000.0)
        self.assertEqual((reply.reason, reply.retry_after_ms), (reason, retry_after_ms))

    @parameterized.expand([(5, 100), (95, 90), (60, 70), (100, 1)])
    def test_retry_after_is_exact(self, first, tokens):
        """A caller that retries at the stated time must not be refused again."""
        owner = full_owner()
        owner.request("g", first, 0, 1000.0)
        wait = owner.request("h", tokens, 0, 1000.0).retry_after_ms / 1000
        early = owner.request("h", tokens, 0, 1000.0 + wait - 0.002)
        self.assertEqual(early.reason, "rate_exceeded")
        self.assertEqual(owner.request("h", tokens, 0, 1000.0 + wait).reason, "")

    def test_grant_shrinks_to_the_waiting_request(self):
        """Prefetch from a nearly empty bucket would leave tokens in idle grants."""
        owner = full_owner()
        sizes = [owner.request("g", 5, 100.0, 1000.0).tokens for _ in range(12)]
        self.assertGreater(sizes[0], 5)
        self.assertEqual(sizes[-1], 5)
        self.assertLessEqual(owner.level(1000.0) + owner.outstanding, owner.burst)

    def test_lower_burst_applies_at_once(self):
        owner = full_owner()
        grant = owner.request("g", 50, 0, 1000.0)
        owner.set_limits(1.0, 20.0, 1000.0)
        self.assertEqual(owner.level(1000.0), 0.0)
        owner.settle(Settlement(grant.grant_id, 7, 50), 1000.0)
        self.assertEqual(owner.level(1000.0), 0.0)

    def test_late_lower_rate_applies_since_the_last_request(self):
        """An owner that was frozen during the change would refill at the old rate."""
        owner = full_owner()
        grant = owner.request("g", 100, 0, 1000.0)
        owner.settle(Settlement(grant.grant_id, 7, 0, True), 1000.0)
        owner.set_limits(2.0, 100.0, 1003.0)
        self.assertAlmostEqual(owner.level(1003.0), 6.0)
        owner.set_limits(10.0, 100.0, 1004.0)
        self.assertAlmostEqual(owner.level(1005.0), 18.0)

    def test_takeover_without_handover_starts_empty(self):
        owner = QuotaOwner("carvers", 10.0, 100.0, 8, 5.0, 7.0)
        early = owner.request("g", 1, 0, 6.0)
        self.assertEqual(
            (early.reason, early.retry_after_ms), ("owner_unavailable", 1000)
        )
        self.assertEqual(owner.level(7.0), 0.0)
        self.assertEqual(owner.request("g", 30, 0, 8.0).reason, "owner_unavailable")
        late = owner.request("g", 100, 0, 7.0 + MAX_ADMISSION_WAIT_S)
        self.assertEqual(late.reason, "rate_exceeded")

    def test_handover_keeps_level_and_grants(self):
        owner = full_owner()
        owner.request("g", 40, 0, 1000.0)
        handover = owner.handover(1000.0)
        self.assertEqual(owner.request("g", 1, 0, 1000.0).reason, "owner_unavailable")
        successor = QuotaOwner.from_handover(handover, 10.0, 100.0, 8, 50.0)
        self.assertEqual((successor.level(50.0), successor.outstanding), (60.0, 40))
        self.assertFalse(successor.accept_handover(handover, 50.0))
        successor.settle(Settlement(handover.grants[0].grant_id, 7, 40), 50.0)
        self.assertEqual(successor.outstanding, 40)

    def test_handover_before_ready_blocks_the_successor(self):
        """Grants of the owner before the previous one may still be spent."""
        owner = QuotaOwner("carvers", 10.0, 100.0, 8, 5.0, 7.0)
        successor = QuotaOwner.from_handover(owner.handover(6.0), 10.0, 100.0, 9, 6.0)
        self.assertEqual(successor.level(6.9), 0.0)
        self.assertAlmostEqual(successor.level(8.0), 10.0)


class QuotaServiceTest(unittest.TestCase):
    """Handover by an instance that stopped acting before it learned new limits."""

    def test_hands_over_under_the_newest_limits(self):
        """A bucket refilled at the old rate would exceed the new, lower limit."""
        row = SimpleNamespace(rate=10.0, burst=100.0)
        state = SimpleNamespace(organisations_by_name={"carvers": row})
        coordinator = SimpleNamespace(
            follower=SimpleNamespace(state=state),
            may_act=lambda _resource, _now: True,
            ownership=SimpleNamespace(fencing_token=lambda _resource: 7),
        )
        service = QuotaService(coordinator)
        service.sync(1000.0)
        row.rate = 2.0
        coordinator.may_act = lambda _resource, _now: False
        handover = service.release("organisation/carvers", 7, 1003.0)
        self.assertEqual(handover.level_tokens, 6)


class QuotaHolderTest(unittest.TestCase):
    """Expiry, settlement and shrinking of grants at a gateway."""

    def test_expired_grant_is_not_spent(self):
        """The lifetime starts when the request is sent, not when the reply arrives."""
        owner, holder = full_owner(), QuotaHolder("g", "carvers")
        reply = owner.request("g", 10, 0, 1000.05)
        holder.on_reply(reply, 1000.0)
        self.assertIsNone(holder.try_reserve(10, 1000.0 + SINGLE_GRANT_TTL_S))
        holder.on_reply(reply, 1000.0)
        self.assertIsNotNone(
            holder.try_reserve(10, 1000.0 + SINGLE_GRANT_TTL_S - 0.001)
        )

    def test_unused_tokens_come_back(self):
        owner, holder = full_owner(rate=0.001), QuotaHolder("g", "carvers")
        ask(owner, holder, 80, 1000.0)
        reservation = holder.try_reserve(80, 1000.0)
        self.assertEqual(ask(owner, holder, 60, 1005.0).reason, "rate_exceeded")
        holder.settle(reservation, 10, 1005.0)
        holder.settle(reservation, 10, 1005.0)
        self.assertEqual(ask(owner, holder, 60, 1005.0).tokens, 60)
        self.assertAlmostEqual(owner.level(1005.0), 30.0, places=1)

    def test_refund_never_exceeds_the_room(self):
        """A refund must not add to a bucket that has refilled in the meantime."""
        owner, holder = full_owner(rate=50.0), QuotaHolder("g", "carvers")
        ask(owner, holder, 100, 1000.0)
        first = holder.try_reserve(100, 1000.0)
        ask(owner, holder, 100, 1010.0)
        self.assertIsNotNone(holder.try_reserve(100, 1010.0))
        holder.settle(first, 0, 1010.0)
        self.assertNotEqual(ask(owner, holder, 1, 1010.0).reason, "")

    def test_short_holder_returns_its_grants(self):
        owner, holder = full_owner(), QuotaHolder("g", "carvers")
        ask(owner, holder, 70, 1000.0)
        self.assertEqual(ask(owner, holder, 100, 1000.0).tokens, 100)

    def test_give_back(self):
        owner, holder = full_owner(), QuotaHolder("g", "carvers")
        ask(owner, holder, 70, 1000.0)
        for settlement in holder.return_grants(1000.0).settlements:
            owner.settle(settlement, 1000.0)
        self.assertEqual((owner.level(1000.0), holder.held_tokens(1000.0)), (100.0, 0))

    def test_lower_limit_shrinks_grants(self):
        """Grants requested before the change that arrive after it shrink as well."""
        owner, holder = full_owner(), QuotaHolder("g", "carvers", 10.0, 100.0)
        first, second = (owner.request("g", 40, 0, 1000.0) for _ in range(2))
        holder.on_reply(first, 1000.0)
        holder.set_limits(10.0, 25.0, 1000.01)
        holder.on_reply(second, 1000.0)
        self.assertEqual(holder.held_tokens(1000.02), 20)
        self.assertTrue(holder.exceeds_burst(26))
        self.assertLess(GRANT_TTL_S, MAX_ADMISSION_WAIT_S)


FAULTS = st.one_of(
    st.tuples(st.just("kill_owner"), st.floats(1.0, 5.0)),
    st.tuples(st.just("freeze_owner"), st.floats(0.1, 2.0)),
    st.tuples(st.just("replace_frozen_owner"), st.floats(1.0, 5.0)),
    st.tuples(st.just("hand_over"), st.floats(0.5, 3.0)),
    st.tuples(st.just("leave"), st.floats(0.0, 2.0)),
    st.tuples(st.just("change_limits"), st.sampled_from([0.25, 0.5, 1.0, 2.0])),
)


class FleetBoundTest(unittest.TestCase):
    """No fault may let an organisation exceed its rate and burst."""

    @settings(max_examples=250, derandomize=True, deadline=None, database=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([0.1, 0.4, 4.0]),
        st.tuples(*[st.sampled_from([0.0, 0.05, 0.4])] * 3),
        st.sampled_from([0.5, 2.0, 4.0]),
        st.lists(st.tuples(st.floats(0.0, 18.0), FAULTS), max_size=8),
    )
    def test_bound_over_every_window(self, seed, load, shares, storms, faults):
        fleet = Fleet(seed, load)
        fleet.late_share, fleet.lost_share, fleet.unused_share = shares
        fleet.at(0.9, fleet.storm, storms)
        last_change = -2.0
        for at, (name, value) in sorted(faults):
            # Overlapping changes would need a finer model of the effective limits.
            if name == "change_limits":
                if at < last_change + 1.0:
                    continue
                last_change = at
            fleet.at(at, getattr(fleet, name), value)
        fleet.run(until=20.0)
        self.assertGreaterEqual(fleet.lowest_reference_level(), -1e-6)

    def test_full_rate_is_admitted_without_faults(self):
        """Admitting too little would satisfy the bound, but waste the rate."""
        fleet = Fleet(seed=1, load=4.0, late_share=0.0)
        fleet.durations = [0.01, 0.3, 1.0]
        fleet.run(until=20.0)
        settled = sum(cost for _, cost in fleet.admitted)
        self.assertGreater(settled, 0.8 * (fleet.burst + fleet.rate * 20.0))


INDEXES = range(HOLDER_COUNT)
SHARES = [0.1, 1.0]
COST_SHARES = [0.0, 0.5, 1.0]
# Around the lifetimes of grants, which are 0.1 s and 1 s.
DELAYS = [0.0, 0.09, 0.5, 1.5]
SECONDS = [0.003, 0.09, 1.005, 3.0]
BOOLEANS = [False, True]
ORDINARY_STEPS = [
    steps_of("call", INDEXES, SHARES, COST_SHARES),
    steps_of("drain", BOOLEANS),
    steps_of("wait", SECONDS),
    steps_of("wait_for_expiry"),
    steps_of("refill"),
    steps_of("ask", INDEXES, SHARES, [0.0], [0.0], [False]),
]
# Each example uses only two of these kinds, so that one kind occurs several times.
HOSTILE_STEPS = [
    steps_of("ask", INDEXES, SHARES, DELAYS, DELAYS, BOOLEANS),
    steps_of("spend", INDEXES, SHARES, COST_SHARES),
    steps_of("finish", INDEXES, [0, 1], BOOLEANS),
    steps_of("report", INDEXES, DELAYS),
    steps_of("freeze_holder", INDEXES, SECONDS),
    steps_of("freeze_owner", SECONDS),
    steps_of("leave", INDEXES, DELAYS),
    steps_of("hand_over", [0.0, 0.09], [0.0, 0.5]),
    steps_of("replace_owner", [0.0, 0.09, 1.5], BOOLEANS),
    steps_of("change_limits", [0.25, 1.0, 2.0], [0.25, 1.0], [(0.0,)]),
    steps_of("change_limits", [0.25, 1.0, 2.0], [0.25, 1.0], [(0.0, 0.05, 1.0)]),
]


class StepsBoundTest(unittest.TestCase):
    """No sequence of steps may let holders spend tokens twice."""

    @settings(max_examples=10000, derandomize=True, deadline=None, database=None)
    @given(st.sampled_from([10.0, 1000.0]), st.binary(min_size=34, max_size=74))
    def test_bound_after_every_step(self, rate, code):
        fleet = QuotaSteps(rate, 100.0, [code[-1] >> bit & 1 for bit in range(5)])
        steps = list(steps_from(code, ORDINARY_STEPS, HOSTILE_STEPS, 2))
        try:
            for name, *arguments in steps:
                getattr(fleet, name)(*arguments)
            fleet.drain(True)
        except AssertionError:
            note(f"steps: {steps}")
            raise


if __name__ == "__main__":
    unittest.main()
