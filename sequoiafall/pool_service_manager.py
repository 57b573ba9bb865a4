"""Starts and stops a `PoolService` for each pool that this instance owns."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable

from returns.result import Success

from .coordinator import Coordinator
from .drain import MOVE_AFTER_S
from .load_budget import MAX_IN_TRANSIT, LoadLimits, shares_by_pool
from .log import log_event
from .ownership import POOL_PREFIX, owner_of, pool_resource
from .peers import PeerConnections
from .pool_service import PoolService
from .refusal import Reason
from .table import BackendServer
from .wire.gen.ttypes import (
    Ack,
    Handover,
    LoanReply,
    LoanRequest,
    PlaceReply,
    PlaceRequest,
    PlaceUpdate,
)

# Retry hint to gateways; a new owner starts a few hundred milliseconds after the
# previous one stopped.
OWNER_RETRY_MS = 100
# Requests wait for the borrowed loads, so a lender that is slow to answer is skipped.
LOAN_TIMEOUT_S = 0.3
# Most loads lent per request; a pool has at most this many in transit.
MAX_LOAN = MAX_IN_TRANSIT


class PoolServiceManager:
    """Runs one service per owned pool, from the start to the end of the ownership.

    Parameters
    ----------
    coordinator : Coordinator
        Source of the ownerships and of the table.
    load_limits : LoadLimits
        Limits of the weight store, divided among the pools in proportion to the
        adapter slots of their engines.
    peers : PeerConnections
        Connections to the owners of other pools.
    move_after_s : float
        Seconds after the start of cleaning at which running streams are moved.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        load_limits: LoadLimits,
        peers: PeerConnections,
        move_after_s: float = MOVE_AFTER_S,
    ) -> None:
        self._coordinator = coordinator
        self._peers = peers
        self._move_after_s = move_after_s
        self._load_limits = load_limits
        self._services_by_pool: dict[str, PoolService] = {}
        self._ready_at_by_pool: dict[str, float] = {}
        self._applied_revision = -1

    async def on_place(self, request: PlaceRequest, _peer: str) -> PlaceReply:
        """Handle a place request: wait for a place in a pool of this instance."""
        service = self._services_by_pool.get(request.pool)
        if service is None:
            return PlaceReply(
                "",
                "",
                "",
                0,
                0,
                str(Reason.OWNER_UNAVAILABLE),
                OWNER_RETRY_MS,
                False,
            )
        return await service.place(request)

    async def on_update(self, update: PlaceUpdate, _peer: str) -> Ack:
        """Handle a gateway's updates of its places."""
        service = self._services_by_pool.get(update.pool)
        if service is None:
            return Ack(0, False, str(Reason.OWNER_UNAVAILABLE))
        return await service.update(update)

    async def on_loan(self, request: LoanRequest, _peer: str) -> LoanReply:
        """Handle a request to lend loads of a pool of this instance."""
        service = self._services_by_pool.get(request.pool)
        lent = 0
        if service is not None:
            lent = service.lend_loads(min(request.loads or 0, MAX_LOAN))
            if lent:
                log_event(
                    "loads_lent",
                    pool=request.pool,
                    borrower=request.borrower,
                    loads=lent,
                )
        return LoanReply(lent)

    async def borrow(self, borrower: str, loads: int) -> int:
        """Borrow loads from the owners of the other pools, one after another.

        Returns
        -------
        int
            Number of loads lent, at most `loads`.
        """
        borrowed = 0
        for pool in self._lenders(borrower):
            request = LoanRequest(pool, borrower, loads - borrowed)
            if pool in self._services_by_pool:
                reply = await self.on_loan(request, "")
            else:
                members = self._coordinator.head.view.members
                owner = owner_of(pool_resource(pool), members)
                if owner is None:
                    continue
                address = owner.controller_address
                result = await self._peers.call(address, request, LOAN_TIMEOUT_S)
                if not isinstance(result, Success):
                    continue
                reply = result.unwrap()
            borrowed += max(0, min(reply.loads or 0, loads - borrowed))
            if borrowed == loads:
                break
        return borrowed

    def _lenders(self, borrower: str) -> list[str]:
        """Return the other pools, largest share of the load budget first."""
        shares = shares_by_pool(self._servers())
        others = [pool for pool in shares if pool != borrower]
        return sorted(others, key=lambda pool: (-shares[pool], pool))

    def _servers(self) -> Iterable[BackendServer]:
        return self._coordinator.follower.state.backend_servers_by_name.values()

    async def sync(self) -> None:
        """Start and stop services to match the ownerships, and apply the table."""
        ownership = self._coordinator.ownership
        tokens_by_pool = {
            resource.removeprefix(POOL_PREFIX): token
            for resource in ownership.known_resources()
            if resource.startswith(POOL_PREFIX)
            and (token := ownership.fencing_token(resource))
        }
        for pool, service in list(self._services_by_pool.items()):
            if tokens_by_pool.get(pool) != service.fencing_token:
                await self._stop(pool)
        for pool, token in tokens_by_pool.items():
            if pool not in self._services_by_pool:
                await self._start(pool, token)
        self._apply_changes()

    def receive(self, handover: Handover) -> None:
        """Pass the state from the previous owner to the service of its pool."""
        pool = handover.resource.removeprefix(POOL_PREFIX)
        service = self._services_by_pool.get(pool)
        if service is not None and handover.pool_state:
            service.accept_handover(handover.pool_state)

    def release(self, resource: str, token: int) -> Handover:
        """Return the state to hand over; this instance must not act afterwards."""
        service = self._services_by_pool.get(resource.removeprefix(POOL_PREFIX))
        state = ""
        if service is not None and service.fencing_token == token:
            state = service.hand_over()
        return Handover(resource, token, 0, [], pool_state=state)

    async def stop(self) -> None:
        """Stop all services."""
        for pool in list(self._services_by_pool):
            await self._stop(pool)

    def statuses(self) -> dict[str, dict[str, object]]:
        """Return the state of each pool for the operator API."""
        return {
            pool: service.status() for pool, service in self._services_by_pool.items()
        }

    async def _start(self, pool: str, token: int) -> None:
        resource = pool_resource(pool)

        def may_act() -> bool:
            if self._coordinator.ownership.fencing_token(resource) != token:
                return False
            return self._coordinator.may_act(resource, time.monotonic())

        ready_at = self._coordinator.ownership.ready_at(resource)
        service = PoolService(
            pool,
            token,
            ready_at,
            may_act,
            self.borrow,
            move_after_s=self._move_after_s,
        )
        self._ready_at_by_pool[pool] = ready_at
        self._services_by_pool[pool] = service
        service.set_load_limits(self._load_share(pool))
        service.apply_table(self._coordinator.follower.state)
        await service.start()
        log_event("pool_owned", pool=pool, fencing_token=token)

    async def _stop(self, pool: str) -> None:
        service = self._services_by_pool.pop(pool)
        await service.stop()
        log_event("pool_released", pool=pool, fencing_token=service.fencing_token)

    def _load_share(self, pool: str) -> LoadLimits:
        shares = shares_by_pool(self._servers())
        return self._load_limits.share(shares.get(pool, 0.0))

    def _apply_changes(self) -> None:
        coordinator = self._coordinator
        for pool, service in self._services_by_pool.items():
            if coordinator.revision != self._applied_revision:
                service.set_load_limits(self._load_share(pool))
                service.apply_table(coordinator.follower.state)
            ready_at = coordinator.ownership.ready_at(pool_resource(pool))
            # An infinite time belongs to a later ownership than that of a service
            # which is still in its grace period.
            if ready_at not in (math.inf, self._ready_at_by_pool.get(pool)):
                self._ready_at_by_pool[pool] = ready_at
                service.set_ready_at(ready_at)
        self._applied_revision = coordinator.revision
