"""The leader's model of a service's engines: slots, backlog, failures and loads."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median_low

from .backend_registry import BackendEntry
from .request_allowance import RequestAllowance
from .retry import back_off_s
from .server_notices import RAMP_UP_S

# Reports are about 100 ms old. Orders and observations within this time take
# precedence over a report.
REPORT_LAG_S = 0.35
# Adapters that an engine caches in host memory, per slot. The data sheets give 30
# for 5 slots, 36 for 6 and 48 for 8.
WARM_ADAPTERS_PER_SLOT = 6
# Prefill throughput of an engine that also runs decode steps. The data sheets give
# 25,800 without decoding, and 8.2 ms for a step of 1,024 tokens.
PREFILL_TOKENS_PER_S = 22_000.0
# Engines respond to an order within a few ms. An order without a response after this
# time has not started a transfer.
ORDER_RESPONSE_S = 0.05
# Timeout of a base model load: the order is repeated if the engine does not report
# whether it is loading a model. A silent engine stops counting as a concurrent load
# of the weight store after this time.
MODEL_LOAD_LIMIT_S = 6.0
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.25
# Half-life of the share of failures while no further request fails.
FAILURE_HALF_LIFE_S = 1.5
# Initial and maximum time for which an unreachable engine is avoided; the time
# doubles with each consecutive failure.
AVOID_S = 0.5
AVOID_LIMIT_S = 4.0
# Failures further apart than this are not consecutive.
FAILURE_MEMORY_S = 6.0


class SlotState(enum.Enum):
    """State of an adapter slot."""

    LOADING = "loading"
    RESIDENT = "resident"
    # The outcome of an order is unknown; the slot counts as taken.
    UNKNOWN = "unknown"


class ModelState(enum.Enum):
    """State of an engine's base model; engines start without one."""

    ABSENT = "absent"
    ORDERED = "ordered"
    PRESENT = "present"


@dataclass(slots=True)
class EngineSlot:
    """An adapter slot of an engine.

    Parameters
    ----------
    adapter : str
        Name of the adapter.
    version : int
        Its version, 0 if the engine chose the newest one.
    state : SlotState
        State of the adapter in the slot.
    ready_at, changed_at, used_at : float
        Expected end of the load, last change of state and last assigned request,
        in seconds.
    uses : int
        Running or waiting requests that are assigned to the slot.
    from_store : bool
        Whether the weights come from the weight store.
    is_ordered : bool
        Whether a load order for the slot awaits its response.
    sequence : int
        For a slot in state `UNKNOWN`, the sequence number that its order was sent
        with. The order can take effect until the engine accepts another one.
    is_confirmed : bool
        Whether the engine has shown that the adapter is loaded. One that is still on
        its way takes a slot even after an order to unload it.
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
    is_confirmed: bool = False


class EngineCondition(enum.Enum):
    """Whether an engine is eligible for requests, and why not."""

    USABLE = "usable"
    LEAVING = "leaving"
    WITHOUT_MODEL = "without model"
    SILENT = "silent"
    PAUSING = "pausing"
    LIMITED = "limited"
    FAILING = "failing"
    FAILING_BUT_USED = "failing but used"


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State that an engine reports about itself, about 100 ms old.

    Parameters
    ----------
    sequence : int
        Number of orders that the engine has accepted.
    resident, incoming : dict of str to int
        Versions of the resident and the loading adapters, by adapter.
    running, waiting : int
        Running and queued requests at the engine.
    born : int
        Unix time of the engine's start in milliseconds, 0 if not reported.
    models : frozenset of str
        Loaded base models.
    is_loading_model : bool or None
        Whether a base model is being loaded, None if not reported.
    local_models : frozenset of str
        Base models that it can load from local copies, without the weight store.
    """

    sequence: int
    resident: dict[str, int]
    incoming: dict[str, int]
    running: int
    waiting: int
    born: int = 0
    models: frozenset[str] = frozenset()
    is_loading_model: bool | None = None
    local_models: frozenset[str] = frozenset()


