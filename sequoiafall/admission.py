"""Authenticates callers, resolves models and routes, and estimates token costs."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import xxhash
from returns.result import Failure, Result, Success

from .refusal import Reason, Refusal
from .table import Adapter, AdapterVersion, BackendServer, Key, Route, TableState
from .wire.gen.ttypes import Change

BEARER_PREFIX = "Bearer "
MODEL_SEPARATOR = "@"
POOL_CELL_SEPARATOR = "."

# English text averages about four bytes per token in common tokenizers. The
# estimate only reserves quota, which is settled with the engine's own count.
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768

_DIGITS = re.compile(r"(\d+)")


@dataclass(slots=True, frozen=True)
class Caller:
    """An authenticated caller; all fields are empty for an anonymous one."""

    organisation: str
    key_name: str
    digest: str


ANONYMOUS = Caller("", "", "")


@dataclass(slots=True, frozen=True)
class ResolvedModel:
    """The adapter, version and pool that a model name stands for."""

    adapter: str
    version: str
    pool: str

    @property
    def model(self) -> str:
        """Full name, ``adapter@version``."""
        return f"{self.adapter}{MODEL_SEPARATOR}{self.version}"


@dataclass(slots=True, frozen=True)
class RequestCost:
    """Tokens reserved for a request."""

    prompt_tokens: int
    max_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens to reserve from the organisation's quota."""
        return self.prompt_tokens + self.max_tokens


def secret_digest(secret: str) -> str:
    """Return the SHA-256 digest under which a key's secret is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def secret_from_header(authorization: str | None) -> str:
    """Return the secret of an ``Authorization`` header, empty if it has none."""
    if not authorization or not authorization.startswith(BEARER_PREFIX):
        return ""
    secret = authorization[len(BEARER_PREFIX) :].strip()
    return secret if is_utf8(secret) else ""


def is_utf8(text: str) -> bool:
    """Return whether a part of a request was valid UTF-8.

    The HTTP library decodes invalid bytes to lone surrogates, which cannot be
    encoded again.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def version_sort_key(version: str) -> tuple[tuple[int, int, str], ...]:
    """Return a sort key that compares runs of digits as numbers.

    Version 10 sorts after version 9, and ``v2.1`` after ``v2``.
    """
    parts = [part for part in _DIGITS.split(version) if part]
    return tuple(
        (1, int(part), "") if part.isdecimal() else (0, 0, part) for part in parts
    )


