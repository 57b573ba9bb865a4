"""Tests of the pool service against engines and plain services over HTTP."""

import asyncio
import unittest

import aiohttp
from parameterized import parameterized

from sequoiafall.engine_client import EngineClient
from sequoiafall.load_budget import LoadLimits
from sequoiafall.order_client import OrderClient, PoolOrderOutcome
from sequoiafall.pool_service import PoolService
from sequoiafall.standins.engine import Engine, EngineConfig
from sequoiafall.standins.generation import completion_text
from sequoiafall.standins.plain_service import PlainService
from sequoiafall.table import BackendServer, Organisation, TableState
from sequoiafall.wire.gen.ttypes import (
    PlaceEntry,
    PlaceRequest,
    PlaceState,
    PlaceUpdate,
)

from .events import EVENT_TIMEOUT_S, until


def place_request(request_id="r1", adapter="a", **values):
    """Return a place request with default values."""
    fields = {
        "request_id": request_id,
        "gateway": "g",
        "pool": "p",
        "organisation": "o",
        "adapter": adapter,
        "version": "1" if adapter else "",
        "prompt_tokens": 4,
        "max_tokens": 8,
        "excluded_servers": [],
        "wait_ms": 8000,
        "prefix_hashes": [],
    }
    return PlaceRequest(**{**fields, **values})


class PoolServiceTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts one engine and an owner of its pool."""

    async def asyncSetUp(self):
        self.may_act = True
        config = EngineConfig(
            name="s0", checks_fencing=True, load_seconds=0.01, token_seconds=0.001
        )
        self.engine = Engine(config)
        await self.start(self.engine)
        self.state = TableState()
        self.state.organisations_by_name["o"] = Organisation("o", 1.0, 1.0, 1.0)
        self.add_server("s0", self.engine.address)
        self.pool = await self.start_owner(token=2)

    async def start(self, service):
        """Start a service and stop it after the test."""
        await service.start()
        self.addAsyncCleanup(service.stop)

    def add_server(self, name, address, kind="engine"):
        """Add a backend server to the table."""
        row = BackendServer(
            name, address, kind, "p", "z", "in_service", True, adapter_slots=2, places=2
        )
        self.state.backend_servers_by_name[name] = row

    async def start_owner(self, token, borrow=None):
        """Start an owner that may act immediately."""
        pool = PoolService("p", token, 0.0, lambda: self.may_act, borrow)
        await self.start(pool)
        pool.apply_table(self.state)
        return pool

    async def place(self, request, pool=None):
        """Request a place within the timeout for events."""
        waiting = (pool or self.pool).place(request)
        return await asyncio.wait_for(waiting, EVENT_TIMEOUT_S)

    def orders(self):
        """Return the paths of the orders that the engine received."""
        paths = [recorded["path"] for recorded in self.engine.recorded]
        return [path for path in paths if path.startswith("/orders/")]


class PlaceTest(PoolServiceTestCase):
    """Places must be granted at servers that can run the request."""

    async def test_adapter_is_loaded_first(self):
        """Guards against places at servers without the adapter."""
        reply = await self.place(place_request())
        self.assertEqual((reply.reason, reply.backend_server), ("", "s0"))
        self.assertTrue(reply.waited_for_load)
        headers = {"X-Request-Id": "r1", "X-Adapter": "a", "X-Adapter-Version": "1"}
        body = {"model": "a", "prompt": "x", "max_tokens": 8}
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{reply.address}/v1/completions", json=body, headers=headers
            ) as response,
        ):
            completion = await response.json()
        self.assertEqual(
            completion["choices"][0]["text"], completion_text("x", "a", "1", 8)
        )

    async def test_plain_service_needs_no_adapter(self):
        """Guards against waiting for reports that plain services never send."""
        service = PlainService("127.0.0.1:0", "plain")
        await self.start(service)
        self.state.backend_servers_by_name.clear()
        self.add_server("plain", service.address, kind="plain")
        pool = await self.start_owner(token=2)
        replies = [
            await self.place(place_request(f"r{n}", adapter=""), pool) for n in range(2)
        ]
        self.assertEqual([reply.address for reply in replies], [service.address] * 2)
        third = asyncio.ensure_future(pool.place(place_request("r2", adapter="")))
        entry = PlaceEntry(
            replies[0].place_id,
            "r0",
            PlaceState.RELEASED,
            "o",
            "",
            "",
            "plain",
            0,
            "ok",
        )
        await pool.update(PlaceUpdate("g", "p", [entry]))
        reply = await asyncio.wait_for(third, EVENT_TIMEOUT_S)
        self.assertEqual(reply.reason, "")

    async def test_loads_are_borrowed(self):
        """Guards against requests that wait while other pools have loads to spare."""
        asked = []

        async def borrow(pool, loads):
            asked.append((pool, loads))
            return loads

        pool = await self.start_owner(2, borrow)
        pool.set_load_limits(LoadLimits(rate_per_s=0.0, burst=1.0))
        requests = (place_request("r0", adapter="a"), place_request("r1", adapter="b"))
        replies = await asyncio.gather(*(self.place(r, pool) for r in requests))
        self.assertEqual([reply.reason for reply in replies], ["", ""])
        self.assertEqual(asked, [("p", 1)])

    async def test_former_owner_lends_nothing(self):
        """Guards against lending budget that the next owner has as well."""
        await self.place(place_request())
        self.assertEqual(self.pool.lend_loads(1), 1)
        self.may_act = False
        self.assertEqual(self.pool.lend_loads(1), 0)

    async def test_failing_load_is_refused(self):
        """Guards against requests that wait for a load that always fails."""
        self.engine.faults.fail_loads = ["*"]
        reply = await self.place(place_request())
        self.assertEqual(reply.reason, "adapter_load_failed")

    async def test_cancelled_call_leaves_the_queue(self):
        """Guards against places for gateways that have disconnected."""
        self.engine.config.load_seconds = 5.0
        waiting = asyncio.ensure_future(self.pool.place(place_request()))
        await until(lambda: self.engine.loading)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.pool.status()["waiting"], {})

    async def test_cold_restart_loads_again(self):
        """Guards against places for adapters that a restart has lost."""
        await self.place(place_request("r1"))
        self.engine.faults.cold_restart = True
        await self.engine.on_faults({"cold_restart"})
        incarnation = self.engine.incarnation
        server = self.pool._scheduler.servers_by_name["s0"]
        await until(lambda: server.incarnation == incarnation)
        reply = await self.place(place_request("r2"))
        self.assertTrue(reply.waited_for_load)
        self.assertIn(("a", "1"), self.engine.resident)


class OwnershipTest(PoolServiceTestCase):
    """An instance that may not act must change nothing at an engine."""

    async def test_refuses_and_sends_nothing(self):
        """Guards against acting after the ownership was lost."""
        self.may_act = False
        reply = await self.place(place_request())
        self.assertEqual(reply.reason, "owner_unavailable")
        self.assertEqual(self.orders(), [])

    async def test_waiting_calls_are_refused(self):
        """Guards against gateways waiting at an instance that has lost the pool."""
        self.engine.config.load_seconds = 5.0
        waiting = asyncio.ensure_future(self.pool.place(place_request()))
        await until(lambda: self.engine.loading)
        self.may_act = False
        reply = await asyncio.wait_for(waiting, EVENT_TIMEOUT_S)
        self.assertEqual(reply.reason, "owner_unavailable")

    @parameterized.expand([("load",), ("evict",)])
    async def test_order_is_checked_after_connecting(self, name):
        """Guards against sending an order after a connection that took too long."""
        ownership_checks = iter([True])
        engines = EngineClient()
        self.addAsyncCleanup(engines.close)
        client = OrderClient(
            engines, lambda: next(ownership_checks, False), lambda: 0.0
        )
        order = getattr(client, name)
        first = await order(self.engine.address, "b", "1", 2)
        second = await order(self.engine.address, "b", "1", 2)
        self.assertEqual(
            (first, second), (PoolOrderOutcome.DONE, PoolOrderOutcome.NOT_SENT)
        )
        self.assertEqual(self.orders(), [f"/orders/{name}"])

    async def test_old_token_is_refused(self):
        """Guards against orders of a former owner at an engine that checks tokens."""
        await self.place(place_request())
        former = await self.start_owner(token=1)
        reply = await self.place(place_request("r2", "b"), former)
        self.assertEqual(reply.reason, "adapter_load_failed")
        self.assertNotIn(("b", "1"), self.engine.resident)

    async def test_handover_keeps_places(self):
        """Guards against a planned stop that loses places in use."""
        reply = await self.place(place_request())
        successor = await self.start_owner(token=3)
        self.assertTrue(successor.accept_handover(self.pool.hand_over()))
        server = successor._scheduler.servers_by_name["s0"]
        self.assertTrue(server.is_pinned(("a", "1")))
        self.assertEqual(server.reports_valid_from, 0.0, "no wait for unknown places")
        entry = PlaceEntry(
            reply.place_id, "r1", PlaceState.RELEASED, "o", "a", "1", "s0", 8, "ok"
        )
        ack = await successor.update(PlaceUpdate("g", "p", [entry]))
        self.assertTrue(ack.accepted)
        self.assertFalse(server.is_pinned(("a", "1")))

    @parameterized.expand([("",), ("[]",), ('{"places": [{}]}',), ("\0",)])
    async def test_malformed_handover_is_refused(self, state):
        """Guards against a malformed state that stops the service."""
        self.assertFalse(self.pool.accept_handover(state))
