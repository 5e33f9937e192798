"""Head: parses and formats the heads of HTTP/1.x messages."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from medlarhoist.core.client_memory import weigh_head
from medlarhoist.core.head_check import (
    REQUEST_LIMIT_BYTES,
    RESPONSE_LIMIT_BYTES,
    Framing,
    HeadFault,
    check_host,
    check_request_head,
    check_response_head,
    find_framing,
)
from medlarhoist.core.headers import (
    Header,
    PackedHeaders,
    find_header,
    pack_fields,
)
from medlarhoist.node.proxy.reader import Head, ParserCallbacks

CHUNKED_LINE: Final = b'transfer-encoding: chunked\r\n'
CLOSE: Final = (b'connection', b'close')
LAST_CHUNK: Final = b'0\r\n\r\n'
REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}
_PARSED_HEADERS: Final = (
    b'connection',
    b'content-length',
    b'host',
    b'proxy-connection',
    b'transfer-encoding',
    b'upgrade',
)
_MALFORMED: Final = 'malformed head'


def parse_request_head(
    raw: bytes,
    callbacks: ParserCallbacks,
    limit: int = REQUEST_LIMIT_BYTES,
) -> tuple[Any, Head] | HeadFault:
    """Parse and check the head of a request.

    Args:
        raw: the head, including its empty line.
        callbacks: called by the parser, also for a chunked body later on.
        limit: largest body, bytes.

    Returns:
        The parser, to which a chunked body must be fed, and the head; or the
        fault for which the request is refused.
    """
    fault = check_request_head(raw)
    if fault is not None:
        return fault
    parser = HttpRequestParser(callbacks)
    packed = pack_fields(raw)
    if not _feed(parser, raw, packed):
        return HeadFault(400, _MALFORMED)
    method = parser.get_method()
    if method == b'CONNECT' or not callbacks.url.startswith(b'/'):
        return HeadFault(400, 'only requests for a path are taken')
    is_old = parser.get_http_version() == '1.0'
    framing = find_framing(
        callbacks.headers,
        is_http10=is_old,
        limit=limit,
    )
    if isinstance(framing, HeadFault):
        return framing
    fault = check_host(callbacks.headers, is_http10=is_old)
    if fault is not None:
        return fault
    headers = callbacks.headers if packed is None else packed
    records = len(callbacks.headers) if packed is None else 0
    return parser, Head(
        method,
        callbacks.url,
        0,
        b'',
        headers,
        framing,
        is_old,
        _keeps_alive(callbacks.headers, is_old=is_old),
        weigh_head(len(raw), records),
    )


def parse_response_head(
    raw: bytes,
    callbacks: ParserCallbacks,
    limit: int = RESPONSE_LIMIT_BYTES,
) -> tuple[Any, Head] | HeadFault:
    """Parse and check the head of a response, like parse_request_head.

    A body without a declared length lasts until the connection closes.
    """
    fault = check_response_head(raw)
    if fault is not None:
        return fault
    parser = HttpResponseParser(callbacks)
    packed = pack_fields(raw)
    if not _feed(parser, raw, packed):
        return HeadFault(502, _MALFORMED)
    is_old = parser.get_http_version() == '1.0'
    framing = find_framing(
        callbacks.headers,
        is_http10=is_old,
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
        callbacks.reason,
        callbacks.headers if packed is None else packed,
        framing,
        is_old,
        _keeps_alive(callbacks.headers, is_old=is_old),
    )


def write_request_head(
    method: bytes,
    url: bytes,
    headers: Sequence[Header],
    framing: Framing,
) -> bytes:
    """Return a request head, including its empty line.

    Args:
        method: HTTP method.
        url: path and query.
        headers: all headers except those of framing.
        framing: how the body is delimited, which is written as a header.
    """
    start = b'%b %b HTTP/1.1\r\n' % (method, url)
    return start + _write_fields(headers, framing)


def write_response_head(
    status: int,
    reason: bytes,
    headers: Sequence[Header],
    framing: Framing,
) -> bytes:
    """Return a response head, including its empty line.

    Args:
        status: HTTP status.
        reason: reason phrase, may be empty.
        headers: all headers except those of framing.
        framing: how the body is delimited, which is written as a header.
    """
    start = b'HTTP/1.1 %d %b\r\n' % (status, reason)
    return start + _write_fields(headers, framing)


def write_fault(fault: HeadFault) -> bytes:
    """Return the response to a malformed head, which closes the connection."""
    content = fault.reason.encode()
    head = write_response_head(
        fault.status,
        REASON_PHRASES[fault.status],
        (CLOSE,),
        Framing(len(content), declared=True),
    )
    return head + content


def write_chunk(piece: bytes) -> bytes:
    """Return one chunk of a body in chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def _write_fields(headers: Sequence[Header], framing: Framing) -> bytes:
    if isinstance(headers, PackedHeaders):
        lines = [headers.text[2:], b'\r\n' if headers.text else b'']
    else:
        lines = [b'%b: %b\r\n' % header for header in headers]
    if framing.chunked:
        lines.append(CHUNKED_LINE)
    elif framing.declared:
        lines.append(b'content-length: %d\r\n' % framing.length)
    lines.append(b'\r\n')
    return b''.join(lines)


def _shorten(raw: bytes, packed: PackedHeaders) -> bytes:
    """Return a head with those lines alone that the parser acts upon.

    The others have been checked, and need no call of the parser for each.
    """
    start = raw[: raw.find(b'\r\n')]
    lines = [b'%b:%b' % header for header in packed.pick(_PARSED_HEADERS)]
    return b'\r\n'.join((start, *lines, b'', b''))


def _feed(parser: Any, raw: bytes, packed: PackedHeaders | None) -> bool:
    parsed = raw if packed is None else _shorten(raw, packed)
    try:
        parser.feed_data(parsed)
    except HttpParserUpgrade:
        return True
    except HttpParserError:
        return False
    return True


def _keeps_alive(headers: list[Header], *, is_old: bool) -> bool:
    value = find_header(headers, b'connection')
    if value is None:
        return not is_old
    return b'close' not in value.lower() and not is_old
