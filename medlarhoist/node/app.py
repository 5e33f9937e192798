"""App: assembles the parts of a node and runs it until it is stopped."""

import time
from collections.abc import Callable, Iterable
from typing import Final

from circuits import Component
from loguru import logger

from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.shared_records import create_shared_records
from medlarhoist.core.snapshot import Share
from medlarhoist.node.clamp import create_clamp
from medlarhoist.node.configuration import create_configuration, may_serve
from medlarhoist.node.distribution import create_distribution
from medlarhoist.node.gossip import create_membership
from medlarhoist.node.metrics import list_node_samples
from medlarhoist.node.proxy import create_proxy
from medlarhoist.node.recorder import create_recorder
from medlarhoist.node.registry import create_registry
from medlarhoist.node.target_registration import TargetRegistration
from medlarhoist.node.view import NodeView
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.loop import Host, run_until_stopped
from medlarhoist.utils.metrics import Sample, create_metrics
from medlarhoist.utils.web import Site
from medlarhoist.wire.listener import close_server, start_server

# Time before the end of the grace period at which requests are ended.
EXIT_S: Final = 0.5
ALL_SUSPECTS: Final = 'all'
_MS_PER_SECOND: Final = 1000
CreateSites = Callable[[Host, 'NodeApp'], tuple[Site, ...]]


class NodeApp(Component):  # noqa: WPS230  holds the parts of one process
    """A node: the proxy process beside the target of a VM."""

    channel = 'node'

    def __init__(
        self,
        cfg: NodeSettings,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        """Create the parts; none of them is started.

        Args:
            cfg: settings of the node.
            header_names: names of the HTTP headers that callers and targets
                use.
        """
        super().__init__()
        membership = create_membership(cfg, wall_ms())
        self._cfg = cfg
        self._is_stopping = False
        self._configuration = create_configuration()
        self._registry = create_registry(membership)
        self._recorder = create_recorder(cfg.domain, wall_ms)
        self._clamp = create_clamp(
            self._recorder,
            wall_ms,
            self._active_shares,
            self._services_without_version,
        )
        shared = create_shared_records(cfg)
        self._quarantine = shared.quarantine
        self._proxy = create_proxy(
            cfg,
            self._configuration,
            self._registry,
            self._recorder,
            self._clamp,
            header_names,
            self._quarantine,
        )
        self._configuration.subscribe(
            lambda compiled: self._proxy.set_drained_domains(
                compiled.drained_domains
            ),
        )
        self._distribution = create_distribution(
            cfg,
            self._configuration,
            self._registry,
            membership,
            self._recorder,
            shared,
        )
        self._proxy.use_account_limits(self._distribution.account_limits.admit)
        self.target_registration = TargetRegistration(
            cfg,
            self._registry,
            self._proxy.set_local_target,
            shared.withdrawals,
            self._distribution.replicate_withdrawals,
        )
        self._proxy.on_target_leaving(self.target_registration.mark_leaving)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may use this node.

        They may once it has a configuration, and until it begins to stop. A
        configuration with accounts must have been confirmed since the start,
        where withdrawn keys bind nodes out of touch.
        """
        if self._is_stopping:
            return False
        return may_serve(self._configuration, self._cfg.revocation_ms)

    def apply_settings(self, cfg: NodeSettings) -> None:
        """Apply settings that were read again; called by the reloader.

        The control addresses of the sources change while a node runs, and
        what is beside it.
        """
        self.target_registration.apply_settings(cfg)
        addresses = [source.control for source in cfg.sources]
        self._distribution.directory.add_sources(addresses)

    def dump(self) -> NodeView:
        """Return the state of this process for its dump."""
        active = self._configuration.active
        return NodeView(
            name=self._cfg.name,
            domain=self._cfg.domain,
            role='node',
            version=active.version if active else None,
            presence=self.target_registration.presence,
            is_leaving=self.target_registration.is_leaving,
            distribution=self._distribution.dump(),
            proxy=self._proxy.dump(),
            clamps=self._clamp.dump(),
            recorder=self._recorder.dump(),
        )

    async def serve(self, host: Host, create_sites: CreateSites) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully.

        Args:
            host: runs the HTTP listeners of the process.
            create_sites: returns further listeners; called once the node
                itself is served.

        Raises:
            OSError: an address is not available for listening.
        """
        metrics = create_metrics()
        metrics.add(self._list_samples)
        site = create_admin(
            host,
            self._cfg.admin,
            self.dump,
            self.target_registration.receive,
            self.target_registration.remove,
            metrics,
            self._release,
        )
        server = await start_server(
            self._cfg.control,
            self._distribution.procedures(),
            self._cfg.shared_key,
            self._distribution.channels.traffic,
        )
        await self._proxy.start()
        await self._distribution.start()
        await self._clamp.start()
        self.target_registration.start()
        sites = create_sites(host, self)
        await run_until_stopped(self._stop)
        await self.target_registration.stop()
        await close_server(server)
        for running_site in (site, *sites):
            await running_site.stop()

    def _release(self, fingerprint: str) -> bool:
        """Release a request from quarantine, at all nodes, as asked for.

        Args:
            fingerprint: identifies the request; `all` for all suspects.

        Returns:
            False if there is no such suspect.
        """
        now = time.monotonic()
        if fingerprint == ALL_SUSPECTS:
            is_released = bool(self._quarantine.clear_all(now))
        else:
            is_released = self._quarantine.clear(fingerprint, now)
        if is_released:
            logger.bind(fingerprint=fingerprint).warning(
                'quarantine: an operator released a request'
            )
        return is_released

    def _list_samples(self) -> Iterable[Sample]:
        return list_node_samples(
            self._distribution.dump(),
            self._proxy.dump(),
            self._recorder.totals(),
            self._recorder.latencies,
        )

    def _active_shares(self) -> dict[str, Share]:
        active = self._configuration.active
        return active.shares if active else {}

    def _services_without_version(self) -> frozenset[str]:
        """Return the services that name no current version yet."""
        active = self._configuration.active
        return active.without_current_version if active else frozenset()

    async def _stop(self) -> None:
        """Report not ready, finish the calls in progress, then disconnect."""
        logger.info('node: stopping')
        self._is_stopping = True
        await self._proxy.stop(
            timeout_s=self._cfg.grace_ms / _MS_PER_SECOND - EXIT_S,
            announce_leave=self.target_registration.leave,
        )
        await self._clamp.stop()
        await self._distribution.stop()
        logger.info('node: stopped')
