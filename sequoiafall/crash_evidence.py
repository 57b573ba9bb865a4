"""Evidence on which parts of prompts crash the servers that answer them.

A part is suspected when a server crashes while it runs a request with that part and
has not begun to respond to it. A response that begins clears all parts of its prompt.
Instances exchange the evidence; merging it twice or in another order changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from .log import log_event, log_warning

# Crashes within this time of each other count as one event: a loss of power ends
# many servers at once, whatever they run.
EVENT_WINDOW_S = 0.1
# A part does not count as the cause of a crash if a response to it has begun within
# this time before the crash, or since.
BEGUN_GRACE_S = 1.0
# Events after which a part counts as harmful.
HARMFUL_EVENTS = 3
# A crash is forgotten after this time.
CRASH_TTL_S = 600.0
# A server that responds to a call sent within this time after its presumed crash has
# not crashed. Restarts take longer.
RESPONSE_WINDOW_S = 1.0
# Harmful parts get no request for the first time, which grows by the factor with each
# crash of a trial, up to the maximum.
QUARANTINE_S = 30.0
QUARANTINE_FACTOR = 4.0
MAX_QUARANTINE_S = 3600.0
MAX_COUNTED_TRIALS = 10
# A part that is not asked for is forgotten this long after its quarantine.
QUARANTINE_TTL_S = 3600.0
# Other instances are told for this long that a part has been cleared.
CLEARED_TTL_S = 30.0
MAX_PARTS = 256
MAX_CRASHES_PER_PART = 16
MAX_BEGUN_PARTS = 4096


@dataclass(slots=True, frozen=True)
class ServerStart:
    """One start of a server, which can crash once.

    Parameters
    ----------
    server : str
        Name of the server.
    born : int
        Its start in Unix milliseconds, 0 if it is not known.
    """

    server: str
    born: int


@dataclass(slots=True)
class Crash:
    """Crash of a server while it ran requests with a part.

    Parameters
    ----------
    at : float
        Time in seconds.
    is_refuted : bool, default=False
        Whether the server has responded since, so that it did not crash.
    """

    at: float
    is_refuted: bool = False


@dataclass(slots=True)
class PartEvidence:
    """What is known of one part of prompts.

    Parameters
    ----------
    part : str
        Identifier of the part.
    crashes_by_start : dict of ServerStart to Crash
        Crashes of servers with unanswered requests that had the part.
    begun_at : float
        Latest time at which a response began or a conviction was lifted, in seconds.
    trial_at : float
        Time in seconds from which a single request may be tried; 0 if the part does
        not count as harmful.
    failed_trials : int
        Trials that ended in a crash.
    revision : int
        Revision of `CrashEvidence` at the last change.
    """

    part: str
    crashes_by_start: dict[ServerStart, Crash] = field(default_factory=dict)
    begun_at: float = float("-inf")
    trial_at: float = 0.0
    failed_trials: int = 0
    revision: int = 0

    @property
    def is_harmful(self) -> bool:
        """Whether the part crashes servers, as far as is known."""
        return self.trial_at > 0.0

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash in seconds; minus infinity if there is none."""
        times = (row.at for row in self.crashes_by_start.values() if not row.is_refuted)
        return max(times, default=float("-inf"))

    def crashed_starts(self, now: float) -> set[ServerStart]:
        """Return the starts of servers that count as crashed by the part."""
        return {
            start
            for start, crash in self.crashes_by_start.items()
            if not crash.is_refuted
            and crash.at - BEGUN_GRACE_S > self.begun_at
            and now - crash.at < CRASH_TTL_S
        }

    def events(self, now: float) -> int:
        """Return the number of crashes; those at the same time count as one."""
        times = sorted(
            self.crashes_by_start[start].at for start in self.crashed_starts(now)
        )
        count, event_at = 0, float("-inf")
        for time_s in times:
            if time_s - event_at > EVENT_WINDOW_S:
                count, event_at = count + 1, time_s
        return count

    def expires_at(self, now: float) -> float:
        """Return the time in seconds at which the evidence may be forgotten."""
        if self.is_harmful:
            return self.trial_at + QUARANTINE_TTL_S
        if self.crashed_starts(now):
            return self.last_crash_at + CRASH_TTL_S
        seen_at = max((row.at for row in self.crashes_by_start.values()), default=0.0)
        return max(self.begun_at, seen_at) + CLEARED_TTL_S


