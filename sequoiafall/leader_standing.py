"""What a leader may do, by what it hears from the store and the other instances.

A leader that does not reach the store cannot tell from the store alone whether it is
away for all, so that nobody else can lead, or away for this instance only. The members
tell: those that poll this leader follow no other one.

=========  ==========================  ==================  ==========================
Standing   Heard                       Version of a stream  Orders, places, replies
=========  ==========================  ==================  ==========================
IN_TOUCH   the store                   may be assumed       yes
UNITED     all that may serve          may be assumed       yes
DIVIDED    some that may serve         must be known        yes, see `may_order`
ALONE      nobody                      must be known        yes, see `may_order`
=========  ==========================  ==================  ==========================

Orders are guarded by their fencing token, or by `LeaseState.may_order` where engines
check none. Places at engines may be granted by two leaders, as by instances without
one: the engines refuse what they have no room for.
"""

from __future__ import annotations

import enum

from .lease import REFUSED_TAKEOVER_S

# An instance that has heard neither the store nor all others for this long may not know
# of a backend server or a software version that has come since. No other instance can
# lead before this time is over.
NEWS_TTL_S = REFUSED_TAKEOVER_S


class Standing(enum.StrEnum):
    """What a leader hears."""

    IN_TOUCH = "in touch"
    UNITED = "store away"
    DIVIDED = "cut off in part"
    ALONE = "cut off"

    @property
    def knows_servers(self) -> bool:
        """Whether a backend server that the store names would be known by now."""
        return self in (Standing.IN_TOUCH, Standing.UNITED)


def find_standing(store_age_s: float, heard: int, serving: int) -> Standing:
    """Return the standing of a leader.

    Parameters
    ----------
    store_age_s : float
        Seconds since the store is known to have answered.
    heard, serving : int
        Number of instances that polled this leader within `NEWS_TTL_S`, and of those
        that may serve callers, both with its own.
    """
    if store_age_s < NEWS_TTL_S:
        return Standing.IN_TOUCH
    if heard >= serving:
        return Standing.UNITED
    return Standing.DIVIDED if heard > 1 else Standing.ALONE
