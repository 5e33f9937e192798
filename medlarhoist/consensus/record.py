"""Record: what a replica of the sources keeps on its disk.

Bodies are opaque bytes here; medlarhoist.source.ledger gives them a meaning.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct, field

INITIAL_INCARNATION: Final = ''
NO_REPLICA: Final = ''


class EntryKind(StrEnum):
    """What an entry of the log is for."""

    COMMAND = 'command'
    START = 'start'
    ADMIT = 'admit'


class Entry(Struct, frozen=True, kw_only=True):
    """One entry of the replicated log.

    Args:
        index: its position, from one.
        term: the term of the leader that made it.
        kind: a command, the start of a term or an admission.
        body: the encoded command or Admission; empty at the start of a term.
    """

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    body: bytes = b''


class Admission(Struct, frozen=True, kw_only=True):
    """Makes a caught-up learner the voter of a name.

    Args:
        name: name of the replica.
        incarnation: identity of the data folder that counts from now on.
        place: where that replica is, opaque here; empty where it stays.
    """

    name: str
    incarnation: str
    endpoint: str = field(default='', name='place')


class HardState(Struct, frozen=True, kw_only=True):
    """What must be synced before a vote or an acknowledgement leaves.

    Args:
        incarnation: identity of the data folder, FOUNDER for the first ones.
        term: newest term seen.
        vote: candidate voted for in the term, NOBODY for none.
        commit: index up to which the log is known to be committed; may lag.
    """

    incarnation: str
    term: int = 0
    vote: str = NO_REPLICA
    commit: int = 0


class LogSnapshot(Struct, frozen=True, kw_only=True):
    """The replicated state after an entry, in place of the log up to it.

    Args:
        index: the last entry covered.
        term: the term of that entry.
        voters: incarnation that counts, by name of the replica.
        body: the encoded state.
        places: where the replicas are, by name, as admissions told.
    """

    index: int
    term: int
    voters: dict[str, str]
    body: bytes
    endpoints: dict[str, str] = field(default_factory=dict, name='places')
