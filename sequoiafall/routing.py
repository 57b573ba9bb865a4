"""Routing policies, which choose the server for a request."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from .pool_state import ServerState
from .prefix_index import PREFIX_BLOCK_WORDS, PrefixIndex
from .waiting import WaitingRequest

# Cost that one cached prompt token saves, relative to generating one token.
CACHED_TOKEN_COST_RATIO = 1.0 / 64.0


class RoutingPolicy(ABC):
    """Chooses the server for a request."""

    #: Whether a request is bound to a server on arrival, before its adapter is loaded
    #: there. Such policies ignore where adapters are resident.
    binds_on_arrival = False

    @abstractmethod
    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return one of the given servers, which are never empty."""


def _work_per_place(server: ServerState) -> float:
    return server.work_tokens / (server.row.places or 1)


class LeastWorkLeft(RoutingPolicy):
    """Binds each request to the server with the least expected work."""

    binds_on_arrival = True

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return the server with the least expected work per place."""
        return min(servers, key=_work_per_place)


class RandomRouting(RoutingPolicy):
    """Binds each request to a random server.

    Parameters
    ----------
    seed : int
        Seed of the random generator, which makes replays repeatable.
    """

    binds_on_arrival = True

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return a random server."""
        return self._random.choice(servers)


class AffinityRouting(RoutingPolicy):
    """Prefers the server with the least work after savings from cached prefixes.

    The scheduler offers only servers at which the adapter is already resident.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Index of the prompt prefixes that engines probably have cached.
    """

    def __init__(self, prefix_index: PrefixIndex) -> None:
        self._prefix_index = prefix_index

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return the server with the least work, less the tokens that a hit saves."""
        hashes = waiting.request.prefix_hashes
        if not hashes or len(servers) == 1:
            return min(servers, key=_work_per_place)

        def score(server: ServerState) -> float:
            blocks = self._prefix_index.cached_blocks(server.name, hashes, now)
            return (
                _work_per_place(server)
                - blocks * PREFIX_BLOCK_WORDS * CACHED_TOKEN_COST_RATIO
            )

        return min(servers, key=score)
