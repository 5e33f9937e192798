"""Factory: creates the proxy of a node from its parts."""

import time
from random import Random
from typing import Final

from medlarhoist.core.balance import NodeLocation
from medlarhoist.core.confirmation import lease_seconds
from medlarhoist.core.fingerprint import make_fingerprint_key
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from medlarhoist.core.interfaces import CallRecorder, Registry, ShareLimiter
from medlarhoist.core.presence import SILENT_HEARTBEATS
from medlarhoist.core.quarantine import Quarantine
from medlarhoist.core.resource import Service
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.proxy.account_gate import AccountGate
from medlarhoist.node.proxy.call_suspicion import CallSuspicions
from medlarhoist.node.proxy.local import LocalTarget
from medlarhoist.node.proxy.observer import Observer
from medlarhoist.node.proxy.parts import ConfigurationView, ProxyParts
from medlarhoist.node.proxy.peer import PeerService
from medlarhoist.node.proxy.proxy import Proxy
from medlarhoist.node.proxy.remote import RemoteNodes
from medlarhoist.node.proxy.suspects import TargetSuspects
from medlarhoist.node.proxy.target_selector import TargetSelector

_MS_PER_SECOND: Final = 1000


def create_proxy(
    cfg: NodeSettings,
    configuration: ConfigurationView,
    registry: Registry,
    recorder: CallRecorder,
    limiter: ShareLimiter,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    quarantine: Quarantine | None = None,
) -> Proxy:
    """Return the proxy of a node, which does not listen before its start.

    Args:
        cfg: settings of the node.
        configuration: the configuration in force.
        registry: the live targets.
        recorder: counts the results of calls, as evidence on versions.
        limiter: clamps the share of a new version on local evidence.
        header_names: names of the headers of callers and targets.
        quarantine: the suspects that this node knows of, which it exchanges
            with others; None for its own.
    """
    if quarantine is None:
        quarantine = Quarantine()
    fingerprint_key = make_fingerprint_key(cfg.shared_key)
    key = cfg.shared_key.encode()
    rng = Random()  # noqa: S311  selects targets, not for security

    def find_service(name: str) -> Service | None:  # noqa: WPS430
        compiled = configuration.active
        return compiled.services.get(name) if compiled else None

    suspects = TargetSuspects(fingerprint_key, quarantine)

    def is_drained() -> bool:  # noqa: WPS430
        compiled = configuration.active
        return compiled is not None and cfg.domain in compiled.drained_domains

    local = LocalTarget(find_service, header_names, suspects)
    local.cold.is_drained = is_drained
    local.cold.silence_s = cfg.heartbeat_ms * SILENT_HEARTBEATS / _MS_PER_SECOND
    selector = TargetSelector(
        cfg.name,
        NodeLocation(cfg.domain, cfg.peer),
        registry,
        limiter,
        time.monotonic,
        rng,
    )
    parts = ProxyParts(
        name=cfg.name,
        domain=cfg.domain,
        peer_address=cfg.peer,
        service=cfg.service,
        header_names=header_names,
        configuration=configuration,
        selector=selector,
        local=local,
        remote=RemoteNodes(cfg.name, cfg.domain, key, time.time),
        observer=Observer(selector, recorder),
        suspicions=CallSuspicions(fingerprint_key, quarantine),
        accounts=AccountGate(
            header_names,
            local.running,
            configuration.confirmations,
            lease_seconds(cfg.revocation_ms),
        ),
    )
    peer_service = PeerService(
        local, cfg.domain, key, time.time, selector.drains
    )
    return Proxy(cfg, parts, peer_service)
