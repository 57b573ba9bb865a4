"""Tests of the simulated backend servers over HTTP."""

import asyncio
import json
import time
import unittest

import aiohttp
from parameterized import parameterized

from sequoiafall.standins.engine import Engine, EngineConfig
from sequoiafall.standins.generation import completion_text, token_text
from sequoiafall.standins.plain_service import PlainService

from .events import until

PROMPT = "one two three"
ADAPTER_NOT_RESIDENT = "adapter_not_resident"
HEADERS = {"X-Request-Id": "r1", "X-Adapter": "a", "X-Adapter-Version": "1"}


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """Other tests rely on the exact behaviour of the simulated engine."""

    async def asyncSetUp(self):
        config = EngineConfig(
            checks_fencing=True, adapter_slots=2, load_seconds=0.01, token_seconds=0.001
        )
        self.engine = Engine(config)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.session = aiohttp.ClientSession(f"http://{self.engine.address}")
        self.addAsyncCleanup(self.session.close)
        await self.order("load", "a")

    async def order(self, name, adapter, token=1):
        """Send an order and return the HTTP status."""
        order = {"adapter": adapter, "version": "1", "fencing_token": token}
        async with self.session.post(f"/orders/{name}", json=order) as response:
            return response.status

    async def complete(self, max_tokens=4, stream=True, **headers):
        """Request a completion and return the HTTP status and the body."""
        body = {"model": "a", "prompt": PROMPT, "max_tokens": max_tokens}
        async with self.session.post(
            "/v1/completions",
            json={**body, "stream": stream},
            headers={**HEADERS, **headers},
        ) as response:
            return response.status, await response.text()

    async def set_faults(self, **faults):
        """Set faults of the engine."""
        async with self.session.post("/faults", json=faults) as response:
            self.assertEqual(response.status, 200)

    def token_events(self, text):
        """Return the identifier and the text of each event."""
        events = [event.split("\n") for event in text.split("\n\n") if event]
        return [
            (name.removeprefix("id: "), json.loads(data[6:])["choices"][0]["text"])
            for name, data in events
            if data != "data: [DONE]"
        ]

    @parameterized.expand([("whole", 0), ("resumed", 2)])
    async def test_stream(self, _name, offset):
        _, text = await self.complete(**{"X-Resume-Offset": str(offset)})
        expected = [
            (f"r1:{i}", token_text(PROMPT, "a", "1", i)) for i in range(offset, 4)
        ]
        self.assertEqual(self.token_events(text), expected)
        self.assertTrue(text.endswith("id: r1:4\ndata: [DONE]\n\n"))

    async def test_whole_answer(self):
        _, text = await self.complete(stream=False)
        completion = json.loads(text)["choices"][0]["text"]
        self.assertEqual(completion, completion_text(PROMPT, "a", "1", 4))

    async def test_absent_adapter_is_refused(self):
        status, text = await self.complete(**{"X-Adapter": "b"})
        self.assertEqual(
            (status, json.loads(text)["reason"]), (409, ADAPTER_NOT_RESIDENT)
        )

    @parameterized.expand(
        [
            ("doubled", {"doubled": True}, 8, 4),
            ("crossed", {"crossed": True}, 8, 4),
            ("late", {"late_s": 0.01}, 4, 4),
        ]
    )
    async def test_faulty_pieces(self, _name, faults, count, own_count):
        await self.set_faults(**faults)
        token_events = self.token_events((await self.complete())[1])
        self.assertEqual(len(token_events), count)
        self.assertEqual(
            len({p for p in token_events if p[0].startswith("r1:")}), own_count
        )

    @parameterized.expand([("cut",), ("evict",), ("restart",)])
    async def test_stream_is_cut(self, name):
        faults = {"cut": {"cut_after": 2}, "restart": {"cold_restart": True}}
        request = asyncio.ensure_future(self.complete(max_tokens=10_000))
        await until(lambda: self.engine.batch.running)
        if name == "evict":
            await self.order("evict", "a")
            self.assertEqual(self.engine.killed_by_eviction, ["r1"])
        else:
            await self.set_faults(**faults[name])
        with self.assertRaises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(request, 20.0)

    @parameterized.expand(
        [
            ("done", "b", 1, [], 200),
            ("old_token", "b", 0, [], 409),
            ("load_fails", "b", 1, ["b"], 502),
            ("no_slot", "c", 1, [], 409),
        ]
    )
    async def test_load(self, name, adapter, token, fail_loads, status):
        if name == "no_slot":
            await self.order("load", "b")
        await self.set_faults(fail_loads=fail_loads)
        self.assertEqual(await self.order("load", adapter, token), status)

    async def test_export_ends_the_stream(self):
        request = asyncio.ensure_future(self.complete(max_tokens=10_000))
        await until(lambda: self.engine.batch.running)
        async with self.session.post("/streams/r1/export") as response:
            exported = await response.json()
        _, text = await asyncio.wait_for(request, 20.0)
        self.assertIn("event: moved", text)
        self.assertEqual(exported["request_id"], "r1")

    @parameterized.expand([("gap", 2, [1, 3]), ("none", 0, [1, 2, 3])])
    async def test_cache_events(self, _name, gap, sequences):
        await self.set_faults(cache_events_gap=gap)
        self.engine.cache.use([11, 12, 13])
        async with self.session.get("/cache-events?after=0") as response:
            events = (await response.json())["events"]
        self.assertEqual([event["sequence"] for event in events], sequences)

    async def test_records_what_arrives(self):
        await self.complete(**{"X-Extra": "seen"})
        async with self.session.get("/recorded") as response:
            recorded = (await response.json())["recorded"][-1]
        self.assertIn(["X-Extra", "seen"], recorded["headers"])
        self.assertEqual(json.loads(recorded["body"])["prompt"], PROMPT)


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    """The counts must show whether a call was handled."""

    @parameterized.expand([("", 1), ("before", 0), ("during", 1), ("after", 1)])
    async def test_close(self, close, handled):
        service = PlainService("127.0.0.1:0", "plain")
        await service.start()
        self.addAsyncCleanup(service.stop)
        service.faults.close = close
        answered = False
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    f"http://{service.address}/orders",
                    data=b"wood",
                    headers={"X-Request-Id": "r1", "Idempotency-Key": "k"},
                ) as response:
                    answered = bool(await response.read())
            except aiohttp.ClientError:
                answered = False
        self.assertEqual(answered, not close)
        self.assertEqual(service.handled_by_request_id["r1"], handled)
        self.assertEqual(service.handled_by_idempotency_key["k"], handled)


