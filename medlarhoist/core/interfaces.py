"""Interfaces between the parts of one process.

Parts depend on these protocols only, so that tests can pass small fakes.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from medlarhoist.core.command import Command, Outcome
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.settings import Peer
from medlarhoist.core.state import State
from medlarhoist.core.target import Target

AppliedCallback = Callable[[Command, Outcome], None]


class Ledger(Protocol):
    """The replicated log of the sources, as other parts use it."""

    @property
    def state(self) -> State:
        """Return the state after the last applied command."""

    @property
    def is_leader(self) -> bool:
        """Return whether this source leads and its lease is valid."""

    @property
    def led_at(self) -> float | None:
        """Return the latest time when a majority still followed this leader.

        In seconds of boot_seconds; None if this source does not lead. The
        state holds all that was committed before.
        """

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty if it is unknown."""

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return name and endpoint of each source of the group."""

    def propose(self, command: Command) -> Awaitable[Outcome]:
        """Commit and apply a command and return its outcome; leaders only.

        Raises:
            NotLeader: the command was not logged.
            StorageFailed: the command was not logged, as the disk failed.
            OutcomeUnknown: leadership was lost or the time limit passed; the
                command may still be committed.
        """

    def read_barrier(self) -> Awaitable[None]:
        """Wait until the state holds all that was committed before the call.

        Raises:
            NotLeader: this source cannot determine what was committed.
        """

    def subscribe(self, callback: AppliedCallback) -> None:
        """Register a callback to run after each applied command.

        It runs on every source, the leader or not.
        """


def find_leader(ledger: Ledger) -> Peer | None:
    """Return name and endpoint of the leader, None if it is unknown."""
    leaders = (peer for peer in ledger.peers if peer.name == ledger.leader)
    return next(leaders, None)


class NotLeader(Exception):
    """This source does not lead; the command was not logged."""


class StorageFailed(NotLeader):
    """This source cannot write its log, so it does not lead.

    The command was not logged.
    """


class OutcomeUnknown(Exception):
    """The command may or may not be committed later."""


class Registry(Protocol):
    """The live targets that a node can route calls to."""

    @property
    def revision(self) -> int:
        """Return a number that grows with every change of the targets."""

    def local_targets(self) -> tuple[Target, ...]:
        """Return the targets on the VM of this node."""

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the live targets of a version, in every failure domain.

        Args:
            service: name of the service.
            label: its version; empty for those of every version.
        """


class CallRecorder(Protocol):
    """Records the results of calls as evidence."""

    def record(
        self,
        route: tuple[str, str],
        label: str,
        *,
        succeeded: bool,
        refused: bool,
        latency_us: int,
    ) -> None:
        """Count one call.

        Args:
            route: names of the service and the route.
            label: target version that the call was sent to.
            succeeded: whether it ended with a complete response whose status
                is below 500.
            refused: whether it certainly did not run.
            latency_us: time to the end of the response, in microseconds.
        """


class ShareLimiter(Protocol):
    """Lowers the share of a version on the evidence of this node alone."""

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return the share to use, in basis points.

        It is never above `basis_points`, the share of the configuration.
        """


class EvidenceSource(Protocol):
    """Provides the evidence that a node has gathered, to be sent on."""

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return and discard the rows of the windows that have ended."""
