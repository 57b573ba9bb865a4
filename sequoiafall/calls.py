"""Calls that are running at this gateway and what they may still do."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from .admission import Caller
from .control_client import ControlClient
from .place_client import Place
from .refusal import Refusal, RunStatus


class RefusedError(Exception):
    """Ends a call with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class PlaceExpiredError(Exception):
    """The place ran out before the request could be sent."""


class RunningCall:
    """One call of an authenticated caller.

    Parameters
    ----------
    request_id : str
        Identity of the call, unique over all gateways and their restarts.
    caller : Caller
        Whose key came with the call.
    control : ControlClient
        Freshness and keys.
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
        """What a refusal may say about the call."""
        return RunStatus.UNKNOWN if self.may_have_run else RunStatus.NOT_RUN

    def end(self, refusal: Refusal) -> None:
        """End the call from outside its task."""
        if self.ended_by is None and self._task is not None:
            self.ended_by = refusal
            self._task.cancel()

    def check_admitted(self) -> None:
        """Raise `RefusedError` unless the head is fresh and the key works."""
        refusal = self._control.check(self.caller)
        if refusal is not None:
            raise RefusedError(refusal)

    def check_send(self, place: Place) -> None:
        """Raise unless the request may be sent now on a place."""
        self.check_admitted()
        if self._control.clock() >= place.expires_at:
            raise PlaceExpiredError

    async def wait_writable(self) -> None:
        """Return once bytes may be forwarded; costs little while they may.

        Raises
        ------
        RefusedError
            If the key no longer works.
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
    """All calls that are running, by their identity."""

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
        """Return an identity that no other call has."""
        return f"{self._prefix}-{next(self._numbers)}"

    @contextmanager
    def running(self, request_id: str, caller: Caller) -> Iterator[RunningCall]:
        """Register the current task as a call."""
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
        """End the calls whose key no longer works."""
        for call in self._calls_by_request_id.values():
            refusal = self._control.admission.check_key(call.caller)
            if refusal is not None:
                call.end(refusal)

    def run_in_background(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run work that outlives the caller's connection."""
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def wait_finished(self) -> None:
        """Wait until no call and no background work is left."""
        await self._empty.wait()
        while self._background:
            await asyncio.gather(*self._background, return_exceptions=True)
