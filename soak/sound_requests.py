"""Check that sound requests are served beside those that crash servers."""

from __future__ import annotations

import itertools
import time
from collections import defaultdict

from .calls import Call
from .configuration import REQUEST_DEADLINE_S, STREAM_ROUTES
from .crash_budget import CONTACT_S

# Reasons of refusals for a part of the prompt, and for the whole request.
HARMFUL_REASONS = ("harmful_prompt", "harmful_request")
# A trial is one request, which ends within its deadline.
TRIAL_S = REQUEST_DEADLINE_S
# What is known of a trouble reaches all nodes within the first term, and a request
# ends within the second.
MAX_UNSERVED_S = CONTACT_S + REQUEST_DEADLINE_S


class SoundRequestCheck:
    """Judges refusals of sound requests, and times without a response to one."""

    def __init__(self) -> None:
        self._refused_at_by_identity: dict[tuple[str, str], float] = {}
        self._served_at_by_kind: dict[str, list[float]] = defaultdict(list)
        self._findings_by_identity: dict[tuple[str, str], str] = {}

    def record_end(self, call: Call) -> None:
        """Record the end of a call."""
        if not call.is_sound or not call.is_complete:
            return
        identity = _identity(call)
        if call.status == 200:
            kind = "engines" if call.route in STREAM_ROUTES else "plain services"
            self._served_at_by_kind[kind].append(call.ended_at)
            self._refused_at_by_identity.pop(identity, None)
        elif call.refusal_reason in HARMFUL_REASONS:
            first = self._refused_at_by_identity.setdefault(identity, call.sent_at)
            if call.sent_at - first > TRIAL_S:
                self._findings_by_identity[identity] = (
                    f"{call.request_id} ({call.route}) at node-{call.node} is sound, "
                    f"but {identity[1]!r} has been refused as harmful for "
                    f"{call.sent_at - first:.1f} s"
                )

    def record_restart(self) -> None:
        """Record that all nodes are started again; none could serve before."""
        for kind in ("engines", "plain services"):
            self._served_at_by_kind[kind].append(time.monotonic())

    def findings(self, started_at: float, ended_at: float) -> list[str]:
        """Return a line for each kind of sound request that was not served.

        Parameters
        ----------
        started_at, ended_at : float
            Monotonic times between which callers sent requests, in seconds.
        """
        lines = list(self._findings_by_identity.values())
        for kind in ("engines", "plain services"):
            times = [started_at, *sorted(self._served_at_by_kind[kind]), ended_at]
            for previous, following in itertools.pairwise(times):
                if following - previous > MAX_UNSERVED_S:
                    lines.append(
                        f"no sound request to {kind} was served from second "
                        f"{previous - started_at:.1f} to {following - started_at:.1f}"
                    )
        return lines


def _identity(call: Call) -> tuple[str, str]:
    """Return what a request has in common with others that may crash servers."""
    if call.shared_parts:
        return "parts", call.shared_parts
    return "request", f"{call.organisation} {call.target} {call.body.decode()}"
