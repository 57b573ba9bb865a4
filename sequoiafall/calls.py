"""Registry of the calls in progress at this gateway, with checks of their keys."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from .admission import Caller
from .control_client import ControlClient
from .place_client import GrantedPlace
from .refusal import Refusal, RunStatus


class RefusedError(Exception):
    """Raised to end a call with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class PlaceExpiredError(Exception):
    """The place expired before the request could be sent."""


class RunningCall:
    """One call of an authenticated caller.

    Parameters
    ----------
    request_id : str
        ID of the call, unique across all gateways and their restarts.
    caller : Caller
        Owner of the key that the call was authenticated with.
    control : ControlClient
        Tells whether the configuration is current and which keys are valid.
    """

    __slots__ = (
        "_checked_revision",
        "_control",
        "_task",
        "caller",
        "ended_by",
        "may_have_run",
        "request_id",
    )

    def __init__(self, request_id: str, caller: Caller, control: ControlClient) -> None:
        self.request_id = request_id
        self.caller = caller
        self.ended_by: Refusal | None = None
        self.may_have_run = False
        self._control = control
        self._checked_revision = -1
        self._task = asyncio.current_task()

    @property
    def ran(self) -> RunStatus:
        """Whether a backend server may have run the request."""
        return RunStatus.UNKNOWN if self.may_have_run else RunStatus.NOT_RUN

    def end(self, refusal: Refusal) -> None:
        """Cancel the call from another task, with the refusal for the caller."""
        if self.ended_by is None and self._task is not None:
            self.ended_by = refusal
            self._task.cancel()

    def check_admitted(self) -> None:
        """Raise `RefusedError` if the configuration is stale or the key invalid."""
        refusal = self._control.check(self.caller)
        if refusal is not None:
            raise RefusedError(refusal)

    def check_send(self, place: GrantedPlace) -> None:
        """Raise unless the request may be sent now to the engine of a place.

        Raises
        ------
        RefusedError
            If the configuration is stale or the key is no longer valid.
        PlaceExpiredError
            If the place has expired.
        """
        self.check_admitted()
        if self._control.clock() >= place.expires_at:
            raise PlaceExpiredError

    async def wait_writable(self) -> None:
        """Wait until bytes may be forwarded to the caller.

        Called for each write, so the check is skipped while the revision is unchanged.

        Raises
        ------
        RefusedError
            If the key is no longer valid.
        """
        control = self._control
        if (
            control.table.revision == self._checked_revision
            and control.clock() < control.fresh_until
        ):
            return
        await control.wait_fresh()
        refusal = control.admission.check_key(self.caller)
        if refusal is not None:
            raise RefusedError(refusal)
        self._checked_revision = control.table.revision


class RunningCalls:
    """The calls in progress, by request ID."""

    def __init__(self, control: ControlClient, identity_prefix: str) -> None:
        self._control = control
        self._prefix = identity_prefix
        self._numbers = itertools.count(1)
        self._calls_by_request_id: dict[str, RunningCall] = {}
        self._empty = asyncio.Event()
        self._empty.set()
        self._background: set[asyncio.Task[Any]] = set()
        control.on_keys_changed(self.end_calls_with_withdrawn_keys)

    def __len__(self) -> int:
        return len(self._calls_by_request_id)

    def next_request_id(self) -> str:
        """Return a new unique request ID."""
        return f"{self._prefix}-{next(self._numbers)}"

    @contextmanager
    def running(self, request_id: str, caller: Caller) -> Iterator[RunningCall]:
        """Register the current task as a call for the duration of the context."""
        call = RunningCall(request_id, caller, self._control)
        self._calls_by_request_id[request_id] = call
        self._control.open_streams = len(self)
        self._empty.clear()
        try:
            yield call
        finally:
            del self._calls_by_request_id[request_id]
            self._control.open_streams = len(self)
            if not self._calls_by_request_id:
                self._empty.set()

    def end_calls_with_withdrawn_keys(self) -> None:
        """End the calls whose key is no longer valid."""
        for call in self._calls_by_request_id.values():
            refusal = self._control.admission.check_key(call.caller)
            if refusal is not None:
                call.end(refusal)

    def end_all(self, refusal: Refusal) -> None:
        """End all calls with a refusal, because the gateway stops."""
        for call in list(self._calls_by_request_id.values()):
            call.end(refusal)

    async def wait_ended(self) -> None:
        """Wait until no call is in progress; background tasks may be."""
        await self._empty.wait()

    def run_in_background(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine that may outlive the caller's connection."""
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def wait_finished(self) -> None:
        """Wait until all calls and background tasks have finished."""
        await self.wait_ended()
        while self._background:
            await asyncio.gather(*self._background, return_exceptions=True)
