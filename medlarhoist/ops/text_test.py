"""Tests of the human-readable output."""

from medlarhoist.core.accounts import SHOWN_DIGITS, digest_key
from medlarhoist.core.resource import Account
from medlarhoist.ops.text import describe_resource


def test_an_account_shows_its_limits_and_the_first_digits_of_its_keys():
    digest = digest_key(b'k-1')
    account = Account(name='studio', key_digests=(digest,), rate=180, burst=9)
    line = describe_resource(account)
    assert digest[:SHOWN_DIGITS] in line
    assert digest not in line
    assert 'rate=180' in line
