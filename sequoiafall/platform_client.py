"""Client of the platform's table service, object store, weight store and registry."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from .decoding import decode_json
from .engine_client import StrictConnector
from .store_results import Unavailable, Unknown

# Well below HEAD_MAX_AGE_S (2 s), so that there is time left to confirm the head
# through peers if the platform is slow.
REQUEST_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.3
# Extra time for each row of a transaction: an import writes up to 2,000 rows in one
# transaction, and validating a snapshot takes up to 4,000 conditions.
TIMEOUT_PER_ROW_S = 0.001
SCAN_LIMIT = 1000


@dataclass(slots=True, frozen=True)
class TableRow:
    """A row of the table service; version 0 means that the row does not exist."""

    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(slots=True, frozen=True)
class Conflict:
    """A condition did not hold, so the transaction had no effect.

    Parameters
    ----------
    rows : list of TableRow
        The rows whose versions differed, as of the transaction.
    """

    rows: list[TableRow]

    def find(self, key: str) -> TableRow | None:
        """Return the conflicting row with this key, or None."""
        return next((row for row in self.rows if row.key == key), None)


TransactionError = Unavailable | Unknown | Conflict


@dataclass(slots=True, frozen=True)
class Condition:
    """Requires a row to have this version; 0 requires that it does not exist."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Replaces the value of a row; None deletes the row."""

    key: str
    value: dict[str, Any] | None


@dataclass(slots=True, frozen=True)
class Committed:
    """A committed transaction: the new versions of the rows that it wrote."""

    versions_by_key: dict[str, int]


@dataclass(slots=True, frozen=True)
class ListedInstance:
    """An entry of the platform's instance list, which is eventually consistent."""

    name: str
    zone: str
    address: str
    state: str


@dataclass(slots=True, frozen=True)
class LoadRefused:
    """The weight store refused to load an adapter.

    Parameters
    ----------
    reason : str
        ``rate_exceeded`` or ``load_failed``.
    retry_after_s : float
        Seconds until a load would be admitted; 0 if unknown.
    """

    reason: str
    retry_after_s: float = 0.0


