"""Retry budget and exponential back-off with jitter."""

import random

# Retries earned per request.
RETRY_SHARE = 0.1

# Allows a gateway without recent traffic to retry a few requests. The reserve is small,
# so that retries cannot multiply the load on a failing pool.
RESERVE_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0

FIRST_DELAY_S = 0.01
MAX_DELAY_S = 0.5
# Delays reach their limit with far fewer doublings; 2 ** 1024 exceeds a float.
MAX_BACK_OFF_DOUBLINGS = 30


def back_off_s(first_s: float, failures: int, limit_s: float) -> float:
    """Return a delay in seconds that doubles with each consecutive failure.

    Parameters
    ----------
    first_s : float
        Delay after the first failure.
    failures : int
        Number of consecutive failures, at least 1.
    limit_s : float
        Longest delay.
    """
    return min(limit_s, first_s * 2.0 ** min(failures - 1, MAX_BACK_OFF_DOUBLINGS))


class RetryBudget:
    """Token bucket that limits retries to a share of the requests, plus a reserve.

    Parameters
    ----------
    generator : random.Random
        Source of jitter; the caller seeds it.
    share : float, default=RETRY_SHARE
        Retries earned per request.
    reserve : float, default=RESERVE_RETRIES
        Retries available initially.
    max_saved : float, default=MAX_SAVED_RETRIES
        Largest number of unused retries that is kept.
    """

    __slots__ = (
        "_generator",
        "_max_saved",
        "_reserved",
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
        self._reserved = 0
        self.requests = 0
        self.retries = 0

    def set_share(self, share: float) -> None:
        """Change the number of retries earned per request."""
        self._share = share

    def set_max_saved(self, max_saved: float) -> None:
        """Change the largest number of unused retries that is kept."""
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def on_request(self) -> None:
        """Count a request and add its share of a retry to the budget."""
        self.requests += 1
        self._saved = min(self._saved + self._share, self._max_saved)

    def try_reserve(self) -> bool:
        """Reserve a retry that may not be needed, if one is not reserved yet.

        It limits how many requests prepare for a retry, and takes none from others.
        """
        if self._saved < self._reserved + 1.0:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Release a reserved retry."""
        self._reserved -= 1

    def try_retry(self) -> bool:
        """Take one retry from the budget, if there is one.

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

    def give_back(self) -> None:
        """Return a retry that was taken and not made."""
        self._saved = min(self._saved + 1.0, self._max_saved)
        self.retries -= 1

    def delay_s(self, attempt: int) -> float:
        """Return a random delay with an exponentially growing upper bound.

        Parameters
        ----------
        attempt : int
            Number of attempts so far, at least 1.

        Returns
        -------
        float
            Delay before the next attempt, in seconds.
        """
        bound = back_off_s(FIRST_DELAY_S, attempt, MAX_DELAY_S)
        return self._generator.uniform(0.0, bound)
