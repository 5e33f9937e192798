"""Tests of the strict rules for heads."""

import pytest

from medlarhoist.core.head_check import (
    HeadFault,
    check_answer_head,
    check_host,
    check_request_head,
    find_framing,
)

GOOD = b'GET /a?b HTTP/1.1\r\nHost: x\r\nX-A: \xe9 b\r\n\r\n'


def test_a_plain_head_is_taken():
    assert check_request_head(GOOD) is None
    assert check_answer_head(b'HTTP/1.1 200 OK\r\nA: b\r\n\r\n') is None


@pytest.mark.parametrize(
    'raw',
    [
        b'GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost : x\r\n\r\n',
        b'GET / HTTP/1.1\nHost: x\n\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: x\rX: y\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: x\x00\r\n\r\n',
        b'GET / HTTP/1.1\r\n: x\r\n\r\n',
        b'GET / HTTP/2.0\r\nHost: x\r\n\r\n',
        b'GET  / HTTP/1.1\r\nHost: x\r\n\r\n',
        b'GET / a HTTP/1.1\r\nHost: x\r\n\r\n',
        b'get / HTTP/1.1\r\nHost: x\r\n\r\n',
        b'\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n',
    ],
)
def test_a_malformed_request_head_is_refused(raw):
    assert check_request_head(raw) is not None


@pytest.mark.parametrize(
    'headers',
    [
        [(b'content-length', b'1'), (b'transfer-encoding', b'chunked')],
        [(b'content-length', b'1'), (b'content-length', b'1')],
        [(b'content-length', b'1, 1')],
        [(b'content-length', b'+1')],
        [(b'content-length', b'')],
        [(b'transfer-encoding', b'gzip, chunked')],
        [(b'transfer-encoding', b'xchunked')],
        [(b'transfer-encoding', b'chunked'), (b'transfer-encoding', b'x')],
    ],
)
def test_ambiguous_framing_is_refused(headers):
    fault = find_framing(headers, is_old=False, limit=9)
    assert isinstance(fault, HeadFault)
    assert fault.status == 400


def test_a_huge_length_is_refused():
    headers = [(b'content-length', b'9' * 40)]
    assert find_framing(headers, is_old=False, limit=9).status == 413


def test_one_host_is_needed():
    host = (b'host', b'x')
    assert check_host([host], is_old=False) is None
    assert check_host([], is_old=True) is None
    assert check_host([], is_old=False) is not None
    assert check_host([host, host], is_old=True) is not None
