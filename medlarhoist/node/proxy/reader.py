"""Reader: splits the bytes of a connection into HTTP/1.x messages.

Heads are parsed by httptools and checked by core.head_check. Bodies of a
declared length are counted here, chunked ones are decoded by httptools. The
reader pauses after each message until it is resumed, so that one message is in
progress at a time.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, Final, Protocol

from httptools import HttpParserError, HttpParserUpgrade
from msgspec import Struct

from medlarhoist.core.head_check import (
    HEAD_LIMIT_BYTES,
    Framing,
    HeadFault,
)
from medlarhoist.core.headers import Header

HEAD_END: Final = b'\r\n\r\n'
# A body without a declared length has no other end if its sender never closes.
UNDELIMITED_LIMIT_BYTES: Final = 67_108_864
_TAIL_BYTES: Final = len(HEAD_END) - 1


class Head(Struct, frozen=True):
    """The head of a request or a response.

    Args:
        method: method of a request, empty for a response.
        url: path and query of a request, empty for a response.
        status: status of a response, zero for a request.
        reason: reason phrase of a response, empty for a request.
        headers: all headers, names in lower case, values trimmed.
        framing: how the body is delimited.
        is_old: whether the message is HTTP/1.0.
        keep_alive: whether the connection may be reused after the message.
        weight: bytes of memory that it takes while its request runs.
    """

    method: bytes
    url: bytes
    status: int
    reason: bytes
    headers: Sequence[Header]
    framing: Framing
    is_old: bool
    keep_alive: bool
    weight: int = 0


class MessageHandler(Protocol):
    """Handles the messages that a reader finds."""

    def on_head(self, head: Head) -> bool:
        """Handle the head of a message; return whether a body may follow."""

    def on_body(self, piece: bytes) -> None:
        """Handle a piece of the body, decoded if it is chunked."""

    def on_end(self) -> None:
        """Handle the end of the message."""

    def on_fault(self, fault: HeadFault) -> None:
        """Handle a malformed message, after which nothing more is read."""


class ParserCallbacks:
    """Callbacks of the httptools parser, which collect one message.

    Args:
        url: request target.
        reason: reason phrase of a response.
        headers: headers parsed so far, names in lower case, values trimmed.
        body: decoded pieces of a chunked body that are not handled yet.
        complete: whether the parser has found the end of the message.
    """

    __slots__ = ('body', 'complete', 'headers', 'reason', 'url')

    def __init__(self) -> None:
        """Start a message."""
        self.url = b''
        self.reason = b''
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.url += url

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name.lower(), value.strip()))

    def on_body(self, piece: bytes) -> None:
        """Append a decoded piece of the body."""
        self.body.append(piece)

    def on_message_complete(self) -> None:
        """Record the end of the message."""
        self.complete = True


ParseHead = Callable[
    [bytes, ParserCallbacks, int], tuple[Any, Head] | HeadFault
]


class Phase(Enum):
    """What the next byte belongs to.

    Attributes:
        HEAD: the head of a message.
        FIXED_LENGTH: a body of a declared length.
        CHUNKED: a body in chunked transfer coding.
        UNTIL_CLOSE: a body that lasts until the connection closes.
        PAUSED: the next message, which is buffered until resume is called.
        STOPPED: nothing; received bytes are discarded.
    """

    HEAD = 'head'
    FIXED_LENGTH = 'length'
    CHUNKED = 'chunks'
    UNTIL_CLOSE = 'stream'
    PAUSED = 'hold'
    STOPPED = 'broken'


class MessageReader:
    """Parses the messages received on one connection.

    Args:
        phase: what the next byte belongs to.
    """

    __slots__ = (
        '_body_left',
        '_body_limit',
        '_buffer',
        '_callbacks',
        '_framing_bytes',
        '_handler',
        '_head_limit',
        '_parse_head',
        '_parser',
        '_scanned',
        '_tail',
        'phase',
    )

    def __init__(
        self,
        parse_head: ParseHead,
        handler: MessageHandler,
        phase: Phase,
        body_limit: int,
        head_limit: int = HEAD_LIMIT_BYTES,
    ) -> None:
        """Start with nothing received.

        Args:
            parse_head: parses and checks a head.
            handler: is called with the parts of each message.
            phase: what the first byte belongs to.
            body_limit: largest body, bytes.
            head_limit: largest head, bytes.
        """
        self._head_limit = head_limit
        self._body_limit = body_limit
        self._parse_head = parse_head
        self._handler = handler
        self._buffer = bytearray()
        self._body_left = 0
        self._scanned = 0
        self._tail = b''
        # Bytes of a chunked body since the last byte of content.
        self._framing_bytes = 0
        self._parser: Any = None
        self._callbacks = ParserCallbacks()
        self.phase = phase

    @property
    def has_bytes(self) -> bool:
        """Return whether received bytes are not parsed yet."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Return the memory of the received bytes that are not parsed yet."""
        return self._buffer.__alloc__() if self._buffer else 0

    def set_limits(self, body_limit: int, head_limit: int) -> None:
        """Set the limits of the messages that follow.

        Args:
            body_limit: largest body, bytes.
            head_limit: largest head, bytes.
        """
        self._body_limit = body_limit
        self._head_limit = head_limit

    def handle_eof(self) -> None:
        """Handle the end of the stream, sent by the remote end.

        It ends a body that lasts until the connection closes.
        """
        if self.phase is Phase.UNTIL_CLOSE:
            self.phase = Phase.PAUSED
            self._handler.on_end()

    def feed(self, received: bytes) -> None:
        """Parse received bytes, or buffer them while the reader is paused."""
        if self.phase is Phase.STOPPED:
            return
        self._buffer += received
        self._advance()

    def resume(self) -> None:
        """Parse the next message, if the reader is paused."""
        if self.phase is Phase.PAUSED:
            self.phase = Phase.HEAD
            self._advance()

    def fail(self, fault: HeadFault | None) -> None:
        """Discard all that is buffered or follows; report the fault, once.

        Args:
            fault: why the message is refused, None to stop without a report.
        """
        if self.phase is not Phase.STOPPED:
            self.phase = Phase.STOPPED
            self._buffer.clear()
            self._callbacks = ParserCallbacks()
            if fault is not None:
                self._handler.on_fault(fault)

    def _advance(self) -> None:
        while self._buffer:
            phase = self.phase
            if phase is Phase.HEAD:
                may_continue = self._read_head()
            elif phase is Phase.FIXED_LENGTH:
                may_continue = self._read_fixed_length()
            elif phase is Phase.UNTIL_CLOSE:
                may_continue = self._read_until_close()
            else:
                may_continue = phase is Phase.CHUNKED and self._read_chunked()
            if not may_continue:
                return

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END, max(0, self._scanned - _TAIL_BYTES))
        size = end + len(HEAD_END) if end >= 0 else len(self._buffer)
        if size > self._head_limit:
            self.fail(HeadFault(431, 'head too large'))
            return False
        self._scanned = len(self._buffer)
        if end < 0:
            return False
        self._scanned = 0
        raw = bytes(self._buffer[:size])
        del self._buffer[:size]  # noqa: WPS420
        return self._handle_head(raw)

    def _handle_head(self, raw: bytes) -> bool:
        self._callbacks = ParserCallbacks()
        parsed = self._parse_head(raw, self._callbacks, self._body_limit)
        if isinstance(parsed, HeadFault):
            self.fail(parsed)
            return False
        parser, head = parsed
        self._parser = parser
        self._callbacks.headers = []  # what follows are trailers, not headers
        self._body_left = head.framing.length
        self._framing_bytes = 0
        self._tail = b''
        self.phase = Phase.PAUSED
        has_body = self._handler.on_head(head)
        if self.phase is Phase.STOPPED:
            return False
        if has_body and head.framing.until_close:
            self.phase = Phase.UNTIL_CLOSE
            self._body_left = min(self._body_limit, UNDELIMITED_LIMIT_BYTES)
        elif has_body and head.framing.chunked:
            self.phase = Phase.CHUNKED
            self._body_left = self._body_limit
        elif has_body and self._body_left:
            self.phase = Phase.FIXED_LENGTH
        else:
            self._handler.on_end()
        return True

    def _read_fixed_length(self) -> bool:
        piece = bytes(self._buffer[: self._body_left])
        del self._buffer[: self._body_left]  # noqa: WPS420
        self._body_left -= len(piece)
        self._handler.on_body(piece)
        if self._body_left == 0:
            self.phase = Phase.PAUSED
            self._handler.on_end()
        return True

    def _read_until_close(self) -> bool:
        piece = bytes(self._buffer)
        self._buffer.clear()
        self._body_left -= len(piece)
        if self._body_left < 0:
            self.fail(HeadFault(413, 'body too large'))
            return False
        self._handler.on_body(piece)
        return True

    def _read_chunked(self) -> bool:
        """Decode what is buffered, up to the end of the body.

        The bytes behind it belong to the next message and stay buffered. All
        content is handed over as one piece, however small its chunks are.
        """
        known = len(self._tail)
        received = self._tail + bytes(self._buffer)
        position = known
        while position < len(received) and not self._callbacks.complete:
            # The parser must not see bytes behind the end of the body.
            found = received.find(HEAD_END, max(0, position - _TAIL_BYTES))
            end = len(received) if found < 0 else found + len(HEAD_END)
            if not self._decode(received[position:end]):
                return False
            position = end
        self._tail = received[max(0, position - _TAIL_BYTES) : position]
        del self._buffer[: position - known]  # noqa: WPS420
        return self._emit_content()

    def _decode(self, raw: bytes) -> bool:
        callbacks = self._callbacks
        decoded = len(callbacks.body)
        try:
            self._parser.feed_data(raw)
        except (HttpParserError, HttpParserUpgrade):
            self.fail(HeadFault(400, 'malformed chunk'))
            return False
        callbacks.headers.clear()
        has_content = len(callbacks.body) > decoded
        self._framing_bytes = (
            0 if has_content else self._framing_bytes + len(raw)
        )
        if self._framing_bytes > self._head_limit:
            self.fail(HeadFault(400, 'chunk size or trailers too large'))
            return False
        return True

    def _emit_content(self) -> bool:
        callbacks = self._callbacks
        content = b''.join(callbacks.body)
        callbacks.body.clear()
        self._body_left -= len(content)
        if content:
            self._handler.on_body(content)
        if self._body_left < 0:
            self.fail(HeadFault(413, 'body too large'))
            return False
        if callbacks.complete:
            self.phase = Phase.PAUSED
            self._handler.on_end()
        return True
