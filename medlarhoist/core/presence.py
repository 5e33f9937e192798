"""Presence: decides when a target that says nothing counts as gone."""

from typing import Final

from msgspec import Struct

from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import Target, TargetNotice, TargetPhase

MISSED_HEARTBEATS: Final = 3
_MS_PER_SECOND: Final = 1000


class Presence(Struct, frozen=True, kw_only=True):
    """What a node knows of the target beside it.

    Args:
        notice: the last notice, None without a target.
        heard_seconds: monotonic time of that notice.
        since_ms: when this run of the target was first heard of,
            milliseconds since 1970.
        last: the newest notice, also of a target that is gone.
        has_left: whether the run of that notice has said that it leaves.
    """

    notice: TargetNotice | None = None
    heard_seconds: float = 0
    since_ms: int = 0
    last: TargetNotice | None = None
    has_left: bool = False


def hear(
    presence: Presence,
    notice: TargetNotice,
    now_seconds: float,
    now_ms: int,
) -> Presence:
    """Return the presence after a notice."""
    same = presence.notice is not None and is_same_run(presence.notice, notice)
    return Presence(
        notice=notice,
        heard_seconds=now_seconds,
        since_ms=presence.since_ms if same else now_ms,
        last=notice,
    )


def is_late(presence: Presence, notice: TargetNotice) -> bool:
    """Say whether a notice was overtaken by a newer one.

    A notice of an earlier run, or an earlier one of the same run, says
    nothing about the target that is there now.
    """
    known = presence.last
    if known is None:
        return False
    run = _run_of(notice)
    if presence.has_left and run is not None and run == _run_of(known):
        return True
    if notice.born_ms != known.born_ms:
        return notice.born_ms < known.born_ms
    return notice.run_id == known.run_id and notice.sequence < known.sequence


def is_leave_late(presence: Presence, run_id: str, born_ms: int) -> bool:
    """Say whether a leave is not that of the run that is there now.

    Args:
        presence: what is known of the target.
        run_id: which run leaves, empty where it has no id.
        born_ms: when that run started, zero where it is not told.
    """
    known = presence.last
    if known is None or not run_id:
        return False
    return run_id != known.run_id or 0 < born_ms < known.born_ms


def remove_target(presence: Presence, *, has_left: bool) -> Presence:
    """Return the presence without its target; late notices stay late.

    Args:
        presence: what is known of the target.
        has_left: whether the target said so, after which no notice of the
            same run counts; one that was only silent may be heard again.
    """
    return Presence(last=presence.last, has_left=has_left)


def has_expired(
    presence: Presence,
    now_seconds: float,
    heartbeat_ms: int,
) -> bool:
    """Say whether the target has missed its heartbeats.

    Args:
        presence: what is known of the target.
        now_seconds: monotonic time.
        heartbeat_ms: time between two notices, milliseconds.
    """
    silent = now_seconds - presence.heard_seconds
    limit = heartbeat_ms * MISSED_HEARTBEATS / _MS_PER_SECOND
    return presence.notice is not None and silent > limit


def tell_target(
    cfg: NodeSettings,
    presence: Presence,
    *,
    is_leaving: bool,
) -> Target | None:
    """Return what a node tells others of the target beside it.

    Args:
        cfg: settings of the node.
        presence: what it knows.
        is_leaving: whether the node itself stops, which drains its target.
    """
    notice = presence.notice
    if notice is None:
        return None
    return Target(
        node=cfg.name,
        domain=cfg.domain,
        service=notice.service,
        label=notice.label,
        address=cfg.peer,
        slots=notice.slots,
        phase=TargetPhase.DRAINING if is_leaving else notice.phase,
        since_ms=presence.since_ms,
    )


def is_same_run(old: TargetNotice, new: TargetNotice) -> bool:
    """Say whether two notices are of one run of a target."""
    return _identity(old) == _identity(new)


def _run_of(notice: TargetNotice) -> tuple[str, int] | None:
    """Return what tells runs apart, None where nothing does."""
    if not notice.run_id:
        return None
    return notice.run_id, notice.born_ms


def _identity(notice: TargetNotice) -> tuple[object, ...]:
    return (
        notice.service,
        notice.label,
        notice.address,
        notice.run_id,
        notice.born_ms,
    )
