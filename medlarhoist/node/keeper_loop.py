"""Keeper loop: queries the leader and the other keepers in the background.

A keeper recovers by the reply of the leader of the sources. The replies of its
peers, the other keepers of the domain, show which versions a majority holds
and which ones to fetch. The loop does nothing while the node is not a keeper.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from loguru import logger

from medlarhoist.core.floor import FloorReply
from medlarhoist.core.keeper import (
    establish,
    hold_version,
    is_recovered,
    record_reply,
    recover_from_source,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.keeper import Keeper
from medlarhoist.utils.tasks import cancel_all, gather_until
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Fetch, FloorQuery
from medlarhoist.wire.procedures import FETCH, FLOOR

IDLE_INTERVAL_SECONDS: Final = 2.0
ACTIVE_INTERVAL_SECONDS: Final = 0.2


class KeeperLoop:
    """The background task of a keeper."""

    __slots__ = (
        '_cfg',
        '_channels',
        '_configuration',
        '_keeper',
        '_leader',
        '_on_established',
        '_tasks',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        configuration: Configuration,
        keeper: Keeper,
        leader: Callable[[], str],
        on_established: Callable[[], None],
    ) -> None:
        """Create the loop; `start` runs it.

        Args:
            cfg: settings of the node.
            channels: its connections.
            configuration: the versions that it holds.
            keeper: its state as a keeper.
            leader: returns the control address of the leader of the sources,
                empty if it is unknown.
            on_established: called after each version that this keeper
                establishes.
        """
        self._cfg = cfg
        self._channels = channels
        self._configuration = configuration
        self._keeper = keeper
        self._leader = leader
        self._on_established = on_established
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to query the peers in the background."""
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop and wait until that is done."""
        await cancel_all(self._tasks)

    async def _run(self) -> None:
        while True:
            self._keeper.wake.clear()
            if self._keeper.is_keeper:
                await self._fetch_missing()
                await self._query_peers()
            await self._wait()

    async def _wait(self) -> None:
        synchronized = self._keeper.is_synchronized()
        period = (
            IDLE_INTERVAL_SECONDS if synchronized else ACTIVE_INTERVAL_SECONDS
        )
        try:
            async with asyncio.timeout(period):
                await self._keeper.wake.wait()
        except TimeoutError:
            return

    async def _query_peers(self) -> None:
        """Query the peers until this keeper is synchronized with them.

        The first replies that make a majority are enough. A keeper that has
        not recovered queries the leader first.
        """
        if not is_recovered(self._keeper.state):
            await self._recover()
        await gather_until(self._peer_queries(), self._record_reply)
        self._establish()

    def _record_reply(self, reply: FloorReply) -> bool:
        self._keeper.adopt(reply.keepers)
        self._keeper.state = record_reply(self._keeper.state, reply)
        self._keeper.record_peer_version(reply.held, reply.node)
        self._establish()
        return self._keeper.is_synchronized()

    def _peer_queries(self) -> list[Coroutine[Any, Any, FloorReply | None]]:
        keepers = self._keeper.state.keepers
        if keepers is None:
            return []
        peers = {} if self._keeper.ready else dict(keepers.previous)
        peers.update(keepers.members)
        peers.pop(self._cfg.name, None)
        query = FloorQuery(
            node=self._cfg.name,
            domain=self._cfg.domain,
            keepers=keepers,
            held=self._keeper.state.held,
        )
        return [
            self._channels.try_call(address, FLOOR, query)
            for address in peers.values()
        ]

    async def _recover(self) -> None:
        leader = self._leader()
        if not leader:
            return
        query = FloorQuery(node=self._cfg.name, domain=self._cfg.domain)
        reply = await self._channels.try_call(leader, FLOOR, query)
        if reply is None:
            return
        keeper = self._keeper
        keeper.state = recover_from_source(keeper.state, reply)
        if is_recovered(keeper.state):
            logger.info('keeper: recovered from the leader')

    async def _fetch_missing(self) -> None:
        address, version = self._keeper.pop_fetch()
        if not address:
            return
        request = Fetch(node=self._cfg.name, version=version)
        stage = await self._channels.try_call(address, FETCH, request)
        if stage is None or not self._configuration.stage(stage).holds:
            return
        state = self._keeper.state
        self._keeper.state = hold_version(state, stage.version)

    def _establish(self) -> None:
        before = self._keeper.state.established
        state = establish(self._keeper.state)
        if state.established == before:
            return
        if self._configuration.establish(state.established):
            self._keeper.state = state
            self._on_established()
