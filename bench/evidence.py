"""Measures the cost of evidence on requests that crash servers.

Run as ``python -m bench.evidence``.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from sequoiafall.channel import encode_struct
from sequoiafall.crash_evidence import (
    MAX_BEGUN,
    MAX_SINGLES_PER_MESSAGE,
    MAX_SUSPECTS,
    CrashEvidence,
    ServerStart,
)
from sequoiafall.evidence_exchange import _to_wire
from sequoiafall.request_identity import request_identity
from sequoiafall.wire.gen import ttypes

BODY_BYTES = (0, 5 * 1024, 4 * 1024 * 1024)
# Requests that an engine runs at once, and the parts of a prompt.
RUNNING = 64
PARTS = tuple(f"a05928d8452{number}" for number in range(10))
ROUNDS = 20_000


def _best_s(call: Callable[[], object], calls: int, rounds: int = 5) -> float:
    """Return the least processor time of a call in seconds over several rounds."""
    best = float("inf")
    for _ in range(rounds):
        started = time.process_time()
        for _ in range(calls):
            call()
        best = min(best, (time.process_time() - started) / calls)
    return best


def _identity(number: int) -> str:
    target = f"/look/{number}"
    return request_identity("organisation", "POST", "shop.example", target, b"")


def _measure_begun() -> float:
    """Return the seconds to record a begun response, with a full set."""
    evidence = CrashEvidence()
    identities = [_identity(number) for number in range(2 * MAX_BEGUN)]
    for identity in identities[:MAX_BEGUN]:
        evidence.record_begun((identity, *PARTS), 1.0)
    started = time.process_time()
    for identity in identities[MAX_BEGUN:]:
        evidence.record_begun((identity, *PARTS), 1.0)
    return (time.process_time() - started) / MAX_BEGUN


def _full_evidence() -> tuple[CrashEvidence, float]:
    """Return evidence under a flood, and the seconds for each crash of an engine."""
    evidence = CrashEvidence()
    engines = 4 * MAX_SUSPECTS // RUNNING
    started = time.process_time()
    for engine in range(engines):
        start = ServerStart(f"i-{engine}", 1_776_874_202_957)
        for number in range(RUNNING):
            keys = (_identity(engine * RUNNING + number), *PARTS)
            evidence.record_crash(start, keys, 1.0 + engine)
    return evidence, (time.process_time() - started) / engines


def main() -> None:
    """Print the measured costs."""
    for size in BODY_BYTES:
        body = b"x" * size
        seconds = _best_s(
            lambda body=body: request_identity(  # type: ignore[misc]
                "organisation", "POST", "shop.example", "/look/x?a=1", body
            ),
            20 if size > 1_000_000 else ROUNDS,
        )
        print(f"identity body_bytes={size} us={seconds * 1e6:.1f}")
    print(f"begun suspects={1 + len(PARTS)} us={_measure_begun() * 1e6:.1f}")
    evidence, seconds = _full_evidence()
    print(f"crash requests={RUNNING} suspects={MAX_SUSPECTS} ms={seconds * 1e3:.2f}")
    # The last engine responds to a call that was sent after its crash.
    crashed_at = float(4 * MAX_SUSPECTS // RUNNING)
    started = time.process_time()
    evidence.record_response(
        f"i-{crashed_at - 1:.0f}", crashed_at + 0.2, crashed_at + 0.3
    )
    print(f"refuted_crash ms={(time.process_time() - started) * 1e3:.2f}")
    now = 100.0
    rows, _ = evidence.next_changes(0, now)
    idle_s = _best_s(lambda: evidence.next_changes(evidence.revision, now), ROUNDS)
    print(f"poll_without_changes us={idle_s * 1e6:.2f}")
    singles = [row for row in rows if row.is_single]
    encode_s = _best_s(
        lambda: encode_struct(
            ttypes.EvidenceNotice([_to_wire(row, now) for row in singles])
        ),
        100,
    )
    notice = ttypes.EvidenceNotice([_to_wire(row, now) for row in singles])
    print(
        f"message suspects={len(singles)} of={MAX_SINGLES_PER_MESSAGE} "
        f"bytes={len(encode_struct(notice))} us={encode_s * 1e6:.0f}"
    )


if __name__ == "__main__":
    main()
