"""Tests of connections to nodes that are unreachable."""

import asyncio
import socket
import time

from bench.ports import open_unresponsive_address
from medlarhoist.core.balance import TargetView
from medlarhoist.node.proxy.pool import (
    CONNECT_TIMEOUT_S,
    USER_TIMEOUT_MS,
    ConnectionPool,
)


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
