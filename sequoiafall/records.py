"""Keys and JSON encoding of the rows that the system stores in the table service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from .decoding import decode_json
from .wire.gen.ttypes import Change, Edit, Head, Member, View

HEAD_KEY = "head"
CHANGE_PREFIX = "change/"
ROW_PREFIX = "row/"
VIEW_KIND = "view"
REVISION_DIGITS = 12


def row_key(kind: str, name: str) -> str:
    """Return the key of a configuration row."""
    return f"{ROW_PREFIX}{kind}/{name}"


def change_key(revision: int) -> str:
    """Return the key of the change with this revision."""
    return f"{CHANGE_PREFIX}{revision:0{REVISION_DIGITS}d}"


def empty_head() -> Head:
    """Return the head of a table that was never written."""
    return Head(0, View(0, []), [])


def encode_head(head: Head, row_count: int) -> dict[str, Any]:
    """Return the JSON value of the head row.

    The row count of the table lets a reader detect an incomplete scan.
    """
    return {
        "revision": head.revision,
        "row_count": row_count,
        "view": _encode_view(head.view),
        "pending_views": [_encode_view(view) for view in head.pending_views],
    }


def decode_head(value: Mapping[str, Any]) -> Head:
    """Decode the head row.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        return Head(
            int(value["revision"]),
            _decode_view(value["view"]),
            [_decode_view(view) for view in value["pending_views"]],
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed head: {error}") from error


def encode_members(members: Sequence[Member]) -> list[dict[str, Any]]:
    """Return the members of a view as JSON objects."""
    return [
        {
            "instance": member.instance,
            "incarnation": member.incarnation,
            "zone": member.zone,
            "controller_address": member.controller_address,
            "gateway_addresses": list(member.gateway_addresses or ()),
        }
        for member in members
    ]


def encode_change(change: Change) -> dict[str, Any]:
    """Return the JSON value of a change row, which also serves as the audit record."""
    return {
        "revision": change.revision,
        "operation_id": change.operation_id,
        "actor": change.actor,
        "committed_at_ms": change.committed_at_ms,
        "edits": [
            {
                "kind": edit.kind,
                "name": edit.name,
                "before": decode_optional(edit.before),
                "after": decode_optional(edit.after),
            }
            for edit in change.edits
        ],
    }


def decode_change(value: Mapping[str, Any]) -> Change:
    """Decode a change row.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        edits = [
            Edit(
                edit["kind"],
                edit["name"],
                encode_optional(edit["before"]),
                encode_optional(edit["after"]),
            )
            for edit in value["edits"]
        ]
        return Change(
            int(value["revision"]),
            value["operation_id"],
            value["actor"],
            int(value["committed_at_ms"]),
            edits,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed change: {error}") from error


def encode_optional(value: Mapping[str, Any] | None) -> str:
    """Encode a JSON object; an empty string stands for None."""
    return "" if value is None else msgspec.json.encode(value).decode()


def decode_optional(text: str) -> dict[str, Any] | None:
    """Decode a JSON object; an empty string stands for None."""
    return decode_json(text) if text else None


def _encode_view(view: View) -> dict[str, Any]:
    return {
        "revision": view.revision,
        "members": encode_members(view.members),
        "previous_revision": view.previous_revision or 0,
    }


def _decode_view(value: Mapping[str, Any]) -> View:
    members = [
        Member(
            member["instance"],
            int(member["incarnation"]),
            member["zone"],
            member["controller_address"],
            list(member["gateway_addresses"]),
        )
        for member in value["members"]
    ]
    return View(int(value["revision"]), members, int(value.get("previous_revision", 0)))
