"""View: what the dump of a node shows."""

from msgspec import Struct

from medlarhoist.core.presence import Presence
from medlarhoist.node.distribution import DistributionView
from medlarhoist.node.proxy.proxy import ProxyDump


class NodeView(Struct, frozen=True, kw_only=True):
    """What a dump of a node shows."""

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
