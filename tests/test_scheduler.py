"""Tests of the pool scheduler."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.adapter_slots import RETIRE_AFTER_S
from sequoiafall.fairness import DEFAULT_SLACK_TOKENS
from sequoiafall.pool_state import (
    PLACE_TTL_S,
    REPORT_LAG_MAX_S,
    EvictAdapter,
    GrantPlace,
    LoadAdapter,
    MoveStream,
    RefusePlace,
)
from sequoiafall.scheduler import MIN_HOLD_SAMPLES, PoolScheduler
from sequoiafall.waiting import MAX_WAITING

from .fake_pool import ORGANISATIONS, FakePool

# How long random requests are sent.
DRIVEN_S = 14.0
# Requests wait at most 8 s, the longest answers take 4 s, claims expire after 5 s.
SETTLE_S = 40.0


def drive(pool, faults):
    """Send random requests for `DRIVEN_S` and inject the given faults."""
    rng = pool.random
    adapters = [f"a{number}" for number in range(8)]
    time = 1.0
    while time < DRIVEN_S:
        time += rng.expovariate(12.0)
        adapter = adapters[min(7, int(rng.expovariate(0.5)))]
        tokens = rng.choice((10, 40, 400))
        pool.at(time, pool.request, adapter, rng.choice(ORGANISATIONS), tokens)
    names = list(pool.engines)
    for fault in faults:
        at = rng.uniform(2.0, DRIVEN_S)
        name = rng.choice(names)
        match fault:
            case "restart":
                pool.at(at, pool.restart, name)
            case "drain":
                pool.at(at, pool.set_state, name, "cleaning")
                pool.at(at + 8.0, pool.set_state, name, "in_service")
            case "owner":
                pool.at(at, pool.change_owner)
            case "broken":
                pool.at(at, pool.request, "broken")
    pool.run(DRIVEN_S + 8.0)
    pool.settle(SETTLE_S)


class RandomOperationTest(unittest.TestCase):
    """Any order of events must keep the invariants of a pool."""

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(
        seed=st.integers(0, 1 << 32),
        servers=st.integers(1, 4),
        slots=st.integers(1, 4),
        places=st.integers(1, 4),
        lag_s=st.sampled_from((0.0, 0.3, 0.9)),
        fail_share=st.sampled_from((0.0, 0.3)),
        faults=st.lists(
            st.sampled_from(("restart", "drain", "owner", "broken")), max_size=4
        ),
    )
    def test_invariants(self, seed, servers, slots, places, lag_s, fail_share, faults):
        """Guards against evictions in use, too many places and lost requests."""
        pool = FakePool(seed, servers, slots, places, lag_s, fail_share)
        drive(pool, faults)
        self.assertEqual(pool.violations, [])
        unanswered = set(pool.requests) - set(pool.answers)
        self.assertEqual(unanswered, set(), "every request gets an answer")
        self.assertEqual(pool.owner.places.by_place_id, {}, "no place is leaked")
        self.assertEqual(len(pool.owner.waiting), 0)

    @settings(derandomize=True, max_examples=12, deadline=None)
    @given(seed=st.integers(0, 1 << 32), flood=st.integers(4, 16))
    def test_no_starvation(self, seed, flood):
        """Guards against a flood of other adapters that starves one organisation."""
        pool = FakePool(seed, servers=2, slots=2, places=2, lag_s=0.0)
        # A killed gateway would hold one of the four places for 3 s, which is longer
        # than the fair share of a place lasts here.
        pool.gateways_fail = False
        pool.run(2.0)
        for number in range(flood * 20):
            adapter = f"a{number % flood}"
            pool.at(2.0 + number / 20, pool.request, adapter, "o0", 40)
        asked = []
        for number in range(flood):
            at = 3.0 + number
            pool.at(at, lambda: asked.append(pool.request("small", "o1", 40)))
        pool.run(4.0 + flood)
        pool.settle(SETTLE_S)
        refused = [r for r in asked if isinstance(pool.answers[r], RefusePlace)]
        self.assertEqual(refused, [])


class FairnessTest(unittest.TestCase):
    """Backlogged organisations must get tokens in proportion to their weights."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(
        seed=st.integers(0, 1 << 32),
        sizes=st.lists(st.integers(5, 200), min_size=3, max_size=3),
    )
    def test_share(self, seed, sizes):
        """Guards against organisations that gain by large or many requests."""
        pool = FakePool(seed, servers=2, slots=2, places=4, lag_s=0.0)
        # Tokens of a place that a killed gateway never used would be refunded.
        pool.gateways_fail = False
        pool.run(1.0)
        for organisation, size in zip(ORGANISATIONS, sizes, strict=True):
            for _ in range(100):
                tokens = pool.random.randint(1, size)
                pool.request("", organisation, tokens, wait_ms=10_000_000)
        # Places granted before all organisations were backlogged do not count.
        pool.served_tokens = dict.fromkeys(ORGANISATIONS, 0)
        while all(
            pool.owner.waiting.count_by_organisation[name] for name in ORGANISATIONS
        ):
            # The bound of start-time fair queueing plus the slack. Requests are
            # charged when placed, so the tags differ by whole requests only.
            served = pool.served_tokens.values()
            bound = 2 * max(sizes) + DEFAULT_SLACK_TOKENS
            self.assertLessEqual(max(served) - min(served), bound)
            pool.run(pool.now + 0.1)

    def test_overflow_displaces_the_largest_backlog(self):
        """Guards against a flood that fills the queue for everyone."""
        pool = FakePool(1, servers=1, slots=1, places=1)
        pool.run(1.0)
        flood = [pool.request("", "o0", wait_ms=60_000) for _ in range(MAX_WAITING + 9)]
        late = pool.request("", "o1", wait_ms=60_000)
        self.assertNotIn(late, pool.answers)
        refused = [r for r in flood if isinstance(pool.answers.get(r), RefusePlace)]
        self.assertTrue(refused)
        reply = pool.answers[refused[-1]].reply
        self.assertEqual(reply.reason, "overloaded")
        self.assertGreater(reply.retry_after_ms, 0)
        self.assertLessEqual(len(pool.owner.waiting), MAX_WAITING)

    @parameterized.expand([("short_wait", 2_000, 25), ("long_wait", 4_000, 50)])
    def test_request_that_cannot_be_served_in_time(self, _name, wait_ms, waiting):
        """Guards against refusing at the deadline what can be refused on arrival."""
        pool = FakePool(1, servers=1, slots=1, places=10)
        pool.run(1.0)
        pool.owner._mean_hold_s, pool.owner._hold_samples = 1.0, MIN_HOLD_SAMPLES
        submitted = [pool.request("", "o0", wait_ms=wait_ms) for _ in range(90)]
        refused = [r for r in submitted if isinstance(pool.answers.get(r), RefusePlace)]
        self.assertEqual(len(submitted) - len(refused) - 10, waiting)
        reply = pool.answers[refused[0]].reply
        self.assertEqual(reply.reason, "overloaded")
        self.assertGreater(reply.retry_after_ms, 0)


