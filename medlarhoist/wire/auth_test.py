"""Tests of the tokens between processes."""

import pytest

from medlarhoist.wire.auth import is_token_valid, make_token

KEY = b'shared'


def test_a_token_is_valid_within_its_lifetime():
    assert is_token_valid(KEY, make_token(KEY, 'n1', 1000), 1100)


@pytest.mark.parametrize(
    ('token', 'now'),
    [
        (make_token(b'other', 'n1', 1000), 1000),
        (make_token(KEY, 'n1', 1000), 1301),
        (make_token(KEY, 'n1', 1000).replace('n1', 'n2'), 1000),
        ('', 1000),
        ('n1:1000:\u00e9', 1000),
        ('n1:\u00b2:aa', 1000),
        (f'n1:{"1" * 5000}:aa', 1000),
    ],
)
def test_wrong_or_expired_token_is_invalid(token, now):
    assert not is_token_valid(KEY, token, now)
