"""Notice check: which notices and leaves of targets are sound.

Anyone on the VM can send them. One that its target can't have sent is refused
and changes no state. The types of `TargetNotice` bound each field; here it is
compared with what the node knows: its settings, the time, and earlier notices.
"""

from typing import Final

from msgspec import ValidationError, convert

from medlarhoist.core.presence import Presence
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import RunId, TargetNotice

# The clocks of a target and its node may be apart by seconds, or be set while
# they run. A start that lies further ahead would outdate the notices of every
# later run.
MAX_AHEAD_MS: Final = 600_000
# A sequence may count anything that grows, milliseconds at the most.
MAX_SEQUENCE_PER_S: Final = 10_000
SEQUENCE_SLACK_S: Final = 10.0
SHOWN_CHARACTERS: Final = 40


def find_notice_fault(
    cfg: NodeSettings,
    presence: Presence,
    notice: TargetNotice,
    now: float,
    now_ms: int,
) -> str:
    """Return which field the target can't have sent, and why; '' for none.

    Args:
        cfg: settings of the node.
        presence: the target as last reported.
        notice: the notice.
        now: seconds of the monotonic clock.
        now_ms: wall clock time, milliseconds since 1970.
    """
    if cfg.service and notice.service != cfg.service:
        return f'service: {show(notice.service)} is not {cfg.service!r}'
    if cfg.target and notice.address != cfg.target:
        return f'address: {show(notice.address)} is not {cfg.target!r}'
    newest = presence.last
    if newest is not None and notice.run_key == newest.run_key:
        since_s = max(0, now - presence.heard_seconds)
        return _find_change_fault(newest, notice, since_s)
    return _find_start_fault(notice.born_ms, now_ms)


def find_leave_fault(run_id: str, born_ms: int, now_ms: int) -> str:
    """Return which field of a leave no target can have sent; '' for none.

    Args:
        run_id: id of the run that leaves, empty for the current one.
        born_ms: when it started, milliseconds since 1970; zero if unknown.
        now_ms: wall clock time, milliseconds since 1970.
    """
    try:
        convert(run_id, RunId)
    except ValidationError:
        return f'id: {show(run_id)} is none'
    return _find_start_fault(born_ms, now_ms)


def _find_start_fault(born_ms: int, now_ms: int) -> str:
    if born_ms > now_ms + MAX_AHEAD_MS:
        return f'born: {born_ms} is in the future'
    return ''


def show(value: object) -> str:
    """Return a value for an error text, cut to a bounded length."""
    return repr(value)[:SHOWN_CHARACTERS]


def _find_change_fault(
    newest: TargetNotice,
    notice: TargetNotice,
    since_s: float,
) -> str:
    """Return why a notice can't follow another of the same run.

    Args:
        newest: the newest notice of the run.
        notice: a later one.
        since_s: seconds between them.
    """
    if notice.run_id and notice.label != newest.label:
        return f'version: {show(notice.label)} is not {newest.label!r}'
    highest = newest.sequence + int(
        (since_s + SEQUENCE_SLACK_S) * MAX_SEQUENCE_PER_S
    )
    if notice.sequence > highest:
        return f'sequence: {notice.sequence} is above {highest}'
    return ''
