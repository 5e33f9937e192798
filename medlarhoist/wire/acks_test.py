"""Tests of the acknowledgements of subtrees."""

import pytest

from medlarhoist.wire.acks import MAX_NAMES, sum_acks
from medlarhoist.wire.message import Ack, Hello
from medlarhoist.wire.session import Session


def _ack(**fields):
    return Ack(version=1, staged=1, active=1, nodes=1, **fields)


@pytest.fixture(name='attach')
def _attach():
    """Return a function that creates the session of an attached child."""

    def create(name, candidates=()):
        hello = Hello(
            node=name,
            domain='a',
            address=f'{name}:1',
            active=1,
            digest='',
            schema=1,
        )
        session = Session(hello)
        spare = {child: f'{child}:1' for child in candidates}
        session.record_ack(_ack(spare=spare))
        return session

    return create


def test_nodes_below_children_can_become_keepers(attach):
    """Otherwise a domain whose nodes form a chain keeps a single keeper."""
    total = sum_acks(_ack(), (attach('b', ('d', 'e')), attach('c')))
    assert total.spare == {name: f'{name}:1' for name in 'bcde'}


def test_direct_children_are_the_first_candidates(attach):
    below = [f'n{number}' for number in range(MAX_NAMES)]
    total = sum_acks(_ack(), (attach('b', below), attach('c')))
    assert len(total.spare) == MAX_NAMES
    assert {'b', 'c'} <= set(total.spare)
