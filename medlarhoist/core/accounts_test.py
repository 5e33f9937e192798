"""Tests of how the account of a request is found.

They guard against keys that reach a target, and against two requests that are
taken for each other's account.
"""

import pytest

from medlarhoist.core.accounts import (
    digest_key,
    find_account,
    find_named_account,
    has_accounts,
    read_key,
    replace_credentials,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.resource import Account
from medlarhoist.core.snapshot import Snapshot

NAMES = HeaderNames(account=b'x-name')
LARGE = Account(name='large', key_digests=(digest_key(b'k-1'),))
SMALL = Account(name='small')


def _compile(*accounts):
    return Compiled(Snapshot(version=1, accounts=accounts), '')


def _authorize(*values):
    return [(b'authorization', value) for value in values]


@pytest.mark.parametrize(
    ('values', 'key'),
    [
        ((b'Token k-1',), b'k-1'),
        ((b'tOKEN   k-1 ',), b'k-1'),
        ((), None),
        ((b'Token',), None),
        ((b'Token ',), None),
        ((b'Bearer k-1',), None),
        ((b'k-1',), None),
        ((b'Token k-1', b'Token k-1'), None),
    ],
)
def test_a_key_is_read_from_exactly_one_credential(values, key):
    assert read_key(NAMES, _authorize(*values)) == key


def test_an_account_is_found_by_the_digest_of_its_key():
    compiled = _compile(LARGE, SMALL)
    assert find_account(compiled, NAMES, _authorize(b'Token k-1')) is LARGE
    assert find_account(compiled, NAMES, _authorize(b'Token k-2')) is None
    digest = digest_key(b'k-1').encode()
    spoken = _authorize(b'Token %b' % digest)
    assert find_account(compiled, NAMES, spoken) is None


def test_an_account_is_found_by_name():
    compiled = _compile(LARGE, SMALL)
    assert find_named_account(compiled, 'small') is SMALL
    assert find_named_account(compiled, 'medium') is None
    assert find_named_account(compiled, 'tiny') is None


def test_accounts_without_any_key_still_need_one():
    assert has_accounts(_compile(SMALL))
    assert not has_accounts(_compile())


def test_a_target_sees_the_account_and_no_key():
    sent = [
        (b'x-name', b'fake'),
        *_authorize(b'Token k-1', b'other'),
        (b'accept', b'*'),
        (b'x-name', b'fake too'),
    ]
    assert replace_credentials(NAMES, sent, LARGE) == [
        (b'accept', b'*'),
        (b'x-name', b'large'),
    ]
    assert replace_credentials(NAMES, sent, None) == [(b'accept', b'*')]
