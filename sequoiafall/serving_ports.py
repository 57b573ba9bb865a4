"""Interfaces (ports) between the serving layer and the platform that it runs on.

A platform adapter implements these classes. It only translates names, formats and
calls; decisions are made by the users of these classes.
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
    """Decoded request of a caller, with its complete body.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    method, target, host, path : str
        HTTP method, path with query as received, host, and path without query.
    headers : CIMultiDict
        Headers to forward to a backend server.
    body : bytes
        Request body.
    key : str
        API key of the caller, empty if there is none.
    time_left_s : float
        Seconds until the caller's deadline.
    model, adapter : str
        Model and adapter, empty if the request names none.
    prompt_tokens, output_tokens : int or None
        Size of the request in tokens, None if the request does not state it.
    resume_after : int
        Number of the last event that the caller has received, -1 for none.
    shared_parts : tuple of str
        Identifiers of the parts of the prompt that other requests may share.
    identity : str
        What the attempts of the same request have in common, see
        `request_identity`; empty until the caller is authenticated.
    run_id : str
        Identifier in messages between instances, see `run_id`; `request_id` if empty.
    resumes : str
        Identifier of the caller's attempt that brought the first event of the stream
        that this request takes up, empty if it names none.
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
    shared_parts: tuple[str, ...] = ()
    identity: str = ""
    run_id: str = ""
    resumes: str = ""

    def __post_init__(self) -> None:
        self.run_id = self.run_id or self.request_id

    @property
    def suspects(self) -> tuple[str, ...]:
        """What a crash of the server may be due to, see `crash_evidence`."""
        if not self.identity:
            return self.shared_parts
        return (self.identity, *self.shared_parts)


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt to send a request to a backend server.

    Parameters
    ----------
    server : str
        Name that the server must have to run the request.
    organisation : str
        Organisation of the caller, empty on open routes.
    version : int
        Version that the adapter must have, 0 for any.
    time_left_s : float
        Seconds until the deadline that the server gets.
    resume_after : int
        Number of the event after which the stream continues, -1 for the beginning.
    """

    server: str
    organisation: str
    version: int
    time_left_s: float
    resume_after: int


class ResponseKind(enum.Enum):
    """Classification of a backend server's response by its status and headers.

    Attributes
    ----------
    NOT_RUN
        The server did not run the request.
    WRONG_SERVER
        The server at the address is another one than expected.
    WRONG_REQUEST
        The response belongs to another request or does not name its request.
    UNSIGNED
        The response lacks the signature that responses of a server carry.
    FAILURE, SUCCESS
        The server ran the request and reports a failure or a success.
    """

    NOT_RUN = "not run"
    WRONG_SERVER = "wrong server"
    WRONG_REQUEST = "foreign"
    UNSIGNED = "unsigned"
    FAILURE = "failure"
    SUCCESS = "success"


class Dialect(abc.ABC):
    """Translates HTTP requests and responses of callers and backend servers."""

    @abc.abstractmethod
    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return the identifier of a request, empty if it has none."""

    @abc.abstractmethod
    def read_request(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        ValueError
            If the request identifier is missing or a header is malformed.
        """

    @abc.abstractmethod
    def attempt_headers(
        self, request: CallerRequest, attempt: Attempt
    ) -> CIMultiDict[str]:
        """Return the request headers for one attempt."""

    @abc.abstractmethod
    def classify(
        self, status: int, headers: Mapping[str, str], request: CallerRequest
    ) -> ResponseKind:
        """Classify a backend server's response to a request."""

    @abc.abstractmethod
    def server_notice(self, status: int, headers: Mapping[str, str]) -> ServerNotice:
        """Return what a response says about the state of its server."""

    @abc.abstractmethod
    def response_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a backend server's response to pass to the caller."""


class RowDecoder(abc.ABC):
    """Decodes table rows written by the operator and the backend servers.

    Attributes
    ----------
    configuration_table, backend_table : str
        Names of the tables with the configuration and with the backend servers.
    """

    configuration_table: str
    backend_table: str

    @abc.abstractmethod
    def catalog(self, row: StoreRow) -> Result[Catalog, str] | None:
        """Decode the configuration; None if the row holds something else."""

    @abc.abstractmethod
    def adapter_version(self, row: StoreRow) -> Result[tuple[str, int], str] | None:
        """Decode a declared adapter version; None if the row holds something else."""

    @abc.abstractmethod
    def backend(self, row: StoreRow) -> Result[BackendEntry, str]:
        """Decode the registry entry of a backend server."""


class OrderResponse(enum.Enum):
    """How an engine responded to an order; not whether the order took effect."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_SERVER = "wrong server"
    INVALID = "invalid"
    NO_RESPONSE = "no answer"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to load or unload an adapter.

    Parameters
    ----------
    is_load : bool
        Whether to load or to unload the adapter.
    model, adapter : str
        Model and adapter.
    version : int
        Version to load, 0 for the latest.
    sequence : int
        Number of orders that the engine must have accepted before, -1 for any.
    holder : str
        Name of the instance that sends the order.
    fencing_token : int
        Fencing token of the holder's lease.
    """

    is_load: bool
    model: str
    adapter: str
    version: int
    sequence: int
    holder: str
    fencing_token: int


class EngineControl(abc.ABC):
    """Sends orders to engines and fetches their reports.

    Attributes
    ----------
    on_notice : callable or None
        Called for each response with the engine, what the response says about its
        state, the kind of call, and the time at which the call was sent in seconds
        of `boot_time`; 0 if another server may have responded.
    """

    on_notice: Callable[[BackendEntry, ServerNotice, str, float], None] | None = None

    @abc.abstractmethod
    async def report(self, entry: BackendEntry) -> EngineReport | None:
        """Return an engine's report, or None if it cannot be fetched."""

    @abc.abstractmethod
    async def order(self, entry: BackendEntry, order: EngineOrder) -> OrderResponse:
        """Send an order once, without retries, and return the response to it."""

    @abc.abstractmethod
    async def is_at_address(self, entry: BackendEntry, health_path: str) -> bool:
        """Return whether a server, and no other one, listens at its address."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
