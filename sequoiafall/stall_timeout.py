"""Timeout between events of streams that can be resumed on another server."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

# Time to the first event, after which the request is sent to another server. Prefill
# of all prompts of a full batch takes about 0.5 s.
FIRST_EVENT_TIMEOUT_S = 1.6
# Longest gap between events, after which the stream is resumed on another server.
EVENT_GAP_TIMEOUT_S = 1.0


class StalledError(Exception):
    """No event arrived within the timeout, and the stream can be resumed elsewhere."""


class StallTimeout:
    """Timeout between events of a stream that can be resumed on another server.

    If the stream cannot be moved when the timeout expires, it goes on, and the timeout
    is restarted: the server may just be slow, and aborting the stream would lose what
    the caller has received.

    Parameters
    ----------
    scope : asyncio.Timeout or None
        Scope that is cancelled on a timeout; None to disable the timeout.
    may_move : callable
        Returns whether the stream may be resumed on another server now.
    """

    __slots__ = ("_may_move", "_scope", "_timeout_s", "_timer")

    def __init__(
        self, scope: asyncio.Timeout | None, may_move: Callable[[], bool]
    ) -> None:
        self._scope = scope
        self._may_move = may_move
        self._timeout_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def restart(self, seconds: float) -> None:
        """Restart the timeout with a new duration in seconds."""
        self.cancel()
        if self._scope is not None:
            self._timeout_s = seconds
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._on_timer)

    def cancel(self) -> None:
        """Cancel the timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if not self._may_move():
            self.restart(self._timeout_s)
        elif self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def stall_timeout(
    is_limited: bool, may_move: Callable[[], bool]
) -> AsyncIterator[StallTimeout]:
    """Run a send under a timeout for its first event and between events.

    Parameters
    ----------
    is_limited : bool
        Whether the timeout applies; False for streams that can never be resumed.
    may_move : callable
        Returns, when the timeout expires, whether the stream may be resumed on another
        server.

    Raises
    ------
    StalledError
        If no event arrived in time.
    """
    if not is_limited:
        yield StallTimeout(None, may_move)
        return
    scope = asyncio.timeout(None)
    stall = StallTimeout(scope, may_move)
    stall.restart(FIRST_EVENT_TIMEOUT_S)
    try:
        async with scope:
            yield stall
    except TimeoutError as error:
        if scope.expired():
            raise StalledError from error
        raise
    finally:
        stall.cancel()
