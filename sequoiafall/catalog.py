"""Active configuration: routes, services, organisations and their API keys."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from .caller_limits import DEFAULT_CALLER_LIMITS, CallerLimits


class RepeatPolicy(enum.StrEnum):
    """Whether requests of a route may be sent to a backend server again.

    Attributes
    ----------
    FREELY
        A request may be sent again, up to the route's limit of attempts.
    RESUMABLE
        A stream may also be resumed at another server after the last event received.
    NEVER
        A request is run at most once.
    """

    FREELY = "freely"
    RESUMABLE = "resumable"
    NEVER = "never"


@dataclass(slots=True, frozen=True)
class RouteTarget:
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class ServiceRoute:
    """Route for requests to one host below one path prefix.

    Parameters
    ----------
    name, host, path_prefix : str
        Name of the route, and host and path prefix that a request must match.
    targets : tuple of RouteTarget
        Services among which the requests are distributed.
    repeat : RepeatPolicy
        Whether a request may be sent again.
    is_stream : bool
        Whether responses are event streams.
    max_attempts : int
        Largest number of backend servers to which one request may be sent.
    timeout_s : float
        Longest time that a caller waits, in seconds.
    latency_target_s : float
        Time in seconds within which a response, or its first event, is on time.
    rank : int
        Priority; 0 is the highest.
    is_open : bool
        Whether the route needs no API key.
    pause_target_s : float
        Longest pause in seconds between two events of a response that is on time,
        0 for no limit.
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
        """Choose a service at random in proportion to the weights.

        Weights that are not positive finite numbers count as 0; if there are no
        others, all services have the same share.
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [_usable_weight(target.weight) for target in self.targets]
        if not any(weights):
            weights = [1.0] * len(weights)
        return generator.choices(self.targets, weights)[0].service


@dataclass(slots=True, frozen=True)
class ServedModel:
    """A base model and its number of adapters.

    Parameters
    ----------
    name : str
        Name of the base model.
    adapters : int
        Number of adapters.
    weights_mb, adapter_mb : float, default=0.0
        Size in MB of the base model's weights and of one adapter, 0 if unknown.
    """

    name: str
    adapters: int
    weights_mb: float = 0.0
    adapter_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Service:
    """A service, run by engines if it has models, otherwise a plain service.

    Parameters
    ----------
    name, health_path : str
        Name, and path of the health check.
    models : tuple of ServedModel
        Base models of its engines.
    adapter_slots : int
        Number of adapter slots of an engine, whatever the size of the adapters.
    weight_loads_per_s : float
        Number of base model loads per second that the weight store can start, 0 if
        unknown.
    memory_mb : float, default=0.0
        Room of an engine for the weights of base models and adapters together, in
        MB; 0 if unknown.
    """

    name: str
    health_path: str
    models: tuple[ServedModel, ...] = ()
    adapter_slots: int = 0
    weight_loads_per_s: float = 0.0
    memory_mb: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether the backend servers are model engines."""
        return bool(self.models)

    @property
    def max_adapters(self) -> int:
        """Largest number of adapters that an engine may hold or be loading.

        It is `adapter_slots`, or less if the engine's memory holds fewer beside the
        first base model, the only one that is loaded. An engine that is ordered to
        load more than its memory holds crashes.
        """
        if not self.models:
            return 0
        model = self.models[0]
        if self.memory_mb <= 0.0 or model.adapter_mb <= 0.0:
            return self.adapter_slots
        room_mb = max(0.0, self.memory_mb - max(0.0, model.weights_mb))
        # The quotient may be too large for an integer conversion.
        return int(min(float(self.adapter_slots), room_mb / model.adapter_mb))


@dataclass(slots=True, frozen=True)
class TokenLimit:
    """Rate and burst of an organisation, in tokens; a rate of 0 means no limit."""

    rate_per_s: float
    burst: float


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with its API keys and token limit.

    Parameters
    ----------
    name : str
        Name of the organisation.
    keys : frozenset of str
        Its API keys.
    limit : TokenLimit
        Rate and burst of its tokens.
    plain_tokens : int
        Cost in tokens of a request that does not state its size.
    rank : int or None
        Priority before that of the route; 0 is the highest, None if there is none.
    """

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
        Increases with each change, by varying amounts.
    caller_limits : CallerLimits
        What callers may send, and how long they may take.
    """

    version: int
    routes: tuple[ServiceRoute, ...]
    services_by_name: dict[str, Service]
    organisations_by_name: dict[str, Organisation]
    _routes_by_host: dict[str, list[ServiceRoute]] = field(default_factory=dict)
    _organisations_by_key: dict[str, Organisation] = field(default_factory=dict)
    caller_limits: CallerLimits = DEFAULT_CALLER_LIMITS

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Sequence[ServiceRoute],
        services: Sequence[Service],
        organisations: Sequence[Organisation],
        caller_limits: CallerLimits = DEFAULT_CALLER_LIMITS,
    ) -> Catalog:
        """Build a catalog from the parts of a configuration, with its indexes."""
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
            caller_limits,
        )

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the route with the longest matching path prefix."""
        for route in self._routes_by_host.get(host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation to which an API key belongs."""
        return self._organisations_by_key.get(key)


def host_name(host: str) -> str:
    """Return the name in a Host header, without a port and in lower case."""
    return host.partition(":")[0].lower()


def _usable_weight(weight: float) -> float:
    return weight if 0.0 < weight < math.inf else 0.0
