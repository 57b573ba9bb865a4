"""Forwards calls to plain services: repeatable, sent once, or through the ledger."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

from returns.result import Failure
from yarl import URL

from .admission import estimate_tokens
from .calls import PlaceExpiredError, RefusedError, RunningCall, RunningCalls
from .completions import Backends
from .engine_client import (
    BackendResponse,
    BrokenResponseError,
    NotSentError,
    SingleSendClient,
)
from .ledger import (
    CALL_TIMEOUT_S,
    Commit,
    LedgerCall,
    LookUp,
    Proceed,
    Refuse,
    Replay,
    Send,
    StoredResponse,
    fingerprint_of,
)
from .ledger_store import LedgerStore
from .log import log_event, log_warning
from .place_client import PLACE_WAIT_S, GrantedPlace
from .quota_client import QuotaClient
from .refusal import Reason, Refusal, RunStatus
from .relay import REQUEST_ID_HEADER
from .table import Route
from .wire.gen.ttypes import PlaceRequest

# Only these headers of a caller are forwarded to a plain service. An allowlist
# ensures that no header with credentials is forwarded.
FORWARDED_REQUEST_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "Idempotency-Key",
)
FORWARDED_RESPONSE_HEADERS = (
    "Content-Type",
    "Content-Encoding",
    "Content-Language",
    "Content-Length",
    "Cache-Control",
    "ETag",
    "Last-Modified",
    "Location",
)
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,200}")

MAX_RESPONSE_BYTES = 4 * 1024 * 1024

# Longest time that a caller waits until its response is stored. After it the caller
# gets the response, and the ledger continues to store it in the background.
STORE_WAIT_S = 2.0
MAX_PLACE_RENEWALS = 3
RETRY_AFTER_S = 1.0
CLAIM_DELAY_S = 0.1


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A call of a plain service.

    Parameters
    ----------
    route : Route
        Route of the call.
    method : str
        HTTP method.
    path : str
        Percent-encoded path and query at the service, with a leading slash.
    headers : mapping of str to str
        Headers to forward.
    body : bytes
        Request body.
    idempotency_key : str
        Empty if the caller gave none.
    """

    route: Route
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    idempotency_key: str = ""

    @property
    def cost_tokens(self) -> int:
        """Tokens that the call takes from the organisation's quota."""
        return estimate_tokens(len(self.body))

    def url(self, address: str) -> URL:
        """Return the URL at a plain service."""
        return URL(f"http://{address}{self.path}", encoded=True)


@dataclass(slots=True, frozen=True)
class LedgerOutcome:
    """Response to a ledger call and whether it is replayed from an earlier call."""

    response: StoredResponse
    body: bytes
    is_replay: bool = False


