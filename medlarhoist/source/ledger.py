"""Ledger: implements core.interfaces.Ledger, the sources' replicated log."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from loguru import logger

from medlarhoist.consensus.log import last_index
from medlarhoist.consensus.log_file import Disk
from medlarhoist.consensus.message import Compact, ConfirmLeadership, Propose
from medlarhoist.consensus.quorum import confirmed_round, has_lease, lease_start
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
from medlarhoist.source.ledger_peers import PeerService
from medlarhoist.source.ledger_pending import (
    PROPOSE_TIMEOUT_SECONDS,
    Barrier,
    Proposal,
    Waiters,
    fail_proposals,
)
from medlarhoist.source.ledger_report import LedgerReport, report_replica
from medlarhoist.source.ledger_state_machine import ApplyCommand, StateMachine
from medlarhoist.utils.clock import create_boot_converter
from medlarhoist.wire.codec import encode
from medlarhoist.wire.rpc import Method

COMPACT_AFTER_ENTRIES: Final = 512
DISK: Final = Disk()

Procedure = Callable[[Any], Awaitable[None]]


class ReplicatedLedger:
    """One source's replica of the log and of the state.

    Args:
        peer_service: serves the other sources and provides their endpoints.
    """

    __slots__ = (
        '_driver',
        '_queue',
        '_state_machine',
        '_to_boot_seconds',
        '_waiters',
        'peer_service',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        apply: ApplyCommand,
        disk: Disk,
    ) -> None:
        """Create the parts; start() opens the data folder.

        Args:
            cfg: settings of the source.
            apply: pure function that applies a command to the state.
            disk: the system calls that write.
        """
        self._state_machine = StateMachine(apply)
        self._to_boot_seconds = create_boot_converter()
        self._waiters = Waiters()
        self._queue: list[Proposal] = []
        self._driver = Driver(
            cfg,
            disk,
            self._handle_step,
            self._waiters.fail_all,
        )
        self.peer_service = PeerService(self._driver, self.read_barrier)

    @property
    def state(self) -> State:
        """Return the state after the last applied command."""
        return self._state_machine.state

    @property
    def is_leader(self) -> bool:
        """Return whether this source leads and its lease is valid."""
        replica = self._driver.replica
        return replica is not None and has_lease(replica, time.monotonic())

    @property
    def led_at(self) -> float | None:
        """Return when a majority last followed; see core.interfaces.Ledger."""
        replica = self._driver.replica
        now = time.monotonic()
        if replica is None or not has_lease(replica, now):
            return None
        return self._to_boot_seconds(lease_start(replica, now))

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty if it is unknown."""
        replica = self._driver.replica
        return '' if replica is None else replica.leader

    async def propose(self, command: Command) -> Outcome:
        """Commit and apply a command; see core.interfaces.Ledger."""
        if not self.is_leader:
            raise NotLeader(self.leader)
        expires_at = time.monotonic() + PROPOSE_TIMEOUT_SECONDS
        proposal = Proposal(encode(command), expires_at)
        if not self._queue:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queue.append(proposal)
        return await proposal.fut

    async def read_barrier(self) -> None:
        """Wait until the state is current; see core.interfaces.Ledger."""
        self._driver.handle(ConfirmLeadership())
        replica = self._driver.replica
        if replica is None or replica.role is not Role.LEADER:
            raise NotLeader(self.leader)
        index = max(replica.commit, replica.start_index)
        barrier = Barrier(replica.round, index)
        self._waiters.add_barrier(barrier)
        self._release_barriers(replica)
        await barrier.fut

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return name and addresses of each member, sorted by name."""
        return self.peer_service.list_peers()

    def subscribe(self, callback: AppliedCallback) -> None:
        """Register a callback to run after each command that is applied here.

        It is not run for commands that a snapshot covers. After a restart it
        runs again for each command of the log.
        """
        self._state_machine.callbacks.append(callback)

    def procedures(self) -> dict[Method, Procedure]:
        """Return the procedures for the control listener, by method."""
        return self.peer_service.procedures()

    async def start(self) -> None:
        """Recover from the disk, apply the log and join the group.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        self._state_machine.apply_committed(self._driver.start())

    async def stop(self) -> None:
        """Stop the replica; callers that wait are failed."""
        await self._driver.stop()

    def dump(self) -> Any:
        """Return the LedgerReport of this source as plain values."""
        replica = self._driver.replica
        if replica is None:
            return msgspec.to_builtins(LedgerReport(fault=self._driver.fault))
        report = report_replica(
            replica,
            has_lease=self.is_leader,
            applied=self._state_machine.applied_index,
            waiting=len(self._waiters),
            links=self._driver.link_states(),
            fault=self._driver.fault,
        )
        return msgspec.to_builtins(report)

    def _flush(self) -> None:
        """Append all commands proposed in this iteration of the event loop.

        They are written and synced as one batch.
        """
        queue = self._queue
        self._queue = []
        replica = self._driver.replica
        if replica is None or replica.role is not Role.LEADER:
            fail_proposals(queue, NotLeader(self.leader))
            return
        first = last_index(replica.log) + 1
        for index, queued in enumerate(queue, start=first):
            self._waiters.add_proposal(index, replica.term, queued)
        bodies = tuple(proposal.body for proposal in queue)
        if not self._driver.handle(Propose(bodies=bodies)):
            self._waiters.discard_from(first)
            fail_proposals(queue, StorageFailed(self._driver.fault))

    def _handle_step(self, before: Replica, after: Replica) -> None:
        """Apply what a step committed and resolve the callers that wait."""
        for applied in self._state_machine.apply_committed(after):
            self._waiters.resolve(applied.index, applied.term, applied.outcome)
        if after.role is not before.role:
            logger.info('ledger: {} in term {}', after.role, after.term)
        if before.role is Role.LEADER and after.role is not Role.LEADER:
            self._waiters.fail_all('this source no longer leads')
        self._release_barriers(after)
        self._waiters.expire(time.monotonic())
        compactable = self._state_machine.applied_index - after.log.base_index
        if compactable >= COMPACT_AFTER_ENTRIES:
            snapshot = self._state_machine.make_snapshot(after)
            if snapshot is not None:
                self._driver.handle(Compact(snapshot=snapshot))

    def _release_barriers(self, replica: Replica) -> None:
        self._waiters.release_barriers(
            confirmed_round(replica),
            self._state_machine.applied_index,
        )


def create_ledger(
    cfg: SourceSettings,
    apply: ApplyCommand,
    disk: Disk = DISK,
) -> ReplicatedLedger:
    """Return the ledger of a source; start() opens its data folder.

    Args:
        cfg: settings of the source; cfg.sources names the replicas.
        apply: pure function that applies a command to the state.
        disk: the system calls that write; tests pass failing ones.
    """
    return ReplicatedLedger(cfg, apply, disk)
