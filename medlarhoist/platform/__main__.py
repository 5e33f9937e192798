"""Entry point of a process on the platform."""

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

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run the process that the settings file describes.

    Returns:
        The exit code.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    read = read_deployment(path)
    if isinstance(read, Err):
        sys.stderr.write(f'{read.err_value}\n')
        return EXIT_BAD_SETTINGS
    return asyncio.run(_serve(read.ok_value, path))


async def _serve(told: Deployment, path: Path) -> int:
    # Each role imports only what it uses, which keeps a node small.
    if isinstance(told.process, NodeSettings):
        return await _serve_node(told, told.process, path)
    return await _serve_source(told, told.process, path)


async def _serve_node(
    told: Deployment,
    cfg: NodeSettings,
    path: Path,
) -> int:
    from medlarhoist.node.serve import serve_node  # noqa: PLC0415
    from medlarhoist.platform.instances import (  # noqa: PLC0415
        create_node_sites,
    )

    def reread() -> NodeSettings | None:  # noqa: WPS430  keeps the path
        process = _read_again(path)
        return process if isinstance(process, NodeSettings) else None

    sites = partial(create_node_sites, told)
    return await serve_node(cfg, HEADER_NAMES, sites, reread)


async def _serve_source(
    told: Deployment,
    cfg: SourceSettings,
    path: Path,
) -> int:
    from medlarhoist.platform.operators import (  # noqa: PLC0415
        create_source_sites,
        create_standby_sites,
    )
    from medlarhoist.source.serve import Sites, serve_source  # noqa: PLC0415

    def reread() -> SourceSettings | None:  # noqa: WPS430  keeps the path
        process = _read_again(path)
        return process if isinstance(process, SourceSettings) else None

    sites = Sites(
        partial(create_source_sites, told),
        partial(create_standby_sites, told),
    )
    return await serve_source(cfg, sites, reread)


def _read_again(path: Path) -> NodeSettings | SourceSettings | None:
    read = read_deployment(path)
    if isinstance(read, Err):
        logger.error('settings: {}', read.err_value)
        return None
    return read.ok_value.process


if __name__ == '__main__':
    sys.exit(main())
