"""Work of the leader: places at engines, orders, token limits and members.

A place is the permission to send one request to one engine.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from .backend_registry import BackendEntry, BackendRegistry
from .boot_clock import boot_time
from .catalog import Catalog, Service
from .crash_evidence import CrashEvidence, ServerStart
from .engine_planner import EnginePlanner
from .engine_pool import EngineCondition, EngineReport
from .leader_standing import Standing
from .lease import LeaseState
from .log import innermost_frames, log_event, log_warning
from .member_register import MemberRegister
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings
from .order_worker import OrderWorker
from .planner_messages import (
    Action,
    GrantPlace,
    LoadOrder,
    PlacementRequest,
    RefusePlace,
)
from .prompt_quarantine import PromptQuarantine
from .refusal import Reason
from .report_schedule import ReportSchedule
from .request_allowance import Permit, RequestAllowance, update_allowances
from .run_id import caller_request_id
from .server_limits import ServerLimits
from .server_notices import Pause
from .serving_ports import EngineControl
from .stream_versions import StreamVersions, TakeUpResult
from .token_bucket import ReportedUse, TokenLimits
from .trial_queue import TrialQueue
from .wire.gen import ttypes

# Interval between looks at which members are silent.
MEMBER_CHECK_INTERVAL_S = 0.1
# Interval between reports of an engine, whose figures are 0.1 s old.
REPORT_INTERVAL_S = 0.25
# Above this number of engines, each report is read less often.
FEW_ENGINES = 12
REPORT_INTERVAL_MANY_S = 0.5
# A new leader waits this long for the members' first polls before it loads
# adapters, so that it knows which ones are in use.
MEMBER_SYNC_S = 0.25
# Minimum retry time of a request that exceeds the token rate.
LIMIT_RETRY_MIN_S = 0.1
# An engine that seems to have crashed is asked for a report at most this often.
SERVER_CHECK_INTERVAL_S = 0.1
# Longest wait of a stream that is taken up for what is stored of its beginning, and
# the interval of the checks.
VERSIONS_WAIT_S = 0.5
VERSIONS_CHECK_S = 0.02
# Retry time of a stream that another instance may know.
TAKE_UP_RETRY_S = 0.3
# Slots of use in which a member counts as heard although it no longer polls.
UNHEARD_SLOTS = 2
# Outcome of a place whose request goes on, and whose response has begun.
BEGUN_OUTCOME = "begun"


class LeaderDuties:
    """Runs the leader's work of one instance during one term.

    Parameters
    ----------
    settings : NodeSettings
        The instance.
    lease : LeaseState
        State of the lease; orders are sent only while it allows them.
    registry : BackendRegistry
        Backend servers.
    control : EngineControl
        Sends orders and reads reports.
    metrics : NodeMetrics
        Records the waits for places.
    limits : ServerLimits
        Limits that backend servers named.
    evidence : CrashEvidence
        Evidence on what crashes servers.
    versions : StreamVersions
        Software versions that streams began at.
    members : MemberRegister
        Members of the term.
    find_standing : callable
        Returns what this leader hears from the store and the members.
    step_down : callable
        Called with the reason why this instance must stop leading.
    """

    def __init__(
        self,
        settings: NodeSettings,
        lease: LeaseState,
        registry: BackendRegistry,
        control: EngineControl,
        metrics: NodeMetrics,
        limits: ServerLimits,
        evidence: CrashEvidence,
        versions: StreamVersions,
        members: MemberRegister,
        find_standing: Callable[[], Standing],
        step_down: Callable[[str], None],
    ) -> None:
        now = boot_time()
        self._settings = settings
        self._lease = lease
        self._registry = registry
        self._control = control
        self._metrics = metrics
        self._step_down = step_down
        self.term = lease.token
        self.limits = TokenLimits()
        self._server_limits = limits
        self._evidence = evidence
        self._versions = versions
        self._quarantine = PromptQuarantine(evidence)
        self._trial_queue = TrialQueue(self._quarantine, evidence)
        self._checked_at_by_server: dict[str, float] = {}
        self._report_schedule = ReportSchedule()
        self.allowances_by_server: dict[str, RequestAllowance] = {}
        self.planners_by_service: dict[str, EnginePlanner] = {}
        self.members = members
        self._find_standing = find_standing
        self._workers_by_server: dict[str, OrderWorker] = {}
        self._conditions_by_server: dict[str, EngineCondition] = {}
        self._replies_by_request: dict[str, asyncio.Future[Any]] = {}
        self._organisations_by_request: dict[str, str] = {}
        self._recent_use = ReportedUse()
        self._members_checked_at = now
        self._standing = Standing.IN_TOUCH
        self._models_by_service: dict[str, str] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wake = asyncio.Event()
        # Set once the members have reported their use before this term.
        self._members_synced = asyncio.Event()
        self._started_at = now
        self._has_ended = False
        self.on_limits_changed()
        self._spawn(self._tick())
        self._spawn(self._poll_reports())

    # Lifecycle

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_error(task.exception())

    def _on_error(self, error: BaseException | None) -> None:
        """End the term: the next leader rebuilds its state from engine reports."""
        log_warning(
            "leader_failed",
            term=self.term,
            error=repr(error),
            at=innermost_frames(error),
        )
        if not self._has_ended:
            self._has_ended = True
            self._step_down("an error in the leader's own work")

    @contextlib.contextmanager
    def _step_down_on_error(self) -> Iterator[None]:
        try:
            yield
        except Exception as error:
            self._on_error(error)

    async def stop(self) -> None:
        """End the term and tell waiting requests to ask the next leader."""
        self._has_ended = True
        self._members_synced.set()
        self._trial_queue.stop()
        for reply in self._replies_by_request.values():
            if not reply.done():
                reply.set_result(_not_leading())
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Configuration

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration."""
        with self._step_down_on_error():
            now = boot_time()
            limits = {
                row.name: row.limit for row in catalog.organisations_by_name.values()
            }
            self.limits.set_limits(limits, now)
            for service in catalog.services_by_name.values():
                if service.is_engine:
                    self._set_service(service, now)

    def _set_service(self, service: Service, now: float) -> None:
        planner = self.planners_by_service.setdefault(
            service.name,
            EnginePlanner(
                service.name,
                seed=self.term,
                allowances_by_server=self.allowances_by_server,
                quarantine=self._quarantine,
                loads_from=self._started_at + MEMBER_SYNC_S,
            ),
        )
        self._models_by_service[service.name] = service.models[0].name
        planner.set_store_rate(service.weight_loads_per_s)
        entries = self._registry.all_servers(service.name)
        self._apply(
            planner,
            planner.set_entries(list(entries), service.max_adapters, now),
        )

    def on_backends_changed(self) -> None:
        """Pass the changed backend servers to the planners."""
        self.on_limits_changed()
        with self._step_down_on_error():
            now = boot_time()
            for name, planner in self.planners_by_service.items():
                entries = list(self._registry.all_servers(name))
                slots = planner.pool.adapter_slots
                self._apply(planner, planner.set_entries(entries, slots, now))

    def on_pauses(self, pauses: list[Pause]) -> None:
        """Apply pauses that backend servers asked any instance for."""
        with self._step_down_on_error():
            now = boot_time()
            for pause in pauses:
                for planner in self.planners_by_service.values():
                    planner.pause(pause.server, now + pause.left_s)

    def on_limits_changed(self) -> None:
        """Apply the limits that backend servers named to any instance."""
        rates_by_server = self._server_limits.rates_by_server()
        update_allowances(self.allowances_by_server, rates_by_server, boot_time())
        self._wake.set()

    def set_adapter_version(self, adapter: str, version: int) -> None:
        """Apply the declared version of an adapter."""
        with self._step_down_on_error():
            for planner in self.planners_by_service.values():
                planner.set_version(adapter, version)

    # Members

    def on_poll(self, poll: Any) -> None:
        """Record a member and charge the tokens that it admitted."""
        with self._step_down_on_error():
            now = boot_time()
            name = poll.member.instance
            is_first = poll.term != self.term or name not in self.members.by_instance
            self.members.record(poll.member, now)
            if is_first:
                self._adopt_member(poll, now)
                log_event(
                    "member_joined",
                    instance=name,
                    term=self.term,
                    held=len(poll.held),
                    members=len(self.members.by_instance),
                )
                self._charge_first_poll(poll, now)
                return
            for organisation, tokens in poll.tokens_by_organisation.items():
                self.limits.charge(organisation, tokens, now)

    def _charge_first_poll(self, poll: Any, now: float) -> None:
        """Charge what a member admitted before it followed this leader.

        It is part of the recent use that the members report at the begin of a term.
        Later, all but the last of it was of the share that is kept for silent members.
        """
        if not self._members_synced.is_set():
            for organisation, tokens in poll.tokens_by_organisation.items():
                self.limits.charge_until_reported(organisation, tokens, now)
            return
        slots_by_organisation = poll.recent_use_by_organisation or {}
        for organisation, tokens in poll.tokens_by_organisation.items():
            recent = slots_by_organisation.get(organisation)
            if recent is not None:
                tokens = min(tokens, sum(recent[-UNHEARD_SLOTS:]))
            self.limits.charge(organisation, tokens, now)

    def _adopt_member(self, poll: Any, now: float) -> None:
        kept = frozenset(held.request_id for held in poll.held)
        for planner in self.planners_by_service.values():
            gateway = poll.member.instance
            self._apply(planner, planner.release_gateway(gateway, kept, now))
        for held in poll.held:
            pool_planner = self.planners_by_service.get(held.pool)
            if pool_planner is not None:
                placement_request = PlacementRequest(
                    held.request_id,
                    "",
                    poll.member.instance,
                    poll.member.zone,
                    held.adapter,
                    held.prompt_tokens,
                    0,
                    0.0,
                    held.time_left_ms / 1e3,
                )
                pool_planner.adopt(placement_request, held.server, held.version, now)
        # What is placed without a leader is told in polls without the use.
        if poll.recent_use_by_organisation is not None or (
            poll.recent_tokens_by_organisation
        ):
            self._recent_use.set(
                poll.member.instance,
                poll.recent_use_by_organisation,
                poll.recent_tokens_by_organisation,
            )

    def _check_members(self, now: float) -> None:
        """Release what silent members held, and divide the limits with them."""
        if now - self._members_checked_at < MEMBER_CHECK_INTERVAL_S:
            return
        self._members_checked_at = now
        share = self.members.limit_share(now)
        self.limits.set_share(share, now)
        standing = self._find_standing()
        if standing is not self._standing:
            self._standing = standing
            log_event(
                "leader_standing",
                standing=standing.value,
                limit_share=share,
                members=len(self.members.by_instance),
                term=self.term,
            )
        for name in self.members.expire(now, not standing.reaches_store):
            log_event("member_lost", instance=name, term=self.term)
            for planner in self.planners_by_service.values():
                actions = planner.release_gateway(name, frozenset(), now)
                self._apply(planner, actions)

    # Places

    async def request_place(self, request: Any) -> Any:
        """Answer a gateway's request for a place.

        The organisation is charged first, and refunded if the place is refused.
        """
        if self._has_ended or not self._lease.leads:
            return _not_leading()
        planner = self.planners_by_service.get(request.pool)
        if planner is None:
            return await self._admit_trial(request)
        refused = await self._find_software(request)
        if refused is not None:
            return refused
        if self._has_ended:
            return _not_leading()
        now = boot_time()
        charged = bool(request.charged)
        if not charged and request.organisation:
            wait_s = self.limits.take(request.organisation, request.cost_tokens, now)
            if wait_s > 0.0 and not self._members_synced.is_set():
                # Members have not reported the organisation's recent use yet.
                await self._members_synced.wait()
                if self._has_ended:
                    return _not_leading()
                now = boot_time()
                wait_s = self.limits.take(
                    request.organisation, request.cost_tokens, now
                )
            if wait_s > 0.0:
                log_event(
                    "place_refused",
                    request_id=caller_request_id(request.request_id),
                    reason=Reason.RATE_EXCEEDED.value,
                    organisation=request.organisation,
                    cost_tokens=request.cost_tokens,
                    level_tokens=self.limits.level(request.organisation, now),
                    term=self.term,
                )
                retry_s = max(LIMIT_RETRY_MIN_S, wait_s)
                return _refusal(Reason.RATE_EXCEEDED, retry_s, "over the rate", False)
            charged = True
        reply = await self._place(planner, request, now)
        reply.charged = charged
        if reply.reason and charged and not request.charged:
            self.limits.refund(request.organisation, request.cost_tokens, boot_time())
            reply.charged = False
        return reply

    async def _find_software(self, request: Any) -> Any | None:
        """Set the version that a stream is bound to; return a refusal if it cannot run.

        What two versions write does not fit together, so a stream whose version is not
        known is refused as long as there may be several.
        """
        if request.software is None and request.is_take_up:
            result, software = await self._decide_version(request)
            standing = self._find_standing()
            is_single = result is TakeUpResult.SINGLE
            if is_single and self._registry.has_unnamed_software(request.pool):
                result = TakeUpResult.UNKNOWN
            elif is_single and not standing.knows_servers:
                # Servers of another version may have come where it is not heard of.
                return _refuse_take_up(
                    request, Reason.STREAM_VERSION_UNKNOWN, TAKE_UP_RETRY_S, standing
                )
            if result is TakeUpResult.UNKNOWN:
                return _refuse_take_up(
                    request, Reason.STREAM_VERSION_UNKNOWN, standing=standing
                )
            log_event(
                "take_up_bound",
                request_id=caller_request_id(request.request_id),
                found=result.value,
                software=software,
                standing=standing.value,
                term=self.term,
            )
            request.software = software
        elif request.software is None and request.resumes_key:
            request.software = self._versions.find(
                request.resumes_key, request.pool, boot_time()
            )
        if request.software is None:
            return None
        request.software = self._registry.resolve_software(request.software)
        active = self._registry.active_servers(request.pool)
        if not active or any(entry.software == request.software for entry in active):
            return None
        return _refuse_take_up(request, Reason.STREAM_VERSION_GONE)

    async def _decide_version(self, request: Any) -> tuple[TakeUpResult, str]:
        """Decide on a stream once what is stored and what members know has come."""
        key, until = request.resumes_key or b"", boot_time() + VERSIONS_WAIT_S
        result, software = self._versions.decide(key, request.pool, boot_time())
        while result is TakeUpResult.UNKNOWN and not (
            self._versions.is_known and self._members_synced.is_set()
        ):
            if self._has_ended or boot_time() >= until:
                break
            await asyncio.sleep(VERSIONS_CHECK_S)
            result, software = self._versions.decide(key, request.pool, boot_time())
        return result, software

    async def _admit_trial(self, request: Any) -> Any:
        """Answer a gateway's request to send to a plain service."""
        refused = await self._trial_queue.admit(request)
        if refused is None:
            return _admission()
        log_event(
            "trial_refused",
            request_id=caller_request_id(request.request_id),
            reason=refused.reason.value,
            detail=refused.detail,
            retry_after_ms=int(refused.retry_after_s * 1e3),
            term=self.term,
        )
        return _refusal(refused.reason, refused.retry_after_s, refused.detail, False)

    async def _place(self, planner: EnginePlanner, request: Any, now: float) -> Any:
        placement_request = PlacementRequest(
            request.request_id,
            request.organisation,
            request.instance,
            request.zone,
            request.adapter,
            request.prompt_tokens,
            request.rank,
            request.on_time_ms / 1e3,
            request.time_left_ms / 1e3,
            frozenset(request.excluded),
            tuple(request.shared_parts or ()),
            request.software,
        )
        reply = asyncio.get_running_loop().create_future()
        self._refuse_replaced(placement_request.request_id)
        self._replies_by_request[placement_request.request_id] = reply
        self._organisations_by_request[placement_request.request_id] = (
            placement_request.organisation
        )
        with self._step_down_on_error():
            self._apply(planner, planner.submit(placement_request, now))
        try:
            result = await reply
        except asyncio.CancelledError:
            # The gateway cancelled the request or lost its connection. The request
            # may still run at the place that it had before.
            now, request_id = boot_time(), placement_request.request_id
            if reply.done() and not reply.cancelled() and reply.result().server:
                server = reply.result().server
                self._apply(planner, planner.end(request_id, "cancelled", now, server))
            elif self._replies_by_request.get(request_id) is reply:
                self._apply(planner, planner.withdraw(request_id, now))
            raise
        finally:
            if self._replies_by_request.get(placement_request.request_id) is reply:
                del self._replies_by_request[placement_request.request_id]
                del self._organisations_by_request[placement_request.request_id]
        if request.stream_key and result.server:
            until = boot_time() + (request.stream_left_ms or 0) / 1e3
            self._versions.record(
                request.stream_key, request.pool, result.software or "", until
            )
        return result

    def _refuse_replaced(self, request_id: str) -> None:
        """Answer a waiting request that another one with its identifier replaces.

        It was sent again on a new connection, or its caller uses an identifier twice.
        """
        reply = self._replies_by_request.get(request_id)
        if reply is not None and not reply.done():
            detail = "replaced by a request with the same identifier"
            reply.set_result(
                _refusal(Reason.OVERLOADED, LIMIT_RETRY_MIN_S, detail, False)
            )

    def take_permit(self, servers: Sequence[str], max_wait_s: float) -> Permit:
        """Return a permit to send a request to one of several servers, or a refusal."""
        now = boot_time()
        allowances = {name: self.allowances_by_server.get(name) for name in servers}
        for name, allowance in allowances.items():
            if allowance is None:
                # The limit was lifted, according to another instance.
                return Permit(name, 0.0)
        waits_s = {
            name: allowance.wait_s(now)
            for name, allowance in allowances.items()
            if allowance is not None
        }
        # Among equals, the first is the preferred one.
        best = min(waits_s, key=lambda name: waits_s[name])
        if self.allowances_by_server[best].try_reserve(now, max_wait_s) is None:
            return Permit("", waits_s[best])
        return Permit(best, waits_s[best])

    def on_releases(self, ends: Any) -> None:
        """Release places whose requests have ended."""
        with self._step_down_on_error():
            now = boot_time()
            for end in ends.ended:
                planner = self.planners_by_service.get(end.pool)
                if planner is None:
                    self._trial_queue.on_end(end, now)
                    continue
                self._record_evidence(planner, end, now)
                if not end.server:
                    self._withdraw(planner, end.request_id, now)
                    continue
                if end.outcome == BEGUN_OUTCOME:
                    self._apply(planner, planner.on_begun(end.request_id, now))
                    continue
                actions = planner.end(end.request_id, end.outcome, now, end.server)
                self._apply(planner, actions)

    def _withdraw(self, planner: EnginePlanner, request_id: str, now: float) -> None:
        """Answer a waiting request whose gateway needs no further place for it."""
        self._apply(planner, planner.withdraw(request_id, now))
        reply = self._replies_by_request.get(request_id)
        if reply is not None and not reply.done():
            detail = "withdrawn by the gateway"
            reply.set_result(_refusal(Reason.OVERLOADED, 0.0, detail, False))

    def _record_evidence(self, planner: EnginePlanner, end: Any, now: float) -> None:
        """Record whether a response began, or its server crashed before that."""
        if end.has_begun:
            parts = planner.shared_parts(end.request_id, end.server)
            self._evidence.record_begun(parts, now)
        if end.has_crashed:
            start = ServerStart(end.server, end.born)
            parts = end.shared_parts or ()
            self._evidence.record_crash(start, parts, now, is_report=True)
            self._check_server(end.server, now)

    def _check_server(self, name: str, now: float) -> None:
        """Read the report of an engine that seems to have crashed."""
        entry = self._registry.find(name)
        if entry is None or entry.service not in self.planners_by_service:
            return
        if now - self._checked_at_by_server.get(name, 0.0) < SERVER_CHECK_INTERVAL_S:
            return
        self._checked_at_by_server = {
            server: checked_at
            for server, checked_at in self._checked_at_by_server.items()
            if now - checked_at < SERVER_CHECK_INTERVAL_S
        }
        self._checked_at_by_server[name] = now
        if self._admit_report(entry):
            self._spawn(self._report(entry))

    def on_evidence_changed(self) -> None:
        """Decide again on the waiting requests."""
        self._wake.set()
        self._trial_queue.wake()

    def _apply(self, planner: EnginePlanner, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantPlace):
                self._on_granted(planner, action)
            elif isinstance(action, RefusePlace):
                self._on_refused(planner, action)
            else:
                self._spawn(self._order(planner, action))
        self._wake.set()

    def _on_granted(self, planner: EnginePlanner, grant: GrantPlace) -> None:
        reply = self._replies_by_request.get(grant.request_id)
        entry = self._registry.find(grant.server)
        if reply is None or reply.done() or entry is None:
            planner.end(grant.request_id, "cancelled", boot_time(), grant.server)
            return
        now = boot_time()
        log_event(
            "place_granted",
            request_id=caller_request_id(grant.request_id),
            server=grant.server,
            version=grant.version,
            waited_ms=int(grant.waited_s * 1e3),
            term=self.term,
            software=entry.software,
            **grant.choice.describe(),
            **planner.describe_engine(grant.server, now),
            waiting=planner.waiting_count,
            **self._limit_fields(grant.request_id, now),
        )
        self._metrics.place_wait_seconds.observe(
            grant.choice.adapter.value, grant.waited_s
        )
        reply.set_result(
            ttypes.EngineAnswer(
                server=grant.server,
                version=grant.version,
                reason="",
                retry_after_ms=0,
                charged=False,
                detail="",
                address=entry.address,
                is_trial=grant.is_trial,
                software=entry.software,
            )
        )

    def _limit_fields(self, request_id: str, now: float) -> dict[str, object]:
        organisation = self._organisations_by_request.get(request_id, "")
        if not organisation:
            return {}
        level = int(self.limits.level(organisation, now))
        return {"organisation": organisation, "level_tokens": level}

    def _on_refused(self, planner: EnginePlanner, refusal: RefusePlace) -> None:
        reply = self._replies_by_request.get(refusal.request_id)
        log_event(
            "place_refused",
            request_id=caller_request_id(refusal.request_id),
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after_ms=int(refusal.retry_after_s * 1e3),
            term=self.term,
            **planner.describe(boot_time()),
            **self._limit_fields(refusal.request_id, boot_time()),
        )
        self._metrics.place_wait_seconds.observe("refused", refusal.waited_s)
        if reply is not None and not reply.done():
            reply.set_result(
                _refusal(refusal.reason, refusal.retry_after_s, refusal.detail, False)
            )

    # Orders

    def _worker(self, entry: BackendEntry) -> OrderWorker:
        worker = self._workers_by_server.get(entry.name)
        if worker is None:
            worker = OrderWorker(
                self._control,
                entry,
                self._models_by_service.get(entry.service, ""),
                self._settings.instance,
                self._order_token,
                lambda: self._step_down("an engine has seen a newer token"),
                self._admit_order,
            )
            self._workers_by_server[entry.name] = worker
        worker.entry = entry
        return worker

    def _admit_order(self, entry: BackendEntry) -> bool:
        """Count an order, unless the engine is leaving, pausing or over its limit."""
        current = self._registry.find(entry.name)
        if current is None or current.is_leaving or self._is_pausing(entry.name):
            return False
        allowance = self.allowances_by_server.get(entry.name)
        return allowance is None or allowance.try_control_call(boot_time())

    def _admit_report(self, entry: BackendEntry) -> bool:
        """Count a report, unless the engine is pausing or none is due."""
        if self._is_pausing(entry.name):
            return False
        allowance = self.allowances_by_server.get(entry.name)
        return allowance is None or allowance.try_report(boot_time())

    def _is_pausing(self, name: str) -> bool:
        now = boot_time()
        return any(
            planner.is_pausing(name, now)
            for planner in self.planners_by_service.values()
        )

    def _order_token(self) -> int:
        now = boot_time()
        if self._has_ended or now - self._started_at < MEMBER_SYNC_S:
            return 0
        if not self._lease.may_order(now, self._settings.is_fenced):
            return 0
        return self.term

    async def _order(self, planner: EnginePlanner, order: LoadOrder) -> None:
        entry = self._registry.find(order.server)
        if entry is None:
            planner.on_order_result(order, False, boot_time())
            return
        delay_s = self._started_at + MEMBER_SYNC_S - boot_time()
        if delay_s > 0.0:
            await asyncio.sleep(delay_s + 0.005)
        worker = self._worker(entry)
        evicted, accepted = await worker.load(order)
        now = boot_time()
        sequence = worker.sequence
        if order.evicted and evicted is not True:
            planner.restore_slot(order.server, order.evicted, now, sequence)
        self._apply(planner, planner.on_order_result(order, accepted, now, sequence))

    async def _poll_reports(self) -> None:
        while True:
            entries = [
                entry
                for name in self.planners_by_service
                for entry in self._registry.all_servers(name)
            ]
            now = boot_time()
            self._forget_servers({entry.name for entry in entries})
            for entry in entries:
                is_due = self._report_schedule.is_due(entry.name, now)
                if is_due and self._admit_report(entry):
                    self._spawn(self._report(entry))
            likely = [
                row for row in entries if self._report_schedule.may_exist(row.name)
            ]
            has_few_engines = len(likely) <= FEW_ENGINES
            await asyncio.sleep(
                REPORT_INTERVAL_S if has_few_engines else REPORT_INTERVAL_MANY_S
            )

    def _forget_servers(self, known: set[str]) -> None:
        """Forget all engines but the known ones; entries may come and go quickly."""
        self._report_schedule.keep(known)
        for by_server in (self._workers_by_server, self._conditions_by_server):
            for name in by_server.keys() - known:
                del by_server[name]

    async def _read_report(self, entry: BackendEntry) -> EngineReport | None:
        try:
            return await self._control.report(entry)
        except Exception as error:
            # The answer of one server must not end the term.
            log_warning(
                "report_unreadable",
                server=entry.name,
                error=type(error).__name__,
                at=innermost_frames(error),
            )
            return None

    async def _report(self, entry: BackendEntry) -> None:
        planner = self.planners_by_service[entry.service]
        report = await self._read_report(entry)
        now = boot_time()
        self._report_schedule.on_read(entry.name, report is not None, now)
        engine = planner.pool.engines_by_name.get(entry.name)
        worker = self._worker(entry)
        if report is not None and self._registry.record_start(entry.name, report.born):
            self.on_backends_changed()
        if report is not None and engine is not None:
            if engine.born and report.born and engine.born != report.born:
                worker.reset_sequence()
            worker.apply_report(report, engine.is_settled(now))
        self._apply(planner, planner.on_report(entry.name, report, now))
        self._log_condition_change(planner, entry.name, now)

    def _log_condition_change(
        self, planner: EnginePlanner, name: str, now: float
    ) -> None:
        """Log a change of an engine's condition, which decides if it gets work."""
        engine = planner.pool.engines_by_name.get(name)
        before = self._conditions_by_server.pop(name, None)
        if engine is None:
            return
        condition = engine.condition(now)
        self._conditions_by_server[name] = condition
        if condition is before:
            return
        log_event(
            "engine_condition",
            server=name,
            condition=condition.value,
            before=before.value if before else "",
            failures=engine.consecutive_failures,
            silences=engine.missed_reports,
            term=self.term,
            **planner.describe_engine(name, now),
        )

    async def _tick(self) -> None:
        while True:
            now = boot_time()
            if (
                not self._members_synced.is_set()
                and now - self._started_at >= MEMBER_SYNC_S
            ):
                recent_use = self._recent_use.by_organisation()
                self.limits.apply_reported_use(recent_use, now)
                self._members_synced.set()
                log_event(
                    "term_started",
                    term=self.term,
                    members=len(self.members.by_instance),
                    organisations=len(recent_use),
                )
            self._check_members(now)
            due_s = 0.25
            for planner in self.planners_by_service.values():
                expired = planner.counts.expired_places
                self._apply(planner, planner.tick(now))
                if planner.counts.expired_places > expired:
                    log_warning(
                        "places_expired",
                        service=planner.service,
                        count=planner.counts.expired_places - expired,
                        term=self.term,
                    )
                due_s = min(due_s, planner.next_due(now))
            self._wake.clear()
            try:
                async with asyncio.timeout(due_s):
                    await self._wake.wait()
            except TimeoutError:
                continue


