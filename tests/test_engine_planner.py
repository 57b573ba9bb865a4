"""Tests of placement, queueing, refusal and loads, by pattern of load."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.engine_choice import (
    COLD_LOAD_S,
    MAX_TRANSFERS,
    MAX_TRANSFERS_PER_ENGINE,
)
from sequoiafall.engine_planner import (
    FAILED_LOAD_PAUSE_S,
    LOAD_MARGIN_S,
    MIN_AHEAD,
    EnginePlanner,
)
from sequoiafall.engine_pool import (
    AVOID_LIMIT_S,
    AVOID_S,
    FAILURE_WEIGHT,
    Engine,
    EngineCondition,
    EngineReport,
    ModelState,
    SlotState,
)
from sequoiafall.planner_messages import (
    GrantPlace,
    LoadOrder,
    PlacementRequest,
    RefusePlace,
)
from sequoiafall.prompt_quarantine import PromptQuarantine
from sequoiafall.refusal import Reason

SLOTS = 6
MODEL = frozenset({"base"})
LEAVING = BackendEntry("e0", "assist", "10.0.0.0:80", "a", 64, True)


class WarmAdaptersTest(unittest.TestCase):
    """Rarely used adapters are requested again while their weights are still warm.

    A load that is wrongly expected to be warm comes late from the weight store. A
    load that is wrongly expected to be cold goes to another engine and is a second
    transfer.
    """

    @parameterized.expand([(5, 30), (6, 36), (8, 48)])
    def test_warm_capacity_matches_data_sheets(self, slots, held):
        engine = Engine(LEAVING, slots)
        for number in range(100):
            engine.add_warm(f"a{number}", 1)
        self.assertEqual(len(engine.warm_versions), held)
        self.assertTrue(engine.is_warm("a99", 1))
        self.assertFalse(engine.is_warm(f"a{99 - held}", 1))


class Driver:
    """Runs a planner with simulated engines that carry out every order at once."""

    def __init__(self, engines=2, slots=SLOTS, zones=("a", "b")):
        self.now = 100.0
        self.allowances = {}
        self.evidence = CrashEvidence()
        self.planner = EnginePlanner(
            "assist",
            seed=1,
            allowances_by_server=self.allowances,
            quarantine=PromptQuarantine(self.evidence),
        )
        self.entries = [
            BackendEntry(
                f"e{n}", "assist", f"10.0.0.{n}:80", zones[n % len(zones)], 64, False
            )
            for n in range(engines)
        ]
        self.held = {entry.name: {} for entry in self.entries}
        self.sequence = {entry.name: 0 for entry in self.entries}
        self.granted = {}
        self.refused = {}
        self.orders = []
        self.max_held = 0
        self.apply(self.planner.set_entries(self.entries, slots, self.now))
        self.report_all()

    @classmethod
    def of_new_leader(cls, held, loads_in_s=0.0, is_reported=True):
        """Return a driver of one engine whose adapters an earlier leader loaded."""
        driver = cls(engines=1)
        driver.planner = EnginePlanner(
            "assist", seed=2, loads_from=driver.now + loads_in_s
        )
        driver.held["e0"] = dict(held)
        driver.planner.set_entries(driver.entries, len(held), driver.now)
        if is_reported:
            driver.report_all()
        return driver

    def report(self, name, **changes):
        values = {
            "sequence": self.sequence[name],
            "resident": dict(self.held[name]),
            "incoming": {},
            "running": 0,
            "waiting": 0,
            "models": MODEL,
        }
        return EngineReport(**{**values, **changes})

    def report_all(self):
        for entry in self.entries:
            report = self.report(entry.name)
            self.apply(self.planner.on_report(entry.name, report, self.now))

    def apply(self, actions, carries_out_orders=True):
        for action in actions:
            if isinstance(action, GrantPlace):
                self.granted[action.request_id] = action
            elif isinstance(action, RefusePlace):
                self.refused[action.request_id] = action
            else:
                self.orders.append(action)
                if carries_out_orders:
                    self.carry_out(action)

    def carry_out(self, order, accepted=True):
        if accepted:
            held = self.held[order.server]
            held.pop(order.evicted, None)
            if order.adapter:
                held[order.adapter] = order.version
            self.max_held = max(self.max_held, len(held))
            self.sequence[order.server] += 2 if order.evicted else 1
        self.apply(self.planner.on_order_result(order, accepted, self.now))

    def ask(self, request_id, adapter="a1", **changes):
        request = self.make_ask(request_id, adapter, **changes)
        self.apply(self.planner.submit(request, self.now))

    def make_ask(self, request_id, adapter="a1", **changes):
        values = {
            "request_id": request_id,
            "organisation": "org",
            "gateway": "g1",
            "zone": "a",
            "adapter": adapter,
            "prompt_tokens": 1000,
            "rank": 1,
            "on_time_s": 0.8,
            "time_left_s": 4.0,
        }
        return PlacementRequest(**{**values, **changes})

    def place_and_restart(self, request_id, is_removed):
        """Place a request at the first engine, which then restarts."""
        entry = self.entries[0]
        self.apply(
            self.planner.on_report("e0", self.report("e0", born=7), self.now),
        )
        self.ask(request_id)
        self.run(0.4)
        if is_removed:
            self.apply(self.planner.set_entries([], SLOTS, self.now))
            self.apply(self.planner.set_entries([entry], 1, self.now))
        self.held["e0"].clear()
        report = self.report("e0", born=8)
        self.apply(self.planner.on_report("e0", report, self.now))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += min(until - self.now, self.planner.next_due(self.now))
            self.apply(self.planner.tick(self.now))

    def end(self, request_id, outcome="ok"):
        self.apply(self.planner.end(request_id, outcome, self.now))
        self.run(0.004)


class SoftwareVersionTest(unittest.TestCase):
    """A request that is bound to a software version runs at such engines only."""

    def setUp(self):
        self.driver = Driver(engines=4)
        entries = [
            replace(entry, software="v1" if number % 2 == 0 else "v2")
            for number, entry in enumerate(self.driver.entries)
        ]
        self.driver.entries = entries
        self.driver.apply(
            self.driver.planner.set_entries(entries, SLOTS, self.driver.now)
        )
        self.software_by_name = {entry.name: entry.software for entry in entries}

    @parameterized.expand(
        [
            (f"{adapter or 'base model'}, {software}", adapter, software)
            for adapter in ("", "a1")
            for software in ("v1", "v2")
        ]
    )
    def test_only_engines_of_the_version(self, _name, adapter, software):
        """Guards against streams that go on at another version.

        The engines of the other version hold the adapter and have nothing to do.
        """
        other = "v2" if software == "v1" else "v1"
        self.driver.ask("r0", adapter, software=other)
        self.driver.run(0.5)
        for number in range(1, 9):
            self.driver.ask(f"r{number}", adapter, software=software)
            self.driver.run(0.5)
        granted = {self.driver.granted[f"r{number}"].server for number in range(1, 9)}
        self.assertEqual({self.software_by_name[name] for name in granted}, {software})

    def test_any_version(self):
        for number in range(8):
            self.driver.ask(f"r{number}", "")
        granted = {row.server for row in self.driver.granted.values()}
        self.assertEqual(
            {self.software_by_name[name] for name in granted}, {"v1", "v2"}
        )

    def test_version_without_engines(self):
        self.driver.ask("r1", software="v9")
        self.driver.run(4.0)
        self.assertEqual(self.driver.granted, {})
        self.assertIn("r1", self.driver.refused)


class PlacementTest(unittest.TestCase):
    """A request goes to its adapter, or to the engine where a load costs least."""

    def test_resident_adapter_is_granted_at_once(self):
        driver = Driver()
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        driver.ask("r2")
        self.assertEqual(driver.granted["r2"].server, driver.granted["r1"].server)
        self.assertEqual(driver.granted["r2"].waited_s, 0.0)
        self.assertEqual(len(driver.orders), 1)

    def test_requests_of_one_loading_adapter_share_the_load(self):
        """Ten requests for one adapter that is not loaded must cause only one load."""
        driver = Driver()
        for number in range(10):
            driver.ask(f"r{number}")
        driver.run(0.5)
        self.assertEqual(len(driver.orders), 1)
        self.assertEqual(len(driver.granted), 10)

    def test_adapter_returns_to_the_engine_that_still_has_its_weights(self):
        driver = Driver(engines=3, slots=1)
        driver.ask("r1", "a1")
        driver.run(0.4)
        first = driver.granted["r1"].server
        driver.end("r1")
        for number in range(3):
            driver.ask(f"other{number}", f"b{number}")
            driver.run(0.4)
        for number in range(3):
            driver.end(f"other{number}")
        driver.run(0.1)
        driver.ask("r2", "a1")
        driver.run(0.4)
        self.assertEqual(driver.granted["r2"].server, first)

    def test_hot_adapter_is_replicated_when_its_engine_has_a_backlog(self):
        """One adapter gets most requests, so its engine's prefill backlog grows."""
        driver = Driver(engines=2)
        driver.ask("first")
        driver.run(0.4)
        for number in range(60):
            driver.ask(f"r{number}", prompt_tokens=2000, on_time_s=8.0, time_left_s=20)
        driver.run(0.5)
        self.assertEqual({row.server for row in driver.granted.values()}, {"e0", "e1"})

    def test_hot_adapter_is_loaded_elsewhere_before_its_prompts_queue(self):
        """A fifth of all requests are for one adapter; none may wait for a replica."""
        driver = Driver(engines=4)
        for number in range(80):
            driver.ask(f"r{number}", "hot", prompt_tokens=2000)
            driver.run(0.1)
            driver.end(f"r{number - 2}")
        holders = [name for name, held in driver.held.items() if "hot" in held]
        self.assertGreaterEqual(len(holders), 2)
        late = [row for row in list(driver.granted.values())[20:] if row.waited_s > 0.1]
        self.assertEqual(late, [])

    def test_rare_adapter_is_loaded_once(self):
        driver = Driver(engines=4)
        for number in range(20):
            driver.ask(f"r{number}", "rare", prompt_tokens=2000)
            driver.run(1.0)
            driver.end(f"r{number}")
        self.assertEqual(len(driver.orders), 1)

    @parameterized.expand([("failed",), ("broken",), ("unreachable",)])
    def test_engine_that_fails_gets_less(self, outcome):
        """Grey failure: an engine passes its health check but fails its requests."""
        driver = Driver(engines=2, zones=("a",))
        for number in range(8):
            driver.ask(f"r{number}", "")
            server = driver.granted[f"r{number}"].server
            driver.end(f"r{number}", outcome if server == "e0" else "ok")
            driver.run(0.05)
        driver.granted.clear()
        for number in range(8):
            driver.ask(f"s{number}", "")
            driver.end(f"s{number}")
        self.assertEqual({row.server for row in driver.granted.values()}, {"e1"})

    def test_engine_that_recovers_gets_work_again(self):
        """Guards against a share of failures that only successes reduce.

        An avoided engine gets no requests, so it could never recover.
        """
        driver = Driver(engines=2, zones=("a",))
        for number in range(6):
            driver.ask(f"r{number}", "")
            server = driver.granted[f"r{number}"].server
            driver.end(f"r{number}", "failed" if server == "e0" else "ok")
        driver.now += 15.0
        driver.granted.clear()
        for number in range(12):
            driver.ask(f"s{number}", "")
        self.assertEqual({row.server for row in driver.granted.values()}, {"e0", "e1"})

    def test_engines_that_all_fail_a_part_are_used(self):
        """If all engines fail many of their requests, they must still be used."""
        rng = random.Random(7)
        driver = Driver(engines=6)
        for number in range(120):
            driver.ask(f"r{number}", f"a{number % 12}")
            driver.run(0.03)
            for request_id in list(driver.granted)[:-8]:
                outcome = rng.choice(["failed", "broken", "ok"])
                driver.end(request_id, outcome)
                del driver.granted[request_id]
        self.assertEqual(driver.refused, {})
        self.assertLess(len(driver.orders), 40)

    def test_failing_engines_are_avoided_while_most_are_healthy(self):
        driver = Driver(engines=5, zones=("a",))
        failing = {"e0", "e1"}
        for number in range(60):
            driver.ask(f"r{number}", "")
            server = driver.granted[f"r{number}"].server
            driver.end(f"r{number}", "failed" if server in failing else "ok")
            driver.run(0.05)
        servers = [row.server for row in list(driver.granted.values())[20:]]
        self.assertEqual(failing & set(servers), set())

    def test_engine_that_reports_again_gets_work(self):
        """An engine was cut off for seconds; its first report makes it eligible."""
        driver = Driver(engines=1)
        driver.ask("r1", "a1")
        driver.run(0.4)
        driver.end("r1")
        for _ in range(6):
            driver.apply(driver.planner.on_report("e0", None, driver.now))
            driver.run(0.25)
        driver.ask("r2", "a1")
        self.assertNotIn("r2", driver.granted)
        driver.report_all()
        driver.run(0.01)
        self.assertIn("r2", driver.granted)

    def test_engine_that_stalls_is_priced_like_one_failure_and_not_avoided(self):
        """Many streams leave a silent engine at once, which may be sound."""
        driver = Driver(engines=1)
        for number in range(8):
            driver.ask(f"r{number}", "")
        for number in range(8):
            driver.apply(driver.planner.end(f"r{number}", "moved", driver.now, "e0"))
        engine = driver.planner.pool.engines_by_name["e0"]
        self.assertEqual(engine.failure_share, FAILURE_WEIGHT)
        self.assertIs(engine.condition(driver.now), EngineCondition.USABLE)

    def test_requests_that_fail_together_avoid_an_engine_once(self):
        """An engine that takes no connections for a second may be sound.

        Ten requests that timed out together avoided it for 4 s.
        """
        engine = Driver(engines=1).planner.pool.engines_by_name["e0"]
        for number in range(10):
            engine.record_failure(100.0 + 0.01 * number, is_unreachable=True)
        self.assertEqual(engine.avoided_until, 100.0 + AVOID_S)
        engine.record_failure(100.0 + AVOID_S, is_unreachable=True)
        self.assertEqual(engine.avoided_until, 100.0 + 3.0 * AVOID_S)

    def test_engine_that_is_silent_or_fails_for_long_is_only_avoided(self):
        """Guards against an overflow of the back-off: 2 ** 1024 exceeds a float.

        It occurred when an announced engine was cut off for an hour.
        """
        driver = Driver(engines=2)
        planner = driver.planner
        for _ in range(2000):
            driver.apply(planner.on_report("e0", None, driver.now))
            planner.pool.engines_by_name["e1"].record_failure(driver.now, True)
            # Longer than engines are avoided, so that each failure counts.
            driver.now += AVOID_LIMIT_S + 0.25
        driver.now += 5.0
        driver.report_all()
        driver.ask("r1", "a1")
        driver.run(0.5)
        self.assertIn("r1", driver.granted)

    @parameterized.expand(
        [
            ("usable", {}, EngineCondition.USABLE),
            ("leaving", {"entry": LEAVING}, EngineCondition.LEAVING),
            (
                "empty",
                {"model_state": ModelState.ABSENT},
                EngineCondition.WITHOUT_MODEL,
            ),
            ("silent", {"silent_until": 200.0}, EngineCondition.SILENT),
            ("failing", {"avoided_until": 200.0}, EngineCondition.FAILING),
        ]
    )
    def test_condition_says_whether_an_engine_gets_work(self, _name, changes, expected):
        """The log must name the reason why an engine was not used."""
        driver = Driver()
        engine = driver.planner.pool.engines_by_name["e0"]
        for field, value in changes.items():
            setattr(engine, field, value)
        self.assertIs(engine.condition(driver.now), expected)
        is_usable = expected is EngineCondition.USABLE
        self.assertEqual(engine.takes_work(driver.now), is_usable)
        engine.index.is_in_panic_mode = True
        is_used = engine.condition(driver.now) is EngineCondition.FAILING_BUT_USED
        self.assertEqual(engine.takes_work(driver.now), is_usable or is_used)

    def test_leaving_engine_gets_nothing(self):
        driver = Driver(engines=2)
        driver.ask("r1", "a1")
        driver.run(0.4)
        leaving = driver.granted["r1"].server
        driver.entries = [
            BackendEntry(e.name, e.service, e.address, e.zone, 64, e.name == leaving)
            for e in driver.entries
        ]
        driver.apply(driver.planner.set_entries(driver.entries, SLOTS, driver.now))
        driver.ask("r2", "a1")
        driver.run(0.4)
        self.assertNotEqual(driver.granted["r2"].server, leaving)

    def test_new_version_is_not_served_by_the_old_one(self):
        driver = Driver(engines=2)
        driver.ask("r1", "a1")
        driver.run(0.4)
        driver.planner.set_version("a1", 2)
        driver.ask("r2", "a1")
        driver.run(0.4)
        self.assertEqual(driver.granted["r2"].version, 2)
        self.assertNotEqual(driver.granted["r2"].server, driver.granted["r1"].server)
        driver.planner.set_version("a1", 1)
        self.assertEqual(driver.planner.version_of("a1"), 2)

    def test_engine_without_its_base_model_is_told_to_load_it(self):
        """Restarted engines have no base model and refuse adapter loads."""
        driver = Driver(engines=1)
        driver.held["e0"].clear()
        driver.now += 10.0
        report = driver.report("e0", models=frozenset(), sequence=0, born=5)
        driver.planner.pool.engines_by_name["e0"].born = 4
        driver.apply(driver.planner.on_report("e0", report, driver.now))
        self.assertEqual(driver.orders, [LoadOrder("e0", "", 0)])
        driver.ask("r1", "a1")
        self.assertNotIn("r1", driver.granted)


