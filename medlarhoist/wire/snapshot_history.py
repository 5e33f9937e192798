"""Snapshot history: recent snapshots, and the messages that stage them.

A message holds a delta where that is smaller than the complete snapshot. Recent
snapshots are cached as bases of deltas. They share their records, so a cached
snapshot needs little memory.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.delta import encode_changes
from medlarhoist.core.digest import digest_of
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot
from medlarhoist.wire.codec import encode
from medlarhoist.wire.message import Delta, Stage

MAX_SNAPSHOTS: Final = 32
MAX_MESSAGES: Final = 32


class CachedSnapshot(Struct, frozen=True):
    """A snapshot with its digest and its encoded size in bytes."""

    snapshot: Snapshot
    digest: str
    octets: int


class SnapshotHistory:
    """The recent snapshots of a process by version, at most `MAX_SNAPSHOTS`.

    Attributes:
        active: the version that others may still ask for, however many later
            ones were refused since; it is not evicted.
    """

    __slots__ = ('_snapshots', '_messages', 'active')

    def __init__(self) -> None:
        """Start empty."""
        self._snapshots: dict[int, CachedSnapshot] = {}
        self._messages: dict[tuple[int, int], Stage] = {}
        self.active = EMPTY_SNAPSHOT.version

    def put(self, snapshot: Snapshot, digest: str = '') -> None:
        """Add a snapshot; the lowest versions are evicted beyond the limit.

        The active one is never evicted. Replaces a different snapshot of the same version.

        Args:
            snapshot: the snapshot to add.
            digest: its digest, empty to compute it.
        """
        cached = self._snapshots.get(snapshot.version)
        if cached and cached.snapshot is snapshot:
            return
        if cached and cached.snapshot == snapshot:
            return
        self._snapshots[snapshot.version] = CachedSnapshot(
            snapshot,
            digest or digest_of(snapshot),
            len(encode(snapshot)),
        )
        while len(self._snapshots) > MAX_SNAPSHOTS:
            self._snapshots.pop(min(self._snapshots.keys() - {self.active}))
        self._evict_messages(snapshot.version)

    def get(self, version: int) -> Snapshot | None:
        """Return the snapshot of a version, None where it is not cached."""
        cached = self._snapshots.get(version)
        return cached.snapshot if cached else None

    def digest(self, version: int) -> str:
        """Return the digest of a version, empty where it is not cached."""
        cached = self._snapshots.get(version)
        return cached.digest if cached else ''

    def stage_message(
        self, version: int, base: int, digest: str
    ) -> Stage | None:
        """Return the message that stages a version, None if it is not cached.

        It holds a delta if the receiver has a cached base with an equal digest
        and the delta is smaller than the snapshot.

        Args:
            version: the version to stage.
            base: version that the receiver holds, zero for none.
            digest: digest of that version at the receiver.
        """
        if version not in self._snapshots:
            return None
        if base not in self._snapshots or self.digest(base) != digest:
            base = 0
        cached = self._messages.get((version, base))
        if cached is None:
            cached = self._create_stage(version, base)
            self._messages[version, base] = cached
            while len(self._messages) > MAX_MESSAGES:
                self._messages.pop(next(iter(self._messages)))
        return cached

    def _create_stage(self, version: int, base: int) -> Stage:
        cached = self._snapshots[version]
        full = Stage(version=version, snapshot=cached.snapshot)
        if not base:
            return full
        base_snapshot = self._snapshots[base]
        body = encode_changes(base_snapshot.snapshot, cached.snapshot)
        if len(body) >= cached.octets:
            return full
        delta = Delta(
            base=base,
            base_digest=base_snapshot.digest,
            version=version,
            digest=cached.digest,
            body=body,
        )
        return Stage(version=version, delta=delta)

    def _evict_messages(self, version: int) -> None:
        self._messages = {
            pair: message
            for pair, message in self._messages.items()
            if version not in pair
        }
