"""Compilation of snapshots into the indexes that calls are routed by.

Compilation is pure, deterministic and total, so every node accepts a snapshot
that a source has admitted. References and prefixes are checked by compilation
and nowhere else.
"""

from collections.abc import Callable, Iterable
from operator import attrgetter
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.check import check_snapshot
from medlarhoist.core.check_changed import is_valid_after
from medlarhoist.core.compile_diff import (
    Difference,
    SnapshotDifference,
    compare_snapshots,
)
from medlarhoist.core.digest import (
    digest_from_sum,
    digest_sum_after,
    digest_sum_of,
)
from medlarhoist.core.resource import (
    Account,
    Fault,
    Limits,
    Route,
    Service,
)
from medlarhoist.core.snapshot import SCHEMA, Share, Snapshot

# Number of put records, in addition to the number of routes in the base, up to
# which a snapshot is compiled incrementally.
INCREMENTAL_MARGIN_RECORDS: Final = 16
DEFAULT_LIMITS: Final = Limits()


class Indexes(Struct, frozen=True, kw_only=True):
    """Lookup tables for the records of a snapshot.

    Args:
        services: services by name.
        routes: routes by host and prefix.
        shares: shares by service.
        accounts: client accounts by the digests of their keys.
    """

    services: dict[str, Service]
    routes: dict[tuple[str, str], Route]
    shares: dict[str, Share]
    accounts: dict[str, Account]


class Compiled:
    """An immutable, indexed configuration.

    Attributes:
        snapshot: snapshot that was compiled.
        digest: digest of the snapshot.
        services: services by name.
        routes: routes by host and prefix.
        shares: shares by service.
        without_current_version: names of the services that have no current
            version yet.
        limits: limits for callers, the defaults if the snapshot has none.
        accounts: client accounts by the digests of their keys.
        drained_domains: failure domains whose targets receive no calls.
    """

    __slots__ = (
        '_digest_sum',
        '_prefix_lengths',
        'accounts',
        'digest',
        'drained_domains',
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
        digest_sum: int | None = None,
    ) -> None:
        """Index a valid snapshot.

        Args:
            snapshot: a snapshot without faults.
            digest: digest of the snapshot.
            indexes: indexes of the snapshot; None builds them.
            digest_sum: sum of the record digests; None computes it on each
                access.
        """
        tables = indexes or index_snapshot(snapshot)
        self._digest_sum = digest_sum
        # Lengths of the prefixes of each host, the longest first; None until
        # the first call, as sources route none.
        self._prefix_lengths: dict[str, list[int]] | None = None
        self.snapshot = snapshot
        self.digest = digest
        self.routes = tables.routes
        self.services = tables.services
        self.shares = tables.shares
        self.accounts = tables.accounts
        self.drained_domains = frozenset(
            drain.name for drain in snapshot.domain_drains
        )
        self.without_current_version = frozenset(
            service.name for service in snapshot.services if not service.current
        )
        self.limits = snapshot.limits[0] if snapshot.limits else DEFAULT_LIMITS

    @property
    def version(self) -> int:
        """Return the configuration version."""
        return self.snapshot.version

    @property
    def digest_sum(self) -> int:
        """Return the sum of the record digests, the input of the digest."""
        return (
            digest_sum_of(self.snapshot)
            if self._digest_sum is None
            else self._digest_sum
        )

    def match(self, path: str, host: str = '') -> Route | None:
        """Return the route for a request, None if no route matches.

        A prefix matches complete path segments only. The longest match wins;
        routes with the request's host take precedence over those for any host.

        Args:
            path: path of the request, with or without its query.
            host: host of the request, with or without a port; empty if it
                has none.
        """
        name = host.partition(':')[0].lower()
        without_query = path.partition('?')[0]
        route = self._match_on(name, without_query) if name else None
        return route or self._match_on('', without_query)

    def _match_on(self, host: str, path: str) -> Route | None:
        # Prefixes of the path that no route has cost nothing, so the work does
        # not grow with the segments of the path.
        if self._prefix_lengths is None:
            self._prefix_lengths = _index_prefix_lengths(self.routes)
        for length in self._prefix_lengths.get(host, ()):
            if _ends_segment(path, length):
                route = self.routes.get((host, path[:length]))
                if route is not None:
                    return route
        return None


Compilation = tuple[Compiled | None, tuple[Fault, ...]]
_KeyFunction = Callable[[Any], Any]

_name: Final[_KeyFunction] = attrgetter('name')
_prefix: Final[_KeyFunction] = attrgetter('host', 'prefix')
_service: Final[_KeyFunction] = attrgetter('service')


