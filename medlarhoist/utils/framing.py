"""Finds the end of an HTTP request and refuses malformed requests.

The parser of circuits.web buffers without bound, interprets backslashes as
escapes and does not close the connection after HEAD. httptools therefore
checks each request, and circuits.web receives only complete requests.
"""

import re
from enum import IntEnum
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

HEAD_LIMIT_BYTES: Final = 16_384
BODY_LIMIT_BYTES: Final = 1_048_576

# The object of each received piece.
_PIECE_BYTES: Final = 64
METHODS: Final = frozenset((b'GET', b'POST', b'PUT', b'DELETE'))

_HOST: Final = re.compile(rb'[A-Za-z0-9.-]+(:[0-9]{1,5})?')


class Refusal(IntEnum):
    """HTTP status codes of requests refused before circuits.web parses them."""

    MALFORMED = 400
    METHOD_NOT_ALLOWED = 405
    LENGTH_REQUIRED = 411
    TOO_LARGE = 413
    HEAD_TOO_LARGE = 431
    OVERLOADED = 503


class Framer:
    """Collects and checks the bytes of one request of a connection.

    Args:
        is_complete: whether the whole request has been received.
        refusal: status to refuse the request with; None while it is valid.
    """

    __slots__ = (
        '_host_headers',
        '_in_head',
        '_length',
        '_parser',
        '_received',
        'is_complete',
        'refusal',
    )

    def __init__(self) -> None:
        """Create a framer for the next request of a connection."""
        self._parser = HttpRequestParser(self)
        # A buffer that grows would leave holes of all its former sizes behind.
        self._received: list[bytes] = []
        self._length = 0
        self._host_headers = 0
        self._in_head = True
        self.is_complete = False
        self.refusal: Refusal | None = None

    @property
    def size(self) -> int:
        """Return the bytes of memory that the request takes."""
        return self._length + _PIECE_BYTES * len(self._received)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request, if it has not been refused; free its bytes."""
        self._received.clear()
        self._length = 0
        self._refuse(refusal)

    def feed(self, chunk: bytes) -> None:
        """Add received bytes; updates is_complete and refusal."""
        self._received.append(chunk)
        self._length += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (HttpParserError, HttpParserUpgrade):
            self._refuse(Refusal.MALFORMED)
        if self._in_head and self._length > HEAD_LIMIT_BYTES:
            self._refuse(Refusal.HEAD_TOO_LARGE)

    def content(self) -> bytes:
        """Return the bytes received so far."""
        return b''.join(self._received)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Check a header; called by the parser."""
        lower_name = name.lower()
        if lower_name == b'transfer-encoding':
            self._refuse(Refusal.LENGTH_REQUIRED)
        elif lower_name == b'content-length':
            self._check_length(text)
        elif lower_name == b'host':
            self._check_host(text)
        if b'\\' in text:
            self._refuse(Refusal.MALFORMED)

    def on_url(self, url: bytes) -> None:
        """Check the request target; called by the parser."""
        if b'\\' in url:
            self._refuse(Refusal.MALFORMED)

    def on_headers_complete(self) -> None:
        """Check the method and the Host header; called by the parser.

        The parser calls it at the end of the head.
        """
        self._in_head = False
        if self._parser.get_method() not in METHODS:
            self._refuse(Refusal.METHOD_NOT_ALLOWED)
        elif self._host_headers != 1:
            self._refuse(Refusal.MALFORMED)

    def on_message_begin(self) -> None:
        """Refuse a pipelined request; called by the parser."""
        if self.is_complete:
            self._refuse(Refusal.MALFORMED)

    def on_message_complete(self) -> None:
        """Mark the request as complete; called by the parser."""
        self.is_complete = True

    def _check_length(self, text: bytes) -> None:
        if text.isdigit() and int(text) > BODY_LIMIT_BYTES:
            self._refuse(Refusal.TOO_LARGE)

    def _check_host(self, text: bytes) -> None:
        self._host_headers += 1
        if not _HOST.fullmatch(text):
            self._refuse(Refusal.MALFORMED)

    def _refuse(self, refusal: Refusal) -> None:
        if self.refusal is None:
            self.refusal = refusal
