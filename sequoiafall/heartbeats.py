"""Sends heartbeats to the members of the view."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from functools import partial

import xxhash
from returns.result import Result, Success

from .coordinator import Coordinator
from .head import majority_of
from .log import log_warning
from .membership import HEARTBEAT_PERIOD_S
from .ownership import owner_of
from .peers import PeerConnections
from .transport import Delivery, WireError
from .wire.gen.ttypes import HeartbeatReply, Member

# An observer (an instance without a voting seat) sends heartbeats only to a majority,
# which it needs to stay fresh, and at this longer period to limit the load of members
# as the fleet grows.
OBSERVER_HEARTBEAT_PERIOD_S = 0.8
# Leaves time for two exchanges before the silent side becomes suspected.
TAKE_OVER_SENDING_AFTER_S = 0.4
# A later reply is of little use as evidence.
REPLY_TIMEOUT_S = 1.0


def is_designated_sender(own: str, other: str) -> bool:
    """Whether `own` is the sender in this pair of addresses.

    The hash makes an address the sender in about half of its pairs.
    """
    first, second = sorted((own, other))
    chosen = (first, second)[xxhash.xxh3_64_intdigest(f"{first} {second}".encode()) & 1]
    return chosen == own


class HeartbeatSender:
    """Sends periodic heartbeats and passes the replies to the coordinator.

    Parameters
    ----------
    coordinator : Coordinator
        Coordinator of this instance.
    peers : PeerConnections
        Connections to the other controllers.
    seeds : sequence of str, default=()
        Addresses of controllers that may hold a handed-over seat.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        peers: PeerConnections,
        seeds: Sequence[str] = (),
    ) -> None:
        self._coordinator = coordinator
        self._peers = peers
        self._seeds = seeds

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            try:
                await self._send_round()
            except Exception as error:
                log_warning("heartbeat_failed", error=repr(error))
            is_voter = bool(self._coordinator.freshness.voting_seats())
            await asyncio.sleep(
                HEARTBEAT_PERIOD_S if is_voter else OBSERVER_HEARTBEAT_PERIOD_S
            )

    async def _send_round(self) -> None:
        now = time.monotonic()
        addresses = [member.controller_address for member in self._targets()]
        addresses += self._possible_successors(addresses, now)
        for address in addresses:
            if not self._should_send_to(address, now):
                continue
            self._peers.send(
                address,
                self._coordinator.heartbeat(now, address),
                REPLY_TIMEOUT_S,
                partial(self._on_result, address, now),
            )
        known = [status.controller_address for status in self._coordinator.peers()]
        await self._peers.keep_only([*addresses, *known])

    def _should_send_to(self, address: str, now: float) -> bool:
        """Whether this instance sends heartbeats to a member.

        In a pair of members, the designated sender does. The other side takes over if
        it receives nothing, because connections may work in one direction only.
        """
        own = self._coordinator.member.controller_address
        if not self._coordinator.freshness.voting_seats() or is_designated_sender(
            own, address
        ):
            return True
        return (
            self._coordinator.seconds_since_heard(address, now)
            >= TAKE_OVER_SENDING_AFTER_S
        )

    def _targets(self) -> list[Member]:
        coordinator = self._coordinator
        own = coordinator.member.instance
        view = coordinator.addressed_head().view
        others = [
            member
            for member in view.members
            if member.instance != own
            and member.controller_address != coordinator.member.controller_address
        ]
        if coordinator.freshness.voting_seats():
            return others
        # Each observer selects its own majority by hash, to distribute the load evenly.
        chosen: list[Member] = []
        while others and len(chosen) < majority_of(view):
            best = owner_of(f"observer/{own}", others)
            assert best is not None
            chosen.append(best)
            others.remove(best)
        return chosen

    def _possible_successors(self, addresses: Sequence[str], now: float) -> list[str]:
        """Return additional controllers that an observer asks for confirmations.

        The view does not list the controllers that took over a seat during an outage
        of the platform. An observer that asked only the listed members found no
        majority after most seats had been handed over.
        """
        coordinator = self._coordinator
        peers = coordinator.peers()
        if coordinator.freshness.voting_seats():
            return []
        known = {status.controller_address for status in peers if status.seat}
        if not coordinator.is_fresh(now):
            known = {*self._seeds, *(status.controller_address for status in peers)}
        return sorted(known - {coordinator.member.controller_address, *addresses})

    def _on_result(
        self,
        address: str,
        sent_at: float,
        result: Result[HeartbeatReply, WireError],
    ) -> None:
        if isinstance(result, Success):
            self._coordinator.on_heartbeat_reply(
                result.unwrap(), sent_at, time.monotonic()
            )
        elif result.failure().delivery is Delivery.NOT_SENT:
            self._coordinator.on_unreachable(address)
