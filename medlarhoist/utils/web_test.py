"""Tests of the HTTP server over loopback."""

import asyncio
from http.client import HTTPConnection

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.utils import web
from medlarhoist.utils.framing import BODY_LIMIT_BYTES, Framer
from medlarhoist.utils.loop import create_host
from medlarhoist.utils.web import WebResponse, create_site

HEAD = b'POST /x?a=1 HTTP/1.1\r\nHost: h\r\n'
BACKSLASH = bytes((92,))


async def _echo(request):
    await asyncio.sleep(0.01)
    if request.path == '/fail':
        raise ValueError
    if request.path == '/hang':
        await asyncio.sleep(3600)
    return WebResponse(
        status=201, body=request.body + request.query['a'].encode()
    )


async def _exchange(address, *chunks):
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for chunk in chunks:
        writer.write(chunk)
        await asyncio.sleep(0.01)
    answer = await asyncio.wait_for(reader.read(), timeout=10)
    writer.close()
    return answer


def _run(*chunks):
    async def main():
        site = create_site(
            create_host(asyncio.get_running_loop()),
            'test',
            '127.0.0.1:0',
            _echo,
        )
        answer = await _exchange(site.address, *chunks)
        await site.stop()
        return answer

    return asyncio.run(main())


def test_a_request_in_pieces_is_answered():
    answer = _run(
        HEAD[:9],
        b'%bConnection: close\r\nContent-Length: 4\r\n\r\nbo' % HEAD[9:],
        b'dy',
    )
    assert answer.startswith(b'HTTP/1.1 201 ')
    assert answer.endswith(b'\r\n\r\nbody1')


@pytest.mark.parametrize(
    ('tail', 'status'),
    [
        (b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab', b'400'),
        (b'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', b'400'),
        (b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n', b'411'),
        (b'Content-Length: x\r\n\r\n', b'400'),
        (b'Bad Name: x\r\n\r\n', b'400'),
        (b'Content-Length: %d\r\n\r\n' % (BODY_LIMIT_BYTES + 1), b'413'),
        (b'X: %b\r\n' % (b'x' * 20_000), b'431'),
        (b'\r\n%b\r\n' % HEAD, b'400'),
        (b'X: a\r\n b\r\n\r\n', b'400'),
    ],
)
def test_a_malformed_request_is_refused_and_closed(tail, status):
    answer = _run(HEAD + tail)
    assert answer.split(b' ')[1] == status


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: a:b\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: [::1\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', b'400'),
        (b'GET /x%bu12 HTTP/1.1\r\nHost: a\r\n\r\n' % BACKSLASH, b'400'),
        (b'%bX: %bx\r\n\r\n' % (HEAD, BACKSLASH), b'400'),
        (b'HEAD / HTTP/1.1\r\nHost: a\r\n\r\n', b'405'),
        (b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', b'405'),
        (b'%bUpgrade: x\r\nConnection: upgrade\r\n\r\n' % HEAD, b'400'),
        (b'GET / HTTP/3.7\r\nHost: a\r\n\r\n', b'400'),
        (b'\x16\x03\x01\x02\x00', b'400'),
    ],
)
def test_a_strange_request_is_answered_and_closed(request_bytes, status):
    answer = _run(request_bytes)
    assert answer.split(b' ')[1] == status


async def _drop_what_fails(monkeypatch):
    def fail(*args):
        raise ValueError

    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    whole = b'%b\r\n' % HEAD
    with monkeypatch.context() as patch:
        patch.setattr('circuits.web.http.HttpParser.execute', fail)
        failed = await _exchange(site.address, whole)
    left = site._listener.http._buffers
    answer = await _exchange(
        site.address,
        b'%bConnection: close\r\n\r\n' % HEAD,
    )
    await site.stop()
    return failed, left, answer


def test_a_request_that_circuits_fails_on_is_dropped(monkeypatch):
    coroutine = _drop_what_fails(monkeypatch)
    failed, left, answer = asyncio.run(asyncio.wait_for(coroutine, timeout=10))
    assert not failed
    assert not left
    assert answer.startswith(b'HTTP/1.1 201')


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=200), max_size=5))
def test_framing_is_total(chunks):
    framer = Framer()
    for chunk in chunks:
        if framer.refusal is None and not framer.is_complete:
            framer.feed(chunk)


def test_a_failed_request_is_an_internal_error():
    answer = _run(b'GET /fail HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    assert answer.split(b' ')[1] == b'500'


async def _hang_up():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    host, _, port = site.address.partition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /hang HTTP/1.1\r\nHost: h\r\n\r\n')
    while not site._tasks:
        await asyncio.sleep(0.01)
    writer.close()
    while site._tasks:
        await asyncio.sleep(0.01)
    answer = await _exchange(
        site.address,
        b'GET /?a=2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    )
    await site.stop()
    return answer


def test_a_caller_that_goes_away_is_forgotten():
    answer = asyncio.run(asyncio.wait_for(_hang_up(), timeout=10))
    assert answer.endswith(b'2')


async def _ask_twice():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    host, _, port = site.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    answers = []
    for letter in (b'b', b'c'):
        writer.write(b'%bContent-Length: 1\r\n\r\n%b' % (HEAD, letter))
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 201')
        answers.append(await reader.readexactly(2))
    await site.stop()
    return answers, await reader.read()


def test_a_connection_carries_one_request_after_another():
    answers, rest = asyncio.run(asyncio.wait_for(_ask_twice(), timeout=10))
    assert answers == [b'b1', b'c1']
    assert not rest


async def _stop_while_answering():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    request = b'%bContent-Length: 900000\r\n\r\n%b' % (HEAD, b'x' * 900_000)
    asking = asyncio.ensure_future(_exchange(site.address, request))
    while not site._tasks:
        await asyncio.sleep(0)
    await site.stop()
    return await asking


def test_a_stop_cuts_no_answer():
    answer = asyncio.run(asyncio.wait_for(_stop_while_answering(), timeout=10))
    assert len(answer.partition(b'\r\n\r\n')[2]) == 900_001


async def _fall_silent():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    answer = await _exchange(site.address, HEAD)
    await site.stop()
    return answer


def test_a_silent_connection_is_closed(monkeypatch):
    monkeypatch.setattr(web, 'IDLE_LIMIT_SECONDS', 0.1)
    monkeypatch.setattr(web, 'SWEEP_SECONDS', 0.05)
    answer = asyncio.run(asyncio.wait_for(_fall_silent(), timeout=10))
    assert not answer


def test_a_site_may_follow_another_on_its_channel():
    """A source that becomes spare serves operators on the same address."""

    async def answer(request):
        return WebResponse(body=b'{"from":"second"}')

    async def main():
        host = create_host(asyncio.get_running_loop())
        first = create_site(host, 'test', '127.0.0.1:0', _refuse_all)
        address = first.address
        await first.stop()
        second = create_site(host, 'test', address, answer)
        found = [await asyncio.to_thread(_fetch, address) for _ in range(3)]
        await second.stop()
        return found

    assert asyncio.run(main()) == [(200, b'{"from":"second"}')] * 3


async def _refuse_all(request):
    return WebResponse(status=418)


def _fetch(address):
    conn = HTTPConnection(address, timeout=5)
    conn.request('GET', '/')
    response = conn.getresponse()
    found = (response.status, response.read())
    conn.close()
    return found
