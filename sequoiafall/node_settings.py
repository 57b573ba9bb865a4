"""Settings of an instance, and the source from which they are reloaded."""

from __future__ import annotations

import abc
from dataclasses import dataclass, fields

from returns.result import Result

from .settings import Finding

# Share of a core and bandwidth that a leader needs with 70 engines and 118 instances,
# including all of them joining a new leader at once: 6.5 MB, which take 1.3 s on this
# link. Derived from the slopes in docs/CAPACITY.md.
LEADER_CORE_SHARE = 0.6
LEADER_LINK_MBPS = 40.0
# Used if the settings do not name them; those of the standard sites do.
HEARTBEAT_S = 1.2
DRAIN_S = 2.0

# Memory and descriptors of a process where the settings do not name them.
DEFAULT_MEMORY_MB = 256.0
DEFAULT_MAX_DESCRIPTORS = 1535

# Settings that can change at run time; the others need a restart.
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
    """Identity, addresses and limits of an instance.

    Parameters
    ----------
    instance, zone, address : str
        Name, availability zone and IP address of the instance.
    front_address, ready_address, directory_address : str
        Addresses that serve callers, readiness checks and the directory; empty if
        not served.
    peer_port, metrics_port : int
        Ports that serve the other instances and the metrics.
    peer_hints : tuple of str
        IP addresses of instances that may know the leader.
    store_address : str
        Address of the platform's store.
    peer_advertise : str, default=""
        Address at which the other instances reach this one if it differs from
        `address` and `peer_port`, for example behind address translation.
    grace_s : float
        Seconds between the signal to stop and the end of the process.
    directory_life_s : float
        Maximum TTL of a directory response in seconds.
    retry_share, retry_extra : float
        Retry budget of all instances together: a share of the requests, plus a
        fixed number in each window of a few seconds.
    is_fenced : bool
        Whether engines enforce fencing tokens.
    ends_withdrawn_streams : bool
        Whether a running stream is ended when its API key is withdrawn. New
        requests with the key are refused in any case.
    core_share : float
        Share of a CPU core that is available to the instance.
    link_mbps : float
        Bandwidth of the network link in Mbit/s.
    is_first_start : bool
        Whether the whole system is started for the first time.
    heartbeat_s : float
        Interval in seconds at which backend servers write their entries.
    drain_s : float
        Time in seconds for which a backend server goes on after its entry was removed.
    memory_mb : float
        Memory of the process in MB, from which the memory of bodies and answers is
        derived.
    max_descriptors : int
        Descriptors of the process, from which the number of connections from outside
        is derived.
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
    heartbeat_s: float = HEARTBEAT_S
    drain_s: float = DRAIN_S
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    @property
    def peer_address(self) -> str:
        """``host:port`` at which the other instances reach this one."""
        return self.peer_advertise or f"{self.address}:{self.peer_port}"

    @property
    def capacity(self) -> float:
        """Resources as a share of what the leader of a large fleet needs, at most 1."""
        core = self.core_share / LEADER_CORE_SHARE
        return min(1.0, core, self.link_mbps / LEADER_LINK_MBPS)

    def apply_reloadable(self, other: NodeSettings) -> tuple[list[str], list[str]]:
        """Apply the settings that can change at run time.

        Returns
        -------
        tuple of (list of str, list of str)
            Names of the settings that were applied, and of those that differ but
            need a restart.
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
    """Source from which a running instance reloads its settings."""

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Whether the settings may have changed since the last `read`."""

    @abc.abstractmethod
    def read(self) -> Result[NodeSettings, list[Finding]]:
        """Read the settings."""
