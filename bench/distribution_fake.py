"""Distribution fake: an in-process replicated log without operators.

Every proposal commits immediately, so that benchmarks and fault tests exercise
only the distribution of configurations, not consensus.
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
from medlarhoist.utils.clock import boot_seconds


class FakeLog:
    """The log and state that the fake ledgers of all sources share.

    Args:
        leader: name of the leading source, empty for none; tests may set it.
        peers: the sources.

    Attributes:
        accepted: time at which each version was activated, in seconds since
            1970.
        callbacks: called with each applied command and its outcome.
    """

    __slots__ = ('accepted', 'callbacks', 'leader', 'peers', 'state')

    def __init__(self, leader: str, peers: tuple[Peer, ...] = ()) -> None:
        """Start with an empty state."""
        self.peers = peers
        self.accepted: dict[int, float] = {}
        self.callbacks: list[AppliedCallback] = []
        self.leader = leader
        self.state = State()

    def apply(self, command: Command) -> Outcome:
        """Apply a command to the shared state and run the callbacks.

        Supports the commands that a leader proposes for distribution: assign
        keepers, activate and abandon. Others change nothing. Returns
        ABANDONED for Abandon, else ACCEPTED.
        """
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
    """The ledger of one source; every proposal commits immediately.

    `commands` holds the commands proposed by this source, in order. While
    `is_followed` is false, no majority confirms that it leads.
    """

    __slots__ = ('_log', '_name', 'commands', 'is_followed')

    def __init__(self, log: FakeLog, name: str) -> None:
        """Attach a source to the shared log."""
        self._log = log
        self._name = name
        self.commands: list[Command] = []
        self.is_followed = True

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return the names and endpoints of the sources."""
        return self._log.peers

    @property
    def state(self) -> State:
        """Return the shared state."""
        return self._log.state

    @property
    def is_leader(self) -> bool:
        """Return whether this source is the leader."""
        return self._log.leader == self._name

    @property
    def led_at(self) -> float | None:
        """Return the present time on the leader, None on another source."""
        leads = self.is_leader and self.is_followed
        return boot_seconds() if leads else None

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty for none."""
        return self._log.leader

    async def propose(self, command: Command) -> Outcome:
        """Apply a command immediately.

        Raises:
            NotLeader: this source is not the leader.
        """
        await asyncio.sleep(0)
        if not self.is_leader:
            raise NotLeader(self._log.leader)
        self.commands.append(command)
        return self._log.apply(command)

    async def read_barrier(self) -> None:
        """Check that this source is the leader.

        Raises:
            NotLeader: it is not.
        """
        if not self.is_leader:
            raise NotLeader(self._log.leader)

    def subscribe(self, callback: AppliedCallback) -> None:
        """Call back after each applied command, of any source."""
        self._log.callbacks.append(callback)


class NoEvidence:
    """Evidence of a node that forwards no calls."""

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return no rows."""
        return ()
