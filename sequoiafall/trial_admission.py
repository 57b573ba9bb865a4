"""Admits requests that may crash servers, on the gateway's side.

A request without a known suspect is sent at once. The leader decides about others;
without a leader, the instances take turns to try a suspect.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from .boot_clock import boot_time
from .crash_evidence import ServerStart
from .fleet import Fleet
from .log import log_event
from .prompt_quarantine import PromptQuarantine, Verdict
from .refusal import Reason, Refusal
from .request_identity import is_identity
from .serving_ports import CallerRequest
from .trial_queue import UNKNOWN_SERVICE
from .wire.gen import ttypes

# Outcomes of places whose request goes on at another one.
CONTINUED_OUTCOMES = frozenset(("moved", "unused"))
# Retry time of refused callers without a leader, sufficient for an election.
LEADER_RETRY_S = 0.8
# Detail of a refusal if there is a leader that has not decided in time.
UNANSWERED = "awaits a trial, and the leader did not reply"
# Interval at which a waiting request is considered again without a leader.
RETRY_INTERVAL_S = 0.05
# Length of an instance's turn to try a suspect without a leader, and its last part, in
# which no trial begins. That is for the end of a trial and for the news of a crash.
TURN_S = 1.0
TURN_END_S = 0.6
# After the short turns, longer ones follow. A trial may last longer than a turn, and at
# most three requests may be sent from 3 s after the third crash until its end is known.
SHORT_TURNS = 3
LONG_TURN_S = 4.0
# Time for a reply of the leader beyond the wait for a trial.
REPLY_MARGIN_S = 0.1


@dataclass(slots=True, frozen=True)
class RunEnd:
    """How a request's run at a server ended.

    Parameters
    ----------
    outcome : str
        Outcome as `EnginePlanner.end` takes it.
    has_begun : bool
        Whether the response had begun.
    crashed : ServerStart or None
        The server, if it crashed before the response had begun.
    sent_at : float
        Time in seconds of `boot_time` at which the request was sent.
    """

    outcome: str
    has_begun: bool = False
    crashed: ServerStart | None = None
    sent_at: float = 0.0


@dataclass(slots=True, frozen=True)
class Admission:
    """Permission to send a request to a plain service once.

    Parameters
    ----------
    is_trial : bool
        Whether the leader waits to hear how the request ended.
    """

    is_trial: bool


class Suspicion(enum.IntEnum):
    """What is known against a request, from the least to the most."""

    NONE = 0
    SUSPECTED = 1
    HARMFUL = 2


class TrialAdmission:
    """Decides whether requests of this gateway may run.

    Parameters
    ----------
    fleet : Fleet
        Access to the leader, the members and the evidence.
    """

    __slots__ = ("_fleet", "_quarantine")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._quarantine = PromptQuarantine(fleet.crash_evidence)

    # Without a leader

    def decide_alone(self, request_id: str, keys: Sequence[str]) -> Verdict:
        """Return whether a request may run; one instance at a time makes a trial."""
        now = boot_time()
        verdict = self._quarantine.decide(request_id, keys, now)
        if verdict is not Verdict.TRIAL:
            return verdict
        if self._quarantine.is_harmful(keys, now):
            # A leader that this instance cannot reach may make the trials as well.
            return Verdict.REFUSE
        evidence = self._fleet.crash_evidence
        rows = (evidence.suspect(key, now) for key in keys)
        suspects = [row for row in rows if row is not None]
        # Requests with the same parts are tried in the same turn, whatever servers
        # their identities may have crashed at other times.
        parts = [row for row in suspects if not is_identity(row.key)]
        own = self._fleet.settings.instance
        members = [member.instance for member in self._fleet.members]
        # Parts that crashed servers at different times need not have a common turn.
        last_crash_at = max(row.last_crash_at for row in parts or suspects)
        return verdict if has_turn(own, members, now - last_crash_at) else Verdict.WAIT

    def begin_alone(self, request_id: str, keys: Sequence[str]) -> None:
        """Record that a request runs that this instance admitted."""
        self._quarantine.begin_trial(request_id, keys, boot_time())

    def refusal(self, keys: Sequence[str]) -> Refusal:
        """Return the refusal of a request with a harmful suspect."""
        return self._quarantine.refusal(keys, boot_time(), LEADER_RETRY_S)

    # Ends of runs

    def record_begun(self, request: CallerRequest) -> None:
        """Record that the response to a request has begun."""
        self._fleet.crash_evidence.record_begun(request.suspects, boot_time())
        self._quarantine.end_trial(request.run_id)

    def record_end(
        self, request_id: str, keys: Sequence[str], run: RunEnd
    ) -> ServerStart | None:
        """Record what the end of a run shows about the suspects of its request.

        Returns the start of the server that crashed, if it did.
        """
        now = boot_time()
        evidence = self._fleet.crash_evidence
        crashed = run.crashed
        if run.has_begun:
            evidence.record_begun(keys, now)
        if crashed is not None:
            crashed = evidence.current_start(crashed, keys, run.sent_at)
            evidence.record_crash(crashed, keys, now)
        if run.outcome not in CONTINUED_OUTCOMES:
            self._quarantine.end_run(request_id, run.outcome, now)
        return crashed

    # Plain services

    async def admit(
        self, request: CallerRequest, service: str, until: float
    ) -> Admission | Refusal:
        """Return whether a request may be sent to a plain service now.

        Parameters
        ----------
        request : CallerRequest
            The request.
        service : str
            The plain service.
        until : float
            Latest end of the wait for trials of others, in seconds of `boot_time`.
        """
        keys = _plain_keys(request)
        evidence = self._fleet.crash_evidence
        has_paused = False
        while True:
            now = boot_time()
            if all(evidence.suspect(key, now) is None for key in keys):
                return Admission(is_trial=False)
            if self._fleet.has_leader:
                decision = await self._ask_leader(request, service, until)
                if decision is not None:
                    return decision
            verdict = self.decide_alone(request.run_id, keys)
            if verdict is Verdict.REFUSE:
                return self.refusal(keys)
            if verdict is not Verdict.WAIT and (has_paused or self._fleet.has_leader):
                self.begin_alone(request.run_id, keys)
                return Admission(is_trial=False)
            if verdict is not Verdict.WAIT:
                # An instance that stood still takes the leader for lost until it has
                # read the replies that have arrived meanwhile.
                has_paused = True
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            now = boot_time()
            hold_s = self._quarantine.hold_left_s(keys, now)
            if now + hold_s >= until:
                return Refusal(
                    Reason.OVERLOADED,
                    retry_after_s=max(LEADER_RETRY_S, hold_s),
                    detail="awaits a trial",
                )
            await asyncio.sleep(RETRY_INTERVAL_S)

    def suspicion(self, request: CallerRequest) -> Suspicion:
        """Return what is known against a request to a plain service."""
        now = boot_time()
        rows = (
            self._fleet.crash_evidence.suspect(key, now) for key in _plain_keys(request)
        )
        return max(
            (
                Suspicion.HARMFUL if row.is_harmful else Suspicion.SUSPECTED
                for row in rows
                if row is not None
            ),
            default=Suspicion.NONE,
        )

    def end(
        self,
        request: CallerRequest,
        service: str,
        server: str,
        admission: Admission,
        run: RunEnd,
    ) -> None:
        """Record how an admitted send to a plain service ended."""
        keys = _plain_keys(request)
        crashed = self.record_end(request.run_id, keys, run)
        if admission.is_trial or crashed is not None:
            run = replace(run, crashed=crashed)
            self._report_end(request, service, server, run)

    def _report_end(
        self, request: CallerRequest, service: str, server: str, run: RunEnd
    ) -> None:
        self._fleet.release_place(
            ttypes.EngineEnd(
                request_id=request.run_id,
                pool=service,
                server=server,
                outcome=run.outcome,
                has_begun=run.has_begun,
                has_crashed=run.crashed is not None,
                born=run.crashed.born if run.crashed is not None else 0,
                shared_parts=list(_plain_keys(request)),
            )
        )

    async def _ask_leader(
        self, request: CallerRequest, service: str, until: float
    ) -> Admission | Refusal | None:
        """Return the leader's decision, None if it gives none."""
        wait_s = max(0.0, until - boot_time())
        reply = None
        try:
            reply = await self._fleet.request_place(
                self._plain_ask(request, service, wait_s), wait_s + REPLY_MARGIN_S
            )
        finally:
            if reply is None:
                # The leader may have granted a trial that is not made.
                self._report_end(request, service, "", RunEnd("withheld"))
        if reply is None and (self._fleet.has_leader or boot_time() >= until):
            # The leader, which may be this instance, may have granted a trial to
            # another request meanwhile. An instance that stood still for the whole
            # wait takes the leader for lost until it has read the replies.
            return Refusal(
                Reason.OVERLOADED,
                retry_after_s=LEADER_RETRY_S,
                detail=UNANSWERED,
            )
        if reply is None or reply.reason == Reason.OWNER_UNAVAILABLE.value:
            return None
        if not reply.reason:
            return Admission(is_trial=True)
        if reply.detail == UNKNOWN_SERVICE:
            log_event("leader_admits_no_trials", request_id=request.request_id)
            return None
        return Refusal(
            Reason(reply.reason),
            retry_after_s=reply.retry_after_ms / 1e3,
            detail=reply.detail,
        )

    def _plain_ask(self, request: CallerRequest, service: str, wait_s: float) -> Any:
        return ttypes.EngineAsk(
            request_id=request.run_id,
            organisation="",
            pool=service,
            adapter="",
            prompt_tokens=0,
            cost_tokens=0,
            rank=0,
            on_time_ms=int(wait_s * 1e3),
            time_left_ms=int(wait_s * 1e3),
            zone=self._fleet.settings.zone,
            excluded=[],
            charged=True,
            term=0,
            instance=self._fleet.settings.instance,
            shared_parts=list(_plain_keys(request)),
        )


def has_turn(own: str, members: Iterable[str], since_crash_s: float) -> bool:
    """Whether an instance may try a suspect now, without a leader.

    Instances that know the same members never have a turn at the same time, and the
    turn of an instance that is gone passes.

    Parameters
    ----------
    own : str
        The instance.
    members : iterable of str
        Instances that it knows, with or without itself.
    since_crash_s : float
        Seconds since the latest crash of the suspect, which the instances have in
        common.
    """
    names = sorted({own, *members})
    if len(names) == 1:
        return True
    first, length_s, left_s = 0, TURN_S, since_crash_s
    if since_crash_s >= SHORT_TURNS * TURN_S:
        first, length_s = SHORT_TURNS, LONG_TURN_S
        left_s -= SHORT_TURNS * TURN_S
    turn, elapsed_s = divmod(left_s, length_s)
    if elapsed_s >= length_s - TURN_END_S:
        return False
    return names[(first + int(turn)) % len(names)] == own


def _plain_keys(request: CallerRequest) -> tuple[str, ...]:
    """Return the suspects of a request to a plain service, which has no prompt."""
    return (request.identity,) if request.identity else ()
