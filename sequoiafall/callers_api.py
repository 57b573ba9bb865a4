"""HTTP API for callers: completions, models, directory and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from returns.result import Failure, Success

from .admission import ANONYMOUS, Caller, is_utf8, secret_from_header
from .caller_responses import (
    CallContext,
    CallFinisher,
    json_response,
    model_headers,
    refusal_response,
    with_run_status,
)
from .caller_stream import CallerStream
from .calls import (
    RefusedError,
    RunningCalls,
)
from .completion_bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    ResponseBuilder,
    parse_completion,
)
from .completions import Backends, CompletionCall
from .control_client import ControlClient
from .directory import DIRECTORY_TTL_S
from .engine_client import BrokenResponseError
from .gateway_metrics import GatewayMetrics
from .log import log_event, log_warning
from .pass_through import (
    FORWARDED_REQUEST_HEADERS,
    FORWARDED_RESPONSE_HEADERS,
    IDEMPOTENCY_KEY_PATTERN,
    PassThrough,
    ServiceRequest,
)
from .quota_client import QuotaClient
from .refusal import Reason, Refusal, RunStatus, secret_refusal
from .relay import REQUEST_ID_HEADER, Piece
from .secret_scan import contains_secret, value_contains_secret
from .table import Route

MAX_BODY_BYTES = 4 * 1024 * 1024
SERVICES_PREFIX = "/services/"
DONE_EVENT = b"data: [DONE]\n\n"
SERVICE_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
DRAINING_RETRY_AFTER_S = 1.0

CallHandler = Callable[["CallContext"], Awaitable[web.StreamResponse]]


class CallersApi:
    """Handlers of the HTTP API for callers.

    Parameters
    ----------
    control : ControlClient
        Configuration table, its freshness, and the directory of gateways.
    calls : RunningCalls
        Registry of calls in progress.
    quota : QuotaClient
        Token quotas of organisations.
    backends : Backends
        Clients for engines and their places.
    pass_through : PassThrough
        Forwards calls to plain services.
    metrics : GatewayMetrics
        Metrics of this gateway.
    """

    def __init__(
        self,
        control: ControlClient,
        calls: RunningCalls,
        quota: QuotaClient,
        backends: Backends,
        pass_through: PassThrough,
        metrics: GatewayMetrics,
    ) -> None:
        self._control = control
        self._calls = calls
        self._quota = quota
        self._backends = backends
        self._pass_through = pass_through
        self._metrics = metrics
        self._finisher = CallFinisher(control, metrics)
        self.accepts_calls = True

    def application(self) -> web.Application:
        """Build the web application, without the fallback for unknown paths."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post(COMPLETIONS_PATH, self._complete)
        application.router.add_post(CHAT_PATH, self._complete)
        application.router.add_get("/v1/models", self._models)
        application.router.add_get("/v1/directory", self._directory)
        application.router.add_route(
            "*", SERVICES_PREFIX + "{route}{path:(/.*)?}", self._service
        )
        return application

    def add_unknown_route(self, application: web.Application) -> None:
        """Add the fallback for unknown paths; call this after adding all routes."""
        application.router.add_route("*", "/{path:.*}", self._unknown)

    # Handlers

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, "completion", self._run_completion)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, "service", self._run_service)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, "models", self._run_models)

    async def _unknown(self, _request: web.Request) -> web.StreamResponse:
        detail = "there is no such path, or it takes another method"
        refusal = Refusal(Reason.UNKNOWN_ROUTE, detail=detail)
        return refusal_response(refusal, self._calls.next_request_id())

    async def _directory(self, request: web.Request) -> web.StreamResponse:
        request_id = self._calls.next_request_id()
        refusal = self._control.check_fresh()
        if refusal is not None:
            return refusal_response(refusal, request_id)
        organisation = request.query.get("organisation", "")
        entries = self._control.directory.entries_for(organisation)
        body = {
            "organisation": organisation,
            "lifetime_s": DIRECTORY_TTL_S,
            "addresses": [
                {"address": entry.address, "zone": entry.zone} for entry in entries
            ],
        }
        return json_response(body, request_id)

    async def _handle(
        self, request: web.Request, kind: str, handler: CallHandler
    ) -> web.StreamResponse:
        """Run a call, map its errors to responses, and log how it ended."""
        started_at = self._control.clock()
        context = CallContext(request, self._calls.next_request_id(), kind, started_at)
        log_event("received", request_id=context.request_id, kind=kind)
        try:
            caller = self._admit(context)
            with self._calls.running(context.request_id, caller) as call:
                context.call = call
                context.stream = CallerStream(request, call)
                try:
                    response = await handler(context)
                except asyncio.CancelledError:
                    if call.ended_by is None:
                        raise
                    # The cancellation came from `RunningCall.end`.
                    asyncio.current_task().uncancel()  # type: ignore[union-attr]
                    raise RefusedError(with_run_status(call.ended_by, call)) from None
                except RefusedError as error:
                    raise RefusedError(with_run_status(error.refusal, call)) from error
            self._finisher.finish(context, "ok")
            return response
        except RefusedError as error:
            return await self._finisher.refuse(context, error.refusal)
        except ConnectionError:
            self._finisher.finish(context, "caller_left")
            return self._finisher.close(context)
        except asyncio.CancelledError:
            self._finisher.finish(context, "caller_left")
            raise
        except BrokenResponseError as error:
            return self._finisher.abort(context, error)
        except Exception as error:
            # Only the type is logged: the text of an unexpected error may contain
            # parts of a request.
            log_warning(
                "failed", request_id=context.request_id, error=type(error).__name__
            )
            return await self._finisher.refuse(
                context, Refusal(Reason.BACKEND_FAILED, RunStatus.UNKNOWN, 1.0)
            )

    def _admit(self, context: CallContext) -> Caller:
        """Authenticate a request, or raise if it is refused."""
        if not self.accepts_calls:
            detail = "the gateway is stopping"
            raise RefusedError(
                Refusal(
                    Reason.DRAINING,
                    retry_after_s=DRAINING_RETRY_AFTER_S,
                    detail=detail,
                )
            )
        refusal = self._control.check_fresh()
        if refusal is not None:
            raise RefusedError(refusal)
        header = context.request.headers.get("Authorization")
        context.secret = secret_from_header(header)
        if header is None and context.kind == "service":
            return ANONYMOUS
        match self._control.admission.authenticate(context.secret):
            case Success(caller):
                context.fields["organisation"] = caller.organisation
                return caller
            case Failure(refusal):
                raise RefusedError(refusal)
        raise AssertionError("unreachable")

    async def _read_body(self, context: CallContext) -> bytes:
        try:
            return await context.request.read()
        except web.HTTPRequestEntityTooLarge:
            detail = f"the body must be at most {MAX_BODY_BYTES} bytes"
            raise RefusedError(Refusal(Reason.INVALID_REQUEST, detail=detail)) from None

    # Models

    async def _run_models(self, context: CallContext) -> web.StreamResponse:
        names = self._control.admission.models_of(context.running.caller)
        body = {
            "object": "list",
            "data": [{"id": name, "object": "model"} for name in names],
        }
        return json_response(body, context.request_id)

    # Completions

    async def _run_completion(self, context: CallContext) -> web.StreamResponse:
        body = await self._read_body(context)
        context.running.check_admitted()
        request = _unwrap(parse_completion(context.request.path, body))
        if value_contains_secret(context.secret, dict(request.fields)):
            raise RefusedError(secret_refusal())
        caller = context.running.caller
        model = _unwrap(self._control.admission.resolve_model(caller, request.model))
        reservation = _unwrap(
            await self._quota.reserve(caller.organisation, request.cost.tokens)
        )
        completion = CompletionCall(context.running, request, model, self._backends)
        try:
            context.running.check_admitted()
            log_event(
                "admitted",
                request_id=context.request_id,
                organisation=caller.organisation,
                model=model.model,
                tokens=request.cost.tokens,
            )
            if request.stream:
                return await self._respond_streamed(context, completion)
            return await self._respond_buffered(context, completion)
        finally:
            generated = completion.relay.next_offset
            used = request.cost.prompt_tokens + generated
            self._quota.settle(
                caller.organisation, reservation, used if completion.attempts else 0
            )
            context.fields["generated_tokens"] = generated
            self._metrics.count_stream(
                completion.relay.counts, generated, completion.resumes
            )

    async def _respond_streamed(
        self, context: CallContext, completion: CompletionCall
    ) -> web.StreamResponse:
        stream = context.stream
        assert stream is not None
        model, request = completion.model, completion.request
        builder = ResponseBuilder(context.request_id, model, request)
        headers = model_headers(context.request_id, model)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-cache"

        async def forward(due: list[Piece]) -> None:
            if stream.response is None:
                await stream.start(200, headers)
                self._finisher.record_first_byte(context)
            engine_id = completion.relay.request_id
            events = [builder.encode_event(piece, engine_id) for piece in due]
            await stream.write(b"".join(events))

        await completion.run(forward)
        if stream.response is None:
            await stream.start(200, headers)
        await context.running.wait_writable()
        await stream.end(DONE_EVENT)
        assert stream.response is not None
        return stream.response

    async def _respond_buffered(
        self, context: CallContext, completion: CompletionCall
    ) -> web.StreamResponse:
        model, request = completion.model, completion.request
        builder = ResponseBuilder(context.request_id, model, request)

        async def collect(due: list[Piece]) -> None:
            for piece in due:
                builder.add(piece)

        await completion.run(collect)
        # Sends no response if the key was withdrawn in the meantime.
        await context.running.wait_writable()
        self._finisher.record_first_byte(context)
        return web.Response(
            body=builder.encode_response(
                request.cost.prompt_tokens, completion.relay.next_offset
            ),
            content_type="application/json",
            headers=model_headers(context.request_id, model),
        )

    # Plain services

    async def _run_service(self, context: CallContext) -> web.StreamResponse:
        caller = context.running.caller
        route = _unwrap(
            self._control.admission.resolve_route(
                caller if caller is not ANONYMOUS else None,
                context.request.match_info["route"],
            )
        )
        request = await self._service_request(context, route)
        context.running.check_admitted()
        if route.repeatable or not request.idempotency_key:
            return await self._forward(context, request)
        outcome = await self._pass_through.run_with_ledger(context.running, request)
        await context.running.wait_writable()
        self._finisher.record_first_byte(context)
        headers = {REQUEST_ID_HEADER: context.request_id}
        if outcome.response.content_type:
            headers["Content-Type"] = outcome.response.content_type
        if outcome.is_replay:
            headers["Idempotent-Replayed"] = "true"
        return web.Response(
            status=outcome.response.status, headers=headers, body=outcome.body
        )

    async def _service_request(
        self, context: CallContext, route: Route
    ) -> ServiceRequest:
        """Build the request for a plain service, without the caller's key."""
        request = context.request
        if request.method not in SERVICE_METHODS:
            raise RefusedError(_invalid_request("the method is not supported"))
        key = request.headers.get("Idempotency-Key", "")
        if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            detail = "Idempotency-Key must be 1 to 200 of A-Z a-z 0-9 . _ : -"
            raise RefusedError(_invalid_request(detail))
        if key and not route.repeatable and context.running.caller is ANONYMOUS:
            # Stored responses belong to an organisation, which is unknown here.
            raise RefusedError(
                _invalid_request("an Idempotency-Key needs a caller's key")
            )
        headers = {
            name: request.headers[name]
            for name in FORWARDED_REQUEST_HEADERS
            if name in request.headers
        }
        prefix = len(SERVICES_PREFIX) + len(_raw_route_name(request.raw_path))
        path = request.raw_path[prefix:] or "/"
        if not path.startswith("/"):
            path = "/" + path
        if not all(map(is_utf8, headers.values())):
            raise RefusedError(_invalid_request("a header is not in UTF-8"))
        body = await self._read_body(context)
        if contains_secret(context.secret, [path, body, *headers.values()]):
            raise RefusedError(secret_refusal())
        return ServiceRequest(route, request.method, path, headers, body, key)

    async def _forward(
        self, context: CallContext, request: ServiceRequest
    ) -> web.StreamResponse:
        stream = context.stream
        assert stream is not None
        async with self._pass_through.forward(context.running, request) as response:
            headers = {
                name: response.headers[name]
                for name in FORWARDED_RESPONSE_HEADERS
                if name in response.headers
            }
            headers[REQUEST_ID_HEADER] = context.request_id
            await stream.start(response.status, headers)
            self._finisher.record_first_byte(context)
            while chunk := await response.read_chunk():
                await stream.write(chunk)
        await stream.end()
        assert stream.response is not None
        return stream.response


def _raw_route_name(raw_path: str) -> str:
    rest = raw_path[len(SERVICES_PREFIX) :]
    return rest.partition("/")[0].partition("?")[0]


def _unwrap(result: Any) -> Any:
    if isinstance(result, Failure):
        raise RefusedError(result.failure())
    return result.unwrap()


def _invalid_request(detail: str) -> Refusal:
    return Refusal(Reason.INVALID_REQUEST, detail=detail)
