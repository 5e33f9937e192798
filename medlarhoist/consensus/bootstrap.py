"""Forming: how replicas with empty data folders start a group.

An empty folder is either that of a new group or one that was lost. Only if
every peer says that its log has never held an entry is the group new; the
folder then becomes a founder's, in a term past any in which its name may have
voted. Otherwise the replica stays a learner until a leader admits it.
"""

from msgspec.structs import replace

from medlarhoist.consensus.election import Handled
from medlarhoist.consensus.message import Probe, ProbeReply
from medlarhoist.consensus.record import FOUNDER, NOBODY
from medlarhoist.consensus.replica import (
    HEARTBEAT_INTERVAL_SECONDS,
    Random,
    Replica,
    is_pristine,
    next_election,
)


def is_blank(replica: Replica) -> bool:
    """Say whether the replica has nothing and does not know why."""
    return replica.incarnation != FOUNDER and is_pristine(replica)


def tick_blank(replica: Replica, now: float, random: Random) -> Handled:
    """Ask the peers whether the group is a new one."""
    if not replica.peers:
        return _found(replica, now, random), ()
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


def receive_probe(replica: Replica, req: Probe) -> Handled:
    """Tell an empty folder whether our log has ever held an entry."""
    reply = ProbeReply(
        sender=replica.name,
        receiver=req.sender,
        incarnation=req.incarnation,
        pristine=is_pristine(replica),
        term=replica.term,
    )
    return replica, (reply,)


def receive_probe_reply(
    replica: Replica,
    reply: ProbeReply,
    now: float,
    random: Random,
) -> Handled:
    """Become a founder once every peer is known to be pristine."""
    if not is_blank(replica) or reply.incarnation != replica.incarnation:
        return replica, ()
    if not reply.pristine:
        return replace(replica, probes={}), ()
    probes = {**replica.probes, reply.sender: reply.term}
    replica = replace(replica, probes=probes)
    if len(probes) < len(replica.peers):
        return replica, ()
    return _found(replica, now, random), ()


def _found(replica: Replica, now: float, random: Random) -> Replica:
    newest = max(replica.probes.values(), default=0)
    due = next_election(now, random) if replica.peers else now
    return replace(
        replica,
        incarnation=FOUNDER,
        term=max(replica.term, newest) + 1,
        vote=NOBODY,
        probes={},
        election_due=due,
    )
