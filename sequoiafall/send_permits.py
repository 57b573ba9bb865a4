"""Permits to send a request to a backend server that has named a limit.

The fleet's leader grants permits out of the server's allowance, so that all instances
together stay within the limit. Without a leader, each instance sends in time slots of
its own, which come rarely enough for all instances together.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from .boot_clock import boot_time
from .fleet import Fleet
from .request_allowance import MIN_RATE_PER_S, Permit

# Timeout of a request for a permit. A leader in another zone responds in a few ms.
PERMIT_TIMEOUT_S = 0.2
# Share of a server's limit that all instances use without a leader. Instances that
# have lost a leader may be beside others that still follow it, and servers tolerate
# 1.5 times their limit: 1 for requests and `CONTROL_SHARE` for the leader's own calls.
LEADERLESS_SHARE = 0.25
# Longest time slot, and the largest share of the interval between two slots. A slot
# that is not used is lost, so that instances cannot save theirs and send together.
SLOT_S = 1.0
MAX_SLOT_SHARE = 0.25


class TimeSlots:
    """Recurring short periods, in each of which one call may be sent.

    Parameters
    ----------
    offset : float
        Position of the slots in the interval between them (0 to 1). It is random, so
        that the slots of different instances are spread over time.
    """

    __slots__ = ("_offset", "_taken_at")

    def __init__(self, offset: float) -> None:
        self._offset = offset
        self._taken_at = -1e9

    def try_take(self, interval_s: float, now: float) -> bool:
        """Use the current slot and return True, if there is one that is unused.

        Parameters
        ----------
        interval_s : float
            Interval between two slots in seconds; it may differ between calls.
        now : float
            Time in seconds.
        """
        slot_s = min(SLOT_S, MAX_SLOT_SHARE * interval_s)
        if (now - self._offset * interval_s) % interval_s > slot_s:
            return False
        if now - self._taken_at < interval_s - slot_s:
            return False
        self._taken_at = now
        return True

    def wait_s(self, interval_s: float, now: float) -> float:
        """Return the seconds until the next slot begins."""
        return interval_s - (now - self._offset * interval_s) % interval_s


class SendPermits:
    """Obtains permits for one instance.

    Parameters
    ----------
    fleet : Fleet
        Access to the leader and to the limits that servers named.
    generator : random.Random
        Source of the offsets of time slots.
    """

    __slots__ = ("_fleet", "_generator", "_slots_by_server")

    def __init__(self, fleet: Fleet, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator
        self._slots_by_server: dict[str, TimeSlots] = {}

    def is_limited(self, server: str) -> bool:
        """Whether a server has named a limit."""
        return self._fleet.server_limits.rate_per_s(server) is not None

    async def take(self, servers: Sequence[str], max_wait_s: float) -> Permit:
        """Return a permit for one of several servers, or a refusal.

        Parameters
        ----------
        servers : sequence of str
            Servers with a limit, the preferred one first.
        max_wait_s : float
            Longest time in seconds that the request can wait.
        """
        permit = await self._fleet.request_permit(servers, max_wait_s, PERMIT_TIMEOUT_S)
        if permit is not None:
            return permit
        for server in servers:
            if self.try_take_alone(server):
                return Permit(server, 0.0)
        wait_s = min(self._slot_wait_s(server) for server in servers)
        return Permit("", wait_s)

    def try_take_alone(self, server: str) -> bool:
        """Return whether a call may be sent to a server now, without a leader.

        Servers without a limit may always be called.
        """
        rate_per_s = self._fleet.server_limits.rate_per_s(server)
        if rate_per_s is None:
            self._slots_by_server.pop(server, None)
            return True
        interval_s = self._slot_interval_s(rate_per_s)
        if interval_s is None:
            return False
        return self._slots(server).try_take(interval_s, boot_time())

    def _slots(self, server: str) -> TimeSlots:
        slots = self._slots_by_server.get(server)
        if slots is None:
            slots = self._slots_by_server[server] = TimeSlots(self._generator.random())
        return slots

    def _slot_interval_s(self, rate_per_s: float) -> float | None:
        """Return the interval between two slots; None if the fleet's size is unknown.

        An instance that has not heard of a leader since its start does not know how
        many others there are.
        """
        members = self._fleet.member_count
        if not members:
            return None
        return members / (LEADERLESS_SHARE * max(MIN_RATE_PER_S, rate_per_s))

    def _slot_wait_s(self, server: str) -> float:
        rate_per_s = self._fleet.server_limits.rate_per_s(server) or 0.0
        interval_s = self._slot_interval_s(rate_per_s)
        if interval_s is None:
            return 1.0 / max(MIN_RATE_PER_S, rate_per_s)
        return self._slots(server).wait_s(interval_s, boot_time())
