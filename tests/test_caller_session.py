"""Golden file of a whole session of a caller.

Set ``UPDATE_GOLDEN=1`` to write the file after a deliberate change.
"""

import json
import os
import re
from pathlib import Path

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
    """A change of what callers see must be deliberate."""

    async def test_session(self):
        self.maxDiff = None
        self.lines = []
        await self.orders_and_answers()
        await self.refusals()
        await self.edit(("key", "carvers-key", {"state": "withdrawn"}))
        await self.say("POST", COMPLETIONS, body=SPOON)
        text = re.sub(r"gw-0-[0-9a-f]+-(\d+)", r"request-\1", "\n".join(self.lines))
        for secret in SECRETS.values():
            self.assertNotIn(secret, text)
        if os.environ.get("UPDATE_GOLDEN"):
            GOLDEN.write_text(text)
        # Who else called the service would explain a fault that was used up.
        received = [
            f"{call['method']} {call['path']} {call['headers']}"
            for call in self.service.recorded
        ]
        self.assertEqual(text, GOLDEN.read_text(), "\n".join(received))

    async def orders_and_answers(self):
        """Do what a caller does when all is well."""
        await self.say("GET", "/v1/directory?organisation=carvers", key=None)
        await self.say("GET", "/v1/models")
        await self.say("POST", COMPLETIONS, body={**SPOON, "stream": True})
        await self.say("POST", COMPLETIONS, body=SPOON)
        chat = {**CHAT, "max_tokens": 2}
        await self.say("POST", "/v1/chat/completions", body=chat)
        chat["stream"] = True
        await self.say("POST", "/v1/chat/completions", body=chat)
        await self.say("GET", "/services/stock/planks?wood=oak")
        for body in ({"planks": 10}, {"planks": 10}, {"planks": 20}):
            await self.say("POST", "/services/orders/buy", body=body, order="order-1")

    async def refusals(self):
        """Do what is refused."""
        await self.say("POST", COMPLETIONS, key=None, body=SPOON)
        await self.say("POST", COMPLETIONS, key="clogs", body=SPOON)
        await self.say("POST", COMPLETIONS, body={**SPOON, "model": "oak@11"})
        await self.say("POST", COMPLETIONS, body={"model": "oak"})
        await self.say("GET", "/v1/none")
        self.control.quota_reason = "rate_exceeded"
        await self.say("POST", COMPLETIONS, body={**SPOON, "max_tokens": 900})
        self.control.quota_reason = ""
        self.platform.available = False
        buy = {"body": {"planks": 30}, "order": "order-2"}
        await self.say("POST", "/services/orders/buy", **buy)
        self.platform.available = True
        await self.set_faults(self.service, close="after", close_times=1)
        for _ in range(2):
            await self.say("POST", "/services/orders/buy", **buy)
        for engine in self.engines:
            await self.set_faults(engine, wrong_version="9")
        await self.say("POST", COMPLETIONS, body={**SPOON, "stream": True})
        for engine in self.engines:
            await self.set_faults(engine, wrong_version="", cut_after=1)
        body = {**SPOON, "stream": True, "max_tokens": 12}
        await self.say("POST", COMPLETIONS, body=body)
        self.make_stale()
        await self.say("POST", COMPLETIONS, body=SPOON)
        await self.make_fresh()

    async def say(self, method, path, key="carvers", body=None, order=None):
        """Send a request and write down both sides."""
        headers = self.headers(key) if key else {}
        self.lines.append(f"> {method} {path}")
        self.lines.append(f"> key: {key or 'none'}")
        if order:
            headers["Idempotency-Key"] = order
            self.lines.append(f"> Idempotency-Key: {order}")
        if body is not None:
            self.lines.append(f"> {json.dumps(body)}")
        async with self.session.request(
            method, self.url(path), headers=headers, json=body
        ) as response:
            answer = await response.text()
        self.lines.append(f"< {response.status}")
        for name in SHOWN_HEADERS:
            if name in response.headers:
                self.lines.append(f"< {name}: {response.headers[name]}")
        self.lines.extend(f"< {line}".rstrip() for line in answer.splitlines())
        self.lines.append("")
