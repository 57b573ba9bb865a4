"""Checks whether servers of plain services can be reached."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection

from .backend_registry import BackendEntry
from .boot_clock import boot_time
from .fleet import Fleet
from .log import innermost_frames, log_event, log_warning
from .reachability import Reachability

# Connections are made within a few ms; a lost packet is sent again after a second.
CONNECT_TIMEOUT_S = 0.5
# Each check that fails holds a socket for its timeout.
MAX_CHECKS = 32
# Longest time between two looks at the servers.
LOOK_INTERVAL_S = 1.0


class ReachabilityMonitor:
    """Checks servers that were announced, or that have not responded to a call.

    Parameters
    ----------
    fleet : Fleet
        Configuration, backend servers and the client that asks who they are.
    reachability : Reachability
        Decides what to check, and learns the results.
    on_servers : callable
        Called with the names of all servers of plain services at each look.
    """

    __slots__ = ("_checks", "_fleet", "_on_servers", "_reachability", "_wake")

    def __init__(
        self,
        fleet: Fleet,
        reachability: Reachability,
        on_servers: Callable[[Collection[str]], None],
    ) -> None:
        self._on_servers = on_servers
        self._fleet = fleet
        self._reachability = reachability
        self._checks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Look at the servers now, as one of them has changed."""
        self._wake.set()

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Check servers until the process stops."""
        self._fleet.server_listeners.append(self.wake)
        while not should_stop():
            self._wake.clear()
            wait_s = LOOK_INTERVAL_S
            try:
                wait_s = self._look()
            except Exception as error:
                # It would end the process.
                log_warning(
                    "reachability_failed",
                    error=type(error).__name__,
                    at=innermost_frames(error),
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()

    def _look(self) -> float:
        """Start the checks that are due; return the seconds until the next look."""
        entries = self._plain_servers()
        known = {entry.name for entry in entries}
        self._reachability.keep(known)
        self._on_servers(known)
        now = boot_time()
        free = MAX_CHECKS - len(self._checks)
        for entry in self._reachability.due(entries, now)[: max(0, free)]:
            self._start(entry)
        next_at = self._reachability.next_check_at(entries)
        if next_at is None or len(self._checks) >= MAX_CHECKS:
            return LOOK_INTERVAL_S
        return min(LOOK_INTERVAL_S, max(0.0, next_at - now))

    def _plain_servers(self) -> list[BackendEntry]:
        catalog = self._fleet.catalog
        if catalog is None:
            return []
        return [
            entry
            for service in catalog.services_by_name.values()
            if not service.is_engine
            for entry in self._fleet.registry.active_servers(service.name)
        ]

    def _start(self, entry: BackendEntry) -> None:
        self._reachability.begin_check(entry)
        task = asyncio.get_running_loop().create_task(self._check(entry))
        self._checks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._checks.discard(task)
        self.wake()

    async def _check(self, entry: BackendEntry) -> None:
        error = ""
        path = self._health_path(entry)
        if not path:
            error = await _connect(entry.address)
        elif not await self._fleet.control.is_at_address(entry, path):
            error = "another server or no response"
        failures = self._reachability.end_check(entry, not error, boot_time())
        if error and failures == 1:
            log_event(
                "server_not_reached",
                server=entry.name,
                service=entry.service,
                address=entry.address,
                error=error,
            )

    def _health_path(self, entry: BackendEntry) -> str:
        catalog = self._fleet.catalog
        service = catalog.services_by_name.get(entry.service) if catalog else None
        return service.health_path if service is not None else ""


async def _connect(address: str) -> str:
    """Make a connection and close it; return the name of the error, if any."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError, OverflowError) as error:
        return type(error).__name__
    writer.close()
    return ""
