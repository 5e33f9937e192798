"""Election: campaigns, votes and stepping down.

A campaign starts with a pre-vote, which changes no term, so that a replica
that was disconnected does not depose a working leader when it returns.
Handlers take a replica and return the next one with the messages to send.
"""

from msgspec.structs import replace

from medlarhoist.consensus.log import Log, last_index, last_term
from medlarhoist.consensus.message import Message, VoteReply, VoteRequest
from medlarhoist.consensus.quorum import lease_start
from medlarhoist.consensus.record import NO_REPLICA, Entry, EntryKind
from medlarhoist.consensus.replica import (
    ELECTION_TIMEOUT_SECONDS,
    Progress,
    Random,
    Replica,
    Role,
    is_counted,
    is_voter,
    next_election_due,
    quorum_size,
)

# The next replica, and the messages to send once it is stored.
HandlerResult = tuple[Replica, tuple[Message, ...]]


def become_follower(
    replica: Replica,
    term: int,
    leader: str,
    now: float,
    random: Random,
) -> Replica:
    """Return the replica as a follower in its own or a later term.

    Args:
        replica: the state before.
        term: the term to follow in.
        leader: leader of the term, NO_REPLICA where unknown.
        now: seconds of the monotonic clock.
        random: returns numbers from zero up to one.
    """
    return replace(
        replica,
        role=Role.FOLLOWER,
        term=term,
        vote=replica.vote if term == replica.term else NO_REPLICA,
        leader=leader,
        election_due=next_election_due(now, random),
        votes=frozenset(),
        progress={},
    )


def tick_follower(
    replica: Replica, now: float, random: Random
) -> HandlerResult:
    """Start a campaign if no leader has sent a message before the timeout."""
    if now < replica.election_due or not is_voter(replica):
        return replica, ()
    pre_candidate = replace(
        replica,
        role=Role.PRE_CANDIDATE,
        leader=NO_REPLICA,
        votes=frozenset((replica.name,)),
        election_due=next_election_due(now, random),
    )
    return _count_votes(
        pre_candidate, now, _vote_requests(pre_candidate, replica.term + 1)
    )


def tick_leader(replica: Replica, now: float, random: Random) -> Replica:
    """Step down if no majority has replied within the election timeout.

    This is Raft's check-quorum rule.
    """
    replied_at = max(lease_start(replica, now), replica.elected_at)
    if now < replied_at + ELECTION_TIMEOUT_SECONDS:
        return replica
    return become_follower(replica, replica.term, NO_REPLICA, now, random)


def receive_vote_request(
    replica: Replica,
    req: VoteRequest,
    now: float,
    random: Random,
) -> HandlerResult:
    """Reply to a candidate; send nothing while a leader is in contact."""
    if not is_voter(replica) or _has_leader_contact(replica, now):
        return replica, ()
    if req.trial:
        granted = req.term > replica.term and _is_up_to_date(replica.log, req)
        return replica, (_vote_reply(replica, req, granted),)
    if req.term > replica.term:
        replica = become_follower(replica, req.term, NO_REPLICA, now, random)
    granted = (
        req.term == replica.term
        and replica.vote in {NO_REPLICA, req.sender}
        and _is_up_to_date(replica.log, req)
    )
    if granted:
        replica = replace(
            replica,
            vote=req.sender,
            election_due=next_election_due(now, random),
        )
    return replica, (_vote_reply(replica, req, granted),)


def receive_vote_reply(
    replica: Replica,
    reply: VoteReply,
    now: float,
    random: Random,
) -> HandlerResult:
    """Count a granted vote; follow in a later term if it was refused there."""
    if not reply.granted:
        if reply.term > replica.term:
            replica = become_follower(
                replica, reply.term, NO_REPLICA, now, random
            )
        return replica, ()
    if reply.trial:
        expected = replica.role is Role.PRE_CANDIDATE
        expected = expected and reply.term == replica.term + 1
    else:
        expected = replica.role is Role.CANDIDATE
        expected = expected and reply.term == replica.term
    if not expected or not is_counted(
        replica,
        reply.sender,
        reply.incarnation,
    ):
        return replica, ()
    votes = replica.votes | {reply.sender}
    return _count_votes(replace(replica, votes=votes), now, ())


def _count_votes(
    replica: Replica,
    now: float,
    messages: tuple[Message, ...],
) -> HandlerResult:
    """Advance to candidate or to leader once a majority has voted for it.

    Returns the given messages where it has not.
    """
    if len(replica.votes) < quorum_size(replica):
        return replica, messages
    if replica.role is Role.PRE_CANDIDATE:
        candidate = replace(
            replica,
            role=Role.CANDIDATE,
            term=replica.term + 1,
            vote=replica.name,
            votes=frozenset((replica.name,)),
        )
        return _count_votes(
            candidate, now, _vote_requests(candidate, candidate.term)
        )
    return _become_leader(replica, now), ()


def _become_leader(replica: Replica, now: float) -> Replica:
    """Return the replica as leader, with a first entry of its term.

    A leader can commit entries of earlier terms only together with an entry
    of its own.
    """
    index = last_index(replica.log) + 1
    start = Entry(index=index, term=replica.term, kind=EntryKind.START)
    log = replica.log
    return replace(
        replica,
        role=Role.LEADER,
        leader=replica.name,
        log=replace(log, entries=(*log.entries, start)),
        progress={
            peer: Progress(
                next_index=index,
                incarnation=replica.voters[peer],
            )
            for peer in replica.peers
        },
        round=0,
        elected_at=now,
        heartbeat_due=now,
        start_index=index,
        votes=frozenset(),
    )


def _vote_requests(replica: Replica, term: int) -> tuple[Message, ...]:
    return tuple(
        VoteRequest(
            sender=replica.name,
            receiver=peer,
            term=term,
            trial=replica.role is Role.PRE_CANDIDATE,
            last_index=last_index(replica.log),
            last_term=last_term(replica.log),
        )
        for peer in replica.peers
    )


def _vote_reply(replica: Replica, req: VoteRequest, granted: bool) -> VoteReply:
    return VoteReply(
        sender=replica.name,
        receiver=req.sender,
        term=req.term if granted else replica.term,
        trial=req.trial,
        granted=granted,
        incarnation=replica.incarnation,
    )


def _has_leader_contact(replica: Replica, now: float) -> bool:
    if replica.role is Role.LEADER:
        return True
    return now < replica.heard_at + ELECTION_TIMEOUT_SECONDS


def _is_up_to_date(log: Log, req: VoteRequest) -> bool:
    """Return whether the candidate's log is at least as new as this one."""
    candidate_last = (req.last_term, req.last_index)
    return candidate_last >= (last_term(log), last_index(log))