class EmptyEnginesTest(unittest.TestCase):
    """Engines start without a base model, as in their weekly rolling cleaning."""

    def start_empty(self, engines, **changes):
        driver = Driver(engines=engines)
        driver.planner.set_store_rate(2.9)
        for entry in driver.entries:
            driver.held[entry.name].clear()
            engine = driver.planner.pool.engines_by_name[entry.name]
            engine.model_state = ModelState.ABSENT
        driver.now += 10.0
        self.report_empty(driver, **changes)
        return driver

    def report_empty(self, driver, loading=(), **changes):
        driver.now += 0.25
        for entry in driver.entries:
            if entry.name not in driver.planner.pool.engines_by_name:
                continue
            values = {
                "models": frozenset(),
                "is_loading_model": entry.name in loading,
                **changes,
            }
            report = driver.report(entry.name, **values)
            driver.apply(driver.planner.on_report(entry.name, report, driver.now))

    def ordered(self, driver):
        return [order.server for order in driver.orders if not order.adapter]

    def test_model_loads_from_the_store_are_sequential(self):
        """Four concurrent loads take 17 s each, a single one takes 4 s."""
        driver = self.start_empty(4)
        self.assertEqual(self.ordered(driver), ["e0"])
        self.report_empty(driver, loading={"e0"})
        self.report_empty(driver, loading={"e0"})
        self.assertEqual(self.ordered(driver), ["e0"])
        ready = driver.report("e0")
        driver.apply(driver.planner.on_report("e0", ready, driver.now))
        self.assertEqual(self.ordered(driver), ["e0", "e1"])

    def test_leaving_engine_frees_its_concurrent_load(self):
        driver = self.start_empty(3)
        left = driver.entries[1:]
        driver.apply(driver.planner.set_entries(left, SLOTS, driver.now))
        self.report_empty(driver)
        self.assertEqual(self.ordered(driver), ["e0", "e1"])

    def test_silent_engine_does_not_block_other_loads(self):
        """The engine is cut off from the leader only, so it stays announced."""
        driver = self.start_empty(3)
        for _ in range(40):
            driver.now += 0.25
            driver.apply(driver.planner.on_report("e0", None, driver.now))
            for name in ("e1", "e2"):
                is_loading = "e1" in self.ordered(driver) and name == "e1"
                report = driver.report(
                    name, models=frozenset(), is_loading_model=is_loading
                )
                driver.apply(driver.planner.on_report(name, report, driver.now))
        self.assertEqual(self.ordered(driver), ["e0", "e1"])

    def test_loads_from_local_copies_are_not_limited(self):
        """Engines that restart after a crash load from their own disks."""
        driver = self.start_empty(4, local_models=MODEL)
        self.assertEqual(len(self.ordered(driver)), 4)

    def test_load_of_an_earlier_leader_counts(self):
        driver = Driver(engines=3)
        driver.planner.set_store_rate(2.9)
        for entry in driver.entries:
            engine = driver.planner.pool.engines_by_name[entry.name]
            engine.model_state = ModelState.ABSENT
        driver.now += 10.0
        self.report_empty(driver, loading={"e0", "e2"})
        self.assertEqual(self.ordered(driver), [])
        self.report_empty(driver, loading={"e0"})
        self.assertEqual(self.ordered(driver), [])
        self.report_empty(driver)
        self.assertEqual(len(self.ordered(driver)), 1)

    def test_load_that_ended_without_a_model_is_ordered_again(self):
        """The order may have been lost on the way to the engine."""
        driver = self.start_empty(1)
        self.report_empty(driver)
        self.report_empty(driver)
        self.assertEqual(self.ordered(driver), ["e0", "e0"])

    @parameterized.expand([(0.0, 30), (2.9, 1), (4.3, 1), (27.0, 7), (42.0, 10)])
    def test_limit_of_concurrent_loads(self, loads_per_s, expected):
        driver = Driver(engines=1)
        driver.planner.set_store_rate(loads_per_s)
        self.assertEqual(min(30, driver.planner.max_store_loads), expected)


