"""Digests of the content of snapshots.

Processes compare digests to detect different content under the same version.
The digest of a snapshot is computed from the sum of the digests of its records,
so an update costs only as much as the records that changed. The sum detects
accidental differences; it is not collision-resistant against an adversary who
chooses the records.
"""

import hashlib
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any, Final

from msgspec import Struct, msgpack

from medlarhoist.core.compile_diff import SnapshotDifference, compare_snapshots
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot

DIGEST_HEX_DIGITS: Final = 16
DIGEST_SUM_BYTES: Final = 32

_MODULUS: Final = 1 << (8 * DIGEST_SUM_BYTES)
_encode: Final = msgpack.Encoder().encode


class _Content(Struct, frozen=True, array_like=True):
    """Input of the digest of a snapshot.

    Args:
        version: configuration version.
        schema: content schema.
        total: the sum of the record digests, big-endian.
    """

    version: int
    schema: int
    total: bytes


def digest_of(snapshot: Snapshot) -> str:
    """Return the digest of a snapshot, 16 hexadecimal digits."""
    return digest_from_sum(snapshot, digest_sum_of(snapshot))


def digest_from_sum(snapshot: Snapshot, digest_sum: int) -> str:
    """Return the digest of a snapshot, given the sum of its record digests."""
    body = digest_sum.to_bytes(DIGEST_SUM_BYTES, 'big')
    return fingerprint_of(_Content(snapshot.version, snapshot.schema, body))


def digest_sum_of(snapshot: Snapshot) -> int:
    """Return the sum of the digests of all records, modulo 2**256."""
    records = chain(
        snapshot.services,
        snapshot.routes,
        snapshot.target_versions,
        snapshot.shares,
        snapshot.limits,
        snapshot.accounts,
        snapshot.domain_drains,
    )
    return _sum_digests(records) % _MODULUS


def digest_sum_after(digest_sum: int, difference: SnapshotDifference) -> int:
    """Return the sum of the record digests after a change, modulo 2**256.

    Args:
        digest_sum: sum of the record digests of the earlier snapshot.
        difference: how the later snapshot differs from it.
    """
    put = chain.from_iterable(kind.put for kind in difference.kinds)
    deleted = chain.from_iterable(kind.gone for kind in difference.kinds)
    return (digest_sum + _sum_digests(put) - _sum_digests(deleted)) % _MODULUS


def create_incremental_digest() -> Callable[[Snapshot], str]:
    """Return a `digest_of` that digests only the records that changed.

    The returned function compares each snapshot with the snapshot of its last
    call.
    """
    last, last_sum = EMPTY_SNAPSHOT, digest_sum_of(EMPTY_SNAPSHOT)

    def digest_next(snapshot: Snapshot) -> str:  # noqa: WPS430 - keeps state
        nonlocal last, last_sum  # noqa: WPS420
        difference = compare_snapshots(last, snapshot)
        digest_sum = digest_sum_after(last_sum, difference)
        # compare_snapshots needs a base with records in order and unique.
        if difference.ordered:
            last, last_sum = snapshot, digest_sum
        return digest_from_sum(snapshot, digest_sum)

    return digest_next


def fingerprint_of(record: Any) -> str:
    """Return the digest of the encoding of a record or of built-in types.

    It has 16 hexadecimal digits.
    """
    body = msgpack.encode(record)
    return hashlib.sha256(body).hexdigest()[:DIGEST_HEX_DIGITS]


def _sum_digests(records: Iterable[Any]) -> int:
    # The encoding of a record has a tag of its kind, except that of a share. So
    # records of different kinds with equal fields have different digests.
    sha256 = hashlib.sha256
    from_bytes = int.from_bytes
    return sum(
        from_bytes(sha256(_encode(record)).digest()) for record in records
    )
