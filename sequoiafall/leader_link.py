"""A member's connection to the leader, with the state of its last reply."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure, Result, Success

from .boot_clock import boot_time
from .log import log_event, log_warning
from .node_metrics import NodeMetrics
from .run_id import caller_request_id
from .transport import WireClient, WireError
from .wire.gen import ttypes

# Below the 0.6 s without a reply after which a leader counts as lost.
POLL_TIMEOUT_S = 0.4
# A leader that has not replied for this many poll intervals counts as lost.
LEADER_SILENCE_POLLS = 2.4
# A poll without a reply is repeated after this time. With many members, the next
# regular poll would come only after the leader already counts as lost.
MISSED_POLL_RETRY_S = 0.05
# Releases of places that the leader did not confirm are sent again after this time.
RELEASE_RETRY_S = 0.2
# Maximum number of releases that are kept while no leader replies. For those that
# are dropped, the leader releases the places after their callers' deadlines.
MAX_PENDING_RELEASES = 2000


class LeaderLink:
    """Connection to the leader, or to an instance that may be the leader.

    Parameters
    ----------
    own_address : str
        Address of this instance, which never connects to itself.
    secret : bytes
        Shared secret of the instances.
    metrics : NodeMetrics
        Counts leader changes.

    Attributes
    ----------
    term : int
        Term of the leader that is followed, 0 for none.
    last_term : int
        Last term that was followed.
    revision, members_revision : int
        Last received revisions of the leader's rows and members.
    newest_by_table : dict of str to int
        Newest row version by table at the leader.
    left_revision : int
        Leader's revision of the set of servers that announced their departure.
    left_revision_sent : int
        Own revision of that set that the leader has received, -1 for none.
    limits_revision : int
        Leader's revision of the limits that backend servers named, 0 for none.
    limits_revision_sent : int
        Own revision of the limits that the leader has received, 0 for none.
    evidence_revision : int
        Leader's revision of the evidence on prompt parts, 0 for none.
    evidence_revision_sent : int
        Own revision of the evidence that the leader has received, 0 for none.
    grants_permits : bool
        Whether the leader keeps the limits of servers; one of an earlier build does
        not.
    reaches_store : bool
        Whether the leader reported that it reaches the store.
    knows_servers : bool
        Whether a server that the store names would be known to the leader by now, at
        its last reply.
    last_reply_at : float
        Time of the last reply in seconds, suspensions included.
    is_refused : bool
        Whether the leader's address refuses connections, or belongs to a process that
        does not lead. Its process may have ended, or a cut refuses connections to it.
    lost_address : str
        Address of a leader that stopped replying, until another one replies.
    should_poll : bool
        Whether to poll again after the connection was lost.
    """

    def __init__(self, own_address: str, secret: bytes, metrics: NodeMetrics) -> None:
        self._own_address = own_address
        self._secret = secret
        self._metrics = metrics
        self.client: WireClient | None = None
        self.term = 0
        self.last_term = 0
        self.revision = 0
        self.members_revision = 0
        self.newest_by_table: dict[str, int] = {}
        self.left_revision = -1
        self.left_revision_sent = -1
        self.limits_revision = 0
        self.limits_revision_sent = 0
        self.evidence_revision = 0
        self.evidence_revision_sent = 0
        self.grants_permits = False
        self.reaches_store = False
        self.knows_servers = False
        self.last_reply_at = 0.0
        self.is_refused = False
        self.lost_address = ""
        self.should_poll = False
        # A request for a place found the connection closed.
        self.is_connection_lost = False
        self._is_loss_logged = True

    @property
    def address(self) -> str:
        """Address of the leader, empty if none is known."""
        return self.client.address if self.client is not None else ""

    @property
    def silence_s(self) -> float:
        """Time since the last reply in seconds."""
        return boot_time() - self.last_reply_at

    def has_recent_reply(self, poll_interval_s: float) -> bool:
        """Whether a leader has replied recently."""
        if self.client is None or not self.term or self.is_connection_lost:
            return False
        return self.silence_s < LEADER_SILENCE_POLLS * poll_interval_s

    async def set_address(self, address: str, reason: str) -> None:
        """Switch to another instance, or to none if the address is empty."""
        if self.client is not None and self.client.address == address:
            return
        old, self.client = self.client, None
        self._metrics.leader_changes += bool(address)
        self._forget()
        self.is_refused = False
        if old is not None:
            await old.close()
        if address and address != self._own_address:
            self.client = WireClient(address, self._secret)
            log_event("leader_address", leader=address, reason=reason)

    async def call(self, request: Any, timeout_s: float) -> Result[Any, WireError]:
        """Send a request to the leader, whose address must be known."""
        assert self.client is not None
        return await self.client.call(request, timeout_s)

    async def request_place(self, request: Any, timeout_s: float) -> Any | None:
        """Request a place at an engine; None if there was no reply."""
        client = self.client
        if client is None:
            return None
        request.term = self.term
        result = await client.call(request, timeout_s)
        return self._unwrap(client, result)

    async def request_permit(
        self, servers: Sequence[str], max_wait_s: float, timeout_s: float
    ) -> Any | None:
        """Request a permit to send to a server; None if there was no reply."""
        client = self.client
        if client is None or not self.grants_permits:
            return None
        request = ttypes.SendPermitRequest(
            servers=list(servers), max_wait_ms=int(max_wait_s * 1e3), term=self.term
        )
        return self._unwrap(client, await client.call(request, timeout_s))

    def _unwrap(self, client: WireClient, result: Result[Any, WireError]) -> Any | None:
        if isinstance(result, Success):
            return result.unwrap()
        if not client.connected:
            self.is_connection_lost = True
        return None

    def on_reply(self, reply: Any) -> bool:
        """Record a leader's reply and return whether its term is new."""
        is_new = reply.term != self.term
        if is_new:
            log_event(
                "leader_found",
                leader=reply.leader_address,
                term=reply.term,
                members=len(reply.members),
            )
        self._is_loss_logged = False
        self.lost_address = ""
        self.term = self.last_term = reply.term
        self.revision = reply.revision
        self.members_revision = reply.members_revision
        self.newest_by_table = reply.newest_by_table
        self.left_revision = reply.left_revision
        self.limits_revision = reply.limits_revision or 0
        self.evidence_revision = reply.evidence_revision or 0
        self.grants_permits = reply.limits_revision is not None
        self.reaches_store = reply.reaches_store
        self.knows_servers = (
            reply.reaches_store if reply.knows_servers is None else reply.knows_servers
        )
        self.last_reply_at = boot_time()
        self.is_connection_lost = self.is_refused = False
        return is_new

    def on_leader_lost(self, detail: str) -> None:
        """Drop a leader that does not reply, or that does not lead."""
        if self.client is not None and self.term:
            self.lost_address = self.client.address
        if not self._is_loss_logged:
            self._is_loss_logged = True
            log_warning(
                "leader_lost",
                leader=self.address,
                term=self.term,
                silent_ms=int(self.silence_s * 1e3),
                detail=detail,
            )
        self._forget()

    async def close(self) -> None:
        """Close the connection."""
        if self.client is not None:
            await self.client.close()

    def _forget(self) -> None:
        self.term = 0
        self.revision = 0
        self.members_revision = 0
        self.newest_by_table = {}
        self.left_revision = -1
        self.left_revision_sent = -1
        self.limits_revision = 0
        self.limits_revision_sent = 0
        self.evidence_revision = 0
        self.evidence_revision_sent = 0


