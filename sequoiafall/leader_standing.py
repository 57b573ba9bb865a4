"""What a leader may do, by what it hears from the store and the other instances.

A leader that does not reach the store cannot tell from the store alone whether it is
away for all, so that nobody else can lead, or away for this instance only. The members
tell: those that poll this leader follow no other one.

========  ===================  ===================  ==============================
Standing  Heard                Version of a stream  Members that are silent
========  ===================  ===================  ==============================
IN_TOUCH  the store            may be assumed       have ended after MEMBER_GONE_S
UNITED    all that may serve   may be assumed       there are none
DIVIDED   some that may serve  must be known        may serve for any time
ALONE     nobody               must be known        may serve for any time
========  ===================  ===================  ==============================

In each standing a leader grants the share of a limit that belongs to the instances that
it hears (`MemberRegister.limit_share`). The shares of two leaders, and of instances
without one, add up to the limit at most. One that has been alone for `ALONE_LIMIT_S`
steps down.

Orders are guarded by their fencing token, or by `LeaseState.may_order` where engines
check none. Places at engines may be granted by two leaders, as by instances without
one: the engines refuse what they have no room for.
"""

from __future__ import annotations

import enum

from .lease import REFUSED_TAKEOVER_S
from .member_register import MEMBER_GONE_S

# An instance that has heard neither the store nor all others for this long may not know
# of a backend server or a software version that has come since. No other instance can
# lead before this time is over.
NEWS_TTL_S = REFUSED_TAKEOVER_S
# An instance that has heard no other one for this long uses no share of a limit. The
# leader of the others uses it from `MEMBER_GONE_S` on, 2 s later.
ALONE_LIMIT_S = MEMBER_GONE_S - 2.0


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

    @property
    def reaches_store(self) -> bool:
        """Whether this leader holds the lease for certain."""
        return self is Standing.IN_TOUCH


def find_standing(heard: int, serving: int) -> Standing:
    """Return the standing of a leader whom the store has not answered lately.

    Parameters
    ----------
    heard, serving : int
        Number of instances that polled this leader within `NEWS_TTL_S`, and of those
        that may serve callers, both with its own.
    """
    if heard >= serving:
        return Standing.UNITED
    return Standing.DIVIDED if heard > 1 else Standing.ALONE
