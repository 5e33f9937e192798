"""App: puts the parts of a source together and runs it until it is stopped."""

import asyncio
from collections.abc import Callable, Iterable

from circuits import Component
from loguru import logger
from msgspec import Struct

from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.api import create_api
from medlarhoist.source.api_write import create_writing
from medlarhoist.source.distributor import (
    DistributorView,
    DomainStatus,
    create_distributor,
)
from medlarhoist.source.ledger import ReplicatedLedger, create_ledger
from medlarhoist.source.metrics import list_source_samples
from medlarhoist.source.mover import create_mover
from medlarhoist.source.standby import wait_for_retirement
from medlarhoist.source.transition import apply_command
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.loop import Host
from medlarhoist.utils.metrics import Metrics, Sample, create_metrics
from medlarhoist.utils.tasks import run_until_first
from medlarhoist.utils.web import Site
from medlarhoist.wire.listener import close_server, start_server


class SourceStatus(Struct, frozen=True, kw_only=True):
    """What `status` tells an operator.

    Args:
        source: the source that answers.
        leader: the source that leads.
        version: configuration version in force.
        staged: version that is being staged, zero for none.
        domains: each failure domain as the leader sees it.
    """

    source: str
    leader: str
    version: int
    staged: int
    domains: tuple[DomainStatus, ...]


class SourceView(Struct, frozen=True, kw_only=True):
    """What a dump of a source shows."""

    name: str
    domain: str
    role: str
    status: SourceStatus
    ledger: object
    distributor: DistributorView
    mover: object


class SourceApp(Component):
    """One source: a replica on a VM with a disk."""

    channel = 'source'

    def __init__(self, cfg: SourceSettings) -> None:
        """Create the parts; nothing listens yet."""
        super().__init__()
        self._cfg = cfg
        self._ledger = create_ledger(cfg, apply_command)
        self._mover = create_mover(self._ledger, wall_ms)
        self._distributor = create_distributor(
            cfg,
            self._ledger,
            self._mover.on_report,
        )
        self.writing = create_writing(
            self._ledger,
            wall_ms,
            self._distributor.in_force,
        )

    @property
    def ledger(self) -> ReplicatedLedger:
        """Return the replicated log."""
        return self._ledger

    def status(self) -> SourceStatus:
        """Return what operators ask first."""
        state = self._ledger.state
        return SourceStatus(
            source=self._cfg.name,
            leader=self._ledger.leader,
            version=state.active.version,
            staged=state.staged.snapshot.version if state.staged else 0,
            domains=self._distributor.status(),
        )

    def dump(self) -> SourceView:
        """Return the state of this process."""
        return SourceView(
            name=self._cfg.name,
            domain=self._cfg.domain,
            role='source',
            status=self.status(),
            ledger=self._ledger.dump(),
            distributor=self._distributor.dump(),
            mover=self._mover.dump(),
        )

    async def serve(
        self,
        host: Host,
        create_sites: 'CreateSites',
        asked: asyncio.Event,
    ) -> bool:
        """Run until the process is asked to stop, then stop gracefully.

        Args:
            host: the root component of the process.
            create_sites: returns further listeners that serve the source.
            asked: set when the process is asked to stop.

        Returns:
            Whether the source has lost its place in the group instead.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        procedures = {
            **self._ledger.procedures(),
            **self._distributor.procedures(),
        }
        server = await start_server(
            self._cfg.endpoint.control,
            procedures,
            self._cfg.shared_key,
            self._distributor.traffic,
        )
        await self._ledger.start()
        await self._distributor.start()
        await self._mover.start()
        sites = (
            create_api(
                host,
                self._cfg,
                self._ledger,
                self.writing,
                self.status,
            ),
            create_admin(
                host,
                self._cfg.admin,
                self.dump,
                metrics=self._create_metrics(),
            ),
            *create_sites(host, self),
        )
        await run_until_first(
            asked.wait(),
            wait_for_retirement(self._cfg, self._ledger),
        )
        await self._stop(sites)
        await close_server(server)
        return not asked.is_set()

    def _create_metrics(self) -> Metrics:
        metrics = create_metrics()
        metrics.add(self._list_samples)
        return metrics

    def _list_samples(self) -> Iterable[Sample]:
        return list_source_samples(self._ledger, self._distributor.status())

    async def _stop(self, sites: tuple[Site, ...]) -> None:
        """Stop: operators are answered first, while this source may lead."""
        logger.info('source: stops')
        for site in sites:
            await site.stop()
        await self._mover.stop()
        await self._distributor.stop()
        await self._ledger.stop()
        logger.info('source: has stopped')


CreateSites = Callable[[Host, SourceApp], tuple[Site, ...]]
