"""Tests of the responses to the platform's operators."""

import asyncio
import json

import pytest

from medlarhoist.core.command import Apply, Status
from medlarhoist.core.interfaces import OutcomeUnknown
from medlarhoist.core.resource import Change, Service, TargetVersion, key_of
from medlarhoist.platform.operators import OperatorApi
from medlarhoist.platform.settings import Deployment
from medlarhoist.source.api_test import FakeLedger, create_settings
from medlarhoist.source.api_write import create_write_access
from medlarhoist.source.in_force_test import create_always_in_force
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.web import WebRequest

PUT = '/medlarhoist/config/put'
GET = '/medlarhoist/config/get'
START = '/medlarhoist/rollouts/start'
START_DRAIN = '/medlarhoist/evacuations/uy-south-a/start'
END_DRAIN = '/medlarhoist/evacuations/uy-south-a/end'


class App:
    """The parts of a source that the listener uses."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.write_access = create_write_access(
            ledger, wall_ms, create_always_in_force()
        )


@pytest.fixture(name='ledger')
def _ledger():
    return FakeLedger()


@pytest.fixture(name='send')
def _send(ledger):
    """Return a function that sends requests in turn and returns responses."""

    def send(*requests):
        async def main():
            operators = OperatorApi(App(ledger), _create_deployment())
            return [
                await operators.respond(_create_request(*request))
                for request in requests
            ]

        return asyncio.run(main())

    return send


def _create_deployment():
    return Deployment(
        process=create_settings(),
        control='10.0.0.9:8620',
        readiness='',
    )


def _create_request(method, path, body=b''):
    return WebRequest(
        method=method,
        path=path,
        query={},
        headers={},
        body=body,
        peer='10.0.0.1',
    )


def _encode_first(document):
    return json.dumps({**document, 'base_version': 0}).encode()


def test_a_configuration_is_returned_unchanged(send, document):
    body = _encode_first(document)
    put, resent, got = send(
        ('POST', PUT, body), ('POST', PUT, body), ('GET', GET)
    )
    assert (put.status, resent.status, got.status) == (200, 200, 200)
    assert got.body == body


def test_each_refusal_has_its_status(send, document):
    responses = send(
        ('GET', GET),
        ('POST', PUT, _encode_first(document)),
        ('POST', PUT, json.dumps(document).encode()),
        ('POST', PUT, _encode_first(document)[:-9]),
        ('GET', '/medlarhoist/rollouts/huvo11a/get'),
        ('GET', '/elsewhere'),
    )
    assert [response.status for response in responses] == [
        503,
        200,
        412,
        400,
        404,
        404,
    ]


def test_orders_to_empty_a_zone_are_accepted_however_often(
    send, ledger, document
):
    responses = send(
        ('POST', END_DRAIN),
        ('POST', START_DRAIN),
        ('POST', START_DRAIN),
        ('POST', PUT, _encode_first(document)),
    )
    assert {response.status for response in responses} == {200}
    drains = ledger.state.active.domain_drains
    assert [drain.name for drain in drains] == ['uy-south-a']
    ended = send(('POST', END_DRAIN), ('POST', END_DRAIN))
    assert {response.status for response in ended} == {200}
    assert not ledger.state.active.domain_drains


def test_an_order_to_empty_a_zone_that_is_undecided_may_be_sent_again(
    send, ledger
):
    ledger.on_staged = 'abandon'
    assert send(('POST', START_DRAIN))[0].status == 503
    ledger.is_leader = False
    ledger.leader = 's2'
    redirect = send(('POST', START_DRAIN))[0]
    assert redirect.status == 307
    assert redirect.headers['Location'].endswith(START_DRAIN)


def test_a_follower_redirects_to_the_leader(send, ledger, document):
    ledger.is_leader = False
    ledger.leader = 's2'
    for response in send(('POST', PUT, _encode_first(document)), ('GET', GET)):
        assert response.status == 307
        path = response.headers['Location'].partition('8620')[2]
        assert path in {PUT, GET}


def test_without_a_leader_the_status_is_503(send, ledger):
    ledger.is_leader = False
    ledger.leader = ''
    assert send(('GET', GET))[0].status == 503


def test_an_unknown_outcome_is_not_a_refusal(
    send, ledger, document, monkeypatch
):
    async def fail(command):
        raise OutcomeUnknown

    monkeypatch.setattr(ledger, 'propose', fail)
    assert send(('POST', PUT, _encode_first(document)))[0].status == 503


def _put_service(ledger):
    """Apply a service that has a current version."""
    resources = (
        TargetVersion(name='huvo11a/v1', service='huvo11a', label='v1'),
        Service(name='huvo11a', current='v1'),
    )
    command = Apply(
        request_id='settled',
        operator='o',
        changes=tuple(
            Change(key=key_of(resource), resource=resource)
            for resource in resources
        ),
        at_ms=1,
    )

    async def main():
        await ledger.propose(command)
        await asyncio.sleep(0.05)

    asyncio.run(main())
    assert ledger.state.requests['settled'].status is Status.ACCEPTED


def test_a_move_request_names_only_the_new_version(send, ledger):
    _put_service(ledger)
    body = {'service': 'huvo11a', 'target_version': 'v2', 'duration_s': 12}
    start = ('POST', START, json.dumps(body).encode())
    get = ('GET', '/medlarhoist/rollouts/huvo11a/get')
    first, resent, state = send(start, start, get)
    assert (first.status, resent.status) == (200, 200)
    assert json.loads(state.body) == {
        'state': 'running',
        'target_version': 'v2',
    }
    assert ledger.state.moves['huvo11a-v2'].old == 'v1'


def test_a_move_without_a_current_version_gets_status_503(send, document):
    body = {'service': 'huvo11a', 'target_version': 'v2', 'duration_s': 12}
    responses = send(
        ('POST', PUT, _encode_first(document)),
        ('POST', START, json.dumps(body).encode()),
        ('POST', START, b'{}'),
    )
    assert [response.status for response in responses] == [200, 503, 400]
