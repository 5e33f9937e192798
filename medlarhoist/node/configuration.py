"""Configuration: the versions that a node holds, and the one in force.

The version in force is the one that the node routes calls by. A later version
is staged: it is compiled while the old one stays in force. It is put in force
by replacing one reference once it is established, that is, once a majority of
the domain's keepers hold it as the active version, which the sources have
committed. The version in force never decreases, and none is in force before
the floor, the lowest version that the node may serve, has been read.
"""

from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.acceptance import AcceptanceTimes
from medlarhoist.core.accounts import has_accounts
from medlarhoist.core.compile import Compiled, create_incremental_compiler
from medlarhoist.core.confirmation import Confirmations
from medlarhoist.core.delta import apply_changes
from medlarhoist.core.digest import create_incremental_digest
from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot
from medlarhoist.wire.message import Delta, Stage
from medlarhoist.wire.snapshot_history import SnapshotHistory

MAX_CANDIDATES: Final = 8
CompileSnapshot = Callable[
    [Snapshot], tuple[Compiled | None, tuple[Fault, ...]]
]


class StageResult(Struct, frozen=True, kw_only=True):
    """Result of one request to stage a version.

    Args:
        version: the requested version.
        holds: whether this node holds it, or a later one is established.
        mismatch: whether the message could not be applied, such as a delta
            against a base that this node does not hold; a full snapshot is
            needed.
        faults: why the version cannot be compiled.
    """

    version: int
    holds: bool = False
    mismatch: bool = False
    faults: tuple[Fault, ...] = ()


class ConfigurationView(Struct, frozen=True, kw_only=True):
    """State of the configuration in a dump.

    Args:
        active: the version in force, None for none.
        floor: the floor, None until it has been read.
        established: the highest established version.
        candidates: the compiled versions in ascending order.
    """

    active: int | None
    floor: int | None
    established: int
    candidates: tuple[int, ...]


