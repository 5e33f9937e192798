"""App: wires the components of a source and runs it until it stops."""

import asyncio
from collections.abc import Callable, Iterable

from circuits import Component
from loguru import logger
from msgspec import Struct

from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.api import create_api
from medlarhoist.source.api_write import create_write_access
from medlarhoist.source.distributor import (
    DistributorView,
    DomainStatus,
    create_distributor,
)
from medlarhoist.source.ledger import ReplicatedLedger, create_ledger
from medlarhoist.source.metrics import list_source_samples, sample_storage
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
    """Body of GET /v1/status, which the `status` command shows.

    Args:
        source: name of the source that responds.
        leader: name of the leader, empty if unknown.
        version: configuration version in force, which nodes route by.
        staged: version that is being staged, zero for none.
        domains: status of each failure domain as the leader observes it.
    """

    source: str
    leader: str
    version: int
    staged: int
    domains: tuple[DomainStatus, ...]


class SourceView(Struct, frozen=True, kw_only=True):
    """State of a source, as a dump of its process shows it."""

    name: str
    domain: str
    role: str
    status: SourceStatus
    ledger: object
    distributor: DistributorView
    mover: object


class SourceApp(Component):
    """A source: a replica of the ledger on a VM with a disk."""

    channel = 'source'

    def __init__(self, cfg: SourceSettings) -> None:
        """Create the components; nothing listens until `serve`."""
        super().__init__()
        self._cfg = cfg
        self._ledger = create_ledger(cfg, apply_command)
        self._mover = create_mover(self._ledger, wall_ms)
        self._distributor = create_distributor(
            cfg,
            self._ledger,
            self._mover.on_report,
        )
        self.write_access = create_write_access(
            self._ledger,
            wall_ms,
            self._distributor.in_force,
        )

    @property
    def ledger(self) -> ReplicatedLedger:
        """Return the replicated log."""
        return self._ledger

    def status(self) -> SourceStatus:
        """Return the status that operators request."""
        state = self._ledger.state
        return SourceStatus(
            source=self._cfg.name,
            leader=self._ledger.leader,
            version=state.active.version,
            staged=state.staged.snapshot.version if state.staged else 0,
            domains=self._distributor.status(),
        )

    def dump(self) -> SourceView:
        """Return the state for the dump of the process."""
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
        stop_requested: asyncio.Event,
    ) -> bool:
        """Run until a stop is requested or its member slot is reassigned.

        A member slot is a source's seat in the group under a fixed name.

        Args:
            host: the root component of the process.
            create_sites: returns further listeners of the source.
            stop_requested: set when the process shall stop.

        Returns:
            Whether it ended because its member slot was reassigned.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        procedures = {
            **self._ledger.procedures(),
            **self._distributor.procedures(),
        }
        # First, as a full disk may refuse it; nothing else runs then.
        await self._ledger.start()
        server = await start_server(
            self._cfg.endpoint.control,
            procedures,
            self._cfg.shared_key,
            self._distributor.traffic,
        )
        await self._distributor.start()
        await self._mover.start()
        sites = (
            create_api(
                host,
                self._cfg,
                self._ledger,
                self.write_access,
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
            stop_requested.wait(),
            wait_for_retirement(self._cfg, self._ledger),
        )
        await self._stop(sites)
        await close_server(server)
        return not stop_requested.is_set()

    def _create_metrics(self) -> Metrics:
        metrics = create_metrics()
        metrics.add(self._list_samples)
        return metrics

    def _list_samples(self) -> Iterable[Sample]:
        yield sample_storage(self._ledger.peer_service.storage_fault)
        yield from list_source_samples(self._ledger, self._distributor.status())

    async def _stop(self, sites: tuple[Site, ...]) -> None:
        """Stop all components, the listeners of operators first.

        Their waiting requests can still end while this source leads.
        """
        logger.info('source: stopping')
        for site in sites:
            await site.stop()
        await self._mover.stop()
        await self._distributor.stop()
        await self._ledger.stop()
        logger.info('source: stopped')


CreateSites = Callable[[Host, SourceApp], tuple[Site, ...]]
