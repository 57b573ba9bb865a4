"""Requests of callers and what the callers get."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from sequoiafall.platform import names

from .configuration import HOST, REQUEST_DEADLINE_S


@dataclass(slots=True)
class Call:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt.
    node : int
        Number of the node that gets it.
    route, organisation, key : str
        Route, and the caller's organisation and key.
    target : str
        Path with query.
    method : str
        HTTP method.
    body : bytes, default=b""
        Body of the request.
    headers : dict of str to str
        Further headers.
    is_sound : bool, default=True
        Whether it crashes no server.
    leaves_after_s : float
        Seconds after which the caller leaves; 0 if it waits for the response.
    sent_at, ended_at : float
        Monotonic times in seconds.
    last_byte_at : float
        When the whole request had been sent; `sent_at` if that is not known.
    status : int
        Status of the response, 0 without one.
    received : bytes
        Body of the response as far as it came.
    error : str
        Name of the error that ended the call; empty after a complete response.
    was_sent : bool
        Whether a connection to the node was made.
    signature : str
        Signature of the backend server that the response carries; empty for none.
    retry_after_s : float
        Seconds after which a refused caller may return; 0 if that is not said.
    """

    request_id: str
    node: int
    route: str
    organisation: str
    key: str
    target: str
    method: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    is_sound: bool = True
    leaves_after_s: float = 0.0
    sent_at: float = 0.0
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    received: bytes = b""
    error: str = ""
    was_sent: bool = True
    signature: str = ""
    retry_after_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the caller has got a complete response."""
        return self.status > 0 and not self.error

    @property
    def has_left(self) -> bool:
        """Whether the caller has left before the response was complete."""
        seconds = self.ended_at - self.sent_at
        return bool(self.error) and 0.0 < self.leaves_after_s <= seconds

    @property
    def shared_parts(self) -> str:
        """Parts of the prompt without the last, which belongs to it alone."""
        return self.headers.get(names.PROMPT_PARTS, "").rpartition(",")[0]

    @property
    def refusal_reason(self) -> str:
        """Reason of a refusal; empty if it is none."""
        if self.status < 400:
            return ""
        try:
            return str(msgspec.json.decode(self.received)["error"]["reason"])
        except (msgspec.DecodeError, KeyError, TypeError):
            return ""

    async def send(self, session: aiohttp.ClientSession, address: str) -> None:
        """Send the request to a node and record its end."""
        headers = {
            names.REQUEST_ID: self.request_id,
            names.DEADLINE_MS: str(int(REQUEST_DEADLINE_S * 1e3)),
            "Host": HOST,
            "Authorization": f"Bearer {self.key}",
            **self.headers,
        }
        self.sent_at = self.last_byte_at = time.monotonic()
        try:
            async with (
                asyncio.timeout(self.leaves_after_s or None),
                session.request(
                    self.method,
                    f"http://{address}{self.target}",
                    headers=headers,
                    data=self.body if self.method == "POST" else None,
                    trace_request_ctx=self,
                ) as response,
            ):
                self.status = response.status
                self.signature = response.headers.get(names.SIGNATURE, "")
                self.retry_after_s = float(response.headers.get(names.RETRY_AFTER, 0))
                async for chunk in response.content.iter_any():
                    self.received += chunk
        except aiohttp.ClientConnectorError as error:
            self.was_sent = False
            self.error = type(error).__name__
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.error = type(error).__name__
        self.ended_at = time.monotonic()


def record_last_bytes() -> aiohttp.TraceConfig:
    """Return the tracing by which calls of a session know when they have been sent."""

    async def record(_session: object, context: Any, _parameters: object) -> None:
        if isinstance(context.trace_request_ctx, Call):
            context.trace_request_ctx.last_byte_at = time.monotonic()

    tracing = aiohttp.TraceConfig()
    tracing.on_request_headers_sent.append(record)
    tracing.on_request_chunk_sent.append(record)
    return tracing
