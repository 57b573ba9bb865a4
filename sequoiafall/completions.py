"""Runs one completion: place, send, relay, resume, settle."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure

from .admission import ResolvedModel
from .calls import PlaceExpiredError, RefusedError, RunningCall
from .completion_bodies import CompletionRequest
from .engine_client import (
    BackendResponse,
    BrokenResponseError,
    EngineClient,
    NotSentError,
)
from .log import log_event, log_warning
from .place_client import PLACE_WAIT_S, Place, PlaceClient
from .prefix_index import prefix_hashes
from .refusal import Reason, Refusal
from .relay import Piece, StreamRelay, check_answer
from .retry import RetryBudget
from .wire.gen.ttypes import PlaceRequest

# A stream that breaks more often than this on different engines is ended, so
# that one request cannot occupy the pool for ever.
MAX_RESUMES = 8
FREE_RESUMES = 1
MAX_PLACE_RENEWALS = 3
MAX_ERROR_BODY_BYTES = 4096

# Prompts share instructions at their start; hashing more of a long prompt
# costs time and finds nothing.
MAX_HASHED_CHARACTERS = 8192
RETRY_AFTER_FAILURE_S = 1.0

_OUTCOMES_BY_REASON = {Reason.WRONG_ADAPTER: "wrong_adapter"}

Deliver = Callable[[list[Piece]], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class _AttemptEnd:
    """How an attempt ended: what its place is told, and why it failed."""

    outcome: str
    failure: Refusal | None = None
    may_try_again: bool = True


@dataclass(slots=True)
class Backends:
    """What a call needs to reach backend servers."""

    engines: EngineClient
    places: PlaceClient
    retries: RetryBudget


@dataclass(slots=True)
class CompletionCall:
    """One completion from admission to its last piece.

    Parameters
    ----------
    call : RunningCall
        The call it belongs to.
    request : CompletionRequest
        What the caller asked for.
    model : ResolvedModel
        Adapter, version and pool.
    backends : Backends
        Engines, places and the retry budget.
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
    _identity: str = ""

    def __post_init__(self) -> None:
        self.relay = StreamRelay(self.call.request_id)
        self._identity = self.call.request_id

    async def run(self, deliver: Deliver) -> None:
        """Deliver the pieces of the answer in order, each once.

        Parameters
        ----------
        deliver : callable
            Takes the pieces that are due; nothing more is read until it
            returns. What it raises ends the call.

        Raises
        ------
        RefusedError
            If the answer cannot be had, or not to its end.
        """
        self.backends.retries.on_request()
        while not self.relay.is_complete:
            if self._has_begun:
                await self.call.wait_writable()
            place = await self._place()
            if place is None:
                continue
            self.attempts += 1
            end = _AttemptEnd("cancelled")
            try:
                end = await self._attempt(place, deliver)
            finally:
                self.backends.places.release(place, end.outcome)
            if end.failure is not None and not end.may_try_again:
                raise RefusedError(self._with_ran(end.failure))
            if not self.relay.is_complete:
                await self._prepare_next(place, end.failure)

    async def _attempt(self, place: Place, deliver: Deliver) -> _AttemptEnd:
        """Send the request on a place and deliver what arrives on it."""
        answer: BackendResponse | None = None
        relay = self.relay
        try:
            try:
                answer = await self._send(place)
                await self._check(answer)
            except PlaceExpiredError:
                return _AttemptEnd("refused")
            except RefusedError as error:
                failure = error.refusal
                outcome = _OUTCOMES_BY_REASON.get(failure.reason, "refused")
                return _AttemptEnd(outcome, failure, self._may_try_again(failure))
            while not relay.is_complete and not relay.must_resume:
                chunk = await answer.read_chunk()
                if not chunk:
                    break
                due = relay.on_bytes(chunk)
                if due:
                    answer.mark_progress()
                    place.generated_tokens = relay.next_offset
                    await deliver(due)
        except (NotSentError, BrokenResponseError) as error:
            return _AttemptEnd("failed", self._failure(str(error)))
        finally:
            if answer is not None:
                answer.release(relay.is_complete)
            self._cancel_unfinished(place)
        if relay.is_complete:
            return _AttemptEnd("ok")
        return _AttemptEnd("failed", self._failure("the stream broke off"))

    @property
    def _has_begun(self) -> bool:
        """Whether the caller has received a part of the answer."""
        return self.relay.next_offset > 0

    def _may_try_again(self, refusal: Refusal) -> bool:
        if refusal.reason is Reason.STALE_CONFIGURATION:
            # A stream that has begun is suspended; a new call is refused.
            return self._has_begun
        return refusal.reason is Reason.WRONG_ADAPTER

    async def _place(self) -> Place | None:
        """Return a place, or None if the stream is suspended."""
        request = PlaceRequest(
            self._identity,
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
                # A pool of one server has no other to try.
                self._excluded = []
                request.excluded_servers = []
                result = await self.backends.places.request(request)
        if isinstance(result, Failure):
            refusal = result.failure()
            if self._may_try_again(refusal):
                return None
            raise RefusedError(self._with_ran(refusal))
        place = result.unwrap()
        log_event(
            "placed",
            request_id=self.call.request_id,
            server=place.backend_server,
            waited_for_load=bool(place.reply.waited_for_load),
            attempt=self.attempts + 1,
        )
        return place

    async def _send(self, place: Place) -> BackendResponse:
        """Send the request on a place."""
        offset = self.relay.on_connection(self._identity)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": self._identity,
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

    def _cancel_unfinished(self, place: Place) -> None:
        if place.started and not self.relay.is_complete and not self.relay.moved:
            asyncio.ensure_future(  # noqa: RUF006 - ends by its own time limit
                self.backends.engines.cancel_stream(place.address, self._identity)
            )

    async def _check(self, answer: BackendResponse) -> None:
        """Check that the answer is the one that was asked for."""
        if answer.status != 200:
            body = await answer.read_up_to(MAX_ERROR_BODY_BYTES) or b""
            reason = _reason_of(body)
            raise BrokenResponseError(f"status {answer.status} {reason}".rstrip())
        refusal = check_answer(
            answer.headers, self._identity, self.model.adapter, self.model.version
        )
        if refusal is not None:
            raise RefusedError(refusal)

    async def _prepare_next(self, place: Place, failure: Refusal | None) -> None:
        """Wait before the next attempt, or raise if there is none.

        Without a failure the place expired and nothing was sent on it.
        """
        if self.relay.moved:
            self.resumes += 1
            if self.resumes > MAX_RESUMES:
                raise RefusedError(self._failure("the stream was moved too often"))
            return
        self._identity = f"{self.call.request_id}.{self.attempts}"
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
        if self._has_begun:
            # When an engine is lost, all its streams break at once, more than the
            # retry budget has; engines that break each stream again and again
            # would receive MAX_RESUMES times the load without it.
            self.resumes += 1
            is_free = self.resumes <= FREE_RESUMES
            if self.resumes > MAX_RESUMES or not (
                is_free or self.backends.retries.try_retry()
            ):
                raise RefusedError(self._with_ran(failure))
        elif not self.backends.retries.try_retry():
            raise RefusedError(self._with_ran(failure))
        await asyncio.sleep(self.backends.retries.delay_s(self.attempts))

    def _failure(self, detail: str) -> Refusal:
        return Refusal(
            Reason.BACKEND_FAILED, self.call.ran, RETRY_AFTER_FAILURE_S, detail
        )

    def _with_ran(self, refusal: Refusal) -> Refusal:
        return Refusal(
            refusal.reason, self.call.ran, refusal.retry_after_s, refusal.detail
        )


def _reason_of(body: bytes) -> str:
    try:
        values = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
    reason = values.get("reason") if isinstance(values, dict) else None
    return reason if isinstance(reason, str) and reason.isidentifier() else ""
