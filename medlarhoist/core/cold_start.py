"""Cold start: how long the target beside a node is cold.

A cold target accepts few requests per second. Each notice says for how much
longer it is cold, and the latest notice counts: a target can turn cold again
in the middle of a run. Where a notice can't describe the process that would
receive the next request, the target is presumed to be cold until a notice can.
"""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.resource import Service

# A notice of a run that has ended may arrive this long after its end.
NOTICE_TRAVEL_S: Final = 0.5
# The next notice of a target that is presumed to be cold is due by then.
PRESUMED_S: Final = 1.0
# Limit of a cold target whose service is not known to the node.
UNKNOWN_RATE: Final = 1.0


class Coldness(Struct, frozen=True):
    """What a node knows of the coldness of its target.

    Args:
        until: time until which it is cold by its latest notice, seconds.
        presumed_at: time at which it was last presumed to be cold, seconds;
            None if its latest notice describes it.
    """

    until: float = 0
    presumed_at: float | None = None


def record_notice(
    coldness: Coldness,
    cold_s: float,
    now: float,
    *,
    is_new_run: bool,
) -> Coldness:
    """Return the coldness after a notice that is not outdated.

    Args:
        coldness: the coldness before it.
        cold_s: for how much longer the target is cold, seconds.
        now: present time, seconds.
        is_new_run: whether it is the first notice of its run.
    """
    presumed_at = coldness.presumed_at
    if presumed_at is not None and (
        is_new_run or now - presumed_at > NOTICE_TRAVEL_S
    ):
        presumed_at = None
    return Coldness(now + cold_s, presumed_at)


def presume_cold(coldness: Coldness, now: float) -> Coldness:
    """Return the coldness where the next process may be another one.

    Args:
        coldness: the coldness before.
        now: present time, seconds.
    """
    return replace(coldness, presumed_at=now)


def cold_seconds(coldness: Coldness, now: float) -> float:
    """Return for how much longer the target counts as cold; zero if warm.

    Args:
        coldness: the coldness.
        now: present time, seconds.
    """
    left_s = max(0, coldness.until - now)
    return left_s if coldness.presumed_at is None else max(left_s, PRESUMED_S)


def find_cold_rate(
    service: Service | None,
    coldness: Coldness,
    now: float,
) -> float:
    """Return the requests per second that the target accepts as a cold one.

    Zero for no such limit: it is warm, or its service names no cold rate.

    Args:
        service: its service, None if the node doesn't know it, as before it
            has received a configuration.
        coldness: the coldness.
        now: present time, seconds.
    """
    if not cold_seconds(coldness, now):
        return 0
    return UNKNOWN_RATE if service is None else service.cold_rate
