"""Server: one accepted connection and the listener it came from."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from loguru import logger

from medlarhoist.core.compile import NO_LIMITS
from medlarhoist.core.head_check import Framing, HeadFault
from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.body import BodyTooLarge, ShortBody
from medlarhoist.node.proxy.exchange import CLOSE, Exchange
from medlarhoist.node.proxy.head import (
    REASONS,
    parse_request_head,
    write_answer_head,
)
from medlarhoist.node.proxy.reader import Head, MessageReader, Phase

CLOSE_LINGER_S: Final = 1.0
CONNECTION_LIMIT: Final = 4096
BACKLOG: Final = 1024
_MS_PER_SECOND: Final = 1000
_LINGER_OFF: Final = struct.pack('ii', 1, 0)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


Serve = Callable[[Exchange], Awaitable[None]]
FindLimits = Callable[[], Limits]


def find_no_limits() -> Limits:
    """Return the limits that hold where nothing is configured."""
    return NO_LIMITS


class ServerConnection(asyncio.Protocol):  # noqa: WPS214  a protocol
    """One accepted connection; it serves one request at a time."""

    __slots__ = (
        '_exchange',
        '_held',
        '_reader',
        '_serve',
        '_since',
        '_task',
        '_transport',
        '_writable',
        'listener',
    )

    def __init__(self, listener: 'Listener', serve: Serve) -> None:
        """Serve the requests of one connection."""
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
        self._held: list[bytes] = []
        self._writable: asyncio.Future[None] | None = None
        self._since = time.monotonic()

    @property
    def is_busy(self) -> bool:
        """Say whether a request is in progress."""
        return self._exchange is not None

    # What asyncio calls.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        if len(self.listener.connections) >= CONNECTION_LIMIT:
            transport.abort()
            return
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its caller is gone."""
        self.listener.connections.discard(self)
        if self._exchange is not None:
            self._exchange.body.fail(ShortBody())
        if self._task is not None:
            self._task.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.cancel()

    def data_received(self, received: bytes) -> None:
        """Take bytes from the caller."""
        if self._exchange is None and not self._reader.has_bytes:
            self._since = time.monotonic()
        self._reader.feed(received)
        if self._reader.phase is Phase.HOLD and self._reader.has_bytes:
            self.switch_reading(False)

    def eof_received(self) -> bool:
        """Close; a caller that half-closes is taken for gone."""
        return False

    def pause_writing(self) -> None:
        """Let writers wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # What the reader calls.

    def on_head(self, head: Head) -> bool:
        """Start the exchange of a request."""
        self._exchange = Exchange(self, head)
        if any(name == b'expect' for name, _ in head.headers):
            self._transport.write(_CONTINUE)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run(self._exchange))
        return True

    def on_body(self, piece: bytes) -> None:
        """Pass on a part of the request's body."""
        if self._exchange is not None:
            self._exchange.body.feed(piece)

    def on_end(self) -> None:
        """Pass on the end of the request."""
        if self._exchange is not None:
            self._exchange.body.end()

    def on_fault(self, fault: HeadFault) -> None:
        """Refuse a malformed request and close the connection."""
        self.listener.malformed_requests += 1
        if self._exchange is None:
            self._refuse(fault)
            return
        too_large = fault.status == 413
        exc = BodyTooLarge() if too_large else ShortBody(fault.reason)
        self._exchange.body.fail(exc)

    # What exchanges call.

    def switch_reading(self, is_on: bool) -> None:
        """Read on from the caller, or pause."""
        if self._transport.is_closing():
            return
        if is_on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def will_keep(self, exchange: Exchange) -> bool:
        """Say whether the connection stays after this answer."""
        return (
            exchange.head.keep_alive
            and exchange.body.is_whole
            and not self.listener.is_draining
        )

    @property
    def is_held_up(self) -> bool:
        """Say whether the caller reads more slowly than the answer comes."""
        return self._writable is not None

    def buffer(self, raw: bytes) -> None:
        """Keep bytes to send them with the next ones."""
        self._held.append(raw)

    async def write(self, raw: bytes) -> None:
        """Send bytes; waits while too many are on their way."""
        self._held.append(raw)
        self.flush()
        if self._writable is not None:
            await self._writable

    def finish(self, exchange: Exchange) -> None:
        """End the answer and go on with the next request."""
        self.flush()
        self._exchange = None
        self._task = None
        self._since = time.monotonic()
        if not self.will_keep(exchange):
            self._close_gently()
            return
        self.switch_reading(True)
        limits = self.listener.find_limits()
        self._reader.set_limits(limits.body_bytes, limits.head_bytes)
        self._reader.go_on()

    def reset(self) -> None:
        """Cut the connection at once."""
        if self._transport.is_closing():
            self._transport.abort()
            return
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close where no request is in progress."""
        if self._exchange is None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Close where a head takes too long, or nothing comes."""
        if self._exchange is not None:
            return
        limits = self.listener.find_limits()
        silent_ms = (now - self._since) * _MS_PER_SECOND
        if self._reader.has_bytes:
            if silent_ms > limits.head_timeout_ms:
                self._refuse(HeadFault(408, 'head too slow'))
        elif silent_ms > limits.idle_timeout_ms:
            self._transport.close()

    def _refuse(self, fault: HeadFault) -> None:
        content = fault.reason.encode()
        phrase = REASONS[fault.status]
        headers = (CLOSE,)
        framing = Framing(len(content), declared=True)
        head = write_answer_head(fault.status, phrase, headers, framing)
        self._transport.write(head + content)
        self._close_gently()

    def _close_gently(self) -> None:
        """Let the caller read the answer before bytes it still sends fail."""
        if self._transport.is_closing():
            return
        self._reader.phase = Phase.STOPPED
        self._since = time.monotonic()
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self.switch_reading(True)
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_LINGER_S, self._transport.close)

    def flush(self) -> None:
        """Send what is held back."""
        if self._held:
            self._transport.write(b''.join(self._held))
            self._held.clear()

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._serve(exchange)
        except asyncio.CancelledError:
            self.reset()
            raise
        except Exception:  # noqa: WPS424  a fault must not stop the node
            logger.exception('proxy: a request failed inside the node')
            self.reset()
        finally:
            if not exchange.finished:
                self.reset()


