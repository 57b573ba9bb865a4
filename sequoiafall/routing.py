"""Routing policies: which server gets a request."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from .pool_state import ServerState
from .prefix_index import PREFIX_BLOCK_WORDS, PrefixIndex
from .waiting import WaitingRequest

# Reading one cached prompt token saves this share of generating one token.
PREFILL_SHARE = 1.0 / 64.0


class RoutingPolicy(ABC):
    """Chooses the server of a request."""

    #: Whether a request is bound to a server when it arrives, before its adapter
    #: is loaded there. Such policies ignore where adapters are resident.
    binds = False

    @abstractmethod
    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return one of the servers (at least one is given)."""


def _work(server: ServerState) -> float:
    return server.work_tokens / (server.row.places or 1)


class LeastWorkLeft(RoutingPolicy):
    """Binds each request to the server with the least expected work."""

    binds = True

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return the server with the least work for each place."""
        return min(servers, key=_work)


class RandomRouting(RoutingPolicy):
    """Binds each request to a random server.

    Parameters
    ----------
    seed : int
        Seed, so that a replay is repeatable.
    """

    binds = True

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return any server."""
        return self._random.choice(servers)


class AffinityRouting(RoutingPolicy):
    """Prefers servers with the adapter resident, then prefix hits, then little work.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Prefixes that engines probably hold.
    """

    def __init__(self, prefix_index: PrefixIndex) -> None:
        self._prefix_index = prefix_index

    def choose(
        self, servers: Sequence[ServerState], waiting: WaitingRequest, now: float
    ) -> ServerState:
        """Return the server with the least work after the tokens that a hit saves."""
        hashes = waiting.request.prefix_hashes
        if not hashes or len(servers) == 1:
            return min(servers, key=_work)

        def score(server: ServerState) -> float:
            blocks = self._prefix_index.cached_blocks(server.name, hashes, now)
            return _work(server) - blocks * PREFIX_BLOCK_WORDS * PREFILL_SHARE

        return min(servers, key=score)
