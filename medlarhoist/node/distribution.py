"""Distribution: puts the parts together that give a node its configuration.

It joins the domain, reads the floor, keeps a parent, serves children, takes
part as a keeper and in the membership exchange.
"""

import asyncio
from random import Random
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.backoff import delay_seconds, longest_delay
from medlarhoist.core.interfaces import EvidenceSource
from medlarhoist.core.membership import MembershipState, live_members
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.configuration import (
    Configuration,
    ConfigurationView,
    view_configuration,
)
from medlarhoist.node.downlink import Downlink
from medlarhoist.node.floor_client import ask_floor
from medlarhoist.node.gossip import Gossip, GossipView
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper, KeeperView
from medlarhoist.node.keeper_exchange import KeeperExchange
from medlarhoist.node.keeper_loop import KeeperLoop
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.node.uplink import Uplink, UplinkView
from medlarhoist.node.uplink_receiver import Receiver
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.utils.traffic import Traffic, TrafficView
from medlarhoist.wire.channels import Channels, create_channels
from medlarhoist.wire.message import Ages, Established
from medlarhoist.wire.rpc import Method, StreamHandler

BEAT_SECONDS: Final = 1.0
BEATS_OF_AGES: Final = 5
MS_PER_SECOND: Final = 1000


class DistributionView(Struct, frozen=True, kw_only=True):
    """What a dump of a node shows of the distribution."""

    configuration: ConfigurationView
    keeper: KeeperView
    uplink: UplinkView
    gossip: GossipView
    children: tuple[str, ...]
    summaries: dict[str, int]
    traffic: TrafficView
    waiting_for: str


