"""Tests of the HTTP resource API on loopback, over a ledger in memory."""

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
from medlarhoist.core.schema import SupportedSchema
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
    """Applies commands at once, then activates or abandons the staged version.

    on_staged is activate, abandon or never. A command whose reply is to be
    lost is applied, but its outcome is unknown to the caller.
    """

    def __init__(self):
        self.state = State()
        self.is_leader = True
        self.leader = 's1'
        self.peers = create_settings().sources
        self.on_staged = 'activate'
        self.replies_to_lose = 0
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
            asyncio.get_running_loop().call_later(0.005, self._end_staged)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise OutcomeUnknown
        return outcome

    def commit(self, command):
        self.commands.append(command)
        state, outcome = apply_command(self.state, command)
        self.state = state
        for callback in self._callbacks:
            callback(command, outcome)
        return outcome

    def _end_staged(self):
        version = self.state.last_version
        if self.on_staged == 'activate':
            self.commit(Activate(version=version, at_ms=2, absent=('c',)))
        elif self.on_staged == 'abandon':
            faults = (Fault(source='node n1', message='cannot compile'),)
            self.commit(Abandon(version=version, at_ms=2, faults=faults))


def put_all(*resources, base=None):
    """Return the changes that put the resources."""
    return tuple(
        Change(key=key_of(item), resource=item, base=base) for item in resources
    )


def create_settings():
    """Return the settings of a source that listens on a free port."""
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
    access = api_write.create_write_access(
        ledger, wall_ms, create_always_in_force()
    )
    return create_api(host, create_settings(), ledger, access, **views)


def run_with_api(ledger, use, **views):
    """Serve a ledger and call a blocking function with the API's address."""

    async def main():
        host = create_host(asyncio.get_running_loop())
        site = start_api(host, ledger, **views)
        try:
            return await asyncio.to_thread(use, site.address)
        finally:
            await site.stop()

    return asyncio.run(main())


def call(address, method, path, body=b'', token=TOKEN):
    """Send a request and return status and decoded body."""
    conn = HTTPConnection(address, timeout=10)
    headers = {'Authorization': f'Bearer {token}'}
    conn.request(method, path, body=body, headers=headers)
    response = conn.getresponse()
    content = json.decode(response.read())
    conn.close()
    return response.status, content


def apply(address, request_id, changes):
    """Send changes to /v1/apply and return status and decoded body."""
    request = ApplyRequest(request_id=request_id, changes=changes)
    return call(address, 'POST', '/v1/apply', json.encode(request))


def encode_body(**fields):
    """Return a request body that puts a service; slots may exceed 64 bits."""
    resource = {'type': 'service', 'name': 'seats', 'current': 'v1', **fields}
    number = str(resource.pop('slots', 20)).encode()
    key = {'kind': 'service', 'name': 'seats'}
    change = {'key': key, 'resource': {**resource, 'slots': 7}}
    body = json.encode({'request_id': 'request-1', 'changes': [change]})
    return body.replace(b':7', b':%b' % number)


@pytest.fixture
def ledger():
    return FakeLedger()


def test_an_accepted_change_can_be_read(ledger):
    def use(address):
        status, response = apply(address, 'request-1', put_all(*SHOP))
        assert (status, response['verdict']) == (200, 'ran')
        assert response['outcome']['status'] == 'accepted'
        assert response['outcome']['absent'] == ['c']
        return call(address, 'GET', '/v1/resources/target-version/seats/v1')

    status, found = run_with_api(ledger, use)
    assert status == 200
    assert found['entries'][0]['resource']['label'] == 'v1'


def test_a_resend_gets_the_first_outcome(ledger):
    def use(address):
        first = apply(address, 'request-1', put_all(*SHOP))
        apply(
            address,
            'request-2',
            put_all(Service(name='seats', current='v1', slots=3)),
        )
        return first, apply(address, 'request-1', put_all(*SHOP))

    first, second = run_with_api(ledger, use)
    assert first == second
    applied = [item for item in ledger.commands if isinstance(item, Apply)]
    assert len(applied) == 2


def test_a_lost_outcome_is_returned_as_unknown(ledger):
    ledger.replies_to_lose = 1

    def use(address):
        lost = apply(address, 'request-1', put_all(*SHOP))
        return lost, apply(address, 'request-1', put_all(*SHOP))

    (lost_status, lost), (status, _) = run_with_api(ledger, use)
    assert (lost_status, lost['verdict']) == (504, 'may-have-run')
    assert status == 200


def test_an_abandoned_version_has_its_faults_in_the_outcome(ledger):
    ledger.on_staged = 'abandon'

    def use(address):
        first = apply(address, 'request-1', put_all(*SHOP))
        return first, call(address, 'GET', '/v1/requests/request-1')

    first, recorded = run_with_api(ledger, use)
    assert first[0] == 422
    assert first[1]['verdict'] == 'did-not-run'
    assert first[1]['outcome']['faults'][0]['source'] == 'node n1'
    assert recorded == (200, first[1])
    assert not ledger.state.entries


