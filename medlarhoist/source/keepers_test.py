"""Tests of when the leader commits keeper sets.

Guards against a set that is made from the first node that is heard of in a
domain of many: it replaces keepers that are about to come back, and the domain
gets no version until that one node has attached.
"""

import asyncio

import pytest

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.core.state import State
from medlarhoist.source.keepers import (
    CANDIDATE_TIMEOUT_SECONDS,
    FORCED_SET_WAIT_SECONDS,
    KeeperAssigner,
)

ADDRESSES = {name: f'127.0.0.1:{port}' for port, name in enumerate('abcdef')}
CUT_SECONDS = 5


class FakeLedger:
    """Commits each proposed keeper set."""

    def __init__(self):
        members = {name: ADDRESSES[name] for name in 'abc'}
        keepers = KeeperSet(domain='x', epoch=1, members=members)
        self.state = State(keepers={'x': keepers})
        self.sets = []

    async def propose(self, command):
        self.sets.append(sorted(command.keepers.members))


class Leader:
    """An assigner whose domain was cut off until time zero."""

    def __init__(self):
        self.now = -CUT_SECONDS
        self.ledger = FakeLedger()
        self.attached = set()
        self.assigner = KeeperAssigner(self.ledger, 3, lambda: self.now)
        self.hear('def')
        self.now = -1
        self.assign()
        self.now = 0

    def hear(self, names):
        for name in names:
            self.assigner.record_node('x', name, ADDRESSES[name])

    def assign(self):
        """Assign and return the sets that have been committed so far."""
        views = {
            name: KeeperView(
                ready=int(name in self.attached),
                silent_seconds=(
                    0 if name in self.attached else CUT_SECONDS + self.now
                ),
            )
            for name in 'abc'
        }
        asyncio.run(self.assigner.assign('x', views))
        return self.ledger.sets


@pytest.fixture
def leader():
    return Leader()


def test_a_domain_that_comes_back_gets_no_keeper_from_its_first_node(leader):
    leader.hear('d')
    assert not leader.assign()
    leader.now = FORCED_SET_WAIT_SECONDS / 2
    assert not leader.assign()


def test_keepers_that_attach_again_meanwhile_stay(leader):
    leader.hear('d')
    assert not leader.assign()
    leader.now = FORCED_SET_WAIT_SECONDS / 2
    leader.attached = set('abc')
    leader.hear('abc')
    leader.now = FORCED_SET_WAIT_SECONDS
    assert not leader.assign()


def test_enough_nodes_become_keepers_without_a_wait(leader):
    leader.hear('def')
    assert leader.assign() == [['d', 'e', 'f']]


def test_a_single_node_becomes_keeper_after_the_wait(leader):
    leader.hear('d')
    leader.assign()
    leader.now = FORCED_SET_WAIT_SECONDS
    leader.hear('d')
    assert leader.assign() == [['d']]


def test_a_node_that_was_known_before_the_loss_becomes_keeper_at_once(leader):
    """Keepers fail in a domain whose other nodes were never away."""
    leader.hear('d')
    leader.now = CANDIDATE_TIMEOUT_SECONDS - 1
    leader.hear('d')
    assert leader.assign() == [['d']]
