"""HTTP server of a stand-in target.

Each response holds the id of its request, and each request that starts is
recorded, so that tests can compare the responses that callers received with
the requests that ran.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import msgspec
from httptools import HttpParserError, HttpRequestParser

from medlarhoist.standin.target_options import Fault, Options, is_faulty

ID_HEADER: Final = 'x-request-id'
ATTEMPT_HEADER: Final = 'x-medlarhoist-request'
DEADLINE_HEADER: Final = 'x-deadline-ms'
WORK_HEADER: Final = 'x-work-ms'
SIZE_HEADER: Final = 'x-size'
DID_NOT_RUN_LINE: Final = 'x-did-not-run: true\r\n'
CRASH_PATH: Final = '/crash'
LIMIT_HEADER: Final = 'x-request-limit'
LEAVE_GRACE_S: Final = 0.5
LEAVING_LINE: Final = 'x-target-leaving: 1\r\n'
RECORD_PATH: Final = '/_record'
_SLOW_START_FACTOR: Final = 3
_MS_PER_SECOND: Final = 1000
_FIRST_WRITE_BYTES: Final = 65_536


class Record(msgspec.Struct):
    """Counts of the requests to a target, served as JSON at `RECORD_PATH`.

    Args:
        ran: number of starts of each request id.
        finished: requests that ended with a response.
        cancelled: requests whose connection was closed before their end.
        late: requests that exceeded their deadline.
        shed: requests refused before their start.
        after_leave: requests that started over `LEAVE_GRACE_S` after a response
            to the same process of an entry node had stated that the target
            leaves.
        in_progress: requests that run now.
        peak: highest number of concurrent requests.
    """

    ran: dict[str, int] = msgspec.field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    late: int = 0
    shed: int = 0
    after_leave: int = 0
    in_progress: int = 0
    peak: int = 0

    @property
    def ran_count(self) -> int:
        """Return the number of requests that started."""
        return sum(self.ran.values())


class TargetState:
    """The state of one stand-in target.

    Args:
        options: its options.
        record: counts of its requests.
        started: monotonic time of its start, seconds.
        is_refusing: whether new requests are refused, as in a drain.
        is_leaving: whether responses state that the target leaves.
        limit: requests per second that responses name as the limit, zero for
            no limit. It is not enforced.
        rng: random numbers for faults.
        crash: called by a request of CRASH_PATH, which gets no response; it
            closes the listener and all connections. None for no crash.
        told: when a response first stated that the target leaves, monotonic
            seconds, by the process of an entry node that had sent the request.
    """

    __slots__ = (
        'crash',
        'is_leaving',
        'is_refusing',
        'limit',
        'options',
        'record',
        'rng',
        'started',
        'told',
    )

    def __init__(self, options: Options, seed: int = 1) -> None:
        """Create the state of a target that starts now.

        Args:
            options: its options.
            seed: seed of the random numbers for faults.
        """
        self.options = options
        self.record = Record()
        self.started = time.monotonic()
        self.is_refusing = False
        self.is_leaving = False
        self.crash: Callable[[], None] | None = None
        self.told: dict[str, float] = {}
        self.limit = options.limit
        self.rng = random.Random(seed)  # noqa: S311  faults, not secrets

    @property
    def ready_s(self) -> float:
        """Return the time since readiness, seconds; negative before it."""
        return time.monotonic() - self.started - self.options.cold_s

    def is_told(self, headers: dict[str, str]) -> bool:
        """Return whether the sender of a request has heard of the leave."""
        told_at = self.told.get(_sender(headers))
        if told_at is None:
            return False
        return time.monotonic() - told_at > LEAVE_GRACE_S

    def announce(self, headers: dict[str, str]) -> str:
        """Return the header lines that each response has, with CRLF.

        Args:
            headers: headers of the request.
        """
        lines = []
        if self.limit:
            lines.append(f'{LIMIT_HEADER}: {self.limit}\r\n')
        if self.is_leaving:
            lines.append(LEAVING_LINE)
            self.told.setdefault(_sender(headers), time.monotonic())
        return ''.join(lines)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a request may start now."""
        if self.is_refusing or self.ready_s < 0:
            return False
        return self.record.in_progress < self.options.slots


class Request(msgspec.Struct, frozen=True):
    """One request to the target."""

    method: str
    path: str
    headers: dict[str, str]
    body_bytes: int


class Response(msgspec.Struct, frozen=True):
    """One response; `extra` holds header lines that end with CRLF."""

    status: int
    content: bytes
    extra: str = ''


async def run_request(state: TargetState, request: Request) -> Response:
    """Run one request, or refuse it with status 503.

    A request that exceeds its deadline gets status 504.

    Raises:
        CancelledError: the connection was closed.
    """
    record = state.record
    if not state.has_free_slot:
        record.shed += 1
        return Response(503, b'', DID_NOT_RUN_LINE)
    record.ran[request.headers.get(ID_HEADER, '')] += 1
    record.after_leave += state.is_told(request.headers)
    record.in_progress += 1
    record.peak = max(record.peak, record.in_progress)
    try:
        return await _work(state, request)
    except TimeoutError:
        record.late += 1
        return Response(504, b'')
    except asyncio.CancelledError:
        record.cancelled += 1
        raise
    finally:
        record.in_progress -= 1


