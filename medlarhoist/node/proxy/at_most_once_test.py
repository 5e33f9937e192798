"""Tests that a request that must not be repeated runs at most once."""

import asyncio

import pytest

from bench.calls_static import compile_sample
from medlarhoist.core.snapshot import Share

WHOLE = b'\r\n\r\nb'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class CutTarget:
    """Cuts the connection after so many bytes, of the request or answer."""

    def __init__(self, request_bytes, answer_bytes):
        self.request_bytes = request_bytes
        self.answer_bytes = answer_bytes
        self.reached = 0

    async def serve(self, reader, writer):
        received = b''
        while len(received) < self.request_bytes:
            piece = await reader.read(self.request_bytes - len(received))
            if not piece:
                return
            received += piece
            if received.endswith(WHOLE):
                break
        self.reached += bool(received)
        writer.write(ANSWER[: self.answer_bytes])
        await writer.drain()
        writer.transport.abort()


async def _cut_everywhere(mesh, serve_raw, cuts, path):
    target = CutTarget(0, 0)
    await mesh.add(known=False)
    for _ in range(3):
        await mesh.add(port=await serve_raw(target.serve))
    endings = []
    for request_bytes, answer_bytes in cuts:
        target.request_bytes = request_bytes
        target.answer_bytes = answer_bytes
        target.reached = 0
        result = await mesh.post(path)
        endings.append((target.reached, result.status, result.verdict))
    return endings


@pytest.mark.parametrize('start', range(1, 9))
def test_one_target_is_reached_wherever_it_cuts(run_mesh, serve_raw, start):
    cuts = [(size, 0) for size in range(start, 190, 8)]
    cuts += [(start, size) for size in range(start, len(ANSWER), 8)]

    async def scenario(mesh):
        return await _cut_everywhere(mesh, serve_raw, cuts, '/')

    for reached, status, verdict in run_mesh(scenario):
        assert reached == 1
        assert (status, verdict) in {(502, 'may-have-run'), (0, '')}


def test_an_idempotent_request_is_sent_again(run_mesh, serve_raw):
    async def scenario(mesh):
        cuts = [(1, 0)]
        return await _cut_everywhere(mesh, serve_raw, cuts, '/sights')

    assert run_mesh(scenario) == [(3, 502, 'may-have-run')]


def test_what_was_never_connected_did_not_run(run_mesh):
    async def scenario(mesh):
        await mesh.add(known=False)
        await mesh.add()
        mesh.targets[1].close()
        return await mesh.post()

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (503, 'did-not-run')


def test_a_request_is_tried_at_another_node_where_one_is_gone(run_mesh):
    async def scenario(mesh):
        await mesh.add(known=False)
        gone = await mesh.add()
        await mesh.add()
        await gone.stop(linger_s=0)
        found = [await mesh.post(request_id=f'q{n}') for n in range(20)]
        return [result.status for result in found], mesh.records[2].ran

    statuses, ran = run_mesh(scenario)
    assert statuses == [200] * 20
    assert ran == {f'q{n}': 1 for n in range(20)}


def test_a_long_body_is_not_sent_again(run_mesh):
    """What cannot be kept cannot be repeated, even if it did not run."""

    async def scenario(mesh):
        await mesh.add(known=False)
        for _ in range(2):
            await mesh.add()
        for server in mesh.targets:
            server.state.is_refusing = True
        body = b'b' * 2_000_000
        result = await mesh.post(body=body)
        return result, [record.ran for record in mesh.records]

    result, ran = run_mesh(scenario)
    assert result.status in {0, 503}
    assert ran == [{}, {}, {}]


def test_a_version_without_targets_leaves_calls_to_the_old_one(run_mesh):
    share = Share(
        service='bookings',
        move='m',
        old='v1',
        new='v2',
        basis_points=5000,
    )

    async def scenario(mesh):
        await mesh.add()
        found = [await mesh.post(request_id=f'q{n}') for n in range(20)]
        return {result.status for result in found}

    assert run_mesh(scenario, compile_sample(share=share)) == {200}


def test_the_share_of_the_new_version_is_kept(run_mesh):
    share = Share(
        service='bookings',
        move='m',
        old='v1',
        new='v2',
        basis_points=1000,
    )

    async def scenario(mesh):
        await mesh.add(work_ms=0)
        await mesh.add(label='v2', work_ms=0)
        await asyncio.gather(
            *(mesh.get(request_id=f'q{n}') for n in range(20)),
        )
        for number in range(380):
            await mesh.get(request_id=f'r{number}')
        return len(mesh.records[1].ran)

    new = run_mesh(scenario, compile_sample(share=share))
    assert 15 <= new <= 75


def test_a_refusing_new_version_leaves_its_calls_to_the_old(
    run_mesh,
    monkeypatch,
):
    for name in ('INITIAL_TOKENS', 'MAX_TOKENS'):
        monkeypatch.setattr(f'medlarhoist.core.budget.{name}', 20.0)
    share = Share(
        service='bookings',
        move='m',
        old='v1',
        new='v2',
        basis_points=10_000,
    )

    async def scenario(mesh):
        await mesh.add()
        await mesh.add(label='v2')
        mesh.targets[1].state.is_refusing = True
        found = [await mesh.post(request_id=f'q{n}') for n in range(5)]
        return [result.status for result in found], mesh.recorder.counts

    statuses, counts = run_mesh(scenario, compile_sample(share=share))
    assert statuses == [200] * 5
    assert counts == {('v2', 'refused'): 5, ('v1', 'succeeded'): 5}


def test_a_caller_that_leaves_a_hanging_version_is_evidence(
    run_mesh,
    serve_raw,
    monkeypatch,
):
    monkeypatch.setattr('medlarhoist.node.proxy.observer.LONG_WAIT_S', 0.05)

    async def hang(reader, writer):
        await reader.read()

    async def scenario(mesh):
        await mesh.add(port=await serve_raw(hang))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(mesh.get(), 0.3)
        async with asyncio.timeout(5):
            while not mesh.recorder.counts:
                await asyncio.sleep(0.01)
        return mesh.recorder.counts

    assert run_mesh(scenario) == {('v1', 'failed'): 1}
