"""Message: what replicas of the sources send to one another.

Messages may be lost, repeated and reordered; every one names its sender, its
receiver and the term of its sender.
"""

from msgspec import Struct, field

from medlarhoist.consensus.record import Entry, LogSnapshot


class VoteRequest(Struct, frozen=True, kw_only=True, tag='vote'):
    """Asks for a vote.

    Args:
        sender: the candidate.
        receiver: the voter.
        term: the term that the candidate wants to lead.
        trial: whether it only asks if a vote would be granted.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
    """

    sender: str
    receiver: str
    term: int
    trial: bool
    last_index: int
    last_term: int


class VoteReply(Struct, frozen=True, kw_only=True, tag='vote-reply'):
    """Grants or refuses a vote.

    Args:
        sender: the voter.
        receiver: the candidate.
        term: term of the vote where granted, otherwise of the voter.
        trial: whether the question was a trial.
        granted: the answer.
        incarnation: data folder that remembers the vote.
    """

    sender: str
    receiver: str
    term: int
    trial: bool
    granted: bool
    incarnation: str


class Append(Struct, frozen=True, kw_only=True, tag='append'):
    """Gives entries to a follower; without entries a heartbeat.

    Args:
        sender: the leader.
        receiver: the follower.
        term: term of the leader.
        previous_index: index before the first entry.
        previous_term: term of that entry.
        entries: consecutive entries.
        commit: index up to which the leader knows the log as committed.
        held: index that the follower has acknowledged to this leader.
        held_by: data folder that acknowledged it.
        round: number of the leader's heartbeat round.
        sent_at: clock of the leader, seconds.
    """

    sender: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    held: int
    held_by: str
    round: int
    sent_at: float


class AppendReply(Struct, frozen=True, kw_only=True, tag='append-reply'):
    """Answers an Append or an Install.

    Args:
        sender: the follower.
        receiver: the leader.
        term: term of the follower.
        accepted: whether the log holds everything up to index.
        index: last index that agrees, or a hint where to go on.
        incarnation: data folder that holds the entries.
        round: round of the message answered.
        sent_at: sent_at of the message answered.
        place: where the follower is, empty where its name says it.
    """

    sender: str
    receiver: str
    term: int
    accepted: bool
    index: int
    incarnation: str
    round: int
    sent_at: float
    endpoint: str = field(default='', name='place')


class InstallSnapshot(Struct, frozen=True, kw_only=True, tag='install'):
    """Gives a snapshot to a follower that is behind the leader's log.

    Args:
        sender: the leader.
        receiver: the follower.
        term: term of the leader.
        snapshot: the newest one of the leader.
        round: number of the leader's heartbeat round.
        sent_at: clock of the leader, seconds.
    """

    sender: str
    receiver: str
    term: int
    snapshot: LogSnapshot
    round: int
    sent_at: float


class Probe(Struct, frozen=True, kw_only=True, tag='probe'):
    """Asks, from an empty data folder, whether the group is a new one.

    Args:
        sender: the replica that has nothing.
        receiver: a peer.
        incarnation: its data folder.
    """

    sender: str
    receiver: str
    incarnation: str


class ProbeReply(Struct, frozen=True, kw_only=True, tag='probe-reply'):
    """Answers a Probe.

    Args:
        sender: the peer.
        receiver: the replica that asked.
        incarnation: the data folder that asked.
        pristine: whether the log of the peer has never held an entry.
        term: newest term of the peer.
    """

    sender: str
    receiver: str
    incarnation: str
    pristine: bool
    term: int


Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | Probe
    | ProbeReply
)


class Propose(Struct, frozen=True, kw_only=True):
    """Event: bodies of commands that the leader shall append in one write."""

    bodies: tuple[bytes, ...]


class Tick(Struct, frozen=True):
    """Event: time has passed."""


class ConfirmLeadership(Struct, frozen=True):
    """Event: somebody waits for a heartbeat round that starts now."""


class Resign(Struct, frozen=True):
    """Event: this replica cannot write, so another one should lead."""


class Compact(Struct, frozen=True, kw_only=True):
    """Event: the replica has saved a snapshot of what it applied."""

    snapshot: LogSnapshot


Event = Message | Propose | Tick | ConfirmLeadership | Resign | Compact
