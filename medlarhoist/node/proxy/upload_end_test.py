"""Tests of uploads that end early, at a stop, or beyond a limit."""

import asyncio
import socket
import struct
import time

import pytest

from bench.calls_raw import open_post, read_request, read_response_head
from bench.calls_static import compile_sample
from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.body import HIGH_WATER_BYTES

BODY = bytes(300_000)
PIECE_BYTES = 20_000
DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'


def _length(body):
    return (f'Content-Length: {len(body)}',)


def test_a_response_before_the_end_of_the_body_is_delivered(
    run_mesh, serve_raw
):
    """The caller sends all of a long body before it reads."""
    heads = []

    async def respond_early(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(DONE)
        await asyncio.sleep(5)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond_early))
        reader, writer = await open_post(mesh, _length(BODY))
        for start in range(0, len(BODY), PIECE_BYTES):
            writer.write(BODY[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(0.1)
        early = await read_response_head(reader)
        content = await reader.readexactly(4)
        return early, content, (await mesh.get('/sights', 'next')).status

    (status, head), content, following = run_mesh(scenario)
    assert (status, content) == (200, b'done')
    assert b'connection: close' in head
    assert following == 200
    # No bytes of the first body where the next request was due.
    assert [head.split(b' ')[0] for head in heads] == [b'POST', b'GET']


def test_an_unfinished_body_is_no_complete_request(
    run_mesh, start_upload, received
):
    async def scenario(mesh):
        _, writer = await start_upload(mesh, BODY, PIECE_BYTES)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        return mesh.nodes[1].dump()

    dump = run_mesh(scenario)
    assert not received
    assert dump.slots_used == 0


@pytest.mark.parametrize(
    ('size', 'is_reset'),
    [(3 * HIGH_WATER_BYTES, False), (40 * HIGH_WATER_BYTES, True)],
)
def test_an_upload_is_not_started_for_a_caller_that_has_left(
    run_mesh, size, is_reset
):
    """More of its body waits than a node buffers, so reading has stopped.

    A close without a reset is not seen behind bytes that do not fit into the
    buffers of the kernel.
    """

    async def scenario(mesh):
        await mesh.add(slots=1, work_ms=800)
        first = asyncio.create_task(mesh.get(request_id='first'))
        await asyncio.sleep(0.1)
        _, writer = await open_post(mesh, (f'Content-Length: {size}',), '/late')
        writer.write(bytes(size))
        await asyncio.sleep(0.2)
        if is_reset:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        await asyncio.sleep(0.3)
        waiting = mesh.nodes[0].dump().waiting
        await first
        await asyncio.sleep(0.2)
        return waiting, mesh.records[0].ran

    waiting, ran = run_mesh(scenario)
    assert waiting == 0
    assert set(ran) == {'first'}


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


def test_a_chunked_body_over_the_limit_is_refused(run_mesh, serve_upload):
    """The caller sends on until it has read the refusal."""
    limits = Limits(body_bytes=4 * PIECE_BYTES)
    compiled = compile_sample(limits=limits)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await open_post(mesh, ('Transfer-Encoding: chunked',))
        for _ in range(16):
            writer.write(b'%x\r\n%b\r\n' % (PIECE_BYTES, bytes(PIECE_BYTES)))
            await writer.drain()
            await asyncio.sleep(0.1)
        refused = await read_response_head(reader)
        return refused, mesh.recorder.counts

    (status, head), counts = run_mesh(scenario, compiled)
    assert status == 413
    assert b'connection: close' in head
    assert not counts


@pytest.mark.parametrize('stopped', [0, 1])
def test_a_planned_stop_waits_for_an_upload(
    run_mesh, start_upload, received, stopped
):
    """Either node is stopped while the body is being sent."""

    async def scenario(mesh):
        reader, writer = await start_upload(mesh, BODY, PIECE_BYTES)
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(mesh.nodes[stopped].stop(0.2, 5))
        await asyncio.sleep(0.6)
        writer.write(BODY[PIECE_BYTES:])
        answered = await read_response_head(reader)
        await stop
        return answered[0]

    assert run_mesh(scenario) == 200
    assert received == [BODY]


def test_a_target_may_drain_while_it_receives_an_upload(
    run_mesh, start_upload, received
):
    async def scenario(mesh):
        reader, writer = await start_upload(mesh, BODY, PIECE_BYTES)
        await asyncio.sleep(0.1)
        mesh.nodes[1].set_local_target(None)
        await asyncio.sleep(0.1)
        writer.write(BODY[PIECE_BYTES:])
        return (await read_response_head(reader))[0]

    assert run_mesh(scenario) == 200
    assert received == [BODY]


def test_a_target_may_pause_while_it_reads_an_upload(run_mesh, serve_raw):
    """Bytes that it has no room for yet are not a sign of a lost target."""
    size = 16 * 1024 * 1024

    async def read_late(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(1.5)
        writer.transport.resume_reading()
        await read_request(reader)
        writer.write(DONE)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(read_late))
        return await mesh.post(body=bytes(size))

    assert run_mesh(scenario).content == b'done'


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
        _, writer = await open_post(mesh, (f'Content-Length: {size}',))
        writer.write(bytes(size))
        await asyncio.sleep(0.5)
        left = writer.transport.get_write_buffer_size()
        writer.transport.abort()
        return size - left

    accepted = run_mesh(scenario)
    assert time.monotonic() - started < 10
    # Two hops with kernel buffers of several MiB each.
    assert accepted < 24 * 1024 * 1024
