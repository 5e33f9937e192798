"""Election: campaigns, votes and the end of a leadership.

A campaign starts with a trial that changes no term, so that a replica that
was cut off does not depose a leader when it comes back. Handlers take a
replica and return the next one with the messages to send.
"""

from msgspec.structs import replace

from medlarhoist.consensus.log import Log, last_index, last_term
from medlarhoist.consensus.message import Message, Vote, VoteReply
from medlarhoist.consensus.quorum import lease_start
from medlarhoist.consensus.record import NOBODY, Entry, EntryKind
from medlarhoist.consensus.replica import (
    ELECTION_SECONDS,
    Progress,
    Random,
    Replica,
    Role,
    is_counted,
    is_voter,
    next_election,
    quorum_size,
)

Handled = tuple[Replica, tuple[Message, ...]]


def become_follower(
    replica: Replica,
    term: int,
    leader: str,
    now: float,
    random: Random,
) -> Replica:
    """Return the replica as a follower in a term at least its own."""
    return replace(
        replica,
        role=Role.FOLLOWER,
        term=term,
        vote=replica.vote if term == replica.term else NOBODY,
        leader=leader,
        election_due=next_election(now, random),
        votes=frozenset(),
        progress={},
    )


def tick_follower(replica: Replica, now: float, random: Random) -> Handled:
    """Start a campaign where no leader was heard for long."""
    if now < replica.election_due or not is_voter(replica):
        return replica, ()
    trial = replace(
        replica,
        role=Role.TRIAL,
        leader=NOBODY,
        votes=frozenset((replica.name,)),
        election_due=next_election(now, random),
    )
    return _count_votes(trial, now, _ask(trial, replica.term + 1))


def tick_leader(replica: Replica, now: float, random: Random) -> Replica:
    """Step down where no majority has answered for long (check-quorum)."""
    answered_at = max(lease_start(replica, now), replica.elected_at)
    if now < answered_at + ELECTION_SECONDS:
        return replica
    return become_follower(replica, replica.term, NOBODY, now, random)


def receive_vote(
    replica: Replica,
    req: Vote,
    now: float,
    random: Random,
) -> Handled:
    """Answer a candidate."""
    if not is_voter(replica) or _hears_leader(replica, now):
        return replica, ()
    if req.trial:
        granted = req.term > replica.term and _is_current(replica.log, req)
        return replica, (_answer(replica, req, granted),)
    if req.term > replica.term:
        replica = become_follower(replica, req.term, NOBODY, now, random)
    granted = (
        req.term == replica.term
        and replica.vote in {NOBODY, req.sender}
        and _is_current(replica.log, req)
    )
    if granted:
        replica = replace(
            replica,
            vote=req.sender,
            election_due=next_election(now, random),
        )
    return replica, (_answer(replica, req, granted),)


def receive_vote_reply(
    replica: Replica,
    reply: VoteReply,
    now: float,
    random: Random,
) -> Handled:
    """Count a vote."""
    if not reply.granted:
        if reply.term > replica.term:
            replica = become_follower(replica, reply.term, NOBODY, now, random)
        return replica, ()
    if reply.trial:
        expected = replica.role is Role.TRIAL
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
) -> Handled:
    if len(replica.votes) < quorum_size(replica):
        return replica, messages
    if replica.role is Role.TRIAL:
        candidate = replace(
            replica,
            role=Role.CANDIDATE,
            term=replica.term + 1,
            vote=replica.name,
            votes=frozenset((replica.name,)),
        )
        return _count_votes(candidate, now, _ask(candidate, candidate.term))
    return _lead(replica, now), ()


def _lead(replica: Replica, now: float) -> Replica:
    """Return the replica as leader, with an entry that starts its term."""
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


def _ask(replica: Replica, term: int) -> tuple[Message, ...]:
    return tuple(
        Vote(
            sender=replica.name,
            receiver=peer,
            term=term,
            trial=replica.role is Role.TRIAL,
            last_index=last_index(replica.log),
            last_term=last_term(replica.log),
        )
        for peer in replica.peers
    )


def _answer(replica: Replica, req: Vote, granted: bool) -> VoteReply:
    return VoteReply(
        sender=replica.name,
        receiver=req.sender,
        term=req.term if granted else replica.term,
        trial=req.trial,
        granted=granted,
        incarnation=replica.incarnation,
    )


def _hears_leader(replica: Replica, now: float) -> bool:
    if replica.role is Role.LEADER:
        return True
    return now < replica.heard_at + ELECTION_SECONDS


def _is_current(log: Log, req: Vote) -> bool:
    """Say whether the candidate's log is at least as new as ours."""
    theirs = (req.last_term, req.last_index)
    return theirs >= (last_term(log), last_index(log))
