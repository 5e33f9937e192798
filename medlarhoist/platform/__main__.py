"""Entry point of a process on the platform."""

import asyncio
import os
import random
import sys
from functools import partial
from pathlib import Path

from result import Err

from medlarhoist.core.settings import Logs, NodeSettings
from medlarhoist.platform.names import DIALECT
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
    read = read_deployment(Path(os.environ.get(SETTINGS_VARIABLE, '')))
    if isinstance(read, Err):
        sys.stderr.write(f'{read.err_value}\n')
        return EXIT_BAD_SETTINGS
    return asyncio.run(_serve(read.ok_value))


async def _serve(told: Deployment) -> int:
    # Each role imports only what it uses, which keeps a node small.
    cfg = told.process
    if cfg is None:
        return await _serve_standby(told)
    if isinstance(cfg, NodeSettings):
        from medlarhoist.node.app import serve_node  # noqa: PLC0415
        from medlarhoist.platform.instances import (  # noqa: PLC0415
            create_node_sites,
        )

        sites = partial(create_node_sites, told)
        return await serve_node(cfg, DIALECT, sites)
    from medlarhoist.platform.operators import (  # noqa: PLC0415
        create_source_sites,
    )
    from medlarhoist.source.app import serve_source  # noqa: PLC0415

    return await serve_source(cfg, partial(create_source_sites, told))


async def _serve_standby(told: Deployment) -> int:
    """Send operators to the sources, as this process is none of them."""
    from medlarhoist.platform.operators import (  # noqa: PLC0415
        create_standby_site,
    )
    from medlarhoist.utils.logs import set_up_logs  # noqa: PLC0415
    from medlarhoist.utils.loop import (  # noqa: PLC0415
        create_host,
        run_until_stopped,
    )

    set_up_logs(Logs(json=True), told.name)
    host = create_host(asyncio.get_running_loop())
    names = [peer.name for peer in told.sources]
    site = create_standby_site(
        told,
        host,
        lambda: random.choice(names),  # noqa: S311  spreads load only
    )
    await run_until_stopped(site.stop)
    return 0


if __name__ == '__main__':
    sys.exit(main())
