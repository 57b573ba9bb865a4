"""State of a pool's backend servers as its owner sees it, and scheduler actions."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from .chart import Lifecycle
from .drain import Drain
from .loads import AdapterKey
from .table import BackendServer
from .wire.gen.ttypes import PlaceEntry, PlaceReply, PlaceState

# A gateway must send a request within PLACE_TTL_S of the grant of its place. A backend
# server that does not check fencing tokens carries out an order within ORDER_TTL_S.
PLACE_TTL_S = 2.0
ORDER_TTL_S = 2.0
# Gateways renew the claims of running requests at least every second; an engine's
# report extends a claim too.
CLAIM_TTL_S = 5.0
# Maximum age of the state in an engine's report.
REPORT_LAG_MAX_S = 1.0
# An engine without a report for this long gets no new places or loads.
REPORT_MAX_AGE_S = 3.0
# Assumed remaining tokens of a running request of unknown size.
DEFAULT_WORK_TOKENS = 256

BASE_KEY: AdapterKey = ("", "")


@dataclass(slots=True, frozen=True)
class RunningRequest:
    """A request that an engine reports as running or queued."""

    request_id: str
    adapter: str
    version: str
    generated_tokens: int


@dataclass(slots=True, frozen=True)
class ServerReport:
    """State of an engine at one time, as reported by it.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Number that grows with each restart of the engine.
    requested_at : float
        When the owner requested the report, in seconds of the owner's clock.
    resident, loading : tuple of (str, str)
        Adapter versions that are resident and that are being loaded.
    running : tuple of RunningRequest
        Requests that run or are queued in the engine.
    places, adapter_slots : int
        Limits of the engine; 0 if it reports none.
    """

    server: str
    incarnation: int
    requested_at: float
    resident: tuple[AdapterKey, ...] = ()
    loading: tuple[AdapterKey, ...] = ()
    running: tuple[RunningRequest, ...] = ()
    places: int = 0
    adapter_slots: int = 0


@dataclass(slots=True, frozen=True)
class GrantPlace:
    """Reply to a place request with a place."""

    request_id: str
    gateway: str
    reply: PlaceReply


@dataclass(slots=True, frozen=True)
class RefusePlace:
    """Reply to a place request with a refusal."""

    request_id: str
    gateway: str
    reply: PlaceReply


@dataclass(slots=True, frozen=True)
class LoadAdapter:
    """Order a server to load an adapter version after all earlier evictions there."""

    server: str
    adapter: str
    version: str
    fencing_token: int


@dataclass(slots=True, frozen=True)
class EvictAdapter:
    """Order a server to evict an adapter version."""

    server: str
    adapter: str
    version: str
    fencing_token: int


@dataclass(slots=True, frozen=True)
class MoveStream:
    """Export the KV cache of a stream and import it at another server."""

    request_id: str
    server: str
    target: str


Action = GrantPlace | RefusePlace | LoadAdapter | EvictAdapter | MoveStream


class SlotState(StrEnum):
    """States of a taken slot in charts/adapter_slot.yaml.

    A slot is ``UNKNOWN`` after an order without a response, until a report shows its
    state.
    """

    LOADING = "loading"
    RESIDENT = "resident"
    RETIRING = "retiring"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Slot:
    """A slot taken by an adapter version at an engine, from the load order on.

    Parameters
    ----------
    key : tuple of (str, str)
        Adapter and version.
    changed_at : float
        When the state last changed, in seconds; older reports do not reflect it.
    """

    key: AdapterKey
    changed_at: float
    lifecycle: Lifecycle = field(default_factory=lambda: Lifecycle("adapter_slot"))
    loaded_at: float = -math.inf
    used_at: float = -math.inf
    # Adapter version that gets this slot once it has retired.
    reserved_for: AdapterKey = BASE_KEY

    @property
    def state(self) -> str:
        """Current state in the state chart."""
        return self.lifecycle.state


@dataclass(slots=True)
class Eviction:
    """An eviction that was ordered.

    Parameters
    ----------
    slot : Slot
        Slot of the evicted adapter version.
    ignore_reports_until : float
        Time in seconds; reports requested earlier may still show the adapter
        version.
    """

    slot: Slot
    ignore_reports_until: float

    @property
    def is_confirmed(self) -> bool:
        """Whether the server confirmed the eviction.

        Until then the order may still be carried out, so the adapter version gets
        no place at the server.
        """
        return self.slot.lifecycle.is_final


class PlaceOrigin(StrEnum):
    """How the owner learned of a place."""

    GRANTED = "granted"
    CLAIMED = "claimed"
    REPORTED = "reported"


@dataclass(slots=True)
class Place:
    """A position in a server's batch that a request holds.

    Parameters
    ----------
    expires_at : float
        When the place ends, in seconds, unless its gateway renews it or a report
        shows its request.
    charged_tokens : int
        Tokens charged to the organisation; 0 if another owner charged them.
    remaining_tokens : int
        Tokens that the request is expected to need still.
    """

    place_id: str
    request_id: str
    gateway: str
    organisation: str
    key: AdapterKey
    server: str
    origin: PlaceOrigin
    granted_at: float
    expires_at: float
    charged_tokens: int = 0
    prompt_tokens: int = 0
    remaining_tokens: int = 0
    output_tokens: int = 0
    started: bool = False
    # When the latest report that shows the request was requested.
    last_reported_at: float = -math.inf

    def to_entry(self) -> PlaceEntry:
        """Return the place as a claim."""
        return PlaceEntry(
            place_id=self.place_id,
            request_id=self.request_id,
            state=PlaceState.RUNNING if self.started else PlaceState.STARTED,
            organisation=self.organisation,
            adapter=self.key[0],
            version=self.key[1],
            backend_server=self.server,
            generated_tokens=self.output_tokens,
            outcome="",
        )


@dataclass(slots=True, eq=False)
class ServerState:
    """A backend server of the pool.

    Parameters
    ----------
    row : BackendServer
        Row of the server in the table.
    reports_valid_from : float
        Time in seconds. The server gets no place and no order until a report was
        requested at this time or later; such a report shows everything that
        another owner has placed and ordered there.
    """

    row: BackendServer
    reports_valid_from: float
    incarnation: int = 0
    report: ServerReport | None = None
    reported_at: float = -math.inf
    slots_by_key: dict[AdapterKey, Slot] = field(default_factory=dict)
    places_by_request_id: dict[str, Place] = field(default_factory=dict)
    place_count_by_key: Counter[AdapterKey] = field(default_factory=Counter)
    work_tokens: int = 0
    evictions_by_key: dict[AdapterKey, Eviction] = field(default_factory=dict)
    released_at_by_request_id: dict[str, float] = field(default_factory=dict)
    lifecycle: Lifecycle = field(default_factory=lambda: Lifecycle("backend_server"))
    drain: Drain | None = None
    consecutive_failures: int = 0
    avoided_until: float = -math.inf

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.row.name

    @property
    def is_engine(self) -> bool:
        """Whether the server has adapters and reports its state."""
        return self.row.server_kind == "engine"

    @property
    def places(self) -> int:
        """Number of places: the smaller of the limits in the table and the report."""
        reported = self.report.places if self.report else 0
        return min(self.row.places, reported) if reported else self.row.places

    @property
    def adapter_slots(self) -> int:
        """Number of slots: the smaller of the limits in the table and the report."""
        reported = self.report.adapter_slots if self.report else 0
        if not reported:
            return self.row.adapter_slots
        return min(self.row.adapter_slots, reported)

    @property
    def has_free_place(self) -> bool:
        """Whether one more place may be granted."""
        return len(self.places_by_request_id) < self.places

    @property
    def has_free_slot(self) -> bool:
        """Whether an adapter can be loaded without an eviction."""
        return len(self.slots_by_key) < self.adapter_slots

    def is_known(self, now: float) -> bool:
        """Whether the known state is recent enough to grant places and order loads."""
        if now < self.reports_valid_from:
            return False
        if not self.is_engine:
            return True
        if self.report is None or self.report.requested_at < self.reports_valid_from:
            return False
        return now - self.reported_at <= REPORT_MAX_AGE_S

    def takes_places(self, now: float) -> bool:
        """Whether the server accepts new places."""
        if now < self.avoided_until or not self.is_known(now):
            return False
        return self.drain is None or self.drain.takes_places(now)

    def takes_loads(self, now: float) -> bool:
        """Whether adapters may be loaded at the server."""
        return self.is_engine and self.drain is None and self.is_known(now)

    def add_place(self, place: Place) -> Place | None:
        """Add a place; return the place of the same request that it replaces."""
        previous = self.remove_place(place.request_id)
        self.places_by_request_id[place.request_id] = place
        self.place_count_by_key[place.key] += 1
        self.work_tokens += place.remaining_tokens
        return previous

    def remove_place(self, request_id: str) -> Place | None:
        """Remove the place of a request."""
        place = self.places_by_request_id.pop(request_id, None)
        if place is None:
            return None
        self.place_count_by_key[place.key] -= 1
        if self.place_count_by_key[place.key] <= 0:
            del self.place_count_by_key[place.key]
        self.work_tokens -= place.remaining_tokens
        return place

    def record_progress(self, place: Place, output_tokens: int) -> None:
        """Record how many tokens the request of a place has generated."""
        step = max(0, output_tokens - place.output_tokens)
        place.output_tokens += step
        done = min(step, place.remaining_tokens)
        place.remaining_tokens -= done
        self.work_tokens -= done

    def is_pinned(self, key: AdapterKey) -> bool:
        """Whether a request at the server uses the adapter version."""
        return key in self.place_count_by_key

    def placeable_keys(self) -> Iterator[AdapterKey]:
        """Return the adapter versions that new requests may use, and the base model."""
        yield BASE_KEY
        for key, slot in self.slots_by_key.items():
            if slot.lifecycle.state == SlotState.RESIDENT:
                yield key
