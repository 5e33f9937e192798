"""Follower: replicates the leader's log in a follower or a learner.

A learner is a replica whose data folder is no voting member; it receives the
log until the leader admits it.

Handlers take a replica and return the next one with the messages to send.
"""

from msgspec.structs import replace

from medlarhoist.consensus.election import HandlerResult, become_follower
from medlarhoist.consensus.log import (
    compact_log,
    last_index,
    replace_suffix,
    term_at,
)
from medlarhoist.consensus.message import Append, AppendReply, InstallSnapshot
from medlarhoist.consensus.record import LogSnapshot
from medlarhoist.consensus.replica import Random, Replica, with_commit


def receive_append(
    replica: Replica,
    req: Append,
    now: float,
    random: Random,
    new_incarnation: str,
) -> HandlerResult:
    """Append the leader's entries if the log holds the entry before them.

    A refusal carries the index from which the leader should retry.

    Args:
        replica: the state before.
        req: entries, or none in a heartbeat.
        now: seconds of the monotonic clock.
        random: returns numbers from zero up to one.
        new_incarnation: identity for the data folder if its disk has lost
            acknowledged entries.
    """
    if req.term < replica.term:
        return replica, (_reply(replica, req, accepted=False, index=0),)
    replica = _record_leader_contact(replica, req, now, random)
    if _lost_acknowledged_entries(replica, req):
        replica = replace(replica, incarnation=new_incarnation)
    if not _has_previous_entry(replica, req):
        hint = min(last_index(replica.log), max(req.previous_index - 1, 0))
        hint = max(hint, replica.commit)
        return replica, (_reply(replica, req, accepted=False, index=hint),)
    replica = replace(replica, log=replace_suffix(replica.log, req.entries))
    match_index = req.previous_index + len(req.entries)
    replica = with_commit(replica, min(req.commit, match_index))
    return replica, (_reply(replica, req, accepted=True, index=match_index),)


def receive_install_snapshot(
    replica: Replica,
    req: InstallSnapshot,
    now: float,
    random: Random,
) -> HandlerResult:
    """Replace the log that a snapshot covers by the snapshot."""
    if req.term < replica.term:
        return replica, (_reply(replica, req, accepted=False, index=0),)
    replica = _record_leader_contact(replica, req, now, random)
    if req.snapshot.index > replica.commit:
        replica = _install_snapshot(replica, req.snapshot)
    index = req.snapshot.index
    return replica, (_reply(replica, req, accepted=True, index=index),)


def _install_snapshot(replica: Replica, snapshot: LogSnapshot) -> Replica:
    return replace(
        replica,
        log=compact_log(replica.log, snapshot),
        snapshot=snapshot,
        commit=snapshot.index,
        voters=snapshot.voters,
        endpoints=snapshot.endpoints,
    )


def _record_leader_contact(
    replica: Replica,
    req: Append | InstallSnapshot,
    now: float,
    random: Random,
) -> Replica:
    replica = become_follower(replica, req.term, req.sender, now, random)
    return replace(replica, heard_at=now)


def _lost_acknowledged_entries(replica: Replica, req: Append) -> bool:
    """Return whether the disk has lost entries that it had acknowledged.

    The group relies on these acknowledgements, so such a replica must not be
    counted any more; it continues as a learner under another incarnation.
    """
    if req.held_by != replica.incarnation:
        return False
    return last_index(replica.log) < req.held


def _has_previous_entry(replica: Replica, req: Append) -> bool:
    """Return whether the log holds the entry before those of the request.

    An entry that a snapshot covers is committed, so it is the same at both.
    """
    if req.previous_index < replica.log.base_index:
        return True
    return term_at(replica.log, req.previous_index) == req.previous_term


def _reply(
    replica: Replica,
    req: Append | InstallSnapshot,
    *,
    accepted: bool,
    index: int,
) -> AppendReply:
    return AppendReply(
        sender=replica.name,
        receiver=req.sender,
        term=replica.term,
        accepted=accepted,
        index=index,
        incarnation=replica.incarnation,
        endpoint=replica.endpoint,
        round=req.round,
        sent_at=req.sent_at,
    )