class PassThrough:
    """Forwards calls to plain services.

    Parameters
    ----------
    backends : Backends
        Placement, connections and the retry budget.
    quota : QuotaClient
        Token quotas of organisations.
    ledger : LedgerStore
        Ledger of non-idempotent calls.
    calls : RunningCalls
        Runs work that outlives its caller's connection.
    generator : random.Random
        Source of jitter.
    """

    __slots__ = ("_backends", "_calls", "_generator", "_ledger", "_quota")

    def __init__(
        self,
        backends: Backends,
        quota: QuotaClient,
        ledger: LedgerStore,
        calls: RunningCalls,
        generator: random.Random,
    ) -> None:
        self._backends = backends
        self._quota = quota
        self._ledger = ledger
        self._calls = calls
        self._generator = generator

    @asynccontextmanager
    async def forward(
        self, call: RunningCall, request: ServiceRequest
    ) -> AsyncGenerator[BackendResponse, None]:
        """Forward a call without the ledger and yield the response.

        A repeatable call is retried within the retry budget as long as no response
        has begun. Any other call is sent at most once.

        Raises
        ------
        RefusedError
            If there is no response.
        BrokenResponseError
            From the context's body, if the response ends prematurely.
        """
        await self._admit(call, request)
        self._backends.retries.on_request()
        attempt, excluded = 0, ""
        while True:
            attempt += 1
            place = await self._place(call, request, attempt, excluded)
            outcome = "cancelled"
            try:
                async with aclosing(self._open(call, request, place)) as opened:
                    try:
                        response = await anext(opened)
                    except PlaceExpiredError:
                        outcome = "refused"
                        self._check_renewals(attempt)
                        continue
                    except (NotSentError, BrokenResponseError) as error:
                        outcome = "failed"
                        excluded = place.backend_server
                        self._check_retry(call, request, error)
                        await asyncio.sleep(self._backends.retries.delay_s(attempt))
                        continue
                    outcome = "failed"
                    yield response
                    outcome = "ok"
                    return
            finally:
                self._backends.places.release(place, outcome)

    async def run_with_ledger(
        self, call: RunningCall, request: ServiceRequest
    ) -> LedgerOutcome:
        """Run a non-idempotent call at most once under its idempotency key.

        Raises
        ------
        RefusedError
            If there is no response.
        """
        task = self._calls.run_in_background(self._run_with_ledger(call, request))
        # The call continues if the caller disconnects, so that its result is stored.
        outcome = await asyncio.shield(task)
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        return outcome

    async def _run_with_ledger(
        self, call: RunningCall, request: ServiceRequest
    ) -> LedgerOutcome | Refusal:
        fingerprint = fingerprint_of(
            request.route.name, request.method, request.path, request.body
        )
        ledger_call = LedgerCall(
            call.caller.organisation,
            request.idempotency_key,
            fingerprint,
            call.request_id,
            int(time.time() * 1000),
        )
        action = ledger_call.on_looked_up(
            await self._ledger.perform(ledger_call.look_up())
        )
        if not isinstance(action, Proceed):
            return await self._finish(ledger_call, action)
        try:
            await self._admit(call, request)
            place = await self._place(call, request, 1)
        except RefusedError as error:
            return await self._refuse_call(ledger_call, error.refusal)
        outcome = "refused"
        try:
            action = await self._claim(ledger_call)
            if not isinstance(action, Send):
                return await self._finish(ledger_call, action)
            place = await self._renew(call, request, place)
            result = await self._send_once(call, request, place, ledger_call)
            outcome = "ok" if isinstance(result, LedgerOutcome) else "failed"
            return result
        except RefusedError as error:
            return await self._refuse_call(ledger_call, error.refusal)
        finally:
            self._backends.places.release(place, outcome)

    async def _claim(
        self, ledger_call: LedgerCall
    ) -> Commit | LookUp | Proceed | Send | Replay | Refuse:
        action = ledger_call.on_claimed(await self._ledger.perform(ledger_call.claim()))
        while isinstance(action, Commit | LookUp):
            await asyncio.sleep(self._generator.uniform(0.0, CLAIM_DELAY_S))
            action = ledger_call.on_claimed(await self._ledger.perform(action))
        return action

    async def _finish(
        self,
        ledger_call: LedgerCall,
        action: Commit | LookUp | Proceed | Send | Replay | Refuse,
    ) -> LedgerOutcome | Refusal:
        if isinstance(action, Replay):
            body = await self._ledger.get_body(action.response)
            if body is not None:
                return LedgerOutcome(action.response, body, is_replay=True)
            detail = "the call has run, but its stored answer cannot be read"
            return Refusal(
                Reason.PLATFORM_UNAVAILABLE, RunStatus.UNKNOWN, RETRY_AFTER_S, detail
            )
        assert isinstance(action, Refuse)
        if action.must_abandon:
            self._calls.run_in_background(self._ledger.abandon(ledger_call))
        return action.refusal

    async def _refuse_call(
        self, ledger_call: LedgerCall, refusal: Refusal
    ) -> LedgerOutcome | Refusal:
        return await self._finish(ledger_call, ledger_call.refuse(refusal))

    async def _renew(
        self, call: RunningCall, request: ServiceRequest, place: GrantedPlace
    ) -> GrantedPlace:
        """Replace a place that expired while the intent was being stored."""
        try:
            call.check_send(place)
        except PlaceExpiredError:
            self._backends.places.release(place, "refused")
            return await self._place(call, request, 2)
        return place

    async def _send_once(
        self,
        call: RunningCall,
        request: ServiceRequest,
        place: GrantedPlace,
        ledger_call: LedgerCall,
    ) -> LedgerOutcome | Refusal:
        def before_send() -> None:
            call.check_send(place)
            ledger_call.begin_send()
            call.may_have_run = True
            self._backends.places.mark_started(place)

        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                SingleSendClient().request(
                    request.method,
                    request.url(place.address),
                    self._headers(call, request, place),
                    request.body,
                    before_send,
                ) as response,
            ):
                _check_request_id(response, place)
                body = await response.read_up_to(MAX_RESPONSE_BYTES)
                if body is None:
                    raise BrokenResponseError(
                        f"the response body exceeds {MAX_RESPONSE_BYTES} bytes"
                    )
                status = response.status
                content_type = response.headers.get("Content-Type", "")
        except Exception as error:
            if ledger_call.state == "sent":
                log_warning("call_broken", request_id=call.request_id, detail=error)
                commit, refuse = ledger_call.on_broken()
                await self._store(self._ledger.store(commit))
                return refuse.refusal
            return await self._refuse_call(ledger_call, _not_sent_refusal(error))
        await self._store(self._store_response(ledger_call, status, content_type, body))
        return LedgerOutcome(StoredResponse(status, content_type), body)

    async def _store_response(
        self, ledger_call: LedgerCall, status: int, content_type: str, body: bytes
    ) -> None:
        stored = await self._ledger.put_response(
            ledger_call, status, content_type, body
        )
        await self._ledger.store(ledger_call.on_response(stored))

    async def _store(self, storing: object) -> None:
        task = self._calls.run_in_background(storing)
        await asyncio.wait({task}, timeout=STORE_WAIT_S)

    async def _admit(self, call: RunningCall, request: ServiceRequest) -> None:
        # Calls of open routes without a key belong to no organisation; only the
        # pool's queue limits them.
        if call.caller.organisation:
            result = await self._quota.reserve(
                call.caller.organisation, request.cost_tokens
            )
            if isinstance(result, Failure):
                raise RefusedError(result.failure())
        call.check_admitted()
        log_event("admitted", request_id=call.request_id, tokens=request.cost_tokens)

    async def _place(
        self,
        call: RunningCall,
        request: ServiceRequest,
        attempt: int,
        excluded: str = "",
    ) -> GrantedPlace:
        identity = call.request_id if attempt == 1 else f"{call.request_id}.{attempt}"
        place_request = PlaceRequest(
            identity,
            "",
            request.route.pool,
            call.caller.organisation,
            "",
            "",
            request.cost_tokens,
            0,
            [excluded] if excluded else [],
            int(PLACE_WAIT_S * 1000),
            [],
        )
        result = await self._backends.places.request(place_request)
        if isinstance(result, Failure):
            refusal = result.failure()
            if excluded and refusal.reason is Reason.NO_BACKEND_SERVER:
                return await self._place(call, request, attempt)
            raise RefusedError(
                Refusal(refusal.reason, call.ran, refusal.retry_after_s, refusal.detail)
            )
        place = result.unwrap()
        log_event("placed", request_id=call.request_id, server=place.backend_server)
        return place

    async def _open(
        self, call: RunningCall, request: ServiceRequest, place: GrantedPlace
    ) -> AsyncGenerator[BackendResponse, None]:
        def before_send() -> None:
            call.check_send(place)
            call.may_have_run = True
            self._backends.places.mark_started(place)

        client = (
            self._backends.engines if request.route.repeatable else SingleSendClient()
        )
        async with client.request(
            request.method,
            request.url(place.address),
            self._headers(call, request, place),
            request.body,
            before_send,
        ) as response:
            _check_request_id(response, place)
            yield response

    def _headers(
        self, call: RunningCall, request: ServiceRequest, place: GrantedPlace
    ) -> dict[str, str]:
        return {
            **request.headers,
            REQUEST_ID_HEADER: place.request.request_id,
            "X-Fencing-Token": str(place.fencing_token),
        }

    def _check_renewals(self, attempt: int) -> None:
        if attempt > MAX_PLACE_RENEWALS:
            raise RefusedError(_not_sent_refusal(PlaceExpiredError()))

    def _check_retry(
        self, call: RunningCall, request: ServiceRequest, error: Exception
    ) -> None:
        """Raise `RefusedError` unless the call may be retried after an error."""
        log_warning("attempt_failed", request_id=call.request_id, detail=error)
        if request.route.repeatable:
            if self._backends.retries.try_retry():
                return
            raise RefusedError(
                Refusal(
                    Reason.BACKEND_FAILED,
                    call.ran,
                    RETRY_AFTER_S,
                    "the plain service did not answer",
                )
            )
        if not call.may_have_run:
            raise RefusedError(_not_sent_refusal(error))
        detail = "the call was sent and the connection ended before its answer"
        raise RefusedError(
            Refusal(Reason.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, detail=detail)
        )


def _check_request_id(response: BackendResponse, place: GrantedPlace) -> None:
    """Raise `BrokenResponseError` if a response names another request."""
    named = response.headers.get(REQUEST_ID_HEADER)
    if named is not None and named != place.request.request_id:
        raise BrokenResponseError("the answer belongs to another request")


def _not_sent_refusal(error: Exception) -> Refusal:
    if isinstance(error, RefusedError):
        return error.refusal
    detail = "no connection to a plain service could be made in time"
    return Refusal(Reason.NO_BACKEND_SERVER, retry_after_s=RETRY_AFTER_S, detail=detail)
