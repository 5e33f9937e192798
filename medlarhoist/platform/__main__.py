"""Entry point of a source or a node that runs on the platform."""

import asyncio
import os
import sys
from functools import partial
from pathlib import Path

from loguru import logger
from result import Err

from medlarhoist.core.settings import NodeSettings, SourceSettings
from medlarhoist.platform.names import HEADER_NAMES
from medlarhoist.platform.settings import (
    SETTINGS_VARIABLE,
    Deployment,
    read_deployment,
)

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Run the source or node that the platform's settings file describes.

    The environment variable `SETTINGS_VARIABLE` holds the file's path.

    Returns:
        The exit code, `EXIT_INVALID_SETTINGS` if the file cannot be read.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    read = read_deployment(path)
    if isinstance(read, Err):
        sys.stderr.write(f'{read.err_value}\n')
        return EXIT_INVALID_SETTINGS
    return asyncio.run(_serve(read.ok_value, path))


async def _serve(deployment: Deployment, path: Path) -> int:
    # Each role imports its modules only when it starts, so that a node does
    # not spend memory on the modules of a source.
    if isinstance(deployment.process, NodeSettings):
        return await _serve_node(deployment, deployment.process, path)
    return await _serve_source(deployment, deployment.process, path)


async def _serve_node(
    deployment: Deployment,
    cfg: NodeSettings,
    path: Path,
) -> int:
    from medlarhoist.node.serve import serve_node  # noqa: PLC0415
    from medlarhoist.platform.instances import (  # noqa: PLC0415
        create_node_sites,
    )

    def reread() -> NodeSettings | None:  # noqa: WPS430  closure over path
        process = _reload_settings(path)
        return process if isinstance(process, NodeSettings) else None

    sites = partial(create_node_sites, deployment)
    return await serve_node(cfg, HEADER_NAMES, sites, reread)


async def _serve_source(
    deployment: Deployment,
    cfg: SourceSettings,
    path: Path,
) -> int:
    from medlarhoist.platform.operators import (  # noqa: PLC0415
        create_source_sites,
        create_standby_sites,
    )
    from medlarhoist.source.serve import Sites, serve_source  # noqa: PLC0415

    def reread() -> SourceSettings | None:  # noqa: WPS430  closure over path
        process = _reload_settings(path)
        return process if isinstance(process, SourceSettings) else None

    sites = Sites(
        partial(create_source_sites, deployment),
        partial(create_standby_sites, deployment),
    )
    return await serve_source(cfg, sites, reread)


def _reload_settings(path: Path) -> NodeSettings | SourceSettings | None:
    read = read_deployment(path)
    if isinstance(read, Err):
        logger.error('settings: {}', read.err_value)
        return None
    return read.ok_value.process


if __name__ == '__main__':
    sys.exit(main())
