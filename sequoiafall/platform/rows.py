"""Decodes the platform's rows of the configuration and of backend servers."""

from __future__ import annotations

import ipaddress
import math
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from ..backend_registry import BackendEntry
from ..caller_limits import CallerLimits
from ..catalog import (
    Catalog,
    Organisation,
    RepeatPolicy,
    RouteTarget,
    ServedModel,
    Service,
    ServiceRoute,
    TokenLimit,
)
from ..decoding import decode_json
from ..row_store import StoreRow
from ..serving_ports import RowDecoder
from . import names

# Longest text of a name, an address or a version.
MAX_TEXT_CHARS = 200
MAX_PORT = 65535

# Messages between instances hold numbers of 32 and 64 bits. Periods are added to times,
# and numbers of JSON have 53 bits.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # `idempotent`, `non_idempotent` or `streaming`.
    route_type: str
    timeout_ms: float
    # Deadline for a response to be on time; for a stream, that of its first event.
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    # Backend servers tried for one request of a caller, not retries of the caller.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Longest gap between two events of a stream that is on time.
    gap_target_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    # Number of adapters, which are named a1, a2 and so on.
    adapters: int = 0
    weights_mb: float = 0.0
    adapter_size_mb: float = 0.0


class _Engine(msgspec.Struct):
    models: list[_Model] = []
    # Room for the weights of base models and adapters together.
    weights_mb: float = 0.0
    adapter_slots: int = 0
    # Loads of base models that the weight store starts per second, for all engines.
    loads_per_s: float = 0.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    # What a request without a count of tokens costs.
    plain_tokens: int = 0


class _Limits(msgspec.Struct):
    max_header_bytes: float = 0.0
    max_body_bytes: float = 0.0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []
    limits: _Limits | None = None


class _Version(msgspec.Struct):
    adapter: _Text
    version: Number


class _Entry(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    slots: Number
    # `ready` or `draining`; entries with any other state are unusable.
    state: _Text
    born: UnixMs = 0
    # Version of the software, not of the weights.
    version: _Text = ""


_STATES = ("ready", "draining")


class PlatformRows(RowDecoder):
    """Decodes rows; unknown fields are ignored, wrong types are failures."""

    configuration_table = names.CONFIGURATION_TABLE
    backend_table = names.BACKEND_TABLE

    def catalog(self, row: StoreRow) -> Result[Catalog, str] | None:
        """Decode the configuration; return None for any other row."""
        if row.key != names.CONFIGURATION_KEY:
            return None
        decoded = _decode(row, _Configuration)
        return decoded.map(_catalog)

    def adapter_version(self, row: StoreRow) -> Result[tuple[str, int], str] | None:
        """Decode the declared version of an adapter; return None for any other row."""
        if not row.key.startswith(names.VERSION_KEY_PREFIX):
            return None
        return _decode(row, _Version).map(lambda item: (item.adapter, item.version))

    def backend(self, row: StoreRow) -> Result[BackendEntry, str]:
        """Decode the entry of a backend server."""
        decoded = _decode(row, _Entry)
        if not isinstance(decoded, Success):
            return decoded
        entry = decoded.unwrap()
        if entry.state not in _STATES:
            return Failure(f"state {entry.state!r} is not one of {_STATES}")
        if not _is_header_value(row.key):
            return Failure("the name is no value for a header")
        if not _is_address(entry.address):
            return Failure(f"address {entry.address!r} is not an IPv4 address and port")
        return Success(
            BackendEntry(
                row.key,
                entry.service,
                entry.address,
                entry.zone,
                entry.slots,
                entry.state == "draining",
                entry.born,
                entry.version,
            )
        )


def _decode(row: StoreRow, kind: Any) -> Result[Any, str]:
    try:
        return Success(decode_json(row.value, kind))
    except msgspec.DecodeError as error:
        return Failure(str(error))


def _is_header_value(name: str) -> bool:
    """Whether a server's name can be sent in the header of each request."""
    is_visible = name.isascii() and name.isprintable() and " " not in name
    return is_visible and 0 < len(name) <= MAX_TEXT_CHARS


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _catalog(configuration: _Configuration) -> Catalog:
    return Catalog.from_parts(
        configuration.version,
        [_route(route) for route in configuration.routes],
        [_service(service) for service in configuration.services],
        [_organisation(tenant) for tenant in configuration.tenants],
        _caller_limits(configuration.limits),
    )


def _caller_limits(limits: _Limits | None) -> CallerLimits:
    """Return the limits; one that is missing or no positive number has its default."""
    default = CallerLimits()
    if limits is None:
        return default
    header_timeout_s = _positive(
        limits.header_timeout_ms / 1e3, default.header_timeout_s
    )
    return CallerLimits(
        int(_positive(limits.max_header_bytes, default.header_bytes)),
        int(_positive(limits.max_body_bytes, default.body_bytes)),
        header_timeout_s,
        _positive(limits.idle_timeout_ms / 1e3, default.idle_timeout_s),
    )


def _positive(value: float, default: float) -> float:
    return value if 0.0 < value < math.inf else default


def _route(route: _Route) -> ServiceRoute:
    targets = tuple(RouteTarget(part.service, part.weight) for part in route.split)
    if not targets:
        targets = (RouteTarget(route.service),)
    is_stream = route.route_type == "streaming"
    repeat = RepeatPolicy.NEVER
    if route.route_type == "idempotent":
        repeat = RepeatPolicy.FREELY
    elif is_stream and route.resumable:
        repeat = RepeatPolicy.RESUMABLE
    return ServiceRoute(
        route.name,
        route.host.lower(),
        route.path_prefix,
        targets,
        repeat,
        is_stream,
        max(1, route.max_attempts),
        route.timeout_ms / 1e3,
        route.target_latency_ms / 1e3,
        route.priority,
        route.public,
        route.gap_target_ms / 1e3,
    )


def _service(service: _Service) -> Service:
    if service.engine is None:
        return Service(service.name, service.health_path)
    models = tuple(
        ServedModel(model.name, model.adapters, model.weights_mb, model.adapter_size_mb)
        for model in service.engine.models
    )
    return Service(
        service.name,
        service.health_path,
        models,
        service.engine.adapter_slots,
        service.engine.loads_per_s,
        service.engine.weights_mb,
    )


def _organisation(tenant: _Tenant) -> Organisation:
    return Organisation(
        tenant.name,
        frozenset(tenant.api_keys),
        TokenLimit(tenant.rate_per_s, tenant.burst),
        tenant.plain_tokens,
        tenant.priority,
    )
