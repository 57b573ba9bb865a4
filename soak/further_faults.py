"""Silences, deadly requests and changes of the configuration in a soak run.

They have a random generator of their own, so that seeds of earlier versions choose
the other faults and requests as before.
"""

from __future__ import annotations

import asyncio
import functools
import random
import time
from typing import TYPE_CHECKING

from .calls import Call
from .configuration import (
    CHANGING_KEYS,
    CHANGING_ORGANISATION,
    CHANGING_ROUTES,
    ENGINE_SERVICES,
    FULL_RATE_PER_S,
    KEYS_BY_ORGANISATION,
    PLAIN_SERVICES,
    REQUEST_DEADLINE_S,
    STREAM_ROUTES,
)
from .deadly_requests import ADAPTER_COUNT, DeadlyRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import aiohttp

    from .configuration import RouteState
    from .run import Soak
    from .servers import RecordingEngine

REQUESTS_PER_S = 20.0
# Share of sound requests whose callers leave, and when.
LEAVING_SHARE = 0.05
MAX_STAY_S = 1.0
# Share of sound requests that differ from a deadly one in their body only.
TWIN_SHARE = 0.1
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 1.5
# A sound server answers for this long before it falls silent again.
MIN_SPEECH_S = 1.0
# Routes whose requests may be deadly; clients do not repeat others by themselves.
ENGINE_ROUTES = ("draft", "check", "note", "talk")
PLAIN_ROUTES = ("order", "look", "buy", "ask")
# Token limit that a few requests in a second exceed.
LOW_RATE_PER_S = 600.0


