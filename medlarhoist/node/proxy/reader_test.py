"""Tests that the bytes of a connection are cut alike however they come."""

from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.node.proxy.head import parse_request_head, parse_response_head
from medlarhoist.node.proxy.reader import MessageReader, Phase

PLAIN = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
COUNTED = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n\r\n\r\n!'
CHUNKS = (
    b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\n\r\n\r\n\r\n1;x=y\r\nz\r\n0\r\nX-Deadline-Ms: 1\r\n\r\n'
)
STREAM = b''.join((PLAIN, COUNTED, CHUNKS, PLAIN))
WHOLE = [
    (b'/a', b''),
    (b'/b', b'\r\n\r\n!'),
    (b'/c', b'\r\n\r\nz'),
    (b'/a', b''),
]


class Log:
    """Keeps what a reader finds."""

    def __init__(self):
        self.messages = []
        self.heads = []
        self.faults = []
        self.body = b''

    def on_head(self, head):
        self.heads.append(head)
        self.body = b''
        return True

    def on_body(self, piece):
        self.body += piece

    def on_end(self):
        self.messages.append((self.heads[-1].url, self.body))

    def on_fault(self, fault):
        self.faults.append(fault)


def _read(raw, cuts, parse=parse_request_head):
    log = Log()
    reader = MessageReader(parse, log, Phase.HEAD, len(raw))
    ends = sorted({*cuts, len(raw)})
    begin = 0
    for end in ends:
        reader.feed(raw[begin:end])
        begin = end
        while reader.phase is Phase.PAUSED and reader.has_bytes:
            reader.resume()
    return log


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=30))
def test_messages_are_the_same_however_they_are_cut(cuts):
    log = _read(STREAM, cuts)
    assert log.messages == WHOLE
    assert not log.faults


def test_trailers_do_not_become_headers():
    head = _read(CHUNKS, []).heads[0]
    assert [name for name, _ in head.headers] == [b'host', b'transfer-encoding']


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=300), st.sampled_from((b'', PLAIN[:-2], CHUNKS)))
def test_no_bytes_break_the_reader(noise, start):
    for parse in (parse_request_head, parse_response_head):
        raw = b''.join((start, noise))
        log = _read(raw, range(0, len(raw), 7), parse)
        assert len(log.faults) <= 1
