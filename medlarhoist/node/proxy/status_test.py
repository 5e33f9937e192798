"""Tests that an answer without a valid status is no answer.

A caller that gets such a status cannot know whether its request ran, and a
version whose targets send them must not count as sound.
"""

import pytest

STATUSES = (
    b'000',
    b'099',
    b'20',
    b'+200',
    b'600',
    b'999',
    b'1000',
    b'2000',
    b'0200',
    b'-200',
    b'2e2',
    b'',
    b'101',
)
SOUND = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\n\r\nok'
ODD = b'HTTP/1.1 %b Odd\r\nContent-Length: 0\r\n%b\r\n\r\n'


def _find_id(head):
    """Return the line with the id of an attempt, which targets may echo."""
    lines = head.split(b'\r\n')
    return next(line for line in lines if b'medlarhoist-request' in line)


@pytest.mark.parametrize('hops', [1, 2])
@pytest.mark.parametrize('status', STATUSES)
def test_an_answer_without_a_valid_status_is_no_answer(
    run_mesh, serve_raw, status, hops
):
    """Its connection is not used again, also where a sound one follows."""
    statuses = iter((status,))
    connections = []

    async def respond(reader, writer):
        connections.append(writer)
        while True:
            head = await reader.readuntil(b'\r\n\r\nb')
            for odd in statuses:
                writer.write(ODD % (odd, _find_id(head)))
            writer.write(SOUND % _find_id(head))
            await writer.drain()

    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        node = await mesh.add(port=await serve_raw(respond))
        results = [await mesh.post(body=b'b') for _ in range(2)]
        counts = dict(mesh.recorder.counts)
        return results, counts, node.dump().malformed_responses

    (odd, sound), counts, malformed = run_mesh(scenario)
    assert (odd.status, odd.verdict) == (502, 'may-have-run')
    assert (sound.status, sound.content) == (200, b'ok')
    assert counts == {('v1', 'failed'): 1, ('v1', 'succeeded'): 1}
    assert malformed == 1
    assert len(connections) == 2


@pytest.mark.parametrize('hops', [1, 2])
@pytest.mark.parametrize(
    'lines', [b'', b'Connection: upgrade\r\nUpgrade: h2c\r\n']
)
def test_a_switch_that_nobody_asked_for_is_no_answer(
    run_mesh, serve_raw, lines, hops
):
    """What follows it is of another protocol, whatever it looks like."""
    switch = b'HTTP/1.1 101 Switching Protocols\r\n%b\r\n' % lines

    async def respond(reader, writer):
        head = await reader.readuntil(b'\r\n\r\nb')
        writer.write(switch + SOUND % _find_id(head))
        await reader.read()

    async def scenario(mesh):
        for _ in range(hops - 1):
            await mesh.add(registered=False)
        await mesh.add(port=await serve_raw(respond))
        return await mesh.post(body=b'b')

    result = run_mesh(scenario)
    assert (result.status, result.verdict) == (502, 'may-have-run')


@pytest.mark.parametrize('status', STATUSES)
def test_an_idempotent_request_without_a_valid_status_is_repeated(
    run_mesh, serve_raw, status
):
    async def respond_oddly(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(ODD % (status, _find_id(head)))
        await reader.read()

    async def respond(reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            writer.write(SOUND % _find_id(head))

    async def scenario(mesh):
        await mesh.add(port=await serve_raw(respond_oddly))
        await mesh.add(port=await serve_raw(respond))
        return [await mesh.get('/sights') for _ in range(4)]

    assert {result.status for result in run_mesh(scenario)} == {200}
