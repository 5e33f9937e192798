"""HTTP server on circuits.web with coroutines as request handlers.

Each listener has a circuits channel of its own. A coroutine handles each
request, because a waiting circuits task would keep the loop busy. A disconnect
cancels the coroutine of the connection.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Container
from typing import Any, Final
from urllib.parse import parse_qs

from circuits import Component, handler
from circuits.net.events import close
from circuits.net.events import read as read_event
from circuits.net.events import write as write_event
from circuits.web.events import response
from circuits.web.servers import BaseServer
from loguru import logger
from msgspec import DecodeError, Struct, ValidationError

from medlarhoist.utils.framing import Framer, Refusal
from medlarhoist.utils.loop import Host

# What decoding a body as JSON raises; it recurses into nested values.
JSON_ERRORS: Final = (
    DecodeError,
    ValidationError,
    UnicodeDecodeError,
    RecursionError,
)
JSON_CONTENT_TYPE: Final = 'application/json'
CONNECTIONS_LIMIT: Final = 1024
# Bytes of all requests of a listener that are being received or handled.
PENDING_LIMIT_BYTES: Final = 8_388_608
MAX_IDLE_SECONDS: Final = 60.0
SWEEP_INTERVAL_SECONDS: Final = 5.0
STOP_TIMEOUT_SECONDS: Final = 10.0
STOP_POLL_INTERVAL_SECONDS: Final = 0.01
_GUARD_PRIORITY: Final = 10.0


class WebRequest(Struct, frozen=True, kw_only=True):
    """A complete HTTP request.

    Args:
        method: upper-case HTTP method.
        path: path without the query.
        query: first value of each query parameter.
        headers: header values by lower-case name.
        body: complete body.
        peer: IP address of the client.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str


class WebResponse(Struct, frozen=True, kw_only=True):
    """Response to a WebRequest.

    Args:
        status: HTTP status code.
        body: complete body.
        content_type: media type of the body.
        headers: additional header values by name.
    """

    status: int = 200
    body: bytes = b''
    content_type: str = JSON_CONTENT_TYPE
    headers: dict[str, str] = {}


Respond = Callable[[WebRequest], Awaitable[WebResponse]]
OnStop = Callable[[], None]


class _CheckedRequest(bytes):
    """Bytes of a complete request that passed the checks of _Guard."""


class _Listener(BaseServer):
    """The circuits.web server without its banner and signal handling."""

    @handler('ready', override=True)
    def _on_ready(self, server: Any, bind: Any) -> None:
        logger.info('web: {} listens on {}:{}', self.channel, *bind)

    @handler('signal', override=True)
    def _on_signal(self, *args: Any) -> None:
        """Ignore signals; the process handles them."""


