"""What the serving layer needs from the platform that it runs on.

An adapter of a platform implements these classes. It translates names, formats
and calls; decisions are made by the callers of these classes.
"""

from __future__ import annotations

import abc
import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict
from returns.result import Result

from .backend_registry import BackendEntry
from .catalog import Catalog
from .engine_pool import EngineReport
from .row_store import StoreRow
from .server_notices import ServerNotice


@dataclass(slots=True)
class CallerRequest:
    """A caller's request, read whole.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller.
    method, target, host, path : str
        HTTP method, path with query as received, host, and path alone.
    headers : CIMultiDict
        Headers that are forwarded to a backend server.
    body : bytes
        Body.
    key : str
        Key of the caller, empty if none came.
    time_left_s : float
        Time that the caller waits.
    model, adapter : str
        Model and adapter, empty if none is named.
    prompt_tokens, output_tokens : int or None
        Size of the request, None if it is not named.
    resume_after : int
        Number of the last event that the caller has, -1 for none.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    key: str
    time_left_s: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    resume_after: int = -1


@dataclass(slots=True, frozen=True)
class Attempt:
    """One send of a request to one backend server.

    Parameters
    ----------
    server : str
        Identity that the server must have to run the request.
    organisation : str
        Organisation of the caller, empty on open routes.
    version : int
        Version that the adapter must have, 0 if none was named.
    time_left_s : float
        Time that the server gets.
    resume_after : int
        Number of the last event that is not wanted again, -1 for none.
    """

    server: str
    organisation: str
    version: int
    time_left_s: float
    resume_after: int


class ResponseKind(enum.Enum):
    """What the headers of a backend server's answer say."""

    NOT_RUN = "not run"
    WRONG_SERVER = "wrong server"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    FAILURE = "failure"
    SUCCESS = "success"


class Dialect(abc.ABC):
    """How callers and backend servers name what a request carries."""

    @abc.abstractmethod
    def read_request(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        ValueError
            If the request lacks its identity or a header cannot be read.
        """

    @abc.abstractmethod
    def attempt_headers(
        self, request: CallerRequest, attempt: Attempt
    ) -> CIMultiDict[str]:
        """Return the headers of one send."""

    @abc.abstractmethod
    def classify(
        self, status: int, headers: Mapping[str, str], request: CallerRequest
    ) -> ResponseKind:
        """Tell what an answer says."""

    @abc.abstractmethod
    def server_notice(self, status: int, headers: Mapping[str, str]) -> ServerNotice:
        """Tell what an answer says of its server."""

    @abc.abstractmethod
    def response_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a backend server's answer that a caller gets."""


class RowDecoder(abc.ABC):
    """Decodes the rows that the operator and the backend servers write."""

    configuration_table: str
    backend_table: str

    @abc.abstractmethod
    def catalog(self, row: StoreRow) -> Result[Catalog, str] | None:
        """Decode the configuration; None if the row is another one."""

    @abc.abstractmethod
    def adapter_version(self, row: StoreRow) -> Result[tuple[str, int], str] | None:
        """Decode a declared version of an adapter; None if the row is another one."""

    @abc.abstractmethod
    def backend(self, row: StoreRow) -> Result[BackendEntry, str]:
        """Decode the entry of a backend server."""


class OrderResult(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_SERVER = "wrong server"
    INVALID = "invalid"
    NO_ANSWER = "no answer"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to load or unload an adapter.

    Parameters
    ----------
    is_load : bool
        Whether the adapter is loaded or unloaded.
    model, adapter : str
        Model and adapter.
    version : int
        Version to load, 0 for the newest.
    sequence : int
        Orders that the engine must have accepted before, -1 for any number.
    holder : str
        Who orders.
    fencing_token : int
        Token of the holder's lease.
    """

    is_load: bool
    model: str
    adapter: str
    version: int
    sequence: int
    holder: str
    fencing_token: int


class EngineControl(abc.ABC):
    """Orders to engines and their reports.

    Attributes
    ----------
    on_notice : callable or None
        Called with an engine, what its answer says of it, and the kind of call.
    """

    on_notice: Callable[[BackendEntry, ServerNotice, str], None] | None = None

    @abc.abstractmethod
    async def report(self, entry: BackendEntry) -> EngineReport | None:
        """Return an engine's report, None if it cannot be had."""

    @abc.abstractmethod
    async def order(self, entry: BackendEntry, order: EngineOrder) -> OrderResult:
        """Send an order once."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
