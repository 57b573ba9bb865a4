"""Decodes bytes that come from outside the process.

The codec raises `RecursionError` for a value that is nested too deep and
`UnicodeDecodeError` for some texts. Neither is one of its own errors, so a handler for
those would let them pass. The functions here raise `msgspec.DecodeError` for all of
them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec


def decode_json(content: bytes | str, kind: Any = Any) -> Any:
    """Decode JSON.

    Parameters
    ----------
    content : bytes or str
        Encoded value.
    kind : type, default=Any
        Type to which the value has to conform.

    Raises
    ------
    msgspec.DecodeError
        If the content cannot be decoded, is nested too deep or has another type.
    """
    return _decode(msgspec.json.decode, content, kind)


def decode_msgpack(content: bytes, kind: Any = Any) -> Any:
    """Decode MessagePack; see `decode_json`."""
    return _decode(msgspec.msgpack.decode, content, kind)


def _decode(decode: Callable[..., Any], content: bytes | str, kind: Any) -> Any:
    try:
        return decode(content, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("the value is nested too deep") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(f"the text is not UTF-8: {error.reason}") from error
