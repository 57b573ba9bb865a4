"""HTTP client with which the owner of a pool calls engines.

It sends orders, moves streams, and reads the engines' state and cache events. The
fleet's leader sends its orders through `order_worker` instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .decoding import decode_json
from .engine_client import BrokenResponseError, EngineClient, NotSentError
from .pool_state import ORDER_TTL_S, RunningRequest, ServerReport
from .prefix_index import CacheEvent

# A load takes a quarter of a second, and longer when the weight store is slow.
LOAD_TIMEOUT_S = 20.0
POLL_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

AnswerT = TypeVar("AnswerT")


class PoolOrderOutcome(StrEnum):
    """Outcome of an order that the owner of a pool sent, or of a moved stream.

    Attributes
    ----------
    DONE
        The engine carried it out.
    FAILED
        The engine refused it, or failed to carry it out.
    NOT_SENT
        It was not sent.
    UNKNOWN
        The order may have taken effect or still be running.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class NotPermittedError(Exception):
    """The sender no longer owns the pool, or the order's time limit has passed."""


@dataclass(slots=True, frozen=True)
class EngineError:
    """Reason why there is no usable response from an engine.

    Parameters
    ----------
    detail : str
        Name of the local error, or the reason that the engine gave.
    was_sent : bool
        Whether the request may have reached the engine.
    status : int
        HTTP status of the response, 0 if there is none.
    """

    detail: str
    was_sent: bool
    status: int = 0


class _Version(msgspec.Struct):
    adapter: str
    version: str


class _Running(msgspec.Struct):
    request_id: str
    adapter: str = ""
    version: str = ""
    generated_tokens: int = 0


class _State(msgspec.Struct):
    incarnation: int
    resident: list[_Version] = []
    loading: list[_Version] = []
    running: list[_Running] = []
    places: int = 0
    adapter_slots: int = 0


class _Event(msgspec.Struct):
    sequence: int
    kind: str
    hash: int


class CacheEvents(msgspec.Struct):
    """Cache events after a sequence number, or a snapshot of the cache."""

    incarnation: int
    sequence: int
    events: list[_Event] = []
    snapshot: list[int] = []

    def changes(self) -> list[CacheEvent]:
        """Return the events for the prefix index."""
        return [
            CacheEvent(event.sequence, event.kind == "stored", event.hash)
            for event in self.events
        ]


class OrderClient:
    """Calls engines on behalf of the owner of a pool.

    Parameters
    ----------
    engines : EngineClient
        Connections to the engines.
    may_act : callable
        Returns whether this instance owns the pool; called immediately before each
        order is sent.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        engines: EngineClient,
        may_act: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._engines = engines
        self._may_act = may_act
        self._clock = clock

    async def load(
        self, address: str, adapter: str, version: str, fencing_token: int
    ) -> PoolOrderOutcome:
        """Order an engine to load an adapter version and wait until it has."""
        order = _order(adapter, version, fencing_token)
        return await self._order(address, "load", order, LOAD_TIMEOUT_S)

    async def evict(
        self, address: str, adapter: str, version: str, fencing_token: int
    ) -> PoolOrderOutcome:
        """Order an engine to evict an adapter version."""
        order = _order(adapter, version, fencing_token)
        return await self._order(address, "evict", order, ORDER_TTL_S)

    async def move_stream(
        self, request_id: str, source: str, target: str
    ) -> PoolOrderOutcome:
        """Move the KV cache of a stream to another engine; it ends at the source.

        Parameters
        ----------
        request_id : str
            Identity of the stream's request.
        source, target : str
            Addresses of the engines.
        """
        path = f"/streams/{request_id}"
        exported = await self._post(source, f"{path}/export", b"", ORDER_TTL_S)
        if isinstance(exported, Failure):
            return _outcome_of(exported.failure())
        imported = await self._post(
            target, f"{path}/import", exported.unwrap(), ORDER_TTL_S
        )
        if isinstance(imported, Failure):
            return _outcome_of(imported.failure())
        return PoolOrderOutcome.DONE

    async def state(
        self, server: str, address: str
    ) -> Result[ServerReport, EngineError]:
        """Read the state of an engine."""
        requested_at = self._clock()
        result = await self._get(address, "/state", _State)
        return result.map(
            lambda state: ServerReport(
                server=server,
                incarnation=state.incarnation,
                requested_at=requested_at,
                resident=tuple((v.adapter, v.version) for v in state.resident),
                loading=tuple((v.adapter, v.version) for v in state.loading),
                running=tuple(
                    RunningRequest(
                        r.request_id, r.adapter, r.version, r.generated_tokens
                    )
                    for r in state.running
                ),
                places=state.places,
                adapter_slots=state.adapter_slots,
            )
        )

    async def cache_events(
        self, address: str, after: int
    ) -> Result[CacheEvents, EngineError]:
        """Read the cache events that follow a sequence number."""
        return await self._get(address, f"/cache-events?after={after}", CacheEvents)

    async def cache_snapshot(self, address: str) -> Result[CacheEvents, EngineError]:
        """Read all cached prefixes."""
        path = "/cache-events?snapshot=1&after=0"
        return await self._get(address, path, CacheEvents)

    async def _order(
        self, address: str, name: str, order: bytes, timeout_s: float
    ) -> PoolOrderOutcome:
        result = await self._post(address, f"/orders/{name}", order, timeout_s)
        if isinstance(result, Success):
            return PoolOrderOutcome.DONE
        return _outcome_of(result.failure())

    async def _post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> Result[bytes, EngineError]:
        send_until = self._clock() + ORDER_TTL_S

        def check() -> None:
            if not self._may_act() or self._clock() >= send_until:
                raise NotPermittedError

        return await self._call("POST", address, path, body, check, timeout_s)

    async def _get(
        self, address: str, path: str, response_type: type[AnswerT]
    ) -> Result[AnswerT, EngineError]:
        result = await self._call(
            "GET", address, path, b"", lambda: None, POLL_TIMEOUT_S
        )
        if isinstance(result, Failure):
            return result
        try:
            return Success(decode_json(result.unwrap(), response_type))
        except msgspec.DecodeError as error:
            return Failure(EngineError(str(error), was_sent=True))

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        check: Callable[[], None],
        timeout_s: float,
    ) -> Result[bytes, EngineError]:
        headers = {"Content-Type": "application/json"}
        url = f"http://{address}{path}"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._engines.request(method, url, headers, body, check) as response,
            ):
                received = await response.read_up_to(MAX_RESPONSE_BYTES)
        except (NotSentError, NotPermittedError) as error:
            return Failure(EngineError(type(error).__name__, was_sent=False))
        except (BrokenResponseError, TimeoutError) as error:
            return Failure(EngineError(type(error).__name__, was_sent=True))
        if received is None or response.status != 200:
            detail = "too long" if received is None else _reason_in(received)
            return Failure(EngineError(detail, True, response.status))
        return Success(received)


def _order(adapter: str, version: str, fencing_token: int) -> bytes:
    return msgspec.json.encode(
        {"adapter": adapter, "version": version, "fencing_token": fencing_token}
    )


def _reason_in(body: bytes) -> str:
    try:
        values: Any = decode_json(body)
    except msgspec.DecodeError:
        return ""
    return str(values.get("reason", "")) if isinstance(values, dict) else ""


def _outcome_of(error: EngineError) -> PoolOrderOutcome:
    if not error.was_sent:
        return PoolOrderOutcome.NOT_SENT
    if error.status and error.detail != "already_loading":
        return PoolOrderOutcome.FAILED
    return PoolOrderOutcome.UNKNOWN
