"""Runs one completion on engines, with retries and resumption of broken streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure

from .admission import ResolvedModel
from .calls import PlaceExpiredError, RefusedError, RunningCall
from .completion_bodies import CompletionRequest
from .decoding import decode_json
from .engine_client import (
    BackendResponse,
    BrokenResponseError,
    EngineClient,
    NotSentError,
)
from .log import log_event, log_warning
from .place_client import PLACE_WAIT_S, GrantedPlace, PlaceClient
from .prefix_index import prefix_hashes
from .refusal import Reason, Refusal
from .relay import Piece, StreamRelay, check_response_headers
from .retry import RetryBudget
from .wire.gen.ttypes import PlaceRequest

# A stream that has to be resumed more often is ended, so that one request cannot
# occupy the pool indefinitely.
MAX_RESUMES = 8
# Resumptions of a stream that take nothing from the retry budget.
UNBUDGETED_RESUMES = 1
MAX_PLACE_RENEWALS = 3
MAX_ERROR_BODY_BYTES = 4096

# Prompts share a prefix, such as instructions; hashing more of a long prompt costs
# time without finding further matches.
MAX_HASHED_CHARACTERS = 8192
RETRY_AFTER_FAILURE_S = 1.0

_OUTCOMES_BY_REASON = {Reason.WRONG_ADAPTER: "wrong_adapter"}

Deliver = Callable[[list[Piece]], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class _AttemptResult:
    """Outcome of an attempt as reported for its place, and the reason of a failure."""

    outcome: str
    failure: Refusal | None = None
    may_try_again: bool = True


@dataclass(slots=True)
class Backends:
    """Clients for backend servers and their places, and the retry budget."""

    engines: EngineClient
    places: PlaceClient
    retries: RetryBudget


@dataclass(slots=True)
class CompletionCall:
    """One admitted completion, which may need several attempts.

    Parameters
    ----------
    call : RunningCall
        The call that the completion belongs to.
    request : CompletionRequest
        The checked request.
    model : ResolvedModel
        Adapter version and pool that the request resolved to.
    backends : Backends
        Clients and the retry budget.
    """

    call: RunningCall
    request: CompletionRequest
    model: ResolvedModel
    backends: Backends
    relay: StreamRelay = field(init=False)
    attempts: int = 0
    resumes: int = 0
    renewals: int = 0
    _excluded: list[str] = field(default_factory=list)
    _attempt_id: str = ""

    def __post_init__(self) -> None:
        self.relay = StreamRelay(self.call.request_id)
        self._attempt_id = self.call.request_id

    async def run(self, deliver: Deliver) -> None:
        """Deliver the pieces of the response in order, each exactly once.

        Parameters
        ----------
        deliver : callable
            Receives the next pieces in order. Nothing more is read from the engine
            until it returns; an exception that it raises ends the call.

        Raises
        ------
        RefusedError
            If the response could not be obtained, or not completely.
        """
        self.backends.retries.on_request()
        while not self.relay.is_complete:
            if self._has_started:
                await self.call.wait_writable()
            place = await self._place()
            if place is None:
                continue
            self.attempts += 1
            result = _AttemptResult("cancelled")
            try:
                result = await self._attempt(place, deliver)
            finally:
                self.backends.places.release(place, result.outcome)
            if result.failure is not None and not result.may_try_again:
                raise RefusedError(self._with_run_status(result.failure))
            if not self.relay.is_complete:
                await self._prepare_next(place, result.failure)

    async def _attempt(self, place: GrantedPlace, deliver: Deliver) -> _AttemptResult:
        """Send the request to the engine of a place and deliver its response."""
        response: BackendResponse | None = None
        relay = self.relay
        try:
            try:
                response = await self._send(place)
                await self._check_response(response)
            except PlaceExpiredError:
                return _AttemptResult("refused")
            except RefusedError as error:
                failure = error.refusal
                outcome = _OUTCOMES_BY_REASON.get(failure.reason, "refused")
                return _AttemptResult(outcome, failure, self._may_try_again(failure))
            while not relay.is_complete and not relay.must_resume:
                chunk = await response.read_chunk()
                if not chunk:
                    break
                due = relay.feed(chunk)
                if due:
                    response.mark_progress()
                    place.generated_tokens = relay.next_offset
                    await deliver(due)
        except (NotSentError, BrokenResponseError) as error:
            return _AttemptResult("failed", self._failure(str(error)))
        finally:
            if response is not None:
                response.release(relay.is_complete)
            self._cancel_unfinished(place)
        if relay.is_complete:
            return _AttemptResult("ok")
        return _AttemptResult("failed", self._failure("the stream broke off"))

    @property
    def _has_started(self) -> bool:
        """Whether a part of the response was already delivered."""
        return self.relay.next_offset > 0

    def _may_try_again(self, refusal: Refusal) -> bool:
        if refusal.reason is Reason.STALE_CONFIGURATION:
            # A started stream waits for a current configuration; others are refused.
            return self._has_started
        return refusal.reason is Reason.WRONG_ADAPTER

    async def _place(self) -> GrantedPlace | None:
        """Request a place; return None if the stream has to be suspended."""
        request = PlaceRequest(
            self._attempt_id,
            "",
            self.model.pool,
            self.call.caller.organisation,
            self.model.adapter,
            self.model.version,
            self.request.cost.prompt_tokens,
            max(1, self.request.max_tokens - self.relay.next_offset),
            self._excluded,
            int(PLACE_WAIT_S * 1000),
            prefix_hashes(
                self.request.prompt[:MAX_HASHED_CHARACTERS], self.model.adapter
            ),
        )
        result = await self.backends.places.request(request)
        if isinstance(result, Failure):
            refusal = result.failure()
            if refusal.reason is Reason.NO_BACKEND_SERVER and self._excluded:
                # The pool may have only the excluded server.
                self._excluded = []
                request.excluded_servers = []
                result = await self.backends.places.request(request)
        if isinstance(result, Failure):
            refusal = result.failure()
            if self._may_try_again(refusal):
                return None
            raise RefusedError(self._with_run_status(refusal))
        place = result.unwrap()
        log_event(
            "placed",
            request_id=self.call.request_id,
            server=place.backend_server,
            waited_for_load=bool(place.reply.waited_for_load),
            attempt=self.attempts + 1,
        )
        return place

    async def _send(self, place: GrantedPlace) -> BackendResponse:
        """Send the request to the engine of a place."""
        offset = self.relay.start_connection(self._attempt_id)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": self._attempt_id,
            "X-Fencing-Token": str(place.fencing_token),
            "X-Adapter": self.model.adapter,
            "X-Adapter-Version": self.model.version,
        }
        if offset:
            headers["X-Resume-Offset"] = str(offset)

        def before_send() -> None:
            self.call.check_send(place)
            self.call.may_have_run = True
            self.backends.places.mark_started(place)

        url = f"http://{place.address}{self.request.path}"
        body = self.request.body_for(self.model)
        return await self.backends.engines.open("POST", url, headers, body, before_send)

    def _cancel_unfinished(self, place: GrantedPlace) -> None:
        if place.started and not self.relay.is_complete and not self.relay.moved:
            asyncio.ensure_future(  # noqa: RUF006 - ends by its own time limit
                self.backends.engines.cancel_stream(place.address, self._attempt_id)
            )

    async def _check_response(self, response: BackendResponse) -> None:
        """Check the status, and that the response is for this request and adapter."""
        if response.status != 200:
            body = await response.read_up_to(MAX_ERROR_BODY_BYTES) or b""
            reason = _error_reason(body)
            raise BrokenResponseError(f"status {response.status} {reason}".rstrip())
        refusal = check_response_headers(
            response.headers, self._attempt_id, self.model.adapter, self.model.version
        )
        if refusal is not None:
            raise RefusedError(refusal)

    async def _prepare_next(self, place: GrantedPlace, failure: Refusal | None) -> None:
        """Back off before the next attempt, or raise if no attempt is left.

        If `failure` is None, the place expired before anything was sent.
        """
        if self.relay.moved:
            self.resumes += 1
            if self.resumes > MAX_RESUMES:
                raise RefusedError(self._failure("the stream was moved too often"))
            return
        self._attempt_id = f"{self.call.request_id}.{self.attempts}"
        if failure is None or failure.reason is Reason.STALE_CONFIGURATION:
            self.renewals += 1
            if self.renewals > MAX_PLACE_RENEWALS:
                raise RefusedError(self._failure("each place expired before the send"))
            return
        log_warning(
            "attempt_failed",
            request_id=self.call.request_id,
            server=place.backend_server,
            reason=failure.reason,
            detail=failure.detail,
            offset=self.relay.next_offset,
        )
        self._excluded = [place.backend_server]
        if self._has_started:
            # The loss of an engine breaks all its streams at once, more than the
            # retry budget could cover, so the first resumption is free. The budget
            # limits the rest: engines that break every stream would otherwise
            # receive MAX_RESUMES times the load.
            self.resumes += 1
            is_unbudgeted = self.resumes <= UNBUDGETED_RESUMES
            if self.resumes > MAX_RESUMES or not (
                is_unbudgeted or self.backends.retries.try_retry()
            ):
                raise RefusedError(self._with_run_status(failure))
        elif not self.backends.retries.try_retry():
            raise RefusedError(self._with_run_status(failure))
        await asyncio.sleep(self.backends.retries.delay_s(self.attempts))

    def _failure(self, detail: str) -> Refusal:
        return Refusal(
            Reason.BACKEND_FAILED, self.call.ran, RETRY_AFTER_FAILURE_S, detail
        )

    def _with_run_status(self, refusal: Refusal) -> Refusal:
        return Refusal(
            refusal.reason, self.call.ran, refusal.retry_after_s, refusal.detail
        )


def _error_reason(body: bytes) -> str:
    try:
        values = decode_json(body)
    except msgspec.DecodeError:
        return ""
    reason = values.get("reason") if isinstance(values, dict) else None
    return reason if isinstance(reason, str) and reason.isidentifier() else ""
