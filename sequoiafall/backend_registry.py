"""Backend servers as they announce themselves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


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
    """Backend servers by service; those that left or are leaving take no work."""

    __slots__ = ("_entries_by_name", "revision")

    def __init__(self) -> None:
        self._entries_by_name: dict[str, BackendEntry] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def put(self, entry: BackendEntry) -> bool:
        """Note an entry and return whether it differs from the known one."""
        if self._entries_by_name.get(entry.name) == entry:
            return False
        self._entries_by_name[entry.name] = entry
        self.revision += 1
        return True

    def drop(self, name: str) -> bool:
        """Forget a server and return whether it was known."""
        if self._entries_by_name.pop(name, None) is None:
            return False
        self.revision += 1
        return True

    def find(self, name: str) -> BackendEntry | None:
        """Return the entry of a server."""
        return self._entries_by_name.get(name)

    def of_service(self, service: str) -> list[BackendEntry]:
        """Return the servers of a service that take work."""
        return [row for row in self.all_of(service) if not row.is_leaving]

    def all_of(self, service: str) -> Iterable[BackendEntry]:
        """Return all servers of a service, also those that are leaving."""
        return [row for row in self._entries_by_name.values() if row.service == service]