class FurtherFaults:
    """Injects silences, deadly requests and changes, beside requests of its own.

    Parameters
    ----------
    soak : Soak
        Run whose servers and configuration receive the faults.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._random = random.Random(f"{soak.seed} further faults")
        self._traffic_random = random.Random(f"{soak.seed} further requests")
        self._leaving_random = random.Random(f"{soak.seed} leaving callers")
        self._silent_until_by_server: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, session: aiohttp.ClientSession, end_at: float) -> None:
        """Inject faults and send requests until a time, then clear the faults.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Sends the requests.
        end_at : float
            Monotonic time in seconds after which no further fault starts.
        """
        traffic = asyncio.create_task(self._send_sound(session, end_at))
        faults: list[Callable[[], Coroutine[None, None, None]]] = [
            self.silence_server,
            self.silence_server,
            self.silence_service,
            self.change_configuration,
            self.change_configuration,
            self.storm_configuration,
        ]
        deadly_faults = [
            functools.partial(self._send_deadly, session, routes, end_at)
            for routes in (ENGINE_ROUTES, PLAIN_ROUTES)
        ]
        if self._soak.is_series:
            faults += deadly_faults
            while time.monotonic() < end_at:
                await self._random.choice(faults)()
        else:
            for fault in deadly_faults:
                self._start(self._repeat(fault, end_at))
            while time.monotonic() < end_at:
                self._start(self._random.choice(faults)())
                await asyncio.sleep(self._random.uniform(0.1, 0.9))
        await asyncio.gather(traffic, *self._tasks)
        self._restore_configuration()

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def _repeat(
        self, fault: Callable[[], Coroutine[None, None, None]], end_at: float
    ) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 2.0))
        while time.monotonic() < end_at:
            await fault()

    # Silences

    async def silence_server(self) -> None:
        """Let a server send nothing for a time and go on."""
        await self._silence([self._random.choice(self._soak.all_engines)])

    async def silence_service(self) -> None:
        """Let all servers of a service send nothing for a time and go on."""
        service = self._random.choice((*ENGINE_SERVICES, *PLAIN_SERVICES))
        engines = self._soak.all_engines
        await self._silence(
            [row for row in engines if self._soak.service(row) == service]
        )

    async def _silence(self, engines: list[RecordingEngine]) -> None:
        seconds = self._random.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        now = time.monotonic()
        for engine in engines:
            if now < self._silent_until_by_server.get(engine.name, 0.0) + MIN_SPEECH_S:
                continue
            self._silent_until_by_server[engine.name] = now + seconds
            engine.fall_silent(seconds)
            self._soak.endings.note(f"{engine.name} silent for {seconds:.2f} s")
        await asyncio.sleep(seconds)

    # Changes of the configuration

    async def change_configuration(self) -> None:
        """Change one matter, and change it back after a time."""
        change = self._random.choice(
            (
                self._move_route,
                self._drop_route,
                self._shorten_timeout,
                self._change_weights,
                self._lower_limit,
                self._withdraw_key,
                self._name_version,
            )
        )
        change_back = change()
        self._soak.write_changes()
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        change_back()
        self._soak.write_changes()

    async def storm_configuration(self) -> None:
        """Make several changes in quick succession."""
        changes = []
        for _ in range(self._random.randint(2, 5)):
            changes.append(asyncio.create_task(self.change_configuration()))
            await asyncio.sleep(self._random.uniform(0.02, 0.15))
        await asyncio.gather(*changes)

    def _random_state(self, names: tuple[str, ...]) -> tuple[str, RouteState]:
        name = self._random.choice(names)
        return name, self._soak.configuration.states_by_route[name]

    def _services(self, route: str) -> tuple[str, str]:
        return ENGINE_SERVICES if route in STREAM_ROUTES else PLAIN_SERVICES

    def _move_route(self) -> Callable[[], None]:
        route, state = self._random_state((*ENGINE_ROUTES, *PLAIN_ROUTES))
        before = state.weights_by_service
        service = self._random.choice(self._services(route))
        state.weights_by_service = {service: 1.0}
        self._soak.endings.note(f"{route} moves to {service}")
        return lambda: setattr(state, "weights_by_service", before)

    def _change_weights(self) -> Callable[[], None]:
        route, state = self._random_state((*ENGINE_ROUTES, *PLAIN_ROUTES))
        before = state.weights_by_service
        share = self._random.choice((0.1, 0.5, 0.9))
        first, second = self._services(route)
        state.weights_by_service = {first: share, second: 1.0 - share}
        return lambda: setattr(state, "weights_by_service", before)

    def _drop_route(self) -> Callable[[], None]:
        route, state = self._random_state(CHANGING_ROUTES)
        state.is_dropped = True
        self._soak.endings.note(f"{route} is dropped")
        return lambda: setattr(state, "is_dropped", False)

    def _shorten_timeout(self) -> Callable[[], None]:
        route, state = self._random_state(CHANGING_ROUTES)
        state.timeout_s = self._random.choice((2.5, 3.0, 3.5))
        self._soak.endings.note(f"{route} times out after {state.timeout_s} s")
        return lambda: setattr(state, "timeout_s", REQUEST_DEADLINE_S)

    def _lower_limit(self) -> Callable[[], None]:
        configuration = self._soak.configuration
        configuration.rate_per_s = LOW_RATE_PER_S
        return lambda: setattr(configuration, "rate_per_s", FULL_RATE_PER_S)

    def _withdraw_key(self) -> Callable[[], None]:
        keys = self._soak.configuration.keys
        keys.discard(CHANGING_KEYS[1])
        self._soak.endings.note("a key is withdrawn")
        return lambda: keys.add(CHANGING_KEYS[1])

    def _name_version(self) -> Callable[[], None]:
        versions = self._soak.configuration.versions_by_adapter
        adapter = f"a{self._random.randint(1, ADAPTER_COUNT)}"
        versions[adapter] = versions.get(adapter, 1) + 1
        self._soak.configuration.write_versions(self._soak.store)
        self._soak.endings.note(f"{adapter} gets version {versions[adapter]}")
        return lambda: None

    def _restore_configuration(self) -> None:
        """Undo all changes, also those that overlapping ones brought back."""
        configuration = self._soak.configuration
        for route, state in configuration.states_by_route.items():
            state.weights_by_service = {self._services(route)[0]: 1.0}
            state.timeout_s, state.is_dropped = REQUEST_DEADLINE_S, False
        configuration.rate_per_s = FULL_RATE_PER_S
        configuration.keys |= set(CHANGING_KEYS)
        self._soak.write_changes()

    # Requests

    async def _send_sound(self, session: aiohttp.ClientSession, end_at: float) -> None:
        generator = self._traffic_random
        while time.monotonic() < end_at:
            route = generator.choice(CHANGING_ROUTES)
            keys = {**KEYS_BY_ORGANISATION, CHANGING_ORGANISATION: ""}
            organisation = generator.choice(sorted(keys))
            key = keys[organisation] or generator.choice(CHANGING_KEYS)
            call = self._new_call(route, organisation, key, f"/{route}/y", b"c")
            deadly = self._soak.deadly.active
            if deadly and generator.random() < TWIN_SHARE:
                twin = generator.choice(deadly)
                key = KEYS_BY_ORGANISATION[twin.organisation]
                target = twin.target if twin.method == "POST" else twin.target + "0"
                call = self._new_call(
                    twin.route, twin.organisation, key, target, b"twin"
                )
            if self._leaving_random.random() < LEAVING_SHARE:
                call.leaves_after_s = self._leaving_random.uniform(0.01, MAX_STAY_S)
            self._start(self._soak.make_call(session, call))
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))

    def _new_call(
        self, route: str, organisation: str, key: str, target: str, body: bytes
    ) -> Call:
        number = next(self._soak.further_numbers)
        headers = {}
        if route in STREAM_ROUTES:
            adapter = self._traffic_random.randint(1, ADAPTER_COUNT)
            parts = f"6d2f:568,c{number % 5}:200,own-f{number}:250"
            headers = self._soak.stream_headers(f"a{adapter}", parts)
        method = "GET" if route == "look" else "POST"
        return Call(
            f"s{self._soak.seed}-f{number}",
            self._traffic_random.randint(1, self._soak.node_count),
            route,
            organisation,
            key,
            target,
            method,
            body if method == "POST" else b"",
            headers,
        )

    async def _send_deadly(
        self, session: aiohttp.ClientSession, routes: tuple[str, ...], end_at: float
    ) -> None:
        """Send a deadly request again and again for a time."""
        request = self._soak.deadly.add(self._random.choice(routes))
        for engine in self._soak.all_engines:
            engine.crashing_requests.add((request.target, request.body))
        self._soak.endings.note(f"{request.target} is deadly")
        until = min(end_at, time.monotonic() + self._random.uniform(8.0, 15.0))
        while time.monotonic() < until:
            for _ in range(self._random.choice((1, 1, 1, 3))):
                self._start(self._soak.make_call(session, self._deadly_call(request)))
            await asyncio.sleep(self._random.uniform(0.05, 0.4))
        self._soak.deadly.active.remove(request)

    def _deadly_call(self, request: DeadlyRequest) -> Call:
        call = self._new_call(
            request.route,
            request.organisation,
            KEYS_BY_ORGANISATION[request.organisation],
            request.target,
            request.body,
        )
        call.is_sound = False
        if call.headers:
            call.headers = self._soak.stream_headers(request.adapter, request.parts)
        return call
