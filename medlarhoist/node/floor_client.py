"""Floor client: reads the floor of a starting node.

The floor is the lowest configuration version that the node may serve. A
majority of the domain's keepers, the voting members of its quorum, can provide
it, also while the domain is disconnected from the sources. The leader of the
sources can provide it alone: no node has served a version that the sources did
not accept, and the leader replies only after a round to a majority of them.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from medlarhoist.core.backoff import delay_seconds, max_delay_seconds
from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, newest_set, read_floor
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.utils.tasks import gather_until
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import FloorQuery
from medlarhoist.wire.procedures import FLOOR


async def await_floor(
    cfg: NodeSettings,
    channels: Channels,
    keeper: Keeper,
    directory: Directory,
    random: Random,
    count_members: Callable[[], int],
) -> int:
    """Query for the floor until it is known, and return it.

    Args:
        cfg: settings of this node.
        channels: connections to other processes.
        keeper: state of this node as a keeper; see ask_floor.
        directory: the keeper sets and the leader as this node knows them.
        random: spreads the queries in time.
        count_members: returns the number of the domain's live members.
    """
    attempt = 0
    while True:
        keeper.adopt(directory.domain_keepers)
        floor = await ask_floor(cfg, channels, keeper, directory.leader)
        if floor is not None:
            return floor
        longest = max_delay_seconds(count_members())
        await asyncio.sleep(delay_seconds(attempt, random, longest))
        attempt += 1


async def ask_floor(
    cfg: NodeSettings,
    channels: Channels,
    keeper: Keeper,
    leader: str,
) -> int | None:
    """Query the leader, and then the keepers of the domain, for the floor.

    Args:
        cfg: settings of this node.
        channels: connections to other processes.
        keeper: state of this node as a keeper; it adopts newer keeper sets
            of the replies.
        leader: control address of the leader of the sources, empty if it is
            unknown.

    Returns:
        The floor. None if this node has received no keeper set, if neither
        the leader nor a majority of recovered keepers replied, or if a keeper
        replied with a newer set; the caller then retries.
    """
    keepers = keeper.state.keepers
    if keepers is None:
        return None
    if leader:
        query = FloorQuery(node=cfg.name, domain=cfg.domain)
        leader_reply = await channels.try_call(leader, FLOOR, query)
        if leader_reply is not None and leader_reply.leads:
            keeper.adopt(leader_reply.keepers)
            return int(leader_reply.held)
    replies: list[FloorReply] = []
    if cfg.name in keepers.members:
        replies.append(keeper.reply())

    def add_reply(reply: FloorReply) -> bool:  # noqa: WPS430  collects
        replies.append(reply)
        return read_floor(keepers, replies) is not None

    await gather_until(_keeper_queries(cfg, channels, keepers), add_reply)
    newest = newest_set(keepers, replies)
    keeper.adopt(newest)
    return read_floor(keepers, replies)


def _keeper_queries(
    cfg: NodeSettings,
    channels: Channels,
    keepers: KeeperSet,
) -> list[Coroutine[Any, Any, FloorReply | None]]:
    query = FloorQuery(node=cfg.name, domain=cfg.domain, keepers=keepers)
    return [
        channels.try_call(address, FLOOR, query)
        for name, address in keepers.members.items()
        if name != cfg.name
    ]
