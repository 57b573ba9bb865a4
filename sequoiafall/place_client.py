"""The gateway process's client of pool owners for places.

It requests places, renews them, and reports their use and release. The instances of a
fleet get their places from `place_source` instead.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

from mode import Service
from returns.result import Failure, Result, Success

from .control_client import ControlClient
from .log import log_warning
from .owner_client import (
    NOT_OWNER_REASONS,
    OwnerClient,
    owner_unavailable,
    refusal_of,
)
from .quota import MAX_ADMISSION_WAIT_S
from .refusal import Refusal
from .transport import WireError
from .wire.gen.ttypes import (
    PlaceEntry,
    PlaceReply,
    PlaceRequest,
    PlaceState,
    PlaceUpdate,
)

# Maximum wait of a request in a pool's queue; after it, callers are told to retry.
PLACE_WAIT_S = 10.0
PLACE_REPLY_MARGIN_S = 1.0

# A new owner learns of running places within this time. A place that is not renewed
# expires after ORDER_TTL_S (2 s).
RENEW_INTERVAL_S = 0.5
UPDATE_TIMEOUT_S = 1.0
# Batches entries into one message; short compared to the lifetime of a place.
UPDATE_DELAY_S = 0.005
# Time for unsent updates at shutdown; places whose release is lost expire at the
# owner.
FLUSH_TIMEOUT_S = 1.0
MAX_QUEUED_ENTRIES = 10_000
MAX_ENTRIES_PER_UPDATE = 1_000
# Covers a change of owner. After the last attempt the batch is dropped, and the next
# new entry starts another sender.
MAX_UPDATE_ATTEMPTS = 40


@dataclass(slots=True, eq=False)
class GrantedPlace:
    """A place in a backend server's batch that a pool owner granted to this gateway.

    The request must be sent before `expires_at`, in seconds of the control clock.
    """

    request: PlaceRequest
    reply: PlaceReply
    expires_at: float
    started: bool = False
    generated_tokens: int = 0

    @property
    def address(self) -> str:
        """Address of the backend server."""
        return str(self.reply.address)

    @property
    def backend_server(self) -> str:
        """Name of the backend server."""
        return str(self.reply.backend_server)

    @property
    def fencing_token(self) -> int:
        """Fencing token of the pool's owner."""
        return int(self.reply.fencing_token)

    def entry(self, state: int, outcome: str = "") -> PlaceEntry:
        """Build the entry of this place for a place update."""
        return PlaceEntry(
            self.reply.place_id,
            self.request.request_id,
            state,
            self.request.organisation,
            self.request.adapter,
            self.request.version,
            self.reply.backend_server,
            self.generated_tokens,
            outcome,
        )


