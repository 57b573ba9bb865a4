"""Memory of answers that are held for callers."""

from __future__ import annotations

import asyncio

from .memory_budget import LARGEST_BYTES, MemoryBudget


class ResponseMemory:
    """Lets answers wait at their servers until there is memory for them.

    An answer cannot be refused, because its request has run.

    Parameters
    ----------
    budget : MemoryBudget
        Bytes that all answers may have together.
    """

    __slots__ = ("_budget", "_waiters")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def has_waiters(self) -> bool:
        """Whether an answer waits for memory."""
        return bool(self._waiters)

    async def take(self, held_bytes: int, size_bytes: int) -> int:
        """Wait for the memory of an answer and return the bytes that it holds.

        Parameters
        ----------
        held_bytes, size_bytes : int
            Bytes that the answer holds already, and those that it needs in all.
        """
        size_bytes = min(size_bytes, LARGEST_BYTES)
        if size_bytes <= held_bytes:
            return held_bytes
        while not self._budget.try_take(held_bytes, size_bytes - held_bytes):
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)
        return size_bytes

    def give_back(self, held_bytes: int) -> None:
        """Take back the memory of an answer that has been sent, or was given up."""
        self._budget.give_back(held_bytes)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
