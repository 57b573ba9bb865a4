"""State of one caller's request across all its sends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from .catalog import Organisation, RepeatPolicy, ServiceRoute
from .event_stream import EventSplitter
from .place_source import GatewayPlace, PendingPlacement
from .plain_routing import PlainChoice
from .request_ends import EndCause, OpenRequest
from .response_timings import ResponseTimings
from .serving_ports import CallerRequest
from .stream_move import StreamMove


@dataclass(slots=True)
class Exchange:
    """State of one caller's request across all its sends.

    Parameters
    ----------
    web_request : web.Request
        The request as received by the HTTP server.
    request : CallerRequest
        The decoded request.
    route : ServiceRoute
        Route that the request matches.
    service : str
        Service that the route's weighted choice selected.
    organisation : Organisation or None
        The authenticated organisation, None on open routes.
    started_at, read_at, deadline, first_event_due_at : float
        Arrival of the headers and of the whole request, the time at which the request
        times out, and the latest time at which the response or its first event counts
        as on time; in seconds of `boot_time`.
    scope : asyncio.Timeout or None
        Ends the request at its deadline, and a begun stream a little later, when the
        caller's own deadline has passed.
    sends, runs, rejected_sends : int
        Sends so far, those that may have run, and those that no server ran because
        it refused the request or could not be reached.
    is_charged : bool
        Whether a request to a plain service was charged to its organisation.
    excluded : set of str
        Servers that are not tried again.
    move : StreamMove or None
        Looks for places of a request to an engine.
    placement : PendingPlacement or None
        What the places of a request to an engine are requested for.
    stream : web.StreamResponse or None
        Streamed response, once it has begun.
    splitter : EventSplitter
        Event parser, which drops events that the caller already has.
    place : GatewayPlace or None
        Place of the current or last run at an engine.
    run_events : int
        How often new events arrived in the current or last run.
    sent_at : float
        Time of the last send in seconds of `boot_time`.
    send_ended_at : float
        End of the last send in seconds of `boot_time`, when its server had the
        request no more; 0 before that.
    last_failure : web.Response or None
        Error response of a backend server, sent if no further attempt succeeds.
    plain_choice : PlainChoice or None
        How the last server of a plain service was chosen.
    times : ResponseTimings
        Timing of the response, for the log.
    open_request : OpenRequest or None
        The request among those that are open.
    """

    web_request: web.Request
    request: CallerRequest
    route: ServiceRoute
    service: str
    organisation: Organisation | None
    started_at: float
    read_at: float
    deadline: float
    first_event_due_at: float
    scope: asyncio.Timeout | None = None
    sends: int = 0
    runs: int = 0
    rejected_sends: int = 0
    is_charged: bool = False
    excluded: set[str] = field(default_factory=set)
    move: StreamMove | None = None
    placement: PendingPlacement | None = None
    stream: web.StreamResponse | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    place: GatewayPlace | None = None
    run_events: int = 0
    sent_at: float = 0.0
    send_ended_at: float = 0.0
    last_failure: web.Response | None = None
    plain_choice: PlainChoice | None = None
    times: ResponseTimings = field(default_factory=ResponseTimings)
    open_request: OpenRequest | None = None

    def set_cause(self, cause: EndCause) -> None:
        """Record why the request ends."""
        if self.open_request is not None:
            self.open_request.cause = cause

    @property
    def may_repeat(self) -> bool:
        """Whether the route and the number of runs allow another run."""
        if self.route.repeat is RepeatPolicy.NEVER:
            return self.runs == 0
        return self.runs < self.route.max_attempts

    @property
    def may_be_refused(self) -> bool:
        """Whether a refusal is better than a search for a server until the deadline.

        The caller cannot be told of a refusal once its stream has begun.
        """
        has_moved = self.move is not None and self.move.has_moved
        return self.stream is None and not has_moved

    @property
    def may_change_version(self) -> bool:
        """Whether another software version may still begin the stream."""
        is_take_up = self.placement is not None and self.placement.is_take_up
        return self.stream is None and not is_take_up

    @property
    def software(self) -> str | None:
        """Software version that the stream has to stay with, None for any."""
        return self.placement.software if self.placement is not None else None

    def release(self) -> None:
        """Drop the body and the last response of a request that has ended."""
        self.request.body = b""
        self.last_failure = None
        self.open_request = None

    def describe_choice(self) -> dict[str, object]:
        """Return log fields on the choice of a plain server; empty for engines."""
        return self.plain_choice.describe() if self.plain_choice is not None else {}
