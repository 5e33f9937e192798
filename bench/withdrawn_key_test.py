"""Tests of withdrawn keys with real processes.

They guard against a node that runs the call of a withdrawn key: because it
wakes with an old lease and calls in its sockets, or because it lost all sources.
"""

import signal
import socket
import time

import pytest

from bench.conftest import READY_SECONDS, await_version, read_record
from bench.fleet import wait_until
from bench.operator import base_resources, create_operator, find_leader, put
from medlarhoist.core.accounts import digest_key
from medlarhoist.core.command import Status
from medlarhoist.core.resource import Account

REVOCATION_MS = 5000
REVOCATION_S = REVOCATION_MS / 1000
CALLS = 20
WAIT_S = 10


def _account(*keys):
    return Account(
        name='studio', key_digests=tuple(digest_key(key) for key in keys)
    )


@pytest.fixture(name='mesh')
def _mesh(sources):
    """Provide two nodes, one target and an account with two keys."""
    sources.node_options['revocation_ms'] = REVOCATION_MS
    for name in ('a1', 'a2'):
        sources.plan_node(name, 'a')
        sources.start_node(name)
    sources.start_target('a1', 'bookings', 'v1')
    await_version(sources, 0)
    outcome = put(
        create_operator(sources),
        'with-accounts',
        *base_resources('v1'),
        _account(b'k-1', b'k-2'),
    )
    await_version(sources, outcome.version)
    assert wait_until(lambda: _call(sources, 'k-1') == 200, READY_SECONDS)
    return sources


def _open(mesh, key, request_id):
    """Send a call with a key to a2 and return the connection."""
    host, _, port = mesh.nodes['a2'].entry.rpartition(':')
    conn = socket.create_connection((host, int(port)), WAIT_S)
    head = (
        'GET /seats HTTP/1.1\r\nHost: x\r\n'
        f'X-Request-Id: {request_id}\r\nAuthorization: Token {key}\r\n\r\n'
    )
    conn.sendall(head.encode())
    return conn


def _read_status(conn):
    with conn:
        return int(conn.recv(64).split(b' ')[1])


def _call(mesh, key, request_id='r'):
    return _read_status(_open(mesh, key, request_id))


def _withdraw(mesh):
    outcome = put(create_operator(mesh), 'withdrawal', _account(b'k-2'))
    assert outcome.status is Status.ACCEPTED


def test_a_node_that_wakes_runs_no_call_of_a_withdrawn_key(mesh):
    """The calls wait in its sockets, and so do old contacts."""
    mesh.signal('a2', signal.SIGSTOP)
    _withdraw(mesh)
    time.sleep(REVOCATION_S)
    connections = [
        _open(mesh, 'k-1', f'late-{number}') for number in range(CALLS)
    ]
    mesh.signal('a2', signal.SIGCONT)
    statuses = {_read_status(conn) for conn in connections}
    assert statuses <= {401, 503}
    assert wait_until(lambda: _call(mesh, 'k-2') == 200, READY_SECONDS)
    assert _call(mesh, 'k-1', 'late') == 401
    ran = read_record(mesh, 'a1-bookings-v1')['ran']
    assert 'r' in ran
    assert not any(name.startswith('late') for name in ran)


def test_calls_with_keys_stop_without_sources_and_return_with_them(mesh):
    for name in mesh.sources:
        mesh.kill(name)
    time.sleep(REVOCATION_S)
    assert _call(mesh, 'k-1') == 503
    assert _call(mesh, 'k-9') == 503
    for name in mesh.sources:
        mesh.start_source(name)
    assert wait_until(lambda: bool(find_leader(mesh)), READY_SECONDS)
    assert wait_until(lambda: _call(mesh, 'k-1') == 200, READY_SECONDS)
    text = mesh.log_text('a2')
    assert 'keys are not confirmed' in text
    assert 'k-9' not in text


def test_a_leader_that_ends_stops_no_call_with_a_key(mesh):
    statuses = set()
    mesh.kill(find_leader(mesh))
    until = time.monotonic() + REVOCATION_S * 2
    while time.monotonic() < until:
        statuses.add(_call(mesh, 'k-1'))
        time.sleep(0.05)
    assert statuses == {200}
