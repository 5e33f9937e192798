"""Tests that malformed requests are refused and do not reach a target."""

import asyncio
import errno
import time
from asyncio.selector_events import _SelectorSocketTransport

import pytest
from loguru import logger

from medlarhoist.core.compile import DEFAULT_LIMITS
from medlarhoist.core.head_check import HEAD_LIMIT_BYTES, REQUEST_LIMIT_BYTES
from medlarhoist.core.resource import Limits

POST = b'POST / HTTP/1.1\r\nHost: x\r\n'
CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % POST
TOO_LARGE_BYTES = REQUEST_LIMIT_BYTES + 1


def _post(rest):
    return b''.join((POST, rest))


async def _send_raw(mesh, raw):
    """Send bytes and return all that is received until the connection ends."""
    port = mesh.nodes[0].dump().entry_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw)
    response = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return response


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (_post(b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab'), 400),
        (
            _post(
                b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
            ),
            400,
        ),
        (_post(b'Transfer-Encoding: identity, chunked\r\n\r\n'), 400),
        (_post(b'X: a\r\n b\r\n\r\n'), 400),
        (b'GET /\r\n\r\n', 400),
        (b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n', 400),
        (b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n', 400),
        (b'GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n', 400),
        (_post(b'A: %b\r\n\r\n' % (b'a' * HEAD_LIMIT_BYTES)), 431),
        (b'A' * (HEAD_LIMIT_BYTES + 1), 431),
        (_post(b'%b\r\n' % (b'A:\r\n' * HEAD_LIMIT_BYTES)), 431),
        (_post(b'Content-Length: %d\r\n\r\n' % TOO_LARGE_BYTES), 413),
    ],
)
def test_malformed_head_is_refused(run_mesh, raw, status):
    async def scenario(mesh):
        await mesh.add()
        response = await _send_raw(mesh, b'%bGET /evil HTTP/1.1\r\n\r\n' % raw)
        return response, mesh.records[0].ran, mesh.nodes[0].dump().malformed

    response, ran, malformed = run_mesh(scenario)
    assert response.startswith(b'HTTP/1.1 %d ' % status)
    assert response.count(b'HTTP/1.1 ') == 1
    assert (ran, malformed) == ({}, 1)


@pytest.mark.parametrize(
    'chunks',
    [
        b'zz\r\nab\r\n0\r\n\r\n',
        b'-1\r\nab\r\n0\r\n\r\n',
        b'0x2\r\nab\r\n0\r\n\r\n',
        b'2\nab\n0\n\r\n\r\n',
        b'2\r\nabc\r\n0\r\n\r\n',
        b'2\r\nab0\r\n\r\n',
        b'fffffffffffffffff\r\nab\r\n0\r\n\r\n',
        b' 2\r\nab\r\n0\r\n\r\n',
    ],
)
def test_request_with_a_malformed_chunk_does_not_run(run_mesh, chunks):
    async def scenario(mesh):
        await mesh.add()
        response = await _send_raw(mesh, b''.join((CHUNKED_HEAD, chunks)))
        targets = mesh.nodes[0].dump().targets.values()
        failures = [target.failures for target in targets]
        return response, mesh.records[0].ran, failures, mesh.recorder.counts

    response, ran, failures, counts = run_mesh(scenario)
    assert ran == {}
    assert response.startswith(b'HTTP/1.1 400 ')
    assert response.count(b'HTTP/1.1 ') == 1
    assert (failures, counts) == ([0], {})


@pytest.mark.parametrize('line', [b'a:\r\n', b'h-%d: \xe9:1\r\n'])
def test_head_of_many_lines_reaches_the_target_unchanged(
    run_mesh, serve_raw, line
):
    """The limit of a head counts bytes, whatever the number of lines."""
    heads = []

    async def respond(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await writer.drain()

    count = HEAD_LIMIT_BYTES // 16
    lines = b''.join(line.replace(b'%d', b'%d' % n) for n in range(count))
    path = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond))
        return await _send_raw(mesh, b'%b%b\r\n' % (path, lines))

    assert run_mesh(scenario).startswith(b'HTTP/1.1 200 ')
    sent = [each.strip() for each in heads[0].split(b'\r\n')]
    expected = [each.strip() for each in lines.split(b'\r\n')[:-1]]
    assert [each for each in sent if each in set(expected)] == expected


def test_chunked_body_over_the_limit_is_refused(run_mesh, monkeypatch):
    limits = Limits(body_bytes=1000)
    monkeypatch.setattr('medlarhoist.core.compile.DEFAULT_LIMITS', limits)

    async def scenario(mesh):
        await mesh.add()
        chunk = b'200\r\n%b\r\n' % (b'a' * 0x200)
        response = await _send_raw(mesh, b''.join((CHUNKED_HEAD, chunk * 3)))
        return response, mesh.records[0].ran

    response, ran = run_mesh(scenario)
    assert response.startswith(b'HTTP/1.1 413 ')
    assert ran == {}


def test_slow_head_is_refused_after_its_timeout(run_mesh):
    async def scenario(mesh):
        node = await mesh.add()
        port = node.dump().entry_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHo')
        listener = node._entry
        while not any(conn._reader.has_bytes for conn in listener.connections):
            await asyncio.sleep(0.01)
        writer.write(b's')
        past_timeout_s = DEFAULT_LIMITS.head_timeout_ms / 1000 + 1
        listener.sweep(time.monotonic() + past_timeout_s)
        response = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return response

    assert run_mesh(scenario).startswith(b'HTTP/1.1 408 ')


def test_response_to_a_reset_connection_logs_no_error(
    run_mesh,
    monkeypatch,
):
    """The reset arrives between the request and the end of the response.

    Closing the connection for writing fails then.
    """
    errors = []
    sink = logger.add(errors.append, level='ERROR')

    def raise_not_connected(transport):
        raise OSError(errno.ENOTCONN, 'not connected')

    async def scenario(mesh):
        await mesh.add()
        with monkeypatch.context() as patch:
            patch.setattr(
                _SelectorSocketTransport, 'write_eof', raise_not_connected
            )
            await mesh.get(lines=('Connection: close',))
        return (await mesh.get()).status

    assert run_mesh(scenario) == 200
    logger.remove(sink)
    assert not errors
