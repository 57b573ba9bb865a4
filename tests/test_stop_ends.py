"""Tests of work that has begun and whose end lies behind the end of a process."""

import asyncio
import random
import re
import socket
import sys
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import aiohttp

from sequoiafall.boot_clock import boot_time
from sequoiafall.lease_keeper import LeaseKeeper
from sequoiafall.place_source import GatewayPlace, PendingPlacement, PlaceSource
from sequoiafall.platform import names
from sequoiafall.wire.gen import ttypes

from .events import until
from .gateway_case import capture_log
from .platform_case import configuration
from .test_final_responses import FinalResponseCase
from .test_place_source import CountingControl, FakeFleet

# A service whose event loop is busy as a signal arrives. It prints the times of the
# signal, of the end of that iteration and from which its stop counts.
BUSY_SERVICE = """
import asyncio, os, signal, time
from mode import Service
from sequoiafall.boot_clock import boot_time
from sequoiafall.process import run_service, stop_requested_at

class Busy(Service):
    times = ()

    async def on_started(self):
        asyncio.get_running_loop().call_soon(self.spend)

    def spend(self):
        sent_at = boot_time()
        if not self.times:
            os.kill(os.getpid(), signal.SIGTERM)
        until = time.monotonic() + 0.2
        while time.monotonic() < until:
            pass
        self.times = self.times or (sent_at, boot_time())
        asyncio.get_running_loop().call_soon(self.spend)

    async def on_stop(self):
        print(*self.times, min(boot_time(), stop_requested_at()), flush=True)
        self.spend = lambda: None

run_service(Busy())
"""


