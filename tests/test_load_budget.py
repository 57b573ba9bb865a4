"""Tests of load budgets and of loans between pools."""

import heapq
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.load_budget import (
    LOAN_LIFE_S,
    LoadBudget,
    LoadLimits,
    shares_by_pool,
)
from sequoiafall.table import BackendServer

LIMITS = LoadLimits(rate_per_s=4.0, burst=8.0)
SHARES = (0.5, 0.25, 0.25)
TRANSFER_S = 0.3


def backend_server(server_kind, pool, adapter_slots):
    """Return a backend server of a kind and pool."""
    return BackendServer(
        name="s",
        address="127.0.0.1:1",
        server_kind=server_kind,
        pool=pool,
        zone="z",
        state="in_service",
        checks_fencing=True,
        adapter_slots=adapter_slots,
        places=8,
    )


class LoadLimitsTest(unittest.TestCase):
    """The limits of all pools together equal those of the weight store."""

    def test_share(self):
        """All pools together must not exceed the limits of the weight store."""
        share = LoadLimits(3.0, 8.0, 8).share(0.25)
        self.assertEqual(share, LoadLimits(0.75, 2.0, 2))

    @parameterized.expand(
        [
            ("by_slots", [("p", 24), ("p", 24), ("q", 16)], {"p": 0.75, "q": 0.25}),
            ("alone", [("p", 8)], {"p": 1.0}),
            ("without_slots", [("p", 8), ("q", 0)], {"p": 1.0}),
            ("none", [], {}),
        ]
    )
    def test_shares_by_pool(self, _name, slots, expected):
        """A pool of few engines must not reserve loads that a larger one needs."""
        rows = [backend_server("engine", pool, count) for pool, count in slots]
        rows.append(backend_server("plain", "orders", 8))
        self.assertEqual(shares_by_pool(rows), expected)


class LoanTest(unittest.TestCase):
    """A pool with spare loads lends them to a pool that is short of loads."""

    @parameterized.expand(
        [
            ("all_asked", 0, 2, 2),
            ("keeps_part_of_its_burst", 0, 8, 6),
            ("after_own_loads", 3, 8, 3),
            ("nothing_to_spare", 6, 8, 0),
        ]
    )
    def test_lend(self, _name, taken, asked, lent):
        budget = LoadBudget(LIMITS, 0.0)
        for _ in range(taken):
            budget.take(0.0)
        self.assertEqual(budget.lend(asked, 0.0), lent)
        self.assertEqual(budget.available(0.0), 8 - taken - lent)

    def test_unused_loan_lapses(self):
        """An idle pool must not accumulate the budget of others."""
        budget = LoadBudget(LIMITS, 0.0)
        budget.receive(2, 0.0)
        self.assertEqual(budget.available(0.0), 10)
        self.assertEqual(budget.available(LOAN_LIFE_S), 8)

    def test_loan_is_used_first(self):
        """Borrowed loads expire, so they must be used before the pool's own."""
        budget = LoadBudget(LIMITS, 0.0)
        budget.receive(2, 0.0)
        budget.take(0.0)
        self.assertEqual(budget.available(LOAN_LIFE_S), 8)

    @parameterized.expand([("full", 0, True), ("low", 4, False)])
    def test_reserve(self, _name, taken, expected):
        """Preloads must leave budget for requests that arrive later."""
        budget = LoadBudget(LIMITS, 0.0)
        for _ in range(taken):
            budget.take(0.0)
        self.assertEqual(budget.leaves_reserve(0.0), expected)


class LoanBoundTest(unittest.TestCase):
    """Pools with random loans stay within the weight store's rate together."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([0.0, 0.0, 0.0, 0.3, LOAN_LIFE_S, 5.0]),
                st.sampled_from(["borrow", "borrow", "lose", "start"]),
                st.permutations(range(len(SHARES))),
                st.sampled_from([0.0, TRANSFER_S]),
            ),
            min_size=20,
            max_size=60,
        )
    )
    def test_starts_in_any_time(self, steps):
        """Guards against loans that are counted twice or do not expire."""
        budgets = [LoadBudget(LIMITS.share(share), 0.0) for share in SHARES]
        loans: list[tuple[float, int, int]] = []
        starts: list[float] = []
        now = 0.0
        for wait_s, operation, (borrower, *lenders), transfer_s in steps:
            now += wait_s
            while loans and loans[0][0] <= now:
                at, receiver, lent = heapq.heappop(loans)
                budgets[receiver].receive(lent, at)
            if operation == "start":
                starts += [now] * self._start_all(budgets, now)
                continue
            lent = sum(budgets[lender].lend(8, now) for lender in lenders)
            if operation == "borrow":
                heapq.heappush(loans, (now + transfer_s, borrower, lent))
        for first, last in itertools.combinations(range(len(starts)), 2):
            elapsed_s = starts[last] - starts[first]
            allowed = LIMITS.burst + LIMITS.rate_per_s * (
                elapsed_s + TRANSFER_S + LOAN_LIFE_S
            )
            self.assertLessEqual(last - first + 1, allowed + 1e-6)

    def _start_all(self, budgets, now):
        started = 0
        for budget in budgets:
            available = budget.available(now)
            for _ in range(available):
                budget.take(now)
            started += available
        return started
