"""Failures of calls to a store."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The request failed and certainly had no effect."""

    detail: str = ""


@dataclass(slots=True, frozen=True)
class Stale(Unavailable):
    """A read returned a state older than one that is known to exist."""


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may or may not have taken effect."""

    detail: str = ""
