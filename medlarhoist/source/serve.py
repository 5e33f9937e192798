"""Serve: runs a source in its place, or as a spare until it has one."""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec import Struct
from msgspec.structs import replace
from result import Err

from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.app import CreateSites, SourceApp
from medlarhoist.source.identity import (
    Identity,
    read_identity,
    wipe_folder,
    write_identity,
)
from medlarhoist.source.ledger_driver import StorageDamaged
from medlarhoist.source.standby import Spare, create_spare
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host, listen_for_stop
from medlarhoist.utils.reload import Reloader
from medlarhoist.utils.tasks import run_until_first
from medlarhoist.utils.web import Site

EXIT_STORAGE_DAMAGED: Final = 4

CreateSpareSites = Callable[[Host, Spare], tuple[Site, ...]]
Reread = Callable[[], SourceSettings | None]


class Sites(Struct, frozen=True):
    """Further listeners of a source.

    Args:
        in_place: returns those of a source in the group.
        spare: returns those of a spare source.
    """

    in_place: CreateSites = lambda host, app: ()
    spare: CreateSpareSites = lambda host, spare: ()


NO_SITES: Final = Sites()


async def serve_source(
    cfg: SourceSettings,
    sites: Sites = NO_SITES,
    reread: Reread | None = None,
) -> int:
    """Run a source until it is stopped.

    Args:
        cfg: its settings.
        sites: further listeners.
        reread: reads the settings again, None where one has faults; they are
            not read again where this is left out.

    Returns:
        The exit code; not zero where its data folder cannot be used.
    """
    set_up_logs(cfg.logs, cfg.name)
    logger.bind(sources=len(cfg.sources)).info('source: starts')
    host = create_host(asyncio.get_running_loop())
    asked = listen_for_stop()
    spare = create_spare(cfg)
    reloader = Reloader(cfg, reread or (lambda: cfg), spare.update_sources)
    reloader.start()
    try:
        while not asked.is_set():
            await _serve_once(cfg, host, sites, spare, asked)
    except (StorageDamaged, OSError) as exc:
        logger.error('source: cannot start: {}', exc)
        return EXIT_STORAGE_DAMAGED
    await reloader.stop()
    logger.info('source: has ended')
    return 0


async def _serve_once(
    cfg: SourceSettings,
    host: Host,
    sites: Sites,
    spare: Spare,
    asked: asyncio.Event,
) -> None:
    """Run as a spare until there is a place, or in a place until it is lost."""
    identity = _find_identity(cfg)
    if identity is None:
        identity = await _stand_by(cfg, host, sites, spare, asked)
        if identity is not None:
            write_identity(cfg.data_folder, identity)
        return
    placed = replace(
        cfg,
        name=identity.name,
        sources=identity.sources,
        spare=cfg.endpoint,
    )
    app = SourceApp(placed)
    app.register(host)
    is_retired = await app.serve(host, sites.in_place, asked)
    app.unregister()
    if is_retired:
        logger.warning('source: another one has its place; its data goes')
        wipe_folder(cfg.data_folder)


def _find_identity(cfg: SourceSettings) -> Identity | None:
    """Return who this source is, None for a spare one.

    Raises:
        StorageDamaged: the identity cannot be read.
    """
    read = read_identity(cfg.data_folder)
    if isinstance(read, Err):
        raise StorageDamaged(read.err_value)
    if read.ok_value is not None or cfg.spare is not None:
        return read.ok_value
    if not cfg.may_found:
        return None
    founder = Identity(name=cfg.name, sources=cfg.sources)
    write_identity(cfg.data_folder, founder)
    return founder


async def _stand_by(
    cfg: SourceSettings,
    host: Host,
    sites: Sites,
    spare: Spare,
    asked: asyncio.Event,
) -> Identity | None:
    """Serve as a spare until there is a place or the process shall stop."""
    found: list[Identity] = []

    async def wait_for_place() -> None:  # noqa: WPS430  keeps what it finds
        found.append(await spare.wait_for_place())

    listeners = (
        create_admin(host, cfg.admin, spare.dump),
        *sites.spare(host, spare),
    )
    await run_until_first(asked.wait(), wait_for_place())
    for site in listeners:
        await site.stop()
    return found[0] if found else None