class ServerFaultsTest(unittest.IsolatedAsyncioTestCase):
    """A request crashes the server that runs it; a silent server goes on.

    Tests of both troubles rely on these faults.
    """

    DEADLY = ("/orders?part=1", "deadly")

    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start(self, service, **faults):
        """Start a server and set its faults."""
        await service.start()
        self.addAsyncCleanup(service.stop)
        url = f"http://{service.address}"
        async with self.session.post(f"{url}/faults", json=faults) as response:
            self.assertEqual(response.status, 200)
        return url

    async def test_plain_service_crashes_and_comes_back(self):
        service = PlainService("127.0.0.1:0", "plain")
        url = await self.start(service, crashing_requests=[self.DEADLY], down_s=0.05)
        service.faults.hold = "answer"
        beside = asyncio.ensure_future(
            self.session.post(
                f"{url}/orders", data=b"wood", headers={"X-Request-Id": "r1"}
            )
        )
        await until(lambda: service.handled_by_request_id["r1"])
        with self.assertRaises(aiohttp.ClientError):
            await self.session.post(url + self.DEADLY[0], data=b"deadly")
        with self.assertRaises(aiohttp.ClientError):
            await beside
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.session.post(f"{url}/orders", data=b"wood")
        service.faults.hold = ""
        statuses = []
        while not statuses:
            try:
                async with self.session.post(f"{url}/orders", data=b"x") as response:
                    statuses.append(response.status)
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.01)
        self.assertEqual((statuses, service.crashes), ([200], 1))

    @parameterized.expand(
        [("another body", "/orders?part=1", "x"), ("another path", "/orders", "deadly")]
    )
    async def test_similar_request_is_handled(self, _name, target, body):
        service = PlainService("127.0.0.1:0", "plain")
        url = await self.start(service, crashing_requests=[self.DEADLY])
        async with self.session.post(url + target, data=body) as response:
            self.assertEqual((response.status, service.crashes), (200, 0))

    async def test_engine_crashes_and_forgets_its_adapters(self):
        engine = Engine(EngineConfig(load_seconds=0.01, token_seconds=0.001))
        body = json.dumps({"prompt": PROMPT, "stream": True})
        target = "/v1/completions?part=1"
        url = await self.start(engine, crashing_requests=[(target, body)])
        order = {"adapter": "a", "version": "1"}
        await self.session.post(f"{url}/orders/load", json=order)
        with self.assertRaises(aiohttp.ClientError):
            await self.session.post(url + target, data=body, headers=HEADERS)
        self.assertEqual((engine.crashes, engine.resident), (1, set()))

    async def test_silent_engine_goes_on(self):
        engine = Engine(EngineConfig(load_seconds=0.01, token_seconds=0.001))
        url = await self.start(engine)
        order = {"adapter": "a", "version": "1"}
        await self.session.post(f"{url}/orders/load", json=order)
        body = {"prompt": PROMPT, "stream": True, "max_tokens": 4}
        async with self.session.post(f"{url}/faults", json={"silent_s": 60.0}):
            request = asyncio.ensure_future(
                self.session.post(f"{url}/v1/completions", json=body, headers=HEADERS)
            )
        await until(lambda: len(engine.recorded) == 2)
        self.assertFalse(request.done() or engine.batch.running)
        async with self.session.post(f"{url}/faults", json={"silent_s": 0.0}):
            pass
        text = await (await asyncio.wait_for(request, 20.0)).text()
        self.assertTrue(text.endswith("id: r1:4\ndata: [DONE]\n\n"))

    async def test_silent_plain_service_goes_on(self):
        service = PlainService("127.0.0.1:0", "plain")
        url = await self.start(service, silent_s=0.1)
        async with self.session.post(f"{url}/orders", data=b"wood") as response:
            self.assertEqual(response.status, 200)
        self.assertGreaterEqual(time.monotonic(), service._silent_until)