class PoolIndex:
    """Index and statistics over all engines of a pool.

    Attributes
    ----------
    changed : set of str
        Engines whose slots, or the use of them, changed since the consumer last
        cleared this set.
    transferring : set of str
        Engines that may have an adapter load in flight.
    is_in_panic_mode : bool
        Whether avoided engines are used nevertheless, because more than half of
        the pool is avoided.
    median_failure_share : float
        Median share of failures; engines are penalised only for the excess.
    allowances_by_server : mapping of str to RequestAllowance
        Allowances of the engines that have a limit.
    uses_by_key : Counter of (str, str)
        Running and waiting requests by engine and adapter. They count also while no
        slot holds the adapter: a new leader learns of places before it has read the
        engine's report.
    """

    __slots__ = (
        "_holders_by_adapter",
        "allowances_by_server",
        "changed",
        "is_in_panic_mode",
        "median_failure_share",
        "transferring",
        "uses_by_key",
    )

    def __init__(
        self, allowances_by_server: Mapping[str, RequestAllowance] | None = None
    ) -> None:
        self.allowances_by_server = (
            {} if allowances_by_server is None else allowances_by_server
        )
        self._holders_by_adapter: dict[str, dict[str, Engine]] = {}
        self.changed: set[str] = set()
        self.transferring: set[str] = set()
        self.uses_by_key: Counter[tuple[str, str]] = Counter()
        self.is_in_panic_mode = False
        self.median_failure_share = 0.0

    def holders(self, adapter: str) -> Collection[Engine]:
        """Return the engines with a slot for an adapter, in any state."""
        return self._holders_by_adapter.get(adapter, {}).values()

    def add(self, adapter: str, engine: Engine) -> None:
        """Add an engine that has a slot for an adapter."""
        self._holders_by_adapter.setdefault(adapter, {})[engine.name] = engine
        self.changed.add(engine.name)
        self.transferring.add(engine.name)

    def discard(self, adapter: str, engine: Engine) -> None:
        """Remove an engine that no longer has a slot for an adapter."""
        holders = self._holders_by_adapter.get(adapter, {})
        holders.pop(engine.name, None)
        if not holders:
            self._holders_by_adapter.pop(adapter, None)
        self.changed.add(engine.name)


