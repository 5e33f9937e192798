"""Serve: runs a node from its start to its graceful stop."""

import asyncio
from collections.abc import Callable

from loguru import logger

from medlarhoist.core.header_names import DEFAULT_DIALECT, Dialect
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.app import CreateSites, NodeApp
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host
from medlarhoist.utils.reload import Reloader
from medlarhoist.utils.web import Site

Reread = Callable[[], NodeSettings | None]


def create_no_sites(host: Host, app: NodeApp) -> tuple[Site, ...]:
    """Serve a node by its own listeners only."""
    return ()


async def serve_node(
    cfg: NodeSettings,
    dialect: Dialect = DEFAULT_DIALECT,
    create_sites: CreateSites = create_no_sites,
    reread: Reread | None = None,
) -> int:
    """Run a node until it is stopped and return its exit code.

    Args:
        cfg: its settings.
        dialect: the headers of callers and targets.
        create_sites: returns further listeners that serve the node.
        reread: reads the settings again, None where one has faults; they are
            not read again where this is left out.
    """
    set_up_logs(cfg.logs, cfg.name)
    logger.bind(domain=cfg.domain, entry=cfg.entry).info('node: starts')
    host = create_host(asyncio.get_running_loop())
    app = NodeApp(cfg, dialect)
    app.register(host)
    reloader = Reloader(cfg, reread or (lambda: cfg), app.follow_settings)
    reloader.start()
    await app.serve(host, create_sites)
    await reloader.stop()
    logger.info('node: has ended')
    return 0
