"""Tests of fleets whose servers crash on one whole request that comes again."""

import asyncio
import contextlib
import itertools
import json
import math
from unittest.mock import AsyncMock, patch

import aiohttp
from parameterized import parameterized
from returns.result import Failure

from sequoiafall.boot_clock import boot_time
from sequoiafall.crash_evidence import (
    EVENT_WINDOW_S,
    HARMFUL_EVENTS,
    QUARANTINE_S,
    ServerStart,
)
from sequoiafall.fleet import READ_DELAY_S, Fleet
from sequoiafall.instrumented_store import InstrumentedRowStore
from sequoiafall.lease import LEASE_TABLE
from sequoiafall.platform import names
from sequoiafall.prompt_quarantine import HOLD_S
from sequoiafall.request_identity import request_identity
from sequoiafall.store_results import Unavailable
from sequoiafall.stored_evidence import StoredEvidence

from .events import until
from .harmful_case import CALL_PAUSE_S, SOUND_AFTER_S, HarmfulCase
from .partition_relay import PartitionMode, PartitionRelay
from .platform_case import PlatformCase

HARMFUL_QUERY = "?harmful"
HARMFUL_BODY = b"a body on which servers crash"
PATHS = ("/draft/x", "/check/x", "/look/x", "/order/x")
PLAIN_SERVERS = 3
# Different sound requests.
SOUND_REQUESTS = 50

ENGINE_PATHS = [("resumable", "/draft/x"), ("sent once", "/check/x")]
PLAIN_PATHS = [("idempotent", "/look/x"), ("not idempotent", "/order/x")]


class CrashingRequestCase(HarmfulCase):
    """Sends one request again and again on which servers crash.

    All its parts of the prompt occur in sound requests as well.
    """

    known_crashes = 3

    def prepare_server(self, server):
        server.crashing_requests = {
            (path + HARMFUL_QUERY, body)
            for path in PATHS
            for body in (HARMFUL_BODY, b"")
        }

    async def send(self, node, path, number, is_harmful):
        body = HARMFUL_BODY if is_harmful else b"body %d" % (number % SOUND_REQUESTS)
        target = path + HARMFUL_QUERY if is_harmful else path
        # The client library sends some methods again if a connection is closed.
        method = "GET" if path.startswith("/look/") else "POST"
        if method == "GET":
            target = path + (
                HARMFUL_QUERY if is_harmful else f"?{number % SOUND_REQUESTS}"
            )
        status, _, _ = await self.call(
            node,
            target,
            method=method,
            body=body,
            adapter=f"a{number % 4}" if self.is_engine(path) else "",
            **{names.PROMPT_PARTS: "5c1e:568,b1:200,own:250"},
        )
        return status

    def is_engine(self, path):
        return path.startswith(("/draft/", "/check/"))

    async def start_servers(self, nodes, path):
        if self.is_engine(path):
            await self.start_fleet_of_engines(nodes)
            return
        self.configure()
        for number in range(1, PLAIN_SERVERS + 1):
            self.prepare_server(await self.start_backend(f"d{number}", "desk", ""))
        for number in range(1, nodes + 1):
            await self.start_node(number)
        await until(
            lambda: all(
                node.fleet.has_leader
                and node.is_ready
                and len(node.fleet.registry) == PLAIN_SERVERS
                for node in self.nodes
            )
        )


