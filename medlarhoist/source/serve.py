"""Serve: runs a source as a standby until it has a member slot, then in it.

A member slot is a seat in the group under a fixed name; a standby is a source
without one.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec import Struct, field
from msgspec.structs import replace
from result import Err

from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.app import CreateSites, SourceApp
from medlarhoist.source.identity import (
    Identity,
    find_identity,
    retire_folder,
    write_identity,
)
from medlarhoist.source.ledger_driver import StorageDamaged
from medlarhoist.source.standby import Standby, create_standby
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host, listen_for_stop
from medlarhoist.utils.reload import Reloader
from medlarhoist.utils.tasks import run_until_first
from medlarhoist.utils.web import Site

EXIT_STORAGE_DAMAGED: Final = 4

CreateStandbySites = Callable[[Host, Standby], tuple[Site, ...]]
Reread = Callable[[], SourceSettings | None]


class Sites(Struct, frozen=True):
    """Functions that create further listeners of a source.

    Args:
        member: creates those of a member of the group.
        standby: creates those of a standby.
    """

    member: CreateSites = field(
        default=lambda host, app: (),
        name='in_place',
    )
    standby: CreateStandbySites = field(
        default=lambda host, standby: (),
        name='spare',
    )


NO_SITES: Final = Sites()


async def serve_source(
    cfg: SourceSettings,
    sites: Sites = NO_SITES,
    reread: Reread | None = None,
) -> int:
    """Run a source until it is stopped.

    Args:
        cfg: its settings.
        sites: functions that create further listeners.
        reread: returns the settings as they are now, None if they have
            faults; if left out, the settings are not read again.

    Returns:
        The exit code: EXIT_STORAGE_DAMAGED if the data folder cannot be used
        or an address cannot be bound, else zero.
    """
    set_up_logs(cfg.logs, cfg.name)
    logger.bind(sources=len(cfg.sources)).info('source: starts')
    host = create_host(asyncio.get_running_loop())
    stop_requested = listen_for_stop()
    standby = create_standby(cfg)
    reloader = Reloader(cfg, reread or (lambda: cfg), standby.update_sources)
    reloader.start()
    try:
        while not stop_requested.is_set():
            await _serve_once(cfg, host, sites, standby, stop_requested)
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
    standby: Standby,
    stop_requested: asyncio.Event,
) -> None:
    """Run as a standby until a slot is assigned, or as a member until it ends.

    A member ends when the process shall stop, or when its slot was reassigned
    to another source; its data folder is then wiped.
    """
    found = find_identity(cfg)
    if isinstance(found, Err):
        raise StorageDamaged(found.err_value)
    identity = found.ok_value
    if identity is None:
        identity = await _serve_as_standby(
            cfg,
            host,
            sites,
            standby,
            stop_requested,
        )
        if identity is not None:
            write_identity(cfg.data_folder, identity)
        return
    member_cfg = replace(
        cfg,
        name=identity.name,
        sources=identity.sources,
        spare=cfg.endpoint,
        may_found=identity.may_found,
    )
    app = SourceApp(member_cfg)
    app.register(host)
    is_retired = await app.serve(host, sites.member, stop_requested)
    app.unregister()
    if is_retired:
        logger.warning(
            'source: its member slot was reassigned; wiping the data folder',
        )
        retire_folder(cfg.data_folder)


async def _serve_as_standby(
    cfg: SourceSettings,
    host: Host,
    sites: Sites,
    standby: Standby,
    stop_requested: asyncio.Event,
) -> Identity | None:
    """Serve as a standby until a member slot is assigned.

    Returns:
        The identity of the slot, None if the process shall stop before.
    """
    assigned: list[Identity] = []

    async def wait_for_member_slot() -> None:  # noqa: WPS430  keeps its result
        assigned.append(await standby.wait_for_member_slot())

    listeners = (
        create_admin(host, cfg.admin, standby.dump),
        *sites.standby(host, standby),
    )
    await run_until_first(stop_requested.wait(), wait_for_member_slot())
    for site in listeners:
        await site.stop()
    return assigned[0] if assigned else None
