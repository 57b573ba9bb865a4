"""Answers of backend servers in trouble whose head is none, and what callers get."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .calls import Call

if TYPE_CHECKING:
    from .run import Soak

# Statuses with which a node or a backend server may answer.
STATUSES = frozenset(
    (200, 400, 401, 403, 404, 408, 413, 421, 429, 431, 500, 502, 503, 504)
)
# How the caller's HTTP library names the error of a head that it cannot read.
UNREADABLE_HEAD = "ClientResponseError"
FRAMING_FIELDS = ("content-length", "transfer-encoding", "connection")
MAX_ANSWERS = 6
CONTROL_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class MalformedHead:
    """A head that is none in HTTP/1.1.

    Parameters
    ----------
    name : str
        What is wrong with it.
    status_line : bytes
        First line.
    first_line, last_line : bytes
        Lines before and after the other fields; empty for none.
    """

    name: str
    status_line: bytes = b"HTTP/1.1 200 OK"
    first_line: bytes = b""
    last_line: bytes = b""

    def answer(self, fields: Mapping[str, str], body: bytes) -> bytes:
        """Return the whole answer with a complete body.

        Parameters
        ----------
        fields : mapping of str to str
            Fields of the head; those that frame the body are replaced.
        body : bytes
            The whole body.
        """
        lines = [
            self.status_line,
            self.first_line,
            *(
                f"{name}: {value}".encode()
                for name, value in fields.items()
                if name.lower() not in FRAMING_FIELDS
            ),
            b"Content-Length: %d" % len(body),
            self.last_line,
        ]
        return b"\r\n".join(line for line in lines if line) + b"\r\n\r\n" + body


MALFORMED_HEADS = (
    *(
        MalformedHead(f"status {status}", f"HTTP/1.1 {status} OK".encode())
        for status in ("000", "007", "099", "600", "999")
    ),
    *(
        MalformedHead(f"version {version}", f"{version} 200 OK".encode())
        for version in ("HTTP/0.9", "HTTP/2.0", "HTTP/x.1", "ICE/1.1")
    ),
    MalformedHead("blank before the first field", first_line=b" X-First: y"),
    MalformedHead("blank in a field name", last_line=b"X Note: y"),
    MalformedHead("blank after a field name", last_line=b"X-Note : y"),
    MalformedHead("control byte in a field name", last_line=b"X-\x01Note: y"),
    MalformedHead("folded line", last_line=b"X-Note: y\r\n z"),
    MalformedHead("folded line of a tab", last_line=b"X-Note: y\r\n\tz"),
)


class AnswerCheck:
    """Judges what callers get of malformed answers."""

    def __init__(self) -> None:
        self._signatures_by_request: dict[str, set[str]] = defaultdict(set)
        self._heads_by_request: dict[str, dict[str, str]] = defaultdict(dict)
        self.counts_by_head: Counter[str] = Counter()

    def record_signature(self, request_id: str, signature: str) -> None:
        """Record the signature of an answer whose head is sound."""
        self._signatures_by_request[request_id].add(signature)

    def record_malformed(self, request_id: str, signature: str, head: str) -> None:
        """Record an answer whose head is malformed."""
        self._heads_by_request[request_id][signature] = head
        self.counts_by_head[head] += 1

    def find(self, call: Call) -> str:
        """Return what is wrong with the answer that a caller got; empty if nothing."""
        heads = self._heads_by_request.get(call.request_id, {})
        beside = f" after an answer with {', '.join(heads.values())}" if heads else ""
        if call.error == UNREADABLE_HEAD:
            return f"got a head that is none{beside}"
        if call.status and call.status not in STATUSES:
            return f"got status {call.status}{beside}"
        sound = self._signatures_by_request.get(call.request_id, set())
        if call.status == 200 and call.signature not in sound:
            return f"got a success with signature {call.signature!r}{beside}"
        return ""


class MalformedAnswers:
    """Lets backend servers send malformed answers now and then.

    Parameters
    ----------
    soak : Soak
        Run whose servers are in trouble.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._random = random.Random(f"{soak.seed} malformed answers")

    async def run(self, end_at: float) -> None:
        """Let one server after the other get into trouble until a monotonic time."""
        while time.monotonic() < end_at:
            engine = self._random.choice(self._soak.all_engines)
            heads = self._random.sample(
                MALFORMED_HEADS, self._random.randint(1, MAX_ANSWERS)
            )
            engine.malforms_control = self._random.random() < CONTROL_SHARE
            engine.malformed_heads = heads
            kinds = ", ".join(head.name for head in heads)
            self._soak.endings.note(f"{engine.name} answers with {kinds}")
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            engine.malformed_heads = []
