"""Join: learns the keeper sets and the leader of the sources.

Any source may answer; where none does, nodes of the domain do.
"""

from collections.abc import Iterable
from random import Random
from typing import Any, Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import epoch_of
from medlarhoist.core.settings import NodeSettings
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Join, Joined
from medlarhoist.wire.procedures import JOIN
from medlarhoist.wire.rpc import Method, StreamHandler

# Seven sources, and as many places that they may have had before.
SOURCES_KEPT: Final = 14


class Directory:
    """The keeper sets that a node knows, and the leader."""

    __slots__ = (
        '_cfg',
        '_channels',
        '_random',
        'leader',
        'sets',
        'sources',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        random: Random,
    ) -> None:
        """Start without any set."""
        self._cfg = cfg
        self._channels = channels
        self._random = random
        self.sets: dict[str, KeeperSet] = {}
        self.leader = ''
        self.sources = tuple(source.control for source in cfg.sources)

    @property
    def domain_keepers(self) -> KeeperSet | None:
        """Return the keeper set of this node's domain."""
        return self.sets.get(self._cfg.domain)

    def adopt(self, sets: Iterable[KeeperSet]) -> bool:
        """Take over newer sets and say whether there was one."""
        changed = False
        for told in sets:
            if told.epoch > epoch_of(self.sets.get(told.domain)):
                self.sets[told.domain] = told
                changed = True
        return changed

    async def refresh(self, members: Iterable[str] = ()) -> bool:
        """Ask the sources, then nodes, until one answers with our set.

        Args:
            members: control addresses of nodes of the domain.
        """
        sources = list(self.sources)
        self._random.shuffle(sources)
        if self.leader:
            sources.insert(0, self.leader)
        for address in dict.fromkeys((*sources, *members)):
            joined = await self._channels.try_call(
                address, JOIN, self._request()
            )
            if joined is not None and self._take(joined):
                return True
        return False

    def add_sources(self, told: Iterable[str]) -> None:
        """Take over where sources are; those told last go first.

        Args:
            told: control addresses, of all sources or of some.
        """
        fresh = tuple(dict.fromkeys(told))
        older = [one for one in self.sources if one not in fresh]
        self.sources = (*fresh, *older)[:SOURCES_KEPT]

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure by which other nodes learn the sets."""
        return {JOIN: self._serve}

    def _request(self) -> Join:
        return Join(
            node=self._cfg.name,
            domain=self._cfg.domain,
            address=self._cfg.control,
        )

    def _take(self, joined: Joined) -> bool:
        self.adopt(joined.sets)
        if joined.leader:
            self.leader = joined.leader
        self.add_sources(joined.sources)
        told = {known.domain for known in joined.sets}
        return self._cfg.domain in told

    async def _serve(self, stream: Any) -> None:
        await stream.recv_message()
        if not self.sets:
            raise GRPCError(Status.UNAVAILABLE, 'no keeper set is known')
        joined = Joined(
            sets=tuple(self.sets.values()),
            leader=self.leader,
            sources=self.sources,
        )
        await stream.send_message(joined)