def compile_snapshot(snapshot: Snapshot) -> Compilation:
    """Check and index a snapshot.

    Returns:
        The compiled snapshot and no faults, or None and every fault.
    """
    if snapshot.schema > SCHEMA:
        message = f'schema {snapshot.schema} is newer than {SCHEMA}'
        return None, (Fault(source='snapshot', message=message),)
    faults = check_snapshot(snapshot)
    if faults:
        return None, faults
    digest_sum = digest_sum_of(snapshot)
    digest = digest_from_sum(snapshot, digest_sum)
    return Compiled(snapshot, digest, digest_sum=digest_sum), ()


def compile_next(base: Compiled | None, snapshot: Snapshot) -> Compilation:
    """Check and index a snapshot incrementally.

    The cost depends mostly on the records that differ from the base. A snapshot
    that the incremental check rejects is compiled in full, so that the faults
    and their order are those of `compile_snapshot`.

    Args:
        base: another compiled snapshot, usually the preceding one; None
            compiles in full.
        snapshot: the snapshot to compile.

    Returns:
        The result of `compile_snapshot` for the snapshot.
    """
    if base is None or snapshot.schema > SCHEMA:
        return compile_snapshot(snapshot)
    difference = compare_snapshots(base.snapshot, snapshot)
    if _is_mostly_new(base.snapshot, difference):
        return compile_snapshot(snapshot)
    indexes = _update_indexes(base, snapshot, difference)
    if not _is_valid(snapshot, indexes, difference):
        return compile_snapshot(snapshot)
    digest_sum = digest_sum_after(base.digest_sum, difference)
    digest = digest_from_sum(snapshot, digest_sum)
    return Compiled(snapshot, digest, indexes, digest_sum), ()


def create_incremental_compiler() -> Callable[[Snapshot], Compilation]:
    """Return a `compile_snapshot` that compiles incrementally.

    The base of each compilation is the last snapshot without faults that the
    returned function compiled.
    """
    last: Compiled | None = None

    def compile_changes(snapshot: Snapshot) -> Compilation:  # noqa: WPS430
        nonlocal last  # noqa: WPS420
        compiled, faults = compile_next(last, snapshot)
        last = compiled or last
        return compiled, faults

    return compile_changes


def index_snapshot(snapshot: Snapshot) -> Indexes:
    """Return the indexes of a snapshot."""
    return Indexes(
        services={_name(service): service for service in snapshot.services},
        routes={_prefix(route): route for route in snapshot.routes},
        shares={_service(share): share for share in snapshot.shares},
        accounts=_index_accounts(snapshot.accounts),
    )


def _index_accounts(accounts: Iterable[Account]) -> dict[str, Account]:
    return {
        digest: account
        for account in accounts
        for digest in account.key_digests
    }


def _index_prefix_lengths(
    routes: Iterable[tuple[str, str]],
) -> dict[str, list[int]]:
    """Return the distinct lengths of the prefixes of each host, descending."""
    lengths: dict[str, set[int]] = {}
    for host, prefix in routes:
        lengths.setdefault(host, set()).add(len(prefix))
    return {
        name: sorted(found, reverse=True) for name, found in lengths.items()
    }


def _ends_segment(path: str, length: int) -> bool:
    """Return whether the first characters of a path are complete segments.

    Args:
        path: path without query.
        length: number of the characters, not zero.
    """
    if length >= len(path):
        return length == len(path)
    return '/' in path[length - 1 : length + 1]


def _is_mostly_new(base: Snapshot, difference: SnapshotDifference) -> bool:
    """Return whether so much was put that a full compilation is used."""
    put = sum(len(kind.put) for kind in difference.kinds)
    return put > len(base.routes) + INCREMENTAL_MARGIN_RECORDS


def _is_valid(
    snapshot: Snapshot,
    indexes: Indexes,
    difference: SnapshotDifference,
) -> bool:
    # The index has fewer entries than routes if two share host and prefix,
    # and fewer than keys if two accounts share one.
    if len(indexes.routes) != len(snapshot.routes):
        return False
    digests = sum(len(item.key_digests) for item in snapshot.accounts)
    if len(indexes.accounts) != digests:
        return False
    return is_valid_after(
        snapshot,
        indexes.services,
        indexes.shares,
        difference,
    )


def _update_indexes(
    base: Compiled,
    snapshot: Snapshot,
    difference: SnapshotDifference,
) -> Indexes:
    return Indexes(
        services=_update_index(base.services, difference.services, _name),
        routes=_update_index(base.routes, difference.routes, _prefix),
        shares=_update_index(base.shares, difference.shares, _service),
        accounts=(
            _index_accounts(snapshot.accounts)
            if difference.accounts.put or difference.accounts.gone
            else base.accounts
        ),
    )


def _update_index(
    index: dict[Any, Any],
    difference: Difference,
    key: _KeyFunction,
) -> dict[Any, Any]:
    if not (difference.put or difference.gone):
        return index
    updated = index.copy()
    for deleted in difference.gone:
        updated.pop(key(deleted), None)
    updated.update((key(record), record) for record in difference.put)
    return updated
