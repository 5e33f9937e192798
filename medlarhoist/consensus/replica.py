"""Replica: the complete state of one replica between two events.

A replica is never changed in place; medlarhoist.consensus.step computes the
next one from an event.
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
    INITIAL_INCARNATION,
    NO_REPLICA,
    Admission,
    Entry,
    EntryKind,
    HardState,
    LogSnapshot,
)
from medlarhoist.wire.codec import decode

HEARTBEAT_INTERVAL_SECONDS: Final = 0.15
# How long after a majority last followed a leader no other can lead. Shorter
# than the election timeout, to leave a margin for clock drift.
LEASE_SECONDS: Final = 0.9
# Six heartbeat intervals: on a busy machine a process may not be scheduled
# for half a second.
ELECTION_TIMEOUT_SECONDS: Final = 1.0
ELECTION_JITTER_SECONDS: Final = 0.5

# Returns numbers from zero up to one.
Random = Callable[[], float]


class Role(StrEnum):
    """Part of a replica in its term; a PRE_CANDIDATE collects pre-votes."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'trial'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Progress(Struct, frozen=True, kw_only=True):
    """Replication state of one peer, as its leader keeps it.

    Args:
        next_index: index of the next entry to send.
        held: index up to which the peer has acknowledged the log.
        incarnation: identity of the peer's data folder.
        endpoint: address that the peer reports, empty for none.
        round: newest heartbeat round that it replied to.
        sent_at: when the newest message that it replied to was sent, in
            seconds of the leader's clock.
        unwritable_at: when it last reported that its disk refuses writes, in
            seconds of the leader's clock.
        unwritable_since: when it first did since it last accepted entries.
    """

    next_index: int
    held: int = 0
    incarnation: str = INITIAL_INCARNATION
    endpoint: str = field(default='', name='place')
    round: int = 0
    sent_at: float = -inf
    unwritable_at: float = -inf
    unwritable_since: float = inf


class Replica(Struct, frozen=True, kw_only=True):
    """State of one replica; times are seconds of its monotonic clock.

    Args:
        name: its name, which is its member slot in the group.
        peers: names of the other replicas.
        incarnation: identity of its data folder.
        role: its part in the term.
        term: highest term received.
        vote: candidate that it voted for in the term, NO_REPLICA for none.
        leader: leader of the term, NO_REPLICA where unknown.
        log: entries after the snapshot.
        snapshot: newest snapshot, None before the first.
        commit: index up to which the log is committed.
        voters: incarnation of each voting member, by name, as committed.
        endpoints: addresses of replicas that committed admissions have set,
            by name.
        endpoint: address of this replica, empty where the settings give it.
        heard_at: when it last received a message of a leader, or started.
        election_due: when to campaign unless a leader sends a message before.
        heartbeat_due: when a leader sends the next round, or a replica with
            an empty data folder the next probes.
        votes: names that granted their vote in the current campaign.
        progress: a leader's replication state of its peers, by name.
        round: number of heartbeat rounds of this leader so far.
        elected_at: when it became leader.
        start_index: index of the entry that started its term as leader.
        probes: terms of the peers that have replied to a probe that their
            logs are empty, by name.
        may_found: whether it may become an initial member while all logs are
            empty; not once its data folder has had another member slot, or
            where its slot belonged to another source before.
    """

    name: str
    peers: tuple[str, ...]
    incarnation: str
    role: Role = Role.FOLLOWER
    term: int = 0
    vote: str = NO_REPLICA
    leader: str = NO_REPLICA
    log: Log = Log()
    snapshot: LogSnapshot | None = None
    commit: int = 0
    voters: dict[str, str] = field(default_factory=dict)
    endpoints: dict[str, str] = field(default_factory=dict, name='places')
    endpoint: str = field(default='', name='place')
    heard_at: float = 0
    election_due: float = 0
    heartbeat_due: float = 0
    votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    round: int = 0
    elected_at: float = 0
    start_index: int = 0
    probes: dict[str, int] = field(default_factory=dict)
    may_found: bool = True


