"""Runs one service as a process until a signal stops it."""

from __future__ import annotations

import gc
import math
import signal
from types import FrameType

from mode import Service, Worker

from .boot_clock import boot_time
from .log import configure_logging

# New objects between two runs of the cyclic garbage collector. Reference counting
# frees nearly all objects of a request; with the default of 700 the collector took
# 3% of a gateway's CPU time.
GC_THRESHOLD_OBJECTS = 5_000

_stop_requested_at = math.inf


def stop_requested_at() -> float:
    """Return when a signal asked the process to stop, in seconds of `boot_time`.

    It is infinite if none has.
    """
    return _stop_requested_at


class ServiceWorker(Worker):
    """Worker whose process ends as soon as its service has stopped."""

    def install_signal_handlers(self) -> None:
        """Handle signals in the event loop, and note at once when they arrive.

        A busy event loop takes several iterations to begin the stop, and the grace
        period goes on meanwhile.
        """
        super().install_signal_handlers()
        # The event loop is woken by a file descriptor, whatever the handler is.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _on_stop_signal)

    async def _sentinel_task(self) -> None:
        """Replace a pause of one second before the event loop is closed.

        The grace period of the process goes on meanwhile. Tests run further services in
        the same process, whose stops do not count from this one's signal.
        """
        global _stop_requested_at
        _stop_requested_at = math.inf


def _on_stop_signal(_number: int, _frame: FrameType | None) -> None:
    global _stop_requested_at
    _stop_requested_at = min(_stop_requested_at, boot_time())


def run_service(service: Service, logs_to_standard_output: bool = False) -> None:
    """Run a service until SIGTERM or SIGINT, then exit.

    Parameters
    ----------
    service : Service
        Its ``on_stop`` completes before the process exits.
    logs_to_standard_output : bool, default=False
        Whether log lines go to standard output and never block.
    """
    # Objects of the modules live as long as the process; examining them at each
    # start would free almost nothing.
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)
    configure_logging(logs_to_standard_output)
    ServiceWorker(
        service, override_logging=False, redirect_stdouts=False, daemon=True
    ).execute_from_commandline()