def _refusal(reason: Reason, retry_after_s: float, detail: str, charged: bool) -> Any:
    return ttypes.EngineAnswer(
        server="",
        version=0,
        reason=reason.value,
        retry_after_ms=int(retry_after_s * 1e3),
        charged=charged,
        detail=detail,
        address="",
    )


def _refuse_take_up(
    request: Any,
    reason: Reason,
    retry_after_s: float | None = None,
    standing: Standing | None = None,
) -> Any:
    """Return the answer to a stream that no server may go on with.

    Without a time to come back it cannot go on later either, so its caller should not
    come back in vain.
    """
    log_event(
        "take_up_refused",
        request_id=caller_request_id(request.request_id),
        reason=reason.value,
        software=request.software or "",
        service=request.pool,
        standing=standing.value if standing else "",
    )
    if retry_after_s is None:
        retry_after_s = request.time_left_ms / 1e3
    return _refusal(reason, retry_after_s, reason.value, False)


def _admission() -> Any:
    """Return the answer that lets a gateway send to a plain service."""
    return ttypes.EngineAnswer(
        server="",
        version=0,
        reason="",
        retry_after_ms=0,
        charged=False,
        detail="",
        address="",
        is_trial=True,
    )


def _not_leading() -> Any:
    return _refusal(Reason.OWNER_UNAVAILABLE, 0.0, "not the leader", False)
