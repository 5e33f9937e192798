"""Server: the HTTP/1.x connections that a listener accepts."""

import asyncio
import select
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from loguru import logger

from medlarhoist.core.head_check import Framing, HeadFault
from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.body import (
    READ_BYTES,
    BodyTooLarge,
    IncompleteBody,
)
from medlarhoist.node.proxy.exchange import CLOSE, Exchange
from medlarhoist.node.proxy.head import (
    REASON_PHRASES,
    parse_request_head,
    write_response_head,
)
from medlarhoist.node.proxy.reader import Head, MessageReader, Phase
from medlarhoist.node.proxy.sockets import poll_events

CLOSE_LINGER_S: Final = 1.0
# Callers that send for longer after their response are cut off.
MAX_CLOSE_LINGER_S: Final = 10.0
# Well below half a second, after which no request may start for a caller that
# has left.
DISCONNECT_CHECK_S: Final = 0.1
CONNECTION_LIMIT: Final = 4096
_MS_PER_SECOND: Final = 1000
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_DISCONNECTED: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


Serve = Callable[[Exchange], Awaitable[None]]
FindLimits = Callable[[], Limits]


class ConnectionOwner(Protocol):
    """The listener that a connection was accepted by.

    Args:
        connections: the open connections.
        is_draining: whether connections close after their current request.
        malformed_requests: number of malformed or too large requests.
        find_limits: returns the limits in force for received requests.
    """

    connections: set['ServerConnection']
    is_draining: bool
    malformed_requests: int
    find_limits: FindLimits


class ServerConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """An accepted connection, which serves one request at a time."""

    __slots__ = (
        '_disconnect_check',
        '_exchange',
        '_reader',
        '_serve',
        '_task',
        '_transport',
        '_waiting_since',
        '_writable',
        '_write_buffer',
        'listener',
    )

    def __init__(self, listener: ConnectionOwner, serve: Serve) -> None:
        """Create a connection that is not open yet.

        Args:
            listener: the listener that accepts it.
            serve: coroutine function that handles each request.
        """
        self.listener = listener
        self._serve = serve
        limits = listener.find_limits()
        self._reader = MessageReader(
            parse_request_head,
            self,
            Phase.HEAD,
            limits.body_bytes,
            limits.head_bytes,
        )
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._transport: Any = None
        self._write_buffer: list[bytes] = []
        self._writable: asyncio.Future[None] | None = None
        # Set while reading is paused, as the loop reports no disconnect then.
        self._disconnect_check: asyncio.TimerHandle | None = None
        # When the wait for a request, or for the rest of its head, began.
        self._waiting_since = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress, or its response unsent."""
        is_sent = not self._transport.get_write_buffer_size()
        return self._exchange is not None or not is_sent

    # Called by asyncio.

    def connection_made(self, transport: Any) -> None:
        """Register with the listener, or abort at CONNECTION_LIMIT."""
        self._transport = transport
        transport.max_size = READ_BYTES
        if len(self.listener.connections) >= CONNECTION_LIMIT:
            transport.abort()
            return
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its sender disconnected."""
        self.listener.connections.discard(self)
        if self._exchange is not None:
            self._exchange.body.fail(IncompleteBody())
        if self._task is not None:
            self._task.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.cancel()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; pause reading after a pipelined request."""
        if self._exchange is None and not self._reader.has_bytes:
            self._waiting_since = time.monotonic()
        self._reader.feed(received)
        if self._reader.phase is Phase.PAUSED and self._reader.has_bytes:
            self.set_reading(False)

    def eof_received(self) -> bool:
        """Close also after a half-close, which counts as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake the writers that wait."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Called by the message reader.

    def on_head(self, head: Head) -> bool:
        """Start a task that serves the request; its body may follow."""
        self._exchange = Exchange(self, head)
        if any(name == b'expect' for name, _ in head.headers):
            self._exchange.body.ask_sender = self._ask_for_body
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run(self._exchange))
        return True

    def on_body(self, piece: bytes) -> None:
        """Add a piece to the request's body."""
        if self._exchange is not None:
            self._exchange.body.feed(piece)

    def on_end(self) -> None:
        """End the request's body."""
        if self._exchange is not None:
            self._exchange.body.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Refuse a malformed head, or fail the body of the request.

        The task of the request sends the response to a faulty body.
        """
        self.listener.malformed_requests += 1
        if self._exchange is None:
            self._refuse(fault)
            return
        too_large = fault.status == 413
        exc = BodyTooLarge() if too_large else IncompleteBody(fault.reason)
        self._exchange.body.fail(exc)

    # Called by exchanges.

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""
        if self._disconnect_check is not None:
            self._disconnect_check.cancel()
            self._disconnect_check = None
        if self._transport.is_closing():
            return
        if is_on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
            self._schedule_disconnect_check()

    def will_keep_alive(self, exchange: Exchange) -> bool:
        """Return whether the connection stays open after the response.

        It does not if the sender asked to close it, if the request has not
        been received completely, or if the listener is draining.
        """
        return (
            exchange.head.keep_alive
            and exchange.body.is_whole
            and not self.listener.is_draining
        )

    @property
    def is_write_blocked(self) -> bool:
        """Return whether writes wait, as the remote end reads too slowly."""
        return self._writable is not None

    def buffer(self, raw: bytes) -> None:
        """Buffer bytes until the next write, flush or finish."""
        self._write_buffer.append(raw)

    async def write(self, raw: bytes) -> None:
        """Send buffered and given bytes; wait while too many are unsent."""
        self._write_buffer.append(raw)
        self.flush()
        if self._writable is not None:
            await self._writable

    def finish(self, exchange: Exchange) -> None:
        """Send the buffered bytes; read the next request or close."""
        self.flush()
        self._exchange = None
        self._task = None
        self._waiting_since = time.monotonic()
        if not self.will_keep_alive(exchange):
            self._close_after_response()
            return
        self.set_reading(True)
        limits = self.listener.find_limits()
        self._reader.set_limits(limits.body_bytes, limits.head_bytes)
        self._reader.resume()

    def reset(self) -> None:
        """Close the connection at once with a TCP reset.

        The reset shows the remote end that a response is incomplete.
        """
        if self._transport.is_closing():
            self._transport.abort()
            return
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless it is busy or has unread bytes.

        Closing would discard the bytes, which may be a request.
        """
        if self._transport.is_closing() or self.is_busy:
            return
        if not poll_events(self._transport, select.POLLIN):
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Refuse a head that takes too long; close an idle connection."""
        if self._exchange is not None:
            return
        limits = self.listener.find_limits()
        elapsed_ms = (now - self._waiting_since) * _MS_PER_SECOND
        if self._reader.has_bytes:
            if elapsed_ms > limits.head_timeout_ms:
                self._refuse(HeadFault(408, 'head too slow'))
        elif elapsed_ms > limits.idle_timeout_ms:
            self._transport.close()

    def _ask_for_body(self) -> None:
        """Send 100 Continue, unless the response has begun."""
        if self._exchange is not None and not self._exchange.started:
            self._transport.write(_CONTINUE)

    def _refuse(self, fault: HeadFault) -> None:
        content = fault.reason.encode()
        phrase = REASON_PHRASES[fault.status]
        headers = (CLOSE,)
        framing = Framing(len(content), declared=True)
        head = write_response_head(fault.status, phrase, headers, framing)
        self._transport.write(head + content)
        self._close_after_response()

    def _is_disconnected(self) -> bool:
        """Return whether the remote end has closed, also behind unread bytes."""
        found = poll_events(self._transport, select.POLLRDHUP)
        return bool(found & _DISCONNECTED)

    def _schedule_disconnect_check(self) -> None:
        self._disconnect_check = asyncio.get_running_loop().call_later(
            DISCONNECT_CHECK_S,
            self._check_disconnect,
        )

    def _check_disconnect(self) -> None:
        """Abort a connection that the remote end closed while it was paused."""
        self._disconnect_check = None
        if self._transport.is_closing():
            return
        if self._is_disconnected():
            self._transport.abort()
        else:
            self._schedule_disconnect_check()

    def _close_after_response(self) -> None:
        """Close for writing now, and completely once the remote end is silent.

        Closing at once would reset the connection if the remote end still
        sends, which might discard the response before it is read.
        """
        if self._transport.is_closing():
            return
        self._reader.phase = Phase.STOPPED
        self._waiting_since = time.monotonic()
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self.set_reading(True)
        self._linger(self._waiting_since + MAX_CLOSE_LINGER_S)

    def _linger(self, until: float) -> None:
        """Close if nothing has arrived for CLOSE_LINGER_S, else wait again.

        Args:
            until: when the connection is closed even if bytes still arrive,
                seconds of the monotonic clock.
        """
        now = time.monotonic()
        left_s = min(self._waiting_since + CLOSE_LINGER_S, until) - now
        if left_s <= 0:
            self._transport.close()
        elif not self._transport.is_closing():
            loop = asyncio.get_running_loop()
            loop.call_later(left_s, self._linger, until)

    def flush(self) -> None:
        """Send the buffered bytes."""
        if self._write_buffer:
            self._transport.write(b''.join(self._write_buffer))
            self._write_buffer.clear()

    async def _run(self, exchange: Exchange) -> None:
        """Serve a request whose sender is still connected.

        After a pause of the process, requests are read of senders that left
        in the meantime.
        """
        if self._transport.is_closing() or self._is_disconnected():
            self.reset()
            return
        try:
            await self._serve(exchange)
        except asyncio.CancelledError:
            self.reset()
            raise
        except Exception:  # noqa: WPS424  a fault must not stop the node
            logger.exception('proxy: unhandled exception in a request')
            self.reset()
        finally:
            if not exchange.finished:
                self.reset()
