"""Compile: turns a snapshot into the form that calls are routed by.

Compilation is pure, deterministic and total, so what a source admits every
node accepts. References and prefixes are checked here and nowhere else.
"""

from collections.abc import Callable
from operator import attrgetter
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.check import check_snapshot
from medlarhoist.core.check_changed import is_sound_after
from medlarhoist.core.compile_diff import (
    Difference,
    SnapshotDifference,
    compare_snapshots,
)
from medlarhoist.core.digest import digest_with_total, total_after, total_of
from medlarhoist.core.resource import Fault, Limits, Route, Service
from medlarhoist.core.snapshot import SCHEMA, Share, Snapshot

MOSTLY_NEW_RECORDS: Final = 16
NO_LIMITS: Final = Limits()


class Indexes(Struct, frozen=True, kw_only=True):
    """The records of a snapshot by what calls look them up by.

    Args:
        services: services by name.
        routes: routes by host and prefix.
        shares: shares by service.
    """

    services: dict[str, Service]
    routes: dict[tuple[str, str], Route]
    shares: dict[str, Share]


class Compiled:
    """A configuration ready for use; never changed once made."""

    __slots__ = (
        '_total',
        'digest',
        'limits',
        'routes',
        'services',
        'shares',
        'snapshot',
        'without_current_version',
    )

    def __init__(
        self,
        snapshot: Snapshot,
        digest: str,
        indexes: Indexes | None = None,
        total: int | None = None,
    ) -> None:
        """Index a snapshot that has no faults.

        Args:
            snapshot: a snapshot that has no faults.
            digest: its digest.
            indexes: its indexes, where they are known.
            total: the total of its records, where it is known.
        """
        known = indexes or index_snapshot(snapshot)
        self._total = total
        self.snapshot = snapshot
        self.digest = digest
        self.routes = known.routes
        self.services = known.services
        self.shares = known.shares
        self.without_current_version = frozenset(
            one.name for one in snapshot.services if not one.current
        )
        self.limits = snapshot.limits[0] if snapshot.limits else NO_LIMITS

    @property
    def version(self) -> int:
        """Return the configuration version."""
        return self.snapshot.version

    @property
    def digest_sum(self) -> int:
        """Return the total of the records, of which the digest is made."""
        return total_of(self.snapshot) if self._total is None else self._total

    def match(self, path: str, host: str = '') -> Route | None:
        """Return the route with the longest prefix of whole path segments.

        Args:
            path: path of the request, with or without its query.
            host: host that the request names, with or without a port.
        """
        name = host.partition(':')[0].lower()
        bare = path.partition('?')[0]
        route = self._match_on(name, bare) if name else None
        return route or self._match_on('', bare)

    def _match_on(self, host: str, path: str) -> Route | None:
        prefix = path
        while prefix:
            route = self.routes.get((host, prefix))
            if route is not None:
                return route
            is_below = prefix.endswith('/')
            prefix = prefix[:-1] if is_below else _parent(prefix)
        return None


Compilation = tuple[Compiled | None, tuple[Fault, ...]]
_Key = Callable[[Any], Any]

_name: Final[_Key] = attrgetter('name')
_prefix: Final[_Key] = attrgetter('host', 'prefix')
_service: Final[_Key] = attrgetter('service')


def compile_snapshot(snapshot: Snapshot) -> Compilation:
    """Check and index a snapshot.

    Returns:
        The compiled form and no faults, or None and every fault.
    """
    if snapshot.schema > SCHEMA:
        message = f'schema {snapshot.schema} is newer than {SCHEMA}'
        return None, (Fault(source='snapshot', message=message),)
    faults = check_snapshot(snapshot)
    if faults:
        return None, faults
    total = total_of(snapshot)
    digest = digest_with_total(snapshot, total)
    return Compiled(snapshot, digest, total=total), ()


def compile_next(base: Compiled | None, snapshot: Snapshot) -> Compilation:
    """Check and index a snapshot, at the cost of what a base has not.

    A snapshot that seems to have a fault is checked whole, so the faults are
    those of `compile_snapshot` in their order.

    Args:
        base: what another snapshot, mostly the last, was compiled to.
        snapshot: the snapshot to compile.

    Returns:
        What `compile_snapshot` returns for the snapshot.
    """
    if base is None or snapshot.schema > SCHEMA:
        return compile_snapshot(snapshot)
    difference = compare_snapshots(base.snapshot, snapshot)
    if _is_mostly_new(base.snapshot, difference):
        return compile_snapshot(snapshot)
    indexes = _index_after(base, difference)
    if not _is_sound(snapshot, indexes, difference):
        return compile_snapshot(snapshot)
    total = total_after(base.digest_sum, difference)
    digest = digest_with_total(snapshot, total)
    return Compiled(snapshot, digest, indexes, total), ()


def create_compiler() -> Callable[[Snapshot], Compilation]:
    """Return a `compile_snapshot` that is quick where little changed since."""
    last: Compiled | None = None

    def compile_one(snapshot: Snapshot) -> Compilation:  # noqa: WPS430
        nonlocal last  # noqa: WPS420
        compiled, faults = compile_next(last, snapshot)
        last = compiled or last
        return compiled, faults

    return compile_one


def index_snapshot(snapshot: Snapshot) -> Indexes:
    """Return the indexes of a snapshot."""
    return Indexes(
        services={_name(one): one for one in snapshot.services},
        routes={_prefix(one): one for one in snapshot.routes},
        shares={_service(one): one for one in snapshot.shares},
    )


def _parent(prefix: str) -> str:
    """Return the folder of a path, with its slash."""
    return prefix[: prefix.rfind('/') + 1]


def _is_mostly_new(base: Snapshot, difference: SnapshotDifference) -> bool:
    put = sum(len(kind.put) for kind in difference.kinds)
    return put > len(base.routes) + MOSTLY_NEW_RECORDS


def _is_sound(
    snapshot: Snapshot,
    indexes: Indexes,
    difference: SnapshotDifference,
) -> bool:
    # Two routes with one prefix leave one of them out of the index.
    if len(indexes.routes) != len(snapshot.routes):
        return False
    return is_sound_after(
        snapshot,
        indexes.services,
        indexes.shares,
        difference,
    )


def _index_after(base: Compiled, difference: SnapshotDifference) -> Indexes:
    return Indexes(
        services=_change_index(base.services, difference.services, _name),
        routes=_change_index(base.routes, difference.routes, _prefix),
        shares=_change_index(base.shares, difference.shares, _service),
    )


def _change_index(
    index: dict[Any, Any],
    difference: Difference,
    key: _Key,
) -> dict[Any, Any]:
    if not (difference.put or difference.gone):
        return index
    changed = index.copy()
    for gone in difference.gone:
        changed.pop(key(gone), None)
    changed.update((key(record), record) for record in difference.put)
    return changed