class Listener:
    """One listening address and its connections.

    Args:
        connections: the open connections.
        is_draining: whether connections close after their request.
        faults: malformed requests that were refused.
        find_limits: returns the limits of callers in force.
        port: port it listens on, zero before the start.
    """

    __slots__ = (
        '_serve',
        '_server',
        '_sock',
        'connections',
        'malformed_requests',
        'find_limits',
        'is_draining',
        'port',
    )

    def __init__(
        self,
        serve: Serve,
        find_limits: FindLimits = find_no_limits,
    ) -> None:
        """Serve requests with a coroutine."""
        self._serve = serve
        self.find_limits = find_limits
        self._server: asyncio.Server | None = None
        self._sock: socket.socket | None = None
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.malformed_requests = 0
        self.port = 0

    async def start(self, address: str) -> None:
        """Listen on host:port.

        Raises:
            OSError: the address cannot be listened on.
        """
        host, _, port = address.rpartition(':')
        self._sock = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._sock.setblocking(False)
        self.port = int(self._sock.getsockname()[1])
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            sock=self._sock,
            backlog=BACKLOG,
        )

    async def close(self) -> None:
        """Take no more connections, but those that wait to be accepted.

        The system would reset these, and with them requests that their
        callers have sent already.
        """
        if self._server is None or self._sock is None:
            return
        waiting = _accept_all(self._sock)
        self._server.close()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            await loop.connect_accepted_socket(self._accept, sock)

    def sweep(self, now: float) -> None:
        """Close connections that stand still."""
        for conn in tuple(self.connections):
            conn.sweep(now)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in tuple(self.connections):
            conn.close_if_idle()

    def reset(self) -> None:
        """Cut all connections."""
        for conn in tuple(self.connections):
            conn.reset()

    def _accept(self) -> ServerConnection:
        return ServerConnection(self, self._serve)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    waiting: list[socket.socket] = []
    while True:
        try:
            sock, _ = listening.accept()
        except OSError:
            return waiting
        sock.setblocking(False)
        waiting.append(sock)
