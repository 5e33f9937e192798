"""Configuration: the versions that a node holds, and the one in force.

A version is compiled beside the one in force and put in force by swapping
one pointer. The version in force never goes down, and none is in force until
the floor is known.
"""

from collections.abc import Callable
from typing import Final

from msgspec import Struct

from medlarhoist.core.compile import Compiled, create_compiler
from medlarhoist.core.delta import apply_changes
from medlarhoist.core.digest import create_digest
from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import EMPTY, Snapshot
from medlarhoist.wire.message import Delta, Stage
from medlarhoist.wire.snapshot_history import SnapshotHistory

KEPT_CANDIDATES: Final = 8
Compile = Callable[[Snapshot], tuple[Compiled | None, tuple[Fault, ...]]]


class Staging(Struct, frozen=True, kw_only=True):
    """What became of one request to stage a version.

    Args:
        version: the version meant.
        holds: whether it is compiled here.
        mismatch: whether a delta did not fit; the whole is needed.
        faults: why it cannot be compiled.
    """

    version: int
    holds: bool = False
    mismatch: bool = False
    faults: tuple[Fault, ...] = ()


class ConfigurationView(Struct, frozen=True, kw_only=True):
    """What a dump shows."""

    active: int | None
    floor: int | None
    established: int
    candidates: tuple[int, ...]


class Configuration:
    """The configuration versions of one node."""

    __slots__ = (
        '_compile',
        '_compiled',
        '_digest',
        '_listeners',
        '_refused',
        'active',
        'established',
        'floor',
        'history',
    )

    def __init__(self, compile_one: Compile) -> None:
        """Start with the empty configuration, not in force."""
        self._compile = compile_one
        self._listeners: list[Callable[[Compiled], None]] = []
        self._compiled: dict[int, Compiled] = {}
        self._refused: dict[int, tuple[Fault, ...]] = {}
        self.active: Compiled | None = None
        self.floor: int | None = None
        self.established = EMPTY.version
        self.history = SnapshotHistory()
        self._digest = create_digest()
        self._keep(EMPTY, self._digest(EMPTY))

    @property
    def version(self) -> int:
        """Return the version in force, zero for none."""
        return self.active.version if self.active else 0

    @property
    def staged(self) -> int:
        """Return the newest version past the established one, or zero."""
        newest = max(self._compiled, default=0)
        return newest if newest > self.established else 0

    def subscribe(self, listener: Callable[[Compiled], None]) -> None:
        """Call back after each swap."""
        self._listeners.append(listener)

    def holds(self, version: int) -> bool:
        """Say whether a version, or a later one in force, is compiled."""
        return version in self._compiled or version <= self.established

    def concerned_versions(self) -> tuple[int, ...]:
        """Return the versions to acknowledge, the oldest first."""
        refused = [known for known in self._refused if known > self.established]
        versions = {self.established, self.staged, *refused} - {0}
        return tuple(sorted(versions)) or (EMPTY.version,)

    def faults_of(self, version: int) -> tuple[Fault, ...]:
        """Return why a version could not be compiled."""
        return self._refused.get(version, ())

    def stage(self, message: Stage) -> Staging:
        """Compile a version beside the one in force."""
        version = message.version
        if self.holds(version):
            return Staging(version=version, holds=True)
        snapshot = self._read(message)
        if snapshot is None:
            return Staging(version=version, mismatch=True)
        digest = self._digest(snapshot)
        if message.delta and message.delta.digest != digest:
            return Staging(version=version, mismatch=True)
        faults = self._keep(snapshot, digest)
        return Staging(version=version, holds=not faults, faults=faults)

    def establish(self, version: int) -> bool:
        """Note that a majority of the keepers holds a version as active.

        Returns:
            False where the version is not compiled here; it must be fetched.
        """
        if version <= self.established:
            return True
        if version not in self._compiled:
            return False
        self.established = version
        self._swap()
        return True

    def abandon(self, version: int) -> None:
        """Drop a staged version that nobody will put in force."""
        self._refused.pop(version, None)
        if version > self.established:
            self._compiled.pop(version, None)

    def set_floor(self, floor: int) -> None:
        """Allow versions at or past the floor to be put in force."""
        if self.floor is None:
            self.floor = floor
        self._swap()

    def _read(self, message: Stage) -> Snapshot | None:
        if message.delta is not None:
            return _apply_delta(self.history, message.delta)
        snapshot = message.snapshot
        if snapshot is None or snapshot.version != message.version:
            return None
        return snapshot

    def _keep(self, snapshot: Snapshot, digest: str) -> tuple[Fault, ...]:
        compiled, faults = self._compile(snapshot)
        if compiled is None:
            self._refused[snapshot.version] = faults
            return faults
        self.history.put(snapshot, digest)
        self._compiled[snapshot.version] = compiled
        self._prune()
        return ()

    def candidates(self) -> tuple[int, ...]:
        """Return the compiled versions."""
        return tuple(sorted(self._compiled))

    def _swap(self) -> None:
        if self.floor is None or self.established < self.floor:
            return
        if self.active and self.active.version >= self.established:
            return
        self.active = self._compiled[self.established]
        self._prune()
        for listener in self._listeners:
            listener(self.active)

    def _prune(self) -> None:
        old = [known for known in self._compiled if known < self.established]
        candidates = sorted(set(self._compiled) - set(old))
        kept = {self.established, *candidates[-KEPT_CANDIDATES:]}
        for version in set(self._compiled) - kept:
            self._compiled.pop(version)
        for refused in list(self._refused):
            if refused < self.established:
                self._refused.pop(refused)


def create_configuration(
    compile_one: Compile | None = None,
) -> Configuration:
    """Return a configuration that holds nothing yet.

    Args:
        compile_one: compiles a snapshot; by default at the cost of what the
            last one had not.
    """
    return Configuration(compile_one or create_compiler())


def view_configuration(configuration: Configuration) -> ConfigurationView:
    """Return what a dump shows."""
    active = configuration.active
    return ConfigurationView(
        active=active.version if active else None,
        floor=configuration.floor,
        established=configuration.established,
        candidates=configuration.candidates(),
    )


def _apply_delta(history: SnapshotHistory, delta: Delta) -> Snapshot | None:
    base = history.get(delta.base)
    if base is None or history.digest(delta.base) != delta.base_digest:
        return None
    return apply_changes(base, delta.body)[0]
