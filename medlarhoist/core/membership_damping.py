"""Damping: keeps a target that comes and goes from flooding its domain.

Bad news is told at once. A target that became unready several times within
a short while is told ready again only after it stayed so for a while.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.target import Target, TargetPhase

WINDOW_SECONDS: Final = 10.0
STABLE_SECONDS: Final = 5.0
DAMPING_FLAPS: Final = 3


class Damping(Struct, frozen=True, kw_only=True):
    """What is remembered of one target.

    Args:
        told: the target as the domain knows it.
        flaps: when it became unready, monotonic seconds.
        ready_since: when it became ready, None while it is not.
    """

    told: Target | None = None
    flaps: tuple[float, ...] = ()
    ready_since: float | None = None


def record_target(
    known: Damping,
    target: Target | None,
    now: float,
) -> Damping:
    """Return what to remember, and to tell, after a heartbeat.

    Args:
        known: what is remembered.
        target: the target as it says now, None for gone.
        now: monotonic seconds.
    """
    flaps = tuple(each for each in known.flaps if now - each < WINDOW_SECONDS)
    if not _is_ready(target):
        if known.ready_since is not None:
            flaps = (*flaps, now)
        return Damping(told=target, flaps=flaps)
    since = now if known.ready_since is None else known.ready_since
    calm = now - since >= STABLE_SECONDS
    if _is_ready(known.told) or calm or len(flaps) < DAMPING_FLAPS:
        return Damping(told=target, flaps=flaps, ready_since=since)
    return Damping(told=known.told, flaps=flaps, ready_since=since)


def _is_ready(target: Target | None) -> bool:
    return target is not None and target.phase is TargetPhase.READY
