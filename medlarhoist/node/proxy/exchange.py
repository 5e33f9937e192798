"""Exchange: one request on an accepted connection and its response."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol

from medlarhoist.core.client_memory import REQUEST_BYTES
from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import Header, add_headers
from medlarhoist.node.proxy.body import Body, IncompleteBody
from medlarhoist.node.proxy.head import (
    CLOSE,
    LAST_CHUNK,
    REASON_PHRASES,
    write_chunk,
    write_response_head,
)
from medlarhoist.node.proxy.reader import Head

_DROPPED_HEAD: Final = Head(
    b'GET', b'/', 0, b'', (), Framing(), is_old=False, keep_alive=False
)
_NO_BODY_STATUS: Final = frozenset((204, 304))


class ResponseWriter(Protocol):
    """Where the response of an exchange is written."""

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

    def break_off(self, exchange: 'Exchange') -> None:
        """End a response that cannot be completed."""


class Connection(ResponseWriter, Protocol):
    """The accepted connection of an exchange, as the exchange uses it."""

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""


class Exchange:
    """One request of a caller or a node, and the response to it.

    Args:
        head: head of the request.
        body: body of the request, which may still be arriving.
        received_at: when the head was received, seconds of the monotonic
            clock.
        turn: done once the responses to all earlier requests of the
            connection are complete; None if there was none in progress.
        task: serves the request, None before it starts.
        started: whether the response has begun.
        finished: whether the response is complete.
        will_close: whether the response says that the connection closes.
    """

    __slots__ = (
        '_framing',
        '_writer',
        'body',
        'finished',
        'head',
        'received_at',
        'started',
        'task',
        'turn',
        'will_close',
    )

    def __init__(
        self,
        conn: Connection,
        head: Head,
        received_at: float,
    ) -> None:
        """Start an exchange whose body has not been received.

        Args:
            conn: the connection that the request was received on.
            head: head of the request.
            received_at: when it was received, seconds of the monotonic clock.
        """
        self._writer: ResponseWriter = conn
        self._framing = Framing()
        self.received_at = received_at
        self.turn: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.will_close = False
        self.head = head
        self.body = Body(conn.set_reading)
        self.started = False
        self.finished = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that the request takes."""
        body = self.body
        received = body.buffered_bytes + body.kept_bytes
        return REQUEST_BYTES + self.head.weight + received

    def drop(self) -> None:
        """Free what was received of the request, which then fails."""
        self.body.drop()
        self.head = _DROPPED_HEAD

    def attach(self, writer: ResponseWriter) -> None:
        """Write the rest of the response to another place.

        Args:
            writer: the connection, or what keeps the response until the
                earlier ones are complete.
        """
        self._writer = writer

    def cancel(self) -> None:
        """End the request, as its sender is gone."""
        self.body.fail(IncompleteBody())
        if self.task is not None:
            self.task.cancel()

    def start(
        self,
        status: int,
        headers: Sequence[Header],
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
        if not self._writer.will_keep_alive(self):
            self.will_close = True
            headers = add_headers(headers, (CLOSE,))
        if self.head.is_old and framing.chunked:
            framing = Framing()
        phrase = REASON_PHRASES.get(status, b'') if reason is None else reason
        self._writer.buffer(
            write_response_head(status, phrase, headers, framing)
        )
        has_no_body = self.head.method == b'HEAD' or status in _NO_BODY_STATUS
        self._framing = Framing() if has_no_body else framing

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body; wait while too many bytes are unsent."""
        if self._framing.chunked:
            piece = write_chunk(piece)
        await self._writer.write(piece)

    def finish(self) -> None:
        """Send the end of the response."""
        if self._framing.chunked:
            self._writer.buffer(LAST_CHUNK)
        self.finished = True
        self._writer.finish(self)

    def respond(
        self,
        status: int,
        headers: Sequence[Header],
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
            self._writer.buffer(content)
        self.finish()

    def flush(self) -> None:
        """Send the buffered bytes."""
        self._writer.flush()

    @property
    def is_write_blocked(self) -> bool:
        """Return whether writes wait, as the remote end reads too slowly."""
        return self._writer.is_write_blocked

    def abort(self) -> None:
        """End a response that cannot be completed.

        The connection is reset, which marks the response as incomplete. If
        none of it has been sent while later requests are in progress, it is
        replaced by a failure.
        """
        self._writer.break_off(self)


Serve = Callable[[Exchange], Awaitable[None]]
