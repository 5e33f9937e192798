"""Crowds: clients outside the limits, all connected to one node at once.

Each client sends its bytes as far as the node takes them and then keeps its
connection open until the crowd is closed.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Final

# A client that the node reads no further counts as done after this time.
STALL_S: Final = 3.0
PIECE_BYTES: Final = 65_536
WATCH_INTERVAL_S: Final = 0.2
# Heads of 14 and of 10 KB.
ODD_LINES: Final = b'a:\r\n' * 3500
SHORT_LINES: Final = b''.join(b'h%d: %d\r\n' % (nr, nr) for nr in range(900))
CHUNKED: Final = b'Transfer-Encoding: chunked'


class Client:
    """One connection of a crowd; drops what the node answers."""

    __slots__ = ('_pace_s', '_payload', '_piece_bytes', '_writer', 'received')

    def __init__(
        self,
        payload: bytes,
        piece_bytes: int = PIECE_BYTES,
        pace_s: float = 0,
    ) -> None:
        """Keep the bytes to send.

        Args:
            payload: the bytes.
            piece_bytes: bytes that are sent at once.
            pace_s: pause behind each piece, seconds.
        """
        self._payload = payload
        self._piece_bytes = piece_bytes
        self._pace_s = pace_s
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
        size = self._piece_bytes
        for start in range(0, len(self._payload), size):
            writer.write(self._payload[start : start + size])
            async with asyncio.timeout(STALL_S):
                await writer.drain()
            await asyncio.sleep(self._pace_s)

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        while piece := await reader.read(PIECE_BYTES):
            self.received = (self.received + piece)[-PIECE_BYTES:]


async def run_crowd(address: str, clients: Iterable[Client]) -> None:
    """Let clients send all at once, each on a connection of its own.

    Returns once each client is done; all connections stay open until then.

    Args:
        address: host:port of the listener.
        clients: the clients.
    """
    host, _, port = address.partition(':')
    clients = tuple(clients)
    try:
        await asyncio.gather(*(each.run(host, int(port)) for each in clients))
    finally:
        _close_all(clients)


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def run_watched_crowd(
    address: str,
    payloads: Iterable[bytes],
    pid: int,
    piece_bytes: int = PIECE_BYTES,
    pace_s: float = 0,
) -> int:
    """Run a crowd; return the most descriptors that a process had meanwhile.

    Args:
        address: host:port of the listener.
        payloads: what each client sends.
        pid: the process.
        piece_bytes: bytes that a client sends at once.
        pace_s: pause of a client behind each piece, seconds.
    """
    clients = [Client(each, piece_bytes, pace_s) for each in payloads]

    async def watch() -> int:  # noqa: WPS430
        running = asyncio.create_task(run_crowd(address, clients))
        most = 0
        while not running.done():
            most = max(most, count_descriptors(pid))
            await asyncio.sleep(WATCH_INTERVAL_S)
        await running
        return most

    return asyncio.run(watch())


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


def post(body: bytes, lines: bytes = b'', header: bytes = CHUNKED) -> bytes:
    """Return a request for the route of the uploads.

    Args:
        body: its body, as it is sent.
        lines: further header lines, each with its end.
        header: the header line of its framing, without its end.
    """
    return request_head(b'POST', lines, header) + body
