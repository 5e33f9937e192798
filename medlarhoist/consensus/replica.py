"""Replica: the whole state of one replica between two events.

The functions of medlarhoist.consensus.step turn one replica into the next.
"""

from collections.abc import Callable
from enum import StrEnum
from math import inf
from typing import Final

from msgspec import Struct, field
from msgspec.structs import replace

from medlarhoist.consensus.log import (
    Log,
    entries_between,
    last_index,
)
from medlarhoist.consensus.record import (
    FOUNDER,
    NOBODY,
    Admission,
    Entry,
    EntryKind,
    HardState,
    LogSnapshot,
)
from medlarhoist.wire.codec import decode

HEARTBEAT_INTERVAL_SECONDS: Final = 0.15
# Shorter than an election, with room for clocks that drift.
LEASE_SECONDS: Final = 0.9
# Six heartbeats: a busy machine may keep a process from running for half a second.
ELECTION_SECONDS: Final = 1.0
ELECTION_SPREAD_SECONDS: Final = 0.5

Random = Callable[[], float]


class Role(StrEnum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    TRIAL = 'trial'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Progress(Struct, frozen=True, kw_only=True):
    """What the leader knows of one peer.

    Args:
        next_index: index of the next entry to send.
        held: index up to which the peer has acknowledged the log.
        incarnation: data folder of the peer.
        place: where the peer says it is.
        round: newest heartbeat round that it answered.
        sent_at: when the newest message that it answered was sent, seconds.
    """

    next_index: int
    held: int = 0
    incarnation: str = FOUNDER
    place: str = ''
    round: int = 0
    sent_at: float = -inf


class Replica(Struct, frozen=True, kw_only=True):
    """One replica.

    Args:
        name: its name.
        peers: names of the others.
        incarnation: identity of its data folder.
        role: what it does.
        term: newest term seen.
        vote: candidate that it voted for in the term.
        leader: leader of the term, NOBODY where unknown.
        log: entries after the snapshot.
        snapshot: newest snapshot, None before the first.
        commit: index up to which the log is committed.
        voters: incarnation that counts, by name, as committed.
        places: where replicas are, by name, as committed admissions told.
        place: where this replica is, empty where its name says it.
        heard_at: when a leader was last heard, seconds.
        election_due: when to campaign, seconds.
        heartbeat_due: when a leader sends the next round, seconds.
        votes: names that granted the running campaign.
        progress: what a leader knows of its peers.
        round: number of heartbeat rounds of this leader.
        elected_at: when it became leader, seconds.
        start_index: entry that started its term as leader.
        probes: terms of peers that told an empty data folder that they are
            pristine.
    """

    name: str
    peers: tuple[str, ...]
    incarnation: str
    role: Role = Role.FOLLOWER
    term: int = 0
    vote: str = NOBODY
    leader: str = NOBODY
    log: Log = Log()
    snapshot: LogSnapshot | None = None
    commit: int = 0
    voters: dict[str, str] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)
    place: str = ''
    heard_at: float = 0
    election_due: float = 0
    heartbeat_due: float = 0
    votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    round: int = 0
    elected_at: float = 0
    start_index: int = 0
    probes: dict[str, int] = field(default_factory=dict)


def create_replica(
    name: str,
    peers: tuple[str, ...],
    hard: HardState,
    snapshot: LogSnapshot | None,
    entries: tuple[Entry, ...],
    now: float,
    random: Random,
) -> Replica:
    """Return a replica as it starts from what its disk holds.

    A replica that restarts cannot tell when it last heard a leader, so it
    acts as if that was now.

    Args:
        name: its name.
        peers: names of the others.
        hard: the synced hard state.
        snapshot: the synced snapshot, if any.
        entries: the synced entries after it.
        now: seconds of a monotonic clock.
        random: returns numbers from zero to one.
    """
    voters = {member: FOUNDER for member in (name, *peers)}
    places: dict[str, str] = {}
    log = Log(entries=entries)
    commit = 0
    if snapshot is not None:
        voters.update(snapshot.voters)
        places.update(snapshot.places)
        commit = snapshot.index
        log = Log(
            base_index=snapshot.index,
            base_term=snapshot.term,
            entries=entries,
        )
    blank = Replica(
        name=name,
        peers=peers,
        incarnation=hard.incarnation,
        term=hard.term,
        vote=hard.vote,
        log=log,
        snapshot=snapshot,
        commit=commit,
        voters=voters,
        places=places,
        heard_at=now,
        election_due=next_election(now, random),
    )
    return with_commit(blank, min(hard.commit, last_index(log)))


def next_election(now: float, random: Random) -> float:
    """Return when to campaign if no leader is heard, in seconds."""
    return now + ELECTION_SECONDS + ELECTION_SPREAD_SECONDS * random()


def hard_state(replica: Replica) -> HardState:
    """Return what of a replica must be on its disk besides the log."""
    return HardState(
        incarnation=replica.incarnation,
        term=replica.term,
        vote=replica.vote,
        commit=replica.commit,
    )


def with_commit(replica: Replica, commit: int) -> Replica:
    """Return the replica with more of its log committed."""
    if commit <= replica.commit:
        return replica
    voters = dict(replica.voters)
    places = dict(replica.places)
    for entry in entries_between(replica.log, replica.commit, commit):
        if entry.kind is EntryKind.ADMIT:
            admission = decode(entry.body, Admission)
            voters[admission.name] = admission.incarnation
            if admission.place:
                places[admission.name] = admission.place
    return replace(replica, commit=commit, voters=voters, places=places)


def pending_admission(replica: Replica) -> str | None:
    """Return the name whose admission is logged but not yet committed."""
    log = replica.log
    for entry in entries_between(log, replica.commit, last_index(log)):
        if entry.kind is EntryKind.ADMIT:
            return str(decode(entry.body, Admission).name)
    return None


def is_counted(replica: Replica, name: str, incarnation: str) -> bool:
    """Say whether votes and acknowledgements of a data folder count.

    While an admission is not committed neither the old nor the new folder of
    its name counts, so that the others alone must hold it.
    """
    if replica.voters.get(name) != incarnation:
        return False
    return pending_admission(replica) != name


def is_voter(replica: Replica) -> bool:
    """Say whether a replica may vote and campaign."""
    return is_counted(replica, replica.name, replica.incarnation)


def is_pristine(replica: Replica) -> bool:
    """Say whether the log has never held an entry."""
    return last_index(replica.log) == 0


def quorum_size(replica: Replica) -> int:
    """Return how many replicas are a majority."""
    return (len(replica.peers) + 1) // 2 + 1
