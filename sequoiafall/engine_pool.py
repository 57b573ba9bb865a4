"""State of a service's engines as the leader believes it to be."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median_low

from .backend_registry import BackendEntry
from .retry import back_off_s
from .server_notices import RAMP_UP_S

# An engine's report shows the state of some 100 ms ago; what was ordered or
# observed within this time goes before a report.
REPORT_LAG_S = 0.35
# Adapters whose weights an engine keeps in its memory, for each of its slots; the
# sheets give 30 for 5 slots, 36 for 6 and 48 for 8.
WARM_ADAPTERS_PER_SLOT = 6
# Prompt tokens that an engine reads in a second beside the steps for its running
# requests; the sheets give 25,800 without them, and 8.2 ms a step of 1,024.
PREFILL_TOKENS_PER_S = 22_000.0
# An engine answers an order within a few ms, if it does.
ORDER_ANSWER_S = 0.05
# A base model that is not there this long after its order is ordered again, at an
# engine that does not say whether it is loading one. An engine that does not
# report takes no turn at the weight store after this time.
MODEL_LOAD_LIMIT_S = 6.0
# Weight of the newest outcome in an engine's share of failures.
FAILURE_WEIGHT = 0.25
# A share of failures halves in this time without a further failure.
FAILURE_HALF_LIFE_S = 1.5
# An engine that cannot be reached gets nothing for this long, doubling with each
# further failure up to the limit.
AVOID_S = 0.5
AVOID_LIMIT_S = 4.0
# Two failures in this time count as a sequence.
FAILURE_MEMORY_S = 6.0


class SlotState(enum.Enum):
    """State of an adapter slot."""

    LOADING = "loading"
    RESIDENT = "resident"
    # An order's outcome is unknown; the slot counts as taken.
    UNKNOWN = "unknown"


class ModelState(enum.Enum):
    """Whether an engine has its base model; it starts without it."""

    ABSENT = "absent"
    ORDERED = "ordered"
    PRESENT = "present"


@dataclass(slots=True)
class EngineSlot:
    """An adapter that takes one of an engine's slots.

    Parameters
    ----------
    adapter : str
        Name of the adapter.
    version : int
        Its version, 0 if the engine chose the newest one.
    state : SlotState
        Whether requests can be sent.
    ready_at, changed_at, used_at : float
        When a load is expected to end, when the state last changed and when the
        slot last got a request, in seconds.
    uses : int
        Requests that were given this slot and have not ended.
    from_store : bool
        Whether the weights come from the weight store.
    is_ordered : bool
        Whether an order for this slot is on its way.
    sequence : int
        For an unknown slot, the sequence that its order was sent with. The order
        can take effect until the engine has accepted another one.
    """

    adapter: str
    version: int
    state: SlotState
    ready_at: float
    changed_at: float
    used_at: float = 0.0
    uses: int = 0
    from_store: bool = False
    is_ordered: bool = False
    sequence: int = -1


class Condition(enum.Enum):
    """Why an engine gets work or not."""

    USABLE = "usable"
    LEAVING = "leaving"
    WITHOUT_MODEL = "without model"
    SILENT = "silent"
    PAUSING = "pausing"
    FAILING = "failing"
    FAILING_BUT_USED = "failing but used"


@dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine says of itself, some 100 ms old.

    Parameters
    ----------
    sequence : int
        Orders that the engine has accepted.
    resident, incoming : dict of str to int
        Versions by adapter that it holds or is loading.
    running, waiting : int
        Requests at the engine.
    born : int
        Unix time of its start in milliseconds, 0 if it does not say.
    models : frozenset of str
        Base models that it holds.
    is_loading_model : bool or None
        Whether a base model is on its way, None if it does not say.
    copies : frozenset of str
        Base models that it can load without the weight store.
    """

    sequence: int
    resident: dict[str, int]
    incoming: dict[str, int]
    running: int
    waiting: int
    born: int = 0
    models: frozenset[str] = frozenset()
    is_loading_model: bool | None = None
    copies: frozenset[str] = frozenset()


