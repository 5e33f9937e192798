"""Target server: the HTTP side of a stand-in target.

Each answer tells the id of its request and each request that starts is
recorded, so that tests can compare what callers were told with what ran.
"""

import asyncio
import random
import time
from collections import Counter
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
RECORD_PATH: Final = '/_record'
_SLOW_START: Final = 3
_MS: Final = 1000
_PIECE_BYTES: Final = 65_536


class Record(msgspec.Struct):
    """What a target has seen.

    Args:
        ran: times that each request id was started.
        finished: requests that ended with an answer.
        cancelled: requests whose caller went away.
        late: requests that ran into their deadline.
        shed: requests refused before their start.
        in_progress: requests that run now.
        peak: most requests that ever ran at the same time.
    """

    ran: dict[str, int] = msgspec.field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    late: int = 0
    shed: int = 0
    in_progress: int = 0
    peak: int = 0


class TargetState:
    """The state of one stand-in target.

    Args:
        options: its behaviour.
        record: what it has seen.
        started: when it started, seconds of the monotonic clock.
        is_refusing: whether new requests are refused.
    """

    __slots__ = ('draw', 'is_refusing', 'options', 'record', 'started')

    def __init__(self, options: Options, seed: int = 1) -> None:
        """Start now."""
        self.options = options
        self.record = Record()
        self.started = time.monotonic()
        self.is_refusing = False
        self.draw = random.Random(seed)  # noqa: S311  faults, not secrets

    @property
    def ready_s(self) -> float:
        """Return the time since readiness, negative before it."""
        return time.monotonic() - self.started - self.options.cold_s

    @property
    def has_room(self) -> bool:
        """Say whether a request may start now."""
        if self.is_refusing or self.ready_s < 0:
            return False
        return self.record.in_progress < self.options.slots


class Inquiry(msgspec.Struct, frozen=True):
    """One request, as the target reads it."""

    method: str
    path: str
    headers: dict[str, str]
    body_bytes: int


class Reply(msgspec.Struct, frozen=True):
    """One answer, without its connection headers."""

    status: int
    content: bytes
    extra: str = ''


async def run_inquiry(state: TargetState, inquiry: Inquiry) -> Reply:
    """Run one request, or refuse it."""
    record = state.record
    if not state.has_room:
        record.shed += 1
        return Reply(503, b'', DID_NOT_RUN_LINE)
    record.ran[inquiry.headers.get(ID_HEADER, '')] += 1
    record.in_progress += 1
    record.peak = max(record.peak, record.in_progress)
    try:
        return await _work(state, inquiry)
    except TimeoutError:
        record.late += 1
        return Reply(504, b'')
    except asyncio.CancelledError:
        record.cancelled += 1
        raise
    finally:
        record.in_progress -= 1


async def _work(state: TargetState, inquiry: Inquiry) -> Reply:
    options = state.options
    headers = inquiry.headers
    work_ms = float(headers.get(WORK_HEADER, options.work_ms))
    if state.ready_s < options.slow_start_s:
        work_ms *= _SLOW_START
    is_bad = is_faulty(
        options,
        inquiry.path,
        state.ready_s,
        state.record.in_progress,
        state.draw.random(),
    )
    if is_bad and options.fault is Fault.SLOW:
        work_ms += options.fault_ms
    left_ms = headers.get(DEADLINE_HEADER)
    left_s = float(left_ms) / _MS if left_ms else None
    if work_ms > 0:
        async with asyncio.timeout(left_s):
            await asyncio.sleep(work_ms / _MS)
    state.record.finished += 1
    if is_bad and options.fault is Fault.FAIL:
        return Reply(500, b'')
    return Reply(200, _write_content(options, inquiry))


def _write_content(options: Options, inquiry: Inquiry) -> bytes:
    told = {
        'id': inquiry.headers.get(ID_HEADER, ''),
        'label': options.label,
        'path': inquiry.path,
        'body_bytes': inquiry.body_bytes,
    }
    content = msgspec.json.encode(told)
    size = int(inquiry.headers.get(SIZE_HEADER, 0))
    return content.ljust(size, b'.')


class TargetConnection(asyncio.Protocol):
    """One connection to a stand-in target."""

    def __init__(self, state: TargetState, connections: set[Any]) -> None:
        """Serve requests one after the other."""
        self._state = state
        self._connections = connections
        self._parser = HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._url = b''
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: Any = None

    # What asyncio calls.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, received: bytes) -> None:
        """Take bytes."""
        try:
            self._parser.feed_data(received)
        except HttpParserError:
            self._transport.abort()

    # What httptools calls.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._headers = {}
        self._url = b''
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        key = name.decode('latin-1').lower()
        self._headers[key] = value.decode('latin-1')

    def on_body(self, piece: bytes) -> None:
        """Count a part of the body."""
        self._body_bytes += len(piece)

    def on_message_complete(self) -> None:
        """Run the request."""
        inquiry = Inquiry(
            self._parser.get_method().decode(),
            self._url.decode('latin-1'),
            self._headers,
            self._body_bytes,
        )
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(inquiry))

    def abort(self) -> None:
        """Cut the connection at once."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close where no request is in progress."""
        if self._task is None:
            self._transport.close()

    async def _serve(self, inquiry: Inquiry) -> None:
        if inquiry.path == RECORD_PATH:
            reply = Reply(200, msgspec.json.encode(self._state.record))
        else:
            reply = await run_inquiry(self._state, inquiry)
        self._task = None
        self._send(inquiry, reply)

    def _send(self, inquiry: Inquiry, reply: Reply) -> None:
        attempt = inquiry.headers.get(ATTEMPT_HEADER)
        echo = f'{ATTEMPT_HEADER}: {attempt}\r\n' if attempt else ''
        head = (
            f'HTTP/1.1 {reply.status} -\r\n{reply.extra}{echo}'
            f'content-length: {len(reply.content)}\r\n\r\n'
        )
        content = b'' if inquiry.method == 'HEAD' else reply.content
        self._transport.write(head.encode() + content[:_PIECE_BYTES])
        if len(content) > _PIECE_BYTES:
            self._transport.write(content[_PIECE_BYTES:])


class TargetServer:
    """A listening stand-in target."""

    __slots__ = ('_connections', '_server', 'state')

    def __init__(self, state: TargetState) -> None:
        """Serve with a state."""
        self.state = state
        self._connections: set[TargetConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, port: int = 0) -> None:
        """Listen on 127.0.0.1."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: TargetConnection(self.state, self._connections),
            '127.0.0.1',
            port,
        )

    def abort_connections(self, share: float) -> None:
        """Cut a part of the connections, 0 to 1, as a crash would."""
        for conn in tuple(self._connections):
            if self.state.draw.random() < share:
                conn.abort()

    def close(self) -> None:
        """Take no more connections and close those without a request."""
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.close_if_idle()
