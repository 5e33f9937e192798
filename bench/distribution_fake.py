"""Distribution fake: a replicated log of one process, without operators.

Every proposal commits at once, so that what is measured and broken with it
is the distribution alone.
"""

import asyncio
import time

from msgspec.structs import replace

from medlarhoist.core.command import (
    Abandon,
    Activate,
    AssignKeepers,
    Command,
    Outcome,
    Status,
)
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.interfaces import AppliedCallback, NotLeader
from medlarhoist.core.settings import Peer
from medlarhoist.core.state import State


class FakeLog:
    """What the fake ledgers of all sources share."""

    __slots__ = ('accepted', 'callbacks', 'leader', 'peers', 'state')

    def __init__(self, leader: str, peers: tuple[Peer, ...] = ()) -> None:
        """Start with an empty state."""
        self.peers = peers
        self.accepted: dict[int, float] = {}
        self.callbacks: list[AppliedCallback] = []
        self.leader = leader
        self.state = State()

    def apply(self, command: Command) -> Outcome:
        """Apply a command as the sources would, without operators."""
        state = self.state
        if isinstance(command, AssignKeepers):
            keepers = {
                **state.keepers,
                command.keepers.domain: command.keepers,
            }
            self.state = replace(state, keepers=keepers)
        elif state.staged and isinstance(command, Activate):
            self.accepted[command.version] = time.time()
            self.state = replace(
                state, active=state.staged.snapshot, staged=None
            )
        elif state.staged and isinstance(command, Abandon):
            self.state = replace(state, staged=None)
        outcome = Outcome(status=Status.ACCEPTED)
        if isinstance(command, Abandon):
            outcome = Outcome(status=Status.ABANDONED, faults=command.faults)
        for callback in self.callbacks:
            callback(command, outcome)
        return outcome


class FakeLedger:
    """The ledger of one source; every proposal commits at once."""

    __slots__ = ('_log', '_name', 'commands')

    def __init__(self, log: FakeLog, name: str) -> None:
        """Keep the shared log."""
        self._log = log
        self._name = name
        self.commands: list[Command] = []

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return where each source is."""
        return self._log.peers

    @property
    def state(self) -> State:
        """Return the shared state."""
        return self._log.state

    @property
    def is_leader(self) -> bool:
        """Say whether this source leads."""
        return self._log.leader == self._name

    @property
    def leader(self) -> str:
        """Return the name of the leader."""
        return self._log.leader

    async def propose(self, command: Command) -> Outcome:
        """Apply a command at once."""
        await asyncio.sleep(0)
        if not self.is_leader:
            raise NotLeader(self._log.leader)
        self.commands.append(command)
        return self._log.apply(command)

    async def read_barrier(self) -> None:
        """Refuse unless this source leads."""
        if not self.is_leader:
            raise NotLeader(self._log.leader)

    def subscribe(self, callback: AppliedCallback) -> None:
        """Call back after each command."""
        self._log.callbacks.append(callback)


class NoEvidence:
    """A node without calls."""

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return nothing."""
        return ()
