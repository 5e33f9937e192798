"""Keeper loop: a keeper asks its peers, recovers and establishes versions."""

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
from medlarhoist.utils.tasks import ask_until, cancel_all
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Fetch, FloorQuery
from medlarhoist.wire.procedures import FETCH, FLOOR

QUIET_SECONDS: Final = 2.0
BUSY_SECONDS: Final = 0.2


class KeeperLoop:
    """The running part of a keeper."""

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
        on_established: Callable[[int], None],
    ) -> None:
        """Keep the parts; nothing runs yet.

        Args:
            cfg: settings of the node.
            channels: its connections.
            configuration: the versions that it holds.
            keeper: what it knows as a keeper.
            leader: returns the control address of the leader.
            on_established: called when a majority holds a higher version.
        """
        self._cfg = cfg
        self._channels = channels
        self._configuration = configuration
        self._keeper = keeper
        self._leader = leader
        self._on_established = on_established
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask peers."""
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop asking."""
        await cancel_all(self._tasks)

    async def _run(self) -> None:
        while True:
            self._keeper.wake.clear()
            if self._keeper.is_keeper:
                await self._fetch_wanted()
                await self._consult()
            await self._wait()

    async def _wait(self) -> None:
        settled = self._keeper.is_settled()
        period = QUIET_SECONDS if settled else BUSY_SECONDS
        try:
            async with asyncio.timeout(period):
                await self._keeper.wake.wait()
        except TimeoutError:
            return

    async def _consult(self) -> None:
        """Ask the others; the first that make a majority are enough."""
        if not is_recovered(self._keeper.state):
            await self._recover()
        await ask_until(self._ask_peers(), self._take_answer)
        self._establish()

    def _take_answer(self, answer: FloorReply) -> bool:
        self._keeper.adopt(answer.keepers)
        self._keeper.state = record_reply(self._keeper.state, answer)
        self._keeper.learn(answer.held, answer.node)
        self._establish()
        return self._keeper.is_settled()

    def _ask_peers(self) -> list[Coroutine[Any, Any, FloorReply | None]]:
        keepers = self._keeper.state.keepers
        if keepers is None:
            return []
        asked = {} if self._keeper.ready else dict(keepers.previous)
        asked.update(keepers.members)
        asked.pop(self._cfg.name, None)
        query = FloorQuery(
            node=self._cfg.name,
            domain=self._cfg.domain,
            keepers=keepers,
            held=self._keeper.state.held,
        )
        return [
            self._channels.try_call(address, FLOOR, query)
            for address in asked.values()
        ]

    async def _recover(self) -> None:
        leader = self._leader()
        if not leader:
            return
        query = FloorQuery(node=self._cfg.name, domain=self._cfg.domain)
        told = await self._channels.try_call(leader, FLOOR, query)
        if told is None:
            return
        keeper = self._keeper
        keeper.state = recover_from_source(keeper.state, told)
        if is_recovered(keeper.state):
            logger.info('keeper: recovered from the leader')

    async def _fetch_wanted(self) -> None:
        address, version = self._keeper.take_wanted()
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
            self._on_established(state.established)
