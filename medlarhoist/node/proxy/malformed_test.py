"""Tests that malformed requests are refused and reach no target."""

import asyncio
import errno
import time
from asyncio.selector_events import _SelectorSocketTransport

import pytest
from loguru import logger

from medlarhoist.core.compile import NO_LIMITS
from medlarhoist.core.head_check import HEAD_LIMIT_BYTES, REQUEST_LIMIT_BYTES
from medlarhoist.core.resource import Limits

POST = b'POST / HTTP/1.1\r\nHost: x\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % POST
BIG = REQUEST_LIMIT_BYTES + 1


def _post(rest):
    return b''.join((POST, rest))


async def _talk(mesh, raw):
    """Send bytes and return all that comes until the connection ends."""
    port = mesh.nodes[0].dump().entry_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw)
    answer = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return answer


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
        (_post(b'%b\r\n' % (b'A: a\r\n' * 101)), 431),
        (_post(b'Content-Length: %d\r\n\r\n' % BIG), 413),
    ],
)
def test_a_malformed_head_is_refused(run_mesh, raw, status):
    async def scenario(mesh):
        await mesh.add()
        answer = await _talk(mesh, b'%bGET /evil HTTP/1.1\r\n\r\n' % raw)
        return answer, mesh.records[0].ran, mesh.nodes[0].dump().malformed

    answer, ran, malformed = run_mesh(scenario)
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert answer.count(b'HTTP/1.1 ') == 1
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
def test_a_bad_chunk_never_becomes_a_whole_request(run_mesh, chunks):
    async def scenario(mesh):
        await mesh.add()
        answer = await _talk(mesh, b''.join((CHUNKED, chunks)))
        seen = mesh.nodes[0].dump().targets.values()
        failures = [item.failures for item in seen]
        return answer, mesh.records[0].ran, failures, mesh.recorder.counts

    answer, ran, failures, counts = run_mesh(scenario)
    assert ran == {}
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert answer.count(b'HTTP/1.1 ') == 1
    assert (failures, counts) == ([0], {})


def test_a_chunked_body_above_the_bound_is_refused(run_mesh, monkeypatch):
    limits = Limits(body_bytes=1000)
    monkeypatch.setattr('medlarhoist.core.compile.NO_LIMITS', limits)

    async def scenario(mesh):
        await mesh.add()
        chunk = b'200\r\n%b\r\n' % (b'a' * 0x200)
        answer = await _talk(mesh, b''.join((CHUNKED, chunk * 3)))
        return answer, mesh.records[0].ran

    answer, ran = run_mesh(scenario)
    assert answer.startswith(b'HTTP/1.1 413 ')
    assert ran == {}


def test_a_slow_head_is_ended(run_mesh):
    async def scenario(mesh):
        node = await mesh.add()
        port = node.dump().entry_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHo')
        listener = node._entry
        while not any(conn._reader.has_bytes for conn in listener.connections):
            await asyncio.sleep(0.01)
        writer.write(b's')
        too_late_s = NO_LIMITS.head_timeout_ms / 1000 + 1
        listener.sweep(time.monotonic() + too_late_s)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return answer

    assert run_mesh(scenario).startswith(b'HTTP/1.1 408 ')


def test_an_answer_to_a_caller_that_has_reset_is_no_fault(
    run_mesh,
    monkeypatch,
):
    """The reset arrives between the request and the end of the answer."""
    errors = []
    sink = logger.add(errors.append, level='ERROR')

    def fail(transport):
        raise OSError(errno.ENOTCONN, 'not connected')

    async def scenario(mesh):
        await mesh.add()
        with monkeypatch.context() as patch:
            patch.setattr(_SelectorSocketTransport, 'write_eof', fail)
            await mesh.get(lines=('Connection: close',))
        return (await mesh.get()).status

    assert run_mesh(scenario) == 200
    logger.remove(sink)
    assert not errors
