"""Detects a caller's key in texts that would reach a backend server."""

from __future__ import annotations

import base64
import json
import re
from collections.abc import Iterable, Iterator
from typing import Any
from urllib.parse import unquote_to_bytes

import msgspec

from .decoding import decode_json

# The encoded form of a shorter secret can occur by chance in other text.
MIN_ENCODED_SECRET_BYTES = 8

PERCENT_LAYERS = 2

# Decoding takes about 0.4 us for each percent sign. A body of 4 MiB that is full
# of them would block the event loop for half a second.
MAX_DECODED_ESCAPES = 4096

# Strings of JSON that are decoded at a time. As Python objects, the values of a body
# take up to 45 times its bytes.
MAX_STRINGS_BYTES = 64 * 1024
# A string of JSON with an escape, after text and strings without one.
_ESCAPED_STRING = re.compile(
    rb'(?:[^"]++|"[^"\\]*+")*+("[^"\\]*+(?:\\.[^"\\]*+)++")', re.DOTALL
)

_TO_STANDARD_ALPHABET = bytes.maketrans(b"-_", b"+/")
_LINE_BREAKS = b"\r\n"
_BASE64_ESCAPES = (
    (b"%2B", b"+"),
    (b"%2b", b"+"),
    (b"%2F", b"/"),
    (b"%2f", b"/"),
    (b"%0D", b""),
    (b"%0d", b""),
    (b"%0A", b""),
    (b"%0a", b""),
)
# Joins JSON strings for the search; a secret from a header cannot contain it.
_SEPARATOR = "\0"


def contains_secret(secret: str, texts: Iterable[str | bytes]) -> bool:
    """Return whether a key's secret occurs in texts for a backend server.

    Each text is searched verbatim, percent-decoded once and twice, and as JSON. In
    each of these forms the secret is found verbatim and within base64 of the
    standard or the URL-safe alphabet, with or without padding or line breaks, at
    any position (and thus within credentials of the ``Basic`` scheme).

    A text with more than `MAX_DECODED_ESCAPES` percent signs is not decoded. The
    secret is still found there with any of its characters percent-encoded once, or
    twice as ``%25`` and two digits, and base64 with only its ``+``, ``/`` and line
    breaks encoded so.

    Not covered: compressed, encrypted, hexadecimal or base32 text, HTML entities,
    UTF-16, JSON within a JSON string, base64 of an escaped secret or of base64,
    base64 of secrets below `MIN_ENCODED_SECRET_BYTES`, more than two percent
    encodings, and a secret that is split into parts.
    """
    if not secret:
        return False
    scanner = _SecretScanner(secret)
    for text in texts:
        data = text.encode() if isinstance(text, str) else text
        if scanner.matches(data):
            return True
        if b"\\" in data and _json_contains(scanner, data):
            return True
    return False


def value_contains_secret(secret: str, value: Any) -> bool:
    """Return whether a secret occurs in a decoded JSON value or its keys.

    The strings are searched like the texts of `contains_secret`.
    """
    return bool(secret) and _SecretScanner(secret).matches(_joined_strings(value))


class _SecretScanner:
    """Searches data for one secret in its encodings."""

    __slots__ = ("_base64_patterns", "_secret")

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()
        self._base64_patterns = _base64_patterns_of(self._secret)

    @property
    def secret(self) -> str:
        return self._secret.decode()

    def matches(self, data: bytes) -> bool:
        if data.count(b"%") > MAX_DECODED_ESCAPES:
            return self._matches_undecoded(data)
        return any(self._matches_plain(layer) for layer in _percent_layers(data))

    def _matches_plain(self, data: bytes) -> bool:
        if self._secret in data:
            return True
        if not self._base64_patterns or len(data) < len(self._secret):
            return False
        standard = data.translate(_TO_STANDARD_ALPHABET, _LINE_BREAKS)
        return any(pattern in standard for pattern in self._base64_patterns)

    def _matches_undecoded(self, data: bytes) -> bool:
        """Search without decoding, at a low cost per percent sign."""
        if self._matches_plain(data):
            return True
        for _ in range(PERCENT_LAYERS - 1):
            data = data.replace(b"%25", b"%")
        pattern = b"".join(_escape_pattern(byte) for byte in self._secret)
        if re.search(pattern, data):
            return True
        for escape, character in _BASE64_ESCAPES:
            data = data.replace(escape, character)
        return self._matches_plain(data)


def _escape_pattern(byte: int) -> bytes:
    """Return a regular expression for a byte, verbatim or percent-encoded."""
    escape = "".join(f"[{c}{c.lower()}]" if c.isalpha() else c for c in f"{byte:02X}")
    return b"(?:%b|%%%b)" % (re.escape(bytes([byte])), escape.encode())


def _base64_patterns_of(secret: bytes) -> list[bytes]:
    """Return the parts of base64 text that depend on the secret alone.

    There is one for each offset of the secret within a group of three bytes.
    """
    if len(secret) < MIN_ENCODED_SECRET_BYTES:
        return []
    patterns = []
    for before, shared in ((0, 0), (1, 2), (2, 3)):
        encoded = base64.b64encode(bytes(before) + secret)
        patterns.append(encoded[shared : (before + len(secret)) * 8 // 6])
    return patterns


def _percent_layers(data: bytes) -> Iterator[bytes]:
    yield data
    for _ in range(PERCENT_LAYERS):
        if b"%" not in data:
            return
        data = unquote_to_bytes(data)
        yield data


def _json_contains(scanner: _SecretScanner, data: bytes) -> bool:
    """Search the strings of JSON that have escapes; the others stand in it verbatim."""
    if json.dumps(scanner.secret)[1:-1].encode() in data:
        return True
    strings: list[bytes] = []
    size = 0
    position = 0
    # A search would try each later position again where the rest is no JSON.
    while match := _ESCAPED_STRING.match(data, position):
        position = match.end()
        strings.append(match[1])
        size += len(match[1])
        if size >= MAX_STRINGS_BYTES:
            if _strings_contain(scanner, strings):
                return True
            strings, size = [], 0
    return _strings_contain(scanner, strings)


def _strings_contain(scanner: _SecretScanner, strings: list[bytes]) -> bool:
    try:
        values = decode_json(b"[" + b",".join(strings) + b"]", list[str])
    except msgspec.DecodeError:
        return False
    return scanner.matches(_joined_strings(values))


def _joined_strings(value: Any) -> bytes:
    strings: list[str] = []
    pending = [value]
    while pending:
        item = pending.pop()
        if isinstance(item, str):
            strings.append(item)
        elif isinstance(item, dict):
            pending.extend(item.keys())
            pending.extend(item.values())
        elif isinstance(item, list):
            pending.extend(item)
    return _SEPARATOR.join(strings).encode("utf-8", "surrogatepass")
