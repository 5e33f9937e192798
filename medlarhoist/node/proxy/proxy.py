"""Proxy: the listeners of a node and their start and graceful stop."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.balance import NodeLocation
from medlarhoist.core.check import BODY_LIMIT_BYTES, HEAD_LIMIT_BYTES
from medlarhoist.core.compile import NO_LIMITS
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from medlarhoist.core.interfaces import CallRecorder, Registry, ShareLimiter
from medlarhoist.core.resource import Limits, Service
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice
from medlarhoist.node.proxy.entry import (
    ConfigurationView,
    EntryService,
    Parts,
)
from medlarhoist.node.proxy.local import LocalTarget
from medlarhoist.node.proxy.observer import Observer
from medlarhoist.node.proxy.peer import PeerService
from medlarhoist.node.proxy.remote import Remote
from medlarhoist.node.proxy.server import Listener
from medlarhoist.node.proxy.target_selector import Choice

SWEEP_S: Final = 1.0
# What a caller may send was checked where it entered; nodes add headers.
PEER_LIMITS: Final = Limits(
    head_bytes=HEAD_LIMIT_BYTES,
    body_bytes=BODY_LIMIT_BYTES,
)
STOP_LINGER_S: Final = 1.5
# News of a target reaches the nodes that call it much sooner.
SPREAD_S: Final = 0.5
LAST_REQUESTS_S: Final = 0.5
STOP_LIMIT_S: Final = 60.0
_POLL_S: Final = 0.02


class ProxyDump(Struct, frozen=True, kw_only=True):
    """The state of a proxy.

    Args:
        entry_port: port for callers.
        peer_port: port for other nodes.
        entry_connections: open connections of callers.
        peer_connections: open connections of other nodes.
        malformed: requests refused for their form.
        retries: attempts after the first.
        crossed: answers that did not belong to their request.
        slots: slots of the target beside this node.
        slots_used: slots in use.
        slots_peak: most slots ever in use at once.
        waiting: calls that wait for a slot.
        refused: calls that this node refused for its target.
        node_connections: open connections to other nodes by address.
        targets: what was seen of targets by address.
    """

    entry_port: int
    peer_port: int
    entry_connections: int
    peer_connections: int
    malformed: int
    retries: int
    crossed: int
    slots: int
    slots_used: int
    slots_peak: int
    waiting: int
    refused: int
    node_connections: dict[str, int]
    targets: dict[str, 'SeenTarget']


class SeenTarget(Struct, frozen=True, kw_only=True):
    """What a node has seen of one target.

    Args:
        outstanding: calls in progress from this node.
        latency_us: smoothed latency, microseconds.
        failures: failed calls in a row.
    """

    outstanding: int
    latency_us: int
    failures: int


class Proxy:
    """Both listeners of a node."""

    __slots__ = (
        '_cfg',
        '_entry',
        '_entry_service',
        '_parts',
        '_peer',
        '_sweeper',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        parts: Parts,
        peer_service: PeerService,
    ) -> None:
        """Join the services; nothing listens yet."""
        self._cfg = cfg
        self._parts = parts
        self._entry_service = EntryService(parts)
        self._entry = Listener(self._entry_service.serve, self._find_limits)
        self._peer = Listener(peer_service.serve, lambda: PEER_LIMITS)
        self._sweeper: asyncio.Task[None] | None = None

    def _find_limits(self) -> Limits:
        compiled = self._parts.configuration.active
        return NO_LIMITS if compiled is None else compiled.limits

    @property
    def is_idle(self) -> bool:
        """Say whether no request is in progress."""
        connections = self._entry.connections | self._peer.connections
        return not any(conn.is_busy for conn in connections)

    def set_local_target(self, notice: TargetNotice | None) -> None:
        """Take what the target beside this node says, None when gone."""
        self._parts.local.set_notice(notice)

    async def start(self) -> None:
        """Listen on both addresses.

        Raises:
            OSError: an address cannot be listened on.
        """
        await self._peer.start(self._cfg.peer)
        await self._entry.start(self._cfg.entry)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.create_task(self._sweep())
        logger.info('proxy: takes calls on {}', self._cfg.entry)

    async def stop(
        self,
        linger_s: float = STOP_LINGER_S,
        limit_s: float = STOP_LIMIT_S,
        announce_leave: Callable[[], None] | None = None,
    ) -> None:
        """Let calls in progress end, then close.

        Callers that still come are served for the linger time, are told to
        close their connections, and are refused after it. The target beside
        this node serves until the end of that time, as it takes part in the
        work of the whole service; shortly before, other nodes are told. The
        linger time is longer than other nodes use an idle connection for a
        call that must not be repeated, so that the closing of idle ones cuts
        none of them.

        Args:
            linger_s: time for which late callers are still served, seconds.
            limit_s: longest wait for calls in progress, seconds.
            leave: tells other nodes that the target gets no calls any more.
        """
        now = time.monotonic()
        self._entry.is_draining = True
        self._peer.is_draining = True
        spread_s = min(SPREAD_S, linger_s)
        await asyncio.sleep(linger_s - spread_s)
        if announce_leave is not None:
            announce_leave()
        await asyncio.sleep(spread_s)
        self._parts.local.start_draining()
        self._entry_service.is_draining = True
        for listener in (self._entry, self._peer):
            await listener.close()
        await asyncio.sleep(min(linger_s, LAST_REQUESTS_S))
        while not self.is_idle and time.monotonic() < now + limit_s:
            await asyncio.sleep(_POLL_S)
        for listener in (self._entry, self._peer):
            listener.close_idle()
        self._parts.remote.close()
        self._parts.local.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        logger.info('proxy: has stopped')

    def dump(self) -> ProxyDump:
        """Return the present state."""
        load = self._parts.local.load
        views = self._parts.choice.views
        return ProxyDump(
            entry_port=self._entry.port,
            peer_port=self._peer.port,
            entry_connections=len(self._entry.connections),
            peer_connections=len(self._peer.connections),
            malformed=self._entry.faults + self._peer.faults,
            retries=self._entry_service.retries,
            crossed=self._parts.local.crossed + self._parts.remote.crossed,
            slots=load.slots,
            slots_used=load.used,
            slots_peak=self._parts.local.peak,
            waiting=load.waiting,
            refused=self._parts.local.refused,
            node_connections=self._parts.remote.count_connections(),
            targets={
                address: SeenTarget(
                    outstanding=view.outstanding,
                    latency_us=int(view.latency_s * 1_000_000),
                    failures=view.failures,
                )
                for address, view in views.items()
            },
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            self._entry.sweep(now)
            self._peer.sweep(now)
            self._parts.local.sweep(now)
            known = self._parts.choice.list_known()
            self._parts.remote.sweep(now, known)


def create_proxy(
    cfg: NodeSettings,
    configuration: ConfigurationView,
    registry: Registry,
    recorder: CallRecorder,
    limiter: ShareLimiter,
    dialect: HeaderNames = DEFAULT_HEADER_NAMES,
) -> Proxy:
    """Return the proxy of a node, not yet started.

    Args:
        cfg: settings of the node.
        configuration: the configuration in force.
        registry: the live targets.
        recorder: takes what calls showed.
        limiter: lowers shares on local evidence.
        dialect: the headers of callers and targets.
    """
    key = cfg.shared_key.encode()
    draw = Random()  # noqa: S311  picks targets, guards nothing

    def find_service(name: str) -> Service | None:  # noqa: WPS430
        compiled = configuration.active
        return compiled.services.get(name) if compiled else None

    local = LocalTarget(find_service, dialect)
    choice = Choice(
        cfg.name,
        NodeLocation(cfg.domain, cfg.peer),
        registry,
        limiter,
        time.monotonic,
        draw,
    )
    parts = Parts(
        name=cfg.name,
        domain=cfg.domain,
        peer_address=cfg.peer,
        service=cfg.service,
        dialect=dialect,
        configuration=configuration,
        choice=choice,
        local=local,
        remote=Remote(cfg.name, cfg.domain, key, time.time),
        observer=Observer(choice, recorder),
    )
    peer_service = PeerService(local, cfg.domain, key, time.time)
    return Proxy(cfg, parts, peer_service)
