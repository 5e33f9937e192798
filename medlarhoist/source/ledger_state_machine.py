"""Ledger machine: the state that the committed log leads to."""

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


class Applied(Struct, frozen=True, kw_only=True):
    """A command that has been applied, with its place in the log."""

    index: int
    term: int
    outcome: Outcome


class Machine:
    """Applies committed commands in the order of the log."""

    __slots__ = ('_apply', 'applied_index', 'callbacks', 'state')

    def __init__(self, apply: ApplyCommand) -> None:
        """Start from the empty state."""
        self._apply = apply
        self.state = State()
        self.applied_index = 0
        self.callbacks: list[AppliedCallback] = []

    def catch_up(self, replica: Replica) -> list[Applied]:
        """Apply what the replica has committed since the last time.

        Args:
            replica: its log holds everything after its snapshot.

        Returns:
            The commands applied now; none for those a snapshot covers.
        """
        snapshot = replica.snapshot
        if snapshot is not None and snapshot.index > self.applied_index:
            self.state = decode(snapshot.body, State)
            self.applied_index = snapshot.index
        entries = entries_between(
            replica.log, self.applied_index, replica.commit
        )
        told = []
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                told.append(self._apply_entry(entry))
            self.applied_index = entry.index
        return told

    def make_snapshot(self, replica: Replica) -> LogSnapshot | None:
        """Return a snapshot of the state, None where the log covers less."""
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

    def _apply_entry(self, entry: Entry) -> Applied:
        command = decode(entry.body, Command)
        state, outcome = self._apply(self.state, command)
        self.state = state
        for callback in self.callbacks:
            callback(command, outcome)
        return Applied(index=entry.index, term=entry.term, outcome=outcome)
