"""Rollout: decides the next step of a move from its evidence.

A move goes through stages of growing share. The new version keeps a small
share until it has proved itself on every route that the old version serves.
The last stage leaves the old version a small part of the calls, so that both
are compared in the same windows until the end. A move that the evidence
condemns, or that has not proved itself in time, is rolled back.
"""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import MovePhase, MoveState
from medlarhoist.core.evidence import Series
from medlarhoist.core.fault_detector import (
    Finding,
    cold_windows,
    describe_series,
    failure_rate,
    find_fault,
)
from medlarhoist.core.rollout_plan import (
    UNPROVEN_SHARE,
    Stage,
    Times,
    fit_stages,
    has_spare_time,
    plan_stages,
    present_stage,
    times_of,
)
from medlarhoist.core.snapshot import FULL_SHARE

FALSE_ALARMS: Final = 0.01
WATCHED_PART: Final = 0.5
LONGEST_WATCH_MS: Final = 60_000
WANTED_ROUTE_CALLS: Final = 30
CALLS_PER_FAILURE: Final = 14
LIVE_WINDOWS: Final = 30
LIVE_PART: Final = 0.01
# Calls come by chance: of three that are expected one comes nearly always.
SAFE_PART: Final = 0.3
WINDOW_MS: Final = 1000


class Decision(Struct, frozen=True, kw_only=True):
    """Where a move shall stand now.

    Args:
        basis_points: share of the new version, of 10,000.
        phase: running, completed or rolled back.
        reason: short sentence for the operator.
        evidence: a line for each route and failure domain.
    """

    basis_points: int
    phase: MovePhase
    reason: str
    evidence: tuple[str, ...] = ()


def decide(
    move: MoveState,
    series: Sequence[Series],
    seen_ms: Sequence[int],
    now_ms: int,
    clamped: Sequence[str] = (),
) -> Decision:
    """Decide where a move shall stand.

    Args:
        move: its record.
        series: the evidence of both versions that is at hand.
        seen_ms: when each step was first seen in force, in order; the last is
            the present share. Milliseconds since 1970.
        now_ms: the time, milliseconds since 1970.
        clamped: failure domains whose nodes stopped sending by themselves;
            their evidence ends with that.

    Returns:
        The decision; it equals the record where nothing shall change.
    """
    if move.phase is not MovePhase.RUNNING:
        return _hold(move, move.reason)
    cold = cold_windows([_window_of(seen) for seen in seen_ms])
    finding = find_fault(series, cold, FALSE_ALARMS)
    if finding is not None:
        return _roll_back(_finding_reason(finding), series)
    if clamped:
        return _roll_back(_clamp_reason(clamped), series)
    stages = plan_stages(move)
    stage = present_stage(stages, move.basis_points)
    times = times_of(move, seen_ms, now_ms)
    following = fit_stages(stages, move.basis_points, times)
    has_spare = has_spare_time(following, times)
    needed = [one for one in following if not one.is_optional]
    may_wait = not following or has_spare_time(needed, times)
    missing = _missing(stage, series, times, may_wait=may_wait)
    is_last = stage == stages[-1]
    if is_last and not missing:
        return _complete(series)
    if times.left_ms < 0 or not (following or is_last):
        return _roll_back(_late_reason(missing), series)
    if has_spare and move.basis_points == UNPROVEN_SHARE:
        missing = missing or _watch_longer(move, series, times)
    if missing:
        return _hold(move, missing)
    return _raise_share(following[0], series)


def _watch_longer(
    move: MoveState,
    series: Sequence[Series],
    times: Times,
) -> str:
    """Say why a move with time to spare stays at the unproven share.

    There a fault that shows late does the least harm.
    """
    total_ms = move.deadline_ms - move.started_ms
    if times.now_ms >= move.started_ms + round(total_ms * WATCHED_PART):
        return ''
    if times.now_ms < times.since_ms + LONGEST_WATCH_MS:
        return 'watched at the unproven share while time allows'
    return _missing_route(series, times, WANTED_ROUTE_CALLS)


