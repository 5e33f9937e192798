"""Tests that many headers, kept as text, are the same as a list of records.

Guards against a header that is overlooked or forwarded because of its spelling,
its place or the number of lines around it.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarhoist.core.headers import (
    RESERVED_PREFIX,
    PackedHeaders,
    add_headers,
    drop_headers,
    find_header,
    forward_headers,
    pack_fields,
    pick_headers,
)

NAMES = st.sampled_from(
    [b'a', b'A', b'Host', b'te', b'TE', b'x-a', b'Connection', b'ate']
    + [b'X-Medlarhoist-Need', b'x-medlarhoist-label', b'upgrade', b'aa']
)
VALUES = st.sampled_from(
    [b'', b'1', b' 2 ', b'te: 3', b'a', b'x-a, aa', b'close', b'\t4', b'a:a']
)
LINES = st.lists(st.tuples(NAMES, VALUES), max_size=12)
DROPPED = st.sets(st.sampled_from([b'a', b'host', b'te', b'x-a', b'']))


def _pack(lines):
    text = b''.join(b'\r\n%b:%b' % line for line in lines)
    return PackedHeaders(text)


def _records(lines):
    return [(name.lower(), value.strip()) for name, value in lines]


@given(LINES)
def test_packed_headers_are_their_records(lines):
    packed = _pack(lines)
    assert list(packed) == _records(lines)
    assert len(packed) == len(lines)


@given(LINES, DROPPED)
def test_headers_are_found_and_picked_by_name(lines, names):
    records = _records(lines)
    packed = _pack(lines)
    for name in names:
        assert find_header(packed, name) == find_header(records, name)
    picked = pick_headers(records, names)
    assert list(pick_headers(packed, names)) == picked


@given(LINES, DROPPED, st.sampled_from([b'', b'x-', RESERVED_PREFIX]))
def test_headers_are_left_out_by_name_and_prefix(lines, names, prefix):
    kept = drop_headers(_records(lines), names, prefix)
    assert list(drop_headers(_pack(lines), names, prefix)) == kept


@given(LINES)
def test_the_same_headers_are_forwarded(lines):
    forwarded = forward_headers(_records(lines))
    assert list(forward_headers(_pack(lines))) == forwarded


def test_a_long_list_of_connection_options_is_left_out():
    options = b','.join(b'h%d' % each for each in range(500))
    lines = [(b'Connection', options), (b'H7', b'1'), (b'h500', b'1')]
    assert list(forward_headers(_pack(lines))) == [(b'h500', b'1')]


@given(LINES)
def test_added_headers_stand_behind_the_others(lines):
    added = ((b'x-new', b'5'), (b'a', b'6'))
    expected = [*_records(lines), *added]
    assert list(add_headers(_pack(lines), added)) == expected
    assert add_headers(_records(lines), added) == expected


@pytest.mark.parametrize('count', [0, 1, 24, 25, 3000])
def test_only_many_lines_of_a_head_are_packed(count):
    lines = b'a:\r\n' * count
    packed = pack_fields(b'GET / HTTP/1.1\r\n%b\r\n' % lines)
    assert (packed is None) is (count <= 24)
    assert packed is None or list(packed) == [(b'a', b'')] * count
