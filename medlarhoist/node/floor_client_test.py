"""Tests of the question for the floor."""

import asyncio

import pytest

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply
from medlarhoist.core.settings import NodeSettings, Peer
from medlarhoist.node.configuration import create_configuration
from medlarhoist.node.floor_client import ask_floor
from medlarhoist.node.keeper import Keeper

LEADER = '127.0.0.1:1'
KEEPERS = KeeperSet(
    domain='a',
    epoch=1,
    members={'k': '127.0.0.1:2'},
)


class Channels:
    """Connections over which each address gives one answer."""

    def __init__(self, answers):
        self.answers = answers

    async def try_call(self, address, method, query):
        """Answer at once."""
        return self.answers.get(address)


def _ask(answers):
    source = Peer(name='s1', control=LEADER, api=LEADER)
    cfg = NodeSettings(
        name='n',
        domain='a',
        admin='',
        shared_key='k' * 16,
        sources=(source,),
        control='127.0.0.1:3',
        gossip='127.0.0.1:3',
        entry='127.0.0.1:4',
        peer='127.0.0.1:5',
    )
    keeper = Keeper(cfg, create_configuration())
    keeper.adopt(KEEPERS)
    return asyncio.run(ask_floor(cfg, Channels(answers), keeper, LEADER))


@pytest.mark.parametrize(('leads', 'floor'), [(True, 7), (False, None)])
def test_only_a_leader_tells_the_floor_alone(leads, floor):
    """A node that had just restarted was taken for the leader."""
    told = FloorReply(
        node='x', held=7, recovered=1, keepers=KEEPERS, leads=leads
    )
    assert _ask({LEADER: told}) == floor


def test_a_majority_of_keepers_tells_it_where_the_leader_does_not():
    told = FloorReply(node='x', held=0, recovered=0, keepers=KEEPERS)
    kept = FloorReply(node='k', held=7, recovered=1, keepers=KEEPERS)
    assert _ask({LEADER: told, '127.0.0.1:2': kept}) == 7
