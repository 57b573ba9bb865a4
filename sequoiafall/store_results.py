"""What a call of a store may come to beside its answer."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The platform gave no answer and the request surely had no effect."""

    detail: str = ""


@dataclass(slots=True, frozen=True)
class Stale(Unavailable):
    """Reads showed an older state than one that is known to exist."""


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may or may not have had its effect."""

    detail: str = ""
