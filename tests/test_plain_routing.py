"""Tests of the choice of backend servers for plain services."""

import heapq
import random
import unittest
from collections import Counter

from parameterized import parameterized

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.plain_routing import INITIAL_PAUSE_S, PlainRouting

ENTRIES = [
    BackendEntry(f"s{n}", "desk", f"10.0.0.{n}:80", zone, 6, False)
    for n, zone in enumerate(("a", "b", "c"))
]


def make_calls(routing, outcomes, calls=60, start=0.0):
    """Make calls one after the other and count the calls of each server."""
    counts = Counter()
    for number in range(calls):
        now = start + number * 0.05
        entry = routing.choose(ENTRIES, frozenset(), now).entry
        counts[entry.name] += 1
        routing.on_start(entry.name)
        outcome, seconds = outcomes.get(entry.name, ("ok", 0.06))
        routing.on_end(entry.name, outcome, seconds, now + seconds)
    return counts


class PlainRoutingTest(unittest.TestCase):
    """Calls go to the server with the best estimate at this gateway."""

    def setUp(self):
        self.routing = PlainRouting("a", random.Random(3))

    def test_same_zone_is_preferred(self):
        self.assertEqual(make_calls(self.routing, {})["s0"], 60)

    @parameterized.expand(
        [
            ("grey", ("failed", 0.06)),
            ("broken", ("broken", 0.06)),
            ("unreachable", ("unreachable", 0.5)),
            ("slow", ("ok", 0.8)),
        ]
    )
    def test_bad_server_gets_little(self, _name, outcome):
        self.assertLess(make_calls(self.routing, {"s0": outcome})["s0"], 20)

    def test_server_that_recovers_gets_calls_again(self):
        make_calls(self.routing, {"s0": ("unreachable", 0.5)})
        self.assertGreater(make_calls(self.routing, {}, start=20.0, calls=200)["s0"], 0)

    def test_server_that_cannot_be_reached_for_hours(self):
        """The doubled pause must not overflow: 2 ** 1024 exceeds the float range."""
        routing = PlainRouting("z1", random.Random(1))
        for number in range(2000):
            routing.on_start("s1")
            # Further apart than the longest pause, so that each one counts.
            routing.on_end("s1", "unreachable", 0.1, 100.0 + 5.0 * number)
        entry = BackendEntry("s1", "desk", "10.0.0.1:80", "z1", 6, False)
        chosen = routing.choose([entry], frozenset(), 99999.0)
        self.assertEqual(chosen.entry.name, "s1")

    def test_calls_that_fail_together_pause_a_server_once(self):
        """A server that takes no connections for a second may be sound.

        Ten calls at the same time paused it for 4 s.
        """
        for _ in range(10):
            self.routing.on_start("s0")
        pauses_s = [
            self.routing.on_end("s0", "unreachable", 0.5, 1.0 + 0.01 * number)
            for number in range(10)
        ]
        self.assertEqual(pauses_s, [INITIAL_PAUSE_S] + 9 * [0.0])
        self.routing.on_start("s0")
        pause_s = self.routing.on_end("s0", "unreachable", 0.5, 1.0 + INITIAL_PAUSE_S)
        self.assertEqual(pause_s, 2.0 * INITIAL_PAUSE_S)

    def test_open_calls_spread(self):
        """Simultaneous calls are distributed among the servers."""
        counts = Counter()
        for _ in range(18):
            entry = self.routing.choose(ENTRIES, frozenset(), 0.0).entry
            self.routing.on_start(entry.name)
            counts[entry.name] += 1
        self.assertLessEqual(max(counts.values()), 8)

    def test_excluded_servers_are_not_chosen(self):
        choice = self.routing.choose(ENTRIES, frozenset({"s0", "s1"}), 0.0)
        self.assertEqual(choice.entry.name, "s2")
        self.assertIsNone(
            self.routing.choose(ENTRIES, frozenset({"s0", "s1", "s2"}), 0.0)
        )

    def test_choice_names_what_decided_it(self):
        """The log must show the estimates that decided the choice of a server."""
        self.routing.on_start("s0")
        choice = self.routing.choose(ENTRIES, frozenset(), 0.0)
        names = [choice.entry.name, *(name for name, _ in choice.next_best)]
        self.assertEqual(sorted(names), ["s0", "s1", "s2"])
        costs = [choice.cost_s, *(cost_s for _, cost_s in choice.next_best)]
        self.assertEqual(costs, sorted(costs))
        described = choice.describe()
        self.assertEqual(described["estimate_ms"], int(choice.cost_s * 1e3))
        self.assertEqual(described["next_best_ms"].count(","), 1)

    def test_pause_is_reported(self):
        self.routing.on_start("s0")
        self.assertGreater(self.routing.on_end("s0", "unreachable", 0.1, 1.0), 0.0)
        self.routing.on_start("s0")
        self.assertEqual(self.routing.on_end("s0", "ok", 0.1, 9.0), 0.0)


