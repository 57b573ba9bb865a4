"""Requests that crash each server that runs them, and come again at all nodes."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .configuration import KEYS_BY_ORGANISATION
from .crash_budget import CrashBudget

# Adapters of the further requests, sound or deadly.
ADAPTER_COUNT = 8
# Crashes after which a request is known.
KNOWN_CRASHES = 3


@dataclass(slots=True, frozen=True)
class DeadlyRequest:
    """What all sends of a deadly request have in common."""

    route: str
    target: str
    method: str
    body: bytes
    organisation: str
    adapter: str
    parts: str


class DeadlyRequests(CrashBudget):
    """Chooses deadly requests and counts their arrivals at servers.

    Parameters
    ----------
    seed : int
        Determines the requests.
    generator : random.Random
        Source of the choices.
    """

    def __init__(self, seed: int, generator: random.Random) -> None:
        super().__init__(KNOWN_CRASHES)
        self._seed = seed
        self._random = generator
        self._count = 0
        self.active: list[DeadlyRequest] = []

    def add(self, route: str) -> DeadlyRequest:
        """Make a request of a route deadly."""
        self._count += 1
        number = self._count
        method = "GET" if route == "look" else "POST"
        request = DeadlyRequest(
            route,
            f"/{route}/{self._seed}/{number}?part={number}",
            method,
            f"deadly {number}".encode() if method == "POST" else b"",
            self._random.choice(sorted(KEYS_BY_ORGANISATION)),
            f"a{self._random.randint(1, ADAPTER_COUNT)}",
            f"6d2f:568,c{self._random.randrange(5)}:200,own-deadly{number}:250",
        )
        self.active.append(request)
        return request
