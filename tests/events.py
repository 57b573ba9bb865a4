"""Waits for conditions in tests of asynchronous services."""

import asyncio

EVENT_TIMEOUT_S = 20.0


async def until(condition):
    """Poll until a condition holds; raise `TimeoutError` after a generous deadline."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()

    def check():
        if condition():
            event.set()
        else:
            loop.call_later(0.005, check)

    check()
    await asyncio.wait_for(event.wait(), EVENT_TIMEOUT_S)


def disable_debug_mode():
    """Turn off the debug mode of the running event loop, which unittest turns on.

    It records a stack for every handle. A loop that carries all traffic of a test then
    stood still for up to a second beside other processes, and calls timed out.
    """
    asyncio.get_running_loop().set_debug(False)
