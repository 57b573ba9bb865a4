"""Check of the status line and fields of an HTTP/1.1 response, without I/O.

The parsers of the client library repair or accept heads that RFC 9112 tells a gateway
to discard, and differ in which. Only heads that pass this check reach them.
"""

from __future__ import annotations

import re

import aiohttp

# Bytes of a response's head, including interim responses before it.
MAX_HEAD_BYTES = 128 * 1024
# Bytes of a malformed line that are logged.
MAX_QUOTED_BYTES = 60

_PROTOCOL = b"HTTP/1."
# Control characters except the tab are not allowed in texts (RFC 9110, section 5.5).
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# The blank before an empty reason is left out by some servers.
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r\n")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb")\r\n")
# Eighteen digits fit into the 64 bits that parsers use.
_LENGTH = re.compile(rb"[0-9]{1,18}")
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class ResponseHeadError(aiohttp.ClientError):
    """The head of a response is malformed or does not suit the request.

    Callers handle it like every other error of the client library.
    """


class ResponseHeadReader:
    """Collects the head of the response to one request and checks it.

    Interim responses (1xx) are checked and left out. Requests never ask for another
    protocol, so a response with the status 101 is an error.
    """

    __slots__ = (
        "_buffer",
        "_dropped_bytes",
        "_has_length",
        "_is_chunked",
        "_is_http_1_0",
        "_line_start",
        "_scanned",
        "_status",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._dropped_bytes = 0
        self._begin()

    def _begin(self) -> None:
        # Start of the line that is not checked yet, and of the bytes not searched.
        self._line_start = 0
        self._scanned = 0
        # 0 before the status line.
        self._status = 0
        self._is_http_1_0 = False
        self._has_length = False
        self._is_chunked = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        Parameters
        ----------
        data : bytes
            Bytes that follow those of earlier calls.

        Returns
        -------
        bytes
            Empty until the head of the final response is complete; then that head
            and all bytes after it.

        Raises
        ------
        ResponseHeadError
            If the head is malformed, ambiguous about the body, or too long.
        """
        buffer = self._buffer
        buffer += data
        while True:
            line_end = buffer.find(b"\n", self._scanned) + 1
            if self._dropped_bytes + (line_end or len(buffer)) > MAX_HEAD_BYTES:
                raise ResponseHeadError(f"the head exceeds {MAX_HEAD_BYTES} bytes")
            if not line_end:
                break
            self._scanned = line_end
            if not self._status:
                self._check_status_line(line_end)
            elif line_end - self._line_start > 2 or buffer[self._line_start] != 13:
                self._check_field_line(line_end)
            elif self._end_head(line_end):
                return bytes(buffer)
            else:
                continue
            self._line_start = line_end
        self._scanned = len(buffer)
        if not self._status and not _PROTOCOL.startswith(buffer[: len(_PROTOCOL)]):
            raise ResponseHeadError(f"status line {_quoted(buffer)}")
        return b""

    def _check_status_line(self, line_end: int) -> None:
        match = _STATUS_LINE.fullmatch(self._buffer, 0, line_end)
        if match is None:
            raise ResponseHeadError(f"status line {_quoted(self._buffer[:line_end])}")
        self._status = int(match[2])
        self._is_http_1_0 = match[1] == b"0"
        if self._status == _SWITCHING_PROTOCOLS:
            raise ResponseHeadError("status 101 without a request for it")

    def _check_field_line(self, line_end: int) -> None:
        match = _FIELD_LINE.fullmatch(self._buffer, self._line_start, line_end)
        if match is None:
            line = self._buffer[self._line_start : line_end]
            raise ResponseHeadError(f"field line {_quoted(line)}")
        name = match[1].lower()
        if name == b"content-length":
            self._check_content_length(bytes(match[2]).strip(b" \t"))
        elif name == b"transfer-encoding":
            self._check_transfer_coding(bytes(match[2]).strip(b" \t"))

    def _check_content_length(self, value: bytes) -> None:
        if self._has_length:
            raise ResponseHeadError("several Content-Length fields")
        if not _LENGTH.fullmatch(value):
            raise ResponseHeadError(f"Content-Length {_quoted(value)}")
        self._has_length = True

    def _check_transfer_coding(self, value: bytes) -> None:
        if self._is_chunked:
            raise ResponseHeadError("several Transfer-Encoding fields")
        if value.lower() != b"chunked":
            # Bodies are passed on without any other coding being removed.
            raise ResponseHeadError(f"Transfer-Encoding {_quoted(value)}")
        self._is_chunked = True

    def _end_head(self, line_end: int) -> bool:
        """Return whether the head is that of a final response."""
        if self._is_chunked and self._has_length:
            raise ResponseHeadError("both Content-Length and Transfer-Encoding")
        if self._is_chunked and self._is_http_1_0:
            raise ResponseHeadError("Transfer-Encoding in HTTP/1.0")
        if self._status >= _FIRST_FINAL_STATUS:
            return True
        del self._buffer[:line_end]
        self._dropped_bytes += line_end
        self._begin()
        return False


def _quoted(line: bytes | bytearray) -> str:
    """Return the beginning of a malformed line in printable ASCII."""
    end = "..." if len(line) > MAX_QUOTED_BYTES else ""
    return f"{bytes(line[:MAX_QUOTED_BYTES])!r}{end}"
