"""Tests that a head of many lines is read as one of few lines.

Guards against request smuggling behind lines that nobody reads.
"""

import pytest

from medlarhoist.core.head_check import HeadFault
from medlarhoist.node.proxy.head import (
    parse_request_head,
    parse_response_head,
    write_request_head,
)
from medlarhoist.node.proxy.reader import ParserCallbacks

FILLER = b'A:\r\n' * 100
HOST = b'Host: x\r\n'
LENGTH = b'Content-Length: 5\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
LINES = {
    'host': HOST,
    'no host': b'',
    'two hosts': HOST * 2,
    'length': HOST + LENGTH,
    'chunked': HOST + CHUNKED,
    'chunked in upper case': HOST + CHUNKED.upper(),
    'two lengths': HOST + LENGTH * 2,
    'length and chunked': HOST + LENGTH + CHUNKED,
    'negative length': b'%bContent-Length: -5\r\n' % HOST,
    'other coding': b'%bTransfer-Encoding: gzip, chunked\r\n' % HOST,
    'close': b'%bConnection: close\r\n' % HOST,
    'upgrade': b'%bConnection: upgrade\r\nUpgrade: h2c\r\n' % HOST,
    'space before the colon': b'%bContent-Length : 5\r\n' % HOST,
    'folded line': b'%bX: a\r\n b\r\n' % HOST,
    'line feed': b'%bX: a\nContent-Length: 5\r\n' % HOST,
    'no name': b'%b: a\r\n' % HOST,
}
STARTS = {
    'GET': b'GET /a?b HTTP/1.1',
    'HTTP/1.0': b'POST / HTTP/1.0',
    'unknown method': b'FOO / HTTP/1.1',
    'HTTP/1.9': b'GET / HTTP/1.9',
    'CONNECT': b'CONNECT x:1 HTTP/1.1',
    'no path': b'GET x HTTP/1.1',
}


def _summarise(parsed):
    if isinstance(parsed, HeadFault):
        return parsed
    _, head = parsed
    named = [header for header in head.headers if header[0] != b'a']
    fields = (head.method, head.url, head.status, head.reason)
    return fields, named, head.framing, head.is_old, head.keep_alive


def _parse(parse, start, lines):
    raw = b'%b\r\n%b\r\n' % (start, lines)
    return _summarise(parse(raw, ParserCallbacks()))


@pytest.mark.parametrize('start', STARTS.values(), ids=STARTS)
@pytest.mark.parametrize('lines', LINES.values(), ids=LINES)
def test_lines_of_no_meaning_change_no_request(start, lines):
    plain = _parse(parse_request_head, start, lines)
    for filled in (FILLER + lines, lines + FILLER, FILLER + lines + FILLER):
        assert _parse(parse_request_head, start, filled) == plain


@pytest.mark.parametrize('lines', LINES.values(), ids=LINES)
def test_lines_of_no_meaning_change_no_response(lines):
    start = b'HTTP/1.1 200 Fine'
    plain = _parse(parse_response_head, start, lines)
    assert _parse(parse_response_head, start, FILLER + lines) == plain


def test_a_chunked_body_is_decoded_behind_many_lines():
    callbacks = ParserCallbacks()
    raw = b'POST / HTTP/1.1\r\n%b%b%b\r\n' % (FILLER, HOST, CHUNKED)
    parser, _ = parse_request_head(raw, callbacks)
    parser.feed_data(b'2\r\nab\r\n0\r\n\r\n')
    assert callbacks.body == [b'ab']
    assert callbacks.complete


def test_a_head_of_many_lines_is_written_as_it_was_received():
    raw = b'GET /a HTTP/1.1\r\n%b%b\r\n' % (HOST, FILLER)
    _, head = parse_request_head(raw, ParserCallbacks())
    written = write_request_head(
        head.method, head.url, head.headers, head.framing
    )
    assert written == raw
