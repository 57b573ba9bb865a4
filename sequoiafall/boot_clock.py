"""Clock for leases and other time limits that instances rely on between them."""

import time


def boot_time() -> float:
    """Return the seconds since boot, including time for which it was suspended.

    The monotonic clock and the timers of the event loop stand still while the
    machine is suspended, so a lease timed by them would be held beyond its expiry.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
