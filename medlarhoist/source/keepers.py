"""Keepers: the leader assigns the keepers of each failure domain."""

from collections.abc import Callable
from typing import Final

from loguru import logger

from medlarhoist.core.command import AssignKeepers, KeeperSet
from medlarhoist.core.interfaces import Ledger, NotLeader, OutcomeUnknown
from medlarhoist.core.keeper_plan import KeeperView, plan_keepers
from medlarhoist.utils.clock import wall_ms

# Nodes that are there are told of more often, by a keeper or by themselves.
CANDIDATE_TIMEOUT_SECONDS: Final = 2.5
FIRST_SET_WAIT_SECONDS: Final = 0.5


class Candidate:
    """A node that could become a keeper."""

    __slots__ = ('address', 'first_seen', 'last_seen')

    def __init__(self, address: str, now: float) -> None:
        """Note the first sight of it."""
        self.address = address
        self.first_seen = now
        self.last_seen = now


class KeeperAssigner:
    """What the leader knows of possible and present keepers."""

    __slots__ = ('_candidates', '_clock', '_keeper_count', '_ledger')

    def __init__(
        self,
        ledger: Ledger,
        keeper_count: int,
        clock: Callable[[], float],
    ) -> None:
        """Start without candidates."""
        self._candidates: dict[str, dict[str, Candidate]] = {}
        self._clock = clock
        self._ledger = ledger
        self._keeper_count = keeper_count

    def record_node(self, domain: str, name: str, address: str) -> None:
        """Note a live node."""
        now = self._clock()
        nodes = self._candidates.setdefault(domain, {})
        known = nodes.get(name)
        if known is None or known.address != address:
            nodes[name] = Candidate(address, now)
        nodes[name].last_seen = now

    def remove_node(self, domain: str, name: str) -> None:
        """Take in that a node has left; it is told of again when it joins."""
        self._candidates.get(domain, {}).pop(name, None)

    def domains(self) -> set[str]:
        """Return the failure domains that nodes have joined from."""
        return set(self._candidates) | set(self._ledger.state.keepers)

    async def assign(
        self,
        domain: str,
        views: dict[str, KeeperView],
    ) -> None:
        """Commit the next keeper set of a domain, if one is due.

        Args:
            domain: the failure domain.
            views: what the leader sees of the present keepers.
        """
        current = self._ledger.state.keepers.get(domain)
        candidates = self._live_candidates(domain)
        if current is None and not self._can_create_first_set(domain):
            return
        planned = plan_keepers(
            domain, current, self._keeper_count, candidates, views
        )
        if planned is not None:
            await self._commit(planned)

    async def _commit(self, planned: KeeperSet) -> None:
        now_ms = wall_ms()
        command = AssignKeepers(keepers=planned, at_ms=now_ms)
        try:
            await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown) as exc:
            logger.warning('keepers: set is not committed: {!r}', exc)
            return
        logger.info(
            'keepers: domain {} has {} in epoch {}',
            planned.domain,
            sorted(planned.members),
            planned.epoch,
        )

    def _live_candidates(self, domain: str) -> dict[str, str]:
        oldest = self._clock() - CANDIDATE_TIMEOUT_SECONDS
        nodes = self._candidates.get(domain, {})
        for name, known in list(nodes.items()):
            if known.last_seen < oldest:
                nodes.pop(name)
        newest = sorted(nodes, key=lambda node: (-nodes[node].last_seen, node))
        return {node: nodes[node].address for node in newest}

    def _can_create_first_set(self, domain: str) -> bool:
        now = self._clock()
        nodes = self._candidates.get(domain, {})
        if len(nodes) >= self._keeper_count:
            return True
        first = min((known.first_seen for known in nodes.values()), default=now)
        return now - first >= FIRST_SET_WAIT_SECONDS