@dataclass(slots=True)
class Engine:
    """State of one engine: slots, warm adapters, backlog and failures.

    All times are in seconds.

    Attributes
    ----------
    warm_versions : OrderedDict
        Adapter versions expected in host memory, the least recently used first.
    busy_until : float
        Time at which the prefill of all assigned requests is expected to end.
    failure_share : float
        Moving average of failures (0 to 1) as of `failed_at`.
    avoided_until, silent_until, paused_until : float
        Until when the engine gets no requests: after failures, after unreadable
        reports, and at its own request.
    stalled_until : float
        Until when it gets no orders, after one without a response.
    ordered_at, pending_orders : float, int
        Time of the last result of an order, and orders that have none yet.
    is_synced : bool
        Whether the slots agree with a report that shows the effect of all orders.
    """

    entry: BackendEntry
    adapter_slots: int
    index: PoolIndex = field(default_factory=PoolIndex)
    slots_by_adapter: dict[str, EngineSlot] = field(default_factory=dict)
    warm_versions: OrderedDict[tuple[str, int], None] = field(
        default_factory=OrderedDict
    )
    running: int = 0
    busy_until: float = 0.0
    failure_share: float = 0.0
    consecutive_failures: int = 0
    failed_at: float = 0.0
    avoided_until: float = 0.0
    missed_reports: int = 0
    silent_until: float = 0.0
    paused_until: float = 0.0
    stalled_until: float = 0.0
    ordered_at: float = 0.0
    pending_orders: int = 0
    born: int = 0
    is_synced: bool = False
    model_state: ModelState = ModelState.ABSENT
    model_changed_at: float = 0.0
    has_local_model: bool = False
    reported_at: float = 0.0

    @property
    def name(self) -> str:
        """Name of the engine."""
        return self.entry.name

    def put_slot(self, slot: EngineSlot) -> None:
        """Add a slot, replacing the adapter's current one."""
        slot.uses = self.index.uses_by_key[self.name, slot.adapter]
        self.slots_by_adapter[slot.adapter] = slot
        self.index.add(slot.adapter, self)

    def drop_slot(self, adapter: str) -> None:
        """Remove the slot of an adapter."""
        del self.slots_by_adapter[adapter]
        self.index.discard(adapter, self)

    def set_state(self, slot: EngineSlot, state: SlotState) -> None:
        """Set the state of one of the slots."""
        slot.state = state
        slot.is_confirmed &= state is SlotState.RESIDENT
        self.index.changed.add(self.name)
        if state is not SlotState.RESIDENT:
            self.index.transferring.add(self.name)

    def confirm_slot(self, slot: EngineSlot) -> None:
        """Record that the engine has shown that an adapter is loaded."""
        if not slot.is_confirmed:
            slot.is_confirmed = True
            self.index.changed.add(self.name)

    @property
    def allowance(self) -> RequestAllowance | None:
        """Allowance of an engine that has a limit, else None."""
        return self.index.allowances_by_server.get(self.entry.name)

    def has_allowance(self, now: float) -> bool:
        """Whether the engine's limit allows a request now."""
        allowance = self.allowance
        return allowance is None or allowance.has(now)

    def takes_work(self, now: float) -> bool:
        """Whether the engine is eligible for requests and its limit allows one now."""
        return self.has_allowance(now) and self.is_eligible(now)

    def is_eligible(self, now: float) -> bool:
        """Whether the engine is eligible for requests, whatever its limit."""
        if self.model_state is not ModelState.PRESENT:
            return False
        if self.entry.is_leaving or now < max(self.silent_until, self.paused_until):
            return False
        return now >= self.avoided_until or self.index.is_in_panic_mode

    def condition(self, now: float) -> EngineCondition:
        """Return whether the engine is eligible, and why not, for the log."""
        if self.entry.is_leaving:
            return EngineCondition.LEAVING
        if self.model_state is not ModelState.PRESENT:
            return EngineCondition.WITHOUT_MODEL
        if now < self.silent_until:
            return EngineCondition.SILENT
        if now < self.paused_until:
            return EngineCondition.PAUSING
        if now >= self.avoided_until:
            is_limited = self.allowance is not None
            return EngineCondition.LIMITED if is_limited else EngineCondition.USABLE
        if self.index.is_in_panic_mode:
            return EngineCondition.FAILING_BUT_USED
        return EngineCondition.FAILING

    def takes_orders(self, now: float) -> bool:
        """Whether the engine can be ordered to load an adapter.

        The limit of the engine has to allow an unload and a load. Calls of orders
        are counted when they are sent, so one load is ordered at a time.
        """
        allowance = self.allowance
        if allowance is not None and (
            self.pending_orders or not allowance.has_control_calls(now, 2)
        ):
            return False
        return self.is_synced and self.takes_work(now) and now >= self.stalled_until

    def lacks_model(self) -> bool:
        """Whether the base model has to be ordered."""
        return self.model_state is ModelState.ABSENT and not self.entry.is_leaving

    def loads_from_store(self, now: float) -> bool:
        """Whether a base model load from the weight store may be in flight.

        A silent engine counts for `MODEL_LOAD_LIMIT_S` only, so that it does not
        block the loads of others.
        """
        if self.model_state is not ModelState.ORDERED or self.has_local_model:
            return False
        return (
            not self.missed_reports or now - self.model_changed_at < MODEL_LOAD_LIMIT_S
        )

    def backlog_s(self, now: float) -> float:
        """Return the prefill backlog in seconds."""
        return max(0.0, self.busy_until - now)

    def in_transit(self) -> int:
        """Return the number of slots that are not resident yet."""
        return sum(
            1
            for slot in self.slots_by_adapter.values()
            if slot.state is not SlotState.RESIDENT
        )

    def finish_loads(self, now: float) -> None:
        """Mark loads as resident whose expected end has passed."""
        for slot in self.slots_by_adapter.values():
            is_over = not slot.is_ordered and now >= slot.ready_at
            if slot.state is SlotState.LOADING and is_over:
                self.set_state(slot, SlotState.RESIDENT)
                slot.changed_at = now
                self.add_warm(slot.adapter, slot.version)

    def is_warm(self, adapter: str, version: int) -> bool:
        """Whether the weights of a version are expected in host memory."""
        return (adapter, version) in self.warm_versions

    def add_warm(self, adapter: str, version: int) -> None:
        """Mark a version as most recently used in the host memory cache."""
        self.warm_versions.pop((adapter, version), None)
        self.warm_versions[adapter, version] = None
        while len(self.warm_versions) > WARM_ADAPTERS_PER_SLOT * max(
            1, self.adapter_slots
        ):
            self.warm_versions.popitem(last=False)

    def add_request(self, tokens: int, start: float) -> None:
        """Add a running request whose prefill can begin at `start`."""
        self.running += 1
        self.busy_until = max(self.busy_until, start) + tokens / PREFILL_TOKENS_PER_S

    def remove_request(self) -> None:
        """Remove a running request."""
        self.running = max(0, self.running - 1)

    def ramp_up_left(self, now: float) -> float:
        """Return the share (0 to 1) of the ramp-up that is left after a pause."""
        if not self.paused_until:
            return 0.0
        share = 1.0 - (now - self.paused_until) / RAMP_UP_S
        return min(1.0, max(0.0, share))

    def current_failure_share(self, now: float) -> float:
        """Return the share of failures; it decays, so that the engine is retried."""
        if not self.failure_share:
            return 0.0
        age_s = max(0.0, now - self.failed_at)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_success(self) -> None:
        """Record a request that succeeded."""
        self.consecutive_failures = 0
        self.failure_share *= 1.0 - FAILURE_WEIGHT

    def record_failure(self, now: float, is_unreachable: bool) -> None:
        """Record a failed request.

        The engine is avoided for a while if it was unreachable or this is at least
        its third consecutive failure. Requests that do not reach it while it is
        avoided were sent before, and show nothing new: an engine that takes no
        connections for a second may be sound.
        """
        share = self.current_failure_share(now)
        self.failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        if now - self.failed_at > FAILURE_MEMORY_S:
            self.consecutive_failures = 0
        self.failed_at = now
        if is_unreachable and now < self.avoided_until:
            return
        self.consecutive_failures += 1
        if is_unreachable or self.consecutive_failures >= 3:
            self.avoided_until = max(
                self.avoided_until,
                now + back_off_s(AVOID_S, self.consecutive_failures, AVOID_LIMIT_S),
            )

    def record_stall(self, now: float) -> None:
        """Record a stream that was moved elsewhere after a time without events.

        The engine may be sound, so it is not avoided, and many streams that are moved
        at the same time cost it no more than one failure.
        """
        self.failure_share = max(self.current_failure_share(now), FAILURE_WEIGHT)
        self.failed_at = now

    def excess_failure_share(self, now: float) -> float:
        """Return the share of failures above the median of the pool."""
        return max(
            0.0, self.current_failure_share(now) - self.index.median_failure_share
        )

    def record_missed_report(self, now: float) -> None:
        """Record a report that could not be read; the next report resets this."""
        self.missed_reports += 1
        self.silent_until = max(
            self.silent_until,
            now + back_off_s(AVOID_S, self.missed_reports, AVOID_LIMIT_S),
        )

    def is_settled(self, now: float) -> bool:
        """Whether a report that is read now shows the effect of all orders."""
        return not self.pending_orders and self.ordered_at <= now - REPORT_LAG_S

    def clear(self) -> None:
        """Reset all state that a restart of the engine loses."""
        for adapter in list(self.slots_by_adapter):
            self.drop_slot(adapter)
        self.warm_versions.clear()
        self.running = 0
        self.busy_until = 0.0
        self.is_synced = False
        self.model_state = ModelState.ABSENT

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Reconcile the slots with a report.

        Returns
        -------
        bool
            Whether the engine has restarted.
        """
        self.reported_at = now
        self.missed_reports, self.silent_until = 0, 0.0
        has_restarted = bool(report.born and self.born and report.born != self.born)
        if has_restarted:
            self.clear()
        self.born = report.born or self.born
        settled_before = now - REPORT_LAG_S
        is_settled = self.is_settled(now)
        self._apply_reported_model(report, settled_before)
        for name, slot in list(self.slots_by_adapter.items()):
            if slot.is_ordered or (slot.changed_at > settled_before and not is_settled):
                continue
            held = report.resident.get(name)
            if held is not None:
                if held != slot.version or slot.state is not SlotState.RESIDENT:
                    slot.version = held
                    self.set_state(slot, SlotState.RESIDENT)
                    slot.changed_at = now
                    self.add_warm(name, held)
                self.confirm_slot(slot)
            elif name in report.incoming:
                if slot.state is SlotState.UNKNOWN:
                    self.set_state(slot, SlotState.LOADING)
                slot.ready_at = max(slot.ready_at, now)
            elif report.sequence > slot.sequence:
                self.drop_slot(name)
        if is_settled:
            self.is_synced = True
            self._add_reported_slots(report, now)
        return has_restarted

    def _apply_reported_model(
        self, report: EngineReport, settled_before: float
    ) -> None:
        self.has_local_model = bool(report.local_models)
        if report.models:
            self.model_state = ModelState.PRESENT
            return
        if self.model_changed_at > settled_before or self.pending_orders:
            return
        if report.is_loading_model:
            # An earlier leader may have ordered the load.
            self.model_state = ModelState.ORDERED
            return
        is_over = report.is_loading_model is False
        is_over = is_over or settled_before - self.model_changed_at > MODEL_LOAD_LIMIT_S
        if self.model_state is ModelState.PRESENT or is_over:
            self.model_state = ModelState.ABSENT

    def _add_reported_slots(self, report: EngineReport, now: float) -> None:
        for name, version in report.resident.items():
            if name not in self.slots_by_adapter:
                slot = EngineSlot(name, version, SlotState.RESIDENT, now, now)
                slot.is_confirmed = True
                self.put_slot(slot)
                self.add_warm(name, version)
        for name, version in report.incoming.items():
            if name not in self.slots_by_adapter:
                self.put_slot(EngineSlot(name, version, SlotState.LOADING, now, now))


class EnginePool:
    """The engines of one service."""

    __slots__ = ("adapter_slots", "engines_by_name", "index")

    def __init__(
        self,
        adapter_slots: int = 0,
        allowances_by_server: Mapping[str, RequestAllowance] | None = None,
    ) -> None:
        self.adapter_slots = adapter_slots
        self.engines_by_name: dict[str, Engine] = {}
        self.index = PoolIndex(allowances_by_server)

    def set_entries(self, entries: Iterable[BackendEntry]) -> list[str]:
        """Replace the announced engines and return the names of the removed ones."""
        present = {entry.name: entry for entry in entries}
        removed = [name for name in self.engines_by_name if name not in present]
        for name in removed:
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
            has_moved = entry.address != engine.entry.address
            has_restarted = entry.born and engine.born and entry.born != engine.born
            if has_moved or has_restarted:
                engine.clear()
                engine.born = entry.born
            engine.entry = entry
        return removed

    def use_adapter(self, server: str, adapter: str) -> None:
        """Assign one more request to an adapter at an engine."""
        self.index.uses_by_key[server, adapter] += 1
        self._update_uses(server, adapter)

    def release_adapter(self, server: str, adapter: str) -> EngineSlot | None:
        """Remove a request from an adapter at an engine; return its slot, if any."""
        uses_by_key = self.index.uses_by_key
        uses_by_key[server, adapter] -= 1
        if not uses_by_key[server, adapter]:
            del uses_by_key[server, adapter]
        return self._update_uses(server, adapter)

    def _update_uses(self, server: str, adapter: str) -> EngineSlot | None:
        engine = self.engines_by_name.get(server)
        slot = engine.slots_by_adapter.get(adapter) if engine is not None else None
        if slot is not None:
            slot.uses = self.index.uses_by_key[server, adapter]
            self.index.changed.add(server)
        return slot

    def update_failure_stats(self, now: float) -> None:
        """Update the median share of failures and the panic mode.

        If more than half of the engines were avoided, too few would be left to
        serve the load, so panic mode ignores avoidance.
        """
        engines = [
            engine
            for engine in self.engines_by_name.values()
            if not engine.entry.is_leaving and now >= engine.silent_until
        ]
        avoided = sum(1 for engine in engines if now < engine.avoided_until)
        self.index.is_in_panic_mode = 2 * avoided > len(engines)
        shares = [engine.current_failure_share(now) for engine in engines]
        self.index.median_failure_share = median_low(shares) if any(shares) else 0.0

    def finish_loads(self, now: float) -> None:
        """Mark loads as resident whose expected end has passed."""
        for name in list(self.index.transferring):
            engine = self.engines_by_name.get(name)
            if engine is not None:
                engine.finish_loads(now)
            if engine is None or not engine.in_transit():
                self.index.transferring.discard(name)

    def transfers(self, now: float) -> int:
        """Return the number of adapter transfers from the weight store in flight.

        An order without a response after `ORDER_RESPONSE_S` has not started one.
        """
        return sum(
            1
            for name in self.index.transferring
            if name in self.engines_by_name
            for slot in self.engines_by_name[name].slots_by_adapter.values()
            if slot.from_store
            and slot.state is SlotState.LOADING
            and not (slot.is_ordered and now - slot.changed_at > ORDER_RESPONSE_S)
        )
