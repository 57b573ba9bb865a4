"""Settings of the controller process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .drain import MOVE_AFTER_S
from .load_budget import LOADS_PER_S
from .settings import (
    Setting,
    parse_address,
    parse_address_list,
    parse_name,
    parse_rate,
    parse_seconds,
    parse_secret_file,
    parse_url,
)

SETTINGS = (
    Setting("instance", parse_name, "name of this instance"),
    Setting("zone", parse_name, "availability zone of this instance"),
    Setting("listen", parse_address, "address for gateways and other controllers"),
    Setting(
        "advertised-address",
        parse_address,
        "address at which other instances reach --listen, where it differs",
        "",
    ),
    Setting("operator-listen", parse_address, "address for operators and health"),
    Setting(
        "gateway-addresses",
        parse_address_list,
        "addresses that callers are told",
    ),
    Setting("platform-url", parse_url, "URL of the platform"),
    Setting("cluster-secret-file", parse_secret_file, "file with the shared secret"),
    Setting("operator-token-file", parse_secret_file, "file with the bearer token"),
    Setting(
        "seed-addresses",
        parse_address_list,
        "controllers to ask for the state while the platform is out",
        "",
    ),
    Setting(
        "loads-per-second",
        parse_rate,
        "adapter loads per second that the weight store allows",
        "3",
    ),
    Setting(
        "move-after",
        parse_seconds,
        "seconds of cleaning after which running streams are moved",
        "60",
    ),
)


@dataclass(slots=True)
class ControllerConfig:
    """Settings of a controller.

    Parameters
    ----------
    instance, zone : str
        Names of the instance and its availability zone.
    listen, operator_listen : str
        ``host:port``; port 0 selects a free port.
    gateway_addresses : list of str
        Gateway addresses published to callers.
    platform_url : str
        URL of the platform.
    cluster_secret, operator_token : bytes
        Shared secret of the instances, and bearer token of the operators.
    seed_addresses : list of str
        Controllers to ask for the state while the platform is unavailable.
    loads_per_s : float
        Adapter loads per second that the weight store allows.
    move_after_s : float
        Seconds of draining after which running streams are moved.
    advertised_address : str
        ``host:port`` at which other instances reach `listen`, for example behind
        network address translation; empty if it is the same.
    """

    instance: str
    zone: str
    listen: str
    operator_listen: str
    gateway_addresses: list[str]
    platform_url: str
    cluster_secret: bytes
    operator_token: bytes
    seed_addresses: list[str] = field(default_factory=list)
    loads_per_s: float = LOADS_PER_S
    move_after_s: float = MOVE_AFTER_S
    advertised_address: str = ""

    @classmethod
    def from_settings(cls, settings: Any) -> ControllerConfig:
        """Build the configuration from validated settings."""
        return cls(
            settings.instance,
            settings.zone,
            settings.listen,
            settings.operator_listen,
            settings.gateway_addresses,
            settings.platform_url,
            settings.cluster_secret_file,
            settings.operator_token_file,
            settings.seed_addresses or [],
            settings.loads_per_second,
            settings.move_after,
            settings.advertised_address or "",
        )