def create_replica(
    name: str,
    peers: tuple[str, ...],
    hard: HardState,
    snapshot: LogSnapshot | None,
    entries: tuple[Entry, ...],
    now: float,
    random: Random,
) -> Replica:
    """Return the state of a replica at the start of its process.

    The time of the last contact with a leader is not stored. A replica takes
    it to be now, as it may have extended the leader's lease just before the
    restart.

    Args:
        name: its name.
        peers: names of the other replicas.
        hard: the synced hard state.
        snapshot: the synced snapshot, None for none.
        entries: the synced entries after it.
        now: seconds of a monotonic clock.
        random: returns numbers from zero up to one.
    """
    voters = {member: INITIAL_INCARNATION for member in (name, *peers)}
    endpoints: dict[str, str] = {}
    log = Log(entries=entries)
    commit = 0
    if snapshot is not None:
        voters.update(snapshot.voters)
        endpoints.update(snapshot.endpoints)
        commit = snapshot.index
        log = Log(
            base_index=snapshot.index,
            base_term=snapshot.term,
            entries=entries,
        )
    replica = Replica(
        name=name,
        peers=peers,
        incarnation=hard.incarnation,
        term=hard.term,
        vote=hard.vote,
        log=log,
        snapshot=snapshot,
        commit=commit,
        voters=voters,
        endpoints=endpoints,
        heard_at=now,
        election_due=next_election_due(now, random),
    )
    return with_commit(replica, min(hard.commit, last_index(log)))


def next_election_due(now: float, random: Random) -> float:
    """Return when to campaign if no leader sends a message, in seconds.

    Random jitter keeps replicas from campaigning at the same time.
    """
    return now + ELECTION_TIMEOUT_SECONDS + ELECTION_JITTER_SECONDS * random()


def hard_state(replica: Replica) -> HardState:
    """Return what a replica must store besides its log and snapshot."""
    return HardState(
        incarnation=replica.incarnation,
        term=replica.term,
        vote=replica.vote,
        commit=replica.commit,
    )


def with_commit(replica: Replica, commit: int) -> Replica:
    """Return the replica with its log committed up to an index.

    Applies the admissions that become committed. An index that is committed
    already changes nothing.
    """
    if commit <= replica.commit:
        return replica
    voters = dict(replica.voters)
    endpoints = dict(replica.endpoints)
    for entry in entries_between(replica.log, replica.commit, commit):
        if entry.kind is EntryKind.ADMIT:
            admission = decode(entry.body, Admission)
            voters[admission.name] = admission.incarnation
            if admission.endpoint:
                endpoints[admission.name] = admission.endpoint
    return replace(replica, commit=commit, voters=voters, endpoints=endpoints)


def pending_admission(replica: Replica) -> str | None:
    """Return the name in an admission that is logged but not yet committed.

    None if there is no such admission.
    """
    log = replica.log
    for entry in entries_between(log, replica.commit, last_index(log)):
        if entry.kind is EntryKind.ADMIT:
            return str(decode(entry.body, Admission).name)
    return None


def is_counted(replica: Replica, name: str, incarnation: str) -> bool:
    """Return whether a quorum may include votes and replies of a data folder.

    While an admission is not committed, neither the old nor the new folder of
    its name counts, so a majority must form among the other members.
    """
    if replica.voters.get(name) != incarnation:
        return False
    return pending_admission(replica) != name


def is_voter(replica: Replica) -> bool:
    """Return whether a replica may vote and campaign."""
    return is_counted(replica, replica.name, replica.incarnation)


def has_empty_log(replica: Replica) -> bool:
    """Return whether the log has never held an entry."""
    return last_index(replica.log) == 0


def quorum_size(replica: Replica) -> int:
    """Return the number of replicas that form a majority of the group."""
    return (len(replica.peers) + 1) // 2 + 1
