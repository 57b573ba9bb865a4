"""Limit of the time without an event, for streams that can be moved."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

# A stream that may be resumed is tried elsewhere if its first event takes this
# long; a full batch takes about 0.5 s to read all its prompts.
FIRST_EVENT_TIMEOUT_S = 1.6
# The longest pause inside a stream before it is resumed elsewhere.
EVENT_GAP_TIMEOUT_S = 1.0


class StalledError(Exception):
    """A stream that can be moved gave nothing for too long."""


class StallTimeout:
    """Limit of the time without an event, for streams that can be moved.

    A stream that may not be moved when its limit is reached goes on: its server
    may be slow, and ending it would lose what the caller has.

    Parameters
    ----------
    scope : asyncio.Timeout or None
        Ends the send; None for no limit.
    can_move : callable
        Whether the stream may be sent to another server now.
    """

    __slots__ = ("_can_move", "_scope", "_timeout_s", "_timer")

    def __init__(
        self, scope: asyncio.Timeout | None, can_move: Callable[[], bool]
    ) -> None:
        self._scope = scope
        self._can_move = can_move
        self._timeout_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def restart(self, seconds: float) -> None:
        """Set the limit anew."""
        self.cancel()
        if self._scope is not None:
            self._timeout_s = seconds
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._on_timer)

    def cancel(self) -> None:
        """Remove the limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if not self._can_move():
            self.restart(self._timeout_s)
        elif self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def stall_timeout(
    is_limited: bool, can_move: Callable[[], bool]
) -> AsyncIterator[StallTimeout]:
    """Limit a send that waits for events.

    Parameters
    ----------
    is_limited : bool
        Whether the stream is one that can be moved.
    can_move : callable
        Whether it may be sent to another server when the limit is reached.

    Raises
    ------
    StalledError
        If no event came in time.
    """
    if not is_limited:
        yield StallTimeout(None, can_move)
        return
    scope = asyncio.timeout(None)
    stall = StallTimeout(scope, can_move)
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
