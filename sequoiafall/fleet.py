"""Membership of one instance in the fleet, as a follower or as the leader.

The leader reads the store's tables and sends changed rows in its replies to the
members' polls. A member reads the tables itself while it gets no reply from a
leader, or only from a leader that cannot reach the store.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import xxhash
from mode import Service
from returns.result import Failure

from .boot_clock import boot_time
from .catalog import Catalog
from .crash_evidence import CrashEvidence
from .evidence_exchange import EvidenceExchange
from .fleet_leader import LeaderDuties
from .fleet_tables import FEED_INTERVAL_S, FleetTables
from .instrumented_store import InstrumentedRowStore
from .leader_link import POLL_TIMEOUT_S, LeaderLink, ReleaseQueue, poll_pause_s
from .leader_standing import ALONE_LIMIT_S, NEWS_TTL_S, Standing, find_standing
from .lease import RENEW_INTERVAL_S, LeaseStep
from .lease_keeper import LeaseKeeper
from .log import log_event, log_warning
from .member_register import MemberRegister, poll_interval_s
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings
from .notice_exchange import NoticeExchange
from .origin_reports import OriginReports
from .request_allowance import Permit
from .row_store import RowStore, StoreRow
from .server_limits import ServerLimits
from .server_notices import ServerNotices
from .serving_ports import EngineControl, RowDecoder
from .store_contact import StoreContact
from .stored_streams import SOFTWARE_VERSIONS_KEY, StoredStreams
from .stream_versions import StreamOrigin, StreamVersions
from .token_bucket import RecentTokenUse
from .transport import MessageKind, WireClient, WireServer
from .wire.gen import ttypes

# Longest time since an answer of the store that is told to members.
MAX_STORE_AGE_MS = 3_600_000
# On the first start, instances that are not listed as peer hints wait this long
# before their first election step. When many instances start together, each then
# reads the lease row only once.
FIRST_ELECTION_DELAY_S = 0.5
# An instance without a leader reads the tables itself this long after its start:
# on the first start of the fleet, and on later starts.
FIRST_READ_DELAY_S = 1.0
READ_DELAY_S = 0.2
# Interval between election steps. Each step reads the lease row.
ELECTION_INTERVAL_S = 0.15
# When the leader is lost, members act one after the other, in an order that
# changes with each term. The first one to succeed informs the others, so they do
# not all read the store at once.
RANK_DELAY_S = 0.02
RANK_DELAY_MAX_S = 1.5
# A leader that stopped replying may reply again within this time, whether or not
# the store is reachable.
LEADER_RETURN_GRACE_S = 1.0
# Streams placed without a leader are told to this many instances, together with those
# that follow within this time.
MAX_ORIGIN_HOLDERS = 2
SHARE_ORIGINS_AFTER_S = 0.1
# A leader that has not replied for this long is no longer offered to callers.
LEADER_GONE_AFTER_S = 1.0
# Random delay of each candidate, so that their writes do not collide.
ELECTION_JITTER_S = 0.15
# The leader does the most work, so smaller instances delay their candidacy by up
# to three election steps in favour of larger ones.
SMALL_INSTANCE_DELAY_S = 3.0 * ELECTION_INTERVAL_S
# A candidate waits this long for the stored harmful suspects before it leads.
LOAD_EVIDENCE_S = 0.1
# A leader releases the lease when an instance that is larger by this factor has
# been a member for this long. It then pauses its own candidacy.
HAND_OVER_FACTOR = 2.0
HAND_OVER_AFTER_S = 3.0
HAND_OVER_PAUSE_S = 3.0


class Fleet(Service):
    """Membership, lease, configuration and backend servers of one instance.

    Parameters
    ----------
    settings : NodeSettings
        The instance.
    secret : bytes
        Shared secret of the instances.
    store : RowStore
        The platform's store.
    decoder : RowDecoder
        Decodes its rows.
    control : EngineControl
        Sends orders to engines and reads their reports.
    metrics : NodeMetrics
        Records store calls, leader changes and waits for places.
    """

    def __init__(
        self,
        settings: NodeSettings,
        secret: bytes,
        store: RowStore,
        decoder: RowDecoder,
        control: EngineControl,
        metrics: NodeMetrics,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self._secret = secret
        self._metrics = metrics
        self._store: RowStore = InstrumentedRowStore(store, metrics)
        self._decoder = decoder
        self.control = control
        self.incarnation = int(boot_time() * 1e3) * 1000 + random.randrange(1000)
        self._keeper = LeaseKeeper(
            settings,
            self.incarnation,
            self.settings.peer_address,
            self._store,
            self._on_store_contact,
        )
        self.lease = self._keeper.lease
        self.duties: LeaderDuties | None = None
        self.recent_use = RecentTokenUse()
        self.over_limit: frozenset[str] = frozenset()
        self.members_by_instance: dict[str, Any] = {}
        # Instances met without a leader, until a leader tells which ones there are.
        self._learned_by_instance: dict[str, Any] = {}
        self._started_at = boot_time()
        self.places_by_request_and_server: dict[tuple[str, str], Any] = {}
        self.is_leaving = False
        self.reaches_store = False
        self.tables = FleetTables(
            self._store,
            decoder,
            self._should_read,
            self._on_store_contact,
            lambda: self.duties,
            self._on_store_restored,
            lambda: self.evidence_exchange.ensure_known(),
            self._on_backends_changed,
            StoreContact(settings.heartbeat_s, settings.drain_s),
        )
        self.registry = self.tables.registry
        # Called when entries of backend servers have changed.
        self.server_listeners: list[Callable[[], None]] = []
        self.stream_versions = StreamVersions()
        self._stored_streams = StoredStreams(self.stream_versions, self._store)
        self._store_reached_at = -NEWS_TTL_S
        # When another instance polled this one, or replied to it.
        self._heard_at = self._started_at
        self._origin_reports = OriginReports(self.stream_versions)
        self._is_sharing_origins = False
        self.notices = ServerNotices(self.registry, random.Random())
        self.server_limits = ServerLimits(self.registry)
        self.crash_evidence = CrashEvidence(self._on_evidence_changed)
        self.evidence_exchange = EvidenceExchange(
            self.crash_evidence,
            self._store,
            secret,
            lambda: self.lease.leads,
            lambda: self.has_leader,
            self._other_addresses,
            lambda rows: self._stored_streams.apply_versions_row(
                rows.get(SOFTWARE_VERSIONS_KEY)
            ),
        )
        self.notice_exchange = NoticeExchange(
            self.registry,
            self.notices,
            self.server_limits,
            self.crash_evidence,
            lambda: self.duties,
        )
        control.on_notice = self.notice_exchange.on_response
        self._link = LeaderLink(settings.peer_address, secret, metrics)
        self._releases = ReleaseQueue(self._link)
        self._leader_lost_at = boot_time()
        self._no_election_until = 0.0
        self._larger_since = 0.0
        self._rank_delay_s = 0.0
        self._pending_tokens: dict[str, int] = {}
        self._background: set[asyncio.Task[Any]] = set()
        self._server = WireServer(
            settings.address,
            settings.peer_port,
            secret,
            {
                MessageKind.FLEET_POLL: self._on_poll,
                MessageKind.ENGINE_ASK: self._on_place_request,
                MessageKind.ENGINE_ENDS: self._on_releases,
                MessageKind.SEND_PERMIT: self._on_permit_request,
                MessageKind.EVIDENCE_NOTICE: self.evidence_exchange.on_notice,
            },
        )

    # Lifecycle

    async def on_start(self) -> None:
        """Start the server for requests of peers."""
        await self._server.start()

    async def on_started(self) -> None:
        """Start the background loops."""
        self.add_future(self._follow_leader())
        self.add_future(self.tables.follow(self._decoder.configuration_table, 0.0))
        self.add_future(
            self.tables.follow(self._decoder.backend_table, FEED_INTERVAL_S)
        )
        self.add_future(self._releases.run(lambda: self.should_stop))
        self.add_future(self.tables.drop_removed())
        self.add_future(self.evidence_exchange.run(lambda: self.should_stop))

    async def leave(self) -> None:
        """Announce that this instance takes no new callers; release the lease."""
        self.is_leaving = True
        if self.lease.leads:
            await self._resign()

    async def on_stop(self) -> None:
        """Stop the leader's duties and close the connections."""
        self.tables.stop()
        if self.duties is not None:
            await self.duties.stop()
        await self._link.close()
        await self._server.stop()

    # State for gateways

    @property
    def catalog(self) -> Catalog | None:
        """Configuration in force, None before the first one."""
        return self.tables.catalog

    @property
    def versions_by_adapter(self) -> dict[str, int]:
        """Newest declared version of each adapter."""
        return self.tables.versions_by_adapter

    @property
    def members(self) -> list[Any]:
        """Last known members that are not leaving."""
        known = self.members_by_instance | self._learned_by_instance
        return [row for row in known.values() if not row.leaving]

    @property
    def member_count(self) -> int:
        """Number of members that a leader knew; 0 if none replied since the start.

        Instances divide rate limits by it, so a part of the members does not count.
        """
        own_count = self.duties.members.serving_count() if self.duties else 0
        known = [
            row
            for row in self.members_by_instance.values()
            if row.is_silent or not row.leaving
        ]
        return max(own_count, len(known))

    def _poll_interval_s(self) -> float:
        return poll_interval_s(len(self.members_by_instance))

    @property
    def has_leader(self) -> bool:
        """Whether this instance leads, or a leader replied recently."""
        if self.lease.leads:
            return True
        return self._link.has_recent_reply(self._poll_interval_s())

    @property
    def is_election_blocked(self) -> bool:
        """Whether there is no leader and the lease row cannot be read."""
        if self.has_leader or not self._keeper.has_recent_failure:
            return False
        # A leader that replied a moment ago may reply again.
        return (
            boot_time() - max(self._leader_lost_at, self._link.last_reply_at)
            > LEADER_RETURN_GRACE_S
        )

    @property
    def has_recent_news(self) -> bool:
        """Whether a new backend server would be known here by now."""
        if self.duties is not None:
            return self._find_standing(self.duties.members).knows_servers
        now = boot_time()
        if self._link.knows_servers and now - self._link.last_reply_at < NEWS_TTL_S:
            return True
        return now - self._store_reached_at < NEWS_TTL_S

    @property
    def has_limit_share(self) -> bool:
        """Whether this instance may use its share of limits without a leader.

        If it is cut off from all others for longer, their leader uses its share.
        """
        if self.member_count <= 1:
            return True
        return boot_time() - self._heard_at < ALONE_LIMIT_S

    def _is_alone(self) -> bool:
        """Whether this leader has heard nobody for longer than its share lasts."""
        if self.has_limit_share or self.duties is None:
            return False
        if boot_time() - self.tables.contact.seen_at < ALONE_LIMIT_S:
            return False
        return self._find_standing(self.duties.members) is Standing.ALONE

    def _find_standing(self, members: MemberRegister) -> Standing:
        """Return what this instance hears as the leader of these members."""
        now = boot_time()
        if now - self.tables.contact.seen_at < NEWS_TTL_S:
            return Standing.IN_TOUCH
        heard = members.heard_count(NEWS_TTL_S, now)
        return find_standing(heard, members.serving_count())

    def record_origin_alone(self, origin: StreamOrigin) -> None:
        """Record a stream that was placed without a leader, to tell the next one.

        Others are told as well while the stream's service has several versions: this
        instance may end before there is a leader.
        """
        self._origin_reports.add_alone(origin)
        if self._is_sharing_origins:
            return
        if self.stream_versions.has_several(origin.service, boot_time()):
            self._is_sharing_origins = True
            self._run_in_background(self._share_origins())

    async def _share_origins(self) -> None:
        """Tell the instances that may lead next of streams placed without a leader."""
        await asyncio.sleep(SHARE_ORIGINS_AFTER_S)
        self._is_sharing_origins = False
        origins = self._origin_reports.placed_alone(boot_time())
        own = self.settings.instance
        address_by_instance = {row.instance: row.peer_address for row in self.members}
        likely = [
            address_by_instance[name]
            for name in ranked_members(self.members, self._link.last_term)
            if name != own and address_by_instance[name] != self._link.lost_address
        ]
        poll = self._poll_of_peer(origins)
        await asyncio.gather(
            *(self._announce(row, poll) for row in likely[:MAX_ORIGIN_HOLDERS])
        )

    def count_take_up(self, result: str) -> None:
        """Count a stream that is taken up, by how its software version was found."""
        self._metrics.take_ups_by_result[result] += 1

    def ready_members(self) -> list[Any]:
        """Return the members that callers may use, including this instance."""
        members = self.duties.members.live() if self.duties is not None else []
        if not members:
            members = self.members
        members = [row for row in members if row.ready]
        own = self.settings.instance
        lost = self._link.lost_address if self._is_leader_gone() else ""
        members = [row for row in members if row.instance != own]
        members = [row for row in members if row.peer_address != lost]
        if not self.is_leaving and self.catalog is not None:
            members.append(self._member())
        return members

    def _is_leader_gone(self) -> bool:
        """Whether the leader stopped replying and has no known successor yet.

        Only a leader reports which instances are gone. Without this check, callers
        would be sent to the lost leader until a new one is elected.
        """
        if self.has_leader or not self._leader_lost_at:
            return False
        return boot_time() - self._leader_lost_at > LEADER_GONE_AFTER_S

    def _other_addresses(self) -> list[str]:
        own = self.settings.instance
        return [row.peer_address for row in self.members if row.instance != own]

    def _on_backends_changed(self) -> None:
        for listener in self.server_listeners:
            listener()
        before = self.stream_versions.revision
        self.stream_versions.set_announced(
            self.registry.software_by_service(), boot_time()
        )
        self._log_versions(before)

    def _log_versions(self, before: int) -> None:
        """Log the versions of services with several, if they have changed."""
        if self.stream_versions.revision == before:
            return
        several = self.stream_versions.several_by_service(boot_time())
        for service, versions in several.items():
            log_event("software_versions", service=service, versions=",".join(versions))

    def _on_store_restored(self) -> None:
        self.evidence_exchange.on_store_restored()
        self._stored_streams.on_store_restored()

    def _on_evidence_changed(self) -> None:
        self.evidence_exchange.wake()
        if self.duties is not None:
            self.duties.on_evidence_changed()

    def record_token_use(self, organisation: str, tokens: int) -> None:
        """Record tokens that this gateway admitted without asking the leader."""
        now = boot_time()
        self.recent_use.add(organisation, tokens, now)
        if self.duties is not None:
            self.duties.limits.charge(organisation, tokens, now)
            return
        pending = self._pending_tokens
        pending[organisation] = pending.get(organisation, 0) + tokens

    def is_over_limit(self, organisation: str) -> bool:
        """Whether an organisation's token bucket is empty, according to the leader."""
        if self.duties is not None:
            return organisation in self.duties.limits.over_limit(boot_time())
        return organisation in self.over_limit

    async def request_place(self, request: Any, timeout_s: float) -> Any | None:
        """Request a place at an engine from the leader; None if no leader replies."""
        if self.duties is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.duties.request_place(request)
            except TimeoutError:
                return None
        if not self.has_leader:
            return None
        return await self._link.request_place(request, timeout_s)

    async def request_permit(
        self, servers: Sequence[str], max_wait_s: float, timeout_s: float
    ) -> Permit | None:
        """Request a permit to send to a server with a limit; None without a leader."""
        if self.duties is not None:
            return self.duties.take_permit(servers, max_wait_s)
        if not self.has_leader:
            return None
        reply = await self._link.request_permit(servers, max_wait_s, timeout_s)
        if reply is None or not reply.leads:
            return None
        return Permit(reply.server, reply.wait_ms / 1e3)

    def release_place(self, end: Any) -> None:
        """Report to the leader that a request no longer needs its place."""
        self.places_by_request_and_server.pop((end.request_id, end.server), None)
        if self.duties is not None:
            self.duties.on_releases(
                ttypes.EngineEnds(term=self.duties.term, ended=[end])
            )
            return
        self._releases.add(end)

    def report_begun(self, begun: Any) -> None:
        """Report to the leader that a response has begun; its place is kept."""
        if self.duties is not None:
            self.duties.on_releases(
                ttypes.EngineEnds(term=self.duties.term, ended=[begun])
            )
            return
        self._releases.add(begun)

    # Requests of peers

    def _on_poll(self, poll: Any, peer: str) -> Any:
        self._heard_at = boot_time()
        duties = self.duties
        self.evidence_exchange.apply(poll.evidence)
        if poll.term > self.lease.token and self.lease.leads:
            self._lose_lease(f"{peer} follows term {poll.term}")
            duties = None
        if duties is None or not self.lease.leads:
            self._learn_member(poll.member)
            # The sender has no leader to tell.
            self._apply_versions(None, poll.origins)
            if poll.announces and poll.term > self._link.term:
                self._run_in_background(
                    self._follow_announced(poll.member.peer_address)
                )
            return self._member_reply()
        self._apply_rows(poll.rows)
        self._apply_versions(poll.software_by_service, poll.origins)
        duties.on_poll(poll)
        self.notice_exchange.on_poll(poll, peer)
        is_first = poll.term != duties.term
        rows = self.tables.mirror.since_revision(0 if is_first else poll.revision)
        if is_first:
            # All members join a new leader at once and already hold most tables.
            # Sending every row to 118 members would take 6.5 MB.
            own, known = (
                self.tables.mirror.newest_by_table(),
                poll.newest_by_table or {},
            )
            rows = [row for row in rows if known.get(row.table) != own[row.table]]
        evidence, evidence_revision = self.evidence_exchange.next_changes(
            poll.evidence_revision
        )
        return ttypes.FleetPollReply(
            leads=True,
            term=duties.term,
            revision=self.tables.mirror.revision,
            rows=self._rows_to_wire(rows),
            members=duties.members.since(0 if is_first else poll.members_revision),
            members_revision=duties.members.revision,
            over_limit=duties.limits.over_limit(boot_time()),
            reaches_store=self.reaches_store and self.lease.state == "leading",
            newest_by_table=self.tables.mirror.newest_by_table(),
            leader_address=self.settings.peer_address,
            lease_version=self.lease.version,
            left=self.notice_exchange.leaving_since(poll.left_revision),
            left_revision=self.registry.left_revision,
            limits=self.notice_exchange.limits_since(poll.limits_revision),
            limits_revision=self.server_limits.revision,
            evidence=evidence,
            evidence_revision=evidence_revision,
            software_by_service=self._versions_to_wire(),
            store_age_ms=_age_ms(self.tables.contact.seen_at),
            servers_age_ms=_age_ms(self.tables.contact.read_at),
            knows_servers=self.has_recent_news,
        )

    def _versions_to_wire(self) -> dict[str, list[str]] | None:
        """Return the versions of services with several; None if they are not known."""
        if not self.stream_versions.is_known:
            return None
        return self.stream_versions.several_by_service(boot_time())

    def _recent_use_to_wire(self) -> dict[str, list[int]]:
        return {
            name: [int(tokens) for tokens in slots]
            for name, slots in self.recent_use.slots(boot_time()).items()
        }

    def _origins_to_wire(self, origins: list[StreamOrigin]) -> list[Any]:
        now = boot_time()
        return [
            ttypes.StreamOrigin(
                key=origin.key,
                pool=origin.service,
                software=origin.software,
                left_ms=int((origin.expires_at - now) * 1e3),
            )
            for origin in origins
        ]

    def _apply_versions(
        self,
        software_by_service: dict[str, list[str]] | None,
        origins: list[Any] | None = None,
    ) -> None:
        """Apply what another instance knows of software versions and streams."""
        now, before = boot_time(), self.stream_versions.revision
        if software_by_service:
            self.stream_versions.merge(software_by_service, now)
            self._log_versions(before)
        for origin in origins or ():
            self.stream_versions.record(
                origin.key, origin.pool, origin.software, now + origin.left_ms / 1e3
            )

    def _learn_member(self, member: Any) -> None:
        """Record an instance that was met in search of a leader.

        Nobody else tells of instances while there is no leader.
        """
        if self.has_leader:
            return
        known = self._learned_by_instance.get(
            member.instance, self.members_by_instance.get(member.instance)
        )
        self._learned_by_instance[member.instance] = member
        if known is None or known.leaving != member.leaving:
            log_event(
                "member_learned", instance=member.instance, leaving=member.leaving
            )

    async def _follow_announced(self, address: str) -> None:
        await self._link.set_address(address, "announced")
        await self._poll_leader()

    def _member_reply(self) -> Any:
        leader = self._link.address if self.has_leader else ""
        return ttypes.FleetPollReply(
            leads=False,
            term=0,
            revision=0,
            rows=[],
            members=[self._member()],
            over_limit=[],
            reaches_store=self.reaches_store,
            newest_by_table={},
            leader_address=leader,
            lease_version=0,
            members_revision=0,
            left=[],
            left_revision=0,
            limits=[],
            limits_revision=0,
            # For instances that have just started and find no leader.
            evidence=self.evidence_exchange.since_revision(0),
            evidence_revision=0,
        )

    async def _on_place_request(self, request: Any, _peer: str) -> Any:
        if self.duties is None:
            return ttypes.EngineAnswer(
                server="",
                version=0,
                reason="owner_unavailable",
                retry_after_ms=0,
                charged=False,
                detail="not the leader",
                address="",
            )
        return await self.duties.request_place(request)

    def _on_permit_request(self, request: Any, _peer: str) -> Any:
        if self.duties is None or not self.lease.leads or not request.servers:
            return ttypes.SendPermitReply(leads=False, server="", wait_ms=0)
        permit = self.duties.take_permit(request.servers, request.max_wait_ms / 1e3)
        return ttypes.SendPermitReply(
            leads=True, server=permit.server, wait_ms=int(permit.wait_s * 1e3)
        )

    def _on_releases(self, ends: Any, _peer: str) -> Any:
        if self.duties is not None and ends.term == self.duties.term:
            self.duties.on_releases(ends)
        return ttypes.Ack(revision=0, accepted=True, reason="")

    # Following the leader

    def _member(self) -> Any:
        return ttypes.FleetMember(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            zone=self.settings.zone,
            front_address=self.settings.front_address,
            peer_address=self.settings.peer_address,
            ready=self.catalog is not None,
            leaving=self.is_leaving,
            capacity_percent=round(100 * self.settings.capacity),
        )

    async def _follow_leader(self) -> None:
        is_hint = self.settings.address in self.settings.peer_hints
        if self.settings.is_first_start and not is_hint:
            await asyncio.sleep(FIRST_ELECTION_DELAY_S)
        while not self.should_stop:
            self.stream_versions.expire(boot_time())
            try:
                if self.lease.leads:
                    await self._renew()
                    if self._should_hand_over():
                        await self._hand_over()
                    await asyncio.sleep(RENEW_INTERVAL_S)
                    continue
                if self._link.term or self._link.should_poll:
                    await self._poll_leader()
                if self._has_usable_leader():
                    self._leader_lost_at = 0.0
                    await asyncio.sleep(
                        poll_pause_s(self._link.silence_s, self._poll_interval_s())
                    )
                    continue
                self._on_leader_lost()
                if self._is_rank_delay_over():
                    await self._poll_during(self._run_election_round())
            except Exception as error:
                log_warning("fleet_step_failed", error=repr(error))
            await asyncio.sleep(ELECTION_INTERVAL_S)

    async def _run_election_round(self) -> None:
        await self._run_election_step()
        await asyncio.sleep(self._rank_delay_s)

    async def _poll_during(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Poll a leader that replies without the store while a coroutine runs.

        A read of the lease row takes seconds while the store does not respond. The
        leader would take this instance for silent, and this one the leader for lost.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        try:
            while self.has_leader and self._link.term and not self.lease.leads:
                pause_s = poll_pause_s(self._link.silence_s, self._poll_interval_s())
                done, _ = await asyncio.wait({task}, timeout=pause_s)
                if done:
                    break
                await self._poll_leader()
            await task
        finally:
            task.cancel()

    def _has_usable_leader(self) -> bool:
        return self.has_leader and self._link.reaches_store

    def _on_leader_lost(self) -> None:
        if self._leader_lost_at:
            return
        self._leader_lost_at = boot_time()
        names = ranked_members(self.members, self._link.last_term)
        own = self.settings.instance
        rank = names.index(own) if own in names else 0
        self._rank_delay_s = min(RANK_DELAY_MAX_S, rank * RANK_DELAY_S)

    def _is_rank_delay_over(self) -> bool:
        if boot_time() < self._no_election_until:
            return False
        return boot_time() - self._leader_lost_at >= self._rank_delay_s

    async def _poll_leader(self, leads: bool = True) -> None:
        """Poll the leader, or an instance that may know it if it does not lead."""
        link = self._link
        link.should_poll = False
        client = link.client
        if client is None:
            return
        is_first = not link.term
        tokens, self._pending_tokens = self._pending_tokens, {}
        rows = self.tables.mirror.newer_than(
            link.newest_by_table,
            [self._decoder.configuration_table, self._decoder.backend_table],
        )
        evidence, evidence_revision_sent = self.evidence_exchange.next_changes(
            link.evidence_revision_sent
        )
        if is_first and leads:
            # A second version may come after the last other instance that knows where
            # a stream began has ended.
            self._origin_reports.begin(boot_time())
        origins = self._origin_reports.take(boot_time()) if leads else []
        poll = ttypes.FleetPoll(
            member=self._member(),
            term=link.term,
            revision=link.revision,
            tokens_by_organisation=tokens,
            rows=[] if is_first else self._rows_to_wire(rows),
            held=list(self.places_by_request_and_server.values()) if is_first else [],
            recent_tokens_by_organisation={
                name: int(used)
                for name, used in self.recent_use.sums(boot_time()).items()
            }
            if is_first
            else {},
            recent_use_by_organisation=(
                self._recent_use_to_wire() if is_first else None
            ),
            announces=False,
            members_revision=link.members_revision,
            newest_by_table=self.tables.mirror.newest_by_table() if is_first else {},
            left=self.notice_exchange.leaving_since(link.left_revision_sent),
            paused=self.notice_exchange.paused_servers(),
            left_revision=link.left_revision,
            limits=self.notice_exchange.limits_since(link.limits_revision_sent),
            limits_revision=link.limits_revision,
            evidence=evidence,
            evidence_revision=link.evidence_revision,
            origins=self._origins_to_wire(origins),
            software_by_service=(
                self.stream_versions.several_by_service(boot_time()) if is_first else {}
            ),
        )
        left_revision_sent = self.registry.left_revision
        limits_revision_sent = self.server_limits.revision
        result = await client.call(poll, POLL_TIMEOUT_S)
        if isinstance(result, Failure):
            error = result.failure()
            self._origin_reports.put_back(origins)
            link.is_refused = error.refused
            self._restore_tokens(tokens)
            if not client.connected:
                # The next poll shows whether a process still listens there.
                link.should_poll = not error.refused and bool(link.term)
                link.on_leader_lost(error.detail)
            elif not self.has_leader:
                await client.close()
                link.on_leader_lost(error.detail)
            return
        reply = result.unwrap()
        self._heard_at = boot_time()
        self.evidence_exchange.apply(reply.evidence)
        if not reply.leads:
            self._restore_tokens(tokens)
            self._origin_reports.put_back(origins)
            for member in reply.members:
                self._learn_member(member)
            if reply.leader_address:
                await link.set_address(reply.leader_address, "redirected")
                return
            # A new process listens at the address of the lease holder.
            link.is_refused = True
            link.on_leader_lost("the process at its address does not lead")
            return
        self._on_reply(reply)
        link.left_revision_sent = left_revision_sent
        link.limits_revision_sent = limits_revision_sent
        link.evidence_revision_sent = evidence_revision_sent

    def _restore_tokens(self, tokens: dict[str, int]) -> None:
        for name, count in tokens.items():
            self._pending_tokens[name] = self._pending_tokens.get(name, 0) + count

    def _on_reply(self, reply: Any) -> None:
        self._learned_by_instance.clear()
        if self._link.on_reply(reply):
            self.members_by_instance.clear()
        self._releases.resume()
        if reply.reaches_store:
            self._keeper.on_leader_version(
                reply.lease_version, self._link.last_reply_at
            )
        now, contact = boot_time(), self.tables.contact
        # A leader of an earlier build does not tell when the store answered it.
        age_if_unknown_ms = 0 if reply.reaches_store else MAX_STORE_AGE_MS
        store_age_ms, servers_age_ms = (
            age_if_unknown_ms if age_ms is None else age_ms
            for age_ms in (reply.store_age_ms, reply.servers_age_ms)
        )
        contact.record_answer(now - store_age_ms / 1e3, now)
        for member in reply.members:
            self.members_by_instance[member.instance] = member
        self.notice_exchange.apply_leaving(reply.left, reply.leader_address)
        self.notice_exchange.apply_limits(reply.limits, reply.leader_address)
        self.over_limit = frozenset(reply.over_limit)
        self._apply_rows(reply.rows)
        contact.record_read(now - servers_age_ms / 1e3, now)
        if reply.software_by_service is not None:
            self._apply_versions(reply.software_by_service)
            self.stream_versions.is_known = True
        if self.catalog is not None:
            # A leader has the stored evidence before it has a configuration.
            self.evidence_exchange.is_known = True

    # The lease

    async def _run_election_step(self) -> None:
        """Read the lease row; take the lease or follow its holder.

        An instance that is leaving only follows: its streams may need a place.
        """
        reading = await self._keeper.observe(self._link.is_refused)
        if reading is None:
            if not self.has_leader:
                await self._ask_peers()
            return
        step, row, record = reading
        if step is LeaseStep.TAKE and self.is_leaving:
            return
        if step is LeaseStep.TAKE:
            loading = asyncio.get_running_loop().create_task(
                self.evidence_exchange.load()
            )
            if record is None or record.instance != self.settings.instance:
                size_delay_s = SMALL_INSTANCE_DELAY_S * (1.0 - self.settings.capacity)
                jitter_s = random.uniform(0.0, ELECTION_JITTER_S)
                await asyncio.sleep(size_delay_s + jitter_s)
            await asyncio.wait({loading}, timeout=LOAD_EVIDENCE_S)
            if await self._keeper.take(row, record):
                await self._link.set_address("", "leads")
                self._begin_term()
        elif record is not None and not self.has_leader:
            await self._link.set_address(record.address, "lease row")
            if step is LeaseStep.FOLLOW:
                await self._poll_leader()

    def _begin_term(self) -> None:
        # An error in the duties drops the lease and resets `self.duties`.
        self._metrics.terms_begun += 1
        self.evidence_exchange.wake()
        self._stored_streams.on_term_began()
        known = self.members_by_instance | self._learned_by_instance
        serving = [row for row in known.values() if row.is_silent or not row.leaving]
        lost_address = self._link.lost_address
        members = MemberRegister(
            self.settings.instance,
            [row.instance for row in serving],
            [
                row.instance
                for row in serving
                if row.is_silent or row.peer_address == lost_address
            ],
            boot_time(),
        )
        self.duties = duties = LeaderDuties(
            self.settings,
            self.lease,
            self.registry,
            self.control,
            self._metrics,
            self.server_limits,
            self.crash_evidence,
            self.stream_versions,
            members,
            lambda: self._find_standing(members),
            self._lose_lease,
        )
        self._run_in_background(
            self._stored_streams.run(
                lambda: self.duties is duties and not self.should_stop
            )
        )
        if self.catalog is not None:
            duties.set_catalog(self.catalog)
        for adapter, version in self.versions_by_adapter.items():
            duties.set_adapter_version(adapter, version)
        poll = self._poll_of_peer([])
        poll.term = self.lease.token
        poll.recent_tokens_by_organisation = {
            name: int(used) for name, used in self.recent_use.sums(boot_time()).items()
        }
        poll.recent_use_by_organisation = self._recent_use_to_wire()
        poll.announces = True
        poll.evidence = self.evidence_exchange.since_revision(0)
        self._pending_tokens.clear()
        self._releases.clear()
        duties.on_poll(poll)
        for member in self.members:
            if member.instance != self.settings.instance:
                self._run_in_background(self._announce(member.peer_address, poll))
        self._learned_by_instance.clear()

    def _poll_of_peer(self, origins: list[StreamOrigin]) -> Any:
        """Return a message that tells an instance of this one, and of streams."""
        return ttypes.FleetPoll(
            member=self._member(),
            term=0,
            revision=0,
            tokens_by_organisation={},
            rows=[],
            # A leader releases the places that are not named.
            held=list(self.places_by_request_and_server.values()),
            recent_tokens_by_organisation={},
            announces=False,
            members_revision=0,
            newest_by_table={},
            left=[],
            paused=[],
            left_revision=0,
            limits=[],
            limits_revision=0,
            evidence=[],
            evidence_revision=0,
            origins=self._origins_to_wire(origins),
            software_by_service={},
        )

    async def _announce(self, address: str, poll: Any) -> None:
        client = WireClient(address, self._secret)
        result = await client.call(poll, POLL_TIMEOUT_S)
        if isinstance(result, Failure):
            log_event("announcement_lost", peer=address, detail=result.failure().detail)
        await client.close()

    async def _renew(self) -> None:
        if self.duties is not None:
            self.duties.members.record(self._member(), boot_time())
        lost = await self._keeper.renew()
        if lost:
            self._lose_lease(lost)
        elif self._is_alone():
            self._lose_lease("cut off from the store and all other instances")

    def _should_hand_over(self) -> bool:
        """Whether a much larger instance has been a member for long enough."""
        if self.duties is None or not self.lease.leads:
            return False
        own = 100 * self.settings.capacity
        sizes = [row.capacity_percent for row in self.duties.members.live()]
        if max(sizes, default=0) < HAND_OVER_FACTOR * own:
            self._larger_since = 0.0
            return False
        self._larger_since = self._larger_since or boot_time()
        return boot_time() - self._larger_since >= HAND_OVER_AFTER_S

    async def _hand_over(self) -> None:
        self._larger_since = 0.0
        self._no_election_until = boot_time() + HAND_OVER_PAUSE_S
        await self._resign("a larger instance can lead")

    async def _resign(self, reason: str = "leaving") -> None:
        version = self.lease.version
        self._lose_lease(reason)
        await self._keeper.release(version)

    def _lose_lease(self, reason: str) -> None:
        if not self.lease.leads:
            return
        log_warning("lease_lost", term=self.lease.token, reason=reason)
        self._keeper.on_lost()
        duties, self.duties = self.duties, None
        if duties is not None:
            self.members_by_instance = {
                row.instance: row for row in duties.members.since(0)
            }
            self._run_in_background(duties.stop())

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._on_background_done)

    def _on_background_done(self, task: asyncio.Task[Any]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_warning("background_failed", error=repr(task.exception()))

    async def _ask_peers(self) -> None:
        """Ask a random peer who leads, while the store does not respond."""
        addresses = [
            f"{host}:{self.settings.peer_port}"
            for host in self.settings.peer_hints
            if host != self.settings.address
        ]
        addresses += [row.peer_address for row in self.members]
        addresses = [
            row for row in dict.fromkeys(addresses) if row != self.settings.peer_address
        ]
        if not addresses:
            return
        address = random.choice(addresses)
        await self._link.set_address(address, "peer hint")
        await self._poll_leader(leads=False)

    # The store

    def _rows_to_wire(self, rows: list[StoreRow]) -> list[Any]:
        return [
            ttypes.MirroredRow(
                table=row.table,
                key=row.key,
                value=row.value,
                version=row.version,
                deleted=row.deleted,
                written_version=row.written_version or None,
                known_digests=self.tables.known_digests(row),
            )
            for row in rows
        ]

    def _apply_rows(self, rows: list[Any]) -> None:
        """Apply rows that another instance sent."""
        for row in rows:
            self.tables.add_known_digests(row.known_digests or ())
        self.tables.mirror.apply(
            StoreRow(
                row.table,
                row.key,
                row.value or b"",
                row.version,
                row.deleted,
                row.written_version or 0,
            )
            for row in rows
        )

    def _should_read(self) -> bool:
        if self.lease.leads:
            return True
        is_first = self.settings.is_first_start
        delay_s = FIRST_READ_DELAY_S if is_first else READ_DELAY_S
        if boot_time() - self._started_at < delay_s:
            return False
        if self._has_usable_leader():
            return False
        return not self._leader_lost_at or self._is_rank_delay_over()

    def _on_store_contact(
        self, reached: bool, detail: str, at: float | None = None
    ) -> None:
        now = boot_time()
        if reached:
            self._store_reached_at = now
            self.tables.contact.record_answer(now if at is None else at, now)
        if reached == self.reaches_store:
            return
        self.reaches_store = reached
        if reached:
            log_event("store_reached")
        else:
            log_warning("store_lost", detail=detail)


def _age_ms(at: float) -> int:
    """Return the milliseconds since a time, as messages hold them."""
    return int(min(MAX_STORE_AGE_MS, max(0.0, 1e3 * (boot_time() - at))))


def ranked_members(members: Sequence[Any], term: int) -> list[str]:
    """Return the names of instances in the order of their candidacy.

    The largest comes first; among equals, the order changes with each term.
    """
    ordered = sorted(
        members,
        key=lambda row: (
            -row.capacity_percent,
            xxhash.xxh64_intdigest(f"{term} {row.instance}".encode()),
        ),
    )
    return [row.instance for row in ordered]
