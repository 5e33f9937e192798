"""Tests of who is read and who is refused when clients hold much memory.

Guards against a node that runs out of memory, and against one that refuses
ordinary clients for what a few others hold. Each load pattern is a list of
what connections hold.
"""

import pytest
from msgspec import Struct

from medlarhoist.core.client_memory import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    MemoryBudget,
    find_client_limit,
    weigh_head,
)

MEGABYTE = 1024 * 1024
LIMIT = 64 * MEGABYTE


class Holding(Struct, frozen=True):
    """What a large connection holds."""

    address: str
    charged: int
    opened_at: float


def _fill(holdings):
    budget = MemoryBudget(LIMIT)
    budget.count_connections(len(holdings))
    for holding in holdings:
        budget.charge(holding.address, holding.charged)
    return budget


def _crowd(count, charged, address='crowd'):
    return [Holding(address, charged, float(each)) for each in range(count)]


ORDINARY = _crowd(1000, 8000, 'ordinary')


def test_nobody_is_stopped_or_refused_within_the_budget():
    holdings = [*ORDINARY, *_crowd(100, 128 * 1024)]
    budget = _fill(holdings)
    assert budget.pick_refused(holdings) == []
    assert all(budget.may_read(each.address, each.charged) for each in holdings)


@pytest.mark.parametrize('address', ['ordinary', 'crowd'])
def test_a_crowd_is_refused_before_ordinary_clients(address):
    """Also where the crowd comes from the address of ordinary clients."""
    crowd = _crowd(500, 128 * 1024, address)
    holdings = [*ORDINARY, *crowd]
    budget = _fill(holdings)
    refused = budget.pick_refused(holdings)
    assert refused
    assert all(each in crowd for each in refused)
    left = sum(each.charged for each in refused)
    assert budget.used - left <= LIMIT


def test_of_equal_holders_the_oldest_of_the_heaviest_address_are_refused():
    few = _crowd(100, MEGABYTE // 8, 'few')
    many = _crowd(500, MEGABYTE // 8, 'many')
    holdings = [*few, *many]
    refused = _fill(holdings).pick_refused(holdings)
    assert refused == many[: len(refused)]


def test_all_small_holders_are_refused_only_as_far_as_needed():
    crowd = _crowd(4096, REQUEST_BYTES + 1)
    refused = _fill(crowd).pick_refused(crowd)
    assert 0 < len(refused) < len(crowd) / 2


@pytest.mark.parametrize(
    'holdings',
    [
        _crowd(1, LIMIT // 16 + 1),
        _crowd(33, MEGABYTE),
        [*_crowd(25, MEGABYTE, 'a'), *_crowd(25, MEGABYTE, 'b')],
    ],
    ids=['connection', 'address', 'process'],
)
def test_over_a_share_only_large_connections_are_not_read(holdings):
    budget = _fill(holdings)
    assert not budget.may_read(holdings[0].address, holdings[0].charged)
    assert budget.may_read(holdings[0].address, 0)
    for holding in holdings:
        budget.charge(holding.address, -holding.charged)
    assert budget.may_read(holdings[0].address, 1)
    assert budget.used == len(holdings) * CONNECTION_BYTES


@pytest.mark.parametrize(
    ('memory_mb', 'resident_mb', 'limit_mb'),
    [(0, 45, 64), (300, 45, 64), (128, 48, 40), (100, 45, 27), (40, 45, 4)],
)
def test_the_limit_leaves_memory_to_the_process(
    memory_mb, resident_mb, limit_mb
):
    limit = find_client_limit(
        LIMIT, memory_mb * MEGABYTE, resident_mb * MEGABYTE
    )
    assert limit // MEGABYTE == limit_mb


def test_of_stuck_connections_the_largest_are_refused_first():
    small = _crowd(100, REQUEST_BYTES)
    large = _crowd(100, MEGABYTE // 4)
    stuck = [*small, *large]
    refused = _fill(stuck).pick_stuck(stuck)
    assert refused == large[: len(refused)]
    assert 0 < len(refused) < len(large)


def test_a_parsed_head_weighs_more_than_its_text():
    assert weigh_head(16_384, 0) >= 2 * 16_384
    assert weigh_head(400, 64) >= 400 + 64 * 100