class _Guard(Component):
    """Passes only complete and well-formed requests on to circuits.web."""

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        self._framers: dict[Any, Framer] = {}
        self._last_read: dict[Any, float] = {}
        self._pending: dict[Any, int] = {}
        self._pending_bytes = 0

    def sweep(self, in_progress: Container[Any]) -> None:
        """Close connections without received data for MAX_IDLE_SECONDS.

        Args:
            in_progress: sockets whose request is still being handled; their
                connections stay open.
        """
        limit = time.monotonic() - MAX_IDLE_SECONDS
        for sock, last_read in tuple(self._last_read.items()):
            if last_read < limit and sock not in in_progress:
                self.fire(close(sock))

    @handler('connect')
    def _on_connect(self, sock: Any, *peer: Any) -> None:
        if len(self._framers) >= CONNECTIONS_LIMIT:
            self.fire(close(sock))
            return
        self._framers[sock] = Framer()
        self._last_read[sock] = time.monotonic()

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        self._framers.pop(sock, None)
        self._last_read.pop(sock, None)
        self.count_pending(sock, 0)

    @handler('read', priority=_GUARD_PRIORITY)
    def _on_read(self, event: Any, sock: Any, chunk: bytes) -> None:
        if isinstance(chunk, _CheckedRequest):
            return
        event.stop()
        framer = self._framers.get(sock)
        if framer is None or framer.refusal is not None:
            return
        self._last_read[sock] = time.monotonic()
        framer.feed(chunk)
        self.count_pending(sock, framer.size)
        if framer.refusal is not None:
            self._refuse(sock, framer.refusal)
        elif framer.is_complete:
            self._framers[sock] = Framer()
            self.fire(read_event(sock, _CheckedRequest(framer.content())))
        elif self._pending_bytes > PENDING_LIMIT_BYTES:
            self._refuse_largest()

    def count_pending(self, sock: Any, size: int) -> None:
        """Set the bytes of the request of a connection, zero for none."""
        self._pending_bytes += size - self._pending.pop(sock, 0)
        if size:
            self._pending[sock] = size

    def _refuse_largest(self) -> None:
        """Refuse the largest request that has not been received completely."""
        sock = max(self._framers, key=lambda each: self._framers[each].size)
        self._framers[sock].refuse(Refusal.OVERLOADED)
        self._refuse(sock, Refusal.OVERLOADED)

    def _refuse(self, sock: Any, refusal: Refusal) -> None:
        self.count_pending(sock, 0)
        name = refusal.name.replace('_', ' ').title()
        again = 'Retry-After: 1\r\n' if refusal is Refusal.OVERLOADED else ''
        head = (
            f'HTTP/1.1 {refusal.value} {name}\r\n{again}'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        self.fire(write_event(sock, head.encode()))
        self.fire(close(sock))


class Site(Component):
    """Handles the requests of one listener with coroutines."""

    def __init__(
        self,
        channel: str,
        address: str,
        respond: Respond,
        on_stop: OnStop,
    ) -> None:
        """Start listening; see create_site."""
        super().__init__(channel=channel)
        host, _, port = address.rpartition(':')
        bind = (host, int(port))
        self._respond = respond
        self._on_stop = on_stop
        self._is_stopping = False
        self._tasks: dict[Any, asyncio.Task] = {}
        self._listener = _Listener(bind, channel=channel, display_banner=False)
        self._listener.register(self)
        self._guard = _Guard(channel)
        self._guard.register(self)
        self._sweeper = asyncio.ensure_future(self._sweep())

    @property
    def address(self) -> str:
        """Return the host:port that the site listens on."""
        return f'{self._listener.host}:{self._listener.port}'

    async def stop(self) -> None:
        """Stop listening, finish running requests, close all connections.

        Requests have STOP_TIMEOUT_SECONDS to finish.
        """
        self._is_stopping = True
        self._sweeper.cancel()
        self._on_stop()
        listening = self._listener.server._sock  # noqa: SLF001, WPS437
        self.fire(close(listening))
        end = asyncio.get_running_loop().time() + STOP_TIMEOUT_SECONDS
        while self._tasks and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        self.fire(close())
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        # Another site may use the same channel later in this process.
        self.unregister()
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)

    @handler('request')
    def _on_request(self, req: Any, res: Any) -> bool:
        if req.sock in self._tasks:
            self.fire(close(req.sock))
            return True
        loop = asyncio.get_running_loop()
        self._tasks[req.sock] = loop.create_task(self._serve(req, res))
        return True

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        task = self._tasks.pop(sock, None)
        if task is not None:
            task.cancel()

    @handler('response_success')
    def _on_response_success(self, response_event: Any, outcome: Any) -> None:
        """Remove a request once its response is in the socket's buffer."""
        sock = response_event.args[0].request.sock
        self._tasks.pop(sock, None)
        self._guard.count_pending(sock, 0)

    @handler('exception', channel='*')
    def _on_exception(
        self,
        kind: Any,
        error: Any,
        trace: Any,
        **details: Any,
    ) -> None:
        logger.error('web: event handler failed: {!r}', error)
        event = details.get('fevent')
        if isinstance(event, read_event) and self.channel in event.channels:
            self._close_failed(event.args[0])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._guard.sweep(self._tasks)

    def _close_failed(self, sock: Any) -> None:
        """Close a connection whose request circuits.web could not parse.

        Its unparsed bytes stay in a buffer of circuits.web otherwise.
        """
        self._listener.http._buffers.pop(sock, None)  # noqa: SLF001, WPS437
        self.fire(close(sock))

    async def _serve(self, req: Any, res: Any) -> None:
        result = await self._call_respond(req)
        res.status = result.status
        res.headers['Content-Type'] = result.content_type
        for name, text in result.headers.items():
            res.headers[name] = text
        res.body = result.body
        res.close = res.close or self._is_stopping
        self.fire(response(res))

    async def _call_respond(self, req: Any) -> WebResponse:
        try:
            return await self._respond(_build_request(req))
        except Exception as exc:  # noqa: BLE001 - keep serving other requests
            logger.opt(exception=exc).error('web: request handler failed')
        return WebResponse(status=500, body=b'{"message":"internal error"}')


def _do_nothing() -> None:
    """Serve as the default of on_stop."""


def create_site(
    host: Host,
    channel: str,
    address: str,
    respond: Respond,
    on_stop: OnStop = _do_nothing,
) -> Site:
    """Start an HTTP server and return it.

    Args:
        host: root circuits component of the process.
        channel: circuits channel, unique in the process.
        address: host:port to listen on.
        respond: coroutine function that returns the response to a request; a
            request that raises gets status 500.
        on_stop: called when the site begins to stop, to end long-running
            requests early.

    Raises:
        OSError: the address cannot be bound.
    """
    site = Site(channel, address, respond, on_stop)
    site.register(host)
    return site


def _build_request(req: Any) -> WebRequest:
    query = parse_qs(req.qs, keep_blank_values=True)
    return WebRequest(
        method=req.method,
        path=req.path,
        query={name: texts[0] for name, texts in query.items()},
        headers={name.lower(): text for name, text in req.headers.items()},
        body=req.body.read(),
        peer=str(req.remote.ip),
    )
