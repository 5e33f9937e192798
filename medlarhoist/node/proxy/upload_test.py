"""Tests of large request bodies, which stream through both nodes.

Guards against uploads that are lost where another target has room, that run
for callers who have left, or that count what callers do against a target.
"""

import asyncio
import time

import pytest

from bench.calls_mesh import format_request_head
from bench.calls_static import compile_sample

BODY = bytes(300_000)
PIECE_BYTES = 20_000
DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
REFUSED = (
    b'HTTP/1.1 503 Busy\r\nX-Did-Not-Run: true\r\nContent-Length: 0\r\n\r\n'
)


async def _read_request(reader):
    """Return the head and the body of a request with a declared length."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length'):
            return head, await reader.readexactly(int(line.split(b':')[1]))
    return head, await _read_chunks(reader)


async def _read_chunks(reader):
    pieces = []
    while size := int(await reader.readline(), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b''.join(pieces)


async def _open(mesh, lines, path='/'):
    """Open a connection of a caller and send the head of an upload."""
    port = mesh.nodes[0].dump().entry_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(format_request_head('POST', path, 'r', lines))
    await writer.drain()
    return reader, writer


async def _read_response(reader):
    """Return the status line and the headers of the next response."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10)
    status = head.split(b' ')[1]
    return int(status), head.lower()


def _view_of_target(mesh):
    """Return what the entry node knows of the only target."""
    return next(iter(mesh.nodes[0].dump().targets.values()))


def _length(body):
    return (f'Content-Length: {len(body)}',)


@pytest.fixture(name='received')
def _received():
    """Return the bodies that targets have received completely."""
    return []


@pytest.fixture(name='serve_upload')
def _serve_upload(serve_raw, received):
    """Return a function that starts a target, which reads whole bodies."""

    async def respond(reader, writer):
        while True:
            _, body = await _read_request(reader)
            received.append(body)
            writer.write(DONE)
            await writer.drain()

    return lambda: serve_raw(respond)


@pytest.mark.parametrize('hops', [1, 2])
def test_an_upload_arrives_complete(run_mesh, serve_upload, received, hops):
    async def scenario(mesh):
        if hops == 2:
            await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        return await mesh.post(body=BODY)

    assert run_mesh(scenario).content == b'done'
    assert received == [BODY]


def test_a_chunked_upload_arrives_complete(run_mesh, serve_upload, received):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await _open(mesh, ('Transfer-Encoding: chunked',))
        for start in range(0, len(BODY), PIECE_BYTES):
            piece = BODY[start : start + PIECE_BYTES]
            writer.write(b'%x\r\n%b\r\n' % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b'0\r\n\r\n')
        return await _read_response(reader)

    status, head = run_mesh(scenario)
    assert status == 200
    assert b'connection: close' not in head
    assert received == [BODY]


def test_a_refused_upload_goes_to_another_target(
    run_mesh, serve_upload, received
):
    """The node of a full target refuses an upload before its body is sent."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(slots=0)
        await mesh.add(port=await serve_upload())
        statuses = []
        for number in range(8):
            result = await mesh.post(request_id=f'r-{number}', body=BODY)
            statuses.append(result.status)
        return statuses

    assert run_mesh(scenario) == [200] * 8
    assert received == [BODY] * 8


def test_a_caller_is_asked_for_its_body_when_there_is_room(
    run_mesh, serve_upload, received
):
    """Callers that expect 100 Continue send a refused body in vain."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        mesh.notify(1, 1)  # nobody listens there
        lines = (*_length(BODY), 'Expect: 100-continue')
        reader, writer = await _open(mesh, lines)
        refused = await _read_response(reader)
        writer.close()
        mesh.notify(1, await serve_upload())
        await asyncio.sleep(1.1)  # the node is tried again by then
        reader, writer = await _open(mesh, lines)
        asked = await _read_response(reader)
        writer.write(BODY)
        return refused, asked, await _read_response(reader)

    refused, asked, answered = run_mesh(scenario)
    assert refused[0] == 503
    assert (asked[0], answered[0]) == (100, 200)
    assert received == [BODY]


