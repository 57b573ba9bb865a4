"""Headers of the platform's requests and responses."""

from __future__ import annotations

import math
from collections.abc import Mapping

from multidict import CIMultiDict

from ..server_notices import NO_NOTICE, ServerNotice
from ..serving_ports import Attempt, CallerRequest, Dialect, ResponseKind
from . import names

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "http2-settings",
    )
)
# Response of a server at an address that now belongs to another one.
WRONG_SERVER_STATUS = 421
# Parts of a prompt that are read from its header; further ones are ignored.
MAX_PROMPT_PARTS = 32
# Messages between instances hold the sum of both counts of tokens in 32 bits.
MAX_TOKENS = 2**30 - 1
_BEARER = "bearer "


class PlatformDialect(Dialect):
    """Translates the headers of requests and responses."""

    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return the identifier of a request, empty if it has none."""
        return headers.get(names.REQUEST_ID, "")

    def read_request(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> CallerRequest:
        """Parse a caller's request.

        Raises
        ------
        ValueError
            If the request identifier is missing, a number is malformed or out of
            range, or the target or a header is not UTF-8.
        """
        request_id = self.request_id(headers)
        if not request_id:
            raise ValueError(f"{names.REQUEST_ID}: a value is missing")
        _check_encoding(target, headers)
        model, _, adapter = headers.get(names.MODEL, "").partition("/")
        prompt_tokens, output_tokens = _parse_tokens(headers.get(names.TOKENS, ""))
        authorization = headers.get("Authorization", "")
        is_bearer = authorization[: len(_BEARER)].lower() == _BEARER
        return CallerRequest(
            request_id,
            method,
            target,
            headers.get("Host", ""),
            target.partition("?")[0],
            _forwarded_headers(headers),
            body,
            authorization[len(_BEARER) :].strip() if is_bearer else "",
            _parse_number(headers, names.DEADLINE_MS, 60_000) / 1e3,
            model,
            adapter,
            prompt_tokens,
            output_tokens,
            int(_parse_number(headers, names.LAST_EVENT, -1)),
            _shared_parts(headers.get(names.PROMPT_PARTS, "")),
            resumes=headers.get(names.RESUMES, ""),
        )

    def attempt_headers(
        self, request: CallerRequest, attempt: Attempt
    ) -> CIMultiDict[str]:
        """Return the headers of one attempt at a backend server."""
        headers = request.headers.copy()
        left_ms = max(1, int(attempt.time_left_s * 1e3))
        headers[names.DEADLINE_MS] = str(left_ms)
        headers[names.EXPECTED_SERVER] = attempt.server
        if attempt.organisation:
            headers[names.ORGANISATION] = attempt.organisation
        if attempt.version:
            headers[names.EXPECTED_VERSION] = str(attempt.version)
        if attempt.resume_after >= 0:
            headers[names.LAST_EVENT] = str(attempt.resume_after)
        return headers

    def classify(
        self, status: int, headers: Mapping[str, str], request: CallerRequest
    ) -> ResponseKind:
        """Classify the response of a backend server."""
        echoed = headers.get(names.REQUEST_ID)
        if echoed is not None and echoed != request.request_id:
            return ResponseKind.WRONG_REQUEST
        if status == WRONG_SERVER_STATUS:
            return ResponseKind.WRONG_SERVER
        if names.NOT_RUN in headers:
            return ResponseKind.NOT_RUN
        if not headers.get(names.SIGNATURE) or "Content-Encoding" in headers:
            return ResponseKind.UNSIGNED
        if echoed is None:
            return ResponseKind.WRONG_REQUEST
        return ResponseKind.SUCCESS if 200 <= status < 300 else ResponseKind.FAILURE

    def server_notice(self, status: int, headers: Mapping[str, str]) -> ServerNotice:
        """Return what a response says about the state of its server."""
        return parse_notice(status, headers)

    def response_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers that are passed on to the caller."""
        return _without_hop_by_hop(headers, frozenset())


def parse_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Return the notice that a server gave in the headers of a response."""
    if status == WRONG_SERVER_STATUS:
        # A different server listens at the address.
        return NO_NOTICE
    is_leaving = headers.get(names.LEAVING, "").strip() == "1"
    pause = headers.get(names.RETRY_AFTER, "").strip() if status == 503 else ""
    limit = headers.get(names.LIMIT, "").strip()
    if not (is_leaving or pause or limit):
        return NO_NOTICE
    return ServerNotice(is_leaving, pause, limit)


def _without_hop_by_hop(
    headers: Mapping[str, str], exempt: frozenset[str]
) -> CIMultiDict[str]:
    connection_options = {
        name.strip().lower()
        for value in CIMultiDict(headers).getall("Connection", [])
        for name in value.split(",")
    } - exempt
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    )


def _forwarded_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    forwarded = _without_hop_by_hop(headers, names.REQUEST_HEADERS)
    for name in names.SYSTEM_HEADERS:
        forwarded.popall(name, None)
    return forwarded


def _parse_number(headers: Mapping[str, str], name: str, default: float) -> float:
    text = headers.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number):
        return number
    if name == names.LAST_EVENT:
        return default
    raise ValueError(f"{name}: expected a number")


def _check_encoding(target: str, headers: Mapping[str, str]) -> None:
    """Raise an error for text that could not be forwarded unchanged."""
    for name, value in (("target", target), *headers.items()):
        try:
            value.encode()
        except UnicodeEncodeError:
            raise ValueError(f"{name}: expected UTF-8") from None


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the identifiers of a prompt's parts, without the last.

    The last part belongs to the request or its session alone.
    """
    parts = text.split(",", MAX_PROMPT_PARTS)[:-1]
    identifiers = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(dict.fromkeys(name for name in identifiers if name))


def _parse_tokens(text: str) -> tuple[int | None, int | None]:
    if not text:
        return None, None
    prompt, _, output = text.partition(",")
    try:
        counts = int(prompt), int(output or "0")
    except ValueError:
        raise ValueError(f"{names.TOKENS}: expected two numbers") from None
    if not all(0 <= count <= MAX_TOKENS for count in counts):
        raise ValueError(f"{names.TOKENS}: expected numbers from 0 to {MAX_TOKENS}")
    return counts
