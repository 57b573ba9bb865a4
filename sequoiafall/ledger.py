"""State machine that runs a non-idempotent call at most once per idempotency key.

The row ``ledger/<organisation>/<idempotency key>`` records the call. An intent is
committed before the first byte is sent, and only the call whose operation
identifier is stored in the row may send. Gateways never delete rows, so the
condition of a transaction that is executed late no longer holds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .chart import Lifecycle
from .refusal import Reason, Refusal, RunStatus

LEDGER_PREFIX = "ledger/"
ABSENT_VERSION = 0

# The table service is meant for small rows; larger responses go to the object
# store.
MAX_INLINE_RESPONSE_BYTES = 256 * 1024

# Time for which a pending intent is reported as in progress. It only selects the
# reason of a refusal; after it a call may still not be sent again.
CALL_TIMEOUT_S = 60.0

MAX_CLAIM_ATTEMPTS = 4
RETRY_AFTER_S = 1.0


class StoredResponse(msgspec.Struct, frozen=True):
    """Response of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type.
    body : bytes, default=b""
        Body, if it is stored in the row.
    object_key : str, default=""
        Key of the body in the object store, empty if it is stored in the row.
    """

    status: int
    content_type: str
    body: bytes = b""
    object_key: str = ""


class LedgerRow(msgspec.Struct, frozen=True):
    """Stored row of one idempotency key.

    Parameters
    ----------
    state : str
        ``intent``, ``finished``, ``unknown`` or ``not_run``.
    operation_id : str
        Operation that wrote the intent; only its call may send.
    fingerprint : str
        Digest of the route, method, path and body.
    expires_at_ms : int
        Wall-clock time in milliseconds since the epoch until which an intent is
        reported as in progress.
    answer : StoredResponse or None
        Present in state ``finished``.
    """

    state: str
    operation_id: str
    fingerprint: str
    expires_at_ms: int
    answer: StoredResponse | None = None


@dataclass(slots=True, frozen=True)
class LookUp:
    """Read the row."""

    key: str


@dataclass(slots=True, frozen=True)
class Commit:
    """Write the row on condition that its version is `version`."""

    key: str
    version: int
    operation_id: str
    value: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Proceed:
    """No call has run under this key; admit and place the call."""


@dataclass(slots=True, frozen=True)
class Send:
    """The intent is stored; the call may be sent once."""


@dataclass(slots=True, frozen=True)
class Replay:
    """Return the stored response of the call that ran."""

    response: StoredResponse


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the call.

    Parameters
    ----------
    refusal : Refusal
        Refusal for the caller.
    must_abandon : bool, default=False
        Whether an intent may be stored whose call will never be sent.
    """

    refusal: Refusal
    must_abandon: bool = False


Action = LookUp | Commit | Proceed | Send | Replay | Refuse


@dataclass(slots=True, frozen=True)
class Committed:
    """The transaction took effect."""

    version: int


@dataclass(slots=True, frozen=True)
class Found:
    """The row as read, or the row that violated a transaction's condition."""

    version: int
    value: Mapping[str, Any] | None


@dataclass(slots=True, frozen=True)
class NotApplied:
    """The table service is known to have done nothing."""


@dataclass(slots=True, frozen=True)
class Uncertain:
    """The reply was lost; the transaction may have taken effect or do so later."""


TableReply = Committed | Found | NotApplied | Uncertain


class InvalidTransition(RuntimeError):
    """An event was reported that the call's current state does not allow."""


