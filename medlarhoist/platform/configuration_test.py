"""Tests of configurations as the platform's operators send them.

Each document passes through the functions that a source calls: decoding, the
replicated transition and compilation. The invalid documents are those that
the platform defines as such.
"""

import hashlib
import json

import pytest
from result import Ok

from medlarhoist.core.api_messages import REVISION_LIMIT
from medlarhoist.core.command import Activate, Replace, Status
from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.digest import fingerprint_of
from medlarhoist.core.state import State
from medlarhoist.platform.configuration import read_configuration
from medlarhoist.source.transition import apply_command


def _put(state, body):
    """Return the next state and the status, None for an invalid body."""
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


def _encode(document, **changes):
    return json.dumps({**document, **changes}).encode()


@pytest.fixture(name='state')
def _state(document):
    """Return a state with revision 5 active."""
    body = _encode(document, version=5, base_version=0)
    state, status = _put(State(), body)
    assert status is Status.ACCEPTED
    return state


def test_a_configuration_is_decoded_completely(document):
    request = read_configuration(_encode(document)).ok_value
    assert (request.revision, request.base) == (7, 5)
    routes = {
        resource.name: resource
        for resource in request.resources
        if hasattr(resource, 'host')
    }
    route = routes['r-1']
    assert route.host == 'jepu9.example'
    assert [(part.service, part.weight) for part in route.split] == [
        ('huvo11a', 90),
        ('kafi81c', 10),
    ]
    assert (route.timeout_ms, route.objective_ms) == (1200, 500)
    assert (route.idempotent, route.attempts, route.priority) == (True, 2, 2)
    assert not routes['r-2'].idempotent
    limits = request.resources[-1]
    assert (limits.head_timeout_ms, limits.idle_timeout_ms) == (3000, 15_000)


def test_a_service_names_the_rate_of_its_cold_targets(document):
    request = read_configuration(_encode(document)).ok_value
    assert [each.cold_rate for each in request.resources[:2]] == [4.65, 0]


def test_a_whole_rate_has_the_digest_of_an_equal_fraction(document):
    services = [
        {'name': 'huvo11a', 'max_connections': 9, 'cold_per_s': number}
        for number in (5, 5.0)
    ]
    whole, fraction = (
        read_configuration(_encode(document, services=[service])).ok_value
        for service in services
    )
    assert fingerprint_of(whole.resources[0]) == fingerprint_of(
        fraction.resources[0]
    )


@pytest.mark.parametrize(
    ('kind', 'is_idempotent'),
    [
        ('idempotent', True),
        ('download', True),
        ('non_idempotent', False),
        ('upload', False),
    ],
)
def test_the_type_of_a_route_states_whether_requests_may_run_twice(
    document, kind, is_idempotent
):
    document['virtual_hosts'][0]['paths'][0]['route_type'] = kind
    request = read_configuration(_encode(document)).ok_value
    flags = {
        route.name: route.idempotent
        for route in request.resources
        if hasattr(route, 'idempotent')
    }
    assert flags['r-1'] is is_idempotent


def test_the_document_is_stored_byte_by_byte(document, state):
    body = b' %b\n' % _encode(document, unknown={'kept': [1.5]})
    state, status = _put(state, body)
    assert status is Status.ACCEPTED
    assert state.revision.document == body


def test_the_active_configuration_routes_as_in_the_document(document, state):
    compiled, _ = compile_snapshot(state.active)
    assert compiled.match('/xapu221/ny95/2f', 'Jepu9.example:80').name == 'r-2'
    assert compiled.match('/xapu221/ny95', 'jepu9.example') is None
    assert compiled.match('/xapu221/ny95/2f', 'other.example') is None
    assert compiled.limits.body_bytes == 67_108_864


def _unknown_service(document):
    document['virtual_hosts'][0]['paths'][1]['service'] = 'nobody'


def _zero_weights(document):
    for part in document['virtual_hosts'][0]['paths'][0]['traffic_split']:
        part['weight'] = 0


def _unknown_split_service(document):
    parts = document['virtual_hosts'][0]['paths'][0]['traffic_split']
    parts[1]['service'] = 'nobody'


def _zero_attempts(document):
    document['virtual_hosts'][0]['paths'][0]['max_attempts'] = 0


def _empty_host(document):
    document['virtual_hosts'][0]['host'] = ''


def _unknown_type(document):
    document['virtual_hosts'][0]['paths'][0]['route_type'] = 'sometimes'


def _zero_timeout(document):
    document['virtual_hosts'][0]['paths'][0]['timeout_s'] = 0


def _missing_timeout(document):
    document['virtual_hosts'][0]['paths'][0].pop('timeout_s')


def _same_prefix(document):
    first, second = document['virtual_hosts'][0]['paths']
    second['path_prefix'] = first['path_prefix']


def _old_version(document):
    document['version'] = 4


def _same_version(document):
    document['version'] = 5


def _missing_services(document):
    document.pop('services')


def _wrong_type(document):
    document['version'] = '7'


@pytest.mark.parametrize(
    'invalidate',
    [
        _unknown_service,
        _unknown_split_service,
        _zero_weights,
        _zero_attempts,
        _empty_host,
        _unknown_type,
        _zero_timeout,
        _missing_timeout,
        _same_prefix,
        _old_version,
        _same_version,
        _missing_services,
        _wrong_type,
    ],
)
def test_an_invalid_configuration_changes_nothing(document, state, invalidate):
    invalidate(document)
    after, status = _put(state, _encode(document))
    assert status in {None, Status.REFUSED}
    assert after == state