class PoolIndex:
    """What the engines of a pool come to as a whole.

    Attributes
    ----------
    changed : set of str
        Engines of which a slot, or its use, has changed since the reader of
        this set last looked.
    moving : set of str
        Engines that may have an adapter on its way.
    uses_failing : bool
        Whether engines that fail requests are used nevertheless, as most do.
    usual_failing : float
        Median share of failures; an engine is worse only by what is above it.
    """

    __slots__ = (
        "_holders_by_adapter",
        "changed",
        "moving",
        "uses_failing",
        "usual_failing",
    )

    def __init__(self) -> None:
        self._holders_by_adapter: dict[str, dict[str, Engine]] = {}
        self.changed: set[str] = set()
        self.moving: set[str] = set()
        self.uses_failing = False
        self.usual_failing = 0.0

    def holders(self, adapter: str) -> Collection[Engine]:
        """Return the engines with a slot for an adapter, in whatever state."""
        return self._holders_by_adapter.get(adapter, {}).values()

    def add(self, adapter: str, engine: Engine) -> None:
        """Note that an engine has a slot for an adapter."""
        self._holders_by_adapter.setdefault(adapter, {})[engine.name] = engine
        self.changed.add(engine.name)
        self.moving.add(engine.name)

    def discard(self, adapter: str, engine: Engine) -> None:
        """Note that an engine has no slot for an adapter any more."""
        holders = self._holders_by_adapter.get(adapter, {})
        holders.pop(engine.name, None)
        if not holders:
            self._holders_by_adapter.pop(adapter, None)
        self.changed.add(engine.name)


