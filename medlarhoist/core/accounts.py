"""Accounts: finds the client account of a request by its key.

Keys are compared by their SHA-256 digests only. The time that a look-up takes
depends on the digest, from which nothing of a key follows.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.headers import (
    ACCOUNT_HEADER,
    Header,
    add_headers,
    drop_headers,
)
from medlarhoist.core.resource import Account

# Digits of a digest by which operators tell keys apart.
SHOWN_DIGITS: Final = 12


def digest_key(key: bytes) -> str:
    """Return the digest by which configurations hold a key."""
    return hashlib.sha256(key).hexdigest()


def has_accounts(compiled: Compiled) -> bool:
    """Return whether requests need a key, unless their route is anonymous.

    That holds also where no account has a key any more.
    """
    return bool(compiled.snapshot.accounts)


def read_key(names: HeaderNames, headers: Sequence[Header]) -> bytes | None:
    """Return the key of a request.

    Args:
        names: header names of the node.
        headers: headers of the request, with lower-case names.

    Returns:
        The key; None where the request has no credential, more than one, or
        one of another form than scheme, space, key.
    """
    credentials = [value for name, value in headers if name == names.credential]
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b' ')
    key = key.strip()
    if scheme.lower() != names.credential_scheme or not key:
        return None
    return key


def find_account(
    compiled: Compiled,
    names: HeaderNames,
    headers: Sequence[Header],
) -> Account | None:
    """Return the account whose key a request carries, None for none."""
    key = read_key(names, headers)
    if key is None:
        return None
    return compiled.accounts.get(digest_key(key))


def find_named_account(compiled: Compiled, name: str) -> Account | None:
    """Return the account of this name, None for none."""
    accounts = compiled.snapshot.accounts
    index = bisect_left(accounts, name, key=_name_of)
    if index < len(accounts) and accounts[index].name == name:
        return accounts[index]
    return None


def replace_credentials(
    names: HeaderNames,
    headers: Sequence[Header],
    account: Account | None,
) -> Sequence[Header]:
    """Return the headers that a target may see.

    Args:
        names: header names of the node.
        headers: headers of the request.
        account: the account whose key the request carries, None for none.

    Returns:
        The headers without credentials and without an account that the caller
        has named, with the name of the account.
    """
    hidden = {names.credential, names.account}
    shown = drop_headers(headers, hidden)
    if account is None or not names.account:
        return shown
    return add_headers(shown, ((names.account, account.name.encode()),))


def format_account(name: str) -> Header:
    """Return the header that tells another node the account of a call."""
    return ACCOUNT_HEADER, name.encode()


def parse_account(value: bytes | None) -> str:
    """Return the name that another node tells, empty for no account."""
    return (value or b'').decode(errors='replace')


def _name_of(account: Account) -> str:
    return account.name
