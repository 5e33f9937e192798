"""Tests that a request that is not idempotent runs at most once."""

import asyncio

import pytest

from bench.calls_static import compile_sample
from medlarhoist.core.snapshot import Share

REQUEST_END = b'\r\n\r\nb'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class AbortingTarget:
    """Aborts each connection part-way through the request or the response.

    Args:
        request_bytes: bytes of the request to read.
        response_bytes: bytes of the response to send.
        reached: connections on which a request was received.
    """

    def __init__(self, request_bytes, response_bytes):
        self.request_bytes = request_bytes
        self.response_bytes = response_bytes
        self.reached = 0

    async def serve(self, reader, writer):
        received = b''
        while len(received) < self.request_bytes:
            piece = await reader.read(self.request_bytes - len(received))
            if not piece:
                return
            received += piece
            if received.endswith(REQUEST_END):
                break
        self.reached += bool(received)
        writer.write(RESPONSE[: self.response_bytes])
        await writer.drain()
        writer.transport.abort()


async def _abort_everywhere(mesh, serve_raw, sizes, path):
    """Return (connections reached, status, verdict) for each pair of sizes."""
    target = AbortingTarget(0, 0)
    await mesh.add(registered=False)
    for _ in range(3):
        await mesh.add(port=await serve_raw(target.serve))
    outcomes = []
    for request_bytes, response_bytes in sizes:
        target.request_bytes = request_bytes
        target.response_bytes = response_bytes
        target.reached = 0
        result = await mesh.post(path)
        outcomes.append((target.reached, result.status, result.verdict))
    return outcomes


@pytest.mark.parametrize('start', range(1, 9))
def test_only_one_target_is_reached_wherever_it_aborts(
    run_mesh,
    serve_raw,
    start,
):
    sizes = [(size, 0) for size in range(start, 190, 8)]
    sizes += [(start, size) for size in range(start, len(RESPONSE), 8)]

    async def scenario(mesh):
        return await _abort_everywhere(mesh, serve_raw, sizes, '/')

    for reached, status, verdict in run_mesh(scenario):
        assert reached == 1
        assert (status, verdict) in {(502, 'may-have-run'), (0, '')}


def test_an_idempotent_request_is_retried(run_mesh, serve_raw):
    async def scenario(mesh):
        sizes = [(1, 0)]
        return await _abort_everywhere(mesh, serve_raw, sizes, '/sights')

    assert run_mesh(scenario) == [(3, 502, 'may-have-run')]


def test_a_call_that_could_not_connect_did_not_run(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        mesh.targets[1].close()
        return await mesh.post()

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (503, 'did-not-run')


def test_a_request_is_retried_if_a_node_is_unavailable(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        stopped = await mesh.add()
        await mesh.add()
        await stopped.stop(linger_s=0)
        results = [await mesh.post(request_id=f'q{n}') for n in range(20)]
        return [result.status for result in results], mesh.records[2].ran

    statuses, ran = run_mesh(scenario)
    assert statuses == [200] * 20
    assert ran == {f'q{n}': 1 for n in range(20)}


def test_a_long_body_is_not_sent_again(run_mesh):
    """A body over the buffer limit is not replayed, even if it did not run."""

    async def scenario(mesh):
        await mesh.add(registered=False)
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


def test_calls_for_a_version_without_targets_go_to_the_old_one(run_mesh):
    share = Share(
        service='bookings',
        move='m',
        old='v1',
        new='v2',
        basis_points=5000,
    )

    async def scenario(mesh):
        await mesh.add()
        results = [await mesh.post(request_id=f'q{n}') for n in range(20)]
        return {result.status for result in results}

    assert run_mesh(scenario, compile_sample(share=share)) == {200}


def test_the_new_version_gets_its_share_of_calls(run_mesh):
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


def test_calls_that_the_new_version_refuses_go_to_the_old_one(
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
        results = [await mesh.post(request_id=f'q{n}') for n in range(5)]
        return [result.status for result in results], mesh.recorder.counts

    statuses, counts = run_mesh(scenario, compile_sample(share=share))
    assert statuses == [200] * 5
    assert counts == {('v2', 'refused'): 5, ('v1', 'succeeded'): 5}


def test_a_caller_that_gives_up_on_a_hanging_version_is_evidence(
    run_mesh,
    serve_raw,
    monkeypatch,
):
    monkeypatch.setattr('medlarhoist.node.proxy.observer.MIN_HANG_S', 0.05)

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
