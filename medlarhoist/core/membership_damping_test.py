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


def _count_changes(beats):
    known = Damping()
    changes = 0
    for now, target in enumerate(beats):
        told = known.told
        known = record_target(known, target, now)
        changes += known.told != told
    return known, changes


def test_a_flapping_target_is_told_a_bounded_number_of_times():
    assert _count_changes([READY, None] * 30)[1] <= 8


def test_bad_news_is_told_at_once():
    known, _ = _count_changes([READY, DRAINING])
    assert known.told == DRAINING


def test_a_target_that_stays_ready_is_told_again():
    known, _ = _count_changes([READY, None] * 8 + [READY] * 10)
    assert known.told == READY


def test_a_steady_target_is_told_at_once():
    known, changes = _count_changes([READY] * 5)
    assert (known.told, changes) == (READY, 1)
