"""Interface of a durable store of versioned rows, shared by all instances."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Result

from .store_results import Unavailable, Unknown

# Versions of each era. At 400 transactions per second, an era lasts 174 years.
VERSIONS_PER_ERA = 1 << 41


@dataclass(slots=True, frozen=True)
class StoreRow:
    """A row of a table.

    Parameters
    ----------
    table, key : str
        Table and key of the row.
    value : bytes
        Content; empty for a deleted row.
    version : int
        Number of the transaction that wrote the row. All tables share one counter,
        so a greater version is always newer. A store that comes back from an older
        copy begins a new era; versions of a later era are greater, see `era_of`.
    deleted : bool, default=False
        Whether the row was deleted.
    written_version : int, default=0
        Version that the content was written with, 0 if that is `version`. They differ
        for content of an earlier era that holds on although the store has come back
        with an older one.
    """

    table: str
    key: str
    value: bytes
    version: int
    deleted: bool = False
    written_version: int = 0

    @property
    def written_era(self) -> int:
        """Era of the store in which the content was written."""
        return era_of(self.written_version or self.version)


@dataclass(slots=True, frozen=True)
class Rejected:
    """A precondition did not hold; `row` is the current row, None if it is absent."""

    row: StoreRow | None


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store no longer keeps the changes after the requested version."""


@dataclass(slots=True, frozen=True)
class Rows:
    """Rows of a table, and the version up to which they are complete."""

    rows: list[StoreRow]
    version: int


class RowStore(abc.ABC):
    """A store of versioned rows with conditional writes and a change feed."""

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
        """Return rows changed after a version; wait up to `wait_s` for the first."""

    @abc.abstractmethod
    async def replace(
        self, table: str, key: str, value: bytes, version: int
    ) -> Result[int, Unavailable | Unknown | Rejected]:
        """Write a row if it still has `version`; 0 requires that it does not exist.

        Returns
        -------
        Result
            The new version. After `Unknown`, the write may still take effect
            later if the condition holds then.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


def era_of(version: int) -> int:
    """Return the era of a version: 0 until the store first comes back older."""
    return version // VERSIONS_PER_ERA


def max_version(rows: Sequence[StoreRow]) -> int:
    """Return the greatest version of the rows, 0 if there are none."""
    return max((row.version for row in rows), default=0)
