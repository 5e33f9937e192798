"""Tests of large request bodies, which stream through both nodes.

Guards against uploads that are lost where another target has room, that run
for callers who have left, or that count what callers do against a target.
"""

import asyncio

import pytest

from bench.calls_raw import open_post, read_request, read_response_head
from bench.calls_static import compile_sample
from medlarhoist.core.resource import Limits

BODY = bytes(300_000)
PIECE_BYTES = 20_000
REFUSED = (
    b'HTTP/1.1 503 Busy\r\nX-Did-Not-Run: true\r\nContent-Length: 0\r\n\r\n'
)


def _view_of_target(mesh):
    """Return what the entry node knows of the only target."""
    return next(iter(mesh.nodes[0].dump().targets.values()))


def _length(body):
    return (f'Content-Length: {len(body)}',)


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
        reader, writer = await open_post(mesh, ('Transfer-Encoding: chunked',))
        for start in range(0, len(BODY), PIECE_BYTES):
            piece = BODY[start : start + PIECE_BYTES]
            writer.write(b'%x\r\n%b\r\n' % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b'0\r\n\r\n')
        return await read_response_head(reader)

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
        reader, writer = await open_post(mesh, lines)
        refused = await read_response_head(reader)
        writer.close()
        mesh.notify(1, await serve_upload())
        await asyncio.sleep(1.1)  # the node is tried again by then
        reader, writer = await open_post(mesh, lines)
        asked = await read_response_head(reader)
        writer.write(BODY)
        return refused, asked, await read_response_head(reader)

    refused, asked, answered = run_mesh(scenario)
    assert refused[0] == 503
    assert (asked[0], answered[0]) == (100, 200)
    assert received == [BODY]


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
        reader, writer = await open_post(mesh, _length(BODY), path)
        writer.write(BODY[:PIECE_BYTES])
        if ending == 'waits':
            status, _ = await read_response_head(reader)
            assert status == 504
        else:
            await asyncio.sleep(1.2)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        return _view_of_target(mesh).failures, mesh.recorder.counts

    failures, counts = run_mesh(scenario, compiled)
    assert failures == 0
    assert not counts


def test_the_time_limit_of_heads_is_not_that_of_bodies(run_mesh, serve_upload):
    compiled = compile_sample(limits=Limits(head_timeout_ms=200))

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        reader, writer = await open_post(mesh, _length(BODY))
        for start in range(0, len(BODY), len(BODY) // 3):
            writer.write(BODY[start : start + len(BODY) // 3])
            await asyncio.sleep(0.8)
        return (await read_response_head(reader))[0]

    assert run_mesh(scenario, compiled) == 200


def test_the_time_of_sending_is_no_latency_of_the_target(
    run_mesh, start_upload
):
    async def scenario(mesh):
        reader, writer = await start_upload(mesh, BODY, PIECE_BYTES)
        await asyncio.sleep(0.6)
        writer.write(BODY[PIECE_BYTES:])
        await read_response_head(reader)
        return _view_of_target(mesh).latency_us

    assert run_mesh(scenario) < 300_000


def test_a_target_that_refuses_a_body_keeps_its_connection(run_mesh, serve_raw):
    conns = []

    async def refuse(reader, writer):
        conns.append(reader)
        while True:
            await read_request(reader)
            writer.write(REFUSED)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(refuse))
        first = await mesh.post(body=BODY)
        second = await mesh.post(body=BODY)
        return first.status, second.status

    assert run_mesh(scenario) == (503, 503)
    assert len(conns) == 1
