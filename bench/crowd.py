"""Crowds: clients outside the limits, all connected to one node at once.

Each client sends its bytes as far as the node takes them and then keeps its
connection open until the crowd is closed.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

# A client that the node reads no further counts as done after this time.
STALL_S: Final = 3.0
PIECE_BYTES: Final = 65_536


class Client:
    """One connection of a crowd; drops what the node answers."""

    __slots__ = ('_payload', '_writer', 'received')

    def __init__(self, payload: bytes) -> None:
        """Keep the bytes to send."""
        self._payload = payload
        self._writer: asyncio.StreamWriter | None = None
        self.received = bytearray()

    async def run(self, host: str, port: int) -> None:
        """Connect and send until all is sent, or the node takes no more."""
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(host, port)
            self._writer = writer
            receiving = asyncio.create_task(self._receive(reader))
            try:
                await self._send(writer)
                await asyncio.sleep(STALL_S)
            finally:
                receiving.cancel()

    def close(self) -> None:
        """Reset the connection, whatever is unsent."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        for start in range(0, len(self._payload), PIECE_BYTES):
            writer.write(self._payload[start : start + PIECE_BYTES])
            async with asyncio.timeout(STALL_S):
                await writer.drain()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        while piece := await reader.read(PIECE_BYTES):
            self.received = (self.received + piece)[-PIECE_BYTES:]


async def run_crowd(address: str, payloads: Iterable[bytes]) -> None:
    """Send each payload on a connection of its own, all at once.

    Returns once each client is done; all connections stay open until then.

    Args:
        address: host:port of the listener.
        payloads: what each client sends.
    """
    host, _, port = address.partition(':')
    clients = [Client(payload) for payload in payloads]
    try:
        await asyncio.gather(*(each.run(host, int(port)) for each in clients))
    finally:
        _close_all(clients)


def _close_all(clients: Iterable[Client]) -> None:
    for client in clients:
        client.close()


def chunked_body(size: int, chunk: int, *, is_complete: bool) -> bytes:
    """Return a body in chunked transfer coding.

    Args:
        size: bytes of content.
        chunk: bytes of content in a chunk.
        is_complete: whether the last chunk is followed by the end.
    """
    piece = b'%x\r\n%b\r\n' % (chunk, b'b' * chunk)
    end = b'0\r\n\r\n' if is_complete else b''
    return piece * (size // chunk) + end


def request_head(method: bytes, lines: bytes, *headers: bytes) -> bytes:
    """Return a request head for the route of the uploads or of the seats.

    Args:
        method: GET for the seats, POST for the deposits.
        lines: further header lines, each with its end.
        headers: header lines without their end.
    """
    path = b'/seats' if method == b'GET' else b'/deposits'
    framed = b''.join(b'%b\r\n' % header for header in headers)
    return b'%b %b HTTP/1.1\r\nHost: x\r\n%b%b\r\n' % (
        method,
        path,
        framed,
        lines,
    )
