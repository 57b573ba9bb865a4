"""Tests of complete nodes against stand-ins of the users' platform."""

import asyncio
import copy
import json
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import aiohttp
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall.backend_registry import BackendEntry, BackendRegistry
from sequoiafall.boot_clock import boot_time
from sequoiafall.catalog import RepeatPolicy, TokenLimit
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.engine_choice import EngineChooser
from sequoiafall.engine_planner import EnginePlanner
from sequoiafall.fleet import ranked_members
from sequoiafall.fleet_leader import LeaderDuties
from sequoiafall.forwarding import Forwarder
from sequoiafall.leader_link import (
    LEADER_SILENCE_POLLS,
    POLL_TIMEOUT_S,
    poll_pause_s,
)
from sequoiafall.leader_standing import Standing
from sequoiafall.member_register import MemberRegister, poll_interval_s
from sequoiafall.node_metrics import NodeMetrics
from sequoiafall.node_settings import NodeSettings, SettingsSource
from sequoiafall.platform import names
from sequoiafall.refusal import Reason
from sequoiafall.server_limits import ServerLimits
from sequoiafall.settings import Finding
from sequoiafall.stream_versions import StreamVersions
from sequoiafall.transport import Delivery, WireError
from sequoiafall.wire.gen import ttypes

from .events import until
from .gateway_case import capture_log
from .platform_case import KEY, PlatformCase, configuration

# Two adapters fit beside the model, although an engine has more slots.
ENGINE_OF_FEW_ADAPTERS = {
    "models": [
        {"name": "base", "weights_mb": 72_700, "adapters": 100, "adapter_size_mb": 700}
    ],
    "weights_mb": 74_600,
    "adapter_slots": 6,
}