class CrashEvidence:
    """Collects crashes and begun responses by part, on one instance.

    Parameters
    ----------
    on_change : callable or None, default=None
        Called after each change that other instances need.

    Attributes
    ----------
    revision : int
        Grows with each change that other instances need.
    """

    __slots__ = (
        "_begun_at_by_part",
        "_is_changed",
        "_parts_by_name",
        "_unconfirmed_at_by_server",
        "on_change",
        "revision",
    )

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.on_change = on_change
        self.revision = 0
        self._is_changed = False
        self._parts_by_name: dict[str, PartEvidence] = {}
        self._begun_at_by_part: OrderedDict[str, float] = OrderedDict()
        # Latest crash of each server that a response to a later call would refute.
        self._unconfirmed_at_by_server: dict[str, float] = {}

    # Observations

    def record_begun(self, parts: Iterable[str], now: float) -> None:
        """Record that a response to a prompt with these parts has begun."""
        begun = self._begun_at_by_part
        for part in parts:
            begun[part] = now
            begun.move_to_end(part)
            row = self._parts_by_name.get(part)
            if row is not None and (row.is_harmful or row.crashed_starts(now)):
                self._clear(row, now)
        while len(begun) > MAX_BEGUN_PARTS:
            begun.popitem(last=False)
        self._notify()

    def record_crash(
        self, start: ServerStart, parts: Sequence[str], now: float
    ) -> None:
        """Record that a server crashed before it began to respond to a request."""
        suspects = []
        for part in parts:
            if now - self._begun_at_by_part.get(part, float("-inf")) <= BEGUN_GRACE_S:
                continue
            row = self._row(part, now)
            known = row.crashes_by_start.get(start)
            if known is None or _is_later(now, known):
                self._add_crash(row, start, Crash(now), now)
                suspects.append(part)
        if suspects:
            self._expect_response(start.server, now, now)
            log_event(
                "server_crash_suspects",
                server=start.server,
                born=start.born,
                parts=",".join(suspects),
            )
        self._notify()

    def record_response(self, server: str, sent_at: float, now: float) -> None:
        """Record a response of a server to a call that was sent at `sent_at`."""
        crashed_at = self._unconfirmed_at_by_server.get(server)
        if crashed_at is None or sent_at <= crashed_at:
            return
        del self._unconfirmed_at_by_server[server]
        if sent_at - crashed_at > RESPONSE_WINDOW_S:
            return
        for row in self._parts_by_name.values():
            for start, crash in row.crashes_by_start.items():
                is_recent = 0.0 < sent_at - crash.at <= RESPONSE_WINDOW_S
                if start.server == server and is_recent and not crash.is_refuted:
                    crash.is_refuted = True
                    self._change(row)
            self._reconsider(row, now)
        log_event("server_crash_refuted", server=server)
        self._notify()

    def merge(self, rows: Iterable[PartEvidence], now: float) -> None:
        """Apply evidence of another instance, with times of this one's clock."""
        for other in rows:
            row = self._row(other.part, now)
            before = _shared_state(row, now)
            row.begun_at = max(
                row.begun_at,
                other.begun_at,
                self._begun_at_by_part.get(row.part, float("-inf")),
            )
            for start, crash in other.crashes_by_start.items():
                known = row.crashes_by_start.get(start)
                if known is None or _is_later(crash.at, known):
                    row.crashes_by_start[start] = Crash(crash.at, crash.is_refuted)
                    self._expect_response(start.server, crash.at, now)
                elif not _is_later(known.at, crash):
                    known.is_refuted |= crash.is_refuted
            _trim(row)
            if other.failed_trials > row.failed_trials:
                row.failed_trials = other.failed_trials
                row.trial_at = other.trial_at
            elif not row.is_harmful:
                row.trial_at = other.trial_at
            self._reconsider(row, now)
            if _shared_state(row, now) != before:
                self._change(row)
        self._notify()

    # Conclusions

    def is_empty(self) -> bool:
        """Whether no part is suspected or was cleared recently."""
        return not self._parts_by_name

    def suspect(self, part: str, now: float) -> PartEvidence | None:
        """Return the evidence against a part, None if there is none."""
        row = self._parts_by_name.get(part)
        if row is None or not (row.is_harmful or row.crashed_starts(now)):
            return None
        return row

    def harmful_parts(self) -> list[PartEvidence]:
        """Return the evidence of the parts that count as harmful."""
        return [row for row in self._parts_by_name.values() if row.is_harmful]

    def suspected_count(self, now: float) -> int:
        """Return the number of parts with a crash that nothing has cleared."""
        return sum(1 for row in self._parts_by_name.values() if row.crashed_starts(now))

    def since_revision(self, revision: int, now: float) -> list[PartEvidence]:
        """Return the evidence that changed after a revision."""
        self.forget(now)
        return [row for row in self._parts_by_name.values() if row.revision > revision]

    def forget(self, now: float) -> None:
        """Forget evidence that is too old."""
        for part, row in list(self._parts_by_name.items()):
            if now > row.expires_at(now):
                del self._parts_by_name[part]
                if row.is_harmful:
                    log_event("prompt_part_forgotten", part=part)
        for server, crashed_at in list(self._unconfirmed_at_by_server.items()):
            if now - crashed_at > RESPONSE_WINDOW_S:
                del self._unconfirmed_at_by_server[server]

    # State updates

    def _expect_response(self, server: str, crashed_at: float, now: float) -> None:
        """Let a response to a call after a crash refute it, if it is recent."""
        if now - crashed_at <= RESPONSE_WINDOW_S:
            known = self._unconfirmed_at_by_server.get(server, crashed_at)
            self._unconfirmed_at_by_server[server] = max(known, crashed_at)

    def _row(self, part: str, now: float) -> PartEvidence:
        row = self._parts_by_name.get(part)
        if row is not None:
            return row
        self.forget(now)
        if len(self._parts_by_name) >= MAX_PARTS:
            dropped = min(
                self._parts_by_name.values(),
                key=lambda item: (item.is_harmful, item.events(now), item.revision),
            )
            del self._parts_by_name[dropped.part]
            log_warning("prompt_part_dropped", part=dropped.part, parts=MAX_PARTS)
        row = PartEvidence(part, begun_at=self._begun_at_by_part.get(part, -1e9))
        self._parts_by_name[part] = row
        return row

    def _add_crash(
        self, row: PartEvidence, start: ServerStart, crash: Crash, now: float
    ) -> None:
        row.crashes_by_start[start] = crash
        _trim(row)
        if row.is_harmful and now >= row.trial_at:
            row.failed_trials += 1
            row.trial_at = now + quarantine_s(row.failed_trials)
        self._reconsider(row, now)
        self._change(row)

    def _reconsider(self, row: PartEvidence, now: float) -> None:
        """Apply what the crashes and begun responses of a part imply."""
        events = row.events(now)
        if not row.is_harmful and events >= HARMFUL_EVENTS:
            row.trial_at = now + quarantine_s(row.failed_trials)
            log_warning(
                "prompt_part_harmful",
                part=row.part,
                crashes=events,
                quarantine_s=int(row.trial_at - now),
                servers=",".join(start.server for start in row.crashed_starts(now)),
            )
        elif row.is_harmful and row.begun_at >= row.last_crash_at - BEGUN_GRACE_S:
            self._lift(row, "a response began")
        elif row.is_harmful and events < HARMFUL_EVENTS and self._is_refuted(row):
            self._lift(row, "the server has responded since")

    def _is_refuted(self, row: PartEvidence) -> bool:
        """Whether a verdict rests on a crash that was refuted, and on no trial."""
        crashes = row.crashes_by_start.values()
        return not row.failed_trials and any(crash.is_refuted for crash in crashes)

    def _clear(self, row: PartEvidence, now: float) -> None:
        row.begun_at = now
        if row.is_harmful:
            self._lift(row, "a response began")
        self._change(row)

    def _lift(self, row: PartEvidence, reason: str) -> None:
        row.trial_at, row.failed_trials = 0.0, 0
        log_event("prompt_part_cleared", part=row.part, reason=reason)

    def _change(self, row: PartEvidence) -> None:
        self.revision += 1
        row.revision = self.revision
        self._is_changed = True

    def _notify(self) -> None:
        if self._is_changed and self.on_change is not None:
            self._is_changed = False
            self.on_change()


def quarantine_s(failed_trials: int) -> float:
    """Return the seconds for which a harmful part gets no request."""
    # Larger powers may exceed a float.
    factor = QUARANTINE_FACTOR ** min(failed_trials, MAX_COUNTED_TRIALS)
    return min(MAX_QUARANTINE_S, QUARANTINE_S * factor)


def _is_later(at: float, crash: Crash) -> bool:
    """Whether a crash at a time in seconds comes after one that was refuted."""
    return crash.is_refuted and at - crash.at > RESPONSE_WINDOW_S


def _trim(row: PartEvidence) -> None:
    """Drop the oldest crashes beyond the limit."""
    crashes = row.crashes_by_start
    while len(crashes) > MAX_CRASHES_PER_PART:
        del crashes[min(crashes, key=lambda start: crashes[start].at)]


def _shared_state(row: PartEvidence, now: float) -> tuple[object, ...]:
    """Return what other instances need to know of a part."""
    refuted = {start: crash.is_refuted for start, crash in row.crashes_by_start.items()}
    return refuted, row.crashed_starts(now), row.is_harmful, row.failed_trials