class CrashingRequestTest(CrashingRequestCase):
    """A request that crashes servers stops reaching them; others are served."""

    @parameterized.expand(ENGINE_PATHS + PLAIN_PATHS)
    async def test_with_a_leader(self, _name, path):
        await self.start_servers(3, path)
        self.assert_contained(await self.press(path))

    @parameterized.expand(ENGINE_PATHS + PLAIN_PATHS)
    async def test_without_a_leader(self, _name, path):
        """No leader is elected while the store does not respond."""
        await self.start_servers(4, path)
        if self.is_engine(path):
            await self.load_adapters()
        self.store.rejected_peers.add("*")
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        await until(lambda: not any(node.fleet.has_leader for node in self.nodes))
        # Engines without a leader's orders load nothing after a crash.
        for server in self.engines.values():
            server.keeps_models = True
        self.assert_contained(await self.press(path))

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_leader_changes(self, _name, path):
        """The next leader continues with what the last one learned."""
        await self.start_servers(4, path)
        pressing = asyncio.create_task(self.press(path))
        await until(lambda: len(self.crashes()) >= 2)
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        self.assert_contained(await pressing)

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_newcomer(self, _name, path):
        """An instance that starts later refuses the request without a crash."""
        await self.start_servers(2, path)
        self.judges_late_calls = False
        await self.press(path, 4.0 + HOLD_S)
        self.judges_late_calls = True
        before = len(self.crashes())
        await self.start_node(3)
        await until(lambda: self.nodes[-1].fleet.has_leader)
        self.assert_contained(await self.press(path, SOUND_AFTER_S + 2.0))
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_all_instances_restart(self, _name, path):
        """What is known outlasts all processes of the system."""
        await self.start_servers(2, path)
        self.judges_late_calls = False
        await self.press(path, 4.0 + HOLD_S)
        self.judges_late_calls = True
        before = len(self.crashes())
        for node in list(self.nodes):
            self.nodes.remove(node)
            await node.stop()
        await self.start_node(4, peer_hints=())
        await until(lambda: self.nodes[0].fleet.has_leader and self.nodes[0].is_ready)
        self.assert_contained(await self.press(path, SOUND_AFTER_S + 2.0))
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_all_instances_restart_after_two_crashes(self, _name, path):
        """As many events lead to a verdict as if the processes had gone on."""
        await self.start_servers(2, path)
        number = 0
        while len(self.crashes()) < 2:
            number += 1
            with contextlib.suppress(aiohttp.ClientError):
                await self.send(self.nodes[number % 2], path, number, is_harmful=True)
            await asyncio.sleep(CALL_PAUSE_S)
        # The servers come back meanwhile.
        await asyncio.sleep(HOLD_S)
        before = self.crashes()
        # A retry may crash the second server at once, which is the same event.
        events = 1 + sum(
            later - time_s > EVENT_WINDOW_S
            for time_s, later in itertools.pairwise(before)
        )
        for node in list(self.nodes):
            self.nodes.remove(node)
            await node.stop()
        await self.start_node(4, peer_hints=())
        await until(lambda: self.nodes[0].fleet.has_leader and self.nodes[0].is_ready)
        self.assert_contained(await self.press(path, SOUND_AFTER_S + HOLD_S))
        more = len(self.crashes()) - len(before)
        self.assertLessEqual(more, HARMFUL_EVENTS - events)


