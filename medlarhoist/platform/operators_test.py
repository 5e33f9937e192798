"""Tests of what the platform's operators are answered."""

import asyncio
import json

import pytest

from medlarhoist.core.command import Apply, Status
from medlarhoist.core.interfaces import OutcomeUnknown
from medlarhoist.core.resource import Change, Service, TargetVersion, key_of
from medlarhoist.platform.operators import OperatorApi
from medlarhoist.platform.settings import Deployment
from medlarhoist.source.api_test import FakeLedger, create_settings
from medlarhoist.source.api_write import create_writing
from medlarhoist.source.in_force_test import create_always_in_force
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.web import WebRequest

PUT = '/medlarhoist/config/put'
GET = '/medlarhoist/config/get'
START = '/medlarhoist/rollouts/start'


class App:
    """What the listener asks of a source."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.writing = create_writing(ledger, wall_ms, create_always_in_force())


@pytest.fixture(name='ledger')
def _ledger():
    return FakeLedger()


@pytest.fixture(name='ask')
def _ask(ledger):
    """Send requests one after another and return the answers."""

    def ask(*requests):
        async def main():
            operators = OperatorApi(App(ledger), _deploy())
            return [
                await operators.respond(_request(*request))
                for request in requests
            ]

        return asyncio.run(main())

    return ask


def _deploy():
    return Deployment(
        process=create_settings(),
        control='10.0.0.9:8620',
        readiness='',
    )


def _request(method, path, body=b''):
    return WebRequest(
        method=method,
        path=path,
        query={},
        headers={},
        body=body,
        peer='10.0.0.1',
    )


def _first(told):
    return json.dumps({**told, 'base_version': 0}).encode()


def test_what_was_put_is_read_back_unchanged(ask, told):
    body = _first(told)
    put, again, read = ask(
        ('POST', PUT, body), ('POST', PUT, body), ('GET', GET)
    )
    assert (put.status, again.status, read.status) == (200, 200, 200)
    assert read.body == body


def test_each_refusal_has_its_status(ask, told):
    answers = ask(
        ('GET', GET),
        ('POST', PUT, _first(told)),
        ('POST', PUT, json.dumps(told).encode()),
        ('POST', PUT, _first(told)[:-9]),
        ('GET', '/medlarhoist/rollouts/huvo11a/get'),
        ('GET', '/elsewhere'),
    )
    assert [answer.status for answer in answers] == [
        503,
        200,
        412,
        400,
        404,
        404,
    ]


def test_another_leader_is_named(ask, ledger, told):
    ledger.is_leader = False
    ledger.leader = 's2'
    for answer in ask(('POST', PUT, _first(told)), ('GET', GET)):
        assert answer.status == 307
        path = answer.headers['Location'].partition('8620')[2]
        assert path in {PUT, GET}


def test_without_a_leader_nothing_is_read(ask, ledger):
    ledger.is_leader = False
    ledger.leader = ''
    assert ask(('GET', GET))[0].status == 503


def test_an_answer_that_is_lost_is_no_refusal(ask, ledger, told, monkeypatch):
    async def lose(command):
        raise OutcomeUnknown

    monkeypatch.setattr(ledger, 'propose', lose)
    assert ask(('POST', PUT, _first(told)))[0].status == 503


def _settle(ledger):
    """Put a service whose current version is known."""
    resources = (
        TargetVersion(name='huvo11a/v1', service='huvo11a', label='v1'),
        Service(name='huvo11a', current='v1'),
    )
    command = Apply(
        request_id='settled',
        operator='o',
        changes=tuple(
            Change(key=key_of(one), resource=one) for one in resources
        ),
        at_ms=1,
    )

    async def main():
        await ledger.propose(command)
        await asyncio.sleep(0.05)

    asyncio.run(main())
    assert ledger.state.requests['settled'].status is Status.ACCEPTED


def test_a_move_names_the_new_version_only(ask, ledger):
    _settle(ledger)
    order = {'service': 'huvo11a', 'target_version': 'v2', 'duration_s': 12}
    start = ('POST', START, json.dumps(order).encode())
    get = ('GET', '/medlarhoist/rollouts/huvo11a/get')
    first, again, state = ask(start, start, get)
    assert (first.status, again.status) == (200, 200)
    assert json.loads(state.body) == {
        'state': 'running',
        'target_version': 'v2',
    }
    assert ledger.state.moves['huvo11a-v2'].old == 'v1'


def test_a_move_waits_for_the_current_version(ask, told):
    order = {'service': 'huvo11a', 'target_version': 'v2', 'duration_s': 12}
    answers = ask(
        ('POST', PUT, _first(told)),
        ('POST', START, json.dumps(order).encode()),
        ('POST', START, b'{}'),
    )
    assert [answer.status for answer in answers] == [200, 503, 400]
