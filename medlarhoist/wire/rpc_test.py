"""Tests of remote procedures over loopback."""

import asyncio

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from medlarhoist.core.resource import Key
from medlarhoist.wire.rpc import (
    Method,
    call,
    create_channel,
    create_server,
    create_service,
)

ECHO = Method(path='/medlarhoist.Test/Echo', request=Key, reply=Key)


async def _echo(stream):
    await stream.send_message(await stream.recv_message())


async def _call_with(key: bytes) -> Key:
    server = create_server(create_service({ECHO: _echo}), b'right')
    await server.start('127.0.0.1', 0)
    port = server._server.sockets[0].getsockname()[1]
    channel = create_channel(f'127.0.0.1:{port}', key, 'tester')
    try:
        return await call(channel, ECHO, Key('route', 'r'))
    finally:
        channel.close()
        server.close()
        await server.wait_closed()


def test_a_call_returns_the_reply():
    assert asyncio.run(_call_with(b'right')) == Key('route', 'r')


def test_a_caller_with_another_key_is_refused():
    with pytest.raises(GRPCError) as caught:
        asyncio.run(_call_with(b'wrong'))
    assert caught.value.status is Status.UNAUTHENTICATED
