"""Check of changes: whether a change of a sound snapshot leaves it sound.

Only records that were put, and those that refer to what is gone or was put
anew, are checked; the rules are the ones of a whole check.
"""

from bisect import bisect_left
from collections.abc import Iterator
from operator import attrgetter
from typing import Any, Final

from medlarhoist.core.check import DefinedNames, check_record, check_share
from medlarhoist.core.compile_diff import (
    Difference,
    SnapshotDifference,
)
from medlarhoist.core.resource import Limits, Route, Service, TargetVersion
from medlarhoist.core.snapshot import Share, Snapshot

_NAME: Final = attrgetter('name')


def is_sound_after(
    snapshot: Snapshot,
    services: dict[str, Service],
    shares: dict[str, Share],
    difference: SnapshotDifference,
) -> bool:
    """Say whether a snapshot has no fault, save for twofold prefixes.

    Args:
        snapshot: the snapshot in question.
        services: its services by name.
        shares: its shares by service.
        difference: how it differs from a snapshot that has no fault.
    """
    if not difference.ordered:
        return False
    records: set[Any] = {
        *_concerned_services(services, difference),
        *_concerned_referrers(snapshot, services, difference),
    }
    moving = _concerned_shares(shares, difference)
    names = _names_for(snapshot, services, (*records, *moving))
    return not (
        any(check_record(record, names) for record in records)
        or any(check_share(share, names) for share in moving)
    )


def _concerned_services(
    services: dict[str, Service],
    difference: SnapshotDifference,
) -> Iterator[Service]:
    yield from difference.services.put
    for version in difference.target_versions.gone:
        if version.service in services:
            yield services[version.service]


def _concerned_referrers(
    snapshot: Snapshot,
    services: dict[str, Service],
    difference: SnapshotDifference,
) -> Iterator[Any]:
    yield from difference.routes.put
    yield from difference.target_versions.put
    yield from difference.limits.put
    missing = _missing_services(services, difference.services)
    if missing:
        for route in snapshot.routes:
            if not missing.isdisjoint(route.services):
                yield route
        for version in snapshot.target_versions:
            if version.service in missing:
                yield version


def _missing_services(
    services: dict[str, Service],
    difference: Difference,
) -> set[str]:
    return {one.name for one in difference.gone if one.name not in services}


def _concerned_shares(
    shares: dict[str, Share],
    difference: SnapshotDifference,
) -> tuple[Share, ...]:
    touched = {share.service for share in difference.shares.put}
    touched.update(one.name for one in difference.services.gone)
    touched.update(one.service for one in difference.target_versions.gone)
    return tuple(shares[name] for name in touched if name in shares)


def _names_for(
    snapshot: Snapshot,
    services: dict[str, Service],
    records: tuple[Any, ...],
) -> DefinedNames:
    wanted = {name for record in records for name in _services_of(record)}
    versions = {name for record in records for name in _versions_of(record)}
    return DefinedNames(
        {name: services[name].current for name in wanted if name in services},
        frozenset(
            name for name in versions if _holds(snapshot.target_versions, name)
        ),
    )


def _services_of(record: Any) -> tuple[str, ...]:
    if isinstance(record, Service):
        return (record.name,)
    if isinstance(record, Route):
        return record.services
    if isinstance(record, Limits):
        return ()
    return (str(record.service),)


def _versions_of(record: Any) -> tuple[str, ...]:
    if isinstance(record, Service):
        return (f'{record.name}/{record.current}',)
    if isinstance(record, Share):
        service = record.service
        return f'{service}/{record.old}', f'{service}/{record.new}'
    return ()


def _holds(versions: tuple[TargetVersion, ...], name: str) -> bool:
    place = bisect_left(versions, name, key=_NAME)
    return place < len(versions) and versions[place].name == name
