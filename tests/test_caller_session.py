"""Compares a complete session of a caller with a golden file.

Set ``UPDATE_GOLDEN=1`` to update the file after an intended change.
"""

import json
import os
import re
import time
from pathlib import Path

from parameterized import parameterized
from returns.result import Failure

from sequoiafall.backend_registry import BackendEntry
from sequoiafall.engine_client import EngineClient
from sequoiafall.order_client import OrderClient
from sequoiafall.platform.engines import PlatformEngines

from .gateway_case import SECRETS, GatewayTestCase

GOLDEN = Path(__file__).parent / "golden" / "caller_session.txt"
SHOWN_HEADERS = (
    "Content-Type",
    "X-Request-Id",
    "X-Adapter",
    "X-Adapter-Version",
    "Retry-After",
    "Idempotent-Replayed",
)
COMPLETIONS = "/v1/completions"
SPOON = {"model": "oak", "prompt": "a spoon", "max_tokens": 3}
CHAT = {"model": "oak@9", "messages": [{"role": "user", "content": "a bowl"}]}


class CallerSessionTest(GatewayTestCase):
    """Detects unintended changes of the API that callers see."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.maxDiff = None
        self.lines = []
        self.poll_service = None

    async def test_session(self):
        await self.compare_session()

    @parameterized.expand([("controller",), ("platform_instance",)])
    async def test_session_at_the_reused_address_of_an_engine(self, poller):
        """An instance of another test still polls the engine that had the address.

        Its polls consumed the fault of the call that is to be cut.
        """
        self.poll_service = getattr(self, f"poll_as_{poller}")
        await self.compare_session()

    async def poll_as_controller(self, address):
        """Poll an address as the owner of a pool polls an engine."""
        engines = EngineClient()
        self.addAsyncCleanup(engines.close)
        client = OrderClient(engines, lambda: True, time.monotonic)
        for result in (
            await client.state("e3", address),
            await client.cache_events(address, 0),
            await client.cache_snapshot(address),
        ):
            self.assertIsInstance(result, Failure)
            # It has reached the service.
            self.assertTrue(result.failure().was_sent)

    async def poll_as_platform_instance(self, address):
        """Poll an address as a leader on the users' platform polls an engine."""
        engines = PlatformEngines()
        self.addAsyncCleanup(engines.close)
        entry = BackendEntry("e3", "assist", address, "a", 64, False)
        self.assertIsNone(await engines.report(entry))

    async def compare_session(self):
        """Record the session and compare it with the golden file."""
        await self.successful_requests()
        await self.refused_requests()
        await self.edit(("key", "carvers-key", {"state": "withdrawn"}))
        await self.record("POST", COMPLETIONS, body=SPOON)
        text = re.sub(r"gw-0-[0-9a-f]+-(\d+)", r"request-\1", "\n".join(self.lines))
        for secret in SECRETS.values():
            self.assertNotIn(secret, text)
        if os.environ.get("UPDATE_GOLDEN"):
            GOLDEN.write_text(text)
        # Shown on failure: an unexpected call to the service may have consumed a fault.
        received = [
            f"{call['method']} {call['path']} {call['headers']}"
            for call in self.service.recorded
        ]
        self.assertEqual(text, GOLDEN.read_text(), "\n".join(received))

    async def successful_requests(self):
        """Send requests that succeed."""
        await self.record("GET", "/v1/directory?organisation=carvers", key=None)
        await self.record("GET", "/v1/models")
        await self.record("POST", COMPLETIONS, body={**SPOON, "stream": True})
        await self.record("POST", COMPLETIONS, body=SPOON)
        chat = {**CHAT, "max_tokens": 2}
        await self.record("POST", "/v1/chat/completions", body=chat)
        chat["stream"] = True
        await self.record("POST", "/v1/chat/completions", body=chat)
        await self.record("GET", "/services/stock/planks?wood=oak")
        for body in ({"planks": 10}, {"planks": 10}, {"planks": 20}):
            await self.record(
                "POST", "/services/orders/buy", body=body, idempotency_key="order-1"
            )

    async def refused_requests(self):
        """Send requests that are refused or fail."""
        await self.record("POST", COMPLETIONS, key=None, body=SPOON)
        await self.record("POST", COMPLETIONS, key="clogs", body=SPOON)
        await self.record("POST", COMPLETIONS, body={**SPOON, "model": "oak@11"})
        await self.record("POST", COMPLETIONS, body={"model": "oak"})
        await self.record("GET", "/v1/none")
        self.control.quota_reason = "rate_exceeded"
        await self.record("POST", COMPLETIONS, body={**SPOON, "max_tokens": 900})
        self.control.quota_reason = ""
        self.platform.available = False
        buy = {"body": {"planks": 30}, "idempotency_key": "order-2"}
        await self.record("POST", "/services/orders/buy", **buy)
        self.platform.available = True
        await self.set_faults(self.service, close="after", close_times=1)
        if self.poll_service is not None:
            await self.poll_service(self.service.address)
        for _ in range(2):
            await self.record("POST", "/services/orders/buy", **buy)
        for engine in self.engines:
            await self.set_faults(engine, wrong_version="9")
        await self.record("POST", COMPLETIONS, body={**SPOON, "stream": True})
        for engine in self.engines:
            await self.set_faults(engine, wrong_version="", cut_after=1)
        body = {**SPOON, "stream": True, "max_tokens": 12}
        await self.record("POST", COMPLETIONS, body=body)
        self.make_stale()
        await self.record("POST", COMPLETIONS, body=SPOON)
        await self.make_fresh()

    async def record(
        self, method, path, key="carvers", body=None, idempotency_key=None
    ):
        """Send a request and record it with its response."""
        headers = self.headers(key) if key else {}
        self.lines.append(f"> {method} {path}")
        self.lines.append(f"> key: {key or 'none'}")
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
            self.lines.append(f"> Idempotency-Key: {idempotency_key}")
        if body is not None:
            self.lines.append(f"> {json.dumps(body)}")
        async with self.session.request(
            method, self.url(path), headers=headers, json=body
        ) as response:
            text = await response.text()
        self.lines.append(f"< {response.status}")
        for name in SHOWN_HEADERS:
            if name in response.headers:
                self.lines.append(f"< {name}: {response.headers[name]}")
        self.lines.extend(f"< {line}".rstrip() for line in text.splitlines())
        self.lines.append("")
