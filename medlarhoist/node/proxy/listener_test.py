"""Tests that closing a listener cuts no request that has been sent to it."""

import asyncio
import socket

import pytest

from medlarhoist.node.proxy import listener as listener_module
from medlarhoist.node.proxy.listener import Listener

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


async def _serve(exchange):
    exchange.respond(200, [], b'ok')


def _connect(port):
    """Return a connection that has sent a request, None without one."""
    try:
        sock = socket.create_connection(('127.0.0.1', port), timeout=0.2)
    except OSError:
        return None
    sock.sendall(REQUEST)
    sock.setblocking(False)
    return sock


async def _receive(sock):
    """Return received bytes; none if the connection was closed or reset."""
    loop = asyncio.get_running_loop()
    try:
        return await asyncio.wait_for(loop.sock_recv(sock, 1_000_000), 5)
    except ConnectionError:
        return b''


@pytest.fixture(name='run_listener')
def _run_listener():
    """Return a function that runs a coroutine function with a listener."""

    def run(scenario):
        async def main():
            listener = Listener(_serve)
            await listener.start('127.0.0.1:0')
            return await scenario(listener)

        return asyncio.run(main())

    return run


def test_no_connection_is_set_up_after_the_last_accept(
    run_listener,
    monkeypatch,
):
    """The system would reset it when the listening socket closes."""
    accept_all = listener_module._accept_all
    late = []

    async def scenario(listener):
        def accept_and_connect(sock):
            accepted = accept_all(sock)
            late.append(_connect(listener.port))
            return accepted

        monkeypatch.setattr(listener_module, '_accept_all', accept_and_connect)
        await listener.close()
        return [await _receive(sock) for sock in late if sock]

    for received in run_listener(scenario):
        assert received.startswith(b'HTTP/1.1 200')
    assert len(late) == 1


def test_connections_that_wait_to_be_accepted_are_served(run_listener):
    async def scenario(listener):
        sock = _connect(listener.port)
        await listener.close()
        return await _receive(sock)

    assert run_listener(scenario).startswith(b'HTTP/1.1 200')


def test_a_request_that_is_not_read_yet_is_answered(run_listener):
    """Its connection is idle for the process, which closes idle ones."""

    async def scenario(listener):
        sock = _connect(listener.port)
        first = await _receive(sock)
        sock.sendall(REQUEST)
        listener.close_idle()
        return first, await _receive(sock)

    for received in run_listener(scenario):
        assert received.startswith(b'HTTP/1.1 200')


def test_a_response_that_is_not_sent_yet_keeps_its_connection_busy():
    """A process that ends meanwhile would cut it."""
    size = 5_000_000

    async def respond(exchange):
        exchange.respond(200, [], b'.' * size)

    async def main():
        listener = Listener(respond)
        await listener.start('127.0.0.1:0')
        sock = _connect(listener.port)
        await asyncio.sleep(0.1)
        was_busy = [conn.is_busy for conn in listener.connections]
        received = 0
        while received < size:
            received += len(await _receive(sock))
        return was_busy

    assert asyncio.run(main()) == [True]
