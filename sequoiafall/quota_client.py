"""Gateway's service that reserves quota tokens and calls the owners for grants.

`QuotaHolder` keeps the grants of one organisation; the owners run `QuotaService`.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from mode import Service
from returns.result import Failure, Result, Success

from .control_client import POLL_INTERVAL_S, ControlClient
from .log import log_warning
from .owner_client import (
    NOT_OWNER_REASONS,
    OwnerClient,
    owner_unavailable,
    refusal_of,
)
from .quota import MAX_ADMISSION_WAIT_S
from .quota_holder import QuotaHolder, TokenReservation
from .refusal import Reason, Refusal
from .wire.gen.ttypes import QuotaReply, QuotaRequest

OWNER_TIMEOUT_S = 1.0


class QuotaClient(OwnerClient):
    """Reserves tokens from grants and requests new grants from the owners.

    Parameters
    ----------
    control : ControlClient
        Gives the configuration table, its revision and access to the owners.
    generator : random.Random
        Source of jitter.
    """

    def __init__(
        self, control: ControlClient, generator: random.Random, **kwargs: Any
    ) -> None:
        super().__init__(control, generator, **kwargs)
        self._holders_by_organisation: dict[str, QuotaHolder] = {}
        self._locks_by_organisation: dict[str, asyncio.Lock] = {}
        control.on_organisations_changed(self._on_organisations_changed)

    async def reserve(
        self, organisation: str, tokens: int
    ) -> Result[TokenReservation, Refusal]:
        """Reserve tokens; wait for the owner if the held grants do not suffice.

        Returns
        -------
        Result
            The reservation, or a refusal. A request over the rate is refused
            immediately, a request without a reachable owner after
            `MAX_ADMISSION_WAIT_S`.
        """
        holder = self._holder(organisation)
        if holder is None:
            return Failure(Refusal(Reason.NOT_PERMITTED, detail="no organisation"))
        if holder.exceeds_burst(tokens):
            detail = "the request needs more tokens than the organisation's burst"
            return Failure(Refusal(Reason.INVALID_REQUEST, detail=detail))
        reservation = holder.try_reserve(tokens, self._control.clock())
        if reservation is not None:
            return Success(reservation)
        # One request at a time asks for exactly its own shortage. The sum of all
        # waiting requests could be refused although one of them fits.
        async with self._locks_by_organisation[organisation]:
            return await self._ask_owner(holder, tokens)

    def settle(
        self, organisation: str, reservation: TokenReservation, actual_tokens: int
    ) -> None:
        """Return the tokens that a finished request did not use."""
        holder = self._holders_by_organisation.get(organisation)
        if holder is not None:
            holder.settle(reservation, actual_tokens, self._control.clock())

    async def return_grants(self) -> None:
        """Return all grants to their owners before a planned shutdown."""
        now = self._control.clock()
        requests = [
            holder.return_grants(now)
            for holder in self._holders_by_organisation.values()
        ]
        await asyncio.gather(
            *(self._call(request) for request in requests if request.settlements)
        )

    @Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_INTERVAL_S)
            now = self._control.clock()
            requests = [
                holder.next_request(0, now, self._control.table.revision)
                for holder in self._holders_by_organisation.values()
                if holder.has_settlements(now)
            ]
            await asyncio.gather(*(self._call(request) for request in requests))

    async def _ask_owner(
        self, holder: QuotaHolder, tokens: int
    ) -> Result[TokenReservation, Refusal]:
        control = self._control
        deadline = control.clock() + MAX_ADMISSION_WAIT_S
        attempt = 0
        while True:
            refusal = control.check_fresh()
            if refusal is not None:
                return Failure(refusal)
            reservation = holder.try_reserve(tokens, control.clock())
            if reservation is not None:
                return Success(reservation)
            sent_at = control.clock()
            request = holder.next_request(tokens, sent_at, control.table.revision)
            reply = await self._call(request)
            if reply is not None:
                holder.on_reply(reply, sent_at)
                reservation = holder.try_reserve(tokens, control.clock())
                if reservation is not None:
                    return Success(reservation)
                if reply.reason and reply.reason not in NOT_OWNER_REASONS:
                    detail = "the organisation's rate and burst are used up"
                    return Failure(refusal_of(reply, detail))
            attempt += 1
            if control.clock() >= deadline:
                detail = "no instance owns the organisation's quota at present"
                return Failure(owner_unavailable(detail))
            await asyncio.sleep(self._owner_delay_s(attempt))

    async def _call(self, request: QuotaRequest) -> QuotaReply | None:
        resource = f"organisation/{request.organisation}"
        result = await self._control.call_owner(resource, request, OWNER_TIMEOUT_S)
        match result:
            case Success(reply):
                return reply
            case Failure(error):
                log_warning(
                    "quota_call_failed",
                    organisation=request.organisation,
                    detail=error.detail,
                )
        return None

    def _holder(self, organisation: str) -> QuotaHolder | None:
        holder = self._holders_by_organisation.get(organisation)
        if holder is not None:
            return holder
        row = self._control.table.organisations_by_name.get(organisation)
        if row is None:
            return None
        holder = QuotaHolder(self._control.gateway, organisation, row.rate, row.burst)
        self._holders_by_organisation[organisation] = holder
        self._locks_by_organisation[organisation] = asyncio.Lock()
        return holder

    def _on_organisations_changed(self) -> None:
        now = self._control.clock()
        rows_by_name = self._control.table.organisations_by_name
        for name, holder in list(self._holders_by_organisation.items()):
            row = rows_by_name.get(name)
            if row is None:
                del self._holders_by_organisation[name]
                del self._locks_by_organisation[name]
            elif (row.rate, row.burst) != (holder.rate, holder.burst):
                holder.set_limits(row.rate, row.burst, now)
