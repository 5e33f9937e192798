"""Stage: makes the message that stages a version, by delta where smaller.

Recent snapshots are kept as bases of deltas; they share their records, so
that a kept one costs little.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.delta import encode_changes
from medlarhoist.core.digest import digest_of
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.wire.codec import encode
from medlarhoist.wire.message import Delta, Stage

KEPT_SNAPSHOTS: Final = 32
KEPT_MESSAGES: Final = 32


class Kept(Struct, frozen=True):
    """A snapshot with its digest and its size in bytes."""

    snapshot: Snapshot
    digest: str
    octets: int


class SnapshotHistory:
    """The recent snapshots of a process by version."""

    __slots__ = ('_kept', '_messages')

    def __init__(self) -> None:
        """Start empty."""
        self._kept: dict[int, Kept] = {}
        self._messages: dict[tuple[int, int], Stage] = {}

    def put(self, snapshot: Snapshot, digest: str = '') -> None:
        """Keep a snapshot; the oldest is dropped where there are too many.

        Args:
            snapshot: the snapshot to keep.
            digest: its digest, if it is known already.
        """
        known = self._kept.get(snapshot.version)
        if known and known.snapshot is snapshot:
            return
        if known and known.snapshot == snapshot:
            return
        self._kept[snapshot.version] = Kept(
            snapshot,
            digest or digest_of(snapshot),
            len(encode(snapshot)),
        )
        while len(self._kept) > KEPT_SNAPSHOTS:
            self._kept.pop(min(self._kept))
        self._forget_messages(snapshot.version)

    def get(self, version: int) -> Snapshot | None:
        """Return the snapshot of a version, if it is kept."""
        kept = self._kept.get(version)
        return kept.snapshot if kept else None

    def digest(self, version: int) -> str:
        """Return the digest of a version, empty where it is not kept."""
        kept = self._kept.get(version)
        return kept.digest if kept else ''

    def stage(self, version: int, base: int, digest: str) -> Stage | None:
        """Return the message that stages a kept version.

        Args:
            version: the version to stage.
            base: version that the receiver has, zero for none.
            digest: digest of that version at the receiver.
        """
        if version not in self._kept:
            return None
        if base not in self._kept or self.digest(base) != digest:
            base = 0
        known = self._messages.get((version, base))
        if known is None:
            known = self._create_stage(version, base)
            self._messages[version, base] = known
            while len(self._messages) > KEPT_MESSAGES:
                self._messages.pop(next(iter(self._messages)))
        return known

    def _create_stage(self, version: int, base: int) -> Stage:
        kept = self._kept[version]
        whole = Stage(version=version, snapshot=kept.snapshot)
        if not base:
            return whole
        origin = self._kept[base]
        body = encode_changes(origin.snapshot, kept.snapshot)
        if len(body) >= kept.octets:
            return whole
        delta = Delta(
            base=base,
            base_digest=origin.digest,
            version=version,
            digest=kept.digest,
            body=body,
        )
        return Stage(version=version, delta=delta)

    def _forget_messages(self, version: int) -> None:
        self._messages = {
            pair: message
            for pair, message in self._messages.items()
            if version not in pair
        }
