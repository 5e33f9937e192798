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

from medlarhoist.core.head_check import RESPONSE_LIMIT_BYTES, Framing, HeadFault
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


class Owner(Protocol):
    """The pool that a connection belongs to."""

    opened: int

    def give_back(self, conn: 'ClientConnection') -> None:
        """Keep an idle connection for the next call."""

    def forget(self, conn: 'ClientConnection') -> None:
        """Drop a connection that ended."""


class Answer:
    """The head of an answer and its body to come.

    Args:
        head: head of the answer.
        body: body of the answer.
        ended_at: when all of it had come, seconds of the monotonic clock.
    """

    __slots__ = ('_conn', '_on_settled', 'body', 'ended_at', 'head')

    def __init__(self, conn: 'ClientConnection', head: Head) -> None:
        """Start an answer."""
        self._conn = conn
        self._on_settled: Callable[[bool], None] | None = None
        self.head = head
        self.ended_at = float()
        self.body = Body(conn.switch_reading)

    def end(self) -> None:
        """Take the end of the body."""
        self.ended_at = time.monotonic()
        self.body.end()
        self._settle()

    def fail(self, fault: Exception) -> None:
        """Take that the rest of the body will not come."""
        self.body.fail(fault)
        self._settle()

    def close(self) -> None:
        """Give the connection back, or cut it where anything is left."""
        self._conn.release()
        self.fail(ShortBody())

    def discard(self) -> None:
        """Cut the connection: the answer belongs to another request."""
        self._conn.cut()
        self.fail(ShortBody())

    def on_settled(self, settle: Callable[[bool], None]) -> None:
        """Call back once all has come or will not come.

        Args:
            settle: told whether the answer came whole.
        """
        self._on_settled = settle
        if self.body.ended:
            self._settle()

    def _settle(self) -> None:
        if self._on_settled is not None:
            self._on_settled(self.body.is_whole)
            self._on_settled = None


class ClientConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """One connection that this node opened."""

    __slots__ = (
        '_answer',
        '_method',
        '_pool',
        '_pump',
        '_reader',
        '_request_sent',
        '_transport',
        '_waiter',
        '_writable',
        'idle_since',
    )

    def __init__(self, pool: Owner) -> None:
        """Belong to a pool."""
        self._pool = pool
        self._reader = MessageReader(
            parse_answer_head,
            self,
            Phase.HOLD,
            RESPONSE_LIMIT_BYTES,
        )
        self._transport: Any = None
        self._waiter: asyncio.Future[Answer | None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._answer: Answer | None = None
        self._pump: asyncio.Task[None] | None = None
        self._method = b''
        self._request_sent = False
        self.idle_since = float()

    @property
    def is_open(self) -> bool:
        """Say whether the connection may be used."""
        return not self._transport.is_closing()

    @property
    def _is_quiet(self) -> bool:
        is_held = self._reader.phase is Phase.HOLD
        return self.is_open and is_held and not self._reader.has_bytes

    # What asyncio calls.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        self._pool.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer in progress: it is short."""
        self._pool.forget(self)
        if self._answer is not None:
            self._answer.fail(ShortBody())
        self._wake(None)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def data_received(self, received: bytes) -> None:
        """Take bytes; a connection that waits for none is cut."""
        if self._reader.phase is Phase.HOLD:
            self.cut()
            return
        self._reader.feed(received)
        if self._reader.phase is Phase.HOLD and self._reader.has_bytes:
            self.cut()

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
        answer = Answer(self, head)
        self._answer = answer
        has_none = self._method == b'HEAD' or head.status in _NO_BODY_STATUS
        self._wake(answer)
        return not has_none

    def on_body(self, piece: bytes) -> None:
        """Take a part of the answer's body."""
        if self._answer is not None:
            self._answer.body.feed(piece)

    def on_end(self) -> None:
        """Take the end of the answer, or of an informational one."""
        if self._answer is None:
            self._reader.go_on()
        else:
            self._answer.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Cut the connection: what comes is no proper answer."""
        self.cut()

    # What attempts call.

    async def send(self, request: Request) -> Answer | None:
        """Send a request and wait for the head of its answer.

        Returns:
            The answer, or None where the connection ended before it.
        """
        if not self.is_open:
            return None
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._answer = None
        self._request_sent = False
        self._method = request.method
        self._reader.go_on()
        head = write_request_head(
            request.method,
            request.url,
            request.headers,
            request.framing,
        )
        if request.body.is_whole:
            await self._send_whole(head, request)
        else:
            self._pump = loop.create_task(self._send_parts(head, request))
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
        answer = self._answer
        is_whole = answer is not None and _allows_reuse(answer)
        if not is_whole or not self._request_sent or not self._is_quiet:
            self.cut()
            return
        self._answer = None
        self._waiter = None
        self._transport.resume_reading()
        self._pool.give_back(self)

    def cut(self) -> None:
        """Close at once."""
        if self._pump is not None:
            self._pump.cancel()
            self._pump = None
        self._transport.abort()
        self._pool.forget(self)

    def limit_silence(self, longest_ms: int) -> None:
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

    def is_silent(self) -> bool:
        """Say whether nothing, not even an end, waits to be read."""
        poller = select.poll()
        poller.register(
            self._transport.get_extra_info('socket').fileno(),
            select.POLLIN,
        )
        return not poller.poll(0)

    def _wake(self, answer: Answer | None) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    async def _send_whole(self, head: bytes, request: Request) -> None:
        raw = [head]
        position = 0
        while True:
            piece = await request.body.read(position)
            raw.append(_frame(piece, request.framing))
            if not piece:
                break
            position += 1
        request.progress.sent = True
        self._request_sent = True
        self._transport.write(b''.join(raw))

    async def _send_parts(self, head: bytes, request: Request) -> None:
        request.progress.sent = True
        self._transport.write(head)
        position = 0
        try:
            while not self._request_sent:
                piece = await request.body.read(position)
                self._transport.write(_frame(piece, request.framing))
                self._request_sent = not piece
                position += 1
                if self._writable is not None:
                    await self._writable
        except Exception:  # noqa: WPS424  the reader of the body sees it too
            self._transport.abort()


def _allows_reuse(answer: Answer) -> bool:
    head = answer.head
    ends_connection = head.framing.until_close or not head.keep_alive
    return answer.body.is_whole and not ends_connection


def _frame(piece: bytes, framing: Framing) -> bytes:
    if not framing.chunked:
        return piece
    return write_chunk(piece) if piece else LAST_CHUNK
