"""Members of the fleet as one leader hears from them during its term.

Times are seconds of `boot_time`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .leader_link import LEADER_SILENCE_POLLS
from .log import log_event
from .wire.gen import ttypes

# A member that missed this many polls is not offered to callers.
MEMBER_TTL_POLLS = 4.0
# Interval between polls of a member. It grows with the number of members, up to the
# maximum, to hold the leader at about this many polls per second.
POLL_INTERVAL_S = 0.25
POLL_INTERVAL_MAX_S = 0.5
POLLS_PER_S = 160.0
# The places of a member that has not polled for this long are released.
MEMBER_RELEASE_S = 3.0
# A member that has not polled for this long is taken to have ended. Until then it may
# be cut off, and serve callers that reach it.
MEMBER_GONE_S = 20.0


@dataclass(slots=True)
class MemberRecord:
    """Last poll of a member, and whether the member is still live."""

    member: Any
    polled_at: float
    revision: int = 0
    is_live: bool = True
    is_released: bool = False
    is_gone: bool = False

    @property
    def serves(self) -> bool:
        """Whether the member may serve callers."""
        return not self.is_gone and not self.member.leaving


class MemberRegister:
    """Members that polled a leader, and those that it expects to.

    Parameters
    ----------
    instance : str
        The leader's own instance.
    expected : iterable of str
        Instances that were members before the term. They count as heard until they
        have missed their first polls.
    silent : iterable of str
        Those of them that were silent before the term, such as a leader that was lost.
    now : float
        Time at which the term began.

    Attributes
    ----------
    by_instance : dict of str to MemberRecord
        Members that have polled in this term.
    revision : int
        Grows with each change of a member.
    """

    __slots__ = (
        "_expected",
        "_instance",
        "_silent",
        "_started_at",
        "by_instance",
        "revision",
    )

    def __init__(
        self,
        instance: str,
        expected: Iterable[str],
        silent: Iterable[str],
        now: float,
    ) -> None:
        self._instance = instance
        self._started_at = now
        self._silent = set(silent) - {instance}
        self._expected = set(expected) - self._silent - {instance}
        self.by_instance: dict[str, MemberRecord] = {}
        self.revision = 0

    def record(self, member: Any, now: float) -> None:
        """Record a poll of a member, or that the leader's own instance is live."""
        self._expected.discard(member.instance)
        self._silent.discard(member.instance)
        record = self.by_instance.get(member.instance)
        if record is not None and record.is_live and record.member == member:
            record.polled_at = now
            return
        self.revision += 1
        self.by_instance[member.instance] = MemberRecord(member, now, self.revision)

    def since(self, revision: int) -> list[Any]:
        """Return the members changed since a revision; lost ones count as leaving."""
        return [
            record.member if record.is_live else _as_lost(record)
            for record in self.by_instance.values()
            if record.revision > revision
        ]

    def live(self) -> list[Any]:
        """Return the members that polled recently and are not leaving."""
        return [
            record.member
            for record in self.by_instance.values()
            if record.is_live and not record.member.leaving
        ]

    def expire(self, now: float, keeps_silent: bool = False) -> list[str]:
        """Update the members that are silent; return those whose places are lost.

        Parameters
        ----------
        now : float
            Time in seconds.
        keeps_silent : bool, default=False
            Whether silent members may serve for any time. They do if this instance
            is the one that is cut off.
        """
        released = []
        for name, record in self.by_instance.items():
            if name == self._instance:
                continue
            age_s = now - record.polled_at
            if record.is_live and age_s > self.ttl_s:
                record.is_live = False
                self._change(record)
                log_event("member_silent", instance=name, age_ms=int(age_s * 1e3))
            if age_s > MEMBER_RELEASE_S and not record.is_released:
                record.is_released = True
                released.append(name)
            if age_s > MEMBER_GONE_S and not record.is_gone and not keeps_silent:
                record.is_gone = True
                self._change(record)
                log_event("member_gone", instance=name, age_ms=int(age_s * 1e3))
        if now - self._started_at > MEMBER_GONE_S and not keeps_silent:
            self._expected.clear()
            self._silent.clear()
        return released

    def _change(self, record: MemberRecord) -> None:
        self.revision += 1
        record.revision = self.revision

    @property
    def ttl_s(self) -> float:
        """Seconds without a poll after which a member is silent."""
        return MEMBER_TTL_POLLS * poll_interval_s(len(self.by_instance))

    def heard_count(self, within_s: float, now: float) -> int:
        """Return the number of instances that polled lately, with the leader's own."""
        heard = sum(
            now - record.polled_at <= within_s
            for name, record in self.by_instance.items()
            if name != self._instance and record.serves
        )
        if now - self._started_at <= within_s:
            heard += len(self._expected)
        return 1 + heard

    def serving_count(self) -> int:
        """Return the number of instances that may serve callers, with its own."""
        serving = sum(
            name != self._instance and record.serves
            for name, record in self.by_instance.items()
        )
        return 1 + serving + len(self._expected) + len(self._silent)

    def limit_share(self, now: float) -> float:
        """Return the part of all limits that is granted to instances that are heard.

        The others may be cut off, and use theirs without a leader or with another one.
        They do so once they have had no reply for as long.
        """
        within_s = LEADER_SILENCE_POLLS * poll_interval_s(len(self.by_instance))
        return self.heard_count(within_s, now) / self.serving_count()


def poll_interval_s(members: int) -> float:
    """Return the seconds between two polls of one member."""
    return min(POLL_INTERVAL_MAX_S, max(POLL_INTERVAL_S, members / POLLS_PER_S))


def _as_lost(record: MemberRecord) -> Any:
    member = record.member
    return ttypes.FleetMember(
        instance=member.instance,
        incarnation=member.incarnation,
        zone=member.zone,
        front_address=member.front_address,
        peer_address=member.peer_address,
        ready=False,
        leaving=True,
        capacity_percent=member.capacity_percent,
        is_silent=record.serves,
    )
