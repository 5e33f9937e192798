"""Tests of calls with keys, from the entry node to the target.

They guard against a key or a name of the caller's choice that reaches a
target, and against a call that runs without a known key.
"""

import pytest
from msgspec.structs import replace

from bench.calls_mesh import Mesh, format_request_head
from bench.calls_static import compile_sample
from medlarhoist.core.accounts import digest_key
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES
from medlarhoist.core.resource import Account
from medlarhoist.node.proxy.local import LocalTarget

DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
FULL = b'HTTP/1.1 503 Full\r\nX-Did-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
KEY = 'Authorization: Token k-1'
NAMED = Account(name='studio', key_digests=(digest_key(b'k-1'),), priority=0)


def _compile_with(*accounts):
    snapshot = compile_sample().snapshot
    routes = tuple(
        replace(route, anonymous=route.name == 'short', priority=3)
        for route in snapshot.routes
    )
    return Compiled(replace(snapshot, routes=routes, accounts=accounts), '')


@pytest.fixture(name='heads')
def _heads():
    """Return the heads that the targets have received."""
    return []


@pytest.fixture(name='record')
def _record(serve_raw, heads):
    """Return a function that starts a target, which records heads."""

    async def start(*answers):
        left = list(answers)

        async def respond(reader, writer):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                heads.append(head.lower().split(b'\r\n'))
                writer.write(left.pop(0) if left else DONE)
                await writer.drain()

        return await serve_raw(respond)

    return start


def _seen(head, name):
    return [
        line.partition(b':')[2].strip()
        for line in head
        if line.startswith(name)
    ]


@pytest.mark.parametrize('listed', ['close', 'x-account, authorization'])
@pytest.mark.parametrize('is_remote', [False, True])
def test_a_target_sees_the_name_and_never_the_key(
    run_mesh, record, heads, is_remote, listed
):
    async def scenario(mesh: Mesh):
        if is_remote:
            await mesh.add(registered=False)
        await mesh.add(port=await record())
        lines = (
            'AUTHORIZATION:  token  k-1',
            'X-Account: other',
            'X-Medlarhoist-Account: other',
            f'Connection: {listed}',
        )
        return await mesh.get(lines=lines)

    assert run_mesh(scenario, _compile_with(NAMED)).status == 200
    assert _seen(heads[0], b'x-account') == [b'studio']
    text = b'\n'.join(heads[0])
    assert b'k-1' not in text
    assert b'other' not in text


def test_trailers_bring_no_key_and_no_name(run_mesh, serve_raw):
    received = []

    async def scenario(mesh: Mesh):
        async def respond(reader, writer):
            received.append(await reader.readuntil(b'0\r\n\r\n'))
            writer.write(DONE)

        await mesh.add(port=await serve_raw(respond))
        lines = (KEY, 'Transfer-Encoding: chunked', 'Trailer: X-Account')
        head = format_request_head('POST', '/', 'r', lines)
        body = (
            b'1\r\na\r\n0\r\nAuthorization: Token k-1\r\nX-Account: other\r\n'
        )
        return await mesh.send(b'%b%b\r\n' % (head, body))

    assert run_mesh(scenario, _compile_with(NAMED)).status == 200
    assert b'k-1' not in received[0]
    assert received[0].lower().count(b'x-account') == 1


def test_a_retry_passes_the_name_on(run_mesh, record, heads):
    async def scenario(mesh: Mesh):
        await mesh.add(port=await record(FULL))
        await mesh.add(port=await record(FULL))
        return await mesh.get(path='/sights', lines=(KEY,))

    run_mesh(scenario, _compile_with(NAMED))
    assert [_seen(head, b'x-account') for head in heads] == [[b'studio']] * 2
    assert not any(_seen(head, b'authorization') for head in heads)


