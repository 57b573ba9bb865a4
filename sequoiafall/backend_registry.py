"""Registry of the backend servers that announce themselves in the store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

# Software version of a start that no entry has named yet, followed by the start.
_UNNAMED_PREFIX = "unnamed start "
# Maximum number of starts whose versions are kept; the oldest are dropped first.
MAX_STARTS = 4000
# Maximum number of recorded departures; the oldest are dropped first. Servers that
# are gone are no longer announced, so few of the records are ever needed.
MAX_LEAVING = 2000


@dataclass(slots=True, frozen=True)
class BackendEntry:
    """Announcement of a backend server.

    Parameters
    ----------
    name : str
        Identity; a server that restarts under its name has a new `born`.
    service, address, zone : str
        Service that it runs, ``host:port`` and availability zone.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it takes no new work.
    born : int
        Start time in Unix milliseconds, 0 if it is not announced.
    software : str
        Version of its software, empty if it is not announced.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    born: int = 0
    software: str = ""


class BackendRegistry:
    """Known backend servers, with those that are leaving or have left.

    Attributes
    ----------
    revision : int
        Grows with each change of an entry.
    left_revision : int
        Grows with each departure that a server itself announces in a response.
    """

    __slots__ = (
        "_entries_by_name",
        "_later_starts_by_name",
        "_leaving_start_times_by_name",
        "_software_by_unnamed",
        "left_revision",
        "revision",
    )

    def __init__(self) -> None:
        self._entries_by_name: dict[str, BackendEntry] = {}
        self._leaving_start_times_by_name: dict[str, int] = {}
        # Starts that servers have reported and that their entries do not name yet.
        self._later_starts_by_name: dict[str, int] = {}
        # Versions of starts that entries have named.
        self._software_by_unnamed: dict[str, str] = {}
        self.revision = 0
        self.left_revision = 0

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def put(self, entry: BackendEntry) -> bool:
        """Add or update an entry and return whether it changed."""
        left_born = self._leaving_start_times_by_name.get(entry.name)
        if left_born is not None:
            if _is_later_start(entry.born, left_born):
                del self._leaving_start_times_by_name[entry.name]
            else:
                entry = replace(entry, is_leaving=True)
        self._record_software(entry)
        later_born = self._later_starts_by_name.get(entry.name)
        if later_born is not None:
            if _is_later_start(later_born, entry.born):
                unnamed = _unnamed_software(entry.name, later_born)
                entry = replace(entry, born=later_born, software=unnamed)
            else:
                del self._later_starts_by_name[entry.name]
        if self._entries_by_name.get(entry.name) == entry:
            return False
        self._entries_by_name[entry.name] = entry
        self.revision += 1
        return True

    def drop(self, name: str) -> bool:
        """Remove a server and return whether it was known.

        A server that announced its departure still counts as leaving if its entry
        comes back.
        """
        if not self._leaving_start_times_by_name.get(name, 1):
            # Without a start time, only the removed entry indicates a new start.
            del self._leaving_start_times_by_name[name]
        self._later_starts_by_name.pop(name, None)
        if self._entries_by_name.pop(name, None) is None:
            return False
        self.revision += 1
        return True

    def mark_leaving(self, name: str, born: int) -> bool:
        """Record that a server announced its own departure.

        It counts as leaving, whatever its entry says, until an entry with a later
        start time arrives: an entry of the earlier start may still be written.

        Parameters
        ----------
        name : str
            Name of the server.
        born : int
            Start time of the process that is leaving in Unix milliseconds, 0 if it
            is not known.

        Returns
        -------
        bool
            Whether the departure was not known before.
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

    def record_start(self, name: str, born: int) -> bool:
        """Record a start that a server reports, and return whether it is new.

        A server may have started again while the store is away, with another software
        version than its entry names. It has a version of its own until it is named.
        """
        entry = self._entries_by_name.get(name)
        if entry is None or not _is_later_start(born, entry.born):
            return False
        self._later_starts_by_name[name] = born
        return self.put(entry)

    def resolve_software(self, software: str) -> str:
        """Return the version of an unnamed start, if an entry has named it since."""
        return self._software_by_unnamed.get(software, software)

    def runs_software(self, name: str, software: str) -> bool:
        """Whether a server has a version, which may be that of an unnamed start.

        The leader may know of a start that has not been heard of here.
        """
        entry = self._entries_by_name.get(name)
        if entry is None:
            return False
        if entry.software == self.resolve_software(software):
            return True
        server, _, born = software.removeprefix(_UNNAMED_PREFIX).rpartition(" ")
        return (
            software.startswith(_UNNAMED_PREFIX)
            and server == name
            and _is_later_start(int(born), entry.born)
        )

    def has_unnamed_software(self, service: str) -> bool:
        """Whether a server of a service runs a version that no entry has named."""
        return any(
            self._entries_by_name[name].service == service
            for name in self._later_starts_by_name
            if name in self._entries_by_name
        )

    def _record_software(self, entry: BackendEntry) -> None:
        if not entry.born:
            return
        starts = self._software_by_unnamed
        starts[_unnamed_software(entry.name, entry.born)] = entry.software
        if len(starts) > MAX_STARTS:
            del starts[next(iter(starts))]

    def leaving_start_times(self) -> dict[str, int]:
        """Return the start times of the leaving servers by name."""
        return dict(self._leaving_start_times_by_name)

    def find(self, name: str) -> BackendEntry | None:
        """Return the entry of a server."""
        return self._entries_by_name.get(name)

    def active_servers(self, service: str) -> list[BackendEntry]:
        """Return the servers of a service that take work."""
        return [row for row in self.all_servers(service) if not row.is_leaving]

    def software_by_service(self) -> dict[str, set[str]]:
        """Return the software versions of each service that entries have named."""
        versions: dict[str, set[str]] = {}
        for entry in self._entries_by_name.values():
            if entry.name in self._later_starts_by_name:
                continue
            versions.setdefault(entry.service, set()).add(entry.software)
        return versions

    def all_servers(self, service: str) -> Iterable[BackendEntry]:
        """Return all servers of a service, including those that are leaving."""
        return [row for row in self._entries_by_name.values() if row.service == service]


def _unnamed_software(name: str, born: int) -> str:
    return f"{_UNNAMED_PREFIX}{name} {born}"


def _is_later_start(born: int, other: int) -> bool:
    return bool(born and other and born > other)
