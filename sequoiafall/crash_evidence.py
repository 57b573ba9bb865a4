"""Evidence on what crashes the servers that run it.

A suspect is an opaque key of something that travels with a request: a part of its
prompt that other requests may share, or the identity of the whole request. It is
suspected when a server crashes while it runs such a request and has not begun to
respond to it. A response that begins clears all suspects of its request. Instances
exchange the evidence; merging it twice or in another order changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from .log import log_event, log_warning
from .request_identity import is_identity

# Crashes within this time of each other count as one event: a loss of power ends
# many servers at once, whatever they run.
EVENT_WINDOW_S = 0.1
# A suspect does not count as the cause of a crash if a response to it has begun within
# this time before the crash, or since.
BEGUN_GRACE_S = 1.0
# Events after which a suspect counts as harmful.
HARMFUL_EVENTS = 3
# A suspect that has crashed three servers, also at once, counts as harmful after this
# many further crashes: copies of a request may crash several servers in one event.
MAX_LATE_CRASHES = 2
# Events after which a suspect is stored, so that further ones convict it even if all
# instances have restarted. Suspects with one event are too many: a full engine that
# crashes adds 64.
REPEATED_EVENTS = 2
# A crash is forgotten after this time.
CRASH_TTL_S = 3600.0
# A server that responds to a call sent within this time after its presumed crash has
# not crashed. Restarts take longer.
RESPONSE_WINDOW_S = 1.0
# A server that crashes this long after its last crash has restarted in between, even if
# its new start is not known, as when the registry cannot be read.
RESTART_S = 2.0
# A harmful suspect gets no request for the first time, which grows by the factor with
# each failed trial. After the last trial it gets none for the maximum after it was last
# asked for.
QUARANTINE_S = 30.0
QUARANTINE_FACTOR = 4.0
# Three sends may follow the third crash. The last one is left for a send that is not
# counted in time, as while the leader changes.
MAX_FAILED_TRIALS = 2
# Crashes until this time after the third one are of requests that were sent before all
# instances knew of it. Later ones are trials, whoever made them.
KNOWN_AFTER_S = 3.0
MAX_QUARANTINE_S = 86_400.0
# The quarantine after the last trial is renewed in steps of this length, so that
# instances exchange it rarely.
RENEWAL_STEP_S = 3600.0
# A harmful suspect that is not asked for is forgotten this long after its quarantine.
QUARANTINE_TTL_S = 86_400.0
# Other instances are told for this long that a suspect has been cleared.
CLEARED_TTL_S = 30.0
# Suspects that are kept: a crashed engine with 64 running requests adds 64.
MAX_SUSPECTS = 1024
MAX_CRASHES_PER_SUSPECT = 16
# Suspects with a single crash in one message: those of one full engine.
MAX_SINGLES_PER_MESSAGE = 64
# Covers `BEGUN_GRACE_S` and the exchange of evidence at 16,000 requests per second.
MAX_BEGUN = 32_768
# Evidence that is too old is looked for at most this often.
FORGET_INTERVAL_S = 1.0
# Time of an event that is not known to have happened.
NEVER = float("-inf")


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
    """Crash of a server while it ran requests with a suspect.

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
class SuspectEvidence:
    """What is known of one suspect.

    Parameters
    ----------
    key : str
        The suspect.
    crashes_by_start : dict of ServerStart to Crash
        Crashes of servers with unanswered requests that had the suspect.
    begun_at : float
        Latest time at which a response began or a conviction was lifted, in seconds.
    trial_at : float
        Time in seconds from which a single request may be tried; `NEVER` if it does
        not count as harmful. It may be negative shortly after the boot.
    failed_trials : int
        Sends after the third crash that reached a server, and no response began.
    revision : int
        Revision of `CrashEvidence` at the last change.
    """

    key: str
    crashes_by_start: dict[ServerStart, Crash] = field(default_factory=dict)
    begun_at: float = NEVER
    trial_at: float = NEVER
    failed_trials: int = 0
    revision: int = 0

    @property
    def is_harmful(self) -> bool:
        """Whether the suspect crashes servers, as far as is known."""
        return self.trial_at > NEVER

    @property
    def is_single(self) -> bool:
        """Whether it is a suspect with one crash at most."""
        return not self.is_harmful and len(self.crashes_by_start) <= 1

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash in seconds; minus infinity if there is none."""
        times = (row.at for row in self.crashes_by_start.values() if not row.is_refuted)
        return max(times, default=NEVER)

    @property
    def has_begun_since_crashes(self) -> bool:
        """Whether a response has begun since the latest crash that is known."""
        # The crashes of an old verdict are forgotten before it is.
        return self.begun_at > NEVER and (
            self.begun_at >= self.last_crash_at - BEGUN_GRACE_S
        )

    def crashed_starts(self, now: float) -> set[ServerStart]:
        """Return the starts of servers that count as crashed by the suspect."""
        return {
            start
            for start, crash in self.crashes_by_start.items()
            if not crash.is_refuted
            and crash.at - BEGUN_GRACE_S > self.begun_at
            and now - crash.at < CRASH_TTL_S
        }

    def events(self, now: float) -> int:
        """Return the number of crashes; those at the same time count as one."""
        return len(_event_times(self._crash_times(now)))

    def is_repeated(self, now: float) -> bool:
        """Whether it has several crashes that one event does not explain.

        A loss of power cuts many requests with the same part, but rarely one request
        at two servers, unless it is sent again at once.
        """
        if len(self.crashes_by_start) < REPEATED_EVENTS or self.is_harmful:
            return False
        times = self._crash_times(now)
        counted = times if is_identity(self.key) else _event_times(times)
        return len(counted) >= REPEATED_EVENTS

    def late_crashes(self, now: float, after_s: float = EVENT_WINDOW_S) -> int:
        """Return the number of crashes from some seconds after the third server's.

        By default those of later events.
        """
        times = self._crash_times(now)
        if len(times) < HARMFUL_EVENTS:
            return 0
        known_at = times[HARMFUL_EVENTS - 1] + after_s
        return sum(time_s > known_at for time_s in times)

    def _crash_times(self, now: float) -> list[float]:
        """Return the sorted times of crashes; instances may differ on a start."""
        crashes = sorted(
            (self.crashes_by_start[start].at, start.server)
            for start in self.crashed_starts(now)
        )
        at_by_server: dict[str, float] = {}
        times = []
        for time_s, server in crashes:
            if time_s - at_by_server.get(server, NEVER) > EVENT_WINDOW_S:
                at_by_server[server] = time_s
                times.append(time_s)
        return times

    def expires_at(self, now: float) -> float:
        """Return the time in seconds at which the evidence may be forgotten."""
        if self.is_harmful:
            return self.trial_at + QUARANTINE_TTL_S
        if self.crashed_starts(now):
            return self.last_crash_at + CRASH_TTL_S
        seen_at = max((row.at for row in self.crashes_by_start.values()), default=0.0)
        return max(self.begun_at, seen_at) + CLEARED_TTL_S


class CrashEvidence:
    """Collects crashes and begun responses by suspect, on one instance.

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
        "_begun_at_by_key",
        "_dropped",
        "_forgotten_at",
        "_is_changed",
        "_new_part_keys",
        "_rows_by_key",
        "_unconfirmed_at_by_server",
        "on_change",
        "revision",
    )

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.on_change = on_change
        self.revision = 0
        self._is_changed = False
        self._forgotten_at = NEVER
        # Suspects that were dropped since the last log line about it.
        self._dropped = 0
        # In the order of their last change.
        self._rows_by_key: OrderedDict[str, SuspectEvidence] = OrderedDict()
        # Parts of prompts that have not been looked at as rows to drop, oldest first.
        self._new_part_keys: OrderedDict[str, None] = OrderedDict()
        self._begun_at_by_key: OrderedDict[str, float] = OrderedDict()
        # Latest crash of each server that a response to a later call would refute.
        self._unconfirmed_at_by_server: dict[str, float] = {}

    # Observations

    def current_start(
        self, start: ServerStart, keys: Iterable[str], sent_at: float
    ) -> ServerStart:
        """Return the start of a server that a request reached.

        A server that took a request after its crash has started again, even if its new
        start is not known, as when the registry cannot be read.

        Parameters
        ----------
        start : ServerStart
            Latest start that is known.
        keys : iterable of str
            Suspects of the request.
        sent_at : float
            Time in seconds at which the request was sent.
        """
        rows = (self._rows_by_key.get(key) for key in keys)
        crashes_by_start = {
            other: crash
            for row in rows
            if row is not None
            for other, crash in row.crashes_by_start.items()
            if other.server == start.server and not crash.is_refuted
        }
        crash = crashes_by_start.get(start)
        if crash is None:
            return start
        last_at = max(other.at for other in crashes_by_start.values())
        if sent_at - last_at <= EVENT_WINDOW_S:
            return start
        return _presumed_start(start, sent_at - crash.at)

    def record_begun(self, keys: Iterable[str], now: float) -> None:
        """Record that a response to a request with these suspects has begun."""
        begun = self._begun_at_by_key
        for key in keys:
            begun[key] = now
            begun.move_to_end(key)
            row = self._rows_by_key.get(key)
            if row is not None and (row.is_harmful or row.crashed_starts(now)):
                self._clear(row, now)
        while len(begun) > MAX_BEGUN:
            begun.popitem(last=False)
        self._notify()

    def record_crash(
        self,
        start: ServerStart,
        keys: Sequence[str],
        now: float,
        is_report: bool = False,
    ) -> None:
        """Record that a server crashed before it began to respond to a request.

        Parameters
        ----------
        start : ServerStart
            The start that crashed.
        keys : sequence of str
            Suspects of the request.
        now : float
            Time in seconds.
        is_report : bool, default=False
            Whether another instance reports the crash, see `current_start`. A report
            may wait for a new leader, so a known start has not crashed again.
        """
        suspects = []
        tried = self._tried_keys(keys, now)
        for key in keys:
            if now - self._begun_at_by_key.get(key, NEVER) <= BEGUN_GRACE_S:
                continue
            row = self._row(key, now)
            crashed = _crashed_start(row, start, now, is_report)
            if crashed is not None:
                row.crashes_by_start[crashed] = Crash(now)
                _trim(row)
                if key in tried:
                    self._fail_trial(row, now)
                self._reconsider(row, now)
                self._change(row)
                suspects.append(key)
        if suspects:
            self._expect_response(start.server, now, now)
            log_event(
                "server_crash_suspects",
                server=start.server,
                born=start.born,
                suspects=",".join(suspects),
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
        for row in list(self._rows_by_key.values()):
            recent = [
                crash
                for start, crash in row.crashes_by_start.items()
                if start.server == server
                and 0.0 < sent_at - crash.at <= RESPONSE_WINDOW_S
                and not crash.is_refuted
            ]
            if recent:
                _refute(row, recent, now)
                self._reconsider(row, now)
                self._change(row)
        log_event("server_crash_refuted", server=server)
        self._notify()

    def merge(self, rows: Iterable[SuspectEvidence], now: float) -> None:
        """Apply evidence of another instance, with times of this one's clock."""
        for other in rows:
            row = self._row(other.key, now)
            before = _shared_state(row, now)
            refuted: list[Crash] = []
            row.begun_at = max(
                row.begun_at,
                other.begun_at,
                self._begun_at_by_key.get(row.key, NEVER),
            )
            for start, crash in other.crashes_by_start.items():
                known = row.crashes_by_start.get(start)
                if known is None or _is_later(crash.at, known):
                    row.crashes_by_start[start] = Crash(crash.at, crash.is_refuted)
                    self._expect_response(start.server, crash.at, now)
                elif crash.is_refuted and not _is_later(known.at, crash):
                    refuted.append(known)
            _refute(row, refuted, now)
            _trim(row)
            failed_trials = _unrefuted_trials(other, row, now)
            is_renewed = (
                row.failed_trials == failed_trials >= MAX_FAILED_TRIALS
                and other.trial_at - row.trial_at > RENEWAL_STEP_S / 2.0
            )
            if failed_trials > row.failed_trials:
                row.failed_trials = failed_trials
                row.trial_at = other.trial_at
            elif is_renewed or not row.is_harmful:
                row.trial_at = other.trial_at
            self._reconsider(row, now)
            if is_renewed or _shared_state(row, now) != before:
                self._change(row)
        self._notify()

    def record_failed_trial(self, key: str, now: float) -> None:
        """Record a trial of a harmful suspect in which no response began."""
        row = self._rows_by_key.get(key)
        if row is not None and row.is_harmful:
            self._fail_trial(row, now)
            self._change(row)
        self._notify()

    def record_ask(self, key: str, now: float) -> None:
        """Record that a request with a suspect came, which got its last trial."""
        row = self._rows_by_key.get(key)
        if row is None or row.failed_trials < MAX_FAILED_TRIALS:
            return
        if row.trial_at - now < MAX_QUARANTINE_S - RENEWAL_STEP_S:
            row.trial_at = now + MAX_QUARANTINE_S
            self._change(row)
            self._notify()

    # Conclusions

    def is_empty(self) -> bool:
        """Whether nothing is suspected or was cleared recently."""
        return not self._rows_by_key

    def suspect(self, key: str, now: float) -> SuspectEvidence | None:
        """Return the evidence against a suspect, None if there is none."""
        row = self._rows_by_key.get(key)
        if row is None or not (row.is_harmful or row.crashed_starts(now)):
            return None
        return row

    def harmful_suspects(self) -> list[SuspectEvidence]:
        """Return the evidence of the suspects that count as harmful."""
        return [row for row in self._rows_by_key.values() if row.is_harmful]

    def repeated_suspects(self, now: float) -> list[SuspectEvidence]:
        """Return the evidence of suspects with several crashes but no verdict."""
        return [row for row in self._rows_by_key.values() if row.is_repeated(now)]

    def suspected_parts(self) -> list[SuspectEvidence]:
        """Return the evidence on parts of prompts, as opposed to whole requests."""
        return [row for row in self._rows_by_key.values() if not is_identity(row.key)]

    def suspected_count(self, now: float) -> int:
        """Return the number of suspects with a crash that nothing has cleared."""
        return sum(1 for row in self._rows_by_key.values() if row.crashed_starts(now))

    def since_revision(self, revision: int, now: float) -> list[SuspectEvidence]:
        """Return the evidence that changed after a revision."""
        self.forget(now)
        rows = []
        for row in reversed(self._rows_by_key.values()):
            if row.revision <= revision:
                break
            rows.append(row)
        return rows[::-1]

    def next_changes(
        self, revision: int, now: float
    ) -> tuple[list[SuspectEvidence], int]:
        """Return changes after a revision for one message, and how far they reach.

        Suspects with several crashes are always sent, those with one in small numbers.
        """
        rows = self.since_revision(revision, now)
        singles = [row for row in rows if row.is_single]
        if len(singles) <= MAX_SINGLES_PER_MESSAGE:
            return rows, self.revision
        reached = singles[MAX_SINGLES_PER_MESSAGE - 1].revision
        rows = [row for row in rows if row.revision <= reached or not row.is_single]
        return rows, reached

    def forget(self, now: float) -> None:
        """Forget evidence that is too old, at most once per `FORGET_INTERVAL_S`."""
        if now - self._forgotten_at < FORGET_INTERVAL_S:
            return
        self._forgotten_at = now
        if self._dropped:
            log_warning("suspects_dropped", count=self._dropped, suspects=MAX_SUSPECTS)
            self._dropped = 0
        for key, row in list(self._rows_by_key.items()):
            if now > row.expires_at(now):
                del self._rows_by_key[key]
                self._new_part_keys.pop(key, None)
                if row.is_harmful:
                    log_event("suspect_forgotten", suspect=key)
                # A row of the store may hold it.
                self._is_changed = True
        for server, crashed_at in list(self._unconfirmed_at_by_server.items()):
            if now - crashed_at > RESPONSE_WINDOW_S:
                del self._unconfirmed_at_by_server[server]
        self._notify()

    # State updates

    def _expect_response(self, server: str, crashed_at: float, now: float) -> None:
        """Let a response to a call after a crash refute it, if it is recent."""
        if now - crashed_at <= RESPONSE_WINDOW_S:
            known = self._unconfirmed_at_by_server.get(server, crashed_at)
            self._unconfirmed_at_by_server[server] = max(known, crashed_at)

    def _row(self, key: str, now: float) -> SuspectEvidence:
        row = self._rows_by_key.get(key)
        if row is not None:
            return row
        self.forget(now)
        if len(self._rows_by_key) >= MAX_SUSPECTS:
            dropped = self._least_suspected(now)
            del self._rows_by_key[dropped.key]
            self._dropped += 1
        row = SuspectEvidence(key, begun_at=self._begun_at_by_key.get(key, NEVER))
        self._rows_by_key[key] = row
        if not is_identity(key):
            self._new_part_keys[key] = None
        # It has not changed yet.
        self._rows_by_key.move_to_end(key, last=False)
        return row

    def _least_suspected(self, now: float) -> SuspectEvidence:
        """Return the evidence to drop: the oldest with a single crash, if any.

        Parts of prompts go first if they are in the majority: a request has many of
        them, but one identity, which suffices to convict it.
        """
        while len(self._new_part_keys) > MAX_SUSPECTS // 2:
            row = self._rows_by_key.get(self._new_part_keys.popitem(last=False)[0])
            if row is not None and row.is_single:
                return row
        # Usually the first row, so that a flood of suspects costs little.
        for row in self._rows_by_key.values():
            if row.is_single:
                return row
        return min(
            self._rows_by_key.values(),
            key=lambda item: (
                item.is_harmful,
                item.events(now),
                is_identity(item.key),
                item.revision,
            ),
        )

    def _tried_keys(self, keys: Sequence[str], now: float) -> frozenset[str]:
        """Return the suspects of which a request with these keys is a due trial."""
        rows = (self._rows_by_key.get(key) for key in keys)
        return tried_suspects(
            row.key
            for row in rows
            if row is not None and row.is_harmful and now >= row.trial_at
        )

    def _fail_trial(
        self, row: SuspectEvidence, now: float, failed_trials: int = 0
    ) -> None:
        row.failed_trials = failed_trials or row.failed_trials + 1
        row.trial_at = now + quarantine_s(row.failed_trials)
        log_warning(
            "suspect_trial_failed",
            suspect=row.key,
            failed_trials=row.failed_trials,
            quarantine_s=int(row.trial_at - now),
        )

    def _reconsider(self, row: SuspectEvidence, now: float) -> None:
        """Apply what the crashes and begun responses of a suspect imply."""
        events, late = row.events(now), row.late_crashes(now)
        if not row.is_harmful and (
            events >= HARMFUL_EVENTS or late >= MAX_LATE_CRASHES
        ):
            # Several servers that crash at once are one event, so that more sends than
            # usual may have come before this verdict.
            row.failed_trials = max(row.failed_trials, late)
            row.trial_at = now + quarantine_s(row.failed_trials)
            log_warning(
                "suspect_harmful",
                suspect=row.key,
                crashes=events,
                quarantine_s=int(row.trial_at - now),
                servers=",".join(start.server for start in row.crashed_starts(now)),
            )
        elif row.is_harmful and row.has_begun_since_crashes:
            self._lift(row, "a response began")
        elif row.is_harmful and _is_refuted(row, events, late):
            self._lift(row, "the server has responded since")
        elif row.is_harmful and is_identity(row.key):
            # Two leaders, or the sides of a partition, may have made one trial each.
            # Crashes with a part of prompts may be due to the rest of the request.
            trials = row.late_crashes(now, KNOWN_AFTER_S)
            if trials > row.failed_trials:
                self._fail_trial(row, now, trials)

    def _clear(self, row: SuspectEvidence, now: float) -> None:
        row.begun_at = now
        if row.is_harmful:
            self._lift(row, "a response began")
        self._change(row)

    def _lift(self, row: SuspectEvidence, reason: str) -> None:
        row.trial_at, row.failed_trials = NEVER, 0
        log_event("suspect_cleared", suspect=row.key, reason=reason)

    def _change(self, row: SuspectEvidence) -> None:
        self.revision += 1
        row.revision = self.revision
        self._rows_by_key.move_to_end(row.key)
        self._is_changed = True

    def _notify(self) -> None:
        if self._is_changed and self.on_change is not None:
            self._is_changed = False
            self.on_change()


def tried_suspects(harmful_keys: Iterable[str]) -> frozenset[str]:
    """Return the suspects that a failed trial of one request speaks against.

    A request that is harmful as a whole explains the crash. Other requests share the
    parts of its prompt and may be sound, so these are not blamed.
    """
    keys = frozenset(harmful_keys)
    return frozenset(key for key in keys if is_identity(key)) or keys


def quarantine_s(failed_trials: int) -> float:
    """Return the seconds for which a harmful suspect gets no request."""
    if failed_trials >= MAX_FAILED_TRIALS:
        return MAX_QUARANTINE_S
    return float(QUARANTINE_S * QUARANTINE_FACTOR**failed_trials)


def _event_times(times: Sequence[float]) -> list[float]:
    """Return the times of events, given the sorted times of crashes in seconds."""
    events: list[float] = []
    for time_s in times:
        if not events or time_s - events[-1] > EVENT_WINDOW_S:
            events.append(time_s)
    return events


def _crashed_start(
    row: SuspectEvidence, start: ServerStart, now: float, is_report: bool
) -> ServerStart | None:
    """Return the start that a crash belongs to, None if the crash is known."""
    known = row.crashes_by_start.get(start)
    if known is None or _is_later(now, known):
        return start
    if is_report:
        return None
    last_at = max(
        crash.at
        for other, crash in row.crashes_by_start.items()
        if other.server == start.server
    )
    if known.is_refuted or now - last_at <= RESTART_S:
        return None
    return _presumed_start(start, now - known.at)


def _presumed_start(start: ServerStart, after_s: float) -> ServerStart:
    """Return a later start of a server, seconds after the crash of a known one."""
    return ServerStart(start.server, start.born + int(after_s * 1e3))


def _is_later(at: float, crash: Crash) -> bool:
    """Whether a crash at a time in seconds comes after one that was refuted."""
    return crash.is_refuted and at - crash.at > RESPONSE_WINDOW_S


def _is_refuted(row: SuspectEvidence, events: int, late: int) -> bool:
    """Whether a verdict rests on a crash that was refuted, and on no other trial."""
    return (
        events < HARMFUL_EVENTS
        and late < MAX_LATE_CRASHES
        and row.failed_trials <= late
        and any(crash.is_refuted for crash in row.crashes_by_start.values())
    )


def _refute(row: SuspectEvidence, crashes: Sequence[Crash], now: float) -> None:
    """Mark crashes that did not happen; they count as failed sends no longer."""
    late = row.late_crashes(now)
    for crash in crashes:
        crash.is_refuted = True
    row.failed_trials = max(0, row.failed_trials - late + row.late_crashes(now))


def _unrefuted_trials(other: SuspectEvidence, row: SuspectEvidence, now: float) -> int:
    """Return another instance's failed trials without crashes that are refuted here."""
    if not other.failed_trials:
        return 0
    seen = SuspectEvidence(
        other.key, begun_at=other.begun_at, failed_trials=other.failed_trials
    )
    refuted = []
    for start, crash in other.crashes_by_start.items():
        copy = Crash(crash.at, crash.is_refuted)
        seen.crashes_by_start[start] = copy
        known = row.crashes_by_start.get(start)
        is_refuted = known is not None and known.is_refuted
        if is_refuted and not crash.is_refuted:
            refuted.append(copy)
    _refute(seen, refuted, now)
    return seen.failed_trials


def _trim(row: SuspectEvidence) -> None:
    """Drop the oldest crashes beyond the limit."""
    crashes = row.crashes_by_start
    while len(crashes) > MAX_CRASHES_PER_SUSPECT:
        del crashes[min(crashes, key=lambda start: crashes[start].at)]


def _shared_state(row: SuspectEvidence, now: float) -> tuple[object, ...]:
    """Return what other instances need to know of a suspect."""
    refuted = {start: crash.is_refuted for start, crash in row.crashes_by_start.items()}
    return refuted, row.crashed_starts(now), row.is_harmful, row.failed_trials
