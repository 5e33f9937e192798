"""Client: one HTTP/1.1 connection to a node or a target.

A connection has one request in progress at a time. It is reused only after
a complete request and a complete response, and aborted after anything else.
"""

import asyncio
import select
import socket
from collections.abc import Sequence
from typing import Any, Final, Protocol

from medlarhoist.core.head_check import RESPONSE_LIMIT_BYTES, Framing, HeadFault
from medlarhoist.core.headers import Header, add_headers
from medlarhoist.node.proxy.attempt import Request
from medlarhoist.node.proxy.body import READ_BYTES, LostConnection
from medlarhoist.node.proxy.head import (
    LAST_CHUNK,
    parse_response_head,
    write_chunk,
    write_request_head,
)
from medlarhoist.node.proxy.reader import Head, MessageReader, Phase
from medlarhoist.node.proxy.response import Response
from medlarhoist.node.proxy.sockets import poll_events

_INFORMATIONAL: Final = range(100, 200)
# Three retransmissions of a lost packet. The kernel ends a connection without
# acknowledgment for longer, in time for another attempt of its call.
USER_TIMEOUT_MS: Final = 600
# Informational responses before one response; more are a fault of the sender.
INFORMATIONAL_LIMIT: Final = 16
_CONTINUE_STATUS: Final = 100
_SWITCH_STATUS: Final = 101
_EXPECT_CONTINUE: Final = (b'expect', b'100-continue')
_NO_BODY_STATUS: Final = frozenset((204, 304))


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to.

    Args:
        opened: connections opened so far.
    """

    opened: int

    def add_idle(self, conn: 'ClientConnection') -> None:
        """Keep an idle connection for a later request."""

    def remove(self, conn: 'ClientConnection') -> None:
        """Remove a closed or aborted connection."""

    def report_malformed(self, caller_id: str, reason: str) -> None:
        """Report bytes that are no response, or are in excess of one.

        Args:
            caller_id: the caller's id of the request, empty on a connection
                without a request.
            reason: what is wrong with them.
        """


class ClientConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """A connection that this node opened.

    Args:
        fault: why the response is malformed, empty if it is not.
        idle_since: when it was last put into its pool, seconds of the
            monotonic clock.
    """

    __slots__ = (
        '_asked',
        '_caller_id',
        '_informational',
        '_is_request_sent',
        '_method',
        '_pool',
        '_reader',
        '_response',
        '_send_task',
        '_transport',
        '_waiter',
        '_writable',
        'fault',
        'idle_since',
    )

    def __init__(self, pool: ConnectionOwner) -> None:
        """Create an unconnected client of a pool."""
        self._pool = pool
        self._reader = MessageReader(
            parse_response_head,
            self,
            Phase.PAUSED,
            RESPONSE_LIMIT_BYTES,
        )
        self._transport: Any = None
        self._waiter: asyncio.Future[Response | None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._response: Response | None = None
        self._send_task: asyncio.Task[None] | None = None
        # Set while a request waits until the receiver asks for its body.
        self._asked: asyncio.Future[None] | None = None
        self._method = b''
        self._caller_id = ''
        self._informational = 0
        self._is_request_sent = False
        self.fault = ''
        self.idle_since = float()

    @property
    def is_open(self) -> bool:
        """Return whether the connection is not closing."""
        return not self._transport.is_closing()

    @property
    def _is_idle(self) -> bool:
        is_held = self._reader.phase is Phase.PAUSED
        return self.is_open and is_held and not self._reader.has_bytes

    # Called by asyncio.

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        transport.max_size = READ_BYTES
        self._pool.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response in progress, which is incomplete."""
        self._pool.remove(self)
        if self._response is not None:
            self._response.fail(LostConnection())
        self._resolve(None)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def data_received(self, received: bytes) -> None:
        """Parse bytes, or abort the connection if it expects none.

        Bytes outside a response would be read as the response to the next
        request.
        """
        if self._reader.phase is not Phase.PAUSED:
            self._reader.feed(received)
            if self._reader.phase is not Phase.PAUSED:
                return
            if not self._reader.has_bytes:
                return
        self._pool.report_malformed(self._caller_id, 'bytes after a response')
        self.abort()

    def eof_received(self) -> bool:
        """End a response that lasts until the connection closes, and close."""
        self._reader.handle_eof()
        return False

    def pause_writing(self) -> None:
        """Pause sending the request's body."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume sending the request's body."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Called by the message reader.

    def on_head(self, head: Head) -> bool:
        """Handle the head of a response; return whether a body follows."""
        if head.status in _INFORMATIONAL:
            self._handle_informational(head.status)
            return False
        response = Response(self, head)
        self._response = response
        has_no_body = self._method == b'HEAD' or head.status in _NO_BODY_STATUS
        self._resolve(response)
        return not has_no_body

    def on_body(self, piece: bytes) -> None:
        """Handle a piece of the response's body."""
        if self._response is not None:
            self._response.body.feed(piece)

    def on_end(self) -> None:
        """Handle the end of the response, or of an informational one."""
        if self._response is None:
            self._reader.resume()
        else:
            self._response.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Abort the connection, as the response is malformed."""
        self.fault = fault.reason
        self._pool.report_malformed(self._caller_id, fault.reason)
        self.abort()

    # Called by attempts.

    async def send(self, request: Request) -> Response | None:
        """Send a request and wait for the head of its response.

        Returns:
            The response, or None if the connection failed before it.
        """
        if not self.is_open:
            return None
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._response = None
        self._is_request_sent = False
        self._method = request.method
        self._caller_id = request.caller_id
        self._informational = 0
        self._reader.resume()
        if request.body.is_short:
            await self._send_at_once(request)
        else:
            self._asked = loop.create_future()
            if not request.waits_to_send:
                self._resume_sending()
            self._send_task = loop.create_task(self._send_streamed(request))
        return await self._waiter

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""
        if self._transport.is_closing():
            return
        if is_on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def release(self) -> None:
        """Return to the pool, or abort if the connection cannot be reused.

        It cannot if the request or the response is incomplete, if the response
        announces the end of the connection, or if unexpected bytes arrived.
        """
        response = self._response
        is_reusable = response is not None and _allows_reuse(response)
        if not is_reusable or not self._is_request_sent or not self._is_idle:
            self.abort()
            return
        if self._send_task is not None:
            self._send_task = None
            self.set_user_timeout(USER_TIMEOUT_MS)
        self._response = None
        self._waiter = None
        self._caller_id = ''
        self._transport.resume_reading()
        self._pool.add_idle(self)

    def abort(self) -> None:
        """Close at once, without waiting for data in progress."""
        if self._send_task is not None:
            self._send_task.cancel()
            self._send_task = None
        self._transport.abort()
        self._pool.remove(self)

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Set TCP_USER_TIMEOUT, which ends a connection without acknowledgment.

        Args:
            timeout_ms: time that bytes may stay unacknowledged, or unsent for
                lack of room at the receiver, milliseconds; zero for no limit.
        """
        try:
            self._transport.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                timeout_ms,
            )
        except OSError:
            # The remote end has reset the connection.
            self.abort()

    def has_no_input(self) -> bool:
        """Return whether nothing is to be read from the socket.

        An idle connection with unread bytes, or closed by the remote end,
        cannot be reused.
        """
        return not poll_events(self._transport, select.POLLIN)

    def _resolve(self, response: Response | None) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)

    def _handle_informational(self, status: int) -> None:
        self._informational += 1
        if self._informational > INFORMATIONAL_LIMIT:
            fault = HeadFault(502, 'too many informational responses')
            self._reader.fail(fault)
        elif status == _SWITCH_STATUS:
            # No request asks for it, and what follows is no HTTP/1.1.
            self._reader.fail(HeadFault(502, 'unasked switch of protocols'))
        elif status == _CONTINUE_STATUS:
            self._resume_sending()

    def _resume_sending(self) -> None:
        if self._asked is not None and not self._asked.done():
            self._asked.set_result(None)

    async def _send_at_once(self, request: Request) -> None:
        parts = [_write_head(request, request.headers)]
        position = 0
        while True:
            piece = await request.body.read(position)
            parts.append(_encode_piece(piece, request.framing))
            if not piece:
                break
            position += len(piece)
        request.progress.sent = True
        self._is_request_sent = True
        self._transport.write(b''.join(parts))

    async def _send_streamed(self, request: Request) -> None:
        headers = request.headers
        if request.waits_to_send:
            headers = add_headers(headers, (_EXPECT_CONTINUE,))
        request.progress.sent = True
        self._transport.write(_write_head(request, headers))
        if self._asked is not None:
            await self._asked
        # A receiver that reads slowly is no lost one; the deadline ends it.
        self.set_user_timeout(0)
        position = 0
        try:
            while not self._is_request_sent:
                piece = await request.body.read(position)
                self._transport.write(_encode_piece(piece, request.framing))
                self._is_request_sent = not piece
                position += len(piece)
                if self._writable is not None:
                    await self._writable
        except Exception:  # noqa: WPS424  the body keeps it as its fault
            self._transport.abort()


def _write_head(request: Request, headers: Sequence[Header]) -> bytes:
    return write_request_head(
        request.method,
        request.url,
        headers,
        request.framing,
    )


def _allows_reuse(response: Response) -> bool:
    head = response.head
    ends_connection = head.framing.until_close or not head.keep_alive
    return response.body.is_whole and not ends_connection


def _encode_piece(piece: bytes, framing: Framing) -> bytes:
    if not framing.chunked:
        return piece
    return write_chunk(piece) if piece else LAST_CHUNK