class Distribution:
    """The parts of one node that give it its configuration.

    Args:
        directory: where the sources and keepers are.
    """

    __slots__ = (
        '_cfg',
        '_channels',
        '_configuration',
        '_downlink',
        '_exchange',
        '_gossip',
        '_keeper',
        '_keeper_loop',
        '_knowledge',
        '_random',
        '_receiver',
        '_registry',
        '_tasks',
        '_uplink',
        'directory',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
        registry: TargetRegistry,
        knowledge: MembershipState,
        evidence: EvidenceSource,
        channels: Channels,
        random: Random,
    ) -> None:
        """Create the parts; nothing is started."""
        directory = Directory(cfg, channels, random)
        keeper = Keeper(cfg, configuration)
        downlink = Downlink(cfg, configuration, directory, keeper, random)
        receiver = Receiver(
            cfg, configuration, directory, keeper, downlink, evidence
        )
        self._cfg = cfg
        self._channels = channels
        self._configuration = configuration
        self.directory = directory
        self._downlink = downlink
        self._gossip = Gossip(cfg, knowledge, channels, random)
        self._keeper = keeper
        self._keeper_loop = KeeperLoop(
            cfg,
            channels,
            configuration,
            keeper,
            lambda: directory.leader,
            self._note_established,
        )
        self._knowledge = knowledge
        self._random = random
        self._receiver = receiver
        self._registry = registry
        self._tasks: list[asyncio.Task[None]] = []
        self._uplink = Uplink(
            cfg, channels, directory, keeper, receiver, random
        )
        self._exchange = KeeperExchange(
            cfg, channels, directory, keeper, registry, random
        )
        self._connect()

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedures to serve on the control address."""
        return {
            **self.directory.procedures(),
            **self._downlink.procedures(),
            **self._exchange.procedures(),
            **self._gossip.procedures(),
            **self._keeper.procedures(),
        }

    @property
    def traffic(self) -> Traffic:
        """Return the counter of control bytes; the server uses it too."""
        return self._channels.traffic

    async def start(self) -> None:
        """Begin to join; the control address must be served already."""
        await self._gossip.start()
        self._keeper_loop.start()
        self._uplink.start()
        self._exchange.start()
        self._tasks = [
            asyncio.ensure_future(self._read_floor()),
            asyncio.ensure_future(self._beat()),
        ]

    async def stop(self) -> None:
        """Leave the domain and send the children elsewhere."""
        await cancel_all(self._tasks)
        self._exchange.stop()
        await self._keeper_loop.stop()
        self._downlink.drop_all('', 'parent stops')
        await self._uplink.stop()
        await self._gossip.stop()
        self._channels.close()

    def dump(self) -> DistributionView:
        """Return the state for a dump."""
        summaries = self._registry.summaries()
        return DistributionView(
            configuration=view_configuration(self._configuration),
            keeper=self._keeper.view(),
            uplink=self._uplink.view(),
            gossip=self._gossip.view(),
            children=tuple(sorted(self._downlink.sessions)),
            summaries={told.domain: len(told.targets) for told in summaries},
            traffic=self._channels.traffic.view(),
            waiting_for=self._waiting_for(),
        )

    def _connect(self) -> None:
        self._downlink.on_change(self._uplink.mark_changed)
        self._downlink.welcome = self._registry.summaries
        self._exchange.on_summary(self._downlink.broadcast)
        self._receiver.on_summary(
            self._registry.adopt_summary, self._registry.confirm_summaries
        )
        self._registry.on_change(self._gossip.schedule_push)
        self._uplink.use_members(self._control_addresses)

    def _control_addresses(self) -> dict[str, str]:
        return {
            member.name: member.control
            for member in live_members(self._knowledge)
        }

    def _note_established(self, version: int) -> None:
        self._downlink.establish(version)
        self._uplink.mark_changed()

    def _waiting_for(self) -> str:
        if self.directory.domain_keepers is None:
            return 'the keeper set of the domain'
        if self._configuration.floor is None:
            return 'a floor from a majority of the keepers'
        if self._configuration.active is None:
            return f'a version at or past {self._configuration.floor}'
        return ''

    async def _read_floor(self) -> None:
        attempt = 0
        while True:
            self._keeper.adopt(self.directory.domain_keepers)
            floor = await ask_floor(
                self._cfg,
                self._channels,
                self._keeper,
                self.directory.leader,
            )
            if floor is not None:
                break
            longest = longest_delay(len(self._control_addresses()) + 1)
            wait = delay_seconds(attempt, self._random, longest)
            await asyncio.sleep(wait)
            attempt += 1
        logger.info('configuration: the floor is version {}', floor)
        self._configuration.set_floor(floor)
        self._uplink.mark_changed()

    async def _beat(self) -> None:
        beats = 0
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            beats += 1
            self._registry.confirm_summaries({})
            if self._keeper.is_keeper and not beats % BEATS_OF_AGES:
                ages = Ages(ages_ms=self._registry.ages_ms())
                self._downlink.broadcast(ages)
            self._adopt_from_keeper()
            keepers = self.directory.domain_keepers
            self._downlink.broadcast(
                Established(
                    version=self._configuration.established,
                    epoch=keepers.epoch if keepers else 0,
                    age_ms=int(self._receiver.age_seconds() * MS_PER_SECOND),
                )
            )
            if not self._gossip.view().alive > 1 and keepers:
                await self._gossip.sync(self._other_keepers())

    def _adopt_from_keeper(self) -> None:
        keepers = self._keeper.state.keepers
        if keepers is not None:
            self._receiver.adopt_sets((keepers,))

    def _other_keepers(self) -> list[str]:
        keepers = self.directory.domain_keepers
        members = keepers.members if keepers else {}
        return [
            address
            for name, address in members.items()
            if name != self._cfg.name
        ]


def create_distribution(
    cfg: NodeSettings,
    configuration: Configuration,
    registry: TargetRegistry,
    knowledge: MembershipState,
    evidence: EvidenceSource,
    channels: Channels | None = None,
) -> Distribution:
    """Return the distribution of a node.

    Args:
        cfg: its settings.
        configuration: the versions that it holds.
        registry: the targets that it knows of.
        knowledge: what it knows of its domain, the same as the registry's.
        evidence: what its calls showed, sent up the tree.
        channels: its connections; made from the settings where none are
            given.
    """
    if channels is None:
        channels = create_channels(cfg.shared_key, cfg.name, Traffic())
    return Distribution(
        cfg, configuration, registry, knowledge, evidence, channels, Random()
    )