@dataclass(slots=True)
class Engine:
    """One engine with its slots and its estimated backlog."""

    entry: BackendEntry
    adapter_slots: int
    index: PoolIndex = field(default_factory=PoolIndex)
    slots_by_adapter: dict[str, EngineSlot] = field(default_factory=dict)
    warm: OrderedDict[tuple[str, int], None] = field(default_factory=OrderedDict)
    running: int = 0
    busy_until: float = 0.0
    failure_share: float = 0.0
    failures: int = 0
    failed_at: float = 0.0
    avoided_until: float = 0.0
    silences: int = 0
    silent_until: float = 0.0
    paused_until: float = 0.0
    stalled_until: float = 0.0
    ordered_at: float = 0.0
    pending_orders: int = 0
    born: int = 0
    is_known: bool = False
    model_state: ModelState = ModelState.ABSENT
    model_changed_at: float = 0.0
    keeps_copy: bool = False
    reported_at: float = 0.0

    @property
    def name(self) -> str:
        """Identity of the engine."""
        return self.entry.name

    def put_slot(self, slot: EngineSlot) -> None:
        """Take a slot for an adapter."""
        self.slots_by_adapter[slot.adapter] = slot
        self.index.add(slot.adapter, self)

    def drop_slot(self, adapter: str) -> None:
        """Give up the slot of an adapter."""
        del self.slots_by_adapter[adapter]
        self.index.discard(adapter, self)

    def set_state(self, slot: EngineSlot, state: SlotState) -> None:
        """Change the state of one of the slots."""
        slot.state = state
        self.index.changed.add(self.name)
        if state is not SlotState.RESIDENT:
            self.index.moving.add(self.name)

    def use_slot(self, slot: EngineSlot) -> None:
        """Count one more request that needs a slot."""
        slot.uses += 1
        self.index.changed.add(self.name)

    def release_slot(self, slot: EngineSlot) -> None:
        """Count one request less that needs a slot."""
        slot.uses = max(0, slot.uses - 1)
        self.index.changed.add(self.name)

    def takes_work(self, now: float) -> bool:
        """Whether requests may be sent to the engine."""
        if self.model_state is not ModelState.PRESENT:
            return False
        if self.entry.is_leaving or now < max(self.silent_until, self.paused_until):
            return False
        return now >= self.avoided_until or self.index.uses_failing

    def condition(self, now: float) -> Condition:
        """Return why the engine gets work or not, for the log."""
        if self.entry.is_leaving:
            return Condition.LEAVING
        if self.model_state is not ModelState.PRESENT:
            return Condition.WITHOUT_MODEL
        if now < self.silent_until:
            return Condition.SILENT
        if now < self.paused_until:
            return Condition.PAUSING
        if now >= self.avoided_until:
            return Condition.USABLE
        if self.index.uses_failing:
            return Condition.FAILING_BUT_USED
        return Condition.FAILING

    def takes_orders(self, now: float) -> bool:
        """Whether the engine can be told to load an adapter."""
        return self.is_known and self.takes_work(now) and now >= self.stalled_until

    def lacks_model(self) -> bool:
        """Whether the base model has to be loaded."""
        return self.model_state is ModelState.ABSENT and not self.entry.is_leaving

    def loads_from_store(self, now: float) -> bool:
        """Whether its base model may be on its way from the weight store.

        An engine that does not report holds up the others for a while only.
        """
        if self.model_state is not ModelState.ORDERED or self.keeps_copy:
            return False
        return not self.silences or now - self.model_changed_at < MODEL_LOAD_LIMIT_S

    def backlog_s(self, now: float) -> float:
        """Return the seconds until the prompts placed here have been read."""
        return max(0.0, self.busy_until - now)

    def in_transit(self) -> int:
        """Return the number of adapters that are on their way to this engine."""
        return sum(
            1
            for slot in self.slots_by_adapter.values()
            if slot.state is not SlotState.RESIDENT
        )

    def finish_loads(self, now: float) -> None:
        """Take the loads whose expected time has passed for ended."""
        for slot in self.slots_by_adapter.values():
            is_over = not slot.is_ordered and now >= slot.ready_at
            if slot.state is SlotState.LOADING and is_over:
                self.set_state(slot, SlotState.RESIDENT)
                slot.changed_at = now
                self.remember(slot.adapter, slot.version)

    def is_warm(self, adapter: str, version: int) -> bool:
        """Whether the engine held this version lately and still has its weights."""
        return (adapter, version) in self.warm

    def remember(self, adapter: str, version: int) -> None:
        """Note that the engine has held a version of an adapter."""
        self.warm.pop((adapter, version), None)
        self.warm[adapter, version] = None
        while len(self.warm) > WARM_ADAPTERS_PER_SLOT * max(1, self.adapter_slots):
            self.warm.popitem(last=False)

    def note_use(self, tokens: int, start: float) -> None:
        """Add a request whose prompt is read from `start` on."""
        self.running += 1
        self.busy_until = max(self.busy_until, start) + tokens / PREFILL_TOKENS_PER_S

    def note_end(self) -> None:
        """Remove a request."""
        self.running = max(0, self.running - 1)

    def return_share(self, now: float) -> float:
        """Return the part of the return after a pause that is still to come."""
        if not self.paused_until:
            return 0.0
        share = 1.0 - (now - self.paused_until) / RAMP_UP_S
        return min(1.0, max(0.0, share))

    def failing(self, now: float) -> float:
        """Return the share of failures; it fades, so that the engine is tried again."""
        if not self.failure_share:
            return 0.0
        age_s = max(0.0, now - self.failed_at)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def note_success(self) -> None:
        """Count an answer."""
        self.failures = 0
        self.failure_share *= 1.0 - FAILURE_WEIGHT

    def note_failure(self, now: float, is_unreachable: bool) -> None:
        """Count a failed request; an unreachable engine is avoided for a while."""
        share = self.failing(now)
        self.failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        if now - self.failed_at > FAILURE_MEMORY_S:
            self.failures = 0
        self.failures += 1
        self.failed_at = now
        if is_unreachable or self.failures >= 3:
            self.avoided_until = max(
                self.avoided_until,
                now + back_off_s(AVOID_S, self.failures, AVOID_LIMIT_S),
            )

    def excess_failing(self, now: float) -> float:
        """Return the share of failures above the median of the pool."""
        return max(0.0, self.failing(now) - self.index.usual_failing)

    def note_silence(self, now: float) -> None:
        """Count a report that could not be had; the next one ends the silence."""
        self.silences += 1
        self.silent_until = max(
            self.silent_until, now + back_off_s(AVOID_S, self.silences, AVOID_LIMIT_S)
        )

    def is_settled(self, now: float) -> bool:
        """Whether a report shows the effect of all orders."""
        return not self.pending_orders and self.ordered_at <= now - REPORT_LAG_S

    def clear(self) -> None:
        """Forget everything that a restart of the engine has dropped."""
        for adapter in list(self.slots_by_adapter):
            self.drop_slot(adapter)
        self.warm.clear()
        self.running = 0
        self.busy_until = 0.0
        self.is_known = False
        self.model_state = ModelState.ABSENT

    def observe(self, report: EngineReport, now: float) -> bool:
        """Reconcile the slots with a report.

        Returns
        -------
        bool
            Whether the engine has started anew.
        """
        self.reported_at = now
        self.silences, self.silent_until = 0, 0.0
        restarted = bool(report.born and self.born and report.born != self.born)
        if restarted:
            self.clear()
        self.born = report.born or self.born
        before = now - REPORT_LAG_S
        is_settled = self.is_settled(now)
        self._observe_model(report, before)
        for name, slot in list(self.slots_by_adapter.items()):
            if slot.is_ordered or (slot.changed_at > before and not is_settled):
                continue
            held = report.resident.get(name)
            if held is not None:
                if held != slot.version or slot.state is not SlotState.RESIDENT:
                    slot.version = held
                    self.set_state(slot, SlotState.RESIDENT)
                    slot.changed_at = now
                    self.remember(name, held)
            elif name in report.incoming:
                if slot.state is SlotState.UNKNOWN:
                    self.set_state(slot, SlotState.LOADING)
                slot.ready_at = max(slot.ready_at, now)
            elif report.sequence > slot.sequence:
                self.drop_slot(name)
        if is_settled:
            self.is_known = True
            self._adopt(report, now)
        return restarted

    def _observe_model(self, report: EngineReport, before: float) -> None:
        self.keeps_copy = bool(report.copies)
        if report.models:
            self.model_state = ModelState.PRESENT
            return
        if self.model_changed_at > before or self.pending_orders:
            return
        if report.is_loading_model:
            # An earlier leader may have ordered it.
            self.model_state = ModelState.ORDERED
            return
        is_over = report.is_loading_model is False
        is_over = is_over or before - self.model_changed_at > MODEL_LOAD_LIMIT_S
        if self.model_state is ModelState.PRESENT or is_over:
            self.model_state = ModelState.ABSENT

    def _adopt(self, report: EngineReport, now: float) -> None:
        for name, version in report.resident.items():
            if name not in self.slots_by_adapter:
                self.put_slot(EngineSlot(name, version, SlotState.RESIDENT, now, now))
                self.remember(name, version)
        for name, version in report.incoming.items():
            if name not in self.slots_by_adapter:
                self.put_slot(EngineSlot(name, version, SlotState.LOADING, now, now))


