"""Entries that another writer leaves among those of backend servers."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from typing import Any

# Levels of a nested value, inside the size that the store accepts for a row.
NESTING = 8000

# Values of one field that name no server that could be used.
UNUSABLE_VALUES: list[tuple[str, Any]] = [
    ("address", ""),
    ("address", ".kuldiga:8126"),
    ("address", "kuldiga.example:8126"),
    ("address", "10.1.0.25"),
    ("address", "10.1.0.25:"),
    ("address", "10.1.0.25:0"),
    ("address", "10.1.0.25:70000"),
    ("address", "10.1.0.25:\u0668\u0661"),
    ("address", "10.1.0.25:8126/x"),
    ("address", "10.1.0.25:8126\r\nX: y"),
    ("address", "user@10.1.0.25:8126"),
    ("address", "256.1.0.25:8126"),
    ("address", "9" * 300),
    ("slots", -1),
    ("slots", 2**31),
    ("born", -1),
    ("born", 2**53 + 1),
    ("born", 2**63),
    ("born", 10**30),
    ("version", "v" * 300),
    ("service", "s" * 300),
    ("zone", "z" * 300),
]


def deep_value(nesting: int = NESTING, is_cut: bool = False) -> bytes:
    """Return JSON text of nested arrays, without its ends if it is broken off."""
    return b"[" * nesting if is_cut else b"[" * nesting + b"]" * nesting


def deep_row_value(
    fields: Mapping[str, Any], field: str, is_cut: bool = False
) -> bytes:
    """Return an encoded row with one deeply nested field.

    Parameters
    ----------
    fields : mapping of str to object
        Fields of the row.
    field : str
        Name of the nested field.
    is_cut : bool, default=False
        Whether the row is broken off inside the nested field.
    """
    encoded = json.dumps({**fields, field: 0}).encode()
    name = json.dumps(field).encode()
    head, _, tail = encoded.rpartition(name + b": 0")
    value = head + name + b": " + deep_value(is_cut=is_cut)
    return value if is_cut else value + tail


class SilentAddress:
    """A loopback address that takes no connection: its queue is full.

    Attributes
    ----------
    address : str
        Host and port.
    """

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def close(self) -> None:
        """Close all sockets; connections are refused from then on."""
        for opened in (self._listener, *self._fillers):
            opened.close()
