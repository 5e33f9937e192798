"""Tests of what a node announces of the target beside it."""

import pytest
from msgspec.structs import replace

from bench.calls_static import create_settings
from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.core.withdrawal import Withdrawals
from medlarhoist.node.gossip import create_membership
from medlarhoist.node.registry import create_registry
from medlarhoist.node.target_registration import (
    LEFT_SECONDS,
    TargetRegistration,
)
from medlarhoist.utils.clock import monotonic_seconds

NOTICE = TargetNotice(
    service='bookings',
    label='v1',
    port=1,
    slots=1,
    phase=TargetPhase.READY,
    run_id='i-1',
    born_ms=5,
    sequence=1,
)


async def _do_nothing():
    """Replicate nothing."""


@pytest.fixture(name='started')
def _started():
    """Return a registration of a node that has just started.

    Also return a function that returns the phases that it announces.
    """
    cfg = create_settings('n0', 'a')
    registry = create_registry(create_membership(cfg, 0))
    registration = TargetRegistration(
        cfg,
        registry,
        lambda notice: None,
        Withdrawals(cfg.domain, cfg.name),
        _do_nothing,
    )
    return registration, lambda: [
        target.phase for target in registry.local_targets()
    ]


@pytest.fixture(name='announced')
def _announced(started):
    """Return the same, of a node that has received a notice."""
    started[0].receive(NOTICE)
    return started


def test_a_run_that_states_that_it_leaves_is_announced_as_draining(announced):
    registration, phases = announced
    assert phases() == [TargetPhase.READY]
    registration.mark_leaving(NOTICE.run_key)
    registration.receive(replace(NOTICE, sequence=2))
    assert phases() == [TargetPhase.DRAINING]


def test_a_target_that_has_left_is_announced_for_a_while(announced):
    """Otherwise others use it again if its node restarts and hears it late."""
    registration, phases = announced
    registration.remove(NOTICE.run_id, NOTICE.born_ms)
    target = registration._registry.local_targets()[0]
    assert (target.phase, target.run_key) == (
        TargetPhase.DRAINING,
        NOTICE.run_key,
    )
    registration.expire(monotonic_seconds() + LEFT_SECONDS)
    assert not phases()


def test_the_next_run_is_announced_as_ready(announced):
    registration, phases = announced
    registration.mark_leaving(NOTICE.run_key)
    registration.remove(NOTICE.run_id, NOTICE.born_ms)
    registration.receive(replace(NOTICE, born_ms=6))
    assert phases() == [TargetPhase.READY]


@pytest.mark.parametrize('born_ms', [NOTICE.born_ms, 0])
def test_a_leave_counts_before_the_first_notice_of_the_run(started, born_ms):
    """A node restarts, and a notice that was sent before the leave is late."""
    registration, phases = started
    registration.remove(NOTICE.run_id, born_ms)
    registration.receive(NOTICE)
    assert not phases()
    registration.receive(replace(NOTICE, run_id='i-2', born_ms=6))
    assert phases() == [TargetPhase.READY]