def _complete(series: Sequence[Series]) -> Decision:
    return Decision(
        basis_points=FULL_SHARE,
        phase=MovePhase.COMPLETED,
        reason='completed: proved on every live route',
        evidence=describe_series(series),
    )


def _raise_share(stage: Stage, series: Sequence[Series]) -> Decision:
    percent = stage.basis_points / 100
    return Decision(
        basis_points=stage.basis_points,
        phase=MovePhase.RUNNING,
        reason=f'raised to {percent:g}%',
        evidence=describe_series(series),
    )


def _missing(
    stage: Stage,
    series: Sequence[Series],
    times: Times,
    *,
    may_wait: bool,
) -> str:
    if times.now_ms - times.since_ms < stage.dwell_ms:
        return f'watched for less than {stage.dwell_ms} ms'
    missing = _missing_calls(series, times, stage.calls)
    if missing:
        return f'too little traffic, {missing}'
    share = stage.basis_points / FULL_SHARE
    return _missing_route(
        series,
        times,
        stage.route_calls,
        None if may_wait else share,
    )


def _missing_route(
    series: Sequence[Series],
    times: Times,
    wanted: int,
    share: float | None = None,
) -> str:
    """Say which live route has shown too little.

    Args:
        series: the evidence of both versions.
        times: the times that bound the stage.
        wanted: calls of the new version that each route needs.
        share: part of the calls that the new version gets, where time is
            short: a route then needs only what its traffic can bring, and
            is proved at the next share.
    """
    for route in _live_routes(series, _window_of(times.now_ms)):
        own = [one for one in series if one.route == route]
        needed = wanted
        if share is not None:
            expected = share * _count_calls(own, times)
            needed = min(wanted, int(SAFE_PART * expected))
        missing = _missing_calls(own, times, needed)
        if missing:
            return f'too little traffic on {route}, {missing}'
    return ''


def _missing_calls(
    series: Sequence[Series],
    times: Times,
    wanted: int,
) -> str:
    """Say how many calls are missing; each surplus failure asks for more."""
    first = _window_of(times.since_ms)
    new = [
        pair.new for one in series for pair in one.pairs if pair.window >= first
    ]
    calls = sum(tally.calls for tally in new)
    failed = sum(tally.failed for tally in new)
    surplus = max(failed - calls * failure_rate(series), 0)
    needed = wanted + round(surplus * CALLS_PER_FAILURE)
    return f'{calls} of {needed} calls' if calls < needed else ''


def _count_calls(series: Sequence[Series], times: Times) -> int:
    """Return the calls of both versions since the share is in force."""
    first = _window_of(times.since_ms)
    return sum(
        pair.old.calls + pair.new.calls
        for one in series
        for pair in one.pairs
        if pair.window >= first
    )


def _live_routes(series: Sequence[Series], window: int) -> tuple[str, ...]:
    """Return the routes that carry a part worth the proof."""
    earliest = window - LIVE_WINDOWS
    calls: dict[str, int] = {}
    for one in series:
        recent = sum(
            pair.old.calls for pair in one.pairs if pair.window > earliest
        )
        calls[one.route] = calls.get(one.route, 0) + recent
    least = sum(calls.values()) * LIVE_PART
    return tuple(sorted(name for name in calls if calls[name] > least))


def _window_of(time_ms: int) -> int:
    return time_ms // WINDOW_MS


def _hold(move: MoveState, reason: str) -> Decision:
    return Decision(
        basis_points=move.basis_points,
        phase=move.phase,
        reason=reason,
        evidence=move.evidence,
    )


def _roll_back(reason: str, series: Sequence[Series]) -> Decision:
    return Decision(
        basis_points=0,
        phase=MovePhase.ROLLED_BACK,
        reason=reason,
        evidence=describe_series(series),
    )


def _finding_reason(finding: Finding) -> str:
    return f'rolled back: {finding.describe()}'


def _clamp_reason(domains: Sequence[str]) -> str:
    named = ', '.join(domains)
    return f'rolled back: nodes of domain {named} found it faulty themselves'


def _late_reason(missing: str) -> str:
    detail = missing or 'not all steps were made'
    return f'rolled back: not proved by the deadline, {detail}'
