"""Replica of the configuration, updated by changes and snapshots."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .records import empty_head
from .table import TableState
from .wire.gen.ttypes import Change, Head, Snapshot

# Changes kept for peers and gateways, which lag by a few revisions; those further
# behind get a snapshot. A day has about 8,000 changes.
MAX_RECENT_CHANGES = 1000


@dataclass(slots=True, frozen=True)
class StateUpdate:
    """Brings a replica at an earlier revision up to date.

    Parameters
    ----------
    changes : list of Change
        Changes after that revision, without a gap.
    snapshot : Snapshot or None
        All rows, if the changes are no longer kept.
    """

    changes: list[Change]
    snapshot: Snapshot | None


class Follower:
    """Holds the table and the head, always at the same revision."""

    __slots__ = ("_recent_changes", "head", "state")

    def __init__(self) -> None:
        self.state = TableState()
        self.head: Head = empty_head()
        self._recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def revision(self) -> int:
        """Revision of the table and the head."""
        return self.head.revision

    def apply_update(
        self,
        head: Head,
        changes: Sequence[Change] = (),
        snapshot: Snapshot | None = None,
    ) -> bool:
        """Move to a newer head if the changes or the snapshot lead up to it.

        Returns
        -------
        bool
            Whether the update was applied. If the head is newer but the changes
            have a gap and no snapshot fits, nothing changes, and the caller has to
            fetch the missing changes.

        Raises
        ------
        ValueError
            If a row does not conform to the schema.
        """
        if head.revision <= self.revision:
            return False
        needed = [c for c in changes if self.revision < c.revision <= head.revision]
        if self._is_gapless(needed, head.revision):
            for change in needed:
                self.state.apply(change)
                self._recent_changes.append(change)
        elif snapshot is not None and snapshot.revision == head.revision:
            self.state = TableState.from_snapshot(snapshot)
            self._recent_changes.clear()
        else:
            return False
        self.head = head
        return True

    def update_since(self, revision: int) -> StateUpdate:
        """Return the update from a revision to the current one."""
        if revision >= self.revision:
            return StateUpdate([], None)
        if self._recent_changes and self._recent_changes[0].revision <= revision + 1:
            return StateUpdate(
                [c for c in self._recent_changes if c.revision > revision], None
            )
        return StateUpdate([], self.state.to_snapshot())

    def _is_gapless(self, changes: Sequence[Change], revision: int) -> bool:
        expected = range(self.revision + 1, revision + 1)
        return [change.revision for change in changes] == list(expected)
