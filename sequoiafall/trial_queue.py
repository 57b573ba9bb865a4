"""The leader's queue of requests to plain services that may crash servers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from .boot_clock import boot_time
from .crash_evidence import CrashEvidence, ServerStart
from .prompt_quarantine import PromptQuarantine, Verdict
from .refusal import Reason, Refusal

# Detail of a refusal by a leader that does not decide about plain services.
UNKNOWN_SERVICE = "unknown service"
# Retry times of refused callers.
MIN_RETRY_S = 0.3
# Maximum length of the queue; further requests are refused at once.
MAX_WAITING = 400
# A trial whose end is not reported expires without a notice, so waiting requests are
# considered again after this time.
RECHECK_INTERVAL_S = 0.5


class TrialQueue:
    """Lets requests with the same suspect run one at a time in the whole fleet.

    Parameters
    ----------
    quarantine : PromptQuarantine
        Admits the requests.
    evidence : CrashEvidence
        Evidence that the ends of the requests add to.
    """

    __slots__ = ("_changed", "_evidence", "_has_ended", "_quarantine", "waiting")

    def __init__(self, quarantine: PromptQuarantine, evidence: CrashEvidence) -> None:
        self._quarantine = quarantine
        self._evidence = evidence
        self._changed = asyncio.Event()
        self._has_ended = False
        self.waiting = 0

    def wake(self) -> None:
        """Consider the waiting requests again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def stop(self) -> None:
        """Tell waiting requests to ask the next leader."""
        self._has_ended = True
        self.wake()

    async def admit(self, request: Any) -> Refusal | None:
        """Wait until a request may run; return a refusal if it may not."""
        keys = tuple(request.shared_parts or ())
        until = boot_time() + request.on_time_ms / 1e3
        while not self._has_ended:
            now = boot_time()
            verdict = self._quarantine.decide(request.request_id, keys, now)
            if verdict is Verdict.REFUSE:
                return self._quarantine.refusal(keys, now, MIN_RETRY_S)
            if verdict is not Verdict.WAIT:
                self._quarantine.begin_trial(request.request_id, keys, now)
                return None
            hold_s = self._quarantine.hold_left_s(keys, now)
            if now + hold_s >= until or self.waiting >= MAX_WAITING:
                return Refusal(
                    Reason.OVERLOADED,
                    retry_after_s=max(MIN_RETRY_S, hold_s),
                    detail="awaits a trial",
                )
            wait_s = min(RECHECK_INTERVAL_S, hold_s or RECHECK_INTERVAL_S, until - now)
            await self._wait(wait_s)
        return Refusal(Reason.OWNER_UNAVAILABLE, detail="not the leader")

    async def _wait(self, timeout_s: float) -> None:
        self.waiting += 1
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait()
        finally:
            self.waiting -= 1

    def on_end(self, end: Any, now: float) -> None:
        """Record how a request ended, and what that shows about its suspects."""
        keys = end.shared_parts or ()
        if end.has_begun:
            self._evidence.record_begun(keys, now)
        if end.has_crashed:
            start = ServerStart(end.server, end.born)
            self._evidence.record_crash(start, keys, now, is_report=True)
        self._quarantine.end_run(end.request_id, end.outcome, now)
        self.wake()
