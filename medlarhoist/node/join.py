"""Join: queries the keeper sets and the leader of the sources.

Any source can reply. If none does, nodes of the failure domain are queried.
"""

from collections.abc import Callable, Iterable
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

# Addresses of a group of seven sources, and of as many that it had before.
MAX_SOURCES: Final = 14


class Directory:
    """The keeper sets and source addresses that a node has received.

    A keeper is a node that is a voting member of its domain's quorum.

    Args:
        leader: control address of the leader of the sources, as last
            received; empty if it is unknown.
        sets: newest keeper set of each domain, by domain.
        sources: control addresses of sources, the latest received first.
    """

    __slots__ = (
        '_cfg',
        '_channels',
        '_on_change',
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
        """Start without keeper sets; the settings name the sources."""
        self._cfg = cfg
        self._channels = channels
        self._on_change: Callable[[tuple[KeeperSet, ...]], None] = _ignore
        self._random = random
        self.sets: dict[str, KeeperSet] = {}
        self.leader = ''
        self.sources = tuple(source.control for source in cfg.sources)

    @property
    def domain_keepers(self) -> KeeperSet | None:
        """Return the keeper set of this node's domain, None if unknown."""
        return self.sets.get(self._cfg.domain)

    def on_change(
        self,
        callback: Callable[[tuple[KeeperSet, ...]], None],
    ) -> None:
        """Set the callback for keeper sets that are newer than those held."""
        self._on_change = callback

    def adopt(self, sets: Iterable[KeeperSet]) -> None:
        """Adopt the newer ones of some keeper sets."""
        newer = tuple(
            keepers
            for keepers in sets
            if keepers.epoch > epoch_of(self.sets.get(keepers.domain))
        )
        self.sets.update({keepers.domain: keepers for keepers in newer})
        if newer:
            self._on_change(newer)

    async def refresh(
        self,
        members: Iterable[str] = (),
        last: str = '',
    ) -> bool:
        """Query processes until one replies with this domain's keeper set.

        They are queried one after another: the leader, the other sources in
        random order, and then nodes.

        Args:
            members: control addresses of nodes of the domain.
            last: control address to query after all others, as it has just
                failed; empty for none.

        Returns:
            False if no reply contained the set.
        """
        sources = list(self.sources)
        self._random.shuffle(sources)
        if self.leader:
            sources.insert(0, self.leader)
        addresses = sorted(
            dict.fromkeys((*sources, *members)),
            key=lambda address: address == last,
        )
        for address in addresses:
            joined = await self._channels.try_call(
                address, JOIN, self._request()
            )
            if joined is not None and self._record(joined):
                return True
        return False

    def add_sources(self, addresses: Iterable[str]) -> None:
        """Put source addresses before those that were received earlier.

        The oldest ones beyond `MAX_SOURCES` are discarded.

        Args:
            addresses: control addresses, of all sources or of some.
        """
        newest = tuple(dict.fromkeys(addresses))
        older = [address for address in self.sources if address not in newest]
        self.sources = (*newest, *older)[:MAX_SOURCES]

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure by which other nodes query the keeper sets."""
        return {JOIN: self._serve}

    def _request(self) -> Join:
        return Join(
            node=self._cfg.name,
            domain=self._cfg.domain,
            address=self._cfg.control,
        )

    def _record(self, joined: Joined) -> bool:
        self.adopt(joined.sets)
        if joined.leader:
            self.leader = joined.leader
        self.add_sources(joined.sources)
        domains = {keepers.domain for keepers in joined.sets}
        return self._cfg.domain in domains

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


def _ignore(sets: tuple[KeeperSet, ...]) -> None:
    """Ignore newer keeper sets."""
