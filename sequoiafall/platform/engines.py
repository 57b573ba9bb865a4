"""Client of the platform's model engines: status reports and load orders."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from ..backend_registry import BackendEntry
from ..boot_clock import boot_time
from ..decoding import decode_json
from ..engine_client import StrictConnector
from ..engine_pool import EngineReport
from ..log import log_event, log_warning
from ..serving_ports import EngineControl, EngineOrder, OrderResponse
from . import names
from .dialect import WRONG_SERVER_STATUS, parse_notice
from .rows import Number, UnixMs

CONNECT_TIMEOUT_S = 0.3
# Engines respond within a few ms; a retransmission of a lost packet takes 0.2 s.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.25
# A report with 96 running requests and 48 adapters has 10 KB.
MAX_RESPONSE_BYTES = 256 * 1024
# Messages between instances hold versions of 32 bits.
MAX_VERSION_DIGITS = 9

# The client library raises ValueError and OverflowError for malformed addresses.
_CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    OverflowError,
)

_RESPONSES_BY_STATUS = {
    200: OrderResponse.DONE,
    202: OrderResponse.ACCEPTED,
    409: OrderResponse.CONFLICT,
    412: OrderResponse.FENCED,
    WRONG_SERVER_STATUS: OrderResponse.WRONG_SERVER,
}


class _Model(msgspec.Struct):
    name: str
    # Each adapter is written NAME@VERSION.
    adapters: list[str] = []


class _Copies(msgspec.Struct):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Report(msgspec.Struct):
    # Number of orders that the engine has accepted, not of the report.
    sequence: Number = 0
    models: list[_Model] = []
    # Adapters that are being loaded, each written MODEL/NAME@VERSION.
    incoming: list[str] = []
    running: Number = 0
    waiting: Number = 0
    born: UnixMs = 0
    # Whether a base model is being loaded; loads of adapters do not count.
    busy: bool | None = None
    # Local copies of base models, which load without the weight store.
    available: _Copies = msgspec.field(default_factory=_Copies)


class PlatformEngines(EngineControl):
    """Fetches reports and sends orders over persistent connections, without retries."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def report(self, entry: BackendEntry) -> EngineReport | None:
        """Fetch the report of an engine; return None if that fails."""
        sent_at = boot_time()
        try:
            async with self._get_session().get(
                f"http://{entry.address}{names.REPORT_PATH}",
                headers={names.EXPECTED_SERVER: entry.name},
                allow_redirects=False,
            ) as response:
                content = await _read_up_to(response, MAX_RESPONSE_BYTES)
                self._pass_notice_on(entry, response, "report", sent_at)
                if response.status != 200:
                    return None
        except _CALL_ERRORS as error:
            log_warning("report_failed", server=entry.name, error=type(error).__name__)
            return None
        try:
            report = decode_json(content, _Report)
        except msgspec.DecodeError as error:
            log_warning("report_unreadable", server=entry.name, error=error)
            return None
        resident: dict[str, int] = {}
        for model in report.models:
            resident.update(_parse_versions(model.adapters))
        incoming = _parse_versions(text.partition("/")[2] for text in report.incoming)
        return EngineReport(
            report.sequence,
            resident,
            incoming,
            report.running,
            report.waiting,
            report.born,
            frozenset(model.name for model in report.models),
            report.busy,
            frozenset(report.available.in_memory + report.available.on_disk),
        )

    async def order(self, entry: BackendEntry, order: EngineOrder) -> OrderResponse:
        """Send an order without retries."""
        body: dict[str, Any] = {
            "operation": "model_load" if order.is_load else "model_unload",
            "model": order.model,
            "holder": order.holder,
            "fencing_token": order.fencing_token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        if order.sequence >= 0:
            body["precondition"] = order.sequence
        if order.is_load and order.version:
            body["version"] = order.version
        sent_at = boot_time()
        try:
            async with self._get_session().post(
                f"http://{entry.address}{names.ORDER_PATH}",
                data=msgspec.json.encode(body),
                headers={
                    "Content-Type": "application/json",
                    names.EXPECTED_SERVER: entry.name,
                },
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=ORDER_TIMEOUT_S, sock_connect=ORDER_TIMEOUT_S
                ),
            ) as response:
                await _read_up_to(response, MAX_RESPONSE_BYTES)
                self._pass_notice_on(entry, response, "order", sent_at)
        except _CALL_ERRORS as error:
            log_warning("order_failed", server=entry.name, error=type(error).__name__)
            return OrderResponse.NO_RESPONSE
        return _RESPONSES_BY_STATUS.get(response.status, OrderResponse.INVALID)

    async def is_at_address(self, entry: BackendEntry, health_path: str) -> bool:
        """Ask a server for its health.

        A server names itself if it is healthy. One that is full rejects the request.
        """
        try:
            async with self._get_session().get(
                f"http://{entry.address}{health_path}",
                headers={names.EXPECTED_SERVER: entry.name},
                allow_redirects=False,
            ) as response:
                await _read_up_to(response, MAX_RESPONSE_BYTES)
        except _CALL_ERRORS as error:
            log_event("health_failed", server=entry.name, error=type(error).__name__)
            return False
        if response.status == 200:
            return response.headers.get(names.SERVER_ID) == entry.name
        return response.status == 503 and names.NOT_RUN in response.headers

    def _pass_notice_on(
        self,
        entry: BackendEntry,
        response: aiohttp.ClientResponse,
        source: str,
        sent_at: float,
    ) -> None:
        if self.on_notice is None:
            return
        notice = parse_notice(response.status, response.headers)
        is_other_server = response.status == WRONG_SERVER_STATUS
        self.on_notice(entry, notice, source, 0.0 if is_other_server else sent_at)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(
                    total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
                connector=StrictConnector(),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
            # Stops aiohttp from retrying a request by itself.
            self._session._retry_connection = False
        return self._session


async def _read_up_to(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Read the body of a response.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is longer than `limit_bytes`.
    """
    parts: list[bytes] = []
    size = 0
    while chunk := await response.content.readany():
        size += len(chunk)
        if size > limit_bytes:
            response.close()
            raise aiohttp.ClientPayloadError("the answer is too long")
        parts.append(chunk)
    return b"".join(parts)


def _parse_versions(texts: Any) -> dict[str, int]:
    versions = {}
    for text in texts:
        name, _, version = text.partition("@")
        is_number = version.isascii() and version.isdigit()
        is_number &= len(version) <= MAX_VERSION_DIGITS
        versions[name] = int(version) if is_number else 1
    return versions
