"""Decides which requests may run while something about them may crash servers.

Requests with the same suspect run one at a time, until a response begins or the suspect
counts as harmful. Those with a harmful suspect are refused, except for trials: one
after each quarantine, up to a limit, and those that show which of several suspects is
the harmful one.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from .crash_evidence import (
    MAX_SUSPECTS,
    CrashEvidence,
    SuspectEvidence,
    tried_suspects,
)
from .refusal import Reason, Refusal
from .request_identity import is_identity

# Outcomes of runs whose request did not reach a server.
NOT_SENT_OUTCOMES = frozenset(("unreachable", "withheld"))
# A request that may have crashed two servers is not tried until they are back, so that
# sound requests keep a third one.
HOLD_EVENTS = 2
HOLD_S = 4.0
# The end of a trial that is not reported within this time has been lost.
TRIAL_TTL_S = 10.0


class Verdict(enum.Enum):
    """Whether a request may run now."""

    PASS = "pass"
    TRIAL = "trial"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class _Trial:
    request_id: str
    expires_at: float
    # Of the suspect before the trial, None if it was not harmful then.
    failed_trials: int | None


class PromptQuarantine:
    """Admits requests according to the evidence on their suspects.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence that this instance has.
    """

    __slots__ = ("_evidence", "_keys_by_request", "_trials_by_key")

    def __init__(self, evidence: CrashEvidence) -> None:
        self._evidence = evidence
        self._trials_by_key: dict[str, _Trial] = {}
        self._keys_by_request: dict[str, list[str]] = {}

    def decide(self, request_id: str, keys: Sequence[str], now: float) -> Verdict:
        """Return whether a request with these suspects may run."""
        if self._evidence.is_empty() or not keys:
            return Verdict.PASS
        suspects = self._suspects(keys, now)
        if not suspects:
            return Verdict.PASS
        is_tried = any([self._is_tried(row.key, request_id, now) for row in suspects])
        for row in suspects:
            if not row.is_harmful or self._is_explained(row, keys, now):
                continue
            self._evidence.record_ask(row.key, now)
            if is_tried or not self._is_due(row, keys, now):
                return Verdict.REFUSE
        is_held = self.hold_left_s(keys, now) > 0.0
        return Verdict.WAIT if is_tried or is_held else Verdict.TRIAL

    def is_harmful(self, keys: Sequence[str], now: float) -> bool:
        """Whether a request has a harmful suspect whose crashes it explains."""
        return any(
            row.is_harmful and not self._is_explained(row, keys, now)
            for row in self._suspects(keys, now)
        )

    def hold_left_s(self, keys: Sequence[str], now: float) -> float:
        """Return the seconds until a suspected request may be tried."""
        # A part of prompts is not held back: other requests that have it may be sound.
        # Nor is a request if a part that it lacks explains all its crashes.
        left_s = (
            row.last_crash_at + HOLD_S - now
            for row in self._suspects(keys, now)
            if is_identity(row.key)
            and not row.is_harmful
            and row.events(now) >= HOLD_EVENTS
            and not self._is_due_to_part(row, keys, now)
        )
        return max(0.0, max(left_s, default=0.0))

    def refusal(self, keys: Sequence[str], now: float, min_retry_s: float) -> Refusal:
        """Return the refusal of a request with a harmful suspect."""
        harmful = [row for row in self._suspects(keys, now) if row.is_harmful]
        names = ",".join(row.key for row in harmful)
        is_whole = any(is_identity(row.key) for row in harmful)
        left_s = max((row.trial_at - now for row in harmful), default=0.0)
        return Refusal(
            Reason.HARMFUL_REQUEST if is_whole else Reason.HARMFUL_PROMPT,
            retry_after_s=max(min_retry_s, left_s),
            detail=f"the request crashes servers ({names})"
            if is_whole
            else f"a part of the prompt crashes engines ({names})",
        )

    def retry_after_s(self, keys: Sequence[str], now: float) -> float:
        """Return the seconds until a refused request may be admitted as a trial."""
        left_s = (row.trial_at - now for row in self._suspects(keys, now))
        return max(left_s, default=0.0)

    def begin_trial(self, request_id: str, keys: Sequence[str], now: float) -> bool:
        """Record that a request runs; return whether it is a trial of a suspect."""
        if self._evidence.is_empty():
            return False
        suspects = self._suspects(keys, now)
        if not suspects:
            return False
        if len(self._trials_by_key) >= MAX_SUSPECTS:
            self._drop_lost_trials(now)
        for row in suspects:
            failed_trials = row.failed_trials if row.is_harmful else None
            trial = _Trial(request_id, now + TRIAL_TTL_S, failed_trials)
            self._trials_by_key[row.key] = trial
        self._keys_by_request[request_id] = [row.key for row in suspects]
        return True

    def end_run(self, request_id: str, outcome: str, now: float) -> None:
        """Record how a run ended, after its crash or begun response was recorded."""
        if outcome in NOT_SENT_OUTCOMES:
            self.end_trial(request_id)
        else:
            self.fail_trial(request_id, now)

    def fail_trial(self, request_id: str, now: float) -> None:
        """Record that a request reached a server, and no response began."""
        keys = self._keys_by_request.get(request_id, ())
        trials_by_key = {
            key: trial
            for key in keys
            if (trial := self._trials_by_key.get(key)) is not None
            and trial.request_id == request_id
            and trial.failed_trials is not None
        }
        for key in tried_suspects(trials_by_key):
            self._count_failure(key, trials_by_key[key], now)
        self.end_trial(request_id)

    def end_trial(self, request_id: str) -> None:
        """Record that a request has ended, or that its response has begun."""
        for key in self._keys_by_request.pop(request_id, ()):
            trial = self._trials_by_key.get(key)
            if trial is not None and trial.request_id == request_id:
                del self._trials_by_key[key]

    def _drop_lost_trials(self, now: float) -> None:
        for trial in list(self._trials_by_key.values()):
            if now >= trial.expires_at:
                self.fail_trial(trial.request_id, now)

    def _count_failure(self, key: str, trial: _Trial, now: float) -> None:
        """Count a failed trial of a harmful suspect, unless its crash was counted."""
        row = self._evidence.suspect(key, now)
        if row is not None and row.failed_trials == trial.failed_trials:
            self._evidence.record_failed_trial(key, now)

    def _suspects(self, keys: Sequence[str], now: float) -> list[SuspectEvidence]:
        rows = (self._evidence.suspect(key, now) for key in keys)
        return [row for row in rows if row is not None]

    def _is_tried(self, key: str, request_id: str, now: float) -> bool:
        trial = self._trials_by_key.get(key)
        if trial is None:
            return False
        if now >= trial.expires_at:
            self.fail_trial(trial.request_id, now)
            return False
        # A trial of a harmful suspect is a single send: its stream does not move.
        is_single_send = trial.failed_trials is not None
        return is_single_send or trial.request_id != request_id

    def _is_due(self, row: SuspectEvidence, keys: Sequence[str], now: float) -> bool:
        """Whether a harmful suspect may be tried now."""
        if now >= row.trial_at:
            return True
        return not _has_failed_trials(row, now) and self._is_ambiguous(row, keys, now)

    def _is_ambiguous(
        self, row: SuspectEvidence, keys: Sequence[str], now: float
    ) -> bool:
        """Whether another suspect, which the request lacks, explains all crashes."""
        starts = row.crashed_starts(now)
        return bool(starts) and any(
            other.key not in keys and other.crashed_starts(now) >= starts
            for other in self._evidence.harmful_suspects()
        )

    def _is_explained(
        self, row: SuspectEvidence, keys: Sequence[str], now: float
    ) -> bool:
        """Whether something harmful that a request lacks explains all its crashes.

        Requests with the suspect then run one at a time until one responds. They may be
        sound, and have shared a part or a server with the harmful request. Of two parts
        that crash together, neither explains the other.
        """
        if _has_failed_trials(row, now):
            return False
        starts = row.crashed_starts(now)
        return bool(starts) and any(
            (is_identity(row.key) or is_identity(other.key))
            and other.key not in keys
            and other.crashed_starts(now) >= starts
            for other in self._evidence.harmful_suspects()
        )

    def _is_due_to_part(
        self, row: SuspectEvidence, keys: Sequence[str], now: float
    ) -> bool:
        """Whether a part that a request lacks explains all its crashes.

        Requests whose prompts are not in their bodies may have the same identity.
        """
        starts = row.crashed_starts(now)
        return any(
            other.key not in keys and other.crashed_starts(now) >= starts
            for other in self._evidence.suspected_parts()
        )


def _has_failed_trials(row: SuspectEvidence, now: float) -> bool:
    """Whether trials speak against a suspect, whatever else explains its crashes.

    A verdict after several crashes at once counts later crashes as failed trials. Those
    with a part of prompts may be due to the rest of the request.
    """
    if is_identity(row.key):
        return row.failed_trials > 0
    return row.failed_trials > row.late_crashes(now)
