"""App: puts the parts of a source together and runs it until it is stopped."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

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
from medlarhoist.source.ledger_driver import StorageDamaged
from medlarhoist.source.metrics import list_source_samples
from medlarhoist.source.mover import create_mover
from medlarhoist.source.transition import apply_command
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host, run_until_stopped
from medlarhoist.utils.metrics import Metrics, Sample, create_metrics
from medlarhoist.utils.web import Site
from medlarhoist.wire.listener import close_server, start_server

EXIT_STORAGE_DAMAGED: Final = 4


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
        self.writing = create_writing(self._ledger, wall_ms)
        self._mover = create_mover(self._ledger, wall_ms)
        self._distributor = create_distributor(
            cfg,
            self._ledger,
            self._mover.on_report,
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

    async def serve(self, host: Host, create_sites: 'CreateSites') -> None:
        """Run until SIGTERM, then stop gracefully."""
        procedures = {
            **self._ledger.procedures(),
            **self._distributor.procedures(),
        }
        server = await start_server(
            self._find_control(),
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
        await run_until_stopped(partial(self._stop, sites))
        await close_server(server)

    def _create_metrics(self) -> Metrics:
        metrics = create_metrics()
        metrics.add(self._list_samples)
        return metrics

    def _list_samples(self) -> Iterable[Sample]:
        return list_source_samples(self._ledger, self._distributor.status())

    def _find_control(self) -> str:
        return next(
            peer.control
            for peer in self._cfg.sources
            if peer.name == self._cfg.name
        )

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


def create_no_sites(host: Host, app: SourceApp) -> tuple[Site, ...]:
    """Serve a source by its own listeners only."""
    return ()


async def serve_source(
    cfg: SourceSettings,
    create_sites: CreateSites = create_no_sites,
) -> int:
    """Run a source until it is stopped.

    Args:
        cfg: its settings.
        create_sites: returns further listeners that serve the source.

    Returns:
        The exit code; not zero where its data folder cannot be used.
    """
    set_up_logs(cfg.logs, cfg.name)
    host = create_host(asyncio.get_running_loop())
    app = SourceApp(cfg)
    app.register(host)
    try:
        await app.serve(host, create_sites)
    except StorageDamaged as exc:
        logger.error('source: cannot start: {}', exc)
        return EXIT_STORAGE_DAMAGED
    return 0
