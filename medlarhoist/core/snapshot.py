"""Snapshot: one whole configuration with one monotonic version.

A snapshot is what sources stage and activate and what nodes compile. It is
never changed in place.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.resource import Limits, Route, Service, TargetVersion

SCHEMA: Final = 2
FULL_SHARE: Final = 10_000


class Share(Struct, frozen=True, kw_only=True):
    """How the traffic of one service is split during a move.

    Args:
        service: name of the service.
        move: name of the move that set the share.
        old: label of the old version.
        new: label of the new version.
        basis_points: part of the calls that the new version gets, of 10,000.
    """

    service: str
    move: str
    old: str
    new: str
    basis_points: int


class Snapshot(Struct, frozen=True, kw_only=True):
    """One whole configuration; all tuples are sorted by name.

    Args:
        version: monotonic configuration version; zero is empty.
        schema: content schema that a node must know to compile it.
        services: every service.
        routes: every route.
        target_versions: every target version.
        shares: the split of each service that is moving.
        limits: the limits of callers, at most one record.
    """

    version: int
    schema: int = SCHEMA
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    target_versions: tuple[TargetVersion, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limits, ...] = ()


EMPTY_SNAPSHOT: Final = Snapshot(version=0)
