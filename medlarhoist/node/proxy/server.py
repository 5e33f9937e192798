"""Server: the HTTP/1.x connections that a listener accepts.

The first request in progress is served on the connection itself. Those that
were sent before its response is complete are kept in node.proxy.ahead.
"""

import asyncio
import time
from typing import Any, Final

from loguru import logger

from medlarhoist.core.head_check import HeadFault
from medlarhoist.core.headers import find_header
from medlarhoist.node.proxy.ahead import ReadAhead, replace_response
from medlarhoist.node.proxy.body import (
    BODY_READ_BYTES,
    HEAD_READ_BYTES,
    make_body_fault,
)
from medlarhoist.node.proxy.client_memory import ConnectionMemory
from medlarhoist.node.proxy.connection_owner import (
    CONNECTION_LIMIT,
    ConnectionOwner,
)
from medlarhoist.node.proxy.exchange import Exchange, Serve
from medlarhoist.node.proxy.head import parse_request_head, write_fault
from medlarhoist.node.proxy.reader import Head, MessageReader, Phase
from medlarhoist.node.proxy.sockets import (
    close_gracefully,
    has_unread_bytes,
    is_disconnected,
    reset_connection,
)

_MS_PER_SECOND: Final = 1000
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """An accepted connection and its requests in progress."""

    __slots__ = (
        '_ahead',
        '_exchange',
        '_fault',
        '_has_sent',
        '_last',
        '_memory',
        '_reader',
        '_received_at',
        '_serve',
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
        # The first request in progress and the last that was read.
        self._exchange: Exchange | None = None
        self._last: Exchange | None = None
        self._ahead = ReadAhead(listener)
        # A fault behind the requests in progress.
        self._fault: HeadFault | None = None
        # Whether bytes of the response to the first request were sent.
        self._has_sent = False
        self._received_at = float()
        self._transport: Any = None
        self._memory: Any = None
        self._write_buffer: list[bytes] = []
        self._writable: asyncio.Future[None] | None = None
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
        self._memory = ConnectionMemory(self.listener, transport, self)
        transport.max_size = HEAD_READ_BYTES
        if len(self.listener.connections) >= CONNECTION_LIMIT:
            transport.abort()
            return
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress, as their sender disconnected."""
        self.listener.connections.discard(self)
        self._memory.close()
        if self._exchange is not None:
            self._exchange.cancel()
        self._ahead.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.cancel()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, also requests behind the one in progress."""
        self._received_at = time.monotonic()
        if self._exchange is None and not self._reader.has_bytes:
            self._waiting_since = self._received_at
        self._reader.feed(received)
        if self._reader.phase is Phase.PAUSED and self._reader.has_bytes:
            self._read_ahead()
        self._memory.update()
        is_long = self._reader.phase is Phase.FIXED_LENGTH
        self._transport.max_size = (
            BODY_READ_BYTES if is_long else HEAD_READ_BYTES
        )

    def eof_received(self) -> bool:
        """Close also after a half-close, which counts as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable = asyncio.get_running_loop().create_future()
        self._memory.update()

    def resume_writing(self) -> None:
        """Wake the writers that wait."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        if self._reader.phase is Phase.PAUSED:
            self._resume_reading()

    # Called by the message reader.

    def on_head(self, head: Head) -> bool:
        """Start a task that serves the request; its body may follow."""
        exchange = Exchange(self, head, self._received_at)
        if find_header(head.headers, b'expect') is not None:
            exchange.body.ask_sender = self._ask_for_body
        if self._exchange is None:
            self._exchange = exchange
            self._has_sent = False
        elif self._last is not None and self._last.will_close:
            # The response may have begun while the head was incomplete.
            self._reader.phase = Phase.STOPPED
            return False
        else:
            self._ahead.add(exchange, self)
        self._last = exchange
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run(exchange))
        return True

    def on_body(self, piece: bytes) -> None:
        """Add a piece to the body of the last request."""
        if self._last is not None:
            self._last.body.feed(piece)

    def on_end(self) -> None:
        """End the body of the last request."""
        if self._last is not None:
            self._last.body.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Refuse a malformed head, or fail the body of the last request.

        The task of the request sends the response to a faulty body. A
        malformed head is refused when the requests before it are answered.
        """
        self.listener.malformed_requests += 1
        if self._exchange is None or self._last is None:
            self._refuse(fault)
        elif self._last.body.ended:
            self._fault = fault
        else:
            self._last.body.fail(make_body_fault(fault))

    # Called by exchanges.

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""
        self._memory.set_reading(is_on)

    def will_keep_alive(self, exchange: Exchange) -> bool:
        """Return whether the connection stays open after the response.

        It does not if the sender asked to close it, if the request has not
        been received completely, if the response has said so, or if the
        listener is draining and nothing was read behind the request.
        """
        if exchange.will_close or not exchange.head.keep_alive:
            return False
        is_last = exchange is self._last and self._fault is None
        is_leaving = self.listener.is_draining and is_last
        return exchange.body.is_whole and not is_leaving

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
        """Send the buffered bytes; continue with the next request or close."""
        self._send()
        self._exchange = None
        self._waiting_since = time.monotonic()
        if not self.will_keep_alive(exchange):
            self._close_after_response()
        elif self._ahead:
            self._take_next()
        elif self._fault is None:
            self._resume_reading()
        else:
            self._refuse(self._fault)
        self._memory.update()

    @property
    def is_receiving_body(self) -> bool:
        """Return whether the rest of the body of a request is awaited."""
        return self._reader.phase in {Phase.FIXED_LENGTH, Phase.CHUNKED}

    def update_memory(self) -> None:
        """Count again what the connection holds."""
        self._memory.update()

    def count_held(self) -> int:
        """Return the bytes that are received or wait for their turn."""
        held = self._ahead.count_held(self._exchange)
        return held + self._reader.buffered_bytes

    def give_up(self) -> None:
        """Refuse an incomplete head, or reset; free the memory at once."""
        if self._exchange is None and self._reader.buffered_bytes:
            self._refuse(HeadFault(503, 'too much memory in use'))
            return
        self._reader.fail(None)
        self._ahead.drop(self._exchange)
        self.reset()

    def break_off(self, exchange: Exchange) -> None:
        """End a response that cannot be completed.

        A failure replaces it if nothing was sent of it and later requests are
        in progress, which a reset of the connection would end.
        """
        is_sole = not self._ahead or self._has_sent
        if is_sole or self._transport.is_closing():
            self.reset()
            return
        self._write_buffer.clear()
        replace_response(exchange)

    def reset(self) -> None:
        """Close the connection at once with a TCP reset.

        The reset shows the remote end that a response is incomplete.
        """
        reset_connection(self._transport)

    def close_if_idle(self) -> None:
        """Close the connection unless it is busy or has unread bytes.

        Closing would discard the bytes, which may be a request.
        """
        if self._transport.is_closing() or self.is_busy:
            return
        if not has_unread_bytes(self._transport):
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Refuse a head that takes too long; close an idle connection."""
        if self._exchange is not None:
            return
        limits = self.listener.find_limits()
        elapsed_ms = (now - self._waiting_since) * _MS_PER_SECOND
        if self.is_write_blocked:
            if elapsed_ms > limits.idle_timeout_ms:
                self.reset()
        elif self._reader.has_bytes:
            if elapsed_ms > limits.head_timeout_ms:
                self._refuse(HeadFault(408, 'head too slow'))
        elif elapsed_ms > limits.idle_timeout_ms:
            self._transport.close()

    def _take_next(self) -> None:
        """Send what is kept of the next response, whose turn has come."""
        kept = self._ahead.pop()
        exchange = kept.exchange
        self._exchange = exchange
        self._has_sent = False
        self._write_buffer.extend(kept.pieces)
        exchange.attach(self)
        if exchange.finished:
            self.finish(exchange)
            return
        self.flush()
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Read on, unless the body of the last request is being received."""
        if self._reader.phase in {Phase.PAUSED, Phase.HEAD}:
            self.set_reading(True)
            self._read_ahead()

    def _read_ahead(self) -> None:
        """Parse the next requests; pause reading if one has to wait."""
        reader = self._reader
        while reader.phase is Phase.PAUSED and self._may_read():
            limits = self.listener.find_limits()
            reader.set_limits(limits.body_bytes, limits.head_bytes)
            reader.resume()
        if reader.phase is Phase.PAUSED and reader.has_bytes:
            self.set_reading(False)

    def _may_read(self) -> bool:
        """Return whether to parse the next request now."""
        if self._writable is not None:
            return False
        if self._exchange is None or self._last is None:
            return True
        return self._reader.has_bytes and self._ahead.may_read(self._last)

    def _ask_for_body(self) -> None:
        """Send 100 Continue, unless the response has begun."""
        if self._exchange is not None and not self._exchange.started:
            self._transport.write(_CONTINUE)

    def _refuse(self, fault: HeadFault) -> None:
        self._transport.write(write_fault(fault))
        self._close_after_response()

    def _close_after_response(self) -> None:
        if self._transport.is_closing():
            return
        self._ahead.cancel()
        self._reader.fail(None)
        self._waiting_since = time.monotonic()
        self.set_reading(True)
        close_gracefully(self._transport, lambda: self._received_at)

    def flush(self) -> None:
        """Send the buffered bytes, unless they are held back."""
        if self._has_sent or not self._ahead.holds_back(self._write_buffer):
            self._send()

    def _send(self) -> None:
        if self._write_buffer:
            self._has_sent = True
            self._transport.write(b''.join(self._write_buffer))
            self._write_buffer.clear()

    async def _run(self, exchange: Exchange) -> None:
        """Serve a request whose sender is still connected.

        After a pause of the process, requests are read of senders that left
        in the meantime.
        """
        if self._transport.is_closing() or is_disconnected(self._transport):
            self.reset()
            return
        try:
            await self._serve(exchange)
        except Exception:  # noqa: WPS424  a fault must not stop the node
            logger.exception('proxy: unhandled exception in a request')
            exchange.abort()
        finally:
            if not exchange.finished:
                exchange.abort()
