"""Send of a stream to a second engine while the first one still has it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from .boot_clock import boot_time
from .engine_client import (
    BackendResponse,
    BrokenResponseError,
    NotSentError,
    SingleSendClient,
)
from .log import log_warning
from .place_source import GatewayPlace
from .send_outcome import Outcome

# Longest time for which both engines may have the stream. An engine without room
# responds at once; one that lets the stream wait may respond with the first event.
MAX_OVERLAP_S = 0.2

OpenSend = Callable[
    [Callable[[], None]], contextlib.AbstractAsyncContextManager[BackendResponse]
]


class StreamOffer:
    """A stream that is sent to another engine and not taken over from it yet.

    Parameters
    ----------
    place : GatewayPlace
        Place of the stream at the other engine.
    client : SingleSendClient
        Client of the send.
    open_send : callable
        Returns the context of the send. Its argument is called right before the first
        byte is sent.
    check_head : callable
        Returns why the engine does not take the stream, by the head of its response;
        None if it takes it.
    on_sent : callable
        Called right before the first byte is sent; it may raise `NotSentError`.

    Attributes
    ----------
    place : GatewayPlace
        Place of the stream at the other engine.
    client : SingleSendClient
        Client of the send.
    begun_at, sent_at : float
        Times of the offer and of the first byte in seconds of `boot_time`; the
        second one is 0 before it.
    """

    __slots__ = (
        "_check_head",
        "_decided",
        "_on_sent",
        "_open_send",
        "_outcome",
        "_response",
        "_task",
        "_timer",
        "begun_at",
        "client",
        "place",
        "sent_at",
    )

    def __init__(
        self,
        place: GatewayPlace,
        client: SingleSendClient,
        open_send: OpenSend,
        check_head: Callable[[BackendResponse], Outcome | None],
        on_sent: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.place = place
        self.client = client
        self.begun_at = boot_time()
        self.sent_at = 0.0
        self._open_send = open_send
        self._check_head = check_head
        self._on_sent = on_sent
        self._outcome: Outcome | None = None
        self._decided = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._response: asyncio.Future[BackendResponse] = loop.create_future()
        self._task = loop.create_task(self._run())

    @property
    def is_sent(self) -> bool:
        """Whether the engine may have the stream."""
        return self.sent_at > 0.0

    async def decide(self) -> Outcome | None:
        """Wait until the engine takes the stream or refuses it.

        Returns
        -------
        Outcome or None
            Why the engine does not take the stream. None if it takes it, or has not
            responded `MAX_OVERLAP_S` after the stream was sent.
        """
        await self._decided.wait()
        return self._outcome

    @contextlib.asynccontextmanager
    async def response(self) -> AsyncIterator[BackendResponse]:
        """Wait for the response, and end the send with the context.

        Raises
        ------
        NotSentError
            If the stream was not sent.
        BrokenResponseError
            If the engine broke off before the end of the head.
        """
        try:
            yield await asyncio.shield(self._response)
        finally:
            self.close()

    @property
    def outcome(self) -> Outcome | None:
        """Why the engine does not take the stream, once the head has arrived."""
        return self._outcome

    def close(self) -> None:
        """End the send, and close its connection."""
        self._stop_timer()
        self._task.cancel()

    async def _run(self) -> None:
        try:
            async with self._open_send(self._before_send) as response:
                self._outcome = self._check_head(response)
                self._response.set_result(response)
                self._end_wait()
                await asyncio.get_running_loop().create_future()
        except (BrokenResponseError, NotSentError) as error:
            self._fail(error, Outcome.from_error(error))
        except Exception as error:
            log_warning("offer_failed", server=self.place.server, error=repr(error))
            self._fail(error, Outcome("broken", detail=type(error).__name__))
        finally:
            if not self._response.done():
                self._response.cancel()
            self._end_wait()

    def _before_send(self) -> None:
        self._on_sent()
        self.sent_at = boot_time()
        self._timer = asyncio.get_running_loop().call_later(
            MAX_OVERLAP_S, self._decided.set
        )

    def _fail(self, error: Exception, outcome: Outcome) -> None:
        self._outcome = outcome
        if not self._response.done():
            self._response.set_exception(error)
            # Nobody reads it if the offer is dropped.
            self._response.exception()

    def _end_wait(self) -> None:
        self._stop_timer()
        self._decided.set()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