class StopEndsTest(FinalResponseCase):
    """Streams and answers that are open when their process is stopped."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = self.enterContext(capture_log())
        self.node, *_ = await self.start_fleet(1)

    def end_of(self, request_id):
        """Return the log line on the end of a request, empty if there is none."""
        text = f"event=request_ended request_id={request_id} "
        return next((line for line in self.lines if text in line), "")

    async def start_others(self, last):
        """Start further nodes and wait until all of them serve."""
        for number in range(2, last + 1):
            await self.start_node(number)
        routes = [{**row, "timeout_ms": 12_000} for row in configuration()["routes"]]
        self.configure(2, routes=routes)
        await until(
            lambda: all(
                node.is_ready
                and node.fleet.has_leader
                and node.fleet.catalog.version == 2
                for node in self.nodes
            )
        )

    async def begin_stream(self, node):
        """Begin a stream that stops after two events; return its engine and call."""
        await self.call(node, "/draft/x", adapter="a1")
        first = next(row for row in self.engines.values() if row.runs["r1"])
        first.pause_after_events = 2
        fields = {names.DEADLINE_MS: "12000"}
        call = asyncio.create_task(
            self.call(node, "/draft/x", adapter="a1", request_id="silent", **fields)
        )
        await until(lambda: first.runs["silent"])
        await asyncio.sleep(0.1)
        return first, call

    async def begin_refused_move(self, node):
        """Begin a stream that a second engine refuses while its own one is silent."""
        first, call = await self.begin_stream(node)
        for name in ("e1", "e2"):
            self.engines[name].shed_next = 1000
        await until(lambda: any("outcome=not_run" in row for row in self.lines))
        return first, call

    def begin_stop(self, node, grace_s):
        node.settings.grace_s = grace_s
        self.nodes.remove(node)
        return asyncio.create_task(node.stop())

    async def status_of(self, call):
        try:
            return (await call)[0]
        except aiohttp.ClientPayloadError:
            return "cut"

    async def test_stream_that_moved_right_before_the_signal(self):
        """Guards against streams that left a sound server for one that refuses.

        No server works on the stream when the process ends it.
        """
        await self.start_others(2)
        _, call = await self.begin_refused_move(self.nodes[1])
        stopping = self.begin_stop(self.nodes[1], 2.0)
        status = await self.status_of(call)
        await stopping
        end = self.end_of("silent")
        sent = re.search(r" end=stopped .* send_ended_ms=(\d+)", end)
        if status != 200:
            self.assertIsNotNone(sent, end)
            self.assertLess(int(sent[1]), 100, "no server worked on the stream")

    async def test_silent_engine_before_the_first_event(self):
        """Guards against streams that wait for a silent engine until a stop ends.

        Nothing of their response was sent, so a refusal would be complete.
        """
        await self.start_others(2)
        node = self.nodes[1]
        await self.call(node, "/draft/x", adapter="a1")
        first = next(row for row in self.engines.values() if row.runs["r1"])
        first.fall_silent(30.0)
        fields = {names.DEADLINE_MS: "12000"}
        call = asyncio.create_task(
            self.call(node, "/draft/x", adapter="a1", request_id="silent", **fields)
        )
        await until(lambda: "silent" in first.received_request_ids)
        stopping = self.begin_stop(node, 8.0)
        status = await self.status_of(call)
        await stopping
        self.assertEqual(status, 200, self.end_of("silent"))

    async def test_begun_stream_without_a_retry(self):
        """Guards against streams that wait for a retry that no request earns.

        New requests earn retries, and a stopping instance gets none. The engines have
        room again seconds before the process ends the stream.
        """
        await self.start_others(2)
        node = self.nodes[1]
        first, call = await self.begin_refused_move(node)
        node.forwarder._retry_budget("assist")._saved = 1.0
        first.reset_connections()
        await until(lambda: any("outcome=broken" in row for row in self.lines))
        # Other requests used the retries up.
        node.forwarder._retry_budget("assist")._saved = 0.0
        stopping = self.begin_stop(node, 6.0)
        await asyncio.sleep(1.5)
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = -1
            self.engines[name].shed_next = 0
        status = await self.status_of(call)
        await stopping
        self.assertEqual(status, 200, self.end_of("silent"))

    async def test_place_after_a_change_of_leader(self):
        """Guards against stopping instances that no new leader is announced to.

        The engine of a stream crashes, and only a leader loads the adapter elsewhere.
        """
        await self.start_others(3)
        leader = self.leader
        member, third = [row for row in self.nodes if row is not leader]
        first, call = await self.begin_stream(member)
        first.down_s = 60.0
        stopping = [self.begin_stop(member, 6.0)]
        await asyncio.sleep(0.5)
        stopping.append(self.begin_stop(leader, 6.0))
        await until(lambda: third.fleet.lease.leads)
        await asyncio.sleep(0.5)
        await first.crash()
        status = await self.status_of(call)
        has_leader = member.fleet.has_leader
        await asyncio.gather(*stopping)
        self.assertEqual((status, has_leader), (200, True), self.end_of("silent"))

    async def test_error_while_the_lease_is_released(self):
        """Guards against a stop that an error ends before its requests have ended."""
        _, call = await self.begin_stream(self.node)
        with patch.object(LeaseKeeper, "release", side_effect=KeyError("k")):
            stopping = self.begin_stop(self.node, 4.0)
            await asyncio.wait({stopping})
        # The process ends here.
        is_open = not call.done()
        call.cancel()
        self.assertFalse(is_open, repr(stopping.exception()))

    async def test_answer_that_a_slow_caller_has_not_taken(self):
        """Guards against a process that ends with the end of an answer in its buffer.

        The request counts as ended, and a part of the grace period is left.
        """
        await self.call(self.node, "/draft/x", adapter="a1")
        for name in ("e1", "e2"):
            self.engines[name].padding_bytes = 8_000
            self.engines[name].pause_after_events = 0
        _, writer = await self.connect(self.node, 4096)
        writer.transport.pause_reading()
        fields = {names.MODEL: "base/a1", names.TOKENS: "1000,20"}
        fields[names.REQUEST_ID] = "slow"
        writer.write(self.head("/draft/x", **fields) + b"body")
        await until(lambda: self.node.forwarder.open_requests)
        (open_request,) = self.node.forwarder._ends._open
        transport = open_request._web_request.transport
        # As on a link that is slower than loopback.
        opened = transport.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for name in ("e1", "e2"):
            self.engines[name].pause_after_events = -1
            self.engines[name].resume_event.set()
        await until(lambda: self.end_of("slow"))
        self.assertIn("end=ok", self.end_of("slow"))
        stopping = self.begin_stop(self.node, 4.0)
        began_at = boot_time()
        # The caller reads on after most of the grace period.
        asyncio.get_running_loop().call_later(3.2, writer.transport.resume_reading)
        await stopping
        self.assertEqual(transport.get_write_buffer_size(), 0, boot_time() - began_at)


class PlaceAtLeaderTest(unittest.IsolatedAsyncioTestCase):
    """A request waits for a place at a leader that stops."""

    async def test_next_leader_is_awaited(self):
        """Guards against requests that are refused because their leader stops.

        The time that they waited at the leader counts as time without one.
        """

        class ChangingFleet(FakeFleet):
            """A fleet whose leader ends after 1.1 s, and has a successor in 0.2 s."""

            has_leader = True
            settings = SimpleNamespace(zone="z1", instance="node-1")
            requests = 0

            def __init__(self):
                super().__init__(False)
                self.places_by_request_and_server = {}

            async def request_place(self, _request, _timeout_s):
                """Answer as a leader that ends, and then as the next one."""
                self.requests += 1
                reason = "owner_unavailable" if self.requests == 1 else ""
                if reason:
                    await asyncio.sleep(1.1)
                    self.has_leader = False
                    asyncio.get_running_loop().call_later(0.2, self.elect)
                return ttypes.EngineAnswer(
                    server="e1",
                    version=1,
                    reason=reason,
                    retry_after_ms=0,
                    charged=True,
                    detail="",
                    address="10.0.0.1:80",
                )

            def elect(self):
                """Let the next leader reply."""
                self.has_leader = True

        source = PlaceSource(ChangingFleet(), CountingControl(), random.Random(1))
        request = SimpleNamespace(
            request_id="r1", run_id="r1", adapter="a1", suspects=(), prompt_tokens=1
        )
        now = boot_time()
        pending = PendingPlacement(request, "assist", None, 0, 1, now + 0.8, now + 4.0)
        place = await source.take(pending, frozenset())
        self.assertIsInstance(place, GatewayPlace)


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """The stop of a process counts from its signal."""

    async def test_stop_of_a_busy_process(self):
        """Guards against streams that are taken over 3 s after the signal, and cut.

        They are taken in the first 2.5 s of a stop, which began four iterations of a
        busy event loop after the signal.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", BUSY_SERVICE, stdout=asyncio.subprocess.PIPE
        )
        try:
            line = await process.stdout.readline()
        finally:
            process.kill()
            await process.wait()
        sent_at, iteration_ended_at, counts_from = map(float, line.split())
        self.assertLessEqual(sent_at, counts_from)
        self.assertLessEqual(counts_from, iteration_ended_at)


class LateStopTest(FinalResponseCase):
    """A stop that begins late ends when the grace period says so."""

    async def test_grace_period_counts_from_the_signal(self):
        node, *_ = await self.start_fleet(1)
        node.settings.grace_s = 2.0
        signal_at = boot_time() - 0.7
        with patch("sequoiafall.node.stop_requested_at", lambda: signal_at):
            self.nodes.remove(node)
            await node.stop()
        self.assertEqual(node.forwarder.stop_period.since_s(signal_at + 2.5), 2.5)
