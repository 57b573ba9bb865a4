"""Model of engines and of the weight store for replays in virtual time.

An engine decodes one token for every request of its batch in each step. A step
takes longer with more requests and with more distinct adapters in the batch.
All requests of a batch advance together, so the model keeps one count of steps
for each engine and computes the next end instead of simulating steps.
"""

from collections import Counter
from dataclasses import dataclass

from .loads import AdapterKey
from .pool_state import RunningRequest, ServerReport
from .table import BackendServer

STEP_S = 0.020
"""Step of a batch of one request."""

STEP_PER_REQUEST_S = 0.0005
STEP_PER_ADAPTER_S = 0.0003
"""Time that each further request and each further adapter add to a step."""

PREFILL_TOKENS_PER_S = 4000.0
LOAD_S = 0.25
UNSLOWED_LOADS = 8
"""Loads in transit beyond which every load takes proportionally longer."""

REPORT_LAG_S = 0.1


@dataclass(slots=True, frozen=True)
class StepTimes:
    """Length of a step in seconds, and what each further part of a batch adds."""

    step_s: float = STEP_S
    per_request_s: float = STEP_PER_REQUEST_S
    per_adapter_s: float = STEP_PER_ADAPTER_S

    def seconds(self, requests: int, adapters: int) -> float:
        """Return the length of a step of a batch."""
        further_requests = self.per_request_s * max(0, requests - 1)
        return (
            self.step_s + further_requests + self.per_adapter_s * max(0, adapters - 1)
        )


STEP_TIMES = StepTimes()


def best_tokens_per_s(requests: int, servers: int, places: int) -> float:
    """Return what engines generate at best with so many requests.

    Parameters
    ----------
    requests : int
        Requests that run or wait.
    servers, places : int
        Engines, and places of each.

    Returns
    -------
    float
        Tokens per second of evenly filled batches with one adapter each.
    """
    if servers == 0:
        return 0.0
    filled = min(requests, servers * places)
    low, larger = divmod(filled, servers)
    rate = larger * (low + 1) / STEP_TIMES.seconds(low + 1, 1)
    if low:
        rate += (servers - larger) * low / STEP_TIMES.seconds(low, 1)
    return rate


@dataclass(slots=True)
class ModelRequest:
    """A request at an engine.

    Parameters
    ----------
    request_id : str
        Identifier.
    key : tuple of (str, str)
        Adapter and version.
    tokens : int
        Tokens to generate.
    joined_at_step : float
        Count of steps of the engine when the request joined the batch.
    """

    request_id: str
    key: AdapterKey
    tokens: int
    joined_at_step: float


class EngineModel:
    """One engine with its batch and resident adapters.

    Parameters
    ----------
    row : BackendServer
        Row of the table.
    times : StepTimes, default=STEP_TIMES
        Length of its steps.
    """

    def __init__(self, row: BackendServer, times: StepTimes = STEP_TIMES) -> None:
        self.row = row
        self.times = times
        self.incarnation = 1
        self.resident: set[AdapterKey] = set()
        self.loading: set[AdapterKey] = set()
        self.batch_by_id: dict[str, ModelRequest] = {}
        self.prefilling_by_id: dict[str, AdapterKey] = {}
        self.generated_tokens = 0.0
        self.schedule = 0
        self._adapters: Counter[AdapterKey] = Counter()
        self._steps = 0.0
        self._updated_at = 0.0

    def advance(self, now: float) -> None:
        """Generate tokens up to `now`."""
        if self.batch_by_id:
            elapsed = now - self._updated_at
            steps = elapsed / self.times.seconds(
                len(self.batch_by_id), len(self._adapters)
            )
            self._steps += steps
            self.generated_tokens += steps * len(self.batch_by_id)
        self._updated_at = now

    def join(self, request_id: str, key: AdapterKey, tokens: int, now: float) -> None:
        """Add a request to the batch after its prefill."""
        self.advance(now)
        self.prefilling_by_id.pop(request_id, None)
        request = ModelRequest(request_id, key, tokens, self._steps)
        self.batch_by_id[request_id] = request
        self._adapters[key] += 1

    def remove(self, request_id: str, now: float) -> int:
        """Remove a request; return the tokens it has generated."""
        self.advance(now)
        self.prefilling_by_id.pop(request_id, None)
        request = self.batch_by_id.pop(request_id, None)
        if request is None:
            return 0
        self._adapters[request.key] -= 1
        if not self._adapters[request.key]:
            del self._adapters[request.key]
        return self._generated(request)

    def next_end(self, now: float) -> tuple[float, str] | None:
        """Return when which request of the batch ends if nothing changes."""
        if not self.batch_by_id:
            return None
        self.advance(now)
        step = self.times.seconds(len(self.batch_by_id), len(self._adapters))
        first = min(
            self.batch_by_id.values(),
            key=lambda request: request.joined_at_step + request.tokens,
        )
        left = first.joined_at_step + first.tokens - self._steps
        return now + max(0.0, left) * step, first.request_id

    def first_token_s(self) -> float:
        """Return the length of the next step."""
        return self.times.seconds(len(self.batch_by_id), len(self._adapters))

    def restart(self, now: float) -> dict[str, int]:
        """Restart cold; return the tokens generated by each broken request."""
        self.advance(now)
        broken = {
            request.request_id: self._generated(request)
            for request in self.batch_by_id.values()
        }
        broken.update(dict.fromkeys(self.prefilling_by_id, 0))
        self.incarnation += 1
        self.resident.clear()
        self.loading.clear()
        self.batch_by_id.clear()
        self.prefilling_by_id.clear()
        self._adapters.clear()
        return broken

    def report(self, now: float) -> ServerReport:
        """Return the state as the pool's owner reads it."""
        self.advance(now)
        running = [
            RunningRequest(request.request_id, *request.key, self._generated(request))
            for request in self.batch_by_id.values()
        ]
        running += [
            RunningRequest(request_id, *key, 0)
            for request_id, key in self.prefilling_by_id.items()
        ]
        return ServerReport(
            server=self.row.name,
            incarnation=self.incarnation,
            requested_at=now,
            resident=tuple(self.resident),
            loading=tuple(self.loading),
            running=tuple(running),
            places=self.row.places,
            adapter_slots=self.row.adapter_slots,
        )

    def _generated(self, request: ModelRequest) -> int:
        done = round(self._steps - request.joined_at_step)
        return max(0, min(request.tokens, done))


class WeightStoreModel:
    """Loads in transit from the rate-limited weight store.

    Parameters
    ----------
    load_s : float, default=LOAD_S
        Time of one load in seconds.
    unslowed : int, default=UNSLOWED_LOADS
        Loads in transit at full speed.
    """

    def __init__(self, load_s: float = LOAD_S, unslowed: int = UNSLOWED_LOADS) -> None:
        self._load_s = load_s
        self._unslowed = unslowed
        self.in_transit = 0
        self.started = 0
        self.is_down = False

    def start(self) -> float:
        """Start a load; return how long it takes in seconds."""
        self.in_transit += 1
        self.started += 1
        return self._load_s * max(1.0, self.in_transit / self._unslowed)

    def finish(self) -> bool:
        """End a load; return whether it succeeded."""
        self.in_transit -= 1
        return not self.is_down
