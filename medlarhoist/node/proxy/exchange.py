"""Exchange: one request on an accepted connection and its response."""

from collections.abc import Iterable
from typing import Final, Protocol

from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import Header
from medlarhoist.node.proxy.body import Body
from medlarhoist.node.proxy.head import (
    LAST_CHUNK,
    REASON_PHRASES,
    write_chunk,
    write_response_head,
)
from medlarhoist.node.proxy.reader import Head

CLOSE: Final = (b'connection', b'close')
_NO_BODY_STATUS: Final = frozenset((204, 304))


class Connection(Protocol):
    """The accepted connection of an exchange, as the exchange uses it."""

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""

    def will_keep_alive(self, exchange: 'Exchange') -> bool:
        """Return whether the connection stays open after the response."""

    @property
    def is_write_blocked(self) -> bool:
        """Return whether writes wait, as the remote end reads too slowly."""

    def buffer(self, raw: bytes) -> None:
        """Buffer bytes until the next write, flush or finish."""

    def flush(self) -> None:
        """Send the buffered bytes."""

    async def write(self, raw: bytes) -> None:
        """Send buffered and given bytes; wait while too many are unsent."""

    def finish(self, exchange: 'Exchange') -> None:
        """Send the buffered bytes and continue with the next request."""

    def reset(self) -> None:
        """Close the connection at once with a TCP reset."""


class Exchange:
    """One request of a caller or a node, and the response to it.

    Args:
        head: head of the request.
        body: body of the request, which may still be arriving.
        started: whether the response has begun.
        finished: whether the response is complete.
    """

    __slots__ = ('_conn', '_framing', 'body', 'finished', 'head', 'started')

    def __init__(self, conn: Connection, head: Head) -> None:
        """Start an exchange whose body has not been received.

        Args:
            conn: the connection that the request was received on.
            head: head of the request.
        """
        self._conn = conn
        self._framing = Framing()
        self.head = head
        self.body = Body(conn.set_reading)
        self.started = False
        self.finished = False

    def start(
        self,
        status: int,
        headers: Iterable[Header],
        framing: Framing,
        reason: bytes | None = None,
    ) -> None:
        """Begin the response; its head is sent with the next bytes or flush.

        To an HTTP/1.0 client, a chunked body is sent without chunks and ends
        when the connection closes.

        Args:
            status: HTTP status.
            headers: all headers except those of framing and `connection`.
            framing: how the body is delimited.
            reason: reason phrase, None for the standard one of the status.
        """
        self.started = True
        fields = list(headers)
        if not self._conn.will_keep_alive(self):
            fields.append(CLOSE)
        if self.head.is_old and framing.chunked:
            framing = Framing()
        phrase = REASON_PHRASES.get(status, b'') if reason is None else reason
        self._conn.buffer(write_response_head(status, phrase, fields, framing))
        has_no_body = self.head.method == b'HEAD' or status in _NO_BODY_STATUS
        self._framing = Framing() if has_no_body else framing

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body; wait while too many bytes are unsent."""
        if self._framing.chunked:
            piece = write_chunk(piece)
        await self._conn.write(piece)

    def finish(self) -> None:
        """Send the end of the response."""
        if self._framing.chunked:
            self._conn.buffer(LAST_CHUNK)
        self.finished = True
        self._conn.finish(self)

    def respond(
        self,
        status: int,
        headers: Iterable[Header],
        content: bytes,
    ) -> None:
        """Send a complete response.

        Args:
            status: HTTP status.
            headers: all headers except those of framing and `connection`.
            content: the body, which is not sent for a HEAD request.
        """
        self.start(status, headers, Framing(len(content), declared=True))
        if self.head.method != b'HEAD':
            self._conn.buffer(content)
        self.finish()

    def flush(self) -> None:
        """Send the buffered bytes."""
        self._conn.flush()

    @property
    def is_write_blocked(self) -> bool:
        """Return whether writes wait, as the remote end reads too slowly."""
        return self._conn.is_write_blocked

    def abort(self) -> None:
        """Reset the connection, which marks the response as incomplete."""
        self._conn.reset()
