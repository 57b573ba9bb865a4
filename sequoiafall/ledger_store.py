"""Performs the ledger's reads and writes on the table service and object store."""

from __future__ import annotations

import asyncio
import random

from returns.result import Failure, Success

from .ledger import (
    MAX_INLINE_RESPONSE_BYTES,
    Commit,
    Committed,
    Found,
    LedgerCall,
    LookUp,
    NotApplied,
    StoredResponse,
    TableReply,
    Uncertain,
)
from .log import log_warning
from .platform_client import Condition, Conflict, PlatformClient, Write
from .store_results import Unavailable

OBJECT_PREFIX = "ledger-answers/"

# Attempts to store a result. Outages last for minutes, and without the result every
# repetition of the call is refused with `outcome_unknown`.
MAX_STORE_ATTEMPTS = 60
FIRST_STORE_DELAY_S = 0.1
MAX_STORE_DELAY_S = 10.0


class LedgerStore:
    """Reads and writes ledger rows and large response bodies.

    Parameters
    ----------
    platform : PlatformClient
        Client of the table service and the object store.
    generator : random.Random
        Source of jitter.
    """

    __slots__ = ("_generator", "_platform")

    def __init__(self, platform: PlatformClient, generator: random.Random) -> None:
        self._platform = platform
        self._generator = generator

    async def perform(self, action: LookUp | Commit) -> TableReply:
        """Perform an action once and return what is known of its result."""
        if isinstance(action, LookUp):
            match await self._platform.read(action.key):
                case Success(row):
                    return Found(row.version, row.value)
            return NotApplied()
        result = await self._platform.transaction(
            [Condition(action.key, action.version)],
            [Write(action.key, action.value)],
            action.operation_id,
        )
        match result:
            case Success(committed):
                return Committed(committed.versions_by_key[action.key])
            case Failure(Conflict() as conflict):
                row = conflict.find(action.key)
                return Found(row.version, row.value) if row else Uncertain()
            case Failure(Unavailable()):
                return NotApplied()
        return Uncertain()

    async def store(self, commit: Commit) -> bool:
        """Write the result of a call with retries.

        Returns
        -------
        bool
            False if the row has been changed by another call, or if all
            `MAX_STORE_ATTEMPTS` attempts failed.
        """
        for attempt in range(MAX_STORE_ATTEMPTS):
            reply = await self.perform(commit)
            if isinstance(reply, Committed):
                return True
            if isinstance(reply, Found):
                log_warning("ledger_row_taken", operation=commit.operation_id)
                return False
            await self._back_off(attempt)
        log_warning("ledger_result_lost", operation=commit.operation_id)
        return False

    async def abandon(self, call: LedgerCall) -> None:
        """Mark a call of which nothing was sent as not run."""
        for attempt in range(MAX_STORE_ATTEMPTS):
            reply = await self.perform(LookUp(call.key))
            if isinstance(reply, Found):
                commit = call.abandon(reply)
                if commit is None:
                    return
                if isinstance(await self.perform(commit), Committed):
                    return
            await self._back_off(attempt)
        log_warning("ledger_intent_left", operation=call.operation_id)

    async def put_response(
        self, call: LedgerCall, status: int, content_type: str, body: bytes
    ) -> StoredResponse:
        """Return the response to store, with a large body in the object store.

        If the body cannot be written, the response refers to its object
        nevertheless: a replay is then refused instead of running the call again.
        """
        if len(body) <= MAX_INLINE_RESPONSE_BYTES:
            return StoredResponse(status, content_type, body)
        key = f"{OBJECT_PREFIX}{call.organisation}/{call.operation_id}"
        for attempt in range(MAX_STORE_ATTEMPTS):
            if isinstance(await self._platform.put_object(key, body), Success):
                break
            await self._back_off(attempt)
        return StoredResponse(status, content_type, object_key=key)

    async def get_body(self, response: StoredResponse) -> bytes | None:
        """Return the body of a stored response, or None if it cannot be read."""
        if not response.object_key:
            return response.body
        result = await self._platform.get_object(response.object_key)
        return result.value_or(None)

    async def _back_off(self, attempt: int) -> None:
        bound = min(FIRST_STORE_DELAY_S * 2.0**attempt, MAX_STORE_DELAY_S)
        await asyncio.sleep(self._generator.uniform(bound / 2, bound))
