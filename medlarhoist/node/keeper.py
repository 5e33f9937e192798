"""Keeper: what a node holds and answers as a keeper of its failure domain.

The decisions are in medlarhoist.core.keeper; medlarhoist.node.keeper_loop
asks the other keepers.
"""

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger
from msgspec import Struct

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, epoch_of
from medlarhoist.core.keeper import (
    KeeperState,
    adopt_set,
    floor_reply,
    hold_version,
    is_fenced,
    is_member,
    is_recovered,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.configuration import Configuration
from medlarhoist.wire.message import Fetch, FloorQuery, Stage
from medlarhoist.wire.procedures import FETCH, FLOOR
from medlarhoist.wire.rpc import Method, StreamHandler


class KeeperView(Struct, frozen=True, kw_only=True):
    """What a dump shows."""

    epoch: int
    members: tuple[str, ...]
    is_member: bool
    recovered: int
    held: int
    established: int
    fenced: bool


class Keeper:
    """What this node holds and answers as a keeper."""

    __slots__ = (
        '_cfg',
        '_configuration',
        '_wanted',
        'state',
        'wake',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
    ) -> None:
        """Start without a set and without memory."""
        self._cfg = cfg
        self._configuration = configuration
        self._wanted: dict[int, str] = {}
        self.state = KeeperState(node=cfg.name)
        self.wake = asyncio.Event()

    @property
    def is_keeper(self) -> bool:
        """Say whether this node is a keeper by the newest set it knows."""
        return is_member(self.state)

    @property
    def ready(self) -> int:
        """Return the epoch in which this keeper is ready, zero for none."""
        if is_recovered(self.state) and is_fenced(self.state):
            return self.state.recovered
        return 0

    def is_settled(self) -> bool:
        """Say whether there is nothing to ask the other keepers."""
        if not self.is_keeper:
            return True
        if self._wanted or not self.ready:
            return False
        return self.state.held == self.state.established

    def answer(self) -> FloorReply:
        """Return what this node tells of its versions."""
        return floor_reply(self.state)

    def adopt(self, keepers: KeeperSet | None) -> None:
        """Take over a newer keeper set of the domain."""
        if keepers is None or keepers.epoch <= epoch_of(self.state.keepers):
            return
        self.state = adopt_set(self.state, keepers)
        members = sorted(keepers.members)
        logger.info('keeper: epoch {} with {}', keepers.epoch, members)
        self.wake.set()

    def activate(self, version: int, epoch: int) -> bool:
        """Hold a version that the sources say is active.

        Args:
            version: the version.
            epoch: epoch of the domain's keepers at the sources.

        Returns:
            False where the version or the keeper set must be sent first.
        """
        if epoch > epoch_of(self.state.keepers):
            return False
        if not self._configuration.holds(version):
            return False
        if version > self.state.established:
            self.state = hold_version(self.state, version)
            self.wake.set()
        return True

    def learn(self, version: int, node: str) -> bool:
        """Hold, or note to fetch, a version that another keeper holds.

        Returns:
            True where the version was new.
        """
        if version <= self.state.held or not self.is_keeper:
            return False
        if self._configuration.holds(version):
            self.state = hold_version(self.state, version)
        else:
            self._wanted[version] = node
        return True

    def take_wanted(self) -> tuple[str, int]:
        """Return the keeper to fetch from and the version, once.

        Returns:
            The control address, empty for nothing to fetch, and the version.
        """
        keepers = self.state.keepers
        if not self._wanted or keepers is None:
            return '', 0
        version = max(self._wanted)
        address = keepers.members.get(self._wanted[version], '')
        self._wanted.clear()
        return address, version

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedures that keepers and starting nodes call."""
        return {FLOOR: self._serve_floor, FETCH: self._serve_fetch}

    def view(self) -> KeeperView:
        """Return what a dump shows."""
        state = self.state
        members = state.keepers.members if state.keepers else ()
        return KeeperView(
            epoch=epoch_of(state.keepers),
            members=tuple(sorted(members)),
            is_member=is_member(state),
            recovered=state.recovered,
            held=state.held,
            established=state.established,
            fenced=is_fenced(state),
        )

    async def _serve_floor(self, stream: Any) -> None:
        query: FloorQuery = await stream.recv_message()
        if query.domain != self._cfg.domain:
            raise GRPCError(Status.INVALID_ARGUMENT, 'another domain')
        self.adopt(query.keepers)
        if self.learn(query.held, query.node):
            self.wake.set()
        await stream.send_message(self.answer())

    async def _serve_fetch(self, stream: Any) -> None:
        request: Fetch = await stream.recv_message()
        held = max(self.state.held, self._configuration.established)
        snapshot = self._configuration.history.get(held)
        if snapshot is None or held < request.version:
            raise GRPCError(Status.NOT_FOUND, 'version is not held')
        await stream.send_message(Stage(version=held, snapshot=snapshot))
