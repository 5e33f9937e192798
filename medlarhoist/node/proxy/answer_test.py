"""Tests that a caller gets the complete response to its own request.

Otherwise it gets a failure, or a reset connection if a response has begun.
"""

import asyncio
import socket
import struct

import pytest

from bench.calls_mesh import format_request_head
from bench.calls_static import compile_sample

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n'


def _format_request_id(request):
    """Return the attempt id of a request as a header line.

    A target that echoes it shows which request its response belongs to.
    """
    for line in request.split(b'\r\n'):
        if line.startswith(b'x-medlarhoist-request'):
            return line
    return b'x-none: 0'


async def _read_head(reader):
    return await reader.readuntil(b'\r\n\r\n')


@pytest.mark.parametrize('hops', [1, 2])
@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0',
    ],
)
def test_incomplete_response_resets_the_connection(
    run_mesh, serve_raw, response, hops
):
    async def send_and_close(reader, writer):
        await _read_head(reader)
        writer.write(response)
        await writer.drain()

    async def scenario(mesh):
        if hops == 2:
            await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(send_and_close))
        return await mesh.get(), mesh.recorder.counts

    result, counts = run_mesh(scenario)
    assert (result.status, result.content) == (0, b'')
    assert counts == {('v1', 'failed'): 1}


@pytest.mark.parametrize(
    'response',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-L',
        b'garbage\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    ],
)
def test_malformed_response_may_have_run(run_mesh, serve_raw, response):
    async def send_and_close(reader, writer):
        await _read_head(reader)
        writer.write(response)
        await writer.drain()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(send_and_close))
        return await mesh.get()

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (502, 'may-have-run')


def test_response_may_end_with_its_connection(run_mesh, serve_raw):
    """The body without a declared length is passed on in chunks."""

    async def respond_and_close(reader, writer):
        await _read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nuntil ')
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(b'the end')
        await writer.drain()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond_and_close))
        return await mesh.get(), await mesh.get()

    for result in run_mesh(scenario):
        assert (result.status, result.content) == (200, b'until the end')


def test_reset_response_without_length_is_incomplete(
    run_mesh,
    serve_raw,
):
    async def reset(reader, writer):
        await _read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nuntil ')
        await writer.drain()
        await asyncio.sleep(0.01)
        sock = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(reset))
        return await mesh.get()

    result = run_mesh(scenario)
    assert (result.status, result.content) == (0, b'')


def test_late_response_does_not_reach_the_next_caller(run_mesh, serve_raw):
    """The target sends each response again after the call has ended."""

    seen = []

    async def respond_twice(reader, writer):
        while True:
            request = await _read_head(reader)
            seen.append(request)
            raw = b'%b%b\r\n\r\nanswer-%d'
            raw %= (HEAD, _format_request_id(request), len(seen))
            writer.write(raw)
            await asyncio.sleep(0.05)
            writer.write(raw)

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond_twice))
        first = await mesh.get()
        await asyncio.sleep(0.1)
        return first.content, (await mesh.get()).content

    assert run_mesh(scenario) == (b'answer-1', b'answer-2')


def test_mismatched_response_of_a_target_is_not_delivered(run_mesh, serve_raw):
    async def send_other_id(reader, writer):
        await _read_head(reader)
        writer.write(b'%bX-Medlarhoist-Request: other\r\n\r\nanswer-1' % HEAD)
        await writer.drain()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(send_other_id))
        return await mesh.get(), mesh.nodes[1].dump().crossed

    result, mismatched = run_mesh(scenario)
    assert (result.status, result.verdict) == (502, 'may-have-run')
    assert mismatched == 1


def test_mismatched_response_of_a_node_is_not_delivered(run_mesh, serve_raw):
    """Another process listens at the address of the target's node."""

    async def send_other_id(reader, writer):
        await _read_head(reader)
        writer.write(b'%bX-Medlarhoist-Request: other\r\n\r\nanswer-1' % HEAD)
        await writer.drain()

    async def scenario(mesh):
        await mesh.add()
        port = await serve_raw(send_other_id)
        mesh.registry.set_targets(
            tuple(
                type(target)(
                    **{
                        name: getattr(target, name)
                        for name in target.__struct_fields__
                        if name != 'address'
                    },
                    address=f'127.0.0.1:{port}',
                )
                for target in mesh.registry.all_targets
            ),
        )
        return await mesh.get(), mesh.nodes[0].dump().crossed

    result, mismatched = run_mesh(scenario)
    assert (result.status, result.verdict, mismatched) == (
        502,
        'may-have-run',
        1,
    )


def test_connection_is_not_reused_after_a_timeout(run_mesh, serve_raw):
    """Its late response would be taken for that of the next call."""
    seen = []

    async def respond_late(reader, writer):
        seen.append(writer)
        request = await _read_head(reader)
        await asyncio.sleep(0.4 if len(seen) == 1 else 0)
        raw = b'%b%b\r\n\r\nanswer-%d'
        writer.write(raw % (HEAD, _format_request_id(request), len(seen)))
        await writer.drain()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond_late))
        late = await mesh.get('/short')
        return late.status, (await mesh.get()).content

    assert run_mesh(scenario) == (504, b'answer-2')


def test_reserved_headers_of_callers_are_ignored(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        spoofed = 'X-Medlarhoist-Label: v9'
        lines = (spoofed, 'X-Medlarhoist-Token: x', 'Connection: X-Hop, close')
        return await mesh.get(lines=lines)

    assert run_mesh(scenario, compile_sample()).status == 200


def test_peer_listener_refuses_requests_without_a_token(run_mesh):
    async def scenario(mesh):
        node = await mesh.add()
        port = node.dump().peer_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(format_request_head('GET', '/', 'q'))
        head = await _read_head(reader)
        writer.close()
        return head, mesh.records[0].ran

    head, ran = run_mesh(scenario)
    assert head.startswith(b'HTTP/1.1 403')
    assert not ran
