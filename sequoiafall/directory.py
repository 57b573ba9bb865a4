"""Selects the gateway addresses that an organisation's callers should use."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .admission import rendezvous_order
from .table import Organisation
from .wire.gen.ttypes import MemberStatus

DIRECTORY_TTL_S = 5.0

# An instance with an older head may miss a change that is already in force.
MAX_HEAD_AGE_MS = 2_000

# A second instance, in another availability zone, serves callers whose first
# instance fails before they query the directory again.
MIN_INSTANCES = 2

# An organisation gets more instances than its share of the total rate, so that
# its burst does not saturate a single instance.
SHARE_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class DirectoryEntry:
    """One address that callers may use."""

    address: str
    zone: str


class Directory:
    """Tracks the available instances and selects some for each organisation."""

    __slots__ = (
        "_entries_by_organisation",
        "_organisations",
        "_statuses_by_instance",
        "_total_rate",
    )

    def __init__(self) -> None:
        self._statuses_by_instance: dict[str, MemberStatus] = {}
        self._organisations: dict[str, Organisation] = {}
        self._total_rate = 0.0
        self._entries_by_organisation: dict[str, list[DirectoryEntry]] = {}

    def apply_statuses(self, statuses: Iterable[MemberStatus]) -> None:
        """Replace the known instances; unavailable ones are left out."""
        self._statuses_by_instance = {
            status.instance: status for status in statuses if _may_serve(status)
        }
        self._entries_by_organisation.clear()

    def apply_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Replace the known organisations."""
        self._organisations = {row.name: row for row in organisations}
        self._total_rate = sum(row.rate for row in self._organisations.values())
        self._entries_by_organisation.clear()

    def entries_for(self, organisation: str) -> list[DirectoryEntry]:
        """Return the addresses for an organisation, the preferred first.

        An unknown organisation gets a response like that of a small one, because
        the directory requires no key and must not reveal which organisations exist.
        """
        entries = self._entries_by_organisation.get(organisation)
        if entries is not None:
            return entries
        ordered = rendezvous_order(organisation, list(self._statuses_by_instance), {})
        statuses = [self._statuses_by_instance[name] for name in ordered]
        chosen = _spread_over_zones(statuses)[: self._instance_count(organisation)]
        entries = [
            DirectoryEntry(address, status.zone)
            for status in chosen
            for address in status.gateway_addresses
        ]
        # Unknown organisations are not cached, so that callers cannot make the
        # gateway's memory grow.
        if organisation in self._organisations:
            self._entries_by_organisation[organisation] = entries
        return entries

    def _instance_count(self, organisation: str) -> int:
        row = self._organisations.get(organisation)
        if row is None or self._total_rate <= 0.0:
            return MIN_INSTANCES
        share = row.rate / self._total_rate
        wanted = math.ceil(SHARE_FACTOR * share * len(self._statuses_by_instance))
        return max(MIN_INSTANCES, wanted)


def _may_serve(status: MemberStatus) -> bool:
    return (
        bool(status.ready)
        and not status.leaving
        and status.head_age_ms <= MAX_HEAD_AGE_MS
        and bool(status.gateway_addresses)
    )


def _spread_over_zones(statuses: Sequence[MemberStatus]) -> list[MemberStatus]:
    """Order instances round-robin over the availability zones."""
    rounds: dict[int, list[MemberStatus]] = {}
    seen_by_zone: dict[str, int] = {}
    for status in statuses:
        number = seen_by_zone.get(status.zone, 0)
        seen_by_zone[status.zone] = number + 1
        rounds.setdefault(number, []).append(status)
    return [status for number in sorted(rounds) for status in rounds[number]]