class ReleaseQueue:
    """Releases of places that the leader has not confirmed yet.

    Parameters
    ----------
    link : LeaderLink
        Connection on which they are sent.
    """

    def __init__(self, link: LeaderLink) -> None:
        self._link = link
        self._pending: list[Any] = []
        self._wake = asyncio.Event()

    def add(self, end: Any) -> None:
        """Queue a release, which is sent as soon as a leader replies."""
        if len(self._pending) >= MAX_PENDING_RELEASES:
            log_warning(
                "end_dropped",
                request_id=caller_request_id(end.request_id),
                server=end.server,
                reason="too many releases wait for a leader",
            )
            return
        self._pending.append(end)
        self._wake.set()

    def resume(self) -> None:
        """Send the pending releases, because a leader replies."""
        if self._pending:
            self._wake.set()

    def clear(self) -> None:
        """Drop the pending releases, because this instance leads."""
        self._pending.clear()

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Send pending releases until the process stops."""
        while not should_stop():
            await self._wake.wait()
            self._wake.clear()
            link = self._link
            if not self._pending or link.client is None or not link.term:
                continue
            ended, self._pending = self._pending, []
            ends = ttypes.EngineEnds(term=link.term, ended=ended)
            result = await link.call(ends, POLL_TIMEOUT_S)
            if isinstance(result, Failure):
                self._requeue(ended, result.failure().detail)
                await asyncio.sleep(RELEASE_RETRY_S)

    def _requeue(self, ended: list[Any], detail: str) -> None:
        pending = ended + self._pending
        self._pending = pending[-MAX_PENDING_RELEASES:]
        self._wake.set()
        log_warning(
            "ends_delayed",
            count=len(ended),
            dropped=len(pending) - len(self._pending),
            detail=detail,
        )


def poll_pause_s(silence_s: float, interval_s: float) -> float:
    """Return the seconds until the next poll, given the time since the last reply."""
    return MISSED_POLL_RETRY_S if silence_s > POLL_TIMEOUT_S else interval_s
