"""Floor client: reads the floor of a starting node.

A majority of the domain's keepers knows it, also while the domain is cut off.
The leader of the sources knows it too: no node has served a version that was
not accepted, and its answer comes after a round to a majority of the sources.
"""

from collections.abc import Coroutine
from typing import Any

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, newest_set, read_floor
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.keeper import Keeper
from medlarhoist.utils.tasks import ask_until
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import FloorQuery
from medlarhoist.wire.procedures import FLOOR


async def ask_floor(
    cfg: NodeSettings,
    channels: Channels,
    keeper: Keeper,
    leader: str,
) -> int | None:
    """Ask the leader, or every keeper of the domain, and return the floor.

    Args:
        cfg: settings of this node.
        channels: its connections.
        keeper: its own part as a keeper; learns newer sets.
        leader: control address of the leader, empty where it is unknown.

    Returns:
        The floor, or None where neither the leader nor a majority of
        recovered keepers answered.
    """
    keepers = keeper.state.keepers
    if keepers is None:
        return None
    if leader:
        query = FloorQuery(node=cfg.name, domain=cfg.domain)
        told = await channels.try_call(leader, FLOOR, query)
        if told is not None and told.leads:
            keeper.adopt(told.keepers)
            return int(told.held)
    answers: list[FloorReply] = []
    if cfg.name in keepers.members:
        answers.append(keeper.answer())

    def take(answer: FloorReply) -> bool:  # noqa: WPS430  collects
        answers.append(answer)
        return read_floor(keepers, answers) is not None

    await ask_until(_ask_all(cfg, channels, keepers), take)
    newest = newest_set(keepers, answers)
    keeper.adopt(newest)
    return read_floor(keepers, answers)


def _ask_all(
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
