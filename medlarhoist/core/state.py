"""State: everything that the sources replicate.

The functions that change it are in medlarhoist.source.transition.
"""

from msgspec import Struct, field

from medlarhoist.core.command import KeeperSet, MoveState, Outcome
from medlarhoist.core.event import EventLog
from medlarhoist.core.resource import Key, Resource
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot


class Entry(Struct, frozen=True, kw_only=True):
    """One resource in force.

    Args:
        key: its identity.
        resource: its content.
        version: configuration version that last changed it.
    """

    key: Key
    resource: Resource
    version: int


class Revision(Struct, frozen=True, kw_only=True):
    """The whole configuration that an operator put last.

    Args:
        number: the operator's own number, zero for none yet.
        fingerprint: digest of the request, to know a resend by.
        document: what the operator sent.
    """

    number: int = 0
    fingerprint: str = ''
    document: bytes = b''


class Staged(Struct, frozen=True, kw_only=True):
    """A version that waits to be activated or abandoned.

    Args:
        snapshot: the whole configuration.
        entries: the resources by kind/name, as they will be.
        moves: the moves by name, as they will be.
        request_id: the operator request that waits for it, empty for a step
            of a move.
        at_ms: when it was staged, milliseconds since 1970.
        revision: the operator's whole configuration, as it will be.
    """

    snapshot: Snapshot
    entries: dict[str, Entry]
    moves: dict[str, MoveState]
    request_id: str
    at_ms: int
    revision: Revision = Revision()


class State(Struct, frozen=True, kw_only=True):
    """The replicated state of the sources.

    Args:
        last_version: newest version number that was handed out.
        active: the configuration in force.
        staged: the version that waits, if any.
        entries: the resources in force by kind/name.
        moves: the moves by name.
        requests: outcomes of operator requests by request id, oldest first.
        keepers: the keeper sets by failure domain.
        events: the newest events, for watches.
        revision: the operator's whole configuration in force.
    """

    last_version: int = 0
    active: Snapshot = EMPTY_SNAPSHOT
    staged: Staged | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    moves: dict[str, MoveState] = field(default_factory=dict)
    requests: dict[str, Outcome] = field(default_factory=dict)
    keepers: dict[str, KeeperSet] = field(default_factory=dict)
    events: EventLog = EventLog()
    revision: Revision = Revision()
