"""Delta: the difference between two snapshots.

A delta holds the records that were put and the names that were deleted. The
receiver checks the digest of the result and asks for the whole snapshot where
it differs.
"""

from collections.abc import Callable
from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, msgpack

from medlarhoist.core.resource import (
    Fault,
    Limits,
    Route,
    Service,
    TargetVersion,
)
from medlarhoist.core.snapshot import Share, Snapshot

_ENCODER: Final = msgpack.Encoder()


class SnapshotChanges(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What leads from one snapshot to another.

    Args:
        version: version of the result.
        schema: content schema of the result.
        services: services put.
        routes: routes put.
        target_versions: target versions put.
        shares: shares put.
        limits: limits put.
        gone_services: names of services deleted.
        gone_routes: names of routes deleted.
        gone_target_versions: names of target versions deleted.
        gone_shares: services whose share was deleted.
        gone_limits: names of limits deleted.
    """

    version: int
    schema: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    target_versions: tuple[TargetVersion, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limits, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_routes: tuple[str, ...] = ()
    gone_target_versions: tuple[str, ...] = ()
    gone_shares: tuple[str, ...] = ()
    gone_limits: tuple[str, ...] = ()


_DECODER: Final = msgpack.Decoder(SnapshotChanges)
Name = Callable[[Any], str]


def encode_changes(base: Snapshot, result: Snapshot) -> bytes:
    """Return the encoded changes that lead from one snapshot to another."""
    services = _compare(base.services, result.services, _name)
    routes = _compare(base.routes, result.routes, _name)
    versions = _compare(base.target_versions, result.target_versions, _name)
    shares = _compare(base.shares, result.shares, _share_name)
    limits = _compare(base.limits, result.limits, _name)
    changes = SnapshotChanges(
        version=result.version,
        schema=result.schema,
        services=services[0],
        routes=routes[0],
        target_versions=versions[0],
        shares=shares[0],
        limits=limits[0],
        gone_services=services[1],
        gone_routes=routes[1],
        gone_target_versions=versions[1],
        gone_shares=shares[1],
        gone_limits=limits[1],
    )
    return _ENCODER.encode(changes)


def apply_changes(
    base: Snapshot,
    body: bytes,
) -> tuple[Snapshot | None, tuple[Fault, ...]]:
    """Return the snapshot that the changes lead to.

    Args:
        base: the snapshot that the changes were made against.
        body: what `encode_changes` returned.

    Returns:
        The snapshot and no faults, or None and the faults.
    """
    try:
        changes = _DECODER.decode(body)
    except (DecodeError, ValidationError) as exc:
        return None, (Fault(source='delta', message=str(exc)),)
    return _apply(base, changes), ()


def _apply(base: Snapshot, changes: SnapshotChanges) -> Snapshot:
    return Snapshot(
        version=changes.version,
        schema=changes.schema,
        services=_merge(
            base.services, changes.services, changes.gone_services, _name
        ),
        routes=_merge(base.routes, changes.routes, changes.gone_routes, _name),
        target_versions=_merge(
            base.target_versions,
            changes.target_versions,
            changes.gone_target_versions,
            _name,
        ),
        shares=_merge(
            base.shares, changes.shares, changes.gone_shares, _share_name
        ),
        limits=_merge(base.limits, changes.limits, changes.gone_limits, _name),
    )


def _name(record: Any) -> str:
    return str(record.name)


def _share_name(record: Any) -> str:
    return str(record.service)


def _compare(
    before: tuple[Any, ...],
    after: tuple[Any, ...],
    name: Name,
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    old = {name(record): record for record in before}
    put = []
    for record in after:
        known = old.pop(name(record), None)
        if known is not record and known != record:
            put.append(record)
    return tuple(put), tuple(old)


def _merge(
    before: tuple[Any, ...],
    put: tuple[Any, ...],
    gone: tuple[str, ...],
    name: Name,
) -> tuple[Any, ...]:
    if not put and not gone:
        return before
    records = {name(record): record for record in before}
    for deleted in gone:
        records.pop(deleted, None)
    records.update((name(record), record) for record in put)
    return tuple(records[key] for key in sorted(records))
