"""Performance models of engines and the weight store, in virtual time.

An engine decodes one token for every request of its batch in each step. A step
takes longer with more requests and with more distinct adapters in the batch.
All requests of a batch advance together, so the model keeps one step count per
engine and computes when the next request ends instead of simulating each step.
"""

from collections import Counter
from dataclasses import dataclass

from .loads import AdapterKey
from .pool_state import RunningRequest, ServerReport
from .table import BackendServer

STEP_S = 0.020
"""Duration of a decode step with one request."""

STEP_PER_REQUEST_S = 0.0005
STEP_PER_ADAPTER_S = 0.0003
"""Time that each further request or adapter adds to a step."""

PREFILL_TOKENS_PER_S = 4000.0
LOAD_S = 0.25
FULL_SPEED_LOADS = 8
"""Concurrent loads beyond which every load takes proportionally longer."""

REPORT_LAG_S = 0.1


@dataclass(slots=True, frozen=True)
class StepTimes:
    """Duration of a step in seconds, and what each further request or adapter adds."""

    step_s: float = STEP_S
    per_request_s: float = STEP_PER_REQUEST_S
    per_adapter_s: float = STEP_PER_ADAPTER_S

    def seconds(self, requests: int, adapters: int) -> float:
        """Return the duration of a decode step of a batch, in seconds."""
        further_requests = self.per_request_s * max(0, requests - 1)
        return (
            self.step_s + further_requests + self.per_adapter_s * max(0, adapters - 1)
        )


STEP_TIMES = StepTimes()


def ideal_tokens_per_s(requests: int, servers: int, places: int) -> float:
    """Return the highest possible throughput for a number of requests.

    Parameters
    ----------
    requests : int
        Running and waiting requests.
    servers, places : int
        Number of engines, and of places of each.

    Returns
    -------
    float
        Tokens per second if the requests are spread evenly over the engines and
        each engine serves one adapter.
    """
    if servers == 0:
        return 0.0
    filled = min(requests, servers * places)
    per_server, remainder = divmod(filled, servers)
    rate = remainder * (per_server + 1) / STEP_TIMES.seconds(per_server + 1, 1)
    if per_server:
        rate += (servers - remainder) * per_server / STEP_TIMES.seconds(per_server, 1)
    return rate


@dataclass(slots=True)
class ModelRequest:
    """A request in the batch of an engine.

    Parameters
    ----------
    request_id : str
        Identifier.
    key : tuple of (str, str)
        Adapter and version.
    tokens : int
        Tokens to generate.
    joined_at_step : float
        Step count of the engine when the request joined the batch.
    """

    request_id: str
    key: AdapterKey
    tokens: int
    joined_at_step: float


class EngineModel:
    """Model of one engine with its batch and resident adapters.

    Parameters
    ----------
    row : BackendServer
        The server's row in the operators' table.
    times : StepTimes, default=STEP_TIMES
        Durations of decode steps.
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
        self.schedule_id = 0
        self.is_silent = False
        self._request_counts_by_adapter: Counter[AdapterKey] = Counter()
        self._steps = 0.0
        self._updated_at = 0.0

    def advance(self, now: float) -> None:
        """Generate tokens up to `now`."""
        if self.batch_by_id and not self.is_silent:
            elapsed = now - self._updated_at
            steps = elapsed / self.times.seconds(
                len(self.batch_by_id), len(self._request_counts_by_adapter)
            )
            self._steps += steps
            self.generated_tokens += steps * len(self.batch_by_id)
        self._updated_at = now

    def set_silent(self, is_silent: bool, now: float) -> None:
        """Stop to generate tokens, or go on."""
        self.advance(now)
        self.is_silent = is_silent

    def join(self, request_id: str, key: AdapterKey, tokens: int, now: float) -> None:
        """Add a request to the batch after its prefill."""
        self.advance(now)
        self.prefilling_by_id.pop(request_id, None)
        request = ModelRequest(request_id, key, tokens, self._steps)
        self.batch_by_id[request_id] = request
        self._request_counts_by_adapter[key] += 1

    def remove(self, request_id: str, now: float) -> int:
        """Remove a request; return the number of tokens that it generated."""
        self.advance(now)
        self.prefilling_by_id.pop(request_id, None)
        request = self.batch_by_id.pop(request_id, None)
        if request is None:
            return 0
        self._request_counts_by_adapter[request.key] -= 1
        if not self._request_counts_by_adapter[request.key]:
            del self._request_counts_by_adapter[request.key]
        return self._generated(request)

    def next_end(self, now: float) -> tuple[float, str] | None:
        """Return time and identifier of the next request to end, None without any.

        The time holds as long as the batch does not change. A silent engine ends none.
        """
        if not self.batch_by_id or self.is_silent:
            return None
        self.advance(now)
        step_s = self.times.seconds(
            len(self.batch_by_id), len(self._request_counts_by_adapter)
        )
        next_request = min(
            self.batch_by_id.values(),
            key=lambda request: request.joined_at_step + request.tokens,
        )
        remaining_steps = (
            next_request.joined_at_step + next_request.tokens - self._steps
        )
        return now + max(0.0, remaining_steps) * step_s, next_request.request_id

    def first_token_s(self) -> float:
        """Return the duration of the next step in seconds."""
        return self.times.seconds(
            len(self.batch_by_id), len(self._request_counts_by_adapter)
        )

    def restart(self, now: float) -> dict[str, int]:
        """Restart without adapters; return the generated tokens of aborted requests."""
        self.advance(now)
        generated_by_id = {
            request.request_id: self._generated(request)
            for request in self.batch_by_id.values()
        }
        generated_by_id.update(dict.fromkeys(self.prefilling_by_id, 0))
        self.incarnation += 1
        self.is_silent = False
        self.resident.clear()
        self.loading.clear()
        self.batch_by_id.clear()
        self.prefilling_by_id.clear()
        self._request_counts_by_adapter.clear()
        return generated_by_id

    def report(self, now: float) -> ServerReport:
        """Return the state that the engine reports to the pool's owner."""
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
        generated = round(self._steps - request.joined_at_step)
        return max(0, min(request.tokens, generated))


class WeightStoreModel:
    """Model of concurrent loads from the rate-limited weight store.

    Parameters
    ----------
    load_s : float, default=LOAD_S
        Duration of a load at full speed, in seconds.
    full_speed_loads : int, default=FULL_SPEED_LOADS
        Number of concurrent loads that run at full speed.
    """

    def __init__(
        self, load_s: float = LOAD_S, full_speed_loads: int = FULL_SPEED_LOADS
    ) -> None:
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self.in_transit = 0
        self.started = 0
        self.is_down = False

    def start(self) -> float:
        """Start a load; return how long it takes in seconds."""
        self.in_transit += 1
        self.started += 1
        return self._load_s * max(1.0, self.in_transit / self._full_speed_loads)

    def finish(self) -> bool:
        """End a load; return whether it succeeded."""
        self.in_transit -= 1
        return not self.is_down
