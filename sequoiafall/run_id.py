"""Identifiers of requests in messages between instances.

Callers choose the identifiers of their requests, and two requests at the same time may
have the same one. The instances must tell them apart: the end of one is not that of
the other, and only one of them is a trial of a request that may crash servers.
"""

from __future__ import annotations

import itertools

SEPARATOR = "~"


class RunIds:
    """Gives each request of an instance an identifier of its own.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    __slots__ = ("_instance", "_numbers")

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._numbers = itertools.count(1)

    def next_id(self, request_id: str) -> str:
        """Return an identifier that no other request in the fleet has now."""
        return f"{request_id}{SEPARATOR}{self._instance}.{next(self._numbers)}"


def caller_request_id(run_id: str) -> str:
    """Return the caller's identifier, under which all instances log a request."""
    return run_id.rpartition(SEPARATOR)[0] or run_id
