"""Tests of the targets that a failure domain announces to others."""

from medlarhoist.core.summary import TARGETS_PER_VERSION, sample_targets
from medlarhoist.core.target import Target, TargetPhase


def _target(number, phase=TargetPhase.READY, run_key=''):
    return Target(
        node=f'n{number:03}',
        domain='a',
        service='bookings',
        label='v1',
        address=f'127.0.0.1:{number}',
        slots=1,
        phase=phase,
        since_ms=0,
        run_key=run_key,
    )


def test_a_target_that_has_left_is_named_beside_many_ready_ones():
    """Other domains use it again if a late notice reports it as ready."""
    ready = [_target(number) for number in range(2 * TARGETS_PER_VERSION)]
    left = _target(900, TargetPhase.DRAINING, 'i-1/5')
    sampled = sample_targets((*ready, left))
    assert left in sampled
    assert len(sampled) == TARGETS_PER_VERSION + 1


def test_a_target_that_is_not_ready_is_left_out():
    assert not sample_targets([_target(1, TargetPhase.DRAINING)])
