"""Client of the platform's store, which implements `RowStore`."""

from __future__ import annotations

import base64
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..decoding import decode_json
from ..engine_client import StrictConnector
from ..log import log_event
from ..row_store import (
    VERSIONS_PER_ERA,
    HistoryLost,
    Rejected,
    Rows,
    RowStore,
    StoreRow,
    era_of,
)
from ..store_results import Unavailable, Unknown
from . import names

# Below the second after which the kernel retransmits a lost SYN.
CONNECT_TIMEOUT_S = 0.4
# The store responds within 5 ms; when it is slow, it takes up to 60 times as long.
RESPONSE_TIMEOUT_S = 0.9
# Limit of rows per response in the platform's protocol.
MAX_PAGE_ROWS = 500
# Era of a store that has never come back from a copy, or that names none.
FIRST_ERA = 1
# Versions of further eras would not fit the numbers of JSON (53 bits).
MAX_ERA = 4096
# Length of a decoder's message in a log line.
MAX_REASON_CHARS = 120


class _Row(msgspec.Struct):
    """A row as sent by the store; `value` is base64-encoded."""

    table: str
    key: str
    row_version: int
    part: str = ""
    value: bytes | None = None
    deleted: bool = False


class _StoreResponse(msgspec.Struct):
    """A response of the store; each call returns some of these fields."""

    row_version: int = 0
    rows: list[_Row] = []
    has_more: bool = False
    # Era in which the store responded; set from the header of the response.
    era: int = 1

    @property
    def version(self) -> int:
        """Newest version of the store."""
        return _version(self.row_version, self.era)

    def store_rows(self) -> list[StoreRow]:
        """Return the rows of the empty part, the only one that sequoiafall uses."""
        return [
            StoreRow(
                row.table,
                row.key,
                row.value or b"",
                _version(row.row_version, self.era),
                row.deleted,
            )
            for row in self.rows
            if not row.part
        ]


