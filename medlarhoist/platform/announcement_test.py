"""Tests of heartbeats: malformed, of earlier runs, and out of order."""

import json

import pytest
from result import Err

from medlarhoist.core.presence import (
    Presence,
    is_leave_outdated,
    is_outdated,
    receive_notice,
    remove_target,
)
from medlarhoist.core.target import TargetPhase
from medlarhoist.platform.announcement import read_heartbeat, read_leave

BORN_MS = 1_700_000_000_000


def _read(heartbeat, run_id='i-1', **changes):
    return read_heartbeat(run_id, json.dumps({**heartbeat, **changes}).encode())


def test_a_heartbeat_holds_the_run_and_its_address(heartbeat):
    notice = _read(heartbeat).ok_value
    assert (notice.run_id, notice.address) == ('i-1', '10.1.0.41:8628')
    assert (notice.service, notice.label, notice.slots) == ('huvo11a', 'v1', 18)
    assert notice.phase is TargetPhase.READY
    assert (notice.born_ms, notice.sequence) == (BORN_MS, 4)


@pytest.mark.parametrize(
    'changes',
    [
        {'service': None},
        {'service': 7},
        {'service': ''},
        {'address': 'nowhere'},
        {'address': '10.1.0.41:'},
        {'address': '10.1.0.41:99999'},
        {'slots': '18'},
        {'slots': 0},
        {'state': 'asleep'},
        {'sequence': 'x'},
        {'sequence': 1.5},
        {'born': 'today'},
        {'version': []},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(heartbeat, changes):
    assert isinstance(_read(heartbeat, **changes), Err)


def test_a_body_that_cannot_be_decoded_is_refused(heartbeat):
    body = json.dumps(heartbeat).encode()
    nested = b'{"new":%b' % (b'[' * 100_000)
    for malformed in (b'', b'\xff%b' % body, body[:-1], b'[]', b'{}', nested):
        assert isinstance(read_heartbeat('i-1', malformed), Err)


def test_a_leave_is_valid_however_deep_its_body_is_nested():
    assert read_leave(b'{"new":%b' % (b'[' * 100_000)) == 0


def test_a_late_heartbeat_of_an_earlier_run_is_ignored(heartbeat):
    old = _read(heartbeat, 'i-1').ok_value
    new = _read(heartbeat, 'i-2', born=BORN_MS + 5, sequence=1).ok_value
    presence = receive_notice(Presence(), new, 10.0, 1)
    assert is_outdated(presence, old)
    assert is_outdated(remove_target(presence, has_left=False), old)
    assert not is_outdated(receive_notice(Presence(), old, 10.0, 1), new)


def test_an_instance_may_restart_under_the_same_id(heartbeat):
    old = _read(heartbeat, sequence=90).ok_value
    new = _read(heartbeat, born=BORN_MS + 5, sequence=1).ok_value
    presence = receive_notice(Presence(), old, 10.0, 1)
    assert not is_outdated(presence, new)
    assert is_outdated(receive_notice(presence, new, 11.0, 2), old)


def test_an_outdated_heartbeat_does_not_undo_a_drain(heartbeat):
    draining = _read(heartbeat, state='draining', sequence=9).ok_value
    ready = _read(heartbeat, sequence=8).ok_value
    assert is_outdated(receive_notice(Presence(), draining, 10.0, 1), ready)


def test_heartbeats_of_a_run_that_has_left_are_outdated(heartbeat):
    notice = _read(heartbeat).ok_value
    presence = remove_target(
        receive_notice(Presence(), notice, 10.0, 1), has_left=True
    )
    assert is_outdated(presence, _read(heartbeat, sequence=99).ok_value)
    unresponsive = remove_target(
        receive_notice(Presence(), notice, 10.0, 1), has_left=False
    )
    assert not is_outdated(unresponsive, _read(heartbeat, sequence=99).ok_value)


def test_a_late_leave_does_not_remove_a_later_run(heartbeat):
    notice = _read(heartbeat, born=BORN_MS + 5).ok_value
    presence = receive_notice(Presence(), notice, 10.0, 1)
    assert is_leave_outdated(presence, 'i-9', 0)
    assert is_leave_outdated(presence, 'i-1', BORN_MS)
    assert not is_leave_outdated(presence, 'i-1', BORN_MS + 5)
    assert not is_leave_outdated(presence, 'i-1', read_leave(b'not json'))