def _sender(headers: dict[str, str]) -> str:
    """Return the process that sent a request, by the id of the attempt."""
    return headers.get(ATTEMPT_HEADER, '').rpartition('-')[0]


async def _work(state: TargetState, request: Request) -> Response:
    if state.crash is not None and request.path == CRASH_PATH:
        state.crash()
        await asyncio.get_running_loop().create_future()
    options = state.options
    headers = request.headers
    work_ms = float(headers.get(WORK_HEADER, options.work_ms))
    if state.ready_s < options.slow_start_s:
        work_ms *= _SLOW_START_FACTOR
    is_faulty_request = is_faulty(
        options,
        request.path,
        state.ready_s,
        state.record.in_progress,
        state.rng.random(),
    )
    if is_faulty_request and options.fault is Fault.SLOW:
        work_ms += options.fault_ms
    left_ms = headers.get(DEADLINE_HEADER)
    left_s = float(left_ms) / _MS_PER_SECOND if left_ms else None
    if work_ms > 0:
        async with asyncio.timeout(left_s):
            await asyncio.sleep(work_ms / _MS_PER_SECOND)
    state.record.finished += 1
    if is_faulty_request and options.fault is Fault.FAIL:
        return Response(500, b'')
    return Response(200, _write_content(options, request))


def _write_content(options: Options, request: Request) -> bytes:
    content_fields = {
        'id': request.headers.get(ID_HEADER, ''),
        'label': options.label,
        'path': request.path,
        'body_bytes': request.body_bytes,
    }
    content = msgspec.json.encode(content_fields)
    size = int(request.headers.get(SIZE_HEADER, 0))
    return content.ljust(size, b'.')


class TargetConnection(asyncio.Protocol):
    """One connection to a stand-in target."""

    def __init__(self, state: TargetState, connections: set[Any]) -> None:
        """Serve the requests of one connection in turn.

        Args:
            state: state of the target.
            connections: open connections of the server; this one adds and
                removes itself.
        """
        self._state = state
        self._connections = connections
        self._parser = HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._url = b''
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: Any = None

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; abort the connection if they are malformed."""
        try:
            self._parser.feed_data(received)
        except HttpParserError:
            self._transport.abort()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the fields for a new request."""
        self._headers = {}
        self._url = b''
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Store a part of the request's path."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the request."""
        key = name.decode('latin-1').lower()
        self._headers[key] = value.decode('latin-1')

    def on_body(self, piece: bytes) -> None:
        """Count the bytes of a part of the request body."""
        self._body_bytes += len(piece)

    def on_message_complete(self) -> None:
        """Start the complete request."""
        request = Request(
            self._parser.get_method().decode(),
            self._url.decode('latin-1'),
            self._headers,
            self._body_bytes,
        )
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(request))

    def abort(self) -> None:
        """Close the connection without sending pending data."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._task is None:
            self._transport.close()

    async def _serve(self, request: Request) -> None:
        if request.path == RECORD_PATH:
            response = Response(200, msgspec.json.encode(self._state.record))
        else:
            response = await run_request(self._state, request)
        self._task = None
        self._send(request, response)

    def _send(self, request: Request, response: Response) -> None:
        attempt = request.headers.get(ATTEMPT_HEADER)
        echo = f'{ATTEMPT_HEADER}: {attempt}\r\n' if attempt else ''
        head = (
            f'HTTP/1.1 {response.status} -\r\n{response.extra}{echo}'
            f'{self._state.announce(request.headers)}'
            f'content-length: {len(response.content)}\r\n\r\n'
        )
        content = b'' if request.method == 'HEAD' else response.content
        self._transport.write(head.encode() + content[:_FIRST_WRITE_BYTES])
        if len(content) > _FIRST_WRITE_BYTES:
            self._transport.write(content[_FIRST_WRITE_BYTES:])


class TargetServer:
    """HTTP server of a stand-in target on a local port.

    Args:
        port: port that it listens on, or did before it was closed.
        state: state of the target.
    """

    __slots__ = ('_connections', '_server', 'port', 'state')

    def __init__(self, state: TargetState) -> None:
        """Create a server, which listens once it is started."""
        self.port = 0
        self.state = state
        self._connections: set[TargetConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on 127.0.0.1; port zero selects a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: TargetConnection(self.state, self._connections),
            '127.0.0.1',
            port,
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def abort_connections(self, fraction: float) -> None:
        """Abort a random fraction (0 to 1) of connections, as in a crash."""
        for conn in tuple(self._connections):
            if self.state.rng.random() < fraction:
                conn.abort()

    def close(self) -> None:
        """Stop listening and close the connections without a request."""
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.close_if_idle()
