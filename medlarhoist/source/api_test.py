"""Tests of the resource API over loopback, with a fake ledger."""

import asyncio
import hashlib
from http.client import HTTPConnection

import pytest
from msgspec import json

from medlarhoist.core.api_messages import ApplyRequest
from medlarhoist.core.command import Abandon, Activate, Apply, Status
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown, StorageFailed
from medlarhoist.core.resource import (
    Change,
    Fault,
    Route,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.schema import SchemaFloor
from medlarhoist.core.settings import Operator, Peer, SourceSettings
from medlarhoist.core.state import State
from medlarhoist.source import api_write
from medlarhoist.source.api import create_api
from medlarhoist.source.in_force_test import create_always_in_force
from medlarhoist.source.transition import apply_command
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.loop import create_host

TOKEN = 'marmot'
SHOP = (
    Service(name='seats', current='v1'),
    TargetVersion(name='seats/v1', service='seats', label='v1'),
    Route(name='seats', prefix='/seats', service='seats'),
)


class FakeLedger:
    """Applies at once, then activates or abandons what is staged."""

    def __init__(self):
        self.state = State()
        self.is_leader = True
        self.leader = 's1'
        self.peers = create_settings().sources
        self.ends = 'activate'
        self.loses_answers = 0
        self.commands = []
        self._callbacks = []

    def subscribe(self, callback):
        self._callbacks.append(callback)

    async def read_barrier(self):
        if not self.is_leader:
            raise NotLeader

    async def propose(self, command):
        if not self.is_leader:
            raise NotLeader
        await asyncio.sleep(0)
        outcome = self.commit(command)
        if outcome.status is Status.PENDING:
            asyncio.get_running_loop().call_later(0.005, self._end)
        if self.loses_answers:
            self.loses_answers -= 1
            raise OutcomeUnknown
        return outcome

    def commit(self, command):
        self.commands.append(command)
        state, outcome = apply_command(self.state, command)
        self.state = state
        for callback in self._callbacks:
            callback(command, outcome)
        return outcome

    def _end(self):
        version = self.state.last_version
        if self.ends == 'activate':
            self.commit(Activate(version=version, at_ms=2, absent=('c',)))
        elif self.ends == 'abandon':
            faults = (Fault(source='node n1', message='cannot compile'),)
            self.commit(Abandon(version=version, at_ms=2, faults=faults))


def put_all(*resources, base=None):
    """Return the changes that put some resources."""
    return tuple(
        Change(key=key_of(one), resource=one, base=base) for one in resources
    )


def create_settings():
    """Return the settings of a source that serves on a free port."""
    return SourceSettings(
        name='s1',
        domain='a',
        admin='127.0.0.1:0',
        shared_key='k' * 16,
        sources=(
            Peer(name='s1', control='127.0.0.1:0', api='127.0.0.1:0'),
            Peer(name='s2', control='127.0.0.1:1', api='127.0.0.1:2'),
        ),
        data_folder='',
        operators=(
            Operator(
                name='ranger',
                token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
            ),
        ),
    )


def start_api(host, ledger, **views):
    writing = api_write.create_writing(
        ledger, wall_ms, create_always_in_force()
    )
    return create_api(host, create_settings(), ledger, writing, **views)


def run_with_api(ledger, use, **views):
    """Serve a ledger and run a blocking function with the API's address."""

    async def main():
        host = create_host(asyncio.get_running_loop())
        site = start_api(host, ledger, **views)
        try:
            return await asyncio.to_thread(use, site.address)
        finally:
            await site.stop()

    return asyncio.run(main())


def ask(address, method, path, body=b'', token=TOKEN):
    """Send one request and return status and decoded body."""
    conn = HTTPConnection(address, timeout=10)
    headers = {'Authorization': f'Bearer {token}'}
    conn.request(method, path, body=body, headers=headers)
    response = conn.getresponse()
    content = json.decode(response.read())
    conn.close()
    return response.status, content


def send(address, request_id, changes):
    """Apply some changes and return status and decoded body."""
    request = ApplyRequest(request_id=request_id, changes=changes)
    return ask(address, 'POST', '/v1/apply', json.encode(request))


def write_body(**fields):
    """Return the body of a request that puts a service."""
    resource = {'type': 'service', 'name': 'seats', 'current': 'v1', **fields}
    number = str(resource.pop('slots', 20)).encode()
    key = {'kind': 'service', 'name': 'seats'}
    change = {'key': key, 'resource': {**resource, 'slots': 7}}
    body = json.encode({'request_id': 'request-1', 'changes': [change]})
    return body.replace(b':7', b':%b' % number)


@pytest.fixture
def ledger():
    return FakeLedger()


def test_an_accepted_change_is_read_back(ledger):
    def use(address):
        status, answer = send(address, 'request-1', put_all(*SHOP))
        assert (status, answer['verdict']) == (200, 'ran')
        assert answer['outcome']['status'] == 'accepted'
        assert answer['outcome']['absent'] == ['c']
        return ask(address, 'GET', '/v1/resources/target-version/seats/v1')

    status, found = run_with_api(ledger, use)
    assert status == 200
    assert found['entries'][0]['resource']['label'] == 'v1'


def test_a_resend_gets_the_first_outcome(ledger):
    def use(address):
        first = send(address, 'request-1', put_all(*SHOP))
        send(
            address,
            'request-2',
            put_all(Service(name='seats', current='v1', slots=3)),
        )
        return first, send(address, 'request-1', put_all(*SHOP))

    first, second = run_with_api(ledger, use)
    assert first == second
    applied = [one for one in ledger.commands if isinstance(one, Apply)]
    assert len(applied) == 2


def test_a_lost_outcome_is_told_as_unknown(ledger):
    ledger.loses_answers = 1

    def use(address):
        lost = send(address, 'request-1', put_all(*SHOP))
        return lost, send(address, 'request-1', put_all(*SHOP))

    (lost_status, lost), (status, _) = run_with_api(ledger, use)
    assert (lost_status, lost['verdict']) == (504, 'may-have-run')
    assert status == 200


def test_an_abandoned_version_is_explained(ledger):
    ledger.ends = 'abandon'

    def use(address):
        told = send(address, 'request-1', put_all(*SHOP))
        return told, ask(address, 'GET', '/v1/requests/request-1')

    told, explained = run_with_api(ledger, use)
    assert told[0] == 422
    assert told[1]['verdict'] == 'did-not-run'
    assert told[1]['outcome']['faults'][0]['source'] == 'node n1'
    assert explained == (200, told[1])
    assert not ledger.state.entries


def test_a_stale_base_conflicts(ledger):
    def use(address):
        send(address, 'request-1', put_all(*SHOP))
        return send(address, 'request-2', put_all(SHOP[0], base=7))

    status, answer = run_with_api(ledger, use)
    assert status == 409
    assert answer['verdict'] == 'did-not-run'


def test_a_source_that_does_not_lead_names_the_leader(ledger):
    ledger.is_leader = False
    ledger.leader = 's2'

    def use(address):
        return (
            send(address, 'request-1', put_all(*SHOP)),
            ask(address, 'GET', '/v1/resources'),
            ask(address, 'GET', '/v1/resources?stale=1'),
        )

    wrote, read, stale = run_with_api(ledger, use)
    assert (wrote[0], read[0], stale[0]) == (421, 421, 200)
    assert wrote[1]['leader'] == '127.0.0.1:2'
    assert wrote[1]['verdict'] == 'did-not-run'
    assert not ledger.commands


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('POST', '/v1/apply', b'{', 400),
        ('POST', '/v1/apply', b'\xff\xfe', 400),
        ('POST', '/v1/apply', b'{"request_id":"short","changes":[]}', 400),
        ('POST', '/v1/apply', b'[' * 100_000, 400),
        ('POST', '/v1/apply', write_body(slots=10**30), 400),
        ('POST', '/v1/apply', write_body(slotz=3), 400),
        ('GET', '/v1/apply', b'', 405),
        ('PUT', '/v1/resources', b'', 405),
        ('GET', '/v1/nothing', b'', 404),
        ('GET', '/v1/resources/service/none', b'', 404),
        ('GET', '/v1/moves/none', b'', 404),
        ('GET', '/v1/requests/none', b'', 404),
        ('GET', '/v1/watch?since=-1', b'', 400),
        ('GET', f'/v1/watch?since={"9" * 5000}', b'', 400),
    ],
)
def test_a_bad_request_is_refused(ledger, method, path, body, status):
    def use(address):
        return ask(address, method, path, body)

    answer = run_with_api(ledger, use)
    assert answer[0] == status
    assert answer[1]['verdict'] == 'did-not-run'
    assert not ledger.commands


