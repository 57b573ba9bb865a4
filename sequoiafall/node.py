"""One instance on a platform that gives it its settings, store and engines."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import Any

from aiohttp import web
from mode import Service
from returns.result import Failure

from .boot_clock import boot_time
from .fleet import Fleet
from .forwarding import Forwarder
from .log import dropped_line_count, log_event, log_warning
from .node_metrics import NodeMetrics
from .node_settings import NodeSettings, SettingsSource
from .place_source import PlaceSource
from .row_store import RowStore
from .serving_ports import Dialect, EngineControl, RowDecoder

# Headers and bodies that callers may send; the operator's limits are below.
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
# Longer than callers keep an idle connection.
KEEP_ALIVE_S = 120.0
# Time before the end of the grace period by which a process ends by itself.
STOP_MARGIN_S = 1.0
# Share of the grace period in which new requests are still accepted: callers use
# an old directory answer up to three times as long as its lifetime.
ACCEPT_SHARE = 0.8
# While it stops, an instance looks this often whether it was suspended.
STOP_STEP_S = 0.25
# Lifetime of a directory answer.
DIRECTORY_LIFE_S = 1.5
# Time for connections that are left when the process ends.
CLOSE_TIMEOUT_S = 0.1
# Instances in one directory answer.
MAX_ADDRESSES = 64
# Fewer instances than this in a caller's zone are filled up from other zones.
MIN_NEAR_ADDRESSES = 2
# The delay of the event loop is measured, and the settings are looked at, this
# often.
WATCH_INTERVAL_S = 0.5


class Node(Service):
    """Serves callers on one instance and takes part in the fleet.

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
    dialect : Dialect
        Headers of requests and answers.
    applications : object
        Has ``ready(node)`` and ``directory(node)``, which return the platform's
        web applications.
    source : SettingsSource or None, default=None
        Where settings that changed are read anew.
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
        self._front: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Join the fleet and listen."""
        await self.add_runtime_dependency(self.fleet)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        callers = web.Application(client_max_size=MAX_BODY_BYTES)
        callers.router.add_route("*", "/{path:.*}", self.forwarder.handle)
        self._front = await self._listen(callers, self.settings.front_address)
        await self._listen(self._applications.ready(self), self.settings.ready_address)
        if self.settings.directory_address:
            await self._listen(
                self._applications.directory(self), self.settings.directory_address
            )
        metrics = web.Application()
        metrics.router.add_get("/metrics", self._on_metrics)
        address = f"{self.settings.address}:{self.settings.metrics_port}"
        await self._listen(metrics, address)
        self.add_future(self._watch())
        log_event(
            "started",
            instance=self.settings.instance,
            zone=self.settings.zone,
            incarnation=self.fleet.incarnation,
            front=self.settings.front_address,
            store=self.settings.store_address,
        )

    async def on_stop(self) -> None:
        """Leave the directory, finish the requests, then close."""
        started_at = boot_time()
        log_event("stopping", open_requests=self.forwarder.open_requests)
        await self.fleet.leave()
        grace_s = max(0.0, self.settings.grace_s - STOP_MARGIN_S)
        self.forwarder.stop_deadline = started_at + grace_s
        accept_until = started_at + grace_s * ACCEPT_SHARE
        # Timers do not count a suspension; the grace period does.
        while True:
            left_s = accept_until - boot_time()
            if left_s <= 0.0:
                break
            await asyncio.sleep(min(left_s, STOP_STEP_S))
        if self._front is not None:
            await self._front.stop()
        while self.forwarder.open_requests:
            left_s = self.forwarder.stop_deadline - boot_time()
            if left_s <= 0.0:
                break
            await self.forwarder.wait_idle(min(left_s, STOP_STEP_S))
        await self.fleet.stop()
        left = self.forwarder.open_requests
        if left:
            log_warning("requests_cut", count=left)
        for runner in self._runners:
            await runner.cleanup()
        await self._control.close()
        await self._store.close()
        log_event("stopped", open_requests=left)

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this instance."""
        return self.fleet.catalog is not None and not self.fleet.is_leaving

    @property
    def directory_life_s(self) -> float:
        """Seconds for which callers may keep a directory answer."""
        return min(DIRECTORY_LIFE_S, self.settings.directory_life_s)

    def addresses_for(self, zone: str) -> list[str]:
        """Return the addresses that callers of an availability zone should use."""
        members = self.fleet.ready_members()
        near = [row.front_address for row in members if row.zone == zone]
        if len(near) >= MIN_NEAR_ADDRESSES:
            return near[:MAX_ADDRESSES]
        far = [row.front_address for row in members if row.zone != zone]
        return (near + far)[:MAX_ADDRESSES]

    async def _listen(self, application: web.Application, address: str) -> web.TCPSite:
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            # Open requests are waited for by `on_stop`.
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), backlog=512)
        await site.start()
        return site

    async def _on_metrics(self, request: web.Request) -> web.Response:
        fleet = self.fleet
        self.metrics.gauges_by_name = {
            "open_requests": self.forwarder.open_requests,
            "configuration_version": fleet.catalog.version if fleet.catalog else 0,
            "leads": float(fleet.tenure.leads),
            "has_leader": float(fleet.has_leader),
            "reaches_store": float(fleet.reaches_store),
            "fencing_token": fleet.tenure.token,
            "members": len(fleet.ready_members()),
            "log_lines_dropped": dropped_line_count(),
            "retries": self.forwarder.retries(),
            "configuration_age_seconds": fleet.tables.configuration_age_s(),
            "leader_changes": self.metrics.leader_changes,
            "terms_begun": self.metrics.terms_begun,
            "servers_seen_leaving": fleet.notices.leaving_seen,
            "server_pauses_seen": fleet.notices.pauses_seen,
            **self._leader_gauges(),
        }
        return self.metrics.respond(request)

    async def _watch(self) -> None:
        """Measure how late the event loop runs what is due; look at the settings."""
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            due = loop.time() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.metrics.loop_lag_seconds.observe("all", max(0.0, loop.time() - due))
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
        """Read the settings anew, after a signal or a change of the file."""
        if self._source is None:
            log_event("reload", instance=self.settings.instance)
            return
        result = self._source.read()
        if isinstance(result, Failure):
            findings = "; ".join(str(finding) for finding in result.failure())
            log_warning("settings_unreadable", findings=findings)
            return
        changed, left = self.settings.adopt(result.unwrap())
        log_event(
            "reload",
            instance=self.settings.instance,
            changed=",".join(changed),
            needs_restart=",".join(left),
        )
