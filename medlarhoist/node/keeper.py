"""Keeper: state and procedures of a node as a keeper of its failure domain.

A keeper is a node that is a voting member of the quorum of its failure
domain. The decisions are in medlarhoist.core.keeper, and the queries to the
other keepers in medlarhoist.node.keeper_loop.
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
    """State of a node as a keeper, in a dump.

    Args:
        epoch: epoch of the newest keeper set received, zero for none.
        members: names of the keepers in that set.
        is_member: whether this node is one of them.
        recovered: epoch in which this node has recovered, zero for none.
        held: highest version that it holds as active.
        established: highest version proved to be held by a majority.
        fenced: whether a majority of the previous set has the epoch.
    """

    epoch: int
    members: tuple[str, ...]
    is_member: bool
    recovered: int
    held: int
    established: int
    fenced: bool


class Keeper:
    """State and procedures of this node as a keeper.

    Every node has them, so that it can be assigned as a keeper at any time.

    Args:
        state: the state; the keeper loop updates it as well.
        wake: wakes the keeper loop, so that it queries the peers at once.
    """

    __slots__ = (
        '_cfg',
        '_configuration',
        '_to_fetch',
        'state',
        'wake',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
    ) -> None:
        """Start without a keeper set; nothing is kept across a restart."""
        self._cfg = cfg
        self._configuration = configuration
        self._to_fetch: dict[int, str] = {}
        self.state = KeeperState(node=cfg.name)
        self.wake = asyncio.Event()

    @property
    def is_keeper(self) -> bool:
        """Return whether this node is in the newest set it has received."""
        return is_member(self.state)

    @property
    def ready(self) -> int:
        """Return the epoch in which this keeper is ready, zero for none.

        It is ready once it has recovered and the previous set is fenced.
        """
        if is_recovered(self.state) and is_fenced(self.state):
            return self.state.recovered
        return 0

    def is_synchronized(self) -> bool:
        """Return whether there is nothing to query the other keepers for."""
        if not self.is_keeper:
            return True
        if self._to_fetch or not self.ready:
            return False
        return self.state.held == self.state.established

    def reply(self) -> FloorReply:
        """Return the reply of this node to a floor query."""
        return floor_reply(self.state)

    def adopt(self, keepers: KeeperSet | None) -> None:
        """Adopt a keeper set of the domain if it is newer; None is ignored."""
        if keepers is None or keepers.epoch <= epoch_of(self.state.keepers):
            return
        self.state = adopt_set(self.state, keepers)
        members = sorted(keepers.members)
        logger.info('keeper: epoch {}, members {}', keepers.epoch, members)
        self.wake.set()

    def activate(self, version: int, epoch: int) -> bool:
        """Hold a version that the sources have committed as active.

        Args:
            version: the version.
            epoch: epoch of the domain's keepers at the sources.

        Returns:
            False if the keeper set or the version must be sent first.
        """
        if epoch > epoch_of(self.state.keepers):
            return False
        if not self._configuration.holds(version):
            return False
        if version > self.state.established:
            self.state = hold_version(self.state, version)
            self.wake.set()
        return True

    def record_peer_version(self, version: int, node: str) -> bool:
        """Hold a version that another keeper holds as active.

        If it is not compiled here, it is recorded to be fetched.

        Args:
            version: the version.
            node: name of the other keeper.

        Returns:
            Whether the version is newer than the one held; always False if
            this node is not a keeper.
        """
        if version <= self.state.held or not self.is_keeper:
            return False
        if self._configuration.holds(version):
            self.state = hold_version(self.state, version)
        else:
            self._to_fetch[version] = node
        return True

    def pop_fetch(self) -> tuple[str, int]:
        """Return the newest version to fetch, and discard all of them.

        Returns:
            Control address of the keeper to fetch it from, and the version.
            The address is empty if there is nothing to fetch or the keeper
            is not in the set any more.
        """
        keepers = self.state.keepers
        if not self._to_fetch or keepers is None:
            return '', 0
        version = max(self._to_fetch)
        address = keepers.members.get(self._to_fetch[version], '')
        self._to_fetch.clear()
        return address, version

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedures for other keepers and starting nodes."""
        return {FLOOR: self._serve_floor, FETCH: self._serve_fetch}

    def view(self) -> KeeperView:
        """Return the state for a dump."""
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
        if self.record_peer_version(query.held, query.node):
            self.wake.set()
        await stream.send_message(self.reply())

    async def _serve_fetch(self, stream: Any) -> None:
        request: Fetch = await stream.recv_message()
        held = max(self.state.held, self._configuration.established)
        snapshot = self._configuration.history.get(held)
        if snapshot is None or held < request.version:
            raise GRPCError(Status.NOT_FOUND, 'version is not held')
        await stream.send_message(Stage(version=held, snapshot=snapshot))
