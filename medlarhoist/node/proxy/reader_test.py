"""Tests that the reader finds the same messages however bytes arrive.

The operating system may deliver the bytes of a connection in pieces of any
size, split at any position.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.node.proxy.body import Body
from medlarhoist.node.proxy.head import parse_request_head, parse_response_head
from medlarhoist.node.proxy.reader import MessageReader, Phase

PLAIN = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
FIXED_LENGTH = (
    b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n\r\n\r\n!'
)
CHUNKED = (
    b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\n\r\n\r\n\r\n1;x=y\r\nz\r\n0\r\nX-Deadline-Ms: 1\r\n\r\n'
)
STREAM = b''.join((PLAIN, FIXED_LENGTH, CHUNKED, PLAIN))
EXPECTED = [
    (b'/a', b''),
    (b'/b', b'\r\n\r\n!'),
    (b'/c', b'\r\n\r\nz'),
    (b'/a', b''),
]


class RecordingHandler:
    """Records the messages and faults that a reader finds."""

    def __init__(self):
        self.messages = []
        self.heads = []
        self.faults = []
        self.body = b''
        self.pieces = 0

    def on_head(self, head):
        self.heads.append(head)
        self.body = b''
        return True

    def on_body(self, piece):
        self.body += piece
        self.pieces += 1

    def on_end(self):
        self.messages.append((self.heads[-1].url, self.body))

    def on_fault(self, fault):
        self.faults.append(fault)


def _read(raw, cuts, parse=parse_request_head):
    """Feed bytes to a reader, split at some positions; return its handler."""
    handler = RecordingHandler()
    reader = MessageReader(parse, handler, Phase.HEAD, len(raw))
    ends = sorted({*cuts, len(raw)})
    begin = 0
    for end in ends:
        reader.feed(raw[begin:end])
        begin = end
        while reader.phase is Phase.PAUSED and reader.has_bytes:
            reader.resume()
    return handler


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=30))
def test_messages_do_not_depend_on_how_bytes_are_split(cuts):
    handler = _read(STREAM, cuts)
    assert handler.messages == EXPECTED
    assert not handler.faults


def test_trailers_do_not_become_headers():
    head = _read(CHUNKED, []).heads[0]
    assert [name for name, _ in head.headers] == [b'host', b'transfer-encoding']


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=300), st.sampled_from((b'', PLAIN[:-2], CHUNKED)))
def test_random_bytes_cause_at_most_one_fault(noise, start):
    for parse in (parse_request_head, parse_response_head):
        raw = b''.join((start, noise))
        handler = _read(raw, range(0, len(raw), 7), parse)
        assert len(handler.faults) <= 1


@pytest.mark.parametrize('content', [b'a', b'\r\n\r\n'])
def test_small_chunks_of_one_read_are_one_piece(content):
    """Each object of a piece takes far more than its content."""
    count = 1000
    chunk = b'%x\r\n%b\r\n' % (len(content), content)
    head, _, _ = CHUNKED.partition(b'4\r\n')
    handler = _read(b'%b%b0\r\n\r\n' % (head, chunk * count), [len(head)])
    assert handler.messages == [(b'/c', content * count)]
    assert handler.pieces == 1


def test_small_pieces_of_a_body_are_kept_joined():
    body = Body(lambda is_on: None)
    for _ in range(10_000):
        body.feed(b'ab')
    assert len(body._chunks) <= 10
    assert body.pop_buffered() == b'ab' * 10_000
