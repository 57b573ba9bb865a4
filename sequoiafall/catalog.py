"""Configuration in force: routes, services, organisations and their keys."""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass, field


class RepeatPolicy(enum.StrEnum):
    """What may be repeated of a route's requests."""

    FREELY = "freely"
    RESUMABLE = "resumable"
    NEVER = "never"


@dataclass(slots=True, frozen=True)
class RouteTarget:
    """Service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class ServiceRoute:
    """Requests of one host below one path.

    Parameters
    ----------
    name, host, path_prefix : str
        Name, and what a request must match.
    targets : tuple of RouteTarget
        Services that run the requests.
    repeat : Repeat
        Whether a request may be sent again.
    is_stream : bool
        Whether answers are streams of events.
    max_attempts : int
        Backend servers to which one request may be sent.
    timeout_s : float
        Longest time that a caller is kept waiting.
    latency_target_s : float
        Time within which an answer, or its first event, is on time.
    rank : int
        Priority, 0 goes first.
    is_open : bool
        Whether no key is needed.
    pause_target_s : float
        Longest pause between two events of an answer that is on time, 0 for any.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[RouteTarget, ...]
    repeat: RepeatPolicy
    is_stream: bool
    max_attempts: int
    timeout_s: float
    latency_target_s: float
    rank: int
    is_open: bool
    pause_target_s: float = 0.0

    def choose_service(self, generator: random.Random) -> str:
        """Choose a service in proportion to the weights."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return generator.choices(self.targets, weights)[0].service


@dataclass(slots=True, frozen=True)
class ServedModel:
    """A base model with its adapters.

    Parameters
    ----------
    name : str
        Name of the model.
    adapters : int
        Number of adapters.
    """

    name: str
    adapters: int


@dataclass(slots=True, frozen=True)
class Service:
    """A service with its backend servers; engines have models.

    Parameters
    ----------
    name, health_path : str
        Name, and path of the health check.
    models : tuple of ServedModel
        Base models of its engines.
    adapter_slots : int
        Adapters that an engine holds at most.
    weight_loads_per_s : float
        Loads of base models that the weight store begins a second, 0 if it does
        not say.
    """

    name: str
    health_path: str
    models: tuple[ServedModel, ...] = ()
    adapter_slots: int = 0
    weight_loads_per_s: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether the backend servers are model engines."""
        return bool(self.models)


@dataclass(slots=True, frozen=True)
class TokenLimit:
    """Rate and burst of an organisation, in tokens; a rate of 0 is no limit."""

    rate_per_s: float
    burst: float


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with its keys and limit."""

    name: str
    keys: frozenset[str]
    limit: TokenLimit
    plain_tokens: int
    rank: int | None = None


@dataclass(slots=True, frozen=True)
class Catalog:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change, in uneven steps.
    """

    version: int
    routes: tuple[ServiceRoute, ...]
    services_by_name: dict[str, Service]
    organisations_by_name: dict[str, Organisation]
    _routes_by_host: dict[str, list[ServiceRoute]] = field(default_factory=dict)
    _organisations_by_key: dict[str, Organisation] = field(default_factory=dict)

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Sequence[ServiceRoute],
        services: Sequence[Service],
        organisations: Sequence[Organisation],
    ) -> Catalog:
        """Index the parts of a configuration."""
        routes_by_host: dict[str, list[ServiceRoute]] = {}
        for route in sorted(routes, key=lambda row: -len(row.path_prefix)):
            routes_by_host.setdefault(route.host, []).append(route)
        return cls(
            version,
            tuple(routes),
            {service.name: service for service in services},
            {organisation.name: organisation for organisation in organisations},
            routes_by_host,
            {key: row for row in organisations for key in row.keys},
        )

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the route with the longest prefix of the path."""
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations_by_key.get(key)
