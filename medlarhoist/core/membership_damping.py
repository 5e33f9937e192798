"""Damping: keeps a flapping target from flooding its failure domain.

A target that is no longer ready is announced as such at once. A target that
became unready several times within a short window is announced as ready again
only after it has stayed ready for a while.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.target import Target, TargetPhase

WINDOW_SECONDS: Final = 10.0
STABLE_SECONDS: Final = 5.0
DAMPING_FLAPS: Final = 3


class Damping(Struct, frozen=True, kw_only=True):
    """Recent readiness of one target.

    Args:
        told: the target as last announced to the domain, None for none.
        flaps: when it became unready within the last `WINDOW_SECONDS`,
            monotonic seconds.
        ready_since: when it became ready, monotonic seconds; None while it
            is not.
    """

    told: Target | None = None
    flaps: tuple[float, ...] = ()
    ready_since: float | None = None


def record_target(
    damping: Damping,
    target: Target | None,
    now: float,
) -> Damping:
    """Return the damping after a heartbeat; `told` is what to announce.

    Args:
        damping: the damping before it.
        target: the target with its current phase, None where it was removed.
        now: monotonic seconds.
    """
    flaps = tuple(flap for flap in damping.flaps if now - flap < WINDOW_SECONDS)
    if not _is_ready(target):
        if damping.ready_since is not None:
            flaps = (*flaps, now)
        return Damping(told=target, flaps=flaps)
    since = now if damping.ready_since is None else damping.ready_since
    is_stable = now - since >= STABLE_SECONDS
    if _is_ready(damping.told) or is_stable or len(flaps) < DAMPING_FLAPS:
        return Damping(told=target, flaps=flaps, ready_since=since)
    return Damping(told=damping.told, flaps=flaps, ready_since=since)


def _is_ready(target: Target | None) -> bool:
    return target is not None and target.phase is TargetPhase.READY
