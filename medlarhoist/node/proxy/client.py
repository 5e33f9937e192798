"""Client: one connection to a node or a target.

A connection carries one request at a time. It is used again only after a
whole request and a whole answer; after anything else it is cut.
"""

import asyncio
import select
import socket
import time
from collections.abc import Callable
from typing import Any, Final, Protocol

from medlarhoist.core.hop_check import ANSWER_LIMIT_BYTES, Framing, HeadFault
from medlarhoist.node.proxy.attempt import Request
from medlarhoist.node.proxy.body import Body, ShortBody
from medlarhoist.node.proxy.head import (
    LAST_CHUNK,
    parse_answer_head,
    write_chunk,
    write_request_head,
)
from medlarhoist.node.proxy.reader import Head, MessageReader, Phase

_INFORMATIONAL: Final = range(100, 200)
_NO_BODY_STATUS: Final = frozenset((204, 304))


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    opened: int

    def add_idle(self, conn: 'ClientConnection') -> None:
        """Keep an idle connection for the next call."""

    def remove(self, conn: 'ClientConnection') -> None:
        """Drop a connection that ended."""


class Response:
    """The head of an answer and its body to come.

    Args:
        head: head of the answer.
        body: body of the answer.
        ended_at: when all of it had come, seconds of the monotonic clock.
    """

    __slots__ = ('_conn', '_on_finished', 'body', 'ended_at', 'head')

    def __init__(self, conn: 'ClientConnection', head: Head) -> None:
        """Start an answer."""
        self._conn = conn
        self._on_finished: Callable[[bool], None] | None = None
        self.head = head
        self.ended_at = float()
        self.body = Body(conn.switch_reading)

    def end(self) -> None:
        """Take the end of the body."""
        self.ended_at = time.monotonic()
        self.body.end()
        self._notify_finished()

    def fail(self, fault: Exception) -> None:
        """Take that the rest of the body will not come."""
        self.body.fail(fault)
        self._notify_finished()

    def close(self) -> None:
        """Give the connection back, or cut it where anything is left."""
        self._conn.release()
        self.fail(ShortBody())

    def discard(self) -> None:
        """Cut the connection: the answer belongs to another request."""
        self._conn.abort()
        self.fail(ShortBody())

    def on_finished(self, settle: Callable[[bool], None]) -> None:
        """Call back once all has come or will not come.

        Args:
            settle: told whether the answer came whole.
        """
        self._on_finished = settle
        if self.body.ended:
            self._notify_finished()

    def _notify_finished(self) -> None:
        if self._on_finished is not None:
            self._on_finished(self.body.is_whole)
            self._on_finished = None


class ClientConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """One connection that this node opened."""

    __slots__ = (
        '_response',
        '_method',
        '_pool',
        '_send_task',
        '_reader',
        '_is_request_sent',
        '_transport',
        '_waiter',
        '_writable',
        'idle_since',
    )

    def __init__(self, pool: ConnectionOwner) -> None:
        """Belong to a pool."""
        self._pool = pool
        self._reader = MessageReader(
            parse_answer_head,
            self,
            Phase.HOLD,
            ANSWER_LIMIT_BYTES,
        )
        self._transport: Any = None
        self._waiter: asyncio.Future[Response | None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._response: Response | None = None
        self._send_task: asyncio.Task[None] | None = None
        self._method = b''
        self._is_request_sent = False
        self.idle_since = float()

    @property
    def is_open(self) -> bool:
        """Say whether the connection may be used."""
        return not self._transport.is_closing()

    @property
    def _is_idle(self) -> bool:
        is_held = self._reader.phase is Phase.HOLD
        return self.is_open and is_held and not self._reader.has_bytes

    # What asyncio calls.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        self._pool.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer in progress: it is short."""
        self._pool.remove(self)
        if self._response is not None:
            self._response.fail(ShortBody())
        self._resolve(None)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def data_received(self, received: bytes) -> None:
        """Take bytes; a connection that waits for none is cut."""
        if self._reader.phase is Phase.HOLD:
            self.abort()
            return
        self._reader.feed(received)
        if self._reader.phase is Phase.HOLD and self._reader.has_bytes:
            self.abort()

    def eof_received(self) -> bool:
        """End an answer whose length only the connection tells, and close."""
        self._reader.end_stream()
        return False

    def pause_writing(self) -> None:
        """Let the request's body wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let the request's body go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # What the reader calls.

    def on_head(self, head: Head) -> bool:
        """Take the head of the answer; say whether a body follows."""
        if head.status in _INFORMATIONAL:
            return False
        answer = Response(self, head)
        self._response = answer
        has_none = self._method == b'HEAD' or head.status in _NO_BODY_STATUS
        self._resolve(answer)
        return not has_none

    def on_body(self, piece: bytes) -> None:
        """Take a part of the answer's body."""
        if self._response is not None:
            self._response.body.feed(piece)

    def on_end(self) -> None:
        """Take the end of the answer, or of an informational one."""
        if self._response is None:
            self._reader.go_on()
        else:
            self._response.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Cut the connection: what comes is no proper answer."""
        self.abort()

    # What attempts call.

    async def send(self, request: Request) -> Response | None:
        """Send a request and wait for the head of its answer.

        Returns:
            The answer, or None where the connection ended before it.
        """
        if not self.is_open:
            return None
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._response = None
        self._is_request_sent = False
        self._method = request.method
        self._reader.go_on()
        head = write_request_head(
            request.method,
            request.url,
            request.headers,
            request.framing,
        )
        if request.body.is_whole:
            await self._send_at_once(head, request)
        else:
            self._send_task = loop.create_task(
                self._send_streamed(head, request)
            )
        return await self._waiter

    def switch_reading(self, is_on: bool) -> None:
        """Read on, or pause."""
        if self._transport.is_closing():
            return
        if is_on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def release(self) -> None:
        """Go back to the pool, or be cut where anything is open."""
        answer = self._response
        is_whole = answer is not None and _allows_reuse(answer)
        if not is_whole or not self._is_request_sent or not self._is_idle:
            self.abort()
            return
        self._response = None
        self._waiter = None
        self._transport.resume_reading()
        self._pool.add_idle(self)

    def abort(self) -> None:
        """Close at once."""
        if self._send_task is not None:
            self._send_task.cancel()
            self._send_task = None
        self._transport.abort()
        self._pool.remove(self)

    def set_user_timeout(self, longest_ms: int) -> None:
        """Have the connection end where the far end acknowledges nothing.

        Args:
            longest_ms: time that sent bytes may stay unacknowledged,
                milliseconds.
        """
        self._transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            longest_ms,
        )

    def has_no_input(self) -> bool:
        """Say whether nothing, not even an end, waits to be read."""
        poller = select.poll()
        poller.register(
            self._transport.get_extra_info('socket').fileno(),
            select.POLLIN,
        )
        return not poller.poll(0)

    def _resolve(self, answer: Response | None) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    async def _send_at_once(self, head: bytes, request: Request) -> None:
        raw = [head]
        position = 0
        while True:
            piece = await request.body.read(position)
            raw.append(_encode_piece(piece, request.framing))
            if not piece:
                break
            position += 1
        request.progress.sent = True
        self._is_request_sent = True
        self._transport.write(b''.join(raw))

    async def _send_streamed(self, head: bytes, request: Request) -> None:
        request.progress.sent = True
        self._transport.write(head)
        position = 0
        try:
            while not self._is_request_sent:
                piece = await request.body.read(position)
                self._transport.write(_encode_piece(piece, request.framing))
                self._is_request_sent = not piece
                position += 1
                if self._writable is not None:
                    await self._writable
        except Exception:  # noqa: WPS424  the reader of the body sees it too
            self._transport.abort()


def _allows_reuse(answer: Response) -> bool:
    head = answer.head
    ends_connection = head.framing.until_close or not head.keep_alive
    return answer.body.is_whole and not ends_connection


def _encode_piece(piece: bytes, framing: Framing) -> bytes:
    if not framing.chunked:
        return piece
    return write_chunk(piece) if piece else LAST_CHUNK
