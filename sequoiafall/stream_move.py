"""Moves streams without events to another engine that has a place for them.

The stream stays at its engine until another one has taken it: the engine may be sound
and go on, and the other one may refuse it. Only then is the connection closed and the
stream resumed elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator

from .boot_clock import boot_time
from .log import log_event, log_warning
from .place_source import GatewayPlace, PendingPlacement, PlaceSource
from .refusal import Reason, Refusal
from .retry import RetryBudget, back_off_s
from .send_outcome import Outcome
from .server_notices import ServerNotices
from .stall_timeout import FIRST_EVENT_TIMEOUT_S, LOOK_AGAIN_S, StallClock
from .stream_offer import StreamOffer
from .trial_admission import RunEnd

# Longest delay before the next look for a server of a stream that has none. It
# bounds the requests to the leader when all engines of a service are gone.
MAX_LOOK_AGAIN_S = 1.0
# Refused moves of a request that are logged.
MAX_LOGGED_REFUSALS = 3


class MovedError(Exception):
    """Another engine has the stream, which goes on there."""


class StreamMove:
    """Places of one request: its next one, and one elsewhere while it runs.

    Parameters
    ----------
    pending : PendingPlacement
        The request.
    places : PlaceSource
        Assigns the places.
    notices : ServerNotices
        Servers that asked for a pause.
    budget : RetryBudget
        Limits the moves.
    excluded : set of str
        Servers that are not tried again. It is cleared if no other server takes a
        stream that cannot be refused any more.
    may_leave_server : callable
        Returns whether the stream may leave a server that may be sound.
    begin_offer : callable
        Begins to send the stream to the server of a place.
    on_refused : callable
        Called when a server does not take the stream, with the outcome of the send.

    Attributes
    ----------
    has_moved : bool
        Whether a server was left that may be sound.
    """

    __slots__ = (
        "_begin_offer",
        "_budget",
        "_clock",
        "_decision",
        "_excluded",
        "_found",
        "_has_retry",
        "_is_closed",
        "_is_wanted",
        "_logged_refusals",
        "_may_leave_server",
        "_notices",
        "_offer",
        "_on_refused",
        "_pending",
        "_places",
        "_refused_offers",
        "_scope",
        "_search",
        "_server",
        "_timer",
        "has_moved",
    )

    def __init__(
        self,
        pending: PendingPlacement,
        places: PlaceSource,
        notices: ServerNotices,
        budget: RetryBudget,
        excluded: set[str],
        may_leave_server: Callable[[], bool],
        begin_offer: Callable[[GatewayPlace], StreamOffer],
        on_refused: Callable[[StreamOffer, Outcome], None],
    ) -> None:
        self._may_leave_server = may_leave_server
        self._begin_offer = begin_offer
        self._on_refused = on_refused
        self._pending = pending
        self._places = places
        self._notices = notices
        self._budget = budget
        self._excluded = excluded
        self._server = ""
        self._clock = StallClock(0.0, 0.0)
        self._scope: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._search: asyncio.Task[GatewayPlace | Refusal] | None = None
        # Whether the stream still has no events since the search began.
        self._is_wanted = False
        self._found: GatewayPlace | None = None
        # The send to the place that was found, until it is refused or taken over.
        self._offer: StreamOffer | None = None
        self._decision: asyncio.Task[None] | None = None
        self._refused_offers = 0
        # Whether a retry was taken for a move that has not happened yet.
        self._has_retry = False
        self._is_closed = False
        self._logged_refusals = 0
        self.has_moved = False

    # Between two sends

    async def take(self, may_refuse: bool) -> GatewayPlace | Refusal:
        """Return the place of the next send.

        Parameters
        ----------
        may_refuse : bool
            Whether the request may still be refused. Otherwise the search goes on
            until the caller cancels it.
        """
        refusals = 0
        while True:
            if self._search is not None:
                await asyncio.wait({self._search})
            place, self._found = self._found, None
            if place is not None:
                return place
            reply = await self._places.take(self._pending, self._avoided())
            if isinstance(reply, GatewayPlace) or may_refuse:
                return reply
            if reply.reason is Reason.STREAM_VERSION_GONE:
                # No server can go on with it any more.
                return reply
            self._log_refusal(reply)
            # A server that was left because it sent nothing may be sound.
            self._excluded.clear()
            refusals += 1
            pause_s = back_off_s(LOOK_AGAIN_S, refusals, MAX_LOOK_AGAIN_S)
            await asyncio.sleep(pause_s)

    def take_offer(self) -> StreamOffer | None:
        """Return the send to the place that `take` returned, if it was made."""
        offer, self._offer = self._offer, None
        self._decision = None
        return offer

    async def wait_taken(self) -> bool:
        """Return whether another server takes the stream that its own one has ended.

        It waits for the response if the stream was sent there. Otherwise the place is
        that of the next send, if there is one.
        """
        await self.wait_decided()
        if self._offer is None or not self._offer.is_sent:
            self._drop_offer()
            self._give_back_retry()
            return False
        self._has_retry = False
        self.has_moved = True
        return True

    def close(self) -> None:
        """Stop to look for a place, and release one that is not used."""
        self._is_closed = True
        self._stop_timer()
        self._give_up()

    # During a send

    @contextlib.asynccontextmanager
    async def watch(self, server: str, timeout_s: float) -> AsyncIterator[None]:
        """Run a send to a server until another one has taken its stream.

        Parameters
        ----------
        server : str
            Server that the request is sent to.
        timeout_s : float
            Seconds to the first event, after which a place elsewhere is requested.

        Raises
        ------
        MovedError
            If another server has the stream; `take` and `take_offer` return its
            place and the send.
        """
        self._server = server
        self._clock = StallClock(boot_time(), timeout_s)
        self._scope = scope = asyncio.timeout(None)
        self._schedule()
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if not scope.expired() or self._found is None:
                raise
            self.has_moved = True
            self._has_retry = False
            log_event(
                "stream_moved",
                request_id=self._pending.request.request_id,
                silent_ms=int(self._clock.silent_s(boot_time()) * 1e3),
                **{"from": server, "to": self._found.server},
            )
            raise MovedError from error
        finally:
            self._scope = None
            self._stop_timer()
            if self._offer is None:
                self._give_back_retry()

    async def wait_decided(self) -> None:
        """Wait until a server that was sent the stream has taken or refused it.

        What its own server sends meanwhile is not passed on: the other one goes on
        behind the last event that was. If it takes the stream, the context of the send
        ends.
        """
        while self._offer is not None and self._offer.is_sent:
            if self._decision is None or self._decision.done():
                if self._decision is not None:
                    self._decision.result()
                if self._scope is not None:
                    await asyncio.get_running_loop().create_future()
                return
            await asyncio.wait({self._decision})

    def on_event(self, timeout_s: float) -> None:
        """Record new events of the stream, and the seconds until the next are due.

        Nothing may be awaited between `wait_decided` and this.
        """
        if self._scope is None:
            return
        self._clock.on_event(boot_time(), timeout_s)
        self._give_up()
        self._schedule()

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Do not count the time in which the gateway waits for the caller.

        The server's events are not read meanwhile.
        """
        self._clock.hold(boot_time())
        try:
            yield
        finally:
            self._clock.resume(boot_time())
            if self._scope is not None and self._search is None:
                self._schedule()

    def _schedule(self) -> None:
        # A timer that is too early is kept: events arrive far more often than it ends.
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self._clock.due_s(boot_time())
        if self._timer is None or self._timer.when() > due_at:
            self._stop_timer()
            self._timer = loop.call_at(due_at, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._clock.is_held or self._offer is not None:
            return
        if self._clock.due_s(boot_time()) > 0.0:
            self._schedule()
            return
        if (
            self._search is None
            and self._may_leave_server()
            and self._budget.try_reserve()
        ):
            self._is_wanted = True
            avoided = self._avoided() | {self._server}
            self._search = asyncio.get_running_loop().create_task(
                self._places.take(self._pending, avoided)
            )
            self._search.add_done_callback(self._on_search_done)
            return
        self._clock.on_not_found(boot_time())
        self._schedule()

    def _on_search_done(self, search: asyncio.Task[GatewayPlace | Refusal]) -> None:
        self._search = None
        self._budget.release()
        reply = _result_of(search)
        if isinstance(reply, GatewayPlace):
            self._found = reply
            # Without a send in progress, `take` is waiting for the place.
            if self._is_closed or (self._scope is not None and not self._may_move()):
                self._release_found()
            elif self._scope is not None:
                self._offer = self._begin_offer(reply)
                self._decision = asyncio.get_running_loop().create_task(
                    self._decide(self._offer)
                )
                return
        elif self._is_wanted:
            self._log_refusal(reply)
        if self._scope is None:
            return
        if self._is_wanted:
            self._clock.on_not_found(boot_time())
        # Also after a request that was withdrawn: `hold` sets no timer while one is
        # pending.
        if not self._clock.is_held:
            self._schedule()

    async def _decide(self, offer: StreamOffer) -> None:
        """Leave the server once another one has taken the stream."""
        outcome = await offer.decide()
        if outcome is None:
            if self._scope is not None:
                self._scope.reschedule(asyncio.get_running_loop().time())
            return
        self._offer = self._found = None
        offer.close()
        if offer.is_sent:
            self._has_retry = False
        else:
            self._give_back_retry()
        self._on_refused(offer, outcome)
        self._refused_offers += 1
        if self._scope is None:
            return
        delay_s = back_off_s(LOOK_AGAIN_S, self._refused_offers, MAX_LOOK_AGAIN_S)
        self._clock.on_not_found(boot_time(), delay_s)
        if not self._clock.is_held:
            self._schedule()

    def _may_move(self) -> bool:
        """Take the retry of a move, unless it is not wanted or there is none."""
        if self._is_wanted and not self._clock.is_held and self._may_leave_server():
            self._has_retry = self._budget.try_retry()
        return self._has_retry

    def _give_back_retry(self) -> None:
        if self._has_retry:
            self._has_retry = False
            self._budget.give_back()

    def _avoided(self) -> frozenset[str]:
        paused = (row.server for row in self._notices.pauses())
        return frozenset(self._excluded.union(paused))

    def _give_up(self) -> None:
        """Withdraw the request for a place elsewhere, or release that place."""
        if self._found is not None:
            if self._scope is not None:
                self._scope.reschedule(None)
            if self._offer is None or not self._offer.is_sent:
                self._give_back_retry()
            self._release_found()
        if self._search is not None and self._is_wanted:
            self._places.withdraw(self._pending)
        self._is_wanted = False

    def _release_found(self) -> None:
        run = RunEnd("unused")
        if self._offer is not None and self._offer.is_sent:
            run = RunEnd("cancelled", sent_at=self._offer.sent_at)
        self._drop_offer()
        if self._found is not None:
            self._places.end(self._pending, self._found, run)
            self._found = None

    def _drop_offer(self) -> None:
        """End the send to the place that was found, if it has begun."""
        if self._decision is not None:
            self._decision.cancel()
        if self._offer is not None:
            self._offer.close()
        self._offer = self._decision = None

    def _log_refusal(self, refusal: Refusal) -> None:
        self._logged_refusals += 1
        if self._logged_refusals > MAX_LOGGED_REFUSALS:
            return
        log_event(
            "stream_move_refused",
            request_id=self._pending.request.request_id,
            server=self._server,
            reason=refusal.reason.value,
            detail=refusal.detail,
            silent_ms=int(self._clock.silent_s(boot_time()) * 1e3),
        )


def watch_send(
    move: StreamMove | None, server: str
) -> contextlib.AbstractAsyncContextManager[None]:
    """Return the context of a send to a server; None if its stream must not move."""
    if move is None:
        return contextlib.nullcontext()
    return move.watch(server, FIRST_EVENT_TIMEOUT_S)


def hold(move: StreamMove | None) -> contextlib.AbstractContextManager[None]:
    """Return the context of a wait for the caller, which may be of a plain service."""
    return move.hold() if move is not None else contextlib.nullcontext()


def _result_of(search: asyncio.Task[GatewayPlace | Refusal]) -> GatewayPlace | Refusal:
    """Return the result of a search; a refusal if it failed."""
    if search.cancelled():
        return Refusal(Reason.OVERLOADED, detail="the search was cancelled")
    error = search.exception()
    if error is not None:
        log_warning("place_search_failed", error=repr(error))
        return Refusal(Reason.OVERLOADED, detail="the search failed")
    return search.result()
