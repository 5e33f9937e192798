"""Tests of connections that end while several requests are in progress.

They guard against requests that run on for callers that have left, and against
responses that are lost because another one of the connection breaks off.
"""

import asyncio
import re
import socket

import pytest

from bench.calls_mesh import format_request_head
from bench.calls_raw import (
    open_caller,
    read_response,
    read_response_head,
    read_responses,
)
from bench.calls_static import compile_sample
from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.ahead import IN_PROGRESS_LIMIT, KEPT_BYTES

SLOW_S = 0.3
BIG = 4_000_000
IDLE_S = 80


def _get(name, *lines):
    return format_request_head('GET', f'/sights?{name}', name, lines)


def _slow(name, *lines):
    return _get(name, f'X-Work-Ms: {SLOW_S * 1000:.0f}', *lines)


LAST = _get('last', 'Connection: close')


def _statuses(responses):
    return [status for status, _, _ in responses]


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('hops', [1, 2])
def test_all_requests_end_when_their_caller_leaves(run_mesh, hops):
    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        await mesh.add()
        record = mesh.records[-1]
        _, writer = await open_caller(mesh)
        writer.write(b''.join(_get(name, 'X-Work-Ms: 5000') for name in 'abc'))
        await _until(lambda: record.in_progress == 3)
        writer.close()
        await _until(lambda: not record.in_progress)
        return record.cancelled, mesh.nodes[0]._entry.read_ahead.current

    assert run_mesh(scenario) == (3, 0)


def test_a_stop_answers_all_requests_in_progress(run_mesh):
    """Only the response to the last of them closes the connection."""

    async def scenario(mesh):
        await mesh.add()
        reader, writer = await open_caller(mesh)
        writer.write(b''.join(map(_slow, 'abc')))
        await _until(lambda: mesh.records[0].in_progress == 3)
        stop = asyncio.create_task(mesh.nodes[0].stop(0.1, 2))
        await asyncio.sleep(0.05)
        writer.write(_get('unread'))
        responses = await read_responses(reader)
        await stop
        return responses, sum(mesh.records[0].ran.values())

    responses, ran = run_mesh(scenario)
    assert _statuses(responses) == [200] * 3
    closing = [b'connection: close' in head for _, head, _ in responses]
    assert closing == [False, False, True]
    assert ran == 3


def test_a_connection_is_idle_after_its_last_response(run_mesh):
    limits = Limits(idle_timeout_ms=200)

    async def scenario(mesh):
        await mesh.add()
        reader, writer = await open_caller(mesh)
        writer.write(_slow('a') + _get('b'))
        entry = mesh.nodes[0]._entry
        loop = asyncio.get_running_loop()
        for _ in range(30):
            await asyncio.sleep(0.02)
            entry.sweep(loop.time())
        responses = await read_responses(reader)
        writer.close()
        return responses

    responses = run_mesh(scenario, compile_sample(limits=limits))
    assert _statuses(responses) == [200, 200]


def test_a_caller_that_does_not_read_is_not_read_either(run_mesh):
    """Its responses would fill the memory of the node."""

    async def scenario(mesh):
        await mesh.add()
        _, writer = await open_caller(mesh)
        writer.write(_get('a', f'X-Size: {BIG}') * 50)
        await asyncio.sleep(1)
        entry = mesh.nodes[0]._entry
        kept = [conn._ahead.kept_bytes for conn in entry.connections]
        writer.transport.abort()
        return sum(mesh.records[0].ran.values()), kept

    ran, kept = run_mesh(scenario)
    assert ran <= 2 * IN_PROGRESS_LIMIT
    assert kept[0] < 2 * KEPT_BYTES + 1000


def test_refusals_to_a_caller_that_does_not_read_are_bounded(run_mesh):
    """They are written without a wait. The idle timeout ends it."""

    async def scenario(mesh):
        await mesh.add()
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        port = mesh.nodes[0].dump().entry_port
        await loop.sock_connect(sock, ('127.0.0.1', port))
        refused = _get('a', 'X-Deadline-Ms: 0') * 40_000
        sending = loop.create_task(loop.sock_sendall(sock, refused))
        entry = mesh.nodes[0]._entry
        await _until(lambda: any(c.is_write_blocked for c in entry.connections))
        await asyncio.sleep(0.5)
        unsent = [
            conn._transport.get_write_buffer_size()
            for conn in entry.connections
        ]
        entry.sweep(loop.time() + IDLE_S)
        await _until(lambda: not entry.connections)
        sending.cancel()
        sock.close()
        return unsent

    unsent = run_mesh(scenario)
    assert max(unsent) < 4 * KEPT_BYTES


@pytest.fixture(name='serve_broken')
def _serve_broken(serve_raw):
    """Return a function that starts a target whose responses may break off.

    It answers by the names of requests: `broken` ones end in the middle.
    """

    async def respond(reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            name = re.match(rb'GET /sights\?(\w+)', head)[1]
            await asyncio.sleep(SLOW_S if b'late' in name else 0)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n')
            writer.write(name.ljust(10))
            await writer.drain()
            if b'broken' in name:
                await asyncio.sleep(0.05)
                return
            writer.write(b'.' * 10)

    return lambda: serve_raw(respond)


BROKEN = {
    'first': ('broken', 'late', 'last'),
    'kept': ('late', 'broken', 'last'),
    'late and first': ('latebroken', 'quick', 'last'),
}


@pytest.mark.parametrize('names', BROKEN.values(), ids=BROKEN)
def test_a_response_that_breaks_off_ends_no_other(
    run_mesh,
    serve_broken,
    names,
):
    async def scenario(mesh):
        await mesh.add(port=await serve_broken())
        reader, writer = await open_caller(mesh)
        lines = (
            ('Connection: close',) if name == 'last' else () for name in names
        )
        requests = (
            _get(name, *extra) for name, extra in zip(names, lines, strict=True)
        )
        writer.write(b''.join(requests))
        responses = await read_responses(reader)
        writer.close()
        return responses

    responses = run_mesh(scenario)
    for name, (status, head, body) in zip(names, responses, strict=True):
        is_broken = 'broken' in name
        assert status == (502 if is_broken else 200)
        assert (b'may-have-run' in head) is is_broken
        assert is_broken or body.startswith(name.encode())


def test_a_response_that_breaks_off_in_the_middle_resets(
    run_mesh,
    serve_broken,
):
    """A part of it was sent before another request came."""

    async def scenario(mesh):
        await mesh.add(port=await serve_broken())
        reader, writer = await open_caller(mesh)
        writer.write(_get('broken'))
        status, _ = await read_response_head(reader)
        writer.write(_get('late'))
        return status, await read_responses(reader)

    assert run_mesh(scenario) == (200, [])


def test_a_body_is_asked_for_after_the_responses_before_it(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        reader, writer = await open_caller(mesh)
        lines = ('Expect: 100-continue', 'Content-Length: 3')
        writer.write(_slow('a') + _get('b', *lines))
        first = await read_response(reader)
        interim, _ = await read_response_head(reader)
        writer.write(b'abc')
        second = await read_response(reader)
        writer.close()
        return first[0], interim, second[0]

    assert run_mesh(scenario) == (200, 100, 200)


def test_other_nodes_are_not_read_ahead(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        return mesh.nodes[0]._peer.reads_ahead, mesh.nodes[0]._entry.reads_ahead

    assert run_mesh(scenario) == (False, True)
