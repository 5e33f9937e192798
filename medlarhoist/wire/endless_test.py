"""Tests of processes on control links that send bytes without end.

An address may belong to another process by now. Guards against memory that its
bytes hold, and against calls and listeners that wait for their end.
"""

import asyncio
import socket
import struct
import time

import pytest

from medlarhoist.core.resource import Key
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire import bounded_protocol
from medlarhoist.wire.channels import create_channels
from medlarhoist.wire.rpc import Method, create_server, create_service

ECHO = Method(path='/medlarhoist.Test/Echo', request=Key, reply=Key)
# The kernel buffers some MiB.
BUFFERED_BYTES = 16 * 1024 * 1024
IN_TIME_S = 3.0
# Lower than in use, as are the buffers of the kernel, so that the time of the
# test does not depend on how fast the machine replies to pings.
UNSENT_BYTES = 16 * 1024
PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'


def _frame(kind, body, stream=0):
    head = struct.pack('>I', len(body))[1:] + bytes((kind, 0))
    return head + struct.pack('>I', stream) + body


SETTINGS = _frame(4, b'')
BLOCKS = {
    'text': (b'', b'a' * 4096),
    'zeros': (b'', bytes(4096)),
    'answers': (b'', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n' * 50),
    'large frame': (SETTINGS, b'\xff' * 4096),
    'pings': (SETTINGS, _frame(6, bytes(8)) * 200),
    'other frames': (SETTINGS, _frame(250, bytes(4096))),
    'data of no stream': (SETTINGS, _frame(0, bytes(4096), stream=9)),
}


class _Sender:
    """Writes blocks until the other side closes, and reads nothing."""

    def __init__(self, start, block):
        self.written = 0
        self.is_closed = False
        self._start = start
        self._block = block

    async def send(self, writer):
        try:
            await self._send(writer)
        except ConnectionError:
            self.is_closed = True

    async def _send(self, writer):
        writer.write(self._start)
        while not self.is_closed:
            writer.write(self._block)
            await writer.drain()
            self.written += len(self._block)
            await asyncio.sleep(0)


@pytest.mark.parametrize('name', BLOCKS)
def test_a_call_to_an_endless_sender_ends(name):
    sender = _Sender(*BLOCKS[name])

    async def main():
        server = await asyncio.start_server(
            lambda reader, writer: sender.send(writer), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        channels = create_channels('key', 'tester')
        request = Key('route', 'r')
        began = time.monotonic()
        reply = await channels.try_call(f'127.0.0.1:{port}', ECHO, request)
        took_s = time.monotonic() - began
        await _until_closed(sender)
        channels.close()
        server.close()
        return reply, took_s

    reply, took_s = asyncio.run(main())
    assert reply is None
    assert took_s < IN_TIME_S
    assert sender.is_closed
    assert sender.written < BUFFERED_BYTES


@pytest.mark.parametrize('name', BLOCKS)
def test_a_listener_holds_no_bytes_of_an_endless_sender(name, monkeypatch):
    """Other callers are served meanwhile."""
    monkeypatch.setattr(bounded_protocol, 'MAX_UNSENT_BYTES', UNSENT_BYTES)
    start, block = BLOCKS[name]
    sender = _Sender(PREFACE + start, block)

    async def echo(stream):
        await stream.send_message(await stream.recv_message())

    async def main():
        traffic = Traffic()
        server = create_server(create_service({ECHO: echo}), b'key', traffic)
        await server.start('127.0.0.1', 0)
        listening = server._server.sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        port = listening.getsockname()[1]
        sock = socket.create_connection(('127.0.0.1', port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        _, writer = await asyncio.open_connection(sock=sock, limit=1)
        sending = asyncio.ensure_future(sender.send(writer))
        channels = create_channels('key', 'tester')
        request = Key('route', 'r')
        replies = [
            await channels.try_call(f'127.0.0.1:{port}', ECHO, request)
            for _ in range(5)
        ]
        await _until_closed(sender)
        channels.close()
        sending.cancel()
        writer.close()
        server.close()
        return replies

    assert asyncio.run(main()) == [Key('route', 'r')] * 5
    assert sender.is_closed
    assert sender.written < BUFFERED_BYTES


async def _until_closed(sender):
    end = time.monotonic() + IN_TIME_S
    while not sender.is_closed and time.monotonic() < end:
        await asyncio.sleep(0.05)