@pytest.mark.parametrize(
    ('path', 'lines', 'status'),
    [
        ('/', (), 401),
        ('/', ('Authorization: Token k-2',), 401),
        ('/', (KEY, KEY), 401),
        ('/', ('X-Account: studio',), 401),
        ('/short', (), 200),
        ('/short', ('Authorization: Token k-2', 'X-Account: studio'), 200),
    ],
)
def test_a_call_runs_with_a_known_key_or_on_an_anonymous_route(
    run_mesh, record, heads, path, lines, status
):
    async def scenario(mesh: Mesh):
        await mesh.add(port=await record())
        return await mesh.get(path=path, lines=lines)

    assert run_mesh(scenario, _compile_with(NAMED)).status == status
    assert bool(heads) is (status == 200)
    for head in heads:
        assert not _seen(head, b'x-account') + _seen(head, b'authorization')


def test_accounts_that_have_lost_all_keys_refuse_calls(run_mesh, record, heads):
    async def scenario(mesh: Mesh):
        await mesh.add(port=await record())
        return await mesh.get(lines=(KEY,))

    compiled = _compile_with(Account(name='studio'))
    assert run_mesh(scenario, compiled).status == 401
    assert not heads


def test_without_accounts_requests_are_forwarded_as_they_are(
    run_mesh, record, heads
):
    async def scenario(mesh: Mesh):
        await mesh.add(port=await record())
        return await mesh.get(lines=(KEY, 'X-Account: other'))

    assert run_mesh(scenario).status == 200
    assert _seen(heads[0], b'authorization') == [b'token k-1']
    assert _seen(heads[0], b'x-account') == [b'other']


def test_a_connection_serves_calls_of_several_accounts(run_mesh, record, heads):
    """One account must not be taken from an earlier call."""

    async def scenario(mesh: Mesh):
        await mesh.add(port=await record())
        for key in ('k-1', 'k-9', 'k-2'):
            await mesh.get(lines=(f'Authorization: Token {key}',))

    second = Account(name='other', key_digests=(digest_key(b'k-2'),))
    run_mesh(scenario, _compile_with(second, NAMED))
    seen = [_seen(head, b'x-account') for head in heads]
    assert seen == [[b'studio'], [b'other']]


@pytest.mark.parametrize('is_remote', [False, True])
def test_a_nested_call_needs_no_key_while_its_parent_runs(
    run_mesh, serve_raw, heads, is_remote, use_nesting, admitted
):
    """The target's own call enters at the node beside it."""
    nested = []

    async def scenario(mesh: Mesh):
        async def respond(reader, writer):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                heads.append(head.lower().split(b'\r\n'))
                if not nested:
                    nested.append(0)
                    at = len(mesh.nodes) - 1
                    nested[0] = await mesh.get(request_id='a1.b2', index=at)
                writer.write(DONE)
                await writer.drain()

        if is_remote:
            await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond))
        before = await mesh.get(request_id='a1.b2', index=len(mesh.nodes) - 1)
        result = await mesh.get(request_id='a1', lines=(KEY,))
        return before, result

    before, result = run_mesh(scenario, _compile_with(NAMED))
    assert (before.status, result.status, nested[0].status) == (401, 200, 200)
    assert [_seen(head, b'x-account') for head in heads] == [[b'studio'], []]
    assert admitted == [('studio', 0), ('studio', 0)]


@pytest.mark.parametrize(
    ('path', 'priority', 'expected'),
    [('/', 1, ('studio', 1)), ('/', None, ('studio', 3)), ('/short', 1, None)],
)
def test_the_priority_of_an_account_goes_before_that_of_the_route(
    run_mesh, record, admitted, path, priority, expected
):
    async def scenario(mesh: Mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await record())
        await mesh.get(path=path, lines=(KEY,) if expected else ())

    run_mesh(scenario, _compile_with(replace(NAMED, priority=priority)))
    assert admitted == [expected or ('', 3)]


@pytest.fixture(name='admitted')
def _admitted(monkeypatch):
    """Return account and priority of the calls that targets' nodes get."""
    seen = []
    send = LocalTarget.send

    def send_and_record(local, request, call):
        seen.append((call.account, call.need.priority))
        return send(local, request, call)

    monkeypatch.setattr(LocalTarget, 'send', send_and_record)
    return seen


@pytest.fixture(name='use_nesting')
def _use_nesting(monkeypatch):
    """Make ids show which request made a call."""
    names = replace(
        DEFAULT_HEADER_NAMES, nesting='.', request_id=b'x-request-id'
    )
    monkeypatch.setattr('bench.calls_mesh.HEADER_NAMES', names)
