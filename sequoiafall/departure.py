"""Graceful departure of an instance from the fleet."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from returns.result import Success

from .log import log_event
from .wire.gen.ttypes import Handover

if TYPE_CHECKING:
    from .controller import Controller

# Gateways poll every 0.25 s. Those that do not start to leave within this time stay and
# wait for the next controller.
GATEWAY_NOTICE_S = 1.0
# Bounds the shutdown time if a gateway takes long to drain.
DRAIN_TIMEOUT_S = 600.0
COMMIT_TIMEOUT_S = 5.0
# A view is in force slightly more than 2 s after its majorities have acknowledged it.
HANDOVER_TIMEOUT_S = 6.0
POLL_PERIOD_S = 0.05


class Departure:
    """Leaves the directory, hands over resources and gives up the voting seat.

    Parameters
    ----------
    controller : Controller
        The controller that is stopping. All its tasks keep running meanwhile.
    """

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self._coordinator = controller.coordinator

    async def run(self) -> None:
        """Leave the fleet in an order that interrupts no request."""
        self._coordinator.leaving = True
        self._controller.gateways.notify()
        self._coordinator.lifecycle.step("stop")
        log_event("leaving", instance=self._coordinator.member.instance)
        await self._await_gateways()
        if not self._coordinator.freshness.voting_seats():
            return
        if self._controller.follower.available and await self._commit_own_removal():
            await self._await_handovers()
        else:
            await self._offer_seat()
        self._coordinator.lifecycle.step("left")

    async def _await_gateways(self) -> None:
        """Wait until the gateways of this instance, which need it, have drained."""
        started_at = time.monotonic()
        while True:
            now = time.monotonic()
            gateways = self._controller.gateways.gateways(now)
            notice_elapsed = now - started_at >= GATEWAY_NOTICE_S
            if not gateways and notice_elapsed:
                return
            if notice_elapsed and not any(g.leaving for g in gateways.values()):
                return
            if now - started_at >= DRAIN_TIMEOUT_S:
                return
            await asyncio.sleep(POLL_PERIOD_S)

    async def _commit_own_removal(self) -> bool:
        deadline = time.monotonic() + COMMIT_TIMEOUT_S
        while time.monotonic() < deadline:
            proposal = self._coordinator.propose_view(time.monotonic())
            if proposal is None:
                return True
            result = await self._controller.follower.commit_view(proposal)
            if isinstance(result, Success):
                await self._controller.notify_members(result.unwrap().change)
                return True
            await self._controller.follower.catch_up()
        return False

    async def _await_handovers(self) -> None:
        """Wait for the end of the grace periods and the handover of all resources."""
        revision = self._coordinator.head.view.revision
        deadline = time.monotonic() + HANDOVER_TIMEOUT_S
        await self._controller.wait_in_force(revision, deadline)
        await self._controller.wait_handovers(deadline)
        if not self._coordinator.head.view.members:
            # No other instance is left to close the views.
            await self._controller.close_views()

    async def _offer_seat(self) -> None:
        """Offer the seat to an observer, as no view can be committed."""
        seats = self._coordinator.give_up_seat()
        revision = self._coordinator.revision
        listed = {m.instance for m in self._coordinator.head.view.members}
        observers = [
            status
            for status in self._coordinator.peers()
            if status.instance not in listed
            and not status.leaving
            and not status.seat
            and status.head_revision == revision
        ]
        for seat, observer in zip(seats, observers, strict=False):
            offer = Handover(
                seat=seat,
                head_revision=revision,
                from_instance=self._coordinator.member.instance,
            )
            result = await self._controller.peers.call(
                observer.controller_address, offer, COMMIT_TIMEOUT_S
            )
            accepted = isinstance(result, Success) and bool(result.unwrap().accepted)
            log_event("seat_offered", to=observer.instance, accepted=accepted)
