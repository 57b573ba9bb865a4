"""Retry budget and jittered delays."""

import random

RETRY_SHARE = 0.1

# A gateway without recent traffic may still retry a few requests; the reserve
# is small so that retries cannot multiply the load of a failing pool.
RESERVE_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0

FIRST_DELAY_S = 0.01
MAX_DELAY_S = 0.5
# Every pause is at its limit long before, and 2 ** 1024 is no float.
MAX_BACK_OFF_DOUBLINGS = 30


def back_off_s(first_s: float, failures: int, limit_s: float) -> float:
    """Return a pause that doubles with each failure in a row, in seconds.

    Parameters
    ----------
    first_s : float
        Pause after the first failure.
    failures : int
        Failures in a row, 1 or more.
    limit_s : float
        Longest pause.
    """
    return min(limit_s, first_s * 2.0 ** min(failures - 1, MAX_BACK_OFF_DOUBLINGS))


class RetryBudget:
    """Allows retries of at most a tenth of the requests, plus a small reserve.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter; seeded by the caller.
    share : float, default=RETRY_SHARE
        Retries that each request earns.
    reserve : float, default=RESERVE_RETRIES
        Retries that are allowed before any request.
    max_saved : float, default=MAX_SAVED_RETRIES
        Retries that can be saved up.
    """

    __slots__ = (
        "_generator",
        "_max_saved",
        "_saved",
        "_share",
        "requests",
        "retries",
    )

    def __init__(
        self,
        generator: random.Random,
        share: float = RETRY_SHARE,
        reserve: float = RESERVE_RETRIES,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._generator = generator
        self._share = share
        self._max_saved = max_saved
        self._saved = reserve
        self.requests = 0
        self.retries = 0

    def on_request(self) -> None:
        """Count a request, which earns a share of a retry."""
        self.requests += 1
        self._saved = min(self._saved + self._share, self._max_saved)

    def can_retry(self) -> bool:
        """Return whether `try_retry` would allow a retry now."""
        return self._saved >= 1.0

    def try_retry(self) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.retries += 1
        return True

    def delay_s(self, attempt: int) -> float:
        """Return a random delay below an exponentially growing bound.

        Parameters
        ----------
        attempt : int
            Number of attempts so far, at least 1.

        Returns
        -------
        float
            Seconds to wait before the next attempt.
        """
        bound = back_off_s(FIRST_DELAY_S, attempt, MAX_DELAY_S)
        return self._generator.uniform(0.0, bound)
