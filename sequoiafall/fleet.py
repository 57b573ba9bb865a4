"""One instance's part in the fleet: follows the leader, or leads.

The leader reads the store's tables and passes the rows on with its answers to
the members' polls. A member that does not hear a leader, or hears one that does
not reach the store, reads the tables itself.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import xxhash
from mode import Service
from returns.result import Failure

from .boot_clock import boot_time
from .catalog import Catalog
from .fleet_leader import LeaderDuties, poll_interval_s
from .fleet_tables import FEED_INTERVAL_S, FleetTables
from .instrumented_store import InstrumentedRowStore
from .leader_link import POLL_TIMEOUT_S, LeaderLink, PlaceEnds, poll_pause_s
from .lease import RENEW_S, LeaseStep
from .lease_keeper import LeaseKeeper
from .log import log_event, log_warning
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings
from .notice_exchange import NoticeExchange
from .row_store import RowStore, StoreRow
from .server_notices import ServerNotices
from .serving_ports import EngineControl, RowDecoder
from .token_bucket import RecentUse
from .transport import MessageKind, WireClient, WireServer
from .wire.gen import ttypes

# Instances that no hint names stand for the lease this much later at first, so
# that a start of many instances reads the lease row once each.
FIRST_STAND_DELAY_S = 0.5
# An instance without a leader reads the tables itself after this time: at the
# first start of all, and later.
FIRST_READ_DELAY_S = 1.0
READ_DELAY_S = 0.2
# Between two steps of an election; each reads the lease row.
ELECTION_INTERVAL_S = 0.15
# Members act one after the other when the leader is lost, in an order that
# changes with each term: the first one that succeeds tells the others, and the
# store is not read by all of them at once.
RANK_DELAY_S = 0.02
RANK_DELAY_MAX_S = 1.5
# A leader that fell silent may be heard again within this time, store or not.
LEADER_BACK_S = 1.0
# A leader that fell silent is not given to callers after this time.
GONE_AFTER_S = 1.0
# Spread of candidates, so that their writes do not collide.
ELECTION_JITTER_S = 0.15
# The leader does the most work, so small instances let larger ones go first by up
# to this time: three steps of an election.
SMALL_HANDICAP_S = 3.0 * ELECTION_INTERVAL_S
# A leader gives the lease up to an instance that is larger by this factor and has
# been a member for this long; it does not stand itself for a while then.
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
        Orders to engines.
    metrics : NodeMetrics
        Gets calls of the store, changes of leader and waits for places.
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
        self._control = control
        self.incarnation = int(boot_time() * 1e3) * 1000 + random.randrange(1000)
        self._keeper = LeaseKeeper(
            settings,
            self.incarnation,
            self.settings.peer_address,
            self._store,
            self._on_store,
        )
        self.tenure = self._keeper.tenure
        self.duties: LeaderDuties | None = None
        self.recent_use = RecentUse()
        self.over_limit: frozenset[str] = frozenset()
        self.members_by_instance: dict[str, Any] = {}
        self._started_at = boot_time()
        self.held_by_request: dict[str, Any] = {}
        self.is_leaving = False
        self.reaches_store = False
        self.tables = FleetTables(
            self._store,
            decoder,
            self._should_read,
            self._on_store,
            lambda: self.duties,
        )
        self.registry = self.tables.registry
        self.notices = ServerNotices(self.registry, random.Random())
        self.notice_exchange = NoticeExchange(
            self.registry, self.notices, lambda: self.duties
        )
        control.on_notice = self.notice_exchange.on_engine_answer
        self._link = LeaderLink(settings.peer_address, secret, metrics)
        self._ends = PlaceEnds(self._link)
        self._lost_at = boot_time()
        self._stand_from = 0.0
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
                MessageKind.ENGINE_ASK: self._on_ask,
                MessageKind.ENGINE_ENDS: self._on_ends,
            },
        )

    # Life

    async def on_start(self) -> None:
        """Listen to peers and start to follow."""
        await self._server.start()

    async def on_started(self) -> None:
        """Start the loops."""
        self.add_future(self._follow_leader())
        self.add_future(self.tables.follow(self._decoder.configuration_table, 0.0))
        self.add_future(
            self.tables.follow(self._decoder.backend_table, FEED_INTERVAL_S)
        )
        self.add_future(self._ends.run(lambda: self.should_stop))
        self.add_future(self.tables.drop_removed())

    async def leave(self) -> None:
        """Tell the fleet that this instance takes no new callers."""
        self.is_leaving = True
        if self.tenure.leads:
            await self._resign()

    async def on_stop(self) -> None:
        """Stop the duties and close the connections."""
        self.tables.stop()
        if self.duties is not None:
            await self.duties.stop()
        await self._link.close()
        await self._server.stop()

    # State for gateways

    @property
    def catalog(self) -> Catalog | None:
        """The configuration in force, None before the first one."""
        return self.tables.catalog

    @property
    def versions_by_adapter(self) -> dict[str, int]:
        """Newest declared versions of adapters."""
        return self.tables.versions_by_adapter

    @property
    def members(self) -> list[Any]:
        """The last known members that are not leaving."""
        return [row for row in self.members_by_instance.values() if not row.leaving]

    def _poll_interval_s(self) -> float:
        return poll_interval_s(len(self.members_by_instance))

    @property
    def has_leader(self) -> bool:
        """Whether a leader answers, or this instance leads."""
        if self.tenure.leads:
            return True
        return self._link.is_heard(self._poll_interval_s())

    @property
    def is_election_blocked(self) -> bool:
        """Whether there is no leader, and the store does not give the lease."""
        if self.has_leader or not self._keeper.is_unreadable:
            return False
        # A leader that was heard a moment ago may answer again.
        return boot_time() - max(self._lost_at, self._link.heard_at) > LEADER_BACK_S

    def ready_members(self) -> list[Any]:
        """Return the instances that callers may use, this one among them."""
        members = self.duties.live_members() if self.duties is not None else []
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
        """Whether the leader fell silent and nobody has followed it yet.

        Only a leader tells which instances have gone; without one, callers would
        be sent to the lost leader for as long as that lasts.
        """
        if self.has_leader or not self._lost_at:
            return False
        return boot_time() - self._lost_at > GONE_AFTER_S

    def note_use(self, organisation: str, tokens: int) -> None:
        """Note tokens that this gateway admitted on its own."""
        now = boot_time()
        self.recent_use.add(organisation, tokens, now)
        if self.duties is not None:
            self.duties.limits.charge(organisation, tokens, now)
            return
        pending = self._pending_tokens
        pending[organisation] = pending.get(organisation, 0) + tokens

    def is_over_limit(self, organisation: str) -> bool:
        """Whether the leader says that an organisation's bucket is empty."""
        if self.duties is not None:
            return organisation in self.duties.limits.over_limit(boot_time())
        return organisation in self.over_limit

    async def ask(self, request: Any, timeout_s: float) -> Any | None:
        """Ask the leader for a place; None if no leader answers."""
        if self.duties is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.duties.ask(request)
            except TimeoutError:
                return None
        if not self.has_leader:
            return None
        return await self._link.ask(request, timeout_s)

    def end_place(self, end: Any) -> None:
        """Report the end of a place to the leader."""
        self.held_by_request.pop(end.request_id, None)
        if self.duties is not None:
            self.duties.on_ends(ttypes.EngineEnds(term=self.duties.term, ended=[end]))
            return
        self._ends.add(end)

    # Requests of peers

    def _on_poll(self, poll: Any, peer: str) -> Any:
        duties = self.duties
        if poll.term > self.tenure.token and self.tenure.leads:
            self._lose_lease(f"{peer} follows term {poll.term}")
            duties = None
        if duties is None or not self.tenure.leads:
            if poll.announces and poll.term > self._link.term:
                self._keep(self._follow_new(poll.member.peer_address))
            return self._reply_of_member()
        self.tables.mirror.apply(_rows_from_wire(poll.rows))
        duties.on_poll(poll)
        self.notice_exchange.on_poll(poll, peer)
        is_first = poll.term != duties.term
        rows = self.tables.mirror.since_revision(0 if is_first else poll.revision)
        if is_first:
            # Instances that join a new leader hold most tables already, and all
            # of them join at once: all rows for 118 of them are 6.5 MB.
            own, known = (
                self.tables.mirror.newest_by_table(),
                poll.newest_by_table or {},
            )
            rows = [row for row in rows if known.get(row.table) != own[row.table]]
        return ttypes.FleetPollReply(
            leads=True,
            term=duties.term,
            revision=self.tables.mirror.revision,
            rows=_rows_to_wire(rows),
            members=duties.members_since(0 if is_first else poll.members_revision),
            members_revision=duties.members_revision,
            over_limit=duties.limits.over_limit(boot_time()),
            reaches_store=self.reaches_store and self.tenure.state == "leading",
            newest_by_table=self.tables.mirror.newest_by_table(),
            leader_address=self.settings.peer_address,
            lease_version=self.tenure.version,
            left=self.notice_exchange.left_since(poll.left_revision),
            left_revision=self.registry.left_revision,
        )

    async def _follow_new(self, address: str) -> None:
        await self._link.set_address(address, "announced")
        await self._poll_leader()

    def _reply_of_member(self) -> Any:
        leader = self._link.address if self.has_leader else ""
        return ttypes.FleetPollReply(
            leads=False,
            term=0,
            revision=0,
            rows=[],
            members=[],
            over_limit=[],
            reaches_store=self.reaches_store,
            newest_by_table={},
            leader_address=leader,
            lease_version=0,
            members_revision=0,
            left=[],
            left_revision=0,
        )

    async def _on_ask(self, request: Any, _peer: str) -> Any:
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
        return await self.duties.ask(request)

    def _on_ends(self, ends: Any, _peer: str) -> Any:
        if self.duties is not None and ends.term == self.duties.term:
            self.duties.on_ends(ends)
        return ttypes.Ack(revision=0, accepted=True, reason="")

    # Following

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
            await asyncio.sleep(FIRST_STAND_DELAY_S)
        while not self.should_stop:
            try:
                if self.tenure.leads:
                    await self._renew()
                    if self._should_hand_over():
                        await self._hand_over()
                    await asyncio.sleep(RENEW_S)
                    continue
                if self._link.term or self._link.should_poll:
                    await self._poll_leader()
                if self._has_good_leader():
                    self._lost_at = 0.0
                    await asyncio.sleep(
                        poll_pause_s(self._link.silence_s, self._poll_interval_s())
                    )
                    continue
                self._note_lost()
                if self._is_my_turn() and not self.is_leaving:
                    await self._stand()
                    await asyncio.sleep(self._rank_delay_s)
            except Exception as error:
                log_warning("fleet_step_failed", error=repr(error))
            await asyncio.sleep(ELECTION_INTERVAL_S)

    def _has_good_leader(self) -> bool:
        return self.has_leader and self._link.reaches_store

    def _note_lost(self) -> None:
        if self._lost_at:
            return
        self._lost_at = boot_time()
        names = ranked_members(self.members, self._link.last_term)
        own = self.settings.instance
        rank = names.index(own) if own in names else 0
        self._rank_delay_s = min(RANK_DELAY_MAX_S, rank * RANK_DELAY_S)

    def _is_my_turn(self) -> bool:
        if boot_time() < self._stand_from:
            return False
        return boot_time() - self._lost_at >= self._rank_delay_s

    async def _poll_leader(self) -> None:
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
        poll = ttypes.FleetPoll(
            member=self._member(),
            term=link.term,
            revision=link.revision,
            tokens_by_organisation=tokens,
            rows=[] if is_first else _rows_to_wire(rows),
            held=list(self.held_by_request.values()) if is_first else [],
            recent_tokens_by_organisation={
                name: int(used)
                for name, used in self.recent_use.sums(boot_time()).items()
            }
            if is_first
            else {},
            announces=False,
            members_revision=link.members_revision,
            newest_by_table=self.tables.mirror.newest_by_table() if is_first else {},
            left=self.notice_exchange.left_since(link.left_told),
            paused=self.notice_exchange.paused(),
            left_revision=link.left_revision,
        )
        left_told = self.registry.left_revision
        result = await client.call(poll, POLL_TIMEOUT_S)
        if isinstance(result, Failure):
            error = result.failure()
            link.refuses = error.refused
            self._restore_tokens(tokens)
            if not client.connected:
                # The next poll tells whether a process still listens.
                link.should_poll = not error.refused and bool(link.term)
                link.on_silence(error.detail)
            elif not self.has_leader:
                await client.close()
                link.on_silence(error.detail)
            return
        reply = result.unwrap()
        if not reply.leads:
            self._restore_tokens(tokens)
            if reply.leader_address:
                await link.set_address(reply.leader_address, "redirected")
                return
            # A new process listens at the holder's address.
            link.refuses = True
            link.on_silence("the holder does not lead")
            return
        self._on_reply(reply)
        link.left_told = left_told

    def _restore_tokens(self, tokens: dict[str, int]) -> None:
        for name, count in tokens.items():
            self._pending_tokens[name] = self._pending_tokens.get(name, 0) + count

    def _on_reply(self, reply: Any) -> None:
        if self._link.on_answer(reply):
            self.members_by_instance.clear()
        self._ends.resume()
        if reply.reaches_store:
            self._keeper.on_leader(reply.lease_version, self._link.heard_at)
        else:
            self.tables.note_outage()
        for member in reply.members:
            self.members_by_instance[member.instance] = member
        self.notice_exchange.adopt_left(reply.left, reply.leader_address)
        self.over_limit = frozenset(reply.over_limit)
        self.tables.mirror.apply(_rows_from_wire(reply.rows))

    # The lease

    async def _stand(self) -> None:
        """Take one step of an election."""
        reading = await self._keeper.observe(self._link.refuses)
        if reading is None:
            if not self.has_leader:
                await self._ask_peers()
            return
        step, row, record = reading
        if step is LeaseStep.TAKE:
            if record is None or record.instance != self.settings.instance:
                handicap_s = SMALL_HANDICAP_S * (1.0 - self.settings.capacity)
                jitter_s = random.uniform(0.0, ELECTION_JITTER_S)
                await asyncio.sleep(handicap_s + jitter_s)
            if await self._keeper.take(row, record):
                await self._link.set_address("", "leads")
                self._begin_term()
        elif record is not None and not self.has_leader:
            await self._link.set_address(record.address, "lease row")
            if step is LeaseStep.FOLLOW:
                await self._poll_leader()

    def _begin_term(self) -> None:
        # A fault in the duties gives the lease up, and `self.duties` with it.
        self._metrics.terms_begun += 1
        self.duties = duties = LeaderDuties(
            self.settings,
            self.tenure,
            self.registry,
            self._control,
            self._metrics,
            self._lose_lease,
        )
        if self.catalog is not None:
            duties.set_catalog(self.catalog)
        for adapter, version in self.versions_by_adapter.items():
            duties.set_adapter_version(adapter, version)
        poll = ttypes.FleetPoll(
            member=self._member(),
            term=self.tenure.token,
            revision=0,
            tokens_by_organisation={},
            rows=[],
            held=list(self.held_by_request.values()),
            recent_tokens_by_organisation={
                name: int(used)
                for name, used in self.recent_use.sums(boot_time()).items()
            },
            announces=True,
            members_revision=0,
            newest_by_table={},
            left=[],
            paused=[],
            left_revision=0,
        )
        self._pending_tokens.clear()
        self._ends.clear()
        duties.on_poll(poll)
        for member in self.members:
            if member.instance != self.settings.instance:
                self._keep(self._announce(member.peer_address, poll))

    async def _announce(self, address: str, poll: Any) -> None:
        client = WireClient(address, self._secret)
        result = await client.call(poll, POLL_TIMEOUT_S)
        if isinstance(result, Failure):
            log_event("announcement_lost", peer=address, detail=result.failure().detail)
        await client.close()

    async def _renew(self) -> None:
        if self.duties is not None:
            self.duties.keep_alive(self._member())
        lost = await self._keeper.renew()
        if lost:
            self._lose_lease(lost)

    def _should_hand_over(self) -> bool:
        """Whether a much larger instance has been there for a while."""
        if self.duties is None or not self.tenure.leads:
            return False
        own = 100 * self.settings.capacity
        sizes = [row.capacity_percent for row in self.duties.live_members()]
        if max(sizes, default=0) < HAND_OVER_FACTOR * own:
            self._larger_since = 0.0
            return False
        self._larger_since = self._larger_since or boot_time()
        return boot_time() - self._larger_since >= HAND_OVER_AFTER_S

    async def _hand_over(self) -> None:
        self._larger_since = 0.0
        self._stand_from = boot_time() + HAND_OVER_PAUSE_S
        await self._resign("a larger instance can lead")

    async def _resign(self, reason: str = "leaving") -> None:
        version = self.tenure.version
        self._lose_lease(reason)
        await self._keeper.give_up(version)

    def _lose_lease(self, reason: str) -> None:
        if not self.tenure.leads:
            return
        log_warning("lease_lost", term=self.tenure.token, reason=reason)
        self._keeper.on_lost()
        duties, self.duties = self.duties, None
        if duties is not None:
            self.members_by_instance = {
                row.instance: row for row in duties.live_members()
            }
            self._keep(duties.stop())

    def _keep(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._on_background_done)

    def _on_background_done(self, task: asyncio.Task[Any]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_warning("background_failed", error=repr(task.exception()))

    async def _ask_peers(self) -> None:
        """Ask other instances who leads, while the store does not answer."""
        hints = [
            f"{host}:{self.settings.peer_port}"
            for host in self.settings.peer_hints
            if host != self.settings.address
        ]
        hints += [row.peer_address for row in self.members]
        hints = [
            row for row in dict.fromkeys(hints) if row != self.settings.peer_address
        ]
        if not hints:
            return
        address = random.choice(hints)
        await self._link.set_address(address, "peer hint")
        await self._poll_leader()

    # The store

    def _should_read(self) -> bool:
        if self.tenure.leads:
            return True
        is_first = self.settings.is_first_start
        delay_s = FIRST_READ_DELAY_S if is_first else READ_DELAY_S
        if boot_time() - self._started_at < delay_s:
            return False
        if self._has_good_leader():
            return False
        return not self._lost_at or self._is_my_turn()

    def _on_store(self, reached: bool, detail: str) -> None:
        if not reached:
            self.tables.note_outage()
        if reached == self.reaches_store:
            return
        self.reaches_store = reached
        if reached:
            log_event("store_reached")
        else:
            log_warning("store_lost", detail=detail)


def ranked_members(members: Sequence[Any], term: int) -> list[str]:
    """Return instances in the order in which they stand: the largest first.

    Among equals the order changes with each term.
    """
    ordered = sorted(
        members,
        key=lambda row: (
            -row.capacity_percent,
            xxhash.xxh64_intdigest(f"{term} {row.instance}".encode()),
        ),
    )
    return [row.instance for row in ordered]


def _rows_to_wire(rows: list[StoreRow]) -> list[Any]:
    return [
        ttypes.MirroredRow(
            table=row.table,
            key=row.key,
            value=row.value,
            version=row.version,
            deleted=row.deleted,
        )
        for row in rows
    ]


def _rows_from_wire(rows: list[Any]) -> list[StoreRow]:
    return [
        StoreRow(row.table, row.key, row.value or b"", row.version, row.deleted)
        for row in rows
    ]
