"""Rollout plan: the stages of a move and the time that they take."""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.command import MoveState

# Time before the deadline that is kept free to commit the last step.
COMMIT_MARGIN_MS: Final = 1000
MIN_STEP_MS: Final = 1000
MAX_STEP_MS: Final = 5000
# Dwell times are never shortened below this fraction.
MIN_DWELL_SCALE: Final = 0.5
# Dwell times are shortened in a move that has less than this multiple of them
# besides the time of its steps.
PLAN_SLACK: Final = 1.3
# Share of a new version that has not proved itself, in basis points.
UNPROVEN_SHARE: Final = 500


class Stage(Struct, frozen=True, kw_only=True):
    """One step of the plan of a move.

    Args:
        basis_points: share of the new version, of 10,000.
        dwell_ms: minimum time at this share, in milliseconds.
        calls: calls of the new version that are needed at this share.
        route_calls: calls of the new version that are needed on each live
            route at this share.
        is_optional: whether a move that is short of time skips it.
    """

    basis_points: int
    dwell_ms: int
    calls: int
    route_calls: int = 0
    is_optional: bool = False


STAGES: Final = (
    Stage(basis_points=100, dwell_ms=3000, calls=0, is_optional=True),
    Stage(
        basis_points=UNPROVEN_SHARE,
        dwell_ms=3000,
        calls=15,
        route_calls=5,
    ),
    Stage(basis_points=2500, dwell_ms=2000, calls=10, route_calls=3),
    Stage(
        basis_points=5000,
        dwell_ms=2000,
        calls=10,
        route_calls=3,
        is_optional=True,
    ),
    Stage(basis_points=9500, dwell_ms=2000, calls=10, route_calls=3),
)
INITIAL_STAGE: Final = Stage(basis_points=0, dwell_ms=0, calls=0)


class MoveTimes(Struct, frozen=True, kw_only=True):
    """The times that bound a stage, in milliseconds.

    Args:
        now_ms: wall clock time, milliseconds since 1970.
        since_ms: when the stage was first observed in force, milliseconds
            since 1970.
        step_ms: how long a step takes to come into force.
        left_ms: time until the move must end, negative past that.
    """

    now_ms: int
    since_ms: int
    step_ms: int
    left_ms: int


def move_times(
    move: MoveState, observed_ms: Sequence[int], now_ms: int
) -> MoveTimes:
    """Return the times that bound the current stage.

    Args:
        move: the record of the move.
        observed_ms: when each step was first observed in force, in order,
            milliseconds since 1970.
        now_ms: wall clock time, milliseconds since 1970.
    """
    since_ms = observed_ms[-1] if observed_ms else now_ms
    step_ms = MIN_STEP_MS
    if len(observed_ms) > 1:
        step_ms = max(step_ms, since_ms - move.stepped_ms)
    return MoveTimes(
        now_ms=now_ms,
        since_ms=since_ms,
        step_ms=min(step_ms, MAX_STEP_MS),
        left_ms=move.deadline_ms - COMMIT_MARGIN_MS - now_ms,
    )


def plan_stages(move: MoveState) -> tuple[Stage, ...]:
    """Return the stages of a move, shortened for a short move.

    The last stage takes at least the time that the operator asked for, the
    `bake_ms` of the move.
    """
    total_ms = move.deadline_ms - move.started_ms
    steps_ms = len(STAGES) * MIN_STEP_MS + COMMIT_MARGIN_MS
    planned_ms = sum(stage.dwell_ms for stage in STAGES) * PLAN_SLACK
    scale = min((total_ms - steps_ms) / planned_ms, 1)
    scale = max(scale, MIN_DWELL_SCALE)
    fitted = [
        replace(stage, dwell_ms=round(stage.dwell_ms * scale))
        for stage in STAGES
    ]
    last_ms = max(fitted[-1].dwell_ms, move.bake_ms)
    return (*fitted[:-1], replace(fitted[-1], dwell_ms=last_ms))


def current_stage(stages: Sequence[Stage], basis_points: int) -> Stage:
    """Return the highest stage that a share has reached.

    `INITIAL_STAGE` for a share below the first stage.
    """
    reached = [stage for stage in stages if stage.basis_points <= basis_points]
    return reached[-1] if reached else INITIAL_STAGE


def fit_stages(
    stages: Sequence[Stage],
    basis_points: int,
    times: MoveTimes,
) -> tuple[Stage, ...]:
    """Return the stages after a share that fit into the time left.

    Optional stages are removed, the last of them first, until the rest fits.

    Returns:
        The following stages; empty if the required ones do not fit, or if
        there are none.
    """
    following = [stage for stage in stages if stage.basis_points > basis_points]
    while _needed_ms(following, times) > times.left_ms:
        optional = [stage for stage in following if stage.is_optional]
        if not optional:
            return ()
        following.remove(optional[-1])
    return tuple(following)


def has_spare_time(following: Sequence[Stage], times: MoveTimes) -> bool:
    """Return whether the following stages leave more time than a step takes."""
    return _needed_ms(following, times) + times.step_ms < times.left_ms


def _needed_ms(stages: Sequence[Stage], times: MoveTimes) -> int:
    return sum(stage.dwell_ms + times.step_ms for stage in stages)
