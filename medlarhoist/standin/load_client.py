"""Load client: one keep-alive connection of the load tool."""

import asyncio
from typing import Any, Final

from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct

VERDICT_HEADER: Final = 'x-medlarhoist-verdict'


class Result(Struct, frozen=True):
    """How one request ended.

    Args:
        status: HTTP status, zero where no whole answer came.
        headers: headers of the answer, names in lower case.
        content: body of the answer.
        sent: whether the request went out.
    """

    status: int
    headers: dict[str, str]
    content: bytes
    sent: bool = True

    @property
    def verdict(self) -> str:
        """Return the verdict of a refusal, empty for none."""
        return self.headers.get(VERDICT_HEADER, '')


INCOMPLETE: Final = Result(0, {}, b'')
NOT_SENT: Final = Result(0, {}, b'', sent=False)


class LoadConnection(asyncio.Protocol):
    """Sends one request at a time.

    Args:
        is_open: whether it can be used again.
    """

    def __init__(self) -> None:
        """Start without a transport."""
        self._transport: Any = None
        self._waiter: asyncio.Future[Result] | None = None
        self._parser = HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._content: list[bytes] = []
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress as cut."""
        self.is_open = False
        self._finish(INCOMPLETE)

    def data_received(self, received: bytes) -> None:
        """Take bytes."""
        try:
            self._parser.feed_data(received)
        except HttpParserError:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        key = name.decode('latin-1').lower()
        self._headers[key] = value.decode('latin-1')

    def on_body(self, piece: bytes) -> None:
        """Take a part of the body."""
        self._content.append(piece)

    def on_message_complete(self) -> None:
        """End the request with its whole answer."""
        content = b''.join(self._content)
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.is_open = False
            self._transport.close()
        self._finish(Result(status, self._headers, content))

    async def send(self, raw: bytes) -> Result:
        """Send the bytes of a request and return how it ended."""
        if not self.is_open:
            return INCOMPLETE
        self._parser = HttpResponseParser(self)
        self._headers = {}
        self._content = []
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(raw)
        return await self._waiter

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._transport.close()

    def _finish(self, result: Result) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(result)


async def open_connection(address: str) -> LoadConnection | None:
    """Return a connection to host:port, or None."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        _, conn = await loop.create_connection(
            LoadConnection,
            host,
            int(port),
        )
    except OSError:
        return None
    return conn
