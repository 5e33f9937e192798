"""Tests of complete calls through one and two nodes."""

import asyncio
import socket

import msgspec

from bench.calls_mesh import format_request_head
from medlarhoist.core.target import TargetPhase


def test_a_call_passes_through_one_node(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        return await mesh.get('/seats?day=1', 'q1'), mesh.recorder.counts

    result, counts = run_mesh(scenario)
    body = msgspec.json.decode(result.content)
    assert (result.status, body['id'], body['path']) == (
        200,
        'q1',
        '/seats?day=1',
    )
    assert counts == {('v1', 'succeeded'): 1}
    assert not any(name.startswith('x-medlarhoist') for name in result.headers)


def test_a_call_passes_through_two_nodes(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        result = await mesh.post('/', 'q1', body=b'b' * 300_000)
        return result, mesh.records

    result, records = run_mesh(scenario)
    assert msgspec.json.decode(result.content)['body_bytes'] == 300_000
    assert [record.ran for record in records] == [{}, {'q1': 1}]


def test_a_long_response_is_complete(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        return await mesh.get(lines=('X-Size: 5000000',))

    assert len(run_mesh(scenario).content) == 5_000_000


def test_a_node_without_configuration_refuses_calls(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        mesh.configuration.active = None
        return await mesh.get(), mesh.records[0].ran

    result, ran = run_mesh(scenario)
    assert (result.status, result.verdict, ran) == (503, 'did-not-run', {})


def test_a_draining_target_gets_no_call(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        port = mesh.targets[0].port
        mesh.notify(0, port, TargetPhase.DRAINING)
        return await mesh.get(), mesh.records[0].ran

    result, ran = run_mesh(scenario)
    assert (result.status, result.verdict, ran) == (503, 'did-not-run', {})


def test_a_call_that_one_target_refuses_runs_on_another(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        await mesh.add()
        mesh.targets[0].state.is_refusing = True
        return [await mesh.post(request_id=f'q{n}') for n in range(10)]

    assert {result.status for result in run_mesh(scenario)} == {200}


def test_the_deadline_cancels_the_request_in_the_target(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(work_ms=60_000)
        result = await mesh.get(lines=('X-Deadline-Ms: 100',))
        async with asyncio.timeout(10):
            while mesh.records[1].in_progress:
                await asyncio.sleep(0.01)
        return result, mesh.records[1]

    result, record = run_mesh(scenario)
    assert (result.status, record.late + record.cancelled) == (504, 1)


def test_a_target_receives_the_time_left(run_mesh, serve_raw):
    heads = []

    async def record(reader, writer):
        heads.append((await reader.readuntil(b'\r\n\r\n')).lower())

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(record))
        await mesh.get(lines=('X-Deadline-Ms: 5000',))

    run_mesh(scenario)
    parts = heads[0].split(b'x-deadline-ms: ')
    assert len(parts) == 2
    assert 0 < int(parts[1].split()[0]) < 5000


def test_the_deadline_ends_a_call(run_mesh, serve_raw):
    closed = asyncio.Event()

    async def hang(reader, writer):
        await reader.read()
        closed.set()

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(hang))
        result = await mesh.get('/short')
        await asyncio.wait_for(closed.wait(), 5)
        return result

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (504, 'may-have-run')


def test_a_caller_that_disconnects_cancels_its_call(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(work_ms=60_000)
        port = mesh.nodes[0].dump().entry_port
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(format_request_head('GET', '/', 'q'))
        while not mesh.records[1].in_progress:
            await asyncio.sleep(0.01)
        writer.close()
        while mesh.records[1].in_progress:
            await asyncio.sleep(0.01)
        return mesh.records[1].cancelled

    assert run_mesh(scenario) == 1


def test_pipelined_calls_reuse_one_connection(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        port = mesh.nodes[0].dump().entry_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        ids = [f'q{n}' for n in range(20)]
        raw = b''.join(format_request_head('GET', '/', name) for name in ids)
        writer.write(raw)
        served = []
        for _ in ids:
            head = await reader.readuntil(b'\r\n\r\n')
            size = int(head.lower().split(b'content-length: ')[1].split()[0])
            content = await reader.readexactly(size)
            served.append(msgspec.json.decode(content)['id'])
        writer.close()
        return ids, served, mesh.nodes[0].dump().node_connections

    ids, served, connections = run_mesh(scenario)
    assert served == ids
    assert list(connections.values()) == [1]


def test_a_response_may_exceed_the_limit_of_requests(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        return await mesh.get(lines=('X-Size: 40000000',))

    assert len(run_mesh(scenario).content) == 40_000_000


def test_a_slow_reader_does_not_hold_the_slot_of_a_complete_response(run_mesh):
    """The node buffers the response, and the target serves other calls."""

    async def scenario(mesh):
        node = await mesh.add(slots=1)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(('127.0.0.1', node.dump().entry_port))
        _, writer = await asyncio.open_connection(sock=sock, limit=1)
        while not node._entry.connections:
            await asyncio.sleep(0.01)
        conn = next(iter(node._entry.connections))
        accepted = conn._transport.get_extra_info('socket')
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        lines = ('X-Size: 250000',)
        writer.write(format_request_head('GET', '/', 'slow', lines))
        while not mesh.records[0].finished:
            await asyncio.sleep(0.01)
        lines = ('X-Deadline-Ms: 3000',)
        result = await mesh.get(request_id='next', lines=lines)
        writer.close()
        return result.status

    assert run_mesh(scenario) == 200


def test_a_caller_that_does_not_read_counts_against_no_target(run_mesh):
    async def scenario(mesh):
        await mesh.add()
        port = mesh.nodes[0].dump().entry_port
        _, writer = await asyncio.open_connection('127.0.0.1', port, limit=1)
        lines = ('X-Size: 30000000', 'X-Deadline-Ms: 2000')
        writer.write(format_request_head('GET', '/', 'slow', lines))
        while mesh.nodes[0].dump().entry_connections:
            await asyncio.sleep(0.02)
        writer.close()
        views = mesh.nodes[0].dump().targets
        return mesh.recorder.counts, [view.failures for view in views.values()]

    assert run_mesh(scenario) == ({}, [0])


async def _read_all(mesh, raw):
    port = mesh.nodes[0].dump().entry_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw)
    response = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return response


def test_head_chunked_and_old_requests_pass_two_nodes(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        close = ('Connection: close',)
        chunked = ('Transfer-Encoding: chunked', 'Expect: 100-continue', *close)
        chunks = b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        head = format_request_head('HEAD', '/', 'h', close)
        post = b''.join(
            (format_request_head('POST', '/', 'c', chunked), chunks)
        )
        old = b'GET /old HTTP/1.0\r\n\r\n'
        return [await _read_all(mesh, raw) for raw in (head, post, old)]

    head, post, old = run_mesh(scenario)
    assert head.startswith(b'HTTP/1.1 200')
    assert head.endswith(b'\r\n\r\n')
    # A body that has arrived need not be asked for.
    assert post.startswith(b'HTTP/1.1 200')
    assert b'"body_bytes":5' in post
    assert b'"path":"/old"' in old
