"""Ledger pending: who waits for a log entry or for a heartbeat round."""

import asyncio
from typing import Final

from medlarhoist.core.command import Outcome
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown

PROPOSE_TIMEOUT_SECONDS: Final = 5.0


class Proposal:
    """A command that somebody waits for."""

    __slots__ = ('body', 'expires_at', 'fut', 'term')

    def __init__(self, body: bytes, due: float) -> None:
        """Keep the encoded command and when to give up, in seconds."""
        self.body = body
        self.expires_at = due
        self.term = 0
        self.fut: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )


class Barrier:
    """A reader that waits for a heartbeat round and an index."""

    __slots__ = ('fut', 'index', 'round')

    def __init__(self, round_number: int, index: int) -> None:
        """Keep what must be confirmed and applied first."""
        self.round = round_number
        self.index = index
        self.fut: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class Waiters:
    """Everybody who waits for this source."""

    __slots__ = ('_barriers', '_proposals')

    def __init__(self) -> None:
        """Start with nobody."""
        self._proposals: dict[int, Proposal] = {}
        self._barriers: list[Barrier] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._proposals) + len(self._barriers)

    def add_proposal(self, index: int, term: int, proposal: Proposal) -> None:
        """Wait for the entry at an index, as logged in a term."""
        proposal.term = term
        self._proposals[index] = proposal

    def add_barrier(self, barrier: Barrier) -> None:
        """Wait for a round to be confirmed and an index to be applied."""
        self._barriers.append(barrier)

    def forget(self, first: int) -> None:
        """Drop the proposals from an index on; they were not logged."""
        self._proposals = {
            index: proposal
            for index, proposal in self._proposals.items()
            if index < first
        }

    def resolve(self, index: int, term: int, outcome: Outcome) -> None:
        """Tell the outcome of the entry that was applied at an index."""
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.fut.done():
            return
        if proposal.term == term:
            proposal.fut.set_result(outcome)
            return
        proposal.fut.set_exception(
            OutcomeUnknown('another leader took its place in the log'),
        )

    def pass_barriers(self, confirmed: int, applied: int) -> None:
        """Let the readers go on whose round and index are reached."""
        waiting = []
        for barrier in self._barriers:
            if barrier.round > confirmed or barrier.index > applied:
                waiting.append(barrier)
            elif not barrier.fut.done():
                barrier.fut.set_result(None)
        self._barriers = waiting

    def expire(self, now: float) -> None:
        """Give up on the proposals whose time has run out."""
        overdue = [
            index
            for index, proposal in self._proposals.items()
            if proposal.expires_at <= now
        ]
        for index in overdue:
            proposal = self._proposals.pop(index)
            if not proposal.fut.done():
                proposal.fut.set_exception(
                    OutcomeUnknown('no majority answered in time'),
                )

    def fail_all(self, reason: str) -> None:
        """Tell everybody that this source no longer leads."""
        fail_proposals(
            list(self._proposals.values()),
            OutcomeUnknown(reason),
        )
        for barrier in self._barriers:
            if not barrier.fut.done():
                barrier.fut.set_exception(NotLeader(reason))
        self._proposals = {}
        self._barriers = []


def fail_proposals(proposals: list[Proposal], reason: Exception) -> None:
    """Tell proposals that have no outcome yet why they have none."""
    for proposal in proposals:
        if not proposal.fut.done():
            proposal.fut.set_exception(reason)
