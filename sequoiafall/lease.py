"""Leader election of the fleet through a lease, which is one row of the store."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

from .chart import Lifecycle
from .decoding import decode_json
from .log import log_event
from .row_store import StoreRow

LEASE_TABLE = "fleet"
LEASE_KEY = "leader"

# Interval between renewals by the leader. Each renewal is a billed store call.
RENEW_INTERVAL_S = 0.5
# A leader that could not renew for this long reports that it cannot reach the store.
CUT_OFF_AFTER_S = 1.8
# Where backend servers do not check fencing tokens, a leader stops sending orders
# this long after its last renewal.
LEASE_TTL_S = 2.0
# A candidate takes the lease once its row has been unchanged for this long. This
# leaves 0.4 s for an order of the former holder that is still in transit.
TAKEOVER_S = 2.4
# Where backend servers check fencing tokens, two missed renewals are enough: they
# refuse orders of the former holder.
FENCED_TAKEOVER_S = 1.2
# Takeover time when the holder's port refuses connections. Its process may have ended,
# or a cut refuses them while it goes on to renew the lease. So one renewal has to be
# missed, with 0.3 s for the store's response to a call.
REFUSED_TAKEOVER_S = RENEW_INTERVAL_S + 0.3


class LeaseRecord(msgspec.Struct, frozen=True):
    """Content of the lease row."""

    instance: str
    incarnation: int
    address: str
    renewals: int = 0
    resigned: bool = False

    def encode(self) -> bytes:
        """Return the bytes of the row."""
        return msgspec.json.encode(self)

    @classmethod
    def from_row(cls, row: StoreRow | None) -> LeaseRecord | None:
        """Decode a row; None if it is missing, deleted or cannot be decoded."""
        if row is None or row.deleted:
            return None
        try:
            return decode_json(row.value, cls)
        except msgspec.DecodeError as error:
            log_event("lease_unreadable", row_version=row.version, reason=str(error))
            return None


class LeaseStep(enum.Enum):
    """Next step of a candidate."""

    WAIT = "wait"
    TAKE = "take"
    FOLLOW = "follow"


@dataclass(slots=True)
class LeaseWatch:
    """Watches the lease row while no leader replies.

    A lease is taken only after its row has been unchanged for longer than its
    holder may act on it, counted from this instance's first read of that version.
    Clocks of different instances are never compared.
    """

    instance: str
    incarnation: int
    takeover_s: float = TAKEOVER_S
    version: int = -1
    seen_at: float = 0.0
    leader_version: int = -1
    leader_version_at: float = 0.0

    def on_leader_version(self, version: int, now: float) -> None:
        """Record the row version that the leader itself reported."""
        if version != self.leader_version:
            self.leader_version, self.leader_version_at = version, now
        self.version = -1

    def observe(
        self, row: StoreRow | None, is_refused: bool, now: float
    ) -> tuple[LeaseStep, LeaseRecord | None]:
        """Return the next step after a read of the row, with the decoded row.

        Parameters
        ----------
        row : StoreRow or None
            The row that was just read.
        is_refused : bool
            Whether the holder's address refuses connections, or a process that does
            not lead replied there. It may hold the lease nevertheless.
        now : float
            Time in seconds, including suspension.
        """
        version = row.version if row is not None else 0
        record = LeaseRecord.from_row(row)
        if version != self.version:
            self.version, self.seen_at = version, now
            if version == self.leader_version:
                # The row is unchanged since the leader reported this version.
                self.seen_at = self.leader_version_at
            elif record is not None and not record.resigned:
                is_own = record.instance == self.instance
                if is_own and record.incarnation != self.incarnation:
                    # The row was written by an earlier process of this instance.
                    return LeaseStep.TAKE, record
                return LeaseStep.FOLLOW, record
        if record is None or record.resigned:
            return LeaseStep.TAKE, record
        if record.instance == self.instance:
            return LeaseStep.TAKE, record
        wait_s = REFUSED_TAKEOVER_S if is_refused else self.takeover_s
        if now - self.seen_at >= wait_s:
            return LeaseStep.TAKE, record
        return LeaseStep.WAIT, record

    def reset(self) -> None:
        """Forget all observed versions."""
        self.version = self.leader_version = -1


class LeaseState:
    """One instance's state of the lease, as a follower, candidate or leader.

    Attributes
    ----------
    token : int
        Fencing token, which is also the term.
    version : int
        Version of the lease row at the last renewal.
    renewed_at : float
        When the last renewal was sent, in seconds.
    """

    __slots__ = ("_lifecycle", "renewed_at", "token", "version")

    def __init__(self) -> None:
        self._lifecycle = Lifecycle("lease")
        self.token = 0
        self.version = 0
        self.renewed_at = 0.0

    @property
    def state(self) -> str:
        """State of the state chart ``lease``."""
        return self._lifecycle.state

    @property
    def leads(self) -> bool:
        """Whether this instance holds the lease, to its own knowledge."""
        return self.state in ("leading", "cut_off")

    def on_taken(self, version: int, sent_at: float) -> None:
        """Record that the lease was taken; its version becomes the fencing token."""
        self._lifecycle.handle("taken")
        self.token = self.version = version
        self.renewed_at = sent_at

    def on_renewed(self, version: int, sent_at: float) -> None:
        """Record a renewal, which is valid from the time it was sent."""
        self._lifecycle.handle("renewed")
        self.version = version
        self.renewed_at = sent_at

    def on_lost(self) -> None:
        """Record that another instance holds the lease, or that it was released."""
        self._lifecycle.handle("lost")

    def check(self, now: float) -> None:
        """Enter the state ``cut_off`` if the lease was not renewed in time."""
        if now - self.renewed_at > CUT_OFF_AFTER_S:
            self._lifecycle.handle("not_renewed")

    def may_order(self, now: float, is_fenced: bool) -> bool:
        """Whether an order may be sent now.

        Backend servers that check fencing tokens refuse a leader that was
        replaced. For the others, the lease itself must still be valid.
        """
        if not self.leads:
            return False
        return is_fenced or now - self.renewed_at < LEASE_TTL_S
