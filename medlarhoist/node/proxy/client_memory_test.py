"""Tests that what clients make a node hold is counted, bounded and given back.

Guards against clients outside the limits that take the memory of a node from
ordinary ones, and against accounts that never return to zero.
"""

import asyncio

import pytest

from bench.calls_raw import open_post
from medlarhoist.core.client_memory import CONNECTION_BYTES, REQUEST_BYTES
from medlarhoist.node.proxy.body import Body, IncompleteBody

KILOBYTE = 1024
UNFINISHED = ('Content-Length: 65536',)
LARGE = b'b' * 60 * KILOBYTE
HEAD = b'GET / HTTP/1.1\r\nHost: x\r\n'
LONG_LINE = b'A: %b\r\n' % (b'a' * 12_000)


@pytest.fixture(name='open_crowd')
def _open_crowd():
    """Return a function that connects many clients which stop short.

    Each sends some bytes, and all stay connected until the test closes them.
    """

    async def start(mesh, raw, count):
        port = mesh.nodes[0].dump().entry_port
        streams = []
        for _ in range(count):
            streams.append(await asyncio.open_connection('127.0.0.1', port))
            streams[-1][1].write(raw)
        return streams

    return start


async def _wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def _close(streams):
    for _, writer in streams:
        writer.transport.abort()


def _format_unfinished_post(body):
    return b'POST / HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n%b' % (
        UNFINISHED[0].encode(),
        body,
    )


@pytest.mark.parametrize(
    ('raw', 'held'),
    [
        (_format_unfinished_post(LARGE), 60 * KILOBYTE),
        (b'%b%b' % (HEAD, LONG_LINE), 12_000),
        (b'%b%b\r\n' % (HEAD, LONG_LINE), 48_000),
        (b'%b%b\r\n' % (HEAD, b'a:\r\n' * 3000), 48_000),
        (b'%b\r\n%b%b' % (HEAD, HEAD, LONG_LINE), 12_000),
    ],
    ids=['body', 'part of a head', 'head', 'many lines', 'head sent ahead'],
)
def test_what_a_client_holds_is_counted_and_given_back(
    run_mesh, open_crowd, serve_raw, raw, held
):
    async def keep(reader, writer):
        await asyncio.sleep(60)

    async def scenario(mesh):
        node = await mesh.add(port=await serve_raw(keep))
        budget = node._memory.budget
        crowd = await open_crowd(mesh, raw, 10)
        await _wait_until(lambda: budget.used >= 10 * held)
        assert budget.used <= 10 * (
            1.2 * held + CONNECTION_BYTES + REQUEST_BYTES
        )
        _close(crowd)
        await _wait_until(lambda: budget.used == 0)
        return node.dump()

    dump = run_mesh(scenario)
    assert (dump.client_memory_refused, dump.client_memory_paused) == (0, 0)


def test_an_answer_that_waits_for_its_reader_is_counted(run_mesh, open_crowd):
    raw = b'%bX-Size: 20000000\r\n\r\n' % HEAD

    async def scenario(mesh):
        node = await mesh.add()
        budget = node._memory.budget
        crowd = await open_crowd(mesh, raw, 1)
        await _wait_until(lambda: budget.used > 64 * KILOBYTE)
        _close(crowd)
        await _wait_until(lambda: budget.used == 0)

    run_mesh(scenario)


def test_a_crowd_over_the_budget_is_closed_and_ordinary_calls_are_served(
    run_mesh, open_crowd
):
    async def scenario(mesh):
        node = await mesh.add()
        budget = node._memory.budget
        budget.limit = 1024 * KILOBYTE
        crowd = await open_crowd(mesh, _format_unfinished_post(LARGE), 40)
        await _wait_until(lambda: node.dump().client_memory_refused)
        ordinary = [await mesh.get() for _ in range(3)]
        assert budget.used <= budget.limit
        assert 0 < node.dump().client_memory_refused < 40
        _close(crowd)
        await _wait_until(lambda: budget.used == 0)
        return ordinary, mesh.records[0].ran

    ordinary, ran = run_mesh(scenario)
    assert [result.status for result in ordinary] == [200, 200, 200]
    assert sum(ran.values()) == 3


@pytest.mark.parametrize('lines', [b'', b'Connection: close\r\n'])
def test_a_client_that_reads_no_answer_is_closed_over_the_budget(
    run_mesh, open_crowd, lines
):
    """Also while the node only waits until it has read the answer."""
    raw = b'%b%bX-Size: 6000000\r\n\r\n' % (HEAD, lines)

    async def scenario(mesh):
        node = await mesh.add()
        budget = node._memory.budget
        crowd = await open_crowd(mesh, raw, 1)
        crowd[0][1].transport.pause_reading()
        await _wait_until(lambda: budget.used > 32 * KILOBYTE)
        budget.limit = 32 * KILOBYTE
        await _wait_until(lambda: node.dump().client_memory_refused)
        await _wait_until(lambda: budget.used == 0)
        return (await mesh.get()).status

    assert run_mesh(scenario) == 200


def test_a_dropped_body_fails_even_if_it_was_whole():
    """A part of it must not be sent to a target as the whole."""
    body = Body(lambda is_on: None)
    body.feed(b'b' * 100)
    body.end()
    body.drop()
    assert not body.is_whole
    with pytest.raises(IncompleteBody):
        body.pop_buffered()


def test_an_incomplete_head_is_refused_as_it_has_not_run(run_mesh, open_crowd):
    raw = b'%b%b' % (HEAD, LONG_LINE)

    async def scenario(mesh):
        node = await mesh.add()
        node._memory.budget.limit = 10_000
        streams = await open_crowd(mesh, raw, 1)
        reader, _ = streams[0]
        return await asyncio.wait_for(reader.read(), 10), mesh.records[0].ran

    response, ran = run_mesh(scenario)
    assert response.startswith(b'HTTP/1.1 503 ')
    assert not ran


def test_a_client_over_a_share_waits_and_is_served(run_mesh, open_crowd):
    """It is read on once others hold less."""

    async def scenario(mesh):
        node = await mesh.add()
        budget = node._memory.budget
        budget.limit = 3072 * KILOBYTE
        crowd = await open_crowd(mesh, _format_unfinished_post(LARGE), 30)
        await _wait_until(lambda: budget.used > 0.5 * budget.limit)
        reader, writer = await open_post(mesh, UNFINISHED)
        writer.write(LARGE)
        await _wait_until(lambda: node.dump().client_memory_paused)
        writer.write(b'b' * 4 * KILOBYTE)
        await asyncio.sleep(0.1)
        _close(crowd)
        status = await asyncio.wait_for(reader.readline(), 10)
        writer.close()
        return status, node.dump().client_memory_refused

    status, refused = run_mesh(scenario)
    assert status.startswith(b'HTTP/1.1 200 ')
    assert refused == 0
