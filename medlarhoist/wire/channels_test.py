"""Tests of channels to processes that went silent."""

import asyncio

import pytest

from medlarhoist.core.resource import Key
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire import channels as channels_module
from medlarhoist.wire.channels import create_channels
from medlarhoist.wire.rpc import Method

ECHO = Method(path='/medlarhoist.Test/Echo', request=Key, reply=Key)


@pytest.fixture
def short_replies(monkeypatch):
    """Make the wait for a reply short."""
    monkeypatch.setattr(channels_module, 'REPLY_SECONDS', 0.1)


async def _count_connections() -> tuple[list[Key | None], int]:
    accepted = []
    server = await asyncio.start_server(
        lambda reader, writer: accepted.append(writer),
        '127.0.0.1',
        0,
    )
    port = server.sockets[0].getsockname()[1]
    channels = create_channels('key', 'tester', Traffic())
    replies = [
        await channels.try_call(f'127.0.0.1:{port}', ECHO, Key('route', 'r'))
        for _ in range(2)
    ]
    channels.close()
    for writer in accepted:
        writer.close()
    server.close()
    return replies, len(accepted)


def test_a_silent_connection_is_replaced(short_replies):
    replies, connections = asyncio.run(_count_connections())
    assert replies == [None, None]
    assert connections == 2


def test_a_refused_connection_is_no_reply():
    channels = create_channels('key', 'tester', Traffic())
    asked = channels.try_call('127.0.0.1:1', ECHO, Key('route', 'r'))
    assert asyncio.run(asked) is None
