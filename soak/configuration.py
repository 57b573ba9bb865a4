"""Configuration that the operator of a soak run writes to the store."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from sequoiafall.platform import names
from sequoiafall.standins.row_server import RowServer

HOST = "shop.example"
KEYS_BY_ORGANISATION = {"org-1": "key-of-org-1-abcdef", "org-2": "key-of-org-2-abcdef"}
WITHDRAWN_KEY = "key-that-is-withdrawn"
# Organisation whose limit and second key change during a run.
CHANGING_ORGANISATION = "org-3"
CHANGING_KEYS = ("key-of-org-3-abcdef", "second-key-of-org-3")
REQUEST_DEADLINE_S = 4.0
# Every node has a configuration this long after it was written: its link to the store
# is disrupted for at most 3 s, and the news takes as long again.
MAX_NEWS_S = 6.0
PLAIN_TOKENS = 200
FULL_RATE_PER_S = 200_000.0
ENGINE_SERVICES = ("assist", "assist-2")
PLAIN_SERVICES = ("desk", "desk-2")
# Routes in the order of the configuration, with their kind and first service.
_KINDS_BY_ROUTE = {
    "draft": ("streaming", "assist", True),
    "check": ("streaming", "assist", False),
    "order": ("non_idempotent", "desk", False),
    "look": ("idempotent", "desk", False),
    "note": ("streaming", "assist-2", True),
    "talk": ("streaming", "assist-2", False),
    "buy": ("non_idempotent", "desk-2", False),
    "ask": ("idempotent", "desk-2", False),
}
STREAM_ROUTES = frozenset(
    name for name, row in _KINDS_BY_ROUTE.items() if row[0] == "streaming"
)
# Routes whose requests run at most once.
SINGLE_RUN_ROUTES = frozenset(("check", "order", "talk", "buy"))
# Routes that may be dropped or get a shorter timeout.
CHANGING_ROUTES = ("note", "talk", "buy", "ask")


@dataclass(slots=True)
class RouteState:
    """What the configuration says about a route.

    Parameters
    ----------
    weights_by_service : dict of str to float
        Services of the route, with their shares.
    timeout_s : float, default=REQUEST_DEADLINE_S
        Time limit of a request in seconds.
    is_dropped : bool, default=False
        Whether the configuration lacks the route.
    """

    weights_by_service: dict[str, float]
    timeout_s: float = REQUEST_DEADLINE_S
    is_dropped: bool = False


@dataclass(slots=True)
class Configuration:
    """Routes, services and organisations, and how they were before.

    Attributes
    ----------
    rate_per_s : float
        Token limit of the changing organisation; its burst is of the same number.
    keys : set of str
        Keys of the changing organisation.
    versions_by_adapter : dict of str to int
        Adapters whose version was named.
    changed_at : list of float
        Times at which a version of the configuration was written, in seconds.
    """

    version: int = 1
    rate_per_s: float = FULL_RATE_PER_S
    keys: set[str] = field(default_factory=lambda: set(CHANGING_KEYS))
    versions_by_adapter: dict[str, int] = field(default_factory=dict)
    states_by_route: dict[str, RouteState] = field(
        default_factory=lambda: {
            name: RouteState({row[1]: 1.0}) for name, row in _KINDS_BY_ROUTE.items()
        }
    )
    changed_at: list[float] = field(default_factory=list)
    _dropped_routes: set[str] = field(default_factory=set)
    _withdrawn_keys: set[str] = field(default_factory=set)
    _timeouts_by_route: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def is_denial_expected(self, route: str, key: str) -> bool:
        """Return whether a route has been dropped or a key withdrawn in this run."""
        return route in self._dropped_routes or key in self._withdrawn_keys

    def shortest_timeout_s(self, route: str, first: float, last: float) -> float:
        """Return the shortest timeout of a route in a span, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        first, last : float
            Monotonic times in seconds between which a node took up the route. A node
            that was cut off may have had an older configuration.
        """
        shortest_s = REQUEST_DEADLINE_S
        ended_at = last
        for begun_at, timeout_s in reversed(self._timeouts_by_route[route]):
            if begun_at <= last and ended_at >= first - MAX_NEWS_S:
                shortest_s = min(shortest_s, timeout_s)
            ended_at = begun_at
        return shortest_s

    def write(self, store: RowServer, extra_keys: list[str], added_route: str) -> None:
        """Write the configuration to the store.

        Parameters
        ----------
        store : RowServer
            Store of the run.
        extra_keys : list of str
            Further keys of the first organisation.
        added_route : str
            Name of a further route; empty for none.
        """
        now = time.monotonic()
        for name, state in self.states_by_route.items():
            if state.is_dropped:
                self._dropped_routes.add(name)
            self._timeouts_by_route[name].append((now, state.timeout_s))
        self._withdrawn_keys |= set(CHANGING_KEYS) - self.keys
        self.changed_at.append(now)
        content = {
            "version": self.version,
            "routes": self._routes(added_route),
            "services": self._services(),
            "tenants": self._tenants(extra_keys),
        }
        store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, content)

    def write_versions(self, store: RowServer) -> None:
        """Write the versions of all adapters whose version was named."""
        for adapter, version in self.versions_by_adapter.items():
            store.put(
                names.CONFIGURATION_TABLE,
                f"{names.VERSION_KEY_PREFIX}base.{adapter}",
                {"model": "base", "adapter": adapter, "version": version},
            )

    def _routes(self, added_route: str) -> list[dict[str, Any]]:
        routes = []
        kinds = dict(_KINDS_BY_ROUTE)
        states = dict(self.states_by_route)
        if added_route:
            kinds[added_route] = ("idempotent", "desk", False)
            states[added_route] = RouteState({"desk": 1.0})
        for name, (route_type, _, is_resumable) in kinds.items():
            state = states[name]
            if state.is_dropped:
                continue
            split = [
                {"service": service, "weight": weight}
                for service, weight in state.weights_by_service.items()
            ]
            target = {"split": split} if len(split) > 1 else split[0]
            target.pop("weight", None)
            routes.append(
                {
                    "name": name,
                    "host": HOST,
                    "path_prefix": f"/{name}/",
                    "route_type": route_type,
                    "resumable": is_resumable,
                    "timeout_ms": state.timeout_s * 1e3,
                    "target_latency_ms": 800,
                    "max_attempts": 2,
                    **target,
                }
            )
        return routes

    def _services(self) -> list[dict[str, Any]]:
        engine = {"models": [{"name": "base", "adapters": 50}], "adapter_slots": 6}
        return [
            *({"name": name, "engine": engine} for name in ENGINE_SERVICES),
            *({"name": name} for name in PLAIN_SERVICES),
        ]

    def _tenants(self, extra_keys: list[str]) -> list[dict[str, Any]]:
        limits = {"rate_per_s": FULL_RATE_PER_S, "burst": FULL_RATE_PER_S}
        tenants: list[dict[str, Any]] = [
            {"name": name, "api_keys": [key], "plain_tokens": PLAIN_TOKENS, **limits}
            for name, key in KEYS_BY_ORGANISATION.items()
        ]
        tenants[0]["api_keys"].extend(extra_keys)
        tenants.append(
            {
                "name": CHANGING_ORGANISATION,
                "api_keys": sorted(self.keys),
                "plain_tokens": PLAIN_TOKENS,
                "rate_per_s": self.rate_per_s,
                "burst": self.rate_per_s,
            }
        )
        return tenants
