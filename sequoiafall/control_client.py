"""Gateway's client of the control plane.

`ControlClient` polls the controller of its instance for the head (the newest
configuration revision and the membership view), keeps a replica of the table at that
revision, tracks until when the head is fresh, and calls the owners of resources.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from mode import Service
from returns.result import Failure, Result, Success

from .admission import Admission, Caller
from .directory import Directory
from .log import log_event, log_warning
from .ownership import owner_of
from .refusal import Reason, Refusal
from .table import Key, Organisation, TableState
from .transport import Delivery, WireClient, WireError
from .wire.gen.ttypes import Change, GatewayPoll, GatewayPollReply, Head, Member

POLL_INTERVAL_S = 0.25
MIN_POLL_PAUSE_S = 0.005
POLL_TIMEOUT_S = 1.0
STALE_RETRY_AFTER_S = 1.0

Clock = Callable[[], float]
Connect = Callable[[str], WireClient]
TableListener = Callable[[], None]


class ControlClient(Service):
    """Keeps the gateway's replica of the configuration and of the membership view.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    controller : str
        ``host:port`` of the instance's controller.
    connect : callable
        Creates the client for an address.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.

    Attributes
    ----------
    fresh_until : float
        Time of `clock` until which the head is known to be fresh.
    table : TableState
        Table at the head's revision.
    """

    # Hides the start and stop messages of `mode`, which have another log format.
    mundane_level = "debug"

    def __init__(
        self,
        gateway: str,
        controller: str,
        connect: Connect,
        clock: Clock = time.monotonic,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.gateway = gateway
        self.clock = clock
        self.table = TableState()
        self.admission = Admission(self.table)
        self.directory = Directory()
        self.head: Head | None = None
        self.fresh_until = 0.0
        self.leaving = False
        self.open_streams = 0
        self.poll_failures = 0
        self._controller = controller
        self._connect = connect
        self._owner_calls_by_scope: dict[asyncio.Timeout, tuple[str, str]] = {}
        self._owners_by_resource: dict[str, Member | None] = {}
        self._clients_by_address: dict[str, WireClient] = {}
        self._key_listeners: list[TableListener] = []
        self._organisation_listeners: list[TableListener] = []
        self._polled = asyncio.Event()

    # Freshness

    def is_fresh(self) -> bool:
        """Whether this gateway may act on its head."""
        return self.clock() < self.fresh_until

    def check_fresh(self) -> Refusal | None:
        """Return `STALE_CONFIGURATION` unless the head is fresh."""
        if self.is_fresh():
            return None
        return Refusal(
            Reason.STALE_CONFIGURATION,
            retry_after_s=STALE_RETRY_AFTER_S,
            detail="the gateway cannot confirm its configuration",
        )

    def check(self, caller: Caller) -> Refusal | None:
        """Refuse a caller if the head is not fresh or its key is not valid."""
        return self.check_fresh() or self.admission.check_key(caller)

    async def wait_fresh(self) -> None:
        """Wait until the head is fresh."""
        while not self.is_fresh():
            await self._polled.wait()

    def on_keys_changed(self, listener: TableListener) -> None:
        """Register a function to be called after each change of keys."""
        self._key_listeners.append(listener)

    def on_organisations_changed(self, listener: TableListener) -> None:
        """Register a function to be called after each change of organisations."""
        self._organisation_listeners.append(listener)

    # Owners

    async def call_owner(
        self, resource: str, request: Any, timeout_s: float
    ) -> Result[Any, WireError]:
        """Send a request to the owner of a resource."""
        owner = self._owner(resource)
        if owner is None:
            return Failure(WireError(Delivery.NOT_SENT, "no view"))
        return await self._client(owner.controller_address).call(request, timeout_s)

    async def call_current_owner(
        self, resource: str, request: Any, timeout_s: float
    ) -> Result[Any, WireError]:
        """Like `call_owner`, but fail as soon as another instance becomes the owner.

        For long-running calls: the connection to a frozen owner stays open even
        after a new view has replaced that instance.
        """
        timeout_scope = asyncio.timeout(None)
        try:
            async with timeout_scope:
                self._owner_calls_by_scope[timeout_scope] = (
                    resource,
                    self._owner_address(resource),
                )
                try:
                    return await self.call_owner(resource, request, timeout_s)
                finally:
                    del self._owner_calls_by_scope[timeout_scope]
        except TimeoutError:
            return Failure(WireError(Delivery.UNKNOWN, "the owner changed"))

    def _owner(self, resource: str) -> Member | None:
        # Cached because finding an owner hashes each of up to 15 members, and each
        # request needs the owner of its pool twice.
        if resource not in self._owners_by_resource:
            members = self.head.view.members if self.head else []
            self._owners_by_resource[resource] = owner_of(resource, members)
        return self._owners_by_resource[resource]

    def _owner_address(self, resource: str) -> str:
        owner = self._owner(resource)
        return str(owner.controller_address) if owner else ""

    def _cancel_calls_to_former_owners(self) -> None:
        now = asyncio.get_running_loop().time()
        for timeout_scope, (resource, address) in self._owner_calls_by_scope.items():
            if self._owner_address(resource) != address and not timeout_scope.expired():
                timeout_scope.reschedule(now)

    def _client(self, address: str) -> WireClient:
        client = self._clients_by_address.get(address)
        if client is None:
            client = self._clients_by_address[address] = self._connect(address)
        return client

    async def _close_unused_clients(self) -> None:
        members = self.head.view.members if self.head else []
        used_addresses = {member.controller_address for member in members}
        used_addresses.add(self._controller)
        for address in self._clients_by_address.keys() - used_addresses:
            await self._clients_by_address.pop(address).close()

    # Polling

    @Service.task
    async def _poll_until_stopped(self) -> None:
        while not self.should_stop:
            started_at = self.clock()
            await self.poll()
            # A controller without changes delays its reply by the interval (long
            # polling), so only the rest of the interval after a quick reply is slept.
            elapsed_s = self.clock() - started_at
            await self.sleep(max(MIN_POLL_PAUSE_S, POLL_INTERVAL_S - elapsed_s))

    async def on_stop(self) -> None:
        """Close the connections."""
        for client in self._clients_by_address.values():
            await client.close()

    async def poll(self) -> None:
        """Poll the controller for the head, the changes up to it and its freshness."""
        sent_at = self.clock()
        request = GatewayPoll(
            self.gateway, self.table.revision, self.leaving, self.open_streams
        )
        result = await self._client(self._controller).call(request, POLL_TIMEOUT_S)
        match result:
            case Success(reply):
                self.poll_failures = 0
                self.on_poll_reply(reply, sent_at)
                await self._close_unused_clients()
            case Failure(error):
                self.poll_failures += 1
                if self.poll_failures == 1:
                    log_warning("poll_failed", detail=error.detail)

    def on_poll_reply(self, reply: GatewayPollReply, sent_at: float) -> None:
        """Apply the reply to a poll that was sent at `sent_at`."""
        if reply.head is None or reply.head.revision < self.table.revision:
            return
        previous_revision = self.table.revision
        changed_kinds = self._apply_rows(reply)
        if reply.head.revision != self.table.revision:
            # The gateway must not act on a head without every change up to it,
            # and it lets the freshness of the older revision expire.
            log_warning(
                "head_has_gap", head=reply.head.revision, table=self.table.revision
            )
            return
        fresh_until = sent_at + reply.fresh_for_ms / 1000
        if self.head is None or self.table.revision != previous_revision:
            self.fresh_until = fresh_until
            log_event("head", revision=self.table.revision)
        else:
            self.fresh_until = max(self.fresh_until, fresh_until)
        self.head = reply.head
        self._owners_by_resource.clear()
        self._cancel_calls_to_former_owners()
        self.directory.apply_statuses(reply.statuses or [])
        self._notify(changed_kinds)
        polled, self._polled = self._polled, asyncio.Event()
        polled.set()

    def _apply_rows(self, reply: GatewayPollReply) -> set[str]:
        """Apply a snapshot or changes and return the kinds of the changed rows."""
        kinds: set[str] = set()
        snapshot = reply.snapshot
        if snapshot is not None and snapshot.revision > self.table.revision:
            try:
                table = TableState.from_snapshot(snapshot)
            except ValueError as error:
                log_warning("snapshot_malformed", detail=error)
                return kinds
            self.table = table
            self.admission.apply_snapshot(table)
            kinds = {Key.kind, Organisation.kind}
        for change in reply.changes or []:
            if self._apply(change):
                kinds.update(edit.kind for edit in change.edits)
        return kinds

    def _apply(self, change: Change) -> bool:
        try:
            if not self.table.apply(change):
                return False
        except ValueError as error:
            log_warning("change_malformed", revision=change.revision, detail=error)
            return False
        self.admission.apply_change(change)
        return True

    def _notify(self, changed_kinds: set[str]) -> None:
        if Organisation.kind in changed_kinds:
            rows = self.table.organisations_by_name.values()
            self.directory.apply_organisations(rows)
            for listener in self._organisation_listeners:
                listener()
        if Key.kind in changed_kinds:
            for listener in self._key_listeners:
                listener()
