"""Runs one service as a process until a signal stops it."""

from __future__ import annotations

import gc

from mode import Service, Worker

from .log import configure_logging

# New objects between two runs of the cyclic garbage collector. Reference counting
# frees nearly all objects of a request; with the default of 700 the collector took
# 3% of a gateway's CPU time.
GC_THRESHOLD_OBJECTS = 5_000


class ServiceWorker(Worker):
    """Worker whose process ends as soon as its service has stopped."""

    async def _sentinel_task(self) -> None:
        """Replace a pause of one second before the event loop is closed.

        The grace period of the process goes on meanwhile.
        """


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
