"""Deterministic text, prefix cache and batching of the simulated engine."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash

# Prompt tokens that prefill processes in about the time of one decode step.
PREFILL_TOKENS_PER_STEP = 64
# Relative increase of the step time for each further request in the batch.
BATCH_STEP_OVERHEAD = 0.02

_SYLLABLES = ("ka", "lo", "mi", "ne", "ru", "sa", "ti", "vu", "ze", "pa")


def token_text(prompt: str, adapter: str, version: str, offset: int) -> str:
    """Return the token at an offset of the completion of a prompt."""
    seed = f"{prompt}\0{adapter}\0{version}\0{offset}"
    number = xxhash.xxh64_intdigest(seed.encode())
    return " " + "".join(_SYLLABLES[number // 10**i % 10] for i in range(3))


def completion_text(prompt: str, adapter: str, version: str, max_tokens: int) -> str:
    """Return the whole completion that the engine generates for a prompt."""
    return "".join(token_text(prompt, adapter, version, i) for i in range(max_tokens))


class PrefixCache:
    """LRU cache of prefix blocks that logs its changes as events.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, object]] = []

    def use(self, hashes: list[int]) -> int:
        """Insert the blocks of a prompt and return the length of the cached prefix."""
        cached = 0
        for value in hashes:
            if value not in self._blocks:
                break
            cached += 1
            self._blocks.move_to_end(value)
        for value in hashes[cached:]:
            self._blocks[value] = None
            self._emit("stored", value)
        while len(self._blocks) > self.capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._emit("removed", dropped)
        return cached

    def hashes(self) -> list[int]:
        """Return the hashes of all cached blocks."""
        return list(self._blocks)

    def _emit(self, kind: str, value: int) -> None:
        sequence = len(self.events) + 1
        self.events.append({"sequence": sequence, "kind": kind, "hash": value})


@dataclass(slots=True, eq=False)
class Generation:
    """A completion request in the engine and its output so far."""

    request_id: str
    prompt: str
    adapter: str
    version: str
    max_tokens: int
    offset: int = 0
    priority: int = 0
    prefill_steps: int = 0
    generated: int = field(init=False, default=0)
    # Token offsets, then an end marker: None when complete, or "moved" or "killed".
    output: asyncio.Queue[int | str | None] = field(default_factory=asyncio.Queue)

    def __post_init__(self) -> None:
        self.generated = self.offset

    @property
    def text_key(self) -> tuple[str, str, str]:
        """Arguments of `token_text` that identify the completion."""
        return self.prompt, self.adapter, self.version


class Batch:
    """Continuous batching: each step generates a token for each running request.

    Requests in prefill get no token.

    Parameters
    ----------
    max_running : int
        Maximum number of running requests.
    """

    def __init__(self, max_running: int) -> None:
        self.max_running = max_running
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []

    def __iter__(self) -> Iterator[Generation]:
        return iter([*self.running, *self.waiting])

    def submit(self, generation: Generation) -> None:
        """Queue a request by priority, highest first."""
        self.waiting.append(generation)
        self.waiting.sort(key=lambda waiting: -waiting.priority)

    def remove(self, generation: Generation, end: str) -> None:
        """Remove a request and end its output with a marker."""
        for group in (self.running, self.waiting):
            if generation in group:
                group.remove(generation)
                generation.output.put_nowait(end)

    def relative_step_time(self) -> float:
        """Return the time of the next step relative to a batch of one."""
        return 1.0 + BATCH_STEP_OVERHEAD * max(0, len(self.running) - 1)

    def step(self) -> None:
        """Fill the batch from the queue, then advance each running request."""
        while self.waiting and len(self.running) < self.max_running:
            self.running.append(self.waiting.pop(0))
        for generation in list(self.running):
            if generation.prefill_steps > 0:
                generation.prefill_steps -= 1
                continue
            if generation.generated < generation.max_tokens:
                generation.output.put_nowait(generation.generated)
                generation.generated += 1
            if generation.generated >= generation.max_tokens:
                self.running.remove(generation)
                generation.output.put_nowait(None)
