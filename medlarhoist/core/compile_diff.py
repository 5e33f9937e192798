"""Difference: what two snapshots do not have in common, record by record.

Records that a change left as they were are mostly the identical objects, which
tuples compare quickly, so what both snapshots begin and end with costs little.
"""

from collections.abc import Callable, Iterable
from itertools import compress, count
from operator import attrgetter, is_not, lt
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.snapshot import Snapshot

Records = tuple[Any, ...]
Name = Callable[[Any], str]

_NAME: Final = attrgetter('name')
_SERVICE: Final = attrgetter('service')


class Difference(Struct, frozen=True):
    """What differs between the records of one kind.

    Args:
        put: records that only the later ones have.
        gone: records that only the earlier ones had.
        ordered: whether the later ones are in order and none stands twice,
            where the earlier ones were so.
    """

    put: Records = ()
    gone: Records = ()
    ordered: bool = True


class SnapshotDifference(Struct, frozen=True, kw_only=True):
    """What differs between two snapshots, kind by kind."""

    services: Difference
    routes: Difference
    target_versions: Difference
    shares: Difference
    limits: Difference

    @property
    def kinds(self) -> tuple[Difference, ...]:
        """Return the differences of all kinds."""
        return (
            self.services,
            self.routes,
            self.target_versions,
            self.shares,
            self.limits,
        )

    @property
    def ordered(self) -> bool:
        """Say whether the records of each kind are in order."""
        return all(kind.ordered for kind in self.kinds)


NO_DIFFERENCE: Final = Difference()


def compare_snapshots(before: Snapshot, after: Snapshot) -> SnapshotDifference:
    """Return what differs.

    Args:
        before: a snapshot whose records are in order, none of them twice.
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
    )


def _compare(before: Records, after: Records, name: Name) -> Difference:
    if before == after:
        return NO_DIFFERENCE
    shorter = min(len(before), len(after))
    start = _count_same(before, after, shorter)
    limit = shorter - start
    tail = min(_count_same(reversed(before), reversed(after), limit), limit)
    end = len(after) - tail
    known = {name(one): one for one in before[start : len(before) - tail]}
    put = []
    for record in after[start:end]:
        if known.get(name(record)) == record:
            known.pop(name(record))
        else:
            put.append(record)
    neighbours = after[max(start - 1, 0) : end + 1]
    return Difference(
        tuple(put),
        tuple(known.values()),
        _is_ordered(neighbours, name),
    )


def _count_same(
    before: Iterable[Any],
    after: Iterable[Any],
    otherwise: int,
) -> int:
    differing = compress(count(), map(is_not, before, after))
    return next(differing, otherwise)


def _is_ordered(records: Records, name: Name) -> bool:
    names = [name(record) for record in records]
    return all(map(lt, names, names[1:]))
