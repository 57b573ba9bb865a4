"""Adapter slots of a pool's engines: residency, loads, evictions and retirement."""

import math
import random
from collections.abc import Callable, Iterable

from .loads import AdapterKey, LoadPlanner, WantedLoad
from .placement import EvictionCandidate, EvictionPolicy
from .pool_state import (
    BASE_KEY,
    ORDER_TTL_S,
    REPORT_LAG_MAX_S,
    EvictAdapter,
    Eviction,
    LoadAdapter,
    ServerReport,
    ServerState,
    Slot,
    SlotState,
)

# A load that has waited this long for a slot retires an adapter that is in use: the
# adapter gets no new places and is evicted when its last place ends.
RETIRE_AFTER_S = 0.5
# Minimum time that an adapter in use keeps its slot. Without it, adapters that
# compete for slots would replace each other after one request each.
RETIRE_QUANTUM_S = 1.0
# Minimum time for an adapter that has not been used since its load. It is longer, so
# that the requests that the adapter was loaded for get a place first.
UNUSED_QUANTUM_S = 4.0
# Maximum share of a server's slots that may be retiring, but at least one slot.
# Retiring slots take no new work until they are empty.
RETIRING_SHARE = 0.25
# Servers considered for one load. Pools have about 16 servers; in larger pools the
# limit bounds the time of a decision.
MAX_SERVERS_CONSIDERED = 32


