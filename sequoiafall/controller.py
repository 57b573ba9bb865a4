"""Controller process of an instance.

It takes part in the consensus on the head, owns organisations and pools, and serves
the gateways and the operators' API.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from mode import Service
from returns.result import Failure, Result, Success

from .audit import AuditPage, AuditQuery, read_audit
from .commits import Committer
from .controller_config import SETTINGS, ControllerConfig
from .controller_metrics import ControllerMetrics
from .coordinator import Coordinator, resources_in
from .departure import Departure
from .edits import CommitError, EditRequest
from .gateway_service import GatewayService
from .head import seats_of
from .heartbeats import HeartbeatSender
from .load_budget import LoadLimits
from .log import log_event, log_warning
from .operator_api import ConfigurationBackend, EditOutcome, OperatorApi
from .ownership import ORGANISATION_PREFIX, DueHandover
from .peers import PeerConnections
from .platform_client import ListedInstance, PlatformClient
from .platform_follower import PlatformFollower
from .pool_service_manager import PoolServiceManager
from .process import run_service
from .quota_service import QuotaService
from .settings import settings_from_command_line
from .status import explain, fleet_report, local_report, set_metrics
from .store_results import Unavailable
from .table import TableState
from .transport import MessageKind, WireServer
from .wire.gen.ttypes import (
    Ack,
    Change,
    FetchState,
    Handover,
    Head,
    Heartbeat,
    HeartbeatReply,
    Member,
    NotifyHead,
    StateReply,
    StatusReply,
    StatusRequest,
)

TICK_PERIOD_S = 0.05
PLATFORM_POLL_PERIOD_S = 1.0
# Without evidence from peers, a read of the platform must succeed at least every 2 s,
# even if one reply is late.
PLATFORM_POLL_PERIOD_WITHOUT_PEERS_S = 0.4
MEMBERSHIP_PERIOD_S = 0.25
FOLLOW_PERIOD_S = 0.1
CALL_TIMEOUT_S = 0.8
FETCH_TIMEOUT_S = 3.0
HANDOVER_TIMEOUT_S = 3.0
HANDOVER_RETRY_S = 0.1
# The operators' API replies to an edit within 7 s.
IN_FORCE_TIMEOUT_S = 6.5


class Controller(Service, ConfigurationBackend):
    """Service that takes part in the fleet until it is stopped and then leaves it.

    Parameters
    ----------
    config : ControllerConfig
        Settings.
    platform : PlatformClient or None, default=None
        Client of the platform; created from the settings by default.
    """

    def __init__(
        self,
        config: ControllerConfig,
        platform: PlatformClient | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.config = config
        self.platform = platform or PlatformClient(config.platform_url, config.instance)
        self.committer = Committer(self.platform)
        self.member = Member(
            config.instance,
            int(time.time() * 1000),
            config.zone,
            config.listen,
            list(config.gateway_addresses),
        )
        self.coordinator = Coordinator(self.member, resources_in, time.monotonic())
        self.follower = PlatformFollower(
            self.platform, self.committer, self.coordinator
        )
        self.peers = PeerConnections(config.cluster_secret)
        self.heartbeats = HeartbeatSender(
            self.coordinator, self.peers, config.seed_addresses
        )
        self.gateways = GatewayService(self.coordinator)
        self.quotas = QuotaService(self.coordinator)
        self.pools = PoolServiceManager(
            self.coordinator,
            LoadLimits(rate_per_s=config.loads_per_s),
            self.peers,
            config.move_after_s,
        )
        self.metrics = ControllerMetrics()
        host, _, port = config.listen.rpartition(":")
        self.wire = WireServer(
            host, int(port), config.cluster_secret, self._handlers_by_kind()
        )
        self.operator_address = config.operator_listen
        self._runner: web.AppRunner | None = None
        self._in_force_changed = asyncio.Event()
        self._notified_revisions = (0, 0)
        self._handover_tasks: set[asyncio.Task[None]] = set()

    # Startup and shutdown.

    async def on_start(self) -> None:
        """Open the ports and start the periodic tasks."""
        await self.wire.start()
        await self.peers.start()
        listen = f"{self.wire.host}:{self.wire.port}"
        self.member.controller_address = self.config.advertised_address or listen
        await self._listen_for_operators()
        log_event(
            "started",
            instance=self.member.instance,
            incarnation=self.member.incarnation,
            zone=self.member.zone,
            listen=listen,
            advertised=self.member.controller_address,
            operator_listen=self.operator_address,
        )
        for period_s, step in (
            (TICK_PERIOD_S, self._tick),
            (FOLLOW_PERIOD_S, self._follow),
            (MEMBERSHIP_PERIOD_S, self._change_membership),
        ):
            self.add_future(self._repeat(period_s, step))
        self.add_future(self._poll_platform())
        self.add_future(self.heartbeats.run())

    async def on_stop(self) -> None:
        """Leave the fleet while all tasks are still running, then stop them."""
        await Departure(self).run()
        await self.pools.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        await self.wire.stop()
        await self.peers.stop()
        await self.platform.close()
        log_event("stopped", instance=self.member.instance)

    async def _repeat(
        self, period_s: float, step: Callable[[], Awaitable[Any]]
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                # An error in one step must not end the periodic task.
                log_warning("step_failed", step=step.__name__, error=repr(error))
            await asyncio.sleep(period_s)

    # Periodic steps.

    async def _tick(self) -> None:
        now = time.monotonic()
        coordinator = self.coordinator
        coordinator.tick(now)
        is_following = coordinator.lifecycle.state in ("observing", "voting")
        # Callers must not be sent to an instance whose gateways do not listen yet or
        # are stopping.
        coordinator.ready = is_following and self.gateways.is_serving
        self.quotas.sync(now)
        for handover in coordinator.handovers(now):
            message = self._release(handover, now)
            task = asyncio.create_task(self._hand_over(handover, message))
            self._handover_tasks.add(task)
            task.add_done_callback(self._handover_tasks.discard)
        await self.pools.sync()
        revisions = (coordinator.revision, coordinator.in_force_revision(now))
        if revisions != self._notified_revisions:
            self._notified_revisions = revisions
            self.gateways.notify()
            changed, self._in_force_changed = self._in_force_changed, asyncio.Event()
            changed.set()

    async def _poll_platform(self) -> None:
        while True:
            try:
                await self.follower.poll()
            except Exception as error:
                log_warning("step_failed", step="poll_platform", error=repr(error))
            lacks_evidence = (
                self.coordinator.freshness.fresh_until() - time.monotonic() < 1.5
            )
            await asyncio.sleep(
                PLATFORM_POLL_PERIOD_WITHOUT_PEERS_S
                if lacks_evidence
                else PLATFORM_POLL_PERIOD_S
            )

    async def _follow(self) -> None:
        """Fetch missing changes from a peer, or from the platform if that fails."""
        coordinator = self.coordinator
        if coordinator.recovery is not None and not self.follower.available:
            if self.follower.polls:
                await self._recover()
            return
        if not coordinator.freshness.is_behind():
            return
        ahead = [
            status
            for status in coordinator.peers()
            if status.head_revision > coordinator.revision
        ]
        if ahead:
            newest = max(ahead, key=lambda status: status.head_revision)
            await self._fetch_from(newest.controller_address)
        if coordinator.freshness.is_behind() and self.follower.available:
            await self.follower.catch_up()

    async def _recover(self) -> None:
        """Request the state and the claimed seat from all known controllers."""
        members = self.coordinator.addressed_head().view.members
        addresses = {member.controller_address for member in members}
        addresses.update(self.config.seed_addresses)
        addresses.discard(self.member.controller_address)
        await asyncio.gather(*(self._fetch_from(address) for address in addresses))

    async def _fetch_from(self, address: str) -> None:
        request = self.coordinator.fetch_state()
        result = await self.peers.call(address, request, FETCH_TIMEOUT_S)
        if isinstance(result, Success):
            self.coordinator.on_state_reply(result.unwrap(), time.monotonic())

    async def _change_membership(self) -> None:
        now = time.monotonic()
        coordinator = self.coordinator
        coordinator.forget_silent(now)
        if not self.follower.available or coordinator.leaving:
            return
        if coordinator.freshness.is_behind():
            return
        proposal = coordinator.propose_view(now)
        if proposal is None:
            await self.close_views()
            return
        result = await self.follower.commit_view(proposal)
        if isinstance(result, Success):
            await self.notify_members(result.unwrap().change)
        else:
            await self.follower.catch_up()

    async def close_views(self) -> None:
        """Commit a head without the pending views once these are closed."""
        now = time.monotonic()
        if not self.coordinator.should_close_views(now):
            return
        result = await self.committer.close_views(
            self.coordinator.head.view,
            self.member.instance,
            self.coordinator.in_force_revision(now),
        )
        if isinstance(result, Success):
            commit = result.unwrap()
            await self._follow_commit(commit.head, commit.change)

    async def notify_members(self, change: Change) -> None:
        """Send the local head to the other members and record the acknowledgements."""
        coordinator = self.coordinator
        head = coordinator.head
        if change.revision != head.revision or not change.edits:
            return
        request = NotifyHead(head, [change])
        views = [coordinator.addressed_head().view, *head.pending_views]
        addresses_by_seat = {
            member.instance: member.controller_address
            for view in reversed(views)
            for member in view.members
            if member.instance != self.member.instance
        }
        await asyncio.gather(
            *(
                self._notify(seat, address, request)
                for seat, address in addresses_by_seat.items()
            )
        )

    async def _notify(self, seat: str, address: str, request: NotifyHead) -> None:
        result = await self.peers.call(address, request, CALL_TIMEOUT_S)
        if isinstance(result, Success):
            self.coordinator.on_ack([seat], result.unwrap(), time.monotonic())

    async def wait_handovers(self, deadline: float) -> None:
        """Wait until the state of all lost resources is sent or the deadline passes."""
        # The grace period of a lost resource ends before the new view is in force, and
        # the next tick after that starts the last handovers.
        await asyncio.sleep(2 * TICK_PERIOD_S)
        if self._handover_tasks:
            timeout_s = max(0.0, deadline - time.monotonic())
            await asyncio.wait(self._handover_tasks, timeout=timeout_s)

    def _release(self, due: DueHandover, now: float) -> Handover:
        """Stop acting for a lost resource and return its state."""
        if due.resource.startswith(ORGANISATION_PREFIX):
            message = self.quotas.release(due.resource, due.fencing_token, now)
        else:
            message = self.pools.release(due.resource, due.fencing_token)
        message.last_view_revision = due.last_view_revision
        message.from_instance = self.member.instance
        return message

    async def _hand_over(self, due: DueHandover, message: Handover) -> None:
        """Send the state of a lost resource and retry until the new owner accepts it.

        A new owner that declines the state ends the attempts, and so does
        `HANDOVER_TIMEOUT_S`.
        """
        released_at = time.monotonic()
        accepted, reason = False, ""
        while time.monotonic() < released_at + HANDOVER_TIMEOUT_S and not accepted:
            message.head_revision = self.coordinator.revision
            result = await self.peers.call(
                due.to.controller_address, message, CALL_TIMEOUT_S
            )
            if isinstance(result, Success):
                ack = result.unwrap()
                accepted, reason = bool(ack.accepted), ack.reason
                if reason == "declined":
                    break
            else:
                reason = result.failure().detail
            if not accepted:
                await asyncio.sleep(HANDOVER_RETRY_S)
        log_event(
            "handed_over",
            resource=due.resource,
            to=due.to.instance,
            accepted=accepted,
            reason=reason,
        )

    # Handlers of messages from other processes.

    def _handlers_by_kind(self) -> dict[MessageKind, Any]:
        return {
            MessageKind.HEARTBEAT: self._on_heartbeat,
            MessageKind.NOTIFY_HEAD: self._on_notify_head,
            MessageKind.FETCH_STATE: self._on_fetch_state,
            MessageKind.HANDOVER: self._on_handover,
            MessageKind.GATEWAY_POLL: self.gateways.on_poll,
            MessageKind.QUOTA_REQUEST: self.quotas.on_request,
            MessageKind.PLACE_REQUEST: self.pools.on_place,
            MessageKind.PLACE_UPDATE: self.pools.on_update,
            MessageKind.LOAN_REQUEST: self.pools.on_loan,
            MessageKind.STATUS_REQUEST: self._on_status_request,
        }

    def _on_heartbeat(self, request: Heartbeat, _peer: str) -> HeartbeatReply:
        return self.coordinator.on_heartbeat(request, time.monotonic())

    def _on_notify_head(self, request: NotifyHead, _peer: str) -> Ack:
        ack = self.coordinator.on_notify_head(request, time.monotonic())
        self.gateways.notify()
        return ack

    def _on_fetch_state(self, request: FetchState, _peer: str) -> StateReply:
        return self.coordinator.on_fetch_state(request, time.monotonic())

    def _on_handover(self, request: Handover, _peer: str) -> Ack:
        coordinator, now = self.coordinator, time.monotonic()
        if request.seat:
            accepted = coordinator.on_seat_offered(request, now)
            return Ack(coordinator.revision, accepted, "" if accepted else "declined")
        coordinator.freshness.record_revision(request.head_revision)
        if request.head_revision > coordinator.revision:
            return Ack(coordinator.revision, False, "behind")
        ownership = coordinator.ownership
        if not ownership.on_handover(request.resource, request.last_view_revision, now):
            return Ack(coordinator.revision, False, "declined")
        token = ownership.fencing_token(request.resource)
        if request.resource.startswith(ORGANISATION_PREFIX):
            self.quotas.receive(request, token)
        else:
            self.pools.receive(request)
        return Ack(coordinator.revision, True, "")

    def _on_status_request(self, request: StatusRequest, _peer: str) -> StatusReply:
        return StatusReply(json.dumps(local_report(self, request.resource or "")))

    # Operators' API.

    async def edit(self, request: EditRequest) -> Result[EditOutcome, CommitError]:
        """Commit an edit and wait until it is in force, for at most 7 s in total."""
        started_at = time.monotonic()
        in_force = self.coordinator.in_force_revision(started_at)
        result = await self.committer.edit(request, in_force)
        if isinstance(result, Failure):
            return result
        commit = result.unwrap()
        revision = commit.change.revision
        await self._follow_commit(commit.head, commit.change)
        deadline = started_at + IN_FORCE_TIMEOUT_S
        is_in_force = await self.wait_in_force(revision, deadline)
        return Success(EditOutcome(revision, is_in_force))

    async def _follow_commit(self, head: Head, change: Change) -> None:
        await self.follower.apply_commit(head, change)
        self.gateways.notify()
        await self.notify_members(change)

    async def wait_in_force(self, revision: int, deadline: float) -> bool:
        """Wait until a revision is in force or the deadline has passed."""
        while True:
            now = time.monotonic()
            if self.coordinator.in_force_revision(now) >= revision:
                return True
            if now >= deadline:
                return False
            changed = self._in_force_changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - now)
            except TimeoutError:
                continue

    def table_state(self) -> TableState:
        """Return the table at the local revision."""
        return self.coordinator.follower.state

    async def audit(self, query: AuditQuery) -> Result[AuditPage, Unavailable]:
        """Read a page of the audit log."""
        return await read_audit(self.committer, query)

    async def status(self) -> dict[str, Any]:
        """Return the state of instances, owners and backend servers."""
        return await fleet_report(self)

    async def explain(self, key_name: str, model: str, tokens: int) -> dict[str, Any]:
        """Return whether such a request would be admitted and where it would run."""
        return await explain(self, key_name, model, tokens)

    async def _listen_for_operators(self) -> None:
        application = web.Application()
        application.add_routes(OperatorApi(self, self.config.operator_token).routes())
        application.router.add_get("/healthz", self._healthz)
        application.router.add_get("/readyz", self._readyz)
        application.router.add_get("/metrics", self._metrics)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        host, _, port = self.config.operator_listen.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        bound = self._runner.addresses[0]
        self.operator_address = f"{bound[0]}:{bound[1]}"

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        now = time.monotonic()
        if self.coordinator.leaving:
            return web.Response(status=503, text="leaving\n")
        if not self.coordinator.status(now).ready:
            return web.Response(status=503, text="no fresh head\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        coordinator, metrics = self.coordinator, self.metrics
        acting = [
            resource
            for resource in coordinator.ownership.owned_resources()
            if coordinator.may_act(resource, now)
        ]
        for gauge, value in (
            (metrics.head_revision, coordinator.revision),
            (metrics.in_force_revision, coordinator.in_force_revision(now)),
            (metrics.head_fresh_seconds, coordinator.fresh_for_s(now)),
            (metrics.view_members, len(seats_of(coordinator.head.view))),
            (metrics.owned_resources, len(acting)),
            (metrics.quota_granted_tokens, self.quotas.granted_tokens),
            (metrics.quota_refusals, self.quotas.refusals),
            (metrics.platform_available, int(self.follower.available)),
            (metrics.gateways, len(self.gateways.gateways(now))),
        ):
            gauge.set({}, value)
        set_metrics(self)
        body, headers = metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def announce(self, state: str) -> None:
        """Publish this instance and its state in the platform's instance list."""
        entry = ListedInstance(
            self.member.instance,
            self.member.zone,
            self.member.controller_address,
            state,
        )
        await self.platform.register_instance(entry)


def main() -> None:
    """Run a controller until it is stopped by a signal."""
    settings = settings_from_command_line(
        SETTINGS, "sequoiafall-controller", "controller of an instance"
    )
    run_service(Controller(ControllerConfig.from_settings(settings)))


if __name__ == "__main__":
    main()
