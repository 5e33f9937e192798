"""Tests of connections to nodes that are cut off."""

import asyncio
import socket
import time

from bench.ports import hold_silent_port
from medlarhoist.core.balance import TargetView
from medlarhoist.node.proxy.pool import (
    CONNECT_TIMEOUT_S,
    UNACKNOWLEDGED_MS,
    Pool,
)


def test_a_connection_ends_where_nothing_is_acknowledged():
    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: None,
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        conn = await Pool(f'127.0.0.1:{port}').take(fresh_only=True)
        sock = conn._transport.get_extra_info('socket')
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        conn.cut()
        server.close()
        return told

    assert asyncio.run(scenario()) == UNACKNOWLEDGED_MS


def test_a_node_that_takes_no_connection_is_given_up_soon():
    async def scenario():
        started = time.monotonic()
        conn = await Pool(address).take(fresh_only=True)
        return conn, time.monotonic() - started

    with hold_silent_port() as address:
        conn, took_s = asyncio.run(scenario())
    assert conn is None
    assert took_s >= CONNECT_TIMEOUT_S


def test_a_node_that_was_lost_is_passed_over_for_a_while():
    view = TargetView()
    view.record_no_connection(100)
    assert view.full_until > 100