def started_pool(servers=1, slots=1, places=2):
    """Return a pool whose owner has current reports and may evict."""
    pool = FakePool(0, servers, slots, places, lag_s=0.0)
    pool.gateways_fail = False
    pool.run(0.5)
    return pool


class PlacementTest(unittest.TestCase):
    """Loads, evictions and refusals in isolation."""

    def test_loads_are_merged(self):
        """Guards against a separate load for each waiting request."""
        pool = started_pool()
        submitted = [pool.request("a") for _ in range(2)]
        pool.run(pool.now + 1.0)
        self.assertEqual(pool.loads, 1)
        for request_id in submitted:
            self.assertTrue(pool.answers[request_id].reply.waited_for_load)

    def test_pinned_adapter_is_retired(self):
        """Guards against an adapter in constant use that never frees its slot."""
        pool = started_pool(places=4)
        for number in range(200):
            pool.at(pool.now + number * 0.1, pool.request, "busy", "o0", 40)
        pool.run(pool.now + 1.0)
        other = pool.request("other", "o1")
        pool.run(pool.now + RETIRE_AFTER_S + 2.0)
        self.assertIsInstance(pool.answers.get(other), GrantPlace)
        self.assertEqual(pool.violations, [])

    def test_failing_everywhere_is_refused(self):
        """Guards against waiting for an adapter that no server can load."""
        pool = started_pool(servers=2)
        request_id = pool.request("broken")
        pool.run(pool.now + 3.0)
        reply = pool.answers[request_id].reply
        self.assertEqual(reply.reason, "adapter_load_failed")
        self.assertGreater(reply.retry_after_ms, 0)

    def test_ttl_includes_the_wait(self):
        """Guards against places that have expired when a waiting gateway gets them."""
        pool = started_pool()
        request_id = pool.request("a")
        pool.run(pool.now + 1.0)
        reply = pool.answers[request_id].reply
        self.assertGreater(reply.expires_in_ms, PLACE_TTL_S * 1000 + 200)

    def test_no_server_is_refused_at_once(self):
        """Guards against waiting in a pool without servers."""
        owner = PoolScheduler("p", 1, 0.0, 0.0)
        owner.set_servers([], 0.0)
        pool = started_pool()
        pool.request("a")
        (action,) = owner.submit(pool.requests["r0"], 0.0)
        self.assertEqual(action.reply.reason, "no_backend_server")

    def test_cancelled_request_gets_no_place(self):
        """Guards against places for gateways that have disconnected."""
        pool = started_pool()
        request_id = pool.request("a")
        pool.execute(pool.owner, pool.owner.cancel(request_id, pool.now))
        pool.run(pool.now + 1.0)
        self.assertNotIn(request_id, pool.answers)

    def test_cancelled_grant_is_released(self):
        """Guards against a place kept for a grant that was never delivered."""
        pool = started_pool(places=1)
        first = pool.request("", tokens=1000)
        second = pool.request("")
        pool.execute(pool.owner, pool.owner.cancel(first, pool.now))
        self.assertIsInstance(pool.answers.get(second), GrantPlace)