def estimate_tokens(size_bytes: int) -> int:
    """Estimate the number of tokens of a text from its size, at least 1."""
    return max(1, -(-size_bytes // BYTES_PER_TOKEN))


def request_cost(prompt: str, max_tokens: int) -> RequestCost:
    """Return the tokens to reserve for a prompt and its completion."""
    return RequestCost(estimate_tokens(len(prompt.encode())), max_tokens)


@dataclass(slots=True)
class _Indexes:
    """Secondary indexes of the table."""

    versions_by_adapter: dict[str, dict[str, str]] = field(default_factory=dict)
    highest_by_adapter: dict[str, str] = field(default_factory=dict)
    places_by_pool: dict[str, int] = field(default_factory=dict)
    pools_by_base_model: dict[str, list[str]] = field(default_factory=dict)
    # Cached, because hashing an adapter over 88 cells takes about 160 µs.
    pool_by_adapter: dict[tuple[str, str], str | None] = field(default_factory=dict)


class Admission:
    """Checks keys and permissions against the current revision of the table.

    Parameters
    ----------
    table : TableState
        Configuration table; the owner reports its changes to `apply_change`.
    """

    __slots__ = ("_indexes", "table")

    def __init__(self, table: TableState) -> None:
        self.table = table
        self._indexes = _Indexes()
        self.apply_snapshot(table)

    def apply_snapshot(self, table: TableState) -> None:
        """Replace the table and rebuild all indexes."""
        self.table = table
        self._indexes = _Indexes()
        for version in table.adapter_versions_by_name.values():
            self._add_version(version)
        self._index_pools()

    def apply_change(self, change: Change) -> None:
        """Update the indexes after a change has been applied to the table.

        Only the adapters and pools named in the change are reindexed, because a
        table holds many thousands of adapter versions.
        """
        kinds = {edit.kind for edit in change.edits}
        for edit in change.edits:
            if edit.kind != AdapterVersion.kind:
                continue
            adapter, _, version = edit.name.rpartition(MODEL_SEPARATOR)
            self._indexes.versions_by_adapter.get(adapter, {}).pop(version, None)
            self._indexes.highest_by_adapter.pop(adapter, None)
            row = self.table.adapter_versions_by_name.get(edit.name)
            if row is not None:
                self._add_version(row)
        if BackendServer.kind in kinds:
            self._index_pools()

    def authenticate(self, secret: str) -> Result[Caller, Refusal]:
        """Find the caller whose key has this secret.

        Parameters
        ----------
        secret : str
            Secret given by the caller; empty if there is none.

        Returns
        -------
        Result
            The caller, or `INVALID_KEY` or `WITHDRAWN_KEY`.
        """
        if not secret:
            return Failure(Refusal(Reason.INVALID_KEY, detail="no key was given"))
        digest = secret_digest(secret)
        key = self.table.keys_by_digest.get(digest)
        if key is None:
            return Failure(Refusal(Reason.INVALID_KEY, detail="the key is unknown"))
        caller = Caller(key.organisation, key.name, digest)
        refusal = self.check_key(caller)
        return Success(caller) if refusal is None else Failure(refusal)

    def check_key(self, caller: Caller) -> Refusal | None:
        """Return a refusal if a caller's key is no longer valid, else None."""
        if not caller.digest:
            return None
        key: Key | None = self.table.keys_by_digest.get(caller.digest)
        if key is None or key.state != "active":
            return Refusal(Reason.WITHDRAWN_KEY, detail="the key was withdrawn")
        if key.organisation != caller.organisation:
            return Refusal(Reason.NOT_PERMITTED, detail="the key was reassigned")
        return None

    def resolve_model(
        self, caller: Caller, name: str
    ) -> Result[ResolvedModel, Refusal]:
        """Resolve ``adapter`` or ``adapter@version`` for a caller.

        Without a version the highest registered version is chosen.

        Returns
        -------
        Result
            The adapter, version and pool, or `UNKNOWN_ADAPTER`,
            `NOT_PERMITTED` or `NO_BACKEND_SERVER`.
        """
        adapter_name, _, version = name.partition(MODEL_SEPARATOR)
        adapter = self.table.adapters_by_name.get(adapter_name)
        if adapter is None:
            return Failure(Refusal(Reason.UNKNOWN_ADAPTER, detail="no such adapter"))
        if not self._may_use(caller, adapter):
            detail = "the adapter belongs to another organisation"
            return Failure(Refusal(Reason.NOT_PERMITTED, detail=detail))
        version = version or self.highest_version(adapter_name)
        full_name = f"{adapter_name}{MODEL_SEPARATOR}{version}"
        if full_name not in self.table.adapter_versions_by_name:
            detail = "the adapter has no such version"
            return Failure(Refusal(Reason.UNKNOWN_ADAPTER, detail=detail))
        pool = self.pool_of(adapter)
        if pool is None:
            detail = "no engine is in service for the adapter's base model"
            return Failure(
                Refusal(Reason.NO_BACKEND_SERVER, retry_after_s=5.0, detail=detail)
            )
        return Success(ResolvedModel(adapter_name, version, pool))

    def resolve_route(self, caller: Caller | None, name: str) -> Result[Route, Refusal]:
        """Resolve a pass-through route for a caller; None without a key.

        Returns
        -------
        Result
            The route, or `UNKNOWN_ROUTE`, `INVALID_KEY` or `NOT_PERMITTED`.
        """
        route = self.table.routes_by_name.get(name)
        if route is None:
            return Failure(Refusal(Reason.UNKNOWN_ROUTE, detail="no such route"))
        if route.open:
            return Success(route)
        if caller is None:
            return Failure(Refusal(Reason.INVALID_KEY, detail="no key was given"))
        if caller.organisation != route.organisation:
            detail = "the route belongs to another organisation"
            return Failure(Refusal(Reason.NOT_PERMITTED, detail=detail))
        return Success(route)

    def models_of(self, caller: Caller) -> list[str]:
        """Return the sorted names of all adapter versions that a caller may use."""
        usable_adapters = (
            adapter.name
            for adapter in self.table.adapters_by_name.values()
            if self._may_use(caller, adapter)
        )
        return sorted(
            name
            for adapter in usable_adapters
            for name in self._indexes.versions_by_adapter.get(adapter, {}).values()
        )

    def highest_version(self, adapter: str) -> str:
        """Return the highest registered version of an adapter, empty if none."""
        highest_by_adapter = self._indexes.highest_by_adapter
        if adapter not in highest_by_adapter:
            versions: Iterable[str] = self._indexes.versions_by_adapter.get(adapter, {})
            highest_by_adapter[adapter] = max(
                versions, key=version_sort_key, default=""
            )
        return highest_by_adapter[adapter]

    def pool_of(self, adapter: Adapter) -> str | None:
        """Return the pool that serves an adapter, or None if no engine is in service.

        Pools of a base model are named after it; if there are several cells, the
        cell is appended (``base`` or ``base.cell3``). An adapter is pinned to one
        cell by weighted rendezvous hashing, so that a single owner decides on all
        its replicas.
        """
        key = (adapter.name, adapter.base_model)
        if key not in self._indexes.pool_by_adapter:
            pools = self._pools_of_base_model(adapter.base_model)
            ordered = rendezvous_order(
                adapter.name, pools, self._indexes.places_by_pool
            )
            self._indexes.pool_by_adapter[key] = ordered[0] if ordered else None
        return self._indexes.pool_by_adapter[key]

    def _pools_of_base_model(self, base_model: str) -> list[str]:
        pools = self._indexes.pools_by_base_model.get(base_model)
        if pools is None:
            cell_prefix = base_model + POOL_CELL_SEPARATOR
            pools = [
                pool
                for pool in self._indexes.places_by_pool
                if pool == base_model or pool.startswith(cell_prefix)
            ]
            self._indexes.pools_by_base_model[base_model] = pools
        return pools

    def _may_use(self, caller: Caller, adapter: Adapter) -> bool:
        return adapter.open or adapter.organisation == caller.organisation

    def _add_version(self, row: AdapterVersion) -> None:
        versions = self._indexes.versions_by_adapter.setdefault(row.adapter, {})
        versions[row.version] = row.name
        self._indexes.highest_by_adapter.pop(row.adapter, None)

    def _index_pools(self) -> None:
        places_by_pool: dict[str, int] = {}
        for server in self.table.backend_servers_by_name.values():
            if server.server_kind == "engine" and server.state == "in_service":
                places_by_pool[server.pool] = (
                    places_by_pool.get(server.pool, 0) + server.places
                )
        self._indexes.places_by_pool = places_by_pool
        self._indexes.pools_by_base_model = {}
        self._indexes.pool_by_adapter = {}


def rendezvous_order(
    key: str, names: Sequence[str], weights_by_name: Mapping[str, float]
) -> list[str]:
    """Order names by weighted rendezvous hashing, the best first.

    The relative order of two names depends only on the key, the names and their
    weights, so removing one name moves no key between the others.
    """

    # With the score -weight / ln(u) each name gets a share of the keys that is
    # proportional to its weight.
    def score(name: str) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
        uniform = (digest + 1) / ((1 << 64) + 2)
        return -weights_by_name.get(name, 1.0) / math.log(uniform)

    return sorted(names, key=lambda name: (-score(name), name))