PAIR = [
    BackendEntry(name, "desk", f"10.0.1.{n}:80", "a", 64, False)
    for n, name in enumerate(("old", "new"))
]


def keep_calls_open(routing, open_calls, service_s, seconds, entries=PAIR):
    """Keep a number of calls open and count those of each server; all take as long.

    Returns
    -------
    Counter of str
        Calls that each server got.
    """
    counts, ends, now = Counter(), [], 0.0
    while now < seconds:
        while len(ends) < open_calls:
            name = routing.choose(entries, frozenset(), now).entry.name
            routing.on_start(name)
            counts[name] += 1
            heapq.heappush(ends, (now + service_s, len(counts), name))
        now, _, name = heapq.heappop(ends)
        routing.on_end(name, "ok", service_s, now)
    for _, _, name in ends:
        routing.on_end(name, "cancelled", 0.0, now)
    return counts


class SharePerServerTest(unittest.TestCase):
    """Load: steady calls to a plain service of which one server is new or was slow.

    An estimate changed only with the server's own answers, so a server that looked
    slower than the others once never got a call again.
    """

    @parameterized.expand(
        [
            (f"{service_ms} ms, {open_calls} open", service_ms / 1e3, open_calls)
            for service_ms in (2, 5, 20, 100)
            for open_calls in (8, 32, 60)
        ]
    )
    def test_fresh_server(self, _name, service_s, open_calls):
        """Guards against a restarted or added server that brings nothing."""
        routing = PlainRouting("a", random.Random(3))
        keep_calls_open(routing, open_calls, service_s, 2.0, PAIR[:1])
        counts = keep_calls_open(routing, open_calls, service_s, 2.0)
        self.assertGreater(counts["new"], 0.4 * counts.total())

    @parameterized.expand(
        [
            ("quick service", 0.02, 0.5),
            ("slow service", 0.1, 2.0),
        ]
    )
    def test_one_slow_answer(self, _name, service_s, slow_s):
        """Guards against one slow answer that takes a server out of use."""
        routing = PlainRouting("a", random.Random(3))
        keep_calls_open(routing, 32, service_s, 2.0)
        routing.on_start("new")
        routing.on_end("new", "ok", slow_s, 0.0)
        keep_calls_open(routing, 32, service_s, 2.0)
        counts = keep_calls_open(routing, 32, service_s, 1.0)
        self.assertGreater(counts["new"], 0.4 * counts.total())

    def test_server_that_stays_slow(self):
        """A slow server is tried now and then, and gets no more than that."""
        routing = PlainRouting("a", random.Random(3))
        counts = Counter()
        for number in range(2000):
            name = routing.choose(PAIR, frozenset(), 0.0).entry.name
            routing.on_start(name)
            counts[name] += 1
            seconds = 0.4 if name == "new" else 0.05
            routing.on_end(name, "ok", seconds, 0.1 * number)
        self.assertLess(counts["new"], 0.02 * counts.total())
        self.assertGreater(counts["new"], 2)