class NoEvidenceTest(PlatformCase):
    """What breaks a call to a plain service without a crash suspects no request."""

    async def start_desk(self, servers=1):
        self.configure()
        for number in range(1, servers + 1):
            await self.start_backend(f"d{number}", "desk", "")
        await self.start_node(1)
        node = self.nodes[0]
        await until(
            lambda: (
                node.is_ready
                and node.fleet.has_leader
                and len(node.fleet.registry) == servers
            )
        )
        self.evidence = node.fleet.crash_evidence
        return node

    def suspected(self):
        return self.evidence.suspected_count(boot_time())

    async def call_in_progress(self, node, path="/order/x"):
        """Return the task of a call that a server has begun to run."""
        before = sum(server.running for server in self.engines.values())
        call = asyncio.create_task(self.call(node, path))
        await until(lambda: sum(row.running for row in self.engines.values()) > before)
        return call

    async def test_silence(self):
        """A server that sends nothing until the caller's deadline."""
        node = await self.start_desk()
        self.engines["d1"].fall_silent(1.0)
        status, _, _ = await self.call(node, "/order/x", **{names.DEADLINE_MS: "200"})
        self.assertEqual(status, 504)
        self.assertEqual(self.suspected(), 0)

    async def test_network_cut(self):
        """Connections that lose all data, and are reset when the network is back."""
        node = await self.start_desk()
        server = self.engines["d1"]
        relay = PartitionRelay(server.address, lambda _ports: "node")
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.announce(server, address=relay.address)
        await until(lambda: node.fleet.registry.find("d1").address == relay.address)
        relay.block("node", PartitionMode.DROP)
        status, _, _ = await self.call(node, "/order/x", **{names.DEADLINE_MS: "200"})
        self.assertEqual(status, 504)
        relay.heal()
        self.assertEqual((await self.call(node, "/order/x"))[0], 200)
        self.assertEqual(self.suspected(), 0)

    async def test_server_that_is_leaving(self):
        """A server that stops may end its connections."""
        node = await self.start_desk()
        server = self.engines["d1"]
        server.processing_s = 5.0
        call = await self.call_in_progress(node)
        self.announce(server, state="draining")
        await until(lambda: node.fleet.registry.find("d1").is_leaving)
        await server.crash()
        self.assertEqual((await call)[0], 502)
        self.assertEqual(self.suspected(), 0)

    async def test_engine_that_is_leaving(self):
        """An engine that is announced to leave while it runs the request."""
        self.configure()
        server = await self.start_backend("e1")
        await self.start_node(1)
        node = self.nodes[0]
        self.evidence = node.fleet.crash_evidence
        await until(lambda: node.fleet.has_leader and len(node.fleet.registry) == 1)
        server.event_interval_s = 5.0
        call = await self.call_in_progress(node, "/draft/x")
        self.announce(server, state="draining")
        await until(lambda: node.fleet.registry.find("e1").is_leaving)
        await server.crash()
        self.assertEqual((await call)[0], 502)
        self.assertEqual(self.suspected(), 0)

    async def test_refused_connection(self):
        node = await self.start_desk()
        await self.engines["d1"].crash()
        self.assertEqual((await self.call(node, "/order/x"))[0], 503)
        self.assertEqual(self.suspected(), 0)

    async def test_failure(self):
        """A response with 500 shows that the server has not crashed."""
        node = await self.start_desk()
        server = self.engines["d1"]
        identity = request_identity(
            "org-1", "POST", "shop.example", "/order/x", b"body"
        )
        self.evidence.record_crash(ServerStart("d9", 1), [identity], boot_time())
        self.assertEqual(self.suspected(), 1)
        server.fail_next = 1
        self.assertEqual((await self.call(node, "/order/x"))[0], 500)
        self.assertEqual(self.suspected(), 0)

    async def test_reset_by_a_server_that_responds(self):
        """The server answers another call within a second after the reset."""
        node = await self.start_desk()
        self.engines["d1"].drop_next = 1
        status, body, _ = await self.call(node, "/order/x")
        self.assertEqual(status, 502, body)
        self.assertEqual(self.suspected(), 1)
        self.assertEqual((await self.call(node, "/order/other"))[0], 200)
        self.assertEqual(self.suspected(), 0)

    async def test_loss_of_power(self):
        """All servers at once convict no request, however many run it."""
        node = await self.start_desk(4)
        for server in self.engines.values():
            server.processing_s = 5.0
        calls = [await self.call_in_progress(node) for _ in range(12)]
        self.assertTrue(all(row.running for row in self.engines.values()))
        await asyncio.gather(*(row.crash() for row in self.engines.values()))
        await asyncio.gather(*calls)
        self.assertEqual(self.suspected(), 1)
        self.assertEqual(self.evidence.harmful_suspects(), [])


