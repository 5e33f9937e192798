"""App: puts the parts of a node together and runs it until it is stopped."""

from collections.abc import Callable, Iterable

from circuits import Component
from loguru import logger

from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.snapshot import Share
from medlarhoist.node.clamp import create_clamp
from medlarhoist.node.configuration import create_configuration
from medlarhoist.node.distribution import create_distribution
from medlarhoist.node.gossip import create_knowledge
from medlarhoist.node.metrics import list_node_samples
from medlarhoist.node.proxy import create_proxy
from medlarhoist.node.recorder import create_recorder
from medlarhoist.node.registry import create_registry
from medlarhoist.node.target_registration import Announcer
from medlarhoist.node.view import NodeView
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.loop import Host, run_until_stopped
from medlarhoist.utils.metrics import Sample, create_metrics
from medlarhoist.utils.web import Site
from medlarhoist.wire.listener import close_server, start_server

CreateSites = Callable[[Host, 'NodeApp'], tuple[Site, ...]]


class NodeApp(Component):  # noqa: WPS230  holds the parts of one process
    """One node: the process in the slot of a target VM."""

    channel = 'node'

    def __init__(
        self,
        cfg: NodeSettings,
        dialect: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        """Create the parts; nothing listens yet."""
        super().__init__()
        knowledge = create_knowledge(cfg, wall_ms())
        self._cfg = cfg
        self._is_stopping = False
        self._configuration = create_configuration()
        self._registry = create_registry(knowledge)
        self._recorder = create_recorder(cfg.domain, wall_ms)
        self._clamp = create_clamp(
            self._recorder,
            wall_ms,
            self._find_shares,
            self._find_unsettled,
        )
        self._proxy = create_proxy(
            cfg,
            self._configuration,
            self._registry,
            self._recorder,
            self._clamp,
            dialect,
        )
        self._distribution = create_distribution(
            cfg,
            self._configuration,
            self._registry,
            knowledge,
            self._recorder,
        )
        self.announcer = Announcer(
            cfg,
            self._registry,
            self._proxy.set_local_target,
        )

    @property
    def is_ready(self) -> bool:
        """Say whether callers are served: not before it has a configuration."""
        has_one = self._configuration.active is not None
        return has_one and not self._is_stopping

    def follow_settings(self, cfg: NodeSettings) -> None:
        """Take over what may change while the process runs: the sources."""
        told = [source.control for source in cfg.sources]
        self._distribution.directory.add_sources(told)

    def dump(self) -> NodeView:
        """Return the state of this process."""
        active = self._configuration.active
        return NodeView(
            name=self._cfg.name,
            domain=self._cfg.domain,
            role='node',
            version=active.version if active else None,
            presence=self.announcer.presence,
            is_leaving=self.announcer.is_leaving,
            distribution=self._distribution.dump(),
            proxy=self._proxy.dump(),
            clamps=self._clamp.dump(),
            recorder=self._recorder.dump(),
        )

    async def serve(self, host: Host, create_sites: CreateSites) -> None:
        """Run until SIGTERM, then stop gracefully."""
        metrics = create_metrics()
        metrics.add(self._list_samples)
        site = create_admin(
            host,
            self._cfg.admin,
            self.dump,
            self.announcer.hear,
            self.announcer.lose,
            metrics,
        )
        server = await start_server(
            self._cfg.control,
            self._distribution.procedures(),
            self._cfg.shared_key,
            self._distribution.traffic,
        )
        await self._proxy.start()
        await self._distribution.start()
        await self._clamp.start()
        self.announcer.start()
        sites = create_sites(host, self)
        await run_until_stopped(self._stop)
        await self.announcer.stop()
        await close_server(server)
        for each in (site, *sites):
            await each.stop()

    def _list_samples(self) -> Iterable[Sample]:
        return list_node_samples(
            self._distribution.dump(),
            self._proxy.dump(),
            self._recorder.totals(),
            self._recorder.latencies,
        )

    def _find_shares(self) -> dict[str, Share]:
        active = self._configuration.active
        return active.shares if active else {}

    def _find_unsettled(self) -> frozenset[str]:
        """Return the services whose current version nobody knows yet."""
        active = self._configuration.active
        return active.without_current_version if active else frozenset()

    async def _stop(self) -> None:
        """Take no more callers, let calls end, then cut the links."""
        logger.info('node: stops')
        self._is_stopping = True
        await self._proxy.stop(announce_leave=self.announcer.leave)
        await self._clamp.stop()
        await self._distribution.stop()
        logger.info('node: has stopped')
