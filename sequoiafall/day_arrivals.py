"""Seeded generator of the requests of a simulated day."""

from __future__ import annotations

import itertools
import math
import random
from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from .day import Day, Disturbance, RequestKind

# Cost of an output token in prompt tokens, as token limits count it.
OUTPUT_TOKEN_WEIGHT = 10.0
# Different second parts of the prompts of one kind of request; all share the first.
PARTS_PER_KIND = 40
# Prefix of the key by which a whole request is known, beside the parts of its prompt.
IDENTITY_PREFIX = "request:"
# A shift of demand moves each adapter by this many popularity ranks, so that the few
# most popular ones become rare.
SHIFT_RANKS = 7


@dataclass(slots=True)
class DayRequest:
    """A simulated request and its outcome.

    Parameters
    ----------
    request_id : str
        Identifier, unique within a day.
    kind : RequestKind
        Kind of request.
    organisation, zone, adapter : str
        Organisation, availability zone of the gateway, and adapter; an empty adapter
        is the base model.
    prompt_tokens, output_tokens : int
        Size.
    arrived_at : float
        Time of arrival in seconds of virtual time.
    first_event_at, ended_at : float
        When the caller received the first and the last event; -1 if never.
    refusals : int
        Number of refusals.
    last_refused_at : float
        Time of the last refusal; -1 if never.
    attempts : int
        Number of engines to which it was sent.
    is_over_limit : bool
        Whether it was refused because of its organisation's limit.
    excluded : frozenset of str
        Engines on which it failed.
    shared_parts : tuple of str
        Parts of the prompt that other requests share.
    is_harmful : bool
        Whether it crashes engines, by one of the parts or as a whole.
    deadly_identity : str
        Key that all sends of the same deadly request have; empty for others.
    """

    request_id: str
    kind: RequestKind
    organisation: str
    zone: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    first_event_at: float = -1.0
    ended_at: float = -1.0
    refusals: int = 0
    last_refused_at: float = -1.0
    attempts: int = 0
    is_over_limit: bool = False
    excluded: frozenset[str] = frozenset()
    shared_parts: tuple[str, ...] = ()
    is_harmful: bool = False
    deadly_identity: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the response was complete before the caller timed out."""
        return 0.0 <= self.ended_at <= self.arrived_at + self.kind.give_up_s

    @property
    def is_on_time(self) -> bool:
        """Whether it was served and its first event met the deadline."""
        return (
            self.is_served
            and self.first_event_at - self.arrived_at <= self.kind.on_time_s
        )

    @property
    def evidence_keys(self) -> tuple[str, ...]:
        """Keys of what may crash engines: the shared parts and the whole request."""
        identity = self.deadly_identity or IDENTITY_PREFIX + self.request_id
        return (*self.shared_parts, identity)

    @property
    def cost_tokens(self) -> float:
        """Cost in tokens, as token limits count it."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens


def zone_names(day: Day) -> list[str]:
    """Return the names of the availability zones."""
    return [f"zone-{number + 1}" for number in range(day.zones)]


def draw_requests(day: Day, seed: int) -> list[DayRequest]:
    """Return the requests by time of arrival; equal seeds give equal requests."""
    requests: list[DayRequest] = []
    for index, kind in enumerate(day.requests):
        generator = random.Random(f"{seed}-{index}-{kind.name}")
        cumulative_weights = _cumulative_popularity(kind)
        at, number = 0.0, 0
        while True:
            at += generator.expovariate(kind.per_s * _burst_factor(day, kind, at))
            if at >= day.duration_s:
                break
            number += 1
            requests.append(
                _draw_request(day, generator, kind, cumulative_weights, at, number)
            )
    for number, row in enumerate(day.disturbances):
        generator = random.Random(f"{seed}-{row.kind}-{number}")
        if row.kind == "harmful":
            _add_harmful_part(requests, row, generator)
        elif row.kind == "deadly":
            _make_deadly(requests, row, generator)
    return sorted(requests, key=lambda request: request.arrived_at)


def _add_harmful_part(
    requests: list[DayRequest], row: Disturbance, generator: random.Random
) -> None:
    """Add a part that crashes engines to a share of the prompts."""
    part = f"harmful-{row.at:g}"
    for request in _draw_affected(requests, row, generator):
        request.shared_parts += (part,)
        request.is_harmful = True


def _make_deadly(
    requests: list[DayRequest], row: Disturbance, generator: random.Random
) -> None:
    """Make a share of the requests sends of the same few deadly ones."""
    first_by_identity: dict[str, DayRequest] = {}
    for request in _draw_affected(requests, row, generator):
        number = generator.randrange(row.count)
        # Requests of another kind cannot be the same request.
        name = f"deadly-{row.at:g}-{number}-{request.kind.name}"
        first = first_by_identity.setdefault(name, request)
        request.organisation = first.organisation
        request.adapter = first.adapter
        request.prompt_tokens = first.prompt_tokens
        request.output_tokens = first.output_tokens
        request.shared_parts = first.shared_parts
        request.deadly_identity = IDENTITY_PREFIX + name
        request.is_harmful = True


def _draw_affected(
    requests: list[DayRequest], row: Disturbance, generator: random.Random
) -> list[DayRequest]:
    """Return a random share of the requests during a disturbance."""
    return [
        request
        for request in requests
        if row.at <= request.arrived_at < row.at + row.for_s
        and row.request in ("", request.kind.name)
        and generator.random() < row.x
    ]


def _active_disturbances(day: Day, kind: str, at: float) -> list[Disturbance]:
    return [
        row
        for row in day.disturbances
        if row.kind == kind and row.at <= at < row.at + row.for_s
    ]


def _burst_factor(day: Day, kind: RequestKind, at: float) -> float:
    factor = 1.0
    for row in _active_disturbances(day, "burst", at):
        if row.request in ("", kind.name):
            factor *= row.x
    return factor


def _draw_request(
    day: Day,
    generator: random.Random,
    kind: RequestKind,
    cumulative_weights: Sequence[float],
    at: float,
    number: int,
) -> DayRequest:
    adapter = ""
    if generator.random() >= kind.base_share:
        rank = bisect(cumulative_weights, generator.random() * cumulative_weights[-1])
        # The effect of a shift lasts until the end of the day.
        shifts = sum(
            1 for row in day.disturbances if row.kind == "shift" and row.at <= at
        )
        adapter = f"{kind.name}-{(rank + SHIFT_RANKS * shifts) % kind.adapters}"
    median = kind.prompt_tokens * math.exp(-0.5 * kind.spread**2)
    prompt = generator.lognormvariate(math.log(median), kind.spread)
    output = generator.expovariate(1.0 / kind.output_tokens)
    return DayRequest(
        f"{kind.name}-{number}",
        kind,
        _draw_organisation(day, generator, at),
        generator.choice(zone_names(day)),
        adapter,
        max(1, int(prompt)),
        max(1, int(output)),
        at,
        shared_parts=(kind.name, f"{kind.name}-{number % PARTS_PER_KIND}"),
    )


def _draw_organisation(day: Day, generator: random.Random, at: float) -> str:
    rows = day.organisations
    if not rows:
        return ""
    weights = [row.weight for row in rows]
    for hot in _active_disturbances(day, "hot_organisation", at):
        weights[0] *= hot.x
    return generator.choices(rows, weights)[0].name


def _cumulative_popularity(kind: RequestKind) -> list[float]:
    """Return the cumulative Zipf weights of the adapters."""
    return list(
        itertools.accumulate(
            (number + 1.0) ** -kind.skew for number in range(kind.adapters)
        )
    )
