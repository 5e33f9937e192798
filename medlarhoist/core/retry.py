"""Repeat: decides whether a failure that a target answered is tried again.

Load pattern: a target that fails a part of its requests while it says that it
is well. Callers of requests that may run twice need not see that while another
target has a free slot. Under overload there is none, and nothing is repeated.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.verdict import SERVER_FAULT_STATUS

# The target ran out of the time that the call had; so would the next one.
_OUT_OF_TIME: Final = 504


class Ended(Struct, frozen=True, kw_only=True):
    """An attempt that a target has answered.

    Args:
        status: status of the answer.
        is_idempotent: whether the request may run twice.
        is_replayable: whether its body is still kept whole.
        arrivals: targets that it has reached, this one included.
        attempts: targets that it may reach.
    """

    status: int
    is_idempotent: bool
    is_replayable: bool
    arrivals: int
    attempts: int


def is_repeatable(ended: Ended, left_s: float, usual_s: float) -> bool:
    """Say whether another attempt is allowed and can still be worth it.

    Args:
        ended: the attempt.
        left_s: time until an answer loses worth, seconds.
        usual_s: what a call of the route usually takes, seconds.
    """
    if ended.status < SERVER_FAULT_STATUS or ended.status == _OUT_OF_TIME:
        return False
    if not ended.is_idempotent or not ended.is_replayable:
        return False
    return ended.arrivals < ended.attempts and usual_s < left_s