class EnginePool:
    """The engines of one service."""

    __slots__ = ("adapter_slots", "engines_by_name", "index")

    def __init__(self, adapter_slots: int = 0) -> None:
        self.adapter_slots = adapter_slots
        self.engines_by_name: dict[str, Engine] = {}
        self.index = PoolIndex()

    def set_entries(self, entries: Iterable[BackendEntry]) -> list[str]:
        """Take over the announced engines and return the names of those that left."""
        present = {entry.name: entry for entry in entries}
        left = [name for name in self.engines_by_name if name not in present]
        for name in left:
            self.engines_by_name.pop(name).clear()
            self.index.changed.add(name)
        for name, entry in present.items():
            engine = self.engines_by_name.get(name)
            if engine is None:
                engine = Engine(entry, self.adapter_slots, self.index)
                self.engines_by_name[name] = engine
                self.index.changed.add(name)
                continue
            if engine.adapter_slots != self.adapter_slots:
                engine.adapter_slots = self.adapter_slots
                self.index.changed.add(name)
            moved = entry.address != engine.entry.address
            reborn = entry.born and engine.born and entry.born != engine.born
            if moved or reborn:
                engine.clear()
                engine.born = entry.born
            engine.entry = entry
        return left

    def weigh_failures(self, now: float) -> None:
        """Compare the failures of all engines.

        While most of them fail requests, avoiding them would leave nothing.
        """
        engines = [
            engine
            for engine in self.engines_by_name.values()
            if not engine.entry.is_leaving and now >= engine.silent_until
        ]
        avoided = sum(1 for engine in engines if now < engine.avoided_until)
        self.index.uses_failing = 2 * avoided > len(engines)
        shares = [engine.failing(now) for engine in engines]
        self.index.usual_failing = median_low(shares) if any(shares) else 0.0

    def finish_loads(self, now: float) -> None:
        """Take the loads whose expected time has passed for ended."""
        for name in list(self.index.moving):
            engine = self.engines_by_name.get(name)
            if engine is not None:
                engine.finish_loads(now)
            if engine is None or not engine.in_transit():
                self.index.moving.discard(name)

    def transfers(self, now: float) -> int:
        """Return the adapters on their way from the store to any engine.

        An order that has not been answered for long has not started a transfer.
        """
        return sum(
            1
            for name in self.index.moving
            if name in self.engines_by_name
            for slot in self.engines_by_name[name].slots_by_adapter.values()
            if slot.from_store
            and slot.state is SlotState.LOADING
            and not (slot.is_ordered and now - slot.changed_at > ORDER_ANSWER_S)
        )