class SlotTest(unittest.TestCase):
    """Engines must not get more adapters than slots: the engine would terminate."""

    def test_used_adapter_is_never_evicted(self):
        driver = Driver(engines=1, slots=2)
        for name in ("a1", "a2"):
            driver.ask(f"r-{name}", name)
        driver.run(0.4)
        driver.ask("r3", "a3", on_time_s=3.0)
        driver.run(0.4)
        self.assertNotIn("r3", driver.granted)
        driver.end("r-a2")
        driver.run(0.4)
        self.assertIn("r3", driver.granted)
        self.assertEqual(driver.orders[-1].evicted, "a2")

    def test_old_report_does_not_free_a_slot_whose_order_is_under_way(self):
        """An engine with six slots got a seventh adapter.

        A report freed the slot of an order that had not been answered for 0.5 s.
        """
        driver = Driver(engines=1, slots=1)
        actions = driver.planner.submit(
            PlacementRequest("r1", "org", "g1", "a", "a1", 100, 1, 3.0, 9.0), driver.now
        )
        driver.apply(actions, carries_out_orders=False)
        driver.now += 0.5
        driver.report_all()
        driver.ask("r2", "a2", on_time_s=3.0)
        self.assertEqual([order.adapter for order in driver.orders], ["a1"])

    def test_slot_of_an_unanswered_order_stays_taken_until_it_cannot_act(self):
        """An unanswered order may still take effect until another one is accepted."""
        driver = Driver(engines=1, slots=1)
        actions = driver.planner.submit(
            PlacementRequest("r1", "org", "g1", "a", "a1", 100, 1, 3.0, 9.0), driver.now
        )
        order = next(a for a in actions if isinstance(a, LoadOrder))
        driver.planner.on_order_result(order, None, driver.now, sequence=0)
        driver.now += 2.0
        driver.report_all()
        engine = driver.planner.pool.engines_by_name["e0"]
        self.assertIs(engine.slots_by_adapter["a1"].state, SlotState.UNKNOWN)
        driver.planner.cancel("r1", driver.now)
        driver.sequence["e0"] = 1
        driver.report_all()
        self.assertNotIn("a1", engine.slots_by_adapter)

    @parameterized.expand(
        [
            # The gateway's connection broke while it reported the end.
            ("granted", lambda driver: driver.ask("lost", time_left_s=4.0)),
            # The place was granted by an earlier leader.
            (
                "adopted",
                lambda driver: driver.planner.adopt(
                    driver.make_ask("lost", time_left_s=4.0), "e0", 1, driver.now
                ),
            ),
        ]
    )
    def test_place_whose_end_was_lost_frees_its_slot(self, _name, hold):
        """A place whose end is not reported must expire after its caller's deadline."""
        driver = Driver(engines=1, slots=1)
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        driver.end("r1")
        hold(driver)
        driver.run(3.9)
        driver.ask("early", "a2")
        driver.run(0.9)
        self.assertIn("early", driver.refused)
        driver.run(2.0)
        driver.ask("late", "a2")
        driver.run(0.5)
        self.assertIn("late", driver.granted)
        self.assertEqual(driver.planner.counts.expired_places, 1)

    def test_late_end_leaves_the_place_at_another_engine(self):
        """The end of a broken attempt may arrive after the next place was granted."""
        driver = Driver(engines=2, slots=1)
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        first = driver.granted["r1"].server
        driver.ask("r1", excluded=frozenset({first}))
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        second = driver.granted["r1"].server
        self.assertNotEqual(first, second)
        driver.apply(driver.planner.end("r1", "broken", driver.now, first))
        engine = driver.planner.pool.engines_by_name[second]
        self.assertEqual(engine.slots_by_adapter["a1"].uses, 1)
        driver.apply(driver.planner.end("r1", "ok", driver.now, second))
        self.assertEqual(engine.slots_by_adapter["a1"].uses, 0)

    def test_first_place_counts_while_a_second_one_is_requested(self):
        """The adapter of a running stream must not be evicted during a move.

        The planner released the first place as soon as a second one was requested.
        """
        driver = Driver(engines=2, slots=1)
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        first = driver.granted["r1"].server
        driver.ask("r1", excluded=frozenset({first}), on_time_s=3.0)
        slots = driver.planner.pool.engines_by_name[first].slots_by_adapter
        self.assertEqual(slots["a1"].uses, 1)
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        second = driver.granted["r1"].server
        self.assertEqual(slots["a1"].uses, 1)
        driver.apply(driver.planner.end("r1", "cancelled", driver.now, second))
        self.assertEqual(slots["a1"].uses, 1)
        driver.ask("other", "b1", excluded=frozenset({second}))
        driver.run(0.9)
        self.assertIn("other", driver.refused)
        driver.apply(driver.planner.end("r1", "ok", driver.now, first))
        self.assertEqual(slots["a1"].uses, 0)

    def test_both_places_of_a_moving_request_are_adopted(self):
        """The leader may change while a stream moves."""
        driver = Driver(engines=2)
        for server in ("e0", "e1", "e1"):
            driver.planner.adopt(driver.make_ask("r1"), server, 1, driver.now)
        engines = driver.planner.pool.engines_by_name
        self.assertEqual([engines[name].running for name in ("e0", "e1")], [1, 1])
        driver.apply(driver.planner.end("r1", "moved", driver.now, "e0"))
        self.assertEqual([engines[name].running for name in ("e0", "e1")], [0, 1])

    def test_adapter_of_an_adopted_place_is_not_evicted(self):
        """A new leader hears of a place before it reads the engine's report.

        An engine that is told to unload an adapter in use waits for its requests, and
        accepts no other order meanwhile.
        """
        driver = Driver.of_new_leader({"a1": 1}, is_reported=False)
        driver.planner.adopt(driver.make_ask("r1"), "e0", 1, driver.now)
        driver.report_all()
        driver.ask("r2", "a2", on_time_s=2.0)
        driver.run(0.1)
        self.assertEqual(driver.orders, [])
        driver.end("r1")
        driver.run(0.5)
        self.assertEqual(driver.granted["r2"].server, "e0")

    def test_nothing_is_evicted_before_the_members_have_reported(self):
        """An adapter seems to be idle until its gateway names the place.

        The leader decided at once and sent the order after the gateways' reports.
        """
        driver = Driver.of_new_leader({"a1": 1}, loads_in_s=0.25)
        driver.ask("r2", "a2", on_time_s=2.0)
        driver.run(0.02)
        driver.planner.adopt(driver.make_ask("r1"), "e0", 1, driver.now)
        driver.run(0.4)
        self.assertEqual(driver.orders, [])
        driver.end("r1")
        driver.run(0.5)
        self.assertEqual(driver.granted["r2"].server, "e0")

    def test_nobody_is_refused_before_adapters_are_loaded(self):
        """The first requests of a term may have short waits and no resident adapter."""
        driver = Driver.of_new_leader({f"b{n}": 1 for n in range(SLOTS)}, 0.25)
        for number in range(SLOTS):
            driver.ask(f"r{number}", f"a{number}", on_time_s=0.4)
        driver.run(0.24)
        self.assertEqual((driver.orders, driver.refused), ([], {}))
        driver.run(0.02)
        self.assertEqual(len(driver.orders), MAX_TRANSFERS_PER_ENGINE)

    @parameterized.expand(
        [
            (
                "adopted before the report",
                lambda driver: driver.planner.adopt(
                    driver.make_ask("r1"), "e0", 1, driver.now
                ),
            ),
            (
                "engine restarted",
                lambda driver: driver.place_and_restart("r1", is_removed=False),
            ),
            (
                "engine announced again",
                lambda driver: driver.place_and_restart("r1", is_removed=True),
            ),
        ]
    )
    def test_end_of_an_older_place_leaves_a_newer_one(self, _name, place):
        """The adapter of a running request must not be evicted.

        The end of a place that was granted before its adapter's slot was known, or
        before the engine's restart, must not count as the end of a newer place.
        """
        driver = Driver(engines=1, slots=1)
        place(driver)
        driver.held["e0"] = {"a1": 1}
        driver.now += 1.0
        driver.report_all()
        driver.ask("r2", "a1")
        self.assertEqual(driver.granted["r2"].server, "e0")
        driver.end("r1", "broken")
        driver.orders.clear()
        driver.ask("r3", "a2")
        driver.run(0.1)
        self.assertEqual(driver.orders, [])

    def test_withdrawn_request_keeps_its_place(self):
        """A stream that goes on at its engine withdraws its request for another."""
        driver = Driver(engines=2, slots=1)
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        first = driver.granted["r1"].server
        driver.ask("r1", excluded=frozenset({first}), on_time_s=3.0)
        self.assertEqual(driver.planner.waiting_count, 1)
        driver.apply(driver.planner.withdraw("r1", driver.now))
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        self.assertEqual(driver.planner.waiting_count, 0)
        self.assertEqual(driver.granted["r1"].server, first)
        engines = driver.planner.pool.engines_by_name.values()
        uses = {row.name: row.slots_by_adapter["a1"].uses for row in engines}
        self.assertEqual([name for name in uses if uses[name]], [first])

    def test_place_at_an_engine_that_is_not_excluded_is_placed_anew(self):
        """The end of an attempt may be lost before its request is placed again."""
        driver = Driver(engines=1, slots=1)
        driver.ask("r1")
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        driver.ask("r1")
        engine = driver.planner.pool.engines_by_name["e0"]
        self.assertEqual((engine.running, engine.slots_by_adapter["a1"].uses), (1, 1))

    def test_request_that_is_cancelled_during_a_load_frees_its_slot(self):
        """The slot stayed in use for the rest of the leader's term."""
        driver = Driver(engines=1, slots=1)
        driver.ask("r1", on_time_s=3.0)
        driver.apply(driver.planner.cancel("r1", driver.now))
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        driver.ask("r2", "b1", on_time_s=3.0)
        # The load may take longer than expected, and the slot is taken until it ends.
        self.assertEqual([order.adapter for order in driver.orders], ["a1"])
        driver.run(0.2)
        driver.report_all()
        driver.run(COLD_LOAD_S + LOAD_MARGIN_S + 0.01)
        self.assertIn("r2", driver.granted)

    def test_nothing_is_ordered_after_a_conflict_until_a_report(self):
        """A conflict means that another leader has loaded an adapter.

        Which one is unknown until the next report.
        """
        driver = Driver(engines=1, slots=1)
        actions = driver.planner.submit(
            PlacementRequest("r1", "org", "g1", "a", "a1", 100, 1, 3.0, 9.0), driver.now
        )
        order = next(a for a in actions if isinstance(a, LoadOrder))
        driver.planner.on_order_result(order, False, driver.now)
        driver.now += FAILED_LOAD_PAUSE_S + 0.1
        self.assertEqual(driver.planner.tick(driver.now), [])
        driver.held["e0"] = {"b1": 1}
        driver.report_all()
        driver.run(0.01)
        self.assertEqual(driver.orders[0].evicted, "b1")

    def test_second_report_after_a_change_of_leader_counts(self):
        """The first report may predate the last order of the previous leader.

        Found by soak seed 56: the planner kept an adapter that was already evicted
        and evicted it again for the next load, so the engine got a seventh adapter.
        """
        driver = Driver(engines=1, slots=2)
        driver.held["e0"] = {"gone": 1, "kept": 1}
        driver.now += 1.0
        driver.report_all()
        driver.held["e0"] = {"new": 1, "kept": 1}
        driver.sequence["e0"] = 2
        driver.now += 0.25
        driver.report_all()
        engine = driver.planner.pool.engines_by_name["e0"]
        self.assertEqual(set(engine.slots_by_adapter), {"new", "kept"})

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_random_load_never_exceeds_the_slots(self, seed):
        """Skewed demand with requests that did not run and reports at random times."""
        rng = random.Random(seed)
        driver = Driver(engines=3)
        open_requests = []
        for step in range(400):
            driver.run(rng.expovariate(30.0))
            adapter = f"a{int(rng.paretovariate(0.8))}"
            driver.ask(f"r{step}", adapter, on_time_s=rng.uniform(0.2, 1.0))
            open_requests.append(f"r{step}")
            if rng.random() < 0.9 and open_requests:
                request_id = open_requests.pop(rng.randrange(len(open_requests)))
                driver.end(request_id, rng.choice(("ok", "ok", "ok", "not_run")))
            if rng.random() < 0.05:
                driver.report_all()
            self.assertLessEqual(
                driver.planner.pool.transfers(driver.now), MAX_TRANSFERS
            )
        self.assertLessEqual(driver.max_held, SLOTS)
        self.assertGreater(len(driver.granted), 100)


