"""Tests of heartbeats: malformed, of earlier runs, and out of order."""

import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
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

DOMAIN = 'uy-south-a'
MAX_FAULT_CHARACTERS = 300
BORN_MS = 1_700_000_000_000


def _read(heartbeat, run_id='i-1', **changes):
    body = json.dumps({**heartbeat, **changes}).encode()
    return read_heartbeat(run_id, body, DOMAIN)


def test_a_heartbeat_holds_the_run_and_its_address(heartbeat):
    notice = _read(heartbeat).ok_value
    assert (notice.run_id, notice.address) == ('i-1', '10.1.0.41:8628')
    assert (notice.service, notice.label, notice.slots) == ('huvo11a', 'v1', 18)
    assert notice.phase is TargetPhase.READY
    assert (notice.born_ms, notice.sequence) == (BORN_MS, 4)


@pytest.mark.parametrize(
    ('stated', 'cold_ms'), [(0, 0), (2.9, 2900), (3, 3000)]
)
def test_a_heartbeat_says_for_how_long_its_target_is_cold(
    heartbeat, stated, cold_ms
):
    assert _read(heartbeat, cold_remaining_s=stated).ok_value.cold_ms == cold_ms


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
        {'version': 'v1\n'},
        {'service': 'huvo11a\n'},
        {'service': 's' * 5000},
        {'address': '..:8628'},
        {'address': f'{"a" * 80}:8628'},
        {'address': '10.1.0.41\n:8628'},
        {'address': '10.1.0.41:8628\n'},
        {'address': '10.1.0.41:\u00b2'},
        {'address': f'10.1.0.41:{"1" * 5000}'},
        {'address': '10.1.0.41:-1'},
        {'address': '10.1.0.41:0'},
        {'address': 8628},
        {'zone': 7},
        {'zone': 'uy-south-b'},
        {'slots': 10**30},
        {'slots': True},
        {'state': 'x' * 5000},
        {'state': None},
        {'cold_remaining_s': '0'},
        {'cold_remaining_s': -1},
        {'cold_remaining_s': 10**400},
        {'sequence': -1},
        {'sequence': 10**30},
        {'born': -1},
        {'born': 10**30},
        {'born': 1.5},
        {'born': None},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(heartbeat, changes):
    read = _read(heartbeat, **changes)
    assert isinstance(read, Err)
    assert next(iter(changes)).partition('_')[0] in _name_field(read.err_value)
    assert len(read.err_value) < MAX_FAULT_CHARACTERS


def _name_field(fault):
    """Return a fault with the names of the product's fields translated."""
    names = {'$.label': 'version', '$.port': 'address', '$.host': 'address'}
    for ours, theirs in names.items():
        fault = fault.replace(ours, theirs)
    return fault


@pytest.mark.parametrize('name', ['service', 'zone', 'slots', 'sequence'])
def test_a_heartbeat_without_a_field_is_refused(heartbeat, name):
    """Fields that are not used here have to be there as well."""
    heartbeat.pop(name)
    assert name in _read(heartbeat).err_value


@pytest.mark.parametrize('run_id', ['i 1', 'i-1\r\nX: y', 'é', 'i' * 129])
def test_a_run_id_that_fits_in_no_header_is_refused(heartbeat, run_id):
    assert isinstance(_read(heartbeat, run_id), Err)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_ODD_FIELDS = st.dictionaries(
    st.sampled_from(
        (
            'service',
            'address',
            'zone',
            'version',
            'slots',
            'state',
            'cold_remaining_s',
            'sequence',
            'born',
            'other',
        )
    ),
    _JSON,
)


@given(_ODD_FIELDS, st.text(max_size=8))
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_any_json_is_decoded_or_refused(heartbeat, changes, run_id):
    body = json.dumps({**heartbeat, **changes}).encode(errors='replace')
    read = read_heartbeat(run_id, body, DOMAIN)
    if isinstance(read, Err):
        assert len(read.err_value) < MAX_FAULT_CHARACTERS
    read_leave(body)


@given(st.binary())
def test_any_bytes_are_refused(body):
    assert isinstance(read_heartbeat('i-1', body, DOMAIN), Err)
    read_leave(body)


def test_a_body_that_cannot_be_decoded_is_refused(heartbeat):
    body = json.dumps(heartbeat).encode()
    nested = b'{"new":%b' % (b'[' * 100_000)
    for malformed in (b'', b'\xff%b' % body, body[:-1], b'[]', b'{}', nested):
        assert isinstance(read_heartbeat('i-1', malformed, DOMAIN), Err)


@pytest.mark.parametrize(
    'body',
    [
        b'{"new":%b' % (b'[' * 100_000),
        b'not json',
        b'{"born":"\xff"}',
        b'{"born":"today"}',
        b'{"born":1.5}',
        b'{"born":-1}',
        b'{"born":1%b}' % (b'0' * 30),
        b'[]',
    ],
)
def test_a_leave_that_no_instance_sends_is_refused(body):
    """Another writer must not end the work of an instance."""
    assert isinstance(read_leave(body), Err)


def test_a_leave_may_have_no_body():
    assert read_leave(b'').ok_value == 0


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
    assert not is_leave_outdated(presence, 'i-1', read_leave(b'{}').ok_value)