class PlatformRowStore(RowStore):
    """Calls the store over HTTP, without retries.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    source : str, default=""
        Local IP address of connections; by default the operating system chooses.

    Attributes
    ----------
    era : int
        Latest era that the store has named.
    """

    def __init__(self, address: str, source: str = "") -> None:
        self._base_url = f"http://{address}"
        self._source = source
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0
        self.failures = 0
        self.era = FIRST_ERA

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, table: str, key: str) -> Result[StoreRow | None, Unavailable]:
        """Return a row, or None if it does not exist."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        response = await self._get(names.ROWS_PATH, query, RESPONSE_TIMEOUT_S)
        if not isinstance(response, Success):
            return _unavailable_result(response)
        rows = response.unwrap().store_rows()
        return Success(rows[0] if rows and rows[0].key == key else None)

    async def scan(self, table: str) -> Result[Rows, Unavailable]:
        """Return all rows of a table, with the version of the first page."""
        rows: list[StoreRow] = []
        version = -1
        era = 0
        query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
        while True:
            response = await self._get(names.ROWS_PATH, query, RESPONSE_TIMEOUT_S)
            if not isinstance(response, Success):
                return _unavailable_result(response)
            body = response.unwrap()
            if version >= 0 and era != body.era:
                return Failure(Unavailable("the store came back older meanwhile"))
            era = body.era
            page_rows = body.store_rows()
            rows.extend(page_rows)
            if version < 0:
                version = body.version
            if not body.has_more or not page_rows:
                return Success(Rows(rows, version))
            # The range starts with the key itself; a zero byte gives the next key.
            query["from"] = page_rows[-1].key + "\0"

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Rows, Unavailable | HistoryLost]:
        """Return the rows that changed after a version."""
        if self._is_of_earlier_era(after):
            return Failure(HistoryLost())
        query = {
            "table": table,
            "after": str(after % VERSIONS_PER_ERA),
            "wait_ms": str(int(wait_s * 1e3)),
        }
        response = await self._get(names.FEED_PATH, query, RESPONSE_TIMEOUT_S + wait_s)
        if not isinstance(response, Success):
            failure = response.failure()
            return Failure(
                HistoryLost() if failure == 410 else _as_unavailable(failure)
            )
        body = response.unwrap()
        if era_of(after) != body.era - FIRST_ERA:
            # The version may have been given out again meanwhile.
            return Failure(HistoryLost())
        version = body.version if body.row_version else after
        return Success(Rows(body.store_rows(), version))

    async def replace(
        self, table: str, key: str, value: bytes, version: int
    ) -> Result[int, Unavailable | Unknown | Rejected]:
        """Write a row if it still has `version`.

        In a new era of the store, another row may have the same number.
        """
        if version and self._is_of_earlier_era(version):
            current = await self.read(table, key)
            if not isinstance(current, Success):
                return Failure(current.failure())
            return Failure(Rejected(current.unwrap()))
        era = self.era
        row_id = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode()
        body = {
            "precondition": [{**row_id, "row_version": version % VERSIONS_PER_ERA}],
            "put": [{**row_id, "value": encoded}],
            "remove": [],
        }
        self.calls += 1
        try:
            async with self._get_session().post(
                self._base_url + names.TRANSACTION_PATH,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                allow_redirects=False,
                timeout=_timeout(RESPONSE_TIMEOUT_S),
            ) as response:
                content = await response.read()
                counts, answered_era = self._observe_era(response), self.era
        except aiohttp.ClientConnectorError as error:
            self.failures += 1
            return Failure(Unavailable(type(error).__name__))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.failures += 1
            return Failure(Unknown(type(error).__name__))
        if not counts:
            self.failures += 1
            return Failure(Unknown("the answer is of an earlier era"))
        if response.status not in (200, 412):
            self.failures += 1
            return Failure(Unavailable(f"status {response.status}"))
        decoded = _decode(names.TRANSACTION_PATH, content, answered_era)
        if not isinstance(decoded, Success):
            self.failures += 1
            return Failure(Unknown(decoded.failure()))
        if response.status == 412:
            rows = decoded.unwrap().store_rows()
            return Failure(Rejected(rows[0] if rows else None))
        answer = decoded.unwrap()
        if answer.row_version <= 0:
            self.failures += 1
            return Failure(Unknown("the answer names no version"))
        if version and era != answered_era:
            self.failures += 1
            return Failure(Unknown("the store came back older meanwhile"))
        return Success(answer.version)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Result[_StoreResponse, int | str]:
        self.calls += 1
        try:
            async with self._get_session().get(
                self._base_url + path,
                params=query,
                allow_redirects=False,
                timeout=_timeout(timeout_s),
            ) as response:
                content = await response.read()
                counts, era = self._observe_era(response), self.era
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.failures += 1
            return Failure(type(error).__name__)
        if not counts:
            self.failures += 1
            return Failure("the answer is of an earlier era")
        if response.status != 200:
            self.failures += 1
            return Failure(response.status)
        decoded = _decode(path, content, era)
        if not isinstance(decoded, Success):
            self.failures += 1
        return decoded

    def _observe_era(self, response: aiohttp.ClientResponse) -> bool:
        """Record the era that a response names.

        Returns
        -------
        bool
            Whether the response counts: one of an earlier era is outdated.
        """
        text = response.headers.get(names.STORE_ERA)
        if text is None:
            return True
        if not (text.isascii() and text.isdigit() and 0 < int(text) <= MAX_ERA):
            log_event("store_era_unreadable", text=text[:20], era=self.era)
            return True
        era = int(text)
        if era < self.era:
            log_event("store_era_outdated", era=era, newest=self.era)
            return False
        if era > self.era:
            log_event("store_era", era=era, before=self.era)
            self.era = era
        return True

    def _is_of_earlier_era(self, version: int) -> bool:
        return era_of(version) < self.era - FIRST_ERA

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            source = (self._source, 0) if self._source else None
            self._session = aiohttp.ClientSession(
                connector=StrictConnector(local_addr=source),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
            # Stops aiohttp from retrying a request by itself.
            self._session._retry_connection = False
        return self._session


def _version(number: int, era: int) -> int:
    """Return the version of a transaction number in an era that the store named."""
    return (era - FIRST_ERA) * VERSIONS_PER_ERA + number


def _timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)


def _as_unavailable(failure: int | str) -> Unavailable:
    return Unavailable(f"status {failure}" if isinstance(failure, int) else failure)


def _unavailable_result(response: Result[Any, int | str]) -> Failure[Unavailable]:
    return Failure(_as_unavailable(response.failure()))


def _decode(path: str, content: bytes, era: int) -> Result[_StoreResponse, str]:
    try:
        response = decode_json(content, _StoreResponse)
        response.era = era
        return Success(response)
    except msgspec.DecodeError as error:
        reason = str(error)[:MAX_REASON_CHARS]
        log_event(
            "store_answer_unreadable", path=path, bytes=len(content), reason=reason
        )
        return Failure(f"the answer cannot be read: {reason}")