class TableService(abc.ABC):
    """The transactional table service."""

    @abc.abstractmethod
    async def transaction(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        operation_id: str,
    ) -> Result[Committed, TransactionError]:
        """Commit all writes if all conditions hold, at most once per operation."""

    @abc.abstractmethod
    async def read(self, key: str) -> Result[TableRow, Unavailable]:
        """Read one row; an absent row has version 0."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> Result[list[TableRow], Unavailable]:
        """Read up to `limit` rows with the prefix and a key above `after`."""


@dataclass(slots=True)
class PlatformClient(TableService):
    """HTTP client of the platform.

    Parameters
    ----------
    base_url : str
        URL of the platform without a trailing slash.
    client_name : str, default=""
        Name of this instance, sent as ``X-Client``.
    timeout_s : float
        Timeout of a request in seconds.
    """

    base_url: str
    client_name: str = ""
    timeout_s: float = REQUEST_TIMEOUT_S
    _session: aiohttp.ClientSession | None = field(default=None, repr=False)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def transaction(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        operation_id: str,
    ) -> Result[Committed, TransactionError]:
        """Commit all writes if all conditions hold, at most once per operation.

        Returns
        -------
        Result
            `Committed`; `Conflict` or `Unavailable` if it certainly had no effect;
            `Unknown` if it may have had one.
        """
        body = {
            "operation_id": operation_id,
            "conditions": [{"key": c.key, "version": c.version} for c in conditions],
            "writes": [{"key": w.key, "value": w.value} for w in writes],
        }
        timeout_s = self.timeout_s + TIMEOUT_PER_ROW_S * (len(conditions) + len(writes))
        response = await self._request(
            "POST", "/table/transaction", timeout_s, json=body
        )
        if isinstance(response, Failure):
            return response
        status, payload = response.unwrap()
        try:
            if status == 200:
                return Success(Committed(dict(payload["versions"])))
            if status == 409:
                return Failure(Conflict([_decode_row(r) for r in payload["conflicts"]]))
        except (KeyError, TypeError):
            return Failure(Unknown("malformed answer"))
        return Failure(_error_for_status(status))

    async def read(self, key: str) -> Result[TableRow, Unavailable]:
        """Read one row; an absent row has version 0."""
        response = await self._send_read("/table/row", {"key": key})
        return _decode_response(response, _decode_row)

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> Result[list[TableRow], Unavailable]:
        """Read up to `limit` rows with the prefix and a key above `after`."""
        parameters = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._send_read("/table/scan", parameters)
        return _decode_response(
            response, lambda p: [_decode_row(row) for row in p["rows"]]
        )

    async def list_instances(self) -> Result[list[ListedInstance], Unavailable]:
        """Read the instance list, which lags behind registrations."""
        response = await self._send_read("/instances", {})
        return _decode_response(
            response,
            lambda p: [
                ListedInstance(i["name"], i["zone"], i["address"], i["state"])
                for i in p["instances"]
            ],
        )

    async def register_instance(
        self, instance: ListedInstance
    ) -> Result[None, Unavailable | Unknown]:
        """Add this instance to the instance list, or replace its entry."""
        body = {
            "zone": instance.zone,
            "address": instance.address,
            "state": instance.state,
        }
        path = f"/instances/{quote(instance.name, safe='')}"
        return await self._send_write("PUT", path, json=body)

    async def deregister_instance(
        self, name: str
    ) -> Result[None, Unavailable | Unknown]:
        """Remove an instance from the instance list."""
        return await self._send_write("DELETE", f"/instances/{quote(name, safe='')}")

    async def get_object(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object, or None if it is absent."""
        response = await self._request("GET", _object_path(key), raw=True)
        if isinstance(response, Failure):
            return Failure(Unavailable(response.failure().detail))
        status, body = response.unwrap()
        if status == 200:
            return Success(body)
        if status == 404:
            return Success(None)
        return Failure(Unavailable(f"status {status}"))

    async def put_object(
        self, key: str, body: bytes
    ) -> Result[None, Unavailable | Unknown]:
        """Replace an object."""
        return await self._send_write("PUT", _object_path(key), data=body)

    async def admit_load(
        self, adapter: str, version: str
    ) -> Result[float, Unavailable | Unknown | LoadRefused]:
        """Ask the weight store to transfer one adapter version.

        Returns
        -------
        Result
            Duration of the transfer in seconds, or why it was not started.
        """
        path = f"/weights/{quote(adapter, safe='')}/{quote(version, safe='')}"
        response = await self._request("POST", path)
        if isinstance(response, Failure):
            return response
        status, payload = response.unwrap()
        if status == 200:
            return Success(float(payload.get("transit_s", 0.0)))
        if status in (429, 502):
            retry_after_s = float(payload.get("retry_after_s", 0.0))
            return Failure(LoadRefused(str(payload.get("reason")), retry_after_s))
        return Failure(_error_for_status(status))

    async def _send_read(
        self, path: str, parameters: Mapping[str, str]
    ) -> Result[Any, Unavailable]:
        response = await self._request("GET", path, params=parameters)
        if isinstance(response, Failure):
            # Reads have no effect, so a lost reply leaves nothing unknown.
            return Failure(Unavailable(response.failure().detail))
        status, payload = response.unwrap()
        if status != 200:
            return Failure(Unavailable(f"status {status}"))
        return Success(payload)

    async def _send_write(
        self, method: str, path: str, **options: Any
    ) -> Result[None, Unavailable | Unknown]:
        response = await self._request(method, path, raw=True, **options)
        if isinstance(response, Failure):
            return response
        status, _ = response.unwrap()
        return Success(None) if status < 300 else Failure(_error_for_status(status))

    async def _request(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        raw: bool = False,
        **options: Any,
    ) -> Result[tuple[int, Any], Unavailable | Unknown]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or self.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._get_session().request(
                method,
                self.base_url + path,
                allow_redirects=False,
                timeout=timeout,
                **options,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(Unavailable(f"cannot connect: {type(error).__name__}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Unknown(f"no answer: {type(error).__name__}"))
        if raw:
            return Success((response.status, body))
        try:
            return Success((response.status, decode_json(body)))
        except msgspec.DecodeError:
            return Failure(Unknown(f"malformed answer, status {response.status}"))

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=StrictConnector(), headers={"X-Client": self.client_name}
            )
        return self._session


def _object_path(key: str) -> str:
    return f"/objects/{quote(key)}"


def _decode_row(payload: Mapping[str, Any]) -> TableRow:
    return TableRow(payload["key"], int(payload["version"]), payload["value"])


def _decode_response(
    response: Result[Any, Unavailable], decode: Any
) -> Result[Any, Unavailable]:
    if isinstance(response, Failure):
        return response
    try:
        return Success(decode(response.unwrap()))
    except (KeyError, TypeError, ValueError):
        return Failure(Unavailable("malformed answer"))


def _error_for_status(status: int) -> Unavailable | Unknown:
    # The platform responds with 503 before it takes any action and with 4xx to requests
    # that it rejects. With any other status, the request may have had an effect.
    if status == 503 or 400 <= status < 500:
        return Unavailable(f"status {status}")
    return Unknown(f"status {status}")
