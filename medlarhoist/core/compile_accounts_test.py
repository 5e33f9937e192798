"""Tests of accounts and domain drains in snapshots.

Guards against a kind of record that one of the steps from snapshot to compiled
configuration loses.
"""

import pytest
from msgspec.structs import replace

from medlarhoist.core.compile import compile_next, compile_snapshot
from medlarhoist.core.delta import apply_changes, encode_changes
from medlarhoist.core.digest import digest_of
from medlarhoist.core.resource import Account, DomainDrain
from medlarhoist.core.snapshot import Snapshot

FIRST, SECOND = 'a' * 64, 'b' * 64
PLAIN = Snapshot(version=1)
FULL = Snapshot(
    version=2,
    accounts=(
        Account(name='north', key_digests=(FIRST,), rate=5, burst=2),
        Account(name='south', key_digests=(SECOND,), priority=1),
    ),
    domain_drains=(DomainDrain(name='a'),),
)


@pytest.fixture(params=['full', 'incremental'])
def compiled(request):
    """Return the full snapshot, compiled in one of two ways."""
    if request.param == 'full':
        found, faults = compile_snapshot(FULL)
    else:
        base, _ = compile_snapshot(PLAIN)
        found, faults = compile_next(base, FULL)
    assert not faults
    return found


def test_accounts_are_found_by_the_digests_of_their_keys(compiled):
    assert compiled.accounts[FIRST].name == 'north'
    assert compiled.accounts[SECOND].priority == 1


def test_drained_domains_are_listed(compiled):
    assert compiled.drained_domains == {'a'}


def test_the_digest_is_the_same_however_it_is_computed(compiled):
    assert compiled.digest == digest_of(FULL)


@pytest.mark.parametrize(('before', 'after'), [(PLAIN, FULL), (FULL, PLAIN)])
def test_a_delta_restores_every_kind_of_record(before, after):
    restored, faults = apply_changes(before, encode_changes(before, after))
    assert not faults
    assert restored == after


def test_a_withdrawn_key_is_found_no_longer(compiled):
    north = replace(FULL.accounts[0], key_digests=())
    after = replace(FULL, version=3, accounts=(north, FULL.accounts[1]))
    found, _ = compile_next(compiled, after)
    assert FIRST not in found.accounts


@pytest.mark.parametrize(
    ('account', 'message'),
    [
        (Account(name='south', key_digests=(FIRST,)), 'shares a key'),
        (Account(name='south', key_digests=('secret',)), 'hexadecimal'),
        (Account(name='', key_digests=()), 'empty'),
        (Account(name='south', rate=-1), 'rate'),
        (Account(name='south', priority=-1), 'priority'),
    ],
)
def test_invalid_accounts_are_refused(compiled, account, message):
    snapshot = replace(
        FULL,
        version=3,
        accounts=tuple(
            sorted((FULL.accounts[0], account), key=lambda item: item.name)
        ),
    )
    for found, faults in (
        compile_snapshot(snapshot),
        compile_next(compiled, snapshot),
    ):
        assert found is None
        assert any(message in fault.message for fault in faults)