class SlotManager:
    """Tracks the adapter versions of each server and orders loads and evictions.

    Parameters
    ----------
    fencing_token : int
        Fencing token that is sent with the orders.
    servers_by_name : dict
        The pool's servers, shared with the scheduler.
    planner : LoadPlanner
        Order, budget and back-off of loads.
    policy : EvictionPolicy
        Ranks adapters for eviction.
    is_awaited : callable
        Returns whether requests wait for an adapter version on a server.
    """

    def __init__(
        self,
        fencing_token: int,
        servers_by_name: dict[str, ServerState],
        planner: LoadPlanner,
        policy: EvictionPolicy,
        is_awaited: Callable[[AdapterKey, str], bool],
    ) -> None:
        self.planner = planner
        self.policy = policy
        self._fencing_token = fencing_token
        self._servers_by_name = servers_by_name
        self._is_awaited = is_awaited
        self._placeable_by_key: dict[AdapterKey, dict[str, ServerState]] = {}
        self._retiring_by_wanted: dict[AdapterKey, tuple[str, AdapterKey]] = {}
        # A fixed seed makes replays repeatable.
        self._random = random.Random(fencing_token)

    # Residency

    def placeable(self, key: AdapterKey) -> dict[str, ServerState]:
        """Return the servers, by name, that can take requests for the version."""
        if key == BASE_KEY:
            return self._servers_by_name
        return self._placeable_by_key.get(key, {})

    def loading_count(self, key: AdapterKey) -> int:
        """Return the number of servers that are loading the adapter version."""
        return sum(1 for _, loading in self.planner.in_transit if loading == key)

    def replicas(
        self,
        key: AdapterKey,
        now: float,
        enough: int = 1 << 30,
        excluded: frozenset[str] = frozenset(),
    ) -> int:
        """Count the servers in service that have or are loading the adapter version.

        Counting stops at `enough`. Excluded servers count only while they load.
        """
        count = self.loading_count(key)
        for name, server in self.placeable(key).items():
            if count >= enough:
                break
            if name not in excluded and server.takes_loads(now):
                count += 1
        return count

    def is_placeable_elsewhere(self, key: AdapterKey, server: str, now: float) -> bool:
        """Whether another server in service has the adapter version."""
        return any(
            other.name != server and other.takes_loads(now)
            for other in self.placeable(key).values()
        )

    def on_report(self, server: ServerState, report: ServerReport, now: float) -> None:
        """Reconcile the slots with a report that is newer than the last one."""
        for key, eviction in list(server.evictions_by_key.items()):
            if report.requested_at >= eviction.ignore_reports_until:
                eviction.slot.lifecycle.handle("order_expired")
                del server.evictions_by_key[key]
        for key in report.resident:
            self._on_reported_resident(server, key, now)
        shown = {*report.resident, *report.loading}
        settled_at = report.requested_at - REPORT_LAG_MAX_S
        for key in report.loading:
            if key in server.slots_by_key or key in server.evictions_by_key:
                continue
            # The report may predate the failure of a load. A slot for that load would
            # stay taken and cost the server another adapter.
            if self.planner.failed_at(server.name, key) < settled_at:
                slot = server.slots_by_key[key] = Slot(key, now)
                slot.lifecycle.handle("report_loading")
        for key, slot in list(server.slots_by_key.items()):
            is_old = slot.changed_at <= settled_at
            if key not in shown and is_old and slot.lifecycle.handle("report_absent"):
                self.drop(server, key)

    def _on_reported_resident(
        self, server: ServerState, key: AdapterKey, now: float
    ) -> None:
        slot = server.slots_by_key.get(key)
        if slot is None:
            if key in server.evictions_by_key:
                return
            slot = server.slots_by_key[key] = Slot(key, now)
        if slot.lifecycle.handle("report_resident"):
            self._set_resident(server, slot, now)

    def _set_resident(self, server: ServerState, slot: Slot, now: float) -> None:
        slot.changed_at = slot.loaded_at = now
        self._placeable_by_key.setdefault(slot.key, {})[server.name] = server

    def _unindex(self, server: ServerState, key: AdapterKey) -> None:
        servers = self._placeable_by_key.get(key)
        if servers is None:
            return
        servers.pop(server.name, None)
        if not servers:
            del self._placeable_by_key[key]

    def drop(self, server: ServerState, key: AdapterKey) -> None:
        """Remove a slot."""
        server.slots_by_key.pop(key, None)
        self._unindex(server, key)

    def clear(self, server: ServerState) -> list[AdapterKey]:
        """Remove all slots of a server that left or restarted; return their keys."""
        keys = list(server.slots_by_key)
        for key in keys:
            self.drop(server, key)
        server.evictions_by_key.clear()
        self.planner.forget_server(server.name)
        return keys

    # Results of orders

    def on_load_result(
        self,
        server: ServerState,
        key: AdapterKey,
        ok: bool,
        is_unknown: bool,
        now: float,
    ) -> bool:
        """Apply the result of a load order.

        Returns whether the slot expected a result. With `is_unknown`, the order got
        no response, and the slot stays taken.
        """
        slot = server.slots_by_key.get(key)
        event = "loaded" if ok else "load_unanswered" if is_unknown else "load_failed"
        if slot is None or not slot.lifecycle.handle(event):
            return False
        self.planner.finish(server.name, key, ok, now)
        if ok:
            self._set_resident(server, slot, now)
        elif is_unknown:
            slot.changed_at = now
        else:
            self.drop(server, key)
        return True

    def on_evict_result(
        self, server: ServerState, key: AdapterKey, ok: bool, now: float
    ) -> None:
        """Apply the result of an eviction order."""
        eviction = server.evictions_by_key.get(key)
        if eviction is not None and ok:
            eviction.slot.lifecycle.handle("evicted")
            eviction.ignore_reports_until = now + REPORT_LAG_MAX_S

    # Decisions

    def try_load(
        self, wanted: WantedLoad, excluded: frozenset[str], now: float
    ) -> list[EvictAdapter | LoadAdapter]:
        """Order a wanted load on the best server; return no orders if none fits."""
        replicas = self.replicas(wanted.key, now, excluded=excluded)
        best: tuple[tuple[float, ...], ServerState, AdapterKey | None] | None = None
        may_evict = self.planner.may_evict()
        for server in self._candidate_servers(wanted):
            if server.name in excluded or not self._may_load(server, wanted.key, now):
                continue
            if not may_evict and not server.has_free_slot:
                continue
            option = self._option(server, wanted.key, replicas, now)
            if option is not None and (best is None or option[0] < best[0]):
                best = (option[0], server, option[1])
        if best is None:
            may_retire = may_evict and not replicas
            if may_retire and now - wanted.since >= RETIRE_AFTER_S:
                self._retire_for(wanted, excluded, now)
            return []
        _, server, victim = best
        return self._order(server, wanted, victim, now)

    def _candidate_servers(self, wanted: WantedLoad) -> Iterable[ServerState]:
        if wanted.target:
            server = self._servers_by_name.get(wanted.target)
            return [server] if server else []
        servers = list(self._servers_by_name.values())
        if len(servers) <= MAX_SERVERS_CONSIDERED:
            return servers
        return self._random.sample(servers, MAX_SERVERS_CONSIDERED)

    def _may_load(self, server: ServerState, key: AdapterKey, now: float) -> bool:
        if key in server.slots_by_key or not server.takes_loads(now):
            return False
        eviction = server.evictions_by_key.get(key)
        if eviction is not None and not eviction.is_confirmed:
            return False
        return not self.planner.backs_off(server.name, key, now)

    def _option(
        self, server: ServerState, key: AdapterKey, replicas: int, now: float
    ) -> tuple[tuple[float, ...], AdapterKey | None] | None:
        """Return the sort key of a load on a server, and the adapter to evict."""
        is_full = 0.0 if server.has_free_place else 1.0
        if server.has_free_slot:
            return (is_full, 0.0, 0.0, server.work_tokens), None
        candidates = self._candidates(server, key, now)
        victim = self.policy.victim(candidates, now)
        if victim is None:
            return None
        if replicas and not self.policy.allows_replica(victim, key, replicas, now):
            return None
        value = self.policy.value(victim, now)
        if server.slots_by_key[victim.key].state == SlotState.RETIRING:
            value = -math.inf
        return (is_full, 1.0, value, server.work_tokens), victim.key

    def _candidates(
        self, server: ServerState, wanted: AdapterKey, now: float
    ) -> list[EvictionCandidate]:
        """Return the slots that may be evicted, never one that a place uses."""
        candidates = []
        for key, slot in server.slots_by_key.items():
            if server.is_pinned(key):
                continue
            if slot.state == SlotState.RETIRING:
                if slot.reserved_for == wanted:
                    return [self._candidate(slot)]
                continue
            if slot.state != SlotState.RESIDENT:
                continue
            if self._is_awaited(key, server.name):
                continue
            candidates.append(self._candidate(slot))
        return candidates

    def _candidate(self, slot: Slot) -> EvictionCandidate:
        replicas = len(self._placeable_by_key.get(slot.key, ()))
        return EvictionCandidate(slot.key, slot.loaded_at, slot.used_at, replicas)

    def _order(
        self,
        server: ServerState,
        wanted: WantedLoad,
        victim: AdapterKey | None,
        now: float,
    ) -> list[EvictAdapter | LoadAdapter]:
        actions: list[EvictAdapter | LoadAdapter] = []
        if victim is not None:
            actions.append(self._evict(server, victim, now))
        if not server.has_free_slot:
            # The configured number of slots was lowered; load in a later decision.
            return actions
        key = wanted.key
        server.evictions_by_key.pop(key, None)
        slot = server.slots_by_key[key] = Slot(key, now)
        slot.lifecycle.handle("order_load")
        self.planner.start(server.name, wanted, now)
        actions.append(LoadAdapter(server.name, *key, self._fencing_token))
        return actions

    def expect_eviction(self, server: ServerState, key: AdapterKey, now: float) -> None:
        """Record that an adapter version is being evicted by an order."""
        slot = server.slots_by_key.get(key)
        if slot is None:
            slot = Slot(key, now)
            slot.lifecycle.handle("report_resident")
        slot.lifecycle.handle("order_eviction")
        self.drop(server, key)
        ignore_reports_until = now + ORDER_TTL_S + REPORT_LAG_MAX_S
        server.evictions_by_key[key] = Eviction(slot, ignore_reports_until)

    def _evict(self, server: ServerState, key: AdapterKey, now: float) -> EvictAdapter:
        slot = server.slots_by_key[key]
        self._retiring_by_wanted.pop(slot.reserved_for, None)
        self.expect_eviction(server, key, now)
        return EvictAdapter(server.name, *key, self._fencing_token)

    # Retiring adapters that are always in use

    def _retire_for(
        self, wanted: WantedLoad, excluded: frozenset[str], now: float
    ) -> None:
        """Retire the least valuable adapter in use, so that its slot becomes free."""
        if wanted.key in self._retiring_by_wanted:
            return
        best: tuple[float, ServerState, Slot] | None = None
        for server in self._candidate_servers(wanted):
            if server.name in excluded or not self._may_load(server, wanted.key, now):
                continue
            if not _may_retire(server):
                continue
            for slot in server.slots_by_key.values():
                if slot.state != SlotState.RESIDENT or _was_loaded_recently(slot, now):
                    continue
                value = self.policy.value(self._candidate(slot), now)
                if best is None or value < best[0]:
                    best = (value, server, slot)
        if best is None:
            return
        _, server, slot = best
        slot.lifecycle.handle("retire")
        slot.reserved_for = wanted.key
        self._unindex(server, slot.key)
        self._retiring_by_wanted[wanted.key] = (server.name, slot.key)

    def restore_unneeded(self, now: float) -> list[ServerState]:
        """Restore retiring adapters whose slot no wanted load needs any more.

        Returns the servers of the restored adapters.
        """
        restored = []
        for wanted_key, (name, key) in list(self._retiring_by_wanted.items()):
            server = self._servers_by_name.get(name)
            slot = server.slots_by_key.get(key) if server else None
            if slot is not None and self.planner.is_wanted(wanted_key):
                continue
            del self._retiring_by_wanted[wanted_key]
            if server is not None and slot is not None:
                loaded_at = slot.loaded_at
                slot.lifecycle.handle("restore")
                self._set_resident(server, slot, now)
                slot.loaded_at, slot.reserved_for = loaded_at, BASE_KEY
                restored.append(server)
        return restored


def _was_loaded_recently(slot: Slot, now: float) -> bool:
    was_used = slot.used_at >= slot.loaded_at
    quantum_s = RETIRE_QUANTUM_S if was_used else UNUSED_QUANTUM_S
    return now - slot.loaded_at < quantum_s


def _may_retire(server: ServerState) -> bool:
    slots = server.slots_by_key.values()
    retiring = sum(1 for slot in slots if slot.state == SlotState.RETIRING)
    return retiring < max(1, int(server.adapter_slots * RETIRING_SHARE))
