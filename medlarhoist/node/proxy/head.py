"""Head: parses and writes the heads of HTTP messages."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from medlarhoist.core.head_check import (
    ANSWER_LIMIT_BYTES,
    REQUEST_LIMIT_BYTES,
    Framing,
    HeadFault,
    check_answer_head,
    check_host,
    check_request_head,
    find_framing,
)
from medlarhoist.core.headers import Header, find_header
from medlarhoist.node.proxy.reader import Head, Pieces

CHUNKED: Final = b'transfer-encoding: chunked\r\n'
LAST_CHUNK: Final = b'0\r\n\r\n'
REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
_MALFORMED: Final = 'malformed head'


def parse_request_head(
    raw: bytes,
    pieces: Pieces,
    limit: int = REQUEST_LIMIT_BYTES,
) -> tuple[Any, Head] | HeadFault:
    """Parse and check the head of a request.

    Args:
        raw: the head, its empty line included.
        pieces: takes what the parser finds, also later chunks.
        limit: longest body, bytes.

    Returns:
        The parser, for chunks, and the head; or the fault.
    """
    fault = check_request_head(raw)
    if fault is not None:
        return fault
    parser = HttpRequestParser(pieces)
    if not _feed(parser, raw):
        return HeadFault(400, _MALFORMED)
    method = parser.get_method()
    if method == b'CONNECT' or not pieces.url.startswith(b'/'):
        return HeadFault(400, 'only requests for a path are taken')
    is_old = parser.get_http_version() == '1.0'
    framing = find_framing(
        pieces.headers,
        is_old=is_old,
        limit=limit,
    )
    if isinstance(framing, HeadFault):
        return framing
    fault = check_host(pieces.headers, is_old=is_old)
    if fault is not None:
        return fault
    return parser, Head(
        method,
        pieces.url,
        0,
        b'',
        pieces.headers,
        framing,
        is_old,
        _is_kept(pieces.headers, is_old=is_old),
    )


def parse_answer_head(
    raw: bytes,
    pieces: Pieces,
    limit: int = ANSWER_LIMIT_BYTES,
) -> tuple[Any, Head] | HeadFault:
    """Parse and check the head of an answer; see parse_request_head."""
    fault = check_answer_head(raw)
    if fault is not None:
        return fault
    parser = HttpResponseParser(pieces)
    if not _feed(parser, raw):
        return HeadFault(502, _MALFORMED)
    is_old = parser.get_http_version() == '1.0'
    framing = find_framing(
        pieces.headers,
        is_old=is_old,
        limit=limit,
    )
    if isinstance(framing, HeadFault):
        return framing
    if not framing.declared:
        framing = Framing(until_close=True)
    return parser, Head(
        b'',
        b'',
        parser.get_status_code(),
        pieces.reason,
        pieces.headers,
        framing,
        is_old,
        _is_kept(pieces.headers, is_old=is_old),
    )


def write_request_head(
    method: bytes,
    url: bytes,
    headers: Iterable[Header],
    framing: Framing,
) -> bytes:
    """Return the bytes of a request head."""
    start = b'%b %b HTTP/1.1\r\n' % (method, url)
    return start + _write_fields(headers, framing)


def write_answer_head(
    status: int,
    reason: bytes,
    headers: Iterable[Header],
    framing: Framing,
) -> bytes:
    """Return the bytes of an answer head."""
    start = b'HTTP/1.1 %d %b\r\n' % (status, reason)
    return start + _write_fields(headers, framing)


def write_chunk(piece: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def _write_fields(headers: Iterable[Header], framing: Framing) -> bytes:
    lines = [b'%b: %b\r\n' % header for header in headers]
    if framing.chunked:
        lines.append(CHUNKED)
    elif framing.declared:
        lines.append(b'content-length: %d\r\n' % framing.length)
    lines.append(b'\r\n')
    return b''.join(lines)


def _feed(parser: Any, raw: bytes) -> bool:
    try:
        parser.feed_data(raw)
    except HttpParserUpgrade:
        return True
    except HttpParserError:
        return False
    return True


def _is_kept(headers: list[Header], *, is_old: bool) -> bool:
    value = find_header(headers, b'connection')
    if value is None:
        return not is_old
    return b'close' not in value.lower() and not is_old
