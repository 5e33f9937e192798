"""Distributor: the leader sends versions to keepers and decides staged ones.

A keeper is a node that is a voting member of its failure domain's quorum; it
passes versions on to the other nodes. The leader's work per change grows with
the number of domains and keepers, not with the number of nodes.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger
from msgspec import Struct

from medlarhoist.core.command import Command, Outcome
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.floor import FloorReply
from medlarhoist.core.interfaces import Ledger, NotLeader, OutcomeUnknown
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.distributor_children import Children
from medlarhoist.source.distributor_plan import (
    STAGE_TIMEOUT_SECONDS,
    DomainView,
    Progress,
    decide,
    progress_of,
)
from medlarhoist.source.in_force import (
    MAX_LAG_SECONDS,
    InForceVersion,
    is_in_force,
    lags_domain,
)
from medlarhoist.source.join import create_join_procedures, leader_address
from medlarhoist.source.keepers import KeeperAssigner
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.utils.traffic import Traffic, TrafficView
from medlarhoist.wire.message import FloorQuery
from medlarhoist.wire.procedures import FLOOR
from medlarhoist.wire.rpc import Method, StreamHandler

TICK_SECONDS: Final = 0.2
# Keepers leave a source that has not sent a message for 2.5 s.
HEARTBEAT_INTERVAL_SECONDS: Final = 0.8
OnReport = Callable[[str, tuple[EvidenceRow, ...]], None]


class DomainStatus(Struct, frozen=True, kw_only=True):
    """Progress of one failure domain with the active version.

    Args:
        domain: the failure domain.
        nodes: number of attached nodes, keepers included.
        active: how many of these have the active version in force.
        staged: how many of these hold the active version compiled.
        keepers: names of the attached keepers.
        lagging: names of up to eight nodes of each keeper that do not hold it.
        silent_seconds: time since a keeper was last attached, zero if one
            is attached.
    """

    domain: str
    nodes: int
    active: int
    staged: int
    keepers: tuple[str, ...]
    lagging: tuple[str, ...]
    silent_seconds: float


class DistributorView(Struct, frozen=True, kw_only=True):
    """State of the distribution in the dump of a source.

    Args:
        is_leader: whether this source leads.
        active: the active version.
        staged: the staged version, zero for none.
        domains: progress of each failure domain; valid on the leader only.
        traffic: messages sent and received on the control address.
        account_shares: fractions of their rates that all nodes together may
            use, of the accounts near their limits; valid on the leader only.
    """

    is_leader: bool
    active: int
    staged: int
    domains: tuple[DomainStatus, ...]
    traffic: TrafficView
    account_shares: dict[str, float]


class Distributor:
    """Sends versions to keepers while this source leads.

    Args:
        in_force: the newest version that every attached node has in force.
        traffic: counts the messages on the control address.
    """

    __slots__ = (
        '_assigner',
        '_cfg',
        '_children',
        '_ledger',
        '_staged_since',
        '_staging_s',
        '_tasks',
        '_wake',
        'in_force',
        'traffic',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        ledger: Ledger,
        on_report: OnReport,
    ) -> None:
        """Create the parts; see create_distributor."""
        self._assigner = KeeperAssigner(ledger, cfg.keepers, time.monotonic)
        self._cfg = cfg
        self._wake = asyncio.Event()
        self._children = Children(
            ledger,
            self._assigner,
            on_report,
            self._wake.set,
            lambda: leader_address(ledger),
        )
        self._ledger = ledger
        self._staged_since: tuple[int, float] = (0, 0)
        self._staging_s = STAGE_TIMEOUT_SECONDS
        self._tasks: list[asyncio.Task[None]] = []
        self.in_force = InForceVersion()
        self.traffic = Traffic()
        ledger.subscribe(self._applied)

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedures for the control listener, by method."""
        joins = create_join_procedures(self._ledger, self._assigner)
        return {
            **joins,
            **self._children.procedures(),
            FLOOR: self._serve_floor,
        }

    async def start(self) -> None:
        """Start to send and decide versions whenever this source leads."""
        self._children.publish()
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop, and have the keepers attach to another source."""
        await cancel_all(self._tasks)
        self._children.redirect_all('')

    def status(self) -> tuple[DomainStatus, ...]:
        """Return the progress of each failure domain, sorted by domain.

        It is valid on the leader only, as keepers attach to no other source.
        """
        version = self._ledger.state.active.version
        views = self._children.views(version, time.monotonic())
        return tuple(
            self._domain_status(domain, view)
            for domain, view in sorted(views.items())
        )

    def dump(self) -> DistributorView:
        """Return the state for the dump of the process."""
        state = self._ledger.state
        return DistributorView(
            is_leader=self._ledger.is_leader,
            active=state.active.version,
            staged=state.staged.snapshot.version if state.staged else 0,
            domains=self.status(),
            traffic=self.traffic.view(),
            account_shares=self._children.account_limits.shares(),
        )

    def _domain_status(self, domain: str, view: DomainView) -> DomainStatus:
        progress: Progress = progress_of(view)
        return DomainStatus(
            domain=domain,
            nodes=progress.nodes,
            active=progress.active,
            staged=progress.staged,
            keepers=view.attached,
            lagging=progress.lagging,
            silent_seconds=round(view.silent_seconds, 1),
        )

    def _applied(self, command: Command, outcome: Outcome) -> None:
        self._children.publish()
        self._wake.set()

    async def _run(self) -> None:
        heartbeat_at: float = 0
        while True:
            await self._wait()
            if not self._ledger.is_leader:
                self._staged_since = (0, 0)
                self._staging_s = STAGE_TIMEOUT_SECONDS
                self.in_force.record(0)
                self._children.redirect_all(leader_address(self._ledger))
                continue
            now = time.monotonic()
            if now >= heartbeat_at:
                heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
                self._children.send_heartbeats()
            self._children.account_limits.step(self._ledger.state.active)
            self._update_in_force()
            await self._decide_staged()
            await self._assign()

    async def _wait(self) -> None:
        """Wait for a change of keepers or the log, at most TICK_SECONDS."""
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    def _update_in_force(self) -> None:
        version = self._ledger.state.active.version
        if self.in_force.version >= version:
            return
        views = self._children.views(version, time.monotonic())
        if is_in_force(views):
            self.in_force.record(version)
            return
        max_lag_s = MAX_LAG_SECONDS
        if lags_domain(views):
            # Both waits together stay below that of operators.
            max_lag_s += max(0, STAGE_TIMEOUT_SECONDS - self._staging_s)
        self.in_force.record_lag(max_lag_s)

    async def _decide_staged(self) -> None:
        state = self._ledger.state
        if state.staged is None:
            return
        version = state.staged.snapshot.version
        now = time.monotonic()
        if self._staged_since[0] != version:
            self._staged_since = (version, now)
        views = self._children.views(version, now)
        waited = now - self._staged_since[1]
        command = decide(version, views, waited, wall_ms())
        if command is None:
            return
        try:
            outcome = await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown) as exc:
            logger.warning(
                'distributor: version {}: outcome not confirmed: {!r}',
                version,
                exc,
            )
            return
        self._staging_s = time.monotonic() - self._staged_since[1]
        logger.info(
            'distributor: version {} is {} after {:.2f} s',
            version,
            outcome.status,
            self._staging_s,
        )

    async def _assign(self) -> None:
        now = time.monotonic()
        for domain in sorted(self._assigner.domains()):
            views: dict[str, KeeperView] = self._children.keeper_views(
                domain, now
            )
            await self._assigner.assign(domain, views)

    async def _serve_floor(self, stream: Any) -> None:
        query: FloorQuery = await stream.recv_message()
        try:
            await self._ledger.read_barrier()
        except (NotLeader, OutcomeUnknown) as exc:
            raise GRPCError(Status.UNAVAILABLE, repr(exc)) from exc
        state = self._ledger.state
        keepers = state.keepers.get(query.domain)
        await stream.send_message(
            FloorReply(
                node=self._cfg.name,
                held=state.active.version,
                recovered=keepers.epoch if keepers else 0,
                keepers=keepers,
                leads=True,
            )
        )


def create_distributor(
    cfg: SourceSettings,
    ledger: Ledger,
    on_report: OnReport,
) -> Distributor:
    """Return the distributor of a source; start() begins to send versions.

    Args:
        cfg: settings of the source.
        ledger: the replicated log.
        on_report: called with a failure domain and the evidence, that is,
            summed outcomes of calls, that a keeper reports for it.
    """
    return Distributor(cfg, ledger, on_report)