class FailingStoreTest(unittest.TestCase):
    """Failing loads must not evict the resident adapters of the pool."""

    @parameterized.expand([(2,), (3,)])
    def test_resident_adapters_are_kept(self, at_once):
        """Guards against an eviction for each of many failing loads."""
        pool = started_pool(servers=2, slots=4)
        for name in "abcdefgh":
            pool.request(name)
            pool.run(pool.now + 1.0)
        engines = pool.engines.values()
        self.assertEqual(sum(len(engine.resident) for engine in engines), 8)
        pool.run(pool.now + 5.0)
        pool.fail_share = 1.0
        for step in range(60):
            for number in range(at_once):
                pool.request(f"new{(step * at_once + number) % 6}")
            pool.run(pool.now + 0.5)
        # Up to `at_once` loads are ordered before the first one fails; after that,
        # failing loads cost each engine at most one adapter.
        kept = sum(len(engine.resident) for engine in engines)
        self.assertGreaterEqual(kept, 8 - at_once - len(pool.engines))
        pool.fail_share = 0.0
        pool.run(pool.now + 40.0)  # The longest back-off is 30 s.
        submitted = [pool.request(f"new{number}") for number in range(6)]
        pool.run(pool.now + 8.0)
        served = [isinstance(pool.answers[item], GrantPlace) for item in submitted]
        self.assertEqual(served, [True] * 6)
        self.assertEqual(pool.violations, [])


class TakeoverTest(unittest.TestCase):
    """A new owner must not act before it knows the state of the servers."""

    @parameterized.expand([("adapter", "a"), ("base_model", "")])
    def test_nothing_before_ready(self, _name, adapter):
        """Guards against acting while grants of the previous owner may be used."""
        pool = FakePool(0, lag_s=0.0)
        pool.start_owner(2, ready_at=2.0)
        request_id = pool.request(adapter)
        pool.run(2.0 + REPORT_LAG_MAX_S)
        self.assertEqual((pool.loads, pool.answers), (0, {}))
        pool.run(6.0)
        self.assertIsInstance(pool.answers.get(request_id), GrantPlace)

    def test_no_order_without_a_report(self):
        """Guards against orders to a server whose state is unknown."""
        pool = FakePool(0)
        owner = PoolScheduler("p", 2, 0.0, 0.0)
        owner.set_servers([e.row for e in pool.engines.values()], 0.0)
        pool.request("a")
        actions = owner.submit(pool.requests["r0"], 0.1)
        for step in range(1, 60):
            actions += owner.tick(step * 0.05)
        self.assertEqual(actions, [])

    def test_claim_pins_and_takes_a_place(self):
        """Guards against evicting an adapter whose use only a claim shows."""
        pool = started_pool(places=1)
        pool.request("a", tokens=100_000)
        pool.run(pool.now + 1.0)
        engine = pool.engines["s0"]
        engine.history.clear()
        pool.change_owner()
        pool.run(pool.now + 1.0)
        running = dict(engine.key_by_running)
        engine.key_by_running.clear()  # The report lags and does not show it.
        pool.request("b", tokens=10, wait_ms=4000)
        pool.run(pool.now + 3.0)
        self.assertTrue(running)
        self.assertEqual(pool.evictions, 0)
        self.assertEqual(len(pool.owner.places.by_place_id), 1)

    def test_outstanding_places_are_claims(self):
        """Guards against a handover that loses places in use."""
        pool = started_pool()
        pool.request("a", tokens=1000)
        pool.run(pool.now + 1.0)
        entries = pool.owner.outstanding_places()
        owner = PoolScheduler("p", 2, pool.now, pool.now)
        owner.set_servers([e.row for e in pool.engines.values()], pool.now)
        for entry in entries:
            owner.update(entry, "g", pool.now)
        self.assertTrue(owner.servers_by_name["s0"].is_pinned(("a", "1")))