class NewcomerTest(PlatformCase):
    """A new instance has the evidence before it admits requests."""

    async def start_with_verdict(self):
        """Let a first instance store a verdict; return its identity."""
        await self.start_fleet(1)
        path = "/order/x"
        for server in self.engines.values():
            server.crashing_requests = {(path, b"body")}
        identity = request_identity("org-1", "POST", "shop.example", path, b"body")
        for number in range(3):
            self.nodes[0].fleet.crash_evidence.record_crash(
                ServerStart(f"gone-{number}", 1),
                [identity],
                boot_time() - 5.0 + number,
            )
        stored = self.nodes[0].fleet.evidence_exchange.stored
        await until(lambda: not stored.has_changes())
        return identity

    def loads(self):
        """Count the reads of the stored evidence."""
        counted = AsyncMock(side_effect=StoredEvidence.load)

        async def load(stored):
            await counted(stored)

        self.enterContext(patch.object(StoredEvidence, "load", load))
        return counted

    async def test_without_a_leader(self):
        """It reads what is stored once, and has no configuration before."""
        await self.start_with_verdict()
        first = self.nodes.pop()
        await first.stop()
        loads = self.loads()
        self.enterContext(patch.object(Fleet, "_run_election_step", AsyncMock()))
        newcomer = await self.start_node(2)
        await until(lambda: newcomer.is_ready)
        self.assertTrue(newcomer.fleet.crash_evidence.harmful_suspects())
        self.assertEqual((await self.call(newcomer, "/order/x"))[0], 503)
        arrivals = [row.harmful_arrivals for row in self.engines.values()]
        self.assertFalse(any(arrivals))
        self.assertFalse(newcomer.fleet.has_leader)
        self.assertEqual(loads.await_count, 1)

    async def test_evidence_that_is_not_read_at_first(self):
        """The configuration is not in force until the evidence has been read."""
        await self.start_with_verdict()
        first = self.nodes.pop()
        await first.stop()
        fails = [True, True]

        async def scan(store, table):
            if table == LEASE_TABLE and fails:
                fails.pop()
                return Failure(Unavailable("no answer"))
            return await unchanged(store, table)

        unchanged = InstrumentedRowStore.scan
        self.enterContext(patch.object(InstrumentedRowStore, "scan", scan))
        self.enterContext(patch.object(Fleet, "_run_election_step", AsyncMock()))
        newcomer = await self.start_node(2)
        await until(lambda: newcomer.is_ready)
        self.assertEqual(fails, [])
        self.assertTrue(newcomer.fleet.crash_evidence.harmful_suspects())

    @parameterized.expand(
        [("early", READ_DELAY_S - 0.01, False), ("late", READ_DELAY_S + 0.01, True)]
    )
    async def test_time_for_a_leader(self, _name, age_s, reads):
        """Without a leader it reads the store, but not at once."""
        await self.start_with_verdict()
        first = self.nodes.pop()
        await first.stop()
        self.enterContext(patch.object(Fleet, "_run_election_step", AsyncMock()))
        fleet = (await self.start_node(2)).fleet
        now = fleet._started_at + age_s
        with patch("sequoiafall.fleet.boot_time", return_value=now):
            self.assertEqual(fleet._should_read(), reads)

    async def test_with_a_leader(self):
        """The leader sends the evidence, and the store is not read.

        An instance that gets no reply for `READ_DELAY_S` after its start reads the
        store, and this process may not run for that long on a busy machine.
        """
        await self.start_with_verdict()
        loads = self.loads()
        self.enterContext(patch("sequoiafall.fleet.READ_DELAY_S", math.inf))
        newcomer = await self.start_node(2)
        await until(lambda: newcomer.is_ready)
        self.assertTrue(newcomer.fleet.crash_evidence.harmful_suspects())
        self.assertTrue(newcomer.fleet.evidence_exchange.is_known)
        self.assertEqual(loads.await_count, 0)


class CopiesTest(PlatformCase):
    """Requests with the same identifier at the same time are one trial only."""

    async def press_copies(self, path, crashes, with_leader):
        """Send copies of a suspected request; return how many reached servers."""
        await self.start_fleet(2)
        for server in self.engines.values():
            server.crashing_requests = {(path, b"body")}
            server.keeps_models = True
        identity = request_identity("org-1", "POST", "shop.example", path, b"body")
        if not with_leader:
            self.store.rejected_peers.add("*")
            leader = self.leader
            self.nodes.remove(leader)
            await leader.stop()
            await until(lambda: not self.nodes[0].fleet.has_leader)
            self.enterContext(
                patch("sequoiafall.trial_admission.has_turn", return_value=True)
            )
        now = boot_time()
        for node in self.nodes:
            for number in range(crashes):
                # A trial of it is due.
                at = now - QUARANTINE_S - 5.0 + number
                start = ServerStart(f"gone-{number}", 1)
                node.fleet.crash_evidence.record_crash(start, [identity], at)
        await asyncio.gather(
            *(
                self.call(node, path, request_id="copy", **{names.DEADLINE_MS: "2000"})
                for node in 4 * self.nodes
            ),
            return_exceptions=True,
        )
        return sum(len(row.harmful_arrivals) for row in self.engines.values())

    @parameterized.expand(
        [
            (f"{name}, {kind}", path, crashes)
            for name, path in ENGINE_PATHS + PLAIN_PATHS
            for kind, crashes in (("suspected", 1), ("harmful", 3))
        ]
    )
    async def test_with_a_leader(self, _name, path, crashes):
        self.assertEqual(await self.press_copies(path, crashes, True), 1)

    @parameterized.expand(ENGINE_PATHS + PLAIN_PATHS)
    async def test_without_a_leader(self, _name, path):
        """The instance that makes the trials of a suspect makes one at a time."""
        self.assertEqual(await self.press_copies(path, 1, False), 1)


