"""Client of the system that looks up gateways and retries with backoff."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

ATTEMPTS = 8
MAX_RETRY_DELAY_S = 3.0
REQUEST_TIMEOUT_S = 60.0


@dataclass(slots=True)
class CallResult:
    """Result of one request, over all of its attempts."""

    status: int = 0
    text: str = ""
    finished: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    request_id: str = ""
    attempts: int = 0
    refusals: list[str] = field(default_factory=list)
    interrupted_streams: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    # Exception that ended the call, for the message of a failed check.
    failure: str = ""

    @property
    def reason(self) -> str:
        """Machine-readable reason of a refusal, empty if there is none."""
        return str(self.error.get("reason", ""))

    @property
    def run_status(self) -> str:
        """Whether a refused request ran, as the system reports it."""
        return str(self.error.get("ran", ""))


@dataclass(slots=True)
class Caller:
    """Sends requests on behalf of one organisation.

    Parameters
    ----------
    organisation : str
        Name sent to the directory.
    key : str
        API key, sent as a bearer token; no header is sent if it is empty.
    known_addresses : sequence of str
        Initial addresses at which the directory is looked up.
    """

    organisation: str
    key: str
    known_addresses: Sequence[str]
    session: aiohttp.ClientSession
    random: random.Random = field(default_factory=lambda: random.Random(0))
    addresses: list[str] = field(default_factory=list)
    expires_at: float = 0.0

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the API key."""
        return {"Authorization": f"Bearer {self.key}"} if self.key else {}

    async def lookup_addresses(self) -> list[str]:
        """Return the gateway addresses, from the directory once they expired."""
        now = asyncio.get_running_loop().time()
        if self.addresses and now < self.expires_at:
            return self.addresses
        for address in (*self.addresses, *self.known_addresses):
            url = f"http://{address}/v1/directory"
            try:
                async with self.session.get(
                    url,
                    params={"organisation": self.organisation},
                    timeout=aiohttp.ClientTimeout(total=2),
                ) as response:
                    if response.status != 200:
                        continue
                    body = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            self.addresses = [item["address"] for item in body["addresses"]]
            self.expires_at = now + float(body["lifetime_s"])
            if self.addresses:
                return self.addresses
        return list(self.known_addresses)

    async def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        attempts: int = ATTEMPTS,
        address: str = "",
    ) -> CallResult:
        """Request a streamed completion, with retries after failures.

        A 4xx status other than 429 is not retried.
        """
        result = CallResult()
        refusals: list[str] = []
        interrupted_streams = 0
        for attempt in range(1, attempts + 1):
            target = address or self.random.choice(await self.lookup_addresses())
            result = await self._stream(target, model, prompt, max_tokens)
            if not result.finished and result.status == 200:
                interrupted_streams += 1
            elif not result.finished:
                refusals.append(result.reason or "no connection")
            result.attempts = attempt
            result.refusals, result.interrupted_streams = refusals, interrupted_streams
            permanent = 400 <= result.status < 500 and result.status != 429
            if result.finished or permanent:
                return result
            if address == "" and result.status == 0:
                self.addresses = [a for a in self.addresses if a != target]
                self.expires_at = 0.0
            delay = float(result.error.get("retry_after_s") or 0.2)
            jitter = self.random.uniform(0.5, 1.0)
            await asyncio.sleep(min(delay, MAX_RETRY_DELAY_S) * jitter)
        return result

    async def _stream(
        self, address: str, model: str, prompt: str, max_tokens: int
    ) -> CallResult:
        result = CallResult()
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        try:
            async with self.session.post(
                f"http://{address}/v1/completions",
                json=body,
                headers=self.headers(),
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                result.status = response.status
                result.request_id = response.headers.get("X-Request-Id", "")
                result.headers = dict(response.headers)
                if response.status != 200:
                    result.error = (await response.json()).get("error", {})
                    return result
                async for line in response.content:
                    _read_event(line, result)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            result.finished = False
            result.failure = repr(error)
        return result

    async def call_service(
        self,
        route: str,
        body: bytes,
        idempotency_key: str = "",
        address: str = "",
    ) -> CallResult:
        """Call a plain service once, without retries."""
        result = CallResult(attempts=1)
        headers = self.headers()
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        target = address or self.random.choice(await self.lookup_addresses())
        try:
            async with self.session.post(
                f"http://{target}/services/{route}/orders",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                result.status = response.status
                result.headers = dict(response.headers)
                result.request_id = response.headers.get("X-Request-Id", "")
                result.body = await response.read()
                result.finished = True
                if response.status >= 400:
                    result.error = json.loads(result.body).get("error", {})
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            result.finished = False
            result.failure = repr(error)
        return result


def _read_event(line: bytes, result: CallResult) -> None:
    if not line.startswith(b"data:"):
        return
    data = line[5:].strip()
    if data == b"[DONE]":
        result.finished = True
        return
    event = json.loads(data)
    if "error" in event:
        result.error = event["error"]
        return
    for choice in event.get("choices", []):
        result.text += choice.get("text", "")