class ChangingEnginesTest(unittest.TestCase):
    """Engines join, leave, restart and are announced again under load."""

    def test_idle_engine_that_left_gets_no_load(self):
        """An engine without adapters is removed between two requests."""
        driver = Driver(engines=3)
        driver.ask("r1", "a1")
        driver.run(0.4)
        driver.apply(driver.planner.set_entries(driver.entries[:1], SLOTS, driver.now))
        driver.ask("r2", "a2")
        driver.run(0.4)
        self.assertEqual(driver.granted["r2"].server, "e0")

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_index_agrees_with_the_engines(self, seed):
        rng = random.Random(seed)
        driver = Driver(engines=5, slots=3)
        pool = driver.planner.pool
        for step in range(400):
            match rng.randrange(8):
                case 0:
                    kept = [row for row in driver.entries if rng.random() < 0.8]
                    entries = kept or driver.entries
                    driver.apply(driver.planner.set_entries(entries, 3, driver.now))
                case 1:
                    name = rng.choice(driver.entries).name
                    changes = {"born": rng.choice([0, 7, 8])}
                    report = driver.report(name, **changes)
                    driver.apply(driver.planner.on_report(name, report, driver.now))
                case 2:
                    driver.report_all()
                case 3:
                    driver.planner.set_version(f"a{rng.randrange(6)}", rng.randrange(4))
                case 4 if driver.granted:
                    outcome = rng.choice(["ok", "not_run", "broken", "unreachable"])
                    driver.end(rng.choice(list(driver.granted)), outcome)
                case _:
                    driver.ask(f"r{step}", f"a{rng.randrange(12)}")
            driver.run(rng.random() * 0.1)
            self._check(pool)
            self._check_uses(driver.planner)

    def _check_uses(self, planner):
        # A slot that counts too few requests loses its adapter while one runs.
        keys = [(row.server, row.request.adapter) for row in planner._places()]
        keys += [
            (row.bound_to, row.request.adapter)
            for row in planner._waiting_by_id.values()
            if row.bound_to
        ]
        uses_by_key = Counter(keys)
        for name, engine in planner.pool.engines_by_name.items():
            for adapter, slot in engine.slots_by_adapter.items():
                self.assertEqual(slot.uses, uses_by_key[name, adapter])
        self.assertEqual(planner.pool.index.uses_by_key, uses_by_key)

    def _check(self, pool):
        by_adapter = {}
        for name, engine in pool.engines_by_name.items():
            for adapter, slot in engine.slots_by_adapter.items():
                by_adapter.setdefault(adapter, set()).add(name)
                if slot.state is not SlotState.RESIDENT:
                    self.assertIn(name, pool.index.transferring)
        adapters = set(by_adapter) | {f"a{n}" for n in range(12)}
        found = {
            adapter: {engine.name for engine in pool.index.holders(adapter)}
            for adapter in adapters
        }
        self.assertEqual({key: row for key, row in found.items() if row}, by_adapter)


