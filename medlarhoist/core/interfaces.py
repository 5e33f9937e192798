"""Ports: the interfaces between the parts of one process.

Parts know one another by these protocols, so that tests can give small fakes.
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
        """Say whether this source leads and its lease is valid."""

    @property
    def leader(self) -> str:
        """Return the name of the leader, empty where it is unknown."""

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return where each source of the group is."""

    def propose(self, command: Command) -> Awaitable[Outcome]:
        """Commit and apply a command; leaders only.

        Raises:
            NotLeader: surely not logged.
            StorageFailed: surely not logged, as the disk refused.
            OutcomeUnknown: leadership or time ran out; it may yet commit.
        """

    def read_barrier(self) -> Awaitable[None]:
        """Wait until the state holds all that was committed before the call.

        Raises:
            NotLeader: this source cannot tell.
        """

    def subscribe(self, callback: AppliedCallback) -> None:
        """Call back after each applied command, on every source."""


def find_leader(ledger: Ledger) -> Peer | None:
    """Return where the leader is, None where it is unknown."""
    known = (peer for peer in ledger.peers if peer.name == ledger.leader)
    return next(known, None)


class NotLeader(Exception):
    """Another source leads; the command was not logged."""


class StorageFailed(NotLeader):
    """This source cannot write its log, so it does not lead; not logged."""


class OutcomeUnknown(Exception):
    """The command may or may not be committed later."""


class Registry(Protocol):
    """The live targets that a node knows of."""

    @property
    def revision(self) -> int:
        """Return a number that grows with every change."""

    def local_targets(self) -> tuple[Target, ...]:
        """Return the targets of this node's own VM."""

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the known targets of a version, in every domain."""


class CallRecorder(Protocol):
    """Takes what calls showed."""

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
            label: target version that answered.
            succeeded: whether it ended with a whole answer below status 500.
            refused: whether it surely did not run.
            latency_us: time to the end of the answer, in microseconds.
        """


class ShareLimiter(Protocol):
    """Lowers the share of a version on local evidence."""

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return the share to use, never above the one given."""


class EvidenceSource(Protocol):
    """Gives the evidence that a node has gathered."""

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return and forget the rows of the windows that have ended."""
