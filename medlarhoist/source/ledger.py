"""Ledger: the replicated log of the sources, as the other parts use it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from loguru import logger

from medlarhoist.consensus.log import last_index
from medlarhoist.consensus.log_file import Disk
from medlarhoist.consensus.message import Compact, ConfirmLeadership, Propose
from medlarhoist.consensus.quorum import confirmed_round, has_lease
from medlarhoist.consensus.replica import Replica, Role
from medlarhoist.core.command import Command, Outcome
from medlarhoist.core.interfaces import (
    AppliedCallback,
    NotLeader,
    StorageFailed,
)
from medlarhoist.core.settings import Peer, SourceSettings
from medlarhoist.core.state import State
from medlarhoist.source.ledger_driver import Driver
from medlarhoist.source.ledger_peers import LedgerPeers
from medlarhoist.source.ledger_pending import (
    PROPOSE_TIMEOUT_SECONDS,
    Barrier,
    Proposal,
    Waiters,
    fail_proposals,
)
from medlarhoist.source.ledger_report import LedgerReport, report_replica
from medlarhoist.source.ledger_state_machine import ApplyCommand, Machine
from medlarhoist.wire.codec import encode
from medlarhoist.wire.rpc import Method

COMPACT_AFTER_ENTRIES: Final = 512
DISK: Final = Disk()

Procedure = Callable[[Any], Awaitable[None]]


class ReplicatedLedger:
    """One source's replica of the log and of the state.

    Args:
        links: the other sources.
    """

    __slots__ = ('_driver', '_machine', '_queue', '_waiters', 'links')

    def __init__(
        self,
        cfg: SourceSettings,
        apply: ApplyCommand,
        disk: Disk,
    ) -> None:
        """Keep the settings; start() opens the data folder."""
        self._machine = Machine(apply)
        self._waiters = Waiters()
        self._queue: list[Proposal] = []
        self._driver = Driver(
            cfg,
            disk,
            self._settle,
            self._waiters.fail_all,
        )
        self.links = LedgerPeers(self._driver, self.read_barrier)

    @property
    def state(self) -> State:
        """Return the state after the last applied command."""
        return self._machine.state

    @property
    def is_leader(self) -> bool:
        """Say whether this source leads and its lease is valid."""
        replica = self._driver.replica
        return replica is not None and has_lease(replica, time.monotonic())

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty where it is unknown."""
        replica = self._driver.replica
        return '' if replica is None else replica.leader

    async def propose(self, command: Command) -> Outcome:
        """Commit and apply a command; see ports.Ledger."""
        if not self.is_leader:
            raise NotLeader(self.leader)
        due = time.monotonic() + PROPOSE_TIMEOUT_SECONDS
        proposal = Proposal(encode(command), due)
        if not self._queue:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queue.append(proposal)
        return await proposal.fut

    async def read_barrier(self) -> None:
        """Wait for all that was committed before; see ports.Ledger."""
        self._driver.handle(ConfirmLeadership())
        replica = self._driver.replica
        if replica is None or replica.role is not Role.LEADER:
            raise NotLeader(self.leader)
        index = max(replica.commit, replica.start_index)
        barrier = Barrier(replica.round, index)
        self._waiters.add_barrier(barrier)
        self._pass_barriers(replica)
        await barrier.fut

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return where each source of the group is."""
        return self.links.list_all()

    def subscribe(self, callback: AppliedCallback) -> None:
        """Call back after each command that this source applies.

        Commands that a snapshot covers are not told; after a restart those
        of the log are told again.
        """
        self._machine.callbacks.append(callback)

    def procedures(self) -> dict[Method, Procedure]:
        """Return what the control listener must serve for this part."""
        return self.links.procedures()

    async def start(self) -> None:
        """Recover from the disk and take part in elections.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        self._machine.catch_up(self._driver.start())

    async def stop(self) -> None:
        """Leave the group until the next start."""
        await self._driver.stop()

    def dump(self) -> Any:
        """Return what this source knows of the log, for operators."""
        replica = self._driver.replica
        if replica is None:
            return msgspec.to_builtins(LedgerReport(fault=self._driver.fault))
        report = report_replica(
            replica,
            has_lease=self.is_leader,
            applied=self._machine.applied_index,
            waiting=len(self._waiters),
            links=self._driver.links(),
            fault=self._driver.fault,
        )
        return msgspec.to_builtins(report)

    def _flush(self) -> None:
        """Append everything that was proposed in this turn of the loop."""
        queue = self._queue
        self._queue = []
        replica = self._driver.replica
        if replica is None or replica.role is not Role.LEADER:
            fail_proposals(queue, NotLeader(self.leader))
            return
        first = last_index(replica.log) + 1
        for index, waiting in enumerate(queue, start=first):
            self._waiters.add_proposal(index, replica.term, waiting)
        bodies = tuple(proposal.body for proposal in queue)
        if not self._driver.handle(Propose(bodies=bodies)):
            self._waiters.forget(first)
            fail_proposals(queue, StorageFailed(self._driver.fault))

    def _settle(self, before: Replica, after: Replica) -> None:
        """Apply what a step committed and tell those who wait for it."""
        for applied in self._machine.catch_up(after):
            self._waiters.resolve(applied.index, applied.term, applied.outcome)
        if after.role is not before.role:
            logger.info('ledger: {} in term {}', after.role, after.term)
        if before.role is Role.LEADER and after.role is not Role.LEADER:
            self._waiters.fail_all('this source no longer leads')
        self._pass_barriers(after)
        self._waiters.expire(time.monotonic())
        behind = self._machine.applied_index - after.log.base_index
        if behind >= COMPACT_AFTER_ENTRIES:
            self._compact(after)

    def _compact(self, replica: Replica) -> None:
        snapshot = self._machine.make_snapshot(replica)
        if snapshot is not None:
            self._driver.handle(Compact(snapshot=snapshot))

    def _pass_barriers(self, replica: Replica) -> None:
        self._waiters.pass_barriers(
            confirmed_round(replica),
            self._machine.applied_index,
        )


def create_ledger(
    cfg: SourceSettings,
    apply: ApplyCommand,
    disk: Disk = DISK,
) -> ReplicatedLedger:
    """Return the ledger of a source; start() brings it to life.

    Args:
        cfg: settings of the source; cfg.sources names the replicas.
        apply: pure function that applies a command to the state.
        disk: the calls that write; tests give others.
    """
    return ReplicatedLedger(cfg, apply, disk)
