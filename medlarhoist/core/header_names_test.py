"""Tests of the headers by which a node speaks with callers and targets."""

import pytest

from medlarhoist.core.header_names import (
    DEFAULT_DIALECT,
    Dialect,
    drop_reserved,
    find_parent_id,
    is_crossed,
    is_refusal,
    read_id,
)

OTHER = Dialect(
    request_id=b'x-id',
    origin=b'x-from',
    expected_target=b'x-run',
    refusal=b'x-not-run',
    refusal_statuses=frozenset((421,)),
)


def test_callers_cannot_set_what_nodes_set():
    sent = [(b'x-from', b'me'), (b'x-run', b'i-1'), (b'x-id', b'7')]
    assert drop_reserved(OTHER, sent) == [(b'x-id', b'7')]
    assert drop_reserved(DEFAULT_DIALECT, sent) == sent


@pytest.mark.parametrize(
    ('status', 'headers', 'refused'),
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
def test_only_what_a_target_says_is_a_refusal(status, headers, refused):
    assert is_refusal(OTHER, status, headers) is refused


def test_an_answer_to_another_request_is_crossed():
    sent = [(b'x-id', b'7')]
    assert is_crossed(OTHER, sent, [(b'x-id', b'8')])
    assert not is_crossed(OTHER, sent, [(b'x-id', b'7')])
    assert not is_crossed(OTHER, sent, [])
    assert not is_crossed(DEFAULT_DIALECT, sent, [(b'x-id', b'8')])


def test_the_id_of_a_request_is_the_callers():
    assert read_id(OTHER, [(b'x-id', b'9c41')]) == '9c41'
    assert read_id(DEFAULT_DIALECT, [(b'x-id', b'9c41')]) == ''


@pytest.mark.parametrize(
    ('nesting', 'caller_id', 'parent_id'),
    [
        ('.', 'a1', ''),
        ('.', 'a1.b2', 'a1'),
        ('.', 'a1.b2.c3', 'a1.b2'),
        ('', 'a1.b2', ''),
    ],
)
def test_the_id_of_a_call_tells_the_request_that_made_it(
    nesting,
    caller_id,
    parent_id,
):
    dialect = Dialect(nesting=nesting)
    assert find_parent_id(dialect, caller_id) == parent_id
