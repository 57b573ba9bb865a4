"""Draws the requests of a day."""

from __future__ import annotations

import itertools
import math
import random
from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from .day import Day, Disturbance, RequestKind

# Output tokens cost this many times a prompt token, in limits and credit.
OUTPUT_WEIGHT = 10.0
# A shift of demand moves each adapter by so many ranks of popularity, so that the
# few most popular ones become rare.
SHIFT_RANKS = 7


@dataclass(slots=True)
class DayRequest:
    """A request of a caller, with what became of it.

    Parameters
    ----------
    request_id : str
        Identity.
    kind : RequestKind
        Kind of request.
    organisation, zone, adapter : str
        Who asks, and for what.
    prompt_tokens, output_tokens : int
        Size.
    arrived_at : float
        Second of the day.
    first_event_at, ended_at : float
        When the caller got the first event and the last one; -1 if never.
    refusals : int
        How often it was refused.
    refused_at : float
        When that was last; -1 if never.
    attempts : int
        How often it was sent to an engine.
    excluded : frozenset of str
        Engines that failed it.
    is_over_limit : bool
        Whether it was refused because of its organisation's limit.
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
    refused_at: float = -1.0
    attempts: int = 0
    is_over_limit: bool = False
    excluded: frozenset[str] = frozenset()

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole answer before it left."""
        return 0.0 <= self.ended_at <= self.arrived_at + self.kind.give_up_s

    @property
    def is_on_time(self) -> bool:
        """Whether the first event came in time."""
        return (
            self.is_served
            and self.first_event_at - self.arrived_at <= self.kind.on_time_s
        )

    @property
    def cost_tokens(self) -> float:
        """Tokens as limits count them."""
        return self.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens


def zones_of(day: Day) -> list[str]:
    """Return the names of the availability zones."""
    return [f"zone-{number + 1}" for number in range(day.zones)]


def draw_requests(day: Day, seed: int) -> list[DayRequest]:
    """Return the requests in order of arrival, the same for each seed."""
    requests: list[DayRequest] = []
    for index, kind in enumerate(day.requests):
        generator = random.Random(f"{seed}-{index}-{kind.name}")
        weights = _popularity(kind)
        at, number = 0.0, 0
        while True:
            at += generator.expovariate(kind.per_s * _strength(day, kind, at))
            if at >= day.duration_s:
                break
            number += 1
            requests.append(_draw(day, generator, kind, weights, at, number))
    return sorted(requests, key=lambda request: request.arrived_at)


def _active(day: Day, kind: str, at: float) -> list[Disturbance]:
    return [
        row
        for row in day.disturbances
        if row.kind == kind and row.at <= at < row.at + row.for_s
    ]


def _strength(day: Day, kind: RequestKind, at: float) -> float:
    strength = 1.0
    for row in _active(day, "burst", at):
        if row.request in ("", kind.name):
            strength *= row.x
    return strength


def _draw(
    day: Day,
    generator: random.Random,
    kind: RequestKind,
    weights: Sequence[float],
    at: float,
    number: int,
) -> DayRequest:
    adapter = ""
    if generator.random() >= kind.base_share:
        rank = bisect(weights, generator.random() * weights[-1])
        # A shift makes other adapters popular until the end of the day.
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
        generator.choice(zones_of(day)),
        adapter,
        max(1, int(prompt)),
        max(1, int(output)),
        at,
    )


def _draw_organisation(day: Day, generator: random.Random, at: float) -> str:
    rows = day.organisations
    if not rows:
        return ""
    weights = [row.weight for row in rows]
    for hot in _active(day, "hot_organisation", at):
        weights[0] *= hot.x
    return generator.choices(rows, weights)[0].name


def _popularity(kind: RequestKind) -> list[float]:
    """Return the cumulated weights of the adapters."""
    return list(
        itertools.accumulate(
            (number + 1.0) ** -kind.skew for number in range(kind.adapters)
        )
    )
