"""Reader: cuts the bytes of a connection into HTTP/1.1 messages.

Heads are parsed by httptools and checked by core.hop_check; bodies of a
declared length are counted here, chunked ones decoded by httptools. After
each message the reader holds until it is told to go on, so that one message
is in progress at a time.
"""

from collections.abc import Callable
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
_TAIL_BYTES: Final = len(HEAD_END) - 1


class Head(Struct, frozen=True):
    """The head of a request or an answer.

    Args:
        method: method of a request, empty for an answer.
        url: path and query of a request.
        status: status of an answer, zero for a request.
        reason: reason phrase of an answer.
        headers: all headers, names in lower case, values trimmed.
        framing: how the body is delimited.
        is_old: whether it is HTTP/1.0.
        keep_alive: whether the connection may be used again.
    """

    method: bytes
    url: bytes
    status: int
    reason: bytes
    headers: list[Header]
    framing: Framing
    is_old: bool
    keep_alive: bool


class Sink(Protocol):
    """Takes what a reader finds."""

    def on_head(self, head: Head) -> bool:
        """Take a head; say whether a body follows it."""

    def on_body(self, piece: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Take the end of the message."""

    def on_fault(self, fault: HeadFault) -> None:
        """Take the end of all reading."""


class Pieces:
    """Collects what httptools calls back with for one message."""

    __slots__ = ('body', 'complete', 'headers', 'reason', 'url')

    def __init__(self) -> None:
        """Start empty."""
        self.url = b''
        self.reason = b''
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self.url += url

    def on_status(self, reason: bytes) -> None:
        """Take a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers.append((name.lower(), value.strip()))

    def on_body(self, piece: bytes) -> None:
        """Take decoded bytes of the body."""
        self.body.append(piece)

    def on_message_complete(self) -> None:
        """Note the end of the message."""
        self.complete = True


ParseHead = Callable[[bytes, Pieces, int], tuple[Any, Head] | HeadFault]


class Phase(Enum):
    """What the next byte belongs to."""

    HEAD = 'head'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    STREAM = 'stream'
    HOLD = 'hold'
    STOPPED = 'broken'


class MessageReader:
    """Reads one direction of one connection."""

    __slots__ = (
        '_buffer',
        '_head_limit',
        '_left',
        '_limit',
        '_parse',
        '_parser',
        '_pieces',
        '_scanned',
        '_sink',
        '_tail',
        'phase',
    )

    def __init__(
        self,
        parse: ParseHead,
        sink: Sink,
        phase: Phase,
        limit: int,
        head_limit: int = HEAD_LIMIT_BYTES,
    ) -> None:
        """Start in a phase.

        Args:
            parse: parses and checks a head.
            sink: takes what is found.
            phase: what the first byte belongs to.
            limit: longest body, bytes.
            head_limit: longest head, bytes.
        """
        self._head_limit = head_limit
        self._limit = limit
        self._parse = parse
        self._sink = sink
        self._buffer = bytearray()
        self._left = 0
        self._scanned = 0
        self._tail = b''
        self._parser: Any = None
        self._pieces = Pieces()
        self.phase = phase

    @property
    def has_bytes(self) -> bool:
        """Say whether bytes of a next message wait."""
        return bool(self._buffer)

    def set_limits(self, limit: int, head_limit: int) -> None:
        """Change the limits of the messages to come, in bytes."""
        self._limit = limit
        self._head_limit = head_limit

    def end_stream(self) -> None:
        """Take the orderly end of the connection.

        It ends a body whose length nothing else tells.
        """
        if self.phase is Phase.STREAM:
            self.phase = Phase.HOLD
            self._sink.on_end()

    def feed(self, received: bytes) -> None:
        """Take bytes from the connection."""
        if self.phase is Phase.STOPPED:
            return
        self._buffer += received
        self._advance()

    def go_on(self) -> None:
        """Read the next message."""
        if self.phase is Phase.HOLD:
            self.phase = Phase.HEAD
            self._advance()

    def break_off(self, fault: HeadFault) -> None:
        """Stop reading for good."""
        if self.phase is not Phase.STOPPED:
            self.phase = Phase.STOPPED
            self._buffer.clear()
            self._sink.on_fault(fault)

    def _advance(self) -> None:
        while self._buffer:
            phase = self.phase
            if phase is Phase.HEAD:
                is_on = self._read_head()
            elif phase is Phase.LENGTH:
                is_on = self._read_length()
            elif phase is Phase.STREAM:
                is_on = self._read_stream()
            else:
                is_on = phase is Phase.CHUNKS and self._read_chunks()
            if not is_on:
                return

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END, max(0, self._scanned - _TAIL_BYTES))
        size = end + len(HEAD_END) if end >= 0 else len(self._buffer)
        if size > self._head_limit:
            self.break_off(HeadFault(431, 'head too large'))
            return False
        self._scanned = len(self._buffer)
        if end < 0:
            return False
        self._scanned = 0
        raw = bytes(self._buffer[:size])
        del self._buffer[:size]  # noqa: WPS420
        return self._take_head(raw)

    def _take_head(self, raw: bytes) -> bool:
        self._pieces = Pieces()
        parsed = self._parse(raw, self._pieces, self._limit)
        if isinstance(parsed, HeadFault):
            self.break_off(parsed)
            return False
        parser, head = parsed
        self._parser = parser
        self._pieces.headers = []  # what follows are trailers, not headers
        self._left = head.framing.length
        self._tail = b''
        self.phase = Phase.HOLD
        has_body = self._sink.on_head(head)
        if self.phase is Phase.STOPPED:
            return False
        if has_body and head.framing.until_close:
            self.phase = Phase.STREAM
            self._left = self._limit
        elif has_body and head.framing.chunked:
            self.phase = Phase.CHUNKS
            self._left = self._limit
        elif has_body and self._left:
            self.phase = Phase.LENGTH
        else:
            self._sink.on_end()
        return True

    def _read_length(self) -> bool:
        piece = bytes(self._buffer[: self._left])
        del self._buffer[: self._left]  # noqa: WPS420
        self._left -= len(piece)
        self._sink.on_body(piece)
        if self._left == 0:
            self.phase = Phase.HOLD
            self._sink.on_end()
        return True

    def _read_stream(self) -> bool:
        piece = bytes(self._buffer)
        self._buffer.clear()
        self._left -= len(piece)
        if self._left < 0:
            self.break_off(HeadFault(413, 'body too large'))
            return False
        self._sink.on_body(piece)
        return True

    def _read_chunks(self) -> bool:
        """Feed up to a possible end, so that no byte of the next is lost."""
        known = self._tail + self._buffer
        end = known.find(HEAD_END)
        size = len(self._buffer)
        if end >= 0:
            size = end + len(HEAD_END) - len(self._tail)
        raw = bytes(self._buffer[:size])
        del self._buffer[:size]  # noqa: WPS420
        self._tail = (self._tail + raw)[-_TAIL_BYTES:]
        try:
            self._parser.feed_data(raw)
        except (HttpParserError, HttpParserUpgrade):
            self.break_off(HeadFault(400, 'malformed chunk'))
            return False
        return self._give_chunks()

    def _give_chunks(self) -> bool:
        pieces = self._pieces
        for piece in pieces.body:
            self._left -= len(piece)
            self._sink.on_body(piece)
        pieces.body.clear()
        if self._left < 0:
            self.break_off(HeadFault(413, 'body too large'))
            return False
        if pieces.complete:
            self.phase = Phase.HOLD
            self._sink.on_end()
        return True
