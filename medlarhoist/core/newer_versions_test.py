"""Tests of what a node makes of the versions of other members."""

import pytest

from medlarhoist.core.newer_versions import (
    MAX_TELLERS,
    MAX_VERSIONS,
    NewerVersions,
)


@pytest.fixture(name='newer')
def _newer():
    return NewerVersions()


def test_the_newest_and_latest_teller_is_asked_first(newer):
    for version, teller in ((5, 'a'), (6, 'b'), (6, 'c'), (4, 'd')):
        newer.record(version, teller, 3, 0)
    tellers = [newer.pop_teller(3) for _ in range(5)]
    assert tellers == ['c', 'b', 'a', 'd', '']


def test_a_teller_that_is_being_asked_is_left_out(newer):
    newer.record(5, 'a', 3, 0)
    newer.record(4, 'b', 3, 0)
    assert newer.pop_teller(3, asked=('a',)) == 'b'
    assert newer.pop_teller(3, asked=('a',)) == ''
    assert newer.pop_teller(3) == 'a'


def test_tellers_that_are_no_newer_are_not_asked(newer):
    assert not newer.record(3, 'a', 3, 0)
    assert newer.record(4, 'b', 3, 0)
    assert newer.pop_teller(4) == ''
    assert newer.seconds_behind(4, 9) == 0


def test_a_node_is_behind_since_the_first_version_that_it_lacks(newer):
    """A later version does not make an earlier one late again."""
    newer.record(4, 'a', 3, 10)
    newer.record(5, 'a', 3, 12)
    assert newer.seconds_behind(3, 13) == 3
    assert newer.seconds_behind(4, 13) == 1
    assert newer.seconds_behind(5, 13) == 0


def test_a_node_is_behind_from_the_moment_at_which_it_is_told(newer):
    newer.record(4, 'a', 3, 10)
    assert newer.seconds_behind(3, 10) == 0
    assert newer.is_behind(3)
    assert not newer.is_behind(4)


def test_what_is_held_is_bounded_and_keeps_the_first_version(newer):
    for version in range(100):
        newer.record(version, f'a{version}', 0, version)
    assert newer.seconds_behind(0, 100) == 99
    assert newer.seconds_behind(MAX_VERSIONS, 100) == 0
    tellers = iter(lambda: newer.pop_teller(0), '')
    assert len(list(tellers)) == MAX_TELLERS
