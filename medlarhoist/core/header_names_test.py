"""Tests of the headers exchanged with callers and targets."""

import pytest

from medlarhoist.core.header_names import (
    DEFAULT_HEADER_NAMES,
    HeaderNames,
    drop_reserved,
    find_parent_id,
    is_mismatched_response,
    is_refusal,
    read_request_id,
)

CUSTOM = HeaderNames(
    request_id=b'x-id',
    origin=b'x-from',
    expected_target=b'x-run',
    refusal=b'x-not-run',
    refusal_statuses=frozenset((421,)),
)


def test_headers_reserved_for_nodes_are_removed():
    sent = [(b'x-from', b'me'), (b'x-run', b'i-1'), (b'x-id', b'7')]
    assert drop_reserved(CUSTOM, sent) == [(b'x-id', b'7')]
    assert drop_reserved(DEFAULT_HEADER_NAMES, sent) == sent


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (503, [(b'x-not-run', b'1')], True),
        (429, [(b'x-not-run', b'true')], True),
        (400, [(b'x-not-run', b'1')], True),
        (503, [], False),
        (503, [(b'x-not-run', b'0')], False),
        (200, [(b'x-not-run', b'1')], False),
        (421, [], True),
    ],
)
def test_response_is_refusal_only_if_target_states_it(
    status, headers, expected
):
    assert is_refusal(CUSTOM, status, headers) is expected


def test_response_with_another_request_id_is_mismatched():
    sent = [(b'x-id', b'7')]
    assert is_mismatched_response(CUSTOM, sent, [(b'x-id', b'8')])
    assert not is_mismatched_response(CUSTOM, sent, [(b'x-id', b'7')])
    assert not is_mismatched_response(CUSTOM, sent, [])
    assert not is_mismatched_response(
        DEFAULT_HEADER_NAMES, sent, [(b'x-id', b'8')]
    )


def test_request_id_is_read_from_the_configured_header():
    assert read_request_id(CUSTOM, [(b'x-id', b'9c41')]) == '9c41'
    assert read_request_id(DEFAULT_HEADER_NAMES, [(b'x-id', b'9c41')]) == ''


@pytest.mark.parametrize(
    ('nesting', 'caller_id', 'parent_id'),
    [
        ('.', 'a1', ''),
        ('.', 'a1.b2', 'a1'),
        ('.', 'a1.b2.c3', 'a1.b2'),
        ('', 'a1.b2', ''),
    ],
)
def test_parent_id_is_found_in_the_id_of_a_nested_call(
    nesting,
    caller_id,
    parent_id,
):
    names = HeaderNames(nesting=nesting)
    assert find_parent_id(names, caller_id) == parent_id