class WaitingTest(unittest.TestCase):
    """Waiting requests are served in time, or refused early with a retry time."""

    def _with_full_slots(self, uses=1):
        driver = Driver(engines=1, slots=1)
        for number in range(uses):
            driver.ask(f"holder{number}", "a1")
        driver.run(0.4)
        return driver

    def test_burst_on_full_slots_is_refused_before_its_time_is_over(self):
        """A burst of requests for rare adapters arrives while all slots are in use."""
        driver = self._with_full_slots()
        for number in range(30):
            driver.ask(f"r{number}", f"b{number}")
        driver.run(0.8)
        self.assertEqual(len(driver.refused), 30)
        for refusal in driver.refused.values():
            self.assertIs(refusal.reason, Reason.OVERLOADED)
            self.assertGreater(refusal.retry_after_s, 0.0)
            self.assertLessEqual(refusal.retry_after_s, 4.0 / 3.0)

    @parameterized.expand([("loaded adapter", "a1"), ("base model", "")])
    def test_request_that_needs_no_slot_does_not_queue_for_one(self, _name, adapter):
        """Requests for loaded adapters were refused while others waited for slots."""
        driver = self._with_full_slots()
        for number in range(30):
            driver.ask(f"r{number}", f"b{number}")
            driver.run(0.002)
        details = {row.detail for row in driver.refused.values()}
        self.assertTrue(all("ahead" in detail for detail in details), details)
        self.assertTrue(details)
        self.assertGreater(driver.planner.waiting_count, MIN_AHEAD)
        driver.ask("hot", adapter, on_time_s=0.4)
        self.assertEqual(driver.granted["hot"].server, "e0")

    def test_refused_callers_do_not_come_back_together(self):
        driver = self._with_full_slots()
        for number in range(30):
            driver.ask(f"r{number}", f"b{number}", time_left_s=15.0)
        driver.run(0.8)
        retry_times_s = sorted(row.retry_after_s for row in driver.refused.values())
        self.assertGreater(retry_times_s[-1] - retry_times_s[0], 1.0)

    def test_urgent_request_goes_before_an_older_one(self):
        driver = self._with_full_slots()
        driver.ask("normal", "b1", rank=2)
        driver.run(0.05)
        driver.ask("urgent", "b2", rank=0)
        driver.end("holder0")
        self.assertEqual(driver.orders[-1].adapter, "b2")

    def test_request_that_can_be_on_time_goes_before_a_late_one(self):
        driver = self._with_full_slots()
        driver.ask("late", "b1", on_time_s=-1.0, time_left_s=3.0)
        driver.run(0.05)
        driver.ask("fresh", "b2")
        driver.end("holder0")
        self.assertEqual(driver.orders[-1].adapter, "b2")

    def test_burst_of_prompts_is_refused_before_it_is_late(self):
        """Prompts arrive at twice the prefill throughput of the engine."""
        driver = Driver(engines=1, slots=2)
        driver.ask("first", "a1")
        driver.run(0.4)
        for number in range(100):
            driver.ask(f"r{number}", "a1", prompt_tokens=2200)
            driver.run(0.05)
        engine = driver.planner.pool.engines_by_name["e0"]
        self.assertLess(engine.backlog_s(driver.now), 0.9)
        self.assertGreater(len(driver.refused), 20)
        self.assertGreater(len(driver.granted), 40)

    def test_request_without_time_is_refused_at_once(self):
        driver = self._with_full_slots()
        driver.ask("r1", "b1", on_time_s=-4.0, time_left_s=0.0)
        self.assertIn("r1", driver.refused)

    def test_request_without_engines_is_refused_at_once(self):
        planner = EnginePlanner("assist")
        request = PlacementRequest("r1", "org", "g1", "a", "a1", 100, 1, 0.8, 4.0)
        (refusal,) = planner.submit(request, 1.0)
        self.assertIs(refusal.reason, Reason.NO_BACKEND_SERVER)

    def test_cancelled_request_frees_its_slot(self):
        """A caller may disconnect before its deadline."""
        driver = self._with_full_slots()
        driver.report_all()
        driver.ask("r1", "b1", on_time_s=3.0)
        driver.apply(driver.planner.cancel("holder0", driver.now))
        driver.run(0.4)
        self.assertIn("r1", driver.granted)

    def test_places_of_a_lost_gateway_are_taken_back(self):
        driver = self._with_full_slots()
        driver.ask("r1", "b1", on_time_s=3.0, gateway="g2")
        driver.now += 1.0
        driver.report_all()
        driver.apply(driver.planner.release_gateway("g1", frozenset(), driver.now))
        driver.run(0.4)
        self.assertIn("r1", driver.granted)
