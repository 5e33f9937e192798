"""Difference between two snapshots, record by record.

Unchanged records are mostly the identical objects, which tuples compare by
identity first, so a common start and end of both snapshots is skipped at little
cost.
"""

from collections.abc import Callable, Iterable
from itertools import compress, count
from operator import attrgetter, is_not, lt
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.snapshot import Snapshot

_Records = tuple[Any, ...]
_KeyFunction = Callable[[Any], str]

_NAME: Final = attrgetter('name')
_SERVICE: Final = attrgetter('service')


class Difference(Struct, frozen=True):
    """Difference between the records of one kind in two snapshots.

    A changed record is in `put` with its new content and in `gone` with its
    old content.

    Args:
        put: records that only the later snapshot has.
        gone: records that only the earlier snapshot has.
        ordered: whether the later records are in order and unique by name,
            provided that the earlier records are.
    """

    put: _Records = ()
    gone: _Records = ()
    ordered: bool = True


class SnapshotDifference(Struct, frozen=True, kw_only=True):
    """Difference between two snapshots, by kind of record."""

    services: Difference
    routes: Difference
    target_versions: Difference
    shares: Difference
    limits: Difference
    accounts: Difference
    domain_drains: Difference

    @property
    def kinds(self) -> tuple[Difference, ...]:
        """Return the difference of each kind."""
        return tuple(getattr(self, name) for name in self.__struct_fields__)

    @property
    def ordered(self) -> bool:
        """Return whether the records of every kind are in order and unique."""
        return all(kind.ordered for kind in self.kinds)


NO_DIFFERENCE: Final = Difference()


def compare_snapshots(before: Snapshot, after: Snapshot) -> SnapshotDifference:
    """Return the difference between two snapshots.

    Args:
        before: a snapshot with records in order and unique by name.
        after: any snapshot.
    """
    return SnapshotDifference(
        services=_compare(before.services, after.services, _NAME),
        routes=_compare(before.routes, after.routes, _NAME),
        target_versions=_compare(
            before.target_versions,
            after.target_versions,
            _NAME,
        ),
        shares=_compare(before.shares, after.shares, _SERVICE),
        limits=_compare(before.limits, after.limits, _NAME),
        accounts=_compare(before.accounts, after.accounts, _NAME),
        domain_drains=_compare(
            before.domain_drains,
            after.domain_drains,
            _NAME,
        ),
    )


def _compare(
    before: _Records, after: _Records, key: _KeyFunction
) -> Difference:
    if before == after:
        return NO_DIFFERENCE
    shorter = min(len(before), len(after))
    start = _count_identical(before, after, shorter)
    limit = shorter - start
    tail = min(
        _count_identical(reversed(before), reversed(after), limit), limit
    )
    end = len(after) - tail
    remaining = {
        key(record): record for record in before[start : len(before) - tail]
    }
    put = []
    for record in after[start:end]:
        if remaining.get(key(record)) == record:
            remaining.pop(key(record))
        else:
            put.append(record)
    # The order can break only among the compared records and their neighbours.
    neighbours = after[max(start - 1, 0) : end + 1]
    return Difference(
        tuple(put),
        tuple(remaining.values()),
        _is_ordered(neighbours, key),
    )


def _count_identical(
    before: Iterable[Any],
    after: Iterable[Any],
    default: int,
) -> int:
    """Return how many leading items are identical; the default if all are."""
    differing = compress(count(), map(is_not, before, after))
    return next(differing, default)


def _is_ordered(records: _Records, key: _KeyFunction) -> bool:
    keys = [key(record) for record in records]
    return all(map(lt, keys, keys[1:]))