@pytest.mark.parametrize('token', ['', 'other', '\u00e9'])
def test_another_token_is_refused(ledger, token):
    def use(address):
        return ask(address, 'GET', '/v1/resources', token=token)

    assert run_with_api(ledger, use)[0] == 401


def test_content_that_a_node_cannot_compile_is_refused(ledger):
    def use(address):
        return send(address, 'request-1', put_all(*SHOP))

    floor = SchemaFloor(0, ('n7',))
    status, answer = run_with_api(ledger, use, lowest_schema=lambda: floor)
    assert status == 422
    assert 'n7' in answer['outcome']['faults'][0]['message']
    assert not ledger.commands


def test_the_status_is_what_its_view_tells(ledger):
    def use(address):
        return ask(address, 'GET', '/v1/status')

    view = {'leader': 's1'}
    assert run_with_api(ledger, use, status=lambda: view) == (200, view)


def test_the_leader_is_asked_for_the_status(ledger):
    ledger.is_leader = False
    ledger.leader = 's2'

    def use(address):
        paths = ('/v1/status', '/v1/status?stale=1')
        return [ask(address, 'GET', path)[0] for path in paths]

    assert run_with_api(ledger, use) == [421, 200]


def stop_while(ledger, count, *requests):
    """Stop the API while so many requests wait and return the answers."""

    async def main():
        host = create_host(asyncio.get_running_loop())
        site = start_api(host, ledger)
        waiting = [
            asyncio.ensure_future(
                asyncio.to_thread(request, site.address, *arguments),
            )
            for request, *arguments in requests
        ]
        while len(site._tasks) < count:
            await asyncio.sleep(0.01)
        await site.stop()
        return await asyncio.gather(*waiting)

    return asyncio.run(asyncio.wait_for(main(), timeout=15))


