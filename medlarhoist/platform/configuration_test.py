"""Tests of configurations as the platform's operators send them.

Documents that the platform calls invalid are put through the same functions
as in a source: decoding, the replicated transition and the compilation.
"""

import json

import pytest
from result import Ok

from medlarhoist.core.command import Activate, Replace, Status
from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.state import State
from medlarhoist.platform.configuration import read_configuration
from medlarhoist.source.transition import apply_command


def _put(state, body):
    """Return the state after a body was put, and its status, None for bad."""
    read = read_configuration(body)
    if not isinstance(read, Ok):
        return state, None
    request = read.ok_value
    command = Replace(
        request_id=request.request_id,
        operator='platform',
        revision=request.revision,
        base=request.base,
        resources=request.resources,
        document=request.document.encode(),
        at_ms=1,
    )
    state, outcome = apply_command(state, command)
    if outcome.status is Status.PENDING:
        active = Activate(version=state.last_version, at_ms=2)
        state, outcome = apply_command(state, active)
    return state, outcome.status


def _encode(told, **changes):
    return json.dumps({**told, **changes}).encode()


@pytest.fixture(name='state')
def _state(told):
    """Return the state with revision 5 in force."""
    body = _encode(told, version=5, base_version=0)
    state, status = _put(State(), body)
    assert status is Status.ACCEPTED
    return state


def test_a_configuration_is_read_whole(told):
    request = read_configuration(_encode(told)).ok_value
    assert (request.revision, request.base) == (7, 5)
    routes = {
        one.name: one for one in request.resources if hasattr(one, 'host')
    }
    split = routes['r-1']
    assert split.host == 'jepu9.example'
    assert [(part.service, part.weight) for part in split.split] == [
        ('huvo11a', 90),
        ('kafi81c', 10),
    ]
    assert (split.timeout_ms, split.objective_ms) == (1200, 500)
    assert (split.idempotent, split.attempts, split.priority) == (True, 2, 2)
    assert not routes['r-2'].idempotent
    limits = request.resources[-1]
    assert (limits.head_timeout_ms, limits.idle_timeout_ms) == (3000, 15_000)


def test_the_document_is_kept_byte_by_byte(told, state):
    body = b' %b\n' % _encode(told, unknown={'kept': [1.5]})
    state, status = _put(state, body)
    assert status is Status.ACCEPTED
    assert state.revision.document == body


def test_what_is_in_force_routes_as_told(told, state):
    compiled, _ = compile_snapshot(state.active)
    assert compiled.match('/xapu221/ny95/2f', 'Jepu9.example:80').name == 'r-2'
    assert compiled.match('/xapu221/ny95', 'jepu9.example') is None
    assert compiled.match('/xapu221/ny95/2f', 'other.example') is None
    assert compiled.limits.body_bytes == 67_108_864


def _unknown_service(told):
    told['virtual_hosts'][0]['paths'][1]['service'] = 'nobody'


def _no_weight(told):
    for part in told['virtual_hosts'][0]['paths'][0]['traffic_split']:
        part['weight'] = 0


def _unknown_part(told):
    parts = told['virtual_hosts'][0]['paths'][0]['traffic_split']
    parts[1]['service'] = 'nobody'


def _no_attempt(told):
    told['virtual_hosts'][0]['paths'][0]['max_attempts'] = 0


def _no_host(told):
    told['virtual_hosts'][0]['host'] = ''


def _unknown_type(told):
    told['virtual_hosts'][0]['paths'][0]['route_type'] = 'sometimes'


def _no_timeout(told):
    told['virtual_hosts'][0]['paths'][0]['timeout_s'] = 0


def _missing_timeout(told):
    told['virtual_hosts'][0]['paths'][0].pop('timeout_s')


def _same_place(told):
    first, second = told['virtual_hosts'][0]['paths']
    second['path_prefix'] = first['path_prefix']


def _old_version(told):
    told['version'] = 4


def _same_version(told):
    told['version'] = 5


def _no_services(told):
    told.pop('services')


def _wrong_type(told):
    told['version'] = '7'


@pytest.mark.parametrize(
    'spoil',
    [
        _unknown_service,
        _unknown_part,
        _no_weight,
        _no_attempt,
        _no_host,
        _unknown_type,
        _no_timeout,
        _missing_timeout,
        _same_place,
        _old_version,
        _same_version,
        _no_services,
        _wrong_type,
    ],
)
def test_an_invalid_configuration_changes_nothing(told, state, spoil):
    spoil(told)
    after, status = _put(state, _encode(told))
    assert status in {None, Status.REFUSED}
    assert after == state


def test_a_body_that_was_cut_changes_nothing(told, state):
    body = _encode(told)
    for size in range(0, len(body), 37):
        after, status = _put(state, body[:size])
        assert status is None
        assert after is state


def test_bytes_that_are_no_text_change_nothing(told, state):
    body = _encode(told).replace(b'jepu9', b'j\xff\xfeu9')
    assert _put(state, body) == (state, None)


def test_of_two_on_the_same_base_the_first_wins(told, state):
    state, first = _put(state, _encode(told))
    after, second = _put(state, _encode(told, version=8))
    assert (first, second) == (Status.ACCEPTED, Status.CONFLICT)
    assert after.revision == state.revision
    _, renamed = _put(state, _encode(told, services=[]))
    assert renamed in {Status.CONFLICT, None}


def test_what_was_accepted_is_accepted_again(told, state):
    body = _encode(told)
    state, _ = _put(state, body)
    after, status = _put(state, body)
    assert status is Status.ACCEPTED
    assert after.active == state.active
    later, _ = _put(state, _encode(told, version=9, base_version=7))
    assert _put(later, body)[1] is Status.ACCEPTED
    assert later.revision.number == 9


def test_a_base_that_is_yet_to_come_is_a_conflict_that_passes(told, state):
    late = _encode(told, version=9, base_version=7)
    state, status = _put(state, late)
    assert status is Status.CONFLICT
    state, _ = _put(state, _encode(told))
    assert _put(state, late)[1] is Status.ACCEPTED
