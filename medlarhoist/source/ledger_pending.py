"""Ledger pending: callers that wait for a log entry or a heartbeat round."""

import asyncio
from typing import Final

from medlarhoist.core.command import Outcome
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown

PROPOSE_TIMEOUT_SECONDS: Final = 5.0


class Proposal:
    """A proposed command whose caller waits for the outcome.

    Args:
        body: the encoded command.
        expires_at: when the caller stops waiting, in seconds of the monotonic
            clock.
        fut: resolved with the outcome.
        term: term in which the command was logged, zero before.
    """

    __slots__ = ('body', 'expires_at', 'fut', 'term')

    def __init__(self, body: bytes, expires_at: float) -> None:
        """Create the future; call this in the event loop."""
        self.body = body
        self.expires_at = expires_at
        self.term = 0
        self.fut: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )


class Barrier:
    """A linearizable read that waits for a heartbeat round and an index.

    Args:
        index: log index that must be applied first.
        fut: resolved once the read may proceed.
        round: heartbeat round that a majority must acknowledge first.
    """

    __slots__ = ('fut', 'index', 'round')

    def __init__(self, round_number: int, index: int) -> None:
        """Create the future; call this in the event loop."""
        self.round = round_number
        self.index = index
        self.fut: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class Waiters:
    """The proposals and reads that wait on this source."""

    __slots__ = ('_barriers', '_proposals')

    def __init__(self) -> None:
        """Start without proposals and reads."""
        self._proposals: dict[int, Proposal] = {}
        self._barriers: list[Barrier] = []

    def __len__(self) -> int:
        """Return the number of waiting proposals and reads."""
        return len(self._proposals) + len(self._barriers)

    def add_proposal(self, index: int, term: int, proposal: Proposal) -> None:
        """Register a proposal that is logged at an index in a term."""
        proposal.term = term
        self._proposals[index] = proposal

    def add_barrier(self, barrier: Barrier) -> None:
        """Register a read."""
        self._barriers.append(barrier)

    def discard_from(self, first: int) -> None:
        """Discard the proposals from an index on, which were not logged.

        Their futures stay pending; the caller fails them.
        """
        self._proposals = {
            index: proposal
            for index, proposal in self._proposals.items()
            if index < first
        }

    def resolve(self, index: int, term: int, outcome: Outcome) -> None:
        """Resolve the proposal at an index with the outcome of its entry.

        The proposal fails if the applied entry has another term: a later
        leader has overwritten the entry.
        """
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.fut.done():
            return
        if proposal.term == term:
            proposal.fut.set_result(outcome)
            return
        proposal.fut.set_exception(
            OutcomeUnknown('another leader took its place in the log'),
        )

    def release_barriers(self, confirmed: int, applied: int) -> None:
        """Resolve the reads whose round and index are reached.

        Args:
            confirmed: newest heartbeat round that a majority acknowledged.
            applied: index of the last applied entry.
        """
        waiting = []
        for barrier in self._barriers:
            if barrier.round > confirmed or barrier.index > applied:
                waiting.append(barrier)
            elif not barrier.fut.done():
                barrier.fut.set_result(None)
        self._barriers = waiting

    def expire(self, now: float) -> None:
        """Fail the proposals whose time limit has passed.

        Args:
            now: seconds of the monotonic clock.
        """
        expired = [
            index
            for index, proposal in self._proposals.items()
            if proposal.expires_at <= now
        ]
        for index in expired:
            proposal = self._proposals.pop(index)
            if not proposal.fut.done():
                proposal.fut.set_exception(
                    OutcomeUnknown('no majority answered in time'),
                )

    def fail_all(self, reason: str) -> None:
        """Fail all proposals and reads, as this source no longer leads.

        The outcome of the proposals is unknown: they may still be committed.

        Args:
            reason: why it no longer leads.
        """
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
    """Fail the proposals that have no outcome yet with an exception."""
    for proposal in proposals:
        if not proposal.fut.done():
            proposal.fut.set_exception(reason)
