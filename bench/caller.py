"""A caller of the system: asks the directory, connects, and retries politely."""

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
    """What a caller received for one request."""

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
    # What broke the call off, for the message of a failed check.
    failure: str = ""

    @property
    def reason(self) -> str:
        """Machine-readable reason of a refusal, or an empty text."""
        return str(self.error.get("reason", ""))

    @property
    def run_status(self) -> str:
        """Whether a refused request may have run, as the system says."""
        return str(self.error.get("ran", ""))


@dataclass(slots=True)
class Caller:
    """Sends requests of one organisation.

    Parameters
    ----------
    organisation : str
        Name given to the directory.
    key : str
        Secret sent as bearer token.
    known_addresses : sequence of str
        Addresses that the caller was given to ask for the directory.
    """

    organisation: str
    key: str
    known_addresses: Sequence[str]
    session: aiohttp.ClientSession
    random: random.Random = field(default_factory=lambda: random.Random(0))
    addresses: list[str] = field(default_factory=list)
    expires_at: float = 0.0

    def headers(self) -> dict[str, str]:
        """Headers that carry the key."""
        return {"Authorization": f"Bearer {self.key}"} if self.key else {}

    async def directory(self) -> list[str]:
        """Return the addresses to use; asks the directory when they expired."""
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
        """Request a streamed completion; retries refusals that say "not run"."""
        answer = CallResult()
        refusals: list[str] = []
        interrupted_streams = 0
        for attempt in range(1, attempts + 1):
            target = address or self.random.choice(await self.directory())
            answer = await self._stream(target, model, prompt, max_tokens)
            if not answer.finished and answer.status == 200:
                interrupted_streams += 1
            elif not answer.finished:
                refusals.append(answer.reason or "no connection")
            answer.attempts = attempt
            answer.refusals, answer.interrupted_streams = refusals, interrupted_streams
            permanent = 400 <= answer.status < 500 and answer.status != 429
            if answer.finished or permanent:
                return answer
            if address == "" and answer.status == 0:
                self.addresses = [a for a in self.addresses if a != target]
                self.expires_at = 0.0
            delay = float(answer.error.get("retry_after_s") or 0.2)
            jitter = self.random.uniform(0.5, 1.0)
            await asyncio.sleep(min(delay, MAX_RETRY_DELAY_S) * jitter)
        return answer

    async def _stream(
        self, address: str, model: str, prompt: str, max_tokens: int
    ) -> CallResult:
        answer = CallResult()
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
                answer.status = response.status
                answer.request_id = response.headers.get("X-Request-Id", "")
                answer.headers = dict(response.headers)
                if response.status != 200:
                    answer.error = (await response.json()).get("error", {})
                    return answer
                async for line in response.content:
                    _read_event(line, answer)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            answer.finished = False
            answer.failure = repr(error)
        return answer

    async def call_service(
        self,
        route: str,
        body: bytes,
        idempotency_key: str = "",
        address: str = "",
    ) -> CallResult:
        """Call a plain service once; the caller decides about repetition."""
        answer = CallResult(attempts=1)
        headers = self.headers()
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        target = address or self.random.choice(await self.directory())
        try:
            async with self.session.post(
                f"http://{target}/services/{route}/orders",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                answer.status = response.status
                answer.headers = dict(response.headers)
                answer.request_id = response.headers.get("X-Request-Id", "")
                answer.body = await response.read()
                answer.finished = True
                if response.status >= 400:
                    answer.error = json.loads(answer.body).get("error", {})
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            answer.finished = False
            answer.failure = repr(error)
        return answer


def _read_event(line: bytes, answer: CallResult) -> None:
    if not line.startswith(b"data:"):
        return
    data = line[5:].strip()
    if data == b"[DONE]":
        answer.finished = True
        return
    event = json.loads(data)
    if "error" in event:
        answer.error = event["error"]
        return
    for choice in event.get("choices", []):
        answer.text += choice.get("text", "")
