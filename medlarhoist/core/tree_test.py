"""Tests of the selection of parents, and of the backoff of retries."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.core.backoff import (
    LONGEST_SECONDS,
    RETRIES_PER_SECOND,
    delay_seconds,
    max_delay_seconds,
)
from medlarhoist.core.tree import (
    FANOUT,
    MAX_CHILDREN,
    choose_redirect,
    may_admit,
    order_parents,
    rank_of,
)

KEEPERS = ('k0', 'k1', 'k2')


def _names(count):
    return [f'n{number}' for number in range(count)]


@pytest.mark.parametrize('count', [3, 60, 1130])
def test_regular_parents_are_bounded_and_shallow(count):
    names = _names(count)
    parents = {
        name: order_parents(name, KEEPERS, names, Random(1))[0]
        for name in names
    }
    for parent in set(parents.values()):
        children = [name for name in names if parents[name] == parent]
        assert len(children) <= FANOUT
    for name in names:
        depth = 0
        while name not in KEEPERS:
            name = parents[name]
            depth += 1
        assert depth <= 3


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sets(st.sampled_from(_names(12))), min_size=12, max_size=12))
def test_different_views_of_a_domain_form_no_loop(views):
    parents = {}
    for name, view in zip(_names(12), views, strict=True):
        for parent in order_parents(name, (), view | {name}, Random(0)):
            assert rank_of(parent) < rank_of(name)
            parents[name] = parent
    for name in parents:
        steps = 0
        while name in parents:
            name = parents[name]
            steps += 1
        assert steps <= 12


def test_a_parent_that_is_no_keeper_admits_higher_ranks_only():
    low, high = sorted(_names(2), key=rank_of)
    assert may_admit(low, high, is_keeper=False, children=0)
    assert not may_admit(high, low, is_keeper=False, children=0)
    assert may_admit(high, low, is_keeper=True, children=0)


def test_a_full_parent_redirects_to_a_child_of_lower_rank():
    low, high = sorted(_names(2), key=rank_of)
    assert not may_admit('k0', high, is_keeper=True, children=MAX_CHILDREN)
    assert choose_redirect({low: 'x:1'}, high, Random(1)) == 'x:1'
    assert choose_redirect({high: 'x:1'}, low, Random(1)) == ''


def test_retries_spread_and_stay_bounded():
    random = Random(1)
    delays = [delay_seconds(40, random) for _ in range(200)]
    assert max(delays) <= LONGEST_SECONDS
    assert max(delays) - min(delays) > LONGEST_SECONDS / 2


def test_the_members_of_a_domain_retry_at_a_bounded_rate():
    for members in (20, 60, 250):
        assert members / max_delay_seconds(members) <= RETRIES_PER_SECOND
    assert max_delay_seconds(4) < 1
    assert max_delay_seconds(1200) == LONGEST_SECONDS
