"""Message: messages between replicas, and the other events of a replica.

Messages may be lost, repeated and reordered. Each names its sender and its
receiver; all but Probe and Unwritable also carry a term.
"""

from msgspec import Struct, field

from medlarhoist.consensus.record import Entry, LogSnapshot


class VoteRequest(Struct, frozen=True, kw_only=True, tag='vote'):
    """Requests a vote, or in a pre-vote asks whether it would be granted.

    Args:
        sender: the candidate.
        receiver: the voter.
        term: the term that the candidate wants to lead.
        trial: whether this is a pre-vote, which changes no term and no vote.
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
        term: requested term where granted, otherwise the voter's.
        trial: whether the request was a pre-vote.
        granted: whether the candidate gets the vote.
        incarnation: identity of the data folder that stores the vote.
    """

    sender: str
    receiver: str
    term: int
    trial: bool
    granted: bool
    incarnation: str


class Append(Struct, frozen=True, kw_only=True, tag='append'):
    """Sends entries to a follower; without entries it is a heartbeat.

    Args:
        sender: the leader.
        receiver: the follower.
        term: term of the leader.
        previous_index: index before the first entry.
        previous_term: term of that entry.
        entries: consecutive entries.
        commit: index up to which the leader has committed the log.
        held: highest index that the follower has acknowledged to this leader.
        held_by: incarnation of the data folder that acknowledged it.
        round: number of the leader's heartbeat round.
        sent_at: time on the leader's monotonic clock, seconds.
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
    """Replies to an Append or an InstallSnapshot.

    Args:
        sender: the follower.
        receiver: the leader.
        term: term of the follower.
        accepted: whether the follower's log equals the leader's up to index.
        index: last index that matches; if not accepted, a hint from where the
            leader should retry, zero where the leader's term is outdated.
        incarnation: identity of the data folder that holds the entries.
        round: round of the request.
        sent_at: sent_at of the request, on the leader's clock, seconds.
        endpoint: address of the follower, empty where the settings give it.
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
    """Sends a snapshot to a follower that needs entries the leader dropped.

    Args:
        sender: the leader.
        receiver: the follower.
        term: term of the leader.
        snapshot: the leader's newest snapshot.
        round: number of the leader's heartbeat round.
        sent_at: time on the leader's monotonic clock, seconds.
    """

    sender: str
    receiver: str
    term: int
    snapshot: LogSnapshot
    round: int
    sent_at: float


class Probe(Struct, frozen=True, kw_only=True, tag='probe'):
    """Asks a peer whether its log is empty too, so that the group is new.

    Args:
        sender: the replica with an empty data folder.
        receiver: a peer.
        incarnation: identity of the sender's data folder.
    """

    sender: str
    receiver: str
    incarnation: str


class ProbeReply(Struct, frozen=True, kw_only=True, tag='probe-reply'):
    """Replies to a Probe.

    Args:
        sender: the peer.
        receiver: the replica that sent the probe.
        incarnation: identity of the data folder that sent the probe.
        pristine: whether the peer's log has never held an entry.
        term: highest term that the peer has received.
    """

    sender: str
    receiver: str
    incarnation: str
    pristine: bool
    term: int


class Unwritable(Struct, frozen=True, kw_only=True, tag='unwritable'):
    """Tells a leader that a follower is up, but its disk refuses writes.

    Args:
        sender: the follower, which could not store a message of the leader.
        receiver: the leader.
        incarnation: identity of the data folder that cannot be written.
    """

    sender: str
    receiver: str
    incarnation: str


Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | Probe
    | ProbeReply
    | Unwritable
)


class Propose(Struct, frozen=True, kw_only=True):
    """Event: the leader shall append commands, all in one write.

    Replicas that do not lead ignore it.
    """

    bodies: tuple[bytes, ...]


class Tick(Struct, frozen=True):
    """Event: time has passed."""


class ConfirmLeadership(Struct, frozen=True):
    """Event: a caller waits for a heartbeat round that starts now."""


class Resign(Struct, frozen=True):
    """Event: this replica cannot write to its disk and must not lead."""


class Compact(Struct, frozen=True, kw_only=True):
    """Event: a snapshot of the applied state shall replace the log up to it."""

    snapshot: LogSnapshot


Event = Message | Propose | Tick | ConfirmLeadership | Resign | Compact
