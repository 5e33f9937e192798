"""View: the contents of the dump of a node."""

from msgspec import Struct

from medlarhoist.core.presence import Presence
from medlarhoist.node.distribution import DistributionView
from medlarhoist.node.proxy.proxy import ProxyDump


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
