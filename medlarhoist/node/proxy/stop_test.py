"""Tests that requests in progress are answered before a stopping node ends."""

import asyncio

import pytest

PATHS = {'may be repeated': '/sights', 'must not be repeated': '/'}


@pytest.fixture(name='stop_during')
def _stop_during(run_mesh, serve_raw):
    """Return a function that stops a node at the end of its grace period.

    Its target never answers. The function returns the results that callers
    have when the stop returns.
    """

    async def hang(reader, writer):
        await reader.read()

    def run(path, hops):
        async def scenario(mesh):
            for _ in range(hops - 1):
                await mesh.add(registered=False)
            await mesh.add(port=await serve_raw(hang))
            await mesh.add(port=await serve_raw(hang))
            call = asyncio.create_task(mesh.post(path))
            await asyncio.sleep(0.1)
            await mesh.nodes[0].stop(linger_s=0.1, timeout_s=0.3)
            return call.result() if call.done() else None

        return run_mesh(scenario)

    return run


@pytest.mark.parametrize('path', PATHS.values(), ids=PATHS)
@pytest.mark.parametrize('hops', [1, 2])
def test_a_request_is_not_left_without_an_answer(stop_during, path, hops):
    result = stop_during(path, hops)
    assert result is not None
    assert (result.status, result.verdict) == (502, 'may-have-run')
