"""Places for the requests of an instance: from the fleet's leader, or chosen locally.

Without a leader, the instance itself chooses among the engines that have the adapter.
The gateway process requests its places from pool owners instead, see `place_client`.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .backend_registry import BackendEntry
from .boot_clock import boot_time
from .catalog import Organisation, TokenLimit
from .engine_pool import EngineReport
from .fleet import Fleet
from .fleet_leader import BEGUN_OUTCOME
from .log import log_event
from .prompt_quarantine import Verdict
from .refusal import Reason, Refusal
from .send_permits import SendPermits
from .serving_ports import CallerRequest, EngineControl
from .stream_versions import StreamOrigin, TakeUpResult
from .token_bucket import TokenBucket, level_after, share_of
from .trial_admission import LEADER_RETRY_S, RunEnd, TrialAdmission
from .wire.gen import ttypes

# Without a leader a gateway reads the engines' reports itself and reuses them for at
# least this long.
LEADERLESS_REPORT_TTL_S = 0.4
# Limit for all gateways together. Older reports stay usable, because no adapters are
# loaded without a leader.
LEADERLESS_REPORTS_PER_S = 2000.0
# Reports from before this time may be of an earlier period without a leader.
KEPT_REPORT_TTL_S = 5.0
# Maximum wait for a new leader if no engine has the adapter.
LEADER_WAIT_S = 1.0
LEADER_POLL_S = 0.05
# Retry time if the leader does not have the configuration of this instance yet.
UNKNOWN_SERVICE_RETRY_S = 0.5
# No election can complete while the store is unavailable. Callers then retry after
# a share of their remaining time, up to a maximum, when most outages are over.
BLOCKED_RETRY_SHARES = (0.25, 0.5)
BLOCKED_RETRY_MAX_S = 4.0
# An organisation's bucket that was not used for this long may be of an earlier period
# without a leader.
LEADERLESS_IDLE_S = 1.0
# Characters of a caller's identifier in a log line.
MAX_LOGGED_ID = 64
# Share of an organisation's burst that all gateways together may spend without a
# leader.
LEADERLESS_BURST_SHARE = 0.5
# Reasons of refusals of streams that are taken up.
_VERSION_REASONS = frozenset(
    (Reason.STREAM_VERSION_UNKNOWN.value, Reason.STREAM_VERSION_GONE.value)
)


@dataclass(slots=True, frozen=True)
class GatewayPlace:
    """A place that this gateway holds.

    Parameters
    ----------
    server, address : str
        Name and address of the engine.
    version : int
        Version of the adapter, 0 if unknown.
    is_trial : bool
        Whether others wait to hear that the response has begun.
    software : str or None
        Software version of the engine, None if unknown.
    """

    server: str
    address: str
    version: int
    is_trial: bool = False
    software: str | None = None


@dataclass(slots=True)
class PendingPlacement:
    """A caller's request that is waiting for a place.

    Parameters
    ----------
    request : CallerRequest
        The request.
    service : str
        Service that handles it.
    organisation : Organisation or None
        Organisation whose rate limit is charged, None on open routes.
    cost_tokens : int
        Tokens to charge.
    rank : int
        Priority; 0 is the highest.
    on_time_until, until : float
        Deadlines of the first event and of the caller, in seconds of `boot_time`.
    charged : bool
        Whether the tokens have already been charged.
    stream_key : bytes
        Key of the stream that begins with this request, empty if it cannot be taken
        up by its caller.
    resumes_key : bytes
        Key of the stream that the caller named, empty if it named none.
    is_take_up : bool
        Whether the caller has a part of the stream already.
    take_up_until : float
        Time until which the caller may take the stream up, in seconds of `boot_time`.
    software : str or None
        Software version that the stream has to stay with, None for any.
    """

    request: CallerRequest
    service: str
    organisation: Organisation | None
    cost_tokens: int
    rank: int
    on_time_until: float
    until: float
    charged: bool = False
    stream_key: bytes = b""
    resumes_key: bytes = b""
    is_take_up: bool = False
    take_up_until: float = 0.0
    software: str | None = None


class PlaceSource:
    """Acquires places for requests and reports when they end.

    Parameters
    ----------
    fleet : Fleet
        Access to the leader, the backend servers and the rate limits.
    control : EngineControl
        Client that reads the engines' reports.
    generator : random.Random
        Source of jitter for retry times.

    Attributes
    ----------
    permits : SendPermits
        Permits to send to servers with a limit.
    trials : TrialAdmission
        Admits requests that may crash servers.
    """

    __slots__ = (
        "_control",
        "_fleet",
        "_generator",
        "_leaderless_buckets",
        "_leaderless_running",
        "_leaderless_used_at",
        "_report_task",
        "_reports_by_server",
        "_reports_read_at",
        "permits",
        "trials",
    )

    def __init__(
        self, fleet: Fleet, control: EngineControl, generator: random.Random
    ) -> None:
        self._fleet = fleet
        self._control = control
        self._generator = generator
        self.permits = SendPermits(fleet, generator)
        self.trials = TrialAdmission(fleet)
        self._leaderless_buckets: dict[str, TokenBucket] = {}
        self._leaderless_running: dict[str, int] = {}
        self._leaderless_used_at: dict[str, float] = {}
        self._report_task: asyncio.Task[None] | None = None
        self._reports_read_at = 0.0
        self._reports_by_server: dict[str, EngineReport] = {}

    async def take(
        self, pending: PendingPlacement, excluded: frozenset[str]
    ) -> GatewayPlace | Refusal:
        """Return a place, or a refusal with its reason."""
        waited_until = boot_time() + LEADER_WAIT_S
        if pending.software is None and pending.resumes_key:
            self._bind(
                pending,
                self._fleet.stream_versions.find(
                    pending.resumes_key, pending.service, boot_time()
                ),
                "here",
            )
        while True:
            if pending.software is not None:
                registry = self._fleet.registry
                pending.software = registry.resolve_software(pending.software)
            if self._is_version_gone(pending):
                if pending.is_take_up:
                    self._fleet.count_take_up(Reason.STREAM_VERSION_GONE.value)
                return _version_gone(pending)
            if self._fleet.has_leader:
                reply = await self._request_from_leader(pending, excluded)
                if reply is not None:
                    return reply
                # The next leader gets its time, however long this one took.
                waited_until = boot_time() + LEADER_WAIT_S
            place = await self._place_without_leader(pending, excluded)
            if place is not None:
                return place
            if self._fleet.is_election_blocked:
                return self._no_election_refusal(pending)
            if boot_time() >= min(waited_until, pending.until):
                return self.no_leader_refusal(
                    "no leader answers and no engine holds the adapter"
                )
            await asyncio.sleep(LEADER_POLL_S)

    def _bind(
        self, pending: PendingPlacement, software: str | None, found: str
    ) -> None:
        """Record the version that a stream has to stay with, and how it was found."""
        if software is None:
            return
        pending.software = software
        if not pending.is_take_up:
            return
        self._fleet.count_take_up(found)
        log_event(
            "stream_taken_up",
            request_id=pending.request.request_id,
            resumes=pending.request.resumes[:MAX_LOGGED_ID],
            resume_after=pending.request.resume_after,
            software=software,
            found=found,
        )

    def _is_version_gone(self, pending: PendingPlacement) -> bool:
        """Whether no server is left that may go on with a stream."""
        if pending.software is None:
            return False
        registry, software = self._fleet.registry, pending.software
        active = registry.active_servers(pending.service)
        return bool(active) and not any(
            registry.runs_software(entry.name, software) for entry in active
        )

    def report_begun(
        self, request: CallerRequest, service: str, place: GatewayPlace
    ) -> None:
        """Record that the response to a request with a place has begun."""
        self.trials.record_begun(request)
        if place.is_trial:
            self._fleet.report_begun(
                ttypes.EngineEnd(
                    request_id=request.run_id,
                    pool=service,
                    server=place.server,
                    outcome=BEGUN_OUTCOME,
                    has_begun=True,
                )
            )

    def end(self, pending: PendingPlacement, place: GatewayPlace, run: RunEnd) -> None:
        """Report how a run at an engine ended, and release its place."""
        keys = pending.request.suspects
        crashed = self.trials.record_end(pending.request.run_id, keys, run)
        running = self._leaderless_running.get(place.server, 0)
        if running > 1:
            self._leaderless_running[place.server] = running - 1
        else:
            self._leaderless_running.pop(place.server, None)
        self._fleet.release_place(
            ttypes.EngineEnd(
                request_id=pending.request.run_id,
                pool=pending.service,
                server=place.server,
                outcome=run.outcome,
                has_begun=run.has_begun,
                has_crashed=crashed is not None,
                born=crashed.born if crashed is not None else 0,
                shared_parts=list(keys) if crashed is not None else [],
            )
        )

    def withdraw(self, pending: PendingPlacement) -> None:
        """Tell the leader that a request needs no further place; its places are kept.

        A place that the leader grants meanwhile has to be released with `end`.
        """
        self._fleet.release_place(
            ttypes.EngineEnd(
                request_id=pending.request.run_id,
                pool=pending.service,
                server="",
                outcome="cancelled",
            )
        )

    def admit_without_leader(self, organisation: Organisation, tokens: int) -> bool:
        """Charge tokens to this gateway's share of the limit without a leader.

        Returns whether the share covers them; organisations without a rate limit
        are always admitted. There is no share while the number of instances is not
        known, nor after a time without contact to any of them.
        """
        limit = organisation.limit
        if limit.rate_per_s <= 0.0:
            return True
        members = self._fleet.member_count
        if not members or not self._fleet.has_limit_share:
            return False
        share = share_of(limit, 1.0 / members)
        return (
            self._leaderless_bucket(organisation.name, share).take(tokens, boot_time())
            <= 0.0
        )

    def _leaderless_bucket(self, organisation: str, share: TokenLimit) -> TokenBucket:
        """Return the bucket of an organisation, adapted to this gateway's share."""
        now = boot_time()
        max_level = LEADERLESS_BURST_SHARE * share.burst
        bucket = self._leaderless_buckets.get(organisation)
        last_used_at = self._leaderless_used_at.get(organisation, 0.0)
        if bucket is None or now - last_used_at > LEADERLESS_IDLE_S:
            # A leader may have admitted requests here meanwhile.
            use = self._fleet.recent_use.slots(now).get(organisation, [])
            level = min(max_level, level_after(use, share))
            bucket = None
        else:
            level = min(max_level, bucket.level(now))
        if bucket is None or bucket.limit != share:
            bucket = TokenBucket(share, now, level)
            self._leaderless_buckets[organisation] = bucket
        self._leaderless_used_at[organisation] = now
        return bucket

    async def wait_for_fleet(self, until: float) -> bool:
        """Wait until the number of instances is known and return whether it is.

        Parameters
        ----------
        until : float
            Latest end of the wait in seconds of `boot_time`. It ends earlier after
            `LEADER_WAIT_S`, or if no leader can be elected.
        """
        until = min(until, boot_time() + LEADER_WAIT_S)
        while not self._fleet.member_count:
            if self._fleet.is_election_blocked or boot_time() >= until:
                return False
            await asyncio.sleep(LEADER_POLL_S)
        return True

    async def _request_from_leader(
        self, pending: PendingPlacement, excluded: frozenset[str]
    ) -> GatewayPlace | Refusal | None:
        now = boot_time()
        request = pending.request
        organisation = pending.organisation.name if pending.organisation else ""
        place_request = ttypes.EngineAsk(
            request_id=request.run_id,
            organisation=organisation,
            pool=pending.service,
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens or 0,
            cost_tokens=pending.cost_tokens,
            rank=pending.rank,
            on_time_ms=int((pending.on_time_until - now) * 1e3),
            time_left_ms=int((pending.until - now) * 1e3),
            zone=self._fleet.settings.zone,
            excluded=list(excluded),
            charged=pending.charged,
            term=0,
            instance=self._fleet.settings.instance,
            shared_parts=list(request.suspects),
            software=pending.software,
            stream_key=pending.stream_key or None,
            resumes_key=pending.resumes_key,
            is_take_up=pending.is_take_up,
            stream_left_ms=max(0, int((pending.take_up_until - now) * 1e3)),
        )
        reply = await self._fleet.request_place(
            place_request, max(0.05, pending.until - now)
        )
        if reply is None or reply.reason == Reason.OWNER_UNAVAILABLE.value:
            return None
        if reply.reason:
            if reply.reason in _VERSION_REASONS:
                self._fleet.count_take_up(reply.reason)
            return Refusal(
                Reason(reply.reason),
                retry_after_s=reply.retry_after_ms / 1e3,
                detail=reply.detail,
            )
        if not reply.server:
            # The leader does not know the service as one of engines. It has admitted
            # the request as a plain call, which is not made.
            self.end(pending, GatewayPlace("", "", 0), RunEnd("withheld"))
            return Refusal(
                Reason.NO_BACKEND_SERVER,
                retry_after_s=UNKNOWN_SERVICE_RETRY_S,
                detail="the leader does not know the engine service",
            )
        if reply.charged and not pending.charged and organisation:
            self._fleet.recent_use.add(organisation, pending.cost_tokens, boot_time())
        pending.charged = pending.charged or reply.charged
        if pending.software is None and pending.is_take_up:
            self._bind(pending, reply.software, "leader")
        self._record_held(pending, reply.server, reply.version)
        return GatewayPlace(
            reply.server,
            reply.address,
            reply.version,
            bool(reply.is_trial),
            reply.software,
        )

    def _record_held(
        self, pending: PendingPlacement, server: str, version: int
    ) -> None:
        request = pending.request
        key = request.run_id, server
        self._fleet.places_by_request_and_server[key] = ttypes.HeldPlace(
            request_id=request.run_id,
            pool=pending.service,
            server=server,
            adapter=request.adapter,
            version=version,
            prompt_tokens=request.prompt_tokens or 0,
            time_left_ms=max(0, int((pending.until - boot_time()) * 1e3)),
        )

    async def _place_without_leader(
        self, pending: PendingPlacement, excluded: frozenset[str]
    ) -> GatewayPlace | Refusal | None:
        if pending.software is None and pending.is_take_up:
            self._bind_alone(pending)
            if pending.software is None:
                # A leader may know where the stream began.
                return None
        await self._read_reports(pending.service)
        request = pending.request
        verdict = self.trials.decide_alone(request.run_id, request.suspects)
        if verdict is Verdict.REFUSE:
            return self.trials.refusal(request.suspects)
        if verdict is Verdict.WAIT:
            return None
        entry = self._choose_without_leader(pending, excluded)
        if entry is None:
            return None
        if pending.organisation is not None and not pending.charged:
            if not self.admit_without_leader(pending.organisation, pending.cost_tokens):
                return None
            self._fleet.record_token_use(pending.organisation.name, pending.cost_tokens)
            pending.charged = True
        self._leaderless_running[entry.name] = (
            self._leaderless_running.get(entry.name, 0) + 1
        )
        self.trials.begin_alone(request.run_id, request.suspects)
        if pending.stream_key:
            self._fleet.record_origin_alone(
                StreamOrigin(
                    pending.stream_key,
                    pending.service,
                    entry.software,
                    pending.take_up_until,
                )
            )
        adapter = request.adapter
        version = self._reports_by_server[entry.name].resident.get(adapter, 0)
        self._record_held(pending, entry.name, version)
        log_event(
            "place_taken_alone",
            request_id=pending.request.request_id,
            server=entry.name,
            version=version,
            software=entry.software,
            report_age_ms=int((boot_time() - self._reports_read_at) * 1e3),
        )
        return GatewayPlace(entry.name, entry.address, version, software=entry.software)

    def _bind_alone(self, pending: PendingPlacement) -> None:
        """Bind a stream that is taken up to the only version that can have begun it."""
        if not self._fleet.has_recent_news:
            return
        result, software = self._fleet.stream_versions.decide(
            pending.resumes_key, pending.service, boot_time()
        )
        if result is TakeUpResult.SINGLE and (
            self._fleet.registry.has_unnamed_software(pending.service)
        ):
            return
        if result is not TakeUpResult.UNKNOWN:
            self._bind(pending, software, result.value)

    def _choose_without_leader(
        self, pending: PendingPlacement, excluded: frozenset[str]
    ) -> BackendEntry | None:
        """Choose the least loaded engine whose limit, if any, allows a request."""
        while True:
            entry = self._least_loaded(pending, excluded)
            if entry is None or self.permits.try_take_alone(entry.name):
                return entry
            excluded |= {entry.name}

    def _least_loaded(
        self, pending: PendingPlacement, excluded: frozenset[str]
    ) -> BackendEntry | None:
        adapter = pending.request.adapter
        min_version = self._fleet.versions_by_adapter.get(adapter, 0)
        best: BackendEntry | None = None
        best_load = 0.0
        for entry in self._usable(pending.service):
            report = self._reports_by_server.get(entry.name)
            if report is None or entry.name in excluded:
                continue
            if pending.software is not None and entry.software != pending.software:
                continue
            if adapter:
                held = report.resident.get(adapter)
                if held is None or held < min_version:
                    continue
            load = report.running + self._leaderless_running.get(entry.name, 0)
            load += 2 * report.waiting
            if best is None or load < best_load:
                best, best_load = entry, load
        return best

    async def _read_reports(self, service: str) -> None:
        engines = len(self._fleet.registry.active_servers(service))
        reports = engines * max(1, self._fleet.member_count)
        ttl_s = max(LEADERLESS_REPORT_TTL_S, reports / LEADERLESS_REPORTS_PER_S)
        if boot_time() - self._reports_read_at < ttl_s:
            return
        if self._report_task is None or self._report_task.done():
            self._report_task = asyncio.get_running_loop().create_task(
                self._read_all(service)
            )
        await asyncio.shield(self._report_task)

    def _usable(self, service: str) -> list[BackendEntry]:
        return self._fleet.notices.usable(self._fleet.registry.active_servers(service))

    async def _read_all(self, service: str) -> None:
        """Read the reports of all engines.

        An engine with a limit keeps its last report, which costs no call: no adapters
        are loaded without a leader.
        """
        is_recent = boot_time() - self._reports_read_at < KEPT_REPORT_TTL_S
        known = {
            name: report
            for name, report in self._reports_by_server.items()
            if is_recent and self.permits.is_limited(name)
        }
        entries = [
            entry
            for entry in self._usable(service)
            if entry.name not in known and self.permits.try_take_alone(entry.name)
        ]
        reports = await asyncio.gather(
            *(self._control.report(entry) for entry in entries)
        )
        read = {
            entry.name: report
            for entry, report in zip(entries, reports, strict=True)
            if report is not None
        }
        for name, report in read.items():
            self._fleet.registry.record_start(name, report.born)
        self._reports_by_server = known | read
        self._reports_read_at = boot_time()

    def no_leader_refusal(self, detail: str) -> Refusal:
        """Return the refusal of a request that needs a leader."""
        retry_after_s = LEADER_RETRY_S * self._generator.uniform(0.7, 1.3)
        return Refusal(
            Reason.OWNER_UNAVAILABLE, retry_after_s=retry_after_s, detail=detail
        )

    def _no_election_refusal(self, pending: PendingPlacement) -> Refusal:
        share = self._generator.uniform(*BLOCKED_RETRY_SHARES)
        left_s = max(0.0, pending.until - boot_time())
        return Refusal(
            Reason.OWNER_UNAVAILABLE,
            retry_after_s=min(BLOCKED_RETRY_MAX_S, share * left_s),
            detail="no leader can be elected while the store does not answer",
        )


def _version_gone(pending: PendingPlacement) -> Refusal:
    # It cannot go on later either, so its caller should not come back in vain.
    return Refusal(
        Reason.STREAM_VERSION_GONE,
        retry_after_s=max(0.0, pending.until - boot_time()),
        detail="no backend server has the software version that began the stream",
    )
