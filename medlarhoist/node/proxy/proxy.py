"""Proxy: the listeners of a node and their start and graceful stop."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.check import BODY_LIMIT_BYTES, HEAD_LIMIT_BYTES
from medlarhoist.core.client_memory import find_client_limit
from medlarhoist.core.compile import DEFAULT_LIMITS
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.core.resource import Limits
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice
from medlarhoist.node.proxy.account_gate import Admit
from medlarhoist.node.proxy.client_memory import ClientMemory
from medlarhoist.node.proxy.drain_log import DrainLog
from medlarhoist.node.proxy.entry import EntryService
from medlarhoist.node.proxy.listener import Listener
from medlarhoist.node.proxy.local import DOMAIN_IS_DRAINED
from medlarhoist.node.proxy.parts import ProxyParts
from medlarhoist.node.proxy.peer import PeerService
from medlarhoist.utils.memory import read_resident_bytes

SWEEP_INTERVAL_S: Final = 1.0
# The entry node checks the limits of callers. Nodes add headers, so the peer
# listener allows the largest sizes.
PEER_LIMITS: Final = Limits(
    head_bytes=HEAD_LIMIT_BYTES,
    body_bytes=BODY_LIMIT_BYTES,
)
STOP_LINGER_S: Final = 1.5
# Notices of a target reach the nodes that call it much sooner.
LEAVE_NOTICE_S: Final = 0.5
# Time to read requests that were sent before the listeners closed.
LAST_REQUESTS_S: Final = 0.5
STOP_TIMEOUT_S: Final = 60.0
# Time to send the failures of the requests that were given up.
LAST_RESPONSES_S: Final = 0.2
_POLL_S: Final = 0.02
_MEGABYTE: Final = 1_048_576


class ProxyDump(Struct, frozen=True, kw_only=True):
    """The state of a proxy, as it is shown in the node's dump and metrics.

    Args:
        entry_port: port for callers.
        peer_port: port for other nodes.
        entry_connections: open connections of callers.
        peer_connections: open connections of other nodes.
        malformed: requests refused as malformed or too large.
        client_memory_bytes: bytes of memory that connections hold, as counted.
        client_memory_paused: times that a connection was not read on, for what
            it held.
        client_memory_refused: connections that were refused or closed for what
            they held.
        read_ahead: requests of callers that were read while earlier ones of
            their connection were in progress.
        read_ahead_peak: most requests ever in progress on one connection;
            zero before one was read ahead.
        retries: attempts after the first attempt of a call.
        crossed: responses that did not belong to their request.
        malformed_responses: responses that were no HTTP, or had bytes after
            their end.
        slots: slots of the target beside this node.
        slots_used: slots in use.
        slots_peak: highest number of slots ever in use at once.
        waiting: calls that wait for a slot.
        rate_limit: requests per second that the target accepts, zero for no
            limit.
        target_cold_s: for how much longer the target is limited as a cold
            one, seconds; zero if it is not.
        cold_starts: how often the target has turned cold.
        cold_refusals: calls that this node refused as its target is cold.
        is_target_leaving: whether the target has stated that it leaves.
        refused: calls that this node refused for its target.
        refused_by_drain: calls that this node refused as a domain is drained,
            for its target or for want of targets elsewhere.
        drained_domains: failure domains whose targets receive no calls.
        target_deaths: requests in progress when a run of the target ended.
        quarantine_refusals: requests refused as they crash their targets, or
            may not run now as they are suspected to.
        quarantine: the requests that are suspected to crash their targets.
        account_calls: calls by the name of their client account; those of
            accounts past a bound are counted under the empty name.
        unknown_keys: calls refused without a known key.
        unconfirmed: calls refused as this node could not tell whether their
            keys were withdrawn.
        node_connections: open connections to other nodes, by address.
        targets: observations of targets, by address.
    """

    entry_port: int
    peer_port: int
    entry_connections: int
    peer_connections: int
    malformed: int
    client_memory_bytes: int
    client_memory_paused: int
    client_memory_refused: int
    read_ahead: int
    read_ahead_peak: int
    retries: int
    crossed: int
    malformed_responses: int
    slots: int
    slots_used: int
    slots_peak: int
    waiting: int
    rate_limit: float
    target_cold_s: float
    cold_starts: int
    cold_refusals: int
    is_target_leaving: bool
    refused: int
    refused_by_drain: int
    drained_domains: tuple[str, ...]
    target_deaths: int
    quarantine_refusals: int
    quarantine: tuple[Suspicion, ...]
    account_calls: dict[str, int]
    unknown_keys: int
    unconfirmed: int
    node_connections: dict[str, int]
    targets: dict[str, 'SeenTarget']


class SeenTarget(Struct, frozen=True, kw_only=True):
    """Observations of one target by this node.

    Args:
        outstanding: calls in progress from this node.
        latency_us: moving average of the latency, microseconds.
        failures: consecutive failed calls.
    """

    outstanding: int
    latency_us: int
    failures: int


class Proxy:
    """The entry listener and the peer listener of a node."""

    __slots__ = (
        '_cfg',
        '_drain_log',
        '_entry',
        '_entry_service',
        '_memory',
        '_parts',
        '_peer',
        '_sweeper',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        parts: ProxyParts,
        peer_service: PeerService,
    ) -> None:
        """Create the listeners; start makes them listen.

        Args:
            cfg: settings of the node.
            parts: the parts that serve the entry listener.
            peer_service: serves the peer listener.
        """
        self._cfg = cfg
        self._parts = parts
        self._drain_log = DrainLog(cfg.domain)
        self._entry_service = EntryService(parts)
        self._memory = ClientMemory(
            find_client_limit(
                cfg.client_memory_mb * _MEGABYTE,
                cfg.memory_mb * _MEGABYTE,
                read_resident_bytes(),
            )
        )
        self._entry = Listener(
            self._entry_service.serve,
            self._find_limits,
            reads_ahead=True,
            client_memory=self._memory,
        )
        self._peer = Listener(
            peer_service.serve,
            lambda: PEER_LIMITS,
            client_memory=self._memory,
        )
        self._sweeper: asyncio.Task[None] | None = None

    def _find_limits(self) -> Limits:
        compiled = self._parts.configuration.active
        return DEFAULT_LIMITS if compiled is None else compiled.limits

    def set_local_target(self, notice: TargetNotice | None) -> None:
        """Update to the latest notice of the target beside this node.

        Args:
            notice: the notice, None if there is no target any more.
        """
        self._parts.local.set_notice(notice)

    def set_drained_domains(self, domains: frozenset[str]) -> None:
        """Update to the drained failure domains of the configuration in force.

        If this node's domain is one, calls that wait for its target are refused
        at once, and every further call.
        """
        selector = self._parts.selector
        before = selector.drains.drained
        if not selector.set_drained(domains):
            return
        self._drain_log.record_change(before, domains)
        if not self._entry_service.is_draining:
            is_drained = self._parts.domain in domains
            self._parts.local.refuse_calls(
                DOMAIN_IS_DRAINED if is_drained else ''
            )

    def on_target_leaving(self, callback: Callable[[str], None]) -> None:
        """Set the callback for a run of the target that states that it leaves.

        It is called with the key of the run.
        """
        self._parts.local.on_leaving = callback

    def use_account_limits(self, admit: Admit) -> None:
        """Set the function that admits the requests of accounts.

        Args:
            admit: returns zero, or the seconds after which to return.
        """
        self._parts.accounts.admit_request = admit

    async def start(self) -> None:
        """Listen on both addresses.

        Raises:
            OSError: an address is not available for listening.
        """
        await self._peer.start(self._cfg.peer)
        await self._entry.start(self._cfg.entry)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.create_task(self._sweep())
        logger.info('proxy: listening for calls on {}', self._cfg.entry)

    async def stop(
        self,
        linger_s: float = STOP_LINGER_S,
        timeout_s: float = STOP_TIMEOUT_S,
        announce_leave: Callable[[], None] | None = None,
    ) -> None:
        """Finish the calls in progress, then close.

        New calls are still served during the linger time, with responses that
        ask callers to close their connections, and are refused after it. The
        target beside this node serves until the end of the linger time too,
        since the service counts on its capacity; its leave is announced
        LEAVE_NOTICE_S before. The linger time is longer than other nodes reuse
        an idle connection for a call that must not be repeated, so that
        closing idle connections interrupts no such call.

        Args:
            linger_s: time for which new calls are still served, seconds.
            timeout_s: time from the start of the stop after which calls in
                progress are ended with a failure, seconds.
            announce_leave: announces to other nodes that the target takes no
                more calls; None for no announcement.
        """
        now = time.monotonic()
        self._entry.is_draining = True
        self._peer.is_draining = True
        notice_s = min(LEAVE_NOTICE_S, linger_s)
        await asyncio.sleep(linger_s - notice_s)
        if announce_leave is not None:
            announce_leave()
        await asyncio.sleep(notice_s)
        self._parts.local.refuse_calls('node is stopping')
        self._entry_service.is_draining = True
        await asyncio.gather(self._entry.close(), self._peer.close())
        await asyncio.sleep(min(linger_s, LAST_REQUESTS_S))
        await self._finish(now + timeout_s)
        self._entry_service.attempts.is_closing = True
        self._parts.remote.close()
        self._parts.local.close()
        await self._finish(time.monotonic() + LAST_RESPONSES_S)
        if self._sweeper is not None:
            self._sweeper.cancel()
        logger.info('proxy: stopped')

    async def _finish(self, until: float) -> None:
        """Wait until each request received has been answered, then close.

        Args:
            until: when to stop waiting, seconds of the monotonic clock.
        """
        while time.monotonic() < until:
            connections = self._entry.connections | self._peer.connections
            if not connections:
                return
            if not any(conn.is_busy for conn in connections):
                self._entry.close_idle()
                self._peer.close_idle()
            await asyncio.sleep(_POLL_S)

    def dump(self) -> ProxyDump:
        """Return the present state for the node's dump and metrics."""
        load = self._parts.local.load
        suspects = self._parts.local.suspects
        views = self._parts.selector.views
        return ProxyDump(
            entry_port=self._entry.port,
            peer_port=self._peer.port,
            entry_connections=len(self._entry.connections),
            peer_connections=len(self._peer.connections),
            malformed=self._entry.malformed_requests
            + self._peer.malformed_requests,
            client_memory_bytes=self._memory.budget.used,
            client_memory_paused=self._memory.paused,
            client_memory_refused=self._memory.refused,
            read_ahead=self._entry.read_ahead.total,
            read_ahead_peak=self._entry.read_ahead.peak,
            retries=self._entry_service.attempts.retries,
            crossed=self._parts.local.mismatched
            + self._parts.remote.mismatched,
            malformed_responses=self._parts.local.malformed
            + self._parts.remote.malformed,
            slots=load.slots,
            slots_used=load.used,
            slots_peak=self._parts.local.peak,
            waiting=load.waiting,
            rate_limit=load.rate,
            target_cold_s=load.cold_s,
            cold_starts=self._parts.local.cold.started,
            cold_refusals=self._parts.local.refused_cold,
            is_target_leaving=self._parts.local.stated.condition.is_leaving,
            refused=self._parts.local.refused,
            refused_by_drain=self._parts.local.refused_by_drain
            + self._entry_service.attempts.refused_by_drain,
            drained_domains=tuple(sorted(self._parts.selector.drains.drained)),
            target_deaths=suspects.deaths,
            quarantine_refusals=suspects.refused
            + self._parts.suspicions.refused,
            quarantine=suspects.quarantine.export(time.monotonic()),
            account_calls=dict(self._parts.accounts.calls),
            unknown_keys=self._parts.accounts.unknown_keys,
            unconfirmed=self._parts.accounts.unconfirmed,
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
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            self._entry.sweep(now)
            self._peer.sweep(now)
            self._memory.sweep()
            self._parts.local.sweep(now)
            self._parts.local.suspects.quarantine.expire(now)
            self._drain_log.record_progress(
                self._parts.selector.drains, self._parts.local.load, now
            )
            addresses = self._parts.selector.expire_views()
            self._parts.remote.sweep(now, addresses)
