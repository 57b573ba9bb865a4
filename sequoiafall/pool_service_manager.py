"""Services of the pools that this instance owns."""

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
from .peers import PeerLinks
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

# A new owner starts a few hundred milliseconds after the previous one stopped.
OWNER_RETRY_MS = 100
# Requests wait for the loads; a lender that does not answer soon is left out.
LOAN_TIMEOUT_S = 0.3
# A pool has at most this many loads in transit.
MAX_LOAN = MAX_IN_TRANSIT


class PoolServiceManager:
    """Starts a service for each tenure of a pool and stops it at its end.

    Parameters
    ----------
    coordinator : Coordinator
        Decisions of this instance.
    load_limits : LoadLimits
        Limits of the weight store, divided among the pools of engines by their
        adapter slots.
    peers : PeerLinks
        Connections to the owners of other pools.
    move_after_s : float
        Seconds of cleaning after which running streams are moved.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        load_limits: LoadLimits,
        peers: PeerLinks,
        move_after_s: float = MOVE_AFTER_S,
    ) -> None:
        self._coordinator = coordinator
        self._peers = peers
        self._move_after_s = move_after_s
        self._load_limits = load_limits
        self._services_by_pool: dict[str, PoolService] = {}
        self._ready_at_by_pool: dict[str, float] = {}
        self._observed_revision = -1

    async def on_place(self, request: PlaceRequest, _peer: str) -> PlaceReply:
        """Wait for a place at a pool of this instance."""
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
        """Take what a gateway says about its places."""
        service = self._services_by_pool.get(update.pool)
        if service is None:
            return Ack(0, False, str(Reason.OWNER_UNAVAILABLE))
        return await service.update(update)

    async def on_loan(self, request: LoanRequest, _peer: str) -> LoanReply:
        """Lend loads of a pool of this instance."""
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
        """Ask the owners of the other pools, one after another, for loads.

        Returns
        -------
        int
            How many were lent, at most `loads`.
        """
        borrowed = 0
        for pool in self._lending_pools(borrower):
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

    def _lending_pools(self, borrower: str) -> list[str]:
        """Return the other pools, the one with the largest share first."""
        shares = shares_by_pool(self._servers())
        others = [pool for pool in shares if pool != borrower]
        return sorted(others, key=lambda pool: (-shares[pool], pool))

    def _servers(self) -> Iterable[BackendServer]:
        return self._coordinator.follower.state.backend_servers_by_name.values()

    async def sync(self) -> None:
        """Follow the tenures and the table."""
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
        self._observe()

    def receive(self, handover: Handover) -> None:
        """Give the state of the previous owner to the service of the pool."""
        pool = handover.resource.removeprefix(POOL_PREFIX)
        service = self._services_by_pool.get(pool)
        if service is not None and handover.pool_state:
            service.accept_handover(handover.pool_state)

    def release(self, resource: str, token: int) -> Handover:
        """Return the state to hand over; this instance does not act any more."""
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
        """Return the state of each pool for operators."""
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

    def _observe(self) -> None:
        coordinator = self._coordinator
        for pool, service in self._services_by_pool.items():
            if coordinator.revision != self._observed_revision:
                service.set_load_limits(self._load_share(pool))
                service.apply_table(coordinator.follower.state)
            ready_at = coordinator.ownership.ready_at(pool_resource(pool))
            # An infinite time belongs to a later tenure than one in grace.
            if ready_at not in (math.inf, self._ready_at_by_pool.get(pool)):
                self._ready_at_by_pool[pool] = ready_at
                service.set_ready_at(ready_at)
        self._observed_revision = coordinator.revision
