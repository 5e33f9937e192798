"""View: the contents of the dump of a node."""

from msgspec import Struct

from medlarhoist.core.presence import Presence
from medlarhoist.node.account_limits import NO_LIMITS, AccountLimitsView
from medlarhoist.node.configuration import ConfigurationView
from medlarhoist.node.gossip import GossipView
from medlarhoist.node.keeper import KeeperView
from medlarhoist.node.lag_monitor import LagView
from medlarhoist.node.proxy.proxy import ProxyDump
from medlarhoist.node.uplink import UplinkView
from medlarhoist.utils.traffic import TrafficView


class DistributionView(Struct, frozen=True, kw_only=True):
    """State of the distribution in a dump.

    Args:
        configuration: the versions that the node holds.
        keeper: its state as a keeper.
        uplink: its connection to its parent.
        gossip: its membership exchange.
        children: names of the attached children.
        summaries: number of targets in the summary of each other domain.
        traffic: control bytes sent and received.
        lag: how late versions came into force.
        fetched: versions that came from another member than the parent.
        account_limits: shares and refusals of accounts with a rate.
        waiting_for: what is missing before a version can be in force, empty
            once one is.
    """

    configuration: ConfigurationView
    keeper: KeeperView
    uplink: UplinkView
    gossip: GossipView
    children: tuple[str, ...]
    summaries: dict[str, int]
    traffic: TrafficView
    lag: LagView
    fetched: int = 0
    account_limits: AccountLimitsView = NO_LIMITS
    waiting_for: str


class NodeView(Struct, frozen=True, kw_only=True):
    """State of a node, as its dump shows it.

    Args:
        name: name of the node.
        domain: its failure domain.
        role: always `node`; dumps of sources have another role.
        version: configuration version in force, None before the first.
        presence: the target beside the node.
        is_leaving: whether the node stops, which drains its target.
        distribution: its members, parent, children and versions.
        proxy: its listeners, slots and targets.
        clamps: share and clamp of each moving service.
        recorder: the calls that it counted.
    """

    name: str
    domain: str
    role: str
    version: int | None
    presence: Presence
    is_leaving: bool
    distribution: DistributionView
    proxy: ProxyDump
    clamps: object
    recorder: object
