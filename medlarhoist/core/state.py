"""The replicated state of the sources (control-plane replicas).

The functions that change it are in medlarhoist.source.transition.
"""

from msgspec import Struct, field

from medlarhoist.core.command import KeeperSet, MoveState, Outcome
from medlarhoist.core.event import EventLog
from medlarhoist.core.resource import Key, Resource
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot


class Entry(Struct, frozen=True, kw_only=True):
    """A resource and its resource version.

    Args:
        key: kind and name of the resource.
        resource: content of the resource.
        version: configuration version that last changed the resource.
    """

    key: Key
    resource: Resource
    version: int


class Revision(Struct, frozen=True, kw_only=True):
    """The complete configuration that an operator last put.

    Args:
        number: the operator's own number for it, zero before the first.
        fingerprint: digest of the request, to recognize a resend.
        document: the operator's own form of the configuration, empty before
            the first.
    """

    number: int = 0
    fingerprint: str = ''
    document: bytes = b''


class Staged(Struct, frozen=True, kw_only=True):
    """A version that is not activated or abandoned yet.

    Args:
        snapshot: the configuration under this version.
        entries: resources by kind/name, in force from activation.
        moves: moves by name, as of activation.
        request_id: operator request that created the version, empty for a
            step of a move.
        at_ms: when the version was staged, milliseconds since 1970.
        revision: the operator's revision, in force from activation.
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
        last_version: highest version number assigned so far.
        active: configuration in force.
        staged: version that is not activated or abandoned yet, None if there
            is none.
        entries: resources in force by kind/name.
        moves: moves by name.
        requests: outcomes of operator requests by request id, oldest first.
        keepers: keeper sets by failure domain.
        events: the most recent events, for watches.
        revision: the operator's revision in force.
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
