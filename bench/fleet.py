"""Runs a whole fleet as local processes, for the demo and the tests.

The product starts no process itself; this module takes the place of the
operating system's service manager.
"""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 40.0
# Below the kernel's ephemeral port range (from 32768): an outgoing connection could
# take a port of that range before the process binds it.
LISTEN_PORTS = range(10_000, 32_000)
LOG_TAIL_LINES = 20

_ports = random.Random()
_reservations: list[socket.socket] = []


def free_address() -> str:
    """Reserve a loopback port for a process of this fleet and return its address.

    Until this process ends, the port stays bound to a socket that does not listen.
    A server that sets ``SO_REUSEADDR`` can still listen on it, while the same
    function in another process finds it taken. Without the reservation, two test
    workers that started their fleets concurrently got the same port.
    """
    while True:
        reservation = socket.socket()
        address = (HOST, _ports.choice(LISTEN_PORTS))
        try:
            reservation.bind(address)
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        return f"{HOST}:{address[1]}"


@dataclass(slots=True)
class Process:
    """Process of the fleet with its log file and its address."""

    name: str
    module: str
    arguments: list[str]
    log_path: Path
    address: str
    handle: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self.log_path.open("ab") as log:
            self.handle = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                *self.arguments,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.handle is not None and self.handle.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running and self.handle is not None:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        if not self.running or self.handle is None:
            return
        self.handle.kill()
        await self.handle.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM, or SIGKILL on a timeout; return its status."""
        if self.handle is None:
            return 0
        if self.running:
            self.handle.terminate()
            try:
                await asyncio.wait_for(self.handle.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                self.handle.kill()
                await self.handle.wait()
        return self.handle.returncode or 0

    def log(self) -> str:
        """Return the whole log of the process."""
        return self.log_path.read_text(errors="replace")

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        return "\n".join(self.log().splitlines()[-LOG_TAIL_LINES:])


@dataclass(slots=True)
class Instance:
    """Instance of the system: one controller and one gateway."""

    name: str
    zone: str
    controller: Process
    gateway: Process
    operator_address: str
    advertised_address: str

    @property
    def processes(self) -> tuple[Process, Process]:
        """Both processes of the instance, the controller first."""
        return self.controller, self.gateway


@dataclass(slots=True)
class Fleet:
    """Stand-ins and instances, with helpers for operators and callers.

    Parameters
    ----------
    directory : Path
        Holds secrets and log files.
    """

    directory: Path
    session: aiohttp.ClientSession
    operator_token: str
    platform: Process
    engines_by_name: dict[str, Process] = field(default_factory=dict)
    plain_services_by_name: dict[str, Process] = field(default_factory=dict)
    instances_by_name: dict[str, Instance] = field(default_factory=dict)
    keys_by_organisation: dict[str, str] = field(default_factory=dict)
    controller_arguments: Sequence[str] = ()

    @classmethod
    async def start(
        cls,
        instance_count: int = 3,
        engine_count: int = 2,
        zones: Sequence[str] = ("kuldiga", "talsi", "ventspils"),
        engine_arguments: Sequence[str] = (),
        controller_arguments: Sequence[str] = (),
    ) -> Fleet:
        """Start the stand-ins and the instances, and wait until all are ready."""
        directory = Path(tempfile.mkdtemp(prefix="sequoiafall-"))
        token = secrets.token_hex(16)
        (directory / "cluster-secret").write_text(secrets.token_hex(32))
        (directory / "operator-token").write_text(token)
        address = free_address()
        platform = Process(
            "platform",
            "sequoiafall.standins.platform",
            ["--listen", address],
            directory / "platform.log",
            address,
        )
        fleet = cls(
            directory,
            aiohttp.ClientSession(),
            token,
            platform,
            controller_arguments=controller_arguments,
        )
        try:
            await platform.start()
            await fleet.wait_for_http(platform, address, "/table/row?key=head")
            for number in range(engine_count):
                await fleet.start_engine(
                    f"engine-{number}", number % 2 == 0, engine_arguments
                )
            await fleet.start_plain_service("plain-0")
            for number in range(instance_count):
                await fleet.start_instance(f"i{number}", zones[number % len(zones)])
            await fleet.wait_ready()
        except BaseException:
            await fleet.stop()
            raise
        return fleet

    def process(self, name: str, module: str, address: str, *rest: str) -> Process:
        """Return a process, not yet started, that listens on an address."""
        arguments = ["--listen", address, *rest]
        return Process(name, module, arguments, self.directory / f"{name}.log", address)

    async def start_engine(
        self, name: str, checks_fencing: bool, arguments: Sequence[str] = ()
    ) -> Process:
        """Start an engine stand-in."""
        engine = self.process(
            name,
            "sequoiafall.standins.engine",
            free_address(),
            "--name",
            name,
            "--platform-url",
            f"http://{self.platform.address}",
            "--checks-fencing",
            "true" if checks_fencing else "false",
            *arguments,
        )
        self.engines_by_name[name] = engine
        await engine.start()
        return engine

    async def start_plain_service(self, name: str) -> Process:
        """Start a plain-service stand-in."""
        service = self.process(
            name, "sequoiafall.standins.plain_service", free_address(), "--name", name
        )
        self.plain_services_by_name[name] = service
        await service.start()
        return service

    async def start_instance(
        self,
        name: str,
        zone: str,
        controller_address: str = "",
        advertised_address: str = "",
        platform_url: str = "",
    ) -> Instance:
        """Start the controller and the gateway of an instance.

        Parameters
        ----------
        name, zone : str
            The instance and its availability zone.
        controller_address, advertised_address : str
            Listen address of the controller, and the address at which other instances
            reach it; by default a free address and the same one.
        platform_url : str
            URL of the platform; the stand-in by default.
        """
        controller_address, gateway_address, operator_address = (
            controller_address or free_address(),
            free_address(),
            free_address(),
        )
        advertised_address = advertised_address or controller_address
        shared_arguments = [
            "--instance",
            name,
            "--zone",
            zone,
            "--platform-url",
            platform_url or f"http://{self.platform.address}",
            "--cluster-secret-file",
            str(self.directory / "cluster-secret"),
        ]
        seeds = ",".join(
            instance.advertised_address for instance in self.instances_by_name.values()
        )
        controller = self.process(
            f"controller-{name}",
            "sequoiafall.controller",
            controller_address,
            "--advertised-address",
            advertised_address,
            "--operator-listen",
            operator_address,
            "--gateway-addresses",
            gateway_address,
            "--operator-token-file",
            str(self.directory / "operator-token"),
            "--seed-addresses",
            seeds,
            *self.controller_arguments,
            *shared_arguments,
        )
        gateway = self.process(
            f"gateway-{name}",
            "sequoiafall.gateway",
            gateway_address,
            "--metrics-listen",
            free_address(),
            "--controller",
            controller_address,
            *shared_arguments,
        )
        instance = Instance(
            name, zone, controller, gateway, operator_address, advertised_address
        )
        self.instances_by_name[name] = instance
        await controller.start()
        await gateway.start()
        return instance

    async def wait_ready(self) -> None:
        """Wait until all stand-ins and running instances are ready."""
        for process in (
            *self.engines_by_name.values(),
            *self.plain_services_by_name.values(),
        ):
            await self.wait_for_http(process, process.address, "/healthz")
        for instance in self.instances_by_name.values():
            if instance.controller.running:
                await self.wait_for_http(
                    instance.controller, instance.operator_address, "/readyz"
                )
            if instance.gateway.running:
                await self.wait_for_http(
                    instance.gateway, instance.gateway.address, "/readyz"
                )

    async def wait_for_http(self, process: Process, address: str, path: str) -> None:
        """Wait until a process answers a GET with status 200.

        Raises
        ------
        RuntimeError
            If the process ends or does not answer in time. The message includes the
            last lines of its log.
        """

        async def is_answered() -> bool:
            if not process.running:
                raise RuntimeError(f"{process.name} ended:\n{process.log_tail()}")
            try:
                async with self.session.get(
                    f"http://{address}{path}", timeout=aiohttp.ClientTimeout(total=2)
                ) as response:
                    return response.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                return False

        try:
            await wait_until(is_answered, f"{address}{path} to answer")
        except TimeoutError as error:
            raise RuntimeError(
                f"{process.name}: {error}; end of its log:\n{process.log_tail()}"
            ) from error

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        async with self.session.post(
            f"http://{process.address}/faults", json=faults
        ) as response:
            response.raise_for_status()

    async def call_operator_api(self, method: str, path: str, **kwargs: Any) -> Any:
        """Call the operator API of the first instance that answers.

        Raises the last error if none answers with a status below 500.
        """
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        error: Exception = RuntimeError("no instance answered")
        for instance in self.instances_by_name.values():
            if not instance.controller.running:
                continue
            url = f"http://{instance.operator_address}{path}"
            try:
                async with self.session.request(
                    method,
                    url,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=30),
                    **kwargs,
                ) as response:
                    body = await response.json()
                    if response.status < 500:
                        return response.status, body
                    error = RuntimeError(f"{response.status} {body}")
            except (aiohttp.ClientError, OSError, TimeoutError) as failure:
                error = failure
        raise error

    async def edit(
        self, *edits: tuple[str, str, dict[str, Any] | None], actor: str = "demo"
    ) -> dict[str, Any]:
        """Commit edits through the operator API and return its response.

        Raises
        ------
        RuntimeError
            If the edits are refused.
        """
        _, status = await self.call_operator_api("GET", "/status")
        body = {
            "seen_revision": status["head_revision"],
            "actor": actor,
            "edits": [
                {"kind": kind, "name": name, "values": values}
                for kind, name, values in edits
            ],
        }
        code, outcome = await self.call_operator_api("POST", "/table/edits", json=body)
        if code != 200:
            raise RuntimeError(f"edit refused: {code} {outcome}")
        return outcome

    async def stop(self) -> None:
        """Kill all processes, the instances first, and close the session."""
        instances = self.instances_by_name.values()
        processes = [process for item in instances for process in item.processes]
        for process in processes:
            process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(process.kill() for process in processes))
        stand_ins = (
            self.platform,
            *self.engines_by_name.values(),
            *self.plain_services_by_name.values(),
        )
        await asyncio.gather(*(process.kill() for process in stand_ins))
        await self.session.close()

    def logs(self) -> str:
        """Return the logs of all instances, each line prefixed with its process."""
        lines = []
        for instance in self.instances_by_name.values():
            for process in instance.processes:
                lines += [
                    f"{process.name} {line}" for line in process.log().split("\n")
                ]
        return "\n".join(lines)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    description: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold within `timeout_s` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not await condition():
        if loop.time() > deadline:
            raise TimeoutError(f"waited {timeout_s} s for {description}")
        await asyncio.sleep(POLL_INTERVAL_S)
