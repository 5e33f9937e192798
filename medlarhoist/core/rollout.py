"""Rollout: decides the next step of a move from its evidence.

A move is the rollout of a target version; evidence is the results of calls to
the old and the new version. A move goes through stages of growing share. The
new version keeps a small share until it has proved itself on every live route
of the old version. The last stage leaves the old version a small part of the
calls, so that both are compared in the same windows until the end. A move is
rolled back if the evidence shows a fault of the new version, or if the version
has not proved itself by the deadline.
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
    MoveTimes,
    Stage,
    current_stage,
    fit_stages,
    has_spare_time,
    move_times,
    plan_stages,
)
from medlarhoist.core.snapshot import FULL_SHARE

# Maximum probability that a healthy version is rolled back.
FALSE_ALARM_PROBABILITY: Final = 0.01
# A move with spare time stays at the unproven share for UNPROVEN_WATCH_MS and
# until each live route has UNPROVEN_ROUTE_CALLS calls of the new version, but
# not beyond this fraction of the time from its start to its deadline.
UNPROVEN_WATCH_FRACTION: Final = 0.5
UNPROVEN_WATCH_MS: Final = 60_000
UNPROVEN_ROUTE_CALLS: Final = 30
EXTRA_CALLS_PER_FAILURE: Final = 14
LIVE_ROUTE_WINDOWS: Final = 30
LIVE_ROUTE_FRACTION: Final = 0.01
# Arrivals are random: of three expected calls at least one nearly always
# arrives.
REQUIRED_CALLS_FRACTION: Final = 0.3
WINDOW_MS: Final = 1000


class Decision(Struct, frozen=True, kw_only=True):
    """Share and phase that a move shall have now.

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
    observed_ms: Sequence[int],
    now_ms: int,
    clamped: Sequence[str] = (),
) -> Decision:
    """Decide the share and the phase of a move.

    Args:
        move: its record.
        series: the evidence of both versions received so far.
        observed_ms: when each step was first observed in force, in order, the
            last being the current share; milliseconds since 1970.
        now_ms: wall clock time, milliseconds since 1970.
        clamped: failure domains where most nodes have clamped the new version
            (limited its share on their own evidence); such nodes send it no
            calls, so they yield no further evidence.

    Returns:
        The decision; share and phase equal those of the record where nothing
        shall change.
    """
    if move.phase is not MovePhase.RUNNING:
        return _hold(move, move.reason)
    cold = cold_windows([_window_of(each) for each in observed_ms])
    finding = find_fault(series, cold, FALSE_ALARM_PROBABILITY)
    if finding is not None:
        return _roll_back(_finding_reason(finding), series)
    if clamped:
        return _roll_back(_clamp_reason(clamped), series)
    stages = plan_stages(move)
    stage = current_stage(stages, move.basis_points)
    times = move_times(move, observed_ms, now_ms)
    following = fit_stages(stages, move.basis_points, times)
    has_spare = has_spare_time(following, times)
    required = [later for later in following if not later.is_optional]
    may_wait = not following or has_spare_time(required, times)
    missing = _missing_proof(stage, series, times, may_wait=may_wait)
    is_last = stage == stages[-1]
    if is_last and not missing:
        return _complete(series)
    if times.left_ms < 0 or not (following or is_last):
        return _roll_back(_deadline_reason(missing), series)
    if has_spare and move.basis_points == UNPROVEN_SHARE:
        missing = missing or _unproven_watch_reason(move, series, times)
    if missing:
        return _hold(move, missing)
    return _raise_share(following[0], series)


def _unproven_watch_reason(
    move: MoveState,
    series: Sequence[Series],
    times: MoveTimes,
) -> str:
    """Return why a move with spare time stays at the unproven share.

    A fault that shows late does the least harm at that share.

    Returns:
        The reason, empty if the move need not stay.
    """
    total_ms = move.deadline_ms - move.started_ms
    if times.now_ms >= move.started_ms + round(
        total_ms * UNPROVEN_WATCH_FRACTION
    ):
        return ''
    if times.now_ms < times.since_ms + UNPROVEN_WATCH_MS:
        return 'watched at the unproven share while time allows'
    return _missing_route(series, times, UNPROVEN_ROUTE_CALLS)


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


def _missing_proof(
    stage: Stage,
    series: Sequence[Series],
    times: MoveTimes,
    *,
    may_wait: bool,
) -> str:
    """Return what the current stage still lacks, empty for nothing."""
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
    times: MoveTimes,
    required: int,
    share: float | None = None,
) -> str:
    """Return which live route has too few calls, empty for none.

    Args:
        series: the evidence of both versions.
        times: the times that bound the stage.
        required: calls of the new version that each route needs.
        share: fraction of the calls that the new version gets, given only
            where time is short: a route then needs only as many calls as its
            traffic allows for, and is proved at the next share.
    """
    for route in _live_routes(series, _window_of(times.now_ms)):
        of_route = [each for each in series if each.route == route]
        needed = required
        if share is not None:
            expected = share * _count_calls(of_route, times)
            needed = min(required, int(REQUIRED_CALLS_FRACTION * expected))
        missing = _missing_calls(of_route, times, needed)
        if missing:
            return f'too little traffic on {route}, {missing}'
    return ''


def _missing_calls(
    series: Sequence[Series],
    times: MoveTimes,
    required: int,
) -> str:
    """Return how many of the needed calls arrived, empty if enough did.

    Each failure beyond the rate of the old version raises the number of calls
    that are needed.
    """
    first = _window_of(times.since_ms)
    new = [
        pair.new
        for each in series
        for pair in each.pairs
        if pair.window >= first
    ]
    calls = sum(tally.calls for tally in new)
    failed = sum(tally.failed for tally in new)
    surplus = max(failed - calls * failure_rate(series), 0)
    needed = required + round(surplus * EXTRA_CALLS_PER_FAILURE)
    return f'{calls} of {needed} calls' if calls < needed else ''


def _count_calls(series: Sequence[Series], times: MoveTimes) -> int:
    """Return the calls of both versions since the share came into force."""
    first = _window_of(times.since_ms)
    return sum(
        pair.old.calls + pair.new.calls
        for each in series
        for pair in each.pairs
        if pair.window >= first
    )


def _live_routes(series: Sequence[Series], window: int) -> tuple[str, ...]:
    """Return the routes that need a proof, in order of their names.

    A live route has more than `LIVE_ROUTE_FRACTION` of the calls of the old
    version in the last `LIVE_ROUTE_WINDOWS` windows.
    """
    earliest = window - LIVE_ROUTE_WINDOWS
    calls: dict[str, int] = {}
    for each in series:
        recent = sum(
            pair.old.calls for pair in each.pairs if pair.window > earliest
        )
        calls[each.route] = calls.get(each.route, 0) + recent
    threshold = sum(calls.values()) * LIVE_ROUTE_FRACTION
    return tuple(sorted(name for name in calls if calls[name] > threshold))


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


def _deadline_reason(missing: str) -> str:
    detail = missing or 'not all steps were made'
    return f'rolled back: not proved by the deadline, {detail}'
