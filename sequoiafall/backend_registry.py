"""Backend servers as they announce themselves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

# Servers that said themselves that they are leaving; older ones are forgotten. A
# server that is gone is announced no more, so few of them are ever looked for.
MAX_LEAVING = 2000


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """What a backend server says of itself.

    Parameters
    ----------
    name : str
        Identity; a server that starts again under its name has a new `born`.
    service, address, zone : str
        Service that it runs, ``host:port`` and availability zone.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it takes no new work.
    born : int
        Unix time of its start in milliseconds, 0 if it does not say.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    born: int = 0


class BackendRegistry:
    """Backend servers by service; those that left or are leaving take no work.

    Attributes
    ----------
    revision : int
        Grows with each change of an entry.
    left_revision : int
        Grows with each server that says itself that it is leaving.
    """

    __slots__ = (
        "_entries_by_name",
        "_leaving_start_times_by_name",
        "left_revision",
        "revision",
    )

    def __init__(self) -> None:
        self._entries_by_name: dict[str, BackendEntry] = {}
        self._leaving_start_times_by_name: dict[str, int] = {}
        self.revision = 0
        self.left_revision = 0

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def put(self, entry: BackendEntry) -> bool:
        """Note an entry and return whether it differs from the known one."""
        left = self._leaving_start_times_by_name.get(entry.name)
        if left is not None:
            if _is_later_start(entry.born, left):
                del self._leaving_start_times_by_name[entry.name]
            else:
                entry = replace(entry, is_leaving=True)
        if self._entries_by_name.get(entry.name) == entry:
            return False
        self._entries_by_name[entry.name] = entry
        self.revision += 1
        return True

    def drop(self, name: str) -> bool:
        """Forget a server and return whether it was known.

        One that said that it is leaving stays so if its entry comes back.
        """
        if not self._leaving_start_times_by_name.get(name, 1):
            # Without the time of its start, only its absence tells a new start.
            del self._leaving_start_times_by_name[name]
        if self._entries_by_name.pop(name, None) is None:
            return False
        self.revision += 1
        return True

    def mark_leaving(self, name: str, born: int) -> bool:
        """Note that a server said itself that it is leaving.

        It counts as leaving, whatever is announced, until it is announced with a
        later start: the entry of an earlier one may still be written.

        Parameters
        ----------
        name : str
            The server.
        born : int
            Its start when it said so, 0 if that is not known.

        Returns
        -------
        bool
            Whether that was news.
        """
        known = self._leaving_start_times_by_name.get(name)
        entry = self._entries_by_name.get(name)
        if known == born or (entry is not None and _is_later_start(entry.born, born)):
            return False
        if len(self._leaving_start_times_by_name) >= MAX_LEAVING:
            del self._leaving_start_times_by_name[
                next(iter(self._leaving_start_times_by_name))
            ]
        self._leaving_start_times_by_name[name] = born
        self.left_revision += 1
        if entry is not None and not entry.is_leaving:
            self.put(entry)
        return True

    def leaving_start_times(self) -> dict[str, int]:
        """Return the starts of the servers that said that they are leaving, by name."""
        return dict(self._leaving_start_times_by_name)

    def find(self, name: str) -> BackendEntry | None:
        """Return the entry of a server."""
        return self._entries_by_name.get(name)

    def active_servers(self, service: str) -> list[BackendEntry]:
        """Return the servers of a service that take work."""
        return [row for row in self.all_servers(service) if not row.is_leaving]

    def all_servers(self, service: str) -> Iterable[BackendEntry]:
        """Return all servers of a service, also those that are leaving."""
        return [row for row in self._entries_by_name.values() if row.service == service]


def _is_later_start(born: int, other: int) -> bool:
    return bool(born and other and born > other)
