"""Places at engines for a gateway: from the leader, or alone while there is none."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .backend_registry import BackendEntry
from .boot_clock import boot_time
from .catalog import Organisation, TokenLimit
from .engine_pool import EngineReport
from .fleet import Fleet
from .log import log_event
from .refusal import Reason, Refusal
from .serving_ports import CallerRequest, EngineControl
from .token_bucket import TokenBucket
from .wire.gen import ttypes

# Without a leader a gateway reads the engines' reports itself, at most this often.
LONE_REPORT_LIFE_S = 0.4
# All gateways together read at most so many reports a second; nothing is loaded
# meanwhile, so that older ones still tell which adapters are where.
LONE_REPORTS_PER_S = 2000.0
# A request whose adapter no engine holds waits this long for a new leader.
LEADER_WAIT_S = 1.0
LEADER_POLL_S = 0.05
# Callers that were refused for want of a leader come back after an election.
LEADER_RETRY_S = 0.8
# While the store does not answer candidates, an election cannot end soon. Callers
# come back after this part of their time, when most outages are over.
BLOCKED_RETRY_SHARES = (0.25, 0.5)
BLOCKED_RETRY_MAX_S = 4.0
# Share of an organisation's burst that all gateways may spend without a leader.
LONE_BURST_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class GatewayPlace:
    """A place that this gateway holds.

    Parameters
    ----------
    server, address : str
        The engine.
    version : int
        Version of the adapter, 0 if it is not known.
    """

    server: str
    address: str
    version: int


@dataclass(slots=True)
class PlaceNeed:
    """What a request needs of an engine.

    Parameters
    ----------
    request : CallerRequest
        The request.
    service : str
        Service that runs it.
    organisation : Organisation or None
        Whose limit pays, None on open routes.
    cost_tokens : int
        Tokens that it costs.
    rank : int
        Priority, 0 goes first.
    on_time_until, until : float
        Until when the first event would be on time, and until when the caller
        waits; in seconds of `boot_time`.
    charged : bool
        Whether the tokens were taken already.
    """

    request: CallerRequest
    service: str
    organisation: Organisation | None
    cost_tokens: int
    rank: int
    on_time_until: float
    until: float
    charged: bool = False


class PlaceSource:
    """Asks for places and reports their ends.

    Parameters
    ----------
    fleet : Fleet
        The leader, the backend servers and the limits.
    control : EngineControl
        Reports of engines.
    generator : random.Random
        Spreads retry times.
    """

    __slots__ = (
        "_control",
        "_fleet",
        "_generator",
        "_lone_buckets",
        "_lone_running",
        "_lone_since",
        "_reading",
        "_reports_at",
        "_reports_by_server",
    )

    def __init__(
        self, fleet: Fleet, control: EngineControl, generator: random.Random
    ) -> None:
        self._fleet = fleet
        self._control = control
        self._generator = generator
        self._lone_buckets: dict[str, TokenBucket] = {}
        self._lone_running: dict[str, int] = {}
        self._lone_since = 0.0
        self._reading: asyncio.Task[None] | None = None
        self._reports_at = 0.0
        self._reports_by_server: dict[str, EngineReport] = {}

    async def take(
        self, need: PlaceNeed, excluded: frozenset[str]
    ) -> GatewayPlace | Refusal:
        """Return a place, or why there is none."""
        waited_until = boot_time() + LEADER_WAIT_S
        while True:
            if self._fleet.has_leader:
                answer = await self._ask(need, excluded)
                if answer is not None:
                    return answer
            place = await self._take_alone(need, excluded)
            if place is not None:
                return place
            if self._fleet.is_election_blocked:
                return self._no_election(need)
            if boot_time() >= min(waited_until, need.until):
                return self._no_leader()
            await asyncio.sleep(LEADER_POLL_S)

    def end(self, need: PlaceNeed, place: GatewayPlace, outcome: str) -> None:
        """Report how a place ended; see `EnginePlanner.end`."""
        running = self._lone_running.get(place.server, 0)
        if running > 1:
            self._lone_running[place.server] = running - 1
        else:
            self._lone_running.pop(place.server, None)
        self._fleet.release_place(
            ttypes.EngineEnd(
                request_id=need.request.request_id,
                pool=need.service,
                server=place.server,
                outcome=outcome,
            )
        )

    def admit_alone(self, organisation: Organisation, tokens: int) -> bool:
        """Take tokens from this gateway's share while there is no leader."""
        now = boot_time()
        if organisation.limit.rate_per_s <= 0.0:
            return True
        bucket = self._lone_buckets.get(organisation.name)
        if bucket is None or now - self._lone_since > 1.0:
            count = max(1, len(self._fleet.members))
            limit = organisation.limit
            share = TokenLimit(limit.rate_per_s / count, limit.burst / count)
            if bucket is None:
                level = LONE_BURST_SHARE * share.burst
                bucket = self._lone_buckets[organisation.name] = TokenBucket(
                    share, now, level
                )
            else:
                bucket.set_limit(share, now)
        self._lone_since = now
        return bucket.take(tokens, now) <= 0.0

    async def _ask(
        self, need: PlaceNeed, excluded: frozenset[str]
    ) -> GatewayPlace | Refusal | None:
        now = boot_time()
        request = need.request
        organisation = need.organisation.name if need.organisation else ""
        ask = ttypes.EngineAsk(
            request_id=request.request_id,
            organisation=organisation,
            pool=need.service,
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens or 0,
            cost_tokens=need.cost_tokens,
            rank=need.rank,
            on_time_ms=int((need.on_time_until - now) * 1e3),
            time_left_ms=int((need.until - now) * 1e3),
            zone=self._fleet.settings.zone,
            excluded=list(excluded),
            charged=need.charged,
            term=0,
            instance=self._fleet.settings.instance,
        )
        answer = await self._fleet.request_place(ask, max(0.05, need.until - now))
        if answer is None or answer.reason == Reason.OWNER_UNAVAILABLE.value:
            return None
        if answer.reason:
            return Refusal(
                Reason(answer.reason),
                retry_after_s=answer.retry_after_ms / 1e3,
                detail=answer.detail,
            )
        if answer.charged and not need.charged and organisation:
            self._fleet.recent_use.add(organisation, need.cost_tokens, boot_time())
        need.charged = need.charged or answer.charged
        self._hold(need, answer.server, answer.version)
        return GatewayPlace(answer.server, answer.address, answer.version)

    def _hold(self, need: PlaceNeed, server: str, version: int) -> None:
        request = need.request
        self._fleet.places_by_request[request.request_id] = ttypes.HeldPlace(
            request_id=request.request_id,
            pool=need.service,
            server=server,
            adapter=request.adapter,
            version=version,
            prompt_tokens=request.prompt_tokens or 0,
            time_left_ms=max(0, int((need.until - boot_time()) * 1e3)),
        )

    async def _take_alone(
        self, need: PlaceNeed, excluded: frozenset[str]
    ) -> GatewayPlace | None:
        await self._read_reports(need.service)
        entry = self._choose_alone(need, excluded)
        if entry is None:
            return None
        if need.organisation is not None and not need.charged:
            if not self.admit_alone(need.organisation, need.cost_tokens):
                return None
            self._fleet.record_token_use(need.organisation.name, need.cost_tokens)
            need.charged = True
        self._lone_running[entry.name] = self._lone_running.get(entry.name, 0) + 1
        adapter = need.request.adapter
        version = self._reports_by_server[entry.name].resident.get(adapter, 0)
        self._hold(need, entry.name, version)
        log_event(
            "place_taken_alone",
            request_id=need.request.request_id,
            server=entry.name,
            version=version,
            report_age_ms=int((boot_time() - self._reports_at) * 1e3),
        )
        return GatewayPlace(entry.name, entry.address, version)

    def _choose_alone(
        self, need: PlaceNeed, excluded: frozenset[str]
    ) -> BackendEntry | None:
        adapter = need.request.adapter
        wanted = self._fleet.versions_by_adapter.get(adapter, 0)
        best: BackendEntry | None = None
        best_load = 0.0
        for entry in self._usable(need.service):
            report = self._reports_by_server.get(entry.name)
            if report is None or entry.name in excluded:
                continue
            if adapter:
                held = report.resident.get(adapter)
                if held is None or held < wanted:
                    continue
            load = report.running + self._lone_running.get(entry.name, 0)
            load += 2 * report.waiting
            if best is None or load < best_load:
                best, best_load = entry, load
        return best

    async def _read_reports(self, service: str) -> None:
        engines = len(self._fleet.registry.active_servers(service))
        reports = engines * max(1, len(self._fleet.members))
        life_s = max(LONE_REPORT_LIFE_S, reports / LONE_REPORTS_PER_S)
        if boot_time() - self._reports_at < life_s:
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(
                self._read_all(service)
            )
        await asyncio.shield(self._reading)

    def _usable(self, service: str) -> list[BackendEntry]:
        return self._fleet.notices.usable(self._fleet.registry.active_servers(service))

    async def _read_all(self, service: str) -> None:
        entries = self._usable(service)
        reports = await asyncio.gather(
            *(self._control.report(entry) for entry in entries)
        )
        self._reports_by_server = {
            entry.name: report
            for entry, report in zip(entries, reports, strict=True)
            if report is not None
        }
        self._reports_at = boot_time()

    def _no_leader(self) -> Refusal:
        retry_after_s = LEADER_RETRY_S * self._generator.uniform(0.7, 1.3)
        return Refusal(
            Reason.OWNER_UNAVAILABLE,
            retry_after_s=retry_after_s,
            detail="no leader answers and no engine holds the adapter",
        )

    def _no_election(self, need: PlaceNeed) -> Refusal:
        share = self._generator.uniform(*BLOCKED_RETRY_SHARES)
        left_s = max(0.0, need.until - boot_time())
        return Refusal(
            Reason.OWNER_UNAVAILABLE,
            retry_after_s=min(BLOCKED_RETRY_MAX_S, share * left_s),
            detail="no leader can be elected while the store does not answer",
        )
