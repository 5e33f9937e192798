"""Serve: runs a source as a standby until it has a member slot, then in it.

A member slot is a seat in the group under a fixed name; a standby is a source
without one.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from loguru import logger
from msgspec import Struct, field
from msgspec.structs import replace
from result import Err

from medlarhoist.consensus.log_file import DISK_FULL_ERRNOS
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.app import CreateSites, SourceApp
from medlarhoist.source.identity import (
    find_identity,
    retire_folder,
    write_identity,
)
from medlarhoist.source.ledger_driver import StorageDamaged
from medlarhoist.source.metrics import sample_storage
from medlarhoist.source.standby import Standby, create_standby
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.logs import set_up_logs
from medlarhoist.utils.loop import Host, create_host, listen_for_stop
from medlarhoist.utils.metrics import create_metrics
from medlarhoist.utils.reload import Reloader
from medlarhoist.utils.tasks import run_until_first
from medlarhoist.utils.web import Site

EXIT_STORAGE_DAMAGED: Final = 4
RETRY_SECONDS: Final = 0.5

Awaited = TypeVar('Awaited')
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
            await _serve_until_full(cfg, host, sites, standby, stop_requested)
    except (StorageDamaged, OSError) as exc:
        logger.error('source: cannot start: {}', exc)
        return EXIT_STORAGE_DAMAGED
    await reloader.stop()
    logger.info('source: has ended')
    return 0


async def _serve_until_full(
    cfg: SourceSettings,
    host: Host,
    sites: Sites,
    standby: Standby,
    stop_requested: asyncio.Event,
) -> None:
    """Serve once the disk has room; return when it is full or at the end.

    A source whose disk is full does not end: it waits as a standby would, and
    goes on with what it had to do.
    """
    if not standby.has_room():
        await _serve_as_standby(
            cfg, host, sites, standby, stop_requested, standby.wait_for_room
        )
        return
    try:
        await _serve_once(cfg, host, sites, standby, stop_requested)
    except OSError as exc:
        if exc.errno not in DISK_FULL_ERRNOS:
            raise
        logger.warning('source: waits for room on its disk: {}', exc)
        await asyncio.sleep(RETRY_SECONDS)


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
            standby.wait_for_member_slot,
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
    try:  # noqa: WPS501  it may fail for a full disk, and is run again then
        is_retired = await app.serve(host, sites.member, stop_requested)
    finally:
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
    wait: Callable[[], Awaitable[Awaited]],
) -> Awaited | None:
    """Serve as a standby during a wait.

    Returns:
        The result of the wait, None if the process shall stop before.
    """
    results: list[Awaited] = []

    async def keep_result() -> None:  # noqa: WPS430  closure over results
        results.append(await wait())

    metrics = create_metrics()
    metrics.add(lambda: (sample_storage(standby.fault),))
    listeners = (
        create_admin(host, cfg.admin, standby.dump, metrics=metrics),
        *sites.standby(host, standby),
    )
    await run_until_first(stop_requested.wait(), keep_result())
    for site in listeners:
        await site.stop()
    return results[0] if results else None
