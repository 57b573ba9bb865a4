"""The gateway process: an HTTP reverse proxy in front of the backend servers."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from mode import Service

from .callers_api import DRAINING_RETRY_AFTER_S, CallersApi
from .calls import RunningCalls
from .chart import load_chart
from .completions import Backends
from .control_client import Connect, ControlClient
from .directory import DIRECTORY_TTL_S
from .engine_client import EngineClient
from .gateway_metrics import GatewayMetrics
from .ledger_store import LedgerStore
from .log import log_event, log_warning
from .pass_through import PassThrough
from .place_client import PlaceClient
from .platform_client import PlatformClient
from .process import run_service
from .quota_client import QuotaClient
from .refusal import Reason, Refusal
from .retry import RetryBudget
from .settings import (
    Finding,
    Setting,
    exit_with_findings,
    parse_address,
    parse_file,
    parse_name,
    parse_seconds,
    parse_secret_file,
    parse_url,
    settings_from_command_line,
)
from .transport import WireClient

# Callers cache a directory response for its TTL; other gateways learn of the
# shutdown within a second.
LEAVE_PROPAGATION_S = 1.0

# A stream may take long, but the platform eventually replaces the instance.
DRAIN_TIMEOUT_S = 600.0

# Time for the last responses, to callers that may read slowly.
END_TIMEOUT_S = 1.0

# Connections waiting to be accepted; aiohttp's default of 128 is too low for the
# number of callers that may connect at once.
LISTEN_BACKLOG = 2048

SETTINGS = (
    Setting("instance", parse_name, "name of this instance"),
    Setting("zone", parse_name, "availability zone of this instance"),
    Setting("listen", parse_address, "address for callers"),
    Setting("metrics-listen", parse_address, "address for health and metrics"),
    Setting("controller", parse_address, "wire address of the controller"),
    Setting("platform-url", parse_url, "URL of the platform"),
    Setting("cluster-secret-file", parse_secret_file, "file with the shared secret"),
    Setting("tls-certificate", parse_file, "file with the certificate", ""),
    Setting("tls-key", parse_file, "file with the certificate's key", ""),
    Setting("drain-timeout", parse_seconds, "longest drain in seconds", "600"),
)


@dataclass(slots=True)
class GatewayConfig:
    """Settings of a gateway.

    Parameters
    ----------
    instance, zone : str
        Names of the instance and its availability zone.
    listen, metrics_listen, controller : str
        ``host:port``; port 0 selects a free port.
    platform_url : str
        URL of the platform.
    cluster_secret : bytes
        Shared secret of the instances.
    tls : ssl.SSLContext or None
        TLS of the callers' port; None for plain HTTP.
    shutdown_delay_s, drain_timeout_s : float
        Seconds to keep serving after leaving the directory, and to wait for calls
        to finish.
    """

    instance: str
    zone: str
    listen: str
    metrics_listen: str
    controller: str
    platform_url: str
    cluster_secret: bytes
    tls: ssl.SSLContext | None = None
    shutdown_delay_s: float = DIRECTORY_TTL_S + LEAVE_PROPAGATION_S
    drain_timeout_s: float = DRAIN_TIMEOUT_S

    @classmethod
    def from_settings(cls, settings: Any) -> GatewayConfig:
        """Build the configuration from checked settings.

        Raises
        ------
        ValueError
            If only one of certificate and key is given, they do not match, or the
            key is encrypted.
        """
        return cls(
            settings.instance,
            settings.zone,
            settings.listen,
            settings.metrics_listen,
            settings.controller,
            settings.platform_url,
            settings.cluster_secret_file,
            _tls_context(settings.tls_certificate, settings.tls_key),
            drain_timeout_s=settings.drain_timeout,
        )


def _tls_context(certificate: str | None, key: str | None) -> ssl.SSLContext | None:
    if certificate is None and key is None:
        return None
    if certificate is None or key is None:
        raise ValueError("a certificate and a key together")
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        # Without a password, OpenSSL prompts on standard input for that of an
        # encrypted key, and the process neither starts nor exits.
        context.load_cert_chain(certificate, key, password="")
    except (ssl.SSLError, OSError) as error:
        raise ValueError("a certificate with its key, not encrypted") from error
    return context


class Gateway(Service):
    """Serves callers until it is stopped, then drains.

    Parameters
    ----------
    config : GatewayConfig
        Settings.
    connect : callable or None, default=None
        Creates the client for a wire address.
    platform : PlatformClient or None, default=None
        Table service and object store.
    generator : random.Random or None, default=None
        Source of jitter; seeded with the instance and start time by default.
    """

    # mode logs starts and stops in another format.
    mundane_level = "debug"

    def __init__(
        self,
        config: GatewayConfig,
        connect: Connect | None = None,
        platform: PlatformClient | None = None,
        generator: random.Random | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.config = config
        self.incarnation = time.time_ns()
        if generator is None:
            generator = random.Random(f"{config.instance} {self.incarnation}")
        if connect is None:
            connect = self._connect_wire
        # Each gateway of an instance holds its own grants.
        name = f"{config.instance}-{config.listen.rpartition(':')[2]}"
        self.metrics = GatewayMetrics()
        self.platform = platform or PlatformClient(config.platform_url, name)
        self.control = ControlClient(name, config.controller, connect)
        self.quota = QuotaClient(self.control, generator)
        self.places = PlaceClient(self.control, generator)
        self.engines = EngineClient()
        self.retries = RetryBudget(generator)
        self.calls = RunningCalls(self.control, f"{name}-{self.incarnation:x}")
        backends = Backends(self.engines, self.places, self.retries)
        ledger = LedgerStore(self.platform, generator)
        pass_through = PassThrough(backends, self.quota, ledger, self.calls, generator)
        self.api = CallersApi(
            self.control, self.calls, self.quota, backends, pass_through, self.metrics
        )
        self.address = config.listen
        self.metrics_address = config.metrics_listen
        self._runners: list[web.AppRunner] = []

    def _connect_wire(self, address: str) -> WireClient:
        return WireClient(address, self.config.cluster_secret)

    def on_init_dependencies(self) -> list[Any]:
        """Return the services that run as long as this one."""
        return [self.control, self.quota, self.places]

    async def on_start(self) -> None:
        """Start listening, before the first poll makes callers come here.

        Until a poll has brought a fresh head, calls are refused.
        """
        # Loading the chart during a call would delay other calls.
        load_chart("call")
        callers = self.api.application()
        self._add_health_routes(callers)
        self.api.add_unknown_route(callers)
        self.address = await self._listen(callers, self.config.listen, self.config.tls)
        self.metrics_address = await self._listen(
            self._health_application(), self.config.metrics_listen
        )
        log_event(
            "started",
            instance=self.config.instance,
            zone=self.config.zone,
            listen=self.address,
            metrics_listen=self.metrics_address,
        )

    async def on_stop(self) -> None:
        """Leave the directory, finish the calls and return the grants."""
        log_event("draining", open_calls=len(self.calls))
        self.control.leaving = True
        await self.control.poll()
        # Callers may use a cached directory response until its TTL expires.
        await asyncio.sleep(self.config.shutdown_delay_s)
        self.api.accepts_calls = False
        try:
            async with asyncio.timeout(self.config.drain_timeout_s):
                await self.calls.wait_finished()
        except TimeoutError:
            log_warning("drain_timed_out", open_calls=len(self.calls))
            await self._end_calls()
        await self.quota.return_grants()
        await self.places.flush()
        for runner in self._runners:
            await runner.cleanup()
        await self.engines.close()
        await self.platform.close()
        log_event("stopped", open_calls=len(self.calls))

    async def _end_calls(self) -> None:
        """End the calls that have not finished, while they still hold their places."""
        refusal = Refusal(
            Reason.DRAINING,
            retry_after_s=DRAINING_RETRY_AFTER_S,
            detail="the gateway ends before the answer would",
        )
        self.calls.end_all(refusal)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self.calls.wait_ended()
        except TimeoutError:
            # The cleanup of the listener closes their connections.
            log_warning("calls_not_ended", open_calls=len(self.calls))

    async def _listen(
        self,
        application: web.Application,
        address: str,
        tls: ssl.SSLContext | None = None,
    ) -> str:
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            # `on_stop` has already waited for the calls.
            shutdown_timeout=END_TIMEOUT_S,
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        site = web.TCPSite(
            runner, host, int(port), ssl_context=tls, backlog=LISTEN_BACKLOG
        )
        await site.start()
        bound = runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    def _health_application(self) -> web.Application:
        application = web.Application()
        self._add_health_routes(application)
        application.router.add_get("/metrics", self._metrics)
        return application

    def _add_health_routes(self, application: web.Application) -> None:
        application.router.add_get("/healthz", self._healthz)
        application.router.add_get("/readyz", self._readyz)

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        if self.control.leaving:
            return web.Response(status=503, text="leaving\n")
        if not self.control.is_fresh():
            return web.Response(status=503, text="stale configuration\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        metrics, control = self.metrics, self.control
        fresh_s = max(0.0, control.fresh_until - control.clock())
        metrics.open_calls.set({}, len(self.calls))
        metrics.head_revision.set({}, control.table.revision)
        metrics.head_fresh_seconds.set({}, fresh_s)
        metrics.retries.set({}, self.retries.retries)
        return metrics.respond(request)


def main() -> None:
    """Run a gateway until a signal stops it."""
    program = "sequoiafall-gateway"
    settings = settings_from_command_line(SETTINGS, program, "gateway for callers")
    try:
        config = GatewayConfig.from_settings(settings)
    except ValueError as error:
        exit_with_findings(
            program, [Finding("--tls-certificate, --tls-key", str(error))]
        )
    run_service(Gateway(config))


if __name__ == "__main__":
    main()
