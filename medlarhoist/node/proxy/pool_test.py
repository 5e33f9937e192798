"""Tests of connections to nodes that are unreachable."""

import asyncio
import socket
import time

from bench.ports import open_unresponsive_address
from medlarhoist.core.target_view import TargetView
from medlarhoist.node.proxy.client import USER_TIMEOUT_MS
from medlarhoist.node.proxy.pool import CONNECT_TIMEOUT_S, ConnectionPool


def test_connections_set_the_tcp_user_timeout():
    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: None,
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        conn = await ConnectionPool(f'127.0.0.1:{port}', int).acquire(
            fresh_only=True
        )
        sock = conn._transport.get_extra_info('socket')
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
        )
        conn.abort()
        server.close()
        return timeout_ms

    assert asyncio.run(scenario()) == USER_TIMEOUT_MS


def test_a_connection_may_be_reset_before_its_options_are_set():
    """The option of a closed socket cannot be set; the request is not sent."""

    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: writer.transport.abort(),
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(f'127.0.0.1:{port}', int)
        conn = await pool.acquire(fresh_only=True)
        await asyncio.sleep(0.05)
        conn.set_user_timeout(USER_TIMEOUT_MS)
        server.close()
        return conn.is_open, pool.size

    assert asyncio.run(scenario()) == (False, 0)


def test_opening_a_connection_times_out():
    async def scenario():
        started = time.monotonic()
        conn = await ConnectionPool(address, int).acquire(fresh_only=True)
        return conn, time.monotonic() - started

    with open_unresponsive_address() as address:
        conn, took_s = asyncio.run(scenario())
    assert conn is None
    assert took_s >= CONNECT_TIMEOUT_S


def test_an_unreachable_node_is_avoided_for_some_time():
    view = TargetView()
    view.record_no_connection(100)
    assert view.full_until > 100