def test_a_stale_base_conflicts(ledger):
    def use(address):
        apply(address, 'request-1', put_all(*SHOP))
        return apply(address, 'request-2', put_all(SHOP[0], base=7))

    status, response = run_with_api(ledger, use)
    assert status == 409
    assert response['verdict'] == 'did-not-run'


def test_a_follower_returns_the_address_of_the_leader(ledger):
    ledger.is_leader = False
    ledger.leader = 's2'

    def use(address):
        return (
            apply(address, 'request-1', put_all(*SHOP)),
            call(address, 'GET', '/v1/resources'),
            call(address, 'GET', '/v1/resources?stale=1'),
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
        ('POST', '/v1/apply', encode_body(slots=10**30), 400),
        ('POST', '/v1/apply', encode_body(slotz=3), 400),
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
        return call(address, method, path, body)

    response = run_with_api(ledger, use)
    assert response[0] == status
    assert response[1]['verdict'] == 'did-not-run'
    assert not ledger.commands


@pytest.mark.parametrize('token', ['', 'other', '\u00e9'])
def test_an_invalid_token_is_refused(ledger, token):
    def use(address):
        return call(address, 'GET', '/v1/resources', token=token)

    assert run_with_api(ledger, use)[0] == 401


def test_content_that_a_node_cannot_compile_is_refused(ledger):
    def use(address):
        return apply(address, 'request-1', put_all(*SHOP))

    oldest = SupportedSchema(0, ('n7',))
    status, response = run_with_api(ledger, use, oldest_schema=lambda: oldest)
    assert status == 422
    assert 'n7' in response['outcome']['faults'][0]['message']
    assert not ledger.commands


def test_the_status_comes_from_the_given_function(ledger):
    def use(address):
        return call(address, 'GET', '/v1/status')

    view = {'leader': 's1'}
    assert run_with_api(ledger, use, status=lambda: view) == (200, view)


def test_a_follower_redirects_a_status_request_unless_stale(ledger):
    ledger.is_leader = False
    ledger.leader = 's2'

    def use(address):
        paths = ('/v1/status', '/v1/status?stale=1')
        return [call(address, 'GET', path)[0] for path in paths]

    assert run_with_api(ledger, use) == [421, 200]


def stop_with_waiting(ledger, count, *requests):
    """Stop the API while `count` requests wait, and return the responses."""

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


def test_a_stop_ends_waiting_watches(ledger):
    path = '/v1/watch?since=0&wait_ms=30000'
    responses = stop_with_waiting(ledger, 1, (call, 'GET', path))
    assert responses == [(200, {'events': [], 'next': 0})]


def test_a_stop_ends_waiting_writes(ledger, monkeypatch):
    monkeypatch.setattr(api_write, 'STOP_GRACE_SECONDS', 0.2)
    ledger.on_staged = 'never'
    responses = stop_with_waiting(
        ledger,
        2,
        (apply, 'request-1', put_all(*SHOP)),
        (apply, 'request-2', put_all(*SHOP)),
    )
    verdicts = sorted(response['verdict'] for _, response in responses)
    assert verdicts == ['did-not-run', 'may-have-run']


def test_a_resend_of_a_staged_request_may_have_run(ledger, monkeypatch):
    monkeypatch.setattr(api_write, 'APPLY_TIMEOUT_SECONDS', 0.2)
    ledger.on_staged = 'never'

    def use(address):
        return [apply(address, 'request-1', put_all(*SHOP)) for _ in range(2)]

    responses = run_with_api(ledger, use)
    for status, response in responses:
        assert (status, response['verdict']) == (202, 'may-have-run')


def test_a_request_that_stays_queued_did_not_run(ledger, monkeypatch):
    monkeypatch.setattr(api_write, 'APPLY_TIMEOUT_SECONDS', 0.2)
    ledger.on_staged = 'never'

    def use(address):
        apply(address, 'request-1', put_all(*SHOP))
        return apply(address, 'request-2', put_all(SHOP[0]))

    status, response = run_with_api(ledger, use)
    assert (status, response['verdict']) == (503, 'did-not-run')
    assert 'request-2' not in ledger.state.requests


def test_a_write_to_a_full_disk_did_not_run(ledger):
    async def fail(command):
        raise StorageFailed('no space left')

    def use(address):
        wrote = apply(address, 'request-1', put_all(*SHOP))
        return wrote, call(address, 'GET', '/v1/resources')

    ledger.propose = fail
    wrote, read = run_with_api(ledger, use)
    assert wrote[0] == 507
    assert wrote[1]['verdict'] == 'did-not-run'
    assert read[0] == 200
