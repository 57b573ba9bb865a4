"""Settings of an instance, and where they are read anew."""

from __future__ import annotations

import abc
from dataclasses import dataclass, fields

from returns.result import Result

from .settings import Finding

# Core and link of the leader before 70 engines and 118 instances, with room for
# those that join a new leader at once: 6.5 MB, which take 1.3 s of this link.
# From the slopes of docs/CAPACITY.md.
LEADER_CORE_SHARE = 0.6
LEADER_LINK_MBPS = 40.0

# Settings that a running instance takes over; the others need a restart.
RELOADABLE = (
    "peer_hints",
    "grace_s",
    "directory_life_s",
    "retry_share",
    "retry_extra",
    "ends_withdrawn_streams",
    "core_share",
    "link_mbps",
)


@dataclass(slots=True)
class NodeSettings:
    """Where an instance runs and listens, and the platform's bounds.

    Parameters
    ----------
    instance, zone, address : str
        Name, availability zone and IP address of the instance.
    front_address, ready_address, directory_address : str
        Addresses for callers, readiness and the directory; empty if not served.
    peer_port, metrics_port : int
        Ports for the other instances and for metrics.
    peer_hints : tuple of str
        IP addresses of instances that may know the leader.
    store_address : str
        Address of the platform's store.
    peer_advertise : str, default=""
        Address at which the other instances reach this one, if it is not
        `address` and `peer_port`, as behind address translation.
    grace_s : float
        Time between the signal to stop and the end of the process.
    directory_life_s : float
        Longest time for which callers keep a directory answer.
    retry_share, retry_extra : float
        Budget of repeats of all instances: share of the requests, plus a number
        in each window of some seconds.
    is_fenced : bool
        Whether engines check fencing tokens.
    ends_withdrawn_streams : bool
        Whether a running stream ends when its key is withdrawn. New requests of
        the key are refused in any case.
    core_share : float
        Share of a core that the instance has.
    link_mbps : float
        Bandwidth of its link in Mbit/s.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    instance: str
    zone: str
    address: str
    front_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    metrics_port: int
    peer_hints: tuple[str, ...]
    store_address: str
    peer_advertise: str = ""
    grace_s: float = 8.0
    directory_life_s: float = 5.0
    retry_share: float = 0.2
    retry_extra: float = 100.0
    is_fenced: bool = True
    ends_withdrawn_streams: bool = False
    core_share: float = 1.0
    link_mbps: float = 1000.0
    is_first_start: bool = False

    @property
    def peer_address(self) -> str:
        """Address for the other instances."""
        return self.peer_advertise or f"{self.address}:{self.peer_port}"

    @property
    def capacity(self) -> float:
        """Share of what the leader of a large fleet needs, at most 1."""
        core = self.core_share / LEADER_CORE_SHARE
        return min(1.0, core, self.link_mbps / LEADER_LINK_MBPS)

    def apply_reloadable(self, other: NodeSettings) -> tuple[list[str], list[str]]:
        """Take over what may change while the process runs.

        Returns
        -------
        tuple of (list of str, list of str)
            Settings that changed, and those that differ and need a restart.
        """
        changed: list[str] = []
        needs_restart: list[str] = []
        for field in fields(self):
            value = getattr(other, field.name)
            if value == getattr(self, field.name):
                continue
            if field.name not in RELOADABLE:
                needs_restart.append(field.name)
                continue
            setattr(self, field.name, value)
            changed.append(field.name)
        return changed, needs_restart


class SettingsSource(abc.ABC):
    """Where an instance reads its settings anew."""

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Whether there is something new since the last `read`."""

    @abc.abstractmethod
    def read(self) -> Result[NodeSettings, list[Finding]]:
        """Read the settings."""
