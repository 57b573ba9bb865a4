"""Process of an instance on the users' platform: listeners, fleet member, shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from typing import Any

from aiohttp import web
from mode import Service
from returns.result import Failure

from .boot_clock import boot_time
from .connection_guard import ConnectionGuard, GuardedRunner
from .fleet import Fleet
from .forwarding import Forwarder
from .log import dropped_line_count, innermost_frames, log_event, log_warning
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings, SettingsSource
from .place_source import PlaceSource
from .process import stop_requested_at
from .row_store import RowStore
from .serving_ports import Dialect, EngineControl, RowDecoder

# Largest header that the parser accepts; the guard bounds all of a head together.
MAX_HEADER_BYTES = 16 * 1024
# Connections that wait to be accepted, and those that are accepted at once: each is
# open before the guard can close it.
LISTEN_BACKLOG = 512
ACCEPTED_AT_ONCE = 64
# Time in which the event loop accepts that many.
ACCEPT_ROUND_S = 0.01
# Receive and send buffer of the kernel for one connection from outside, so that those
# that are not read do not fill the memory of the machine.
SOCKET_BUFFER_BYTES = 64 * 1024
# Longer than callers keep idle connections open.
KEEP_ALIVE_S = 120.0
# Share of the time until requests are ended in which new ones are accepted: callers
# use an old directory response for up to three times its TTL.
ACCEPTING_SHARE = 0.8
# Interval at which a stopping instance checks whether it was suspended.
STOP_CHECK_INTERVAL_S = 0.25
# TTL of a directory response.
DIRECTORY_TTL_S = 1.5
# Time for the last refusals: of requests that are under way on kept connections when
# the others have ended, and again for callers that read slowly.
LAST_REQUESTS_S = 0.1
# Interval at which the end of the last responses is looked for.
DRAIN_CHECK_INTERVAL_S = 0.02
# Time for closing the remaining connections when the process ends.
CLOSE_TIMEOUT_S = 0.1
# Instances listed in one directory response.
MAX_ADDRESSES = 64
# If a caller's zone has fewer instances, those of other zones are added.
MIN_SAME_ZONE_ADDRESSES = 2
# Interval at which the event loop lag is measured and the settings file is checked.
MONITOR_INTERVAL_S = 0.5


class Node(Service):
    """Serves callers on one instance as a member of the fleet.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the instance.
    secret : bytes
        Shared secret of the instances.
    store : RowStore
        The platform's store.
    decoder : RowDecoder
        Decodes the rows of the store.
    control : EngineControl
        Sends orders to engines.
    dialect : Dialect
        Translates headers of requests and responses.
    applications : object
        Has ``ready(node)`` and ``directory(node)``, which return the platform's
        web applications.
    source : SettingsSource or None, default=None
        Source from which changed settings are reloaded.
    """

    def __init__(
        self,
        settings: NodeSettings,
        secret: bytes,
        store: RowStore,
        decoder: RowDecoder,
        control: EngineControl,
        dialect: Dialect,
        applications: Any,
        source: SettingsSource | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self._store = store
        self._control = control
        self._applications = applications
        self._source = source
        self.metrics = NodeMetrics()
        self.fleet = Fleet(settings, secret, store, decoder, control, self.metrics)
        generator = random.Random()
        places = PlaceSource(self.fleet, control, generator)
        self.forwarder = Forwarder(
            settings, self.fleet, places, dialect, self.metrics, generator
        )
        self._runners: list[web.AppRunner] = []
        self._caller_runner: web.AppRunner | None = None
        self._caller_site: web.SockSite | None = None
        self.guard = ConnectionGuard(
            settings.max_descriptors,
            self.forwarder.caller_limits,
            lambda: self.forwarder.ends.bodies.is_short,
        )

    async def on_start(self) -> None:
        """Join the fleet and start listening."""
        await self.add_runtime_dependency(self.fleet)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        callers = web.Application()
        # A dot would not match an encoded line break.
        callers.router.add_route("*", r"/{path:[\s\S]*}", self.forwarder.handle)
        self._caller_site = await self._listen(callers, self.settings.front_address)
        self._caller_runner = self._runners[-1]
        await self._listen(self._applications.ready(self), self.settings.ready_address)
        if self.settings.directory_address:
            await self._listen(
                self._applications.directory(self), self.settings.directory_address
            )
        metrics = web.Application()
        metrics.router.add_get("/metrics", self._on_metrics)
        address = f"{self.settings.address}:{self.settings.metrics_port}"
        await self._listen(metrics, address)
        self.add_future(self._monitor())
        self.add_future(self.forwarder.monitor_servers(lambda: self.should_stop))
        log_event(
            "started",
            instance=self.settings.instance,
            zone=self.settings.zone,
            incarnation=self.fleet.incarnation,
            front=self.settings.front_address,
            store=self.settings.store_address,
        )

    async def on_stop(self) -> None:
        """Leave the directory, drain the open requests, then close."""
        now = boot_time()
        started_at = min(now, stop_requested_at())
        log_event(
            "stopping",
            open_requests=self.forwarder.open_requests,
            signal_ms=int((now - started_at) * 1e3),
        )
        self.forwarder.begin_stop(started_at, self.settings.grace_s)
        serving_s = self.forwarder.stop_period.deadline - started_at
        accept_until = started_at + serving_s * ACCEPTING_SHARE
        try:
            await self.fleet.leave()
        except Exception as error:
            # The open requests still have the grace period.
            log_warning("leave_failed", error=repr(error))
        # The grace period goes on during a suspension, but timers stand still.
        while True:
            remaining_s = accept_until - boot_time()
            if remaining_s <= 0.0:
                break
            await asyncio.sleep(min(remaining_s, STOP_CHECK_INTERVAL_S))
        open_requests = await self._finish_requests()
        await self.fleet.stop()
        for runner in self._runners:
            await runner.cleanup()
        await self._control.close()
        await self._store.close()
        log_event(
            "stopped",
            open_requests=open_requests,
            after_ms=int((boot_time() - started_at) * 1e3),
            ends=self.forwarder.describe_stop(),
        )

    async def _finish_requests(self) -> int:
        """Close the callers' listener; return the number of requests that it ended.

        Requests that callers still send on kept connections are refused, as those
        that have not ended by the deadline.
        """
        deadline = self.forwarder.stop_period.deadline
        if self._caller_site is not None:
            await self._accept_waiting()
            await self._caller_site.stop()
        while self.forwarder.open_requests:
            remaining_s = deadline - boot_time()
            if remaining_s <= 0.0:
                break
            await self.forwarder.wait_idle(min(remaining_s, STOP_CHECK_INTERVAL_S))
        open_requests = self.forwarder.open_requests
        if open_requests:
            log_warning("requests_cut", count=open_requests)
        self.forwarder.stop()
        await asyncio.sleep(LAST_REQUESTS_S)
        await self.forwarder.wait_idle(LAST_REQUESTS_S)
        if self._caller_runner is not None:
            await self._drain_connections(self._caller_runner, deadline)
            self._runners.remove(self._caller_runner)
            await self._caller_runner.cleanup()
        return open_requests

    async def _accept_waiting(self) -> None:
        """Accept the connections that wait, which the end of the listener resets.

        Many may have come while the process was suspended.
        """
        for _ in range(LISTEN_BACKLOG // ACCEPTED_AT_ONCE + 1):
            accepted = self.guard.accepted_count
            await asyncio.sleep(ACCEPT_ROUND_S)
            if self.guard.accepted_count == accepted:
                return

    async def _drain_connections(self, runner: web.AppRunner, until: float) -> None:
        """Wait until callers have taken the ends of their responses.

        The process ends with what is left in its buffers. `until` is a time of
        `boot_time`.
        """
        while True:
            connections = runner.server.connections if runner.server else []
            transports = [row.transport for row in connections]
            unsent = [
                size
                for transport in transports
                if transport is not None and (size := transport.get_write_buffer_size())
            ]
            if not unsent:
                return
            if boot_time() >= until:
                log_warning(
                    "responses_unsent", connections=len(unsent), bytes=sum(unsent)
                )
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    @property
    def is_ready(self) -> bool:
        """Whether this instance accepts callers."""
        return self.fleet.catalog is not None and not self.fleet.is_leaving

    @property
    def directory_ttl_s(self) -> float:
        """TTL of a directory response in seconds."""
        return min(DIRECTORY_TTL_S, self.settings.directory_life_s)

    def addresses_for(self, zone: str) -> list[str]:
        """Return the addresses that callers of an availability zone should use."""
        members = self.fleet.ready_members()
        same_zone = [row.front_address for row in members if row.zone == zone]
        if len(same_zone) >= MIN_SAME_ZONE_ADDRESSES:
            return same_zone[:MAX_ADDRESSES]
        other_zones = [row.front_address for row in members if row.zone != zone]
        return (same_zone + other_zones)[:MAX_ADDRESSES]

    async def _listen(self, application: web.Application, address: str) -> web.SockSite:
        runner = GuardedRunner(
            application,
            self.guard,
            handler_cancellation=True,
            # Bodies are forwarded with the headers that name their encoding.
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            # `on_stop` has already waited for open requests.
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
            listener.bind((host, int(port)))
            site = web.SockSite(runner, listener, backlog=ACCEPTED_AT_ONCE)
            await site.start()
            listener.listen(LISTEN_BACKLOG)
        except BaseException:
            listener.close()
            raise
        return site

    async def _on_metrics(self, request: web.Request) -> web.Response:
        fleet = self.fleet
        self.metrics.gauges_by_name = {
            "open_requests": self.forwarder.open_requests,
            "open_connections": self.guard.open_count,
            "body_memory_bytes": self.forwarder.ends.bodies.used_bytes,
            "configuration_version": fleet.catalog.version if fleet.catalog else 0,
            "leads": float(fleet.lease.leads),
            "has_leader": float(fleet.has_leader),
            "reaches_store": float(fleet.reaches_store),
            "fencing_token": fleet.lease.token,
            "members": len(fleet.ready_members()),
            "log_lines_dropped": dropped_line_count(),
            "retries": self.forwarder.retries(),
            "configuration_age_seconds": fleet.tables.configuration_age_s(),
            "leader_changes": self.metrics.leader_changes,
            "terms_begun": self.metrics.terms_begun,
            "servers_seen_leaving": fleet.notices.leaving_seen,
            "server_pauses_seen": fleet.notices.pauses_seen,
            "servers_limited": len(fleet.server_limits.rates_by_server()),
            **{
                f"limited_server_{source}_responses": count
                for source, count in fleet.server_limits.responses_by_source.items()
            },
            "harmful_prompt_parts": len(fleet.crash_evidence.harmful_suspects()),
            "suspected_prompt_parts": fleet.crash_evidence.suspected_count(boot_time()),
            **self._leader_gauges(),
        }
        self.metrics.limited_by_reason = self.guard.counts_by_reason
        return self.metrics.respond(request)

    async def _monitor(self) -> None:
        """Measure the event loop lag and reload settings that have changed."""
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            expected_at = loop.time() + MONITOR_INTERVAL_S
            await asyncio.sleep(MONITOR_INTERVAL_S)
            self.metrics.loop_lag_seconds.observe(
                "all", max(0.0, loop.time() - expected_at)
            )
            self.guard.check(loop.time())
            self.forwarder.ends.check(boot_time())
            if self._source is not None and self._source.has_changed():
                self._on_reload()

    def _leader_gauges(self) -> dict[str, float]:
        duties = self.fleet.duties
        if duties is None:
            return {}
        gauges: dict[str, float] = {}
        for planner in duties.planners_by_service.values():
            counts = planner.counts
            for name, value in (
                ("places_granted", counts.granted),
                ("places_refused", sum(counts.refused_by_reason.values())),
                ("loads_from_store", counts.cold_loads),
                ("loads_from_memory", counts.warm_loads),
                ("loads_failed", counts.failed_loads),
                ("places_expired", counts.expired_places),
                ("waiting", planner.waiting_count),
            ):
                gauges[name] = gauges.get(name, 0.0) + value
        return gauges

    def _on_reload(self) -> None:
        """Reload the settings after a signal or a change of the file."""
        if self._source is None:
            log_event("reload", instance=self.settings.instance)
            return
        try:
            result = self._source.read()
        except Exception as error:
            # It would end the process, with all its requests.
            findings = f"{type(error).__name__} at {innermost_frames(error)}"
            log_warning("settings_unreadable", findings=findings)
            return
        if isinstance(result, Failure):
            findings = "; ".join(str(finding) for finding in result.failure())
            log_warning("settings_unreadable", findings=findings)
            return
        changed, needs_restart = self.settings.apply_reloadable(result.unwrap())
        log_event(
            "reload",
            instance=self.settings.instance,
            changed=",".join(changed),
            needs_restart=",".join(needs_restart),
        )
