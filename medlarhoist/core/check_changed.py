"""Incremental validation of a snapshot that differs little from a valid one.

Only the records that were put and the records that refer to deleted or changed
ones are checked, by the same rules as in `medlarhoist.core.check`.
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
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.snapshot import Share, Snapshot

_NAME: Final = attrgetter('name')


def is_valid_after(
    snapshot: Snapshot,
    services: dict[str, Service],
    shares: dict[str, Share],
    difference: SnapshotDifference,
) -> bool:
    """Return whether a snapshot is valid, duplicate prefixes aside.

    The caller, `compile_next`, detects duplicate prefixes by its index.

    Args:
        snapshot: the snapshot to check.
        services: services of the snapshot by name.
        shares: shares of the snapshot by service.
        difference: difference between a valid snapshot and this one.
    """
    if not difference.ordered:
        return False
    records: set[Any] = {
        *_affected_services(services, difference),
        *_affected_records(snapshot, services, difference),
    }
    affected_shares = _affected_shares(shares, difference)
    names = _defined_names(snapshot, services, (*records, *affected_shares))
    return not (
        any(check_record(record, names) for record in records)
        or any(check_share(share, names) for share in affected_shares)
    )


def _affected_services(
    services: dict[str, Service],
    difference: SnapshotDifference,
) -> Iterator[Service]:
    yield from difference.services.put
    for version in difference.target_versions.gone:
        if version.service in services:
            yield services[version.service]


def _affected_records(
    snapshot: Snapshot,
    services: dict[str, Service],
    difference: SnapshotDifference,
) -> Iterator[Any]:
    yield from difference.routes.put
    yield from difference.target_versions.put
    yield from difference.limits.put
    yield from difference.accounts.put
    yield from difference.domain_drains.put
    deleted = _deleted_services(services, difference.services)
    if deleted:
        for route in snapshot.routes:
            if not deleted.isdisjoint(route.services):
                yield route
        for version in snapshot.target_versions:
            if version.service in deleted:
                yield version


def _deleted_services(
    services: dict[str, Service],
    difference: Difference,
) -> set[str]:
    # A changed service is in `gone` too, with its old content.
    return {
        service.name
        for service in difference.gone
        if service.name not in services
    }


def _affected_shares(
    shares: dict[str, Share],
    difference: SnapshotDifference,
) -> tuple[Share, ...]:
    affected = {share.service for share in difference.shares.put}
    affected.update(service.name for service in difference.services.gone)
    affected.update(
        version.service for version in difference.target_versions.gone
    )
    return tuple(shares[name] for name in affected if name in shares)


def _defined_names(
    snapshot: Snapshot,
    services: dict[str, Service],
    records: tuple[Any, ...],
) -> DefinedNames:
    referenced = {name for record in records for name in _services_of(record)}
    versions = {name for record in records for name in _versions_of(record)}
    return DefinedNames(
        {
            name: services[name].current
            for name in referenced
            if name in services
        },
        frozenset(
            name
            for name in versions
            if _contains(snapshot.target_versions, name)
        ),
    )


def _services_of(record: Any) -> tuple[str, ...]:
    if isinstance(record, Service):
        return (record.name,)
    if isinstance(record, Route):
        return record.services
    service = getattr(record, 'service', None)
    return () if service is None else (str(service),)


def _versions_of(record: Any) -> tuple[str, ...]:
    if isinstance(record, Service):
        return (f'{record.name}/{record.current}',)
    if isinstance(record, Share):
        service = record.service
        return f'{service}/{record.old}', f'{service}/{record.new}'
    return ()


def _contains(versions: tuple[TargetVersion, ...], name: str) -> bool:
    """Return whether the versions, which are sorted by name, have a name."""
    index = bisect_left(versions, name, key=_NAME)
    return index < len(versions) and versions[index].name == name
