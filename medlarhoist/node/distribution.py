"""Distribution: combines the parts that provide a node's configuration.

They join the failure domain, read the floor (the lowest version that the node
may serve), attach to a parent in the tree, serve children, act as a keeper if
the node is one (a voting member of the domain's quorum), and exchange
membership records.
"""

import asyncio
from random import Random

from medlarhoist.core.interfaces import EvidenceSource
from medlarhoist.core.membership import (
    MembershipState,
    is_missing,
    live_members,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.shared_records import SharedRecords
from medlarhoist.node.catch_up import CatchUp
from medlarhoist.node.configuration import Configuration, view_configuration
from medlarhoist.node.downlink import Downlink
from medlarhoist.node.floor_client import await_floor
from medlarhoist.node.gossip import Gossip
from medlarhoist.node.heartbeat import Heartbeat
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.keeper_exchange import KeeperExchange
from medlarhoist.node.keeper_loop import KeeperLoop
from medlarhoist.node.lag_monitor import create_lag_monitor
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.node.uplink import Uplink
from medlarhoist.node.uplink_receiver import Receiver
from medlarhoist.node.view import DistributionView
from medlarhoist.node.withdrawal_exchange import WithdrawalExchange
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.wire.channels import Channels, create_channels
from medlarhoist.wire.rpc import Method, StreamHandler


class Distribution:
    """The parts of one node that provide its configuration.

    Args:
        account_limits: holds the node to the limits of accounts.
        channels: its connections to other processes.
        directory: the keeper sets and addresses of sources it has received.
    """

    __slots__ = (
        '_catch_up',
        '_cfg',
        '_configuration',
        '_downlink',
        '_exchange',
        '_gossip',
        '_heartbeat',
        '_keeper',
        '_keeper_loop',
        '_lag_monitor',
        '_membership',
        '_random',
        '_receiver',
        '_registry',
        '_tasks',
        '_uplink',
        '_withdrawal_exchange',
        'account_limits',
        'channels',
        'directory',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
        registry: TargetRegistry,
        membership: MembershipState,
        evidence: EvidenceSource,
        channels: Channels,
        shared: SharedRecords,
    ) -> None:
        """Create the parts; `start` runs them."""
        random = Random()  # noqa: S311  spreads load, not for security
        directory = Directory(cfg, channels, random)
        keeper = Keeper(cfg, configuration)
        downlink = Downlink(cfg, configuration, directory, keeper, random)
        receiver = Receiver(
            cfg, configuration, directory, keeper, downlink, evidence
        )
        self.account_limits = downlink.account_limits
        self._cfg = cfg
        self.channels = channels
        self._configuration = configuration
        self.directory = directory
        self._downlink = downlink
        self._gossip = Gossip(cfg, membership, channels, random, shared)
        self._heartbeat = Heartbeat(
            cfg, directory, downlink, self._gossip, keeper, registry
        )
        self._withdrawal_exchange = WithdrawalExchange(
            cfg, channels, directory, membership, random, shared
        )
        self._keeper = keeper
        self._keeper_loop = KeeperLoop(
            cfg,
            channels,
            configuration,
            keeper,
            lambda: directory.leader,
            self._send_established,
        )
        self._membership = membership
        self._random = random
        self._receiver = receiver
        self._registry = registry
        self._tasks: list[asyncio.Task[None]] = []
        self._uplink = Uplink(
            cfg, channels, directory, keeper, receiver, random
        )
        self._catch_up = CatchUp(
            cfg,
            channels,
            configuration,
            downlink,
            self._gossip,
            receiver,
            self._uplink,
        )
        self._lag_monitor = create_lag_monitor(
            configuration, self._uplink, receiver
        )
        self._exchange = KeeperExchange(
            cfg, channels, directory, keeper, registry, random, shared
        )
        self._register_callbacks()

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the gRPC procedures to serve on the control address."""
        return {
            **self._catch_up.procedures(),
            **self.directory.procedures(),
            **self._downlink.procedures(),
            **self._exchange.procedures(),
            **self._gossip.procedures(),
            **self._keeper.procedures(),
            **self._withdrawal_exchange.procedures(),
        }

    async def start(self) -> None:
        """Start to join; the control address must be served already."""
        await self._gossip.start()
        self._keeper_loop.start()
        self._uplink.start()
        self._catch_up.start()
        self._exchange.start()
        self._tasks = [
            asyncio.ensure_future(self._read_floor()),
            asyncio.ensure_future(self._heartbeat.send_all()),
        ]

    async def replicate_withdrawals(self) -> None:
        """Let other nodes hold the drains and leaves of targets."""
        await self._withdrawal_exchange.replicate()

    async def stop(self) -> None:
        """Redirect the children, detach and leave the domain."""
        await cancel_all(self._tasks)
        self._exchange.stop()
        await self._catch_up.stop()
        await self._keeper_loop.stop()
        self._downlink.redirect_all('', 'parent stops')
        await self._uplink.stop()
        await self._gossip.stop()
        self.channels.close()

    def dump(self) -> DistributionView:
        """Return the state for a dump."""
        summaries = self._registry.summaries()
        return DistributionView(
            configuration=view_configuration(self._configuration),
            keeper=self._keeper.view(),
            uplink=self._uplink.view(),
            gossip=self._gossip.view(),
            children=tuple(sorted(self._downlink.sessions)),
            summaries={
                summary.domain: len(summary.targets) for summary in summaries
            },
            traffic=self.channels.traffic.view(),
            lag=self._lag_monitor.view(),
            fetched=self._catch_up.count,
            account_limits=self.account_limits.view(),
            waiting_for=self._waiting_for(),
        )

    def _register_callbacks(self) -> None:
        self.directory.on_change(self._receiver.apply_sets)
        self._downlink.on_change(self._uplink.mark_changed)
        self._downlink.initial_messages = self._registry.summaries
        self._downlink.seconds_since_leader = (
            self._receiver.seconds_since_leader
        )
        self.account_limits.contact_age_s = self._receiver.seconds_since_leader
        self.account_limits.is_missing = lambda name: is_missing(
            self._membership, name
        )
        self._exchange.on_summary(self._downlink.broadcast)
        self._receiver.on_summary(
            self._registry.update_summary, self._registry.confirm_summaries
        )
        self._registry.on_change(self._gossip.schedule_push)
        self._uplink.use_member_addresses(self._control_addresses)

    def _control_addresses(self) -> dict[str, str]:
        return {
            member.name: member.control
            for member in live_members(self._membership)
        }

    def _send_established(self) -> None:
        self._downlink.send_established()
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
        floor = await await_floor(
            self._cfg,
            self.channels,
            self._keeper,
            self.directory,
            self._random,
            lambda: len(self._control_addresses()) + 1,
        )
        self._configuration.set_floor(floor)
        self._uplink.mark_changed()


def create_distribution(
    cfg: NodeSettings,
    configuration: Configuration,
    registry: TargetRegistry,
    membership: MembershipState,
    evidence: EvidenceSource,
    shared: SharedRecords,
    channels: Channels | None = None,
) -> Distribution:
    """Create the distribution of a node; its `start` runs it.

    Args:
        cfg: settings of the node.
        configuration: the versions that it holds.
        registry: the live targets that it has received.
        membership: its membership state; the registry uses the same object.
        evidence: results of its calls, which are sent up the tree.
        shared: the records that it holds for other nodes, and exchanges.
        channels: its connections; None creates them from the settings.
    """
    if channels is None:
        channels = create_channels(cfg.shared_key, cfg.name)
    return Distribution(
        cfg,
        configuration,
        registry,
        membership,
        evidence,
        channels,
        shared,
    )