def test_an_unfinished_body_is_no_complete_request(
    run_mesh, serve_upload, received
):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        _, writer = await _open(mesh, _length(BODY))
        writer.write(BODY[:PIECE_BYTES])
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        return mesh.nodes[1].dump()

    dump = run_mesh(scenario)
    assert not received
    assert dump.slots_used == 0


@pytest.mark.parametrize('ending', ['leaves', 'waits'])
def test_a_slow_sender_does_not_count_against_the_target(
    run_mesh, serve_upload, ending
):
    """Neither at the deadline nor when the caller leaves."""
    compiled = compile_sample()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        path = '/short' if ending == 'waits' else '/'
        for _ in range(5):
            await mesh.post(body=b'quick')
        mesh.recorder.counts.clear()
        reader, writer = await _open(mesh, _length(BODY), path)
        writer.write(BODY[:PIECE_BYTES])
        if ending == 'waits':
            status, _ = await _read_response(reader)
            assert status == 504
        else:
            await asyncio.sleep(1.2)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        return _view_of_target(mesh).failures, mesh.recorder.counts

    failures, counts = run_mesh(scenario, compiled)
    assert failures == 0
    assert not counts


def test_the_time_of_sending_is_no_latency_of_the_target(
    run_mesh, serve_upload
):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await _open(mesh, _length(BODY))
        writer.write(BODY[:PIECE_BYTES])
        await asyncio.sleep(0.6)
        writer.write(BODY[PIECE_BYTES:])
        await _read_response(reader)
        return _view_of_target(mesh).latency_us

    assert run_mesh(scenario) < 300_000


@pytest.mark.parametrize('sent', [0, PIECE_BYTES, len(BODY) - 1])
def test_a_cut_upload_may_have_run(run_mesh, serve_raw, sent):
    """A target may work on a request before the end of its body."""

    async def read_and_close(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(sent)
        writer.transport.abort()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(read_and_close))
        return await mesh.post(body=BODY)

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (502, 'may-have-run')


def test_a_target_that_refuses_a_body_keeps_its_connection(run_mesh, serve_raw):
    conns = []

    async def refuse(reader, writer):
        conns.append(reader)
        while True:
            await _read_request(reader)
            writer.write(REFUSED)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(refuse))
        first = await mesh.post(body=BODY)
        second = await mesh.post(body=BODY)
        return first.status, second.status

    assert run_mesh(scenario) == (503, 503)
    assert len(conns) == 1


@pytest.mark.parametrize('stopped', [0, 1])
def test_a_planned_stop_waits_for_an_upload(
    run_mesh, serve_upload, received, stopped
):
    """Either node is stopped while the body is being sent."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await _open(mesh, _length(BODY))
        writer.write(BODY[:PIECE_BYTES])
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(mesh.nodes[stopped].stop(0.2, 5))
        await asyncio.sleep(0.6)
        writer.write(BODY[PIECE_BYTES:])
        answered = await _read_response(reader)
        await stop
        return answered[0]

    assert run_mesh(scenario) == 200
    assert received == [BODY]


def test_a_target_may_drain_while_it_receives_an_upload(
    run_mesh, serve_upload, received
):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await _open(mesh, _length(BODY))
        writer.write(BODY[:PIECE_BYTES])
        await asyncio.sleep(0.1)
        mesh.nodes[1].set_local_target(None)
        await asyncio.sleep(0.1)
        writer.write(BODY[PIECE_BYTES:])
        return (await _read_response(reader))[0]

    assert run_mesh(scenario) == 200
    assert received == [BODY]


def test_uploads_are_not_held(run_mesh, serve_raw):
    """A node stops reading from a caller while the target reads nothing."""
    started = time.monotonic()

    async def read_nothing(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(2)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(read_nothing))
        size = 32 * 1024 * 1024
        _, writer = await _open(mesh, (f'Content-Length: {size}',))
        writer.write(bytes(size))
        await asyncio.sleep(0.5)
        left = writer.transport.get_write_buffer_size()
        writer.transport.abort()
        return size - left

    accepted = run_mesh(scenario)
    assert time.monotonic() - started < 10
    # Two hops with kernel buffers of several MiB each.
    assert accepted < 24 * 1024 * 1024
