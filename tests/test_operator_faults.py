"""Tests of complete nodes under faults known from the operation of similar systems.

A duplicate response on a reused connection is tested by
`test_endless_answers.StrayAnswerTest`.
"""

import asyncio
import contextlib
from unittest.mock import patch

import aiohttp
from parameterized import parameterized

from sequoiafall import forwarding
from sequoiafall.platform import names

from .events import until
from .platform_case import KEY, PlatformCase, configuration

CALLER_COUNT = 24
# Short timeout between events, to which the pauses in the tests are relative.
EVENT_TIMEOUT_S = 0.4


def event_ids(body):
    """Return the event IDs in the body of a stream."""
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


class PlannedStopTest(PlatformCase):
    """An instance gets SIGTERM during a burst of requests, some just accepted."""

    async def test_accepted_requests_are_completed(self):
        node, other = await self.start_fleet()
        for name in ("e1", "e2"):
            self.engines[name].events_per_stream = 20
        node.settings.grace_s = 4.0
        ids = [f"burst-{number}" for number in range(CALLER_COUNT)]
        paths = ["/check/x", "/order/x", "/draft/x", "/look/x"]
        calls = [
            asyncio.create_task(
                self.call(
                    node,
                    paths[number % 4],
                    adapter="a1" if number % 2 == 0 else "",
                    request_id=request_id,
                )
            )
            for number, request_id in enumerate(ids)
        ]
        # The requests are being sent, or have just been accepted.
        await asyncio.sleep(0)
        self.nodes = [other]
        stopping = asyncio.create_task(node.stop())
        results = await asyncio.gather(*calls, return_exceptions=True)
        await stopping
        for request_id, result in zip(ids, results, strict=True):
            self.assertIsInstance(result, tuple, request_id)
            status, body, _ = result
            if status == 200:
                self.assertEqual(self.runs(request_id), 1)
            else:
                self.assertEqual((status, self.runs(request_id)), (503, 0), body)

    async def test_connections_in_use_during_a_stop(self):
        """Callers keep using open connections until the process has ended."""
        node, other = await self.start_fleet()
        node.settings.grace_s = 2.5
        answered = {}
        is_stopped = False

        async def use(number):
            count = 0
            while not is_stopped:
                count += 1
                request_id = f"kept-{number}-{count}"
                try:
                    status, *_ = await self.call(
                        node, "/order/x", request_id=request_id
                    )
                except aiohttp.ClientError:
                    return
                answered[request_id] = status

        users = [asyncio.create_task(use(number)) for number in range(6)]
        await until(lambda: len(answered) > 20)
        self.nodes = [other]
        await node.stop()
        is_stopped = True
        await asyncio.gather(*users)
        for name in ("d1", "d2"):
            for request_id, runs in self.engines[name].runs.items():
                self.assertEqual((runs, answered.get(request_id)), (1, 200), request_id)