class RefusalTest(PlatformCase):
    """What the caller of a harmful request gets."""

    @parameterized.expand([("plain service", "/order/x"), ("engine", "/draft/x")])
    async def test_refusal(self, _name, path):
        """It is refused at once and costs no tokens; others are served."""
        await self.start_fleet(1)
        node = self.nodes[0]
        evidence = node.fleet.crash_evidence
        identity = request_identity("org-1", "POST", "shop.example", path, b"body")
        now = boot_time()
        for number in range(3):
            start = ServerStart(f"gone-{number}", 1)
            evidence.record_crash(start, [identity], now - 3.0 + number)
        self.assertEqual(len(evidence.harmful_suspects()), 1)
        status, body, headers = await self.call(node, path)
        self.assertEqual(status, 503)
        error = json.loads(body)["error"]
        self.assertEqual(error["reason"], "harmful_request")
        self.assertEqual(error["ran"], "not run")
        self.assertIn(identity, error["detail"])
        self.assertGreater(float(headers["Retry-After"]), QUARANTINE_S / 2.0)
        self.assertEqual(sum(node.fleet.recent_use.sums(boot_time()).values()), 0)
        status, _, _ = await self.call(node, path, body=b"another body")
        self.assertEqual(status, 200)

    async def test_verdict_while_the_request_waits_for_a_permit(self):
        """Copies that waited at a server with a limit were sent after the verdict."""
        await self.start_fleet(1)
        node = self.nodes[0]
        path = "/order/x"
        identity = request_identity("org-1", "POST", "shop.example", path, b"body")
        for server in self.engines.values():
            server.crashing_requests = {(path, b"body")}
        choose = node.forwarder._choose_plain

        async def convict(exchange, entries):
            choice = await choose(exchange, entries)
            now = boot_time()
            for number in range(3):
                start = ServerStart(f"gone-{number}", 1)
                node.fleet.crash_evidence.record_crash(
                    start, [identity], now - 3.0 + number
                )
            return choice

        with patch.object(node.forwarder, "_choose_plain", convict):
            status, body, _ = await self.call(node, path)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["error"]["reason"], "harmful_request")
        arrivals = sum(len(row.harmful_arrivals) for row in self.engines.values())
        self.assertEqual(arrivals, 0)

    async def test_suspicion_while_the_request_waits_for_a_permit(self):
        """It is admitted again, to the same servers, and charged once."""
        await self.start_fleet(1)
        node = self.nodes[0]
        path = "/order/x"
        identity = request_identity("org-1", "POST", "shop.example", path, b"body")
        await self.call(node, path, body=b"another body")
        tokens = sum(node.fleet.recent_use.sums(boot_time()).values())
        choose = node.forwarder._choose_plain

        async def suspect(exchange, entries):
            choice = await choose(exchange, entries)
            start = ServerStart("gone", 1)
            node.fleet.crash_evidence.record_crash(start, [identity], boot_time())
            self.assertEqual(exchange.excluded, set())
            return choice

        with patch.object(node.forwarder, "_choose_plain", suspect):
            status, _, _ = await self.call(node, path)
        self.assertEqual(status, 200)
        both = sum(node.fleet.recent_use.sums(boot_time()).values())
        self.assertEqual(both, 2 * tokens)
