"""Tests of the damping of flapping targets."""

from medlarhoist.core.membership_damping import Damping, record_target
from medlarhoist.core.target import Target, TargetPhase


def _create_target(phase):
    return Target(
        node='n',
        domain='a',
        service='bookings',
        label='v1',
        address='127.0.0.1:1',
        slots=20,
        phase=phase,
        since_ms=1,
    )


READY = _create_target(TargetPhase.READY)
DRAINING = _create_target(TargetPhase.DRAINING)


def _count_changes(heartbeats):
    """Return the final damping and how often the announced target changed."""
    damping = Damping()
    changes = 0
    for now, target in enumerate(heartbeats):
        announced = damping.told
        damping = record_target(damping, target, now)
        changes += damping.told != announced
    return damping, changes


def test_a_flapping_target_is_announced_a_bounded_number_of_times():
    assert _count_changes([READY, None] * 30)[1] <= 8


def test_a_draining_target_is_announced_at_once():
    damping, _ = _count_changes([READY, DRAINING])
    assert damping.told == DRAINING


def test_a_target_that_stays_ready_is_announced_again():
    damping, _ = _count_changes([READY, None] * 8 + [READY] * 10)
    assert damping.told == READY


def test_a_steady_target_is_announced_at_once():
    damping, changes = _count_changes([READY] * 5)
    assert (damping.told, changes) == (READY, 1)
