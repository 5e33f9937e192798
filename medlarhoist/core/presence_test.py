"""Tests of tracking the target beside a node."""

import pytest

from medlarhoist.core.presence import (
    Presence,
    advertised_target,
    has_expired,
    receive_notice,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice, TargetPhase

ADDRESS = '127.0.0.1:1'
CFG = NodeSettings(
    name='n1',
    domain='a',
    admin=ADDRESS,
    shared_key='0123456789abcdef',
    sources=(),
    control=ADDRESS,
    gossip=ADDRESS,
    entry=ADDRESS,
    peer='127.0.0.1:2',
)


def notice(port=7, phase=TargetPhase.READY):
    return TargetNotice(
        service='bookings', label='v1', port=port, slots=20, phase=phase
    )


@pytest.mark.parametrize(('now', 'expired'), [(3.0, False), (3.1, True)])
def test_a_target_expires_after_three_missed_heartbeats(now, expired):
    presence = receive_notice(Presence(), notice(), 0, 1000)
    assert has_expired(presence, now, 1000) is expired


def test_no_target_does_not_expire():
    assert not has_expired(Presence(), 100, 1000)


@pytest.mark.parametrize(('port', 'since_ms'), [(7, 1000), (8, 2000)])
def test_a_new_run_resets_since_ms(port, since_ms):
    presence = receive_notice(Presence(), notice(), 0, 1000)
    assert receive_notice(presence, notice(port), 1, 2000).since_ms == since_ms


@pytest.mark.parametrize(
    ('is_leaving', 'phase'),
    [(False, TargetPhase.WARMING), (True, TargetPhase.DRAINING)],
)
def test_a_leaving_node_drains_its_target(is_leaving, phase):
    presence = receive_notice(
        Presence(), notice(phase=TargetPhase.WARMING), 0, 1
    )
    target = advertised_target(CFG, presence, is_leaving=is_leaving)
    assert target.phase is phase
    assert target.address == CFG.peer


def test_a_node_without_target_advertises_none():
    assert advertised_target(CFG, Presence(), is_leaving=True) is None
