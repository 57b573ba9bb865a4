"""Interface of a store of versioned rows that outlives all instances."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Result

from .store_results import Unavailable, Unknown


@dataclass(slots=True, frozen=True)
class StoreRow:
    """A row of a table.

    Parameters
    ----------
    table, key : str
        Where the row stands.
    value : bytes
        Content, empty for a deleted row.
    version : int
        Number of the transaction that wrote it. All tables share one counter,
        so a greater version is always the newer one.
    deleted : bool, default=False
        Whether the row has been removed.
    """

    table: str
    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class Rejected:
    """A precondition did not hold; `row` is the row as it is, if it exists."""

    row: StoreRow | None


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store no longer has the changes after the requested version."""


@dataclass(slots=True, frozen=True)
class Rows:
    """Rows of a table and the version up to which they are complete."""

    rows: list[StoreRow]
    version: int


class RowStore(abc.ABC):
    """Versioned rows with conditional writes and a feed of changes."""

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Result[StoreRow | None, Unavailable]:
        """Return a row, or None if it does not exist."""

    @abc.abstractmethod
    async def scan(self, table: str) -> Result[Rows, Unavailable]:
        """Return all rows of a table."""

    @abc.abstractmethod
    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Rows, Unavailable | HistoryLost]:
        """Return the rows that changed after a version, waiting for the first."""

    @abc.abstractmethod
    async def replace(
        self, table: str, key: str, value: bytes, version: int
    ) -> Result[int, Unavailable | Unknown | Rejected]:
        """Write a row if it still has `version` (0: does not exist).

        Returns
        -------
        Result
            The new version. After `Unknown` the write may also be carried out
            later, if the condition still holds then.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


def max_version(rows: Sequence[StoreRow]) -> int:
    """Return the greatest version among rows, 0 if there are none."""
    return max((row.version for row in rows), default=0)
