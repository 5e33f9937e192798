"""Presence: tracks the target beside a node by the notices it sends."""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import Target, TargetNotice, TargetPhase

MISSED_HEARTBEATS: Final = 3
# Longer than a target in operation pauses between two heartbeats.
SILENT_HEARTBEATS: Final = 1.5
_MS_PER_SECOND: Final = 1000


class Presence(Struct, frozen=True, kw_only=True):
    """State that a node keeps about the target beside it.

    A run is one lifetime of a target process.

    Args:
        notice: the last notice, None without a target.
        heard_seconds: monotonic time at which the last notice was received.
        since_ms: when the first notice of its run was received, milliseconds
            since 1970.
        last: the newest notice, also of a target that was removed.
        has_left: whether the run of `last` has announced that it leaves.
        rival: the latest of the notices that were outdated by `last` since it
            was received, None for none.
    """

    notice: TargetNotice | None = None
    heard_seconds: float = 0
    since_ms: int = 0
    last: TargetNotice | None = None
    has_left: bool = False
    rival: TargetNotice | None = None


def receive_notice(
    presence: Presence,
    notice: TargetNotice,
    now_seconds: float,
    now_ms: int,
) -> Presence:
    """Return the presence after a notice that is not outdated.

    Args:
        presence: the presence before it.
        notice: the notice.
        now_seconds: monotonic time.
        now_ms: wall clock time, milliseconds since 1970.
    """
    same = presence.notice is not None and is_same_run(presence.notice, notice)
    return Presence(
        notice=notice,
        heard_seconds=now_seconds,
        since_ms=presence.since_ms if same else now_ms,
        last=notice,
    )


def is_outdated(presence: Presence, notice: TargetNotice) -> bool:
    """Return whether a notice was overtaken by a newer one.

    A notice of an earlier run, an earlier notice of the same run, and any
    notice of a run that has left do not describe the current target.
    """
    newest = presence.last
    if newest is None:
        return False
    run = _run_key(notice)
    if presence.has_left and run is not None and run == _run_key(newest):
        return True
    if notice.born_ms != newest.born_ms:
        return notice.born_ms < newest.born_ms
    return notice.run_id == newest.run_id and notice.sequence < newest.sequence


def is_superseded(
    presence: Presence,
    notice: TargetNotice,
    now_seconds: float,
    heartbeat_ms: int,
) -> bool:
    """Return whether an outdated notice shows that `last` was none of a target.

    One process at a time listens on the address of a target. The run that goes
    on sending notices, each with a higher sequence, is the one that does if
    that of `last` is silent meanwhile. A run that has left stays outdated.

    Args:
        presence: the presence of the target.
        notice: a notice for which `is_outdated` is true.
        now_seconds: monotonic time.
        heartbeat_ms: heartbeat interval of the target, milliseconds.
    """
    newest, rival = presence.last, presence.rival
    if newest is None or rival is None:
        return False
    if presence.has_left and _run_key(newest) in {None, _run_key(notice)}:
        return False
    silent_seconds = now_seconds - presence.heard_seconds
    limit_seconds = heartbeat_ms * SILENT_HEARTBEATS / _MS_PER_SECOND
    is_next = is_same_run(rival, notice) and rival.sequence < notice.sequence
    return is_next and silent_seconds >= limit_seconds


def is_leave_outdated(presence: Presence, run_id: str, born_ms: int) -> bool:
    """Return whether a leave is that of another run than the current one.

    Args:
        presence: the presence of the target.
        run_id: id of the run that leaves, empty if it has none.
        born_ms: when that run started, milliseconds since 1970; zero if
            unknown.
    """
    newest = presence.last
    if newest is None or not run_id:
        return False
    return run_id != newest.run_id or 0 < born_ms < newest.born_ms


def remove_target(presence: Presence, *, has_left: bool) -> Presence:
    """Return the presence without its target.

    The last notice is kept, so that outdated ones are still detected.

    Args:
        presence: the presence of the target.
        has_left: whether the target announced that it leaves, after which
            further notices of the same run are outdated. A target that was
            only unresponsive may return.
    """
    return replace(presence, notice=None, has_left=has_left)


def has_expired(
    presence: Presence,
    now_seconds: float,
    heartbeat_ms: int,
) -> bool:
    """Return whether the target has missed `MISSED_HEARTBEATS` heartbeats.

    False without a target.

    Args:
        presence: the presence of the target.
        now_seconds: monotonic time.
        heartbeat_ms: heartbeat interval of the target, milliseconds.
    """
    unresponsive_seconds = now_seconds - presence.heard_seconds
    limit_seconds = heartbeat_ms * MISSED_HEARTBEATS / _MS_PER_SECOND
    return presence.notice is not None and unresponsive_seconds > limit_seconds


def advertised_target(
    cfg: NodeSettings,
    presence: Presence,
    *,
    is_leaving: bool,
) -> Target | None:
    """Return the target beside a node as the node announces it to others.

    Args:
        cfg: settings of the node.
        presence: the presence of its target.
        is_leaving: whether the node itself stops, which drains its target.

    Returns:
        The target, also one with a run id that has left; None where the node
        has none.
    """
    notice = presence.notice
    has_left = presence.has_left
    if notice is None and has_left:
        notice = presence.last
    if notice is None or (has_left and not notice.run_key):
        return None
    run_key = notice.run_key if has_left else ''
    is_leaving = is_leaving or bool(run_key)
    return Target(
        node=cfg.name,
        domain=cfg.domain,
        service=notice.service,
        label=notice.label,
        address=cfg.peer,
        slots=notice.slots,
        phase=TargetPhase.DRAINING if is_leaving else notice.phase,
        since_ms=presence.since_ms,
        run_key=run_key,
    )


def begins_to_drain(presence: Presence, notice: TargetNotice) -> bool:
    """Return whether a notice is the first by which a run drains."""
    before = presence.notice
    if notice.phase is not TargetPhase.DRAINING:
        return False
    return (
        before is None
        or before.phase is not TargetPhase.DRAINING
        or not is_same_run(before, notice)
    )


def is_same_run(old: TargetNotice, new: TargetNotice) -> bool:
    """Return whether two notices are of the same run of a target."""
    return _identity(old) == _identity(new)


def _run_key(notice: TargetNotice) -> tuple[str, int] | None:
    """Return the key that identifies a run, None if it has no id."""
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