class Configuration:
    """The configuration versions of one node.

    Args:
        acceptance: when the newest versions were accepted.
        confirmations: when versions were known to be the newest.
        active: the compiled version in force, None for none.
        established: the highest version that is established and compiled
            here.
        floor: the floor, None until it has been read.
        history: recent snapshots, which are bases of deltas.
    """

    __slots__ = (
        '_compile',
        '_compiled',
        '_digest',
        '_listeners',
        '_refused',
        'acceptance',
        'active',
        'confirmations',
        'established',
        'floor',
        'history',
    )

    def __init__(self, compile_snapshot: CompileSnapshot) -> None:
        """Hold the empty configuration; no version is in force."""
        self._compile = compile_snapshot
        self._listeners: list[Callable[[Compiled], None]] = []
        self._compiled: dict[int, Compiled] = {}
        self._refused: dict[int, tuple[Fault, ...]] = {}
        self.acceptance = AcceptanceTimes()
        self.confirmations = Confirmations()
        self.active: Compiled | None = None
        self.floor: int | None = None
        self.established = EMPTY_SNAPSHOT.version
        self.history = SnapshotHistory()
        self._digest = create_incremental_digest()
        self._add(EMPTY_SNAPSHOT, self._digest(EMPTY_SNAPSHOT))

    @property
    def version(self) -> int:
        """Return the number of the version in force, zero for none."""
        return self.active.version if self.active else 0

    @property
    def staged(self) -> int:
        """Return the newest compiled version that is not established yet.

        Zero means that there is none.
        """
        newest = max(self._compiled, default=0)
        return newest if newest > self.established else 0

    def subscribe(self, listener: Callable[[Compiled], None]) -> None:
        """Register a callback for each version that is put in force."""
        self._listeners.append(listener)

    def holds(self, version: int) -> bool:
        """Return whether a version needs no staging any more.

        It is compiled here, or it or a later one is established.
        """
        return version in self._compiled or version <= self.established

    def versions_to_acknowledge(self) -> tuple[int, ...]:
        """Return the versions to acknowledge to the parent, oldest first.

        They are the established one, the staged one and later ones that could
        not be compiled, or only the empty version if there are none.
        """
        refused = [
            version for version in self._refused if version > self.established
        ]
        versions = {self.established, self.staged, *refused} - {0}
        return tuple(sorted(versions)) or (EMPTY_SNAPSHOT.version,)

    def faults_of(self, version: int) -> tuple[Fault, ...]:
        """Return why a version could not be compiled, empty if it could."""
        return self._refused.get(version, ())

    def stage(self, message: Stage) -> StageResult:
        """Compile a version while the one in force stays in force.

        Nothing is done if this node holds the version already.
        """
        version = message.version
        if self.holds(version):
            return StageResult(version=version, holds=True)
        snapshot = self._snapshot_of(message)
        if snapshot is None:
            return StageResult(version=version, mismatch=True)
        digest = self._digest(snapshot)
        if message.delta and message.delta.digest != digest:
            return StageResult(version=version, mismatch=True)
        faults = self._add(snapshot, digest)
        return StageResult(version=version, holds=not faults, faults=faults)

    def establish(self, version: int) -> bool:
        """Record that a majority of the keepers hold a version as active.

        The version is put in force if the floor has been read and the version
        is not below it.

        Returns:
            False if the version is not compiled here and must be fetched.
        """
        if version <= self.established:
            return True
        if version not in self._compiled:
            return False
        self.established = version
        self.history.active = version
        self._activate()
        return True

    def abandon(self, version: int) -> None:
        """Discard a staged version that the sources have abandoned.

        An established version is kept.
        """
        self._refused.pop(version, None)
        if version > self.established:
            self._compiled.pop(version, None)

    def set_floor(self, floor: int) -> None:
        """Set the floor, once, and put the established version in force.

        Versions below the floor are not put in force.
        """
        if self.floor is None:
            self.floor = floor
            logger.info('configuration: the floor is version {}', floor)
        self._activate()

    def _snapshot_of(self, message: Stage) -> Snapshot | None:
        if message.delta is not None:
            return _apply_delta(self.history, message.delta)
        snapshot = message.snapshot
        if snapshot is None or snapshot.version != message.version:
            return None
        return snapshot

    def _add(self, snapshot: Snapshot, digest: str) -> tuple[Fault, ...]:
        compiled, faults = self._compile(snapshot)
        if compiled is None:
            self._refused[snapshot.version] = faults
            return faults
        self.history.put(snapshot, digest)
        self._compiled[snapshot.version] = compiled
        self._prune()
        return ()

    def candidates(self) -> tuple[int, ...]:
        """Return the compiled versions in ascending order."""
        return tuple(sorted(self._compiled))

    def _activate(self) -> None:
        if self.floor is None or self.established < self.floor:
            return
        if self.active and self.active.version >= self.established:
            return
        self.active = self._compiled[self.established]
        self._prune()
        for listener in self._listeners:
            listener(self.active)

    def _prune(self) -> None:
        older = [held for held in self._compiled if held < self.established]
        candidates = sorted(set(self._compiled) - set(older))
        kept = {self.established, *candidates[-MAX_CANDIDATES:]}
        for version in set(self._compiled) - kept:
            self._compiled.pop(version)
        for refused in list(self._refused):
            if refused < self.established:
                self._refused.pop(refused)


def create_configuration(
    compile_snapshot: CompileSnapshot | None = None,
) -> Configuration:
    """Return a configuration that holds only the empty version.

    Args:
        compile_snapshot: compiles a snapshot. By default, only what differs
            from the last compiled snapshot is compiled.
    """
    return Configuration(compile_snapshot or create_incremental_compiler())


def may_serve(configuration: Configuration, revocation_ms: int) -> bool:
    """Return whether a node that has started has what calls need.

    Args:
        configuration: the versions that it holds.
        revocation_ms: as in its settings. With a limit, a version with
            accounts must have been confirmed since the start.
    """
    active = configuration.active
    if active is None:
        return False
    if not revocation_ms or not has_accounts(active):
        return True
    return not configuration.confirmations.is_empty


def view_configuration(configuration: Configuration) -> ConfigurationView:
    """Return the state for a dump."""
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