def fingerprint_of(route: str, method: str, path: str, body: bytes) -> str:
    """Return the digest that tells whether two calls under one key are equal."""
    hasher = hashlib.sha256()
    for part in (route.encode(), method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


def ledger_key(organisation: str, idempotency_key: str) -> str:
    """Return the key of the row; names of organisations contain no slash."""
    return f"{LEDGER_PREFIX}{organisation}/{idempotency_key}"


@dataclass(slots=True)
class LedgerCall:
    """State machine of one call under an idempotency key, without I/O.

    Each method takes an event and returns the action to perform next.

    Parameters
    ----------
    organisation : str
        Organisation of the caller.
    idempotency_key : str
        Idempotency key given by the caller.
    fingerprint : str
        See `fingerprint_of`.
    operation_id : str
        Globally unique identifier; each transaction appends a suffix to it.
    started_at_ms : int
        Wall-clock start time of the call in milliseconds since the epoch.
    """

    organisation: str
    idempotency_key: str
    fingerprint: str
    operation_id: str
    started_at_ms: int
    _lifecycle: Lifecycle = field(default_factory=lambda: Lifecycle("call"))
    _claims: list[Commit] = field(default_factory=list)
    _row_version: int = ABSENT_VERSION
    _row_operation_id: str = ""
    _attempts: int = 0
    _writes: int = 0

    @property
    def state(self) -> str:
        """Current state in the state chart ``call``."""
        return self._lifecycle.state

    @property
    def key(self) -> str:
        """Key of the call's row."""
        return ledger_key(self.organisation, self.idempotency_key)

    def look_up(self) -> LookUp:
        """Read the row before admission."""
        self._handle("look_up")
        return LookUp(self.key)

    def on_looked_up(self, reply: TableReply) -> Action:
        """Decide how to continue from the row that was read before admission."""
        if not isinstance(reply, Found):
            return self._refuse_unavailable()
        row = _decode(reply)
        if row is None or (row.state == "not_run" and self._matches(row)):
            self._handle("vacant")
            self._row_version = reply.version
            return Proceed()
        return self._resolve_from_row(row)

    def claim(self) -> Commit:
        """Return the transaction that stores the intent."""
        self._handle("claim")
        return self._claim(self._row_version)

    def on_claimed(self, reply: TableReply) -> Action:
        """Decide how to continue from the reply to `claim` or the row read back."""
        if isinstance(reply, Committed):
            return self._allow_send(reply.version, self._claims[-1].operation_id)
        if isinstance(reply, Found):
            return self._on_found(reply)
        self._attempts += 1
        if self._attempts >= MAX_CLAIM_ATTEMPTS or (
            isinstance(reply, NotApplied) and self.state == "claiming"
        ):
            return self._refuse_unavailable()
        self._handle("uncertain")
        return LookUp(self.key)

    def begin_send(self) -> None:
        """Record that the first byte is about to be sent.

        Raises
        ------
        InvalidTransition
            If the call may not be sent, or has been sent before.
        """
        self._handle("send")

    def refuse(self, refusal: Refusal) -> Refuse:
        """Refuse a call of which nothing was sent.

        Raises
        ------
        InvalidTransition
            If the call may have been sent.
        """
        may_be_stored = bool(self._claims)
        self._handle("refuse")
        return Refuse(refusal, must_abandon=may_be_stored)

    def on_response(self, response: StoredResponse) -> Commit:
        """Return the transaction that stores the backend server's response."""
        self._handle("answered")
        return self._write(self._row("finished", response))

    def on_broken(self) -> tuple[Commit, Refuse]:
        """Return the transaction and the refusal for a call with unknown outcome."""
        self._handle("broken")
        refusal = Refusal(
            Reason.OUTCOME_UNKNOWN,
            RunStatus.UNKNOWN,
            detail="the call was sent and the connection ended before its answer",
        )
        return self._write(self._row("unknown")), Refuse(refusal)

    def abandon(self, reply: Found) -> Commit | None:
        """Mark the row that was read as not run, after a refusal.

        An absent row is written as well, so that the condition of a claim that is
        still under way fails and the claim cannot leave an intent behind.

        Returns
        -------
        Commit or None
            The transaction, or None if the row is not an intent of this call.
        """
        if self.state != "not_sent":
            raise InvalidTransition(f"a call in state {self.state} cannot be abandoned")
        row = _decode(reply)
        if row is not None and not self._may_be_own_claim(reply.version, row):
            return None
        self._row_version = reply.version
        self._row_operation_id = f"{self.operation_id}.abandoned"
        return self._write(self._row("not_run"))

    def _handle(self, event: str) -> None:
        if not self._lifecycle.handle(event):
            raise InvalidTransition(
                f"event {event} is not allowed in state {self.state}"
            )

    def _on_found(self, found: Found) -> Action:
        row = _decode(found)
        if row is None:
            return self._claim_again(found.version)
        if row.state == "intent" and self._is_own_claim(row):
            return self._allow_send(found.version, row.operation_id)
        if row.state == "not_run" and self._matches(row):
            return self._claim_again(found.version)
        return self._resolve_from_row(row)

    def _claim_again(self, version: int) -> Action:
        if self._attempts >= MAX_CLAIM_ATTEMPTS:
            return self._refuse_unavailable()
        self._attempts += 1
        self._handle("claim")
        return self._claim(version)

    def _claim(self, version: int) -> Commit:
        # The table service repeats its first reply to an operation identifier, so
        # a claim with another condition needs an identifier of its own.
        if self._claims and self._claims[-1].version == version:
            return self._claims[-1]
        operation_id = f"{self.operation_id}.{len(self._claims)}"
        self._row_operation_id = operation_id
        claim = Commit(self.key, version, operation_id, self._row("intent"))
        self._claims.append(claim)
        return claim

    def _allow_send(self, version: int, operation_id: str) -> Send:
        self._handle("claimed")
        self._row_version = version
        self._row_operation_id = operation_id
        return Send()

    def _resolve_from_row(self, row: LedgerRow) -> Replay | Refuse:
        """Replay or refuse a call whose idempotency key has already been used."""
        if not self._matches(row):
            self._handle("refuse")
            detail = "another request was made under the same idempotency key"
            return Refuse(Refusal(Reason.IDEMPOTENCY_MISMATCH, detail=detail))
        self._handle("settled")
        if row.state == "finished" and row.answer is not None:
            return Replay(row.answer)
        if row.state == "intent" and self.started_at_ms < row.expires_at_ms:
            detail = "the call is in progress under the same idempotency key"
            return Refuse(
                Refusal(Reason.IN_PROGRESS, RunStatus.UNKNOWN, RETRY_AFTER_S, detail)
            )
        detail = "a call under the same idempotency key was sent without an answer"
        return Refuse(Refusal(Reason.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, detail=detail))

    def _refuse_unavailable(self) -> Refuse:
        detail = (
            "this call was not sent, because the ledger could not be reached; "
            "an earlier call under the same key may have run"
        )
        return self.refuse(
            Refusal(
                Reason.PLATFORM_UNAVAILABLE,
                retry_after_s=RETRY_AFTER_S,
                detail=detail,
            )
        )

    def _matches(self, row: LedgerRow) -> bool:
        return row.fingerprint == self.fingerprint

    def _is_own_claim(self, row: LedgerRow) -> bool:
        return any(claim.operation_id == row.operation_id for claim in self._claims)

    def _may_be_own_claim(self, version: int, row: LedgerRow) -> bool:
        if row.state == "intent":
            return self._is_own_claim(row)
        # A claim that replaces an earlier `not_run` row may still be under way.
        claim_version = self._claims[-1].version if self._claims else ABSENT_VERSION
        return row.state == "not_run" and version == claim_version

    def _row(
        self, state: str, response: StoredResponse | None = None
    ) -> dict[str, Any]:
        row = LedgerRow(
            state,
            self._row_operation_id,
            self.fingerprint,
            self.started_at_ms + int(CALL_TIMEOUT_S * 1000),
            response,
        )
        return msgspec.to_builtins(row)

    def _write(self, value: dict[str, Any]) -> Commit:
        self._writes += 1
        operation_id = f"{self.operation_id}.write{self._writes}"
        return Commit(self.key, self._row_version, operation_id, value)


def _decode(found: Found) -> LedgerRow | None:
    if found.value is None or found.version == ABSENT_VERSION:
        return None
    return msgspec.convert(dict(found.value), LedgerRow)