class ServingTest(PlatformCase):
    """Requests of callers while no faults occur."""

    async def test_stream_is_complete_and_uses_the_adapter(self):
        nodes = await self.start_fleet()
        for node in nodes:
            status, body, headers = await self.call(node, "/draft/x", adapter="a7")
            self.assertEqual(status, 200)
            self.assertEqual(body.count(b"data: piece"), 5)
            self.assertIn(names.SIGNATURE, headers)
        holders = [e for e in self.engines.values() if "a7" in e.resident]
        self.assertEqual(len(holders), 1)

    async def test_what_a_backend_server_sees(self):
        """Guards against forwarding API keys, or system headers sent by a caller."""
        node, _ = await self.start_fleet()
        lines = self.enterContext(capture_log())
        await self.call(
            node,
            "/draft/x?q=%41",
            adapter="a1",
            request_id="seen",
            **{
                names.ORGANISATION: "org-9",
                "X-Sequoiafall-Hold": "h1",
                "X-Sequoiafall-Kv-Backup": "10.0.0.1:80",
                "Kv-From": "10.0.0.1:80/h",
                names.EXPECTED_VERSION: "99",
                "X-Custom": "kept",
                "X-Copy": f"Basic {KEY}",
                "Connection": f"keep-alive, {names.MODEL}, X-Hop",
                "X-Hop": "dropped",
            },
        )
        (seen,) = (
            backend.headers_by_request["seen"]
            for backend in self.engines.values()
            if "seen" in backend.headers_by_request
        )
        self.assertNotIn(KEY, str(seen))
        self.assertEqual(seen[names.ORGANISATION], "org-1")
        self.assertEqual(seen[names.MODEL], "base/a1")
        self.assertEqual(seen[names.EXPECTED_VERSION], "1")
        self.assertEqual(seen["X-Custom"], "kept")
        self.assertLessEqual(int(seen[names.DEADLINE_MS]), 4000)
        for name in ("X-Sequoiafall-Hold", "X-Sequoiafall-Kv-Backup", "Kv-From"):
            self.assertNotIn(name, seen)
        self.assertNotIn("X-Hop", seen)
        (dropped,) = [line for line in lines if "event=headers_dropped" in line]
        self.assertIn("headers=X-Copy", dropped)
        self.assertNotIn(KEY, "".join(lines))

    @parameterized.expand(
        [
            ("unknown key", "/draft/x", {"Authorization": "Bearer no"}, 401),
            ("no route", "/none/x", {}, 404),
            ("other host", "/draft/x", {"Host": "other.example"}, 404),
            ("bad deadline", "/draft/x", {names.DEADLINE_MS: "soon"}, 400),
            ("bad tokens", "/draft/x", {names.TOKENS: "many"}, 400),
            ("key in the path", f"/draft/x?key={KEY}", {}, 400),
            ("escaped key", f"/draft/x?key=%{ord(KEY[0]):x}{KEY[1:]}", {}, 400),
        ]
    )
    async def test_refused(self, _name, path, headers, expected):
        node, _ = await self.start_fleet()
        status, _, _ = await self.call(node, path, **headers)
        self.assertEqual(status, expected)
        self.assertEqual(sum(len(e.runs) for e in self.engines.values()), 0)

    @parameterized.expand([("ended", True), ("left", False)])
    async def test_running_stream_of_a_withdrawn_key(self, _name, ends):
        """A setting decides whether the stream ends; new requests are refused."""
        node, _ = await self.start_fleet()
        node.settings.ends_withdrawn_streams = ends
        engines = [self.engines[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.pause_after_events = 2
        running = asyncio.create_task(
            self.call(node, "/check/x", adapter="a1", request_id="running")
        )
        first_byte_buckets = node.metrics.first_byte_seconds._buckets_by_kind
        await until(lambda: RepeatPolicy.NEVER.value in first_byte_buckets)
        tenant = {**configuration()["tenants"][0], "api_keys": ["another-key"]}
        self.configure(2, tenants=[tenant])
        await until(lambda: node.fleet.catalog.version == 2)
        self.assertEqual((await self.call(node, "/check/x", adapter="a1"))[0], 401)
        for engine in engines:
            engine.resume_event.set()
        if ends:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await running
        else:
            status, body, _ = await running
            self.assertEqual((status, body.count(b"data: piece")), (200, 5))

    async def test_node_without_a_configuration_is_unavailable(self):
        """A node without a configuration answers 503, not 404."""
        node = await self.start_node()
        status, _, headers = await self.call(node, "/draft/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertFalse(node.is_ready)

    async def test_directory_and_readiness(self):
        nodes = await self.start_fleet(3)
        await until(lambda: len(nodes[0].addresses_for("z1")) == 3)
        url = f"http://{nodes[0].settings.directory_address}{names.DIRECTORY_PATH}"
        async with self.session.get(url, params={"zone": "z1"}) as response:
            directory = await response.json()
        self.assertEqual(len(directory["addresses"]), 3)
        url = f"http://{nodes[0].settings.ready_address}{names.READY_PATH}"
        async with self.session.get(url) as response:
            self.assertEqual(response.status, 200)


class ExplainedTest(PlatformCase):
    """Logs and metrics explain how a request was placed."""

    async def test_callers_with_little_time_are_not_late(self):
        """Callers of one route send different deadlines.

        Guards against deriving the waiting time from the longest deadline: requests
        with a shorter one then counted as late, and were placed last and only behind
        short prompt queues.
        """
        nodes = await self.start_fleet()
        on_time_ms_values = []
        request_place = type(nodes[0].fleet).request_place

        async def record(fleet, request, timeout_s):
            on_time_ms_values.append(request.on_time_ms)
            return await request_place(fleet, request, timeout_s)

        self.enterContext(patch.object(type(nodes[0].fleet), "request_place", record))
        for deadline_ms in ("4000", "3400", "2600"):
            await self.call(
                nodes[0], "/draft/x", adapter="a1", **{names.DEADLINE_MS: deadline_ms}
            )
        self.assertEqual(len(on_time_ms_values), 3)
        # The route's target latency is 800 ms.
        self.assertTrue(
            all(700 < on_time_ms <= 800 for on_time_ms in on_time_ms_values),
            on_time_ms_values,
        )

    async def test_grant_logs_its_inputs(self):
        node, _ = await self.start_fleet()
        with capture_log() as lines:
            await self.call(node, "/draft/x", adapter="a1", request_id="why-1")
            await self.call(node, "/draft/x", adapter="a1", request_id="why-2")
        first, second = (
            next(
                line for line in lines if "place_granted" in line and request_id in line
            )
            for request_id in ("why-1", "why-2")
        )
        self.assertIn('adapter_state="in store"', first)
        self.assertRegex(first, r"next_best_ms=\"?e[12]:\d+")
        self.assertIn("adapter_state=resident", second)
        for field in ("estimate_ms", "report_age_ms", "term", "level_tokens"):
            self.assertRegex(first, rf"\b{field}=\d+")
        self.assertIn("organisation=org-1", first)

    async def test_reason_for_skipping_a_server_is_logged(self):
        """The log says why an engine or a plain server got no requests."""
        node, *_ = await self.start_fleet(1)
        with capture_log() as lines:
            self.announce(self.engines["e1"], state="draining")
            await until(lambda: any("condition=leaving" in line for line in lines))
            self.announce(self.engines["d1"], address="127.0.0.1:1")
            self.announce(self.engines["d2"], address="127.0.0.1:1")
            await until(
                lambda: (
                    {row.address for row in node.fleet.registry.active_servers("desk")}
                    == {"127.0.0.1:1"}
                )
            )
            await self.call(node, "/look/x", method="GET", request_id="passed")
        (changed,) = [line for line in lines if "condition=leaving" in line]
        self.assertRegex(changed, r"server=e1 .*before=usable .*report_age_ms=\d+")
        (paused,) = [
            line
            for line in lines
            if "event=server_paused" in line and "server=d1" in line
        ]
        self.assertRegex(paused, r"pause_ms=400 request_id=passed")
        (attempt, *_) = [line for line in lines if "event=attempt_ended" in line]
        self.assertRegex(attempt, r"estimate_ms=\d+ next_best_ms=d\d:\d+")

    async def test_metrics_by_cause(self):
        nodes = await self.start_fleet()
        for number in range(3):
            await self.call(nodes[0], "/draft/x", adapter=f"a{number}")
        settings = self.leader.settings
        url = f"http://{settings.address}:{settings.metrics_port}/metrics"
        async with self.session.get(url) as response:
            text = await response.text()
        for expected in (
            r'place_wait_seconds_count\{kind="in store"\} 3',
            r'store_calls_total\{call="replace",result="ok"\} [1-9]',
            r'store_call_seconds_count\{kind="scan"\} [1-9]',
            r'state\{name="terms_begun"\} 1',
            r'state\{name="leader_changes"\}',
            r'state\{name="loads_from_store"\} 3',
        ):
            self.assertRegex(text, "sequoiafall_node_" + expected)


class StoppingTest(PlatformCase):
    """A stopping instance accepts no request that it cannot finish in time."""

    @parameterized.expand(
        [
            # Usual times count early in a stop.
            ("early short stream", "/draft/x", "1000,20", 1.0, 2.5, 4000, 200),
            ("early long stream", "/draft/x", "1000,200", 1.0, 2.5, 4000, 503),
            ("early stream of unknown length", "/draft/x", "", 1.0, 2.5, 4000, 503),
            ("early call", "/order/x", "", 1.0, 1.5, 4000, 200),
            ("early call near the end", "/order/x", "", 1.0, 0.5, 4000, 503),
            # Later, only the time at which a request ends in any case does.
            ("late stream", "/draft/x", "1000,20", 3.0, 3.5, 4000, 503),
            ("late stream with a deadline", "/draft/x", "1000,20", 3.0, 3.5, 2000, 200),
            ("late call", "/order/x", "", 3.0, 3.5, 4000, 503),
            ("late call with a deadline", "/order/x", "", 3.0, 3.5, 2000, 200),
        ]
    )
    async def test_request_during_the_grace_period(
        self, _name, path, tokens, since_s, left_s, deadline_ms, expected
    ):
        """The request arrives on a connection that was kept open."""
        node, _ = await self.start_fleet()
        await until(lambda: node.fleet.registry.active_servers("desk"))
        node.forwarder.begin_stop(boot_time() - since_s, 100.0)
        node.forwarder.stop_period.deadline = boot_time() + left_s
        node.fleet.is_leaving = True
        headers = {names.TOKENS: tokens} if tokens else {}
        headers[names.DEADLINE_MS] = str(deadline_ms)
        if path.startswith("/draft"):
            headers[names.MODEL] = "base/a1"
        status, body, response_headers = await self.call(
            node, path, request_id="late", **headers
        )
        self.assertEqual(status, expected, body)
        self.assertEqual(response_headers["Connection"], "close")
        if expected == 503:
            self.assertEqual(json.loads(body)["error"]["ran"], "not run")
            self.assertEqual(self.runs("late"), 0)
            self.assertIn("Retry-After", response_headers)

    async def test_streams_slower_than_usual(self):
        """Guards against streams that are admitted late in a stop and cut at its end.

        Each lasts for 3.8 s, longer than any before the stop.
        """
        node, *_ = await self.start_fleet(1)
        routes = [{**r, "timeout_ms": 12_000} for r in configuration()["routes"]]
        self.configure(2, routes=routes)
        await until(lambda: node.fleet.catalog.version == 2)
        for _ in range(3):
            await self.call(node, "/check/x", adapter="a1")
        for name in ("e1", "e2"):
            self.engines[name].events_per_stream = 20
            self.engines[name].event_interval_s = 0.19

        async def send(after_s):
            await asyncio.sleep(after_s)
            fields = {names.TOKENS: "1000,60", names.DEADLINE_MS: "12000"}
            return await self.call(node, "/check/x", "POST", "", **fields, **model)

        model = {names.MODEL: "base/a1"}
        node.settings.grace_s = 8.0
        stopping = asyncio.create_task(node.stop())
        sent = [send(after_s) for after_s in (0.2, 3.1, 3.4, 3.7, 4.0, 4.4)]
        early, *late = await asyncio.gather(*sent)
        await stopping
        self.nodes.remove(node)
        self.assertEqual((early[0], early[1].count(b"data: piece")), (200, 20))
        for status, body, _ in late:
            self.assertEqual(status, 503, body)
            self.assertEqual(json.loads(body)["error"]["ran"], "not run")

    @parameterized.expand([("stream", "/check/x"), ("call", "/order/x")])
    async def test_time_that_is_spent_before_the_send(self, _name, path):
        """Guards against a request that fits on arrival, and no more when it is sent.

        A place, a permit or a connection may take a second.
        """
        node, *_ = await self.start_fleet(1)
        await until(lambda: node.fleet.registry.active_servers("desk"))
        adapter = "a1" if path.startswith("/check") else ""
        await self.call(node, path, adapter=adapter)
        node.forwarder.begin_stop(boot_time(), 100.0)
        check_send = Forwarder._check_send

        def pass_time(forwarder, exchange, server):
            forwarder.stop_period.deadline = boot_time() + 0.5
            check_send(forwarder, exchange, server)

        with patch.object(Forwarder, "_check_send", pass_time):
            fields = {names.DEADLINE_MS: "3000"}
            status, body, _ = await self.call(
                node, path, adapter=adapter, request_id="late", **fields
            )
        self.assertEqual(status, 503, body)
        self.assertEqual(json.loads(body)["error"]["ran"], "not run")
        self.assertEqual(self.runs("late"), 0)

    async def test_repeat_that_does_not_fit(self):
        """Guards against a request that is sent again although it would be cut.

        Its first server ends the connection, so whether it ran is not known.
        """
        node, *_ = await self.start_fleet(1)
        await until(lambda: node.fleet.registry.active_servers("desk"))
        node.forwarder.begin_stop(boot_time(), 100.0)
        handle_outcome = Forwarder._handle_outcome

        async def pass_time(forwarder, exchange, server, outcome):
            forwarder.stop_period.deadline = boot_time() + 0.5
            return await handle_outcome(forwarder, exchange, server, outcome)

        for name in ("d1", "d2"):
            self.engines[name].drop_next = 1
        with patch.object(Forwarder, "_handle_outcome", pass_time):
            status, body, _ = await self.call(
                node, "/look/x", "GET", request_id="again"
            )
        self.assertEqual(status, 502, body)
        self.assertEqual(json.loads(body)["error"]["ran"], "unknown")
        self.assertEqual(self.runs("again"), 1)


class StopLogTest(PlatformCase):
    """The log of a planned stop shows what it did to callers."""

    async def test_ends_since_the_stop(self):
        """Guards against cut requests that nobody can place in the course of a stop."""
        node, *_ = await self.start_fleet(1)
        await until(lambda: node.fleet.registry.active_servers("desk"))
        await self.call(node, "/order/x")
        node.settings.grace_s = 8.0
        with (
            capture_log() as lines,
            patch("sequoiafall.node.ACCEPTING_SHARE", 0.3),
        ):
            stopping = asyncio.create_task(node.stop())
            await until(lambda: any("event=stopping" in line for line in lines))
            self.assertEqual((await self.call(node, "/order/x"))[0], 200)
            await stopping
        self.nodes.remove(node)
        (ended,) = [line for line in lines if "event=request_ended" in line]
        self.assertRegex(ended, r"stop_ms=\d+ arrived_stop_ms=\d+")
        (stopped,) = [line for line in lines if "event=stopped" in line]
        self.assertRegex(stopped, r"after_ms=\d+ ends=completed/complete:1$")


class SuspendedStopTest(PlatformCase):
    """The grace period continues while the instance is suspended."""

    @parameterized.expand([("idle", False), ("with a request", True)])
    async def test_suspension_counts(self, _name, has_request):
        """Guards against a process that is killed before it closes its connections."""
        node, *_ = await self.start_fleet(1)
        node.settings.grace_s = 300.0
        call = None
        if has_request:
            for name in ("e1", "e2"):
                self.engines[name].pause_after_events = 2
            call = asyncio.create_task(self.call(node, "/check/x", adapter="a1"))
            await until(lambda: node.forwarder.open_requests)
            # The request's own deadline would end it while the test runs.
            self.addCleanup(call.cancel)
        suspended_s = 0.0
        with (
            capture_log() as lines,
            patch("sequoiafall.node.boot_time", lambda: boot_time() + suspended_s),
        ):
            stopping = asyncio.create_task(node.stop())
            await until(lambda: any("event=stopping" in line for line in lines))
            suspended_s = 400.0
            await until(stopping.done)
        self.nodes.remove(node)


class ReloadTest(PlatformCase):
    """Settings that change while the instance is running."""

    class Source(SettingsSource):
        """Settings that a test replaces."""

        def __init__(self, result):
            self.result = result
            self.is_new = True

        def has_changed(self):
            """Whether the test has set a new result."""
            return self.is_new

        def read(self):
            """Return the result that the test has set."""
            self.is_new = False
            return self.result

    async def test_change_without_a_signal(self):
        node, _ = await self.start_fleet()
        other = copy.copy(node.settings)
        other.grace_s, other.zone = 3.0, "z9"
        with capture_log() as lines:
            node._source = self.Source(Success(other))
            await until(lambda: node.settings.grace_s == 3.0)
            status, _, _ = await self.call(node, "/draft/x", adapter="a1")
            self.assertEqual(status, 200)
            self.assertEqual(node.settings.zone, "z1")
            node._source = self.Source(Failure([Finding("file: zone", "a value")]))
            await until(lambda: any("settings_unreadable" in line for line in lines))
        self.assertTrue(any("needs_restart=zone" in line for line in lines), lines)
        self.assertEqual(node.settings.grace_s, 3.0)
        node.settings.grace_s = 1.0

    async def test_settings_that_raise_an_error(self):
        """Guards against a process that ends with all its requests at a reload."""
        node, _ = await self.start_fleet()
        with capture_log() as lines:
            node._source = self.Source(None)
            with patch.object(node._source, "read", side_effect=ValueError("date")):
                await until(
                    lambda: (
                        node.crashed or any("settings_unread" in row for row in lines)
                    )
                )
                node._source = None
        self.assertFalse(node.crashed)
        status, _, _ = await self.call(node, "/draft/x", adapter="a1")
        self.assertEqual(status, 200)


class FaultyBackendTest(PlatformCase):
    """Backend servers that fail, shed load, cut streams or mix up responses."""

    async def test_non_idempotent_call_is_sent_once(self):
        """Guards against a retry after the response to an executed call was lost."""
        node, _ = await self.start_fleet()
        for backend in ("d1", "d2"):
            self.engines[backend].drop_next = 1
        status, _, _ = await self.call(node, "/order/x", request_id="once")
        self.assertEqual(status, 502)
        self.assertEqual(self.runs("once"), 1)

    async def test_shed_call_is_retried_at_another_server(self):
        node, _ = await self.start_fleet()
        for backend in ("d1", "d2"):
            self.engines[backend].shed_next = 1
        status, body, _ = await self.call(node, "/order/x", request_id="shed")
        self.assertEqual((status, body), (200, b"done:body"))
        self.assertEqual(self.runs("shed"), 1)

    async def test_idempotent_call_is_retried_at_another_server(self):
        node, _ = await self.start_fleet()
        self.engines["d1"].drop_next = self.engines["d2"].fail_next = 1
        status, _, _ = await self.call(node, "/look/x", "GET", request_id="again")
        self.assertEqual(self.runs("again"), 2)
        self.assertEqual(status, 500)
        status, _, _ = await self.call(node, "/look/x", "GET")
        self.assertEqual(status, 200)

    async def test_answer_to_another_request_is_not_forwarded(self):
        node, _ = await self.start_fleet()
        for backend in ("d1", "d2"):
            self.engines[backend].mismatched_responses = 1
        status, body, _ = await self.call(node, "/order/x")
        self.assertEqual(status, 502)
        self.assertNotIn(b"done", body)

    async def test_interrupted_stream_resumes_at_another_engine(self):
        node, _ = await self.start_fleet()
        for engine in ("e1", "e2"):
            self.engines[engine].cut_after_events = 2
        self.engines["e2"].cut_after_events = -1
        await self.call(node, "/draft/x", adapter="a1")
        status, body, _ = await self.call(node, "/draft/x", adapter="a1")
        self.assertEqual(status, 200)
        self.assertEqual(
            [line for line in body.split(b"\n") if line.startswith(b"id:")],
            [b"id: %d" % number for number in range(1, 6)],
        )

    async def test_interrupted_stream_that_is_not_resumable_fails(self):
        node, _ = await self.start_fleet()
        for engine in ("e1", "e2"):
            self.engines[engine].cut_after_events = 2
        with self.assertRaises(Exception) as caught:
            await self.call(node, "/check/x", adapter="a1", request_id="cut")
        self.assertIn("Client", type(caught.exception).__mro__[1].__name__)
        self.assertEqual(self.runs("cut"), 1)


class EngineOrderTest(PlatformCase):
    """Orders that are unanswered or late, or that reach a restarted engine."""

    async def test_unanswered_orders_do_not_overfill_an_engine(self):
        node, _ = await self.start_fleet()
        for engine in ("e1", "e2"):
            self.engines[engine].unanswered_orders = 3
        calls = [
            self.call(node, "/draft/x", adapter=f"a{number}") for number in range(20)
        ]
        responses = await asyncio.gather(*calls)
        self.assertFalse(any(e.exceeded_slots for e in self.engines.values()))
        self.assertGreater(sum(status == 200 for status, _, _ in responses), 0)

    @parameterized.expand(
        [
            ("adapters on their way", 0, 0),
            ("orders without a response", 2, 0),
            ("new versions", 0, 2),
        ]
    )
    async def test_engine_whose_memory_holds_fewer_adapters_than_slots(
        self, _name, unanswered, version
    ):
        """An engine that is ordered to load more than its memory holds crashes."""
        fits = 2
        node, _ = await self.start_fleet()
        services = configuration(2)["services"]
        services[0]["engine"] = ENGINE_OF_FEW_ADAPTERS
        self.configure(2, services=services)
        await until(lambda: self.leader.fleet.catalog.version == 2)
        engines = [self.engines["e1"], self.engines["e2"]]
        for engine in engines:
            engine.adapter_slots = fits
            engine.unanswered_orders = unanswered
        for first in range(0, 12, 4):
            calls = [
                self.call(node, "/draft/x", adapter=f"a{number % 6}")
                for number in range(first, first + 4)
            ]
            responses = await asyncio.gather(*calls)
            self.assertFalse(any(engine.exceeded_slots for engine in engines))
            if version:
                for number in range(6):
                    self.declare_version(f"a{number}", version + first)
        self.assertGreater(sum(status == 200 for status, _, _ in responses), 0)
        self.assertTrue(all(len(engine.resident) == fits for engine in engines))

    def declare_version(self, adapter, version):
        self.store.put(
            names.CONFIGURATION_TABLE,
            f"{names.VERSION_KEY_PREFIX}base.{adapter}",
            {"model": "base", "adapter": adapter, "version": version},
        )

    async def test_end_that_the_leader_missed_is_reported_again(self):
        """Guards against an adapter that cannot be evicted for the rest of the term."""
        nodes = await self.start_fleet()
        leader = self.leader
        member = next(node for node in nodes if node is not leader)
        call = member.fleet._link.client.call
        lost = []

        async def lose_first_report(request, timeout_s):
            if isinstance(request, ttypes.EngineEnds) and not lost:
                lost.append(request)
                return Failure(WireError(Delivery.UNKNOWN, "connection lost"))
            return await call(request, timeout_s)

        member.fleet._link.client.call = lose_first_report
        status, _, _ = await self.call(member, "/draft/x", adapter="a1")
        self.assertEqual(status, 200)
        await until(lambda: lost)
        planner = leader.fleet.duties.planners_by_service["assist"]
        engine = planner.pool.engines_by_name[lost[0].ended[0].server]
        await until(lambda: not engine.slots_by_adapter["a1"].uses)

    async def test_restarted_engine_is_loaded_again(self):
        node, _ = await self.start_fleet()
        await self.call(node, "/draft/x", adapter="a1")
        for name in ("e1", "e2"):
            self.engines[name].restart()
            self.announce(self.engines[name])
        await until(lambda: all(e.has_model for e in self.engines.values()))
        statuses = []
        while 200 not in statuses[-1:]:
            statuses.append((await self.call(node, "/draft/x", adapter="a1"))[0])
            self.assertLess(len(statuses), 40)

    async def test_declared_version_is_loaded(self):
        node, _ = await self.start_fleet()
        await self.call(node, "/draft/x", adapter="a1")
        self.declare_version("a1", 2)
        await until(lambda: self.leader.fleet.versions_by_adapter.get("a1") == 2)
        status, _, _ = await self.call(node, "/draft/x", adapter="a1")
        self.assertEqual(status, 200)
        self.assertIn(2, [e.resident.get("a1") for e in self.engines.values()])


class RankTest(unittest.TestCase):
    """Order in which members become candidates for the lease, and their capacity."""

    def _members(self, capacity_percents):
        return [
            SimpleNamespace(instance=f"n{number}", capacity_percent=capacity_percent)
            for number, capacity_percent in enumerate(capacity_percents)
        ]

    def test_largest_first_and_equals_by_term(self):
        members = self._members([12, 100, 12, 100, 100])
        orders = [ranked_members(members, term) for term in range(20)]
        for order in orders:
            self.assertEqual(set(order[:3]), {"n1", "n3", "n4"})
        self.assertGreater(len({order[0] for order in orders}), 1)
        self.assertEqual(ranked_members(members[::-1], 3), ranked_members(members, 3))

    @parameterized.expand(
        [(1.0, 1000.0, 1.0), (0.36, 1000.0, 0.6), (0.36, 5.0, 0.125), (2.0, 20.0, 0.5)]
    )
    def test_capacity(self, core_share, link_mbps, expected):
        settings = NodeSettings(
            "n",
            "z",
            "a",
            "f",
            "r",
            "d",
            1,
            2,
            (),
            "s",
            core_share=core_share,
            link_mbps=link_mbps,
        )
        self.assertAlmostEqual(settings.capacity, expected)


class LostLeaderTest(unittest.TestCase):
    """Callers wait for a place until their gateway detects the loss of the leader."""

    @parameterized.expand([(2,), (15,), (118,), (500,)])
    def test_silence_is_detected_within_one_more_poll(self, members):
        """With many members, polls are rare, and each failed poll takes its timeout."""
        interval_s = poll_interval_s(members)
        limit_s = LEADER_SILENCE_POLLS * interval_s
        silence_s = 0.0
        while silence_s < limit_s:
            silence_s += poll_pause_s(silence_s, interval_s) + POLL_TIMEOUT_S
        self.assertLess(silence_s, limit_s + POLL_TIMEOUT_S + 0.1)


class MemberCountTest(PlatformCase):
    """Each instance knows by how many a fleet-wide limit is divided."""

    async def test_leader_and_members(self):
        """The leader hears of members by their polls, not by a leader's replies."""
        nodes = await self.start_fleet(3)
        await until(lambda: all(node.fleet.member_count == 3 for node in nodes))


class PlaceRequestTest(unittest.IsolatedAsyncioTestCase):
    """The leader answers each request for a place, whatever arrives beside it."""

    async def asyncSetUp(self):
        registry = BackendRegistry()
        self.duties = LeaderDuties(
            SimpleNamespace(instance="node-1", is_fenced=True),
            SimpleNamespace(token=7, leads=True),
            registry,
            None,
            NodeMetrics(),
            ServerLimits(registry),
            CrashEvidence(),
            StreamVersions(),
            MemberRegister("node-1", (), (), 0.0),
            lambda: Standing.IN_TOUCH,
            lambda _: None,
        )
        self.addAsyncCleanup(self.duties.stop)
        # The engine is unknown to the registry, so that no report is read.
        entry = BackendEntry("e1", "assist", "10.0.0.1:80", "z1", 6, False, 7)
        self.planner = EnginePlanner("assist")
        self.planner.set_entries([entry], 6, boot_time())
        self.enterContext(patch.object(EngineChooser, "choose", lambda *_: None))
        self.duties.planners_by_service["assist"] = self.planner

    def ask(self, **changes):
        values = {
            "request_id": "r1",
            "organisation": "",
            "pool": "assist",
            "adapter": "a1",
            "prompt_tokens": 500,
            "cost_tokens": 500,
            "rank": 1,
            "on_time_ms": 60_000,
            "time_left_ms": 60_000,
            "zone": "z1",
            "excluded": [],
            "charged": False,
            "instance": "node-2",
        }
        request = ttypes.EngineAsk(**{**values, **changes})
        return asyncio.create_task(self.duties.request_place(request))

    async def waiting(self):
        task = self.ask()
        await until(lambda: self.planner.waiting_count)
        return task

    async def test_cancelled_request_leaves_its_successor_waiting(self):
        """A request that is sent again on a new connection was never answered.

        The end of the old connection, seen later, removed it from the queue.
        """
        first = await self.waiting()
        second = self.ask()
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait({first})
        self.assertEqual(self.planner.waiting_count, 1)
        second.cancel()
        await asyncio.wait({second})
        self.assertEqual(self.planner.waiting_count, 0)

    async def test_request_that_is_replaced_is_answered(self):
        """The first of two requests with an identifier waited for its deadline."""
        first = await self.waiting()
        second = self.ask()
        await until(first.done)
        self.assertEqual(first.result().reason, Reason.OVERLOADED.value)
        self.assertFalse(second.done())
        self.assertEqual(self.planner.waiting_count, 1)
        second.cancel()


class NewTermTest(unittest.IsolatedAsyncioTestCase):
    """A new leader does not know the recent token use of organisations yet."""

    def start_duties(self):
        settings = SimpleNamespace(instance="node-1", is_fenced=True)
        lease = SimpleNamespace(token=7, leads=True)
        registry = BackendRegistry()
        duties = LeaderDuties(
            settings,
            lease,
            registry,
            None,
            NodeMetrics(),
            ServerLimits(registry),
            CrashEvidence(),
            StreamVersions(),
            MemberRegister("node-1", (), (), 0.0),
            lambda: Standing.IN_TOUCH,
            lambda _: None,
        )
        self.addAsyncCleanup(duties.stop)
        duties.limits.set_limits({"org": TokenLimit(1000.0, 9000.0)}, boot_time())
        duties.planners_by_service["assist"] = EnginePlanner("assist")
        return duties

    def poll(self, duties, used):
        member = ttypes.FleetMember(instance="node-2", zone="z1", leaving=False)
        poll = ttypes.FleetPoll(
            member=member,
            term=duties.term,
            held=[],
            tokens_by_organisation={"org": 1500},
            recent_tokens_by_organisation={"org": used},
        )
        duties.on_poll(poll)

    def ask(self, duties):
        request = ttypes.EngineAsk(
            request_id="r1",
            organisation="org",
            pool="assist",
            adapter="a1",
            prompt_tokens=500,
            cost_tokens=500,
            rank=1,
            on_time_ms=800,
            time_left_ms=4000,
            zone="z1",
            excluded=[],
            charged=False,
            instance="node-2",
        )
        return asyncio.create_task(duties.request_place(request))

    @parameterized.expand(
        [
            # Use that is reported late is no reason to refuse a request.
            ("within_its_limit", 4000, Reason.NO_BACKEND_SERVER.value),
            ("beyond_its_limit", 30000, Reason.RATE_EXCEEDED.value),
        ]
    )
    async def test_nobody_is_refused_before_the_use_is_known(
        self, _name, used, expected
    ):
        duties = self.start_duties()
        self.poll(duties, used)
        reply = self.ask(duties)
        await asyncio.sleep(0)
        self.assertFalse(reply.done())
        self.assertEqual((await reply).reason, expected)

    async def test_end_of_the_term_sends_waiting_requests_to_the_next_leader(self):
        duties = self.start_duties()
        self.poll(duties, 0)
        reply = self.ask(duties)
        await asyncio.sleep(0)
        await duties.stop()
        self.assertEqual((await reply).reason, Reason.OWNER_UNAVAILABLE.value)


class LeaderTest(PlatformCase):
    """Leaders that stop or fail, and stores that refuse some instances."""

    async def test_one_instance_leads(self):
        nodes = await self.start_fleet(3)
        self.assertEqual(sum(node.fleet.lease.leads for node in nodes), 1)

    async def test_small_leader_hands_over_to_a_larger_instance(self):
        """The first instances to start after a power failure may be the smallest."""
        self.configure()
        for name in ("e1", "e2"):
            await self.start_backend(name)
        for number in (1, 2):
            await self.start_node(number, link_mbps=5.0)
        await until(lambda: self.leader is not None)
        await self.start_node(3)
        with capture_log() as lines:
            await until(lambda: self.nodes[2].fleet.lease.leads)
            await until(self._engines_are_synced)
        self.assertTrue(any("larger instance" in line for line in lines), lines)
        for node in self.nodes:
            status, body, _ = await self.call(node, "/draft/x", adapter="a1")
            self.assertEqual(status, 200, body)

    async def test_instances_know_each_other_without_a_leader(self):
        """Instances that did not know a newcomer sent it no evidence on crashes."""
        nodes = await self.start_fleet(4)
        self.store.rejected_peers.add("*")
        leader = self.leader
        await leader.stop()
        self.nodes = [node for node in nodes if node is not leader]
        await until(lambda: not any(node.fleet.has_leader for node in self.nodes))
        first, second = self.nodes[0].fleet, self.nodes[1].fleet
        for one, other in ((first, second), (second, first)):
            # As if it had joined after the last reply of the leader.
            one.members_by_instance.pop(other.settings.instance, None)

        def know_each_other():
            return all(
                other.settings.instance in {member.instance for member in one.members}
                for one, other in ((first, second), (second, first))
            )

        for _ in range(20):
            # The election may switch to another instance meanwhile.
            await first._link.set_address(second.settings.peer_address, "peer hint")
            await first._poll_leader()
            if know_each_other():
                break
        self.assertTrue(know_each_other())

    async def follower_and_newcomer(self):
        """Return a follower, and an instance that it does not know."""
        nodes = await self.start_fleet(3)
        await until(lambda: all(node.fleet.member_count == 3 for node in nodes))
        follower = next(node.fleet for node in nodes if node is not self.leader)
        newcomer = copy.copy(follower._member())
        newcomer.instance = "node-9"
        return follower, newcomer

    async def test_count_of_members_that_were_met_without_a_leader(self):
        """After a restart of all, each instance took the whole limit of a caller."""
        follower, newcomer = await self.follower_and_newcomer()
        with patch.object(type(follower), "has_leader", False):
            # As if no leader had replied since the start.
            follower.members_by_instance.clear()
            follower._learn_member(newcomer)
            self.assertIn("node-9", [member.instance for member in follower.members])
            self.assertEqual(follower.member_count, 0)

    async def test_leader_that_returns_without_an_instance_that_was_met(self):
        """It is offered to callers no longer: the leader tells of changes only."""
        follower, newcomer = await self.follower_and_newcomer()
        with patch.object(type(follower), "has_leader", False):
            follower._learn_member(newcomer)
        self.assertIn("node-9", [row.instance for row in follower.ready_members()])
        await until(
            lambda: (
                {row.instance for row in follower.ready_members()}
                == {"node-1", "node-2", "node-3"}
            )
        )

    async def test_leader_that_refuses_connections_keeps_the_lease(self):
        """A member that lost its connection took the lease from a sound leader."""
        nodes = await self.start_fleet(3)
        leader = self.leader
        lease = leader.fleet.lease
        token = lease.token
        member = next(node for node in nodes if node is not leader)
        leader.fleet._server._server.close()
        await member.fleet._link.client.close()
        await until(lambda: member.fleet._link.is_refused or not lease.leads)
        for _ in range(4):
            version = lease.version
            await until(
                lambda before=version: lease.version != before or not lease.leads
            )
            self.assertTrue(lease.leads)
            self.assertFalse(member.fleet.lease.leads)
        self.assertEqual(lease.token, token)

    async def test_leader_that_stops_hands_over(self):
        nodes = await self.start_fleet(3)
        leader = self.leader
        token = leader.fleet.lease.token
        await leader.stop()
        self.nodes = [node for node in nodes if node is not leader]
        await until(lambda: self.leader is not None)
        self.assertGreater(self.leader.fleet.lease.token, token)
        statuses = []
        while 200 not in statuses[-1:]:
            response = await self.call(self.nodes[0], "/draft/x", adapter="a1")
            statuses.append(response[0])
            self.assertLess(len(statuses), 40)

    @parameterized.expand([("tick",), ("set_entries",)])
    async def test_leader_whose_own_work_fails_gives_the_term_up(self, method):
        """Guards against a leader that keeps its term although its planner fails."""
        nodes = await self.start_fleet()
        leader = self.leader
        term = leader.fleet.lease.token
        planner = leader.fleet.duties.planners_by_service["assist"]

        def fail(*_args):
            raise KeyError("e9")

        with capture_log() as lines:
            setattr(planner, method, fail)
            self.announce(self.engines["e1"], slots=32)
            await until(lambda: self.leader and self.leader.fleet.lease.token > term)
        self.assertTrue([line for line in lines if "leader_failed" in line], lines)
        await until(self._engines_are_synced)
        for node in nodes:
            status, _, _ = await self.call(node, "/draft/x", adapter="a1")
            self.assertEqual(status, 200)

    async def test_lost_leader_is_not_given_to_callers(self):
        """The leader is lost while the store refuses all and prevents an election."""
        nodes = await self.start_fleet(3)
        await until(lambda: all(len(n.addresses_for("z1")) == 3 for n in nodes))
        leader = self.leader
        lost = leader.settings.front_address
        self.store.rejected_peers = {"*"}
        await leader.fleet._server.stop()
        for node in nodes:
            if node is not leader:
                await until(lambda node=node: lost not in node.addresses_for("z1"))
                self.assertEqual(len(node.addresses_for("z1")), 2)

    async def test_member_gets_only_tables_that_it_lacks(self):
        """Guards against 118 instances saturating the link of a new leader."""
        nodes = await self.start_fleet(2)
        leader = self.leader
        member = next(node for node in nodes if node is not leader)
        await until(lambda: member.fleet.catalog is not None)
        table = names.CONFIGURATION_TABLE
        await until(
            lambda: (
                member.fleet.tables.mirror.newest_by_table().get(table)
                == leader.fleet.tables.mirror.newest_by_table()[table]
            )
        )

        def tables(newest_by_table):
            poll = ttypes.FleetPoll(
                member=member.fleet._member(),
                term=0,
                revision=0,
                tokens_by_organisation={},
                rows=[],
                held=[],
                recent_tokens_by_organisation={},
                announces=False,
                members_revision=0,
                newest_by_table=newest_by_table,
            )
            reply = leader.fleet._on_poll(poll, "peer")
            return {row.table for row in reply.rows}

        self.assertIn(table, tables({}))
        self.assertIn(table, tables({table: 0}))
        newest = member.fleet.tables.mirror.newest_by_table()
        self.assertNotIn(table, tables(newest))

    async def test_leader_that_the_store_refuses_is_replaced(self):
        """The store refuses only the leader; the operator edits the configuration."""
        nodes = await self.start_fleet(3)
        leader = self.leader
        self.store.rejected_peers.add(leader.settings.address)
        await until(
            lambda: (
                any(n.fleet.lease.leads for n in nodes if n is not leader)
                and not leader.fleet.lease.leads
            )
        )
        self.configure(9, tenants=[])
        await until(lambda: all(n.fleet.catalog.version == 9 for n in nodes))

    async def test_member_that_the_store_refuses_gets_configurations(self):
        nodes = await self.start_fleet(3)
        member = next(node for node in nodes if not node.fleet.lease.leads)
        self.store.rejected_peers.add(member.settings.address)
        self.configure(5, tenants=[])
        await until(lambda: member.fleet.catalog.version == 5)
        status, _, _ = await self.call(member, "/draft/x", adapter="a1")
        self.assertEqual(status, 401)

    async def test_serving_continues_during_a_store_outage(self):
        nodes = await self.start_fleet(2)
        self.store.rejected_peers.add("*")
        await until(lambda: not any(n.fleet.reaches_store for n in nodes[:1]))
        for node in nodes:
            status, _, _ = await self.call(node, "/draft/x", adapter="a3")
            self.assertEqual(status, 200)
            status, _, _ = await self.call(node, "/order/x")
            self.assertEqual(status, 200)

    async def test_callers_wait_for_a_paused_leader_during_a_store_outage(self):
        """Guards against refusing callers at once when the leader only pauses."""
        nodes = await self.start_fleet(2)
        leader = self.leader
        member = next(node for node in nodes if node is not leader)
        self.store.rejected_peers.add("*")
        await until(lambda: not leader.fleet.reaches_store)
        member.fleet._link.last_reply_at = boot_time()
        member.fleet._link.is_connection_lost = True
        member.fleet._keeper._failed_at = boot_time()
        self.assertFalse(member.fleet.has_leader)
        self.assertFalse(member.fleet.is_election_blocked)
        status, _, _ = await self.call(member, "/draft/x", adapter="a9")
        self.assertEqual(status, 200)

    async def test_store_that_is_back_is_noticed_before_a_lost_call_ends(self):
        """Guards against waiting for a call that was lost during the outage."""
        self.configure()
        self.store.delay_s = 30.0
        node = await self.start_node()
        await until(lambda: node.fleet.is_election_blocked)
        calls = self.store.request_count
        await until(lambda: self.store.request_count > calls)
        self.store.delay_s = 0.0
        counts = node.metrics.store_calls_by_result
        failures = counts["read", "unavailable"]
        await until(lambda: node.fleet.lease.leads)
        # The call of the outage is still pending and has not timed out.
        self.assertEqual(counts["read", "unavailable"], failures)

    async def test_tables_are_scanned_again_after_lost_history(self):
        nodes = await self.start_fleet(2)
        self.store.put(
            names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, configuration(4)
        )
        self.store.compact()
        await until(lambda: all(n.fleet.catalog.version == 4 for n in nodes))

    async def test_lost_store_answers_do_not_lose_the_lease(self):
        nodes = await self.start_fleet(2)
        leader, token = self.leader, self.leader.fleet.lease.token
        self.store.response_loss_rate = 0.5
        version = leader.fleet.lease.version
        await until(lambda: leader.fleet.lease.version > version + 4)
        self.assertEqual(leader.fleet.lease.token, token)
        self.assertEqual(sum(node.fleet.lease.leads for node in nodes), 1)

    async def test_older_configuration_is_ignored(self):
        nodes = await self.start_fleet(2)
        self.configure(7)
        await until(lambda: all(n.fleet.catalog.version == 7 for n in nodes))
        self.configure(3)
        await asyncio.wait_for(self.call(nodes[0], "/look/x", "GET"), 10)
        self.assertTrue(all(n.fleet.catalog.version == 7 for n in nodes))

    async def test_unreadable_rows_keep_the_last_state(self):
        nodes = await self.start_fleet(2)
        self.store.put(names.BACKEND_TABLE, "odd", b"\xff\x00")
        self.store.put(names.BACKEND_TABLE, "strange", {"service": 4})
        self.store.put(
            names.BACKEND_TABLE, "other", {**_backend_entry(), "state": "lost"}
        )
        self.store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, b"{")
        self.configure(6)
        await until(lambda: all(n.fleet.catalog.version == 6 for n in nodes))
        registry = nodes[0].fleet.registry
        for name in ("odd", "strange", "other"):
            self.assertIsNone(registry.find(name))


def _backend_entry():
    return {"service": "desk", "address": "127.0.0.1:9", "zone": "z1", "slots": 1}