class SlowStreamTest(PlatformCase):
    """Slow streams must go on, and stalled ones end, despite keep-alive bytes."""

    def setUp(self):
        self.enterContext(
            patch.object(forwarding, "EVENT_GAP_TIMEOUT_S", EVENT_TIMEOUT_S)
        )

    @parameterized.expand([("may be moved", "/draft/x"), ("may not", "/check/x")])
    async def test_events_within_the_timeout(self, _name, path):
        node, _ = await self.start_fleet()
        for name in ("e1", "e2"):
            self.engines[name].event_interval_s = 0.5 * EVENT_TIMEOUT_S
        status, body, _ = await self.call(node, path, adapter="a1", request_id="slow")
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("slow"), 1)

    async def test_slow_stream_goes_on_without_retry_budget(self):
        """Without budget the stream cannot be resumed, so aborting it would lose it."""
        node, _ = await self.start_fleet()
        for name in ("e1", "e2"):
            self.engines[name].event_interval_s = 1.5 * EVENT_TIMEOUT_S
        budget = node.forwarder._retry_budget("assist")
        budget._saved = -100.0
        status, body, _ = await self.call(
            node, "/draft/x", adapter="a1", request_id="slow"
        )
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("slow"), 1)

    async def test_stalled_stream_is_resumed_on_another_engine(self):
        """Single bytes without a new event do not count as progress."""
        node, _ = await self.start_fleet()
        engines = [self.engines[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.trickling_streams = 1
        call = asyncio.create_task(
            self.call(node, "/draft/x", adapter="a1", request_id="stalled")
        )
        await until(lambda: not all(engine.trickling_streams for engine in engines))
        for engine in engines:
            engine.trickling_streams = 0
        status, body, _ = await call
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("stalled"), 2)

    async def test_stalled_stream_that_must_not_run_twice_times_out(self):
        """The stream cannot be resumed, and is aborted at the caller's deadline."""
        node, _ = await self.start_fleet()
        for name in ("e1", "e2"):
            self.engines[name].trickling_streams = 1
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call(
                node,
                "/check/x",
                adapter="a1",
                request_id="stalled",
                **{names.DEADLINE_MS: "1200"},
            )
        self.assertEqual(self.runs("stalled"), 1)
        await until(lambda: not any(row.running for row in self.engines.values()))


class LostAnswerTest(PlatformCase):
    """The response is lost after its request has run."""

    @parameterized.expand(
        [
            ("non-idempotent call", "/order/x", "", 1),
            ("idempotent call", "/look/x", "", 2),
            ("stream", "/check/x", "a1", 1),
            ("stream that may be resumed", "/draft/x", "a1", 2),
        ]
    )
    async def test_lost_at_every_server(self, _name, path, adapter, max_runs):
        """Non-repeatable requests run once, and no response says "not run"."""
        node, _ = await self.start_fleet()
        for name in ("e1", "e2", "d1", "d2"):
            self.engines[name].drop_next = 5
        status, body, headers = await self.call(
            node, path, adapter=adapter, request_id="lost"
        )
        self.assertNotIn(status, (408, 421, 429, 503))
        self.assertNotIn(b"not run", body)
        self.assertNotIn("Retry-After", headers)
        self.assertTrue(1 <= self.runs("lost") <= max_runs)


class RestartTest(PlatformCase):
    """A process restarts, with the store available or not."""

    async def restart_member(self):
        member = next(node for node in self.nodes if not node.fleet.lease.leads)
        self.nodes.remove(member)
        await member.stop()
        number = int(member.settings.instance.rpartition("-")[2])
        hints = tuple(f"{self._network}.{other}" for other in (1, 2, 3))
        return await self.start_node(number, peer_hints=hints)

    @parameterized.expand([("store available", False), ("store unavailable", True)])
    async def test_withdrawn_key(self, _name, is_store_unavailable):
        nodes = await self.start_fleet(3)
        tenant = {**configuration()["tenants"][0], "api_keys": ["another-key"]}
        self.configure(2, tenants=[tenant])
        await until(lambda: all(node.fleet.catalog.version == 2 for node in nodes))
        if is_store_unavailable:
            self.store.rejected_peers.add("*")
        restarted = await self.restart_member()
        statuses = set()
        for _ in range(5):
            status, *_ = await self.call(restarted, "/order/x")
            statuses.add(status)
        await until(lambda: restarted.is_ready)
        status, *_ = await self.call(restarted, "/order/x", request_id="withdrawn")
        # 503 until the instance has a configuration; then the key is unknown (401).
        self.assertLessEqual(statuses | {status}, {401, 503})
        self.assertEqual(status, 401)
        status, *_ = await self.call(
            restarted, "/order/x", Authorization="Bearer another-key"
        )
        self.assertEqual(status, 200)

    @parameterized.expand([("store available", False), ("store unavailable", True)])
    async def test_removed_server(self, _name, is_store_unavailable):
        nodes = await self.start_fleet(3)
        await until(
            lambda: all(
                len(n.fleet.registry.active_servers("desk")) == 2 for n in nodes
            )
        )
        self.store.remove(names.BACKEND_TABLE, "d1")
        await until(
            lambda: all(
                len(n.fleet.registry.active_servers("desk")) == 1 for n in nodes
            )
        )
        if is_store_unavailable:
            self.store.rejected_peers.add("*")
        restarted = await self.restart_member()
        await until(lambda: restarted.fleet.registry.active_servers("desk"))
        calls = [self.call(restarted, "/order/x") for _ in range(CALLER_COUNT)]
        responses = await asyncio.gather(*calls)
        self.assertEqual({status for status, *_ in responses}, {200})
        self.assertEqual(self.engines["d1"].received_request_ids, [])

    async def test_outdated_instance_does_not_restore_withdrawn_key(self):
        """Other instances must not adopt rows of an older configuration."""
        nodes = await self.start_fleet(3)
        old = next(node for node in nodes if not node.fleet.lease.leads)
        rows = list(old.fleet.tables.mirror.since_revision(0))
        tenant = {**configuration()["tenants"][0], "api_keys": ["another-key"]}
        self.configure(2, tenants=[tenant])
        await until(lambda: all(node.fleet.catalog.version == 2 for node in nodes))
        for node in nodes:
            node.fleet.tables.mirror.apply(rows)
        for node in nodes:
            status, *_ = await self.call(node, "/order/x")
            self.assertEqual(status, 401)
        self.assertNotIn(KEY, str(configuration(2, tenants=[tenant])))


class SilentEngineTest(PlatformCase):
    """An engine or instance stops reporting for a while, with streams running."""

    @parameterized.expand([("shortly", 1), ("longer", 2), ("long", 4)])
    async def test_engine_without_reports(self, _name, silences):
        """Running streams go on; they are neither aborted nor restarted elsewhere."""
        node, _ = await self.start_fleet()
        engines = [self.engines[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.pause_after_events = 2
        call = asyncio.create_task(
            self.call(node, "/check/x", adapter="a1", request_id="running")
        )
        await until(lambda: self.runs("running"))
        for engine in engines:
            engine.withholds_reports = True
        planner = self.leader.fleet.duties.planners_by_service["assist"]
        pool = planner.pool.engines_by_name
        await until(
            lambda: all(row.missed_reports >= silences for row in pool.values())
        )
        for engine in engines:
            engine.withholds_reports = False
            engine.resume_event.set()
        status, body, _ = await call
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("running"), 1)

    async def test_engine_with_expired_entry(self):
        """The entry of a server is removed after three missed heartbeats."""
        node, _ = await self.start_fleet()
        engines = [self.engines[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.pause_after_events = 2
        call = asyncio.create_task(
            self.call(node, "/check/x", adapter="a1", request_id="running")
        )
        await until(lambda: self.runs("running"))
        for engine in engines:
            self.store.remove(names.BACKEND_TABLE, engine.name)
        await until(lambda: not node.fleet.registry.active_servers("assist"))
        for engine in engines:
            engine.resume_event.set()
        status, body, _ = await call
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("running"), 1)

    async def test_instance_without_polls(self):
        """The leader reclaims the instance's places, but its streams go on."""
        nodes = await self.start_fleet()
        leader = self.leader
        member = next(node for node in nodes if node is not leader)
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = 2
        call = asyncio.create_task(
            self.call(member, "/check/x", adapter="a1", request_id="running")
        )
        await until(lambda: self.runs("running"))
        records = leader.fleet.duties.members.by_instance
        name = member.settings.instance

        async def no_poll():
            await asyncio.sleep(0.01)

        with patch.object(member.fleet, "_poll_leader", no_poll):
            await until(lambda: records[name].is_released)
            others = [self.call(leader, "/look/x", "GET") for _ in range(4)]
            self.assertEqual({row[0] for row in await asyncio.gather(*others)}, {200})
        for engine in ("e1", "e2"):
            self.engines[engine].resume_event.set()
        status, body, _ = await call
        self.assertEqual((status, event_ids(body)), (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("running"), 1)
        with contextlib.suppress(KeyError):
            await until(lambda: not records[name].is_released)
