"""Keep-alive HTTP connection of the load generator."""

import asyncio
from typing import Any, Final

from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct

VERDICT_HEADER: Final = 'x-medlarhoist-verdict'


class Result(Struct, frozen=True):
    """Result of one request.

    Args:
        status: HTTP status, zero without a complete response.
        headers: headers of the response, names in lower case.
        content: body of the response.
        sent: whether the request was sent.
    """

    status: int
    headers: dict[str, str]
    content: bytes
    sent: bool = True

    @property
    def verdict(self) -> str:
        """Return the node's verdict on a failed request, empty for none."""
        return self.headers.get(VERDICT_HEADER, '')


INCOMPLETE: Final = Result(0, {}, b'')
NOT_SENT: Final = Result(0, {}, b'', sent=False)


class LoadConnection(asyncio.Protocol):
    """Keep-alive connection that sends one request at a time.

    Args:
        is_open: whether another request can be sent on it.
    """

    def __init__(self) -> None:
        """Create a connection, which is closed until asyncio opens it."""
        self._transport: Any = None
        self._waiter: asyncio.Future[Result] | None = None
        self._parser = HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._content: list[bytes] = []
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress as incomplete."""
        self.is_open = False
        self._finish(INCOMPLETE)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; abort the connection if they are malformed."""
        try:
            self._parser.feed_data(received)
        except HttpParserError:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the response."""
        key = name.decode('latin-1').lower()
        self._headers[key] = value.decode('latin-1')

    def on_body(self, piece: bytes) -> None:
        """Store a part of the response body."""
        self._content.append(piece)

    def on_message_complete(self) -> None:
        """End the request with its complete response."""
        content = b''.join(self._content)
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.is_open = False
            self._transport.close()
        self._finish(Result(status, self._headers, content))

    async def send(self, raw: bytes) -> Result:
        """Send a request and wait for its end.

        Args:
            raw: the complete request as bytes.

        Returns:
            The result; `INCOMPLETE` if the connection is or gets closed.
        """
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
    """Return a connection to host:port, None if it cannot be opened."""
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
