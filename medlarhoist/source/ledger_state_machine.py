"""Ledger state machine: applies the committed log to the state."""

from collections.abc import Callable

from msgspec import Struct

from medlarhoist.consensus.log import entries_between, term_at
from medlarhoist.consensus.record import Entry, EntryKind, LogSnapshot
from medlarhoist.consensus.replica import Replica
from medlarhoist.core.command import Command, Outcome
from medlarhoist.core.interfaces import AppliedCallback
from medlarhoist.core.state import State
from medlarhoist.wire.codec import decode, encode

ApplyCommand = Callable[[State, Command], tuple[State, Outcome]]


class AppliedCommand(Struct, frozen=True, kw_only=True):
    """Outcome of an applied command, with index and term of its log entry."""

    index: int
    term: int
    outcome: Outcome


class StateMachine:
    """Applies committed commands in the order of the log.

    Args:
        applied_index: index of the last applied entry.
        callbacks: called after each applied command.
        state: the state after the last applied entry.
    """

    __slots__ = ('_apply', 'applied_index', 'callbacks', 'state')

    def __init__(self, apply: ApplyCommand) -> None:
        """Start from the empty state.

        Args:
            apply: pure function that returns the next state and the outcome.
        """
        self._apply = apply
        self.state = State()
        self.applied_index = 0
        self.callbacks: list[AppliedCallback] = []

    def apply_committed(self, replica: Replica) -> list[AppliedCommand]:
        """Apply the entries that the replica has committed since last time.

        A snapshot that is newer than the state replaces it first.

        Args:
            replica: its log holds every entry after its snapshot.

        Returns:
            The commands applied by this call, without those that the snapshot
            covers.
        """
        snapshot = replica.snapshot
        if snapshot is not None and snapshot.index > self.applied_index:
            self.state = decode(snapshot.body, State)
            self.applied_index = snapshot.index
        entries = entries_between(
            replica.log, self.applied_index, replica.commit
        )
        applied = []
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                applied.append(self._apply_entry(entry))
            self.applied_index = entry.index
        return applied

    def make_snapshot(self, replica: Replica) -> LogSnapshot | None:
        """Return a snapshot of the state for log compaction.

        None if the state is not the one at the commit index of the replica,
        or if the log does not hold the term of that index.
        """
        term = term_at(replica.log, self.applied_index)
        if term is None or self.applied_index != replica.commit:
            return None
        return LogSnapshot(
            index=self.applied_index,
            term=term,
            voters=replica.voters,
            endpoints=replica.endpoints,
            body=encode(self.state),
        )

    def _apply_entry(self, entry: Entry) -> AppliedCommand:
        command = decode(entry.body, Command)
        state, outcome = self._apply(self.state, command)
        self.state = state
        for callback in self.callbacks:
            callback(command, outcome)
        return AppliedCommand(
            index=entry.index, term=entry.term, outcome=outcome
        )
