"""Calls that a backend server with a limit may still get from all instances.

The fleet's leader keeps one allowance for each limited server and counts every call
in it: requests of callers, reports and orders.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .catalog import TokenLimit
from .token_bucket import TokenBucket

# Requests, and reports and orders, that may follow each other at once after a time
# without calls. A load needs two orders: to unload an adapter and to load another.
BURST_CALLS = 2.0
# Reports and orders take this share of the limit beside the requests of callers.
# Servers tolerate 1.5 times their limit; the rest is for instances without a leader.
CONTROL_SHARE = 0.25
# A server that takes no requests still gets one in ten seconds: only a response
# shows that it has recovered.
MIN_RATE_PER_S = 0.1
# Share of the limit that the leader uses for reports, and the longest interval
# between two of them.
REPORT_SHARE = 0.05
MAX_REPORT_INTERVAL_S = 10.0


@dataclass(slots=True, frozen=True)
class Permit:
    """Answer to a request for a permit.

    Parameters
    ----------
    server : str
        Server that the request may be sent to; empty if it is refused.
    wait_s : float
        Seconds to wait before the request is sent; if it is refused, the seconds
        until a permit can be expected.
    """

    server: str
    wait_s: float


class RequestAllowance:
    """Allowance of one server: token buckets of calls that start empty.

    Parameters
    ----------
    rate_per_s : float
        Calls per second that the server takes.
    now : float
        Time in seconds.
    """

    __slots__ = ("_bucket", "_control_bucket", "_report_due_at")

    def __init__(self, rate_per_s: float, now: float) -> None:
        self._bucket = TokenBucket(_bucket_limit(rate_per_s), now, 0.0)
        self._control_bucket = TokenBucket(
            _bucket_limit(rate_per_s, CONTROL_SHARE), now, 0.0
        )
        self._report_due_at = now

    @property
    def rate_per_s(self) -> float:
        """Requests of callers per second that the server gets at most."""
        return self._bucket.limit.rate_per_s

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the limit; the allowance that has accumulated stays."""
        self._bucket.set_limit(_bucket_limit(rate_per_s), now)
        self._control_bucket.set_limit(_bucket_limit(rate_per_s, CONTROL_SHARE), now)

    def level(self, now: float) -> float:
        """Return the number of requests that may be sent now.

        It is negative while requests wait for their turn.
        """
        return self._bucket.level(now)

    def has(self, now: float) -> bool:
        """Whether a request may be sent now."""
        return self._bucket.level(now) >= 1.0

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next request may be sent."""
        return max(0.0, 1.0 - self._bucket.level(now)) / self.rate_per_s

    def count(self, now: float) -> None:
        """Count a request that is sent."""
        self._bucket.charge(1.0, now)

    def try_take(self, now: float) -> bool:
        """Count a request and return True, if it may be sent now."""
        if not self.has(now):
            return False
        self.count(now)
        return True

    def try_reserve(self, now: float, max_wait_s: float) -> float | None:
        """Count a request that is sent once the allowance covers it.

        Returns
        -------
        float or None
            Seconds to wait before it is sent; None if that is more than `max_wait_s`,
            and then it is not counted.
        """
        wait_s = self.wait_s(now)
        if wait_s > max_wait_s:
            return None
        self.count(now)
        return wait_s

    def has_control_calls(self, now: float, calls: int) -> bool:
        """Whether a number of reports and orders may be sent now."""
        return self._control_bucket.level(now) >= calls

    def try_control_call(self, now: float) -> bool:
        """Count a report or an order and return True, if it may be sent now."""
        if not self.has_control_calls(now, 1):
            return False
        self._control_bucket.charge(1.0, now)
        return True

    def try_report(self, now: float) -> bool:
        """Count a report and return True, if one is due and may be sent now."""
        if now < self._report_due_at or not self.try_control_call(now):
            return False
        interval_s = 1.0 / (REPORT_SHARE * self.rate_per_s)
        self._report_due_at = now + min(MAX_REPORT_INTERVAL_S, interval_s)
        return True


def update_allowances(
    allowances_by_server: dict[str, RequestAllowance],
    rates_by_server: Mapping[str, float],
    now: float,
) -> None:
    """Add, change and remove allowances after the limits of servers have changed."""
    for server in set(allowances_by_server) - set(rates_by_server):
        del allowances_by_server[server]
    for server, rate_per_s in rates_by_server.items():
        allowance = allowances_by_server.get(server)
        if allowance is None:
            allowances_by_server[server] = RequestAllowance(rate_per_s, now)
        else:
            allowance.set_rate(rate_per_s, now)


def _bucket_limit(rate_per_s: float, share: float = 1.0) -> TokenLimit:
    return TokenLimit(share * max(MIN_RATE_PER_S, rate_per_s), BURST_CALLS)
