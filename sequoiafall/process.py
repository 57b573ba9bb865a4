"""Runs one service as a process until a signal stops it."""

from __future__ import annotations

import gc

from mode import Service, Worker

from .log import configure_logging

# New objects between two searches for cyclic garbage. Nearly all objects of a
# request are freed without a search; with the default of 700 the searches took
# 3% of a gateway's processor time.
GC_THRESHOLD_OBJECTS = 5_000


def run_service(service: Service, logs_to_standard_output: bool = False) -> None:
    """Run a service until SIGTERM or SIGINT, then exit.

    Parameters
    ----------
    service : Service
        Its ``on_stop`` runs to the end before the process exits.
    logs_to_standard_output : bool, default=False
        Whether log lines go to standard output and never block.
    """
    # What the modules hold lives as long as the process; a search of it at the
    # start of each process would find next to nothing.
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)
    configure_logging(logs_to_standard_output)
    Worker(
        service, override_logging=False, redirect_stdouts=False, daemon=True
    ).execute_from_commandline()
