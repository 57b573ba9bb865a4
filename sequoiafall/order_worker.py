"""Sends the orders of the fleet's leader to one engine, one at a time.

The owners of pools call engines through `order_client` instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .backend_registry import BackendEntry
from .engine_pool import EngineReport
from .log import log_event
from .planner_messages import LoadOrder
from .serving_ports import EngineControl, EngineOrder, OrderResponse

# An engine's reports are about 0.1 s old: one that is read sooner after an order may
# not show its effect.
REPORT_AGE_S = 0.12
# Maximum number of attempts of an order that gets no response. A repeated order has
# the same precondition, so only one takes effect.
MAX_ATTEMPTS = 6


class OrderWorker:
    """Sends orders to one engine with the sequence number that it expects.

    This precondition ensures that an order that reaches the engine late has no
    effect once a newer order was accepted.

    Parameters
    ----------
    control : EngineControl
        Sends orders and reads reports.
    entry : BackendEntry
        Entry of the engine.
    model : str
        Base model of the adapters.
    holder : str
        Name under which orders are sent.
    token : callable
        Returns the fencing token, or 0 if no order may be sent now.
    on_fenced : callable
        Called when the engine refuses the token, as it has seen a newer one.
    admit_call : callable
        Called before each order and each report that a repeated order needs; counts
        the call and returns whether it may be sent now.
    """

    __slots__ = (
        "_admit_call",
        "_control",
        "_holder",
        "_lock",
        "_model",
        "_on_fenced",
        "_sequence",
        "_token",
        "entry",
        "sent_orders",
    )

    def __init__(
        self,
        control: EngineControl,
        entry: BackendEntry,
        model: str,
        holder: str,
        token: Callable[[], int],
        on_fenced: Callable[[], None],
        admit_call: Callable[[BackendEntry], bool] = lambda _entry: True,
    ) -> None:
        self._control = control
        self.entry = entry
        self._model = model
        self._holder = holder
        self._token = token
        self._on_fenced = on_fenced
        self._admit_call = admit_call
        self._lock = asyncio.Lock()
        self._sequence = -1
        self.sent_orders = 0

    def apply_report(self, report: EngineReport, is_settled: bool) -> None:
        """Adopt the sequence of a report that shows the effect of all orders.

        The leader adopts the adapters of the same report. An order that was planned
        with an older set of adapters must not be sent with a newer sequence: it
        could load more adapters than the engine has slots.
        """
        if is_settled:
            self._sequence = report.sequence

    def reset_sequence(self) -> None:
        """Forget the sequence of an engine that has restarted."""
        self._sequence = -1

    async def load(self, order: LoadOrder) -> tuple[bool | None, bool | None]:
        """Unload the adapter to evict, if any, then load the new one.

        Returns
        -------
        tuple of (bool or None, bool or None)
            Whether the evicted adapter is unloaded, and whether the load was
            accepted; None where that is not known.
        """
        async with self._lock:
            if order.evicted:
                result = await self._send(False, order.evicted, 0)
                # An engine that accepts the order without unloading at once still
                # runs requests of the adapter.
                if result is not OrderResponse.DONE:
                    return (None if result in _UNCERTAIN else False), False
            result = await self._send(True, order.adapter, order.version)
            if result in (OrderResponse.ACCEPTED, OrderResponse.DONE):
                return True, True
            return True, (None if result is OrderResponse.NO_RESPONSE else False)

    async def _send(self, is_load: bool, adapter: str, version: int) -> OrderResponse:
        unanswered = 0
        result = OrderResponse.INVALID
        while unanswered < MAX_ATTEMPTS:
            token = self._token()
            may_send = token and self._sequence >= 0
            if not may_send or not self._admit_call(self.entry):
                return (
                    OrderResponse.NO_RESPONSE if unanswered else OrderResponse.INVALID
                )
            order = EngineOrder(
                is_load,
                self._model,
                adapter,
                version,
                self._sequence,
                self._holder,
                token,
            )
            self.sent_orders += 1
            result = await self._control.order(self.entry, order)
            log_event(
                "engine_order",
                server=self.entry.name,
                action="load" if is_load else "unload",
                adapter=adapter,
                version=version,
                sequence=self._sequence,
                token=token,
                attempt=unanswered + 1,
                answer=result.value,
            )
            if result is not OrderResponse.NO_RESPONSE:
                return await self._handle_result(
                    result, is_load, adapter, unanswered > 0
                )
            unanswered += 1
        return result

    async def _handle_result(
        self, result: OrderResponse, is_load: bool, adapter: str, was_repeated: bool
    ) -> OrderResponse:
        if result is OrderResponse.ACCEPTED or (
            result is OrderResponse.DONE and not is_load
        ):
            self._sequence += 1
            return result
        if result is OrderResponse.FENCED:
            self._on_fenced()
            return result
        # The engine is not in the state that the order was planned for. The next
        # report has the sequence together with the adapters.
        self._sequence = -1
        if result is OrderResponse.CONFLICT and was_repeated:
            await asyncio.sleep(REPORT_AGE_S)
            if await self._took_effect(is_load, adapter):
                return OrderResponse.DONE
        return result

    async def _took_effect(self, is_load: bool, adapter: str) -> bool:
        """Whether an order that got no response has taken effect."""
        if not adapter or not self._admit_call(self.entry):
            return False
        report = await self._control.report(self.entry)
        if report is None:
            return False
        is_held = adapter in report.resident or adapter in report.incoming
        return is_held is is_load

    @property
    def sequence(self) -> int:
        """Sequence of the next order, or of one without a response; -1 if unknown."""
        return self._sequence


_UNCERTAIN = (OrderResponse.ACCEPTED, OrderResponse.NO_RESPONSE, OrderResponse.CONFLICT)