class ColdRestartTest(unittest.TestCase):
    """A restarted server has no adapters and no running requests."""

    def setUp(self):
        self.pool = started_pool(places=2)
        self.running = self.pool.request("a", tokens=100_000)
        self.pool.run(self.pool.now + PLACE_TTL_S + REPORT_LAG_MAX_S + 1.0)
        self.pool.restart("s0")

    def test_slots_and_places_are_cleared(self):
        """Guards against places at a server that has lost the adapter."""
        self.pool.run(self.pool.now + 0.3)
        server = self.pool.owner.servers_by_name["s0"]
        self.assertEqual(server.slots_by_key, {})
        self.assertEqual(server.places_by_request_id, {})

    def test_late_report_is_ignored(self):
        """Guards against a late report that restores state from before the restart."""
        engine = self.pool.engines["s0"]
        self.pool.run(self.pool.now + 0.3)
        engine.incarnation, engine.resident = 1, {("a", "1")}
        self.pool.run(self.pool.now + 0.3)
        self.assertEqual(self.pool.owner.servers_by_name["s0"].slots_by_key, {})

    def test_reports_out_of_order(self):
        """Guards against dropping a running request that a lagging report omits."""
        engine = self.pool.engines["s0"]
        key = ("a", "1")
        owner, now = self.pool.owner, self.pool.now
        server = owner.servers_by_name["s0"]
        engine.key_by_running["unknown"] = key
        owner.on_report(engine.report(now + 0.1, 0.0), now + 0.1)
        engine.key_by_running.clear()
        for requested_at, is_pinned in ((now + 0.2, True), (now + 1.2, False)):
            engine.history.clear()
            owner.on_report(engine.report(requested_at, 0.0), requested_at)
            self.assertEqual("unknown" in server.places_by_request_id, is_pinned)

    def test_unused_place_is_kept(self):
        """Guards against exceeding the places when a gateway sends late."""
        self.pool.run(self.pool.now + 0.3)
        self.pool.after = lambda *arguments: None
        request_id = self.pool.request("")
        server = self.pool.owner.servers_by_name["s0"]
        # The request started after a restart that no report has shown yet.
        server.places_by_request_id[request_id].started = True
        self.pool.restart("s0")
        report = self.pool.engines["s0"].report(self.pool.now + 0.1, 0.0)
        self.pool.owner.on_report(report, self.pool.now + 0.1)
        self.assertEqual(len(server.places_by_request_id), 1)


class DrainTest(unittest.TestCase):
    """A drain must interrupt no request and end within the cleaning window."""

    def test_replacement_is_loaded_first(self):
        """Guards against a stall for adapters that only the draining server has."""
        pool = started_pool(servers=2, slots=2)
        pool.request("a")
        pool.run(pool.now + 1.0)
        (name,) = (n for n, e in pool.engines.items() if e.resident)
        pool.set_state(name, "cleaning")
        pool.run(pool.now + 1.0)
        loads = pool.loads
        request_id = pool.request("a")
        reply = pool.answers[request_id].reply
        self.assertNotEqual(reply.backend_server, name)
        self.assertEqual(pool.loads, loads)

    def test_long_stream_is_moved(self):
        """Guards against a stream that outlasts the cleaning window of its server."""
        pool = started_pool(servers=2, slots=2)
        request_id = pool.request("a", tokens=100_000)
        pool.run(pool.now + 1.0)
        name = pool.answers[request_id].reply.backend_server
        pool.set_state(name, "cleaning")
        moves = self.record_moves(pool)
        for _ in range(12):
            pool.run(pool.now + 5.0)
            pool.request("a")  # Keeps the replacement resident.
        pool.run(pool.now + 2.0)
        self.assertEqual({move.request_id for move in moves}, {request_id})
        self.assertNotEqual(moves[0].target, name)
        self.assertEqual(pool.violations, [])

    def test_stream_of_an_idle_adapter_is_moved(self):
        """Guards against a stream that never moves for lack of a replacement."""
        pool = started_pool(servers=2, slots=2)
        request_id = pool.request("a", tokens=1_000_000)
        pool.run(pool.now + 600.0)  # The demand decays below that for a replacement.
        pool.set_state(pool.answers[request_id].reply.backend_server, "cleaning")
        moves = self.record_moves(pool)
        pool.run(pool.now + 62.0)
        self.assertEqual({move.request_id for move in moves}, {request_id})
        self.assertEqual(pool.violations, [])

    @staticmethod
    def record_moves(pool):
        """Return a list that collects the moves of a pool from now on."""
        moves = []
        execute = pool.execute

        def watch(owner, actions):
            moves.extend(a for a in actions if isinstance(a, MoveStream))
            execute(owner, actions)

        pool.execute = watch
        return moves

    def test_orders_carry_the_fencing_token(self):
        """Guards against orders without the fencing token of their owner."""
        pool = started_pool()
        orders = []
        pool.execute = lambda owner, actions: orders.extend(actions)
        pool.request("a")
        tokens = {
            order.fencing_token
            for order in orders
            if isinstance(order, LoadAdapter | EvictAdapter)
        }
        self.assertEqual(tokens, {1})
