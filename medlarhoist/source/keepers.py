"""Keepers: the leader assigns the keepers of each failure domain.

A keeper is a node that is a voting member of its failure domain's quorum.
"""

from collections.abc import Callable
from typing import Final

from loguru import logger

from medlarhoist.core.command import AssignKeepers, KeeperSet
from medlarhoist.core.interfaces import Ledger, NotLeader, OutcomeUnknown
from medlarhoist.core.keeper_plan import KeeperView, plan_keepers
from medlarhoist.utils.clock import wall_ms

# Longer than the interval in which a keeper, or the node itself, reports each
# live node.
CANDIDATE_TIMEOUT_SECONDS: Final = 2.5
# Time in which the nodes of a domain that comes up are reported after the
# first of them.
FIRST_SET_WAIT_SECONDS: Final = 0.5
# The same for a domain that comes back from a cut. Its nodes try to join with
# a growing delay, and its keepers may attach again meanwhile.
FORCED_SET_WAIT_SECONDS: Final = 1.0


class Candidate:
    """A node that could become a keeper.

    Args:
        address: its control address.
        first_seen: when it was first reported at this address, in seconds of
            the clock.
        last_seen: when it was last reported.
    """

    __slots__ = ('address', 'first_seen', 'last_seen')

    def __init__(self, address: str, now: float) -> None:
        """Start with the first report of the node, at `now`."""
        self.address = address
        self.first_seen = now
        self.last_seen = now


class KeeperAssigner:
    """Records the live nodes of each domain and commits its keeper sets."""

    __slots__ = ('_candidates', '_clock', '_keeper_count', '_ledger')

    def __init__(
        self,
        ledger: Ledger,
        keeper_count: int,
        clock: Callable[[], float],
    ) -> None:
        """Start without candidates.

        Args:
            ledger: the replicated log.
            keeper_count: number of keepers that each domain shall have.
            clock: returns seconds of a monotonic clock.
        """
        self._candidates: dict[str, dict[str, Candidate]] = {}
        self._clock = clock
        self._ledger = ledger
        self._keeper_count = keeper_count

    def record_node(self, domain: str, name: str, address: str) -> None:
        """Record a live node as a candidate for keeper."""
        now = self._clock()
        nodes = self._candidates.setdefault(domain, {})
        candidate = nodes.get(name)
        if candidate is None or candidate.address != address:
            nodes[name] = Candidate(address, now)
        nodes[name].last_seen = now

    def remove_node(self, domain: str, name: str) -> None:
        """Remove a node that was disconnected; it is recorded when it rejoins.

        Nothing happens if it is not a candidate.
        """
        self._candidates.get(domain, {}).pop(name, None)

    def domains(self) -> set[str]:
        """Return the failure domains with keepers or recorded nodes."""
        return set(self._candidates) | set(self._ledger.state.keepers)

    async def assign(
        self,
        domain: str,
        views: dict[str, KeeperView],
    ) -> None:
        """Commit the next keeper set of a domain, if it needs another one.

        Args:
            domain: the failure domain.
            views: what the leader observes of the current keepers, by name.
        """
        current = self._ledger.state.keepers.get(domain)
        candidates = self._live_candidates(domain)
        planned = plan_keepers(
            domain, current, self._keeper_count, candidates, views
        )
        if planned is None:
            return
        if current is None:
            may_commit = self._has_waited(domain, FIRST_SET_WAIT_SECONDS)
        elif planned.forced:
            # A single node would be the whole quorum of a domain of many.
            may_commit = self._has_waited(domain, FORCED_SET_WAIT_SECONDS)
        else:
            may_commit = True
        if may_commit:
            await self._commit(planned)

    async def _commit(self, planned: KeeperSet) -> None:
        now_ms = wall_ms()
        command = AssignKeepers(keepers=planned, at_ms=now_ms)
        try:
            await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown) as exc:
            logger.warning(
                'keepers: commit of a set is not confirmed: {!r}', exc
            )
            return
        logger.info(
            'keepers: domain {} has {} in epoch {}',
            planned.domain,
            sorted(planned.members),
            planned.epoch,
        )

    def _live_candidates(self, domain: str) -> dict[str, str]:
        """Return the addresses of live nodes by name, newest report first.

        Nodes that were not reported for CANDIDATE_TIMEOUT_SECONDS are removed.
        """
        expired_before = self._clock() - CANDIDATE_TIMEOUT_SECONDS
        nodes = self._candidates.get(domain, {})
        for name, candidate in list(nodes.items()):
            if candidate.last_seen < expired_before:
                nodes.pop(name)
        newest = sorted(nodes, key=lambda node: (-nodes[node].last_seen, node))
        return {node: nodes[node].address for node in newest}

    def _has_waited(self, domain: str, seconds: float) -> bool:
        """Return whether enough nodes joined or the wait for more is over.

        Args:
            domain: the failure domain.
            seconds: how long to wait after the first report of a live node.
        """
        now = self._clock()
        nodes = self._candidates.get(domain, {})
        if len(nodes) >= self._keeper_count:
            return True
        first = min(
            (candidate.first_seen for candidate in nodes.values()), default=now
        )
        return now - first >= seconds
