"""Immutable snapshots of the configuration.

The sources (control-plane replicas) stage and activate snapshots, the nodes
(proxies beside the targets) compile them. Each has a version; versions only
increase.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.resource import (
    Account,
    DomainDrain,
    Limits,
    Route,
    Service,
    TargetVersion,
)

SCHEMA: Final = 3
FULL_SHARE: Final = 10_000


class Share(Struct, frozen=True, kw_only=True):
    """Split of a service's traffic between two versions during a move.

    Args:
        service: name of the service.
        move: name of the move, the rollout of the new version.
        old: label of the old version.
        new: label of the new version.
        basis_points: share of the calls that go to the new version, of
            10,000.
    """

    service: str
    move: str
    old: str
    new: str
    basis_points: int


class Snapshot(Struct, frozen=True, kw_only=True):
    """A complete configuration.

    Shares are sorted by service, all other tuples by name.

    Args:
        version: configuration version, zero for the empty configuration.
        schema: content schema that a node must support to compile it.
        services: every service.
        routes: every route.
        target_versions: every target version.
        shares: traffic split of each service with a running move.
        limits: limits for callers, at most one record.
        accounts: every client account.
        domain_drains: the failure domains whose targets receive no calls.
    """

    version: int
    schema: int = SCHEMA
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    target_versions: tuple[TargetVersion, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limits, ...] = ()
    accounts: tuple[Account, ...] = ()
    domain_drains: tuple[DomainDrain, ...] = ()


EMPTY_SNAPSHOT: Final = Snapshot(version=0)
