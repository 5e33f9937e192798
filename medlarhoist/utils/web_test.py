"""Tests of the HTTP server over loopback connections."""

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
    response = await asyncio.wait_for(reader.read(), timeout=10)
    writer.close()
    return response


def _run(*chunks):
    async def main():
        site = create_site(
            create_host(asyncio.get_running_loop()),
            'test',
            '127.0.0.1:0',
            _echo,
        )
        response = await _exchange(site.address, *chunks)
        await site.stop()
        return response

    return asyncio.run(main())


def test_a_request_in_several_chunks_is_served():
    response = _run(
        HEAD[:9],
        b'%bConnection: close\r\nContent-Length: 4\r\n\r\nbo' % HEAD[9:],
        b'dy',
    )
    assert response.startswith(b'HTTP/1.1 201 ')
    assert response.endswith(b'\r\n\r\nbody1')


def test_over_the_limit_of_all_the_largest_incomplete_request_is_refused(
    monkeypatch,
):
    monkeypatch.setattr(web, 'PENDING_LIMIT_BYTES', 50_000)
    unfinished = b'%bContent-Length: 40000\r\n\r\n' % HEAD

    async def main():
        host = create_host(asyncio.get_running_loop())
        site = create_site(host, 'test', '127.0.0.1:0', _echo)
        name, _, port = site.address.partition(':')
        streams = []
        for size in (30_000, 15_000, 6_000):
            streams.append(await asyncio.open_connection(name, int(port)))
            streams[-1][1].write(unfinished + b'b' * size)
            await asyncio.sleep(0.1)
        refused = await asyncio.wait_for(streams[0][0].read(), timeout=10)
        streams[1][1].write(b'b' * 25_000)
        served = await asyncio.wait_for(streams[1][0].readline(), timeout=10)
        for _, writer in streams:
            writer.close()
        await site.stop()
        return refused, served

    refused, served = asyncio.run(main())
    assert refused.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: 1\r\n' in refused
    assert served.startswith(b'HTTP/1.1 201 ')


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
def test_a_request_with_malformed_headers_is_refused(tail, status):
    response = _run(HEAD + tail)
    assert response.split(b' ')[1] == status


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
def test_a_malformed_request_is_refused(request_bytes, status):
    response = _run(request_bytes)
    assert response.split(b' ')[1] == status


async def _fail_then_succeed(monkeypatch):
    def fail(*args):
        raise ValueError

    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    complete = b'%b\r\n' % HEAD
    with monkeypatch.context() as patch:
        patch.setattr('circuits.web.http.HttpParser.execute', fail)
        failed = await _exchange(site.address, complete)
    buffers = site._listener.http._buffers
    response = await _exchange(
        site.address,
        b'%bConnection: close\r\n\r\n' % HEAD,
    )
    await site.stop()
    return failed, buffers, response


def test_a_request_that_circuits_cannot_parse_is_dropped(monkeypatch):
    coroutine = _fail_then_succeed(monkeypatch)
    failed, buffers, response = asyncio.run(
        asyncio.wait_for(coroutine, timeout=10)
    )
    assert not failed
    assert not buffers
    assert response.startswith(b'HTTP/1.1 201')


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=200), max_size=5))
def test_framing_accepts_any_bytes_without_raising(chunks):
    framer = Framer()
    for chunk in chunks:
        if framer.refusal is None and not framer.is_complete:
            framer.feed(chunk)


def test_an_exception_is_an_internal_server_error():
    response = _run(
        b'GET /fail HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    )
    assert response.split(b' ')[1] == b'500'


async def _disconnect_while_waiting():
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
    response = await _exchange(
        site.address,
        b'GET /?a=2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    )
    await site.stop()
    return response


def test_a_disconnect_cancels_the_request():
    response = asyncio.run(
        asyncio.wait_for(_disconnect_while_waiting(), timeout=10)
    )
    assert response.endswith(b'2')


async def _request_twice():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    host, _, port = site.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    bodies = []
    for letter in (b'b', b'c'):
        writer.write(b'%bContent-Length: 1\r\n\r\n%b' % (HEAD, letter))
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 201')
        bodies.append(await reader.readexactly(2))
    await site.stop()
    return bodies, await reader.read()


def test_a_connection_serves_several_requests():
    bodies, rest = asyncio.run(asyncio.wait_for(_request_twice(), timeout=10))
    assert bodies == [b'b1', b'c1']
    assert not rest


async def _stop_while_responding():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    request = b'%bContent-Length: 900000\r\n\r\n%b' % (HEAD, b'x' * 900_000)
    exchange = asyncio.ensure_future(_exchange(site.address, request))
    while not site._tasks:
        await asyncio.sleep(0)
    await site.stop()
    return await exchange


def test_a_stop_truncates_no_response():
    response = asyncio.run(
        asyncio.wait_for(_stop_while_responding(), timeout=10)
    )
    assert len(response.partition(b'\r\n\r\n')[2]) == 900_001


async def _send_an_incomplete_request():
    loop = asyncio.get_running_loop()
    site = create_site(create_host(loop), 'test', '127.0.0.1:0', _echo)
    response = await _exchange(site.address, HEAD)
    await site.stop()
    return response


def test_an_idle_connection_is_closed(monkeypatch):
    monkeypatch.setattr(web, 'MAX_IDLE_SECONDS', 0.1)
    monkeypatch.setattr(web, 'SWEEP_INTERVAL_SECONDS', 0.05)
    response = asyncio.run(
        asyncio.wait_for(_send_an_incomplete_request(), timeout=10)
    )
    assert not response


def test_a_site_can_reuse_the_channel_of_a_stopped_site():
    """A source that becomes a standby serves operators on the same address."""

    async def respond(request):
        return WebResponse(body=b'{"from":"second"}')

    async def main():
        host = create_host(asyncio.get_running_loop())
        first = create_site(host, 'test', '127.0.0.1:0', _refuse_all)
        address = first.address
        await first.stop()
        second = create_site(host, 'test', address, respond)
        responses = [await asyncio.to_thread(_fetch, address) for _ in range(3)]
        await second.stop()
        return responses

    assert asyncio.run(main()) == [(200, b'{"from":"second"}')] * 3


async def _refuse_all(request):
    return WebResponse(status=418)


def _fetch(address):
    conn = HTTPConnection(address, timeout=5)
    conn.request('GET', '/')
    response = conn.getresponse()
    status_and_body = (response.status, response.read())
    conn.close()
    return status_and_body
