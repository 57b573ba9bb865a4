"""Clock for everything whose life bounds what another instance may do."""

import time


def boot_time() -> float:
    """Return seconds that include the time for which the machine was suspended.

    The monotonic clock and the timers of the event loop stand still while a
    machine is suspended, so a lease that is counted on them outlives its end.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
