"""Encoded deltas between two snapshots.

A delta has the records that were put and the names of the records that were
deleted. The receiver compares the digest of the result with the sender's, and
fetches the full snapshot if they differ.
"""

from collections.abc import Callable
from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, msgpack

from medlarhoist.core.resource import (
    Account,
    DomainDrain,
    Fault,
    Limits,
    Route,
    Service,
    TargetVersion,
)
from medlarhoist.core.snapshot import Share, Snapshot

_ENCODER: Final = msgpack.Encoder()


class SnapshotChanges(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The changes from a base snapshot to another.

    Args:
        version: version of the resulting snapshot.
        schema: content schema of the resulting snapshot.
        services: services put.
        routes: routes put.
        target_versions: target versions put.
        shares: shares put.
        limits: limits put.
        accounts: client accounts put.
        domain_drains: drains of failure domains put.
        gone_services: names of deleted services.
        gone_routes: names of deleted routes.
        gone_target_versions: names of deleted target versions.
        gone_shares: names of the services whose shares were deleted.
        gone_limits: names of deleted limits records.
        gone_accounts: names of deleted client accounts.
        gone_domain_drains: names of deleted drains of failure domains.
    """

    version: int
    schema: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    target_versions: tuple[TargetVersion, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limits, ...] = ()
    accounts: tuple[Account, ...] = ()
    domain_drains: tuple[DomainDrain, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_routes: tuple[str, ...] = ()
    gone_target_versions: tuple[str, ...] = ()
    gone_shares: tuple[str, ...] = ()
    gone_limits: tuple[str, ...] = ()
    gone_accounts: tuple[str, ...] = ()
    gone_domain_drains: tuple[str, ...] = ()


_DECODER: Final = msgpack.Decoder(SnapshotChanges)
_KeyFunction = Callable[[Any], str]


def encode_changes(base: Snapshot, result: Snapshot) -> bytes:
    """Return the encoded delta from a base snapshot to a result.

    The records of both snapshots must be unique by name (shares by service).
    """
    services = _compare(base.services, result.services, _name)
    routes = _compare(base.routes, result.routes, _name)
    versions = _compare(base.target_versions, result.target_versions, _name)
    shares = _compare(base.shares, result.shares, _service_name)
    limits = _compare(base.limits, result.limits, _name)
    accounts = _compare(base.accounts, result.accounts, _name)
    drains = _compare(base.domain_drains, result.domain_drains, _name)
    changes = SnapshotChanges(
        version=result.version,
        schema=result.schema,
        services=services[0],
        routes=routes[0],
        target_versions=versions[0],
        shares=shares[0],
        limits=limits[0],
        accounts=accounts[0],
        domain_drains=drains[0],
        gone_services=services[1],
        gone_routes=routes[1],
        gone_target_versions=versions[1],
        gone_shares=shares[1],
        gone_limits=limits[1],
        gone_accounts=accounts[1],
        gone_domain_drains=drains[1],
    )
    return _ENCODER.encode(changes)


def apply_changes(
    base: Snapshot,
    body: bytes,
) -> tuple[Snapshot | None, tuple[Fault, ...]]:
    """Apply an encoded delta to its base.

    Args:
        base: the snapshot that the delta was encoded against.
        body: delta from `encode_changes`.

    Returns:
        The resulting snapshot and no faults, or None and the faults if the
        body cannot be decoded.
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
            base.shares, changes.shares, changes.gone_shares, _service_name
        ),
        limits=_merge(base.limits, changes.limits, changes.gone_limits, _name),
        accounts=_merge(
            base.accounts, changes.accounts, changes.gone_accounts, _name
        ),
        domain_drains=_merge(
            base.domain_drains,
            changes.domain_drains,
            changes.gone_domain_drains,
            _name,
        ),
    )


def _name(record: Any) -> str:
    return str(record.name)


def _service_name(record: Any) -> str:
    return str(record.service)


def _compare(
    before: tuple[Any, ...],
    after: tuple[Any, ...],
    key: _KeyFunction,
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return the records that were put and the keys that were deleted."""
    remaining = {key(record): record for record in before}
    put = []
    for record in after:
        previous = remaining.pop(key(record), None)
        if previous is not record and previous != record:
            put.append(record)
    return tuple(put), tuple(remaining)


def _merge(
    before: tuple[Any, ...],
    put: tuple[Any, ...],
    deleted: tuple[str, ...],
    key: _KeyFunction,
) -> tuple[Any, ...]:
    if not put and not deleted:
        return before
    records = {key(record): record for record in before}
    for deleted_name in deleted:
        records.pop(deleted_name, None)
    records.update((key(record), record) for record in put)
    return tuple(records[name] for name in sorted(records))
