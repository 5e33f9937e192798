"""Serve: runs the process of a node, with its logs and reloads."""

import asyncio
from collections.abc import Callable

from loguru import logger

from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.app import CreateSites, NodeApp
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host
from medlarhoist.utils.reload import Reloader
from medlarhoist.utils.web import Site

ReadSettings = Callable[[], NodeSettings | None]


def create_no_sites(host: Host, app: NodeApp) -> tuple[Site, ...]:
    """Return no listeners besides those of the node itself."""
    return ()


async def serve_node(
    cfg: NodeSettings,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
    create_sites: CreateSites = create_no_sites,
    reread: ReadSettings | None = None,
) -> int:
    """Run a node until it is stopped and return its exit code.

    Args:
        cfg: settings of the node.
        header_names: names of the HTTP headers that callers and targets use.
        create_sites: returns further listeners to run beside those of the
            node.
        reread: reads the settings again and returns them, None if they have
            faults; without it, changes of the settings are not applied.

    Raises:
        OSError: an address is not available for listening.
    """
    set_up_logs(cfg.logs, cfg.name)
    logger.bind(domain=cfg.domain, entry=cfg.entry).info('node: starts')
    host = create_host(asyncio.get_running_loop())
    app = NodeApp(cfg, header_names)
    app.register(host)
    reloader = Reloader(cfg, reread or (lambda: cfg), app.apply_settings)
    reloader.start()
    await app.serve(host, create_sites)
    await reloader.stop()
    logger.info('node: exiting')
    return 0
