"""Bounded queue of place requests, shared by organisations by weight."""

import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .loads import AdapterKey
from .wire.gen.ttypes import PlaceRequest

MAX_WAITING = 1000
# Requests of one queue that are scanned for one that does not exclude a server.
MAX_SCANNED = 8

Group = tuple[AdapterKey, str]


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A queued place request.

    Parameters
    ----------
    request : PlaceRequest
        The request.
    key : tuple of (str, str)
        Adapter and version.
    target : str
        Server that the routing policy selected; empty for any.
    cost : int
        Prompt tokens plus the maximum number of tokens to generate.
    submitted_at, deadline : float
        Times in seconds.
    excluded : frozenset of str
        Servers that must not be used for the request.
    waited_for_load : bool
        Whether the request had to wait for a load of its adapter.
    removed : bool
        Whether it has left the queue; stale references to it are skipped.
    number : int
        Sequence number of its first addition to the queue.
    """

    request: PlaceRequest
    key: AdapterKey
    target: str
    cost: int
    submitted_at: float
    deadline: float
    excluded: frozenset[str]
    waited_for_load: bool = False
    removed: bool = False
    number: int = 0

    @property
    def group(self) -> Group:
        """Key of the requests that can be placed at the same servers."""
        return self.key, self.target


@dataclass(slots=True)
class _GroupQueues:
    by_organisation: dict[str, deque[WaitingRequest]] = field(default_factory=dict)
    work: float = 0.0


class WaitingRequests:
    """Queued requests by group (adapter version and target) and organisation.

    Parameters
    ----------
    weight : callable
        Returns the weight of an organisation.
    limit : int
        Maximum length of the queue.
    """

    def __init__(
        self, weight: Callable[[str], float], limit: int = MAX_WAITING
    ) -> None:
        self.limit = limit
        self.by_request_id: dict[str, WaitingRequest] = {}
        self.count_by_organisation: Counter[str] = Counter()
        self.group_count_by_key: Counter[AdapterKey] = Counter()
        self._weight = weight
        self._queues_by_group: dict[Group, _GroupQueues] = {}
        self._latest_by_organisation: dict[str, list[WaitingRequest]] = {}
        self._deadlines: list[tuple[float, int, WaitingRequest]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self.by_request_id)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to the end of its queue."""
        organisation = waiting.request.organisation
        queues = self._queues_by_group.get(waiting.group)
        if queues is None:
            queues = self._queues_by_group[waiting.group] = _GroupQueues()
            self.group_count_by_key[waiting.key] += 1
        queues.by_organisation.setdefault(organisation, deque()).append(waiting)
        queues.work += waiting.cost * self._weight(organisation)
        self.by_request_id[waiting.request.request_id] = waiting
        self.count_by_organisation[organisation] += 1
        self._latest_by_organisation.setdefault(organisation, []).append(waiting)
        self._number += 1
        waiting.number = waiting.number or self._number
        heapq.heappush(self._deadlines, (waiting.deadline, self._number, waiting))

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request and return it, None if it is not queued."""
        waiting = self.by_request_id.pop(request_id, None)
        if waiting is None:
            return None
        waiting.removed = True
        organisation = waiting.request.organisation
        queues = self._queues_by_group[waiting.group]
        queue = queues.by_organisation[organisation]
        queue.remove(waiting)
        queues.work -= waiting.cost * self._weight(organisation)
        if not queue:
            del queues.by_organisation[organisation]
        if not queues.by_organisation:
            del self._queues_by_group[waiting.group]
            self.group_count_by_key[waiting.key] -= 1
            if not self.group_count_by_key[waiting.key]:
                del self.group_count_by_key[waiting.key]
        self.count_by_organisation[organisation] -= 1
        if not self.count_by_organisation[organisation]:
            del self.count_by_organisation[organisation]
            del self._latest_by_organisation[organisation]
        else:
            self._prune_latest(organisation)
        if len(self._deadlines) > 64 + 2 * len(self.by_request_id):
            self._deadlines = [e for e in self._deadlines if not e[2].removed]
            heapq.heapify(self._deadlines)
        return waiting

    def _prune_latest(self, organisation: str) -> None:
        latest = self._latest_by_organisation[organisation]
        if len(latest) > 64 + 2 * self.count_by_organisation[organisation]:
            self._latest_by_organisation[organisation] = [
                waiting for waiting in latest if not waiting.removed
            ]

    def check_admission(self, organisation: str) -> tuple[bool, WaitingRequest | None]:
        """Decide whether a new request of an organisation may be queued.

        Returns
        -------
        tuple of (bool, WaitingRequest or None)
            Whether it may be queued, and the request to displace if the queue is
            full: the newest one of the organisation furthest above its share.
        """
        if len(self) < self.limit:
            return True, None
        load_by_organisation = {
            name: count / self._weight(name)
            for name, count in self.count_by_organisation.items()
        }
        own = self.count_by_organisation[organisation] + 1
        largest = max(load_by_organisation, key=lambda n: (load_by_organisation[n], n))
        if own / self._weight(organisation) > load_by_organisation[largest]:
            return False, None
        if largest == organisation:
            return False, None
        latest = self._latest_by_organisation[largest]
        while latest[-1].removed:
            latest.pop()
        return True, latest[-1]

    def groups(self) -> Iterator[Group]:
        """Return the groups that have queued requests."""
        return iter(list(self._queues_by_group))

    def has_group(self, group: Group) -> bool:
        """Whether a request of the group is queued."""
        return group in self._queues_by_group

    def work(self, group: Group) -> float:
        """Return the queued tokens of a group, weighted by organisation."""
        queues = self._queues_by_group.get(group)
        return queues.work if queues else 0.0

    def first_by_organisation(
        self, group: Group, server: str
    ) -> Iterator[WaitingRequest]:
        """Return each organisation's first request that does not exclude a server."""
        queues = self._queues_by_group.get(group)
        if queues is None:
            return
        for queue in queues.by_organisation.values():
            for position, waiting in enumerate(queue):
                if position >= MAX_SCANNED:
                    break
                if server not in waiting.excluded:
                    yield waiting
                    break

    def oldest(self, group: Group) -> WaitingRequest | None:
        """Return the longest waiting request of a group, None if there is none."""
        queues = self._queues_by_group.get(group)
        if queues is None:
            return None
        first = (queue[0] for queue in queues.by_organisation.values())
        return min(first, key=lambda waiting: waiting.submitted_at)

    def members(self, group: Group) -> list[WaitingRequest]:
        """Return all requests of a group."""
        queues = self._queues_by_group.get(group)
        if queues is None:
            return []
        return [w for queue in queues.by_organisation.values() for w in queue]

    def expired(self, now: float) -> Iterator[WaitingRequest]:
        """Return the queued requests whose deadline has passed, each one once."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, waiting = heapq.heappop(self._deadlines)
            if not waiting.removed:
                yield waiting
