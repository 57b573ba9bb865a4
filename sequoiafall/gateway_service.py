"""Controller's handler of the long polls of its instance's gateways."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from .coordinator import Coordinator
from .wire.gen.ttypes import GatewayPoll, GatewayPollReply

# A reply is held this long unless something changes, so that changes reach the
# gateways at once and an idle gateway polls rarely.
LONG_POLL_S = 0.25
# A gateway that has not polled for this long is considered gone.
GATEWAY_TTL_S = 2.0


@dataclass(slots=True)
class GatewayRecord:
    """State that a gateway reported in its last poll."""

    polled_at: float
    head_revision: int
    leaving: bool
    open_streams: int


class GatewayService:
    """Sends gateways the head, its changes and its remaining freshness.

    Parameters
    ----------
    coordinator : Coordinator
        Coordinator of this instance.
    """

    def __init__(self, coordinator: Coordinator) -> None:
        self._coordinator = coordinator
        self._changed = asyncio.Event()
        self._records_by_name: dict[str, GatewayRecord] = {}
        # Whether callers can be sent here: at the last poll, a gateway that has a
        # head was not leaving. A gateway polls only once it listens.
        self.is_serving = False

    def notify(self) -> None:
        """Release the held replies after a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def on_poll(self, request: GatewayPoll, _peer: str) -> GatewayPollReply:
        """Reply to a poll, at once if the gateway is behind."""
        self._records_by_name[request.gateway] = GatewayRecord(
            time.monotonic(),
            request.head_revision or 0,
            bool(request.leaving),
            request.open_streams or 0,
        )
        records = self.gateways(time.monotonic()).values()
        self.is_serving = any(
            record.head_revision > 0 and not record.leaving for record in records
        )
        if request.head_revision == self._coordinator.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), LONG_POLL_S)
        return self._reply(request.head_revision or 0)

    def gateways(self, now: float) -> dict[str, GatewayRecord]:
        """Return the gateways that have polled recently."""
        self._records_by_name = {
            name: record
            for name, record in self._records_by_name.items()
            if now - record.polled_at < GATEWAY_TTL_S
        }
        return self._records_by_name

    def _reply(self, revision: int) -> GatewayPollReply:
        coordinator, now = self._coordinator, time.monotonic()
        update = coordinator.follower.update_since(revision)
        fresh_for_ms = int(coordinator.fresh_for_s(now) * 1000)
        return GatewayPollReply(
            coordinator.gateway_head(now),
            fresh_for_ms if coordinator.revision else 0,
            update.changes,
            update.snapshot,
            coordinator.statuses(now),
            coordinator.freshness.can_confirm(),
            [
                resource
                for resource in coordinator.ownership.owned_resources()
                if coordinator.may_act(resource, now)
            ],
        )
