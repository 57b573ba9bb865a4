"""Budget of bytes that requests hold in memory together."""

from __future__ import annotations

MEBIBYTE = 1024 * 1024
# Resident memory of a process without requests, with some room.
BASE_MEMORY_MB = 70.0
# Parts of the rest that bodies of requests and answers of backend servers may take.
# What is left is for connections and for the state of the fleet.
BODY_SHARE = 0.4
RESPONSE_SHARE = 0.25
# Part of a budget that only short messages may take, so that a crowd of large ones
# does not starve ordinary callers.
SHORT_SHARE = 0.125
SHORT_BYTES = 64 * 1024
# A growing buffer is up to an eighth larger than its content, and the allocator needs
# room besides.
COST_FACTOR = 1.25
# A body or an answer of this size fits into an empty budget on every machine.
LARGEST_BYTES = 4 * MEBIBYTE


class MemoryBudget:
    """Grants bytes of memory before they are filled.

    Parameters
    ----------
    capacity_bytes : int
        Bytes that all holders may have together. It is raised if the largest message
        would not fit beside the part for short ones.

    Attributes
    ----------
    used_bytes : int
        Bytes that are granted now, with what buffers need besides their content.
    """

    __slots__ = ("_capacity_bytes", "_large_capacity_bytes", "used_bytes")

    def __init__(self, capacity_bytes: int) -> None:
        least_bytes = int(LARGEST_BYTES * COST_FACTOR / (1.0 - SHORT_SHARE)) + 1
        self._capacity_bytes = max(capacity_bytes, least_bytes)
        self._large_capacity_bytes = int(self._capacity_bytes * (1.0 - SHORT_SHARE))
        self.used_bytes = 0

    @classmethod
    def for_bodies(cls, memory_mb: float) -> MemoryBudget:
        """Return the budget of request bodies of a process with `memory_mb` MB."""
        return cls._from_share(memory_mb, BODY_SHARE)

    @classmethod
    def for_responses(cls, memory_mb: float) -> MemoryBudget:
        """Return the budget of answers of a process with `memory_mb` MB."""
        return cls._from_share(memory_mb, RESPONSE_SHARE)

    @classmethod
    def _from_share(cls, memory_mb: float, share: float) -> MemoryBudget:
        rest_mb = max(0.0, memory_mb - BASE_MEMORY_MB)
        return cls(int(rest_mb * share * MEBIBYTE))

    @property
    def is_short(self) -> bool:
        """Whether the largest message would not fit now."""
        left_bytes = self._large_capacity_bytes - self.used_bytes
        return left_bytes < LARGEST_BYTES * COST_FACTOR

    def try_take(self, held_bytes: int, more_bytes: int) -> bool:
        """Grant further bytes to a message, or return False.

        Parameters
        ----------
        held_bytes, more_bytes : int
            Bytes of content that the message holds already, and further ones.
        """
        is_short = held_bytes + more_bytes <= SHORT_BYTES
        capacity_bytes = (
            self._capacity_bytes if is_short else self._large_capacity_bytes
        )
        cost_bytes = _cost_bytes(held_bytes + more_bytes) - _cost_bytes(held_bytes)
        if self.used_bytes + cost_bytes > capacity_bytes:
            return False
        self.used_bytes += cost_bytes
        return True

    def give_back(self, held_bytes: int) -> None:
        """Take back all bytes of content that a message held."""
        self.used_bytes -= _cost_bytes(held_bytes)


def _cost_bytes(content_bytes: int) -> int:
    return int(content_bytes * COST_FACTOR)
