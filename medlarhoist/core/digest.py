"""Digest: names the exact content of a snapshot.

Processes compare digests to notice that they hold different content under
the same version. The digest is made of the sum of the digests of the records,
so that a change costs only the records that it touches. Such a sum notices
drift; it is no defence against somebody who chooses records to make two sums
equal.
"""

import hashlib
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any, Final

from msgspec import Struct, msgpack

from medlarhoist.core.compile_diff import SnapshotDifference, compare_snapshots
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot

DIGEST_HEX_DIGITS: Final = 16
TOTAL_BYTES: Final = 32

_MODULUS: Final = 1 << (8 * TOTAL_BYTES)
_encode: Final = msgpack.Encoder().encode


class _Content(Struct, frozen=True, array_like=True):
    """What the digest of a snapshot is taken of."""

    version: int
    schema: int
    total: bytes


def digest_of(snapshot: Snapshot) -> str:
    """Return the digest of a whole configuration, 16 hexadecimal digits."""
    return digest_with_total(snapshot, total_of(snapshot))


def digest_with_total(snapshot: Snapshot, total: int) -> str:
    """Return the digest of a configuration whose total is known."""
    body = total.to_bytes(TOTAL_BYTES, 'big')
    return fingerprint_of(_Content(snapshot.version, snapshot.schema, body))


def total_of(snapshot: Snapshot) -> int:
    """Return the sum of the digests of all records, modulo 2**256."""
    records = chain(
        snapshot.services,
        snapshot.routes,
        snapshot.target_versions,
        snapshot.shares,
        snapshot.limits,
    )
    return _sum_of(records) % _MODULUS


def total_after(total: int, difference: SnapshotDifference) -> int:
    """Return the total of a snapshot that differs from one with a total."""
    put = chain.from_iterable(kind.put for kind in difference.kinds)
    gone = chain.from_iterable(kind.gone for kind in difference.kinds)
    return (total + _sum_of(put) - _sum_of(gone)) % _MODULUS


def create_digest() -> Callable[[Snapshot], str]:
    """Return a `digest_of` that is quick where little changed since last."""
    last, last_total = EMPTY_SNAPSHOT, total_of(EMPTY_SNAPSHOT)

    def digest_next(snapshot: Snapshot) -> str:  # noqa: WPS430  keeps the last
        nonlocal last, last_total  # noqa: WPS420
        difference = compare_snapshots(last, snapshot)
        total = total_after(last_total, difference)
        if difference.ordered:
            last, last_total = snapshot, total
        return digest_with_total(snapshot, total)

    return digest_next


def fingerprint_of(record: Struct) -> str:
    """Return the digest of a record's canonical encoding."""
    body = msgpack.encode(record)
    return hashlib.sha256(body).hexdigest()[:DIGEST_HEX_DIGITS]


def _sum_of(records: Iterable[Any]) -> int:
    # The encoding of a record names its kind by its tag; only shares have none.
    sha256 = hashlib.sha256
    from_bytes = int.from_bytes
    return sum(from_bytes(sha256(_encode(one)).digest()) for one in records)
