"""Tests of what a node announces of the target beside it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from bench.calls_static import create_notice, create_settings
from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.core.withdrawal import Withdrawals
from medlarhoist.node.gossip import create_membership
from medlarhoist.node.registry import create_registry
from medlarhoist.node.target_registration import (
    LEFT_SECONDS,
    TargetRegistration,
)
from medlarhoist.utils.clock import monotonic_seconds

NOTICE = create_notice()
HEARTBEAT_MS = 1000
# As a node has it that has played for a while.
NOW_MS = 1_800_000_000_000


async def _do_nothing():
    """Replicate nothing."""


@pytest.fixture(name='started')
def _started():
    """Return a registration of a node that has just started.

    Also return a function that returns the phases that it announces.
    """
    return _create_registration(lambda notice: None)


def _create_registration(set_target):
    cfg = replace(
        create_settings('n0', 'a'),
        service=NOTICE.service,
        target=NOTICE.address,
        heartbeat_ms=HEARTBEAT_MS,
    )
    registry = create_registry(create_membership(cfg, 0))
    registration = TargetRegistration(
        cfg,
        registry,
        set_target,
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


@pytest.fixture(name='clock')
def _clock(monkeypatch):
    """Return a list with the present time, which a test sets."""
    now = [1000.0]
    module = 'medlarhoist.node.target_registration'
    monkeypatch.setattr(f'{module}.monotonic_seconds', lambda: now[0])
    monkeypatch.setattr(f'{module}.wall_ms', lambda: NOW_MS)
    return now


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('service', 'footage'),
        ('host', '127.0.0.2'),
        ('port', 2),
        ('born_ms', NOW_MS + 3_600_000),
        ('sequence', 2**53),
        ('label', 'v2'),
    ],
)
def test_a_notice_that_the_target_cannot_have_sent_changes_nothing(
    clock, announced, field, value
):
    """Its place was taken, and its next notices were ignored as outdated."""
    registration, phases = announced
    before = registration.presence
    fault = registration.receive(replace(NOTICE, **{field: value}))
    names = fault.replace('address', 'host port').replace('version', 'label')
    assert field.partition('_')[0] in names
    assert registration.presence == before
    assert phases() == [TargetPhase.READY]


def test_a_run_is_used_after_the_clock_was_set_back(
    clock, announced, monkeypatch
):
    registration, phases = announced
    module = 'medlarhoist.node.target_registration'
    monkeypatch.setattr(f'{module}.wall_ms', int)
    assert not registration.receive(replace(NOTICE, sequence=2))
    assert phases() == [TargetPhase.READY]


def test_an_odd_version_does_not_hide_an_odd_sequence(clock, announced):
    registration, _ = announced
    odd = replace(NOTICE, label='v2', sequence=2**53)
    assert registration.receive(odd)
    assert registration.presence.last == NOTICE


def test_a_later_run_is_used_though_clocks_differ_by_seconds(clock, announced):
    registration, _ = announced
    later = replace(NOTICE, run_id='i-2', born_ms=NOW_MS + 10_000, sequence=1)
    assert not registration.receive(later)
    assert registration.presence.notice == later


@pytest.mark.parametrize(
    'changes',
    [
        {'run_id': 'i-odd', 'born_ms': NOW_MS},
        {'sequence': 90},
        {'run_id': 'i-odd', 'born_ms': NOW_MS, 'phase': TargetPhase.DRAINING},
    ],
)
def test_the_run_that_goes_on_gets_its_place_back(clock, announced, changes):
    """An odd notice that looks sound holds it for a few seconds at most."""
    registration, phases = announced
    registration.receive(replace(NOTICE, **changes))
    for sequence in (2, 3, 4):
        clock[0] += HEARTBEAT_MS / 1000
        registration.expire(clock[0])
        sound = replace(NOTICE, sequence=sequence)
        registration.receive(sound)
    assert registration.presence.notice == sound
    assert phases() == [TargetPhase.READY]


def test_late_notices_do_not_displace_a_run_in_operation(clock, announced):
    registration, _ = announced
    for number in range(2, 9):
        clock[0] += HEARTBEAT_MS / 1000
        later = replace(NOTICE, run_id='i-2', born_ms=NOW_MS, sequence=number)
        registration.receive(later)
        for sequence in (2 * number, 2 * number + 1):
            registration.receive(replace(NOTICE, sequence=sequence))
        assert registration.presence.notice == later


def test_a_run_that_has_left_does_not_get_its_place_back(clock, announced):
    registration, phases = announced
    registration.remove(NOTICE.run_id, NOTICE.born_ms)
    for sequence in range(2, 9):
        clock[0] += HEARTBEAT_MS / 1000
        registration.receive(replace(NOTICE, sequence=sequence))
    assert phases() == [TargetPhase.DRAINING]


_ODD_NOTICES = st.builds(
    TargetNotice,
    service=st.sampled_from(['bookings', 'footage']),
    label=st.sampled_from(['v1', 'v2']),
    host=st.sampled_from(['127.0.0.1', '127.0.0.2']),
    port=st.integers(1, 2),
    slots=st.integers(1, 9),
    phase=st.just(TargetPhase.READY),
    run_id=st.sampled_from(['', 'i-1', 'i-odd']),
    born_ms=st.integers(0, 2**48),
    sequence=st.integers(0, 2**53),
)


@given(st.lists(_ODD_NOTICES, max_size=6))
def test_after_odd_notices_the_sound_run_is_used(odd_notices):
    """Whatever they are, and however they mix with those of the target."""
    targets = []
    registration, phases = _create_registration(targets.append)
    module = 'medlarhoist.node.target_registration'
    now = 1000.0
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(f'{module}.wall_ms', lambda: NOW_MS)
        for sequence in range(1, 13):
            patch.setattr(f'{module}.monotonic_seconds', lambda: now)
            sound = replace(NOTICE, sequence=sequence)
            registration.receive(sound)
            if sequence <= len(odd_notices):
                registration.receive(odd_notices[sequence - 1])
            now += HEARTBEAT_MS / 1000
    assert registration.presence.notice == sound
    assert targets[-1] == sound
    assert phases() == [TargetPhase.READY]
