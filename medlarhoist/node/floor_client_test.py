"""Tests of reading the floor of a starting node."""

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
    """Connections to processes that each have one fixed reply."""

    def __init__(self, replies):
        self.replies = replies

    async def try_call(self, address, method, query):
        """Return the reply of an address at once, None without one."""
        return self.replies.get(address)


def _ask(replies):
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
    return asyncio.run(ask_floor(cfg, Channels(replies), keeper, LEADER))


@pytest.mark.parametrize(('leads', 'floor'), [(True, 7), (False, None)])
def test_a_single_reply_is_enough_only_from_a_leader(leads, floor):
    """A process that does not lead must not provide the floor alone.

    A starting node may mistake another node, such as one that has just
    restarted, for the leader of the sources.
    """
    reply = FloorReply(
        node='x', held=7, recovered=1, keepers=KEEPERS, leads=leads
    )
    assert _ask({LEADER: reply}) == floor


def test_a_majority_of_keepers_is_read_if_the_leader_has_no_floor():
    not_leading = FloorReply(node='x', held=0, recovered=0, keepers=KEEPERS)
    keeper_reply = FloorReply(node='k', held=7, recovered=1, keepers=KEEPERS)
    assert _ask({LEADER: not_leading, '127.0.0.1:2': keeper_reply}) == 7
