"""Tests of targets that break off heads or repeat earlier refusals."""

import asyncio

import pytest

HEADS = {
    'length': b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 8\r\n\r\n',
    'chunked': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'undelimited': b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
}
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Did-Not-Run: true\r\n'
EMPTY = b'Content-Length: 0\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\n\r\nok'


def _find_id(head):
    """Return the line with the id of an attempt, which targets may echo."""
    lines = head.split(b'\r\n')
    return next(line for line in lines if b'medlarhoist-request' in line)


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('hops', [1, 2])
def test_a_head_that_breaks_off_is_no_response(run_mesh, serve_raw, head, hops):
    """The target closes its connection without a reset."""
    sizes = iter(range(len(head)))

    async def break_off(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head[: next(sizes)])
        await writer.drain()

    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(break_off))
        return [await mesh.post() for _ in head]

    for result in run_mesh(scenario):
        assert (result.status, result.verdict) == (502, 'may-have-run')


@pytest.mark.parametrize('hops', [1, 2])
@pytest.mark.parametrize('has_id', [True, False])
def test_a_repeated_refusal_is_not_believed(run_mesh, serve_raw, has_id, hops):
    """It comes once the next request on the connection is running."""
    heads = []

    async def repeat_refusal(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\nb'))
        refusal = b'%b%b\r\n%b' % (REFUSAL, _find_id(heads[0]), EMPTY)
        writer.write(refusal)
        heads.append(await reader.readuntil(b'\r\n\r\nb'))
        writer.write(refusal if has_id else REFUSAL + EMPTY)
        await asyncio.sleep(1)

    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(repeat_refusal))
        return [await mesh.post(request_id=f'r{n}') for n in range(2)]

    first, second = run_mesh(scenario)
    assert (first.status, first.verdict) == (503, 'did-not-run')
    assert (second.status, second.verdict) == (502, 'may-have-run')
    assert len(heads) == 2


@pytest.mark.parametrize('hops', [1, 2])
@pytest.mark.parametrize('status', [b'200 OK', b'503 Full', b'404 None'])
def test_an_answer_without_the_echoed_id_is_not_delivered(
    run_mesh, serve_raw, status, hops
):
    """A faulty target sends more after an answer, once the next one runs."""
    extra = b'HTTP/1.1 %b\r\n%b' % (status, EMPTY)

    async def send_extra(reader, writer):
        for prefix in (b'', extra):
            head = await reader.readuntil(b'\r\n\r\nb')
            writer.write(prefix + ANSWER % _find_id(head))
        await asyncio.sleep(1)

    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        node = await mesh.add(port=await serve_raw(send_extra))
        results = [await mesh.post(request_id=f'r{n}') for n in range(3)]
        return results, node.dump().crossed, mesh.recorder.counts

    (first, second, third), crossed, counts = run_mesh(scenario)
    assert (first.status, third.status) == (200, 200)
    assert (second.status, second.verdict) == (502, 'may-have-run')
    assert crossed == 1
    assert counts == {('v1', 'failed'): 1, ('v1', 'succeeded'): 2}


def test_a_refusal_on_a_new_connection_is_believed(run_mesh, serve_raw):
    """It cannot be a copy of an earlier one, also without an id."""

    async def refuse(reader, writer):
        await reader.readuntil(b'\r\n\r\nb')
        writer.write(REFUSAL + EMPTY)
        await writer.drain()

    async def scenario(mesh):
        await mesh.add(port=await serve_raw(refuse))
        return [await mesh.post(request_id=f'r{n}') for n in range(2)]

    for result in run_mesh(scenario):
        assert (result.status, result.verdict) == (503, 'did-not-run')


def test_refusals_of_targets_that_echo_no_ids_are_believed(run_mesh, serve_raw):
    """Otherwise no request would go to another target of such a service."""

    async def refuse(reader, writer):
        while True:
            await reader.readuntil(b'\r\n\r\nb')
            writer.write(REFUSAL + EMPTY)
            await writer.drain()

    async def scenario(mesh):
        await mesh.add(port=await serve_raw(refuse))
        return [await mesh.post(request_id=f'r{n}') for n in range(3)]

    for result in run_mesh(scenario):
        assert (result.status, result.verdict) == (503, 'did-not-run')
