"""Bootstrap: how replicas with empty data folders form a new group.

A data folder is empty in a new group, or because the earlier one was lost.
The group is new only if every peer may found it as well and reports that its
log has never held an entry. The replica then becomes an initial member, in a
term after any in which its name may have voted. Otherwise it stays a learner
until a leader admits it.
"""

from msgspec.structs import replace

from medlarhoist.consensus.election import HandlerResult
from medlarhoist.consensus.message import Probe, ProbeReply
from medlarhoist.consensus.record import INITIAL_INCARNATION, NO_REPLICA
from medlarhoist.consensus.replica import (
    HEARTBEAT_INTERVAL_SECONDS,
    Random,
    Replica,
    has_empty_log,
    next_election_due,
)


def is_uninitialized(replica: Replica) -> bool:
    """Return whether a replica may still become an initial member."""
    is_initial = replica.incarnation == INITIAL_INCARNATION
    return replica.may_found and not is_initial and has_empty_log(replica)


def tick_uninitialized(
    replica: Replica, now: float, random: Random
) -> HandlerResult:
    """Probe the peers at each heartbeat interval whether the group is new.

    A replica without peers becomes the initial member at once.
    """
    if not replica.peers:
        return _become_initial_member(replica, now, random), ()
    if now < replica.heartbeat_due:
        return replica, ()
    probes = tuple(
        Probe(
            sender=replica.name,
            receiver=peer,
            incarnation=replica.incarnation,
        )
        for peer in replica.peers
    )
    due = now + HEARTBEAT_INTERVAL_SECONDS
    return replace(replica, heartbeat_due=due), probes


def receive_probe(replica: Replica, req: Probe) -> HandlerResult:
    """Reply whether this replica may found a group with the sender.

    One that may not knows that there was a group, or that others have its
    slot.
    """
    reply = ProbeReply(
        sender=replica.name,
        receiver=req.sender,
        incarnation=req.incarnation,
        pristine=replica.may_found and has_empty_log(replica),
        term=replica.term,
    )
    return replica, (reply,)


def receive_probe_reply(
    replica: Replica,
    reply: ProbeReply,
    now: float,
    random: Random,
) -> HandlerResult:
    """Become an initial member once every peer has reported an empty log.

    A peer with entries discards the reports so far. A reply to a probe of
    another data folder is ignored.
    """
    if (
        not is_uninitialized(replica)
        or reply.incarnation != replica.incarnation
    ):
        return replica, ()
    if not reply.pristine:
        return replace(replica, probes={}), ()
    probes = {**replica.probes, reply.sender: reply.term}
    replica = replace(replica, probes=probes)
    if len(probes) < len(replica.peers):
        return replica, ()
    return _become_initial_member(replica, now, random), ()


def _become_initial_member(
    replica: Replica, now: float, random: Random
) -> Replica:
    highest_term = max(replica.probes.values(), default=0)
    due = next_election_due(now, random) if replica.peers else now
    return replace(
        replica,
        incarnation=INITIAL_INCARNATION,
        term=max(replica.term, highest_term) + 1,
        vote=NO_REPLICA,
        probes={},
        election_due=due,
    )
