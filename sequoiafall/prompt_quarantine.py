"""Decides which requests may run while a part of their prompt may crash servers.

Requests with a suspected part run one at a time, until a response begins or the part
counts as harmful. Requests with a harmful part are refused, except for trials: one
after the quarantine, and those that show which of several parts is the harmful one.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from .crash_evidence import CrashEvidence, PartEvidence

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


class PromptQuarantine:
    """Admits requests according to the evidence on the parts of their prompts.

    Parameters
    ----------
    evidence : CrashEvidence
        Evidence that this instance has.
    """

    __slots__ = ("_evidence", "_trials_by_part")

    def __init__(self, evidence: CrashEvidence) -> None:
        self._evidence = evidence
        self._trials_by_part: dict[str, _Trial] = {}

    def decide(self, request_id: str, parts: Sequence[str], now: float) -> Verdict:
        """Return whether a request with these shared parts may run."""
        if self._evidence.is_empty() or not parts:
            return Verdict.PASS
        suspects = self._suspects(parts, now)
        if not suspects:
            return Verdict.PASS
        is_tried = any(self._is_tried(row.part, request_id, now) for row in suspects)
        for row in suspects:
            if not row.is_harmful:
                continue
            is_due = now >= row.trial_at or self._is_ambiguous(row, parts, now)
            if is_tried or not is_due:
                return Verdict.REFUSE
        return Verdict.WAIT if is_tried else Verdict.TRIAL

    def retry_after_s(self, parts: Sequence[str], now: float) -> float:
        """Return the seconds until a refused request may be admitted as a trial."""
        left_s = (row.trial_at - now for row in self._suspects(parts, now))
        return max(left_s, default=0.0)

    def begin_trial(self, request_id: str, parts: Sequence[str], now: float) -> bool:
        """Record that a request runs; return whether it is a trial of a part."""
        if self._evidence.is_empty():
            return False
        suspects = self._suspects(parts, now)
        for row in suspects:
            self._trials_by_part[row.part] = _Trial(request_id, now + TRIAL_TTL_S)
        return bool(suspects)

    def end_trial(self, request_id: str) -> None:
        """Record that a request has ended, or that its response has begun."""
        for part, trial in list(self._trials_by_part.items()):
            if trial.request_id == request_id:
                del self._trials_by_part[part]

    def _suspects(self, parts: Sequence[str], now: float) -> list[PartEvidence]:
        rows = (self._evidence.suspect(part, now) for part in parts)
        return [row for row in rows if row is not None]

    def _is_tried(self, part: str, request_id: str, now: float) -> bool:
        trial = self._trials_by_part.get(part)
        if trial is None:
            return False
        if now >= trial.expires_at:
            del self._trials_by_part[part]
            return False
        return trial.request_id != request_id

    def _is_ambiguous(
        self, row: PartEvidence, parts: Sequence[str], now: float
    ) -> bool:
        """Whether another part, which the request lacks, explains all the crashes."""
        starts = row.crashed_starts(now)
        return bool(starts) and any(
            other.part not in parts and other.crashed_starts(now) >= starts
            for other in self._evidence.harmful_parts()
        )
