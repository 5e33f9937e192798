"""Record: log entries, hard state and snapshots, as a replica stores them.

Bodies are opaque bytes here; medlarhoist.source.ledger encodes and decodes
them.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct, field

# Incarnation of the data folders that bootstrapped the group.
INITIAL_INCARNATION: Final = ''
# Stands for the name of a replica: no vote given, or leader unknown.
NO_REPLICA: Final = ''


class EntryKind(StrEnum):
    """Purpose of a log entry."""

    COMMAND = 'command'
    START = 'start'
    ADMIT = 'admit'


class Entry(Struct, frozen=True, kw_only=True):
    """One entry of the replicated log.

    Args:
        index: its position in the log, starting at one.
        term: the term of the leader that appended it.
        kind: a command, the first entry of a leader's term or an admission.
        body: the encoded command or Admission; empty at the start of a term.
    """

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    body: bytes = b''


class Admission(Struct, frozen=True, kw_only=True):
    """Body of an ADMIT entry: makes a caught-up learner a voting member.

    Args:
        name: name of the replica, which is its member slot in the group.
        incarnation: identity of the data folder whose votes and
            acknowledgements count once the entry is committed.
        endpoint: address of the replica, opaque here; empty where it is
            unchanged.
    """

    name: str
    incarnation: str
    endpoint: str = field(default='', name='place')


class HardState(Struct, frozen=True, kw_only=True):
    """What must be synced before a vote or an acknowledgement is sent.

    Args:
        incarnation: identity of the data folder; INITIAL_INCARNATION for an
            initial member of the group.
        term: highest term received.
        vote: candidate voted for in the term, NO_REPLICA for none.
        commit: index up to which the log was committed when this was saved;
            the replica may have committed more since.
    """

    incarnation: str
    term: int = 0
    vote: str = NO_REPLICA
    commit: int = 0


class LogSnapshot(Struct, frozen=True, kw_only=True):
    """The replicated state after an entry; replaces the log up to it.

    Args:
        index: the last entry covered.
        term: the term of that entry.
        voters: incarnation of each voting member, by name.
        body: the encoded state.
        endpoints: addresses of the replicas that committed admissions have
            set, by name.
    """

    index: int
    term: int
    voters: dict[str, str]
    body: bytes
    endpoints: dict[str, str] = field(default_factory=dict, name='places')