def test_a_body_that_is_nested_too_deeply_changes_nothing(state):
    """Status 500 would have it sent to one source after the other."""
    after, status = _put(state, b'{"new":%b' % (b'[' * 100_000))
    assert status is None
    assert after is state


def _list_numbers(record):
    """Yield each object and key of a document that hold a number."""
    inner = record.items() if isinstance(record, dict) else enumerate(record)
    for key, content in inner:
        if isinstance(content, dict | list):
            yield from _list_numbers(content)
        elif isinstance(content, int | float):
            yield record, key


@pytest.mark.parametrize('number', [2**64, 10**30, -(10**30), 1e308])
def test_a_number_that_cannot_be_stored_is_refused(document, number):
    """Status 500 would have it sent to one source after the other."""
    places = list(_list_numbers(document))
    assert places
    for record, key in places:
        before = record[key]
        record[key] = number
        assert read_configuration(_encode(document)).is_err(), key
        record[key] = before
    assert read_configuration(_encode(document)).is_ok()


def test_a_version_may_have_as_many_digits_as_before(document):
    """The bound of other numbers is lower than that of versions."""
    document.update(version=REVISION_LIMIT, base_version=REVISION_LIMIT - 1)
    assert read_configuration(_encode(document)).is_ok()


def test_a_truncated_body_changes_nothing(document, state):
    body = _encode(document)
    for size in range(0, len(body), 37):
        after, status = _put(state, body[:size])
        assert status is None
        assert after is state


def test_a_body_that_is_not_utf_8_changes_nothing(document, state):
    body = _encode(document).replace(b'jepu9', b'j\xff\xfeu9')
    assert _put(state, body) == (state, None)


def test_the_second_document_on_the_same_base_is_a_conflict(document, state):
    state, first = _put(state, _encode(document))
    after, second = _put(state, _encode(document, version=8))
    assert (first, second) == (Status.ACCEPTED, Status.CONFLICT)
    assert after.revision == state.revision
    _, changed = _put(state, _encode(document, services=[]))
    assert changed in {Status.CONFLICT, None}


def test_a_resent_document_is_accepted_again(document, state):
    body = _encode(document)
    state, _ = _put(state, body)
    after, status = _put(state, body)
    assert status is Status.ACCEPTED
    assert after.active == state.active
    later, _ = _put(state, _encode(document, version=9, base_version=7))
    assert _put(later, body)[1] is Status.ACCEPTED
    assert later.revision.number == 9


def test_a_document_on_a_future_base_is_accepted_after_the_base(
    document, state
):
    late = _encode(document, version=9, base_version=7)
    state, status = _put(state, late)
    assert status is Status.CONFLICT
    state, _ = _put(state, _encode(document))
    assert _put(state, late)[1] is Status.ACCEPTED


_TENANTS = [
    {
        'name': 'pulo780',
        'api_keys': ['th5mgjy5rcpihhacrudd', 'edev3nax7u27gxprymh2'],
        'priority': 1,
        'rate_per_s': 181,
        'burst': 20,
    },
    {'name': 'hesi12', 'api_keys': []},
]


def test_accounts_hold_digests_of_keys_and_limits(document):
    paths = document['virtual_hosts'][0]['paths']
    paths[0]['public'] = True
    request = read_configuration(_encode(document, tenants=_TENANTS)).ok_value
    large, small = request.resources[-2:]
    assert (large.name, large.priority) == ('pulo780', 1)
    assert (large.rate, large.burst) == (181, 20)
    assert large.key_digests == tuple(
        hashlib.sha256(key.encode()).hexdigest()
        for key in _TENANTS[0]['api_keys']
    )
    assert (small.priority, small.rate, small.key_digests) == (None, 0, ())
    anonymous = {
        resource.name: resource.anonymous
        for resource in request.resources
        if hasattr(resource, 'anonymous')
    }
    assert anonymous == {'r-1': True, 'r-2': False}


def test_keys_are_added_and_withdrawn_by_versions(state, document):
    held = 5
    for version, keys in ((7, ['a', 'b']), (9, ['b']), (12, ['b', 'c'])):
        tenants = [{'name': 't', 'api_keys': keys}]
        body = _encode(
            document,
            version=version,
            base_version=held,
            tenants=tenants,
        )
        state, status = _put(state, body)
        assert status is Status.ACCEPTED
        held = version
        compiled, faults = compile_snapshot(state.active)
        assert not faults
        assert set(compiled.accounts) == {
            hashlib.sha256(key.encode()).hexdigest() for key in keys
        }
    body = _encode(document, version=20, base_version=12)
    state, status = _put(state, body)
    assert status is Status.ACCEPTED
    assert not state.active.accounts


@pytest.mark.parametrize(
    'tenants',
    [
        [{'name': 'a', 'api_keys': ['k']}, {'name': 'b', 'api_keys': ['k']}],
        [{'name': 'a', 'api_keys': ['k']}, {'name': 'a', 'api_keys': ['l']}],
        [{'name': '', 'api_keys': ['k']}],
        [{'name': 'a', 'api_keys': ['k'], 'rate_per_s': -1}],
        [{'name': 'a', 'api_keys': 'k'}],
        [{'api_keys': ['k']}],
    ],
)
def test_invalid_accounts_change_nothing(state, document, tenants):
    body = _encode(document, version=9, base_version=5, tenants=tenants)
    after, status = _put(state, body)
    assert status in {None, Status.REFUSED}
    assert after.active == state.active


def test_an_error_names_no_key(document):
    tenants = [
        {'name': 'a', 'api_keys': ['secret-1']},
        {'name': 'b', 'api_keys': ['secret-1', 7]},
    ]
    read = read_configuration(_encode(document, tenants=tenants))
    assert 'secret' not in read.err_value