def test_a_stop_answers_the_watches_that_wait(ledger):
    path = '/v1/watch?since=0&wait_ms=30000'
    answers = stop_while(ledger, 1, (ask, 'GET', path))
    assert answers == [(200, {'events': [], 'next': 0})]


def test_a_stop_answers_the_writes_that_wait(ledger, monkeypatch):
    monkeypatch.setattr(api_write, 'STOP_GRACE_SECONDS', 0.2)
    ledger.ends = 'never'
    answers = stop_while(
        ledger,
        2,
        (send, 'request-1', put_all(*SHOP)),
        (send, 'request-2', put_all(*SHOP)),
    )
    verdicts = sorted(answer['verdict'] for _, answer in answers)
    assert verdicts == ['did-not-run', 'may-have-run']


def test_a_resend_of_what_is_staged_is_not_told_that_nothing_ran(
    ledger,
    monkeypatch,
):
    monkeypatch.setattr(api_write, 'APPLY_TIMEOUT_SECONDS', 0.2)
    ledger.ends = 'never'

    def use(address):
        return [send(address, 'request-1', put_all(*SHOP)) for _ in range(2)]

    answers = run_with_api(ledger, use)
    for status, answer in answers:
        assert (status, answer['verdict']) == (202, 'may-have-run')


def test_a_request_whose_turn_never_came_did_not_run(ledger, monkeypatch):
    monkeypatch.setattr(api_write, 'APPLY_TIMEOUT_SECONDS', 0.2)
    ledger.ends = 'never'

    def use(address):
        send(address, 'request-1', put_all(*SHOP))
        return send(address, 'request-2', put_all(SHOP[0]))

    status, answer = run_with_api(ledger, use)
    assert (status, answer['verdict']) == (503, 'did-not-run')
    assert 'request-2' not in ledger.state.requests


def test_a_full_disk_is_told_as_did_not_run(ledger):
    async def refuse(command):
        raise StorageFailed('no space left')

    def use(address):
        wrote = send(address, 'request-1', put_all(*SHOP))
        return wrote, ask(address, 'GET', '/v1/resources')

    ledger.propose = refuse
    wrote, read = run_with_api(ledger, use)
    assert wrote[0] == 507
    assert wrote[1]['verdict'] == 'did-not-run'
    assert read[0] == 200