class PlaceClient(OwnerClient):
    """Requests places from pool owners, renews them and releases them.

    Parameters
    ----------
    control : ControlClient
        Connections to the head and the owners.
    generator : random.Random
        Source of jitter.
    """

    def __init__(
        self, control: ControlClient, generator: random.Random, **kwargs: Any
    ) -> None:
        super().__init__(control, generator, **kwargs)
        self._running_by_pool: dict[str, set[GrantedPlace]] = {}
        self._queued_by_pool: dict[str, list[PlaceEntry]] = {}
        self._senders_by_pool: dict[str, asyncio.Task[None]] = {}

    async def request(self, request: PlaceRequest) -> Result[GrantedPlace, Refusal]:
        """Request a place from the owner of a pool.

        Returns
        -------
        Result
            The place, or a refusal: the owner's, or a local one without an owner.
        """
        control = self._control
        deadline: float | None = None
        attempt = 0
        while True:
            refusal = control.check_fresh()
            if refusal is not None:
                return Failure(refusal)
            sent_at = control.clock()
            result = await self._call(request, is_first=attempt == 0)
            reply = result.value_or(None)
            if reply is not None and not reply.reason:
                # The reply may be late, so the lifetime counts from the send; it
                # includes the time that the request waited at the owner.
                expires_at = sent_at + reply.expires_in_ms / 1000
                return Success(GrantedPlace(request, reply, expires_at))
            if reply is not None and reply.reason not in NOT_OWNER_REASONS:
                detail = "the pool has no place for the request"
                return Failure(refusal_of(reply, detail))
            now = control.clock()
            deadline = deadline or now + MAX_ADMISSION_WAIT_S
            if now >= deadline:
                detail = "no instance owns the pool at present"
                return Failure(owner_unavailable(detail))
            attempt += 1
            await asyncio.sleep(self._owner_delay_s(attempt))

    def mark_started(self, place: GrantedPlace) -> None:
        """Report that the request of a place is being sent."""
        place.started = True
        self._running_by_pool.setdefault(place.request.pool, set()).add(place)
        self._queue(place, PlaceState.STARTED)

    def release(self, place: GrantedPlace, outcome: str) -> None:
        """Report that a place is no longer used.

        Parameters
        ----------
        place : GrantedPlace
            A place from `request`.
        outcome : str
            ``ok``, ``failed``, ``wrong_adapter``, ``cancelled`` or ``refused``.
        """
        self._running_by_pool.get(place.request.pool, set()).discard(place)
        self._queue(place, PlaceState.RELEASED, outcome)

    async def flush(self) -> None:
        """Wait until the queued updates are sent, at most `FLUSH_TIMEOUT_S`."""
        senders = set(self._senders_by_pool.values())
        if senders:
            await asyncio.wait(senders, timeout=FLUSH_TIMEOUT_S)
        for sender in senders:
            sender.cancel()

    @Service.task
    async def _renew_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(RENEW_INTERVAL_S)
            for places in self._running_by_pool.values():
                for place in places:
                    self._queue(place, PlaceState.RUNNING)

    async def _call(
        self, request: PlaceRequest, is_first: bool
    ) -> Result[PlaceReply, WireError]:
        result = await self._control.call_current_owner(
            f"pool/{request.pool}", request, PLACE_WAIT_S + PLACE_REPLY_MARGIN_S
        )
        if isinstance(result, Failure) and is_first:
            detail = result.failure().detail
            log_warning(
                "place_call_failed", request_id=request.request_id, detail=detail
            )
        return result

    def _queue(self, place: GrantedPlace, state: int, outcome: str = "") -> None:
        pool = place.request.pool
        queued = self._queued_by_pool.setdefault(pool, [])
        # If no owner is reachable, the oldest entries are dropped; their places then
        # expire at the owner.
        if len(queued) >= MAX_QUEUED_ENTRIES:
            del queued[:MAX_ENTRIES_PER_UPDATE]
        queued.append(place.entry(state, outcome))
        if pool not in self._senders_by_pool:
            task = asyncio.create_task(self._send_queued(pool))
            self._senders_by_pool[pool] = task
            task.add_done_callback(lambda _: self._senders_by_pool.pop(pool, None))

    async def _send_queued(self, pool: str) -> None:
        """Send the queued entries; those added during a round trip form a batch."""
        attempt = 0
        await asyncio.sleep(UPDATE_DELAY_S)
        while entries := self._queued_by_pool.get(pool):
            batch = entries[:MAX_ENTRIES_PER_UPDATE]
            del entries[:MAX_ENTRIES_PER_UPDATE]
            update = PlaceUpdate(self._control.gateway, pool, batch)
            result = await self._control.call_owner(
                f"pool/{pool}", update, UPDATE_TIMEOUT_S
            )
            if isinstance(result, Success) and result.unwrap().accepted:
                attempt = 0
                continue
            attempt += 1
            if attempt > MAX_UPDATE_ATTEMPTS:
                return
            self._queued_by_pool[pool] = batch + self._queued_by_pool[pool]
            await asyncio.sleep(self._owner_delay_s(attempt))
