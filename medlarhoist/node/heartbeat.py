"""Heartbeat: tells the children of a node at intervals what it holds.

A child leaves a parent that falls silent, or that is out of touch with the
leader of the sources.
"""

import asyncio
from typing import Final

from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.downlink import Downlink
from medlarhoist.node.gossip import Gossip
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.wire.message import Ages

# Children leave a parent that sends nothing for more than two of them.
HEARTBEAT_SECONDS: Final = 0.5
# Keepers send the ages of summaries with every tenth heartbeat.
HEARTBEATS_PER_AGES: Final = 10


class Heartbeat:
    """Sends the heartbeats of one node."""

    __slots__ = (
        '_cfg',
        '_directory',
        '_downlink',
        '_gossip',
        '_keeper',
        '_registry',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        directory: Directory,
        downlink: Downlink,
        gossip: Gossip,
        keeper: Keeper,
        registry: TargetRegistry,
    ) -> None:
        """Create the sender; `send_all` runs it."""
        self._cfg = cfg
        self._directory = directory
        self._downlink = downlink
        self._gossip = gossip
        self._keeper = keeper
        self._registry = registry

    async def send_all(self) -> None:
        """Send heartbeats until cancelled."""
        heartbeats = 0
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            heartbeats += 1
            self._registry.confirm_summaries({})
            if self._keeper.is_keeper and not heartbeats % HEARTBEATS_PER_AGES:
                ages = Ages(ages_ms=self._registry.ages_ms())
                self._downlink.broadcast(ages)
            self._adopt_keeper_set()
            self._downlink.account_limits.divide()
            self._downlink.account_limits.expire()
            self._downlink.send_established()
            keepers = self._directory.domain_keepers
            if not self._gossip.view().alive > 1 and keepers:
                await self._gossip.sync(self._other_keepers())

    def _adopt_keeper_set(self) -> None:
        keepers = self._keeper.state.keepers
        if keepers is not None:
            self._directory.adopt((keepers,))

    def _other_keepers(self) -> list[str]:
        keepers = self._directory.domain_keepers
        members = keepers.members if keepers else {}
        return [
            address
            for name, address in members.items()
            if name != self._cfg.name
        ]
