"""Parts: what the entry service of a proxy uses."""

from typing import Protocol

from msgspec import Struct, field

from medlarhoist.core.compile import Compiled
from medlarhoist.core.confirmation import Confirmations
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.node.proxy.account_gate import AccountGate
from medlarhoist.node.proxy.call_suspicion import CallSuspicions
from medlarhoist.node.proxy.local import LocalTarget
from medlarhoist.node.proxy.observer import Observer
from medlarhoist.node.proxy.remote import RemoteNodes
from medlarhoist.node.proxy.target_selector import TargetSelector


class ConfigurationView(Protocol):
    """The configuration in force at this node.

    Attributes:
        confirmations: when its versions were known to be the newest.
    """

    confirmations: Confirmations

    @property
    def active(self) -> Compiled | None:
        """Return it, None until the node has received its version floor.

        The floor is the lowest configuration version that it may serve.
        """


class ProxyParts(Struct, frozen=True, kw_only=True):
    """The parts of a proxy that the entry service uses.

    Args:
        name: name of this node.
        domain: its failure domain.
        peer_address: address that other nodes send its target's calls to.
        service: service of the target beside this node, empty if not set.
        header_names: names of the headers of callers and targets.
        configuration: the configuration in force.
        selector: selects versions and targets.
        local: the target beside this node.
        remote: the targets beside other nodes.
        observer: records how attempts and calls ended.
        suspicions: finds the requests that are suspected to crash targets.
        accounts: finds the client accounts of calls.
    """

    name: str
    domain: str
    peer_address: str
    service: str
    header_names: HeaderNames = field(name='dialect')
    configuration: ConfigurationView
    selector: TargetSelector = field(name='choice')
    local: LocalTarget
    remote: RemoteNodes
    observer: Observer
    suspicions: CallSuspicions
    accounts: AccountGate
